//! Decides whether the machine or the job is at fault when tasks fail. On a faulty machine the tasks of
//! every job fail; a job that was submitted with a mistake fails on every machine. The two are distinguished
//! by which other jobs fail on the same machines and which jobs make progress on other machines.

use crate::{
    cluster::{ClusterState, Job, JobIndex, MachineIndex, MachineState, Phase, TaskStatus},
    time::Millis,
};

/// The number of machines on which a job must have failed, with no failures of other jobs that are not
/// quarantined, before the job is considered to be at fault.
const QUARANTINE_MACHINE_COUNT: usize = 3;
/// The number of failures since the last success on a machine that make it count as faulty: one for each
/// failed job, or one for each failed task of a job that has completed tasks.
const FAULTY_MACHINE_FAILURES: usize = 2;
/// At most the fleet size divided by this may be draining when a machine is drained for failures: a wrong
/// decision must not drain the whole fleet.
const MAX_DRAINING_DIVISOR: usize = 3;
/// The number of machines that a job avoids after its tasks failed on them.
const MAX_REMEMBERED_MACHINES: usize = 4;
/// How long a job avoids them. The time is limited because the failures may have been temporary, and because
/// the other machines may have no free capacity.
const JOB_AVOIDS_MACHINE_MS: Millis = 40_000;
/// How long no task is placed on a machine after a task failed on it.
const MACHINE_AVOIDED_MS: Millis = 10_000;
/// A task that has run for this long has made progress: tasks of a job with a mistake fail immediately.
pub const PROGRESS_RUN_MS: Millis = 5000;
const INITIAL_BACKOFF_MS: Millis = 250;
const MAX_BACKOFF_MS: Millis = 30_000;

impl Job {
    /// Whether its tasks avoid the machine because one of them failed on it.
    pub fn is_avoiding(&self, machine_index: MachineIndex, now: Millis) -> bool {
        now < self.last_failed_at + JOB_AVOIDS_MACHINE_MS
            && self.recently_failed_on.contains(&machine_index)
    }
}

impl ClusterState {
    /// Handles the failure of a task on a machine: delays the job's next attempts after repeated failures,
    /// quarantines the job or drains the machine.
    pub fn on_task_failed(
        &mut self,
        job_index: JobIndex,
        machine_index: MachineIndex,
        now: Millis,
    ) {
        let job = &mut self.jobs[job_index.as_usize()];
        job.consecutive_failures += 1;
        job.last_failed_at = now;
        if !job.recently_failed_on.contains(&machine_index) {
            job.recently_failed_on.push_back(machine_index);
        }
        if job.recently_failed_on.len() > MAX_REMEMBERED_MACHINES {
            job.recently_failed_on.pop_front();
        }
        // After the first failure the task is retried without delay on another machine; further failures
        // back off exponentially.
        let backoff = INITIAL_BACKOFF_MS << job.consecutive_failures.saturating_sub(1).min(7);
        if job.consecutive_failures > 1 {
            job.backoff_until = now + backoff.min(MAX_BACKOFF_MS);
        }
        if job.quarantined {
            return;
        }
        // A job that has completed tasks is not at fault, so that each of its failures counts against
        // the machine.
        let (id, has_completed_tasks) = (job.id, job.done_count > 0);
        let machine = &mut self.machines[machine_index.as_usize()];
        machine.avoid_until = now + MACHINE_AVOIDED_MS;
        if has_completed_tasks || !machine.recent_failures.contains(&id) {
            machine.recent_failures.push(id);
        }
        if self.is_failing_everywhere(job_index, now) {
            return self.quarantine_job(job_index, now);
        }
        if self.machine(machine_index).recent_failures.len() >= FAULTY_MACHINE_FAILURES
            && self.drain_for_replacement(machine_index, MAX_DRAINING_DIVISOR, "fails every task")
        {
            self.machines[machine_index.as_usize()].faulty = true;
        }
    }

