//! Quotas that cells share: the leader of each cell keeps its side, and for some teams the home's.
//!
//! All is off unless operators name this cell (`--cell`). Then no team may use anything before what this cell holds
//! has been read from the state service and its home has granted more. `bookkeeping/quota` tells why no team gets
//! above its limit; here its records are read and written, under the leader's key and on the version that each
//! replaces, and cells exchange statements a few times a second.

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;

use super::{Effect, LeaderState, Node, RequestId, StateTag};
use crate::{
    cells::CellTopology,
    cluster::{ClusterState, Resources, Team as BookedTeam, TeamIndex},
    config::Team,
    coordination::write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    protocol::{
        job::JobKind,
        state::{Row, StateError, StateReply, StateRequest, Txn, Urgency},
    },
    quota::{
        CoordinatorRecord, ParticipantRecord, Quota, QuotaError, TeamQuota,
        coordinator::Coordinator,
        coordinator_of,
        participant::{Participant, TeamDemand},
        units_allowed, units_of_limit, units_used,
    },
    scheduling,
    storage::{self, json_len, to_value},
    time::Millis,
};

mod messages;
mod teams;

pub use messages::{CellGrants, CellMembershipRecord, CellReport};

/// How often allocations are looked at.
const QUOTA_INTERVAL_MS: Millis = 100;
/// How often a cell tells another how it stands, and after how long an answer is no longer waited for.
const REPORT_INTERVAL_MS: Millis = 400;
const REPORT_TIMEOUT_MS: Millis = 3000;
/// A cell without an answer for that long is told of in the log, and how often it is again.
const SILENT_CELL_WARNING_MS: Millis = 6000;
const SILENT_CELL_REPEAT_MS: Millis = 60_000;
const PAGE_ROWS: u32 = 500;
const READ_TIMEOUT_MS: Millis = 3000;
const READ_RETRY_MS: Millis = 250;
/// What a transaction may hold besides its values, and a value's key and conditions.
const MAX_TXN_BYTES: usize = 60 * 1024;
const RECORD_OVERHEAD_BYTES: usize = 512;

/// A record that is being written.
enum QuotaRecordWrite {
    Membership(CellMembershipRecord),
    Coordinator(String, CoordinatorRecord),
    Participant(String, ParticipantRecord),
}

/// How reading the records goes on.
#[derive(Debug, Default)]
struct QuotaRead {
    is_needed: bool,
    in_flight: bool,
    after_key: Option<String>,
    /// After a failure: not again before.
    retry_at: Millis,
}

/// A cell with which statements are exchanged.
#[derive(Debug, Default)]
struct PeerExchange {
    sent_at: Option<Millis>,
    awaits_answer: bool,
    answered_at: Option<Millis>,
    warned_at: Option<Millis>,
}

/// A leader's view of the quotas.
pub struct CellQuotas {
    own_cell: String,
    cells: Vec<String>,
    /// All records have been read at least once.
    is_loaded: bool,
    reading: QuotaRead,
    membership: CellMembershipRecord,
    membership_key_version: u64,
    /// CellTopology that named this list, stored or not.
    agreeing_cells: BTreeSet<String>,
    coordinators: BTreeMap<String, Coordinator>,
    participants: BTreeMap<String, Participant>,
    writes_in_flight: Vec<QuotaRecordWrite>,
    /// Counts writes: an answer is of one of them.
    write_number: u64,
    /// The key that was written last: the next write begins behind it.
    last_written_key: String,
    updated_at: Millis,
    peers: BTreeMap<String, PeerExchange>,
    /// Teams whose latest change is not in force everywhere.
    teams_changing: BTreeSet<String>,
    /// Messages of other cells that were not taken.
    pub rejected_messages: u64,
    /// The log has told of a record that is too long to be stored.
    oversize_logged: bool,
}

/// How the quota of a team stands in this cell.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamQuotaStatus {
    /// The team.
    pub team: String,
    /// Units of what it may use here.
    pub allocated_units: f64,
    /// Units of what it uses here.
    pub used_units: f64,
    /// The version of its quota that is known here.
    pub quota_version: u64,
}

