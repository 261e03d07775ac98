//! The settings file: one experiment, and what is varied in it.

use std::path::Path;

use serde::{Deserialize, Serialize};

/// The most that the tool and the controllers may hold together, in bytes.
pub const MAX_MEMORY_BYTES: u64 = 11 << 30;
/// The most processes that the tool may start.
pub const MAX_PROCESSES: usize = 300;

/// What a controller is taken to hold before it is measured: at rest, for each worker, each running task
/// and each finished job, in bytes. The tool's own share of a worker is in the second.
const CONTROLLER_BYTES: u64 = 24 << 20;
const WORKER_BYTES: u64 = 96 << 10;
const TASK_BYTES: u64 = 2 << 10;
const FINISHED_BYTES: u64 = 1 << 10;
/// Workers of one region have addresses in one /16.
const MAX_WORKERS: usize = 60_000;
/// Second numbers of addresses are 100 + region.
const MAX_REGIONS: usize = 100;

/// A settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// What holds unless a sweep varies it.
    #[serde(default)]
    pub base: Experiment,
    /// What is varied, one thing at a time. Without any, the base is run once.
    #[serde(default)]
    pub sweep: Vec<Sweep>,
}

/// One deployment and the load on it. Counts and rates are of each region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// Regions, each with a state service, a cloud, controllers, workers and users of its own.
    pub regions: usize,
    /// Zones of a region.
    pub zones: usize,
    /// Controllers of a region.
    pub nodes: usize,
    /// Hollow workers.
    pub workers: usize,
    /// CPUs of a worker.
    pub worker_cpus: f64,
    /// Teams.
    pub teams: usize,
    /// Array tasks that are to start each second.
    pub starts_per_s: f64,
    /// Tasks of an array.
    pub tasks_per_job: u32,
    /// How long an array's task runs, in seconds.
    pub run_s: f64,
    /// CPUs of an array's task.
    pub task_cpus: f64,
    /// The part of the arrays that are urgent.
    pub urgent_share: f64,
    /// The part of the arrays that are called off shortly after they were accepted.
    pub cancelled_share: f64,
    /// CPUs of the replica that each worker holds all along; 0: none.
    pub replica_cpus: f64,
    /// Jobs that had ended long before.
    pub finished_jobs: usize,
    /// Seconds between reports.
    pub report_s: f64,
    /// Life of a worker's session without an answer, in seconds.
    pub lease_s: f64,
    /// How soon a cancelled job's tasks have to be gone, in seconds.
    pub cancel_s: f64,
    /// The state service's requests a second.
    pub state_rps: f64,
    /// Its puts and deletes a second.
    pub state_write_rps: f64,
    /// What it takes to answer, in milliseconds.
    pub state_latency_ms: u64,
    /// Sockets that a controller may use.
    pub sockets: u32,
    /// Seconds of load before anything is measured.
    pub warm_up_s: f64,
    /// Seconds that are measured.
    pub measure_s: f64,
    /// End the leader after that and wait for its successor.
    pub takeover: bool,
    /// Ports `port` to `port` + 3 + regions are used.
    pub port: u16,
    /// What happens in the middle; without it the load is steady.
    pub drill: Option<Drill>,
}

/// Regions as cells that share the teams' quotas, under load, while troubles come one after the other. Limits
/// change all along.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drill {
    /// One way between two regions, in milliseconds.
    pub link_ms: u64,
    /// Changes of a team's limit each second.
    pub changes_per_s: f64,
    /// Steady seconds before the first trouble, and after each.
    pub steady_s: f64,
    /// A limit that was replaced may still be in force somewhere for that long, where all regions are reached.
    pub replaced_s: f64,
    /// For how long the second region is cut off from the others.
    pub cut_s: f64,
    /// Workers of the last region that are gone at once.
    pub rack: usize,
    /// A team's limit, as a multiple of what it uses in the mean: between these.
    pub limit_from: f64,
    /// See `limit_from`.
    pub limit_to: f64,
}

impl Default for Drill {
    fn default() -> Self {
        Drill {
            link_ms: 150,
            changes_per_s: 10.0,
            steady_s: 30.0,
            replaced_s: 20.0,
            cut_s: 120.0,
            rack: 40,
            limit_from: 1.2,
            limit_to: 2.0,
        }
    }
}

impl Default for Experiment {
    fn default() -> Self {
        Experiment {
            regions: 1,
            zones: 4,
            nodes: 3,
            workers: 1000,
            worker_cpus: 16.0,
            teams: 3,
            starts_per_s: 100.0,
            tasks_per_job: 50,
            run_s: 20.0,
            task_cpus: 0.5,
            urgent_share: 0.1,
            cancelled_share: 0.0,
            replica_cpus: 4.5,
            finished_jobs: 0,
            report_s: 6.0,
            lease_s: 31.0,
            cancel_s: 51.0,
            state_rps: 1200.0,
            state_write_rps: 450.0,
            state_latency_ms: 3,
            sockets: 18_000,
            warm_up_s: 8.0,
            measure_s: 12.0,
            takeover: true,
            port: 21_000,
            drill: None,
        }
    }
}

