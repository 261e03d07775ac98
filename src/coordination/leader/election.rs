//! Leader election: the node that writes the leader's key, attached to a lease of the state service,
//! is the leader.

use super::{
    LeaderState,
    lease::{LEADER_LEASE_TTL_MS, LeaderLease},
};
use crate::{
    coordination::{Effect, Node, StateTag, write_outcome::TXN_TIMEOUT_MS},
    protocol::state::{
        Condition, StateError, StateReply, StateRequest, StateRequestPriority, Txn, Write,
    },
    storage::{self, LeaderRecord, TermRecord},
    time::Millis,
};

const ELECTION_RETRY_MS: Millis = 300;
/// A process younger than this lets older ones become the leader first: it may be one that crashes
/// every few seconds, and the process before it under the same label may have been the leader.
const YOUNG_PROCESS_AGE_MS: Millis = 10_000;
/// How long a young process waits for older ones, which need a few round trips to the state service.
const YOUNG_ELECTION_DELAY_MS: Millis = 250;

/// The progress of this node towards becoming the leader.
#[derive(Debug, Default)]
pub struct Election {
    step: ElectionStep,
    retry_at: Millis,
    /// The lease of an earlier process under the same label, if this node has requested its release.
    released_lease: Option<u64>,
    /// When this node first found no leader's key in the registry.
    vacant_since: Option<Millis>,
}

#[derive(Debug, Default, PartialEq, Eq)]
enum ElectionStep {
    #[default]
    Idle,
    /// A lease for the leader's key has been requested.
    AwaitingLease,
    /// The transaction that writes the leader's key has been sent.
    AcquiringLeadership {
        lease: u64,
        /// When the lease was requested.
        lease_requested_at: Millis,
        term: u64,
    },
}

impl Election {
    /// Starts no election before `until`, so that another node can become the leader.
    pub(in crate::coordination) fn defer_until(&mut self, until: Millis) {
        self.retry_at = until;
    }
}

impl Node {
    /// Handles a change of the leader's key in the registry.
    pub(in crate::coordination) fn on_leader_changed(&mut self) {
        match (&self.registry.leader, &self.leader_state) {
            (Some((record, version)), Some(leader)) if *version > leader.leader_key_version => {
                tracing::warn!(leader = record.node, "lost leadership to another node");
                self.step_down();
            }
            (None, Some(_)) => {
                tracing::warn!("lost leadership: the leader's key has been deleted");
                self.step_down();
            }
            (Some((record, _)), None) => {
                tracing::info!(leader = record.node, term = record.term, "following");
            }
            _ => {}
        }
    }

    /// Gives up leadership immediately. The lease is not released but left to expire.
    pub(in crate::coordination) fn step_down(&mut self) {
        if let Some(leader) = self.leader_state.take() {
            tracing::warn!(term = leader.term, "stepped down");
            self.effects.push(Effect::SetLeadership(false));
            self.election = Election {
                retry_at: self.now + ELECTION_RETRY_MS,
                ..Election::default()
            };
            self.request_read_barrier();
        }
    }

    /// Starts an election when there is no leader.
    pub(in crate::coordination) fn run_election(&mut self) {
        if self.leader_state.is_some()
            || !self.is_ready()
            || self.election.step != ElectionStep::Idle
            || self.election.retry_at > self.now
        {
            return;
        }
        if let Some((record, _)) = &self.registry.leader {
            // An earlier process under this label no longer runs, so its lease is released without
            // waiting for it to expire.
            let predecessor = (record.node == self.config.label).then_some(record.lease);
            self.election.vacant_since = None;
            return self.release_predecessor_lease(predecessor);
        }
        let vacant_since = *self.election.vacant_since.get_or_insert(self.now);
        if self.now < YOUNG_PROCESS_AGE_MS
            && self.now < vacant_since + YOUNG_ELECTION_DELAY_MS
            && self.has_older_peer()
        {
            return;
        }
        self.election.step = ElectionStep::AwaitingLease;
        self.call_state_service(
            StateTag::GrantLeaderLease,
            StateRequest::GrantLease {
                ttl_ms: LEADER_LEASE_TTL_MS,
            },
            StateRequestPriority::Vital,
            TXN_TIMEOUT_MS,
        );
    }

    fn release_predecessor_lease(&mut self, lease: Option<u64>) {
        let Some(lease) = lease else { return };
        if self.election.released_lease == Some(lease) {
            return;
        }
        self.election.released_lease = Some(lease);
        self.call_state_service(
            StateTag::ReleaseLeaderLease,
            StateRequest::ReleaseLease { lease },
            StateRequestPriority::Vital,
            TXN_TIMEOUT_MS,
        );
    }