/// How quotas stand, as this cell's leader sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaStatus {
    /// This cell.
    pub own_cell: String,
    /// Each team in this cell.
    pub teams: Vec<TeamQuotaStatus>,
    /// For how long the oldest change of a team whose home this is has waited to be in force.
    pub oldest_change_ms: Millis,
    /// In how many of those teams each cell is behind.
    pub cells_behind: Vec<(String, usize)>,
    /// Messages of other cells that were not taken.
    pub rejected_messages: u64,
}

impl CellQuotas {
    /// Nothing is known yet.
    pub fn new(cells: &CellTopology) -> Self {
        let names = cells.names();
        let peers = cells.peers.keys();
        CellQuotas {
            own_cell: cells.own_cell.clone(),
            agreeing_cells: BTreeSet::from([cells.own_cell.clone()]),
            cells: names,
            is_loaded: false,
            reading: QuotaRead {
                is_needed: true,
                ..QuotaRead::default()
            },
            membership: CellMembershipRecord::default(),
            membership_key_version: 0,
            coordinators: BTreeMap::new(),
            participants: BTreeMap::new(),
            writes_in_flight: Vec::new(),
            write_number: 0,
            last_written_key: String::new(),
            updated_at: 0,
            peers: peers
                .map(|name| (name.clone(), PeerExchange::default()))
                .collect(),
            teams_changing: BTreeSet::new(),
            rejected_messages: 0,
            oversize_logged: false,
        }
    }

