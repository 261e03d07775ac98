//! The ring of keys that holds the log's records, as the leader knows it.

use std::collections::{BTreeSet, HashSet, VecDeque};

use super::{
    LoggedTask, MAX_RELOGGED_JOB_TASKS, SlotState, is_still_needed, jobs_possibly_running,
};
use crate::{
    cluster::{ClusterState, JobIndex},
    storage::{self, LogRecord},
};

/// Records from which on the oldest are replaced.
const COMPACTION_RECORDS: usize = storage::LOG_RING_SLOTS as usize / 2;
const COMPACTION_BYTES: usize = 256 * 1024;
/// Records from which on that is worth writes of its own.
const PRESSURE_RECORDS: usize = COMPACTION_RECORDS * 3 / 2;
/// Records from which on snapshots are written for whatever the oldest tell.
const SNAPSHOT_ALL_RECORDS: usize = COMPACTION_RECORDS * 7 / 4;
/// How many tasks one write logs again at the most.
const MAX_RELOGGED_TASKS_PER_WRITE: usize = 100;
/// Records that are looked at for that.
const MAX_RECORDS_SCANNED: usize = 32;

/// A record that a successor would read.
pub(super) struct LiveRecord {
    pub(super) seq: u64,
    pub(super) slot: u32,
    /// The version of the slot's key; while the record is being written, the one before.
    pub(super) version: u64,
    pub(super) bytes: usize,
    pub(super) tasks: Vec<LoggedTask>,
}

/// The slots of the ring and the records in them.
pub(super) struct LogRing {
    slots: Vec<SlotState>,
    next_slot_hint: u32,
    next_seq: u64,
    /// Records before this one count no more.
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
    /// Goes on where the predecessors' records end. `records`: slot, version, record.
    pub(super) fn inherit(records: &[(u32, u64, LogRecord)], cluster: &mut ClusterState) -> Self {
        let mut ring = LogRing::default();
        for (slot, version, record) in records {
            if let Some(known) = ring.slots.get_mut(*slot as usize) {
                *known = SlotState::Free(*version);
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

    /// Takes in a record that is stored.
    pub(super) fn add_live_record(&mut self, record: LiveRecord) {
        self.slots[record.slot as usize] = SlotState::Taken;
        self.live_bytes += record.bytes;
        self.live_records.push_back(record);
    }

    /// The next slot that can be written: its number and the version of its key.
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

    /// Numbers the next record.
    pub(super) fn next_seq(&mut self) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        seq
    }

    /// The number of the last record that was written or tried.
    pub(super) fn last_seq(&self) -> u64 {
        self.next_seq - 1
    }

    /// Records before this one count no more.
    pub(super) fn first_live_seq(&self) -> u64 {
        self.first_live_seq
    }

    /// The slot is not written until [`LogRing::free_slot`] or the record's end.
    pub(super) fn take_slot(&mut self, slot: u32) {
        self.slots[slot as usize] = SlotState::Taken;
    }

    /// The slot's key is known to have this version, and what it holds does not count.
    pub(super) fn free_slot(&mut self, slot: u32, version: u64) {
        self.slots[slot as usize] = SlotState::Free(version);
    }

    /// Records that a successor would read.
    pub(super) fn live_record_count(&self) -> usize {
        self.live_records.len()
    }

    /// What the live records tell, the oldest first: the record's number and the task.
    pub(super) fn live_tasks(&self) -> impl Iterator<Item = (u64, &LoggedTask)> {
        self.live_records
            .iter()
            .flat_map(|record| record.tasks.iter().map(|task| (record.seq, task)))
    }

    /// Drops the oldest records as long as all that they tell is told elsewhere.
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

    /// Tasks of which only the oldest records tell, as many as a write may have room for.
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

    /// The oldest records are to be replaced.
    pub(super) fn needs_compaction(&self) -> bool {
        self.live_records.len() > COMPACTION_RECORDS || self.live_bytes > COMPACTION_BYTES
    }

    /// The ring is so full that replacing the oldest records is worth writes of its own.
    pub(super) fn is_under_pressure(&self) -> bool {
        self.live_records.len() > PRESSURE_RECORDS
    }

    /// The ring is so full that jobs of any size get snapshots.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.live_records.len() > SNAPSHOT_ALL_RECORDS
    }
}

/// The tasks of known jobs that a record names.
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
