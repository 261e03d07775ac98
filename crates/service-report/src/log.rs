//! Reads jobs and the counters of workload classes from the logs of the nodes.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::LazyLock,
    time::UNIX_EPOCH,
};

use regex::Regex;

/// Services that were requested for a shorter time are not counted: their replicas may still have been fetching
/// the image.
const MIN_REPLICA_LIFETIME_S: f64 = 30.0;

/// The name of a team and of one of its workload classes.
pub type ClassName = (String, String);

/// A `name=value` field of a log line. The value may be quoted or a list in brackets.
static FIELD_PATTERN: LazyLock<Regex> = LazyLock::new(|| {
    Regex::new(r#"(\w+)=(?:"([^"]*)"|(\[[^\]]*\]|\S+))"#).expect("a valid expression")
});

/// A counter that restarts at 0 with each process or leader, summed over all of them.
#[derive(Clone, Copy, Debug, Default)]
struct MonotonicCounter {
    total_of_past_leaders: u64,
    current_value: u64,
}

impl MonotonicCounter {
    fn observe(&mut self, value: u64) {
        if value < self.current_value {
            self.total_of_past_leaders += self.current_value;
        }
        self.current_value = value;
    }

    fn total(self) -> u64 {
        self.total_of_past_leaders + self.current_value
    }
}

/// A job, from its `accepted` log line and the lines about its end. Times are in seconds.
#[derive(Clone, Debug)]
pub struct Job {
    /// The team and class of the job.
    pub class: ClassName,
    /// The job is a service: its tasks are replicas, which run until the job is cancelled.
    pub is_service: bool,
    /// The number of tasks.
    pub tasks: u64,
    /// The units that one task takes: GPUs, or CPUs if it takes no GPUs.
    pub units: f64,
    /// The estimated run time of one task.
    pub estimate_s: f64,
    /// When it was accepted.
    pub accepted_at: f64,
    /// When it was done or cancelled, whichever is logged first; `None` if neither is logged.
    pub ended_at: Option<f64>,
    /// All its tasks are done.
    pub done: bool,
    /// It was cancelled, by its user or because a job that it depends on was.
    pub cancelled: bool,
}

/// The jobs and counters of a workload class.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// The number of accepted jobs.
    pub jobs: u64,
    /// The number of tasks of all accepted jobs.
    pub tasks: u64,
    /// The number of tasks of jobs that were not cancelled.
    requested_tasks: u64,
    /// The number of tasks of jobs that were done.
    finished_tasks: u64,
    /// At least one job of the class is a service.
    has_services: bool,
    /// The replicas of services that were requested for at least [`MIN_REPLICA_LIFETIME_S`], and how many of them
    /// ran at all. `None` if the logs don't name the tasks that ran.
    replicas: Option<(u64, u64)>,
    counters: HashMap<&'static str, MonotonicCounter>,
}

/// The counters in the leader's `served` log lines.
const COUNTER_NAMES: [&str; 6] = [
    "came",
    "sent_away",
    "given_up",
    "started",
    "done",
    "gave_way",
];

impl Class {
    fn count(&self, name: &str) -> u64 {
        self.counters.get(name).map_or(0, |counter| counter.total())
    }

    /// The number of submitted jobs; retries of a job are not counted.
    pub fn submitted(&self) -> u64 {
        self.count("came").max(self.jobs)
    }

    /// The number of deferred submissions, each retry included.
    pub fn deferred(&self) -> u64 {
        self.count("sent_away")
    }

    /// The number of jobs that were deferred, and whose users stopped retrying.
    pub fn abandoned(&self) -> u64 {
        self.count("given_up")
    }

    /// The number of task starts.
    pub fn started(&self) -> u64 {
        self.count("started")
    }

    /// The number of completed tasks.
    pub fn done(&self) -> u64 {
        self.count("done")
    }

    /// The number of task attempts that were preempted.
    pub fn preempted(&self) -> u64 {
        self.count("gave_way")
    }

    /// The fraction of the requested work that was served, from 0 to 1.
    ///
    /// For arrays these are the tasks of jobs that were done, out of the tasks of all jobs that were not cancelled.
    /// For services they are the replicas that ran at all: logs at level `debug` name each replica, while at level
    /// `info` a replica that was started again is counted again. Users who gave up are assumed to have requested
    /// as much as the others.
    pub fn served_share(&self) -> f64 {
        let accepted = self.jobs as f64 / (self.jobs + self.abandoned()).max(1) as f64;
        let served = if let Some((requested, started)) = self.replicas {
            started as f64 / requested.max(1) as f64
        } else if self.has_services {
            self.started() as f64 / self.tasks.max(1) as f64
        } else {
            self.finished_tasks as f64 / self.requested_tasks.max(1) as f64
        };
        accepted * served.min(1.0)
    }
}

/// All that was read from the logs of a run.
#[derive(Default)]
pub struct LogSummary {
    /// The accepted jobs, by id.
    pub jobs: HashMap<String, Job>,
    classes: BTreeMap<ClassName, Class>,
    /// The numbers of the tasks that ran, by job id. Only log lines at level `debug` name them.
    started_tasks: HashMap<String, HashSet<String>>,
    /// The time of the latest log line, in seconds.
    pub latest_line_at: f64,
}

