//! Failure detection: a silent machine counts as lost once its lease has surely expired everywhere.

use std::collections::{BTreeMap, HashMap};

use crate::{
    cluster::{Attempt, ClusterState, Machine, MachineIndex, MachineState, Phase},
    coordination::{Effect, LeaseRevocation, Node, RenewalReply, SilentMachine},
    protocol::job::JobKind,
    time::Millis,
};

const RENEWER_INQUIRY_INTERVAL_MS: Millis = 1000;
/// So long before a silent machine's lease expires the standby renewers are asked about it. Round trips
/// of the mesh and of a read barrier fit into this and the next, however often workers report.
const INQUIRY_LEAD_MS: Millis = 3500;
/// So long before, those that have not renewed it are asked for their promise.
const PROMISE_LEAD_MS: Millis = 1200;
/// A promise older than this is asked for again.
pub(in crate::coordination) const REPLY_VALIDITY_MS: Millis = 5000;
/// Answers older than this are dropped.
const REPLY_RETENTION_MS: Millis = 60_000;
/// The part of a duration, as a divisor, by which two nodes may measure it differently.
const CLOCK_DRIFT_DIVISOR: u64 = 500;
/// How often the term is raised only for workers to forget attempts whose starts could come once more.
/// Each worker reports once more for it.
const FORGET_FENCE_INTERVAL_MS: Millis = 30_000;
const MACHINE_CHECK_INTERVAL_MS: Millis = 200;
/// So long before a machine is reclaimed, in seconds, services on it are stopped, and tasks begin to
/// save (besides the time that takes).
const SERVICE_STOP_LEAD_S: f64 = 3.0;
const SAVE_LEAD_S: f64 = 4.0;

/// A member's answer about a silent machine.
pub(super) struct RevocationReply {
    /// When the request was sent.
    pub(super) sent_at: Millis,
    /// When the lease has expired, as far as that member may have renewed it.
    pub(super) lease_ends_at: Millis,
    /// It has promised not to renew the machine, if it has not renewed it lately.
    pub(super) is_binding: bool,
}

/// What the leader knows of the standby renewers and of their last renewals of silent machines.
#[derive(Default)]
pub struct RenewerRevocations {
    /// Renewers whose keys went since the takeover, and when that was seen.
    lost_at: HashMap<String, Millis>,
    /// When each renewer's key was last seen to be written anew.
    registered_at: HashMap<String, Millis>,
    /// By member and machine.
    replies: HashMap<(String, String), RevocationReply>,
    /// When the renewers were last asked.
    asked_at: Millis,
}

impl RenewerRevocations {
    /// A renewer's key was written anew: a process that has begun since under the same label knows
    /// nothing of earlier promises, and has to be asked again.
    pub(in crate::coordination) fn on_registered(&mut self, label: String, now: Millis) {
        self.replies.retain(|(member, _), _| *member != label);
        self.registered_at.insert(label, now);
    }

    /// A renewer's key is gone.
    pub(in crate::coordination) fn on_gone(&mut self, label: String, now: Millis) {
        self.lost_at.insert(label, now);
    }

    /// How many answers are known.
    #[cfg(test)]
    pub(in crate::coordination) fn reply_count(&self) -> usize {
        self.replies.len()
    }
}

/// What counts for the leases of all machines.
struct LeaseCheck<'a> {
    /// The other standby renewers.
    renewers: &'a BTreeMap<String, u64>,
    now: Millis,
    lease_ms: Millis,
    /// Keys that a read barrier sent after a lease's end does not show were not there while it lasted.
    registry_confirmed_at: Millis,
}

impl LeaseCheck<'_> {
    /// Whether a machine's lease has expired, and no other node can have renewed it.
    fn is_expired(&self, machine: &Machine, revocations: &RenewerRevocations) -> bool {
        self.now > machine.lease_until
            && self.registry_confirmed_at >= machine.lease_until
            && is_unrenewed_everywhere(
                self.renewers,
                &revocations.lost_at,
                &revocations.replies,
                &machine.name,
                self.now,
                self.lease_ms,
            )
    }
}

