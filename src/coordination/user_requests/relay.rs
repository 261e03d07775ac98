//! Relaying: a member answers what this node can't answer now.

use std::collections::{HashMap, HashSet};

use super::{PendingRequest, state_service_unavailable};
use crate::{
    coordination::{ApiRequest, ApiResponse, Effect, LeaderAnnouncement, Node, RequestId},
    protocol::ids::JobId,
    time::Millis,
};

/// Members that could not answer are not asked again for this long.
const RELAY_RETRY_MS: Millis = 1000;

/// Requests that other members answer for this node, or it for them.
#[derive(Default)]
pub struct RelayState {
    /// Relayed to a member, and not answered yet.
    relayed_out: HashMap<RequestId, JobId>,
    /// Relayed here by a member: not relayed again.
    pub(super) relayed_in: HashSet<RequestId>,
    /// The members could not answer either: they are not asked again before this time.
    retry_at: Millis,
}

impl Node {
    /// The request can't be answered here now. The state service may be out of reach of this node alone:
    /// then another member can answer, and the user need not come back.
    pub(in crate::coordination) fn relay_or_refuse(&mut self, id: RequestId) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        let leader = self.current_other_leader();
        let member = self
            .config
            .members
            .iter()
            .min_by_key(|member| Some(&member.label) != leader.as_ref());
        let job = pending.job_id();
        let Some(member) = member else {
            return self.respond_unavailable(id, job);
        };
        if self.relay.relayed_in.contains(&id) || self.relay.retry_at > self.now {
            return self.respond_unavailable(id, job);
        }
        let request = match pending {
            PendingRequest::Poll(job) => ApiRequest::Poll(job),
            PendingRequest::Submit(submission) => ApiRequest::Submit(submission),
            PendingRequest::Cancel { id: job, .. } => ApiRequest::Cancel(job),
        };
        self.relay.relayed_out.insert(id, job);
        self.effects.push(Effect::RelayRequest {
            id,
            label: member.label.clone(),
            request,
        });
    }

    /// Handles a member's answer to a relayed request.
    pub(in crate::coordination) fn on_relay_response(
        &mut self,
        id: RequestId,
        response: Option<ApiResponse>,
    ) {
        let Some(job) = self.relay.relayed_out.remove(&id) else {
            return;
        };
        match response.filter(|response| response.status < 500) {
            Some(response) => {
                if response.status < 300 {
                    self.admission.on_accepted(job, true, self.now);
                }
                self.respond(id, response);
            }
            None => {
                self.relay.retry_at = self.now + RELAY_RETRY_MS;
                self.respond_unavailable(id, job);
            }
        }
    }

    /// No member can answer now.
    fn respond_unavailable(&mut self, id: RequestId, job: JobId) {
        self.admission.on_refused(job);
        self.respond(id, state_service_unavailable());
    }

    /// Takes in what the leader announces.
    pub(in crate::coordination) fn on_leader_announcement(
        &mut self,
        announcement: LeaderAnnouncement,
    ) {
        if announcement.term < self.registry.term {
            return;
        }
        self.lease_renewer.leader_heard_at = Some(self.now);
        self.admission
            .learn_reservations(&announcement.reservations, self.now);
        self.on_leader_announced(announcement.term, announcement.leader);
        self.job_progress = announcement
            .jobs
            .into_iter()
            .map(|progress| (progress.job, progress))
            .collect();
    }
}
