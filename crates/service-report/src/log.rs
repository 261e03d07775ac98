//! What the nodes' logs tell of jobs and classes.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::LazyLock,
    time::UNIX_EPOCH,
};

use regex::Regex;

/// Replicas that were wanted for less long count for nothing: they may have been fetching their image.
const MIN_REPLICA_LIFETIME_S: f64 = 30.0;

/// Team and class.
pub type ClassName = (String, String);

static FIELD: LazyLock<Regex> = LazyLock::new(|| {
    Regex::new(r#"(\w+)=(?:"([^"]*)"|(\[[^\]]*\]|\S+))"#).expect("a valid expression")
});

/// A count that begins anew with each process or leadership: the sum over all of them.
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

/// One job, as it was accepted. Timeouts are seconds.
#[derive(Clone, Debug)]
pub struct Job {
    pub name: ClassName,
    pub service: bool,
    pub tasks: u64,
    /// Units of one task.
    pub units: f64,
    pub estimate_s: f64,
    pub accepted_at: f64,
    /// When it was done or cancelled.
    pub ended_at: Option<f64>,
    pub done: bool,
    pub cancelled: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Class {
    pub jobs: u64,
    pub tasks: u64,
    /// Tasks of jobs that were not cancelled, and of those that were done.
    requested_tasks: u64,
    finished_tasks: u64,
    service: bool,
    /// Replicas that were asked for long enough, and those of them that were up at all; where the logs tell.
    replicas: Option<(u64, u64)>,
    counts: HashMap<&'static str, MonotonicCounter>,
}

/// Counts that the leader's `served` lines give.
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
        self.counts.get(name).map_or(0, |sum| sum.total())
    }

    pub fn submitted(&self) -> u64 {
        self.count("came").max(self.jobs)
    }

    pub fn rejected(&self) -> u64 {
        self.count("sent_away")
    }

    pub fn abandoned(&self) -> u64 {
        self.count("given_up")
    }

    pub fn started(&self) -> u64 {
        self.count("started")
    }

    pub fn done(&self) -> u64 {
        self.count("done")
    }

    pub fn preempted(&self) -> u64 {
        self.count("gave_way")
    }

    /// The part of what was asked for that was served, from 0 to 1: tasks of jobs that were done, of all arrays
    /// that were not cancelled; of services the replicas that ran at all, one by one at level `debug`, and with
    /// those counted again that were started again at `info`. Users who gave up asked for as much as others.
    pub fn served_share(&self) -> f64 {
        let let_in = self.jobs as f64 / (self.jobs + self.abandoned()).max(1) as f64;
        let part = if let Some((asked, up)) = self.replicas {
            up as f64 / asked.max(1) as f64
        } else if self.service {
            self.started() as f64 / self.tasks.max(1) as f64
        } else {
            self.finished_tasks as f64 / self.requested_tasks.max(1) as f64
        };
        let_in * part.min(1.0)
    }
}

#[derive(Default)]
pub struct LogSummary {
    pub jobs: HashMap<String, Job>,
    classes: BTreeMap<ClassName, Class>,
    /// Tasks that ran, by job; only debug lines tell.
    started_tasks: HashMap<String, HashSet<String>>,
    /// When the last line was written.
    pub last_line_at: f64,
}

impl LogSummary {
    pub fn parse(&mut self, text: &str) {
        for line in text.lines() {
            let Some(at) = timestamp_s(line) else {
                continue;
            };
            self.last_line_at = self.last_line_at.max(at);
            let fields = || -> HashMap<&str, &str> {
                let found = FIELD.captures_iter(line).map(|found| {
                    let value = found
                        .get(2)
                        .or(found.get(3))
                        .map_or("", |value| value.as_str());
                    let name = found.get(1).map_or("", |name| name.as_str());
                    (name, value)
                });
                found.collect()
            };
            if line.contains(": runs task=") {
                if let Some((job, task)) =
                    fields().get("task").and_then(|task| task.split_once('/'))
                {
                    let ran = self.started_tasks.entry(job.to_owned()).or_default();
                    ran.insert(task.to_owned());
                }
            } else if line.contains(": accepted job=") {
                self.record_accepted(&fields(), at);
            } else if line.contains(": done job=") {
                self.record_ended(&fields(), at, true);
            } else if line.contains(": cancelled job=") || line.contains(": cancelled with a job") {
                self.record_ended(&fields(), at, false);
            } else if line.contains(": served team=") {
                self.record_replica_service(&fields());
            }
        }
    }

    fn record_accepted(&mut self, fields: &HashMap<&str, &str>, at: f64) {
        let text = |name| fields.get(name).map(|value: &&str| value.to_string());
        let number = |name| fields.get(name).and_then(|value| value.parse::<f64>().ok());
        let (Some(id), Some(team), Some(class)) = (text("job"), text("team"), text("class")) else {
            return;
        };
        let gpus = number("gpus").unwrap_or(0.0);
        let job = Job {
            name: (team, class),
            service: fields.get("kind").is_some_and(|kind| *kind == "Service"),
            tasks: number("tasks").unwrap_or(0.0) as u64,
            units: if gpus > 0.0 {
                gpus
            } else {
                number("cpus").unwrap_or(0.0)
            },
            estimate_s: number("estimate_s").unwrap_or(0.0),
            accepted_at: at,
            ended_at: None,
            done: false,
            cancelled: false,
        };
        self.jobs.entry(id).or_insert(job);
    }

    fn record_ended(&mut self, fields: &HashMap<&str, &str>, at: f64, done: bool) {
        if let Some(job) = fields.get("job").and_then(|id| self.jobs.get_mut(*id)) {
            job.ended_at.get_or_insert(at);
            job.done |= done;
            job.cancelled |= !done;
        }
    }

    fn record_replica_service(&mut self, fields: &HashMap<&str, &str>) {
        let (Some(team), Some(class)) = (fields.get("team"), fields.get("class")) else {
            return;
        };
        let class = self
            .classes
            .entry((team.to_string(), class.to_string()))
            .or_default();
        for name in COUNTER_NAMES {
            if let Some(value) = fields.get(name).and_then(|value| value.parse().ok()) {
                class.counts.entry(name).or_default().observe(value);
            }
        }
    }

    /// All classes, with what their jobs came to.
    pub fn classes(&self) -> BTreeMap<&ClassName, Class> {
        let mut classes: BTreeMap<&ClassName, Class> = BTreeMap::new();
        for (name, class) in &self.classes {
            classes.insert(name, class.clone());
        }
        for (id, job) in &self.jobs {
            let class = classes.entry(&job.name).or_default();
            let wanted_s = job.ended_at.unwrap_or(self.last_line_at) - job.accepted_at;
            if job.service && !self.started_tasks.is_empty() && wanted_s >= MIN_REPLICA_LIFETIME_S {
                let (asked, up) = class.replicas.get_or_insert((0, 0));
                *asked += job.tasks;
                *up += self
                    .started_tasks
                    .get(id)
                    .map_or(0, |tasks| tasks.len() as u64);
            }
            class.jobs += 1;
            class.tasks += job.tasks;
            class.service |= job.service;
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

/// When a line was written, in seconds: a number in front, or a time of day.
fn timestamp_s(line: &str) -> Option<f64> {
    let first = line.split_whitespace().next()?;
    if let Ok(seconds) = first.parse() {
        return Some(seconds);
    }
    let at = humantime::parse_rfc3339(first).ok()?;
    Some(at.duration_since(UNIX_EPOCH).ok()?.as_secs_f64())
}

#[cfg(test)]
mod tests;
