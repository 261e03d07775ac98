//! The view of `shared/` that every node keeps: jobs, leader, term, machine types.
//!
//! A watch brings changes at once; a sync (a watch that does not wait) proves that the view is as
//! new as the moment at which it was sent. Answers that could be older than what another node has
//! told a user are given only after a sync that began after the question came.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
};

use serde_json::Value;

use crate::{
    coordination::{Node, StateTag, admission::Table, user_requests::Pending},
    protocol::{
        cloud::{MachineType, MachineTypes},
        ids::JobId,
        job::{JobStatus, Submission},
        state::{Event, StateError, StateReply, StateRequest, Txn, Urgency, Write},
    },
    storage::{self, JobRecord, LeaderRecord, TermRecord},
    time::Millis,
};

/// Least time between the starts of two syncs.
const SYNC_GAP: Millis = 30;
const SYNC_TIMEOUT: Millis = 1500;
/// How often a sync happens without being asked for.
const SYNC_LEADER: Millis = 1000;
const SYNC_FOLLOWER: Millis = 2000;
const WATCH_HOLD: Millis = 10_000;
const RETRY: Millis = 250;
const PAGE: u32 = 500;

#[derive(Clone, Debug)]
pub struct LiveJob {
    pub version: u64,
    pub at_ms: u64,
    pub spec: Rc<Submission>,
    /// How many further keys its record has.
    pub parts: u32,
    /// Awaited jobs whose records do not say `done`. Until there is none, no task may start.
    pub left: usize,
    /// When the last awaited job was done, or the job was submitted, if that was later.
    pub released_ms: u64,
}

impl LiveJob {
    /// Adds the job's end to a transaction that stands if nobody else has ended it.
    pub fn end(&self, id: JobId, record: &JobRecord, txn: &mut Txn) {
        txn.put(
            storage::job_key(id),
            self.version,
            storage::to_value(record),
        );
        for part in 0..self.parts {
            let key = storage::part_key(id, part);
            txn.writes.push(Write::Delete { key });
        }
    }
}

/// What a node holds of each job for good, so it is kept small: jobs that are over outnumber all others before long.
#[derive(Clone, Debug)]
pub enum Entry {
    Live(Box<LiveJob>),
    /// A job that it needs was cancelled: so it is, from then on, whatever its own record says. Each
    /// node derives that from two facts that never change, what the job awaits and how that ended, so
    /// no node can tell its user otherwise later, and nothing is left half done by a crash.
    Doomed(Box<LiveJob>),
    /// Kept for good, with the time at which it was done.
    Final(JobStatus, Option<u64>),
}

impl Entry {
    /// How the job has ended.
    pub fn ended(&self) -> Option<JobStatus> {
        match self {
            Entry::Live(_) => None,
            Entry::Doomed(_) => Some(JobStatus::Cancelled),
            Entry::Final(status, _) => Some(*status),
        }
    }
}

/// What has been read of a record that is kept under several keys.
#[derive(Default)]
struct Split {
    /// Time of the submission, number of parts, version.
    record: Option<(u64, u32, u64)>,
    texts: BTreeMap<u32, String>,
}

#[derive(Default)]
pub struct Directory {
    /// In order: what the books are made from must not depend on chance.
    jobs: BTreeMap<JobId, Entry>,
    /// Tasks of all unfinished jobs, which a leader holds in its memory.
    tasks: u64,
    /// Records that are not complete yet.
    split: HashMap<JobId, Split>,
    /// Which live jobs await a job, from when the first of them is known until that job is over.
    needed_by: HashMap<JobId, Vec<JobId>>,
    /// Jobs whose records do not say yet that they are cancelled, each behind one from which that follows.
    doomed: VecDeque<JobId>,
    /// All changes up to here are in.
    revision: u64,
    loaded: bool,
    pub leader: Option<(LeaderRecord, u64)>,
    pub term: u64,
    pub term_version: u64,
    pub types: Option<(MachineTypes, u64)>,
    /// The versions of the keys that they are kept under.
    pub types_versions: HashMap<String, u64>,
    /// The agreed table of what the nodes may let in, and the version of its key.
    pub table: Option<(Table, u64)>,
    /// Where they are kept under several keys: by the number of those, and which one it is.
    types_parts: BTreeMap<(u32, u32), Vec<MachineType>>,
    /// Nodes that may renew workers' leases, with the version of their keys.
    pub deputies: BTreeMap<String, u64>,
}

/// What a change in the directory means to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Jobs that were accepted, released or ended: the one whose record changed, and what follows.
    Jobs(Vec<JobId>),
    Leader,
    Term,
    Types,
    Table,
    /// A deputy's key was written anew, in this version.
    Deputy(String, u64),
    /// A deputy's key is gone since this version.
    DeputyGone(String, u64),
    Nothing,
}

