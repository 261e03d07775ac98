//! What the platform sets for the whole deployment.

use serde::Deserialize;

use super::{
    state_limits::StateLimits,
    team::{self, Team},
};

/// Most zones of a deployment.
const MAX_ZONES: usize = 64;
/// Fewest sockets that a node can work with.
const MIN_SOCKETS: u32 = 32;

/// The settings of all nodes.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Where machines can be rented.
    pub zones: Vec<String>,
    /// Who submits jobs.
    pub teams: Vec<Team>,
    /// How soon jobs should start or finish.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Reports, leases and cancellations of workers.
    pub workers: WorkerTimings,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of each node.
    #[serde(default)]
    pub limits: NodeLimits,
    /// How far the clocks of nodes may differ from the time of day, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
}

/// What a node itself may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct NodeLimits {
    /// Open sockets.
    pub sockets: u32,
    /// Memory in megabytes.
    pub mem_mb: f64,
}

impl Default for NodeLimits {
    fn default() -> Self {
        NodeLimits {
            sockets: 1024,
            mem_mb: 256.0,
        }
    }
}

/// An aim for starting or finishing jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is aimed at.
    pub kind: String,
    /// The class of jobs; `None`: all.
    #[serde(default)]
    pub class: Option<String>,
    /// The time aimed at, in seconds.
    #[serde(default)]
    #[serde(rename = "within_s")]
    pub target_s: Option<f64>,
    /// Of a deadline: how many times the job's own.
    #[serde(default)]
    pub times: Option<f64>,
    /// The part of the jobs that should reach it, 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Times of workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    /// Between two reports of a worker.
    #[serde(rename = "report_s")]
    pub report_interval_s: f64,
    /// How long a worker runs tasks without a renewal of its lease.
    #[serde(rename = "lease_s")]
    pub lease_ttl_s: f64,
    /// Within which a cancelled job has ended everywhere.
    #[serde(rename = "cancel_s")]
    pub cancellation_bound_s: f64,
}

/// What the cloud accepts.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second of all nodes together.
    pub rps: f64,
    /// How old the list of machines may be, in seconds.
    #[serde(default)]
    pub list_lag_s: f64,
}

impl Settings {
    /// Everything wrong with the values, each error naming its field.
    pub(super) fn validation_errors(&self) -> Vec<String> {
        let mut errors = zone_errors(&self.zones);
        errors.extend(team::validation_errors(&self.teams));
        errors.extend(self.workers.amount_errors());
        errors.extend(self.cloud.rate_errors());
        errors.extend(self.workers.relation_errors());
        errors.extend(self.limits.validation_errors());
        errors.extend(self.state.validation_errors());
        errors.extend(self.cloud.list_errors());
        errors
    }
}

impl WorkerTimings {
    fn amount_errors(&self) -> Vec<String> {
        let amounts = [
            ("workers.report_s", self.report_interval_s),
            ("workers.lease_s", self.lease_ttl_s),
            ("workers.cancel_s", self.cancellation_bound_s),
        ];
        let errors = amounts.map(|(field, value)| positive_error(field, value));
        errors.into_iter().flatten().collect()
    }

    fn relation_errors(&self) -> Option<String> {
        (self.cancellation_bound_s <= self.lease_ttl_s)
            .then(|| "settings.workers.cancel_s: must be above workers.lease_s".into())
    }
}

impl NodeLimits {
    fn validation_errors(&self) -> Option<String> {
        (self.sockets < MIN_SOCKETS)
            .then(|| format!("settings.limits.sockets: must be at least {MIN_SOCKETS}"))
    }
}

impl CloudLimits {
    fn rate_errors(&self) -> Option<String> {
        positive_error("cloud.rps", self.rps)
    }

    fn list_errors(&self) -> Option<String> {
        (!self.list_lag_s.is_finite() || self.list_lag_s < 0.0)
            .then(|| "settings.cloud.list_lag_s: must not be negative".into())
    }
}

fn zone_errors(zones: &[String]) -> Vec<String> {
    let mut errors = Vec::new();
    if zones.is_empty() {
        errors.push("settings.zones: names no zone".into());
    }
    if zones.len() > MAX_ZONES {
        errors.push(format!("settings.zones: more than {MAX_ZONES} zones"));
    }
    errors
}

fn positive_error(field: &str, value: f64) -> Option<String> {
    (!value.is_finite() || value <= 0.0).then(|| format!("settings.{field}: must be above 0"))
}
