//! Attempts: single tries at running a task, on one machine.

use crate::{cluster::index::JobIndex, protocol::worker::FailureCause, time::Millis};

/// How far an attempt has come, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Placed; no report has shown it yet.
    Placed,
    /// The machine fetches the image.
    Fetching,
    /// It runs.
    Running,
    /// It saves its state before it stops.
    Saving,
    /// It has ended.
    Ended,
}

/// One try at running a task, on one machine.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The job of the task.
    pub job: JobIndex,
    /// The task's index in the job.
    pub task: u32,
    /// The attempt's number, counted from 1 for each task.
    pub attempt: u32,
    /// How far it has come.
    pub phase: Phase,
    /// Why it ended.
    pub cause: Option<FailureCause>,
    /// When it was placed, or taken over.
    pub placed_at: Millis,
    /// When it was first known to run.
    pub running_since: Option<Millis>,
    /// A start was sent, by this leader or perhaps by an earlier one.
    pub start_sent: bool,
    /// Recovered from the predecessor's log, and not reported yet. It is never started again: the
    /// predecessor may have found it gone and placed others in its room without a log entry.
    pub recovered: bool,
    /// A direct start is in flight.
    pub direct_start_in_flight: bool,
    /// The number of the heartbeat whose answer carried a start.
    pub started_by_heartbeat: Option<u64>,
    /// A start may arrive late until the worker has reported this token.
    pub fencing_token: u64,
    /// The term under which a start was last sent directly, by this leader or perhaps by an earlier
    /// one; 0: never. Even one that was answered may arrive once more.
    pub direct_start_term: u64,
    /// It is to be stopped, with this many seconds to save.
    pub stop_grace_s: Option<f64>,
    /// The stop was sent directly.
    pub stop_sent: bool,
    /// It has ended, and its task was completed or requeued.
    pub reconciled: bool,
    /// Placed because its class was starved: it is not preempted for arrays.
    pub placed_for_fair_share: bool,
}
