//! Label sets and value types that several metrics share.

use std::sync::atomic::{AtomicI64, AtomicU64};

use prometheus_client::{encoding::EncodeLabelSet, metrics::gauge::Gauge};

use crate::coordination::WorkloadClassName;

pub(super) type FloatGauge = Gauge<f64, AtomicU64>;
pub(super) type IntGauge = Gauge<i64, AtomicI64>;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct TeamLabels {
    pub(super) team: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ClassLabels {
    pub(super) team: String,
    pub(super) class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct OutcomeLabels {
    pub(super) team: String,
    pub(super) class: String,
    pub(super) outcome: &'static str,
}

impl ClassLabels {
    pub(super) fn from_class(class: &WorkloadClassName) -> Self {
        ClassLabels {
            team: class.team.clone(),
            class: class.class.clone(),
        }
    }

    pub(super) fn with_outcome(&self, outcome: &'static str) -> OutcomeLabels {
        OutcomeLabels {
            team: self.team.clone(),
            class: self.class.clone(),
            outcome,
        }
    }
}
