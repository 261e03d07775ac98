//! The records of quotas in the state service. A new leader reads them all once; a write is conditional on
//! the version of the record that it replaces.

use serde::de::DeserializeOwned;

use super::{
    CellMembershipRecord, CellQuotas,
    demand::{configured_quotas, resources_to_quota},
};
use crate::{
    cluster::ClusterState,
    config::Team,
    coordination::{
        Node, StateTag,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::state::{KeyValue, StateError, StateReply, StateRequest, StateRequestPriority, Txn},
    quota::{
        CoordinatorRecord, ParticipantRecord, TeamQuota, coordinator::Coordinator,
        participant::Participant,
    },
    storage::{self, json_len, to_value},
    time::Millis,
};

const PAGE_ROWS: u32 = 500;
const READ_TIMEOUT_MS: Millis = 3000;
const READ_RETRY_MS: Millis = 250;
/// The most bytes in a transaction, counting the values and [`RECORD_OVERHEAD_BYTES`] for each.
const MAX_TXN_BYTES: usize = 60 * 1024;
/// An allowance for a record's key and conditions.
const RECORD_OVERHEAD_BYTES: usize = 512;

/// A record that is being written.
pub(super) enum QuotaRecordWrite {
    Membership(CellMembershipRecord),
    Coordinator(String, CoordinatorRecord),
    Participant(String, ParticipantRecord),
}

/// The progress of reading the records.
#[derive(Debug, Default)]
pub(super) struct QuotaRead {
    pub(super) is_needed: bool,
    in_flight: bool,
    after_key: Option<String>,
    /// After a failure, the time of the next attempt.
    retry_at: Millis,
}

impl QuotaRead {
    /// All records have to be read, starting with the first.
    pub(super) fn needed() -> Self {
        QuotaRead {
            is_needed: true,
            ..QuotaRead::default()
        }
    }
}

impl QuotaRecordWrite {
    pub(super) fn store_key(&self) -> String {
        match self {
            QuotaRecordWrite::Membership(_) => storage::QUOTA_CELLS_KEY.to_owned(),
            QuotaRecordWrite::Coordinator(team, _) => storage::quota_coordinator_key(team),
            QuotaRecordWrite::Participant(team, _) => storage::quota_participant_key(team),
        }
    }
}

impl CellQuotas {
    /// Applies a record read from the state service. One that can't be parsed is logged and skipped.
    pub(super) fn apply_row(&mut self, row: KeyValue, now: Millis) {
        let key = row.key.as_str();
        if key == storage::QUOTA_CELLS_KEY {
            if let Some(record) = parse_record(&row) {
                self.membership = record;
                self.membership_key_version = row.version;
            }
        } else if let Some(team) = storage::parse_quota_coordinator_key(key) {
            let Some(record) = parse_record::<CoordinatorRecord>(&row) else {
                return;
            };
            match self.coordinators.get_mut(team) {
                Some(coordinator) => coordinator.on_stored(record, row.version, now),
                None => {
                    let coordinator = Coordinator::new(&self.cells, record, row.version, now);
                    self.coordinators.insert(team.to_owned(), coordinator);
                }
            }
        } else if let Some(team) = storage::parse_quota_participant_key(key) {
            let Some(record) = parse_record::<ParticipantRecord>(&row) else {
                return;
            };
            match self.participants.get_mut(team) {
                Some(participant) => participant.on_stored(record, row.version),
                None => {
                    let participant = Participant::new(record, row.version);
                    self.participants.insert(team.to_owned(), participant);
                }
            }
        }
    }

    /// The membership record to write, if more cells have confirmed the list than the stored record says.
    pub(super) fn membership_to_write(&self) -> Option<CellMembershipRecord> {
        let has_new = self.matches_stored_cells()
            && !self.agreeing_cells.is_subset(&self.membership.confirmed);
        has_new.then(|| CellMembershipRecord {
            cells: self.cells.clone(),
            confirmed: self
                .membership
                .confirmed
                .union(&self.agreeing_cells)
                .cloned()
                .collect(),
        })
    }

    /// The records that have changed and are to be written.
    pub(super) fn records_to_write(
        &mut self,
        teams: &[Team],
        cluster: &ClusterState,
        now: Millis,
    ) -> Vec<QuotaRecordWrite> {
        let mut items: Vec<QuotaRecordWrite> = self
            .membership_to_write()
            .map(QuotaRecordWrite::Membership)
            .into_iter()
            .collect();
        for (index, team) in cluster.teams.iter().enumerate() {
            let used = resources_to_quota(&cluster.teams[index].reserved);
            let participant = self.participants.entry(team.name.clone()).or_default();
            let record = participant.next_record(used);
            items.extend(
                record.map(|record| QuotaRecordWrite::Participant(team.name.clone(), record)),
            );
        }
        if !self.matches_stored_cells() || !self.membership.is_complete() {
            return items;
        }
        let configured = configured_quotas(teams);
        for (name, quota) in &configured {
            if self.is_coordinator_of(name) && !self.coordinators.contains_key(*name) {
                let coordinator =
                    Coordinator::new(&self.cells, CoordinatorRecord::default(), 0, now);
                self.coordinators.insert((*name).to_owned(), coordinator);
            }
            if let Some(coordinator) = self.coordinators.get_mut(*name)
                && let Some(record) = coordinator.next_record(*quota, now)
            {
                items.push(QuotaRecordWrite::Coordinator((*name).to_owned(), record));
            }
        }
        // Reclaim the units of teams that are no longer configured.
        for (name, coordinator) in &mut self.coordinators {
            if !configured.contains_key(name.as_str())
                && let Some(record) = coordinator.next_record(TeamQuota::default(), now)
            {
                items.push(QuotaRecordWrite::Coordinator(name.clone(), record));
            }
        }
        items
    }

    /// Puts records in the order in which they are written: by key, starting after the last key written. A
    /// transaction holds only a few dozen records, and under load the first teams have one to write every
    /// time, so that always starting with them would hold up the others.
    pub(super) fn in_write_order(&self, mut items: Vec<QuotaRecordWrite>) -> Vec<QuotaRecordWrite> {
        items.sort_by_cached_key(QuotaRecordWrite::store_key);
        let start = items.partition_point(|item| item.store_key() <= self.last_written_key);
        items.rotate_left(start);
        items
    }

    /// A record's key, the version that it replaces, and its value.
    pub(super) fn prepared_write(
        &self,
        item: &QuotaRecordWrite,
    ) -> (String, u64, serde_json::Value) {
        let (version, value) = match item {
            QuotaRecordWrite::Membership(record) => (self.membership_key_version, to_value(record)),
            QuotaRecordWrite::Coordinator(team, record) => {
                let version = self
                    .coordinators
                    .get(team)
                    .map_or(0, |coordinator| coordinator.key_version);
                (version, to_value(record))
            }
            QuotaRecordWrite::Participant(team, record) => {
                let participant = self.participants.get(team);
                let version = participant.map_or(0, |participant| participant.key_version);
                (version, to_value(record))
            }
        };
        (item.store_key(), version, value)
    }

    /// Applies a record that has been stored with this version of its key.
    pub(super) fn on_record_stored(&mut self, item: QuotaRecordWrite, version: u64, now: Millis) {
        match item {
            QuotaRecordWrite::Membership(record) => {
                self.membership = record;
                self.membership_key_version = version;
            }
            QuotaRecordWrite::Coordinator(team, record) => {
                if let Some(coordinator) = self.coordinators.get_mut(&team) {
                    coordinator.on_stored(record, version, now);
                }
            }
            QuotaRecordWrite::Participant(team, record) => {
                if let Some(participant) = self.participants.get_mut(&team) {
                    participant.on_stored(record, version);
                }
            }
        }
    }
}

fn parse_record<T: DeserializeOwned>(row: &KeyValue) -> Option<T> {
    match serde_json::from_value(row.value.clone()) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key = row.key, %error, "a quota record can't be parsed");
            None
        }
    }
}

