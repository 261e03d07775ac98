//! How quotas that cells share stand. Without cells there are no values, and so no lines.

use std::sync::atomic::{AtomicI64, AtomicU64};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};

use crate::coordination::QuotaStatus;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabels {
    team: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CellLabels {
    cell: String,
}

type FloatGauge = Gauge<f64, AtomicU64>;
type IntGauge = Gauge<i64, AtomicI64>;

/// Metrics of quotas.
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
    pub(super) fn register(&self, all: &mut Registry) {
        all.register(
            "quota_allocation",
            "Units that a team may use in this cell",
            self.allocation.clone(),
        );
        all.register(
            "quota_used",
            "Units that a team uses in this cell",
            self.used.clone(),
        );
        all.register(
            "quota_version",
            "The version of a team's quota that this cell has stored",
            self.version.clone(),
        );
        all.register_with_unit(
            "quota_oldest_change",
            "For how long the oldest change of a team whose home this cell is has waited to be in force everywhere",
            Unit::Seconds,
            self.oldest_change.clone(),
        );
        all.register(
            "quota_behind",
            "Teams whose latest quota is not in force in a cell, as their home knows",
            self.cells_behind.clone(),
        );
        all.register(
            "quota_refused",
            "Messages of other cells that were not taken",
            self.refused_cells.clone(),
        );
    }

    /// Takes over how quotas stand; `None`: this node has nothing to tell of them.
    pub(super) fn record(&self, status: Option<QuotaStatus>) {
        for each in [&self.allocation, &self.used] {
            each.clear();
        }
        self.version.clear();
        self.oldest_change.clear();
        for each in [&self.cells_behind, &self.refused_cells] {
            each.clear();
        }
        let Some(status) = status else {
            return;
        };
        for each in status.teams {
            let team = TeamLabels { team: each.team };
            self.allocation
                .get_or_create(&team)
                .set(each.allocated_units);
            self.used.get_or_create(&team).set(each.used_units);
            self.version
                .get_or_create(&team)
                .set(each.quota_version as i64);
        }
        for (cell, teams) in status.cells_behind {
            let cell = CellLabels { cell };
            self.cells_behind.get_or_create(&cell).set(teams as i64);
        }
        let own = CellLabels {
            cell: status.own_cell,
        };
        let seconds = status.oldest_change_ms as f64 / 1000.0;
        self.oldest_change.get_or_create(&own).set(seconds);
        self.refused_cells
            .get_or_create(&own)
            .set(status.rejected_messages as i64);
    }
}
