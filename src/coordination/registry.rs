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
    coordination::{Node, StateTag, admission::AdmissionQuotas, user_requests::PendingRequest},
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
const MIN_BARRIER_INTERVAL_MS: Millis = 30;
const BARRIER_TIMEOUT_MS: Millis = 1500;
/// How often a sync happens without being asked for.
const LEADER_BARRIER_INTERVAL_MS: Millis = 1000;
const FOLLOWER_BARRIER_INTERVAL_MS: Millis = 2000;
const WATCH_HOLD_MS: Millis = 10_000;
const RETRY_MS: Millis = 250;
const PAGE_ROWS: u32 = 500;

#[derive(Clone, Debug)]
pub struct LiveJob {
    pub version: u64,
    pub submitted_at_ms: u64,
    pub spec: Rc<Submission>,
    /// How many further keys its record has.
    pub part_count: u32,
    /// Awaited jobs whose records do not say `done`. Until there is none, no task may start.
    pub dependencies_left: usize,
    /// When the last awaited job was done, or the job was submitted, if that was later.
    pub released_at_ms: u64,
}

impl LiveJob {
    /// Adds the job's end to a transaction that stands if nobody else has ended it.
    pub fn append_outcome(&self, id: JobId, record: &JobRecord, txn: &mut Txn) {
        txn.put(
            storage::job_key(id),
            self.version,
            storage::to_value(record),
        );
        for part in 0..self.part_count {
            let key = storage::job_part_key(id, part);
            txn.writes.push(Write::Delete { key });
        }
    }
}

/// What a node holds of each job for good, so it is kept small: jobs that are over outnumber all others before long.
#[derive(Clone, Debug)]
pub enum RegisteredJob {
    Live(Box<LiveJob>),
    /// A job that it needs was cancelled: so it is, from then on, whatever its own record says. Each
    /// node derives that from two facts that never change, what the job awaits and how that ended, so
    /// no node can tell its user otherwise later, and nothing is left half done by a crash.
    CancelledByDependency(Box<LiveJob>),
    /// Kept for good, with the time at which it was done.
    Ended(JobStatus, Option<u64>),
}

impl RegisteredJob {
    /// How the job has ended.
    pub fn final_status(&self) -> Option<JobStatus> {
        match self {
            RegisteredJob::Live(_) => None,
            RegisteredJob::CancelledByDependency(_) => Some(JobStatus::Cancelled),
            RegisteredJob::Ended(status, _) => Some(*status),
        }
    }
}

/// What has been read of a record that is kept under several keys.
#[derive(Default)]
struct PartialRecord {
    /// Time of the submission, number of parts, version.
    record: Option<(u64, u32, u64)>,
    part_texts: BTreeMap<u32, String>,
}

#[derive(Default)]
pub struct JobRegistry {
    /// In order: what the books are made from must not depend on chance.
    jobs: BTreeMap<JobId, RegisteredJob>,
    /// TaskModel of all unfinished jobs, which a leader holds in its memory.
    unfinished_tasks: u64,
    /// Records that are not complete yet.
    partial_records: HashMap<JobId, PartialRecord>,
    /// Which live jobs await a job, from when the first of them is known until that job is over.
    dependents: HashMap<JobId, Vec<JobId>>,
    /// Jobs whose records do not say yet that they are cancelled, each behind one from which that follows.
    cancelled_by_dependency: VecDeque<JobId>,
    /// All changes up to here are in.
    revision: u64,
    loaded: bool,
    pub leader: Option<(LeaderRecord, u64)>,
    pub term: u64,
    pub term_version: u64,
    pub machine_types: Option<(MachineTypes, u64)>,
    /// The versions of the keys that they are kept under.
    pub machine_types_versions: HashMap<String, u64>,
    /// The agreed table of what the nodes may let in, and the version of its key.
    pub admission_quotas: Option<(AdmissionQuotas, u64)>,
    /// Where they are kept under several keys: by the number of those, and which one it is.
    machine_types_parts: BTreeMap<(u32, u32), Vec<MachineType>>,
    /// Nodes that may renew workers' leases, with the version of their keys.
    pub lease_renewers: BTreeMap<String, u64>,
}

