//! The records that are stored as JSON.

use serde::{Deserialize, Serialize};

use crate::protocol::{ids::JobId, job::Submission};

/// A job's record: the submission until the job is over, then only how it ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "lowercase")]
pub enum JobRecord {
    /// Not over.
    Live {
        /// When it was submitted, in milliseconds of the time of day.
        at_ms: u64,
        /// What was submitted.
        spec: Box<Submission>,
    },
    /// Not over, with a submission too long for one value: its JSON is cut into parts under further
    /// keys, which come and go with the record. Versions without dependencies between jobs can't read
    /// it; by the time that users submit what is so long, there are none left.
    Split {
        /// When it was submitted, in milliseconds of the time of day.
        at_ms: u64,
        /// How many parts there are.
        parts: u32,
    },
    /// All tasks are done.
    Done {
        /// When its last task was known to be done, in milliseconds of the leader's time of day: the
        /// release of jobs that depend on it. Versions without dependencies between jobs don't store it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        at_ms: Option<u64>,
    },
    /// It was cancelled.
    Cancelled,
}

/// The leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's name.
    pub node: String,
    /// The lease that holds the key.
    pub lease: u64,
    /// The term at the takeover; fencing may have raised it since.
    pub term: u64,
}

/// A node that may renew workers' leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewerRecord {
    /// The lease that holds the key.
    pub lease: u64,
}

/// The highest term so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term, which is the fencing token that workers obey.
    pub term: u64,
}

/// A task in a snapshot or log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord(
    /// Its index in the job.
    pub u32,
    /// The number of its latest attempt.
    pub u32,
    /// How it stands.
    pub RecordedStatus,
);

/// How a recorded task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedStatus {
    /// It may be on this one of the record's machines, by its position.
    #[serde(rename = "m")]
    OnMachine(u32),
    /// It is to be placed.
    #[serde(rename = "w")]
    Waiting,
    /// It is done.
    #[serde(rename = "d")]
    Done,
}

impl RecordedStatus {
    /// Orders records of one attempt, the later ones higher: an attempt that was recorded as gone does
    /// not come back, and a task that is done stays so.
    pub fn precedence(self) -> u8 {
        match self {
            RecordedStatus::OnMachine(_) => 0,
            RecordedStatus::Waiting => 1,
            RecordedStatus::Done => 2,
        }
    }
}

/// Enough of a machine to call it, and to count what runs there, before it sends a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Its unique name.
    pub name: String,
    /// The name of its type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The name of its zone.
    pub zone: String,
    /// The cloud may reclaim it at any time.
    pub spot: bool,
    /// Its worker's address, where that is known.
    pub addr: Option<String>,
}

/// What a job's tasks reserve. Log entries and snapshots repeat it: the job's own record does not have
/// it any more once the job is cancelled, but tasks that are still being stopped count.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The name of its team.
    pub team: String,
    /// How many tasks it has.
    #[serde(rename = "of")]
    pub task_count: u32,
    /// Processors of each task.
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task, in gigabytes.
    pub ram_gb: f64,
}

/// A snapshot of a range of a job's tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The job.
    #[serde(flatten)]
    pub job: JobSummary,
    /// The machines on which tasks may be.
    pub machines: Vec<MachineRecord>,
    /// Those of its tasks that were ever placed.
    pub tasks: Vec<TaskRecord>,
}

/// A log entry: the latest states of tasks that changed, job by job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The entry's sequence number, which is never used again.
    pub seq: u64,
    /// Entries before this one are obsolete: snapshots hold what they recorded.
    #[serde(rename = "first")]
    pub first_live_seq: u64,
    /// The machines on which tasks may be.
    pub machines: Vec<MachineRecord>,
    /// The tasks that changed, by job.
    pub jobs: Vec<(JobId, JobSummary, Vec<TaskRecord>)>,
}

/// Which images some machines have on their disks, and which are to be replaced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Name and size in gigabytes.
    pub images: Vec<(String, f64)>,
    /// A machine's name, and a bit for each image, and [`REPLACEMENT_BIT`].
    pub machines: Vec<(String, u64)>,
    /// Quarantined jobs; in the first record only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "at_fault")]
    pub quarantined: Vec<JobId>,
}

/// Set for a machine that is draining because its tasks fail or are slow.
pub const REPLACEMENT_BIT: u64 = 1 << MAX_IMAGES_PER_RECORD;

/// How many images one record can name.
pub const MAX_IMAGES_PER_RECORD: usize = 48;
