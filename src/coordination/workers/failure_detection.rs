//! Failure detection: a machine that sends no heartbeats counts as lost once its lease has expired and no
//! other node can have renewed it.

use std::collections::{BTreeMap, HashMap};

use crate::{
    cluster::{Attempt, ClusterState, Machine, MachineIndex, MachineState, Phase},
    coordination::{Effect, LeaseRevocation, Node, RenewalReply, UnresponsiveMachine},
    protocol::job::JobKind,
    time::Millis,
};

const RENEWER_INQUIRY_INTERVAL_MS: Millis = 1000;
/// How long before an unresponsive machine's lease expires the first inquiry about it is sent to the other lease
/// renewers. Round trips to the members and of a read barrier fit into this time and into
/// [`REVOCATION_LEAD_MS`], whatever the report interval of the workers is.
const INQUIRY_LEAD_MS: Millis = 3500;
/// How long before the lease expires a revocation is sent to the renewers, if none of them seems to renew it.
const REVOCATION_LEAD_MS: Millis = 1200;
/// A reply older than this no longer counts, and the request to the member is repeated.
pub(in crate::coordination) const REPLY_VALIDITY_MS: Millis = 5000;
/// Replies older than this are dropped.
const REPLY_RETENTION_MS: Millis = 60_000;
/// Two nodes may measure a duration differently by up to one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 500;
/// How often the term is raised for no other reason than to let workers forget ended attempts whose starts
/// could be delivered again. Each time costs one more report from every worker.
const FORGET_FENCE_INTERVAL_MS: Millis = 30_000;
const MACHINE_CHECK_INTERVAL_MS: Millis = 200;
/// How long before a machine is reclaimed services on it are stopped.
const SERVICE_STOP_LEAD_S: f64 = 3.0;
/// How long before a machine is reclaimed tasks on it begin to save, besides the time that saving takes.
const SAVE_LEAD_S: f64 = 4.0;

/// A member's reply about the lease of an unresponsive machine.
pub(super) struct RevocationReply {
    /// When the request was sent.
    pub(super) sent_at: Millis,
    /// When the last lease that this member may have given the machine expires.
    pub(super) lease_ends_at: Millis,
    /// The request was a revocation: unless the member renewed the lease recently, it renews it no more.
    pub(super) is_binding: bool,
}

/// The leader's view of the other lease renewers: when their keys were written or deleted, and their
/// replies about unresponsive machines.
#[derive(Default)]
pub struct RenewerRevocations {
    /// When the watch reported that the keys of former renewers were deleted, since the takeover.
    lost_at: HashMap<String, Millis>,
    /// When the watch last reported that each renewer's key was written again.
    registered_at: HashMap<String, Millis>,
    /// The latest reply of each member about each machine.
    replies: HashMap<(String, String), RevocationReply>,
    /// When inquiries were last sent to the renewers.
    last_inquiry_at: Millis,
}

impl RenewerRevocations {
    /// Handles a renewer's key that was written again: a new process under the same label has no
    /// record of the revocations that its predecessor accepted, so they have to be requested again.
    pub(in crate::coordination) fn on_registered(&mut self, label: String, now: Millis) {
        self.replies.retain(|(member, _), _| *member != label);
        self.registered_at.insert(label, now);
    }

    /// Handles a renewer's key that was deleted.
    pub(in crate::coordination) fn on_deregistered(&mut self, label: String, now: Millis) {
        self.lost_at.insert(label, now);
    }

    /// The number of stored replies.
    #[cfg(test)]
    pub(in crate::coordination) fn reply_count(&self) -> usize {
        self.replies.len()
    }
}

