//! The settings file: a base experiment and the parameter sweeps over it.

use std::path::Path;

use serde::{Deserialize, Serialize};

/// Upper bound on the resident memory of the tool and all controllers together, in bytes.
pub const MAX_MEMORY_BYTES: u64 = 11 << 30;
/// Upper bound on the number of controller processes of one experiment.
pub const MAX_PROCESSES: usize = 300;

/// Estimated memory of a controller in bytes: idle, for each worker, each running task and each finished job.
/// `WORKER_BYTES` includes the memory of the tool itself for a worker.
const CONTROLLER_BYTES: u64 = 24 << 20;
const WORKER_BYTES: u64 = 96 << 10;
const TASK_BYTES: u64 = 2 << 10;
const FINISHED_BYTES: u64 = 1 << 10;
/// All workers of a region have addresses in one /16 network.
const MAX_WORKERS: usize = 60_000;
/// The second octet of worker addresses is 100 + region.
const MAX_REGIONS: usize = 100;

/// The content of a settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The base values; each sweep replaces one of them.
    #[serde(default)]
    pub base: Experiment,
    /// The sweeps, each over one parameter. Without sweeps, the base is run once.
    #[serde(default)]
    pub sweep: Vec<Sweep>,
}

/// A deployment and the load on it. Counts and rates apply to each region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// Number of regions, each with its own state service, cloud, controllers, workers and users.
    pub regions: usize,
    /// Zones per region.
    pub zones: usize,
    /// Controllers per region.
    pub nodes: usize,
    /// Emulated workers per region.
    pub workers: usize,
    /// CPUs per worker.
    pub worker_cpus: f64,
    /// Number of teams.
    pub teams: usize,
    /// Array tasks submitted per second.
    pub starts_per_s: f64,
    /// Tasks per array job.
    pub tasks_per_job: u32,
    /// Run time of an array task, in seconds.
    pub run_s: f64,
    /// CPUs per array task.
    pub task_cpus: f64,
    /// Fraction of the array jobs that are submitted with high priority.
    pub urgent_share: f64,
    /// Fraction of the array jobs that are cancelled shortly after they were accepted.
    pub cancelled_share: f64,
    /// CPUs of the service replica that runs on each worker during the whole experiment; 0: no replicas.
    pub replica_cpus: f64,
    /// Records of finished jobs that the state service holds from the start.
    pub finished_jobs: usize,
    /// Interval between a worker's heartbeats, in seconds.
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds; it is renewed by each acknowledged heartbeat.
    pub lease_s: f64,
    /// Upper bound on the time until all tasks of a cancelled job have stopped, in seconds.
    pub cancel_s: f64,
    /// Request rate limit of the state service, per second.
    pub state_rps: f64,
    /// Limit of the state service on puts and deletes per second.
    pub state_write_rps: f64,
    /// Latency that the state service adds to each response, in milliseconds.
    pub state_latency_ms: u64,
    /// Upper bound on the open sockets of a controller.
    pub sockets: u32,
    /// Time under load before the measurement starts, in seconds (`run_s` is added to it).
    pub warm_up_s: f64,
    /// Duration of the measurement, in seconds.
    pub measure_s: f64,
    /// Whether to kill the leader after the measurement and to wait for a successor.
    pub takeover: bool,
    /// First port; the experiment uses `port` to `port` + 3 + `regions`.
    pub port: u16,
    /// Faults to inject under load; without a drill no faults are injected.
    pub drill: Option<Drill>,
}

/// A drill: the regions are cells that share the teams' quotas, and faults are injected one after another under load.
/// Team limits change during all of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drill {
    /// One-way latency between two regions, in milliseconds.
    pub link_ms: u64,
    /// Changes of a team's limit per second.
    pub changes_per_s: f64,
    /// Duration of each phase except the partition, in seconds.
    pub steady_s: f64,
    /// How long a replaced limit may remain in force in some region while no region is partitioned, in seconds.
    pub replaced_s: f64,
    /// How long the second region is partitioned from the others, in seconds.
    pub cut_s: f64,
    /// Number of workers of the last region that fail simultaneously.
    pub rack: usize,
    /// Smallest limit of a team, as a multiple of its mean usage.
    pub limit_from: f64,
    /// Largest limit of a team, as a multiple of its mean usage.
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

/// The parameter that a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SweepParameter {
    /// Workers per region.
    Workers,
    /// Array tasks submitted per second.
    StartsPerS,
    /// Run time of array tasks, which determines how many run concurrently.
    RunS,
    /// Number of teams.
    Teams,
    /// Finished jobs in the state service.
    FinishedJobs,
}

