//! Leadership: election, lease, fencing, and the leader's duties.
//!
//! The leader holds `shared/leader` on a lease of the state service. Its term is the fencing token
//! that workers obey. All its transactions are conditional on the version of `shared/leader`, so that
//! one that is applied late, after a takeover, changes nothing.

mod cycle;
mod election;
mod fencing;
mod lease;
mod progress;

use std::collections::HashMap;

pub use election::Election;

use super::{quota::CellQuotas, takeover::RecoveredState, workers::RenewerRevocations};
use crate::{
    cluster::{ClusterState, InheritedUrgency},
    coordination::{
        job_graph::JobOutcomes, leader_log::LeaderLog, provisioning::Provisioning,
        reachability::WorkerReachability,
    },
    protocol::{ids::JobId, state::Condition},
    scheduling::fair_share::FairShareLedger,
    storage,
    time::Millis,
};
use cycle::SchedulingTimers;
use fencing::Fence;
use lease::LeaderLease;

/// What the leader knows and does. It begins with a takeover and ends when the node steps down.
pub struct LeaderState {
    /// The lease of the state service that the node leads on.
    pub lease: u64,
    leader_lease: LeaderLease,
    /// The version of `shared/leader`.
    leader_key_version: u64,
    /// The fencing token that commands carry.
    pub term: u64,
    /// The term at the takeover: a worker that has reported it obeys no earlier leader.
    pub first_term: u64,
    /// The raising of the term.
    pub fence: Fence,
    /// When this node became the leader.
    pub takeover_at: Millis,
    /// What has been read of the predecessors' log and snapshots.
    pub recovered: RecoveredState,
    /// Jobs and machines; `None`: not rebuilt yet.
    pub cluster: Option<ClusterState>,
    /// What each class of each team is entitled to, and what it got.
    pub fair_share: FairShareLedger,
    /// The log and snapshots in the state service.
    pub log: LeaderLog,
    scheduling: SchedulingTimers,
    progress_announced_at: Millis,
    /// When all machines were last checked for expired leases.
    pub machines_checked_at: Millis,
    /// When all machines were last checked for commands that are due.
    pub all_orders_checked_at: Millis,
    /// Requests to the cloud.
    pub provisioning: Provisioning,
    /// What standby renewers say about silent machines.
    pub revocations: RenewerRevocations,
    /// Whether the workers reach this node.
    pub reachability: WorkerReachability,
    /// Writes of jobs that were cancelled with a job that they depend on.
    pub outcomes: JobOutcomes,
    /// Urgency that jobs inherit from those that depend on them.
    pub inherited_urgency: HashMap<JobId, InheritedUrgency>,
    /// Quotas that cells share; `None`: this is the only cell.
    pub cell_quotas: Option<CellQuotas>,
}

impl LeaderState {
    /// A leadership that begins now. `key_version` is that of both the leader's and the term's key,
    /// which one transaction has written.
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
            fair_share: FairShareLedger::default(),
            log: LeaderLog::default(),
            scheduling: SchedulingTimers::new(now),
            progress_announced_at: 0,
            machines_checked_at: 0,
            all_orders_checked_at: 0,
            provisioning: Provisioning::default(),
            revocations: RenewerRevocations::default(),
            reachability: WorkerReachability::default(),
            outcomes: JobOutcomes::default(),
            inherited_urgency: HashMap::new(),
            cell_quotas: None,
        }
    }

    /// Done and running tasks of a job.
    pub fn task_counts(&self, id: JobId) -> Option<(u32, u32)> {
        let cluster = self.cluster.as_ref()?;
        let job = cluster.job(*cluster.jobs_by_id.get(&id)?);
        Some((job.done_count, job.running_count))
    }

    /// The condition that every write of this leadership carries.
    pub(super) fn leadership_condition(&self) -> Condition {
        Condition {
            key: storage::LEADER_KEY.into(),
            version: self.leader_key_version,
        }
    }
}