impl Node {
    /// Notices leases that have expired, reclaim notices that come due, and starts in doubt.
    pub(in crate::coordination) fn check_machines(&mut self) {
        let now = self.now;
        match &mut self.leader_state {
            Some(leader) if leader.machines_checked_at + MACHINE_CHECK_INTERVAL_MS <= now => {
                leader.machines_checked_at = now
            }
            _ => return,
        }
        let just_resumed = self.just_resumed();
        let heartbeat_timeout_ms = self.timeouts.heartbeat_timeout;
        let mut renewers = self.registry.lease_renewers.clone();
        renewers.remove(&self.config.label);
        self.ask_lease_renewers(renewers.keys().cloned().collect());
        let lease_check = LeaseCheck {
            renewers: &renewers,
            now,
            lease_ms: self.timeouts.worker_lease,
            registry_confirmed_at: self.read_barrier.confirmed_at.unwrap_or(0),
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let last_fence_at = leader.fence.raised_at.max(leader.takeover_at);
        let is_forget_due = last_fence_at + FORGET_FENCE_INTERVAL_MS <= now;
        for number in 0..cluster.machines.len() {
            let index = MachineIndex(number as u32);
            let machine = &mut cluster.machines[number];
            if machine.state != MachineState::Up {
                continue;
            }
            let heard_until = machine
                .last_heartbeat_at
                .map(|at| at + heartbeat_timeout_ms);
            machine.unresponsive = !just_resumed && heard_until.is_none_or(|until| until < now);
            if lease_check.is_expired(machine, &leader.revocations) {
                tracing::warn!(
                    machine = machine.name,
                    tasks = machine.attempts.len(),
                    "silent: its lease has run out"
                );
                mark_lost(cluster, index, now);
                continue;
            }
            let is_heard = heard_until.is_some_and(|until| until > now);
            leader.fence.requested |= is_heard && needs_fence(machine, leader.term, is_forget_due);
            if let Some(reclaim_at) = machine.reclaim_at {
                drain_for_reclaim(cluster, index, reclaim_at, now);
            }
        }
        self.check_reachability();
    }

    /// Asks the other standby renewers about machines that are silent, in time before their leases
    /// expire. A promise is asked for only when nobody seems to renew the machine: bound too early, a
    /// renewer refused workers that had lost the leader and found it only after trying a dead node.
    fn ask_lease_renewers(&mut self, labels: Vec<String>) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.revocations.asked_at + RENEWER_INQUIRY_INTERVAL_MS > now {
            return;
        }
        let Some(cluster) = &leader.cluster else {
            return;
        };
        let seems_unrenewed = |label: &String, name: &String| {
            leader
                .revocations
                .replies
                .get(&(label.clone(), name.clone()))
                .is_some_and(|reply| {
                    reply.sent_at + REPLY_VALIDITY_MS > now
                        && reply.lease_ends_at < now + PROMISE_LEAD_MS
                })
        };
        let machines: Vec<SilentMachine> = cluster
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up && m.lease_until < now + INQUIRY_LEAD_MS)
            .map(|m| SilentMachine {
                name: m.name.clone(),
                incarnation: m.incarnation,
                is_inquiry: m.lease_until > now + PROMISE_LEAD_MS
                    || !labels.iter().all(|label| seems_unrenewed(label, &m.name)),
            })
            .collect();
        if machines.is_empty() {
            return;
        }
        leader.revocations.asked_at = now;
        let (lease, term) = (leader.lease, leader.term);
        let asked_at_ms = self.wall_ms;
        self.request_read_barrier();
        for label in labels {
            self.effects.push(Effect::RequestRevocation {
                lease,
                label,
                revocation: LeaseRevocation {
                    term,
                    machines: machines.clone(),
                    asked_at_ms,
                },
            });
        }
    }

    /// Handles a member's answer about silent machines.
    pub(in crate::coordination) fn on_revocation_reply(
        &mut self,
        lease: u64,
        label: String,
        sent_at: Millis,
        reply: Option<RenewalReply>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let (now, lease_ms) = (self.now, self.timeouts.worker_lease);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(reply) = reply else { return };
        leader
            .reachability
            .record_member_report(label.clone(), reply.workers_heard, now);
        // The request was sent before that node's key was written anew: the answer may be that of a
        // process which has ended since, and binds nobody.
        let revocations = &mut leader.revocations;
        if revocations
            .registered_at
            .get(&label)
            .is_some_and(|at| sent_at <= *at)
        {
            return;
        }
        for renewal in reply.renewals {
            // Its clock may run slower than this node's.
            let age_ms = renewal.age_ms - renewal.age_ms / CLOCK_DRIFT_DIVISOR;
            let known = RevocationReply {
                sent_at,
                lease_ends_at: (now + lease_ms).saturating_sub(age_ms),
                is_binding: !renewal.is_inquiry,
            };
            revocations
                .replies
                .insert((label.clone(), renewal.machine), known);
        }
        revocations
            .replies
            .retain(|_, reply| reply.sent_at + REPLY_RETENTION_MS > now);
    }
}