/// What a change in the directory means to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// Jobs that were accepted, released or ended: the one whose record changed, and what follows.
    Jobs(Vec<JobId>),
    Leader,
    Term,
    MachineTypes,
    AdmissionQuotas,
    /// A deputy's key was written anew, in this version.
    RenewerRegistered(String, u64),
    /// A deputy's key is gone since this version.
    RenewerGone(String, u64),
    Nothing,
}

impl JobRegistry {
    /// One that has read all there is.
    #[cfg(test)]
    pub fn mark_loaded_for_test(&mut self) {
        self.loaded = true;
    }

    /// How many tasks all unfinished jobs have.
    pub fn unfinished_task_count(&self) -> u64 {
        self.unfinished_tasks
    }

    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    pub fn get(&self, id: JobId) -> Option<&RegisteredJob> {
        self.jobs.get(&id)
    }

    pub fn live_jobs(&self) -> impl Iterator<Item = (JobId, &LiveJob)> {
        self.jobs.iter().filter_map(|(id, entry)| match entry {
            RegisteredJob::Live(live) => Some((*id, &**live)),
            RegisteredJob::CancelledByDependency(_) | RegisteredJob::Ended(..) => None,
        })
    }

    pub fn live_job(&self, id: JobId) -> Option<&LiveJob> {
        match self.jobs.get(&id) {
            Some(RegisteredJob::Live(live)) => Some(live),
            _ => None,
        }
    }

    /// Live jobs that await an unfinished one.
    pub fn dependents_of(&self, id: JobId) -> impl Iterator<Item = (JobId, &LiveJob)> {
        let all = self.dependents.get(&id).into_iter().flatten();
        all.filter_map(|id| match self.jobs.get(id) {
            Some(RegisteredJob::Live(live)) => Some((*id, &**live)),
            _ => None,
        })
    }

    /// Whether jobs wait for this one.
    pub fn has_dependents(&self, id: JobId) -> bool {
        self.dependents_of(id).next().is_some()
    }

    /// The first jobs that were cancelled with one that they need and whose records don't say so.
    pub fn jobs_cancelled_by_dependency(&mut self) -> impl Iterator<Item = (JobId, &LiveJob)> {
        while let Some(first) = self.cancelled_by_dependency.front()
            && !matches!(
                self.jobs.get(first),
                Some(RegisteredJob::CancelledByDependency(_))
            )
        {
            self.cancelled_by_dependency.pop_front();
        }
        self.cancelled_by_dependency
            .iter()
            .filter_map(|id| match self.jobs.get(id) {
                Some(RegisteredJob::CancelledByDependency(job)) => Some((*id, &**job)),
                _ => None,
            })
    }

    fn put_row(&mut self, key: &str, value: Value, version: u64) -> RegistryChange {
        if let Some(id) = storage::parse_job_key(key) {
            return match serde_json::from_value::<JobRecord>(value) {
                Ok(record) => self.put_job_record(id, record, version),
                Err(error) => {
                    tracing::error!(%key, %error, "a job's record can't be read");
                    RegistryChange::Nothing
                }
            };
        }
        if let Some((id, part)) = storage::parse_job_part_key(key) {
            let Value::String(text) = value else {
                tracing::error!(%key, "a part of a job's record can't be read");
                return RegistryChange::Nothing;
            };
            if !self.jobs.contains_key(&id) {
                self.partial_records
                    .entry(id)
                    .or_default()
                    .part_texts
                    .insert(part, text);
            }
            return self.join_parts(id);
        }
        if let Some(label) = storage::parse_lease_renewer_key(key) {
            let known = self.lease_renewers.entry(label.to_owned()).or_default();
            if *known >= version {
                return RegistryChange::Nothing;
            }
            *known = version;
            return RegistryChange::RenewerRegistered(label.to_owned(), version);
        }
        if key.starts_with(storage::MACHINE_TYPES_KEY) {
            let known = self
                .machine_types_versions
                .entry(key.to_owned())
                .or_default();
            if *known >= version {
                return RegistryChange::Nothing;
            }
            *known = version;
        }
        if let Some((part, count)) = storage::parse_machine_types_key(key) {
            if let Ok(types) = serde_json::from_value::<MachineTypes>(value) {
                self.machine_types_parts.insert((count, part), types.types);
            }
            let parts = self.machine_types_parts.range((count, 0)..(count, count));
            if parts.clone().count() == count as usize {
                let types = parts.flat_map(|(_, part)| part.clone()).collect();
                self.machine_types = Some((MachineTypes { types }, version));
            }
            return RegistryChange::MachineTypes;
        }
        match key {
            storage::LEADER_KEY => {
                if self
                    .leader
                    .as_ref()
                    .is_some_and(|(_, known)| *known >= version)
                {
                    return RegistryChange::Nothing;
                }
                self.leader = serde_json::from_value(value)
                    .ok()
                    .map(|record| (record, version));
                RegistryChange::Leader
            }
            storage::TERM_KEY => {
                if version <= self.term_version {
                    return RegistryChange::Nothing;
                }
                if let Ok(TermRecord { term }) = serde_json::from_value(value) {
                    self.term = term;
                    self.term_version = version;
                }
                RegistryChange::Term
            }
            storage::ADMISSION_QUOTAS_KEY => {
                if self
                    .admission_quotas
                    .as_ref()
                    .is_some_and(|(_, known)| *known >= version)
                {
                    return RegistryChange::Nothing;
                }
                if let Ok(table) = serde_json::from_value(value) {
                    self.admission_quotas = Some((table, version));
                }
                RegistryChange::AdmissionQuotas
            }
            storage::MACHINE_TYPES_KEY => {
                self.machine_types = serde_json::from_value(value)
                    .ok()
                    .map(|types| (types, version));
                RegistryChange::MachineTypes
            }
            _ => RegistryChange::Nothing,
        }
    }

