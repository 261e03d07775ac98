//! Snapshots of task ranges of large jobs, which allow old log records to be dropped.

use std::collections::{BTreeSet, HashSet};

use super::{
    LoggedTask, MAX_RELOGGED_JOB_TASKS, MAX_TXN_BYTES, TXN_OVERHEAD_BYTES, UnconfirmedWrite,
    WRITE_OVERHEAD_BYTES, is_still_needed, jobs_possibly_running, ring::LogRing,
};
use crate::{
    cluster::{ClusterState, JobIndex, records},
    coordination::{
        Node, StateTag,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::{
        ids::JobId,
        state::{StateError, StateReply, StateRequest, StateRequestPriority, Txn},
    },
    storage::{self, SnapshotNumber},
    time::Millis,
};

/// Minimum time between two writes of snapshots, unless the ring is nearly full.
const SNAPSHOT_INTERVAL_MS: Millis = 250;

/// A range of a job's tasks that one snapshot covers.
#[derive(Clone, Copy)]
struct TaskRange {
    job: JobIndex,
    id: JobId,
    index: u32,
}

/// Snapshots that are being written.
struct SnapshotWrite {
    ranges: Vec<TaskRange>,
    /// Sequence number of the last record that the snapshots cover.
    covers_seq: u64,
}

/// The state of writes of snapshots.
#[derive(Default)]
pub(super) struct SnapshotState {
    in_flight: Option<SnapshotWrite>,
    written_at: Millis,
}

/// Adds snapshots to a transaction, for task ranges whose state only old records hold, oldest first:
/// those of large jobs or, with `any_job_size`, of all jobs.
fn append_snapshots(
    ring: &LogRing,
    cluster: &mut ClusterState,
    possibly_running: &HashSet<JobIndex>,
    any_job_size: bool,
    txn: &mut Txn,
    max_writes: usize,
) -> Vec<TaskRange> {
    let mut ranges = Vec::new();
    let mut txn_bytes = TXN_OVERHEAD_BYTES;
    let mut seen = BTreeSet::new();
    for (seq, logged) in ring.live_tasks() {
        if txn.writes.len() >= max_writes {
            break;
        }
        let &LoggedTask { job, id, task } = logged;
        let index = task / cluster.task_range_len;
        if !is_still_needed(cluster, possibly_running, logged, seq)
            || !(any_job_size || cluster.job(job).tasks.len() > MAX_RELOGGED_JOB_TASKS)
            || !seen.insert((job, index))
        {
            continue;
        }
        let range = cluster.job(job).task_ranges[index as usize];
        if range.in_flight {
            continue;
        }
        let value = storage::to_value(&records::snapshot_record(cluster, job, index));
        txn_bytes += value.to_string().len() + WRITE_OVERHEAD_BYTES;
        if txn_bytes > MAX_TXN_BYTES && !txn.writes.is_empty() {
            break;
        }
        let snapshot = SnapshotNumber::new(cluster.task_range_len, index);
        txn.put(
            storage::snapshot_key(id, snapshot),
            range.key_version,
            value,
        );
        cluster.jobs[job.as_usize()].task_ranges[index as usize].in_flight = true;
        ranges.push(TaskRange { job, id, index });
    }
    ranges
}

impl Node {
    /// Drops records that are no longer needed once the log has grown long. Then writes snapshots of
    /// large jobs whose state only old records hold, and of all such jobs when the ring is nearly full.
    pub(in crate::coordination) fn write_snapshots(&mut self) {
        let max_writes = (self.config.settings.state.max_txn_ops as usize / 2).max(1);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let condition = leader.leadership_condition();
        let log = &mut leader.log;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let any_job_size = log.ring.is_nearly_full();
        let is_due = log.snapshots.written_at + SNAPSHOT_INTERVAL_MS <= self.now || any_job_size;
        if log.snapshots.in_flight.is_some() || !log.ring.needs_compaction() || !is_due {
            return;
        }
        log.snapshots.written_at = self.now;
        let possibly_running = jobs_possibly_running(cluster);
        log.ring.compact(cluster, &possibly_running);
        if !log.ring.needs_compaction() {
            return;
        }
        let mut txn = Txn::with_condition(condition);
        let ranges = append_snapshots(
            &log.ring,
            cluster,
            &possibly_running,
            any_job_size,
            &mut txn,
            max_writes,
        );
        if txn.writes.is_empty() {
            return;
        }
        log.snapshots.in_flight = Some(SnapshotWrite {
            ranges,
            covers_seq: log.ring.last_seq(),
        });
        let lease = leader.lease;
        self.call_state_service(
            StateTag::WriteSnapshots { lease },
            StateRequest::Txn(txn),
            StateRequestPriority::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    /// Handles the response to a write of snapshots.
    pub(in crate::coordination) fn on_snapshots_written(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(outcome) = self.write_outcome(lease, result) else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let (Some(write), Some(cluster)) =
            (leader.log.snapshots.in_flight.take(), &mut leader.cluster)
        else {
            return;
        };
        if outcome == WriteOutcome::Unknown {
            let range_len = cluster.task_range_len;
            for range in write.ranges {
                let snapshot = SnapshotNumber::new(range_len, range.index);
                self.check_unconfirmed(lease, UnconfirmedWrite::Snapshot(range.id, snapshot));
            }
            return;
        }
        for TaskRange { job, index, .. } in write.ranges {
            let range = &mut cluster.jobs[job.as_usize()].task_ranges[index as usize];
            range.in_flight = false;
            if let WriteOutcome::Stored(version) = outcome {
                range.key_version = version;
                range.snapshot_seq = write.covers_seq;
            }
        }
    }
}