/// The inputs of the lease check that are the same for all machines.
struct LeaseCheck<'a> {
    /// The other lease renewers, with the versions of their keys.
    renewers: &'a BTreeMap<String, u64>,
    now: Millis,
    lease_ms: Millis,
    /// When the last read barrier that succeeded was sent. If that was after a lease's end, the registry has
    /// shown every renewer's key that existed while the lease lasted.
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
    /// Checks all machines that are up: marks those as lost whose leases have expired, stops tasks on those
    /// that are about to be reclaimed, and requests a higher term if a start may still be executed late.
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
        for position in 0..cluster.machines.len() {
            let index = MachineIndex(position as u32);
            let machine = &mut cluster.machines[position];
            if machine.state != MachineState::Up {
                continue;
            }
            let responsive_until = machine
                .last_heartbeat_at
                .map(|at| at + heartbeat_timeout_ms);
            machine.unresponsive =
                !just_resumed && responsive_until.is_none_or(|until| until < now);
            if lease_check.is_expired(machine, &leader.revocations) {
                tracing::warn!(
                    machine = machine.name,
                    tasks = machine.attempts.len(),
                    "machine lost: its lease has expired"
                );
                mark_lost(cluster, index, now);
                continue;
            }
            let is_responsive = responsive_until.is_some_and(|until| until > now);
            leader.fence.requested |=
                is_responsive && needs_fence(machine, leader.term, is_forget_due);
            if let Some(reclaim_at) = machine.reclaim_at {
                drain_for_reclaim(cluster, index, reclaim_at, now);
            }
        }
        self.check_reachability();
    }

    /// Sends inquiries about unresponsive machines to the other lease renewers shortly before the leases expire. A lease
    /// is revoked only when no renewer seems to renew it: after an earlier revocation, a renewer rejected
    /// workers that had lost the leader and reached that renewer only after trying a dead node.
    fn ask_lease_renewers(&mut self, labels: Vec<String>) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.revocations.last_inquiry_at + RENEWER_INQUIRY_INTERVAL_MS > now {
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
                        && reply.lease_ends_at < now + REVOCATION_LEAD_MS
                })
        };
        let machines: Vec<UnresponsiveMachine> = cluster
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up && m.lease_until < now + INQUIRY_LEAD_MS)
            .map(|m| UnresponsiveMachine {
                name: m.name.clone(),
                incarnation: m.incarnation,
                is_inquiry: m.lease_until > now + REVOCATION_LEAD_MS
                    || !labels.iter().all(|label| seems_unrenewed(label, &m.name)),
            })
            .collect();
        if machines.is_empty() {
            return;
        }
        leader.revocations.last_inquiry_at = now;
        let (lease, term) = (leader.lease, leader.term);
        let requested_at_ms = self.wall_ms;
        self.request_read_barrier();
        for label in labels {
            self.effects.push(Effect::RequestRevocation {
                lease,
                label,
                revocation: LeaseRevocation {
                    term,
                    machines: machines.clone(),
                    requested_at_ms,
                },
            });
        }
    }

    /// Handles a member's reply about unresponsive machines.
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
            .record_member_report(label.clone(), reply.reporting_workers, now);
        // The request was sent before that member's key was written again: the reply may come from a
        // process that has ended since, and does not bind its successor.
        let revocations = &mut leader.revocations;
        if revocations
            .registered_at
            .get(&label)
            .is_some_and(|at| sent_at <= *at)
        {
            return;
        }
        for renewal in reply.renewals {
            // The member's clock may run faster than this node's: the age is reduced by the possible drift.
            let age_ms = renewal.age_ms - renewal.age_ms / CLOCK_DRIFT_DIVISOR;
            let stored_reply = RevocationReply {
                sent_at,
                lease_ends_at: (now + lease_ms).saturating_sub(age_ms),
                is_binding: !renewal.is_inquiry,
            };
            revocations
                .replies
                .insert((label.clone(), renewal.machine), stored_reply);
        }
        revocations
            .replies
            .retain(|_, reply| reply.sent_at + REPLY_RETENTION_MS > now);
    }
}

/// Whether the term has to be raised for a machine: it may still execute a start that got no response, or
/// (if `is_forget_due`) it keeps ended attempts only because their starts could be delivered again.
fn needs_fence(machine: &Machine, term: u64, is_forget_due: bool) -> bool {
    let is_kept_by_worker = |attempt: &Attempt| {
        attempt.phase == Phase::Ended && attempt.reconciled && attempt.direct_start_term >= term
    };
    machine.unconfirmed_token > term
        || machine
            .attempts
            .iter()
            .any(|attempt| attempt.fencing_token > term)
        || (is_forget_due && machine.attempts.iter().any(is_kept_by_worker))
}

/// Whether no other node can have renewed a machine's lease such that it is still valid. `renewers`: the
/// other lease renewers; `lost_at`: when the keys of former renewers were seen to be deleted.
pub(super) fn is_unrenewed_everywhere(
    renewers: &BTreeMap<String, u64>,
    lost_at: &HashMap<String, Millis>,
    replies: &HashMap<(String, String), RevocationReply>,
    machine: &str,
    now: Millis,
    lease_ms: Millis,
) -> bool {
    let former_leases_expired = lost_at.values().all(|at| at + lease_ms < now);
    former_leases_expired
        && renewers.keys().all(|label| {
            replies
                .get(&(label.clone(), machine.to_owned()))
                .is_some_and(|reply| {
                    reply.is_binding
                        && reply.sent_at + REPLY_VALIDITY_MS > now
                        && reply.lease_ends_at < now
                })
        })
}

/// Marks a machine as lost and removes all its attempts. The caller has made sure that none of its tasks
/// can still run.
pub(in crate::coordination) fn mark_lost(
    cluster: &mut ClusterState,
    index: MachineIndex,
    now: Millis,
) {
    for position in (0..cluster.machine(index).attempts.len()).rev() {
        cluster.remove_attempt(index, position, now);
    }
    let machine = &mut cluster.machines[index.as_usize()];
    machine.state = MachineState::Lost;
    machine.idle_since = now;
    machine.command_in_flight = false;
    // Late reports of the incarnation that has ended are ignored.
    machine.incarnation += 1;
    machine.seq = 0;
    cluster.scheduling_needed = true;
}

/// Stops the tasks on a machine that the cloud will reclaim. Services stop shortly before; tasks with
/// checkpoints save as late as is safe; other tasks that can't finish in time stop immediately.
fn drain_for_reclaim(
    cluster: &mut ClusterState,
    index: MachineIndex,
    reclaim_at: Millis,
    now: Millis,
) {
    let left_s = reclaim_at.saturating_sub(now) as f64 / 1000.0;
    for position in 0..cluster.machine(index).attempts.len() {
        let attempt = &cluster.machine(index).attempts[position];
        if attempt.phase == Phase::Ended || attempt.stop_grace_s.is_some() {
            continue;
        }
        let job = cluster.job(attempt.job);
        let ran_s = attempt
            .running_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64 / 1000.0);
        let stop_grace_s = if job.kind == JobKind::Service {
            (left_s < SERVICE_STOP_LEAD_S).then_some(0.0)
        } else if job.checkpoint_s > 0.0 {
            (left_s < job.save_s + SAVE_LEAD_S).then_some(job.save_s)
        } else {
            (job.estimate_s - ran_s > left_s).then_some(0.0)
        };
        if let Some(grace_s) = stop_grace_s {
            cluster.request_stop(index, position, grace_s);
        }
    }
}
