//! How quotas stand, for metrics and the log.

use super::{CellQuotas, demand::quota_to_resources};
use crate::{
    cluster::ClusterState,
    coordination::Node,
    quota::{Quota, participant::Participant},
    time::Millis,
};

/// A cell that has not answered for that long is logged.
const SILENT_CELL_WARNING_MS: Millis = 6000;
/// How often it is logged again.
const SILENT_CELL_REPEAT_MS: Millis = 60_000;

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
    /// For how long the oldest change of a team whose coordinator this is has waited to be in force.
    pub oldest_change_ms: Millis,
    /// In how many of those teams each cell is behind.
    pub cells_behind: Vec<(String, usize)>,
    /// Messages of other cells that were not taken.
    pub rejected_messages: u64,
}

impl CellQuotas {
    /// Logs changes that are in force, and cells that are silent.
    pub(super) fn log_changes(&mut self, now: Millis) {
        for (team, coordinator) in &self.coordinators {
            match coordinator.pending_for(now) {
                Some(_) => {
                    if self.teams_changing.insert(team.clone()) {
                        let version = coordinator.stored().version;
                        tracing::info!(
                            team,
                            version,
                            "a quota's change is not in force everywhere yet"
                        );
                    }
                }
                None => {
                    if self.teams_changing.remove(team) {
                        let (version, took_ms) =
                            (coordinator.stored().version, coordinator.version_age(now));
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
                    .filter(|coordinator| coordinator.outdated_cells().contains(&cell.as_str()));
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
            let participant = self.participants.get(&team.name);
            let allocation = participant.map_or(Quota::ZERO, Participant::usable_quota);
            TeamQuotaStatus {
                team: team.name.clone(),
                allocated_units: cluster.accounted_units(&quota_to_resources(allocation)),
                used_units: cluster.accounted_units(&team.reserved),
                quota_version: participant.map_or(0, |participant| participant.stored().version),
            }
        });
        let waiting = self
            .coordinators
            .values()
            .filter_map(|coordinator| coordinator.pending_for(now));
        let behind = self.cells.iter().map(|cell| {
            let coordinators = self.coordinators.values();
            let count = coordinators
                .filter(|coordinator| coordinator.outdated_cells().contains(&cell.as_str()));
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

impl Node {
    /// How quotas stand; `None`: this node does not lead, or cells share none.
    pub(in crate::coordination) fn quota_status(&self) -> Option<QuotaStatus> {
        let leader = self.leader_state.as_ref()?;
        let (quotas, cluster) = (leader.cell_quotas.as_ref()?, leader.cluster.as_ref()?);
        Some(quotas.status(cluster, self.now))
    }
}
