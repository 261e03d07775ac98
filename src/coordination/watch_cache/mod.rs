//! The watch cache: keeps the registry up to date.
//!
//! A watch returns changes as they occur. A read barrier, which is a watch request that does not wait,
//! proves that the registry has all changes from before the barrier was sent. Where a response could
//! be older than what another node has already returned to a user, it is sent only after a barrier
//! that started after the request arrived. Reads are therefore linearizable.

mod load;
mod read_barrier;
mod watch;

pub use load::RegistryLoad;
pub use read_barrier::ReadBarrier;
pub use watch::RegistryWatch;

use crate::{
    coordination::{Node, registry::RegistryChange},
    protocol::state::StateReply,
    time::Millis,
};

/// Delay before a failed load or watch is retried.
const RETRY_MS: Millis = 250;

impl Node {
    /// Starts a load of the registry, or the watch and a read barrier, when they are due.
    pub(in crate::coordination) fn maintain_registry(&mut self) {
        match self.registry_load {
            RegistryLoad::Needed { after } if after <= self.now => {
                self.load_generation += 1;
                self.registry_load = RegistryLoad::Reading {
                    revision: None,
                    leader_seen: false,
                    renewers_seen: Vec::new(),
                };
                self.watch = RegistryWatch::default();
                self.request_registry_page(None);
            }
            RegistryLoad::Done => {
                self.start_watch();
                self.start_read_barrier();
            }
            _ => {}
        }
        if !self.registry.loaded {
            self.relay_or_refuse_waiting();
        }
    }

    /// Relays the requests that wait for a read barrier to another member, or refuses them.
    fn relay_or_refuse_waiting(&mut self) {
        for id in self.read_barrier.take_waiting() {
            self.relay_or_refuse(id);
        }
    }

    fn apply_changes(&mut self, reply: StateReply) {
        match reply {
            StateReply::Changes(changes) => {
                let events = changes.events.into_iter();
                let registry_changes: Vec<RegistryChange> = events
                    .map(|event| self.registry.apply_event(event))
                    .collect();
                self.registry.revision = self.registry.revision.max(changes.revision);
                for change in registry_changes {
                    self.on_registry_change(change);
                }
            }
            StateReply::RevisionCompacted => {
                tracing::info!("registry is too far behind, loading it again");
                self.registry_load = RegistryLoad::Needed { after: self.now };
            }
            _ => {}
        }
    }

    /// Updates the rest of the node after a change of the registry.
    pub(in crate::coordination) fn on_registry_change(&mut self, change: RegistryChange) {
        match change {
            RegistryChange::Jobs(jobs) => {
                for id in jobs {
                    self.admission.on_accepted(id, false, self.now);
                    self.on_job_changed(id);
                }
            }
            RegistryChange::AdmissionQuotas => self.on_admission_quotas_read(),
            RegistryChange::Leader => self.on_leader_changed(),
            RegistryChange::Term => self.on_term_changed(),
            RegistryChange::MachineTypes => self.adopt_stored_machine_types(),
            RegistryChange::Progress(record) => self.received_progress.on_record(&record),
            RegistryChange::RenewerRegistered(label, version) => {
                self.on_renewer_registered(label, version)
            }
            RegistryChange::RenewerDeregistered(label, version) => {
                self.on_renewer_deregistered(label, version)
            }
            RegistryChange::Nothing => {}
        }
    }

    /// Requests a read barrier soon, because the registry may be out of date.
    pub(in crate::coordination) fn request_read_barrier(&mut self) {
        self.read_barrier.is_requested = true;
    }

    /// Uses the stored machine types until the cloud service has returned them.
    fn adopt_stored_machine_types(&mut self) {
        if let Some((types, _)) = &self.registry.machine_types
            && self.machine_types.is_empty()
        {
            self.machine_types = types.types.clone();
        }
    }
}

#[cfg(test)]
mod tests;
