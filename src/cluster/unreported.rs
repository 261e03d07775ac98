//! Attempts that may be running although no report says so: recovered from a predecessor's log, or on a
//! machine whose reports no longer arrive.

use std::collections::HashMap;

use crate::{
    cluster::{
        ClusterState,
        attempt::{Attempt, Phase},
        index::JobIndex,
        machine::Machine,
        task::TaskStatus,
    },
    time::Millis,
};

/// What is known of an attempt that no report shows as running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnreportedAttempt {
    /// It does not run.
    Idle,
    /// It may be running: its worker has yet to report to this leader, or no longer reports.
    Unknown,
    /// It counts as running, like any task on a machine that no longer reports: it was recovered, and its
    /// worker has not found this leader in the time that this may take.
    AssumedRunning,
}

/// The attempts of a job that may be running although no report says so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreportedAttempts {
    /// Whether it is not known of an attempt whether it runs.
    pub any_unknown: bool,
    /// How many attempts count as running.
    pub assumed_running: u32,
}

impl UnreportedAttempts {
    fn add(&mut self, attempt: UnreportedAttempt) {
        match attempt {
            UnreportedAttempt::Idle => {}
            UnreportedAttempt::Unknown => self.any_unknown = true,
            UnreportedAttempt::AssumedRunning => self.assumed_running += 1,
        }
    }
}

impl ClusterState {
    fn classify_unreported(
        &self,
        machine: &Machine,
        attempt: &Attempt,
        now: Millis,
    ) -> UnreportedAttempt {
        if attempt.phase >= Phase::Running {
            UnreportedAttempt::Idle
        } else if attempt.recovered && now >= self.workers_expected_by {
            UnreportedAttempt::AssumedRunning
        } else if attempt.recovered || attempt.start_sent && machine.unresponsive {
            UnreportedAttempt::Unknown
        } else {
            UnreportedAttempt::Idle
        }
    }

    /// The attempts of the job that may be running although no report says so.
    pub fn unreported_attempts(&self, index: JobIndex, now: Millis) -> UnreportedAttempts {
        let job = self.job(index);
        let mut unreported = UnreportedAttempts::default();
        if job.active_by_zone.iter().all(|&active| active == 0) {
            return unreported;
        }
        for (task, number) in job.tasks.iter().zip(0..) {
            let TaskStatus::Active(machine) = task.status else {
                continue;
            };
            let machine = self.machine(machine);
            for attempt in &machine.attempts {
                if (attempt.job, attempt.task) == (index, number) {
                    unreported.add(self.classify_unreported(machine, attempt, now));
                }
            }
        }
        unreported
    }

    /// For each job that has some: the attempts that may be running although no report says so.
    pub fn unreported_attempts_by_job(&self, now: Millis) -> HashMap<JobIndex, UnreportedAttempts> {
        let mut by_job: HashMap<JobIndex, UnreportedAttempts> = HashMap::new();
        for machine in &self.machines {
            for attempt in &machine.attempts {
                let unreported = self.classify_unreported(machine, attempt, now);
                if unreported != UnreportedAttempt::Idle {
                    by_job.entry(attempt.job).or_default().add(unreported);
                }
            }
        }
        by_job
    }
}