    /// Enters a job's record; what is final stays so.
    pub fn put_job_record(&mut self, id: JobId, record: JobRecord, version: u64) -> RegistryChange {
        let known = self.jobs.get(&id);
        let ended = match record {
            JobRecord::Live { .. } | JobRecord::Split { .. } if known.is_some() => {
                return RegistryChange::Nothing;
            }
            JobRecord::Live { at_ms, spec } => {
                return self.register_job(id, (at_ms, 0, version), *spec);
            }
            JobRecord::Split { at_ms, parts } => {
                self.partial_records.entry(id).or_default().record = Some((at_ms, parts, version));
                return self.join_parts(id);
            }
            JobRecord::Done { at_ms } => RegisteredJob::Ended(JobStatus::Done, at_ms),
            JobRecord::Cancelled => RegisteredJob::Ended(JobStatus::Cancelled, None),
        };
        // What it needed is perhaps less urgent without it.
        let mut changed = vec![id];
        match known {
            Some(RegisteredJob::Ended(..)) => return RegistryChange::Nothing,
            Some(RegisteredJob::Live(live)) => {
                changed.extend(&live.spec.dependencies);
                self.unfinished_tasks -= u64::from(live.spec.tasks);
            }
            Some(RegisteredJob::CancelledByDependency(live)) => {
                self.unfinished_tasks -= u64::from(live.spec.tasks)
            }
            None => {}
        }
        self.partial_records.remove(&id);
        self.jobs.insert(id, ended);
        self.propagate_outcomes(changed)
    }

    /// Enters a job whose record is kept under several keys once all of them have been read. They are
    /// written at once, but read page by page.
    fn join_parts(&mut self, id: JobId) -> RegistryChange {
        let Some(split) = self.partial_records.get(&id) else {
            return RegistryChange::Nothing;
        };
        let Some(record) = split
            .record
            .filter(|(_, parts, _)| (0..*parts).all(|part| split.part_texts.contains_key(&part)))
        else {
            return RegistryChange::Nothing;
        };
        let spec = storage::join_submission_parts(split.part_texts.values().map(String::as_str));
        self.partial_records.remove(&id);
        match spec {
            Ok(spec) => self.register_job(id, record, spec),
            Err(error) => {
                tracing::error!(job = %id, %error, "a job's record can't be read");
                RegistryChange::Nothing
            }
        }
    }

