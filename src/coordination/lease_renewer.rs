//! Lease renewers: every node can renew workers' leases, so that workers survive when only the path to the
//! leader, or the leader itself, has failed.
//!
//! A node may answer a report with 200, with no commands except to stop cancelled tasks, while it certainly
//! holds its key `shared/deputy/<node>` on a lease of its own, and while its copy of the job registry is so
//! recent that a cancellation accepted by another node can still be carried out in time. In return, the
//! leader counts the tasks of an unresponsive machine as gone only when no node can have renewed the
//! machine's lease: each node that holds such a key has replied that it did not renew it and has agreed not
//! to renew this incarnation, and each former holder lost its key at least one full lease duration ago.

use std::collections::{HashMap, HashSet};

use crate::{
    coordination::{
        ApiResponse, Effect, LeaseRenewalAge, LeaseRevocation, Node, RenewalReply, RequestId,
        StateTag,
        registry::RegisteredJob,
        timeouts::{RENEWER_LEASE_MARGIN_MS, UNREACHABLE_NODE_TIMEOUT_MS},
        workers::REPLY_VALIDITY_MS,
    },
    protocol::{
        job::JobStatus,
        state::{
            Condition, StateError, StateReply, StateRequest, StateRequestPriority, Txn, Write,
        },
        worker::{Order, Orders, Redirect, Report, TaskState},
    },
    storage::{self, LeaseRenewerRecord},
    time::Millis,
};

const LEASE_TOUCH_INTERVAL_MS: Millis = 2000;
const REQUEST_TIMEOUT_MS: Millis = 1500;
const RETRY_MS: Millis = 400;
/// Delay after a write that failed because the registry has an outdated version of the key: a read barrier
/// takes less time.
const CONFLICT_RETRY_MS: Millis = 60;
/// A leader from which no announcement has arrived for this long may be unreachable for workers too: it
/// sends one to the members every second, whatever the report interval of the workers is.
const ANNOUNCEMENT_TIMEOUT_MS: Millis = 2600;
/// How long a revocation holds: longer than the leader, which repeats it every second, relies on it. It ends
/// because the machine may have reported to the leader since; if it can later reach only this node, its
/// lease must be renewed here.
const REVOCATION_DURATION_MS: Millis = REPLY_VALIDITY_MS + 2000;
/// The leader no longer waits for the reply to a request older than this. One that a network partition
/// delayed may name machines that have long been responsive again.
const MAX_REVOCATION_AGE_MS: u64 = 2500;

/// The state of this node as a lease renewer.
#[derive(Default)]
pub struct LeaseRenewer {
    /// The lease of the state service that the key is written on.
    lease: Option<u64>,
    /// The key is written and not known to be lost.
    holds_key: bool,
    /// The version of the key, while it is held.
    key_version: u64,
    /// The send time of the last request whose answer showed that the lease was alive.
    lease_confirmed_at: Millis,
    request_in_flight: bool,
    next_request_at: Millis,
    /// When the last announcement of a leader was sent.
    pub leader_announced_at: Option<Millis>,
    /// A leader whose announcement has a higher term than the registry: its term, its label, and when the
    /// announcement was sent.
    announced_leader: Option<(u64, String, Millis)>,
    /// When this node last renewed each worker's lease, and the worker's incarnation then.
    renewals: HashMap<String, (Millis, u64)>,
    /// When each worker was last redirected to the leader.
    redirected_at: HashMap<String, Millis>,
    /// The incarnation whose lease is revoked and the time of the revocation, by machine.
    accepted_revocations: HashMap<String, (u64, Millis)>,
}

impl LeaseRenewer {
    /// The version of this node's key, if it holds it.
    pub(super) fn held_key_version(&self) -> Option<u64> {
        self.holds_key.then_some(self.key_version)
    }
}

