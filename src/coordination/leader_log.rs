//! The leader's notes in the state service: the log of what changed, pages, and the end of jobs.
//!
//! The store takes few writes a second, and tasks start and end far more often. So one entry of the
//! log carries all that changed since the one before, whatever jobs it belongs to. Entries live in a
//! ring of keys, each written against the version that it is known to have: a write that is applied
//! late, after its slot was used again, changes nothing. Before the ring comes round, what only the
//! oldest entries tell is told again where newer ones have room, or, of large jobs, written into pages;
//! later entries say from where on the log counts.

use std::collections::{BTreeSet, HashSet, VecDeque};

use crate::{
    cluster::{ClusterState, JobIndex, Phase},
    coordination::{
        LeaderState, Node, StateTag,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::{
        ids::JobId,
        state::{Condition, StateError, StateReply, StateRequest, Txn, Urgency, Write},
    },
    storage::{self, JobRecord, LogRecord, SnapshotNumber},
    time::Millis,
};

const WRITE_RETRY_MS: Millis = 150;
/// After a write without an answer: behind a cut each try costs a slot and a question about it.
const UNANSWERED_RETRY_MS: Millis = 500;
/// Kept below a transaction's 64 KiB.
const MAX_TXN_BYTES: usize = 48 * 1024;
/// The part of the leader's writes that the log may take.
const LOG_WRITE_FRACTION: f64 = 0.4;
/// Entries from which on the oldest are replaced.
const COMPACTION_RECORDS: usize = storage::LOG_RING_SLOTS as usize / 2;
const COMPACTION_BYTES: usize = 256 * 1024;
/// Entries from which on that is worth writes of its own.
const PRESSURE_RECORDS: usize = COMPACTION_RECORDS * 3 / 2;
/// What the oldest entries tell is told again for jobs of up to so many tasks. Of larger ones the ring
/// could not hold all; they have pages.
const MAX_RELOGGED_JOB_TASKS: usize = 4000;
/// TaskModel that one write tells of at the most, and how many of those once more.
const MAX_TASKS_PER_WRITE: usize = 2000;
const MAX_RELOGGED_TASKS_PER_WRITE: usize = 100;
/// Entries that are looked at for that.
const MAX_RECORDS_SCANNED: usize = 32;
/// Entries from which on pages are written for whatever the oldest tell.
const SNAPSHOT_ALL_RECORDS: usize = COMPACTION_RECORDS * 7 / 4;
/// Least time between two writes of pages, while there is room in the ring.
const SNAPSHOT_INTERVAL_MS: Millis = 250;
const COLLECTION_INTERVAL_MS: Millis = 1000;
const IMAGES_INTERVAL_MS: Millis = 10_000;

/// A task that an entry names: its job's place in the books and id, and its number.
type LoggedTask = (JobIndex, JobId, u32);

/// An entry that a successor would read.
struct LiveRecord {
    seq: u64,
    slot: u32,
    /// The version of the slot's key; while the entry is being written, the one before.
    version: u64,
    bytes: usize,
    tasks: Vec<LoggedTask>,
}

#[derive(Clone, Copy)]
enum SlotState {
    /// The key's version.
    Free(u64),
    /// An entry that counts, or one whose fate is not known.
    Taken,
}

/// A write of the log under way.
struct LogWrite {
    records: Vec<LiveRecord>,
    completed_jobs: Vec<(JobIndex, JobId)>,
    /// The time of day that those ends tell.
    completed_at_ms: u64,
}

/// Pages under way, each with the last entry that it covers.
struct SnapshotWrite {
    /// Stretches of jobs' tasks.
    ranges: Vec<(JobIndex, JobId, u32)>,
    covers_seq: u64,
}

/// A key that may have been written without our knowing; it is not written again before we know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnconfirmedWrite {
    Slot(u32),
    Snapshot(JobId, SnapshotNumber),
    Images(usize),
}

impl UnconfirmedWrite {
    fn store_key(self) -> String {
        match self {
            UnconfirmedWrite::Slot(slot) => storage::log_slot_key(slot),
            UnconfirmedWrite::Snapshot(job, page) => storage::snapshot_key(job, page),
            UnconfirmedWrite::Images(part) => storage::images_key(part),
        }
    }
}