    /// Enters a job that is not known yet.
    fn register_job(
        &mut self,
        id: JobId,
        (at_ms, parts, version): (u64, u32, u64),
        spec: Submission,
    ) -> RegistryChange {
        let mut live = Box::new(LiveJob {
            version,
            submitted_at_ms: at_ms,
            part_count: parts,
            dependencies_left: 0,
            released_at_ms: at_ms,
            spec: Rc::new(spec),
        });
        let spec = live.spec.clone();
        let mut doomed = false;
        for awaited in &spec.dependencies {
            match self.jobs.get(awaited) {
                Some(RegisteredJob::Ended(JobStatus::Done, done_ms)) => {
                    live.released_at_ms = live.released_at_ms.max(done_ms.unwrap_or(0));
                }
                Some(RegisteredJob::Ended(..) | RegisteredJob::CancelledByDependency(_)) => {
                    doomed = true
                }
                // While all is being read, it may come only later.
                Some(RegisteredJob::Live(_)) | None => {
                    live.dependencies_left += 1;
                    self.dependents.entry(*awaited).or_default().push(id);
                }
            }
        }
        if doomed {
            self.cancelled_by_dependency.push_back(id);
            self.jobs
                .insert(id, RegisteredJob::CancelledByDependency(live));
        } else {
            self.jobs.insert(id, RegisteredJob::Live(live));
        }
        self.unfinished_tasks += u64::from(spec.tasks);
        self.propagate_outcomes(vec![id])
    }

    /// What follows from a job's new state for those that await it, directly or through others. Not
    /// recursive: pipelines may be as deep as there are jobs.
    fn propagate_outcomes(&mut self, mut changed: Vec<JobId>) -> RegistryChange {
        let mut at = 0;
        while let Some(&over) = changed.get(at) {
            at += 1;
            let (cancelled, done_ms) = match self.jobs.get(&over) {
                Some(RegisteredJob::Ended(JobStatus::Done, done_ms)) => {
                    (false, done_ms.unwrap_or(0))
                }
                Some(RegisteredJob::Ended(..) | RegisteredJob::CancelledByDependency(_)) => {
                    (true, 0)
                }
                Some(RegisteredJob::Live(_)) | None => continue,
            };
            for waiting in self.dependents.remove(&over).unwrap_or_default() {
                let Some(entry) = self.jobs.get_mut(&waiting) else {
                    continue;
                };
                let RegisteredJob::Live(job) = entry else {
                    continue;
                };
                if cancelled {
                    *entry = RegisteredJob::CancelledByDependency(job.clone());
                    self.cancelled_by_dependency.push_back(waiting);
                    changed.push(waiting);
                    continue;
                }
                job.dependencies_left -= 1;
                job.released_at_ms = job.released_at_ms.max(done_ms);
                if job.dependencies_left == 0 {
                    changed.push(waiting);
                }
            }
        }
        RegistryChange::Jobs(changed)
    }

    fn apply_event(&mut self, event: Event) -> RegistryChange {
        match event {
            Event::Put {
                key,
                value,
                version,
            } => self.put_row(&key, value, version),
            Event::Delete { key, version } => {
                // Leases' keys go with them; nothing else here is ever deleted. An event may be older
                // than a key that was read since.
                if let Some(label) = storage::parse_lease_renewer_key(&key) {
                    if self
                        .lease_renewers
                        .get(label)
                        .is_some_and(|known| *known < version)
                    {
                        self.lease_renewers.remove(label);
                        return RegistryChange::RenewerGone(label.to_owned(), version);
                    }
                    return RegistryChange::Nothing;
                }
                if key == storage::LEADER_KEY
                    && self
                        .leader
                        .as_ref()
                        .is_some_and(|(_, known)| *known < version)
                {
                    self.leader = None;
                    return RegistryChange::Leader;
                }
                RegistryChange::Nothing
            }
        }
    }
}

/// Reading everything page by page, at the start or after too long a gap.
#[derive(Debug)]
pub enum RegistryLoad {
    Needed {
        after: Millis,
    },
    Reading {
        /// The revision of the first page: later changes are asked for from there on.
        revision: Option<u64>,
        leader_seen: bool,
        renewers_seen: Vec<String>,
    },
    Done,
}

#[derive(Default)]
pub struct RegistryWatch {
    open: bool,
    retry_at: Millis,
}

#[derive(Default)]
pub struct ReadBarrier {
    /// When the one under way was started.
    in_flight_since: Option<Millis>,
    last_started_at: Millis,
    /// The send time of the last one that succeeded.
    pub confirmed_at: Option<Millis>,
    /// Wait for the one under way.
    waiting_on_current: Vec<crate::coordination::RequestId>,
    /// Came after it began: wait for the next.
    waiting_on_next: Vec<crate::coordination::RequestId>,
    pub is_requested: bool,
    /// The last one got no answer, not even a refusal. Whoever asks meanwhile had better be answered by a
    /// member: users that were cut off with this node waited for 2 s each before one was tried.
    pub is_unanswered: bool,
}

