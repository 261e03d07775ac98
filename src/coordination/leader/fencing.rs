//! Fencing: the term is the fencing token of commands to workers. Raising it invalidates commands that
//! have not arrived yet.

use crate::{
    coordination::{
        Node, StateTag,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::state::{StateError, StateReply, StateRequest, StateRequestPriority, Txn},
    storage::{self, TermRecord},
    time::Millis,
};

const FENCE_INTERVAL_MS: Millis = 3000;

/// The state of raising the term during one leadership.
pub struct Fence {
    term_key_version: u64,
    in_flight: bool,
    /// The term is to be raised as soon as the minimum interval since the last time has passed.
    pub requested: bool,
    /// When the term was last raised; 0: not yet.
    pub raised_at: Millis,
}

impl Fence {
    /// `term_key_version`: the version of the term's key as the takeover wrote it.
    pub(super) fn new(term_key_version: u64) -> Self {
        Fence {
            term_key_version,
            in_flight: false,
            requested: false,
            raised_at: 0,
        }
    }
}

impl Node {
    /// Handles a change of the term in the registry.
    pub(in crate::coordination) fn on_term_changed(&mut self) {
        // Only the leader raises the term, so this is a raise by this node whose answer was lost.
        if let Some(leader) = &mut self.leader_state
            && self.registry.term > leader.term
        {
            leader.term = self.registry.term;
            leader.fence.term_key_version = self.registry.term_version;
        }
    }

    /// Raises the term if that was requested because a start command got no answer and might still be
    /// carried out late: a worker that has seen the new term rejects commands of the old one.
    pub(super) fn raise_term(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if !leader.fence.requested
            || leader.fence.in_flight
            || leader.fence.raised_at + FENCE_INTERVAL_MS > self.now
        {
            return;
        }
        leader.fence.requested = false;
        leader.fence.in_flight = true;
        leader.fence.raised_at = self.now;
        let lease = leader.lease;
        let mut txn = Txn::with_condition(leader.leadership_condition());
        let next_term = storage::to_value(&TermRecord {
            term: leader.term + 1,
        });
        txn.put(
            storage::TERM_KEY.into(),
            leader.fence.term_key_version,
            next_term,
        );
        self.call_state_service(
            StateTag::RaiseTerm { lease },
            StateRequest::Txn(txn),
            StateRequestPriority::Vital,
            TXN_TIMEOUT_MS,
        );
    }

    /// Handles the answer to the transaction that raises the term.
    pub(in crate::coordination) fn on_fence_response(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(outcome) = self.write_outcome(lease, result) else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        match outcome {
            WriteOutcome::Stored(version) => {
                leader.fence.in_flight = false;
                if version > leader.fence.term_key_version {
                    leader.term += 1;
                    leader.fence.term_key_version = version;
                }
                self.registry.term = leader.term;
                self.registry.term_version = leader.fence.term_key_version;
                tracing::info!(
                    term = leader.term,
                    "raised the term to invalidate earlier commands"
                );
            }
            WriteOutcome::Unknown => self.call_state_service(
                StateTag::CheckTerm { lease },
                StateRequest::Get {
                    key: storage::TERM_KEY.into(),
                },
                StateRequestPriority::Vital,
                TXN_TIMEOUT_MS,
            ),
            WriteOutcome::Rejected => {
                leader.fence.in_flight = false;
                leader.fence.requested = true;
            }
        }
    }

    /// Handles the term as read after a raise that got no answer. The term is raised once more.
    pub(in crate::coordination) fn on_fence_check(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.fence.in_flight = false;
        leader.fence.requested = true;
        if let Ok(StateReply::KeyValue(row)) = result
            && let Ok(record) = serde_json::from_value::<TermRecord>(row.value)
            && row.version > leader.fence.term_key_version
        {
            // Any other term was written by another leader. This node's lease has then expired, and its
            // next conditional write fails; that term is not adopted.
            if record.term == leader.term + 1 {
                self.request_read_barrier();
            }
        }
    }
}
