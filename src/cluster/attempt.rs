//! Attempts: single executions of a task, each on one machine.

use crate::{cluster::index::JobIndex, protocol::worker::ExitCause, time::Millis};

/// The last known phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Placed; no heartbeat has listed it yet.
    Placed,
    /// The machine is fetching the image.
    Fetching,
    /// The task is running.
    Running,
    /// The task is saving its state before it stops.
    Saving,
    /// The attempt has ended.
    Ended,
}

/// One execution of a task, on one machine.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The job of the task.
    pub job: JobIndex,
    /// The task's index in the job.
    pub task: u32,
    /// The attempt's number, counted from 1 for each task.
    pub attempt: u32,
    /// Its last known phase.
    pub phase: Phase,
    /// Why it ended.
    pub cause: Option<ExitCause>,
    /// When it was placed, or recovered by a leader that took over.
    pub placed_at: Millis,
    /// When a heartbeat first reported to this leader that it is running.
    pub running_since: Option<Millis>,
    /// A start was sent, by this leader or perhaps by an earlier one.
    pub start_sent: bool,
    /// It was recovered from the previous leader's log, and its worker has not reported it yet. Its start is
    /// never sent again: the previous leader may have found that it is gone and have placed other tasks on
    /// the freed resources, which are not in the log yet.
    pub recovered: bool,
    /// A start that was sent directly to the worker is in flight.
    pub direct_start_in_flight: bool,
    /// The number of the heartbeat whose response contained the start.
    pub started_by_heartbeat: Option<u64>,
    /// A start may arrive late until the worker has reported a fencing token at least as high as this.
    pub fencing_token: u64,
    /// The term under which a start was last sent directly, by this leader or perhaps by an earlier
    /// one; 0 if none was. The network may deliver even an acknowledged start a second time.
    pub direct_start_term: u64,
    /// Set if it has to be stopped: the seconds that the task gets to save its state.
    pub stop_grace_s: Option<f64>,
    /// The stop was sent directly to the worker.
    pub stop_sent: bool,
    /// It has ended, and its task was marked as completed or put back into the queue.
    pub reconciled: bool,
    /// It was placed because its workload class was starved; arrays can't preempt it.
    pub placed_for_fair_share: bool,
}
