//! Tasks of a job, and the ranges of tasks that are stored together.

use crate::cluster::index::MachineIndex;

/// How a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskStatus {
    /// To be placed.
    Waiting,
    /// Its latest attempt may be on this machine.
    Active(MachineIndex),
    /// Completed.
    Done,
}

/// One task of a job.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// How it stands.
    pub status: TaskStatus,
    /// The number of the latest attempt; 0: never placed.
    pub attempt: u32,
    /// The sequence number of the last log entry with a change of it; 0: none that is still needed.
    pub last_log_seq: u64,
}

/// How the stored snapshot of a range of a job's tasks stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRange {
    /// The snapshot key's version; 0: not in the store.
    pub key_version: u64,
    /// The snapshot covers all log entries up to this one.
    pub snapshot_seq: u64,
    /// A write of the snapshot is in flight.
    pub in_flight: bool,
}