/// Whether a machine may carry out a start late, or (`is_forget_due`) keeps attempts only because their
/// starts could come once more.
fn needs_fence(machine: &Machine, term: u64, is_forget_due: bool) -> bool {
    let is_kept = |attempt: &Attempt| {
        attempt.phase == Phase::Ended && attempt.reconciled && attempt.direct_start_term >= term
    };
    machine.unconfirmed_token > term
        || machine
            .attempts
            .iter()
            .any(|attempt| attempt.fencing_token > term)
        || (is_forget_due && machine.attempts.iter().any(is_kept))
}

/// Whether no other node can have renewed a machine's lease within the time it lasts. `renewers`: the
/// other standby renewers; `lost_at`: when the keys of former ones went.
pub(super) fn is_unrenewed_everywhere(
    renewers: &BTreeMap<String, u64>,
    lost_at: &HashMap<String, Millis>,
    replies: &HashMap<(String, String), RevocationReply>,
    machine: &str,
    now: Millis,
    lease_ms: Millis,
) -> bool {
    let gone = lost_at.values().all(|at| at + lease_ms < now);
    gone && renewers.keys().all(|label| {
        replies
            .get(&(label.clone(), machine.to_owned()))
            .is_some_and(|reply| {
                reply.is_binding
                    && reply.sent_at + REPLY_VALIDITY_MS > now
                    && reply.lease_ends_at < now
            })
    })
}

/// Marks a machine as lost: every task on it is surely gone.
pub(in crate::coordination) fn mark_lost(
    cluster: &mut ClusterState,
    index: MachineIndex,
    now: Millis,
) {
    for at in (0..cluster.machine(index).attempts.len()).rev() {
        cluster.remove_attempt(index, at, now);
    }
    let machine = &mut cluster.machines[index.as_usize()];
    machine.state = MachineState::Lost;
    machine.idle_since = now;
    machine.command_in_flight = false;
    // Reports of the incarnation that has ended may still arrive.
    machine.incarnation += 1;
    machine.seq = 0;
    cluster.scheduling_needed = true;
}

/// Moves tasks off a machine that will be taken: those that can save do so as late as is safe,
/// those that can't finish in time stop at once.
fn drain_for_reclaim(
    cluster: &mut ClusterState,
    index: MachineIndex,
    reclaim_at: Millis,
    now: Millis,
) {
    let left_s = reclaim_at.saturating_sub(now) as f64 / 1000.0;
    for at in 0..cluster.machine(index).attempts.len() {
        let attempt = &cluster.machine(index).attempts[at];
        if attempt.phase == Phase::Ended || attempt.stop_grace_s.is_some() {
            continue;
        }
        let job = cluster.job(attempt.job);
        let ran = attempt
            .running_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64 / 1000.0);
        let stop = if job.kind == JobKind::Service {
            (left_s < SERVICE_STOP_LEAD_S).then_some(0.0)
        } else if job.checkpoint_s > 0.0 {
            (left_s < job.save_s + SAVE_LEAD_S).then_some(job.save_s)
        } else {
            (job.estimate_s - ran > left_s).then_some(0.0)
        };
        if let Some(grace_s) = stop {
            cluster.request_stop(index, at, grace_s);
        }
    }
}
