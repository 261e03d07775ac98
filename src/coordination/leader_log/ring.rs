//! The leader's view of the ring of keys that holds the log records.

use std::collections::{BTreeSet, HashSet, VecDeque};

use super::{
    LoggedTask, MAX_RELOGGED_JOB_TASKS, SlotState, is_still_needed, jobs_possibly_running,
};
use crate::{
    cluster::{ClusterState, JobIndex},
    storage::{self, LogRecord},
};

/// With more live records than this, the oldest are compacted.
const COMPACTION_RECORDS: usize = storage::LOG_RING_SLOTS as usize / 2;
/// With more bytes in live records than this, the oldest are compacted.
const COMPACTION_BYTES: usize = 256 * 1024;
/// With more live records than this, tasks are logged again even when no task has changed.
const PRESSURE_RECORDS: usize = COMPACTION_RECORDS * 3 / 2;
/// With more live records than this, jobs of any size get snapshots.
const SNAPSHOT_ALL_RECORDS: usize = COMPACTION_RECORDS * 7 / 4;
/// No further record is searched once this many tasks to log again have been found.
const MAX_RELOGGED_TASKS_PER_WRITE: usize = 100;
/// Maximum number of records that one write searches for tasks to log again.
const MAX_RECORDS_SCANNED: usize = 32;

/// A record that a new leader would have to apply.
pub(super) struct LiveRecord {
    pub(super) seq: u64,
    pub(super) slot: u32,
    /// The version of the slot's key; while the record is being written, the key's previous version.
    pub(super) version: u64,
    pub(super) bytes: usize,
    pub(super) tasks: Vec<LoggedTask>,
}

/// The slots of the ring and the records in them.
pub(super) struct LogRing {
    slots: Vec<SlotState>,
    next_slot_hint: u32,
    next_seq: u64,
    /// Sequence number of the first live record: a new leader ignores earlier ones.
    first_live_seq: u64,
    live_records: VecDeque<LiveRecord>,
    live_bytes: usize,
}

impl Default for LogRing {
    fn default() -> Self {
        LogRing {
            slots: vec![SlotState::Free(0); storage::LOG_RING_SLOTS as usize],
            next_slot_hint: 0,
            next_seq: 1,
            first_live_seq: 1,
            live_records: VecDeque::new(),
            live_bytes: 0,
        }
    }
}

impl LogRing {
    /// Continues the log after the last record of previous leaders. `records`: slot, version of its
    /// key, and record.
    pub(super) fn inherit(records: &[(u32, u64, LogRecord)], cluster: &mut ClusterState) -> Self {
        let mut ring = LogRing::default();
        for (slot, version, record) in records {
            if let Some(slot_state) = ring.slots.get_mut(*slot as usize) {
                *slot_state = SlotState::Free(*version);
            }
            ring.next_seq = ring.next_seq.max(record.seq + 1);
            ring.first_live_seq = ring.first_live_seq.max(record.first_live_seq);
        }
        let mut live: Vec<_> = records
            .iter()
            .filter(|(.., record)| record.seq >= ring.first_live_seq)
            .collect();
        live.sort_by_key(|(.., record)| record.seq);
        for (slot, version, record) in live {
            let tasks = logged_tasks(record, cluster);
            for &LoggedTask { job, task, .. } in &tasks {
                if let Some(task) = cluster.jobs[job.as_usize()].tasks.get_mut(task as usize) {
                    task.last_log_seq = record.seq;
                }
            }
            ring.add_live_record(LiveRecord {
                seq: record.seq,
                slot: *slot,
                version: *version,
                bytes: storage::json_len(record),
                tasks,
            });
            ring.next_slot_hint = slot + 1;
        }
        ring
    }

    /// Adds a record that was stored.
    pub(super) fn add_live_record(&mut self, record: LiveRecord) {
        self.slots[record.slot as usize] = SlotState::Taken;
        self.live_bytes += record.bytes;
        self.live_records.push_back(record);
    }

    /// Returns the next slot that can be written, and the version of its key.
    pub(super) fn next_slot(&mut self) -> Option<(u32, u64)> {
        for _ in 0..storage::LOG_RING_SLOTS {
            let slot = self.next_slot_hint % storage::LOG_RING_SLOTS;
            self.next_slot_hint = slot + 1;
            if let SlotState::Free(version) = self.slots[slot as usize] {
                return Some((slot, version));
            }
        }
        None
    }

