//! The leader's log in the state service: records of task changes, snapshots, and job completions.
//!
//! The state service accepts only a few writes per second, and tasks start and end far more often. One
//! log record therefore carries all changes since the previous record, whichever jobs they belong to.
//! Records are stored in a ring of keys, each written on condition that the key still has its last
//! known version: a write that is applied late, after its slot was reused, changes nothing. Before the
//! ring wraps around, state that only the oldest records hold is logged again in the unused space of
//! newer records or, for large jobs, written into snapshots. Each record contains the sequence number
//! of the first live record.

mod append;
mod collection;
mod images;
mod ring;
mod snapshots;
mod unconfirmed;

use std::collections::HashSet;

pub use unconfirmed::UnconfirmedWrite;

use crate::{
    cluster::{ClusterState, JobIndex, Phase},
    protocol::ids::JobId,
    storage::LogRecord,
    time::Millis,
};
use append::AppendState;
use collection::CollectionState;
use images::ImageWrites;
use ring::LogRing;
use snapshots::SnapshotState;
use unconfirmed::UnconfirmedCheck;

/// Delay before a rejected write is retried.
const WRITE_RETRY_MS: Millis = 150;
/// Delay before a write that got no answer is retried. During a network partition, each attempt
/// takes a slot out of use until its key has been read.
const UNANSWERED_RETRY_MS: Millis = 500;
/// Size limit of a transaction, below the 64 KiB that the state service accepts.
const MAX_TXN_BYTES: usize = 48 * 1024;
/// Upper bound on the size of a transaction without its writes.
const TXN_OVERHEAD_BYTES: usize = 512;
/// Upper bound on the size of a write without its value.
const WRITE_OVERHEAD_BYTES: usize = 256;
/// State that only the oldest records hold is logged again for jobs of up to this many tasks. The ring
/// could not hold all tasks of larger jobs; those get snapshots instead.
const MAX_RELOGGED_JOB_TASKS: usize = 4000;

/// A task whose state a log record holds.
#[derive(Clone, Copy)]
struct LoggedTask {
    /// The job's index in the cluster state, which is reused for another job once this one is freed.
    job: JobIndex,
    id: JobId,
    task: u32,
}

/// Whether the leader can write a key.
#[derive(Clone, Copy)]
enum SlotState {
    /// The key can be written on condition that it has this version.
    Free(u64),
    /// The key holds a live record, or a write to it is in flight or has an unknown result.
    Taken,
}

/// The leader's log, snapshots and image records in the state service, and the writes in flight.
#[derive(Default)]
pub struct LeaderLog {
    ring: LogRing,
    append: AppendState,
    snapshots: SnapshotState,
    collection: CollectionState,
    images: ImageWrites,
    unconfirmed: Vec<UnconfirmedCheck>,
}

impl LeaderLog {
    /// Continues the log after the last record of previous leaders. `records`: slot, version of its
    /// key, and record. `image_key_versions`: versions of the image records' keys, by key number.
    pub fn inherit(
        records: &[(u32, u64, LogRecord)],
        image_key_versions: &[u64],
        cluster: &mut ClusterState,
    ) -> Self {
        LeaderLog {
            ring: LogRing::inherit(records, cluster),
            images: ImageWrites::inherit(image_key_versions),
            ..LeaderLog::default()
        }
    }

    /// Number of records that a new leader would have to apply.
    pub fn live_record_count(&self) -> usize {
        self.ring.live_record_count()
    }
}

/// Returns whether record `seq` must be kept for the state of a task: no later record and no later
/// snapshot holds it. Of finished jobs, only those with attempts that may still be running matter.
fn is_still_needed(
    cluster: &ClusterState,
    possibly_running: &HashSet<JobIndex>,
    logged: &LoggedTask,
    seq: u64,
) -> bool {
    let &LoggedTask { job, id, task } = logged;
    let is_same_job = cluster.jobs_by_id.get(&id) == Some(&job);
    if !is_same_job || (cluster.job(job).closed && !possibly_running.contains(&job)) {
        return false;
    }
    let entry = cluster.job(job);
    let is_logged_later = entry
        .tasks
        .get(task as usize)
        .is_some_and(|task| task.last_log_seq > seq);
    let range = entry
        .task_ranges
        .get((task / cluster.task_range_len) as usize);
    !is_logged_later && range.is_some_and(|range| range.snapshot_seq < seq)
}

/// Jobs with an attempt that may be running on a machine.
fn jobs_possibly_running(cluster: &ClusterState) -> HashSet<JobIndex> {
    let attempts = cluster
        .machines
        .iter()
        .flat_map(|machine| &machine.attempts);
    let may_run = attempts.filter(|attempt| attempt.phase != Phase::Ended || !attempt.reconciled);
    may_run.map(|attempt| attempt.job).collect()
}
