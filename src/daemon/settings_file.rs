//! Watches the settings file while the process runs, and reloads its teams when it changes.

use std::{
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use tokio::sync::mpsc;

use crate::{
    cells::{CellError, CellTopology},
    config::{Config, ConfigError, Team},
    coordination::Command,
};

/// Interval at which the file's metadata is read.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Metadata that changes when a file is written.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileFingerprint {
    modified_at: SystemTime,
    len_bytes: u64,
}

impl FileFingerprint {
    /// The fingerprint of the file; `None` if its metadata can't be read.
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileFingerprint {
            modified_at: metadata.modified().ok()?,
            len_bytes: metadata.len(),
        })
    }
}

/// Why changed settings were not applied.
#[derive(Debug, thiserror::Error)]
enum SettingsError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Cells(#[from] CellError),
}

/// Sends the teams to the event loop whenever the file has changed and is valid. If it is invalid,
/// logs the errors on one line, and the settings in force remain. Returns when the event loop has
/// stopped.
pub(super) async fn watch_settings_file(path: PathBuf, commands: mpsc::UnboundedSender<Command>) {
    let mut last_fingerprint = FileFingerprint::of(&path);
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    loop {
        poll.tick().await;
        let fingerprint = FileFingerprint::of(&path);
        if fingerprint == last_fingerprint {
            continue;
        }
        last_fingerprint = fingerprint;
        match load_teams(&path) {
            Ok(teams) => {
                if commands.send(Command::TeamsChanged(teams)).is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::error!(%error, "invalid settings file: previous settings stay in force")
            }
        }
    }
}

fn load_teams(path: &Path) -> Result<Vec<Team>, SettingsError> {
    let teams = Config::load(path)?.settings.teams;
    CellTopology::validate_team_names(teams.iter().map(|team| team.name.as_str()))?;
    Ok(teams)
}

#[cfg(test)]
mod tests;
