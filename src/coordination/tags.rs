//! Tags, which associate the answers of outside services and workers with the requests.
//!
//! The tag of a leader's request carries the lease of that leadership, and the tag of a registry
//! request carries the load generation, so that late answers are recognised and dropped.

use super::{RequestId, leader_log::UnconfirmedWrite};
use crate::protocol::ids::TaskId;

/// The request to the state service that an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateTag {
    /// Reads a page of the job registry.
    LoadRegistry {
        /// The load generation at the time of the request.
        generation: u64,
    },
    /// Waits for changes of the job registry.
    WatchRegistry {
        /// The load generation at the time of the request.
        generation: u64,
    },
    /// Reads all changes up to now, after which the registry is current as of the time of the request.
    ReadBarrier {
        /// The load generation at the time of the request.
        generation: u64,
    },
    /// Writes a job submitted by a user.
    PutJob {
        /// The user's request.
        id: RequestId,
        /// Whether the whole record is stored under one key.
        single_key: bool,
    },
    /// Reads whether a [`StateTag::PutJob`] that got no answer was applied.
    CheckPutJob(RequestId),
    /// Writes that a user has cancelled a job.
    CancelJob(RequestId),
    /// Requests a lease for the leader's key.
    GrantLeaderLease,
    /// Writes the leader's key and raises the term.
    AcquireLeadership {
        /// The lease granted for the leader's key.
        lease: u64,
    },
    /// Reads whether a [`StateTag::AcquireLeadership`] that got no answer was applied.
    CheckLeadership {
        /// The lease granted for the leader's key.
        lease: u64,
    },
    /// Renews the leader's lease.
    RenewLeaderLease {
        /// The leader's lease.
        lease: u64,
    },
    /// Releases a leader's lease: this node's own, or that of an earlier process under its label.
    ReleaseLeaderLease,
    /// Reads a page of the predecessors' log and snapshots.
    ReadLeaderLog {
        /// The leader's lease.
        lease: u64,
    },
    /// Writes records of the leader log and the final status of jobs.
    AppendLog {
        /// The leader's lease.
        lease: u64,
    },
    /// Reads a key of a write that got no answer.
    CheckUnconfirmedWrite {
        /// The leader's lease.
        lease: u64,
        /// The key.
        unconfirmed: UnconfirmedWrite,
    },
    /// Writes snapshots of ranges of tasks.
    WriteSnapshots {
        /// The leader's lease.
        lease: u64,
    },
    /// Raises the term, so that workers reject commands of the current one.
    RaiseTerm {
        /// The leader's lease.
        lease: u64,
    },
    /// Reads whether a [`StateTag::RaiseTerm`] that got no answer was applied.
    CheckTerm {
        /// The leader's lease.
        lease: u64,
    },
    /// Deletes snapshots of finished jobs.
    DeleteSnapshots {
        /// The leader's lease.
        lease: u64,
    },
    /// Writes the final status of jobs that were cancelled because a dependency was cancelled.
    WriteCancellations {
        /// The leader's lease.
        lease: u64,
    },
    /// Writes the machine types.
    WriteMachineTypes,
    /// Writes which machines have which images on their disks.
    WriteImages {
        /// The leader's lease.
        lease: u64,
        /// The number of the key, since the record is split across keys.
        part: usize,
    },
    /// Writes the progress of jobs for members that don't answer the leader's announcements.
    WriteProgress {
        /// The leader's lease.
        lease: u64,
    },
    /// Writes new admission quotas.
    WriteAdmissionQuotas {
        /// The leader's lease.
        lease: u64,
    },
    /// Writes the current admission quotas again, marked as settled.
    WriteSettledQuotas {
        /// The leader's lease.
        lease: u64,
    },
    /// Requests a lease for this node's lease renewer key.
    GrantRenewerLease,
    /// Writes this node's lease renewer key.
    PutRenewerKey {
        /// The lease renewer's own lease.
        lease: u64,
    },
    /// Renews the lease renewer's own lease.
    TouchRenewerLease {
        /// The lease renewer's own lease.
        lease: u64,
    },
    /// Reads a page of the quotas that cells share.
    ReadCellQuotas {
        /// The leader's lease.
        lease: u64,
    },
    /// Writes changes of the quotas that cells share.
    WriteCellQuotas {
        /// The leader's lease.
        lease: u64,
        /// The number of this write, counted from the start of the leadership.
        write_number: u64,
    },
}

/// The request to the cloud that an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudTag {
    /// Lists the machine types on offer.
    MachineTypes,
    /// Lists the existing instances.
    ListInstances {
        /// The leader's lease.
        lease: u64,
    },
    /// Requests new instances.
    RequestInstances {
        /// The leader's lease.
        lease: u64,
        /// The name of the provisioning request.
        request_name: String,
    },
    /// Deletes instances.
    DeleteInstances {
        /// The leader's lease.
        lease: u64,
        /// The names of the instances.
        names: Vec<String>,
    },
}

/// The commands that a worker's answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTag {
    /// The leader's lease when it sent them.
    pub lease: u64,
    /// The name of the worker's machine.
    pub machine: String,
    /// The fencing token that was sent.
    pub token: u64,
    /// Task and attempt of each start command among the commands.
    pub starts: Vec<(TaskId, u64)>,
    /// Whether commands were sent, and not only a probe.
    pub has_orders: bool,
}