impl Directory {
    /// One that has read all there is.
    #[cfg(test)]
    pub fn load_for_test(&mut self) {
        self.loaded = true;
    }

    /// How many tasks all unfinished jobs have.
    pub fn tasks(&self) -> u64 {
        self.tasks
    }

    pub fn loaded(&self) -> bool {
        self.loaded
    }

    pub fn get(&self, id: JobId) -> Option<&Entry> {
        self.jobs.get(&id)
    }

    pub fn live(&self) -> impl Iterator<Item = (JobId, &LiveJob)> {
        self.jobs.iter().filter_map(|(id, entry)| match entry {
            Entry::Live(live) => Some((*id, &**live)),
            Entry::Doomed(_) | Entry::Final(..) => None,
        })
    }

    pub fn live_job(&self, id: JobId) -> Option<&LiveJob> {
        match self.jobs.get(&id) {
            Some(Entry::Live(live)) => Some(live),
            _ => None,
        }
    }

    /// Live jobs that await an unfinished one.
    pub fn needed_by(&self, id: JobId) -> impl Iterator<Item = (JobId, &LiveJob)> {
        let all = self.needed_by.get(&id).into_iter().flatten();
        all.filter_map(|id| match self.jobs.get(id) {
            Some(Entry::Live(live)) => Some((*id, &**live)),
            _ => None,
        })
    }

    /// Whether jobs wait for this one.
    pub fn is_needed(&self, id: JobId) -> bool {
        self.needed_by(id).next().is_some()
    }

    /// The first jobs that were cancelled with one that they need and whose records don't say so.
    pub fn doomed(&mut self) -> impl Iterator<Item = (JobId, &LiveJob)> {
        while let Some(first) = self.doomed.front()
            && !matches!(self.jobs.get(first), Some(Entry::Doomed(_)))
        {
            self.doomed.pop_front();
        }
        self.doomed.iter().filter_map(|id| match self.jobs.get(id) {
            Some(Entry::Doomed(job)) => Some((*id, &**job)),
            _ => None,
        })
    }

    fn put(&mut self, key: &str, value: Value, version: u64) -> Change {
        if let Some(id) = storage::parse_job_key(key) {
            return match serde_json::from_value::<JobRecord>(value) {
                Ok(record) => self.put_job(id, record, version),
                Err(error) => {
                    tracing::error!(%key, %error, "a job's record can't be read");
                    Change::Nothing
                }
            };
        }
        if let Some((id, part)) = storage::parse_part_key(key) {
            let Value::String(text) = value else {
                tracing::error!(%key, "a part of a job's record can't be read");
                return Change::Nothing;
            };
            if !self.jobs.contains_key(&id) {
                self.split.entry(id).or_default().texts.insert(part, text);
            }
            return self.join(id);
        }
        if let Some(label) = storage::parse_deputy_key(key) {
            let known = self.deputies.entry(label.to_owned()).or_default();
            if *known >= version {
                return Change::Nothing;
            }
            *known = version;
            return Change::Deputy(label.to_owned(), version);
        }
        if key.starts_with(storage::TYPES) {
            let known = self.types_versions.entry(key.to_owned()).or_default();
            if *known >= version {
                return Change::Nothing;
            }
            *known = version;
        }
        if let Some((part, count)) = storage::parse_types_key(key) {
            if let Ok(types) = serde_json::from_value::<MachineTypes>(value) {
                self.types_parts.insert((count, part), types.types);
            }
            let parts = self.types_parts.range((count, 0)..(count, count));
            if parts.clone().count() == count as usize {
                let types = parts.flat_map(|(_, part)| part.clone()).collect();
                self.types = Some((MachineTypes { types }, version));
            }
            return Change::Types;
        }
        match key {
            storage::LEADER => {
                if self
                    .leader
                    .as_ref()
                    .is_some_and(|(_, known)| *known >= version)
                {
                    return Change::Nothing;
                }
                self.leader = serde_json::from_value(value)
                    .ok()
                    .map(|record| (record, version));
                Change::Leader
            }
            storage::TERM => {
                if version <= self.term_version {
                    return Change::Nothing;
                }
                if let Ok(TermRecord { term }) = serde_json::from_value(value) {
                    self.term = term;
                    self.term_version = version;
                }
                Change::Term
            }
            storage::TABLE => {
                if self
                    .table
                    .as_ref()
                    .is_some_and(|(_, known)| *known >= version)
                {
                    return Change::Nothing;
                }
                if let Ok(table) = serde_json::from_value(value) {
                    self.table = Some((table, version));
                }
                Change::Table
            }
            storage::TYPES => {
                self.types = serde_json::from_value(value)
                    .ok()
                    .map(|types| (types, version));
                Change::Types
            }
            _ => Change::Nothing,
        }
    }

