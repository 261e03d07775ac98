//! Jobs as the registry keeps them.

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
    /// The version of its key.
    pub version: u64,
    /// When it was accepted, in milliseconds since the epoch.
    pub submitted_at_ms: u64,
    /// What its user submitted.
    pub spec: Rc<Submission>,
    /// How many further keys its record has.
    pub part_count: u32,
    /// Dependencies whose records do not say `done`. Until there is none, no task may start.
    pub dependencies_left: usize,
    /// When the last dependency was done, or the job was submitted, if that was later.
    pub released_at_ms: u64,
}

impl LiveJob {
    /// Adds the job's end to a transaction that is applied only if nobody else has ended it.
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

/// What a node keeps of each job for good. It is kept small: finished jobs outnumber all others before
/// long.
#[derive(Clone, Debug)]
pub enum RegisteredJob {
    /// Neither done nor cancelled.
    Live(Box<LiveJob>),
    /// A dependency was cancelled: so is this job from then on, whatever its own record says. Each node
    /// derives that from two facts that never change, what the job depends on and how that ended, so no
    /// node can tell its user otherwise later, and nothing is left half done by a crash.
    CancelledByDependency(Box<LiveJob>),
    /// Done, with the time of that in milliseconds since the epoch where it is known, or cancelled.
    Ended(JobStatus, Option<u64>),
}

impl RegisteredJob {
    /// How the job has ended; `None`: it has not.
    pub fn final_status(&self) -> Option<JobStatus> {
        match self {
            RegisteredJob::Live(_) => None,
            RegisteredJob::CancelledByDependency(_) => Some(JobStatus::Cancelled),
            RegisteredJob::Ended(status, _) => Some(*status),
        }
    }
}