impl LogSummary {
    /// Adds the lines of a log. Lines without a timestamp are skipped.
    pub fn parse(&mut self, text: &str) {
        for line in text.lines() {
            let Some(logged_at) = timestamp_s(line) else {
                continue;
            };
            self.latest_line_at = self.latest_line_at.max(logged_at);
            let fields = || -> HashMap<&str, &str> {
                let pairs = FIELD_PATTERN.captures_iter(line).map(|captures| {
                    let value = captures
                        .get(2)
                        .or(captures.get(3))
                        .map_or("", |value| value.as_str());
                    let name = captures.get(1).map_or("", |name| name.as_str());
                    (name, value)
                });
                pairs.collect()
            };
            if line.contains(": runs task=") {
                if let Some((job, task)) =
                    fields().get("task").and_then(|task| task.split_once('/'))
                {
                    let started = self.started_tasks.entry(job.to_owned()).or_default();
                    started.insert(task.to_owned());
                }
            } else if line.contains(": accepted job=") {
                self.record_accepted(&fields(), logged_at);
            } else if line.contains(": done job=") {
                self.record_ended(&fields(), logged_at, true);
            } else if line.contains(": cancelled job=") || line.contains(": cancelled with a job") {
                self.record_ended(&fields(), logged_at, false);
            } else if line.contains(": served team=") {
                self.record_served(&fields());
            }
        }
    }

    fn record_accepted(&mut self, fields: &HashMap<&str, &str>, logged_at: f64) {
        let text = |name| fields.get(name).map(|value: &&str| value.to_string());
        let number = |name| fields.get(name).and_then(|value| value.parse::<f64>().ok());
        let (Some(id), Some(team), Some(class)) = (text("job"), text("team"), text("class")) else {
            return;
        };
        let gpus = number("gpus").unwrap_or(0.0);
        let job = Job {
            class: (team, class),
            is_service: fields.get("kind").is_some_and(|kind| *kind == "Service"),
            tasks: number("tasks").unwrap_or(0.0) as u64,
            units: if gpus > 0.0 {
                gpus
            } else {
                number("cpus").unwrap_or(0.0)
            },
            estimate_s: number("estimate_s").unwrap_or(0.0),
            accepted_at: logged_at,
            ended_at: None,
            done: false,
            cancelled: false,
        };
        self.jobs.entry(id).or_insert(job);
    }

    fn record_ended(&mut self, fields: &HashMap<&str, &str>, logged_at: f64, done: bool) {
        if let Some(job) = fields.get("job").and_then(|id| self.jobs.get_mut(*id)) {
            job.ended_at.get_or_insert(logged_at);
            job.done |= done;
            job.cancelled |= !done;
        }
    }

    fn record_served(&mut self, fields: &HashMap<&str, &str>) {
        let (Some(team), Some(class)) = (fields.get("team"), fields.get("class")) else {
            return;
        };
        let class = self
            .classes
            .entry((team.to_string(), class.to_string()))
            .or_default();
        for name in COUNTER_NAMES {
            if let Some(value) = fields.get(name).and_then(|value| value.parse().ok()) {
                class.counters.entry(name).or_default().observe(value);
            }
        }
    }

    /// All classes that a job or a `served` line names, with the totals of their jobs.
    pub fn classes(&self) -> BTreeMap<&ClassName, Class> {
        let mut classes: BTreeMap<&ClassName, Class> = BTreeMap::new();
        for (name, class) in &self.classes {
            classes.insert(name, class.clone());
        }
        for (id, job) in &self.jobs {
            let class = classes.entry(&job.class).or_default();
            let requested_s = job.ended_at.unwrap_or(self.latest_line_at) - job.accepted_at;
            if job.is_service
                && !self.started_tasks.is_empty()
                && requested_s >= MIN_REPLICA_LIFETIME_S
            {
                let (requested, started) = class.replicas.get_or_insert((0, 0));
                *requested += job.tasks;
                *started += self
                    .started_tasks
                    .get(id)
                    .map_or(0, |tasks| tasks.len() as u64);
            }
            class.jobs += 1;
            class.tasks += job.tasks;
            class.has_services |= job.is_service;
            if !job.cancelled {
                class.requested_tasks += job.tasks;
            }
            if job.done {
                class.finished_tasks += job.tasks;
            }
        }
        classes
    }
}

/// The timestamp at the start of a log line, in seconds: a number, or an RFC 3339 time.
fn timestamp_s(line: &str) -> Option<f64> {
    let first = line.split_whitespace().next()?;
    if let Ok(seconds) = first.parse() {
        return Some(seconds);
    }
    let timestamp = humantime::parse_rfc3339(first).ok()?;
    Some(timestamp.duration_since(UNIX_EPOCH).ok()?.as_secs_f64())
}

#[cfg(test)]
mod tests;
