//! The jobs of all regions: the task properties that workers look up, when tasks started, and whether an invariant of
//! the protocol was violated.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use dalelb::protocol::ids::{JobId, TaskId};
use dalelb_emulators::worker_emulator::{TaskEvent, TaskModel, TaskSpec};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Number of violations that are reported with a description; further ones are only counted.
const MAX_REPORTED_VIOLATIONS: usize = 20;
/// Tolerance for rounding errors in sums of CPU amounts.
const EPSILON: f64 = 1e-6;

/// A job as its user submitted it.
#[derive(Clone, Debug)]
pub struct ExpectedJob {
    /// The team.
    pub team: String,
    /// CPUs and run time of each task.
    pub spec: TaskSpec,
    /// Whether its priority is `Priority::High` or `Priority::Production`.
    pub urgent: bool,
    /// Whether the starts of its tasks are included in the start latencies.
    pub measured: bool,
}

/// Times from the acceptance of a job to the arrival of the start command for a task at the worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StartLatencies {
    /// Number of tasks.
    pub count: u64,
    /// Median in milliseconds.
    pub median_ms: u64,
    /// 99th percentile in milliseconds.
    pub p99_ms: u64,
    /// Maximum in milliseconds.
    pub worst_ms: u64,
}

impl StartLatencies {
    fn of(histogram: &Histogram<u64>) -> Self {
        StartLatencies {
            count: histogram.len(),
            median_ms: histogram.value_at_quantile(0.5),
            p99_ms: histogram.value_at_quantile(0.99),
            worst_ms: histogram.max(),
        }
    }
}

struct TrackedJob {
    expected: ExpectedJob,
    accepted_at: Option<Instant>,
    cancelled_at: Option<Instant>,
    /// Number of its tasks that run on a machine.
    running_tasks: u32,
}

struct CheckerState {
    jobs: HashMap<JobId, TrackedJob>,
    /// The machine of each running task.
    placements: HashMap<TaskId, String>,
    started_tasks: HashMap<TaskId, ()>,
    used_cpus: BTreeMap<String, f64>,
    limits: BTreeMap<String, f64>,
    starts: u64,
    urgent: Histogram<u64>,
    other: Histogram<u64>,
    violations: Vec<String>,
    violation_count: u64,
}

/// Records a value; the histogram resizes itself to fit it.
pub fn record(histogram: &mut Histogram<u64>, value: u64) {
    let recorded = histogram.record(value);
    recorded.expect("the histogram resizes itself");
}

/// Tracks all submitted jobs and checks the invariants at each task event: no task runs on two machines, no team exceeds
/// its limit, and no task of a cancelled job runs beyond the cancellation bound.
pub struct InvariantChecker {
    state: Mutex<CheckerState>,
    cancellation_bound: Duration,
}

impl CheckerState {
    fn record_violation(&mut self, description: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_REPORTED_VIOLATIONS {
            self.violations.push(description);
        }
    }

    fn on_start(&mut self, machine: &str, task: TaskId, bound: Duration) {
        self.starts += 1;
        if let Some(other) = self.placements.insert(task, machine.to_owned()) {
            self.record_violation(format!("ran_twice: {task} on {machine} and {other}"));
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.record_violation(format!("{task}: started but never submitted"));
        };
        job.running_tasks += 1;
        let overdue = job.cancelled_at.is_some_and(|at| at.elapsed() > bound);
        let (team, cpus) = (job.expected.team.clone(), job.expected.spec.cpus);
        let latency = job.accepted_at.map_or(Duration::ZERO, |at| at.elapsed());
        let (urgent, measured) = (job.expected.urgent, job.expected.measured);
        if self.started_tasks.insert(task, ()).is_none() && measured {
            let histogram = if urgent {
                &mut self.urgent
            } else {
                &mut self.other
            };
            record(histogram, latency.as_millis() as u64);
        }
        if overdue {
            self.record_violation(format!("ran_cancelled: {task} starts on {machine}"));
        }
        let used_cpus = self.used_cpus.entry(team.clone()).or_default();
        *used_cpus += cpus;
        let (used_cpus, limit) = (*used_cpus, self.limits.get(&team).copied().unwrap_or(0.0));
        if limit > 0.0 && used_cpus > limit + EPSILON {
            self.record_violation(format!("quota: {team} uses {used_cpus} of {limit} CPUs"));
        }
    }

