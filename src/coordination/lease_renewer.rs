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
        Answer, AskId, Effect, Node, Renewal, Revocation, StateTag, Word,
        fleet::ACK_FRESH,
        registry::Entry,
        timeouts::{EARLY, UNREACHED},
    },
    protocol::{
        job::JobStatus,
        state::{Condition, StateError, StateReply, StateRequest, Txn, Urgency, Write},
        worker::{Order, Orders, Redirect, Report, TaskState},
    },
    storage::{self, DeputyRecord},
    time::Millis,
};

const TOUCH: Millis = 2000;
const TIMEOUT: Millis = 1500;
const RETRY: Millis = 400;
/// After a write that met another version than the view has: a sync takes less.
const CONFLICT: Millis = 60;
/// A leader that has not been heard of for this long may be out of the workers' reach too: it tells the
/// members something each second, whatever the workers do.
const LEADER_SILENT: Millis = 2600;
/// How long a promise to leave a machine alone binds: longer than the leader, which asks again every
/// second, acts on it. A machine that it has heard from since must not be left to die when it can
/// only reach this node later.
const PROMISE: Millis = ACK_FRESH + 2000;
/// A question older than this has been given up by the leader. Held back by a cut, it may be about
/// machines that have long been heard again.
const STALE_QUESTION: u64 = 2500;

#[derive(Default)]
pub struct Deputy {
    lease: Option<u64>,
    held: bool,
    /// The version of this node's key, while it is held.
    version: u64,
    /// The send time of the last request that proved the lease alive.
    ok: Millis,
    busy: bool,
    after: Millis,
    pub leader_heard: Option<Millis>,
    /// A leader that the state service has not told of: its term, its label, and when it was heard.
    told_leader: Option<(u64, String, Millis)>,
    /// When each worker's lease was last renewed here, and of which session.
    renewed: HashMap<String, (Millis, u64)>,
    /// When each worker was last sent to the leader.
    sent_on: HashMap<String, Millis>,
    /// Sessions not to be renewed, and when that was promised.
    revoked: HashMap<String, (u64, Millis)>,
}

impl Deputy {
    /// The version of this node's key, if it holds it.
    pub(super) fn key_version(&self) -> Option<u64> {
        self.held.then_some(self.version)
    }
}

impl Node {
    /// Gets and keeps the right to renew.
    pub(super) fn keep_deputy(&mut self) {
        if self.deputy.busy || self.deputy.after > self.now || !self.directory.loaded() {
            return;
        }
        self.deputy.busy = true;
        match (self.deputy.lease, self.deputy.held) {
            (None, _) => self.state(
                StateTag::DeputyGrant,
                StateRequest::Grant {
                    life_ms: self.times.deputy_life,
                },
                Urgency::Vital,
                TIMEOUT,
            ),
            (Some(lease), false) => {
                // A process that had this label before may have written the key as well, and the write
                // may be applied late: on that process's lease, with which the key would go while this
                // one still renews.
                let key = storage::deputy_key(&self.config.label);
                let known = self.directory.deputies.get(&self.config.label);
                let txn = Txn {
                    conditions: vec![Condition {
                        key: key.clone(),
                        version: known.copied().unwrap_or(0),
                    }],
                    writes: vec![Write::Put {
                        key,
                        value: storage::to_value(&DeputyRecord { lease }),
                        lease: Some(lease),
                    }],
                };
                self.state(
                    StateTag::DeputyPut { lease },
                    StateRequest::Txn(txn),
                    Urgency::Vital,
                    TIMEOUT,
                );
            }
            (Some(lease), true) => self.state(
                StateTag::DeputyTouch { lease },
                StateRequest::Touch { lease },
                Urgency::Vital,
                TIMEOUT,
            ),
        }
    }

    fn deputy_next(&mut self, wait: Millis) {
        self.deputy.busy = false;
        self.deputy.after = self.now + wait;
    }

    fn deputy_lost(&mut self) {
        self.deputy.lease = None;
        self.deputy.held = false;
        self.deputy_next(RETRY);
    }

