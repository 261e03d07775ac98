//! What one worker holds, and how it obeys, by the published protocol.
//!
//! Time is told by the caller, in milliseconds, so that the machine can be tested without waiting.

use std::collections::BTreeMap;

use dalelb::protocol::{
    ids::TaskId,
    worker::{Cause, Order, Report, TaskReport, TaskState},
};

/// What a worker looks up of a task that it is told to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskSpec {
    /// CPUs that it takes.
    pub cpus: f64,
    /// How long it runs; `None`: until it is stopped.
    pub run_ms: Option<u64>,
}

/// What happened to a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// It is on the machine from now on.
    Started,
    /// It is no longer on it.
    Left,
}

/// Describes jobs to workers, and hears what becomes of their tasks.
pub trait Tasks: Send + Sync {
    /// `None`: no such job.
    fn describe(&self, task: TaskId) -> Option<TaskSpec>;

    /// Called at each change, under the machine's lock.
    fn happened(&self, machine: &str, task: TaskId, event: TaskEvent);
}

/// What a worker says of itself in each report.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The machine's name in the cloud.
    pub name: String,
    /// Where it takes direct commands.
    pub addr: String,
    /// The machine type's name.
    pub type_name: String,
    /// The zone that it is in.
    pub zone: String,
    /// CPUs that its tasks may take together.
    pub cpus: f64,
}

#[derive(Clone, Debug)]
struct Held {
    state: TaskState,
    cause: Option<Cause>,
    cpus: f64,
    ends_at: Option<u64>,
}

impl Held {
    fn on(&self) -> bool {
        self.state != TaskState::Ended
    }
}

/// A worker's tasks, session and token.
#[derive(Clone, Debug)]
pub struct Machine {
    identity: Identity,
    session: u64,
    seq: u64,
    token: u64,
    /// When the last report that was answered had been sent, or the session began.
    renewed_at: u64,
    tasks: BTreeMap<(TaskId, u64), Held>,
}

impl Machine {
    /// A new worker, in its first session.
    pub fn new(identity: Identity, now: u64) -> Self {
        Machine {
            identity,
            session: 1,
            seq: 0,
            token: 0,
            renewed_at: now,
            tasks: BTreeMap::new(),
        }
    }

    /// The session that it is in.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// The highest token that it has seen.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Tasks that are on it.
    pub fn on(&self) -> usize {
        self.tasks.values().filter(|task| task.on()).count()
    }

    /// When the next of its tasks completes.
    pub fn next_end(&self) -> Option<u64> {
        let running = self.tasks.values().filter(|task| task.on());
        running.filter_map(|task| task.ends_at).min()
    }

    /// Completes the tasks whose time has come; whether there were any.
    pub fn pass(&mut self, now: u64, tasks: &dyn Tasks) -> bool {
        let mut any = false;
        for ((task, _), held) in &mut self.tasks {
            if held.on() && held.ends_at.is_some_and(|at| at <= now) {
                (held.state, held.cause) = (TaskState::Ended, Some(Cause::Done));
                tasks.happened(&self.identity.name, *task, TaskEvent::Left);
                any = true;
            }
        }
        any
    }

    /// Ends the session if its lease has run out; whether it did.
    pub fn expire(&mut self, now: u64, lease_ms: u64, tasks: &dyn Tasks) -> bool {
        if self.renewed_at + lease_ms >= now {
            return false;
        }
        self.clear(tasks);
        self.session += 1;
        self.renewed_at = now;
        true
    }

    /// The machine is gone, with everything on it.
    pub fn clear(&mut self, tasks: &dyn Tasks) {
        for ((task, _), held) in std::mem::take(&mut self.tasks) {
            if held.on() {
                tasks.happened(&self.identity.name, task, TaskEvent::Left);
            }
        }
    }

    /// The next report.
    pub fn report(&mut self) -> Report {
        self.seq += 1;
        let tasks = self.tasks.iter();
        let tasks = tasks.map(|(&(task, attempt), held)| TaskReport {
            task,
            attempt,
            state: held.state,
            cause: held.cause,
            saved: None,
        });
        Report {
            machine: self.identity.name.clone(),
            addr: self.identity.addr.clone(),
            type_name: self.identity.type_name.clone(),
            zone: self.identity.zone.clone(),
            spot: false,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// A report sent at `sent_at` in this session was answered with `token`: whether the answer counts.
    pub fn renewed(&mut self, sent_at: u64, session: u64, token: u64) -> bool {
        if session != self.session || token < self.token {
            return false;
        }
        self.renewed_at = self.renewed_at.max(sent_at);
        true
    }

    /// Carries orders out, unless their token is lower than one seen before; whether it did.
    pub fn obey(&mut self, token: u64, orders: Vec<Order>, now: u64, tasks: &dyn Tasks) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start(task, attempt, now, tasks),
                Order::Stop { task, attempt, .. } => self.stop(task, attempt, tasks),
                Order::Forget { task, attempt } => {
                    let key = (task, attempt);
                    if self.tasks.get(&key).is_some_and(|held| !held.on()) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
        true
    }

    fn start(&mut self, task: TaskId, attempt: u64, now: u64, tasks: &dyn Tasks) {
        if self.tasks.contains_key(&(task, attempt)) {
            return;
        }
        let refused = |cause| Held {
            state: TaskState::Ended,
            cause: Some(cause),
            cpus: 0.0,
            ends_at: None,
        };
        let held = match tasks.describe(task) {
            None => refused(Cause::Unknown),
            Some(_) if self.holds(task) => refused(Cause::Busy),
            Some(spec) if self.used() + spec.cpus > self.identity.cpus => refused(Cause::NoRoom),
            Some(spec) => {
                tasks.happened(&self.identity.name, task, TaskEvent::Started);
                Held {
                    state: TaskState::Running,
                    cause: None,
                    cpus: spec.cpus,
                    ends_at: spec.run_ms.map(|run_ms| now + run_ms),
                }
            }
        };
        self.tasks.insert((task, attempt), held);
    }

    fn stop(&mut self, task: TaskId, attempt: u64, tasks: &dyn Tasks) {
        let Some(held) = self.tasks.get_mut(&(task, attempt)) else {
            return;
        };
        if held.on() {
            (held.state, held.cause) = (TaskState::Ended, Some(Cause::Stopped));
            tasks.happened(&self.identity.name, task, TaskEvent::Left);
        }
    }

    fn holds(&self, task: TaskId) -> bool {
        let of_task = (task, 0)..=(task, u64::MAX);
        self.tasks.range(of_task).any(|(_, held)| held.on())
    }

    fn used(&self) -> f64 {
        let on = self.tasks.values().filter(|task| task.on());
        on.map(|task| task.cpus).sum()
    }
}

#[cfg(test)]
mod tests;