/// How the notes stand with the store.
pub struct LeaderLog {
    slots: Vec<SlotState>,
    next_slot_hint: u32,
    next_seq: u64,
    /// Entries before this one count no more.
    first_live_seq: u64,
    live_records: VecDeque<LiveRecord>,
    live_bytes: usize,
    write_in_flight: Option<LogWrite>,
    written_at: Millis,
    write_retry_at: Millis,
    snapshot_in_flight: Option<SnapshotWrite>,
    snapshot_at: Millis,
    collected_at: Millis,
    /// Pages whose deletion is under way.
    deletions_in_flight: Vec<(JobId, SnapshotNumber)>,
    images_written_at: Millis,
    /// The keys that tell of images.
    image_slots: Vec<SlotState>,
    /// Keys to ask for again, and when.
    unconfirmed: Vec<(Millis, UnconfirmedWrite)>,
}

impl Default for LeaderLog {
    fn default() -> Self {
        LeaderLog {
            slots: vec![SlotState::Free(0); storage::LOG_RING_SLOTS as usize],
            next_slot_hint: 0,
            next_seq: 1,
            first_live_seq: 1,
            live_records: VecDeque::new(),
            live_bytes: 0,
            write_in_flight: None,
            written_at: 0,
            write_retry_at: 0,
            snapshot_in_flight: None,
            snapshot_at: 0,
            collected_at: 0,
            deletions_in_flight: Vec::new(),
            images_written_at: 0,
            image_slots: Vec::new(),
            unconfirmed: Vec::new(),
        }
    }
}

impl LeaderLog {
    /// Goes on where the predecessors' entries end. `entries`: slot, version, record.
    /// `images`: the versions of the keys that tell of those.
    pub fn inherit(
        entries: &[(u32, u64, LogRecord)],
        images: &[u64],
        cluster: &mut ClusterState,
    ) -> Self {
        let mut notes = LeaderLog {
            image_slots: images.iter().copied().map(SlotState::Free).collect(),
            ..LeaderLog::default()
        };
        for (slot, version, record) in entries {
            if let Some(known) = notes.slots.get_mut(*slot as usize) {
                *known = SlotState::Free(*version);
            }
            notes.next_seq = notes.next_seq.max(record.seq + 1);
            notes.first_live_seq = notes.first_live_seq.max(record.first_live_seq);
        }
        let mut live: Vec<_> = entries
            .iter()
            .filter(|(.., record)| record.seq >= notes.first_live_seq)
            .collect();
        live.sort_by_key(|(.., record)| record.seq);
        for (slot, version, record) in live {
            let names = record.jobs.iter().filter_map(|(id, _, tasks)| {
                let index = *cluster.jobs_by_id.get(id)?;
                Some(tasks.iter().map(move |note| (index, *id, note.0)))
            });
            let names: Vec<LoggedTask> = names.flatten().collect();
            for &(job, _, task) in &names {
                if let Some(task) = cluster.jobs[job.as_usize()].tasks.get_mut(task as usize) {
                    task.last_log_seq = record.seq;
                }
            }
            notes.add_live_record(LiveRecord {
                seq: record.seq,
                slot: *slot,
                version: *version,
                bytes: storage::json_len(record),
                tasks: names,
            });
            notes.next_slot_hint = slot + 1;
        }
        notes
    }

    fn add_live_record(&mut self, entry: LiveRecord) {
        self.slots[entry.slot as usize] = SlotState::Taken;
        self.live_bytes += entry.bytes;
        self.live_records.push_back(entry);
    }

    /// The next slot that can be written: its number and the version of its key.
    fn next_slot(&mut self) -> Option<(u32, u64)> {
        for _ in 0..storage::LOG_RING_SLOTS {
            let slot = self.next_slot_hint % storage::LOG_RING_SLOTS;
            self.next_slot_hint = slot + 1;
            if let SlotState::Free(version) = self.slots[slot as usize] {
                return Some((slot, version));
            }
        }
        None
    }

    /// Entries that a successor would read.
    pub fn live_record_count(&self) -> usize {
        self.live_records.len()
    }

