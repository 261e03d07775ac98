//! The settings file while the service runs: its teams are read again when it changes.

use std::{
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use tokio::sync::mpsc;

use crate::{cells::Cells, config::Config, coordination::Command};

/// How often the file is looked at.
const LOOK: Duration = Duration::from_millis(250);

/// What shows that a file was written again.
type Mark = Option<(SystemTime, u64)>;

fn mark(path: &Path) -> Mark {
    let file = std::fs::metadata(path).ok()?;
    Some((file.modified().ok()?, file.len()))
}

/// Tells the owner of the teams whenever the file has changed and has no mistake. With a mistake, which is told of on
/// one line, all stays as it was. Returns when the owner is gone.
pub async fn follow(path: PathBuf, owner: mpsc::UnboundedSender<Command>) {
    let mut known = mark(&path);
    let mut clock = tokio::time::interval(LOOK);
    loop {
        clock.tick().await;
        let now = mark(&path);
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
        if let Err(error) = Cells::check_teams(&teams) {
            tracing::error!(%error, "the settings before stay in force");
            continue;
        }
        if owner.send(Command::Teams(teams)).is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
