//! The state of one worker and how it executes orders, following the published protocol.
//!
//! The caller passes the current time, in milliseconds, so that tests do not have to wait.

use std::collections::BTreeMap;

use dalelb::protocol::{
    ids::TaskId,
    worker::{ExitCause, Order, Report, TaskReport, TaskState},
};

/// The properties of a task that a worker needs to start it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskSpec {
    /// CPUs that the task uses.
    pub cpus: f64,
    /// Run time in milliseconds; `None`: until the task is stopped.
    pub run_ms: Option<u64>,
}

/// A change of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// The task has started on the machine.
    Started,
    /// The task no longer runs on the machine.
    Removed,
}

/// Provides the properties of tasks to workers and receives the events of the tasks.
pub trait TaskModel: Send + Sync {
    /// The properties of a task; `None` if its job does not exist.
    fn describe(&self, task: TaskId) -> Option<TaskSpec>;

    /// Called for each event, while the lock of the machine is held.
    fn on_task_event(&self, machine: &str, task: TaskId, event: TaskEvent);
}

/// The fields of each heartbeat that describe the worker itself.
#[derive(Clone, Debug)]
pub struct WorkerIdentity {
    /// Name of the machine in the cloud.
    pub name: String,
    /// Address for direct commands.
    pub addr: String,
    /// Name of the machine type.
    pub type_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// CPUs available to all its tasks together.
    pub cpus: f64,
}

#[derive(Clone, Debug)]
struct HeldTask {
    state: TaskState,
    cause: Option<ExitCause>,
    cpus: f64,
    ends_at: Option<u64>,
}

impl HeldTask {
    fn is_running(&self) -> bool {
        self.state != TaskState::Ended
    }
}

/// A worker's tasks, incarnation and fencing token.
#[derive(Clone, Debug)]
pub struct EmulatedWorker {
    identity: WorkerIdentity,
    incarnation: u64,
    seq: u64,
    fencing_token: u64,
    /// When the last acknowledged heartbeat was sent, or when the incarnation began.
    lease_renewed_at: u64,
    tasks: BTreeMap<(TaskId, u64), HeldTask>,
}

impl EmulatedWorker {
    /// A new worker without tasks, in its first incarnation.
    pub fn new(identity: WorkerIdentity, now: u64) -> Self {
        EmulatedWorker {
            identity,
            incarnation: 1,
            seq: 0,
            fencing_token: 0,
            lease_renewed_at: now,
            tasks: BTreeMap::new(),
        }
    }

    /// The current incarnation, from 1.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The highest fencing token received.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Number of running tasks.
    pub fn running_count(&self) -> usize {
        self.tasks.values().filter(|task| task.is_running()).count()
    }

    /// When the next running task completes.
    pub fn next_completion_at(&self) -> Option<u64> {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.filter_map(|task| task.ends_at).min()
    }

    /// Completes the tasks whose run time has passed; returns whether there were any.
    pub fn complete_due_tasks(&mut self, now: u64, tasks: &dyn TaskModel) -> bool {
        let mut any_completed = false;
        for ((task, _), held_task) in &mut self.tasks {
            if held_task.is_running() && held_task.ends_at.is_some_and(|at| at <= now) {
                (held_task.state, held_task.cause) = (TaskState::Ended, Some(ExitCause::Done));
                tasks.on_task_event(&self.identity.name, *task, TaskEvent::Removed);
                any_completed = true;
            }
        }
        any_completed
    }

    /// Starts a new incarnation without tasks if the lease has expired; returns whether it had.
    pub fn expire_lease(&mut self, now: u64, lease_ms: u64, tasks: &dyn TaskModel) -> bool {
        if self.lease_renewed_at + lease_ms >= now {
            return false;
        }
        self.remove_all_tasks(tasks);
        self.incarnation += 1;
        self.lease_renewed_at = now;
        true
    }

    /// Removes all tasks, as when the machine or its lease is lost.
    pub fn remove_all_tasks(&mut self, tasks: &dyn TaskModel) {
        for ((task, _), held_task) in std::mem::take(&mut self.tasks) {
            if held_task.is_running() {
                tasks.on_task_event(&self.identity.name, task, TaskEvent::Removed);
            }
        }
    }

    /// Creates the next heartbeat.
    pub fn report(&mut self) -> Report {
        self.seq += 1;
        let tasks = self.tasks.iter();
        let tasks = tasks.map(|(&(task, attempt), held_task)| TaskReport {
            task,
            attempt,
            state: held_task.state,
            cause: held_task.cause,
            saved: None,
        });
        Report {
            machine: self.identity.name.clone(),
            addr: self.identity.addr.clone(),
            type_name: self.identity.type_name.clone(),
            zone: self.identity.zone.clone(),
            spot: false,
            incarnation: self.incarnation,
            seq: self.seq,
            token: self.fencing_token,
            reclaim_in_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Processes the response, with fencing token `token`, to a heartbeat sent at `sent_at` in this incarnation. Returns
    /// whether it renewed the lease: responses to heartbeats of another incarnation and responses with a lower
    /// token are ignored.
    pub fn renew_lease(&mut self, sent_at: u64, incarnation: u64, token: u64) -> bool {
        if incarnation != self.incarnation || token < self.fencing_token {
            return false;
        }
        self.lease_renewed_at = self.lease_renewed_at.max(sent_at);
        true
    }

    /// Executes orders unless their fencing token is lower than one received before; returns whether it did.
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
                    if self
                        .tasks
                        .get(&key)
                        .is_some_and(|held_task| !held_task.is_running())
                    {
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
        let rejected_task = |cause| HeldTask {
            state: TaskState::Ended,
            cause: Some(cause),
            cpus: 0.0,
            ends_at: None,
        };
        let held_task = match tasks.describe(task) {
            None => rejected_task(ExitCause::Unknown),
            Some(_) if self.holds(task) => rejected_task(ExitCause::AttemptExists),
            Some(spec) if self.used_cpus() + spec.cpus > self.identity.cpus => {
                rejected_task(ExitCause::InsufficientResources)
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
        self.tasks.insert((task, attempt), held_task);
    }

    fn stop_task(&mut self, task: TaskId, attempt: u64, tasks: &dyn TaskModel) {
        let Some(held_task) = self.tasks.get_mut(&(task, attempt)) else {
            return;
        };
        if held_task.is_running() {
            (held_task.state, held_task.cause) = (TaskState::Ended, Some(ExitCause::Stopped));
            tasks.on_task_event(&self.identity.name, task, TaskEvent::Removed);
        }
    }

    fn holds(&self, task: TaskId) -> bool {
        let attempts = (task, 0)..=(task, u64::MAX);
        self.tasks
            .range(attempts)
            .any(|(_, held_task)| held_task.is_running())
    }

    fn used_cpus(&self) -> f64 {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.map(|task| task.cpus).sum()
    }
}

#[cfg(test)]
mod tests;
