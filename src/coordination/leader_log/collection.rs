//! Garbage collection: the snapshots of finished jobs are deleted, and the jobs are freed.

use std::collections::HashSet;

use super::UnconfirmedWrite;
use crate::{
    cluster::{ClusterState, JobIndex},
    coordination::{
        Node, StateTag,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::{
        ids::JobId,
        state::{
            Condition, StateError, StateReply, StateRequest, StateRequestPriority, Txn, Write,
        },
    },
    storage::{self, SnapshotNumber},
    time::Millis,
};

const COLLECTION_INTERVAL_MS: Millis = 1000;

/// The state of snapshot deletions.
#[derive(Default)]
pub(super) struct CollectionState {
    collected_at: Millis,
    /// Snapshots that are being deleted.
    in_flight: Vec<(JobId, SnapshotNumber)>,
}

/// Jobs that still have an attempt on a machine.
fn jobs_with_attempts(cluster: &ClusterState) -> HashSet<JobIndex> {
    let attempts = cluster
        .machines
        .iter()
        .flat_map(|machine| &machine.attempts);
    attempts.map(|attempt| attempt.job).collect()
}

/// Finished jobs of which no attempt can be running and no snapshot is being written.
fn collectable_jobs(cluster: &ClusterState) -> Vec<JobIndex> {
    let with_attempts = jobs_with_attempts(cluster);
    let is_collectable = |job: &JobIndex| {
        let entry = cluster.job(*job);
        entry.closed
            && !with_attempts.contains(job)
            && entry.task_ranges.iter().all(|range| !range.in_flight)
    };
    cluster
        .jobs_by_id
        .values()
        .copied()
        .filter(is_collectable)
        .collect()
}

/// Frees finished jobs that have no snapshots, and adds the deletion of the other jobs' snapshots to a
/// transaction.
fn append_deletions(
    cluster: &mut ClusterState,
    txn: &mut Txn,
    max_ops: usize,
) -> Vec<(JobId, SnapshotNumber)> {
    let mut deletions = Vec::new();
    for job in collectable_jobs(cluster) {
        let id = cluster.job(job).id;
        let snapshots = cluster.stored_snapshots(job);
        if snapshots.is_empty() {
            cluster.free_job(job);
            continue;
        }
        let ops_left = max_ops - txn.writes.len();
        if ops_left == 0 {
            break;
        }
        for (snapshot, version) in snapshots.into_iter().take(ops_left) {
            deletions.push((id, snapshot));
            let key = storage::snapshot_key(id, snapshot);
            txn.conditions.push(Condition {
                key: key.clone(),
                version,
            });
            txn.writes.push(Write::Delete { key });
        }
    }
    deletions
}

impl Node {
    /// Deletes the snapshots of finished jobs of which no attempt can be running, and frees the jobs.
    pub(in crate::coordination) fn collect_finished_jobs(&mut self) {
        let max_ops = self.config.settings.state.max_txn_ops as usize;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let condition = leader.leadership_condition();
        let collection = &mut leader.log.collection;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        if collection.collected_at + COLLECTION_INTERVAL_MS > self.now
            || !collection.in_flight.is_empty()
        {
            return;
        }
        collection.collected_at = self.now;
        let mut txn = Txn::with_condition(condition);
        let deletions = append_deletions(cluster, &mut txn, max_ops);
        if txn.writes.is_empty() {
            return;
        }
        collection.in_flight = deletions;
        let lease = leader.lease;
        self.call_state_service(
            StateTag::DeleteSnapshots { lease },
            StateRequest::Txn(txn),
            StateRequestPriority::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    /// Handles the response to a deletion of snapshots.
    pub(in crate::coordination) fn on_snapshots_deleted(
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
        let deletions = std::mem::take(&mut leader.log.collection.in_flight);
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        match outcome {
            WriteOutcome::Stored(_) => {
                for (id, snapshot) in deletions {
                    cluster.record_snapshot_version(id, snapshot, 0);
                }
            }
            // The snapshots may be deleted, or a delayed write of this leader was applied before.
            WriteOutcome::Unknown => {
                for &(id, snapshot) in &deletions {
                    mark_snapshot_in_flight(cluster, id, snapshot);
                }
                for (id, snapshot) in deletions {
                    self.check_unconfirmed(lease, UnconfirmedWrite::Snapshot(id, snapshot));
                }
            }
            WriteOutcome::Rejected => {}
        }
    }
}

/// Prevents the snapshot from being written or deleted until its key has been read.
fn mark_snapshot_in_flight(cluster: &mut ClusterState, id: JobId, snapshot: SnapshotNumber) {
    if let Some(range) = snapshot.range_index(cluster.task_range_len)
        && let Some(job) = cluster.jobs_by_id.get(&id)
    {
        cluster.jobs[job.as_usize()].task_ranges[range as usize].in_flight = true;
    }
}