impl Node {
    /// Acquires and keeps alive the lease and the key that allow this node to renew workers' leases.
    pub(super) fn maintain_renewer_lease(&mut self) {
        if self.lease_renewer.request_in_flight
            || self.lease_renewer.next_request_at > self.now
            || !self.registry.is_loaded()
        {
            return;
        }
        self.lease_renewer.request_in_flight = true;
        match (self.lease_renewer.lease, self.lease_renewer.holds_key) {
            (None, _) => self.call_state_service(
                StateTag::GrantRenewerLease,
                StateRequest::GrantLease {
                    ttl_ms: self.timeouts.renewer_lease,
                },
                StateRequestPriority::Vital,
                REQUEST_TIMEOUT_MS,
            ),
            (Some(lease), false) => {
                // An earlier process with this label may have written the key as well, and its write may
                // be applied late. The key would then be on that process's lease and be deleted with it
                // while this process still renews workers' leases.
                let key = storage::lease_renewer_key(&self.config.label);
                let key_version = self.registry.lease_renewers.get(&self.config.label);
                let txn = Txn {
                    conditions: vec![Condition {
                        key: key.clone(),
                        version: key_version.copied().unwrap_or(0),
                    }],
                    writes: vec![Write::Put {
                        key,
                        value: storage::to_value(&LeaseRenewerRecord { lease }),
                        lease: Some(lease),
                    }],
                };
                self.call_state_service(
                    StateTag::PutRenewerKey { lease },
                    StateRequest::Txn(txn),
                    StateRequestPriority::Vital,
                    REQUEST_TIMEOUT_MS,
                );
            }
            (Some(lease), true) => self.call_state_service(
                StateTag::TouchRenewerLease { lease },
                StateRequest::RenewLease { lease },
                StateRequestPriority::Vital,
                REQUEST_TIMEOUT_MS,
            ),
        }
    }

    fn schedule_renewer_request(&mut self, delay_ms: Millis) {
        self.lease_renewer.request_in_flight = false;
        self.lease_renewer.next_request_at = self.now + delay_ms;
    }

    fn on_renewer_lease_lost(&mut self) {
        self.lease_renewer.lease = None;
        self.lease_renewer.holds_key = false;
        self.schedule_renewer_request(RETRY_MS);
    }