    /// Forgets the oldest entries as long as all that they tell is told elsewhere.
    fn compact(&mut self, cluster: &ClusterState, held: &HashSet<JobIndex>) {
        while let Some(entry) = self.live_records.front()
            && self.needs_compaction()
            && !entry
                .tasks
                .iter()
                .any(|each| is_still_needed(cluster, held, each, entry.seq))
        {
            self.first_live_seq = entry.seq + 1;
            self.live_bytes -= entry.bytes;
            self.slots[entry.slot as usize] = SlotState::Free(entry.version);
            self.live_records.pop_front();
        }
    }

    /// TaskModel of which only the oldest entries tell, as many as a write may have room for.
    fn tasks_to_relog(&mut self, cluster: &ClusterState) -> Vec<(JobIndex, u32)> {
        let mut again = BTreeSet::new();
        if !self.needs_compaction() {
            return Vec::new();
        }
        let held = jobs_possibly_running(cluster);
        self.compact(cluster, &held);
        for entry in self.live_records.iter().take(MAX_RECORDS_SCANNED) {
            if again.len() >= MAX_RELOGGED_TASKS_PER_WRITE {
                break;
            }
            for name in &entry.tasks {
                let &(job, _, task) = name;
                if cluster.is_durable(job, task)
                    && is_still_needed(cluster, &held, name, entry.seq)
                    && cluster.job(job).tasks.len() <= MAX_RELOGGED_JOB_TASKS
                {
                    again.insert((job, task));
                }
            }
        }
        again.into_iter().collect()
    }

    fn is_under_pressure(&self) -> bool {
        self.live_records.len() > PRESSURE_RECORDS
    }

    fn needs_compaction(&self) -> bool {
        self.live_records.len() > COMPACTION_RECORDS || self.live_bytes > COMPACTION_BYTES
    }
}

/// Whether entry `seq` must not be forgotten for what it tells of a task: no later one tells of it, and
/// no page. Of a job that is over, only what may still be running counts.
fn is_still_needed(
    cluster: &ClusterState,
    held: &HashSet<JobIndex>,
    &(job, id, task): &LoggedTask,
    seq: u64,
) -> bool {
    let known = cluster.jobs_by_id.get(&id) == Some(&job);
    if !known || (cluster.job(job).closed && !held.contains(&job)) {
        return false;
    }
    let entry = cluster.job(job);
    let logged = entry
        .tasks
        .get(task as usize)
        .is_some_and(|task| task.last_log_seq > seq);
    let paged = entry
        .task_ranges
        .get((task / cluster.task_range_len) as usize);
    !logged && paged.is_some_and(|page| page.snapshot_seq < seq)
}

/// Jobs of which something may run on a machine.
fn jobs_possibly_running(cluster: &ClusterState) -> HashSet<JobIndex> {
    let attempts = cluster
        .machines
        .iter()
        .flat_map(|machine| &machine.attempts);
    let may_run = attempts.filter(|attempt| attempt.phase != Phase::Ended || !attempt.reconciled);
    may_run.map(|attempt| attempt.job).collect()
}

/// Jobs of which a worker still tells something.
fn jobs_with_attempts(cluster: &ClusterState) -> HashSet<JobIndex> {
    let attempts = cluster
        .machines
        .iter()
        .flat_map(|machine| &machine.attempts);
    attempts.map(|attempt| attempt.job).collect()
}

impl Node {
    /// Least time between two entries: the log takes a part of the leader's writes, and what comes
    /// meanwhile shares the next one.
    fn log_write_interval(&self) -> Millis {
        let writes = self.config.settings.state.write_rps * LOG_WRITE_FRACTION;
        (1000.0 / writes.max(0.1)) as Millis
    }

    /// Writes what changed, and the end of jobs whose tasks are all done.
    pub(super) fn write_log(&mut self) {
        let gap = self.log_write_interval();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let mut txn = Txn::only_if(leader.leadership_condition());
        let lease = leader.lease;
        let notes = &leader.log;
        let Some(cluster) = &leader.cluster else {
            return;
        };
        if notes.write_in_flight.is_some()
            || notes.write_retry_at > self.now
            || notes.written_at + gap > self.now
            || (cluster.unlogged_tasks.is_empty()
                && cluster.completed_jobs.is_empty()
                && !notes.is_under_pressure())
        {
            return;
        }
        let flush = LogWrite {
            records: self.append_log_records(&mut txn),
            completed_jobs: self.append_completed_jobs(&mut txn),
            completed_at_ms: self.wall_ms,
        };
        let Some(leader) = self
            .leader_state
            .as_mut()
            .filter(|_| !txn.writes.is_empty())
        else {
            return;
        };
        leader.log.write_in_flight = Some(flush);
        leader.log.written_at = self.now;
        self.call_state_service(
            StateTag::AppendLog { lease },
            StateRequest::Txn(txn),
            Urgency::Prompt,
            TXN_TIMEOUT_MS,
        );
    }

