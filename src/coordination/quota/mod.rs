//! Quotas that cells share: the leader of each cell keeps its side, and for some teams the coordinator's.
//!
//! All is off unless operators name this cell (`--cell`). Then no team may use anything before what this
//! cell holds has been read from the state service and its coordinator has granted more. [`crate::quota`]
//! tells why no team gets above its limit; here its records are read and written, under the leader's key
//! and on the version that each replaces, and cells exchange reports a few times a second.

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

/// How often quotas are updated.
const QUOTA_INTERVAL_MS: Millis = 100;

/// The quotas that cells share, as the leader of this cell keeps them.
pub struct CellQuotas {
    own_cell: String,
    cells: Vec<String>,
    /// All records have been read at least once.
    is_loaded: bool,
    reading: QuotaRead,
    membership: CellMembershipRecord,
    membership_key_version: u64,
    /// Cells that named this list, stored or not.
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
    /// Messages of other cells that were not taken in.
    pub rejected_messages: u64,
    /// A record that is too long to be stored was logged.
    oversize_logged: bool,
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

    /// Whether the cells are those that this cell has stored, if it has.
    pub(super) fn has_stored_cells(&self) -> bool {
        self.membership.cells.is_empty() || self.membership.cells == self.cells
    }

    /// Whether this cell is the coordinator of the team.
    pub(super) fn is_coordinator_of(&self, team: &str) -> bool {
        coordinator_of(team, &self.cells) == Some(self.own_cell.as_str())
    }

    /// Sets in the cluster state what each team may use here now.
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
    /// Runs what is due for quotas: reads, returns, grants, writes and reports.
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

    /// The quotas that cells share, if this node leads and cells share any.
    fn leader_quotas_mut(&mut self) -> Option<&mut CellQuotas> {
        self.leader_state.as_mut()?.cell_quotas.as_mut()
    }
}

/// Stops what a team runs above what its coordinator has told it to come down to.
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