impl SweepParameter {
    /// The parameter's name in the settings file.
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

/// A sweep over one parameter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The parameter.
    pub vary: SweepParameter,
    /// The values to run.
    pub values: Vec<f64>,
    /// The value that is run `repeats` times, to determine the spread between identical runs.
    #[serde(default)]
    pub repeat_at: Option<f64>,
    /// Number of runs at `repeat_at`.
    #[serde(default = "default_repeats")]
    pub repeats: usize,
}

fn default_repeats() -> usize {
    3
}

/// One planned run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The varied parameter, its value in this run and its base value; `None`: the base itself.
    pub varied: Option<(SweepParameter, f64, f64)>,
    /// Number of the run at this value, from 1.
    pub run: usize,
    /// The deployment and its load.
    pub experiment: Experiment,
}

/// Error of loading a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The file is not valid TOML or has unknown or missing fields.
    #[error("{path}: {reason}")]
    Parse {
        /// The file.
        path: String,
        /// Description of the error on one line.
        reason: String,
    },
    /// Values are out of range or contradict each other.
    #[error("{path}: {}", problems.join("; "))]
    Invalid {
        /// The file.
        path: String,
        /// The problems; each starts with the table and the field.
        problems: Vec<String>,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let display_path = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: display_path.clone(),
            source,
        })?;
        let settings: Settings = toml::from_str(&text).map_err(|error| SettingsError::Parse {
            path: display_path.clone(),
            reason: one_line(&error, &text),
        })?;
        let problems = settings.validation_errors();
        if problems.is_empty() {
            return Ok(settings);
        }
        Err(SettingsError::Invalid {
            path: display_path,
            problems,
        })
    }

    /// All runs in execution order.
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
        let mut errors = self.base.validation_errors("base");
        for (number, sweep) in self.sweep.iter().enumerate() {
            let table = format!("sweep {} ({})", number + 1, sweep.vary.name());
            if sweep.values.is_empty() {
                errors.push(format!("{table}: values: must not be empty"));
            }
            if sweep.repeats == 0 {
                errors.push(format!("{table}: repeats: must be at least 1"));
            }
            let repeated = sweep.repeat_at.iter();
            for at in repeated.filter(|at| !sweep.values.contains(at)) {
                errors.push(format!("{table}: repeat_at: {at} is not among the values"));
            }
            for plan in sweep.plans(&self.base).iter().filter(|plan| plan.run == 1) {
                errors.extend(plan.experiment.validation_errors(&table));
            }
        }
        errors.sort();
        errors.dedup();
        errors
    }
}

/// The message of the TOML parser without its excerpt of the file.
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
    /// A copy of the experiment with one parameter set to `value`.
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

    /// The value of a parameter.
    pub fn value(&self, varied: SweepParameter) -> f64 {
        match varied {
            SweepParameter::Workers => self.workers as f64,
            SweepParameter::StartsPerS => self.starts_per_s,
            SweepParameter::RunS => self.run_s,
            SweepParameter::Teams => self.teams as f64,
            SweepParameter::FinishedJobs => self.finished_jobs as f64,
        }
    }

    /// Number of controller processes of all regions.
    pub fn process_count(&self) -> usize {
        self.regions * self.nodes
    }

    /// Expected number of concurrently running tasks per region.
    pub fn running_tasks(&self) -> f64 {
        let replicas = if self.replica_cpus > 0.0 {
            self.workers as f64
        } else {
            0.0
        };
        replicas + self.starts_per_s * self.run_s
    }

    /// Estimated peak memory of the tool and all controllers, in bytes.
    pub fn estimated_memory_bytes(&self) -> u64 {
        let nodes = self.process_count() as u64;
        let per_region = self.workers as u64 * WORKER_BYTES
            + self.running_tasks() as u64 * TASK_BYTES
            + self.finished_jobs as u64 * FINISHED_BYTES;
        // The tool holds the state of each region once, and so does each controller of the region.
        nodes * CONTROLLER_BYTES + (nodes + self.regions as u64) * per_region
    }

    #[expect(clippy::too_many_lines, reason = "still to be split")]
    fn validation_errors(&self, table: &str) -> Vec<String> {
        let mut errors = Vec::new();
        let mut check = |is_valid: bool, requirement: &str| {
            if !is_valid {
                errors.push(format!("{table}: {requirement}"));
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
            "worker_cpus: must be at least task_cpus and replica_cpus",
        );
        if let Some(drill) = &self.drill {
            check(self.regions >= 2, "drill: needs at least 2 regions");
            check(
                drill.rack < self.workers,
                "drill.rack: must be below workers",
            );
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
        errors
    }
}

#[cfg(test)]
mod tests;
