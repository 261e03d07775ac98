//! Leadership: election, lease, fencing, and the leader's duties.
//!
//! The leader holds the key `shared/leader` on a lease of the state service. Its term is the fencing
//! token: workers reject commands with a lower term than they have seen. All its transactions are
//! conditional on the version of `shared/leader`, so that one that is applied late, after a takeover,
//! changes nothing.

mod cycle;
mod election;
mod fencing;
mod lease;
mod progress;

use std::collections::HashMap;

pub use election::Election;

use super::{quota::CellQuotas, takeover::RecoveredState, workers::RenewerRevocations};
use crate::{
    cluster::{ClusterState, InheritedUrgency, UnreportedAttempts},
    coordination::{
        JobProgress, job_graph::CancellationWrites, leader_log::LeaderLog,
        provisioning::Provisioning, reachability::WorkerReachability,
    },
    protocol::{ids::JobId, state::Condition},
    scheduling::fair_share::FairShareTracker,
    storage,
    time::Millis,
};
use cycle::SchedulingTimers;
use fencing::Fence;
use lease::LeaderLease;
use progress::{ProgressPublication, job_progress};

/// The state of a leader. A node creates it when it becomes the leader and drops it when it steps down.
pub struct LeaderState {
    /// The ID of the state service's lease that holds `shared/leader`.
    pub lease: u64,
    leader_lease: LeaderLease,
    /// The version of `shared/leader`.
    leader_key_version: u64,
    /// The fencing token that commands carry.
    pub term: u64,
    /// The term at the takeover. A worker that has reported it rejects commands of earlier leaders.
    pub first_term: u64,
    /// Raises the term to invalidate commands that may not have arrived yet.
    pub fence: Fence,
    /// When this node became the leader.
    pub takeover_at: Millis,
    /// The part of the predecessors' log and snapshots that has been read so far.
    pub recovered: RecoveredState,
    /// Jobs and machines; `None` until they have been rebuilt after the takeover.
    pub cluster: Option<ClusterState>,
    /// The entitlement and the allocation of each workload class of each team.
    pub fair_share: FairShareTracker,
    /// The log and snapshots in the state service.
    pub log: LeaderLog,
    scheduling: SchedulingTimers,
    progress: ProgressPublication,
    /// When all machines were last checked for expired leases.
    pub machines_checked_at: Millis,
    /// When all machines were last checked for commands that are due.
    pub last_command_sweep_at: Millis,
    /// Requests to the cloud that are pending.
    pub provisioning: Provisioning,
    /// Replies of the lease renewers about unresponsive machines.
    pub revocations: RenewerRevocations,
    /// Whether the workers can reach this node.
    pub reachability: WorkerReachability,
    /// Writes of the final status of jobs that were cancelled because a dependency was cancelled.
    pub cancellation_writes: CancellationWrites,
    /// Urgency that jobs inherit from the jobs that depend on them.
    pub inherited_urgency: HashMap<JobId, InheritedUrgency>,
    /// Quotas shared with other cells; `None` if this is the only cell.
    pub cell_quotas: Option<CellQuotas>,
}

impl LeaderState {
    /// The state at the start of a leadership. `key_version` is the version of both the leader's and
    /// the term's key, which were written by the same transaction.
    fn new(
        lease: u64,
        leader_lease: LeaderLease,
        key_version: u64,
        term: u64,
        now: Millis,
    ) -> Self {
        LeaderState {
            lease,
            leader_lease,
            leader_key_version: key_version,
            term,
            first_term: term,
            fence: Fence::new(key_version),
            takeover_at: now,
            recovered: RecoveredState::default(),
            cluster: None,
            fair_share: FairShareTracker::default(),
            log: LeaderLog::default(),
            scheduling: SchedulingTimers::new(now),
            progress: ProgressPublication::default(),
            machines_checked_at: 0,
            last_command_sweep_at: 0,
            provisioning: Provisioning::default(),
            revocations: RenewerRevocations::default(),
            reachability: WorkerReachability::default(),
            cancellation_writes: CancellationWrites::default(),
            inherited_urgency: HashMap::new(),
            cell_quotas: None,
        }
    }

    /// The progress of a job; `None` until the cluster state has been rebuilt after the takeover.
    pub fn job_progress(&self, id: JobId, now: Millis) -> Option<JobProgress> {
        let cluster = self.cluster.as_ref()?;
        let Some(&index) = cluster.jobs_by_id.get(&id) else {
            return Some(JobProgress::none(id));
        };
        let job = cluster.job(index);
        let unreported = if job.running_count > 0 {
            UnreportedAttempts::default()
        } else {
            cluster.unreported_attempts(index, now)
        };
        Some(job_progress(job, unreported))
    }

    /// The condition under which every write of this leader is made: it still holds `shared/leader`.
    pub(super) fn leadership_condition(&self) -> Condition {
        Condition {
            key: storage::LEADER_KEY.into(),
            version: self.leader_key_version,
        }
    }
}
