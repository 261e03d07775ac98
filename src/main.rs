//! The command line.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};
use dalelb::{
    cells::{CellError, CellTopology, PeerCell},
    config::Config,
    daemon,
};
use tracing_subscriber::EnvFilter;

#[derive(Parser)]
#[command(name = "dalelb", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// How much to log to standard error: error, warn, info, debug or trace.
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
        /// The name of this cell: it shares the teams' limits and guarantees with the cells named by --peer-cell, and
        /// reads the teams again whenever the settings file changes.
        #[arg(long, value_name = "NAME", env = "DALELB_CELL")]
        cell: Option<String>,
        /// Another cell, and where its controllers take requests from others. Once for each; in the variable, one
        /// after the other with semicolons between.
        #[arg(
            long = "peer-cell",
            value_name = "NAME=ADDRESS:PORT[,ADDRESS:PORT...]",
            env = "DALELB_PEER_CELLS",
            value_delimiter = ';',
            requires = "cell"
        )]
        peer_cells: Vec<PeerCell>,
    },
    /// Check a settings file and say everything that is wrong with it.
    Check {
        /// The settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (Command::Serve { config: path, .. } | Command::Check { config: path }) = &cli.command;
    let mut config = match Config::load(path) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("dalelb: {error}");
            return ExitCode::from(2);
        }
    };
    if matches!(cli.command, Command::Check { .. }) {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    config.cells = match parse_cell_topology(&cli.command, &config) {
        Ok(cells) => cells,
        Err(error) => {
            eprintln!("dalelb: {error}");
            return ExitCode::from(2);
        }
    };
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(format!(
            "error,warp=off,dalelb={}",
            cli.log_level
        )))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
    match daemon::run(config, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dalelb: {error}");
            ExitCode::from(2)
        }
    }
}

/// The cells that share quotas, if operators name this one.
fn parse_cell_topology(
    command: &Command,
    config: &Config,
) -> Result<Option<CellTopology>, CellError> {
    let Command::Serve {
        cell: Some(own),
        peer_cells,
        ..
    } = command
    else {
        return Ok(None);
    };
    let teams = &config.settings.teams;
    CellTopology::validate_team_names(teams.iter().map(|team| team.name.as_str()))?;
    CellTopology::new(own, peer_cells).map(Some)
}
