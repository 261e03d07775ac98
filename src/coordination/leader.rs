//! Leadership: the lease, the term, what the node is entitled to do now, and the leader's writes.
//!
//! The leader holds `shared/leader` on a lease of the state service. Its term is the token that
//! workers obey. All its transactions are conditional on the version of `shared/leader`, so that
//! one that is applied late, after a takeover, changes nothing.

use std::collections::{HashMap, HashSet};

use super::{
    Effect, JobProgress, Node, Progress, StateTag, directory::Entry, fleet::Ack, renting::Renting,
};
use crate::{
    bookkeeping::{
        Millis,
        books::{Attempt, Books, JobIx, MachineState, Phase, TypeIx},
        scheduler,
        store::{self, ChunkRecord, JobRecord, LeaderRecord, Note, TermRecord},
    },
    protocol::{
        cloud::MachineTypes,
        ids::JobId,
        job::{Kind, Priority, Submission},
        state::{Condition, Row, StateError, StateReply, StateRequest, Txn, Urgency, Write},
    },
};

/// The life of the leader's lease: how long a dead leader is waited for.
const LEASE: Millis = 3500;
const TOUCH: Millis = 700;
const TOUCH_TIMEOUT: Millis = 1200;
const TXN_TIMEOUT: Millis = 2000;
/// What steady clocks may drift apart, doubled.
pub const DRIFT: f64 = 0.001;
const CAMPAIGN_RETRY: Millis = 300;
/// Transactions under way at the same time.
const FLUSHES: usize = 3;
const FLUSH_RETRY: Millis = 150;
/// Kept below a transaction's 64 KiB.
const TXN_BYTES: usize = 48 * 1024;
const FENCE_EVERY: Millis = 3000;
const TELL: Millis = 1000;
const SWEEP: Millis = 1000;
const PREEMPT: Millis = 10_000;
/// Users wait for services; what gives way to them does so sooner.
const PREEMPT_FOR_SERVICES: Millis = 200;
const PAGE: u32 = 200;

/// Trying to become the leader.
#[derive(Debug, Default)]
pub struct Campaign {
    step: Step,
    after: Millis,
    released: Option<u64>,
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

struct Flush {
    chunks: Vec<(JobIx, JobId, u32, u64)>,
    finals: Vec<(JobIx, JobId)>,
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
    rows: Vec<Row>,
    pub books: Option<Books>,
    flushes: HashMap<u64, Flush>,
    next_flush: u64,
    flush_after: Millis,
    fencing: bool,
    pub fence_wanted: bool,
    fenced_at: Millis,
    told_at: Millis,
    swept_at: Millis,
    sweeping: HashSet<JobId>,
    preempted_at: Millis,
    preempted_for_services_at: Millis,
    types_written: u64,
    pub renting: Renting,
    /// Deputies whose keys went since the takeover, and when that was seen.
    pub gone: HashMap<String, Millis>,
    /// What members say about silent machines, by member and machine.
    pub acks: HashMap<(String, String), Ack>,
    pub asked_deputies: Millis,
}

impl Leading {
    /// Done and running tasks of a job.
    pub fn counts(&self, id: JobId) -> Option<(u32, u32)> {
        let books = self.books.as_ref()?;
        let job = books.job(*books.job_index.get(&id)?);
        Some((job.done, job.running))
    }