impl Node {
    /// Requests the next page of records, if they have to be read and no write is in flight.
    pub(super) fn request_quota_records(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let lease = leader.lease;
        let Some(quotas) = &mut leader.cell_quotas else {
            return;
        };
        let reading = &quotas.reading;
        let is_due = reading.is_needed && !reading.in_flight && reading.retry_at <= self.now;
        if !is_due || !quotas.writes_in_flight.is_empty() {
            return;
        }
        quotas.reading.in_flight = true;
        let request = StateRequest::List {
            prefix: storage::QUOTA_PREFIX,
            after: quotas.reading.after_key.clone(),
            limit: PAGE_ROWS,
        };
        self.call_state_service(
            StateTag::ReadCellQuotas { lease },
            request,
            StateRequestPriority::Vital,
            READ_TIMEOUT_MS,
        );
    }

    /// Handles the response to the read of a page of records.
    pub(in crate::coordination) fn on_quota_records_read(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let now = self.now;
        let Some(quotas) = self.leader_quotas_mut() else {
            return;
        };
        quotas.reading.in_flight = false;
        let Ok(StateReply::Page(page)) = result else {
            quotas.reading.retry_at = now + READ_RETRY_MS;
            return;
        };
        quotas.reading.after_key = page.rows.last().map(|row| row.key.clone());
        for row in page.rows {
            quotas.apply_row(row, now);
        }
        if !page.more {
            quotas.reading = QuotaRead::default();
            quotas.is_loaded = true;
            if !quotas.matches_stored_cells() {
                tracing::error!(stored = ?quotas.membership.cells, configured = ?quotas.cells,
                    "the configured cells differ from the stored ones: nothing is granted or returned");
            }
        }
    }