    /// Handles the answer to the request for this node's own lease.
    pub(super) fn on_renewer_lease_granted(
        &mut self,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            Ok(StateReply::Granted(lease)) => {
                self.lease_renewer.lease = Some(lease);
                self.lease_renewer.holds_key = false;
                self.lease_renewer.lease_confirmed_at = sent_at;
                self.schedule_renewer_request(0);
            }
            _ => self.schedule_renewer_request(RETRY_MS),
        }
    }

    /// Handles the answer to the write of this node's key.
    pub(super) fn on_renewer_key_written(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        if self.lease_renewer.lease != Some(lease) {
            return;
        }
        match result {
            Ok(StateReply::Committed(version)) => {
                self.lease_renewer.holds_key = true;
                self.lease_renewer.key_version = version;
                self.schedule_renewer_request(LEASE_TOUCH_INTERVAL_MS);
            }
            Ok(StateReply::LeaseNotFound) => self.on_renewer_lease_lost(),
            // The key has another version than the registry shows: an earlier process wrote it, or this
            // process did and got no answer.
            Ok(StateReply::Conflict(_)) => {
                self.request_read_barrier();
                self.schedule_renewer_request(CONFLICT_RETRY_MS);
            }
            _ => self.schedule_renewer_request(RETRY_MS),
        }
    }

    /// Handles a lease renewer's key that was written again. A new process under the same label has no record
    /// of the revocations that its predecessor accepted, so they have to be requested again.
    pub(super) fn on_renewer_registered(&mut self, label: String, version: u64) {
        if label == self.config.label {
            // A process of an earlier release wrote the key without a condition: it is on another lease now.
            if self.lease_renewer.holds_key && version > self.lease_renewer.key_version {
                self.on_renewer_lease_lost();
            }
            return;
        }
        if let Some(leader) = &mut self.leader_state {
            leader.revocations.on_registered(label, self.now);
        }
    }

    /// Handles a lease renewer's key that was deleted.
    pub(super) fn on_renewer_deregistered(&mut self, label: String, version: u64) {
        if label == self.config.label {
            if self.lease_renewer.holds_key && version > self.lease_renewer.key_version {
                self.on_renewer_lease_lost();
            }
            return;
        }
        if let Some(leader) = &mut self.leader_state {
            leader.revocations.on_deregistered(label, self.now);
        }
    }

    /// Handles the answer to a renewal of this node's own lease.
    pub(super) fn on_renewer_lease_touched(
        &mut self,
        lease: u64,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        if self.lease_renewer.lease != Some(lease) {
            return;
        }
        match result {
            Ok(StateReply::LeaseUpdated) => {
                self.lease_renewer.lease_confirmed_at =
                    self.lease_renewer.lease_confirmed_at.max(sent_at);
                self.schedule_renewer_request(LEASE_TOUCH_INTERVAL_MS);
            }
            Ok(StateReply::LeaseNotFound) => self.on_renewer_lease_lost(),
            _ => self.schedule_renewer_request(RETRY_MS),
        }
    }

    /// Until when this node may answer reports with 200: until then its key certainly exists, and a
    /// cancellation that another node accepted just after the last read barrier can still be carried out in
    /// time, because workers' leases expire. `None`: it may not.
    pub(super) fn may_renew_until(&self) -> Option<Millis> {
        let synced_at = self
            .read_barrier
            .confirmed_at
            .filter(|_| self.lease_renewer.holds_key)?;
        let until = synced_at + self.timeouts.renewal_allowance;
        Some(
            until.min(
                (self.lease_renewer.lease_confirmed_at + self.timeouts.renewer_lease)
                    .saturating_sub(RENEWER_LEASE_MARGIN_MS),
            ),
        )
    }

    /// Whether this node may answer reports with 200 now.
    pub(super) fn can_renew(&self) -> bool {
        self.may_renew_until().is_some_and(|until| self.now < until)
    }

    /// Handles a heartbeat on a node that does not lead: renews the worker's lease, or redirects the worker to
    /// the leader.
    pub(super) fn handle_heartbeat_as_renewer(&mut self, id: RequestId, report: &Report) {
        let now = self.now;
        let leader = self.current_other_leader();
        let leader_is_alive = self
            .lease_renewer
            .leader_announced_at
            .is_some_and(|at| at + ANNOUNCEMENT_TIMEOUT_MS > now);
        // A worker that reports here again this soon after its redirect did not reach the leader. Before it
        // came back, it may have tried all other nodes and timed out on each.
        let max_return_ms =
            UNREACHABLE_NODE_TIMEOUT_MS * self.config.members.len() as Millis + 1000;
        let redirected_at = self
            .lease_renewer
            .redirected_at
            .get(&report.machine)
            .copied();
        let redirect_failed = redirected_at.is_some_and(|at| at + max_return_ms > now);
        if leader.is_some() && leader_is_alive && !redirect_failed {
            // This node has no record of how much is left of the worker's lease. After a node had restarted
            // inside a network partition, workers that it redirected lost their tasks, because their leases
            // expired while they tried the leader and came back. Therefore the lease is renewed first.
            let is_busy = report.tasks.iter().any(|t| t.state != TaskState::Ended);
            let last_renewal = self.lease_renewer.renewals.get(&report.machine);
            let is_recent =
                last_renewal.is_some_and(|(at, _)| at + self.timeouts.recent_renewal > now);
            if is_busy
                && !is_recent
                && let Some(orders) = self.renew_worker_lease(report)
            {
                return self.respond(id, ApiResponse::json(200, &orders));
            }
            tracing::debug!(machine = report.machine, "worker redirected to the leader");
            self.lease_renewer
                .redirected_at
                .insert(report.machine.clone(), now);
            return self.respond(id, ApiResponse::json(421, &Redirect { leader }));
        }
        // After a while it is redirected again: by then it may be able to reach the leader.
        if !redirect_failed {
            self.lease_renewer.redirected_at.remove(&report.machine);
        }
        let renewal = self.renew_worker_lease(report);
        let renewed = renewal.is_some();
        tracing::debug!(
            machine = report.machine,
            leader_is_alive,
            redirect_failed,
            renewed,
            "heartbeat while not leading"
        );
        match renewal {
            Some(orders) => self.respond(id, ApiResponse::json(200, &orders)),
            None if leader.is_some() => {
                self.respond(id, ApiResponse::json(421, &Redirect { leader }))
            }
            None => self.respond(id, ApiResponse::error(503, "no leader")),
        }
    }

    /// Handles the term and label in a leader's announcement, which was sent at `sent_at`. A leader that can't reach the state service
    /// learns only from this that it has a successor. Without it, a deposed leader kept renewing workers' leases
    /// itself for as long as it was allowed to.
    pub(super) fn on_leader_announced(&mut self, term: u64, leader: String, sent_at: Millis) {
        let last_sent_at = &mut self.lease_renewer.leader_announced_at;
        *last_sent_at = (*last_sent_at).max(Some(sent_at));
        if term <= self.registry.term || leader == self.config.label || leader.is_empty() {
            return;
        }
        if self.leader_state.as_ref().is_some_and(|l| l.term < term) {
            tracing::warn!(leader, term, "another node leads in a higher term");
            self.step_down();
        }
        self.lease_renewer.announced_leader = Some((term, leader, sent_at));
    }

    /// The label of the leader if that is another node: by a recent announcement of a newer term, else by the
    /// registry.
    pub(super) fn current_other_leader(&self) -> Option<String> {
        let announced = self.lease_renewer.announced_leader.as_ref();
        let announced = announced.filter(|(term, _, at)| {
            *term > self.registry.term && at + ANNOUNCEMENT_TIMEOUT_MS > self.now
        });
        let registered = self.registry.leader.as_ref();
        announced
            .map(|(_, label, _)| label)
            .or(registered.map(|(record, _)| &record.node))
            .filter(|label| **label != self.config.label)
            .cloned()
    }

    /// Renews a worker's lease and returns commands to stop its cancelled tasks. `None`: this node must not
    /// renew the lease now.
    pub(super) fn renew_worker_lease(&mut self, report: &Report) -> Option<Orders> {
        let now = self.now;
        if !self.can_renew() || report.token > self.registry.term || self.registry.term == 0 {
            return None;
        }
        if let Some(&(incarnation, at)) =
            self.lease_renewer.accepted_revocations.get(&report.machine)
            && now < at + REVOCATION_DURATION_MS
            && (incarnation == 0 || report.incarnation <= incarnation)
        {
            return None;
        }
        self.record_renewal(report);
        Some(Orders {
            token: self.registry.term,
            orders: self.stop_orders_for_cancelled(report),
        })
    }

    /// Commands to stop the tasks of cancelled jobs that a worker runs. Each node sends them when it renews a
    /// lease, also a leader that is still rebuilding the cluster state: tasks of cancelled jobs would not stop
    /// by themselves, because the renewed lease does not expire.
    pub(super) fn stop_orders_for_cancelled(&self, report: &Report) -> Vec<Order> {
        let is_cancelled = |job| {
            let entry = self.registry.get(job);
            entry.and_then(RegisteredJob::final_status) == Some(JobStatus::Cancelled)
        };
        let tasks = report.tasks.iter();
        tasks
            .filter(|task| task.state != TaskState::Ended && is_cancelled(task.task.job))
            .map(|task| Order::Stop {
                task: task.task,
                attempt: task.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    /// Records that a report was answered with 200. Leaders record this too: a later leader requests the time
    /// of the last renewal.
    pub(super) fn record_renewal(&mut self, report: &Report) {
        self.lease_renewer
            .renewals
            .insert(report.machine.clone(), (self.now, report.incarnation));
    }

    /// How many workers have recently reported to this node, including those redirected to the leader.
    fn count_reporting_workers(&self) -> usize {
        let is_recent = |at: Millis| at + self.timeouts.heartbeat_timeout > self.now;
        let renewed = self.lease_renewer.renewals.iter();
        let renewed = renewed
            .filter(|(_, (at, _))| is_recent(*at))
            .map(|(name, _)| name);
        let redirected = self.lease_renewer.redirected_at.iter();
        let redirected = redirected
            .filter(|(_, at)| is_recent(**at))
            .map(|(name, _)| name);
        renewed.chain(redirected).collect::<HashSet<_>>().len()
    }

    /// Handles the leader's request about unresponsive machines: replies when this node last renewed each
    /// lease, and for a revocation stops renewing those that it has not renewed recently.
    pub(super) fn handle_revocation(&mut self, id: RequestId, revocation: LeaseRevocation) {
        let now = self.now;
        if self
            .leader_state
            .as_ref()
            .is_some_and(|l| revocation.term > l.term)
        {
            // The sender leads in a higher term.
            self.step_down();
        }
        let retention_ms = self.timeouts.worker_lease + 60_000;
        self.lease_renewer
            .renewals
            .retain(|_, (at, _)| *at + retention_ms > now);
        self.lease_renewer
            .redirected_at
            .retain(|_, at| *at + retention_ms > now);
        let mut renewals = Vec::new();
        let max_skew_ms = self.time_of_day().max_skew_ms;
        let is_stale =
            self.wall_ms > revocation.requested_at_ms + MAX_REVOCATION_AGE_MS + max_skew_ms;
        if revocation.term >= self.registry.term && !is_stale {
            for machine in revocation.machines {
                let last_renewal = self.lease_renewer.renewals.get(&machine.name).copied();
                // An earlier process with this label may have renewed it until this one started, at time 0.
                let age_ms = last_renewal.map_or(now, |(at, _)| now.saturating_sub(at));
                // A lease that this node renewed recently is not revoked: the worker depends on this node.
                if age_ms > self.timeouts.worker_lease / 2 && !machine.is_inquiry {
                    let accepted = (machine.incarnation, now);
                    self.lease_renewer
                        .accepted_revocations
                        .insert(machine.name.clone(), accepted);
                }
                renewals.push(LeaseRenewalAge {
                    machine: machine.name,
                    age_ms,
                    is_inquiry: machine.is_inquiry,
                });
            }
        }
        let reporting_workers = self.count_reporting_workers();
        self.effects.push(Effect::RespondRevocation(
            id,
            RenewalReply {
                renewals,
                reporting_workers,
            },
        ));
    }
}

#[cfg(test)]
mod tests;
