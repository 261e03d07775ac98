//! Metrics of quotas that cells share. Without configured cells, no series are exported.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::family::Family,
    registry::{Registry, Unit},
};

use crate::coordination::QuotaStatus;

use super::labels::{FloatGauge, IntGauge, TeamLabels};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CellLabels {
    cell: String,
}

/// Metrics of quotas that cells share.
#[derive(Default)]
pub(super) struct QuotaMetrics {
    allocation: Family<TeamLabels, FloatGauge>,
    used: Family<TeamLabels, FloatGauge>,
    version: Family<TeamLabels, IntGauge>,
    oldest_change: Family<CellLabels, FloatGauge>,
    cells_behind: Family<CellLabels, IntGauge>,
    refused_cells: Family<CellLabels, IntGauge>,
}

impl QuotaMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "quota_allocation",
            "Units that a team may use in this cell",
            self.allocation.clone(),
        );
        registry.register(
            "quota_used",
            "Units that a team uses in this cell",
            self.used.clone(),
        );
        registry.register(
            "quota_version",
            "The version of a team's quota that this cell has stored",
            self.version.clone(),
        );
        registry.register_with_unit(
            "quota_oldest_change",
            "For how long the oldest change of a team whose home this cell is has waited to be in force everywhere",
            Unit::Seconds,
            self.oldest_change.clone(),
        );
        registry.register(
            "quota_behind",
            "Teams whose latest quota is not in force in a cell, as their home knows",
            self.cells_behind.clone(),
        );
        registry.register(
            "quota_refused",
            "Messages of other cells that were not taken",
            self.refused_cells.clone(),
        );
    }

    /// Sets the metrics from the status of the quotas; `None` if this node has no quota status.
    pub(super) fn record(&self, status: Option<QuotaStatus>) {
        self.allocation.clear();
        self.used.clear();
        self.version.clear();
        self.oldest_change.clear();
        self.cells_behind.clear();
        self.refused_cells.clear();
        let Some(status) = status else {
            return;
        };
        for quota in status.teams {
            let team = TeamLabels { team: quota.team };
            self.allocation
                .get_or_create(&team)
                .set(quota.allocated_units);
            self.used.get_or_create(&team).set(quota.used_units);
            self.version
                .get_or_create(&team)
                .set(quota.quota_version as i64);
        }
        for (cell, teams) in status.outdated_teams_by_cell {
            let cell = CellLabels { cell };
            self.cells_behind.get_or_create(&cell).set(teams as i64);
        }
        let own_cell = CellLabels {
            cell: status.own_cell,
        };
        let seconds = status.oldest_change_ms as f64 / 1000.0;
        self.oldest_change.get_or_create(&own_cell).set(seconds);
        self.refused_cells
            .get_or_create(&own_cell)
            .set(status.rejected_messages as i64);
    }
}
