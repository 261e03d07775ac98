//! Leadership: the lease, the term, what the node is entitled to do now, and the leader's writes.
//!
//! The leader holds `shared/leader` on a lease of the state service. Its term is the token that
//! workers obey. All its transactions are conditional on the version of `shared/leader`, so that
//! one that is applied late, after a takeover, changes nothing.

use std::collections::HashMap;

use super::{
    Effect, JobProgress, Node, Progress, StateTag, fleet::Ack, quota::Quotas, takeover::Found,
};
use crate::{
    cluster::{Books, MachineState, Pull},
    coordination::{
        job_graph::Ends,
        leader_log::Notes,
        provisioning::Renting,
        reachability::Reach,
        registry::Entry,
        write_outcome::{Fate, TXN_TIMEOUT},
    },
    protocol::{
        ids::JobId,
        job::Kind,
        state::{Condition, StateError, StateReply, StateRequest, Txn, Urgency, Write},
    },
    scheduling::{self, Whose},
    storage::{self, LeaderRecord, TermRecord},
    time::Millis,
};

/// The life of the leader's lease: how long a dead leader is waited for.
const LEASE: Millis = 3500;
const TOUCH: Millis = 700;
const TOUCH_TIMEOUT: Millis = 1200;
const CAMPAIGN_RETRY: Millis = 300;
/// A process that has just begun lets those that have lived longer take the lead: it may be one that
/// ends every few seconds, and its predecessor may have led.
const YOUNG: Millis = 10_000;
/// For that long; they need a few round trips to the state service.
const DEFER: Millis = 250;
const FENCE_EVERY: Millis = 3000;
const TELL: Millis = 1000;
const ROUND_EVERY: Millis = 40;
const TURNS: Millis = 250;
const PREEMPT: Millis = 10_000;
/// How long room is kept for the job that others gave way for: a stop, its report and a round.
const HELD: Millis = 3000;
/// Users wait for services; what gives way to them does so sooner.
const PREEMPT_FOR_SERVICES: Millis = 200;
/// So do jobs that are to start or end in time: 10 s are longer than some may wait.
const PREEMPT_FOR_AIMS: Millis = 1000;

/// Trying to become the leader.
#[derive(Debug, Default)]
pub struct Campaign {
    step: Step,
    after: Millis,
    released: Option<u64>,
    /// Since when nobody leads, as far as this node knows.
    vacant: Option<Millis>,
}

#[derive(Debug, Default, PartialEq, Eq)]
enum Step {
    #[default]
    Idle,
    Granting,
    Acquiring {
        lease: u64,
        granted: Millis,
        term: u64,
    },
}

impl Campaign {
    /// Others go first until then.
    pub(super) fn resigned(&mut self, until: Millis) {
        self.after = until;
    }
}

/// What the leader knows and does.
pub struct Leading {
    pub lease: u64,
    /// The version of `shared/leader`.
    version: u64,
    pub term: u64,
    term_version: u64,
    /// The term at the takeover: a worker that has reported it obeys nobody before us.
    pub first_term: u64,
    pub takeover_at: Millis,
    /// The send time of the last renewal that succeeded.
    touch_ok: Millis,
    touching: bool,
    last_touch: Millis,
    pub found: Found,
    pub books: Option<Books>,
    pub notes: Notes,
    fencing: bool,
    pub fence_wanted: bool,
    pub fenced_at: Millis,
    told_at: Millis,
    scheduled_at: Millis,
    turned_at: Millis,
    pub watched_at: Millis,
    pub swept_orders_at: Millis,
    /// By whose tasks they were checked for.
    preempted_at: [Millis; 3],
    types_written: u64,
    pub renting: Renting,
    /// Deputies whose keys went since the takeover, and when that was seen.
    pub gone: HashMap<String, Millis>,
    /// When each deputy's key was last seen to be written anew.
    pub came: HashMap<String, Millis>,
    /// What members say about silent machines, by member and machine.
    pub acks: HashMap<(String, String), Ack>,
    pub asked_deputies: Millis,
    pub reach: Reach,
    pub ends: Ends,
    /// What those that need a job make of it.
    pub pulls: HashMap<JobId, Pull>,
    /// Quotas that cells share; `None`: there is but this one.
    pub quotas: Option<Quotas>,
}

impl Leading {
    /// Done and running tasks of a job.
    pub fn counts(&self, id: JobId) -> Option<(u32, u32)> {
        let books = self.books.as_ref()?;
        let job = books.job(*books.job_index.get(&id)?);
        Some((job.done, job.running))
    }

