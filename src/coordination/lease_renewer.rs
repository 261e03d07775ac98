//! Deputies: every node may keep workers alive, so that a worker survives when only its way to the
//! leader, or the leader itself, is gone.
//!
//! A node may answer reports with 200, without orders, while it surely holds `shared/deputy/<node>`
//! on a lease of its own, and while its view of the jobs is so new that a cancellation told elsewhere
//! can still be carried out in time. In turn the leader takes a silent machine's tasks for gone only
//! when no node can have renewed it: each node that holds such a key has said so and promised to
//! leave that session alone, and whoever held one before has lost it for a whole lease.

use std::collections::{HashMap, HashSet};

use crate::{
    coordination::{
        ApiResponse, Effect, LeaseRenewalAge, LeaseRevocation, Node, RenewalReply, RequestId,
        StateTag,
        registry::RegisteredJob,
        timeouts::{RENEWER_LEASE_MARGIN_MS, UNREACHABLE_NODE_COST_MS},
        workers::REPLY_VALIDITY_MS,
    },
    protocol::{
        job::JobStatus,
        state::{Condition, StateError, StateReply, StateRequest, Txn, Urgency, Write},
        worker::{Order, Orders, Redirect, Report, TaskState},
    },
    storage::{self, LeaseRenewerRecord},
    time::Millis,
};

const LEASE_TOUCH_INTERVAL_MS: Millis = 2000;
const REQUEST_TIMEOUT_MS: Millis = 1500;
const RETRY_MS: Millis = 400;
/// After a write that met another version than the view has: a sync takes less.
const CONFLICT_RETRY_MS: Millis = 60;
/// A leader that has not been heard of for this long may be out of the workers' reach too: it tells the
/// members something each second, whatever the workers do.
const LEADER_SILENCE_MS: Millis = 2600;
/// How long a promise to leave a machine alone binds: longer than the leader, which asks again every
/// second, acts on it. A machine that it has heard from since must not be left to die when it can
/// only reach this node later.
const PROMISE_DURATION_MS: Millis = REPLY_VALIDITY_MS + 2000;
/// A question older than this has been given up by the leader. HeldTask back by a cut, it may be about
/// machines that have long been heard again.
const MAX_REVOCATION_AGE_MS: u64 = 2500;

#[derive(Default)]
pub struct LeaseRenewer {
    lease: Option<u64>,
    holds_key: bool,
    /// The version of this node's key, while it is held.
    key_version: u64,
    /// The send time of the last request that proved the lease alive.
    lease_confirmed_at: Millis,
    request_in_flight: bool,
    next_request_at: Millis,
    pub leader_heard_at: Option<Millis>,
    /// A leader that the state service has not told of: its term, its label, and when it was heard.
    announced_leader: Option<(u64, String, Millis)>,
    /// When each worker's lease was last renewed here, and of which session.
    renewals: HashMap<String, (Millis, u64)>,
    /// When each worker was last sent to the leader.
    redirected_at: HashMap<String, Millis>,
    /// Sessions not to be renewed, and when that was promised.
    promises: HashMap<String, (u64, Millis)>,
}

impl LeaseRenewer {
    /// The version of this node's key, if it holds it.
    pub(super) fn held_key_version(&self) -> Option<u64> {
        self.holds_key.then_some(self.key_version)
    }
}