impl Node {
    /// Has a question answered after the next sync.
    pub(super) fn answer_after_barrier(
        &mut self,
        id: crate::coordination::RequestId,
        pending: PendingRequest,
    ) {
        self.pending_requests.insert(id, pending);
        if self.read_barrier.is_unanswered {
            return self.relay_or_refuse(id);
        }
        self.read_barrier.waiting_on_next.push(id);
    }

    /// Keeps the view up to date.
    pub(super) fn maintain_registry(&mut self) {
        match self.registry_load {
            RegistryLoad::Needed { after } if after <= self.now => {
                self.load_generation += 1;
                self.registry_load = RegistryLoad::Reading {
                    revision: None,
                    leader_seen: false,
                    renewers_seen: Vec::new(),
                };
                self.watch = RegistryWatch::default();
                self.request_registry_page(None);
            }
            RegistryLoad::Done => {
                self.start_watch();
                self.start_read_barrier();
            }
            _ => {}
        }
        if !self.registry.loaded {
            self.refuse_waiting_requests()
        }
    }

    fn request_registry_page(&mut self, after: Option<String>) {
        self.call_state_service(
            StateTag::LoadRegistry {
                generation: self.load_generation,
            },
            StateRequest::List {
                prefix: storage::SHARED_PREFIX,
                after,
                limit: PAGE_ROWS,
            },
            Urgency::Vital,
            3000,
        );
    }

    pub(super) fn on_registry_page(
        &mut self,
        generation: u64,
        result: Result<StateReply, StateError>,
    ) {
        let RegistryLoad::Reading {
            revision,
            leader_seen,
            renewers_seen: deputies_seen,
        } = &mut self.registry_load
        else {
            return;
        };
        if generation != self.load_generation {
            return;
        }
        let Ok(StateReply::Page(page)) = result else {
            self.registry_load = RegistryLoad::Needed {
                after: self.now + RETRY_MS,
            };
            return self.refuse_waiting_requests();
        };
        let first = *revision.get_or_insert(page.revision);
        let last_key = page.rows.last().map(|row| row.key.clone());
        let mut seen = *leader_seen;
        let mut deputies = std::mem::take(deputies_seen);
        let mut changes = Vec::new();
        for row in page.rows {
            seen |= row.key == storage::LEADER_KEY;
            deputies.extend(storage::parse_lease_renewer_key(&row.key).map(str::to_owned));
            changes.push(self.registry.put_row(&row.key, row.value, row.version));
        }
        if page.more && last_key.is_some() {
            self.registry_load = RegistryLoad::Reading {
                revision: Some(first),
                leader_seen: seen,
                renewers_seen: deputies,
            };
            self.request_registry_page(last_key);
        } else {
            if !seen {
                // It may have gone while nobody watched; if it came since, the watch will tell.
                self.registry.leader = None;
                changes.push(RegistryChange::Leader);
            }
            let gone: Vec<String> = self
                .registry
                .lease_renewers
                .keys()
                .filter(|label| !deputies.contains(label))
                .cloned()
                .collect();
            for label in gone {
                self.registry.lease_renewers.remove(&label);
                changes.push(RegistryChange::RenewerGone(label, first));
            }
            self.registry.revision = first;
            self.registry.loaded = true;
            self.registry_load = RegistryLoad::Done;
            // Nothing may be answered or renewed before the first sync.
            self.read_barrier.is_requested = true;
            tracing::info!(
                jobs = self.registry.jobs.len(),
                revision = first,
                "jobs read"
            );
        }
        for change in changes {
            self.on_registry_change(change);
        }
    }

    fn start_watch(&mut self) {
        if self.watch.open || self.watch.retry_at > self.now {
            return;
        }
        self.watch.open = true;
        self.call_state_service(
            StateTag::WatchRegistry {
                generation: self.load_generation,
            },
            StateRequest::Changes {
                prefix: storage::SHARED_PREFIX,
                after: self.registry.revision,
                hold_ms: WATCH_HOLD_MS,
            },
            Urgency::Prompt,
            WATCH_HOLD_MS + 3000,
        );
    }

