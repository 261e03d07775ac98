//! Workers <-> nodes: reports and commands.

use serde::{Deserialize, Serialize};

use super::ids::TaskId;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    /// Waiting for the rest of its gang.
    #[serde(rename = "gathering")]
    Gathering,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureCause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "piece")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<FailureCause>,
    #[serde(rename = "kept", default)]
    pub saved: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "berth")]
    pub machine: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "build")]
    pub type_name: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub incarnation: u64,
    #[serde(rename = "tick")]
    pub seq: u64,
    #[serde(rename = "baton", default)]
    pub token: u64,
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    #[serde(rename = "start")]
    Start {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Forget {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "baton")]
    pub token: u64,
    pub orders: Vec<Order>,
}

/// Orders sent straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub incarnation: u64,
    pub orders: Vec<Order>,
}

/// Sent with 421: who handles reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// How a worker took direct orders.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    Executed(Report),
    Rejected(Report),
}
