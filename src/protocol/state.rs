//! Messages between nodes and the state service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The stored value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision at which the key last changed.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a listing, in key order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The keys on this page, with values and versions.
    pub rows: Vec<KeyValue>,
    /// Whether more keys follow after the last one.
    #[serde(rename = "has_next", default)]
    pub more: bool,
    /// Revision of the store at the time of the listing.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction: the key must still have this version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The expected version; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write of a transaction.
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
        /// The lease to attach the key to: the state service deletes the key when it expires. `None`
        /// detaches the key from any lease.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A compare-and-swap transaction: all writes are applied atomically if all conditions hold,
/// otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions, all of which must hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The writes to apply.
    #[serde(rename = "then")]
    pub writes: Vec<Write>,
}

impl Txn {
    /// A transaction with one condition and no writes yet.
    pub fn with_condition(condition: Condition) -> Self {
        Txn {
            conditions: vec![condition],
            writes: Vec::new(),
        }
    }

    /// Adds a write of the key on the condition that it has this version (0: that it does not exist).
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

/// The response to a transaction whose conditions held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// Revision at which all its writes were applied.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// The response to a transaction with a condition that failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The keys whose versions differ from the conditions.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Requests a new lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live without a renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Its number, which is never reused.
    #[serde(rename = "permit")]
    pub id: u64,
}

/// A change reported by a watch.
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
    /// A key was deleted.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
        /// Revision of the deletion.
        #[serde(rename = "stamp", default)]
        version: u64,
    },
}

/// The changes after a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision up to which the list of changes is complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes, oldest first.
    #[serde(rename = "news", default)]
    pub events: Vec<Event>,
}

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StateRequest {
    /// Lists keys.
    List {
        /// The prefix of the keys.
        prefix: &'static str,
        /// Lists only keys that sort after this one.
        after: Option<String>,
        /// The most keys to return.
        limit: u32,
    },
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Executes a transaction.
    Txn(Txn),
    /// Grants a lease.
    GrantLease {
        /// Time to live without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    RenewLease {
        /// The lease.
        lease: u64,
    },
    /// Releases a lease, which deletes the keys attached to it.
    ReleaseLease {
        /// The lease.
        lease: u64,
    },
    /// Watches for changes.
    Changes {
        /// The prefix of the keys.
        prefix: &'static str,
        /// Returns only changes after this revision.
        after: u64,
        /// Longest wait for a change, in milliseconds. With 0 the response is immediate, and the
        /// request serves as a read barrier.
        max_wait_ms: u64,
    },
}

/// The state service's reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum StateReply {
    /// A page of keys.
    Page(Page),
    /// The requested key.
    KeyValue(KeyValue),
    /// The key does not exist.
    Missing,
    /// The transaction was applied at this revision.
    Committed(u64),
    /// Conditions on these keys failed; nothing was applied.
    Conflict(Vec<String>),
    /// The new lease.
    Granted(u64),
    /// The lease was renewed or released.
    LeaseUpdated,
    /// The lease has expired.
    LeaseNotFound,
    /// The changes after the requested revision.
    Changes(Changes),
    /// The service no longer stores the changes since that revision: all keys must be listed again.
    RevisionCompacted,
}

/// Why a call to the state service has no reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// The service refused with this HTTP status: the request was not executed.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No usable response: the request may have been executed, or may still be.
    #[error("no answer")]
    NoAnswer,
}

/// The priority of a request to a service under the rate limit: requests of a lower priority leave a
/// reserve of tokens to those of a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateRequestPriority {
    /// Lease renewals and leader election.
    Vital,
    /// Requests on which a user's request waits.
    Prompt,
    /// All other requests.
    Normal,
}
