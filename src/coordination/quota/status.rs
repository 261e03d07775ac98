//! The status of quotas, for metrics and the log.

use super::{CellQuotas, demand::quota_to_resources};
use crate::{
    cluster::ClusterState,
    coordination::Node,
    quota::{Quota, participant::Participant},
    time::Millis,
};

/// A cell that has not responded for this long is logged.
const UNRESPONSIVE_CELL_WARNING_MS: Millis = 6000;
/// The interval at which it is logged again.
const UNRESPONSIVE_CELL_REPEAT_MS: Millis = 60_000;

/// The status of a team's quota in this cell.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamQuotaStatus {
    /// The team's name.
    pub team: String,
    /// The units that the team may use in this cell: GPUs if any machine type has GPUs, otherwise CPUs.
    pub allocated_units: f64,
    /// The units that the team uses in this cell, of the same kind.
    pub used_units: f64,
    /// The version of its quota that this cell has stored; 0: none.
    pub quota_version: u64,
}

/// The status of quotas as known to this cell's leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaStatus {
    /// This cell's name.
    pub own_cell: String,
    /// Each team in this cell.
    pub teams: Vec<TeamQuotaStatus>,
    /// For how long, in milliseconds, the oldest change of a team that this cell coordinates has not been in
    /// force in all cells; 0: there is none.
    pub oldest_change_ms: Millis,
    /// For each cell, the number of teams coordinated here whose latest version it has not reported to enforce.
    pub outdated_teams_by_cell: Vec<(String, usize)>,
    /// The number of rejected messages from other cells.
    pub rejected_messages: u64,
}

impl CellQuotas {
    /// Logs changes that are not in force in all cells yet, changes that now are, and cells that do not respond.
    pub(super) fn log_changes(&mut self, now: Millis) {
        for (team, coordinator) in &self.coordinators {
            match coordinator.change_pending_for(now) {
                Some(_) => {
                    if self.teams_changing.insert(team.clone()) {
                        let version = coordinator.stored().version;
                        tracing::info!(
                            team,
                            version,
                            "a quota change is not in force in all cells yet"
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
            let since = exchange.responded_at.or(exchange.sent_at);
            let is_unresponsive = since.is_some_and(|at| at + UNRESPONSIVE_CELL_WARNING_MS < now);
            let was_warned = exchange
                .warned_at
                .is_some_and(|at| at + UNRESPONSIVE_CELL_REPEAT_MS > now);
            if is_unresponsive && !was_warned {
                exchange.warned_at = Some(now);
                let outdated = self
                    .coordinators
                    .values()
                    .filter(|coordinator| coordinator.outdated_cells().contains(&cell.as_str()));
                let (pending_changes, unresponsive_ms) =
                    (outdated.count(), now.saturating_sub(since.unwrap_or(now)));
                tracing::warn!(
                    cell,
                    unresponsive_ms,
                    pending_changes,
                    "no response from a cell; it keeps the quota that it holds"
                );
            }
        }
    }

    /// The current status of quotas.
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
        let pending_ms = self
            .coordinators
            .values()
            .filter_map(|coordinator| coordinator.change_pending_for(now));
        let outdated_teams_by_cell = self.cells.iter().map(|cell| {
            let coordinators = self.coordinators.values();
            let outdated = coordinators
                .filter(|coordinator| coordinator.outdated_cells().contains(&cell.as_str()));
            (cell.clone(), outdated.count())
        });
        QuotaStatus {
            own_cell: self.own_cell.clone(),
            teams: teams.collect(),
            oldest_change_ms: pending_ms.max().unwrap_or(0),
            outdated_teams_by_cell: outdated_teams_by_cell.collect(),
            rejected_messages: self.rejected_messages,
        }
    }
}

impl Node {
    /// The status of quotas; `None` if this node is not the leader or cells share no quotas.
    pub(in crate::coordination) fn quota_status(&self) -> Option<QuotaStatus> {
        let leader = self.leader_state.as_ref()?;
        let (quotas, cluster) = (leader.cell_quotas.as_ref()?, leader.cluster.as_ref()?);
        Some(quotas.status(cluster, self.now))
    }
}