    fn on_removed(&mut self, machine: &str, task: TaskId) {
        if self
            .placements
            .get(&task)
            .is_some_and(|current| current == machine)
        {
            self.placements.remove(&task);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.running_tasks = job.running_tasks.saturating_sub(1);
            *self.used_cpus.entry(job.expected.team.clone()).or_default() -= job.expected.spec.cpus;
        }
    }
}

impl InvariantChecker {
    /// Creates a checker. All tasks of a cancelled job have to stop within `bound` of the confirmed cancellation.
    pub fn new(bound: Duration) -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        InvariantChecker {
            state: Mutex::new(CheckerState {
                jobs: HashMap::new(),
                placements: HashMap::new(),
                started_tasks: HashMap::new(),
                used_cpus: BTreeMap::new(),
                limits: BTreeMap::new(),
                starts: 0,
                urgent: histogram(),
                other: histogram(),
                violations: Vec::new(),
                violation_count: 0,
            }),
            cancellation_bound: bound,
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, CheckerState> {
        self.state.lock().expect("lock of the checker poisoned")
    }

    /// Sets the number of CPUs that a team may use concurrently; 0: unlimited.
    pub fn set_limit(&self, team: &str, cpus: f64) {
        self.lock_state().limits.insert(team.to_owned(), cpus);
    }

    /// Registers a job before its first submission attempt.
    pub fn on_submitted(&self, id: JobId, expected: ExpectedJob) {
        let job = TrackedJob {
            expected,
            accepted_at: None,
            cancelled_at: None,
            running_tasks: 0,
        };
        self.lock_state().jobs.insert(id, job);
    }

    /// Records that a user received the acceptance of the job.
    pub fn on_accepted(&self, id: JobId) {
        if let Some(job) = self.lock_state().jobs.get_mut(&id) {
            job.accepted_at.get_or_insert_with(Instant::now);
        }
    }

    /// Records that a user received the confirmation of the cancellation.
    pub fn on_cancelled(&self, id: JobId) {
        if let Some(job) = self.lock_state().jobs.get_mut(&id) {
            job.cancelled_at.get_or_insert_with(Instant::now);
        }
    }

    /// Checks that no tasks of cancelled jobs still run after the cancellation bound.
    pub fn check_cancellations(&self) {
        let mut state = self.lock_state();
        let jobs = state.jobs.iter();
        let overdue = jobs.filter(|(_, job)| {
            job.running_tasks > 0
                && job
                    .cancelled_at
                    .is_some_and(|at| at.elapsed() > self.cancellation_bound)
        });
        let overdue: Vec<JobId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            state.record_violation(format!("ran_cancelled: tasks of {id} still run"));
        }
    }

    /// Number of task starts so far.
    pub fn start_count(&self) -> u64 {
        self.lock_state().starts
    }

    /// Number of running tasks.
    pub fn running_count(&self) -> usize {
        self.lock_state().placements.len()
    }

    /// Clears the start latencies.
    pub fn reset_latencies(&self) {
        let mut state = self.lock_state();
        state.urgent.reset();
        state.other.reset();
    }

    /// Start latencies of high-priority jobs and of all other jobs since the last reset.
    pub fn start_latencies(&self) -> (StartLatencies, StartLatencies) {
        let state = self.lock_state();
        (
            StartLatencies::of(&state.urgent),
            StartLatencies::of(&state.other),
        )
    }

    /// The number of violations and the descriptions of the first ones.
    pub fn violations(&self) -> (u64, Vec<String>) {
        let state = self.lock_state();
        (state.violation_count, state.violations.clone())
    }
}

impl TaskModel for InvariantChecker {
    fn describe(&self, task: TaskId) -> Option<TaskSpec> {
        let state = self.lock_state();
        state.jobs.get(&task.job).map(|job| job.expected.spec)
    }

    fn on_task_event(&self, machine: &str, task: TaskId, event: TaskEvent) {
        let mut state = self.lock_state();
        match event {
            TaskEvent::Started => state.on_start(machine, task, self.cancellation_bound),
            TaskEvent::Removed => state.on_removed(machine, task),
        }
    }
}

#[cfg(test)]
mod tests;
