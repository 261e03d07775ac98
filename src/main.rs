//! The command line.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};
use dalelb::{config::Config, daemon};
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
    let (Command::Serve { config: path } | Command::Check { config: path }) = &cli.command;
    let config = match Config::load(path) {
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
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(format!(
            "error,warp=off,dalelb={}",
            cli.log_level
        )))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
    match daemon::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dalelb: {error}");
            ExitCode::from(2)
        }
    }
}
