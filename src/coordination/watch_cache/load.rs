//! Loads the registry page by page, at startup or when it has fallen too far behind for a watch.

use super::RETRY_MS;
use crate::{
    coordination::{Node, StateTag, registry::RegistryChange},
    protocol::state::{StateError, StateReply, StateRequest, StateRequestPriority},
    storage,
    time::Millis,
};

const PAGE_ROWS: u32 = 500;
const PAGE_TIMEOUT_MS: u64 = 3000;

/// The state of the load of the registry.
#[derive(Debug)]
pub enum RegistryLoad {
    /// A load has to be started.
    Needed {
        /// The earliest time for its start.
        after: Millis,
    },
    /// Pages are being read.
    Reading {
        /// The revision of the first page. The watch requests all changes after it.
        revision: Option<u64>,
        /// Whether the leader's key was on a page.
        leader_seen: bool,
        /// Standby renewers whose keys were on a page.
        renewers_seen: Vec<String>,
    },
    /// All pages have been read.
    Done,
}

impl Node {
    /// Requests the page of rows after a key, or the first page.
    pub(super) fn request_registry_page(&mut self, after: Option<String>) {
        self.call_state_service(
            StateTag::LoadRegistry {
                generation: self.load_generation,
            },
            StateRequest::List {
                prefix: storage::SHARED_PREFIX,
                after,
                limit: PAGE_ROWS,
            },
            StateRequestPriority::Vital,
            PAGE_TIMEOUT_MS,
        );
    }

    /// Applies a page to the registry, and requests the next or finishes the load.
    pub(in crate::coordination) fn on_registry_page(
        &mut self,
        generation: u64,
        result: Result<StateReply, StateError>,
    ) {
        let RegistryLoad::Reading {
            revision,
            leader_seen,
            renewers_seen,
        } = &mut self.registry_load
        else {
            return;
        };
        if generation != self.load_generation {
            return;
        }
        let Ok(StateReply::Page(page)) = result else {
            self.registry_load = RegistryLoad::Needed {
                after: self.now + RETRY_MS,
            };
            return self.relay_or_refuse_waiting();
        };
        let first_revision = *revision.get_or_insert(page.revision);
        let last_key = page.rows.last().map(|row| row.key.clone());
        let mut changes = Vec::new();
        for row in page.rows {
            *leader_seen |= row.key == storage::LEADER_KEY;
            renewers_seen.extend(storage::parse_lease_renewer_key(&row.key).map(str::to_owned));
            changes.push(self.registry.put_row(&row.key, row.value, row.version));
        }
        if page.more && last_key.is_some() {
            self.request_registry_page(last_key);
        } else {
            let (leader_seen, renewers_seen) = (*leader_seen, std::mem::take(renewers_seen));
            changes.extend(self.finish_load(first_revision, leader_seen, &renewers_seen));
        }
        for change in changes {
            self.on_registry_change(change);
        }
    }

    /// Finishes the load, and removes the leader and standby renewers whose keys were on no page.
    fn finish_load(
        &mut self,
        revision: u64,
        leader_seen: bool,
        renewers_seen: &[String],
    ) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        if !leader_seen {
            // The leader's key may have been deleted while no watch was open. If it has been written
            // since the first page, the watch returns it.
            self.registry.leader = None;
            changes.push(RegistryChange::Leader);
        }
        let removed: Vec<String> = self
            .registry
            .lease_renewers
            .keys()
            .filter(|label| !renewers_seen.contains(label))
            .cloned()
            .collect();
        for label in removed {
            self.registry.lease_renewers.remove(&label);
            changes.push(RegistryChange::RenewerDeregistered(label, revision));
        }
        self.registry.revision = revision;
        self.registry.loaded = true;
        self.registry_load = RegistryLoad::Done;
        // No request is answered and no lease renewed before the first read barrier has completed.
        self.read_barrier.is_requested = true;
        tracing::info!(
            jobs = self.registry.job_count(),
            revision,
            "registry loaded"
        );
        changes
    }
}