    /// Enters a job's record; what is final stays so.
    pub fn put_job(&mut self, id: JobId, record: JobRecord, version: u64) -> Change {
        let known = self.jobs.get(&id);
        let ended = match record {
            JobRecord::Live { .. } | JobRecord::Split { .. } if known.is_some() => {
                return Change::Nothing;
            }
            JobRecord::Live { at_ms, spec } => return self.enter(id, (at_ms, 0, version), *spec),
            JobRecord::Split { at_ms, parts } => {
                self.split.entry(id).or_default().record = Some((at_ms, parts, version));
                return self.join(id);
            }
            JobRecord::Done { at_ms } => Entry::Final(JobStatus::Done, at_ms),
            JobRecord::Cancelled => Entry::Final(JobStatus::Cancelled, None),
        };
        // What it needed is perhaps less urgent without it.
        let mut changed = vec![id];
        match known {
            Some(Entry::Final(..)) => return Change::Nothing,
            Some(Entry::Live(live)) => {
                changed.extend(&live.spec.awaits);
                self.tasks -= u64::from(live.spec.tasks);
            }
            Some(Entry::Doomed(live)) => self.tasks -= u64::from(live.spec.tasks),
            None => {}
        }
        self.split.remove(&id);
        self.jobs.insert(id, ended);
        self.follow_from(changed)
    }

    /// Enters a job whose record is kept under several keys once all of them have been read. They are
    /// written at once, but read page by page.
    fn join(&mut self, id: JobId) -> Change {
        let Some(split) = self.split.get(&id) else {
            return Change::Nothing;
        };
        let Some(record) = split
            .record
            .filter(|(_, parts, _)| (0..*parts).all(|part| split.texts.contains_key(&part)))
        else {
            return Change::Nothing;
        };
        let spec = storage::joined(split.texts.values().map(String::as_str));
        self.split.remove(&id);
        match spec {
            Ok(spec) => self.enter(id, record, spec),
            Err(error) => {
                tracing::error!(job = %id, %error, "a job's record can't be read");
                Change::Nothing
            }
        }
    }

    /// Enters a job that is not known yet.
    fn enter(
        &mut self,
        id: JobId,
        (at_ms, parts, version): (u64, u32, u64),
        spec: Submission,
    ) -> Change {
        let mut live = Box::new(LiveJob {
            version,
            at_ms,
            parts,
            left: 0,
            released_ms: at_ms,
            spec: Rc::new(spec),
        });
        let spec = live.spec.clone();
        let mut doomed = false;
        for awaited in &spec.awaits {
            match self.jobs.get(awaited) {
                Some(Entry::Final(JobStatus::Done, done_ms)) => {
                    live.released_ms = live.released_ms.max(done_ms.unwrap_or(0));
                }
                Some(Entry::Final(..) | Entry::Doomed(_)) => doomed = true,
                // While all is being read, it may come only later.
                Some(Entry::Live(_)) | None => {
                    live.left += 1;
                    self.needed_by.entry(*awaited).or_default().push(id);
                }
            }
        }
        if doomed {
            self.doomed.push_back(id);
            self.jobs.insert(id, Entry::Doomed(live));
        } else {
            self.jobs.insert(id, Entry::Live(live));
        }
        self.tasks += u64::from(spec.tasks);
        self.follow_from(vec![id])
    }

    /// What follows from a job's new state for those that await it, directly or through others. Not
    /// recursive: pipelines may be as deep as there are jobs.
    fn follow_from(&mut self, mut changed: Vec<JobId>) -> Change {
        let mut at = 0;
        while let Some(&over) = changed.get(at) {
            at += 1;
            let (cancelled, done_ms) = match self.jobs.get(&over) {
                Some(Entry::Final(JobStatus::Done, done_ms)) => (false, done_ms.unwrap_or(0)),
                Some(Entry::Final(..) | Entry::Doomed(_)) => (true, 0),
                Some(Entry::Live(_)) | None => continue,
            };
            for waiting in self.needed_by.remove(&over).unwrap_or_default() {
                let Some(entry) = self.jobs.get_mut(&waiting) else {
                    continue;
                };
                let Entry::Live(job) = entry else { continue };
                if cancelled {
                    *entry = Entry::Doomed(job.clone());
                    self.doomed.push_back(waiting);
                    changed.push(waiting);
                    continue;
                }
                job.left -= 1;
                job.released_ms = job.released_ms.max(done_ms);
                if job.left == 0 {
                    changed.push(waiting);
                }
            }
        }
        Change::Jobs(changed)
    }

