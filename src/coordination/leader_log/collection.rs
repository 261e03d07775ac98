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
        state::{Condition, StateError, StateReply, StateRequest, Txn, Urgency, Write},
    },
    storage::{self, SnapshotNumber},
    time::Millis,
};

const COLLECTION_INTERVAL_MS: Millis = 1000;

/// The deletion of snapshots.
#[derive(Default)]
pub(super) struct CollectionState {
    collected_at: Millis,
    /// Snapshots that are being deleted.
    in_flight: Vec<(JobId, SnapshotNumber)>,
}

/// Jobs of which a worker still reports something.
fn jobs_with_attempts(cluster: &ClusterState) -> HashSet<JobIndex> {
    let attempts = cluster
        .machines
        .iter()
        .flat_map(|machine| &machine.attempts);
    attempts.map(|attempt| attempt.job).collect()
}

/// Jobs that are over, of which nothing can be running and no snapshot is being written.
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

/// Frees finished jobs without snapshots, and adds the deletion of the others' to a transaction.
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
        let room = max_ops - txn.writes.len();
        if room == 0 {
            break;
        }
        for (snapshot, version) in snapshots.into_iter().take(room) {
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
    /// Removes what is stored of jobs that are over and of which nothing can be running.
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
        let mut txn = Txn::only_if(condition);
        let deletions = append_deletions(cluster, &mut txn, max_ops);
        if txn.writes.is_empty() {
            return;
        }
        collection.in_flight = deletions;
        let lease = leader.lease;
        self.call_state_service(
            StateTag::DeleteSnapshots { lease },
            StateRequest::Txn(txn),
            Urgency::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    /// Handles the answer to a deletion of snapshots.
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
            // Deleted after all, or a late write of this leader's came in between.
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

/// Keeps the snapshot from being written or deleted until its key has been read.
fn mark_snapshot_in_flight(cluster: &mut ClusterState, id: JobId, snapshot: SnapshotNumber) {
    if let Some(range) = snapshot.range_index(cluster.task_range_len)
        && let Some(job) = cluster.jobs_by_id.get(&id)
    {
        cluster.jobs[job.as_usize()].task_ranges[range as usize].in_flight = true;
    }
}
