//! Who is at fault when tasks fail. A faulty machine fails the tasks of every job; a job that was
//! submitted with a mistake fails on every machine. What tells them apart is who else fails where, and
//! who gets anywhere elsewhere.

use crate::{
    cluster::{Books, Job, JobIx, MachineIx, MachineState, Phase, TaskStatus},
    time::Millis,
};

/// Machines on which a job must have failed, none of which failed another job that is not at fault
/// itself, before the mistake is held to be the job's.
const MACHINES: usize = 3;
/// Jobs that must have failed on a machine, or tasks of sound ones, with none succeeding there since.
const JOBS: usize = 2;
/// The part of the fleet, as a divisor, that may be on its way out for failing: a wrong guess must not
/// empty it.
const PART: usize = 3;
/// Machines that a job keeps away from after failing there.
const REMEMBERED: usize = 4;
/// How long it does so: they may have been sound but for a while, and the only ones with room.
const KEEP_AWAY: Millis = 40_000;
/// How long a machine that failed a task is passed over.
const AVOID: Millis = 10_000;
/// A task that has run for this long got somewhere: those with a mistake fail at once.
pub const RAN: Millis = 5000;
const BACKOFF: Millis = 250;
const MAX_BACKOFF: Millis = 30_000;

impl Job {
    /// Whether its tasks keep away from the machine, on which one failed.
    pub fn avoids(&self, on: MachineIx, now: Millis) -> bool {
        now < self.failed_at + KEEP_AWAY && self.failed_on.contains(&on)
    }
}

impl Books {
    /// A task of the job failed on the machine.
    pub fn failed(&mut self, index: JobIx, on: MachineIx, now: Millis) {
        let job = &mut self.jobs[index.at()];
        job.errors += 1;
        job.failed_at = now;
        if !job.failed_on.contains(&on) {
            job.failed_on.push_back(on);
        }
        if job.failed_on.len() > REMEMBERED {
            job.failed_on.pop_front();
        }
        // The first failure elsewhere is tried at once; then it backs off.
        let backoff = BACKOFF << job.errors.saturating_sub(1).min(7);
        if job.errors > 1 {
            job.not_before = now + backoff.min(MAX_BACKOFF);
        }
        if job.at_fault {
            return;
        }
        // One that completes tasks elsewhere is sound: each of its failures speaks against the machine.
        let (id, sound) = (job.id, job.done > 0);
        let machine = &mut self.machines[on.at()];
        machine.avoid_until = now + AVOID;
        if sound || !machine.failures.contains(&id) {
            machine.failures.push(id);
        }
        if self.is_mistaken(index, now) {
            return self.convict(index, now);
        }
        if self.machine(on).failures.len() >= JOBS && self.replace(on, PART, "fails every task") {
            self.machines[on.at()].sick = true;
        }
    }

    /// A task of the job has completed, or has run for a while.
    pub fn got_somewhere(&mut self, index: JobIx) {
        let job = &mut self.jobs[index.at()];
        if job.at_fault {
            tracing::info!(job = %job.id, "gets somewhere after all");
            job.at_fault = false;
            job.not_before = 0;
            self.changed = true;
        }
        let job = &mut self.jobs[index.at()];
        job.errors = 0;
        job.failed_on.clear();
    }

    fn is_mistaken(&self, index: JobIx, now: Millis) -> bool {
        let job = self.job(index);
        let alone = |on: &&MachineIx| {
            let others = &self.machine(**on).failures;
            others.iter().all(|other| *other == job.id)
        };
        job.done == 0
            && job.failed_on.iter().filter(alone).count() >= MACHINES
            && !self.runs_elsewhere(index, now)
    }

    fn runs_elsewhere(&self, index: JobIx, now: Millis) -> bool {
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
        since.any(|since| since + RAN <= now)
    }

    /// The mistake is the job's: it is tried one task at a time from now on, and what machines were
    /// held to be for its sake is taken back.
    fn convict(&mut self, index: JobIx, now: Millis) {
        let job = &mut self.jobs[index.at()];
        job.at_fault = true;
        let id = job.id;
        tracing::warn!(job = %id, "fails everywhere, tried one task at a time from now on");
        for machine in &mut self.machines {
            let before = machine.failures.len();
            machine.failures.retain(|other| *other != id);
            if machine.failures.len() == before {
                continue;
            }
            if machine.failures.is_empty() {
                machine.avoid_until = now;
            }
            if machine.sick && machine.failures.len() < JOBS {
                tracing::info!(machine = machine.name, "is sound after all");
                machine.sick = false;
                machine.draining = false;
            }
        }
        self.changed = true;
    }

    /// Places nothing more on the machine, so that it empties and is returned, unless a `part` of the
    /// fleet is on its way out already.
    pub fn replace(&mut self, on: MachineIx, part: usize, why: &str) -> bool {
        let fleet = self.machines.iter().filter(|m| m.state == MachineState::Up);
        let (all, draining) = fleet.fold((0, 0), |(a, d), m| (a + 1, d + usize::from(m.draining)));
        let machine = &mut self.machines[on.at()];
        if machine.draining || (draining + 1) * part > all.max(part) {
            return false;
        }
        tracing::warn!(machine = machine.name, why, "to be replaced");
        machine.draining = true;
        self.changed = true;
        true
    }
}

#[cfg(test)]
mod tests;
