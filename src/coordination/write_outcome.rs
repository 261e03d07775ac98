//! The outcome of a leader's write, and the limits on the size of writes.

use crate::{
    coordination::Node,
    protocol::state::{StateError, StateReply},
    storage,
    time::Millis,
};

pub(super) const TXN_TIMEOUT_MS: Millis = 2000;
/// The least size to which the limits on a write are reduced when the state service refuses writes for
/// their size.
const MIN_VALUE_KB: f64 = 0.5;
const MIN_TXN_OPS: u32 = 4;

/// The outcome of a leader's transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// Applied at this revision.
    Stored(u64),
    /// Certainly not applied.
    Rejected,
    /// Already applied, applied later, or never.
    Unknown,
}

impl Node {
    /// The outcome of a transaction of this leadership. `None`: this node no longer holds `lease`, which
    /// the answer itself may have shown.
    pub(super) fn write_outcome(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) -> Option<WriteOutcome> {
        if !self.holds_leadership(lease) {
            return None;
        }
        match result {
            Ok(StateReply::Committed(version)) => Some(WriteOutcome::Stored(version)),
            Ok(StateReply::Conflict(failed)) => {
                if failed.iter().any(|key| key == storage::LEADER_KEY) {
                    tracing::warn!("lost leadership: a write conflicted on the leader's key");
                    self.step_down();
                    return None;
                }
                tracing::debug!(?failed, "write conflict");
                Some(WriteOutcome::Unknown)
            }
            Err(StateError::NoAnswer) => Some(WriteOutcome::Unknown),
            Err(StateError::Refused(400)) => {
                self.shrink_write_limits();
                Some(WriteOutcome::Rejected)
            }
            _ => Some(WriteOutcome::Rejected),
        }
    }

    /// Halves the limits on the size of a write, after the state service has refused one that is within
    /// both the current and the upcoming limits of the settings. The refused data is written again in
    /// smaller pieces, never unchanged, so that later writes are not held up behind it.
    pub(super) fn shrink_write_limits(&mut self) {
        let state = &mut self.config.settings.state;
        state.max_value_kb = (state.max_value_kb / 2.0).max(MIN_VALUE_KB);
        state.max_txn_ops = (state.max_txn_ops / 2).max(MIN_TXN_OPS);
        let (value_kb, txn_ops) = (state.max_value_kb, state.max_txn_ops);
        tracing::warn!(
            value_kb,
            txn_ops,
            "the state service refused a write for its size, write limits reduced"
        );
    }
}
