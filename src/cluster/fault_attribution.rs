//! Who is at fault when tasks fail. A faulty machine fails the tasks of every job; a job that was
//! submitted with a mistake fails on every machine. What tells them apart is who else fails where, and
//! who gets anywhere elsewhere.

use crate::{
    cluster::{ClusterState, Job, JobIndex, MachineIndex, MachineState, Phase, TaskStatus},
    time::Millis,
};

/// Machines on which a job must have failed, none of which failed another job that is not at fault
/// itself, before the mistake is held to be the job's.
const QUARANTINE_MACHINE_COUNT: usize = 3;
/// Jobs that must have failed on a machine, or tasks of sound ones, with none succeeding there since.
const FAULTY_MACHINE_FAILURES: usize = 2;
/// The part of the fleet, as a divisor, that may be on its way out for failing: a wrong guess must not
/// empty it.
const MAX_DRAINING_DIVISOR: usize = 3;
/// Machines that a job keeps away from after failing there.
const MAX_REMEMBERED_MACHINES: usize = 4;
/// How long it does so: they may have been sound but for a while, and the only ones with room.
const JOB_AVOIDS_MACHINE_MS: Millis = 40_000;
/// How long a machine that failed a task is passed over.
const MACHINE_AVOIDED_MS: Millis = 10_000;
/// A task that has run for this long got somewhere: those with a mistake fail at once.
pub const PROGRESS_RUN_MS: Millis = 5000;
const INITIAL_BACKOFF_MS: Millis = 250;
const MAX_BACKOFF_MS: Millis = 30_000;

impl Job {
    /// Whether its tasks keep away from the machine, on which one failed.
    pub fn is_avoiding(&self, on: MachineIndex, now: Millis) -> bool {
        now < self.last_failed_at + JOB_AVOIDS_MACHINE_MS && self.recently_failed_on.contains(&on)
    }
}

impl ClusterState {
    /// A task of the job failed on the machine.
    pub fn on_task_failed(&mut self, index: JobIndex, on: MachineIndex, now: Millis) {
        let job = &mut self.jobs[index.as_usize()];
        job.consecutive_failures += 1;
        job.last_failed_at = now;
        if !job.recently_failed_on.contains(&on) {
            job.recently_failed_on.push_back(on);
        }
        if job.recently_failed_on.len() > MAX_REMEMBERED_MACHINES {
            job.recently_failed_on.pop_front();
        }
        // The first failure elsewhere is tried at once; then it backs off.
        let backoff = INITIAL_BACKOFF_MS << job.consecutive_failures.saturating_sub(1).min(7);
        if job.consecutive_failures > 1 {
            job.backoff_until = now + backoff.min(MAX_BACKOFF_MS);
        }
        if job.quarantined {
            return;
        }
        // One that completes tasks elsewhere is sound: each of its failures speaks against the machine.
        let (id, sound) = (job.id, job.done_count > 0);
        let machine = &mut self.machines[on.as_usize()];
        machine.avoid_until = now + MACHINE_AVOIDED_MS;
        if sound || !machine.recent_failures.contains(&id) {
            machine.recent_failures.push(id);
        }
        if self.is_failing_everywhere(index, now) {
            return self.quarantine_job(index, now);
        }
        if self.machine(on).recent_failures.len() >= FAULTY_MACHINE_FAILURES
            && self.drain_for_replacement(on, MAX_DRAINING_DIVISOR, "fails every task")
        {
            self.machines[on.as_usize()].faulty = true;
        }
    }

    /// A task of the job has completed, or has run for a while.
    pub fn on_task_progress(&mut self, index: JobIndex) {
        let job = &mut self.jobs[index.as_usize()];
        if job.quarantined {
            tracing::info!(job = %job.id, "gets somewhere after all");
            job.quarantined = false;
            job.backoff_until = 0;
            self.scheduling_needed = true;
        }
        let job = &mut self.jobs[index.as_usize()];
        job.consecutive_failures = 0;
        job.recently_failed_on.clear();
    }

    fn is_failing_everywhere(&self, index: JobIndex, now: Millis) -> bool {
        let job = self.job(index);
        let alone = |on: &&MachineIndex| {
            let others = &self.machine(**on).recent_failures;
            others.iter().all(|other| *other == job.id)
        };
        job.done_count == 0
            && job.recently_failed_on.iter().filter(alone).count() >= QUARANTINE_MACHINE_COUNT
            && !self.has_progressing_attempt(index, now)
    }

    fn has_progressing_attempt(&self, index: JobIndex, now: Millis) -> bool {
        let attempts = self.job(index).tasks.iter().filter_map(|task| {
            let TaskStatus::Active(on) = task.status else {
                return None;
            };
            let held = &self.machine(on).attempts;
            held.iter().find(|each| {
                each.job == index && each.phase == Phase::Running && each.attempt == task.attempt
            })
        });
        let mut since = attempts.filter_map(|attempt| attempt.running_since);
        since.any(|since| since + PROGRESS_RUN_MS <= now)
    }

    /// The mistake is the job's: it is tried one task at a time from now on, and what machines were
    /// held to be for its sake is taken back.
    fn quarantine_job(&mut self, index: JobIndex, now: Millis) {
        let job = &mut self.jobs[index.as_usize()];
        job.quarantined = true;
        let id = job.id;
        tracing::warn!(job = %id, "fails everywhere, tried one task at a time from now on");
        for machine in &mut self.machines {
            let before = machine.recent_failures.len();
            machine.recent_failures.retain(|other| *other != id);
            if machine.recent_failures.len() == before {
                continue;
            }
            if machine.recent_failures.is_empty() {
                machine.avoid_until = now;
            }
            if machine.faulty && machine.recent_failures.len() < FAULTY_MACHINE_FAILURES {
                tracing::info!(machine = machine.name, "is sound after all");
                machine.faulty = false;
                machine.draining = false;
            }
        }
        self.scheduling_needed = true;
    }

    /// Places nothing more on the machine, so that it empties and is returned, unless a `part` of the
    /// fleet is on its way out already.
    pub fn drain_for_replacement(&mut self, on: MachineIndex, part: usize, why: &str) -> bool {
        let fleet = self.machines.iter().filter(|m| m.state == MachineState::Up);
        let (all, draining) = fleet.fold((0, 0), |(a, d), m| (a + 1, d + usize::from(m.draining)));
        let machine = &mut self.machines[on.as_usize()];
        if machine.draining || (draining + 1) * part > all.max(part) {
            return false;
        }
        tracing::warn!(machine = machine.name, why, "to be replaced");
        machine.draining = true;
        self.scheduling_needed = true;
        true
    }
}

#[cfg(test)]
mod tests;
