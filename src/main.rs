//! The command line.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Parser, Subcommand};
use dalelb::{
    cells::{CellError, CellTopology, PeerCell},
    config::{Config, ConfigError},
    daemon::{self, DaemonError},
};
use tracing_subscriber::EnvFilter;

/// The exit code for invalid settings, or an address that can't be listened on.
const EXIT_FAILURE: u8 = 2;

#[derive(Parser)]
#[command(name = "dalelb", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Log level for standard error: error, warn, info, debug or trace.
    #[arg(long, env = "LOG_LEVEL", default_value = "info", global = true)]
    log_level: tracing::Level,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller node until it is killed.
    Serve {
        /// The settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The name of this cell. It shares the teams' limits and guarantees with the cells given by --peer-cell, and
        /// reloads the teams whenever the settings file changes.
        #[arg(long, value_name = "NAME", env = "DALELB_CELL")]
        cell: Option<String>,
        /// Another cell, and the addresses at which its controllers accept requests from other cells. Repeat the flag
        /// for each cell; in the environment variable, separate cells with semicolons.
        #[arg(
            long = "peer-cell",
            value_name = "NAME=ADDRESS:PORT[,ADDRESS:PORT...]",
            env = "DALELB_PEER_CELLS",
            value_delimiter = ';',
            requires = "cell"
        )]
        peer_cells: Vec<PeerCell>,
    },
    /// Check a settings file and report all errors in it.
    Check {
        /// The settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Cells(#[from] CellError),
    #[error(transparent)]
    Daemon(#[from] DaemonError),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match &cli.command {
        Command::Serve {
            config,
            cell,
            peer_cells,
        } => serve(config, cell.as_deref(), peer_cells, cli.log_level),
        Command::Check { config } => check(config),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dalelb: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn check(path: &Path) -> Result<(), CommandError> {
    Config::load(path)?;
    println!("{}: ok", path.display());
    Ok(())
}

fn serve(
    path: &Path,
    cell: Option<&str>,
    peer_cells: &[PeerCell],
    log_level: tracing::Level,
) -> Result<(), CommandError> {
    let mut config = Config::load(path)?;
    config.cells = match cell {
        Some(own_cell) => Some(cell_topology(&config, own_cell, peer_cells)?),
        None => None,
    };
    init_logging(log_level);
    daemon::run(config, path)?;
    Ok(())
}

fn init_logging(level: tracing::Level) {
    let filter = EnvFilter::new(format!("error,warp=off,dalelb={level}"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}

/// The cells that share quotas, including this one.
fn cell_topology(
    config: &Config,
    own_cell: &str,
    peer_cells: &[PeerCell],
) -> Result<CellTopology, CellError> {
    let teams = &config.settings.teams;
    CellTopology::validate_team_names(teams.iter().map(|team| team.name.as_str()))?;
    CellTopology::new(own_cell, peer_cells)
}
