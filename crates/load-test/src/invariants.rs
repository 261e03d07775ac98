//! The jobs of all regions: what workers look up, when tasks started, and whether an invariant of the protocol was
//! violated.

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
    /// Whether the priority is high or production.
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
    facts: ExpectedJob,
    accepted: Option<Instant>,
    cancelled: Option<Instant>,
    /// Number of its tasks that run on a machine.
    running_tasks: u32,
}

struct CheckerState {
    jobs: HashMap<JobId, TrackedJob>,
    /// The machine of each running task.
    placements: HashMap<TaskId, String>,
    started: HashMap<TaskId, ()>,
    used: BTreeMap<String, f64>,
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
    inner: Mutex<CheckerState>,
    cancellation_bound: Duration,
}

impl CheckerState {
    fn record_violation(&mut self, what: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_REPORTED_VIOLATIONS {
            self.violations.push(what);
        }
    }

    fn on_start(&mut self, machine: &str, task: TaskId, cancel: Duration) {
        self.starts += 1;
        if let Some(other) = self.placements.insert(task, machine.to_owned()) {
            self.record_violation(format!("ran_twice: {task} on {machine} and {other}"));
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.record_violation(format!("{task}: started but never submitted"));
        };
        job.running_tasks += 1;
        let late = job.cancelled.is_some_and(|at| at.elapsed() > cancel);
        let (team, cpus) = (job.facts.team.clone(), job.facts.spec.cpus);
        let waited = job.accepted.map_or(Duration::ZERO, |at| at.elapsed());
        let (urgent, measured) = (job.facts.urgent, job.facts.measured);
        if self.started.insert(task, ()).is_none() && measured {
            let times = if urgent {
                &mut self.urgent
            } else {
                &mut self.other
            };
            record(times, waited.as_millis() as u64);
        }
        if late {
            self.record_violation(format!("ran_cancelled: {task} starts on {machine}"));
        }
        let used = self.used.entry(team.clone()).or_default();
        *used += cpus;
        let (used, limit) = (*used, self.limits.get(&team).copied().unwrap_or(0.0));
        if limit > 0.0 && used > limit + EPSILON {
            self.record_violation(format!("quota: {team} uses {used} of {limit} CPUs"));
        }
    }

    fn on_leave(&mut self, machine: &str, task: TaskId) {
        if self.placements.get(&task).is_some_and(|on| on == machine) {
            self.placements.remove(&task);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.running_tasks = job.running_tasks.saturating_sub(1);
            *self.used.entry(job.facts.team.clone()).or_default() -= job.facts.spec.cpus;
        }
    }
}

impl InvariantChecker {
    /// Creates a checker. All tasks of a cancelled job have to stop within `cancel` of the confirmed cancellation.
    pub fn new(cancel: Duration) -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        InvariantChecker {
            inner: Mutex::new(CheckerState {
                jobs: HashMap::new(),
                placements: HashMap::new(),
                started: HashMap::new(),
                used: BTreeMap::new(),
                limits: BTreeMap::new(),
                starts: 0,
                urgent: histogram(),
                other: histogram(),
                violations: Vec::new(),
                violation_count: 0,
            }),
            cancellation_bound: cancel,
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, CheckerState> {
        self.inner.lock().expect("lock of the checker poisoned")
    }

    /// Sets the number of CPUs that a team may use concurrently; 0: unlimited.
    pub fn set_limit(&self, team: &str, cpus: f64) {
        self.lock_state().limits.insert(team.to_owned(), cpus);
    }

    /// Registers a job before its first submission attempt.
    pub fn on_submitted(&self, id: JobId, facts: ExpectedJob) {
        let job = TrackedJob {
            facts,
            accepted: None,
            cancelled: None,
            running_tasks: 0,
        };
        self.lock_state().jobs.insert(id, job);
    }

    /// Records that a user received the acceptance of the job.
    pub fn on_accepted(&self, id: JobId) {
        if let Some(job) = self.lock_state().jobs.get_mut(&id) {
            job.accepted.get_or_insert_with(Instant::now);
        }
    }

    /// Records that a user received the confirmation of the cancellation.
    pub fn on_cancelled(&self, id: JobId) {
        if let Some(job) = self.lock_state().jobs.get_mut(&id) {
            job.cancelled.get_or_insert_with(Instant::now);
        }
    }

    /// Checks that no tasks of cancelled jobs still run after the cancellation bound.
    pub fn check_cancellations(&self) {
        let mut inner = self.lock_state();
        let jobs = inner.jobs.iter();
        let late = jobs.filter(|(_, job)| {
            job.running_tasks > 0
                && job
                    .cancelled
                    .is_some_and(|at| at.elapsed() > self.cancellation_bound)
        });
        let late: Vec<JobId> = late.map(|(id, _)| *id).collect();
        for id in late {
            inner.record_violation(format!("ran_cancelled: tasks of {id} still run"));
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
        let mut inner = self.lock_state();
        inner.urgent.reset();
        inner.other.reset();
    }

    /// Start latencies of high-priority jobs and of all other jobs since the last reset.
    pub fn start_latencies(&self) -> (StartLatencies, StartLatencies) {
        let inner = self.lock_state();
        (
            StartLatencies::of(&inner.urgent),
            StartLatencies::of(&inner.other),
        )
    }

    /// The number of violations and the descriptions of the first ones.
    pub fn violations(&self) -> (u64, Vec<String>) {
        let inner = self.lock_state();
        (inner.violation_count, inner.violations.clone())
    }
}

impl TaskModel for InvariantChecker {
    fn describe(&self, task: TaskId) -> Option<TaskSpec> {
        let inner = self.lock_state();
        inner.jobs.get(&task.job).map(|job| job.facts.spec)
    }

    fn on_task_event(&self, machine: &str, task: TaskId, event: TaskEvent) {
        let mut inner = self.lock_state();
        match event {
            TaskEvent::Started => inner.on_start(machine, task, self.cancellation_bound),
            TaskEvent::Removed => inner.on_leave(machine, task),
        }
    }
}

#[cfg(test)]
mod tests;