    /// Adds entries of the log to a transaction, as many as it holds and what changed fills. Where the
    /// last has room, it tells again what else only the oldest entries tell: most entries are short, as
    /// they come many times a second, and were the ring to fill up with them, nothing could start.
    fn append_log_records(&mut self, txn: &mut Txn) -> Vec<LiveRecord> {
        let limits = &self.config.settings.state;
        let ops = limits.max_txn_ops as usize;
        let value_bytes = limits.max_value_bytes();
        let mut entries: Vec<LiveRecord> = Vec::new();
        let Some(leader) = &mut self.leader_state else {
            return entries;
        };
        let LeaderState {
            log: notes,
            cluster: Some(cluster),
            ..
        } = leader.as_mut()
        else {
            return entries;
        };
        // First what changed, then what is told again.
        let mut tasks: Vec<_> = cluster
            .unlogged_tasks
            .iter()
            .copied()
            .take(MAX_TASKS_PER_WRITE)
            .collect();
        let changed = tasks.len();
        tasks.extend(notes.tasks_to_relog(cluster));
        let mut at = 0;
        let mut bytes = 512;
        // Some writes are left for the ends of jobs: others may wait for them.
        let left = if cluster.completed_jobs.is_empty() {
            0
        } else {
            (ops / 4).max(1)
        };
        while at < tasks.len() && txn.writes.len() + left < ops {
            // What is told again has a write of its own only when the ring is getting full.
            if at >= changed && !(notes.is_under_pressure() && entries.is_empty()) {
                break;
            }
            let room = value_bytes.min(MAX_TXN_BYTES.saturating_sub(bytes));
            if room < value_bytes.min(4096) && !entries.is_empty() {
                break;
            }
            let Some((slot, version)) = notes.next_slot() else {
                break;
            };
            let seq = notes.next_seq;
            notes.next_seq += 1;
            let mut rest = tasks[at..].iter().copied().peekable();
            let record = storage::log_record(cluster, &mut rest, (seq, notes.first_live_seq), room);
            let told = record
                .jobs
                .iter()
                .map(|(.., told)| told.len())
                .sum::<usize>();
            let told = &tasks[at..at + told];
            at += told.len();
            for task in told {
                cluster.unlogged_tasks.remove(task);
            }
            cluster.tasks_being_logged.extend(told);
            let named = |&(job, task): &(JobIndex, u32)| (job, cluster.job(job).id, task);
            let names = told.iter().map(named).collect();
            let value = storage::to_value(&record);
            let size = value.to_string().len();
            bytes += size + 256;
            txn.put(storage::log_slot_key(slot), version, value);
            // Not free until the answer says so.
            notes.slots[slot as usize] = SlotState::Taken;
            entries.push(LiveRecord {
                seq,
                slot,
                version,
                bytes: size,
                tasks: names,
            });
        }
        entries
    }

    /// Adds the end of jobs whose tasks are all done, and stored, to a transaction.
    fn append_completed_jobs(&mut self, txn: &mut Txn) -> Vec<(JobIndex, JobId)> {
        let ops = self.config.settings.state.max_txn_ops as usize;
        let mut finals = Vec::new();
        let Some(cluster) = self.leader_state.as_mut().and_then(|l| l.cluster.as_mut()) else {
            return finals;
        };
        // Jobs that others wait for come first.
        let mut complete: Vec<JobIndex> = cluster.completed_jobs.iter().copied().collect();
        complete.sort_by_key(|job| !self.registry.has_dependents(cluster.job(*job).id));
        for job in complete {
            let entry = cluster.job(job);
            let Some(live) = self.registry.live_job(entry.id) else {
                cluster.completed_jobs.remove(&job);
                continue;
            };
            if !cluster.is_fully_submitted(job) || entry.finishing {
                continue;
            }
            if txn.writes.len() + 1 + live.part_count as usize > ops {
                break;
            }
            let id = entry.id;
            let at_ms = Some(self.wall_ms);
            live.append_outcome(id, &JobRecord::Done { at_ms }, txn);
            cluster.jobs[job.as_usize()].finishing = true;
            finals.push((job, id));
        }
        finals
    }

