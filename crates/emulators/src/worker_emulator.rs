//! What one worker holds, and how it obeys, by the published protocol.
//!
//! Time is told by the caller, in milliseconds, so that the machine can be tested without waiting.

use std::collections::BTreeMap;

use dalelb::protocol::{
    ids::TaskId,
    worker::{FailureCause, Order, Report, TaskReport, TaskState},
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
    Removed,
}

/// Describes jobs to workers, and hears what becomes of their tasks.
pub trait TaskModel: Send + Sync {
    /// `None`: no such job.
    fn describe(&self, task: TaskId) -> Option<TaskSpec>;

    /// Called at each change, under the machine's lock.
    fn on_task_event(&self, machine: &str, task: TaskId, event: TaskEvent);
}

/// What a worker says of itself in each report.
#[derive(Clone, Debug)]
pub struct WorkerIdentity {
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
struct HeldTask {
    state: TaskState,
    cause: Option<FailureCause>,
    cpus: f64,
    ends_at: Option<u64>,
}

impl HeldTask {
    fn is_running(&self) -> bool {
        self.state != TaskState::Ended
    }
}

/// A worker's tasks, session and token.
#[derive(Clone, Debug)]
pub struct EmulatedWorker {
    identity: WorkerIdentity,
    session: u64,
    seq: u64,
    fencing_token: u64,
    /// When the last report that was answered had been sent, or the session began.
    lease_renewed_at: u64,
    tasks: BTreeMap<(TaskId, u64), HeldTask>,
}

impl EmulatedWorker {
    /// A new worker, in its first session.
    pub fn new(identity: WorkerIdentity, now: u64) -> Self {
        EmulatedWorker {
            identity,
            session: 1,
            seq: 0,
            fencing_token: 0,
            lease_renewed_at: now,
            tasks: BTreeMap::new(),
        }
    }

    /// The session that it is in.
    pub fn incarnation(&self) -> u64 {
        self.session
    }

    /// The highest token that it has seen.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Tasks that are on it.
    pub fn running_count(&self) -> usize {
        self.tasks.values().filter(|task| task.is_running()).count()
    }

    /// When the next of its tasks completes.
    pub fn next_completion_at(&self) -> Option<u64> {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.filter_map(|task| task.ends_at).min()
    }

    /// Completes the tasks whose time has come; whether there were any.
    pub fn complete_due_tasks(&mut self, now: u64, tasks: &dyn TaskModel) -> bool {
        let mut any = false;
        for ((task, _), held) in &mut self.tasks {
            if held.is_running() && held.ends_at.is_some_and(|at| at <= now) {
                (held.state, held.cause) = (TaskState::Ended, Some(FailureCause::Done));
                tasks.on_task_event(&self.identity.name, *task, TaskEvent::Removed);
                any = true;
            }
        }
        any
    }

    /// Ends the session if its lease has run out; whether it did.
    pub fn expire_lease(&mut self, now: u64, lease_ms: u64, tasks: &dyn TaskModel) -> bool {
        if self.lease_renewed_at + lease_ms >= now {
            return false;
        }
        self.remove_all_tasks(tasks);
        self.session += 1;
        self.lease_renewed_at = now;
        true
    }

    /// The machine is gone, with everything on it.
    pub fn remove_all_tasks(&mut self, tasks: &dyn TaskModel) {
        for ((task, _), held) in std::mem::take(&mut self.tasks) {
            if held.is_running() {
                tasks.on_task_event(&self.identity.name, task, TaskEvent::Removed);
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
            incarnation: self.session,
            seq: self.seq,
            token: self.fencing_token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// A report sent at `sent_at` in this session was answered with `token`: whether the answer counts.
    pub fn renew_lease(&mut self, sent_at: u64, session: u64, token: u64) -> bool {
        if session != self.session || token < self.fencing_token {
            return false;
        }
        self.lease_renewed_at = self.lease_renewed_at.max(sent_at);
        true
    }

    /// Carries orders out, unless their token is lower than one seen before; whether it did.
    pub fn execute_orders(
        &mut self,
        token: u64,
        orders: Vec<Order>,
        now: u64,
        tasks: &dyn TaskModel,
    ) -> bool {
        if token < self.fencing_token {
            return false;
        }
        self.fencing_token = token;
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start_task(task, attempt, now, tasks),
                Order::Stop { task, attempt, .. } => self.stop_task(task, attempt, tasks),
                Order::Forget { task, attempt } => {
                    let key = (task, attempt);
                    if self.tasks.get(&key).is_some_and(|held| !held.is_running()) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
        true
    }

    fn start_task(&mut self, task: TaskId, attempt: u64, now: u64, tasks: &dyn TaskModel) {
        if self.tasks.contains_key(&(task, attempt)) {
            return;
        }
        let refused = |cause| HeldTask {
            state: TaskState::Ended,
            cause: Some(cause),
            cpus: 0.0,
            ends_at: None,
        };
        let held = match tasks.describe(task) {
            None => refused(FailureCause::Unknown),
            Some(_) if self.holds(task) => refused(FailureCause::Busy),
            Some(spec) if self.used_cpus() + spec.cpus > self.identity.cpus => {
                refused(FailureCause::NoRoom)
            }
            Some(spec) => {
                tasks.on_task_event(&self.identity.name, task, TaskEvent::Started);
                HeldTask {
                    state: TaskState::Running,
                    cause: None,
                    cpus: spec.cpus,
                    ends_at: spec.run_ms.map(|run_ms| now + run_ms),
                }
            }
        };
        self.tasks.insert((task, attempt), held);
    }

    fn stop_task(&mut self, task: TaskId, attempt: u64, tasks: &dyn TaskModel) {
        let Some(held) = self.tasks.get_mut(&(task, attempt)) else {
            return;
        };
        if held.is_running() {
            (held.state, held.cause) = (TaskState::Ended, Some(FailureCause::Stopped));
            tasks.on_task_event(&self.identity.name, task, TaskEvent::Removed);
        }
    }

    fn holds(&self, task: TaskId) -> bool {
        let of_task = (task, 0)..=(task, u64::MAX);
        self.tasks.range(of_task).any(|(_, held)| held.is_running())
    }

    fn used_cpus(&self) -> f64 {
        let on = self.tasks.values().filter(|task| task.is_running());
        on.map(|task| task.cpus).sum()
    }
}

#[cfg(test)]
mod tests;
