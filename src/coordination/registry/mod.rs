//! The registry that every node keeps of `shared/`: jobs, leader, term, machine types.
//!
//! It is plain data: rows and events go in, and what they changed comes out. How it is kept up to date
//! is the job of [`watch_cache`](super::watch_cache).

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
    storage::LeaderRecord,
};
use dependencies::PartialRecord;

/// What the keys under `shared/` say. It follows rows and events and asks for none.
#[derive(Default)]
pub struct JobRegistry {
    /// In order: what the cluster state is rebuilt from must not depend on chance.
    jobs: BTreeMap<JobId, RegisteredJob>,
    /// Tasks of all unfinished jobs, which a leader holds in its memory.
    unfinished_tasks: u64,
    /// Records that are not complete yet.
    partial_records: HashMap<JobId, PartialRecord>,
    /// Which live jobs depend on a job, from when the first of them is known until that job is over.
    dependents: HashMap<JobId, Vec<JobId>>,
    /// Jobs whose records do not say yet that they are cancelled, each behind one from which that follows.
    cancelled_by_dependency: VecDeque<JobId>,
    /// All changes up to here are in.
    pub(super) revision: u64,
    /// All rows have been read once.
    pub(super) loaded: bool,
    /// The leader, and the version of its key.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The highest term.
    pub term: u64,
    /// The version of its key.
    pub term_version: u64,
    /// The machine types, and the version that completed them.
    pub machine_types: Option<(MachineTypes, u64)>,
    /// The versions of the keys that they are kept under.
    pub machine_types_versions: HashMap<String, u64>,
    /// How much each node may admit, and the version of the key.
    pub admission_quotas: Option<(AdmissionQuotas, u64)>,
    /// Where they are kept under several keys: by the number of those, and which one it is.
    machine_types_parts: BTreeMap<(u32, u32), Vec<MachineType>>,
    /// Standby renewers: nodes that may renew workers' leases, with the version of their keys.
    pub lease_renewers: BTreeMap<String, u64>,
}

/// What a row or an event has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// Jobs that were accepted, released or ended: the one whose record changed, and what follows.
    Jobs(Vec<JobId>),
    /// Who leads.
    Leader,
    /// The term.
    Term,
    /// The machine types.
    MachineTypes,
    /// The admission quotas.
    AdmissionQuotas,
    /// A standby renewer's key was written anew, in this version.
    RenewerRegistered(String, u64),
    /// A standby renewer's key is gone since this version.
    RenewerGone(String, u64),
    /// Nothing: the row was known, or newer ones were.
    Nothing,
}

impl JobRegistry {
    /// Takes all rows for read.
    #[cfg(test)]
    pub fn mark_loaded_for_test(&mut self) {
        self.loaded = true;
    }

    /// How many tasks all unfinished jobs have.
    pub fn unfinished_task_count(&self) -> u64 {
        self.unfinished_tasks
    }

    /// Whether all rows have been read once.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// What is known of a job.
    pub fn get(&self, id: JobId) -> Option<&RegisteredJob> {
        self.jobs.get(&id)
    }

    /// All live jobs, in the order of their ids.
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

    /// Live jobs that depend on an unfinished one.
    pub fn dependents_of(&self, id: JobId) -> impl Iterator<Item = (JobId, &LiveJob)> {
        let all = self.dependents.get(&id).into_iter().flatten();
        all.filter_map(|id| match self.jobs.get(id) {
            Some(RegisteredJob::Live(live)) => Some((*id, &**live)),
            _ => None,
        })
    }

    /// Whether live jobs depend on this one.
    pub fn has_dependents(&self, id: JobId) -> bool {
        self.dependents_of(id).next().is_some()
    }

    /// The first jobs that were cancelled with a dependency and whose records don't say so.
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

    /// How many jobs are known, finished ones included.
    pub(super) fn job_count(&self) -> usize {
        self.jobs.len()
    }
}

#[cfg(test)]
mod tests;
