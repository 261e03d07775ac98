//! Nodes -> state service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    pub rows: Vec<Row>,
    #[serde(rename = "has_next", default)]
    pub more: bool,
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    /// 0: the key does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "then")]
    pub writes: Vec<Write>,
}

impl Txn {
    /// A transaction without writes yet, under a condition for all of them.
    pub fn only_if(condition: Condition) -> Self {
        Txn {
            conditions: vec![condition],
            writes: Vec::new(),
        }
    }

    /// Writes the key, given that it has the version (0: that it is not there).
    pub fn put(&mut self, key: String, version: u64, value: Value) {
        self.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        self.writes.push(Write::Put {
            key,
            value,
            lease: None,
        });
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    #[serde(rename = "permit")]
    pub id: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
        #[serde(rename = "stamp", default)]
        version: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    #[serde(rename = "ledger")]
    pub revision: u64,
    #[serde(rename = "news", default)]
    pub events: Vec<Event>,
}

/// What a node asks of the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StateRequest {
    List {
        prefix: &'static str,
        after: Option<String>,
        limit: u32,
    },
    Get {
        key: String,
    },
    Txn(Txn),
    Grant {
        ttl_ms: u64,
    },
    Touch {
        lease: u64,
    },
    Release {
        lease: u64,
    },
    Changes {
        prefix: &'static str,
        after: u64,
        hold_ms: u64,
    },
}

/// What it answered.
#[derive(Clone, Debug, PartialEq)]
pub enum StateReply {
    Page(Page),
    Row(Row),
    Missing,
    Committed(u64),
    Conflict(Vec<String>),
    Granted(u64),
    Touched,
    NoLease,
    Changes(Changes),
    TooOld,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// Answered with a refusal: surely not executed.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No usable answer: executed, or not, or to be executed later.
    #[error("no answer")]
    NoAnswer,
}

/// Who may take the last tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Lease renewals, leadership.
    Vital,
    /// What a user waits for.
    Prompt,
    /// The rest.
    Normal,
}
