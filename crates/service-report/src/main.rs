//! Reports from the logs of a run's nodes how much of the work of each workload class was served, and how much an
//! optimal schedule could have served.

mod log;
mod optimum;

use std::{fs, path::PathBuf, process::ExitCode};

use clap::Parser;

/// Reads the logs of all nodes of one run, merged or one after the other, and prints a line for each workload class.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Log files at level `info` or finer.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// The capacity of the fleet at its largest, in units (GPUs, or CPUs for tasks without GPUs). Also prints the
    /// fraction of each class's work that an optimal schedule could have served.
    #[arg(long)]
    units: Option<f64>,
    /// The most that a team may use at a time, in units, for example `team=5000`. It applies to the optimal
    /// schedule, where a team without a limit may use the whole capacity.
    #[arg(long, value_parser = parse_team_limit)]
    limit: Vec<(String, f64)>,
    /// Exits with an error if the fraction of a class's work that was served is less than this fraction, from 0 to
    /// 1, of what was possible (without --units: of all the requested work).
    #[arg(long)]
    least: Option<f64>,
}

fn parse_team_limit(text: &str) -> Result<(String, f64), String> {
    let (team, units) = text.split_once('=').ok_or("expected team=units")?;
    let units = units.parse().map_err(|_| "the units are not a number")?;
    Ok((team.to_owned(), units))
}

#[expect(clippy::too_many_lines, reason = "still to be split")]
fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut summary = log::LogSummary::default();
    for path in &arguments.logs {
        match fs::read(path) {
            Ok(bytes) => summary.parse(&String::from_utf8_lossy(&bytes)),
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                return ExitCode::from(2);
            }
        }
    }
    let limits = arguments.limit.iter().cloned().collect();
    let bounds = match arguments
        .units
        .map(|units| optimum::max_achievable_service(&summary, units, &limits))
    {
        Some(Ok(bounds)) => bounds,
        Some(Err(error)) => {
            eprintln!("the bound: {error}");
            return ExitCode::from(2);
        }
        None => Default::default(),
    };
    println!(
        "{:<32} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>7} {:>8}",
        "team/class",
        "came",
        "accepted",
        "away",
        "given up",
        "tasks",
        "started",
        "done",
        "lost to",
        "served",
        "possible"
    );
    let mut underserved = Vec::new();
    for (name, class) in summary.classes() {
        let served = class.served_share();
        let possible = bounds.get(name).copied();
        let possible_text = possible.map_or("-".into(), |fraction| format!("{fraction:.3}"));
        println!(
            "{:<32} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>7.3} {:>8}",
            format!("{}/{}", name.0, name.1),
            class.submitted(),
            class.jobs,
            class.deferred(),
            class.abandoned(),
            class.tasks,
            class.started(),
            class.done(),
            class.preempted(),
            served,
            possible_text
        );
        if arguments
            .least
            .is_some_and(|least| served < least * possible.unwrap_or(1.0))
        {
            underserved.push(format!("{}/{}", name.0, name.1));
        }
    }
    if !underserved.is_empty() {
        eprintln!("served too little: {}", underserved.join(", "));
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