    pub(super) fn on_log_written(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        let lost = matches!(result, Err(StateError::NoAnswer));
        let Some(fate) = self.write_outcome(lease, result) else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let notes = &mut leader.log;
        let (Some(flush), Some(cluster)) = (notes.write_in_flight.take(), &mut leader.cluster)
        else {
            return;
        };
        for (job, _) in &flush.completed_jobs {
            cluster.jobs[job.as_usize()].finishing = false;
        }
        let logged = std::mem::take(&mut cluster.tasks_being_logged);
        if let WriteOutcome::Stored(version) = fate {
            cluster.mark_machines_for_commands(&logged);
            for entry in flush.records {
                for &(job, id, task) in &entry.tasks {
                    if cluster.jobs_by_id.get(&id) == Some(&job)
                        && let Some(task) =
                            cluster.jobs[job.as_usize()].tasks.get_mut(task as usize)
                    {
                        task.last_log_seq = entry.seq;
                    }
                }
                notes.add_live_record(LiveRecord { version, ..entry });
            }
            for (_, id) in flush.completed_jobs {
                tracing::info!(job = %id, "done");
                let at_ms = Some(flush.completed_at_ms);
                let change = self
                    .registry
                    .put_job_record(id, JobRecord::Done { at_ms }, version);
                self.on_registry_change(change);
            }
            return;
        }
        // What is not stored is noted again, in other slots; the late write, should it be applied
        // after all, says nothing that the later one contradicts.
        let again = logged
            .into_iter()
            .filter(|(job, _)| !cluster.job(*job).closed);
        cluster.unlogged_tasks.extend(again.collect::<Vec<_>>());
        notes.write_retry_at = self.now
            + if lost {
                UNANSWERED_RETRY_MS
            } else {
                WRITE_RETRY_MS
            };
        if fate == WriteOutcome::Rejected {
            for entry in flush.records {
                notes.slots[entry.slot as usize] = SlotState::Free(entry.version);
            }
            return;
        }
        for entry in flush.records {
            self.check_unconfirmed(lease, UnconfirmedWrite::Slot(entry.slot));
        }
        if !flush.completed_jobs.is_empty() {
            // Cancelled meanwhile, or done after all: the job's record tells.
            self.request_read_barrier();
        }
    }

