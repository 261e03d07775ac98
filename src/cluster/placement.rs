//! Placing attempts: reserving their resources, tracking their phases, and releasing the resources.

use crate::{
    cluster::{
        ClusterState,
        attempt::{Attempt, Phase},
        durability::task_keys_of_job,
        index::{JobIndex, MachineIndex},
        resources::Resources,
        task::TaskStatus,
    },
    time::Millis,
};

impl ClusterState {
    /// Places an attempt of a task whose workload class is starved, so that arrays can't preempt it.
    pub fn place_for_fair_share(
        &mut self,
        job: JobIndex,
        task: u32,
        machine_index: MachineIndex,
        now: Millis,
    ) {
        self.place(job, task, machine_index, now);
        if let Some(attempt) = self.machines[machine_index.as_usize()].attempts.last_mut() {
            attempt.placed_for_fair_share = true;
        }
    }

    /// Places a new attempt of a waiting task. Its start may be sent once the placement is stored.
    pub fn place(&mut self, job: JobIndex, task: u32, machine_index: MachineIndex, now: Millis) {
        let task_entry = &mut self.jobs[job.as_usize()].tasks[task as usize];
        debug_assert_eq!(task_entry.status, TaskStatus::Waiting);
        let attempt = task_entry.attempt + 1;
        self.unlogged_tasks.insert((job, task));
        self.reserve(
            Attempt {
                job,
                task,
                attempt,
                phase: Phase::Placed,
                cause: None,
                placed_at: now,
                running_since: None,
                start_sent: false,
                recovered: false,
                direct_start_in_flight: false,
                started_by_heartbeat: None,
                fencing_token: 0,
                stop_grace_s: None,
                stop_sent: false,
                reconciled: false,
                direct_start_term: 0,
                placed_for_fair_share: false,
            },
            machine_index,
        );
    }

    /// Reserves resources for an attempt that may be running, on its machine and for its team.
    pub fn reserve(&mut self, attempt: Attempt, machine_index: MachineIndex) {
        let machine = &mut self.machines[machine_index.as_usize()];
        let job = &mut self.jobs[attempt.job.as_usize()];
        let task = &mut job.tasks[attempt.task as usize];
        task.status = TaskStatus::Active(machine_index);
        task.attempt = attempt.attempt;
        job.waiting.remove(&attempt.task);
        job.active_by_zone[machine.zone.as_usize()] += 1;
        machine.reserved.add(&job.requested);
        let team = &mut self.teams[job.team.as_usize()];
        team.reserved.add(&job.requested);
        if job.waiting.is_empty() {
            team.queue.remove(&job.queue_key(attempt.job));
        }
        machine.attempts.push(attempt);
    }

    /// Releases the resources of an attempt that is confirmed to have ended or to be gone.
    fn release_reservation(&mut self, machine_index: MachineIndex, attempt: &Attempt, now: Millis) {
        let machine = &mut self.machines[machine_index.as_usize()];
        let job = &mut self.jobs[attempt.job.as_usize()];
        job.active_by_zone[machine.zone.as_usize()] -= 1;
        if attempt.phase >= Phase::Running && attempt.phase < Phase::Ended {
            job.running_count -= 1;
        }
        machine.reserved.sub(&job.requested);
        self.teams[job.team.as_usize()].reserved.sub(&job.requested);
        if machine.is_idle() {
            machine.reserved = Resources::default();
            machine.idle_since = now;
        }
        self.scheduling_needed = true;
    }

    /// Moves an attempt to the phase that a heartbeat reports. An ended attempt stays ended.
    pub fn advance_phase(
        &mut self,
        machine_index: MachineIndex,
        attempt_index: usize,
        phase: Phase,
        now: Millis,
    ) {
        let attempt = &mut self.machines[machine_index.as_usize()].attempts[attempt_index];
        let previous_phase = attempt.phase;
        if previous_phase == phase || previous_phase == Phase::Ended {
            return;
        }
        let counts_as_running = |phase| matches!(phase, Phase::Running | Phase::Saving);
        let (job, previous) = (attempt.job, attempt.clone());
        attempt.phase = phase;
        if phase == Phase::Running {
            attempt.running_since = Some(now);
        }
        if phase == Phase::Ended {
            self.release_reservation(machine_index, &previous, now);
            return;
        }
        let job_entry = &mut self.jobs[job.as_usize()];
        if counts_as_running(phase) && !counts_as_running(previous_phase) {
            job_entry.running_count += 1;
            let (image, image_gb) = (job_entry.image, job_entry.image_gb);
            self.cache_image(machine_index, image, image_gb);
        } else if counts_as_running(previous_phase) && !counts_as_running(phase) {
            job_entry.running_count -= 1;
        }
    }

