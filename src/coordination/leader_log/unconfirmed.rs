//! Writes that got no answer: their keys are read before they are written again.

use super::{LeaderLog, SlotState, UNANSWERED_RETRY_MS};
use crate::{
    coordination::{Node, StateTag, write_outcome::TXN_TIMEOUT_MS},
    protocol::{
        ids::JobId,
        state::{StateError, StateReply, StateRequest, Urgency},
    },
    storage::{self, SnapshotNumber},
    time::Millis,
};

/// A key of which is not known whether it was written; it is not written again before that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnconfirmedWrite {
    /// A slot of the log's ring.
    Slot(u32),
    /// A snapshot of a job's range of tasks.
    Snapshot(JobId, SnapshotNumber),
    /// A part of what tells of images.
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

/// A key that could not be read and is to be read again.
pub(super) struct UnconfirmedCheck {
    due_at: Millis,
    write: UnconfirmedWrite,
}

impl LeaderLog {
    /// Takes the checks that are due.
    fn take_due_checks(&mut self, now: Millis) -> Vec<UnconfirmedWrite> {
        let is_due = |check: &UnconfirmedCheck| check.due_at <= now;
        let due = self.unconfirmed.iter().filter(|check| is_due(check));
        let due = due.map(|check| check.write).collect();
        self.unconfirmed.retain(|check| !is_due(check));
        due
    }
}

impl Node {
    /// Reads a key that may have been written.
    pub(super) fn check_unconfirmed(&mut self, lease: u64, unconfirmed: UnconfirmedWrite) {
        self.call_state_service(
            StateTag::CheckUnconfirmedWrite { lease, unconfirmed },
            StateRequest::Get {
                key: unconfirmed.store_key(),
            },
            Urgency::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    /// Handles what a key that may have been written holds: it can be written against its version.
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
            Ok(StateReply::Row(row)) => row.version,
            Ok(StateReply::Missing) => 0,
            // Refusals come back at once: if the key were read again at once, each check would be a
            // request after the other for as long as the store is unavailable.
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

    /// Reads keys again that could not be read.
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
