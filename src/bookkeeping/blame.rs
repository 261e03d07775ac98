//! Who is at fault when tasks fail. A faulty machine fails the tasks of every job; a job that was
//! submitted with a mistake fails on every machine. What tells them apart is who else fails where, and
//! who gets anywhere elsewhere.

use super::{
    Millis,
    books::{Books, Job, JobIx, MachineIx, MachineState, Phase, TaskStatus},
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
mod tests {
    use rand::{Rng, SeedableRng, rngs::StdRng};
    use serde_json::json;

    use super::*;
    use crate::{
        bookkeeping::{
            books::TypeIx,
            scheduler::{self, Whose},
            store::images_records,
        },
        config::Settings,
        protocol::{cloud::MachineType, ids::JobId, job::Submission},
    };

    fn fleet(machines: usize) -> Books {
        let settings: Settings = serde_json::from_value(json!({
            "zones": ["a"], "teams": [{"name": "red", "cpus": 64.0}],
            "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
            "cloud": {"rps": 3.0}
        }))
        .expect("valid settings");
        let kind: MachineType = serde_json::from_value(json!({
            "sku": "c16", "cpus": 16.0, "gpus": 0.0, "ram_gb": 64.0, "local_gb": 10.0,
            "pull_gb_per_s": 1.0, "hourly": 1.0, "ready_s": 10.0, "yards": ["a"]
        }))
        .expect("a machine type");
        let mut books = Books::new(&settings, &[kind]);
        for number in 0..machines {
            let name = format!("vm-{number}");
            let zone = books.zone("a");
            let on = books.add_machine(&name, TypeIx(0), zone, false, 0);
            books.machines[on.at()].state = MachineState::Up;
        }
        books
    }

    fn submit(books: &mut Books, number: u64, tasks: u32) -> JobIx {
        let spec: Submission = serde_json::from_value(json!({
            "id": format!("j-{number:06}"), "lane": "any", "crew": "red", "shape": "array",
            "urgency": "standard", "pieces": tasks, "cpus": 2.0, "gpus": 0.0, "ram_gb": 1.0,
            "builds": null, "yard": null, "together": false, "apart": false, "loaners": true,
            "kit": "img", "size_gb": 0.1, "guess_s": 10.0, "bookmark_s": 0.0, "stash_s": 0.0,
            "due_s": null
        }))
        .expect("a submission");
        books.add_job(&spec, 0, 0).expect("a known team")
    }

    /// Plays generated fleets with jobs that have a mistake and machines that fail everything at once.
    /// Returns the jobs held to be at fault, the machines held to be faulty at any time and at the end,
    /// and how many starts the mistaken jobs had in the second half.
    fn play(seed: u64, faulty: usize, mistaken: u64) -> (Vec<u64>, Vec<usize>, usize) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut books = fleet(30);
        let mut late_starts = 0;
        for step in 0..240u64 {
            let now = step * 500;
            if step % 4 == 0 {
                submit(&mut books, step / 4, 20);
            }
            scheduler::round(&mut books, now);
            for on in (0..30).map(MachineIx) {
                for at in (0..books.machine(on).attempts.len()).rev() {
                    let attempt = &books.machine(on).attempts[at];
                    let (job, task, number) = (attempt.job, attempt.task, attempt.attempt);
                    let fails = books.job(job).id.0 < mistaken || on.at() < faulty;
                    if books.job(job).id.0 < mistaken && step > 120 {
                        late_starts += 1;
                    }
                    if fails {
                        books.advance(on, at, Phase::Ended, now);
                        books.requeue(job, task, number);
                        books.machines[on.at()].attempts[at].settled = true;
                        books.failed(job, on, now);
                        books.drop_attempt(on, at, now);
                    } else if rng.random_bool(0.1) {
                        books.advance(on, at, Phase::Ended, now);
                        books.complete_task(job, task);
                        books.machines[on.at()].attempts[at].settled = true;
                        books.machines[on.at()].failures.clear();
                        books.got_somewhere(job);
                        books.drop_attempt(on, at, now);
                    }
                }
            }
        }
        let jobs = books.jobs.iter().filter(|job| job.at_fault);
        let jobs = jobs.map(|job| job.id.0).collect();
        let machines = (0..30).filter(|at| books.machines[*at].draining);
        let machines = machines.collect();
        // Nobody gives way for them, and a successor is told.
        assert!(scheduler::preempt(&books, 200_000, Whose::All).is_empty());
        for machine in &mut books.machines {
            machine.images.push((super::super::books::ImageIx(0), 0.1));
        }
        let told: Vec<JobId> = images_records(&books, 16_000)
            .into_iter()
            .flat_map(|record| record.at_fault)
            .collect();
        assert_eq!(told.len() as u64, mistaken);
        (jobs, machines, late_starts)
    }

    /// Two jobs with a mistake failed on the same machines, which were all given up for it; and their
    /// hundreds of tasks were tried on every machine again and again.
    #[test]
    fn mistaken_jobs_and_faulty_machines_are_told_apart() {
        for seed in 0..20 {
            for (faulty, mistaken) in [(0, 3), (4, 0), (4, 3)] {
                let (jobs, machines, late) = play(seed, faulty, mistaken);
                assert_eq!(jobs, (0..mistaken).collect::<Vec<_>>(), "seed {seed}");
                assert_eq!(machines, (0..faulty).collect::<Vec<_>>(), "seed {seed}");
                // One task at a time, 30 s apart, in 60 s.
                assert!(late <= 4 * mistaken as usize, "seed {seed}: {late} starts");
            }
        }
    }
}
