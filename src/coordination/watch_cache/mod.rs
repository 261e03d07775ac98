//! The watch cache: keeps the registry up to date.
//!
//! A watch brings changes at once; a read barrier (a watch that does not wait) proves that the registry
//! is as new as the moment at which it was sent. Answers that could be older than what another node has
//! told a user are given only after a barrier that began after the request came: reads are linearizable.

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

/// A load or a watch that failed is repeated after this.
const RETRY_MS: Millis = 250;

impl Node {
    /// Keeps the registry up to date.
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
            self.refuse_waiting_requests();
        }
    }

    /// Has members answer the requests that wait, or refuses them.
    fn refuse_waiting_requests(&mut self) {
        for id in self.read_barrier.take_waiting() {
            self.relay_or_refuse(id);
        }
    }

    fn apply_changes(&mut self, reply: StateReply) {
        match reply {
            StateReply::Changes(changes) => {
                let events = changes.events.into_iter();
                let seen: Vec<RegistryChange> = events
                    .map(|event| self.registry.apply_event(event))
                    .collect();
                self.registry.revision = self.registry.revision.max(changes.revision);
                for change in seen {
                    self.on_registry_change(change);
                }
            }
            StateReply::TooOld => {
                tracing::info!("too far behind, reading the jobs again");
                self.registry_load = RegistryLoad::Needed { after: self.now };
            }
            _ => {}
        }
    }

    /// Lets the rest of the node follow a change of the registry.
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
            RegistryChange::RenewerRegistered(label, version) => {
                self.on_renewer_registered(label, version)
            }
            RegistryChange::RenewerGone(label, version) => self.on_renewer_gone(label, version),
            RegistryChange::Nothing => {}
        }
    }

    /// Asks for a read barrier soon: something suggests that the registry is behind.
    pub(in crate::coordination) fn request_read_barrier(&mut self) {
        self.read_barrier.is_requested = true;
    }

    /// Uses the stored machine types until the cloud has told them.
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