    pub(super) fn condition(&self) -> Condition {
        Condition {
            key: storage::LEADER.into(),
            version: self.version,
        }
    }
}

impl Node {
    /// The time from which this node's rights count: both the lease and the view of the jobs were
    /// renewed by requests sent then or later. A renewed lease alone would not do: while the jobs
    /// can't be followed, another node may have told a user that one is cancelled.
    fn fresh(&self) -> Option<Millis> {
        let leading = self.leading.as_ref()?;
        Some(leading.touch_ok.min(self.sync.ok?))
    }

    /// Starts may be sent while the lease surely lives.
    pub(super) fn may_start(&self) -> bool {
        let margin = 300;
        self.fresh()
            .is_some_and(|fresh| self.now + margin < fresh + LEASE)
    }

    /// The lease of the state service under which this node leads; tags carry it, so that answers
    /// meant for an earlier leadership are void.
    pub(super) fn leads(&self, lease: u64) -> bool {
        self.leading.as_ref().is_some_and(|l| l.lease == lease)
    }

    pub(super) fn leader_changed(&mut self) {
        match (&self.directory.leader, &self.leading) {
            (Some((record, version)), Some(leading)) if *version > leading.version => {
                tracing::warn!(leader = record.node, "another node leads");
                self.step_down();
            }
            (None, Some(_)) => {
                tracing::warn!("the leader's key is gone");
                self.step_down();
            }
            (Some((record, _)), None) => {
                tracing::info!(leader = record.node, term = record.term, "following");
            }
            _ => {}
        }
    }

    pub(super) fn term_changed(&mut self) {
        // Under our own leadership only we raise it: this is a fence of ours whose answer was lost.
        if let Some(leading) = &mut self.leading
            && self.directory.term > leading.term
        {
            leading.term = self.directory.term;
            leading.term_version = self.directory.term_version;
        }
    }

    pub(super) fn step_down(&mut self) {
        if let Some(leading) = self.leading.take() {
            tracing::warn!(term = leading.term, "no longer the leader");
            self.out.push(Effect::Leading(false));
            self.campaign = Campaign {
                after: self.now + CAMPAIGN_RETRY,
                ..Campaign::default()
            };
            self.want_sync();
        }
    }

    /// Tries to become the leader when there is none.
    pub(super) fn campaign(&mut self) {
        if self.leading.is_some()
            || !self.ready()
            || self.campaign.step != Step::Idle
            || self.campaign.after > self.now
        {
            return;
        }
        if let Some((record, _)) = &self.directory.leader {
            // A process that had this label before has ended for good: its lease need not run out.
            let lease = record.lease;
            if record.node == self.config.label && self.campaign.released != Some(lease) {
                self.campaign.released = Some(lease);
                self.state(
                    StateTag::Release,
                    StateRequest::Release { lease },
                    Urgency::Vital,
                    TXN_TIMEOUT,
                );
            }
            self.campaign.vacant = None;
            return;
        }
        let vacant = *self.campaign.vacant.get_or_insert(self.now);
        if self.now < YOUNG && self.now < vacant + DEFER && self.others_are_older() {
            return;
        }
        self.campaign.step = Step::Granting;
        self.state(
            StateTag::Grant,
            StateRequest::Grant { life_ms: LEASE },
            Urgency::Vital,
            TXN_TIMEOUT,
        );
    }

    /// Whether another node holds a deputy's key that is older than this one's, as far as is known: its process, or
    /// one that has just ended, has lived for longer.
    fn others_are_older(&self) -> bool {
        let own = self.deputy.key_version().unwrap_or(u64::MAX);
        let mut others = self.directory.deputies.iter();
        others.any(|(label, version)| *label != self.config.label && *version < own)
    }

    fn campaign_failed(&mut self) {
        self.campaign.step = Step::Idle;
        self.campaign.after = self.now + CAMPAIGN_RETRY;
    }

    pub(super) fn granted(&mut self, sent_at: Millis, result: Result<StateReply, StateError>) {
        let Ok(StateReply::Granted(lease)) = result else {
            return self.campaign_failed();
        };
        let term = self.directory.term + 1;
        self.campaign.step = Step::Acquiring {
            lease,
            granted: sent_at,
            term,
        };
        let txn = Txn {
            conditions: vec![
                Condition {
                    key: storage::LEADER.into(),
                    version: 0,
                },
                Condition {
                    key: storage::TERM.into(),
                    version: self.directory.term_version,
                },
            ],
            writes: vec![
                Write::Put {
                    key: storage::LEADER.into(),
                    value: storage::to_value(&LeaderRecord {
                        node: self.config.label.clone(),
                        lease,
                        term,
                    }),
                    lease: Some(lease),
                },
                Write::Put {
                    key: storage::TERM.into(),
                    value: storage::to_value(&TermRecord { term }),
                    lease: None,
                },
            ],
        };
        self.state(
            StateTag::Acquire { lease },
            StateRequest::Txn(txn),
            Urgency::Vital,
            TXN_TIMEOUT,
        );
    }

