//! The registry's representation of a job.

use std::rc::Rc;

use crate::{
    protocol::{
        ids::JobId,
        job::{JobStatus, Submission},
        state::{Txn, Write},
    },
    storage::{self, JobRecord},
};

/// A job that is neither done nor cancelled.
#[derive(Clone, Debug)]
pub struct LiveJob {
    /// The version of the job's key.
    pub version: u64,
    /// When it was accepted, in milliseconds since the epoch.
    pub submitted_at_ms: u64,
    /// The user's submission.
    pub spec: Rc<Submission>,
    /// Number of further keys that hold parts of the job's record.
    pub part_count: u32,
    /// Number of dependencies whose records are not `done`. No task may start before it is 0.
    pub dependencies_left: usize,
    /// When the last dependency was done or the job was submitted, whichever was later, in milliseconds
    /// since the epoch.
    pub released_at_ms: u64,
}

impl LiveJob {
    /// Adds the job's final record to a transaction, on condition that the job's key is unchanged. If
    /// another write has already ended the job, the transaction is not applied.
    pub fn append_outcome(&self, id: JobId, record: &JobRecord, txn: &mut Txn) {
        txn.put(
            storage::job_key(id),
            self.version,
            storage::to_value(record),
        );
        for part in 0..self.part_count {
            let key = storage::job_part_key(id, part);
            txn.writes.push(Write::Delete { key });
        }
    }
}

/// The entry that a node keeps for each job and never removes. It is small because finished jobs soon
/// outnumber all others.
#[derive(Clone, Debug)]
pub enum RegisteredJob {
    /// Neither done nor cancelled.
    Live(Box<LiveJob>),
    /// A dependency was cancelled, which cancels this job as well, whatever its own record says. Each
    /// node derives this from two facts that never change, the job's dependencies and their outcomes.
    /// No node can therefore report another status later, and a crash can't leave the cancellation
    /// half done.
    CancelledByDependency(Box<LiveJob>),
    /// Done or cancelled. The time is when the job was done, in milliseconds since the epoch, if it is
    /// recorded.
    Ended(JobStatus, Option<u64>),
}

impl RegisteredJob {
    /// The job's final status, or `None` if it has not ended.
    pub fn final_status(&self) -> Option<JobStatus> {
        match self {
            RegisteredJob::Live(_) => None,
            RegisteredJob::CancelledByDependency(_) => Some(JobStatus::Cancelled),
            RegisteredJob::Ended(status, _) => Some(*status),
        }
    }
}
