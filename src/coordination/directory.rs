//! The view of `shared/` that every node keeps: jobs, leader, term, machine types.
//!
//! A watch brings changes at once; a sync (a watch that does not wait) proves that the view is as
//! new as the moment at which it was sent. Answers that could be older than what another node has
//! told a user are given only after a sync that began after the question came.

use std::{collections::BTreeMap, rc::Rc};

use serde_json::Value;

use super::{Node, StateTag, users::Pending};
use crate::{
    bookkeeping::{
        Millis,
        store::{self, JobRecord, LeaderRecord, TermRecord},
    },
    protocol::{
        cloud::MachineTypes,
        ids::JobId,
        job::{JobStatus, Submission},
        state::{Event, StateError, StateReply, StateRequest, Urgency},
    },
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
}

#[derive(Clone, Debug)]
pub enum Entry {
    Live(LiveJob),
    /// Kept for good.
    Final(JobStatus),
}

#[derive(Default)]
pub struct Directory {
    /// In order: what the books are made from must not depend on chance.
    jobs: BTreeMap<JobId, Entry>,
    /// All changes up to here are in.
    revision: u64,
    loaded: bool,
    pub leader: Option<(LeaderRecord, u64)>,
    pub term: u64,
    pub term_version: u64,
    pub types: Option<(MachineTypes, u64)>,
    /// Nodes that may renew workers' leases, with the version of their keys.
    pub deputies: BTreeMap<String, u64>,
}

/// What a change in the directory means to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Job(JobId),
    Leader,
    Term,
    Types,
    /// A deputy's key is gone.
    DeputyGone(String),
    Nothing,
}

impl Directory {
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    pub fn get(&self, id: JobId) -> Option<&Entry> {
        self.jobs.get(&id)
    }

    pub fn live(&self) -> impl Iterator<Item = (JobId, &LiveJob)> {
        self.jobs.iter().filter_map(|(id, entry)| match entry {
            Entry::Live(live) => Some((*id, live)),
            Entry::Final(_) => None,
        })
    }

    fn put(&mut self, key: &str, value: Value, version: u64) -> Change {
        if let Some(id) = store::parse_job_key(key) {
            return match serde_json::from_value::<JobRecord>(value) {
                Ok(record) => self.put_job(id, record, version),
                Err(error) => {
                    tracing::error!(%key, %error, "a job's record can't be read");
                    Change::Nothing
                }
            };
        }
        if let Some(label) = store::parse_deputy_key(key) {
            let known = self.deputies.entry(label.to_owned()).or_default();
            *known = version.max(*known);
            return Change::Nothing;
        }
        match key {
            store::LEADER => {
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
            store::TERM => {
                if version <= self.term_version {
                    return Change::Nothing;
                }
                if let Ok(TermRecord { term }) = serde_json::from_value(value) {
                    self.term = term;
                    self.term_version = version;
                }
                Change::Term
            }
            store::TYPES => {
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
        let entry = match record {
            JobRecord::Live { at_ms, spec } => {
                if self.jobs.contains_key(&id) {
                    return Change::Nothing;
                }
                Entry::Live(LiveJob {
                    version,
                    at_ms,
                    spec: Rc::new(*spec),
                })
            }
            JobRecord::Done => Entry::Final(JobStatus::Done),
            JobRecord::Cancelled => Entry::Final(JobStatus::Cancelled),
        };
        if matches!(self.jobs.get(&id), Some(Entry::Final(_))) {
            return Change::Nothing;
        }
        self.jobs.insert(id, entry);
        Change::Job(id)
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
                if let Some(label) = store::parse_deputy_key(&key) {
                    if self
                        .deputies
                        .get(label)
                        .is_some_and(|known| *known < version)
                    {
                        self.deputies.remove(label);
                        return Change::DeputyGone(label.to_owned());
                    }
                    return Change::Nothing;
                }
                if key == store::LEADER
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
    current: Vec<super::AskId>,
    /// Came after it began: wait for the next.
    next: Vec<super::AskId>,
    pub wanted: bool,
}

impl Node {
    /// Has a question answered after the next sync.
    pub(super) fn after_sync(&mut self, id: super::AskId, pending: Pending) {
        self.pending.insert(id, pending);
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
                prefix: store::SHARED,
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
            seen |= row.key == store::LEADER;
            deputies.extend(store::parse_deputy_key(&row.key).map(str::to_owned));
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
                changes.push(Change::DeputyGone(label));
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
                prefix: store::SHARED,
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
                prefix: store::SHARED,
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
        match result {
            Ok(reply @ StateReply::Changes(_)) => {
                self.take_changes(reply);
                self.sync.ok = self.sync.ok.max(Some(sent_at));
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
            Change::Job(id) => self.job_changed(id),
            Change::Leader => self.leader_changed(),
            Change::Term => self.term_changed(),
            Change::Types => {
                if let Some((types, _)) = &self.directory.types
                    && self.types.is_empty()
                {
                    self.types = types.types.clone();
                }
            }
            Change::DeputyGone(label) => self.deputy_gone(label),
            Change::Nothing => {}
        }
    }

    /// Something suggests that the view is behind.
    pub(super) fn want_sync(&mut self) {
        self.sync.wanted = true;
    }
}