    pub(super) fn deputy_granted(
        &mut self,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            Ok(StateReply::Granted(lease)) => {
                self.deputy.lease = Some(lease);
                self.deputy.held = false;
                self.deputy.ok = sent_at;
                self.deputy_next(0);
            }
            _ => self.deputy_next(RETRY),
        }
    }

    pub(super) fn deputy_put(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        if self.deputy.lease != Some(lease) {
            return;
        }
        match result {
            Ok(StateReply::Committed(version)) => {
                self.deputy.held = true;
                self.deputy.version = version;
                self.deputy_next(TOUCH);
            }
            Ok(StateReply::NoLease) => self.deputy_lost(),
            // It has another version than the view says: written by a process before, or by this one
            // without an answer.
            Ok(StateReply::Conflict(_)) => {
                self.want_sync();
                self.deputy_next(CONFLICT);
            }
            _ => self.deputy_next(RETRY),
        }
    }

    /// A deputy's key was written anew. What that node promised before, a process that has begun since
    /// under the same label knows nothing of: it has to be asked again.
    pub(super) fn deputy_came(&mut self, label: String, version: u64) {
        if label == self.config.label {
            // By a version before, which wrote without a condition: it hangs on another lease now.
            if self.deputy.held && version > self.deputy.version {
                self.deputy_lost();
            }
            return;
        }
        if let Some(leading) = &mut self.leading {
            leading.acks.retain(|(member, _), _| *member != label);
            leading.came.insert(label, self.now);
        }
    }

    pub(super) fn deputy_gone(&mut self, label: String, version: u64) {
        if label == self.config.label {
            if self.deputy.held && version > self.deputy.version {
                self.deputy_lost();
            }
            return;
        }
        if let Some(leading) = &mut self.leading {
            leading.gone.insert(label, self.now);
        }
    }

    pub(super) fn deputy_touched(
        &mut self,
        lease: u64,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        if self.deputy.lease != Some(lease) {
            return;
        }
        match result {
            Ok(StateReply::Touched) => {
                self.deputy.ok = self.deputy.ok.max(sent_at);
                self.deputy_next(TOUCH);
            }
            Ok(StateReply::NoLease) => self.deputy_lost(),
            _ => self.deputy_next(RETRY),
        }
    }

    /// Until when this node may answer reports with 200: its key surely is there, and a cancellation
    /// told elsewhere just after the last sync can still be carried out in time by letting the
    /// leases run out.
    pub(super) fn renews_until(&self) -> Option<Millis> {
        let synced = self.sync.ok.filter(|_| self.deputy.held)?;
        let until = synced + self.times.allowance;
        Some(until.min((self.deputy.ok + self.times.deputy_life).saturating_sub(EARLY)))
    }

    pub(super) fn may_renew(&self) -> bool {
        self.renews_until().is_some_and(|until| self.now < until)
    }

    /// A report came to a node that does not lead.
    pub(super) fn check_in_as_deputy(&mut self, id: AskId, report: &Report) {
        let now = self.now;
        let leader = self.other_leader();
        let heard = self
            .deputy
            .leader_heard
            .is_some_and(|at| at + LEADER_SILENT > now);
        // A worker that comes back this soon after it was sent to the leader did not get through. On
        // its way back it may have tried all other nodes in vain.
        let bounce = UNREACHED * self.config.members.len() as Millis + 1000;
        let sent_on = self.deputy.sent_on.get(&report.machine).copied();
        let bounced = sent_on.is_some_and(|at| at + bounce > now);
        if leader.is_some() && heard && !bounced {
            // Nothing is known of how long its lease has left: one that has just found this node,
            // started anew inside a cut, would lose its tasks on the way to the leader and back.
            let busy = report.tasks.iter().any(|t| t.state != TaskState::Ended);
            let known = self.deputy.renewed.get(&report.machine);
            let fresh = known.is_some_and(|(at, _)| at + self.times.fresh > now);
            if busy
                && !fresh
                && let Some(orders) = self.renew(report)
            {
                return self.answer(id, Answer::with(200, &orders));
            }
            tracing::debug!(machine = report.machine, "sent on to the leader");
            self.deputy.sent_on.insert(report.machine.clone(), now);
            return self.answer(id, Answer::with(421, &Redirect { leader }));
        }
        // Every so often it is sent on again: the way may be open by now.
        if !bounced {
            self.deputy.sent_on.remove(&report.machine);
        }
        let renewal = self.renew(report);
        let renewed = renewal.is_some();
        tracing::debug!(machine = report.machine, heard, bounced, renewed, "reports");
        match renewal {
            Some(orders) => self.answer(id, Answer::with(200, &orders)),
            None if leader.is_some() => self.answer(id, Answer::with(421, &Redirect { leader })),
            None => self.answer(id, Answer::error(503, "no leader")),
        }
    }

    /// A leader told how far jobs are. A node that the state service refuses learns only by that that it
    /// has a successor: it kept workers to itself for as long as it might renew them.
    pub(super) fn heard_leader(&mut self, term: u64, leader: String) {
        if term <= self.directory.term || leader == self.config.label || leader.is_empty() {
            return;
        }
        if self.leading.as_ref().is_some_and(|l| l.term < term) {
            tracing::warn!(leader, term, "a member leads");
            self.step_down();
        }
        self.deputy.told_leader = Some((term, leader, self.now));
    }

    /// The node that leads, if it is another, by what was heard last.
    pub(super) fn other_leader(&self) -> Option<String> {
        let told = self.deputy.told_leader.as_ref();
        let told = told
            .filter(|(term, _, at)| *term > self.directory.term && at + LEADER_SILENT > self.now);
        let known = self.directory.leader.as_ref();
        told.map(|(_, label, _)| label)
            .or(known.map(|(record, _)| &record.node))
            .filter(|label| **label != self.config.label)
            .cloned()
    }

    /// Renews a worker's lease, where that is allowed, and stops what its user has cancelled.
    pub(super) fn renew(&mut self, report: &Report) -> Option<Orders> {
        let now = self.now;
        if !self.may_renew() || report.token > self.directory.term || self.directory.term == 0 {
            return None;
        }
        if let Some(&(session, at)) = self.deputy.revoked.get(&report.machine)
            && now < at + PROMISE
            && (session == 0 || report.session <= session)
        {
            return None;
        }
        self.renewed(report);
        Some(Orders {
            token: self.directory.term,
            orders: self.stops(report),
        })
    }

    /// Stops what a worker runs and a user has cancelled. Whoever renews a worker sends these with it, also a
    /// leader without books: what is known here to be cancelled is not carried out by leases running out.
    pub(super) fn stops(&self, report: &Report) -> Vec<Order> {
        let cancelled = |job| {
            let entry = self.directory.get(job);
            entry.and_then(Entry::ended) == Some(JobStatus::Cancelled)
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

    /// Notes that a report was answered with 200, by the leader as by a deputy: a later leader will
    /// ask.
    pub(super) fn renewed(&mut self, report: &Report) {
        self.deputy
            .renewed
            .insert(report.machine.clone(), (self.now, report.session));
    }

    /// How many workers have reported here lately, those included that were sent on to the leader.
    fn hears(&self) -> usize {
        let lately = |at: Millis| at + self.times.silence > self.now;
        let renewed = self.deputy.renewed.iter();
        let renewed = renewed
            .filter(|(_, (at, _))| lately(*at))
            .map(|(name, _)| name);
        let sent_on = self.deputy.sent_on.iter();
        let sent_on = sent_on.filter(|(_, at)| lately(**at)).map(|(name, _)| name);
        renewed.chain(sent_on).collect::<HashSet<_>>().len()
    }

    /// The leader asks about silent machines: from now on they are not renewed here, and it learns
    /// when they last were.
    pub(super) fn revoke(&mut self, id: AskId, revocation: Revocation) {
        let now = self.now;
        if self
            .leading
            .as_ref()
            .is_some_and(|l| revocation.term > l.term)
        {
            // The asker leads now.
            self.step_down();
        }
        let horizon = self.times.lease + 60_000;
        self.deputy.renewed.retain(|_, (at, _)| *at + horizon > now);
        self.deputy.sent_on.retain(|_, at| *at + horizon > now);
        let mut renewals = Vec::new();
        let clocks = 2 * self.config.settings.clock_error_ms as u64;
        let stale = self.wall > revocation.asked_ms + STALE_QUESTION + clocks;
        if revocation.term >= self.directory.term && !stale {
            for machine in revocation.machines {
                let renewed = self.deputy.renewed.get(&machine.name).copied();
                // A process that had this label before may have renewed it up to our start.
                let age_ms = renewed.map_or(now, |(at, _)| now.saturating_sub(at));
                // One that lives by our renewals is not promised away.
                if age_ms > self.times.lease / 2 && !machine.inquiry {
                    let promised = (machine.session, now);
                    self.deputy.revoked.insert(machine.name.clone(), promised);
                }
                renewals.push(Renewal {
                    machine: machine.name,
                    age_ms,
                    inquiry: machine.inquiry,
                });
            }
        }
        let hears = self.hears();
        self.out.push(Effect::Revoked(id, Word { renewals, hears }));
    }
}

#[cfg(test)]
mod tests;