/// What a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SweepParameter {
    /// Workers of a region.
    Workers,
    /// Array tasks that start each second.
    StartsPerS,
    /// How long they run, and so how many run at once.
    RunS,
    /// Teams.
    Teams,
    /// Jobs that had ended before.
    FinishedJobs,
}

impl SweepParameter {
    /// Its name in the settings file.
    pub fn name(self) -> &'static str {
        match self {
            SweepParameter::Workers => "workers",
            SweepParameter::StartsPerS => "starts_per_s",
            SweepParameter::RunS => "run_s",
            SweepParameter::Teams => "teams",
            SweepParameter::FinishedJobs => "finished_jobs",
        }
    }
}

/// One thing that is varied.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Which.
    pub vary: SweepParameter,
    /// Its values.
    pub values: Vec<f64>,
    /// The value that is run several times, for the spread.
    #[serde(default)]
    pub repeat_at: Option<f64>,
    /// How often that is.
    #[serde(default = "default_repeats")]
    pub repeats: usize,
}

fn default_repeats() -> usize {
    3
}

/// One run of one experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// What is varied, its value, and its value in the base.
    pub varied: Option<(SweepParameter, f64, f64)>,
    /// The number of the run at this value, from 1.
    pub run: usize,
    /// What is run.
    pub experiment: Experiment,
}

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It is not to be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is no settings file.
    #[error("{path}: {reason}")]
    Parse {
        /// The file.
        path: String,
        /// What is wrong, on one line.
        reason: String,
    },
    /// Values make no sense.
    #[error("{path}: {}", problems.join("; "))]
    Invalid {
        /// The file.
        path: String,
        /// Each names its field.
        problems: Vec<String>,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: shown.clone(),
            source,
        })?;
        let settings: Settings = toml::from_str(&text).map_err(|error| SettingsError::Parse {
            path: shown.clone(),
            reason: one_line(&error, &text),
        })?;
        let problems = settings.validation_errors();
        if problems.is_empty() {
            return Ok(settings);
        }
        Err(SettingsError::Invalid {
            path: shown,
            problems,
        })
    }

    /// All runs, in their order.
    pub fn plans(&self) -> Vec<Plan> {
        if self.sweep.is_empty() {
            return vec![Plan {
                varied: None,
                run: 1,
                experiment: self.base.clone(),
            }];
        }
        let sweeps = self.sweep.iter();
        sweeps.flat_map(|sweep| sweep.plans(&self.base)).collect()
    }

    fn validation_errors(&self) -> Vec<String> {
        let mut found = self.base.validation_errors("base");
        for (number, sweep) in self.sweep.iter().enumerate() {
            let place = format!("sweep {} ({})", number + 1, sweep.vary.name());
            if sweep.values.is_empty() {
                found.push(format!("{place}: values: names none"));
            }
            if sweep.repeats == 0 {
                found.push(format!("{place}: repeats: must be at least 1"));
            }
            let repeated = sweep.repeat_at.iter();
            for at in repeated.filter(|at| !sweep.values.contains(at)) {
                found.push(format!("{place}: repeat_at: {at} is not among the values"));
            }
            for plan in sweep.plans(&self.base).iter().filter(|plan| plan.run == 1) {
                found.extend(plan.experiment.validation_errors(&place));
            }
        }
        found.sort();
        found.dedup();
        found
    }
}

/// What TOML says, without its excerpt of the file.
fn one_line(error: &toml::de::Error, text: &str) -> String {
    let line = error
        .span()
        .map(|span| text[..span.start.min(text.len())].lines().count().max(1));
    let message = error.message().replace('\n', " ");
    match line {
        Some(line) => format!("line {line}: {message}"),
        None => message,
    }
}

impl Sweep {
    fn plans(&self, base: &Experiment) -> Vec<Plan> {
        let mut plans = Vec::new();
        for &value in &self.values {
            let repeated = self.repeat_at == Some(value);
            let runs = if repeated { self.repeats } else { 1 };
            plans.extend((1..=runs).map(|run| Plan {
                varied: Some((self.vary, value, base.value(self.vary))),
                run,
                experiment: base.with(self.vary, value),
            }));
        }
        plans
    }
}

impl Experiment {
    /// The same with one thing changed.
    pub fn with(&self, varied: SweepParameter, value: f64) -> Self {
        let mut changed = self.clone();
        match varied {
            SweepParameter::Workers => changed.workers = value as usize,
            SweepParameter::StartsPerS => changed.starts_per_s = value,
            SweepParameter::RunS => changed.run_s = value,
            SweepParameter::Teams => changed.teams = value as usize,
            SweepParameter::FinishedJobs => changed.finished_jobs = value as usize,
        }
        changed
    }