    /// Removes an attempt that is confirmed gone. Its task waits again if this was its latest attempt and its
    /// result was not processed.
    pub fn remove_attempt(
        &mut self,
        machine_index: MachineIndex,
        attempt_index: usize,
        now: Millis,
    ) {
        let attempt = self.machines[machine_index.as_usize()]
            .attempts
            .swap_remove(attempt_index);
        if attempt.phase != Phase::Ended {
            self.release_reservation(machine_index, &attempt, now);
        }
        if !attempt.reconciled {
            self.requeue(attempt.job, attempt.task, attempt.attempt);
        }
    }

    /// Puts a task back into the queue if it is active and this attempt is its latest.
    pub fn requeue(&mut self, job: JobIndex, task: u32, attempt: u32) {
        let job_entry = &mut self.jobs[job.as_usize()];
        let task_entry = &mut job_entry.tasks[task as usize];
        if task_entry.attempt != attempt || !matches!(task_entry.status, TaskStatus::Active(_)) {
            return;
        }
        task_entry.status = TaskStatus::Waiting;
        self.scheduling_needed = true;
        if job_entry.closed {
            return;
        }
        job_entry.waiting.insert(task);
        let key = job_entry.queue_key(job);
        self.teams[job_entry.team.as_usize()].queue.insert(key);
    }

    /// Marks a task as completed.
    pub fn complete_task(&mut self, job: JobIndex, task: u32) {
        let job_entry = &mut self.jobs[job.as_usize()];
        let task_entry = &mut job_entry.tasks[task as usize];
        if task_entry.status != TaskStatus::Done {
            task_entry.status = TaskStatus::Done;
            job_entry.done_count += 1;
            job_entry.waiting.remove(&task);
            if job_entry.waiting.is_empty() {
                let key = job_entry.queue_key(job);
                self.teams[job_entry.team.as_usize()].queue.remove(&key);
            }
            if job_entry.is_complete() {
                self.completed_jobs.insert(job);
            }
        }
        self.unlogged_tasks.insert((job, task));
    }

    /// Closes a job that is over: none of its tasks is placed any more, and its attempts that may be running
    /// have to stop, without time to save.
    pub fn close_job(&mut self, index: JobIndex) {
        let job = &mut self.jobs[index.as_usize()];
        job.closed = true;
        job.waiting.clear();
        let key = job.queue_key(index);
        self.teams[job.team.as_usize()].queue.remove(&key);
        self.completed_jobs.remove(&index);
        let unlogged = self.unlogged_tasks.range(task_keys_of_job(index)).copied();
        for task_key in unlogged.collect::<Vec<_>>() {
            self.unlogged_tasks.remove(&task_key);
        }
        for (machine_number, machine) in self.machines.iter_mut().enumerate() {
            for attempt in &mut machine.attempts {
                if attempt.job == index && attempt.phase != Phase::Ended {
                    attempt.stop_grace_s = Some(0.0);
                    attempt.stop_sent = false;
                    self.machines_needing_commands
                        .insert(MachineIndex(machine_number as u32));
                }
            }
        }
        self.scheduling_needed = true;
    }

    /// Requests the stop of an attempt, which gets `grace_s` seconds to save its state.
    pub fn request_stop(
        &mut self,
        machine_index: MachineIndex,
        attempt_index: usize,
        grace_s: f64,
    ) {
        let attempt = &mut self.machines[machine_index.as_usize()].attempts[attempt_index];
        attempt.stop_grace_s = Some(grace_s);
        attempt.stop_sent = false;
        self.machines_needing_commands.insert(machine_index);
    }
}
