//! The leader's log in the state service: records of what changed, snapshots, and the end of jobs.
//!
//! The store takes few writes a second, and tasks start and end far more often. So one record of the
//! log carries all that changed since the one before, whatever jobs it belongs to. Records live in a
//! ring of keys, each written against the version that it is known to have: a write that is applied
//! late, after its slot was used again, changes nothing. Before the ring wraps around, what only the
//! oldest records tell is logged again where newer ones have room, or, of large jobs, written into
//! snapshots; later records say from where on the log counts.

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

/// A write that was rejected is repeated after this.
const WRITE_RETRY_MS: Millis = 150;
/// After a write without an answer: during a network partition each attempt costs a slot and a check
/// of it.
const UNANSWERED_RETRY_MS: Millis = 500;
/// Kept below a transaction's 64 KiB.
const MAX_TXN_BYTES: usize = 48 * 1024;
/// What the rest of a transaction, and of each of its writes, takes at the most.
const TXN_OVERHEAD_BYTES: usize = 512;
const WRITE_OVERHEAD_BYTES: usize = 256;
/// What the oldest records tell is logged again for jobs of up to so many tasks. Of larger ones the
/// ring could not hold all; they have snapshots.
const MAX_RELOGGED_JOB_TASKS: usize = 4000;

/// A task that a record names.
#[derive(Clone, Copy)]
struct LoggedTask {
    /// The job's place in the cluster state, which another job may take once it is over.
    job: JobIndex,
    id: JobId,
    task: u32,
}

/// A key as the leader knows it.
#[derive(Clone, Copy)]
enum SlotState {
    /// It may be written against this version.
    Free(u64),
    /// It holds a record that counts, or one of which is not known whether it was stored.
    Taken,
}

/// The leader's log, snapshots and images in the state service, and the writes of them under way.
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
    /// Goes on where the predecessors' records end. `records`: slot, version, record.
    /// `image_key_versions`: the versions of the keys that tell of images.
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

    /// Records that a successor would read.
    pub fn live_record_count(&self) -> usize {
        self.ring.live_record_count()
    }
}

/// Whether record `seq` must be kept for what it tells of a task: no later record tells of it, and
/// no snapshot. Of a job that is over, only what may still be running counts.
fn is_still_needed(
    cluster: &ClusterState,
    possibly_running: &HashSet<JobIndex>,
    logged: &LoggedTask,
    seq: u64,
) -> bool {
    let &LoggedTask { job, id, task } = logged;
    let is_known = cluster.jobs_by_id.get(&id) == Some(&job);
    if !is_known || (cluster.job(job).closed && !possibly_running.contains(&job)) {
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

/// Jobs of which something may run on a machine.
fn jobs_possibly_running(cluster: &ClusterState) -> HashSet<JobIndex> {
    let attempts = cluster
        .machines
        .iter()
        .flat_map(|machine| &machine.attempts);
    let may_run = attempts.filter(|attempt| attempt.phase != Phase::Ended || !attempt.reconciled);
    may_run.map(|attempt| attempt.job).collect()
}
