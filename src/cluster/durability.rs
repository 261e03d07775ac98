//! Durability of task changes: which are not stored yet, and which snapshots are stored.

use std::{collections::BTreeSet, ops::RangeInclusive};

use crate::{
    cluster::{
        ClusterState,
        attempt::{Attempt, Phase},
        index::JobIndex,
        task::TaskStatus,
    },
    protocol::{ids::JobId, worker::ExitCause},
    storage::SnapshotNumber,
};

impl ClusterState {
    /// Marks the machines of these tasks for commands: the tasks' changes were stored, so that their starts
    /// and reaps may be sent.
    pub fn mark_machines_for_commands(&mut self, tasks: &BTreeSet<(JobIndex, u32)>) {
        for &(job, task) in tasks {
            let task = self.jobs[job.as_usize()].tasks.get(task as usize);
            if let Some(TaskStatus::Active(machine)) = task.map(|task| task.status) {
                self.machines_needing_commands.insert(machine);
            }
        }
    }

    /// Whether the task's latest change is stored: its placement or its completion.
    pub fn is_durable(&self, job: JobIndex, task: u32) -> bool {
        !self.unlogged_tasks.contains(&(job, task))
            && !self.tasks_being_logged.contains(&(job, task))
    }

    /// Whether an attempt has ended and its result is processed. A completion also has to be stored, unless
    /// the job is over.
    pub fn is_acknowledged(&self, attempt: &Attempt) -> bool {
        attempt.phase == Phase::Ended
            && attempt.reconciled
            && (attempt.cause != Some(ExitCause::Done)
                || self.job(attempt.job).closed
                || self.is_durable(attempt.job, attempt.task))
    }

    /// Whether all changes of the job's tasks are stored or in the write that is in flight.
    pub fn has_no_unlogged_tasks(&self, job: JobIndex) -> bool {
        self.unlogged_tasks
            .range(task_keys_of_job(job))
            .next()
            .is_none()
    }

    /// Records the version of the key of a job's snapshot; 0 if the snapshot is not stored.
    pub fn record_snapshot_version(&mut self, id: JobId, number: SnapshotNumber, version: u64) {
        let Some(&job) = self.jobs_by_id.get(&id) else {
            return;
        };
        let job = &mut self.jobs[job.as_usize()];
        if let Some(index) = number.range_index(self.task_range_len) {
            if let Some(range) = job.task_ranges.get_mut(index as usize) {
                range.key_version = version;
                range.in_flight = false;
            }
        } else {
            job.other_length_snapshots
                .retain(|(other, _)| *other != number);
            if version > 0 {
                job.other_length_snapshots.push((number, version));
            }
        }
    }

    /// The stored snapshots of a job, with the versions of their keys.
    pub fn stored_snapshots(&self, index: JobIndex) -> Vec<(SnapshotNumber, u64)> {
        let job = self.job(index);
        let ranges = job.task_ranges.iter().zip(0..);
        let snapshots = ranges.map(|(range, index)| {
            (
                SnapshotNumber::new(self.task_range_len, index),
                range.key_version,
            )
        });
        snapshots
            .filter(|(_, version)| *version > 0)
            .chain(job.other_length_snapshots.iter().copied())
            .collect()
    }

    /// Frees the slot of a job that is over, unless a write in flight refers to it. Returns whether it was
    /// freed.
    pub fn free_job(&mut self, index: JobIndex) -> bool {
        if self
            .tasks_being_logged
            .range(task_keys_of_job(index))
            .next()
            .is_some()
        {
            return false;
        }
        let job = &mut self.jobs[index.as_usize()];
        self.jobs_by_id.remove(&job.id);
        job.tasks = Vec::new();
        self.free_job_slots.push(index);
        true
    }
}

/// The range of the (job, task) keys of all tasks of a job.
pub(super) fn task_keys_of_job(job: JobIndex) -> RangeInclusive<(JobIndex, u32)> {
    (job, 0)..=(job, u32::MAX)
}