    /// Whether the registry shows another node's lease renewer key that is older than this node's. The
    /// process that wrote it, which may have just ended, started earlier than this one.
    fn has_older_peer(&self) -> bool {
        let own_version = self.lease_renewer.held_key_version().unwrap_or(u64::MAX);
        let mut renewers = self.registry.lease_renewers.iter();
        renewers.any(|(label, version)| *label != self.config.label && *version < own_version)
    }

    fn on_election_failed(&mut self) {
        self.election.step = ElectionStep::Idle;
        self.election.retry_at = self.now + ELECTION_RETRY_MS;
    }

    /// Handles the grant of a lease: tries to write the leader's key on it and to raise the term.
    pub(in crate::coordination) fn on_leader_lease_granted(
        &mut self,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        let Ok(StateReply::Granted(lease)) = result else {
            return self.on_election_failed();
        };
        let term = self.registry.term + 1;
        self.election.step = ElectionStep::AcquiringLeadership {
            lease,
            lease_requested_at: sent_at,
            term,
        };
        let txn = self.acquisition_txn(lease, term);
        self.call_state_service(
            StateTag::AcquireLeadership { lease },
            StateRequest::Txn(txn),
            StateRequestPriority::Vital,
            TXN_TIMEOUT_MS,
        );
    }

    /// The transaction that writes the leader's key if there is none, and raises the term if it is still
    /// the one in the registry.
    fn acquisition_txn(&self, lease: u64, term: u64) -> Txn {
        Txn {
            conditions: vec![
                Condition {
                    key: storage::LEADER_KEY.into(),
                    version: 0,
                },
                Condition {
                    key: storage::TERM_KEY.into(),
                    version: self.registry.term_version,
                },
            ],
            writes: vec![
                Write::Put {
                    key: storage::LEADER_KEY.into(),
                    value: storage::to_value(&LeaderRecord {
                        node: self.config.label.clone(),
                        lease,
                        term,
                    }),
                    lease: Some(lease),
                },
                Write::Put {
                    key: storage::TERM_KEY.into(),
                    value: storage::to_value(&TermRecord { term }),
                    lease: None,
                },
            ],
        }
    }

    /// Handles the answer to the transaction that acquires leadership.
    pub(in crate::coordination) fn on_acquire_response(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            Ok(StateReply::Committed(version)) => self.become_leader(lease, version),
            Err(StateError::NoAnswer) => self.call_state_service(
                StateTag::CheckLeadership { lease },
                StateRequest::Get {
                    key: storage::LEADER_KEY.into(),
                },
                StateRequestPriority::Vital,
                TXN_TIMEOUT_MS,
            ),
            _ => {
                self.on_election_failed();
                self.request_read_barrier();
            }
        }
    }

    /// Handles the leader's key as read after an acquisition that got no answer. If the key is not on
    /// the lease of that acquisition, the acquisition is abandoned: it may be applied later, but its
    /// lease is never renewed and expires; the next attempt uses a new lease.
    pub(in crate::coordination) fn on_acquire_check(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        if let Ok(StateReply::KeyValue(row)) = result
            && let Ok(record) = serde_json::from_value::<LeaderRecord>(row.value)
            && record.lease == lease
        {
            return self.become_leader(lease, row.version);
        }
        self.on_election_failed();
        self.request_read_barrier();
    }

    /// Becomes the leader on `lease`; `version` is the version of the leader's key.
    fn become_leader(&mut self, lease: u64, version: u64) {
        let ElectionStep::AcquiringLeadership {
            lease: requested_lease,
            lease_requested_at,
            term,
        } = self.election.step
        else {
            return;
        };
        if requested_lease != lease {
            return;
        }
        self.election.step = ElectionStep::Idle;
        tracing::info!(term, "leading");
        self.registry.leader = Some((
            LeaderRecord {
                node: self.config.label.clone(),
                lease,
                term,
            },
            version,
        ));
        self.registry.term = term;
        self.registry.term_version = version;
        let leader_lease = LeaderLease::granted(lease_requested_at, self.now);
        let leader = LeaderState::new(lease, leader_lease, version, term, self.now);
        self.leader_state = Some(Box::new(leader));
        self.effects.push(Effect::SetLeadership(true));
        // The registry must contain all jobs accepted or cancelled up to now before the cluster state
        // is rebuilt.
        self.read_barrier.confirmed_at = None;
        self.request_read_barrier();
        self.read_leader_log();
    }
}

#[cfg(test)]
mod tests;
