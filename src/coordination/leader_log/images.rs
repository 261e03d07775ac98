//! Which machines hold which images, stored for a successor.

use super::{MAX_TXN_BYTES, SlotState, UnconfirmedWrite};
use crate::{
    cluster::{ClusterState, records},
    coordination::{
        Node, StateTag,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::state::{Condition, StateError, StateReply, StateRequest, Txn, Urgency},
    storage,
    time::Millis,
};

const IMAGES_INTERVAL_MS: Millis = 10_000;

/// The writes of images.
#[derive(Default)]
pub(super) struct ImageWrites {
    written_at: Millis,
    /// The keys that tell of images, which are numbered from 0 on.
    pub(super) slots: Vec<SlotState>,
}

impl ImageWrites {
    /// `key_versions`: those of the keys that predecessors have written.
    pub(super) fn inherit(key_versions: &[u64]) -> Self {
        ImageWrites {
            slots: key_versions.iter().copied().map(SlotState::Free).collect(),
            ..ImageWrites::default()
        }
    }

    /// A transaction for each part whose key can be written now. Whether a part is stored does not
    /// matter: the next one comes soon, and none overwrites a newer one.
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
                let mut txn = Txn::only_if(condition.clone());
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
    /// Tells a successor which machines hold which images: without that it would have them fetched
    /// where they are not, while users wait.
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
                Urgency::Normal,
                TXN_TIMEOUT_MS,
            );
        }
    }

    /// Handles the answer to a write of images.
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
