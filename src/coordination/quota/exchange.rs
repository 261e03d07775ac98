//! The exchange of reports and grants with other cells.

use super::{CellGrants, CellQuotas, CellReport, demand::team_demands};
use crate::{
    cluster::ClusterState,
    coordination::{Effect, Node, RequestId},
    quota::{QuotaError, coordinator_of, participant::TeamDemand},
    time::Millis,
};

/// The interval between reports to another cell.
const REPORT_INTERVAL_MS: Millis = 400;
/// How long to wait for the response to a report before the next report is sent.
const REPORT_TIMEOUT_MS: Millis = 3000;

/// The state of the exchange with another cell.
#[derive(Debug, Default)]
pub(super) struct PeerExchange {
    pub(super) sent_at: Option<Millis>,
    pub(super) awaits_response: bool,
    pub(super) responded_at: Option<Millis>,
    /// When the lack of responses was last logged.
    pub(super) warned_at: Option<Millis>,
}

impl CellQuotas {
    /// Returns whether another cell has the same list of cells as this cell has configured and stored. If so, the
    /// other cell counts as having confirmed the list; otherwise its message is logged as rejected.
    pub(super) fn confirm_cell_list(&mut self, cell: &str, cells: &[String]) -> bool {
        let is_same_list =
            cells == self.cells && self.peers.contains_key(cell) && self.matches_stored_cells();
        if is_same_list {
            self.agreeing_cells.insert(cell.to_owned());
        } else {
            self.rejected_messages += 1;
            tracing::error!(
                cell,
                ?cells,
                own_cells = ?self.cells,
                "rejected a message from a cell with a different list of cells"
            );
        }
        is_same_list
    }

    /// Counts and logs a rejected report or grant.
    pub(super) fn reject_message(&mut self, team: &str, error: &QuotaError) {
        self.rejected_messages += 1;
        tracing::error!(team, %error, "rejected a quota message");
    }

    /// Exchanges this cell's reports and grants, without messages, for teams that it coordinates itself.
    pub(super) fn exchange_locally(&mut self, cluster: &ClusterState, now: Millis) {
        for (team, demand) in cluster.teams.iter().zip(team_demands(cluster)) {
            let Some(coordinator) = self.coordinators.get_mut(&team.name) else {
                continue;
            };
            let participant = self.participants.entry(team.name.clone()).or_default();
            let report_outcome =
                coordinator.on_report(&self.own_cell, participant.report(&demand), now);
            let grant_outcome = coordinator
                .grant(&self.own_cell)
                .map(|grant| participant.on_grant(&self.own_cell, grant));
            let outcome = report_outcome.and(grant_outcome.unwrap_or(Ok(())));
            if let Err(error) = outcome {
                let name = team.name.clone();
                self.reject_message(&name, &error);
            }
        }
    }

    /// This cell's report to another cell, for the teams that the other cell coordinates.
    pub(super) fn cell_report(
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
            let participant = self.participants.entry(team.name.clone()).or_default();
            teams.push((team.name.clone(), participant.report(demand)));
        }
        CellReport {
            from: self.own_cell.clone(),
            cells: self.cells.clone(),
            team_reports: teams,
        }
    }

    /// Applies another cell's report and returns the grants for the teams that this cell coordinates. `None`: the
    /// records have not been read yet, or the other cell has a different list of cells.
    pub(super) fn answer_cell_report(
        &mut self,
        report: &CellReport,
        now: Millis,
    ) -> Option<CellGrants> {
        if !self.is_loaded || !self.confirm_cell_list(&report.from, &report.cells) {
            return None;
        }
        let mut teams = Vec::new();
        for (team, team_report) in &report.team_reports {
            let Some(coordinator) = self.coordinators.get_mut(team) else {
                continue;
            };
            match coordinator.on_report(&report.from, *team_report, now) {
                Ok(()) => teams.extend(
                    coordinator
                        .grant(&report.from)
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

    /// Applies the grants with which another cell, as a coordinator, responds to a report.
    pub(super) fn apply_grants(&mut self, cell: &str, response: CellGrants, now: Millis) {
        if response.from != cell || !self.confirm_cell_list(cell, &response.cells) {
            return;
        }
        if let Some(exchange) = self.peers.get_mut(cell) {
            exchange.responded_at = Some(now);
        }
        for (team, grant) in response.grants {
            let participant = self.participants.entry(team.clone()).or_default();
            if let Err(error) = participant.on_grant(cell, grant) {
                self.reject_message(&team, &error);
            }
        }
    }
}

impl Node {
    /// Sends a report to each other cell for which the interval, or the wait for a response, is over.
    pub(super) fn send_cell_reports(&mut self) {
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
        let is_due = |exchange: &PeerExchange| {
            let wait = if exchange.awaits_response {
                REPORT_TIMEOUT_MS
            } else {
                REPORT_INTERVAL_MS
            };
            exchange.sent_at.is_none_or(|at| at + wait <= now)
        };
        let peers = quotas.peers.iter().filter(|(_, exchange)| is_due(exchange));
        let peers: Vec<String> = peers.map(|(cell, _)| cell.clone()).collect();
        if peers.is_empty() {
            return;
        }
        let demands = team_demands(cluster);
        for cell in peers {
            let report = quotas.cell_report(&cell, cluster, &demands);
            if let Some(exchange) = quotas.peers.get_mut(&cell) {
                exchange.sent_at = Some(now);
                exchange.awaits_response = true;
            }
            self.effects.push(Effect::SendCellReport {
                lease,
                cell,
                report: Box::new(report),
            });
        }
    }

    /// Handles another cell's response to a report; `None`: there was no response.
    pub(in crate::coordination) fn on_cell_grants(
        &mut self,
        lease: u64,
        cell: &str,
        response: Option<CellGrants>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let now = self.now;
        let Some(quotas) = self.leader_quotas_mut() else {
            return;
        };
        if let Some(exchange) = quotas.peers.get_mut(cell) {
            exchange.awaits_response = false;
        }
        if let Some(response) = response {
            quotas.apply_grants(cell, response, now);
        }
    }

    /// Handles another cell's report. Only a leader whose lease is still valid responds with grants.
    pub(in crate::coordination) fn handle_cell_report(
        &mut self,
        id: RequestId,
        report: &CellReport,
    ) {
        let now = self.now;
        let can_start = self.can_start_tasks();
        let response = self
            .leader_quotas_mut()
            .filter(|_| can_start)
            .and_then(|quotas| quotas.answer_cell_report(report, now));
        self.effects.push(Effect::RespondCellReport(id, response));
    }
}
