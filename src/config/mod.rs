//! Reads and validates the settings file that the platform provides.

use std::{collections::HashSet, fs, net::SocketAddrV4, path::Path};

use serde::Deserialize;

use crate::cells::CellTopology;

mod settings;
mod state_limits;
mod team;

pub use settings::{CloudLimits, NodeLimits, Objective, Settings, WorkerTimings};
pub use state_limits::{StateLimits, UpcomingStateLimits};
pub use team::Team;

/// The settings of one node.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// The name of this node, unique among the nodes of the deployment.
    pub label: String,
    /// The zone of this node.
    #[serde(rename = "domain")]
    pub zone: String,
    /// The address at which this node accepts requests from users and workers.
    pub listen: SocketAddrV4,
    /// The address at which this node accepts requests from other nodes.
    pub mesh_addr: SocketAddrV4,
    /// The other nodes of this deployment.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The services that this node uses.
    pub services: Services,
    /// The settings of all nodes.
    pub settings: Settings,
    /// The cells that share the teams' quotas; set by flags, not by the file. `None`: quotas are not
    /// shared, and this deployment applies the limits in the file on its own.
    #[serde(skip)]
    pub cells: Option<CellTopology>,
}

/// Another node of this deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its name.
    pub label: String,
    /// Its zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// The address at which it accepts requests from other nodes.
    pub address: SocketAddrV4,
}

/// Addresses of the services.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud that provides machines.
    pub cloud: SocketAddrV4,
    /// The state service.
    pub state: SocketAddrV4,
}

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON, or a field is missing or has the wrong type.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: String,
        /// The error, with its position in the file.
        source: serde_json::Error,
    },
    /// Values are out of range or contradict each other.
    #[error("{path}: {}", problems.join("; "))]
    Invalid {
        /// The file.
        path: String,
        /// The errors; each names its field.
        problems: Vec<String>,
    },
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file can't be read, is malformed, or has invalid values.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let shown_path = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: shown_path.clone(),
            source,
        })?;
        let config: Config = serde_json::from_str(&text).map_err(|source| ConfigError::Parse {
            path: shown_path.clone(),
            source,
        })?;
        let problems = config.validation_errors();
        if problems.is_empty() {
            Ok(config)
        } else {
            Err(ConfigError::Invalid {
                path: shown_path,
                problems,
            })
        }
    }

    /// All errors in the values; each names its field.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = self.label_errors();
        errors.extend(self.settings.validation_errors());
        errors
    }

    fn label_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if self.label.is_empty() {
            errors.push("label: is empty".into());
        }
        let mut labels = HashSet::from([self.label.as_str()]);
        for member in &self.members {
            if member.label.is_empty() {
                errors.push("members.label: is empty".into());
            } else if !labels.insert(&member.label) {
                errors.push(format!("members.label: {:?} occurs twice", member.label));
            }
        }
        errors
    }
}

#[cfg(test)]
mod tests;