    fn condition(&self) -> Condition {
        Condition {
            key: store::LEADER.into(),
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
                    key: store::LEADER.into(),
                    version: 0,
                },
                Condition {
                    key: store::TERM.into(),
                    version: self.directory.term_version,
                },
            ],
            writes: vec![
                Write::Put {
                    key: store::LEADER.into(),
                    value: store::to_value(&LeaderRecord {
                        node: self.config.label.clone(),
                        lease,
                        term,
                    }),
                    lease: Some(lease),
                },
                Write::Put {
                    key: store::TERM.into(),
                    value: store::to_value(&TermRecord { term }),
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
                    key: store::LEADER.into(),
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
            rows: Vec::new(),
            books: None,
            flushes: HashMap::new(),
            next_flush: 0,
            flush_after: 0,
            fencing: false,
            fence_wanted: false,
            fenced_at: 0,
            told_at: 0,
            swept_at: 0,
            sweeping: HashSet::new(),
            preempted_at: self.now,
            preempted_for_services_at: self.now,
            types_written: 0,
            renting: Renting::default(),
            gone: HashMap::new(),
            acks: HashMap::new(),
            asked_deputies: 0,
        }));
        self.out.push(Effect::Leading(true));
        // Jobs accepted or cancelled up to now must be known before the books are made.
        self.sync.ok = None;
        self.want_sync();
        self.read_books(None);
    }

    fn read_books(&mut self, after: Option<String>) {
        let Some(leading) = &self.leading else { return };
        let lease = leading.lease;
        self.state(
            StateTag::Books { lease },
            StateRequest::List {
                prefix: store::BOOKS,
                after,
                limit: PAGE,
            },
            Urgency::Vital,
            3000,
        );
    }

    pub(super) fn books_read(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        if !self.leads(lease) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        match result {
            Ok(StateReply::Page(page)) => {
                leading.rows.extend(page.rows);
                if page.more {
                    let after = leading.rows.last().map(|row| row.key.clone());
                    self.read_books(after);
                } else {
                    self.make_books();
                }
            }
            _ => {
                let after = leading.rows.last().map(|row| row.key.clone());
                self.read_books(after);
            }
        }
    }

    /// Rebuilds the books from the jobs and the predecessors' notes. Whatever they placed and did
    /// not see through may be running.
    fn make_books(&mut self) {
        let Some(mut leading) = self.leading.take() else {
            return;
        };
        let mut books = Books::new(&self.config.settings, &self.types);
        let mut live: Vec<_> = self.directory.live().collect();
        live.sort_by_key(|(id, job)| (job.at_ms, *id));
        for (_, job) in live {
            books.add_job(&job.spec, job.at_ms, self.now);
        }
        let mut closing = Vec::new();
        for row in std::mem::take(&mut leading.rows) {
            let Some((id, chunk)) = store::parse_chunk_key(&row.key) else {
                continue;
            };
            let Ok(record) = serde_json::from_value::<ChunkRecord>(row.value) else {
                tracing::error!(key = row.key, "notes on tasks can't be read");
                continue;
            };
            let known = books.job_index.get(&id).copied();
            let Some(job) = known.or_else(|| over(&mut books, id, &record, self.now)) else {
                continue;
            };
            enter_notes(&mut books, job, chunk, row.version, record, &leading);
            if known.is_none() {
                closing.push(job);
            }
        }
        for job in closing {
            books.close_job(job);
        }
        let active = books
            .machines
            .iter()
            .map(|m| m.attempts.len())
            .sum::<usize>();
        tracing::info!(
            term = leading.term,
            jobs = books.job_index.len(),
            machines = books.machines.len(),
            active,
            "books rebuilt"
        );
        // Whoever was not a deputy any more at the takeover renewed nothing since; those who are
        // will be asked. A report answered while the books were made counts until now.
        let until = self.now + self.worker_lease();
        for machine in &mut books.machines {
            machine.lease_until = until;
        }
        leading.books = Some(books);
        self.leading = Some(leading);
        self.list_machines();
    }

    /// A job was accepted, done or cancelled.
    pub(super) fn job_changed(&mut self, id: JobId) {
        let Some(books) = self.leading.as_mut().and_then(|l| l.books.as_mut()) else {
            return;
        };
        match self.directory.get(id) {
            Some(Entry::Live(job)) => {
                let added = books.add_job(&job.spec, job.at_ms, self.now);
                if let Some(index) = added {
                    let job = books.job(index);
                    if job.kind == Kind::Service {
                        let (need, tasks) = (job.need, job.tasks.len());
                        let now = self.now;
                        if let Some(leading) = &mut self.leading {
                            leading.renting.autoscaler.arrived(need, tasks, now);
                        }
                    }
                } else {
                    tracing::error!(job = %id, "no such team");
                }
            }
            Some(Entry::Final(_)) => {
                if let Some(&index) = books.job_index.get(&id)
                    && !books.job(index).closed
                {
                    books.close_job(index);
                }
            }
            None => {}
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
        if self.may_start() {
            self.schedule();
        }
        self.flush();
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
        if books.changed || now % 1000 < 60 {
            books.changed = false;
            let placed = scheduler::round(books, now);
            if placed > 0 {
                tracing::debug!(placed, "round");
            }
        }
        let all = leading.preempted_at + PREEMPT <= now;
        let services = leading.preempted_for_services_at + PREEMPT_FOR_SERVICES <= now;
        if all || services {
            leading.preempted_for_services_at = now;
            if all {
                leading.preempted_at = now;
            }
            for victim in scheduler::preempt(books, now, !all) {
                let attempt = &books.machines[victim.machine.at()].attempts[victim.at];
                let job = books.job(attempt.job);
                let grace = if job.checkpoint_s > 0.0 {
                    job.save_s
                } else {
                    0.0
                };
                tracing::info!(task = %job.task_id(attempt.task), reason = ?victim.reason, "gives way");
                let attempt = &mut books.machines[victim.machine.at()].attempts[victim.at];
                attempt.stop = Some(grace);
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

    /// Writes changed notes, and the end of jobs whose tasks are all done.
    fn flush(&mut self) {
        let limits = &self.config.settings.state;
        let ops = limits.txn_ops as usize;
        loop {
            let Some(leading) = &mut self.leading else {
                return;
            };
            let Some(books) = &mut leading.books else {
                return;
            };
            if leading.flushes.len() >= FLUSHES || leading.flush_after > self.now {
                return;
            }
            let mut txn = Txn {
                conditions: vec![Condition {
                    key: store::LEADER.into(),
                    version: leading.version,
                }],
                writes: Vec::new(),
            };
            let mut flush = Flush {
                chunks: Vec::new(),
                finals: Vec::new(),
            };
            let mut bytes = 512;
            for (job, number) in books.dirty.clone() {
                if txn.writes.len() + 1 >= ops {
                    break;
                }
                let entry = books.job(job);
                let chunk = entry.chunks[number as usize];
                if entry.closed || chunk.stored >= chunk.changed {
                    books.dirty.remove(&(job, number));
                    continue;
                }
                if chunk.in_flight {
                    continue;
                }
                let value = store::to_value(&store::chunk_record(books, job, number));
                bytes += value.to_string().len() + 256;
                if bytes > TXN_BYTES && !txn.writes.is_empty() {
                    break;
                }
                let id = books.job(job).id;
                let key = store::chunk_key(id, number);
                txn.conditions.push(Condition {
                    key: key.clone(),
                    version: chunk.version,
                });
                txn.writes.push(Write::Put {
                    key,
                    value,
                    lease: None,
                });
                books.jobs[job.at()].chunks[number as usize].in_flight = true;
                books.dirty.remove(&(job, number));
                flush.chunks.push((job, id, number, chunk.changed));
            }
            for job in books.complete.clone() {
                if txn.writes.len() >= ops {
                    break;
                }
                let entry = books.job(job);
                let whole = entry.chunks.iter().enumerate().all(|(number, chunk)| {
                    chunk.stored >= chunk.changed
                        || flush
                            .chunks
                            .iter()
                            .any(|(j, _, n, _)| *j == job && *n as usize == number)
                });
                let Some(Entry::Live(live)) = self.directory.get(entry.id) else {
                    books.complete.remove(&job);
                    continue;
                };
                if !whole || entry.finishing {
                    continue;
                }
                let id = entry.id;
                let key = store::job_key(id);
                txn.conditions.push(Condition {
                    key: key.clone(),
                    version: live.version,
                });
                txn.writes.push(Write::Put {
                    key,
                    value: store::to_value(&JobRecord::Done),
                    lease: None,
                });
                books.jobs[job.at()].finishing = true;
                flush.finals.push((job, id));
            }
            if txn.writes.is_empty() {
                return;
            }
            let id = leading.next_flush;
            leading.next_flush += 1;
            let lease = leading.lease;
            leading.flushes.insert(id, flush);
            self.state(
                StateTag::Flush { lease, id },
                StateRequest::Txn(txn),
                Urgency::Prompt,
                TXN_TIMEOUT,
            );
        }
    }

    pub(super) fn flushed(&mut self, lease: u64, id: u64, result: Result<StateReply, StateError>) {
        if !self.leads(lease) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        let (Some(flush), Some(books)) = (leading.flushes.remove(&id), &mut leading.books) else {
            return;
        };
        if let Ok(StateReply::Committed(version)) = result {
            for &(job, _, number, changed) in &flush.chunks {
                let chunk = &mut books.jobs[job.at()].chunks[number as usize];
                chunk.version = version;
                chunk.stored = chunk.stored.max(changed);
                chunk.in_flight = false;
                if chunk.changed > chunk.stored {
                    books.dirty.insert((job, number));
                }
            }
            for (job, _) in &flush.finals {
                books.jobs[job.at()].finishing = false;
            }
            for (_, id) in flush.finals {
                tracing::info!(job = %id, "done");
                let change = self.directory.put_job(id, JobRecord::Done, version);
                self.changed(change);
            }
            return;
        }
        for (job, _) in &flush.finals {
            books.jobs[job.at()].finishing = false;
        }
        // What is not stored is tried again; a chunk whose version is in doubt is read first,
        // because this transaction may yet be applied.
        let doubt = match &result {
            Ok(StateReply::Conflict(failed)) => {
                if failed.iter().any(|key| key == store::LEADER) {
                    tracing::warn!("a write found another leader");
                    return self.step_down();
                }
                tracing::debug!(?failed, "conflict");
                true
            }
            Err(StateError::NoAnswer) => true,
            _ => false,
        };
        let finals = !flush.finals.is_empty();
        leading.flush_after = self.now + if doubt { 0 } else { FLUSH_RETRY };
        for (job, id, number, _) in flush.chunks {
            if doubt {
                self.check_chunk(lease, id, number);
            } else if let Some(books) = self.leading.as_mut().and_then(|l| l.books.as_mut()) {
                books.jobs[job.at()].chunks[number as usize].in_flight = false;
                books.dirty.insert((job, number));
            }
        }
        if doubt && finals {
            // Cancelled meanwhile, or done after all: the job's record tells.
            self.want_sync();
            if let Some(leading) = &mut self.leading {
                leading.flush_after = self.now + FLUSH_RETRY;
            }
        }
    }

    fn check_chunk(&mut self, lease: u64, job: JobId, chunk: u32) {
        self.state(
            StateTag::ChunkCheck { lease, job, chunk },
            StateRequest::Get {
                key: store::chunk_key(job, chunk),
            },
            Urgency::Prompt,
            TXN_TIMEOUT,
        );
    }

    pub(super) fn chunk_checked(
        &mut self,
        lease: u64,
        job: JobId,
        chunk: u32,
        result: Result<StateReply, StateError>,
    ) {
        if !self.leads(lease) {
            return;
        }
        let version = match result {
            Ok(StateReply::Row(row)) => row.version,
            Ok(StateReply::Missing) => 0,
            _ => return self.check_chunk(lease, job, chunk),
        };
        let Some(books) = self.leading.as_mut().and_then(|l| l.books.as_mut()) else {
            return;
        };
        let Some(&index) = books.job_index.get(&job) else {
            return;
        };
        let entry = &mut books.jobs[index.at()].chunks[chunk as usize];
        entry.version = version;
        entry.in_flight = false;
        books.dirty.insert((index, chunk));
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
        let txn = Txn {
            conditions: vec![
                leading.condition(),
                Condition {
                    key: store::TERM.into(),
                    version: leading.term_version,
                },
            ],
            writes: vec![Write::Put {
                key: store::TERM.into(),
                value: store::to_value(&TermRecord {
                    term: leading.term + 1,
                }),
                lease: None,
            }],
        };
        self.state(
            StateTag::Fence { lease },
            StateRequest::Txn(txn),
            Urgency::Vital,
            TXN_TIMEOUT,
        );
    }

    pub(super) fn fence_answered(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        if !self.leads(lease) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        match result {
            Ok(StateReply::Committed(version)) => {
                leading.fencing = false;
                if version > leading.term_version {
                    leading.term += 1;
                    leading.term_version = version;
                }
                self.directory.term = leading.term;
                self.directory.term_version = leading.term_version;
                tracing::info!(term = leading.term, "term raised as a fence");
            }
            Ok(StateReply::Conflict(failed)) if failed.iter().any(|key| key == store::LEADER) => {
                self.step_down()
            }
            Ok(StateReply::Conflict(_)) | Err(StateError::NoAnswer) => self.state(
                StateTag::FenceCheck { lease },
                StateRequest::Get {
                    key: store::TERM.into(),
                },
                Urgency::Vital,
                TXN_TIMEOUT,
            ),
            _ => {
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

    /// Removes the notes on jobs that are over and of which nothing can be running.
    fn sweep(&mut self) {
        let ops = self.config.settings.state.txn_ops as usize;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let leader = leading.condition();
        let Some(books) = &mut leading.books else {
            return;
        };
        if leading.swept_at + SWEEP > self.now || !leading.sweeping.is_empty() {
            return;
        }
        leading.swept_at = self.now;
        let held: HashSet<JobIx> = books
            .machines
            .iter()
            .flat_map(|machine| machine.attempts.iter().map(|attempt| attempt.job))
            .collect();
        let over: Vec<JobIx> = books
            .job_index
            .values()
            .copied()
            .filter(|job| {
                let entry = books.job(*job);
                entry.closed && !held.contains(job) && entry.chunks.iter().all(|c| !c.in_flight)
            })
            .collect();
        let mut txn = Txn {
            conditions: vec![leader],
            writes: Vec::new(),
        };
        let mut jobs = Vec::new();
        for index in over {
            let entry = books.job(index);
            let keys: Vec<(String, u64)> = entry
                .chunks
                .iter()
                .enumerate()
                .filter(|(_, chunk)| chunk.version > 0)
                .map(|(number, chunk)| (store::chunk_key(entry.id, number as u32), chunk.version))
                .collect();
            if keys.is_empty() {
                let id = entry.id;
                books.job_index.remove(&id);
                books.jobs[index.at()].tasks = Vec::new();
                books.free_jobs.push(index);
                continue;
            }
            let room = ops - txn.writes.len();
            if room == 0 {
                break;
            }
            jobs.push(entry.id);
            for (key, version) in keys.into_iter().take(room) {
                txn.conditions.push(Condition {
                    key: key.clone(),
                    version,
                });
                txn.writes.push(Write::Delete { key });
            }
        }
        if txn.writes.is_empty() {
            return;
        }
        leading.sweeping = jobs.iter().copied().collect();
        let lease = leading.lease;
        self.state(
            StateTag::Sweep { lease, jobs },
            StateRequest::Txn(txn),
            Urgency::Normal,
            TXN_TIMEOUT,
        );
    }

    pub(super) fn swept(
        &mut self,
        lease: u64,
        jobs: &[JobId],
        result: Result<StateReply, StateError>,
    ) {
        if !self.leads(lease) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.sweeping.clear();
        let Some(books) = &mut leading.books else {
            return;
        };
        match result {
            Ok(StateReply::Committed(_)) => {
                let ops = self.config.settings.state.txn_ops as usize;
                let mut left = ops;
                for id in jobs {
                    if let Some(&index) = books.job_index.get(id) {
                        for chunk in &mut books.jobs[index.at()].chunks {
                            if chunk.version > 0 && left > 0 {
                                chunk.version = 0;
                                left -= 1;
                            }
                        }
                    }
                }
            }
            Ok(StateReply::Conflict(failed)) if failed.iter().any(|key| key == store::LEADER) => {
                self.step_down()
            }
            Ok(StateReply::Conflict(_)) | Err(StateError::NoAnswer) => {
                // Deleted after all, or a late write of our own came in between.
                let doubtful: Vec<(JobId, u32)> = jobs
                    .iter()
                    .filter_map(|id| Some((*id, *books.job_index.get(id)?)))
                    .flat_map(|(id, index)| {
                        (0..books.job(index).chunks.len() as u32).map(move |n| (id, n))
                    })
                    .collect();
                for (id, number) in doubtful {
                    if let Some(books) = self.leading.as_mut().and_then(|l| l.books.as_mut())
                        && let Some(&index) = books.job_index.get(&id)
                        && books.job(index).chunks[number as usize].version > 0
                    {
                        books.jobs[index.at()].chunks[number as usize].in_flight = true;
                        self.check_chunk(lease, id, number);
                    }
                }
            }
            _ => {}
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
        let txn = Txn {
            conditions: vec![leading.condition()],
            writes: vec![Write::Put {
                key: store::TYPES.into(),
                value: store::to_value(&MachineTypes {
                    types: self.types.clone(),
                }),
                lease: None,
            }],
        };
        self.state(
            StateTag::Types,
            StateRequest::Txn(txn),
            Urgency::Normal,
            TXN_TIMEOUT,
        );
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
            jobs,
        }));
    }
}

/// Enters a job that is over, known only by its notes: what is left of it has to be stopped, and
/// counts until then.
fn over(books: &mut Books, id: JobId, record: &ChunkRecord, now: Millis) -> Option<JobIx> {
    let spec = Submission {
        id,
        class: String::new(),
        team: record.team.clone(),
        kind: Kind::Array,
        priority: Priority::Low,
        tasks: record.of,
        cpus: record.cpus,
        gpus: record.gpus,
        ram_gb: record.ram_gb,
        image: String::new(),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    };
    books.add_job(&spec, 0, now)
}

/// Enters a predecessor's notes on some of a job's tasks.
fn enter_notes(
    books: &mut Books,
    job: JobIx,
    chunk: u32,
    version: u64,
    record: ChunkRecord,
    leading: &Leading,
) {
    for store::TaskNote(index, attempt, note) in record.tasks {
        if index as usize >= books.job(job).tasks.len() {
            continue;
        }
        books.jobs[job.at()].tasks[index as usize].attempt = attempt;
        match note {
            Note::Waiting => {}
            Note::Done => {
                books.complete_task(job, index);
            }
            Note::On(at) => {
                let Some(note) = record.machines.get(at as usize) else {
                    continue;
                };
                let kind = TypeIx(books.type_names.get(&note.kind).unwrap_or(0));
                let zone = books.zone(&note.zone);
                let machine =
                    books.add_machine(&note.name, kind, zone, note.spot, leading.takeover_at);
                books.machines[machine.at()].addr = note.addr.clone();
                books.machines[machine.at()].state = MachineState::Up;
                books.book(
                    Attempt {
                        job,
                        task: index,
                        attempt,
                        phase: Phase::Placed,
                        cause: None,
                        placed_at: leading.takeover_at,
                        running_since: None,
                        needs: 0,
                        sent: true,
                        inherited: true,
                        outstanding: false,
                        answered_at: None,
                        fence: leading.first_term,
                        stop: None,
                        stop_sent: false,
                        settled: false,
                    },
                    machine,
                );
            }
        }
    }
    let entry = &mut books.jobs[job.at()].chunks[chunk as usize];
    entry.version = version;
    entry.stored = entry.changed;
    books.dirty.remove(&(job, chunk));
}
