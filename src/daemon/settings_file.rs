//! The settings file while the service runs: its teams are read again when it changes.

use std::{
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use tokio::sync::mpsc;

use crate::{cells::CellTopology, config::Config, coordination::Command};

/// How often the file is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What shows that a file was written again.
type FileFingerprint = Option<(SystemTime, u64)>;

fn fingerprint(path: &Path) -> FileFingerprint {
    let file = std::fs::metadata(path).ok()?;
    Some((file.modified().ok()?, file.len()))
}

/// Tells the owner of the teams whenever the file has changed and has no mistake. With a mistake, which is told of on
/// one line, all stays as it was. Returns when the owner is gone.
pub async fn watch_settings_file(path: PathBuf, owner: mpsc::UnboundedSender<Command>) {
    let mut known = fingerprint(&path);
    let mut clock = tokio::time::interval(POLL_INTERVAL);
    loop {
        clock.tick().await;
        let now = fingerprint(&path);
        if now == known {
            continue;
        }
        known = now;
        let teams = match Config::load(&path) {
            Ok(config) => config.settings.teams,
            Err(error) => {
                tracing::error!(%error, "the settings before stay in force");
                continue;
            }
        };
        if let Err(error) = CellTopology::validate_teams(&teams) {
            tracing::error!(%error, "the settings before stay in force");
            continue;
        }
        if owner.send(Command::TeamsChanged(teams)).is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
