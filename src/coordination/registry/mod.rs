//! The registry: every node's copy of the keys under `shared/`, with jobs, leader, term, machine types,
//! admission quotas and standby renewers.
//!
//! It does no I/O: its caller passes in rows and events, and each call returns the changed part. The module
//! [`watch_cache`](super::watch_cache) keeps it up to date.

mod dependencies;
mod job;
mod rows;

use std::collections::{BTreeMap, HashMap, VecDeque};

pub use job::{LiveJob, RegisteredJob};

use crate::{
    coordination::admission::AdmissionQuotas,
    protocol::{
        cloud::{MachineType, MachineTypes},
        ids::JobId,
    },
    storage::{LeaderRecord, ProgressRecord},
};
use dependencies::PartialRecord;

/// The decoded keys under `shared/`, updated from rows and events.
#[derive(Default)]
pub struct JobRegistry {
    /// Ordered by id, so that rebuilding the cluster state is deterministic.
    jobs: BTreeMap<JobId, RegisteredJob>,
    /// Number of tasks of all unfinished jobs, which a leader holds in memory.
    unfinished_tasks: u64,
    /// Job records stored under several keys of which not all have been read yet.
    partial_records: HashMap<JobId, PartialRecord>,
    /// The live jobs that depend on a job. An entry exists from when the first of them is registered
    /// until the job that they depend on is finished.
    dependents: HashMap<JobId, Vec<JobId>>,
    /// Jobs that are cancelled because of a dependency, and whose records are not yet updated. A job
    /// comes after the dependency that it is cancelled by.
    cancelled_by_dependency: VecDeque<JobId>,
    /// The state service's revision up to which all changes are applied.
    pub(super) revision: u64,
    /// Whether all rows have been read once.
    pub(super) loaded: bool,
    /// The leader, and the version of its key.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The highest term that was read.
    pub term: u64,
    /// The version of the term's key.
    pub term_version: u64,
    /// The machine types, and the version that completed them.
    pub machine_types: Option<(MachineTypes, u64)>,
    /// The versions of the keys that hold the machine types.
    pub machine_types_versions: HashMap<String, u64>,
    /// How much each node may admit, and the version of the quotas' key.
    pub admission_quotas: Option<(AdmissionQuotas, u64)>,
    /// The version of the key of the progress of jobs, which is never deleted; 0 if it was never written.
    pub progress_version: u64,
    /// Machine types stored under several keys, by the number of these keys and the key's index.
    machine_types_parts: BTreeMap<(u32, u32), Vec<MachineType>>,
    /// Standby renewers (nodes that may renew workers' leases) by label, with the version of each key.
    pub lease_renewers: BTreeMap<String, u64>,
}

/// The part of the registry that a row or an event changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// Jobs that were accepted, ended, or released because their dependencies are done: the job whose
    /// record changed, and the jobs that depend on it and are affected.
    Jobs(Vec<JobId>),
    /// The leader.
    Leader,
    /// The term.
    Term,
    /// The machine types.
    MachineTypes,
    /// The admission quotas.
    AdmissionQuotas,
    /// The leader has stored the progress of jobs.
    Progress(ProgressRecord),
    /// The key of the standby renewer with this label was written, with this version.
    RenewerRegistered(String, u64),
    /// The key of the standby renewer with this label was deleted, as of this version.
    RenewerDeregistered(String, u64),
    /// Nothing: the same or a newer version of the row was read before.
    Nothing,
}

impl JobRegistry {
    /// Marks all rows as read.
    #[cfg(test)]
    pub fn mark_loaded_for_test(&mut self) {
        self.loaded = true;
    }

    /// Number of tasks of all unfinished jobs.
    pub fn unfinished_task_count(&self) -> u64 {
        self.unfinished_tasks
    }

    /// Whether all rows have been read once.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// A job, finished or not; `None` if no complete record of it was read.
    pub fn get(&self, id: JobId) -> Option<&RegisteredJob> {
        self.jobs.get(&id)
    }

    /// All live jobs, ordered by id.
    pub fn live_jobs(&self) -> impl Iterator<Item = (JobId, &LiveJob)> {
        self.jobs.iter().filter_map(|(id, entry)| match entry {
            RegisteredJob::Live(live) => Some((*id, &**live)),
            RegisteredJob::CancelledByDependency(_) | RegisteredJob::Ended(..) => None,
        })
    }

    /// A job, if it is live.
    pub fn live_job(&self, id: JobId) -> Option<&LiveJob> {
        match self.jobs.get(&id) {
            Some(RegisteredJob::Live(live)) => Some(live),
            _ => None,
        }
    }

    /// The live jobs that depend on an unfinished job.
    pub fn dependents_of(&self, id: JobId) -> impl Iterator<Item = (JobId, &LiveJob)> {
        let dependents = self.dependents.get(&id).into_iter().flatten();
        dependents.filter_map(|id| match self.jobs.get(id) {
            Some(RegisteredJob::Live(live)) => Some((*id, &**live)),
            _ => None,
        })
    }

    /// Whether any live job depends on this one.
    pub fn has_dependents(&self, id: JobId) -> bool {
        self.dependents_of(id).next().is_some()
    }

    /// Jobs that are cancelled because of a dependency, and whose records are not yet updated.
    pub fn jobs_cancelled_by_dependency(&mut self) -> impl Iterator<Item = (JobId, &LiveJob)> {
        while let Some(first) = self.cancelled_by_dependency.front()
            && !matches!(
                self.jobs.get(first),
                Some(RegisteredJob::CancelledByDependency(_))
            )
        {
            self.cancelled_by_dependency.pop_front();
        }
        self.cancelled_by_dependency
            .iter()
            .filter_map(|id| match self.jobs.get(id) {
                Some(RegisteredJob::CancelledByDependency(job)) => Some((*id, &**job)),
                _ => None,
            })
    }

    /// Number of registered jobs, including finished ones.
    pub(super) fn job_count(&self) -> usize {
        self.jobs.len()
    }
}

#[cfg(test)]
mod tests;
