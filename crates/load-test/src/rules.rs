//! What is known of all jobs of all regions: what workers look up, when tasks started, and whether a rule
//! of the protocol was broken.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use dalelb::protocol::ids::{JobId, TaskId};
use dalelb_emulators::machine::{TaskEvent, TaskSpec, Tasks};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Rules that are told of by name; more are only counted.
const TOLD: usize = 20;
/// Sums of decimal amounts may miss a whole by a rounding error.
const EPSILON: f64 = 1e-6;

/// A job as its user knows it.
#[derive(Clone, Debug)]
pub struct JobFacts {
    /// Its team.
    pub team: String,
    /// What each of its tasks takes, and how long it runs.
    pub spec: TaskSpec,
    /// Work of high priority.
    pub urgent: bool,
    /// Whether its starts count for the times from acceptance to start.
    pub measured: bool,
}

/// How long tasks took from their job's acceptance to the start command at the worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StartTimes {
    /// Tasks.
    pub count: u64,
    /// Milliseconds.
    pub median_ms: u64,
    /// Milliseconds.
    pub p99_ms: u64,
    /// Milliseconds.
    pub worst_ms: u64,
}

impl StartTimes {
    fn of(histogram: &Histogram<u64>) -> Self {
        StartTimes {
            count: histogram.len(),
            median_ms: histogram.value_at_quantile(0.5),
            p99_ms: histogram.value_at_quantile(0.99),
            worst_ms: histogram.max(),
        }
    }
}

struct Job {
    facts: JobFacts,
    accepted: Option<Instant>,
    cancelled: Option<Instant>,
    /// Tasks that are on a machine.
    on: u32,
}

struct Inner {
    jobs: HashMap<JobId, Job>,
    /// Where each task is that is on a machine.
    on: HashMap<TaskId, String>,
    started: HashMap<TaskId, ()>,
    used: BTreeMap<String, f64>,
    limits: BTreeMap<String, f64>,
    starts: u64,
    urgent: Histogram<u64>,
    other: Histogram<u64>,
    broken: Vec<String>,
    broken_count: u64,
}

/// Records a value of any size.
pub fn record(histogram: &mut Histogram<u64>, value: u64) {
    let recorded = histogram.record(value);
    recorded.expect("the histogram grows as it needs");
}

/// All jobs, and the rules that are checked at every start.
pub struct Rules {
    inner: Mutex<Inner>,
    cancel: Duration,
}

impl Inner {
    fn broke(&mut self, what: String) {
        self.broken_count += 1;
        if self.broken.len() < TOLD {
            self.broken.push(what);
        }
    }

    fn start(&mut self, machine: &str, task: TaskId, cancel: Duration) {
        self.starts += 1;
        if let Some(other) = self.on.insert(task, machine.to_owned()) {
            self.broke(format!("ran_twice: {task} on {machine} and {other}"));
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.broke(format!("{task}: nobody submitted it"));
        };
        job.on += 1;
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
            self.broke(format!("ran_cancelled: {task} starts on {machine}"));
        }
        let used = self.used.entry(team.clone()).or_default();
        *used += cpus;
        let (used, limit) = (*used, self.limits.get(&team).copied().unwrap_or(0.0));
        if limit > 0.0 && used > limit + EPSILON {
            self.broke(format!("quota: {team} uses {used} of {limit} CPUs"));
        }
    }

    fn leave(&mut self, machine: &str, task: TaskId) {
        if self.on.get(&task).is_some_and(|on| on == machine) {
            self.on.remove(&task);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.on = job.on.saturating_sub(1);
            *self.used.entry(job.facts.team.clone()).or_default() -= job.facts.spec.cpus;
        }
    }
}

impl Rules {
    /// Cancelled tasks have to be gone after `cancel`.
    pub fn new(cancel: Duration) -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Rules {
            inner: Mutex::new(Inner {
                jobs: HashMap::new(),
                on: HashMap::new(),
                started: HashMap::new(),
                used: BTreeMap::new(),
                limits: BTreeMap::new(),
                starts: 0,
                urgent: histogram(),
                other: histogram(),
                broken: Vec::new(),
                broken_count: 0,
            }),
            cancel,
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the rules' lock")
    }

    /// From now on the team may use that many CPUs at once; 0: any number.
    pub fn limit(&self, team: &str, cpus: f64) {
        self.inner().limits.insert(team.to_owned(), cpus);
    }

    /// A user is about to submit the job.
    pub fn submitted(&self, id: JobId, facts: JobFacts) {
        let job = Job {
            facts,
            accepted: None,
            cancelled: None,
            on: 0,
        };
        self.inner().jobs.insert(id, job);
    }

    /// A user was told that the job is accepted.
    pub fn accepted(&self, id: JobId) {
        if let Some(job) = self.inner().jobs.get_mut(&id) {
            job.accepted.get_or_insert_with(Instant::now);
        }
    }

    /// A user was told that the job is cancelled.
    pub fn cancelled(&self, id: JobId) {
        if let Some(job) = self.inner().jobs.get_mut(&id) {
            job.cancelled.get_or_insert_with(Instant::now);
        }
    }

    /// Looks for tasks of cancelled jobs that go on for too long.
    pub fn check(&self) {
        let mut inner = self.inner();
        let jobs = inner.jobs.iter();
        let late = jobs.filter(|(_, job)| {
            job.on > 0 && job.cancelled.is_some_and(|at| at.elapsed() > self.cancel)
        });
        let late: Vec<JobId> = late.map(|(id, _)| *id).collect();
        for id in late {
            inner.broke(format!("ran_cancelled: tasks of {id} go on"));
        }
    }

    /// Starts so far.
    pub fn starts(&self) -> u64 {
        self.inner().starts
    }

    /// Tasks that are on machines.
    pub fn running(&self) -> usize {
        self.inner().on.len()
    }

    /// Forgets the times taken so far.
    pub fn reset_times(&self) {
        let mut inner = self.inner();
        inner.urgent.reset();
        inner.other.reset();
    }

    /// Times of urgent work and of other work.
    pub fn times(&self) -> (StartTimes, StartTimes) {
        let inner = self.inner();
        (StartTimes::of(&inner.urgent), StartTimes::of(&inner.other))
    }

    /// Which rules were broken, and how often.
    pub fn broken(&self) -> (u64, Vec<String>) {
        let inner = self.inner();
        (inner.broken_count, inner.broken.clone())
    }
}

impl Tasks for Rules {
    fn describe(&self, task: TaskId) -> Option<TaskSpec> {
        let inner = self.inner();
        inner.jobs.get(&task.job).map(|job| job.facts.spec)
    }

    fn happened(&self, machine: &str, task: TaskId, event: TaskEvent) {
        let mut inner = self.inner();
        match event {
            TaskEvent::Started => inner.start(machine, task, self.cancel),
            TaskEvent::Left => inner.leave(machine, task),
        }
    }
}

#[cfg(test)]
mod tests;
