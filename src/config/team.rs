//! The teams that share the cluster.

use std::collections::HashSet;

use serde::Deserialize;

/// A team's guarantees and limits; 0 means none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name, as given in submissions.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Limit on processors.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit on GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    fn validation_errors(&self) -> Vec<String> {
        let amounts = [
            ("cpus", self.cpus),
            ("cpus_max", self.cpus_max),
            ("gpus", self.gpus),
            ("gpus_max", self.gpus_max),
        ];
        amounts
            .into_iter()
            .filter(|(_, value)| !value.is_finite() || *value < 0.0)
            .map(|(field, value)| {
                format!(
                    "settings.teams.{field}: {:?} has {value}, which is not an amount",
                    self.name
                )
            })
            .collect()
    }
}

/// All errors in the teams; each names its field.
pub(super) fn validation_errors(teams: &[Team]) -> Vec<String> {
    let mut errors = Vec::new();
    if teams.is_empty() {
        errors.push("settings.teams: names no team".into());
    }
    let mut names = HashSet::new();
    for team in teams {
        if !names.insert(&team.name) {
            errors.push(format!("settings.teams.name: {:?} occurs twice", team.name));
        }
        errors.extend(team.validation_errors());
    }
    errors
}
