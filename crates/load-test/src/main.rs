//! Load test: runs real dalelb controllers on loopback against emulated workers, users, a state service and a cloud,
//! and measures how their resource usage grows with the load.

mod controller_process;
mod drill;
mod experiment;
mod invariants;
mod linear_fit;
mod measure;
mod region;
mod report_page;
mod settings;
mod user_load;

use std::{
    io::IsTerminal,
    path::{Path, PathBuf},
    process::ExitCode,
    time::{Duration, Instant},
};

use clap::{Parser, Subcommand};
use experiment::RunPaths;
use measure::Point;
use region::RunError;
use serde::{Deserialize, Serialize};
use settings::{Plan, Settings};

/// The arguments, the settings file or a result file is invalid.
const EXIT_BAD_INPUT: u8 = 2;
/// An experiment failed before its end.
const EXIT_FAILED: u8 = 3;
/// A protocol invariant was violated.
const EXIT_INVARIANT_VIOLATED: u8 = 4;
/// The page does not match the results.
const EXIT_OUTDATED_PAGE: u8 = 5;
/// Interrupted by SIGINT or SIGTERM.
const EXIT_INTERRUPTED: u8 = 130;

/// Upper bound on the wait for the tasks of a runtime to reach a point at which they can be dropped.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Measures how the resource usage of dalelb's controllers grows with the load.
///
/// Starts real controllers (`dalelb serve`) on addresses in 127.0.0.0/8 and emulates everything else in this process:
/// a state service and a cloud with rate limits, users, and workers that report tasks as running without executing
/// anything. Exit codes: 0 success; 2 invalid arguments or files; 3 an experiment failed; 4 a protocol invariant was
/// violated; 5 the page is outdated; 130 interrupted. The results of completed experiments are kept in every case.
#[derive(Parser)]
#[command(name = "dalelb-load-test", version, about, long_about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the experiments of a settings file one after another.
    Run {
        /// Settings file (TOML): a table `base` with a deployment and its load, and any number of `sweep` tables,
        /// each with `vary` (workers, starts_per_s, run_s, teams or finished_jobs) and `values`.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Result file (JSON); rewritten after each experiment.
        #[arg(long, value_name = "FILE")]
        result: PathBuf,
        /// The controller program [default: `dalelb` in this program's directory].
        #[arg(long, value_name = "PROGRAM")]
        dalelb: Option<PathBuf>,
        /// Only print the planned experiments and their estimated memory usage.
        #[arg(long)]
        dry_run: bool,
    },
    /// Update the measurements on the capacity page from result files.
    Page {
        /// Result files written by `run`.
        #[arg(required = true, value_name = "RESULT")]
        results: Vec<PathBuf>,
        /// The page; the section between its two marker lines is regenerated.
        #[arg(long, value_name = "FILE")]
        page: PathBuf,
        /// Write nothing; fail if the page does not match the results.
        #[arg(long)]
        check: bool,
    },
}

/// The content of a result file.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Results {
    /// The completed runs in execution order.
    pub points: Vec<Point>,
}

impl Results {
    /// Reads a result file.
    fn load(path: &Path) -> Result<Self, String> {
        let display_path = path.display();
        let text =
            std::fs::read_to_string(path).map_err(|error| format!("{display_path}: {error}"))?;
        serde_json::from_str(&text).map_err(|error| format!("{display_path}: {error}"))
    }

    /// Replaces the file atomically, so that an interrupted run leaves a complete file.
    fn save(&self, path: &Path) -> Result<(), RunError> {
        let temporary_path = path.with_extension("tmp");
        let text = serde_json::to_string_pretty(self).expect("results are plain data");
        std::fs::write(&temporary_path, text + "\n")
            .and_then(|()| std::fs::rename(&temporary_path, path))
            .map_err(|source| RunError::Write {
                path: path.display().to_string(),
                source,
            })
    }
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run {
            settings,
            result,
            dalelb,
            dry_run,
        } => run(&settings, &result, dalelb, dry_run),
        Command::Page {
            results,
            page,
            check,
        } => write_page(&results, &page, check),
    }
}

/// Prints the error on one line of standard error and returns the exit code.
fn fail(error: &dyn std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("dalelb-load-test: {error}");
    ExitCode::from(code)
}

