//! Relaying: has another member answer a user's request that this node can't answer now.

use std::collections::{HashMap, HashSet};

use super::PendingRequest;
use crate::{
    coordination::{ApiRequest, ApiResponse, Effect, Node, RequestId},
    protocol::ids::JobId,
    time::Millis,
};

/// After a member could not answer either, no request is relayed for this long.
const RELAY_RETRY_MS: Millis = 1000;

/// Why this node can't answer a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayReason {
    /// The state service does not answer this node.
    StateServiceUnavailable,
    /// Whether the job runs is not known here.
    StatusUnknown,
}

impl RelayReason {
    /// The response if no member can answer either.
    fn response(self) -> ApiResponse {
        let error = match self {
            RelayReason::StateServiceUnavailable => "the state service does not answer",
            RelayReason::StatusUnknown => "whether the job runs is not known now",
        };
        ApiResponse::unavailable(error, 1)
    }
}

/// A request that was relayed to a member, and is not answered yet.
struct RelayedRequest {
    job: JobId,
    reason: RelayReason,
}

/// The requests that this node relayed to members, and those that members relayed to it.
#[derive(Default)]
pub struct RelayState {
    relayed_out: HashMap<RequestId, RelayedRequest>,
    /// Relayed to this node by a member; these are not relayed again.
    pub(super) relayed_in: HashSet<RequestId>,
    /// Nothing is relayed before this time because of the state service, as a member could not answer either.
    state_service_retry_at: Millis,
    /// Nothing is relayed before this time because of an unknown status, as the leader could not be reached.
    status_retry_at: Millis,
}

impl RelayState {
    fn retry_at(&mut self, reason: RelayReason) -> &mut Millis {
        match reason {
            RelayReason::StateServiceUnavailable => &mut self.state_service_retry_at,
            RelayReason::StatusUnknown => &mut self.status_retry_at,
        }
    }
}

impl Node {
    /// Relays a request that the state service keeps this node from answering, or refuses it. If the state service
    /// is out of reach of this node alone, another member can answer, and the user need not retry. The leader is
    /// preferred.
    pub(in crate::coordination) fn relay_or_refuse(&mut self, id: RequestId) {
        let other_leader = self.current_other_leader();
        let members = self.config.members.iter();
        let member = members
            .min_by_key(|member| Some(&member.label) != other_leader.as_ref())
            .map(|member| member.label.clone());
        self.relay_to_or_refuse(id, member, RelayReason::StateServiceUnavailable);
    }

    /// Relays a request about a job of which this node does not know whether it runs to the leader, or refuses it.
    pub(super) fn relay_to_leader_or_refuse(&mut self, id: RequestId) {
        let leader = self.current_other_leader();
        self.relay_to_or_refuse(id, leader, RelayReason::StatusUnknown);
    }

    fn relay_to_or_refuse(&mut self, id: RequestId, member: Option<String>, reason: RelayReason) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        let job = pending.job_id();
        let is_relayable =
            !self.relay.relayed_in.contains(&id) && *self.relay.retry_at(reason) <= self.now;
        let Some(label) = member.filter(|_| is_relayable) else {
            return self.refuse(id, job, reason);
        };
        let request = match pending {
            PendingRequest::Poll(job) => ApiRequest::Poll(job),
            PendingRequest::Submit(submission) => ApiRequest::Submit(submission),
            PendingRequest::Cancel { id: job, .. } => ApiRequest::Cancel(job),
        };
        self.relay
            .relayed_out
            .insert(id, RelayedRequest { job, reason });
        self.effects
            .push(Effect::RelayRequest { id, label, request });
    }

    /// Handles a member's answer to a relayed request.
    pub(in crate::coordination) fn on_relay_response(
        &mut self,
        id: RequestId,
        response: Option<ApiResponse>,
    ) {
        let Some(RelayedRequest { job, reason }) = self.relay.relayed_out.remove(&id) else {
            return;
        };
        let is_answered = response.is_some();
        if let Some(response) = response.filter(|response| response.status < 500) {
            if response.status < 300 {
                self.admission.on_accepted(job, true, self.now);
            }
            return self.respond(id, response);
        }
        // A leader that does not know the status of this job may know that of others.
        if reason == RelayReason::StateServiceUnavailable || !is_answered {
            *self.relay.retry_at(reason) = self.now + RELAY_RETRY_MS;
        }
        self.refuse(id, job, reason);
    }

    /// Answers that neither this node nor a member can answer now.
    fn refuse(&mut self, id: RequestId, job: JobId, reason: RelayReason) {
        self.admission.on_refused(job);
        self.respond(id, reason.response());
    }
}
