//! Scenarios of the review. `dalelb-review-standins SCENARIO ROOT CASE_FOLDER TEMP_FOLDER` exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0`: without the disruption.

mod http;
mod store;
mod world;

mod mistaken_jobs;
mod short_tasks;
mod wrong_status;

use std::{path::PathBuf, process::ExitCode, time::Duration};

/// What a scenario is given.
pub struct Place {
    pub root: PathBuf,
    pub case: PathBuf,
    pub temp: PathBuf,
    pub trouble: bool,
}

/// How a scenario ended.
#[derive(Debug)]
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, root, case, temp] = &arguments[..] else {
        eprintln!("usage: SCENARIO ROOT CASE_FOLDER TEMP_FOLDER");
        return ExitCode::from(2);
    };
    let place = Place {
        root: root.into(),
        case: case.into(),
        temp: temp.into(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let outcome = tokio::task::LocalSet::new().block_on(&runtime, async {
        let run = async {
            match scenario.as_str() {
                "short-tasks" => short_tasks::run(place).await,
                "mistaken-jobs" => mistaken_jobs::run(place).await,
                "wrong-status" => wrong_status::run(place).await,
                other => Outcome::CouldNotRun(format!("no scenario {other}")),
            }
        };
        let limited = tokio::time::timeout(Duration::from_secs(118), run).await;
        limited.unwrap_or_else(|_| Outcome::CouldNotRun("took too long".into()))
    });
    println!("{scenario}: {outcome:?}");
    match outcome {
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::Broken => ExitCode::from(1),
        Outcome::CouldNotRun(_) => ExitCode::from(2),
    }
}