    /// Returns the sequence number for a new record.
    pub(super) fn next_seq(&mut self) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        seq
    }

    /// Sequence number of the last record for which a write was attempted.
    pub(super) fn last_seq(&self) -> u64 {
        self.next_seq - 1
    }

    /// Sequence number of the first live record.
    pub(super) fn first_live_seq(&self) -> u64 {
        self.first_live_seq
    }

    /// Marks a slot as taken until [`LogRing::free_slot`] is called or its record is compacted.
    pub(super) fn take_slot(&mut self, slot: u32) {
        self.slots[slot as usize] = SlotState::Taken;
    }

    /// Marks a slot as free: its key has this version and holds no live record.
    pub(super) fn free_slot(&mut self, slot: u32, version: u64) {
        self.slots[slot as usize] = SlotState::Free(version);
    }

    /// Number of records that a new leader would have to apply.
    pub(super) fn live_record_count(&self) -> usize {
        self.live_records.len()
    }

    /// The tasks of all live records, oldest record first, with the record's sequence number.
    pub(super) fn live_tasks(&self) -> impl Iterator<Item = (u64, &LoggedTask)> {
        self.live_records
            .iter()
            .flat_map(|record| record.tasks.iter().map(|task| (record.seq, task)))
    }

    /// Removes the oldest records while none of their tasks still needs them, until no compaction is
    /// needed.
    pub(super) fn compact(&mut self, cluster: &ClusterState, possibly_running: &HashSet<JobIndex>) {
        while let Some(record) = self.live_records.front()
            && self.needs_compaction()
            && !record
                .tasks
                .iter()
                .any(|logged| is_still_needed(cluster, possibly_running, logged, record.seq))
        {
            self.first_live_seq = record.seq + 1;
            self.live_bytes -= record.bytes;
            self.slots[record.slot as usize] = SlotState::Free(record.version);
            self.live_records.pop_front();
        }
    }

    /// Tasks whose state only the oldest records hold, enough to fill the space that a write may have
    /// left.
    pub(super) fn tasks_to_relog(&mut self, cluster: &ClusterState) -> Vec<(JobIndex, u32)> {
        if !self.needs_compaction() {
            return Vec::new();
        }
        let mut to_relog = BTreeSet::new();
        let possibly_running = jobs_possibly_running(cluster);
        self.compact(cluster, &possibly_running);
        for record in self.live_records.iter().take(MAX_RECORDS_SCANNED) {
            if to_relog.len() >= MAX_RELOGGED_TASKS_PER_WRITE {
                break;
            }
            for logged in &record.tasks {
                let &LoggedTask { job, task, .. } = logged;
                if cluster.is_durable(job, task)
                    && is_still_needed(cluster, &possibly_running, logged, record.seq)
                    && cluster.job(job).tasks.len() <= MAX_RELOGGED_JOB_TASKS
                {
                    to_relog.insert((job, task));
                }
            }
        }
        to_relog.into_iter().collect()
    }

    /// Whether the oldest records have to be compacted.
    pub(super) fn needs_compaction(&self) -> bool {
        self.live_records.len() > COMPACTION_RECORDS || self.live_bytes > COMPACTION_BYTES
    }

    /// Whether the ring is so full that tasks are logged again even when none has changed.
    pub(super) fn is_under_pressure(&self) -> bool {
        self.live_records.len() > PRESSURE_RECORDS
    }

    /// Whether the ring is so full that jobs of any size get snapshots.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.live_records.len() > SNAPSHOT_ALL_RECORDS
    }
}

/// The tasks in a record that belong to jobs in the cluster state.
fn logged_tasks(record: &LogRecord, cluster: &ClusterState) -> Vec<LoggedTask> {
    let tasks_by_job = record.jobs.iter().filter_map(|(id, _, tasks)| {
        let job = *cluster.jobs_by_id.get(id)?;
        Some(tasks.iter().map(move |task| LoggedTask {
            job,
            id: *id,
            task: task.0,
        }))
    });
    tasks_by_job.flatten().collect()
}
