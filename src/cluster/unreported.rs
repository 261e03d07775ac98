//! Attempts that may be running although no report says so: recovered from a predecessor's log, or on a
//! machine whose reports no longer arrive.

use std::collections::HashSet;

use crate::cluster::{
    ClusterState,
    attempt::{Attempt, Phase},
    index::JobIndex,
    machine::Machine,
    task::TaskStatus,
};

impl Machine {
    /// Whether the attempt may be running without a report that says so.
    fn may_run_unreported(&self, attempt: &Attempt) -> bool {
        attempt.phase < Phase::Running
            && (attempt.recovered || attempt.start_sent && self.unresponsive)
    }
}

impl ClusterState {
    /// Whether an attempt of the job may be running without a report that says so.
    pub fn may_run_unreported(&self, index: JobIndex) -> bool {
        let job = self.job(index);
        if job.active_by_zone.iter().all(|&active| active == 0) {
            return false;
        }
        job.tasks.iter().zip(0..).any(|(task, number)| {
            let TaskStatus::Active(machine) = task.status else {
                return false;
            };
            let machine = self.machine(machine);
            let mut attempts = machine.attempts.iter();
            attempts.any(|attempt| {
                (attempt.job, attempt.task) == (index, number)
                    && machine.may_run_unreported(attempt)
            })
        })
    }

    /// The jobs with attempts that may be running without a report that says so.
    pub fn jobs_that_may_run_unreported(&self) -> HashSet<JobIndex> {
        let machines = self.machines.iter();
        let attempts = machines.flat_map(|machine| {
            let attempts = machine.attempts.iter();
            attempts.filter(|attempt| machine.may_run_unreported(attempt))
        });
        attempts.map(|attempt| attempt.job).collect()
    }
}
