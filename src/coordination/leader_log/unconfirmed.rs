//! Writes with an unknown result: their keys are read before they are written again.

use super::{LeaderLog, SlotState, UNANSWERED_RETRY_MS};
use crate::{
    coordination::{Node, StateTag, write_outcome::TXN_TIMEOUT_MS},
    protocol::{
        ids::JobId,
        state::{StateError, StateReply, StateRequest, StateRequestPriority},
    },
    storage::{self, SnapshotNumber},
    time::Millis,
};

/// A key whose last write has an unknown result; it is read before it is written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnconfirmedWrite {
    /// A slot of the log's ring.
    Slot(u32),
    /// A snapshot of a job's range of tasks.
    Snapshot(JobId, SnapshotNumber),
    /// An image record, by its number.
    Images(usize),
}

impl UnconfirmedWrite {
    fn store_key(self) -> String {
        match self {
            UnconfirmedWrite::Slot(slot) => storage::log_slot_key(slot),
            UnconfirmedWrite::Snapshot(job, snapshot) => storage::snapshot_key(job, snapshot),
            UnconfirmedWrite::Images(part) => storage::images_key(part),
        }
    }
}

/// A key that could not be read and has to be read again.
pub(super) struct UnconfirmedCheck {
    due_at: Millis,
    write: UnconfirmedWrite,
}

impl LeaderLog {
    /// Removes and returns the checks that are due.
    fn take_due_checks(&mut self, now: Millis) -> Vec<UnconfirmedWrite> {
        let is_due = |check: &UnconfirmedCheck| check.due_at <= now;
        let due = self.unconfirmed.iter().filter(|check| is_due(check));
        let due = due.map(|check| check.write).collect();
        self.unconfirmed.retain(|check| !is_due(check));
        due
    }
}

impl Node {
    /// Reads a key whose last write has an unknown result.
    pub(super) fn check_unconfirmed(&mut self, lease: u64, unconfirmed: UnconfirmedWrite) {
        self.call_state_service(
            StateTag::CheckUnconfirmedWrite { lease, unconfirmed },
            StateRequest::Get {
                key: unconfirmed.store_key(),
            },
            StateRequestPriority::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    /// Handles the read of a key whose last write had an unknown result. The key can then be written on
    /// condition that it still has the version that was read.
    pub(in crate::coordination) fn on_unconfirmed_checked(
        &mut self,
        lease: u64,
        unconfirmed: UnconfirmedWrite,
        result: Result<StateReply, StateError>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let log = &mut leader.log;
        let version = match result {
            Ok(StateReply::KeyValue(row)) => row.version,
            Ok(StateReply::Missing) => 0,
            // A refusal returns immediately. Without a delay, each check would send requests back to
            // back for as long as the state service is unavailable.
            _ => {
                return log.unconfirmed.push(UnconfirmedCheck {
                    due_at: self.now + UNANSWERED_RETRY_MS,
                    write: unconfirmed,
                });
            }
        };
        match (unconfirmed, &mut leader.cluster) {
            (UnconfirmedWrite::Slot(slot), _) => log.ring.free_slot(slot, version),
            (UnconfirmedWrite::Images(part), _) => {
                log.images.slots[part] = SlotState::Free(version);
            }
            (UnconfirmedWrite::Snapshot(job, snapshot), Some(cluster)) => {
                cluster.record_snapshot_version(job, snapshot, version);
            }
            (UnconfirmedWrite::Snapshot(..), None) => {}
        }
    }

    /// Repeats the reads of keys that failed, once they are due.
    pub(in crate::coordination) fn retry_unconfirmed_checks(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let lease = leader.lease;
        for unconfirmed in leader.log.take_due_checks(self.now) {
            self.check_unconfirmed(lease, unconfirmed);
        }
    }
}