    /// The value of what may be varied.
    pub fn value(&self, varied: SweepParameter) -> f64 {
        match varied {
            SweepParameter::Workers => self.workers as f64,
            SweepParameter::StartsPerS => self.starts_per_s,
            SweepParameter::RunS => self.run_s,
            SweepParameter::Teams => self.teams as f64,
            SweepParameter::FinishedJobs => self.finished_jobs as f64,
        }
    }

    /// Processes that it starts.
    pub fn process_count(&self) -> usize {
        self.regions * self.nodes
    }

    /// Tasks that run at once in a region.
    pub fn running_tasks(&self) -> f64 {
        let replicas = if self.replica_cpus > 0.0 {
            self.workers as f64
        } else {
            0.0
        };
        replicas + self.starts_per_s * self.run_s
    }

    /// What it is expected to hold at the most, with the tool itself, in bytes.
    pub fn estimated_memory_bytes(&self) -> u64 {
        let nodes = self.process_count() as u64;
        let per_region = self.workers as u64 * WORKER_BYTES
            + self.running_tasks() as u64 * TASK_BYTES
            + self.finished_jobs as u64 * FINISHED_BYTES;
        // The tool holds a region once, and so does each of its controllers.
        nodes * CONTROLLER_BYTES + (nodes + self.regions as u64) * per_region
    }

    #[expect(clippy::too_many_lines, reason = "still to be split")]
    fn validation_errors(&self, place: &str) -> Vec<String> {
        let mut found = Vec::new();
        let mut check = |holds: bool, what: &str| {
            if !holds {
                found.push(format!("{place}: {what}"));
            }
        };
        check(
            (1..=MAX_REGIONS).contains(&self.regions),
            "regions: must be 1 to 100",
        );
        check((1..=64).contains(&self.zones), "zones: must be 1 to 64");
        check((1..=50).contains(&self.nodes), "nodes: must be 1 to 50");
        check(
            (1..=MAX_WORKERS).contains(&self.workers),
            "workers: must be 1 to 60000",
        );
        check(
            (1..=10_000).contains(&self.teams),
            "teams: must be 1 to 10000",
        );
        check(
            (1..=100_000).contains(&self.tasks_per_job),
            "tasks_per_job: must be 1 to 100000",
        );
        for (name, value) in [
            ("worker_cpus", self.worker_cpus),
            ("run_s", self.run_s),
            ("task_cpus", self.task_cpus),
            ("report_s", self.report_s),
            ("lease_s", self.lease_s),
            ("state_rps", self.state_rps),
            ("state_write_rps", self.state_write_rps),
            ("measure_s", self.measure_s),
        ] {
            check(
                value.is_finite() && value > 0.0,
                &format!("{name}: must be above 0"),
            );
        }
        for (name, value) in [
            ("starts_per_s", self.starts_per_s),
            ("replica_cpus", self.replica_cpus),
            ("warm_up_s", self.warm_up_s),
        ] {
            check(
                value.is_finite() && value >= 0.0,
                &format!("{name}: must not be negative"),
            );
        }
        for (name, share) in [
            ("urgent_share", self.urgent_share),
            ("cancelled_share", self.cancelled_share),
        ] {
            check(
                (0.0..=1.0).contains(&share),
                &format!("{name}: must be 0 to 1"),
            );
        }
        check(
            self.cancel_s > self.lease_s,
            "cancel_s: must be above lease_s",
        );
        check(
            self.replica_cpus <= self.worker_cpus && self.task_cpus <= self.worker_cpus,
            "worker_cpus: a task or replica fits no worker",
        );
        if let Some(drill) = &self.drill {
            check(self.regions >= 2, "drill: needs two regions");
            check(drill.rack < self.workers, "drill.rack: more than there are");
            check(
                drill.limit_from > 0.0 && drill.limit_to >= drill.limit_from,
                "drill.limit_from: must be above 0 and not above limit_to",
            );
            check(
                drill.changes_per_s.is_finite() && drill.changes_per_s > 0.0,
                "drill.changes_per_s: must be above 0",
            );
        }
        check(
            usize::from(u16::MAX - self.port) > 3 + self.regions,
            "port: too high",
        );
        check(
            self.process_count() <= MAX_PROCESSES,
            &format!(
                "nodes: {} processes, {MAX_PROCESSES} at most",
                self.process_count()
            ),
        );
        check(
            self.estimated_memory_bytes() <= MAX_MEMORY_BYTES,
            &format!(
                "workers: {:.1} GB of memory expected, {:.1} at most",
                self.estimated_memory_bytes() as f64 / 1e9,
                MAX_MEMORY_BYTES as f64 / 1e9
            ),
        );
        found
    }
}

#[cfg(test)]
mod tests;