    fn apply(&mut self, event: Event) -> Change {
        match event {
            Event::Put {
                key,
                value,
                version,
            } => self.put(&key, value, version),
            Event::Delete { key, version } => {
                // Leases' keys go with them; nothing else here is ever deleted. An event may be older
                // than a key that was read since.
                if let Some(label) = storage::parse_deputy_key(&key) {
                    if self
                        .deputies
                        .get(label)
                        .is_some_and(|known| *known < version)
                    {
                        self.deputies.remove(label);
                        return Change::DeputyGone(label.to_owned(), version);
                    }
                    return Change::Nothing;
                }
                if key == storage::LEADER
                    && self
                        .leader
                        .as_ref()
                        .is_some_and(|(_, known)| *known < version)
                {
                    self.leader = None;
                    return Change::Leader;
                }
                Change::Nothing
            }
        }
    }
}

/// Reading everything page by page, at the start or after too long a gap.
#[derive(Debug)]
pub enum Loading {
    Needed {
        after: Millis,
    },
    Reading {
        /// The revision of the first page: later changes are asked for from there on.
        revision: Option<u64>,
        leader_seen: bool,
        deputies_seen: Vec<String>,
    },
    Done,
}

#[derive(Default)]
pub struct Watch {
    open: bool,
    after: Millis,
}

#[derive(Default)]
pub struct Sync {
    /// When the one under way was started.
    started: Option<Millis>,
    last_start: Millis,
    /// The send time of the last one that succeeded.
    pub ok: Option<Millis>,
    /// Wait for the one under way.
    current: Vec<crate::coordination::AskId>,
    /// Came after it began: wait for the next.
    next: Vec<crate::coordination::AskId>,
    pub wanted: bool,
    /// The last one got no answer, not even a refusal. Whoever asks meanwhile had better be answered by a
    /// member: users that were cut off with this node waited for 2 s each before one was tried.
    pub silent: bool,
}

impl Node {
    /// Has a question answered after the next sync.
    pub(super) fn after_sync(&mut self, id: crate::coordination::AskId, pending: Pending) {
        self.pending.insert(id, pending);
        if self.sync.silent {
            return self.refuse(id);
        }
        self.sync.next.push(id);
    }

    /// Keeps the view up to date.
    pub(super) fn follow(&mut self) {
        match self.loading {
            Loading::Needed { after } if after <= self.now => {
                self.generation += 1;
                self.loading = Loading::Reading {
                    revision: None,
                    leader_seen: false,
                    deputies_seen: Vec::new(),
                };
                self.watch = Watch::default();
                self.load_page(None);
            }
            Loading::Done => {
                self.start_watch();
                self.start_sync();
            }
            _ => {}
        }
        if !self.directory.loaded {
            self.refuse_waiting()
        }
    }

    fn load_page(&mut self, after: Option<String>) {
        self.state(
            StateTag::Load {
                generation: self.generation,
            },
            StateRequest::List {
                prefix: storage::SHARED,
                after,
                limit: PAGE,
            },
            Urgency::Vital,
            3000,
        );
    }

    pub(super) fn loaded(&mut self, generation: u64, result: Result<StateReply, StateError>) {
        let Loading::Reading {
            revision,
            leader_seen,
            deputies_seen,
        } = &mut self.loading
        else {
            return;
        };
        if generation != self.generation {
            return;
        }
        let Ok(StateReply::Page(page)) = result else {
            self.loading = Loading::Needed {
                after: self.now + RETRY,
            };
            return self.refuse_waiting();
        };
        let first = *revision.get_or_insert(page.revision);
        let last_key = page.rows.last().map(|row| row.key.clone());
        let mut seen = *leader_seen;
        let mut deputies = std::mem::take(deputies_seen);
        let mut changes = Vec::new();
        for row in page.rows {
            seen |= row.key == storage::LEADER;
            deputies.extend(storage::parse_deputy_key(&row.key).map(str::to_owned));
            changes.push(self.directory.put(&row.key, row.value, row.version));
        }
        if page.more && last_key.is_some() {
            self.loading = Loading::Reading {
                revision: Some(first),
                leader_seen: seen,
                deputies_seen: deputies,
            };
            self.load_page(last_key);
        } else {
            if !seen {
                // It may have gone while nobody watched; if it came since, the watch will tell.
                self.directory.leader = None;
                changes.push(Change::Leader);
            }
            let gone: Vec<String> = self
                .directory
                .deputies
                .keys()
                .filter(|label| !deputies.contains(label))
                .cloned()
                .collect();
            for label in gone {
                self.directory.deputies.remove(&label);
                changes.push(Change::DeputyGone(label, first));
            }
            self.directory.revision = first;
            self.directory.loaded = true;
            self.loading = Loading::Done;
            // Nothing may be answered or renewed before the first sync.
            self.sync.wanted = true;
            tracing::info!(
                jobs = self.directory.jobs.len(),
                revision = first,
                "jobs read"
            );
        }
        for change in changes {
            self.changed(change);
        }
    }

