//! The writes of a leader: what became of one, and how large they may be.

use crate::{
    coordination::Node,
    protocol::state::{StateError, StateReply},
    storage,
    time::Millis,
};

pub(super) const TXN_TIMEOUT: Millis = 2000;
/// However often the state service refuses a write for its size, so much is written at once.
const LEAST_KB: f64 = 0.5;
const LEAST_OPS: u32 = 4;

/// What became of a transaction of the leader's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Stored(u64),
    /// Surely not applied.
    Refused,
    /// Applied already, to be applied later, or never.
    Doubtful,
}

impl Node {
    /// What became of a transaction of this leadership. `None`: it leads no more, as that very
    /// answer may have told.
    pub(super) fn fate(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) -> Option<Fate> {
        if !self.leads(lease) {
            return None;
        }
        match result {
            Ok(StateReply::Committed(version)) => Some(Fate::Stored(version)),
            Ok(StateReply::Conflict(failed)) => {
                if failed.iter().any(|key| key == storage::LEADER) {
                    tracing::warn!("a write found another leader");
                    self.step_down();
                    return None;
                }
                tracing::debug!(?failed, "conflict");
                Some(Fate::Doubtful)
            }
            Err(StateError::NoAnswer) => Some(Fate::Doubtful),
            Err(StateError::Refused(400)) => {
                self.narrow();
                Some(Fate::Refused)
            }
            _ => Some(Fate::Refused),
        }
    }

    /// The state service takes less at once than the settings say, now or next: what it refused is
    /// written again in smaller pieces, never as it was, so that nothing behind it is held up.
    pub(super) fn narrow(&mut self) {
        let state = &mut self.config.settings.state;
        state.value_kb = (state.value_kb / 2.0).max(LEAST_KB);
        state.txn_ops = (state.txn_ops / 2).max(LEAST_OPS);
        let (value_kb, txn_ops) = (state.value_kb, state.txn_ops);
        tracing::warn!(
            value_kb,
            txn_ops,
            "refused for its size, less at once from now on"
        );
    }
}
