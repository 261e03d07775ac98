//! Messages between workers and nodes: heartbeats and orders.

use serde::{Deserialize, Serialize};

use super::ids::TaskId;

/// The state of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waiting for the rest of its gang.
    #[serde(rename = "gathering")]
    Gathering,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Saving a checkpoint after an order to stop.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended; [`TaskReport::cause`] holds the reason.
    #[serde(rename = "ended")]
    Ended,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// It completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by an order.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// The start was refused: not enough free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The start was refused: another attempt of the task is on the worker.
    #[serde(rename = "in_use")]
    AttemptExists,
    /// The start was refused: no such task.
    #[serde(rename = "unknown")]
    Unknown,
    /// Other members of its gang were lost.
    #[serde(rename = "mates_gone")]
    GangPeersLost,
    /// Not all members of its gang became ready in time.
    #[serde(rename = "incomplete")]
    IncompleteGang,
    /// A cause that this version does not support; treated like [`Self::Error`].
    #[serde(other)]
    Other,
}

/// The state of a task in a worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended; `None` while it has not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether a checkpoint was saved when it was stopped.
    #[serde(rename = "kept", default)]
    pub saved: Option<bool>,
}

/// A worker's heartbeat with the status of all its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the machine.
    #[serde(rename = "berth")]
    pub machine: String,
    /// The address at which it accepts direct orders.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Its machine type.
    #[serde(rename = "build")]
    pub type_name: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The worker's incarnation, which increases each time its lease expires.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Sequence number, which increases with each message and orders those of one incarnation.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest fencing token that the worker has received.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine; `None` if no reclaim is announced.
    #[serde(rename = "recall_s", default)]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, including ended ones until they are reaped.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    /// Start an attempt.
    #[serde(rename = "start")]
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop an attempt.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time to save a checkpoint, in seconds.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Reap an attempt that has ended: omit it from further heartbeats.
    #[serde(rename = "reap")]
    Forget {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The leader's fencing token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The orders, to be executed in this sequence.
    pub orders: Vec<Order>,
}

/// Orders that the leader sends to a worker without waiting for its heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// The leader's fencing token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The incarnation that the orders are for; any other one rejects them.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// The orders, to be executed in this sequence.
    pub orders: Vec<Order>,
}

/// The body of a 421 response, which redirects a worker to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of the leader, if known.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// A worker's reply to direct orders.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// The orders were executed; the report shows the state afterwards.
    Executed(Report),
    /// No order was executed: the fencing token was lower than the worker's, or the incarnation
    /// differed.
    Rejected(Report),
}