    pub(super) fn acquire_answered(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        match result {
            Ok(StateReply::Committed(version)) => self.acquired(lease, version),
            Err(StateError::NoAnswer) => self.state(
                StateTag::AcquireCheck { lease },
                StateRequest::Get {
                    key: storage::LEADER.into(),
                },
                Urgency::Vital,
                TXN_TIMEOUT,
            ),
            _ => {
                self.campaign_failed();
                self.want_sync();
            }
        }
    }

    /// The acquisition got no answer. If it is not there now it is given up: it may be applied
    /// later, but its lease is never renewed and ends by itself; the next try has a new one.
    pub(super) fn acquire_checked(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        if let Ok(StateReply::Row(row)) = result
            && let Ok(record) = serde_json::from_value::<LeaderRecord>(row.value)
            && record.lease == lease
        {
            return self.acquired(lease, row.version);
        }
        self.campaign_failed();
        self.want_sync();
    }

    fn acquired(&mut self, lease: u64, version: u64) {
        let Step::Acquiring {
            lease: asked,
            granted,
            term,
        } = self.campaign.step
        else {
            return;
        };
        if asked != lease {
            return;
        }
        self.campaign.step = Step::Idle;
        tracing::info!(term, "leading");
        self.directory.leader = Some((
            LeaderRecord {
                node: self.config.label.clone(),
                lease,
                term,
            },
            version,
        ));
        self.directory.term = term;
        self.directory.term_version = version;
        self.leading = Some(Box::new(Leading {
            lease,
            version,
            term,
            term_version: version,
            first_term: term,
            takeover_at: self.now,
            touch_ok: granted,
            touching: false,
            last_touch: self.now,
            found: Found::default(),
            books: None,
            notes: Notes::default(),
            fencing: false,
            fence_wanted: false,
            fenced_at: 0,
            told_at: 0,
            scheduled_at: 0,
            turned_at: 0,
            watched_at: 0,
            swept_orders_at: 0,
            preempted_at: [self.now; 3],
            types_written: 0,
            renting: Renting::default(),
            gone: HashMap::new(),
            came: HashMap::new(),
            acks: HashMap::new(),
            asked_deputies: 0,
            reach: Reach::default(),
            ends: Ends::default(),
            pulls: HashMap::new(),
            quotas: None,
        }));
        self.out.push(Effect::Leading(true));
        // Jobs accepted or cancelled up to now must be known before the books are made.
        self.sync.ok = None;
        self.want_sync();
        self.read_books();
    }

