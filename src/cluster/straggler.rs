//! Detection of slow machines. Users' estimates are unreliable and the run times of one job's tasks differ.
//! A machine's tasks are therefore compared with the mean run time of their jobs' tasks, and several slow
//! tasks are needed.

/// The number of completed tasks from which on a job's mean run time is used for comparison.
const MIN_JOB_SAMPLES: u32 = 6;
/// The number of compared tasks from which on a machine can count as slow.
const MIN_MACHINE_SAMPLES: u32 = 4;
/// The number of samples after which each new sample has the same weight, 1 / `RUNNING_MEAN_SAMPLES`, so that
/// older samples fade out.
const RUNNING_MEAN_SAMPLES: u32 = 8;
/// A machine counts as slow if its tasks take on average more than this multiple of their jobs' mean run
/// times. The run times of single tasks deviate from the mean by up to a half; the mean of several deviates
/// far less.
const STRAGGLER_FACTOR: f64 = 2.2;

/// A running task is late if it has run for more than this multiple of its job's mean run time. Two late tasks
/// on one machine show that it is slow long before slow tasks complete on it.
const LATE_TASK_FACTOR: f64 = 2.5;
const MIN_LATE_TASKS: usize = 2;

/// A moving mean that weights the latest samples most.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean {
    count: u32,
    mean: f64,
}

impl RunningMean {
    /// Adds a sample.
    pub fn add(&mut self, value: f64) {
        self.count = (self.count + 1).min(RUNNING_MEAN_SAMPLES);
        self.mean += (value - self.mean) / f64::from(self.count);
    }
}

/// Records that a task of the job completed on the machine after `run_s` seconds. Returns whether the machine
/// counts as slow.
pub fn record_run_time(
    job_mean: &mut RunningMean,
    machine_mean: &mut RunningMean,
    run_s: f64,
) -> bool {
    if job_mean.count >= MIN_JOB_SAMPLES && job_mean.mean > 0.0 {
        machine_mean.add(run_s / job_mean.mean);
    }
    job_mean.add(run_s);
    machine_mean.count >= MIN_MACHINE_SAMPLES && machine_mean.mean > STRAGGLER_FACTOR
}

/// Whether the running tasks of a machine show that it is slow. Each task is given as its job's mean run
/// time, in seconds, and how long it has run, in seconds.
pub fn is_straggling<'a>(running: impl Iterator<Item = (&'a RunningMean, f64)>) -> bool {
    let late_tasks = running.filter(|(job_mean, run_s)| {
        job_mean.count >= MIN_JOB_SAMPLES && *run_s > LATE_TASK_FACTOR * job_mean.mean
    });
    late_tasks.take(MIN_LATE_TASKS).count() == MIN_LATE_TASKS
}

#[cfg(test)]
mod tests;