    /// Writes as many of the records as one transaction can hold.
    pub(super) fn write_quota_records(&mut self, items: Vec<QuotaRecordWrite>) {
        let state = &self.config.settings.state;
        let (max_ops, value_bytes) = (state.max_txn_ops as usize, state.max_value_bytes());
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let (lease, condition) = (leader.lease, leader.leadership_condition());
        let Some(quotas) = &mut leader.cell_quotas else {
            return;
        };
        let mut txn = Txn::with_condition(condition);
        let mut bytes = 0;
        for item in quotas.in_write_order(items) {
            let (key, version, value) = quotas.prepared_write(&item);
            let size = json_len(&value);
            if size > value_bytes {
                if !quotas.oversize_logged {
                    quotas.oversize_logged = true;
                    tracing::error!(key, size, "a quota record is too large to be stored");
                }
                continue;
            }
            bytes += size + RECORD_OVERHEAD_BYTES;
            if txn.writes.len() >= max_ops || bytes > MAX_TXN_BYTES {
                break;
            }
            quotas.last_written_key.clone_from(&key);
            txn.put(key, version, value);
            quotas.writes_in_flight.push(item);
        }
        if txn.writes.is_empty() {
            return;
        }
        quotas.write_number += 1;
        let current_write = quotas.write_number;
        let tag = StateTag::WriteCellQuotas {
            lease,
            write_number: current_write,
        };
        self.call_state_service(
            tag,
            StateRequest::Txn(txn),
            StateRequestPriority::Prompt,
            TXN_TIMEOUT_MS,
        );
    }

    /// Handles the response to a write of records.
    pub(in crate::coordination) fn on_quota_records_written(
        &mut self,
        lease: u64,
        write_number: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(outcome) = self.write_outcome(lease, result) else {
            return;
        };
        let now = self.now;
        let Some(quotas) = self.leader_quotas_mut() else {
            return;
        };
        if write_number != quotas.write_number {
            return;
        }
        let items = std::mem::take(&mut quotas.writes_in_flight);
        match outcome {
            WriteOutcome::Stored(version) => {
                for item in items {
                    quotas.on_record_stored(item, version, now);
                }
            }
            // The write may be applied, now or later: read the stored records before writing anything else.
            WriteOutcome::Unknown => quotas.reading.is_needed = true,
            WriteOutcome::Rejected => {}
        }
    }
}