fn run(settings: &Path, result: &Path, dalelb: Option<PathBuf>, dry_run: bool) -> ExitCode {
    let settings = match Settings::load(settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, EXIT_BAD_INPUT),
    };
    let plans = settings.plans();
    if dry_run {
        for plan in &plans {
            println!("{}", describe(plan));
        }
        return ExitCode::SUCCESS;
    }
    let default_program =
        std::env::current_exe().map(|executable| executable.with_file_name("dalelb"));
    let program = dalelb.unwrap_or(default_program.unwrap_or_default());
    if !program.is_file() {
        let missing = format!("{}: controller program not found", program.display());
        return fail(&missing, EXIT_BAD_INPUT);
    }
    match run_all(&plans, result, program) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(violation_count) => fail(
            &format!("{violation_count} invariant violations, see the result file"),
            EXIT_INVARIANT_VIOLATED,
        ),
        Err(RunError::Interrupted) => fail(&RunError::Interrupted, EXIT_INTERRUPTED),
        Err(error) => fail(&error, EXIT_FAILED),
    }
}

fn describe(plan: &Plan) -> String {
    let experiment = &plan.experiment;
    let varied = match plan.varied {
        Some((vary, value, _)) => format!("{} {value}, run {}", vary.name(), plan.run),
        None => "base".to_owned(),
    };
    format!(
        "{varied}: {} x {} workers, {} starts/s each, {} controllers, {:.1} GB at most",
        experiment.regions,
        experiment.workers,
        experiment.starts_per_s,
        experiment.process_count(),
        experiment.estimated_memory_bytes() as f64 / 1e9
    )
}

/// Runs the plans and returns the number of invariant violations.
fn run_all(plans: &[Plan], result: &Path, program: PathBuf) -> Result<u64, RunError> {
    let mut results = Results::default();
    results.save(result)?;
    let directory = experiment::work_directory(&std::env::temp_dir())?;
    let paths = RunPaths { program, directory };
    let (mut violation_count, started_at) = (0, Instant::now());
    for (number, plan) in plans.iter().enumerate() {
        progress(number, plans.len(), started_at, &describe(plan));
        let point = run_on_new_runtime(plan, &paths)?;
        violation_count += point.violation_count;
        results.points.push(point);
        results.save(result)?;
    }
    progress(plans.len(), plans.len(), started_at, "done\n");
    if violation_count == 0 {
        let _ = std::fs::remove_dir_all(&paths.directory);
    } else {
        eprintln!("logs: {}", paths.directory.display());
    }
    Ok(violation_count)
}

/// Runs one plan on its own runtime; shutting the runtime down drops the plan's listeners and workers.
fn run_on_new_runtime(plan: &Plan, paths: &RunPaths) -> Result<Point, RunError> {
    let runtime = tokio::runtime::Runtime::new().map_err(RunError::Runtime)?;
    let outcome = runtime.block_on(async {
        // An interrupt drops this future, which kills the controllers.
        tokio::select! {
            outcome = experiment::run_plan(plan, paths) => outcome,
            () = wait_for_signal() => Err(RunError::Interrupted),
        }
    });
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    outcome
}

/// Completes on SIGINT or SIGTERM.
async fn wait_for_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        let _ = tokio::signal::ctrl_c().await;
        return;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
}

/// Prints a progress line; on a terminal it overwrites the previous one.
fn progress(done: usize, total: usize, started_at: Instant, status: &str) {
    let seconds = started_at.elapsed().as_secs();
    let line = format!("[{done}/{total}] {seconds} s  {status}");
    if std::io::stderr().is_terminal() {
        eprint!("\r\x1b[K{line}");
    } else {
        eprintln!("{line}");
    }
}

fn write_page(results: &[PathBuf], page: &Path, check: bool) -> ExitCode {
    let mut points = Vec::new();
    for path in results {
        match Results::load(path) {
            Ok(results) => points.push(results.points),
            Err(error) => return fail(&error, EXIT_BAD_INPUT),
        }
    }
    let display_path = page.display();
    let text = match std::fs::read_to_string(page) {
        Ok(text) => text,
        Err(error) => return fail(&format!("{display_path}: {error}"), EXIT_BAD_INPUT),
    };
    let updated = match report_page::update_page(&text, &points) {
        Ok(updated) => updated,
        Err(error) => return fail(&format!("{display_path}: {error}"), EXIT_BAD_INPUT),
    };
    if updated == text {
        return ExitCode::SUCCESS;
    }
    if check {
        return fail(
            &format!("{display_path} does not match these results"),
            EXIT_OUTDATED_PAGE,
        );
    }
    match std::fs::write(page, updated) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&format!("{display_path}: {error}"), EXIT_BAD_INPUT),
    }
}
