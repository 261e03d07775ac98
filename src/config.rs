//! The settings file that the platform hands over, checked.

use std::{collections::HashSet, fs, net::SocketAddrV4, path::Path};

use serde::Deserialize;

use crate::cells::CellTopology;

#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    pub label: String,
    /// The zone of this node.
    #[serde(rename = "domain")]
    pub zone: String,
    pub listen: SocketAddrV4,
    pub mesh_addr: SocketAddrV4,
    #[serde(default)]
    pub members: Vec<Member>,
    pub services: Services,
    pub settings: Settings,
    /// The cells that share the teams' quotas: named by flags, not by the file. Without any, this deployment keeps
    /// the limits of the file by itself.
    #[serde(skip)]
    pub cells: Option<CellTopology>,
}

/// Another node of this deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub label: String,
    #[serde(rename = "domain")]
    pub zone: String,
    pub address: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerTimings,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    #[serde(default)]
    pub limits: NodeLimits,
    /// How far the time of day may be off.
    #[serde(default)]
    pub clock_error_ms: f64,
}

/// What a node itself may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct NodeLimits {
    pub sockets: u32,
    /// Megabytes.
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

/// Guarantees and limits; 0 means none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim for starting or finishing.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    #[serde(rename = "within_s")]
    pub target_s: Option<f64>,
    /// Of a deadline: how many times the job's own.
    #[serde(default)]
    pub times: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    #[serde(rename = "report_s")]
    pub report_interval_s: f64,
    #[serde(rename = "lease_s")]
    pub lease_ttl_s: f64,
    #[serde(rename = "cancel_s")]
    pub cancellation_bound_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub max_txn_ops: u32,
    /// What the state service will take from some moment on that it does not announce.
    #[serde(default)]
    #[serde(rename = "next")]
    pub upcoming: Option<UpcomingStateLimits>,
}

/// Limits to come; what is not named stays as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct UpcomingStateLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    #[serde(rename = "value_kb")]
    pub max_value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    pub max_txn_ops: Option<u32>,
}

impl UpcomingStateLimits {
    fn validation_errors(&self, path: &str) -> Vec<String> {
        let mut found = Vec::new();
        for (field, value) in [("rps", self.rps), ("write_rps", self.write_rps)] {
            if value.is_some_and(|value| !value.is_finite() || value <= 0.0) {
                found.push(format!("{path}.{field}: must be above 0"));
            }
        }
        if self
            .max_value_kb
            .is_some_and(|kb| !kb.is_finite() || kb < 2.0)
        {
            found.push(format!("{path}.value_kb: must be at least 2"));
        }
        if self.max_txn_ops.is_some_and(|ops| ops < 4) {
            found.push(format!("{path}.txn_ops: must be at least 4"));
        }
        found
    }
}

impl StateLimits {
    /// What is within the limits now and within those to come. Nobody tells when they change, and a
    /// transaction that was right when it was sent may be applied after that.
    pub fn strictest(&self) -> StateLimits {
        let next = self.upcoming.unwrap_or_default();
        let least = |now: f64, next: Option<f64>| next.map_or(now, |next| next.min(now));
        StateLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            max_value_kb: least(self.max_value_kb, next.max_value_kb),
            max_txn_ops: next
                .max_txn_ops
                .unwrap_or(self.max_txn_ops)
                .min(self.max_txn_ops),
            upcoming: None,
        }
    }

    /// The longest value that may be written, in bytes of JSON.
    pub fn max_value_bytes(&self) -> usize {
        (self.max_value_kb * 1024.0) as usize
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    #[serde(default)]
    pub list_lag_s: f64,
}

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("cannot read {path}: {source}")]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[error("{path}: {source}")]
    Parse {
        path: String,
        source: serde_json::Error,
    },
    #[error("{path}: {}", problems.join("; "))]
    Invalid { path: String, problems: Vec<String> },
}

impl Config {
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: shown.clone(),
            source,
        })?;
        let config: Config = serde_json::from_str(&text).map_err(|source| ConfigError::Parse {
            path: shown.clone(),
            source,
        })?;
        let problems = config.validation_errors();
        if problems.is_empty() {
            Ok(config)
        } else {
            Err(ConfigError::Invalid {
                path: shown,
                problems,
            })
        }
    }

    /// Everything wrong with the values, each naming its field.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut labels = HashSet::from([self.label.as_str()]);
        if self.label.is_empty() {
            found.push("label: is empty".into());
        }
        for member in &self.members {
            if member.label.is_empty() {
                found.push("members.label: is empty".into());
            } else if !labels.insert(&member.label) {
                found.push(format!("members.label: {:?} occurs twice", member.label));
            }
        }
        let settings = &self.settings;
        if settings.zones.is_empty() {
            found.push("settings.zones: names no zone".into());
        }
        if settings.zones.len() > 64 {
            found.push("settings.zones: more than 64 zones".into());
        }
        if settings.teams.is_empty() {
            found.push("settings.teams: names no team".into());
        }
        let mut teams = HashSet::new();
        for team in &settings.teams {
            if !teams.insert(&team.name) {
                found.push(format!("settings.teams.name: {:?} occurs twice", team.name));
            }
            for (field, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !value.is_finite() || value < 0.0 {
                    found.push(format!(
                        "settings.teams.{field}: {:?} has {value}, which is not an amount",
                        team.name
                    ));
                }
            }
        }
        let mut positive = |field: &str, value: f64| {
            if !value.is_finite() || value <= 0.0 {
                found.push(format!("settings.{field}: must be above 0"));
            }
        };
        positive("workers.report_s", settings.workers.report_interval_s);
        positive("workers.lease_s", settings.workers.lease_ttl_s);
        positive("workers.cancel_s", settings.workers.cancellation_bound_s);
        positive("cloud.rps", settings.cloud.rps);
        if settings.workers.cancellation_bound_s <= settings.workers.lease_ttl_s {
            found.push("settings.workers.cancel_s: must be above workers.lease_s".into());
        }
        if settings.limits.sockets < 32 {
            found.push("settings.limits.sockets: must be at least 32".into());
        }
        let state = &settings.state;
        let today = UpcomingStateLimits {
            rps: Some(state.rps),
            write_rps: Some(state.write_rps),
            max_value_kb: Some(state.max_value_kb),
            max_txn_ops: Some(state.max_txn_ops),
        };
        found.extend(today.validation_errors("settings.state"));
        if let Some(next) = &state.upcoming {
            found.extend(next.validation_errors("settings.state.next"));
        }
        if !settings.cloud.list_lag_s.is_finite() || settings.cloud.list_lag_s < 0.0 {
            found.push("settings.cloud.list_lag_s: must not be negative".into());
        }
        found
    }
}