    /// Takes in a record that was read.
    fn apply_row(&mut self, row: Row, now: Millis) {
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
                Some(home) => home.on_stored(record, row.version, now),
                None => {
                    let home = Coordinator::new(&self.cells, record, row.version, now);
                    self.coordinators.insert(team.to_owned(), home);
                }
            }
        } else if let Some(team) = storage::parse_quota_participant_key(key) {
            let Some(record) = parse_record::<ParticipantRecord>(&row) else {
                return;
            };
            match self.participants.get_mut(team) {
                Some(holder) => holder.on_stored(record, row.version),
                None => {
                    let holder = Participant::new(record, row.version);
                    self.participants.insert(team.to_owned(), holder);
                }
            }
        }
    }

    /// Whether the cells are those that this cell has stored, if it has.
    fn has_stored_cells(&self) -> bool {
        self.membership.cells.is_empty() || self.membership.cells == self.cells
    }

    /// Whether this cell is the home of the team.
    fn is_coordinator_of(&self, team: &str) -> bool {
        coordinator_of(team, &self.cells) == Some(self.own_cell.as_str())
    }

    /// Another cell named its list; whether it is the same.
    fn confirm_cell_list(&mut self, cell: &str, cells: &[String]) -> bool {
        let alike = cells == self.cells && self.peers.contains_key(cell) && self.has_stored_cells();
        if alike {
            self.agreeing_cells.insert(cell.to_owned());
        } else {
            self.rejected_messages += 1;
            tracing::error!(cell, ?cells, known = ?self.cells, "a cell that knows other cells is not heard");
        }
        alike
    }

    fn reject_message(&mut self, team: &str, error: &QuotaError) {
        self.rejected_messages += 1;
        tracing::error!(team, %error, "another cell's word on a quota is not taken");
    }

    /// The record of the members, if more have named the list than is stored.
    fn membership_to_write(&self) -> Option<CellMembershipRecord> {
        let known =
            self.has_stored_cells() && !self.agreeing_cells.is_subset(&self.membership.confirmed);
        known.then(|| CellMembershipRecord {
            cells: self.cells.clone(),
            confirmed: self
                .membership
                .confirmed
                .union(&self.agreeing_cells)
                .cloned()
                .collect(),
        })
    }

    /// What is to be written next.
    fn records_to_write(
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
            let holder = self.participants.entry(team.name.clone()).or_default();
            let record = holder.next_record(used);
            items.extend(
                record.map(|record| QuotaRecordWrite::Participant(team.name.clone(), record)),
            );
        }
        if !self.has_stored_cells() || !self.membership.is_complete() {
            return items;
        }
        let configured = configured_quotas(teams);
        for (name, quota) in &configured {
            if self.is_coordinator_of(name) && !self.coordinators.contains_key(*name) {
                let home = Coordinator::new(&self.cells, CoordinatorRecord::default(), 0, now);
                self.coordinators.insert((*name).to_owned(), home);
            }
            if let Some(home) = self.coordinators.get_mut(*name)
                && let Some(record) = home.next_record(*quota, now)
            {
                items.push(QuotaRecordWrite::Coordinator((*name).to_owned(), record));
            }
        }
        // What a team that is no longer named holds comes back.
        for (name, home) in &mut self.coordinators {
            if !configured.contains_key(name.as_str())
                && let Some(record) = home.next_record(TeamQuota::default(), now)
            {
                items.push(QuotaRecordWrite::Coordinator(name.clone(), record));
            }
        }
        items
    }

    /// CellTopology that are this one's own home hear of it without a message.
    fn exchange_locally(&mut self, cluster: &ClusterState, now: Millis) {
        for (team, demand) in cluster.teams.iter().zip(team_demands(cluster)) {
            let Some(home) = self.coordinators.get_mut(&team.name) else {
                continue;
            };
            let holder = self.participants.entry(team.name.clone()).or_default();
            let heard = home.on_report(&self.own_cell, holder.report(&demand), now);
            let granted = home
                .grant(&self.own_cell)
                .map(|grant| holder.on_grant(&self.own_cell, grant));
            let outcome = heard.and(granted.unwrap_or(Ok(())));
            if let Err(error) = outcome {
                let name = team.name.clone();
                self.reject_message(&name, &error);
            }
        }
    }

    /// What this cell tells the home of some teams.
    fn cell_report(
        &mut self,
        to: &str,
        cluster: &ClusterState,
        demands: &[TeamDemand],
    ) -> CellReport {
        let mut teams = Vec::new();
        for (team, demand) in cluster.teams.iter().zip(demands) {
            if coordinator_of(&team.name, &self.cells) != Some(to) {
                continue;
            }
            let holder = self.participants.entry(team.name.clone()).or_default();
            teams.push((team.name.clone(), holder.report(demand)));
        }
        CellReport {
            from: self.own_cell.clone(),
            cells: self.cells.clone(),
            positions: teams,
        }
    }

    /// As a home, takes another cell's statement in and answers it.
    fn answer_cell_report(&mut self, statement: &CellReport, now: Millis) -> Option<CellGrants> {
        if !self.is_loaded || !self.confirm_cell_list(&statement.from, &statement.cells) {
            return None;
        }
        let mut teams = Vec::new();
        for (team, position) in &statement.positions {
            let Some(home) = self.coordinators.get_mut(team) else {
                continue;
            };
            match home.on_report(&statement.from, *position, now) {
                Ok(()) => teams.extend(
                    home.grant(&statement.from)
                        .map(|grant| (team.clone(), grant)),
                ),
                Err(error) => self.reject_message(team, &error),
            }
        }
        Some(CellGrants {
            from: self.own_cell.clone(),
            cells: self.cells.clone(),
            grants: teams,
        })
    }

    /// A home's answer.
    fn apply_grants(&mut self, cell: &str, answer: CellGrants, now: Millis) {
        if answer.from != cell || !self.confirm_cell_list(cell, &answer.cells) {
            return;
        }
        if let Some(exchange) = self.peers.get_mut(cell) {
            exchange.answered_at = Some(now);
        }
        for (team, grant) in answer.grants {
            let holder = self.participants.entry(team.clone()).or_default();
            if let Err(error) = holder.on_grant(cell, grant) {
                self.reject_message(&team, &error);
            }
        }
    }

    /// Tells the books what each team may use here now.
    fn apply_limits(&self, cluster: &mut ClusterState) {
        for team in &mut cluster.teams {
            let holder = self.participants.get(&team.name);
            let (ceiling, guarantee) = match holder {
                Some(holder) if self.is_loaded => (holder.new_work_ceiling(), holder.guarantee()),
                _ => (Quota::ZERO, Quota::ZERO),
            };
            let limit = quota_to_resources(ceiling);
            if limit.cpus > team.limit.cpus || limit.gpus > team.limit.gpus {
                cluster.scheduling_needed = true;
            }
            team.limit = limit;
            team.guarantee = quota_to_resources(guarantee);
        }
    }

    /// Tells the log of changes that are in force, and of cells that are silent.
    fn log_changes(&mut self, now: Millis) {
        for (team, home) in &self.coordinators {
            match home.pending_for(now) {
                Some(_) => {
                    if self.teams_changing.insert(team.clone()) {
                        let version = home.stored().version;
                        tracing::info!(
                            team,
                            version,
                            "a quota's change is not in force everywhere yet"
                        );
                    }
                }
                None => {
                    if self.teams_changing.remove(team) {
                        let (version, took_ms) = (home.stored().version, home.version_age(now));
                        tracing::info!(team, version, took_ms, "a quota's change is in force");
                    }
                }
            }
        }
        for (cell, exchange) in &mut self.peers {
            let since = exchange.answered_at.or(exchange.sent_at);
            let silent = since.is_some_and(|at| at + SILENT_CELL_WARNING_MS < now);
            let warned = exchange
                .warned_at
                .is_some_and(|at| at + SILENT_CELL_REPEAT_MS > now);
            if silent && !warned {
                exchange.warned_at = Some(now);
                let behind = self
                    .coordinators
                    .values()
                    .filter(|home| home.outdated_cells().contains(&cell.as_str()));
                let (changes, for_ms) = (behind.count(), now.saturating_sub(since.unwrap_or(now)));
                tracing::warn!(
                    cell,
                    for_ms,
                    changes,
                    "a cell does not answer; it keeps what it holds"
                );
            }
        }
    }

    /// How quotas stand.
    pub fn status(&self, cluster: &ClusterState, now: Millis) -> QuotaStatus {
        let teams = cluster.teams.iter().map(|team| {
            let holder = self.participants.get(&team.name);
            let allocation = holder.map_or(Quota::ZERO, Participant::usable_quota);
            TeamQuotaStatus {
                team: team.name.clone(),
                allocated_units: cluster.accounted_units(&quota_to_resources(allocation)),
                used_units: cluster.accounted_units(&team.reserved),
                quota_version: holder.map_or(0, |holder| holder.stored().version),
            }
        });
        let waiting = self
            .coordinators
            .values()
            .filter_map(|home| home.pending_for(now));
        let behind = self.cells.iter().map(|cell| {
            let homes = self.coordinators.values();
            let count = homes.filter(|home| home.outdated_cells().contains(&cell.as_str()));
            (cell.clone(), count.count())
        });
        QuotaStatus {
            own_cell: self.own_cell.clone(),
            teams: teams.collect(),
            oldest_change_ms: waiting.max().unwrap_or(0),
            cells_behind: behind.collect(),
            rejected_messages: self.rejected_messages,
        }
    }
}