    pub(super) fn on_watch_response(
        &mut self,
        generation: u64,
        result: Result<StateReply, StateError>,
    ) {
        if generation != self.load_generation {
            return;
        }
        self.watch.open = false;
        match result {
            Ok(reply) => self.apply_changes(reply),
            Err(_) => self.watch.retry_at = self.now + RETRY_MS,
        }
    }

    fn start_read_barrier(&mut self) {
        let period = if self.leader_state.is_some() {
            LEADER_BARRIER_INTERVAL_MS
        } else {
            FOLLOWER_BARRIER_INTERVAL_MS
        };
        let due = !self.read_barrier.waiting_on_next.is_empty()
            || self.read_barrier.is_requested
            || self.read_barrier.last_started_at + period <= self.now;
        if !due
            || self.read_barrier.in_flight_since.is_some()
            || self.read_barrier.last_started_at + MIN_BARRIER_INTERVAL_MS > self.now
        {
            return;
        }
        self.read_barrier.in_flight_since = Some(self.now);
        self.read_barrier.last_started_at = self.now;
        self.read_barrier.is_requested = false;
        self.read_barrier.waiting_on_current =
            std::mem::take(&mut self.read_barrier.waiting_on_next);
        self.call_state_service(
            StateTag::ReadBarrier {
                generation: self.load_generation,
            },
            StateRequest::Changes {
                prefix: storage::SHARED_PREFIX,
                after: self.registry.revision,
                hold_ms: 0,
            },
            Urgency::Prompt,
            BARRIER_TIMEOUT_MS,
        );
    }

    pub(super) fn on_read_barrier(
        &mut self,
        generation: u64,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        self.read_barrier.in_flight_since = None;
        let asked = std::mem::take(&mut self.read_barrier.waiting_on_current);
        if generation != self.load_generation {
            self.read_barrier.waiting_on_next.extend(asked);
            return;
        }
        self.read_barrier.is_unanswered = matches!(result, Err(StateError::NoAnswer));
        match result {
            Ok(reply @ StateReply::Changes(_)) => {
                self.apply_changes(reply);
                self.read_barrier.confirmed_at = self.read_barrier.confirmed_at.max(Some(sent_at));
                self.rebuild_cluster();
                for id in asked {
                    self.resolve_request(id);
                }
            }
            Ok(reply) => {
                self.apply_changes(reply);
                self.read_barrier.waiting_on_next.extend(asked);
            }
            Err(_) => {
                for id in asked {
                    self.relay_or_refuse(id);
                }
            }
        }
    }

    fn refuse_waiting_requests(&mut self) {
        for id in std::mem::take(&mut self.read_barrier.waiting_on_next) {
            self.relay_or_refuse(id);
        }
    }

    fn apply_changes(&mut self, reply: StateReply) {
        match reply {
            StateReply::Changes(changes) => {
                let mut seen = Vec::new();
                for event in changes.events {
                    seen.push(self.registry.apply_event(event));
                }
                self.registry.revision = self.registry.revision.max(changes.revision);
                for change in seen {
                    self.on_registry_change(change);
                }
            }
            StateReply::TooOld => {
                tracing::info!("too far behind, reading the jobs again");
                self.registry_load = RegistryLoad::Needed { after: self.now };
            }
            _ => {}
        }
    }

    /// Lets the rest of the node follow a change.
    pub(super) fn on_registry_change(&mut self, change: RegistryChange) {
        match change {
            RegistryChange::Jobs(jobs) => {
                for id in jobs {
                    self.admission.on_accepted(id, false, self.now);
                    self.on_job_changed(id);
                }
            }
            RegistryChange::AdmissionQuotas => self.on_admission_quotas_read(),
            RegistryChange::Leader => self.on_leader_changed(),
            RegistryChange::Term => self.on_term_changed(),
            RegistryChange::MachineTypes => {
                if let Some((types, _)) = &self.registry.machine_types
                    && self.machine_types.is_empty()
                {
                    self.machine_types = types.types.clone();
                }
            }
            RegistryChange::RenewerRegistered(label, version) => {
                self.on_renewer_registered(label, version)
            }
            RegistryChange::RenewerGone(label, version) => self.on_renewer_gone(label, version),
            RegistryChange::Nothing => {}
        }
    }

    /// Something suggests that the view is behind.
    pub(super) fn request_read_barrier(&mut self) {
        self.read_barrier.is_requested = true;
    }
}

#[cfg(test)]
mod tests;
