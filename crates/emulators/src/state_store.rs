//! Model of the state service without I/O: what it stores and how it responds.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
};

use dalelb::protocol::state::*;
use serde_json::Value;

/// Limits on transactions.
#[derive(Clone, Copy)]
pub struct StoreLimits {
    /// Upper bound on the writes of a transaction; it may have four times as many conditions.
    pub txn_ops: u32,
    /// Upper bound on the size of a value as JSON, in KiB.
    pub value_kb: f64,
}

impl StoreLimits {
    /// The first limit that a transaction exceeds.
    fn violation(self, txn: &Txn) -> Option<String> {
        let ops = self.txn_ops as usize;
        if txn.writes.len() > ops {
            return Some(format!("{} writes", txn.writes.len()));
        }
        let conditions = txn.conditions.len();
        if conditions > 4 * ops {
            return Some(format!("{conditions} conditions"));
        }
        for write in &txn.writes {
            if let Write::Put { key, value, .. } = write {
                let bytes = value.to_string().len();
                if bytes as f64 > self.value_kb * 1024.0 {
                    return Some(format!("{key} has {bytes} bytes"));
                }
            }
        }
        let bytes = serde_json::to_vec(txn)
            .expect("a transaction can be serialized")
            .len();
        (bytes > 64 * 1024).then(|| format!("the transaction has {bytes} bytes"))
    }

    /// Whether a transaction is within the limits; besides them it may have at most 64 KiB as JSON.
    pub fn accepts(self, txn: &Txn) -> bool {
        self.violation(txn).is_none()
    }
}

/// Keys, versions, leases and the change log, following the published protocol. Times are in milliseconds.
pub struct StateStore {
    /// Limits on transactions.
    pub limits: StoreLimits,
    /// By key: value, version (the revision of its last write) and the lease to which it is attached.
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Revision of the last change.
    pub revision: u64,
    /// By lease id: expiry time and duration.
    pub leases: BTreeMap<u64, (u64, u64)>,
    /// Retained changes with their revisions, in ascending order.
    pub change_log: VecDeque<(u64, Event)>,
    /// Number of changes that are retained for watches; older ones are dropped.
    pub max_retained_changes: usize,
    /// If set, only changes of keys with this prefix are retained, and watches of other prefixes panic.
    pub watched_prefix: Option<&'static str>,
    /// Revision of the last change that was dropped.
    pub compacted_revision: u64,
    /// Id of the last lease that was granted.
    pub next_lease_id: u64,
    /// Time until which the service is unavailable; leases do not expire before.
    pub unavailable_until: u64,
}

impl StateStore {
    /// An empty store that retains all changes of all keys.
    pub fn new(limits: StoreLimits) -> Self {
        StateStore {
            limits,
            keys: BTreeMap::new(),
            revision: 0,
            leases: BTreeMap::new(),
            change_log: VecDeque::new(),
            max_retained_changes: usize::MAX,
            watched_prefix: None,
            compacted_revision: 0,
            next_lease_id: 0,
            unavailable_until: 0,
        }
    }