    fn start_watch(&mut self) {
        if self.watch.open || self.watch.after > self.now {
            return;
        }
        self.watch.open = true;
        self.state(
            StateTag::Watch {
                generation: self.generation,
            },
            StateRequest::Changes {
                prefix: storage::SHARED,
                after: self.directory.revision,
                hold_ms: WATCH_HOLD,
            },
            Urgency::Prompt,
            WATCH_HOLD + 3000,
        );
    }

    pub(super) fn watched(&mut self, generation: u64, result: Result<StateReply, StateError>) {
        if generation != self.generation {
            return;
        }
        self.watch.open = false;
        match result {
            Ok(reply) => self.take_changes(reply),
            Err(_) => self.watch.after = self.now + RETRY,
        }
    }

    fn start_sync(&mut self) {
        let period = if self.leading.is_some() {
            SYNC_LEADER
        } else {
            SYNC_FOLLOWER
        };
        let due = !self.sync.next.is_empty()
            || self.sync.wanted
            || self.sync.last_start + period <= self.now;
        if !due || self.sync.started.is_some() || self.sync.last_start + SYNC_GAP > self.now {
            return;
        }
        self.sync.started = Some(self.now);
        self.sync.last_start = self.now;
        self.sync.wanted = false;
        self.sync.current = std::mem::take(&mut self.sync.next);
        self.state(
            StateTag::Sync {
                generation: self.generation,
            },
            StateRequest::Changes {
                prefix: storage::SHARED,
                after: self.directory.revision,
                hold_ms: 0,
            },
            Urgency::Prompt,
            SYNC_TIMEOUT,
        );
    }

    pub(super) fn synced(
        &mut self,
        generation: u64,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        self.sync.started = None;
        let asked = std::mem::take(&mut self.sync.current);
        if generation != self.generation {
            self.sync.next.extend(asked);
            return;
        }
        self.sync.silent = matches!(result, Err(StateError::NoAnswer));
        match result {
            Ok(reply @ StateReply::Changes(_)) => {
                self.take_changes(reply);
                self.sync.ok = self.sync.ok.max(Some(sent_at));
                self.make_books();
                for id in asked {
                    self.resolve(id);
                }
            }
            Ok(reply) => {
                self.take_changes(reply);
                self.sync.next.extend(asked);
            }
            Err(_) => {
                for id in asked {
                    self.refuse(id);
                }
            }
        }
    }

    fn refuse_waiting(&mut self) {
        for id in std::mem::take(&mut self.sync.next) {
            self.refuse(id);
        }
    }

    fn take_changes(&mut self, reply: StateReply) {
        match reply {
            StateReply::Changes(changes) => {
                let mut seen = Vec::new();
                for event in changes.events {
                    seen.push(self.directory.apply(event));
                }
                self.directory.revision = self.directory.revision.max(changes.revision);
                for change in seen {
                    self.changed(change);
                }
            }
            StateReply::TooOld => {
                tracing::info!("too far behind, reading the jobs again");
                self.loading = Loading::Needed { after: self.now };
            }
            _ => {}
        }
    }

    /// Lets the rest of the node follow a change.
    pub(super) fn changed(&mut self, change: Change) {
        match change {
            Change::Jobs(jobs) => {
                for id in jobs {
                    self.admission.accepted(id, false, self.now);
                    self.job_changed(id);
                }
            }
            Change::Table => self.table_read(),
            Change::Leader => self.leader_changed(),
            Change::Term => self.term_changed(),
            Change::Types => {
                if let Some((types, _)) = &self.directory.types
                    && self.types.is_empty()
                {
                    self.types = types.types.clone();
                }
            }
            Change::Deputy(label, version) => self.deputy_came(label, version),
            Change::DeputyGone(label, version) => self.deputy_gone(label, version),
            Change::Nothing => {}
        }
    }

    /// Something suggests that the view is behind.
    pub(super) fn want_sync(&mut self) {
        self.sync.wanted = true;
    }
}

#[cfg(test)]
mod tests;
