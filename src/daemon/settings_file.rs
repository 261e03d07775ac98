//! The settings file while the process runs: its teams are read again when it changes.

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

/// How often the file's metadata is read.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What differs once a file has been written again.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileFingerprint {
    modified_at: SystemTime,
    len_bytes: u64,
}

impl FileFingerprint {
    /// `None`: the file can't be read now.
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileFingerprint {
            modified_at: metadata.modified().ok()?,
            len_bytes: metadata.len(),
        })
    }
}

/// Why changed settings are not applied.
#[derive(Debug, thiserror::Error)]
enum SettingsError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Cells(#[from] CellError),
}

/// Sends the teams to the event loop whenever the file has changed and is valid. Otherwise logs the
/// errors on one line and keeps the settings in force. Returns when the event loop is gone.
pub(super) async fn watch_settings_file(path: PathBuf, commands: mpsc::UnboundedSender<Command>) {
    let mut known = FileFingerprint::of(&path);
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    loop {
        poll.tick().await;
        let current = FileFingerprint::of(&path);
        if current == known {
            continue;
        }
        known = current;
        match load_teams(&path) {
            Ok(teams) => {
                if commands.send(Command::TeamsChanged(teams)).is_err() {
                    return;
                }
            }
            Err(error) => tracing::error!(%error, "the settings before stay in force"),
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