    /// Handles progress of a job: one of its tasks has completed or has run for [`PROGRESS_RUN_MS`].
    pub fn on_task_progress(&mut self, job_index: JobIndex) {
        let job = &mut self.jobs[job_index.as_usize()];
        if job.quarantined {
            tracing::info!(job = %job.id, "job made progress, quarantine lifted");
            job.quarantined = false;
            job.backoff_until = 0;
            self.scheduling_needed = true;
        }
        let job = &mut self.jobs[job_index.as_usize()];
        job.consecutive_failures = 0;
        job.recently_failed_on.clear();
    }

    fn is_failing_everywhere(&self, job_index: JobIndex, now: Millis) -> bool {
        let job = self.job(job_index);
        let is_only_failing_job = |machine_index: &&MachineIndex| {
            let failed_jobs = &self.machine(**machine_index).recent_failures;
            failed_jobs.iter().all(|failed_job| *failed_job == job.id)
        };
        job.done_count == 0
            && job
                .recently_failed_on
                .iter()
                .filter(is_only_failing_job)
                .count()
                >= QUARANTINE_MACHINE_COUNT
            && !self.has_progressing_attempt(job_index, now)
    }

    fn has_progressing_attempt(&self, job_index: JobIndex, now: Millis) -> bool {
        let attempts = self.job(job_index).tasks.iter().filter_map(|task| {
            let TaskStatus::Active(machine_index) = task.status else {
                return None;
            };
            let machine_attempts = &self.machine(machine_index).attempts;
            machine_attempts.iter().find(|attempt| {
                attempt.job == job_index
                    && attempt.phase == Phase::Running
                    && attempt.attempt == task.attempt
            })
        });
        let mut start_times = attempts.filter_map(|attempt| attempt.running_since);
        start_times.any(|running_since| running_since + PROGRESS_RUN_MS <= now)
    }

    /// Quarantines a job, so that only one of its tasks is placed at a time, and removes its failures from the
    /// machines: those that counted as faulty because of it accept tasks again.
    fn quarantine_job(&mut self, job_index: JobIndex, now: Millis) {
        let job = &mut self.jobs[job_index.as_usize()];
        job.quarantined = true;
        let id = job.id;
        tracing::warn!(job = %id, "job fails on every machine, quarantined to one task at a time");
        for machine in &mut self.machines {
            let failures_before = machine.recent_failures.len();
            machine
                .recent_failures
                .retain(|failed_job| *failed_job != id);
            if machine.recent_failures.len() == failures_before {
                continue;
            }
            if machine.recent_failures.is_empty() {
                machine.avoid_until = now;
            }
            if machine.faulty && machine.recent_failures.len() < FAULTY_MACHINE_FAILURES {
                tracing::info!(
                    machine = machine.name,
                    "machine no longer considered faulty"
                );
                machine.faulty = false;
                machine.draining = false;
            }
        }
        self.scheduling_needed = true;
    }

    /// Drains a machine, so that it is released once it is idle, unless more than the fleet size divided by
    /// `max_draining_divisor` would then be draining; at least one may always drain. Returns whether the
    /// drain began.
    pub fn drain_for_replacement(
        &mut self,
        machine_index: MachineIndex,
        max_draining_divisor: usize,
        why: &str,
    ) -> bool {
        let fleet = self.machines.iter().filter(|m| m.state == MachineState::Up);
        let (total, draining) =
            fleet.fold((0, 0), |(a, d), m| (a + 1, d + usize::from(m.draining)));
        let machine = &mut self.machines[machine_index.as_usize()];
        if machine.draining
            || (draining + 1) * max_draining_divisor > total.max(max_draining_divisor)
        {
            return false;
        }
        tracing::warn!(
            machine = machine.name,
            why,
            "draining machine for replacement"
        );
        machine.draining = true;
        self.scheduling_needed = true;
        true
    }
}

#[cfg(test)]
mod tests;