    fn check_unconfirmed(&mut self, lease: u64, doubt: UnconfirmedWrite) {
        self.call_state_service(
            StateTag::CheckUnconfirmedWrite {
                lease,
                unconfirmed: doubt,
            },
            StateRequest::Get {
                key: doubt.store_key(),
            },
            Urgency::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    pub(super) fn on_unconfirmed_checked(
        &mut self,
        lease: u64,
        doubt: UnconfirmedWrite,
        result: Result<StateReply, StateError>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let version = match result {
            Ok(StateReply::Row(row)) => row.version,
            Ok(StateReply::Missing) => 0,
            // Refusals come back at once: asked again at once, each doubt would be a request after
            // the other for as long as the store is away.
            _ => {
                let again = self.now + UNANSWERED_RETRY_MS;
                return leader.log.unconfirmed.push((again, doubt));
            }
        };
        match (doubt, &mut leader.cluster) {
            (UnconfirmedWrite::Slot(slot), _) => {
                leader.log.slots[slot as usize] = SlotState::Free(version)
            }
            (UnconfirmedWrite::Images(part), _) => {
                leader.log.image_slots[part] = SlotState::Free(version)
            }
            (UnconfirmedWrite::Snapshot(job, page), Some(cluster)) => {
                cluster.record_snapshot_version(job, page, version)
            }
            (UnconfirmedWrite::Snapshot(..), None) => {}
        }
    }

    /// Asks again for keys whose state could not be had.
    pub(super) fn retry_unconfirmed_checks(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let (now, lease) = (self.now, leader.lease);
        let doubts = &mut leader.log.unconfirmed;
        let due: Vec<UnconfirmedWrite> =
            doubts.iter().filter(|d| d.0 <= now).map(|d| d.1).collect();
        doubts.retain(|(at, _)| *at > now);
        for doubt in due {
            self.check_unconfirmed(lease, doubt);
        }
    }

    /// Writes pages for what the oldest entries tell of large jobs, once the log is long, and of any job
    /// when the ring is nearly full. Forgets entries that count no more.
    pub(super) fn write_snapshots(&mut self) {
        let ops = self.config.settings.state.max_txn_ops as usize;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let condition = leader.leadership_condition();
        let notes = &mut leader.log;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let full = notes.live_records.len() > SNAPSHOT_ALL_RECORDS;
        let due = notes.snapshot_at + SNAPSHOT_INTERVAL_MS <= self.now || full;
        if notes.snapshot_in_flight.is_some() || !notes.needs_compaction() || !due {
            return;
        }
        notes.snapshot_at = self.now;
        let held = jobs_possibly_running(cluster);
        notes.compact(cluster, &held);
        if !notes.needs_compaction() {
            return;
        }
        let mut txn = Txn::only_if(condition);
        let mut paging = SnapshotWrite {
            ranges: Vec::new(),
            covers_seq: notes.next_seq - 1,
        };
        let mut bytes = 512;
        let mut seen = BTreeSet::new();
        let names = notes.live_records.iter().flat_map(|entry| {
            let each = entry.tasks.iter().map(|name| (entry.seq, *name));
            each.collect::<Vec<_>>()
        });
        for (seq, name) in names {
            if txn.writes.len() >= (ops / 2).max(1) {
                break;
            }
            let (job, id, task) = name;
            let chunk = task / cluster.task_range_len;
            if !is_still_needed(cluster, &held, &name, seq)
                || !(full || cluster.job(job).tasks.len() > MAX_RELOGGED_JOB_TASKS)
                || !seen.insert((job, chunk))
            {
                continue;
            }
            let stands = cluster.job(job).task_ranges[chunk as usize];
            if stands.in_flight {
                continue;
            }
            let value = storage::to_value(&storage::snapshot_record(cluster, job, chunk));
            bytes += value.to_string().len() + 256;
            if bytes > MAX_TXN_BYTES && !txn.writes.is_empty() {
                break;
            }
            let page = SnapshotNumber::new(cluster.task_range_len, chunk);
            txn.put(storage::snapshot_key(id, page), stands.key_version, value);
            cluster.jobs[job.as_usize()].task_ranges[chunk as usize].in_flight = true;
            paging.ranges.push((job, id, chunk));
        }
        if txn.writes.is_empty() {
            return;
        }
        notes.snapshot_in_flight = Some(paging);
        let lease = leader.lease;
        self.call_state_service(
            StateTag::WriteSnapshots { lease },
            StateRequest::Txn(txn),
            Urgency::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    pub(super) fn on_snapshots_written(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(fate) = self.write_outcome(lease, result) else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let (Some(paging), Some(cluster)) =
            (leader.log.snapshot_in_flight.take(), &mut leader.cluster)
        else {
            return;
        };
        if fate == WriteOutcome::Unknown {
            let length = cluster.task_range_len;
            for (_, id, chunk) in paging.ranges {
                self.check_unconfirmed(
                    lease,
                    UnconfirmedWrite::Snapshot(id, SnapshotNumber::new(length, chunk)),
                );
            }
            return;
        }
        for (job, _, chunk) in paging.ranges {
            let stands = &mut cluster.jobs[job.as_usize()].task_ranges[chunk as usize];
            stands.in_flight = false;
            if let WriteOutcome::Stored(version) = fate {
                stands.key_version = version;
                stands.snapshot_seq = paging.covers_seq;
            }
        }
    }

    /// Tells a successor which machines hold which images: without that it would have them fetched
    /// where they are not, while users wait.
    pub(super) fn store_images(&mut self) {
        let limits = &self.config.settings.state;
        let bytes = ((limits.max_value_kb * 1024.0) as usize).min(MAX_TXN_BYTES);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.log.images_written_at + IMAGES_INTERVAL_MS > self.now {
            return;
        }
        leader.log.images_written_at = self.now;
        let (lease, condition) = (leader.lease, leader.leadership_condition());
        let Some(cluster) = &leader.cluster else {
            return;
        };
        let mut writes = Vec::new();
        for (part, record) in storage::images_records(cluster, bytes).iter().enumerate() {
            let images = &mut leader.log.image_slots;
            if images.len() == part {
                images.push(SlotState::Free(0));
            }
            // Whether it is stored does not matter: the next one comes soon, and none follows a newer one.
            if let SlotState::Free(version) = std::mem::replace(&mut images[part], SlotState::Taken)
            {
                let mut txn = Txn::only_if(condition.clone());
                txn.put(
                    storage::images_key(part),
                    version,
                    storage::to_value(record),
                );
                writes.push((part, txn));
            }
        }
        for (part, txn) in writes {
            self.call_state_service(
                StateTag::WriteImages { lease, part },
                StateRequest::Txn(txn),
                Urgency::Normal,
                TXN_TIMEOUT_MS,
            );
        }
    }

    pub(super) fn on_images_stored(
        &mut self,
        lease: u64,
        part: usize,
        result: Result<StateReply, StateError>,
    ) {
        match (self.write_outcome(lease, result), &mut self.leader_state) {
            (Some(WriteOutcome::Stored(version)), Some(leader)) => {
                leader.log.image_slots[part] = SlotState::Free(version);
            }
            (Some(_), _) => self.check_unconfirmed(lease, UnconfirmedWrite::Images(part)),
            (None, _) => {}
        }
    }

    /// Removes the notes on jobs that are over and of which nothing can be running.
    pub(super) fn collect_finished_jobs(&mut self) {
        let ops = self.config.settings.state.max_txn_ops as usize;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let condition = leader.leadership_condition();
        let notes = &mut leader.log;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        if notes.collected_at + COLLECTION_INTERVAL_MS > self.now
            || !notes.deletions_in_flight.is_empty()
        {
            return;
        }
        notes.collected_at = self.now;
        let listed = jobs_with_attempts(cluster);
        let over: Vec<JobIndex> = cluster
            .jobs_by_id
            .values()
            .copied()
            .filter(|job| {
                let entry = cluster.job(*job);
                entry.closed
                    && !listed.contains(job)
                    && entry.task_ranges.iter().all(|c| !c.in_flight)
            })
            .collect();
        let mut txn = Txn::only_if(condition);
        let mut sweeping = Vec::new();
        for index in over {
            let entry = cluster.job(index);
            let id = entry.id;
            let pages = cluster.stored_snapshots(index);
            if pages.is_empty() {
                cluster.free_job(index);
                continue;
            }
            let room = ops - txn.writes.len();
            if room == 0 {
                break;
            }
            for (page, version) in pages.into_iter().take(room) {
                sweeping.push((id, page));
                let key = storage::snapshot_key(id, page);
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
        notes.deletions_in_flight = sweeping;
        let lease = leader.lease;
        self.call_state_service(
            StateTag::DeleteSnapshots { lease },
            StateRequest::Txn(txn),
            Urgency::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    pub(super) fn on_snapshots_deleted(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(fate) = self.write_outcome(lease, result) else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let swept = std::mem::take(&mut leader.log.deletions_in_flight);
        let mut doubts = Vec::new();
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        match fate {
            WriteOutcome::Stored(_) => {
                for (id, page) in swept {
                    cluster.record_snapshot_version(id, page, 0);
                }
            }
            // Deleted after all, or a late write of our own came in between.
            WriteOutcome::Unknown => {
                for (id, page) in swept {
                    if let Some(chunk) = page.range_index(cluster.task_range_len)
                        && let Some(index) = cluster.jobs_by_id.get(&id)
                    {
                        cluster.jobs[index.as_usize()].task_ranges[chunk as usize].in_flight = true;
                    }
                    doubts.push(UnconfirmedWrite::Snapshot(id, page));
                }
            }
            WriteOutcome::Rejected => {}
        }
        for doubt in doubts {
            self.check_unconfirmed(lease, doubt);
        }
    }
}
