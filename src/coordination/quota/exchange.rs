//! Reports to other cells and their grants, and the reverse.

use super::{CellGrants, CellQuotas, CellReport, demand::team_demands};
use crate::{
    cluster::ClusterState,
    coordination::{Effect, Node, RequestId},
    quota::{QuotaError, coordinator_of, participant::TeamDemand},
    time::Millis,
};

/// How often a cell reports to another.
const REPORT_INTERVAL_MS: Millis = 400;
/// After so long an answer is no longer waited for.
const REPORT_TIMEOUT_MS: Millis = 3000;

/// The exchange with another cell.
#[derive(Debug, Default)]
pub(super) struct PeerExchange {
    pub(super) sent_at: Option<Millis>,
    pub(super) awaits_answer: bool,
    pub(super) answered_at: Option<Millis>,
    /// When its silence was last logged.
    pub(super) warned_at: Option<Millis>,
}

impl CellQuotas {
    /// Takes in the list of cells that another cell named; returns whether it is the same as this one's.
    pub(super) fn confirm_cell_list(&mut self, cell: &str, cells: &[String]) -> bool {
        let alike = cells == self.cells && self.peers.contains_key(cell) && self.has_stored_cells();
        if alike {
            self.agreeing_cells.insert(cell.to_owned());
        } else {
            self.rejected_messages += 1;
            tracing::error!(cell, ?cells, known = ?self.cells, "a cell that knows other cells is not heard");
        }
        alike
    }

    /// Counts and logs a message of another cell that is not taken in.
    pub(super) fn reject_message(&mut self, team: &str, error: &QuotaError) {
        self.rejected_messages += 1;
        tracing::error!(team, %error, "another cell's word on a quota is not taken");
    }

    /// Teams whose coordinator is this cell are reported and granted without a message.
    pub(super) fn exchange_locally(&mut self, cluster: &ClusterState, now: Millis) {
        for (team, demand) in cluster.teams.iter().zip(team_demands(cluster)) {
            let Some(coordinator) = self.coordinators.get_mut(&team.name) else {
                continue;
            };
            let participant = self.participants.entry(team.name.clone()).or_default();
            let heard = coordinator.on_report(&self.own_cell, participant.report(&demand), now);
            let granted = coordinator
                .grant(&self.own_cell)
                .map(|grant| participant.on_grant(&self.own_cell, grant));
            let outcome = heard.and(granted.unwrap_or(Ok(())));
            if let Err(error) = outcome {
                let name = team.name.clone();
                self.reject_message(&name, &error);
            }
        }
    }

    /// What this cell tells the coordinator of some teams.
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
            positions: teams,
        }
    }

    /// As a coordinator, takes another cell's report in and answers it.
    pub(super) fn answer_cell_report(
        &mut self,
        report: &CellReport,
        now: Millis,
    ) -> Option<CellGrants> {
        if !self.is_loaded || !self.confirm_cell_list(&report.from, &report.cells) {
            return None;
        }
        let mut teams = Vec::new();
        for (team, position) in &report.positions {
            let Some(coordinator) = self.coordinators.get_mut(team) else {
                continue;
            };
            match coordinator.on_report(&report.from, *position, now) {
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

    /// A coordinator's answer.
    pub(super) fn apply_grants(&mut self, cell: &str, answer: CellGrants, now: Millis) {
        if answer.from != cell || !self.confirm_cell_list(cell, &answer.cells) {
            return;
        }
        if let Some(exchange) = self.peers.get_mut(cell) {
            exchange.answered_at = Some(now);
        }
        for (team, grant) in answer.grants {
            let participant = self.participants.entry(team.clone()).or_default();
            if let Err(error) = participant.on_grant(cell, grant) {
                self.reject_message(&team, &error);
            }
        }
    }
}

impl Node {
    /// Reports to each other cell that is due how teams stand here.
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
            let report = quotas.cell_report(&cell, cluster, &demands);
            if let Some(exchange) = quotas.peers.get_mut(&cell) {
                exchange.sent_at = Some(now);
                exchange.awaits_answer = true;
            }
            self.effects.push(Effect::SendCellReport {
                lease,
                cell,
                report: Box::new(report),
            });
        }
    }

    pub(in crate::coordination) fn on_cell_grants(
        &mut self,
        lease: u64,
        cell: &str,
        answer: Option<CellGrants>,
    ) {
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

    /// Another cell's report. A node that does not lead does not answer it.
    pub(in crate::coordination) fn handle_cell_report(
        &mut self,
        id: RequestId,
        report: &CellReport,
    ) {
        let now = self.now;
        let may_start = self.can_start_tasks();
        let answer = self
            .leader_quotas_mut()
            .filter(|_| may_start)
            .and_then(|quotas| quotas.answer_cell_report(report, now));
        self.effects.push(Effect::RespondCellReport(id, answer));
    }
}