fn parse_record<T: DeserializeOwned>(row: &Row) -> Option<T> {
    match serde_json::from_value(row.value.clone()) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key = row.key, %error, "a quota's record can't be read");
            None
        }
    }
}

fn quota_to_resources(quota: Quota) -> Resources {
    Resources {
        cpus: quota.cpus as f64 / 1000.0,
        gpus: quota.gpus as f64 / 1000.0,
        ram_gb: 0.0,
    }
}

fn resources_to_quota(amounts: &Resources) -> Quota {
    Quota {
        cpus: units_used(amounts.cpus),
        gpus: units_used(amounts.gpus),
    }
}

/// What operators set for each team.
fn configured_quotas(teams: &[Team]) -> BTreeMap<&str, TeamQuota> {
    let quota = |team: &Team| TeamQuota {
        guarantee: Quota {
            cpus: units_allowed(team.cpus),
            gpus: units_allowed(team.gpus),
        },
        limit: Quota {
            cpus: units_of_limit(team.cpus_max),
            gpus: units_of_limit(team.gpus_max),
        },
    };
    teams
        .iter()
        .map(|team| (team.name.as_str(), quota(team)))
        .collect()
}

/// What each team uses in this cell, what waits, and what of it can't be divided.
fn team_demands(cluster: &ClusterState) -> Vec<TeamDemand> {
    let mut waiting = vec![Resources::default(); cluster.teams.len()];
    let mut grains = vec![Resources::default(); cluster.teams.len()];
    let jobs = cluster.jobs_by_id.values().map(|index| cluster.job(*index));
    for job in jobs.filter(|job| !job.closed) {
        let (team, slots) = (job.team.as_usize(), job.placeable_tasks() as f64);
        waiting[team].cpus += job.requested.cpus * slots;
        waiting[team].gpus += job.requested.gpus * slots;
        if job.tasks.len() > job.waiting.len() + job.done_count as usize {
            let grain = &mut grains[team];
            grain.cpus = grain.cpus.max(job.requested.cpus);
            grain.gpus = grain.gpus.max(job.requested.gpus);
        }
    }
    let teams = cluster.teams.iter().zip(waiting).zip(grains);
    let demand = |((team, waiting), grain): ((&BookedTeam, Resources), Resources)| TeamDemand {
        used: resources_to_quota(&team.reserved),
        waiting: resources_to_quota(&waiting),
        first_request: smallest_request(cluster, team),
        largest_task: resources_to_quota(&grain),
    };
    teams.map(demand).collect()
}

