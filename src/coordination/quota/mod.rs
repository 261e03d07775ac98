//! Quotas that cells share: the leader of each cell acts as a participant for all teams, and as the
//! coordinator for some of them.
//!
//! This is off unless this cell is named on the command line (`--cell`). Then a team may use only the
//! units that it holds by this cell's records, which are read from the state service, and those that its
//! coordinator grants from then on. [`crate::quota`] explains why no team exceeds its limit. This module
//! reads and writes the records and exchanges reports with other cells a few times a second. Each write
//! is conditional on the leader's key and on the version of the record that it replaces.

mod demand;
mod exchange;
mod messages;
mod records;
mod status;
mod teams;

use std::collections::{BTreeMap, BTreeSet};

pub use messages::{CellGrants, CellMembershipRecord, CellReport};
pub use status::{QuotaStatus, TeamQuotaStatus};

use super::{LeaderState, Node};
use crate::{
    cells::CellTopology,
    cluster::{ClusterState, TeamIndex},
    quota::{Quota, coordinator::Coordinator, coordinator_of, participant::Participant},
    scheduling,
    time::Millis,
};
use demand::{quota_to_resources, resources_to_quota};
use exchange::PeerExchange;
use records::{QuotaRead, QuotaRecordWrite};

/// The interval between updates of the quotas.
const QUOTA_INTERVAL_MS: Millis = 100;

/// The quotas that cells share, as held by this cell's leader.
pub struct CellQuotas {
    own_cell: String,
    cells: Vec<String>,
    /// All records have been read at least once.
    is_loaded: bool,
    reading: QuotaRead,
    membership: CellMembershipRecord,
    membership_key_version: u64,
    /// Cells that have confirmed `cells`, whether that is stored yet or not.
    agreeing_cells: BTreeSet<String>,
    coordinators: BTreeMap<String, Coordinator>,
    participants: BTreeMap<String, Participant>,
    writes_in_flight: Vec<QuotaRecordWrite>,
    /// The number of the last write, to match a response to its write.
    write_number: u64,
    /// The last key that was written; the next write starts after it.
    last_written_key: String,
    updated_at: Millis,
    peers: BTreeMap<String, PeerExchange>,
    /// Teams whose latest change is not in force in all cells.
    teams_changing: BTreeSet<String>,
    /// The number of rejected messages from other cells.
    pub rejected_messages: u64,
    /// A record that is too large to be stored has been logged.
    oversize_logged: bool,
}

impl CellQuotas {
    /// The state before any record has been read.
    pub fn new(cells: &CellTopology) -> Self {
        let names = cells.names();
        let peers = cells.peers.keys();
        CellQuotas {
            own_cell: cells.own_cell.clone(),
            agreeing_cells: BTreeSet::from([cells.own_cell.clone()]),
            cells: names,
            is_loaded: false,
            reading: QuotaRead::needed(),
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

    /// Whether the configured cells are the same as the stored ones, or none are stored yet.
    pub(super) fn matches_stored_cells(&self) -> bool {
        self.membership.cells.is_empty() || self.membership.cells == self.cells
    }

    /// Whether this cell is the coordinator of the team.
    pub(super) fn is_coordinator_of(&self, team: &str) -> bool {
        coordinator_of(team, &self.cells) == Some(self.own_cell.as_str())
    }

    /// Sets each team's limit and guarantee in the cluster state. Both are zero for a team without a record, and
    /// for all teams until the records have been read.
    fn apply_limits(&self, cluster: &mut ClusterState) {
        for team in &mut cluster.teams {
            let participant = self.participants.get(&team.name);
            let (ceiling, guarantee) = match participant {
                Some(participant) if self.is_loaded => {
                    (participant.new_work_ceiling(), participant.guarantee())
                }
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
}

impl Node {
    /// Runs one quota cycle: reads and writes records, applies the limits, preempts tasks that exceed them
    /// and reports to other cells.
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
            let records = if quotas.writes_in_flight.is_empty() && !quotas.reading.is_needed {
                quotas.records_to_write(&self.config.settings.teams, cluster, now)
            } else {
                Vec::new()
            };
            quotas.apply_limits(cluster);
            preempt_excess(quotas, cluster, now);
            quotas.log_changes(now);
            self.write_quota_records(records);
        } else if !quotas.is_loaded {
            quotas.apply_limits(cluster);
        }
        self.request_quota_records();
        self.send_cell_reports();
    }

    /// The quotas that cells share; `None` if this node is not the leader or cells share no quotas.
    fn leader_quotas_mut(&mut self) -> Option<&mut CellQuotas> {
        self.leader_state.as_mut()?.cell_quotas.as_mut()
    }
}

/// Preempts tasks of teams whose use exceeds their target after their limit was lowered.
fn preempt_excess(quotas: &CellQuotas, cluster: &mut ClusterState, now: Millis) {
    for index in 0..cluster.teams.len() as u32 {
        let team = &cluster.teams[TeamIndex(index).as_usize()];
        let used = resources_to_quota(&team.reserved);
        let excess = match quotas.participants.get(&team.name) {
            Some(participant) => participant.excess(used),
            None => Quota::ZERO,
        };
        if excess == Quota::ZERO {
            continue;
        }
        let name = team.name.clone();
        let victims = scheduling::select_preemptions_over_limit(
            cluster,
            TeamIndex(index),
            &quota_to_resources(excess),
            now,
        );
        if !victims.is_empty() {
            tracing::info!(
                team = name,
                tasks = victims.len(),
                "preempting tasks above the team's lowered limit"
            );
        }
        for (machine, attempt_index) in victims {
            let job = cluster.job(cluster.machine(machine).attempts[attempt_index].job);
            let grace_s = if job.checkpoint_s > 0.0 {
                job.save_s
            } else {
                0.0
            };
            cluster.request_stop(machine, attempt_index, grace_s);
        }
    }
}

impl LeaderState {
    /// Whether the quotas allow tasks to be placed: cells share none, or this cell's records have been read.
    pub(super) fn has_loaded_quotas(&self) -> bool {
        self.cell_quotas
            .as_ref()
            .is_none_or(|quotas| quotas.is_loaded)
    }
}

#[cfg(test)]
mod tests;
