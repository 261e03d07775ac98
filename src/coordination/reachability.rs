//! Whether workers can reach the leader. A leader that keeps its lease but receives reports of few workers
//! blocks all scheduling: it resigns in favour of a member that receives reports of more.

use std::collections::HashMap;

use crate::{
    cluster::MachineState,
    coordination::{Effect, LeaseRevocation, Node, StateTag, write_outcome::TXN_TIMEOUT_MS},
    protocol::state::{StateRequest, StateRequestPriority},
    time::Millis,
};

const MEMBER_INQUIRY_INTERVAL_MS: Millis = 500;
/// How long a member's count of reporting workers is used.
const MEMBER_REPORT_VALIDITY_MS: Millis = 2000;
/// Many machines must have been unresponsive for this long before the leader resigns.
const MIN_UNRESPONSIVE_MS: Millis = 1000;
/// How long a node that has resigned does not try to lead again: its lease is released, and another node
/// acquires a new one well within this time, whatever the timings of the workers are.
pub(super) const RESIGNATION_BACKOFF_MS: Millis = 8000;
/// The leader requests the members' counts of reporting workers while more than one in this many machines is
/// unresponsive.
const UNRESPONSIVE_FLEET_DIVISOR: usize = 4;
/// The leader resigns if a member receives reports of more machines than it does, by more than the number
/// of all machines divided by this.
const BETTER_REACH_DIVISOR: usize = 10;
/// If no member answers, the leader resigns when it receives reports of less than this fraction of the
/// machines (numerator and denominator).
const MIN_REACHED_RATIO: (usize, usize) = (2, 5);

/// How many workers reach this leader and the other members.
#[derive(Default)]
pub struct WorkerReachability {
    /// Since when many machines have been unresponsive.
    many_unresponsive_since: Option<Millis>,
    /// When inquiries were last sent to the members.
    last_inquiry_at: Millis,
    /// How many workers recently reported to each member, and when its reply arrived.
    member_reports: HashMap<String, (Millis, usize)>,
}

impl WorkerReachability {
    /// Records how many workers recently reported to a member, from the member's reply.
    pub fn record_member_report(&mut self, label: String, reporting_workers: usize, now: Millis) {
        self.member_reports.insert(label, (now, reporting_workers));
    }

    /// Whether another node should lead instead of this one, which is reached by `reached` of `total` machines.
    fn should_resign(&self, reached: usize, total: usize, now: Millis) -> bool {
        if self
            .many_unresponsive_since
            .is_none_or(|since| since + MIN_UNRESPONSIVE_MS > now)
        {
            return false;
        }
        let reports = self.member_reports.values();
        let reports = reports.filter(|(at, _)| at + MEMBER_REPORT_VALIDITY_MS > now);
        match reports.map(|(_, count)| *count).max() {
            // In a small fleet a difference of one proves nothing: workers try several nodes, and lost machines
            // count in `total` until their leases have expired. Without this minimum, one leader after the
            // other resigned before those leases had expired.
            Some(best) => best > reached + (total / BETTER_REACH_DIVISOR).max(1),
            // No member has replied, so this node can't reach the members either. With so few workers reaching this
            // node, a node that can take over is reached by no fewer.
            None => reached * MIN_REACHED_RATIO.1 < total * MIN_REACHED_RATIO.0,
        }
    }
}

impl Node {
    /// Counts the unresponsive machines. If there are many, requests from the members how many workers report
    /// to them, and resigns if another node should lead.
    pub(super) fn check_reachability(&mut self) {
        let now = self.now;
        let requested_at_ms = self.wall_ms;
        let just_resumed = self.just_resumed();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &leader.cluster else {
            return;
        };
        let machines_up = cluster.machines.iter();
        let machines_up = machines_up.filter(|machine| machine.state == MachineState::Up);
        let (total, unresponsive) = machines_up.fold((0, 0), |(total, unresponsive), machine| {
            (total + 1, unresponsive + usize::from(machine.unresponsive))
        });
        let settled = leader.takeover_at + self.timeouts.takeover_grace <= now && !just_resumed;
        if !settled
            || self.config.members.is_empty()
            || unresponsive * UNRESPONSIVE_FLEET_DIVISOR <= total
        {
            leader.reachability.many_unresponsive_since = None;
            return;
        }
        leader
            .reachability
            .many_unresponsive_since
            .get_or_insert(now);
        let reached = total - unresponsive;
        if leader.reachability.should_resign(reached, total, now) {
            tracing::warn!(reached, total, members = ?leader.reachability.member_reports, "resigning leadership: too few workers reach this node");
            return self.resign_leadership();
        }
        if leader.reachability.last_inquiry_at + MEMBER_INQUIRY_INTERVAL_MS > now {
            return;
        }
        leader.reachability.last_inquiry_at = now;
        let (lease, term) = (leader.lease, leader.term);
        for member in &self.config.members {
            self.effects.push(Effect::RequestRevocation {
                lease,
                label: member.label.clone(),
                revocation: LeaseRevocation {
                    term,
                    machines: Vec::new(),
                    requested_at_ms,
                },
            });
        }
    }

    /// Steps down and releases the leader's lease, so that another node can take over immediately.
    fn resign_leadership(&mut self) {
        let Some(lease) = self.leader_state.as_ref().map(|leader| leader.lease) else {
            return;
        };
        self.step_down();
        self.election.defer_until(self.now + RESIGNATION_BACKOFF_MS);
        self.call_state_service(
            StateTag::ReleaseLeaderLease,
            StateRequest::ReleaseLease { lease },
            StateRequestPriority::Vital,
            TXN_TIMEOUT_MS,
        );
    }
}

#[cfg(test)]
mod tests;