impl Node {
    /// Gets and keeps the right to renew.
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
                StateRequest::Grant {
                    ttl_ms: self.timeouts.renewer_lease,
                },
                Urgency::Vital,
                REQUEST_TIMEOUT_MS,
            ),
            (Some(lease), false) => {
                // A process that had this label before may have written the key as well, and the write
                // may be applied late: on that process's lease, with which the key would go while this
                // one still renews.
                let key = storage::lease_renewer_key(&self.config.label);
                let known = self.registry.lease_renewers.get(&self.config.label);
                let txn = Txn {
                    conditions: vec![Condition {
                        key: key.clone(),
                        version: known.copied().unwrap_or(0),
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
                    Urgency::Vital,
                    REQUEST_TIMEOUT_MS,
                );
            }
            (Some(lease), true) => self.call_state_service(
                StateTag::TouchRenewerLease { lease },
                StateRequest::Touch { lease },
                Urgency::Vital,
                REQUEST_TIMEOUT_MS,
            ),
        }
    }

    fn schedule_renewer_request(&mut self, wait: Millis) {
        self.lease_renewer.request_in_flight = false;
        self.lease_renewer.next_request_at = self.now + wait;
    }

    fn on_renewer_lease_lost(&mut self) {
        self.lease_renewer.lease = None;
        self.lease_renewer.holds_key = false;
        self.schedule_renewer_request(RETRY_MS);
    }

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
            Ok(StateReply::NoLease) => self.on_renewer_lease_lost(),
            // It has another version than the view says: written by a process before, or by this one
            // without an answer.
            Ok(StateReply::Conflict(_)) => {
                self.request_read_barrier();
                self.schedule_renewer_request(CONFLICT_RETRY_MS);
            }
            _ => self.schedule_renewer_request(RETRY_MS),
        }
    }

    /// A deputy's key was written anew. What that node promised before, a process that has begun since
    /// under the same label knows nothing of: it has to be asked again.
    pub(super) fn on_renewer_registered(&mut self, label: String, version: u64) {
        if label == self.config.label {
            // By a version before, which wrote without a condition: it hangs on another lease now.
            if self.lease_renewer.holds_key && version > self.lease_renewer.key_version {
                self.on_renewer_lease_lost();
            }
            return;
        }
        if let Some(leader) = &mut self.leader_state {
            leader.revocations.on_registered(label, self.now);
        }
    }

    pub(super) fn on_renewer_gone(&mut self, label: String, version: u64) {
        if label == self.config.label {
            if self.lease_renewer.holds_key && version > self.lease_renewer.key_version {
                self.on_renewer_lease_lost();
            }
            return;
        }
        if let Some(leader) = &mut self.leader_state {
            leader.revocations.on_gone(label, self.now);
        }
    }

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
            Ok(StateReply::Touched) => {
                self.lease_renewer.lease_confirmed_at =
                    self.lease_renewer.lease_confirmed_at.max(sent_at);
                self.schedule_renewer_request(LEASE_TOUCH_INTERVAL_MS);
            }
            Ok(StateReply::NoLease) => self.on_renewer_lease_lost(),
            _ => self.schedule_renewer_request(RETRY_MS),
        }
    }

    /// Until when this node may answer reports with 200: its key surely is there, and a cancellation
    /// told elsewhere just after the last sync can still be carried out in time by letting the
    /// leases run out.
    pub(super) fn renewal_right_ends_at(&self) -> Option<Millis> {
        let synced = self
            .read_barrier
            .confirmed_at
            .filter(|_| self.lease_renewer.holds_key)?;
        let until = synced + self.timeouts.renewal_allowance;
        Some(
            until.min(
                (self.lease_renewer.lease_confirmed_at + self.timeouts.renewer_lease)
                    .saturating_sub(RENEWER_LEASE_MARGIN_MS),
            ),
        )
    }

    pub(super) fn can_renew(&self) -> bool {
        self.renewal_right_ends_at()
            .is_some_and(|until| self.now < until)
    }

    /// A report came to a node that does not lead.
    pub(super) fn handle_heartbeat_as_renewer(&mut self, id: RequestId, report: &Report) {
        let now = self.now;
        let leader = self.current_other_leader();
        let heard = self
            .lease_renewer
            .leader_heard_at
            .is_some_and(|at| at + LEADER_SILENCE_MS > now);
        // A worker that comes back this soon after it was sent to the leader did not get through. On
        // its way back it may have tried all other nodes in vain.
        let bounce = UNREACHABLE_NODE_COST_MS * self.config.members.len() as Millis + 1000;
        let sent_on = self
            .lease_renewer
            .redirected_at
            .get(&report.machine)
            .copied();
        let bounced = sent_on.is_some_and(|at| at + bounce > now);
        if leader.is_some() && heard && !bounced {
            // Nothing is known of how long its lease has left: one that has just found this node,
            // started anew inside a cut, would lose its tasks on the way to the leader and back.
            let busy = report.tasks.iter().any(|t| t.state != TaskState::Ended);
            let known = self.lease_renewer.renewals.get(&report.machine);
            let fresh = known.is_some_and(|(at, _)| at + self.timeouts.recent_renewal > now);
            if busy
                && !fresh
                && let Some(orders) = self.renew_worker_lease(report)
            {
                return self.respond(id, ApiResponse::json(200, &orders));
            }
            tracing::debug!(machine = report.machine, "sent on to the leader");
            self.lease_renewer
                .redirected_at
                .insert(report.machine.clone(), now);
            return self.respond(id, ApiResponse::json(421, &Redirect { leader }));
        }
        // Every so often it is sent on again: the way may be open by now.
        if !bounced {
            self.lease_renewer.redirected_at.remove(&report.machine);
        }
        let renewal = self.renew_worker_lease(report);
        let renewed = renewal.is_some();
        tracing::debug!(machine = report.machine, heard, bounced, renewed, "reports");
        match renewal {
            Some(orders) => self.respond(id, ApiResponse::json(200, &orders)),
            None if leader.is_some() => {
                self.respond(id, ApiResponse::json(421, &Redirect { leader }))
            }
            None => self.respond(id, ApiResponse::error(503, "no leader")),
        }
    }

    /// A leader told how far jobs are. A node that the state service refuses learns only by that that it
    /// has a successor: it kept workers to itself for as long as it might renew them.
    pub(super) fn on_leader_announced(&mut self, term: u64, leader: String) {
        if term <= self.registry.term || leader == self.config.label || leader.is_empty() {
            return;
        }
        if self.leader_state.as_ref().is_some_and(|l| l.term < term) {
            tracing::warn!(leader, term, "a member leads");
            self.step_down();
        }
        self.lease_renewer.announced_leader = Some((term, leader, self.now));
    }

    /// The node that leads, if it is another, by what was heard last.
    pub(super) fn current_other_leader(&self) -> Option<String> {
        let told = self.lease_renewer.announced_leader.as_ref();
        let told = told.filter(|(term, _, at)| {
            *term > self.registry.term && at + LEADER_SILENCE_MS > self.now
        });
        let known = self.registry.leader.as_ref();
        told.map(|(_, label, _)| label)
            .or(known.map(|(record, _)| &record.node))
            .filter(|label| **label != self.config.label)
            .cloned()
    }

    /// Renews a worker's lease, where that is allowed, and stops what its user has cancelled.
    pub(super) fn renew_worker_lease(&mut self, report: &Report) -> Option<Orders> {
        let now = self.now;
        if !self.can_renew() || report.token > self.registry.term || self.registry.term == 0 {
            return None;
        }
        if let Some(&(session, at)) = self.lease_renewer.promises.get(&report.machine)
            && now < at + PROMISE_DURATION_MS
            && (session == 0 || report.incarnation <= session)
        {
            return None;
        }
        self.record_renewal(report);
        Some(Orders {
            token: self.registry.term,
            orders: self.stop_orders_for_cancelled(report),
        })
    }

    /// Stops what a worker runs and a user has cancelled. Whoever renews a worker sends these with it, also a
    /// leader without books: what is known here to be cancelled is not carried out by leases running out.
    pub(super) fn stop_orders_for_cancelled(&self, report: &Report) -> Vec<Order> {
        let cancelled = |job| {
            let entry = self.registry.get(job);
            entry.and_then(RegisteredJob::final_status) == Some(JobStatus::Cancelled)
        };
        let tasks = report.tasks.iter();
        tasks
            .filter(|task| task.state != TaskState::Ended && cancelled(task.task.job))
            .map(|task| Order::Stop {
                task: task.task,
                attempt: task.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    /// LeaderLog that a report was answered with 200, by the leader as by a deputy: a later leader will
    /// ask.
    pub(super) fn record_renewal(&mut self, report: &Report) {
        self.lease_renewer
            .renewals
            .insert(report.machine.clone(), (self.now, report.incarnation));
    }

    /// How many workers have reported here lately, those included that were sent on to the leader.
    fn count_workers_heard(&self) -> usize {
        let lately = |at: Millis| at + self.timeouts.heartbeat_timeout > self.now;
        let renewed = self.lease_renewer.renewals.iter();
        let renewed = renewed
            .filter(|(_, (at, _))| lately(*at))
            .map(|(name, _)| name);
        let sent_on = self.lease_renewer.redirected_at.iter();
        let sent_on = sent_on.filter(|(_, at)| lately(**at)).map(|(name, _)| name);
        renewed.chain(sent_on).collect::<HashSet<_>>().len()
    }

    /// The leader asks about silent machines: from now on they are not renewed here, and it learns
    /// when they last were.
    pub(super) fn handle_revocation(&mut self, id: RequestId, revocation: LeaseRevocation) {
        let now = self.now;
        if self
            .leader_state
            .as_ref()
            .is_some_and(|l| revocation.term > l.term)
        {
            // The asker leads now.
            self.step_down();
        }
        let horizon = self.timeouts.worker_lease + 60_000;
        self.lease_renewer
            .renewals
            .retain(|_, (at, _)| *at + horizon > now);
        self.lease_renewer
            .redirected_at
            .retain(|_, at| *at + horizon > now);
        let mut renewals = Vec::new();
        let clocks = 2 * self.config.settings.clock_error_ms as u64;
        let stale = self.wall_ms > revocation.asked_at_ms + MAX_REVOCATION_AGE_MS + clocks;
        if revocation.term >= self.registry.term && !stale {
            for machine in revocation.machines {
                let renewed = self.lease_renewer.renewals.get(&machine.name).copied();
                // A process that had this label before may have renewed it up to our start.
                let age_ms = renewed.map_or(now, |(at, _)| now.saturating_sub(at));
                // One that lives by our renewals is not promised away.
                if age_ms > self.timeouts.worker_lease / 2 && !machine.is_inquiry {
                    let promised = (machine.incarnation, now);
                    self.lease_renewer
                        .promises
                        .insert(machine.name.clone(), promised);
                }
                renewals.push(LeaseRenewalAge {
                    machine: machine.name,
                    age_ms,
                    is_inquiry: machine.is_inquiry,
                });
            }
        }
        let hears = self.count_workers_heard();
        self.effects.push(Effect::RespondRevocation(
            id,
            RenewalReply {
                renewals,
                workers_heard: hears,
            },
        ));
    }
}

#[cfg(test)]
mod tests;
