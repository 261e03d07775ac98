//! Workers: heartbeats, execution of orders, and the invariants that are checked when a task
//! starts.

use super::*;

impl SimulatedCluster {
    pub(crate) fn build_report(&mut self, worker_index: usize) -> Report {
        let worker = &mut self.workers[worker_index];
        worker.seq += 1;
        Report {
            machine: worker.name.clone(),
            addr: "10.0.0.1:1".into(),
            type_name: "c16".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            incarnation: worker.incarnation,
            seq: worker.seq,
            token: worker.token,
            reclaim_in_s: None,
            tasks: worker
                .tasks
                .iter()
                .map(|(task, entry)| TaskReport {
                    task: *task,
                    attempt: entry.attempt,
                    state: entry.state,
                    cause: entry.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Advances a worker to the current time: expires its lease, finishes image downloads and ends
    /// tasks.
    pub(crate) fn advance_worker(&mut self, worker_index: usize) {
        let now = self.now;
        let worker = &mut self.workers[worker_index];
        if worker.deleted {
            return;
        }
        if now
            > worker.lease_renewed_at
                + (self.timings.lease_ttl_ms as f64 * worker.lease_duration_factor) as u64
        {
            worker.tasks.clear();
            worker.incarnation += 1;
            worker.lease_renewed_at = now;
            worker.report_in_flight = None;
            worker.report_at = now;
        }
        if worker.hung_until > now {
            return;
        }
        let due: Vec<TaskId> = worker
            .tasks
            .iter()
            .filter(|(_, entry)| entry.ends_at <= now && entry.state != TaskState::Ended)
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let spec = self.jobs[&task.job].0.clone();
            let state = self.workers[worker_index].tasks[&task].state;
            if state == TaskState::Fetching {
                self.workers[worker_index].images.insert(spec.image.clone());
                self.on_task_started(worker_index, task, &spec);
                let done = self.completed_tasks.contains(&task);
                let entry = self.workers[worker_index]
                    .tasks
                    .get_mut(&task)
                    .expect("the task is on the worker");
                entry.state = TaskState::Running;
                entry.running_since = Some(now);
                entry.ends_at = if done {
                    now
                } else if spec.kind == JobKind::Service {
                    u64::MAX
                } else {
                    now + (spec.estimate_s * 1000.0) as u64
                };
            } else {
                if self.completed_tasks.insert(task) {
                    self.cancel_at_completion(task.job, &spec);
                }
                let entry = self.workers[worker_index]
                    .tasks
                    .get_mut(&task)
                    .expect("the task is on the worker");
                entry.state = TaskState::Ended;
                entry.running_since = None;
                entry.reported_running_at = None;
                entry.cause = Some(ExitCause::Done);
            }
            let worker = &mut self.workers[worker_index];
            worker.report_at = worker.report_at.min(now + 500);
        }
    }

    /// When the last task of a job ends, cancels the job at that moment or up to 2.5 s later, while
    /// the end is reported and stored.
    pub(crate) fn cancel_at_completion(&mut self, job: JobId, spec: &Submission) {
        let done = |index| self.completed_tasks.contains(&TaskId { job, index });
        if self.cancel_at_completion_until <= self.now || !(0..spec.tasks).all(done) {
            return;
        }
        let time = self.now + self.rng.random_range(0..2500);
        self.schedule(time, SimulationEvent::CancelJob(job));
        for _ in 0..3 {
            let check_time = time.saturating_sub(50).max(self.now) + self.rng.random_range(0..100);
            self.schedule(check_time, SimulationEvent::CheckConsistency(job));
        }
    }

    /// Checks the invariants of a start, as a task whose image was downloaded starts to run.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(crate) fn on_task_started(&mut self, worker_index: usize, task: TaskId, spec: &Submission) {
        self.starts += 1;
        *self.starts_by_task.entry(task).or_default() += 1;
        let is_active = |state| matches!(state, TaskState::Running | TaskState::Saving);
        for (other, worker) in self.workers.iter().enumerate() {
            let runs_there = worker
                .tasks
                .get(&task)
                .is_some_and(|entry| is_active(entry.state));
            assert!(
                other == worker_index || !runs_there,
                "ran_twice: task {task} starts while it runs on another machine, at {} ms",
                self.now
            );
        }
        let (worker, user_view) = (&self.workers[worker_index], &self.jobs[&task.job].1);
        assert!(
            !worker.spot || spec.spot,
            "wrong_place: task {task} of a job without spot machines starts on a spot machine"
        );
        let allowed = spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone);
        assert!(
            allowed,
            "wrong_place: task {task} starts in zone {}",
            worker.zone
        );
        if spec.one_zone {
            for other in self
                .workers
                .iter()
                .filter(|other| other.zone != worker.zone)
            {
                let runs_in_other_zone = |(id, entry): (&TaskId, &TaskOnWorker)| {
                    id.job == task.job && is_active(entry.state)
                };
                assert!(
                    !other.tasks.iter().any(runs_in_other_zone),
                    "wrong_place: task {task} of a one-zone job starts in another zone than the rest of the job"
                );
            }
        }
        for dependency in &spec.dependencies {
            // The stored record decides: a cancellation may precede the write of an end that was
            // already reported.
            let record = self.store.row(&format!("shared/job/{dependency}"));
            let record = record.expect("the dependency was accepted").value;
            assert_eq!(
                record["status"], "done",
                "too_early: task {task} starts before its dependency is done, at {} ms",
                self.now
            );
            self.dependent_starts += 1;
        }
        if let Some(confirmed_at) = user_view.cancelled_at {
            assert!(
                self.now <= confirmed_at + self.timings.cancellation_bound_ms,
                "ran_cancelled: task {task} of a cancelled job starts after the cancellation bound"
            );
        }
        let running = |team: &str| -> f64 {
            let tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
            tasks
                .filter(|(_, entry)| is_active(entry.state))
                .map(|(id, _)| &self.jobs[&id.job].0)
                .filter(|job| job.team == team)
                .map(|job| job.cpus)
                .sum()
        };
        if spec.team == "red" {
            let used = running("red") + spec.cpus;
            assert!(
                used <= TEAM_CPU_LIMIT + 1e-6,
                "quota: team red exceeds its limit: {used} CPUs with {task} on {}: {:?}",
                self.workers[worker_index].name,
                self.task_locations("red")
            );
        }
        if spec.spread {
            let tasks_in_zone = self
                .workers
                .iter()
                .filter(|other| other.zone == worker.zone)
                .flat_map(|other| &other.tasks)
                .filter(|(id, entry)| id.job == task.job && is_active(entry.state))
                .count();
            assert!(
                tasks_in_zone < spec.tasks.div_ceil(2) as usize,
                "wrong_place: task {task}: too many tasks of a spread job in one zone"
            );
        }
    }

    /// Lists the placement of a team's tasks, for the messages of failed assertions.
    pub(crate) fn task_locations(&self, team: &str) -> Vec<String> {
        let mut locations = Vec::new();
        for worker in &self.workers {
            for (task, entry) in &worker.tasks {
                if self.jobs[&task.job].0.team == team {
                    locations.push(format!(
                        "{task}#{} {:?} on {} (incarnation {}, token {}, unreachable until {})",
                        entry.attempt,
                        entry.state,
                        worker.name,
                        worker.incarnation,
                        worker.token,
                        worker.unreachable_until
                    ));
                }
            }
        }
        locations
    }

    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(crate) fn execute_orders(&mut self, worker_index: usize, orders: &[Order]) {
        for order in orders {
            match *order {
                Order::Start { task, attempt } => {
                    let spec = self.jobs[&task.job].0.clone();
                    let mut used = 0.0;
                    for (id, present) in &self.workers[worker_index].tasks {
                        if present.state != TaskState::Ended {
                            used += self.jobs[&id.job].0.cpus;
                        }
                    }
                    let fetch = self.rng.random_range(50..3000);
                    let worker = &mut self.workers[worker_index];
                    let fetch = if worker.images.contains(&spec.image) {
                        1
                    } else {
                        fetch
                    };
                    if worker
                        .tasks
                        .get(&task)
                        .is_some_and(|present| present.attempt == attempt)
                    {
                        continue;
                    }
                    let refusal = if worker.tasks.contains_key(&task) {
                        // The present attempt stays; this model does not report the refusal of the
                        // new one.
                        continue;
                    } else {
                        (used + spec.cpus > 16.0 + 1e-6).then_some(ExitCause::InsufficientResources)
                    };
                    let new_entry = TaskOnWorker {
                        attempt,
                        state: if refusal.is_some() {
                            TaskState::Ended
                        } else {
                            TaskState::Fetching
                        },
                        cause: refusal,
                        ends_at: self.now + fetch,
                        running_since: None,
                        reported_running_at: None,
                    };
                    worker.tasks.insert(task, new_entry);
                }
                Order::Stop { task, attempt, .. } => {
                    if let Some(present) = self.workers[worker_index].tasks.get_mut(&task)
                        && present.attempt == attempt
                        && present.state != TaskState::Ended
                    {
                        present.state = TaskState::Ended;
                        present.running_since = None;
                        present.reported_running_at = None;
                        present.cause = Some(ExitCause::Stopped);
                    }
                }
                Order::Forget { task, attempt } => {
                    let worker = &mut self.workers[worker_index];
                    if worker.tasks.get(&task).is_some_and(|present| {
                        present.attempt == attempt && present.state == TaskState::Ended
                    }) {
                        worker.tasks.remove(&task);
                    }
                }
            }
        }
        if !orders.is_empty() {
            let worker = &mut self.workers[worker_index];
            worker.report_at = worker.report_at.min(self.now + 500);
        }
    }

    /// Returns the running tasks, each with its attempt and the index of its worker.
    pub(crate) fn running(&self) -> BTreeMap<TaskId, (u64, usize)> {
        let all = self.workers.iter().enumerate();
        let tasks = all
            .flat_map(|(worker_index, worker)| worker.tasks.iter().map(move |t| (worker_index, t)));
        tasks
            .filter(|(_, (_, entry))| entry.state == TaskState::Running)
            .map(|(worker_index, (task, entry))| (*task, (entry.attempt, worker_index)))
            .collect()
    }
}
