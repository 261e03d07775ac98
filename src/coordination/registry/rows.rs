//! Applies rows and events of the state service to the registry, by kind of key.

use serde_json::Value;

use super::{JobRegistry, RegistryChange};
use crate::{
    protocol::{
        cloud::{MachineType, MachineTypes},
        ids::JobId,
        state::Event,
    },
    storage::{self, JobRecord, TermRecord},
};

impl JobRegistry {
    /// Applies a row. Rows may come in any order: one that is older than the registry's version of its
    /// key changes nothing.
    pub(in crate::coordination) fn put_row(
        &mut self,
        key: &str,
        value: Value,
        version: u64,
    ) -> RegistryChange {
        if let Some(id) = storage::parse_job_key(key) {
            return self.put_job_row(id, key, value, version);
        }
        if let Some((id, part)) = storage::parse_job_part_key(key) {
            return self.put_job_part(id, part, key, value);
        }
        if let Some(label) = storage::parse_lease_renewer_key(key) {
            return self.put_lease_renewer(label, version);
        }
        if key.starts_with(storage::MACHINE_TYPES_KEY)
            && !self.raise_machine_types_version(key, version)
        {
            return RegistryChange::Nothing;
        }
        if let Some((part, count)) = storage::parse_machine_types_key(key) {
            return self.put_machine_types_part(part, count, value, version);
        }
        match key {
            storage::LEADER_KEY => self.put_leader(value, version),
            storage::TERM_KEY => self.put_term(value, version),
            storage::ADMISSION_QUOTAS_KEY => self.put_admission_quotas(value, version),
            storage::PROGRESS_KEY => self.put_progress(value, version),
            storage::MACHINE_TYPES_KEY => {
                self.machine_types = serde_json::from_value(value)
                    .ok()
                    .map(|types| (types, version));
                RegistryChange::MachineTypes
            }
            _ => RegistryChange::Nothing,
        }
    }

    /// Applies an event that a watch or a read barrier returned.
    pub(in crate::coordination) fn apply_event(&mut self, event: Event) -> RegistryChange {
        match event {
            Event::Put {
                key,
                value,
                version,
            } => self.put_row(&key, value, version),
            Event::Delete { key, version } => self.delete_row(&key, version),
        }
    }

    fn put_job_row(&mut self, id: JobId, key: &str, value: Value, version: u64) -> RegistryChange {
        match serde_json::from_value::<JobRecord>(value) {
            Ok(record) => self.put_job_record(id, record, version),
            Err(error) => {
                tracing::error!(%key, %error, "can't decode a job's record");
                RegistryChange::Nothing
            }
        }
    }

    fn put_job_part(&mut self, id: JobId, part: u32, key: &str, value: Value) -> RegistryChange {
        let Value::String(text) = value else {
            tracing::error!(%key, "can't decode a part of a job's record");
            return RegistryChange::Nothing;
        };
        if !self.jobs.contains_key(&id) {
            self.partial_records
                .entry(id)
                .or_default()
                .part_texts
                .insert(part, text);
        }
        self.join_parts(id)
    }

    fn put_lease_renewer(&mut self, label: &str, version: u64) -> RegistryChange {
        let current = self.lease_renewers.entry(label.to_owned()).or_default();
        if *current >= version {
            return RegistryChange::Nothing;
        }
        *current = version;
        RegistryChange::RenewerRegistered(label.to_owned(), version)
    }

    /// Records a version of a machine types' key. Returns whether it is newer than the last recorded
    /// one.
    fn raise_machine_types_version(&mut self, key: &str, version: u64) -> bool {
        let current = self
            .machine_types_versions
            .entry(key.to_owned())
            .or_default();
        let is_newer = version > *current;
        *current = version.max(*current);
        is_newer
    }

    /// Stores one of `count` parts. The machine types are replaced once all parts have been read.
    fn put_machine_types_part(
        &mut self,
        part: u32,
        count: u32,
        value: Value,
        version: u64,
    ) -> RegistryChange {
        if let Ok(types) = serde_json::from_value::<MachineTypes>(value) {
            self.machine_types_parts.insert((count, part), types.types);
        }
        let parts = self.machine_types_parts.range((count, 0)..(count, count));
        if parts.clone().count() == count as usize {
            let types: Vec<MachineType> = parts.flat_map(|(_, part)| part.clone()).collect();
            self.machine_types = Some((MachineTypes { types }, version));
        }
        RegistryChange::MachineTypes
    }

    fn put_leader(&mut self, value: Value, version: u64) -> RegistryChange {
        if self
            .leader
            .as_ref()
            .is_some_and(|(_, current)| *current >= version)
        {
            return RegistryChange::Nothing;
        }
        self.leader = serde_json::from_value(value)
            .ok()
            .map(|record| (record, version));
        RegistryChange::Leader
    }

    fn put_term(&mut self, value: Value, version: u64) -> RegistryChange {
        if version <= self.term_version {
            return RegistryChange::Nothing;
        }
        if let Ok(TermRecord { term }) = serde_json::from_value(value) {
            self.term = term;
            self.term_version = version;
        }
        RegistryChange::Term
    }

    fn put_admission_quotas(&mut self, value: Value, version: u64) -> RegistryChange {
        if self
            .admission_quotas
            .as_ref()
            .is_some_and(|(_, current)| *current >= version)
        {
            return RegistryChange::Nothing;
        }
        if let Ok(quotas) = serde_json::from_value(value) {
            self.admission_quotas = Some((quotas, version));
        }
        RegistryChange::AdmissionQuotas
    }

    /// The registry keeps only the version: progress is worth something for a short time only.
    fn put_progress(&mut self, value: Value, version: u64) -> RegistryChange {
        if version <= self.progress_version {
            return RegistryChange::Nothing;
        }
        self.progress_version = version;
        match serde_json::from_value(value) {
            Ok(record) => RegistryChange::Progress(record),
            Err(error) => {
                tracing::error!(%error, "can't decode the progress of jobs");
                RegistryChange::Nothing
            }
        }
    }

    /// Applies the deletion of a key. The leader's and the standby renewers' keys are bound to leases
    /// and are deleted when these end; no other deletion changes the registry. The event may be older
    /// than a version of the key that was read since.
    fn delete_row(&mut self, key: &str, version: u64) -> RegistryChange {
        if let Some(label) = storage::parse_lease_renewer_key(key) {
            if self
                .lease_renewers
                .get(label)
                .is_some_and(|current| *current < version)
            {
                self.lease_renewers.remove(label);
                return RegistryChange::RenewerDeregistered(label.to_owned(), version);
            }
            return RegistryChange::Nothing;
        }
        if key == storage::LEADER_KEY
            && self
                .leader
                .as_ref()
                .is_some_and(|(_, current)| *current < version)
        {
            self.leader = None;
            return RegistryChange::Leader;
        }
        RegistryChange::Nothing
    }
}
