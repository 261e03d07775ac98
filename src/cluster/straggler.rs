//! Which machines are slow. Estimates are of the users' making and tasks of one job differ, so a
//! machine's tasks are compared with what other tasks of their jobs took, and several must agree.

/// Completed tasks of a job from which on they are a norm.
const NORM: u32 = 6;
/// Tasks of a machine that must have been compared.
const ENOUGH: u32 = 4;
/// A mean over this many takes in what is new and forgets what is old.
const LATEST: u32 = 8;
/// How many times longer than elsewhere tasks take on a machine that counts as slow. Tasks of one job
/// differ by half either way; the mean of several does so by far less.
const SLOW: f64 = 2.2;

/// Running tasks that take longer than this, times the mean of their jobs, are late; two of them on one
/// machine tell what those that end there will tell much later.
const LATE: f64 = 2.5;
const LATE_ENOUGH: usize = 2;

/// A mean that follows the latest values.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    count: u32,
    mean: f64,
}

impl Mean {
    pub fn add(&mut self, value: f64) {
        self.count = (self.count + 1).min(LATEST);
        self.mean += (value - self.mean) / f64::from(self.count);
    }
}

/// A task of the job took `ran_s` on the machine. Returns whether the machine counts as slow.
pub fn completed(job: &mut Mean, machine: &mut Mean, ran_s: f64) -> bool {
    if job.count >= NORM && job.mean > 0.0 {
        machine.add(ran_s / job.mean);
    }
    job.add(ran_s);
    machine.count >= ENOUGH && machine.mean > SLOW
}

/// Whether tasks that are still running show a machine to be slow: each with its job's pace and how
/// long it has run.
pub fn drags<'a>(running: impl Iterator<Item = (&'a Mean, f64)>) -> bool {
    let late = running.filter(|(job, ran_s)| job.count >= NORM && *ran_s > LATE * job.mean);
    late.take(LATE_ENOUGH).count() == LATE_ENOUGH
}

#[cfg(test)]
mod tests;
