//! The settings that all nodes of a deployment share.

use serde::Deserialize;

use super::{
    state_limits::StateLimits,
    team::{self, Team},
};

/// The most zones in a deployment.
const MAX_ZONES: usize = 64;
/// Fewest sockets that a node can work with.
const MIN_SOCKETS: u32 = 32;

/// The settings of all nodes.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The zones in which machines can be provisioned.
    pub zones: Vec<String>,
    /// The teams that submit jobs.
    pub teams: Vec<Team>,
    /// Targets for how soon jobs start or finish.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and time limits of workers: heartbeats, leases and cancellations.
    pub workers: WorkerTimings,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of each node.
    #[serde(default)]
    pub limits: NodeLimits,
    /// Most that the clock of a node may differ from the true time of day, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
}

/// Resource limits of a node's own process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct NodeLimits {
    /// Number of open sockets.
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

/// A target for starting or finishing jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// The kind of target.
    pub kind: String,
    /// The workload class that it applies to; `None` for all classes.
    #[serde(default)]
    pub class: Option<String>,
    /// The target time in seconds.
    #[serde(default)]
    #[serde(rename = "within_s")]
    pub target_s: Option<f64>,
    /// For targets relative to the job's own deadline: the factor by which that is multiplied.
    #[serde(default)]
    pub times: Option<f64>,
    /// The fraction of jobs that should meet the target, 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Intervals and time limits of workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    /// The interval between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub report_interval_s: f64,
    /// How long a worker keeps running tasks after the last renewal of its lease.
    #[serde(rename = "lease_s")]
    pub lease_ttl_s: f64,
    /// The time within which all tasks of a cancelled job must have ended.
    #[serde(rename = "cancel_s")]
    pub cancellation_bound_s: f64,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Total requests per second from all nodes.
    pub rps: f64,
    /// Most that the machine list may lag behind the actual state, in seconds.
    #[serde(default)]
    pub list_lag_s: f64,
}

impl Settings {
    /// All errors in the values; each names its field.
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
