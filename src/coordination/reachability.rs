//! Whether the workers reach the leader. One whose lease stays fresh while it hears few of them holds
//! everything up: it resigns in favour of a member that hears more.

use std::collections::HashMap;

use crate::{
    cluster::MachineState,
    coordination::{Effect, LeaseRevocation, Node, StateTag, write_outcome::TXN_TIMEOUT_MS},
    protocol::state::{StateRequest, Urgency},
    time::Millis,
};

const MEMBER_INQUIRY_INTERVAL_MS: Millis = 500;
/// A member's word counts for this long.
const MEMBER_REPORT_VALIDITY_MS: Millis = 2000;
/// What is heard must have been little for this long.
const MIN_SILENCE_BEFORE_RESIGNING_MS: Millis = 1000;
/// A node that has resigned lets others take over for this long: a lease of the state service is gone and
/// another acquired well within that, whatever the workers do.
pub(super) const RESIGNATION_BACKOFF_MS: Millis = 8000;
/// Parts of the fleet: silent machines from which on members are asked, by how much more a member must
/// hear, and what must be heard of it when no member answers.
const SILENT_FLEET_DIVISOR: usize = 4;
const BETTER_REACH_DIVISOR: usize = 10;
const FEW_HEARD_RATIO: (usize, usize) = (2, 5);

/// What is known of the workers that other members hear.
#[derive(Default)]
pub struct WorkerReachability {
    /// Since when many machines are silent.
    mostly_silent_since: Option<Millis>,
    asked_at: Millis,
    /// How many workers each member hears, and when it said so.
    member_reports: HashMap<String, (Millis, usize)>,
}

impl WorkerReachability {
    pub fn record_member_report(&mut self, label: String, hears: usize, now: Millis) {
        self.member_reports.insert(label, (now, hears));
    }

    /// Whether another node should lead instead of one that hears `heard` of `all` machines.
    fn should_resign(&self, heard: usize, all: usize, now: Millis) -> bool {
        if self
            .mostly_silent_since
            .is_none_or(|since| since + MIN_SILENCE_BEFORE_RESIGNING_MS > now)
        {
            return false;
        }
        let words = self.member_reports.values();
        let others = words.filter(|(at, _)| at + MEMBER_REPORT_VALIDITY_MS > now);
        match others.map(|(_, hears)| *hears).max() {
            // One more is no proof in a small fleet: workers seek about, and machines that are gone count in `all`
            // until their leases have run out. Leaders resigned in turn, each before that.
            Some(hears) => hears > heard + (all / BETTER_REACH_DIVISOR).max(1),
            // Cut off from the members too: whoever can take over hears no less.
            None => heard * FEW_HEARD_RATIO.1 < all * FEW_HEARD_RATIO.0,
        }
    }
}

impl Node {
    /// Looks at how many machines are silent, asks the members how many they hear, and resigns where
    /// that is right.
    pub(super) fn check_reachability(&mut self) {
        let now = self.now;
        let asked_ms = self.wall_ms;
        let woke = self.just_resumed();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &leader.cluster else {
            return;
        };
        let up = cluster.machines.iter();
        let up = up.filter(|machine| machine.state == MachineState::Up);
        let (all, silent) = up.fold((0, 0), |(all, silent), machine| {
            (all + 1, silent + usize::from(machine.unresponsive))
        });
        let settled = leader.takeover_at + self.timeouts.takeover_settling <= now && !woke;
        if !settled || self.config.members.is_empty() || silent * SILENT_FLEET_DIVISOR <= all {
            leader.reachability.mostly_silent_since = None;
            return;
        }
        leader.reachability.mostly_silent_since.get_or_insert(now);
        let heard = all - silent;
        if leader.reachability.should_resign(heard, all, now) {
            tracing::warn!(heard, all, members = ?leader.reachability.member_reports, "resigns: out of the workers' reach");
            return self.resign_leadership();
        }
        if leader.reachability.asked_at + MEMBER_INQUIRY_INTERVAL_MS > now {
            return;
        }
        leader.reachability.asked_at = now;
        let (lease, term) = (leader.lease, leader.term);
        for member in &self.config.members {
            self.effects.push(Effect::RequestRevocation {
                lease,
                label: member.label.clone(),
                revocation: LeaseRevocation {
                    term,
                    machines: Vec::new(),
                    asked_at_ms: asked_ms,
                },
            });
        }
    }

    /// Gives the leadership up, for others to take at once.
    fn resign_leadership(&mut self) {
        let Some(lease) = self.leader_state.as_ref().map(|leader| leader.lease) else {
            return;
        };
        self.step_down();
        self.election.defer_until(self.now + RESIGNATION_BACKOFF_MS);
        self.call_state_service(
            StateTag::ReleaseLeaderLease,
            StateRequest::Release { lease },
            Urgency::Vital,
            TXN_TIMEOUT_MS,
        );
    }
}

#[cfg(test)]
mod tests;
