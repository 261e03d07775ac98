//! Tasks of a job, and the ranges of tasks that are stored together.

use crate::cluster::index::MachineIndex;

/// The state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskStatus {
    /// Waits to be placed.
    Waiting,
    /// Its latest attempt may be running on this machine.
    Active(MachineIndex),
    /// Completed.
    Done,
}

/// One task of a job.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Its state.
    pub status: TaskStatus,
    /// The number of the latest attempt; 0 if it was never placed.
    pub attempt: u32,
    /// The sequence number of the last log record with a change of this task; 0 if there is none that is
    /// still needed.
    pub last_log_seq: u64,
}

/// The state of the stored snapshot of a range of a job's tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRange {
    /// The version of the snapshot's key; 0 if the snapshot is not stored.
    pub key_version: u64,
    /// The sequence number of the last log record that the snapshot covers.
    pub snapshot_seq: u64,
    /// A write of the snapshot is in flight.
    pub in_flight: bool,
}
