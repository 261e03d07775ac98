//! Workers <-> nodes: reports and commands.

use serde::{Deserialize, Serialize};

use super::ids::TaskId;

/// How far a task on a worker is.
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
    /// Was told to stop and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// Over; its cause tells why.
    #[serde(rename = "ended")]
    Ended,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureCause {
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
    NoRoom,
    /// The start was refused: another attempt of the task is there.
    #[serde(rename = "in_use")]
    Busy,
    /// The start was refused: no such task.
    #[serde(rename = "unknown")]
    Unknown,
    /// Others of its gang are gone.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// Its gang did not get together in time.
    #[serde(rename = "incomplete")]
    Alone,
    /// A cause that this version does not know: treated like an error.
    #[serde(other)]
    Other,
}

/// A task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// How far it is.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<FailureCause>,
    /// Whether its progress was saved as it was stopped.
    #[serde(rename = "kept", default)]
    pub saved: Option<bool>,
}

/// A worker's heartbeat with the status of all its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the machine.
    #[serde(rename = "berth")]
    pub machine: String,
    /// Where it takes direct orders.
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
    /// The worker's incarnation: rises each time its lease expires.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Rises with each message; orders messages of one incarnation.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest fencing token that it has seen.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine.
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks there, ended ones until they are reaped.
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
    /// Reap an attempt that has ended: leave it out of reports.
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

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The leader's fencing token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// What to do, in this order.
    pub orders: Vec<Order>,
}

/// Orders sent straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// The leader's fencing token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The incarnation that the orders are meant for.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// What to do, in this order.
    pub orders: Vec<Order>,
}

/// Sent with 421: who handles reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of the leader, where it is known.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// How a worker took direct orders.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// The orders were executed; the report is from after that.
    Executed(Report),
    /// Nothing was executed: a lower fencing token or another incarnation.
    Rejected(Report),
}
