//! How each class of each team was served, from the logs of a run's nodes at level `info` or finer, and what
//! would have been possible by an offline bound.

mod log;
mod optimum;

use std::{fs, path::PathBuf, process::ExitCode};

use clap::Parser;

/// Reads the logs of all nodes of one run, merged or one after the other, and prints a line for each class.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Log files at level `info` or finer.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// What the whole fleet holds at its largest, in units (GPUs, or CPUs where there are none): also prints what
    /// an offline bound says was possible.
    #[arg(long)]
    units: Option<f64>,
    /// What a team may use at a time, in units: `team=5000`. For the bound; without it a team may have all.
    #[arg(long, value_parser = limit)]
    limit: Vec<(String, f64)>,
    /// Ends with an error if a class was served less than this part of what was possible (or of all that it asked
    /// for, without --units), from 0 to 1.
    #[arg(long)]
    least: Option<f64>,
}

fn limit(text: &str) -> Result<(String, f64), String> {
    let (team, units) = text.split_once('=').ok_or("it is no team=units")?;
    let units = units.parse().map_err(|_| "the units are no number")?;
    Ok((team.to_owned(), units))
}

#[expect(clippy::too_many_lines, reason = "still to be split")]
fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut run = log::LogSummary::default();
    for path in &arguments.logs {
        match fs::read(path) {
            Ok(bytes) => run.parse(&String::from_utf8_lossy(&bytes)),
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                return ExitCode::from(2);
            }
        }
    }
    let limits = arguments.limit.iter().cloned().collect();
    let bounds = match arguments
        .units
        .map(|units| optimum::max_achievable_service(&run, units, &limits))
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
    let mut poor = Vec::new();
    for (name, class) in run.classes() {
        let served = class.served_share();
        let possible = bounds.get(name).copied();
        let shown = possible.map_or("-".into(), |part| format!("{part:.3}"));
        println!(
            "{:<32} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>7.3} {:>8}",
            format!("{}/{}", name.0, name.1),
            class.submitted(),
            class.jobs,
            class.rejected(),
            class.abandoned(),
            class.tasks,
            class.started(),
            class.done(),
            class.preempted(),
            served,
            shown
        );
        if arguments
            .least
            .is_some_and(|least| served < least * possible.unwrap_or(1.0))
        {
            poor.push(format!("{}/{}", name.0, name.1));
        }
    }
    if !poor.is_empty() {
        eprintln!("served too little: {}", poor.join(", "));
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