    /// Ends all leases that have expired at `now`, unless the service is unavailable.
    pub fn expire_leases(&mut self, now: u64) {
        if self.unavailable_until > now {
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (expires_at, _))| *expires_at < now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Removes a lease and deletes the keys attached to it, with one new revision.
    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached_keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, attached_to))| *attached_to == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if !attached_keys.is_empty() {
            self.revision += 1;
        }
        for key in attached_keys {
            self.keys.remove(&key);
            self.change_log.push_back((
                self.revision,
                Event::Delete {
                    key,
                    version: self.revision,
                },
            ));
        }
    }

    /// Drops the oldest changes beyond `max_retained_changes`.
    fn compact_change_log(&mut self) {
        while self.change_log.len() > self.max_retained_changes {
            if let Some((revision, _)) = self.change_log.pop_front() {
                self.compacted_revision = revision;
            }
        }
    }

    /// The value and version of a key.
    pub fn row(&self, key: &str) -> Option<KeyValue> {
        let (value, version, _) = self.keys.get(key)?;
        Some(KeyValue {
            key: key.to_owned(),
            value: value.clone(),
            version: *version,
        })
    }

    /// Executes a request at time `now`; `None`: a watch that has to wait for a change.
    ///
    /// # Panics
    ///
    /// If a transaction exceeds the limits, or a watch is for a prefix other than `watched_prefix`.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub fn execute(&mut self, request: &StateRequest, now: u64) -> Option<StateReply> {
        Some(match request {
            StateRequest::Get { key } => self
                .row(key)
                .map_or(StateReply::Missing, StateReply::KeyValue),
            StateRequest::List {
                prefix,
                after,
                limit,
            } => {
                let from = match after {
                    Some(after) if after.as_str() >= *prefix => Bound::Excluded(after.as_str()),
                    _ => Bound::Included(*prefix),
                };
                let mut rows: Vec<KeyValue> = self
                    .keys
                    .range::<str, _>((from, Bound::Unbounded))
                    .take_while(|(key, _)| key.starts_with(prefix))
                    .filter_map(|(key, _)| self.row(key))
                    .take(*limit as usize + 1)
                    .collect();
                let more = rows.len() > *limit as usize;
                rows.truncate(*limit as usize);
                StateReply::Page(Page {
                    rows,
                    more,
                    revision: self.revision,
                })
            }
            StateRequest::Txn(txn) => {
                assert!(self.limits.accepts(txn), "{:?}", self.limits.violation(txn));
                for write in &txn.writes {
                    if let Write::Put {
                        lease: Some(lease), ..
                    } = write
                        && !self.leases.contains_key(lease)
                    {
                        return Some(StateReply::LeaseNotFound);
                    }
                }
                let failed: Vec<String> = txn
                    .conditions
                    .iter()
                    .filter(|condition| {
                        self.keys
                            .get(&condition.key)
                            .map_or(0, |(_, current, _)| *current)
                            != condition.version
                    })
                    .map(|condition| condition.key.clone())
                    .collect();
                if !failed.is_empty() {
                    return Some(StateReply::Conflict(failed));
                }
                self.revision += 1;
                for write in &txn.writes {
                    let event = match write.clone() {
                        Write::Put { key, value, lease } => {
                            let entry = (value.clone(), self.revision, lease);
                            self.keys.insert(key.clone(), entry);
                            Event::Put {
                                key,
                                value,
                                version: self.revision,
                            }
                        }
                        Write::Delete { key } => {
                            self.keys.remove(&key);
                            Event::Delete {
                                key,
                                version: self.revision,
                            }
                        }
                    };
                    let key = match write {
                        Write::Put { key, .. } | Write::Delete { key } => key,
                    };
                    if self
                        .watched_prefix
                        .is_none_or(|prefix| key.starts_with(prefix))
                    {
                        self.change_log.push_back((self.revision, event));
                    }
                }
                self.compact_change_log();
                StateReply::Committed(self.revision)
            }
            StateRequest::GrantLease { ttl_ms } => {
                self.next_lease_id += 1;
                self.leases
                    .insert(self.next_lease_id, (now + ttl_ms, *ttl_ms));
                StateReply::Granted(self.next_lease_id)
            }
            StateRequest::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some((expires_at, duration_ms)) => {
                    *expires_at = now + *duration_ms;
                    StateReply::LeaseUpdated
                }
                None => StateReply::LeaseNotFound,
            },
            StateRequest::ReleaseLease { lease } => {
                self.end_lease(*lease);
                StateReply::LeaseUpdated
            }
            StateRequest::Changes {
                prefix,
                after,
                max_wait_ms,
            } => {
                assert!(self.watched_prefix.is_none_or(|watched| watched == *prefix));
                if *after < self.compacted_revision {
                    return Some(StateReply::RevisionCompacted);
                }
                // Revisions only increase, so the log is sorted by revision.
                let first = self
                    .change_log
                    .partition_point(|(revision, _)| revision <= after);
                let events: Vec<Event> = self
                    .change_log
                    .range(first..)
                    .map(|(_, event)| event.clone())
                    .filter(|event| match event {
                        Event::Put { key, .. } | Event::Delete { key, .. } => {
                            key.starts_with(prefix)
                        }
                    })
                    .collect();
                if events.is_empty() && *max_wait_ms > 0 {
                    return None;
                }
                StateReply::Changes(Changes {
                    revision: self.revision,
                    events,
                })
            }
        })
    }
}
