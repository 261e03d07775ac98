//! The writes of a leader: what became of one, and how large they may be.

use crate::{
    coordination::Node,
    protocol::state::{StateError, StateReply},
    storage,
    time::Millis,
};

pub(super) const TXN_TIMEOUT_MS: Millis = 2000;
/// However often the state service refuses a write for its size, so much is written at once.
const MIN_VALUE_KB: f64 = 0.5;
const MIN_TXN_OPS: u32 = 4;

/// What became of a transaction of the leader's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    Stored(u64),
    /// Surely not applied.
    Rejected,
    /// Applied already, to be applied later, or never.
    Unknown,
}

impl Node {
    /// What became of a transaction of this leadership. `None`: it leads no more, as that very
    /// answer may have told.
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
                    tracing::warn!("a write found another leader");
                    self.step_down();
                    return None;
                }
                tracing::debug!(?failed, "conflict");
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

    /// The state service takes less at once than the settings say, now or next: what it refused is
    /// written again in smaller pieces, never as it was, so that nothing behind it is held up.
    pub(super) fn shrink_write_limits(&mut self) {
        let state = &mut self.config.settings.state;
        state.max_value_kb = (state.max_value_kb / 2.0).max(MIN_VALUE_KB);
        state.max_txn_ops = (state.max_txn_ops / 2).max(MIN_TXN_OPS);
        let (value_kb, txn_ops) = (state.max_value_kb, state.max_txn_ops);
        tracing::warn!(
            value_kb,
            txn_ops,
            "refused for its size, less at once from now on"
        );
    }
}
