//! Stores which machines hold which images, for the next leader.

use super::{MAX_TXN_BYTES, SlotState, UnconfirmedWrite};
use crate::{
    cluster::{ClusterState, records},
    coordination::{
        Node, StateTag,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::state::{Condition, StateError, StateReply, StateRequest, StateRequestPriority, Txn},
    storage,
    time::Millis,
};

const IMAGES_INTERVAL_MS: Millis = 10_000;

/// The state of writes of image records.
#[derive(Default)]
pub(super) struct ImageWrites {
    written_at: Millis,
    /// Whether each key of the image records can be written, by the key's number, from 0.
    pub(super) slots: Vec<SlotState>,
}

impl ImageWrites {
    /// `key_versions`: versions of the keys that previous leaders have written, by key number.
    pub(super) fn inherit(key_versions: &[u64]) -> Self {
        ImageWrites {
            slots: key_versions.iter().copied().map(SlotState::Free).collect(),
            ..ImageWrites::default()
        }
    }

    /// Returns a transaction for each part whose key can be written now. A part that isn't stored needs
    /// no retry: each is written again at the next interval, and no write overwrites a newer one.
    fn transactions(
        &mut self,
        cluster: &ClusterState,
        max_bytes: usize,
        condition: &Condition,
    ) -> Vec<(usize, Txn)> {
        let mut txns = Vec::new();
        let records = records::images_records(cluster, max_bytes);
        for (part, record) in records.iter().enumerate() {
            if self.slots.len() == part {
                self.slots.push(SlotState::Free(0));
            }
            let slot = std::mem::replace(&mut self.slots[part], SlotState::Taken);
            if let SlotState::Free(version) = slot {
                let mut txn = Txn::with_condition(condition.clone());
                txn.put(
                    storage::images_key(part),
                    version,
                    storage::to_value(record),
                );
                txns.push((part, txn));
            }
        }
        txns
    }
}

impl Node {
    /// Stores which machines hold which images. Without this record, a new leader would start tasks on
    /// machines that have to fetch the image first, while users wait.
    pub(in crate::coordination) fn store_images(&mut self) {
        let limits = &self.config.settings.state;
        let max_bytes = ((limits.max_value_kb * 1024.0) as usize).min(MAX_TXN_BYTES);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.log.images.written_at + IMAGES_INTERVAL_MS > self.now {
            return;
        }
        leader.log.images.written_at = self.now;
        let (lease, condition) = (leader.lease, leader.leadership_condition());
        let Some(cluster) = &leader.cluster else {
            return;
        };
        for (part, txn) in leader
            .log
            .images
            .transactions(cluster, max_bytes, &condition)
        {
            self.call_state_service(
                StateTag::WriteImages { lease, part },
                StateRequest::Txn(txn),
                StateRequestPriority::Normal,
                TXN_TIMEOUT_MS,
            );
        }
    }

    /// Handles the response to a write of an image record.
    pub(in crate::coordination) fn on_images_stored(
        &mut self,
        lease: u64,
        part: usize,
        result: Result<StateReply, StateError>,
    ) {
        match (self.write_outcome(lease, result), &mut self.leader_state) {
            (Some(WriteOutcome::Stored(version)), Some(leader)) => {
                leader.log.images.slots[part] = SlotState::Free(version);
            }
            (Some(_), _) => self.check_unconfirmed(lease, UnconfirmedWrite::Images(part)),
            (None, _) => {}
        }
    }
}