    /// A job was accepted, released, done or cancelled.
    pub(super) fn job_changed(&mut self, id: JobId) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(books) = &mut leading.books else {
            return;
        };
        let mut pulled = vec![id];
        let mut released = false;
        match self.directory.get(id) {
            Some(Entry::Live(job)) => {
                pulled.extend(&job.spec.awaits);
                // It is entered once all that it needs is done, and weighs nothing before.
                released = job.left == 0 && !books.job_index.contains_key(&id);
            }
            Some(Entry::Final(..)) => {
                leading.pulls.remove(&id);
                if let Some(&index) = books.job_index.get(&id)
                    && !books.job(index).closed
                {
                    books.close_job(index);
                }
            }
            Some(Entry::Doomed(job)) => {
                tracing::info!(job = %id, "cancelled with a job that it needs");
                leading.pulls.remove(&id);
                pulled.extend(&job.spec.awaits);
            }
            None => {}
        }
        if released {
            self.release(id);
        }
        self.pull(pulled);
    }

    /// Enters a job for which no other has to be waited.
    fn release(&mut self, id: JobId) {
        let (now, wall) = (self.now, self.wall);
        let Some(live) = self.directory.live_job(id) else {
            return;
        };
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(books) = &mut leading.books else {
            return;
        };
        let times = (live.at_ms, live.released_ms);
        let Some(index) = books.add_released(&live.spec, times, now) else {
            return tracing::error!(job = %id, "no such team");
        };
        if let Some(pull) = leading.pulls.get(&id) {
            books.pull(index, pull, now);
        }
        let job = books.job(index);
        if job.kind == Kind::Service {
            let (need, tasks) = (job.need, job.tasks.len());
            leading.renting.autoscaler.arrived(need, tasks, live.at_ms);
        }
        if !live.spec.awaits.is_empty() {
            let turn_ms = job.turn_ms.saturating_sub(wall);
            tracing::info!(job = %id, priority = ?job.priority, turn_ms, "released");
        }
    }

    /// The leader's turn: renews, schedules, writes, sends.
    pub(super) fn lead(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if !leading.touching && leading.last_touch + TOUCH <= self.now {
            leading.touching = true;
            leading.last_touch = self.now;
            let lease = leading.lease;
            self.state(
                StateTag::Touch { lease },
                StateRequest::Touch { lease },
                Urgency::Vital,
                TOUCH_TIMEOUT,
            );
        }
        // The books are complete once a sync that began after the takeover has come back.
        if self.leading.as_ref().is_none_or(|l| l.books.is_none()) || self.sync.ok.is_none() {
            return;
        }
        self.watch_machines();
        self.share_quotas();
        let quotas_known = self
            .leading
            .as_ref()
            .is_some_and(|leading| leading.quotas_known());
        if quotas_known && self.may_start() {
            self.schedule();
        }
        self.recheck();
        self.flush();
        self.page();
        self.store_ends();
        self.note_images();
        self.fence();
        self.sweep();
        self.rent();
        self.send_orders();
        self.tell();
    }

    fn schedule(&mut self) {
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(books) = &mut leading.books else {
            return;
        };
        if leading.turned_at + TURNS <= now {
            leading.turned_at = now;
            books.set_time_of_day(now, self.wall);
            books.take_turns(now);
        }
        // Reports come by the hundred a second: a round takes what several have changed.
        let due = if books.changed { ROUND_EVERY } else { 1000 };
        if leading.scheduled_at + due <= now {
            leading.scheduled_at = now;
            books.changed = false;
            let placed = scheduling::round(books, now);
            if placed > 0 {
                tracing::debug!(placed, "round");
            }
        }
        let due = [
            (Whose::All, PREEMPT),
            (Whose::Aimed, PREEMPT_FOR_AIMS),
            (Whose::Services, PREEMPT_FOR_SERVICES),
        ];
        let checked = &mut leading.preempted_at;
        let due = due
            .into_iter()
            .find(|&(whose, every)| checked[whose as usize] + every <= now);
        if let Some((whose, _)) = due {
            // A check for more jobs is one for fewer, too.
            checked[..=whose as usize].fill(now);
            for victim in scheduling::preempt(books, now, whose) {
                let attempt = &books.machines[victim.machine.at()].attempts[victim.at];
                let job = books.job(attempt.job);
                let grace = if job.checkpoint_s > 0.0 {
                    job.save_s
                } else {
                    0.0
                };
                let ran_s = attempt
                    .running_since
                    .map_or(0, |since| now.saturating_sub(since) / 1000);
                let (task, to) = (job.task_id(attempt.task), books.job(victim.for_job).id);
                tracing::info!(%task, %to, reason = ?victim.reason, ran_s, "gives way");
                let flow = books.flow(attempt.job);
                books.dues.standing(flow).gave_way += 1;
                books.stop(victim.machine, victim.at, grace);
                let until = now + HELD + (grace * 1000.0) as Millis;
                books.machines[victim.machine.at()].held_for = Some((victim.for_job, until));
            }
        }
    }

    pub(super) fn touched(
        &mut self,
        lease: u64,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        if !self.leads(lease) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.touching = false;
        match result {
            Ok(StateReply::Touched) => leading.touch_ok = leading.touch_ok.max(sent_at),
            Ok(StateReply::NoLease) => {
                tracing::warn!("the leader's lease has ended");
                self.step_down();
            }
            _ => leading.last_touch = self.now.saturating_sub(TOUCH - 200),
        }
    }

    /// Raises the term when a start that got no answer could still be carried out late.
    fn fence(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if !leading.fence_wanted || leading.fencing || leading.fenced_at + FENCE_EVERY > self.now {
            return;
        }
        leading.fence_wanted = false;
        leading.fencing = true;
        leading.fenced_at = self.now;
        let lease = leading.lease;
        let mut txn = Txn::only_if(leading.condition());
        let raised = TermRecord {
            term: leading.term + 1,
        };
        let raised = storage::to_value(&raised);
        txn.put(storage::TERM.into(), leading.term_version, raised);
        self.state(
            StateTag::Fence { lease },
            StateRequest::Txn(txn),
            Urgency::Vital,
            TXN_TIMEOUT,
        );
    }

    pub(super) fn fence_answered(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        let Some(fate) = self.fate(lease, result) else {
            return;
        };
        let Some(leading) = &mut self.leading else {
            return;
        };
        match fate {
            Fate::Stored(version) => {
                leading.fencing = false;
                if version > leading.term_version {
                    leading.term += 1;
                    leading.term_version = version;
                }
                self.directory.term = leading.term;
                self.directory.term_version = leading.term_version;
                tracing::info!(term = leading.term, "term raised as a fence");
            }
            Fate::Doubtful => self.state(
                StateTag::FenceCheck { lease },
                StateRequest::Get {
                    key: storage::TERM.into(),
                },
                Urgency::Vital,
                TXN_TIMEOUT,
            ),
            Fate::Refused => {
                leading.fencing = false;
                leading.fence_wanted = true;
            }
        }
    }

    pub(super) fn fence_checked(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        if !self.leads(lease) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.fencing = false;
        leading.fence_wanted = true;
        if let Ok(StateReply::Row(row)) = result
            && let Ok(record) = serde_json::from_value::<TermRecord>(row.value)
            && row.version > leading.term_version
        {
            // Should another node have raised it, our lease has ended, and the next conditional
            // write will say so; a token that is not ours is not taken.
            if record.term == leading.term + 1 {
                self.want_sync();
            }
        }
    }

    /// Keeps the machine types in the store, for nodes that start while the cloud is down.
    pub(super) fn store_types(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let same = self.directory.types.as_ref().is_some_and(|(known, _)| {
            known.types.len() == self.types.len()
                && known.types.iter().zip(&self.types).all(|(a, b)| {
                    a.name == b.name
                        && a.cpus == b.cpus
                        && a.gpus == b.gpus
                        && a.ram_gb == b.ram_gb
                        && a.price == b.price
                        && a.zones == b.zones
                })
        });
        if same || leading.types_written + 10_000 > self.now && leading.types_written > 0 {
            return;
        }
        leading.types_written = self.now;
        let condition = leading.condition();
        let bytes = self.config.settings.state.value_bytes();
        for (key, value) in storage::types_records(&self.types, bytes) {
            // One of this leader's that is applied late must not follow a newer one.
            let known = self.directory.types_versions.get(&key);
            let mut txn = Txn::only_if(condition.clone());
            txn.put(key, known.copied().unwrap_or(0), value);
            self.state(
                StateTag::Types,
                StateRequest::Txn(txn),
                Urgency::Normal,
                TXN_TIMEOUT,
            );
        }
    }

    /// Lets the other members know how far jobs are.
    fn tell(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.told_at + TELL > self.now {
            return;
        }
        leading.told_at = self.now;
        let Some(books) = &leading.books else { return };
        if tracing::enabled!(tracing::Level::DEBUG) {
            show(books);
            let unwritten = books.unlogged.len() + books.logging.len();
            tracing::debug!(unwritten, entries = leading.notes.entries(), "log");
        }
        let jobs = books
            .job_index
            .iter()
            .map(|(id, index)| (id, books.job(*index)))
            .filter(|(_, job)| !job.closed && (job.done > 0 || job.running > 0))
            .map(|(id, job)| JobProgress {
                job: *id,
                done: job.done,
                running: job.running,
            })
            .collect();
        self.out.push(Effect::Tell(Progress {
            term: leading.term,
            leader: self.config.label.clone(),
            jobs,
            turns: self.admission.turns(self.now),
        }));
    }
}

/// Tells what waits and what is used, for whoever reads the log of a day.
fn show(books: &Books) {
    for team in &books.teams {
        let mut waiting = [0; 2];
        for (.., job) in &team.queue {
            let job = books.job(*job);
            waiting[usize::from(job.kind == Kind::Service)] += job.waiting.len();
        }
        let [arrays, services] = waiting;
        let booked = books.units(&team.booked);
        tracing::debug!(team = team.name, booked, arrays, services, "waits");
    }
    let count = |state| books.machines.iter().filter(|m| m.state == state).count();
    let used = books
        .machines
        .iter()
        .map(|m| books.units(&m.used))
        .sum::<f64>();
    let (up, booting) = (count(MachineState::Up), count(MachineState::Booting));
    tracing::debug!(up, booting, used, "machines");
}

#[cfg(test)]
mod tests;
