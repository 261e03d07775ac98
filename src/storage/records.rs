//! The records that are stored as JSON.

use serde::{Deserialize, Serialize};

use crate::protocol::{ids::JobId, job::Submission};

/// A job's record: its submission until the job has ended, then only its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "lowercase")]
pub enum JobRecord {
    /// The job has not ended.
    Live {
        /// When it was submitted, in milliseconds of the time of day.
        at_ms: u64,
        /// The submission.
        spec: Box<Submission>,
    },
    /// The job has not ended, and its submission is too long for one value. The submission's JSON is
    /// split into parts under separate keys, which are written and deleted together with the record.
    /// Versions without dependencies between jobs can't read this record. Submissions this long only
    /// occur once no node runs such a version.
    Split {
        /// When it was submitted, in milliseconds of the time of day.
        at_ms: u64,
        /// The number of parts.
        parts: u32,
    },
    /// All tasks are done.
    Done {
        /// When the leader recorded its last task as done, in milliseconds of the leader's time of
        /// day. Jobs that depend on it can start from then on. Versions without dependencies between
        /// jobs don't store it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        at_ms: Option<u64>,
    },
    /// The job was cancelled.
    Cancelled,
}

/// Names the current leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's label.
    pub node: String,
    /// The lease that holds the key.
    pub lease: u64,
    /// The term at the time of the takeover; fencing may have raised it since.
    pub term: u64,
}

/// Entitles a node to renew workers' leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewerRecord {
    /// The lease that holds the key.
    pub lease: u64,
}

/// Holds the highest term so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The term. Workers use it as fencing token: they reject orders with a lower one.
    pub term: u64,
}

/// The state of a task in a snapshot or log record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord(
    /// Its index in the job.
    pub u32,
    /// The number of its latest attempt.
    pub u32,
    /// Its status.
    pub RecordedStatus,
);

/// The status of a recorded task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedStatus {
    /// It may be on the machine at this index in the record's list of machines.
    #[serde(rename = "m")]
    OnMachine(u32),
    /// It waits to be placed.
    #[serde(rename = "w")]
    Waiting,
    /// It is done.
    #[serde(rename = "d")]
    Done,
}

impl RecordedStatus {
    /// Rank among the records of one attempt; the later of two records has the higher rank. An
    /// attempt that was recorded as no longer on a machine does not return there, and a task that is
    /// done remains done.
    pub fn precedence(self) -> u8 {
        match self {
            RecordedStatus::OnMachine(_) => 0,
            RecordedStatus::Waiting => 1,
            RecordedStatus::Done => 2,
        }
    }
}

/// The data of a machine with which a new leader can call it and count the resources of its tasks
/// before its first heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Its unique name.
    pub name: String,
    /// The name of its type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// The name of its zone.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
    /// Its worker's address, if known.
    pub addr: Option<String>,
}

/// The resources that each of a job's tasks reserves. Log records and snapshots repeat it: once the
/// job is cancelled, its own record no longer holds it, but its tasks that are still being stopped
/// count against the team and the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The name of its team.
    pub team: String,
    /// The number of its tasks.
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
    /// The machines to which the tasks refer.
    pub machines: Vec<MachineRecord>,
    /// Those tasks of the range that have been placed at least once.
    pub tasks: Vec<TaskRecord>,
}

/// A log record: the latest states of the tasks that changed, grouped by job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The record's sequence number, which is never reused.
    pub seq: u64,
    /// The oldest record that is still needed: snapshots hold the contents of those before it.
    #[serde(rename = "first")]
    pub first_live_seq: u64,
    /// The machines to which the tasks refer.
    pub machines: Vec<MachineRecord>,
    /// The tasks that changed, grouped by job.
    pub jobs: Vec<(JobId, JobSummary, Vec<TaskRecord>)>,
}

/// The images on the disks of some machines, and which of these machines are to be replaced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Each image's name and size in gigabytes.
    pub images: Vec<(String, f64)>,
    /// Each machine's name and a bit mask: one bit for each image that it holds, by index in
    /// `images`, and [`REPLACEMENT_BIT`].
    pub machines: Vec<(String, u64)>,
    /// Quarantined jobs; only the first record lists them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "at_fault")]
    pub quarantined: Vec<JobId>,
}

/// The bit that is set for a machine that is draining because its tasks fail or are slow.
pub const REPLACEMENT_BIT: u64 = 1 << MAX_IMAGES_PER_RECORD;

/// The most images that one record can name.
pub const MAX_IMAGES_PER_RECORD: usize = 48;