/// What the team's first waiting job needs at once: a gang all of it.
fn smallest_request(cluster: &ClusterState, team: &BookedTeam) -> Quota {
    let Some(&(.., first)) = team.queue.first() else {
        return Quota::ZERO;
    };
    let job = cluster.job(first);
    let at_once = if job.kind == JobKind::Gang {
        job.placeable_tasks() as f64
    } else {
        1.0
    };
    resources_to_quota(&Resources {
        cpus: job.requested.cpus * at_once,
        gpus: job.requested.gpus * at_once,
        ram_gb: 0.0,
    })
}

impl Node {
    /// The leader's turn: reads, gives back, grants, writes and tells.
    pub(super) fn run_quota_cycle(&mut self) {
        let Some(cells) = &self.config.cells else {
            return;
        };
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let quotas = leader
            .cell_quotas
            .get_or_insert_with(|| CellQuotas::new(cells));
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        if quotas.is_loaded && quotas.updated_at + QUOTA_INTERVAL_MS <= now {
            quotas.updated_at = now;
            quotas.exchange_locally(cluster, now);
            let items = if quotas.writes_in_flight.is_empty() && !quotas.reading.is_needed {
                quotas.records_to_write(&self.config.settings.teams, cluster, now)
            } else {
                Vec::new()
            };
            quotas.apply_limits(cluster);
            preempt_excess(quotas, cluster, now);
            quotas.log_changes(now);
            self.write_quota_records(items);
        } else if !quotas.is_loaded {
            quotas.apply_limits(cluster);
        }
        self.request_quota_records();
        self.send_cell_reports();
    }

    /// The quotas that cells share, if this node leads and cells share any.
    fn leader_quotas_mut(&mut self) -> Option<&mut CellQuotas> {
        self.leader_state.as_mut()?.cell_quotas.as_mut()
    }

    fn request_quota_records(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let lease = leader.lease;
        let Some(quotas) = &mut leader.cell_quotas else {
            return;
        };
        let reading = &quotas.reading;
        let may = reading.is_needed && !reading.in_flight && reading.retry_at <= self.now;
        if !may || !quotas.writes_in_flight.is_empty() {
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
            Urgency::Vital,
            READ_TIMEOUT_MS,
        );
    }

