//! Nodes -> state service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The stored value, plain JSON data.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of the key's last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a listing, in key order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The keys of this page.
    pub rows: Vec<Row>,
    /// More keys follow after the last one.
    #[serde(rename = "has_next", default)]
    pub more: bool,
    /// Revision of the store at the time of the listing.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a compare-and-swap: the key still has this version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// 0: the key does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change that a transaction makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The new value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease on whose expiry the store removes the key; `None` detaches it.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A compare-and-swap: all writes are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// What has to hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// What is changed then.
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

/// The answer to a transaction whose conditions held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// Revision of all its changes.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// The answer to a transaction of which a condition failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The keys whose versions differ.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Asks for a new lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live without a renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Its number; never used twice.
    #[serde(rename = "permit")]
    pub id: u64,
}

/// A change as a watch reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was set.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The new value.
        #[serde(rename = "v")]
        value: Value,
        /// Its version.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was removed.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
        /// Revision of the removal.
        #[serde(rename = "stamp", default)]
        version: u64,
    },
}

/// All changes after a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision up to which these are all.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes, oldest first.
    #[serde(rename = "news", default)]
    pub events: Vec<Event>,
}

/// What a node asks of the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StateRequest {
    /// Lists keys.
    List {
        /// What the keys start with.
        prefix: &'static str,
        /// Lists only keys after this one.
        after: Option<String>,
        /// The most keys to list.
        limit: u32,
    },
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Runs a compare-and-swap.
    Txn(Txn),
    /// Grants a lease.
    Grant {
        /// Time to live without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Touch {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease at once.
    Release {
        /// The lease.
        lease: u64,
    },
    /// Watches for changes.
    Changes {
        /// What the keys start with.
        prefix: &'static str,
        /// Only changes after this revision.
        after: u64,
        /// How long to wait for one, in milliseconds; 0 answers at once and so serves as a read barrier.
        hold_ms: u64,
    },
}

/// What it answered.
#[derive(Clone, Debug, PartialEq)]
pub enum StateReply {
    /// A page of keys.
    Page(Page),
    /// The key that was asked for.
    Row(Row),
    /// The key does not exist.
    Missing,
    /// The transaction was applied at this revision.
    Committed(u64),
    /// Conditions on these keys failed; nothing was applied.
    Conflict(Vec<String>),
    /// The new lease.
    Granted(u64),
    /// The lease was renewed or ended.
    Touched,
    /// The lease has expired.
    NoLease,
    /// What has changed.
    Changes(Changes),
    /// The store no longer keeps changes from that revision on: read all keys again.
    TooOld,
}

/// A call to the state service that gave no reply.
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
