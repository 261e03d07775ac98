//! Tags: which request an answer of an outside service belongs to.
//!
//! A tag of a leader's request carries the lease under which the node led when it asked, and a tag of
//! a registry request the load generation, so that a late answer is recognised and dropped.

#![expect(missing_docs, reason = "its items are still to be documented")]

use super::{RequestId, leader_log::UnconfirmedWrite};
use crate::protocol::ids::TaskId;

/// Which request to the state service an answer belongs to.
///
/// Generations are those of the registry load that was current; leases are those of the leadership
/// (or, where it says so, of the standby renewer) in which the request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateTag {
    /// A page of the job registry.
    LoadRegistry { generation: u64 },
    /// Changes of the job registry.
    WatchRegistry { generation: u64 },
    /// A read that proves how fresh the registry is.
    ReadBarrier { generation: u64 },
    /// A job accepted from a user.
    PutJob {
        /// The user's request.
        id: RequestId,
        /// The record is kept under one key.
        single_key: bool,
    },
    /// Whether a [`StateTag::PutJob`] that got no answer was stored.
    CheckPutJob(RequestId),
    /// A job cancelled by a user.
    CancelJob(RequestId),
    /// A lease to lead on.
    GrantLeaderLease,
    /// The leader's key, put on a lease that was granted for it.
    AcquireLeadership { lease: u64 },
    /// Whether a [`StateTag::AcquireLeadership`] that got no answer was stored.
    CheckLeadership { lease: u64 },
    /// A renewal of the leader's lease.
    RenewLeaderLease { lease: u64 },
    /// The end of the lease of a predecessor under the same label.
    ReleaseLeaderLease,
    /// A page of the predecessors' log and snapshots.
    ReadLeaderLog { lease: u64 },
    /// Records of the leader log and the end of jobs.
    AppendLog { lease: u64 },
    /// What a write that got no answer left under its key.
    CheckUnconfirmedWrite {
        lease: u64,
        /// The key in question.
        unconfirmed: UnconfirmedWrite,
    },
    /// Snapshots of ranges of tasks.
    WriteSnapshots { lease: u64 },
    /// The next term, so that commands of the present one are obeyed no more.
    RaiseTerm { lease: u64 },
    /// Whether a [`StateTag::RaiseTerm`] that got no answer was stored.
    CheckTerm { lease: u64 },
    /// Snapshots of finished jobs, deleted.
    DeleteSnapshots { lease: u64 },
    /// The end of jobs that were cancelled with a job that they depend on.
    WriteOutcomes { lease: u64 },
    /// The machine types.
    WriteMachineTypes,
    /// Which machines hold which images.
    WriteImages {
        lease: u64,
        /// The number of the key.
        part: usize,
    },
    /// The admission quotas.
    WriteAdmissionQuotas { lease: u64 },
    /// The mark that the admission quotas are settled.
    WriteSettledQuotas { lease: u64 },
    /// A lease for the standby renewer's key.
    GrantRenewerLease,
    /// The standby renewer's key, on its own lease.
    PutRenewerKey { lease: u64 },
    /// A renewal of the standby renewer's own lease.
    TouchRenewerLease { lease: u64 },
    /// The quotas that cells share.
    ReadCellQuotas { lease: u64 },
    /// The quotas that cells share, as they changed.
    WriteCellQuotas {
        lease: u64,
        /// Counts the writes of this leadership.
        write_number: u64,
    },
}

/// Which request to the cloud an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudTag {
    /// The machine types on offer.
    MachineTypes,
    /// The instances there are.
    ListInstances { lease: u64 },
    /// New instances.
    RequestInstances {
        lease: u64,
        /// The name of the provisioning request.
        request_name: String,
    },
    /// The deletion of instances.
    DeleteInstances {
        lease: u64,
        /// Their names.
        names: Vec<String>,
    },
}

/// Which commands a worker's answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTag {
    /// The leader's lease when it sent them.
    pub lease: u64,
    /// The worker's machine.
    pub machine: String,
    /// The fencing token that was sent.
    pub token: u64,
    /// The starts among the commands: task and attempt.
    pub starts: Vec<(TaskId, u64)>,
    /// Commands were sent, not a mere probe.
    pub has_orders: bool,
}