    pub(super) fn on_quota_records_read(
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
            if !quotas.has_stored_cells() {
                tracing::error!(stored = ?quotas.membership.cells, named = ?quotas.cells,
                    "other cells are named than are stored: nothing is granted or returned");
            }
        }
    }

    fn write_quota_records(&mut self, items: Vec<QuotaRecordWrite>) {
        let state = &self.config.settings.state;
        let (most, value_bytes) = (state.max_txn_ops as usize, state.max_value_bytes());
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let (lease, condition) = (leader.lease, leader.leadership_condition());
        let Some(quotas) = &mut leader.cell_quotas else {
            return;
        };
        let mut txn = Txn::only_if(condition);
        let mut bytes = 0;
        for item in quotas.in_write_order(items) {
            let (key, version, value) = quotas.prepared_write(&item);
            let size = json_len(&value);
            if size > value_bytes {
                if !quotas.oversize_logged {
                    quotas.oversize_logged = true;
                    tracing::error!(key, size, "a quota's record is too long to be stored");
                }
                continue;
            }
            bytes += size + RECORD_OVERHEAD_BYTES;
            if txn.writes.len() >= most || bytes > MAX_TXN_BYTES {
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
        let write = quotas.write_number;
        let tag = StateTag::WriteCellQuotas {
            lease,
            write_number: write,
        };
        self.call_state_service(tag, StateRequest::Txn(txn), Urgency::Prompt, TXN_TIMEOUT_MS);
    }

    pub(super) fn on_quota_records_written(
        &mut self,
        lease: u64,
        write: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(fate) = self.write_outcome(lease, result) else {
            return;
        };
        let now = self.now;
        let Some(quotas) = self.leader_quotas_mut() else {
            return;
        };
        if write != quotas.write_number {
            return;
        }
        let items = std::mem::take(&mut quotas.writes_in_flight);
        match fate {
            WriteOutcome::Stored(version) => {
                for item in items {
                    quotas.on_record_stored(item, version, now);
                }
            }
            // It may be applied, now or later: what stands is read before anything else is written.
            WriteOutcome::Unknown => quotas.reading.is_needed = true,
            WriteOutcome::Rejected => {}
        }
    }

    fn send_cell_reports(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let lease = leader.lease;
        let (Some(quotas), Some(cluster)) = (&mut leader.cell_quotas, &leader.cluster) else {
            return;
        };
        if !quotas.is_loaded {
            return;
        }
        let due = |exchange: &PeerExchange| {
            let wait = if exchange.awaits_answer {
                REPORT_TIMEOUT_MS
            } else {
                REPORT_INTERVAL_MS
            };
            exchange.sent_at.is_none_or(|at| at + wait <= now)
        };
        let peers = quotas.peers.iter().filter(|(_, exchange)| due(exchange));
        let peers: Vec<String> = peers.map(|(cell, _)| cell.clone()).collect();
        if peers.is_empty() {
            return;
        }
        let demands = team_demands(cluster);
        for cell in peers {
            let statement = quotas.cell_report(&cell, cluster, &demands);
            if let Some(exchange) = quotas.peers.get_mut(&cell) {
                exchange.sent_at = Some(now);
                exchange.awaits_answer = true;
            }
            self.effects.push(Effect::SendCellReport {
                lease,
                cell,
                report: Box::new(statement),
            });
        }
    }

    pub(super) fn on_cell_grants(&mut self, lease: u64, cell: &str, answer: Option<CellGrants>) {
        if !self.holds_leadership(lease) {
            return;
        }
        let now = self.now;
        let Some(quotas) = self.leader_quotas_mut() else {
            return;
        };
        if let Some(exchange) = quotas.peers.get_mut(cell) {
            exchange.awaits_answer = false;
        }
        if let Some(answer) = answer {
            quotas.apply_grants(cell, answer, now);
        }
    }

    /// Another cell's statement. A node that does not lead does not answer it.
    pub(super) fn handle_cell_report(&mut self, id: RequestId, statement: &CellReport) {
        let now = self.now;
        let may_start = self.can_start_tasks();
        let answer = self
            .leader_quotas_mut()
            .filter(|_| may_start)
            .and_then(|quotas| quotas.answer_cell_report(statement, now));
        self.effects.push(Effect::RespondCellReport(id, answer));
    }

    /// How quotas stand; `None`: this node does not lead, or cells share none.
    pub(super) fn quota_status(&self) -> Option<QuotaStatus> {
        let leader = self.leader_state.as_ref()?;
        let (quotas, cluster) = (leader.cell_quotas.as_ref()?, leader.cluster.as_ref()?);
        Some(quotas.status(cluster, self.now))
    }
}

impl QuotaRecordWrite {
    fn store_key(&self) -> String {
        match self {
            QuotaRecordWrite::Membership(_) => storage::QUOTA_CELLS_KEY.to_owned(),
            QuotaRecordWrite::Coordinator(team, _) => storage::quota_coordinator_key(team),
            QuotaRecordWrite::Participant(team, _) => storage::quota_participant_key(team),
        }
    }
}

impl CellQuotas {
    /// Puts records in the order in which they are written, round and round by their keys: a transaction holds a few
    /// dozen, and under load the first teams have some to write each time.
    fn in_write_order(&self, mut items: Vec<QuotaRecordWrite>) -> Vec<QuotaRecordWrite> {
        items.sort_by_cached_key(QuotaRecordWrite::store_key);
        let next = items.partition_point(|item| item.store_key() <= self.last_written_key);
        items.rotate_left(next);
        items
    }

    /// Where a record is kept, the version that it replaces, and its value.
    fn prepared_write(&self, item: &QuotaRecordWrite) -> (String, u64, serde_json::Value) {
        let (version, value) = match item {
            QuotaRecordWrite::Membership(record) => (self.membership_key_version, to_value(record)),
            QuotaRecordWrite::Coordinator(team, record) => {
                let version = self
                    .coordinators
                    .get(team)
                    .map_or(0, |home| home.key_version);
                (version, to_value(record))
            }
            QuotaRecordWrite::Participant(team, record) => {
                let holder = self.participants.get(team);
                let version = holder.map_or(0, |holder| holder.key_version);
                (version, to_value(record))
            }
        };
        (item.store_key(), version, value)
    }

    fn on_record_stored(&mut self, item: QuotaRecordWrite, version: u64, now: Millis) {
        match item {
            QuotaRecordWrite::Membership(record) => {
                self.membership = record;
                self.membership_key_version = version;
            }
            QuotaRecordWrite::Coordinator(team, record) => {
                if let Some(home) = self.coordinators.get_mut(&team) {
                    home.on_stored(record, version, now);
                }
            }
            QuotaRecordWrite::Participant(team, record) => {
                if let Some(holder) = self.participants.get_mut(&team) {
                    holder.on_stored(record, version);
                }
            }
        }
    }
}

/// Stops what a team runs above what its home has told it to come down to.
fn preempt_excess(quotas: &CellQuotas, cluster: &mut ClusterState, now: Millis) {
    for index in 0..cluster.teams.len() as u32 {
        let team = &cluster.teams[TeamIndex(index).as_usize()];
        let used = resources_to_quota(&team.reserved);
        let excess = match quotas.participants.get(&team.name) {
            Some(holder) => holder.excess(used),
            None => Quota::ZERO,
        };
        if excess == Quota::ZERO {
            continue;
        }
        let name = team.name.clone();
        let victims = scheduling::select_stops_over_limit(
            cluster,
            TeamIndex(index),
            &quota_to_resources(excess),
            now,
        );
        if !victims.is_empty() {
            tracing::info!(
                team = name,
                tasks = victims.len(),
                "its limit was lowered: tasks give way"
            );
        }
        for (machine, at) in victims {
            let job = cluster.job(cluster.machine(machine).attempts[at].job);
            let grace_s = if job.checkpoint_s > 0.0 {
                job.save_s
            } else {
                0.0
            };
            cluster.request_stop(machine, at, grace_s);
        }
    }
}

impl LeaderState {
    /// Whether tasks may be placed as far as quotas go: what this cell holds is known.
    pub(super) fn has_loaded_quotas(&self) -> bool {
        self.cell_quotas
            .as_ref()
            .is_none_or(|quotas| quotas.is_loaded)
    }
}

#[cfg(test)]
mod tests;
