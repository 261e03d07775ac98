//! Registers job records, and propagates the outcome of a job to the jobs that depend on it.

use std::{collections::BTreeMap, rc::Rc};

use super::{JobRegistry, LiveJob, RegisteredJob, RegistryChange};
use crate::{
    protocol::{
        ids::JobId,
        job::{JobStatus, Submission},
    },
    storage::{self, JobRecord},
};

/// The fields of a live job's key other than its submission.
#[derive(Clone, Copy)]
struct RecordHeader {
    submitted_at_ms: u64,
    part_count: u32,
    version: u64,
}

/// The keys read so far of a job record that is stored under several keys.
#[derive(Default)]
pub(super) struct PartialRecord {
    header: Option<RecordHeader>,
    pub(super) part_texts: BTreeMap<u32, String>,
}

impl PartialRecord {
    fn has_all_parts(&self, header: &RecordHeader) -> bool {
        (0..header.part_count).all(|part| self.part_texts.contains_key(&part))
    }
}

impl JobRegistry {
    /// Applies a job's record. A job that is done or cancelled never changes again.
    pub fn put_job_record(&mut self, id: JobId, record: JobRecord, version: u64) -> RegistryChange {
        let registered = self.jobs.get(&id);
        let ended = match record {
            JobRecord::Live { .. } | JobRecord::Split { .. } if registered.is_some() => {
                return RegistryChange::Nothing;
            }
            JobRecord::Live { at_ms, spec } => {
                let header = RecordHeader {
                    submitted_at_ms: at_ms,
                    part_count: 0,
                    version,
                };
                return self.register_job(id, header, *spec);
            }
            JobRecord::Split { at_ms, parts } => {
                self.partial_records.entry(id).or_default().header = Some(RecordHeader {
                    submitted_at_ms: at_ms,
                    part_count: parts,
                    version,
                });
                return self.join_parts(id);
            }
            JobRecord::Done { at_ms } => RegisteredJob::Ended(JobStatus::Done, at_ms),
            JobRecord::Cancelled => RegisteredJob::Ended(JobStatus::Cancelled, None),
        };
        // Its dependencies may be less urgent without it.
        let mut changed = vec![id];
        match registered {
            Some(RegisteredJob::Ended(..)) => return RegistryChange::Nothing,
            Some(RegisteredJob::Live(live)) => {
                changed.extend(&live.spec.dependencies);
                self.unfinished_tasks -= u64::from(live.spec.tasks);
            }
            Some(RegisteredJob::CancelledByDependency(live)) => {
                self.unfinished_tasks -= u64::from(live.spec.tasks)
            }
            None => {}
        }
        self.partial_records.remove(&id);
        self.jobs.insert(id, ended);
        self.propagate_outcomes(changed)
    }

    /// Registers a job whose record is stored under several keys, once all of them have been read. They
    /// are written in one transaction, but may be read on different pages.
    pub(super) fn join_parts(&mut self, id: JobId) -> RegistryChange {
        let Some(partial) = self.partial_records.get(&id) else {
            return RegistryChange::Nothing;
        };
        let Some(header) = partial
            .header
            .filter(|header| partial.has_all_parts(header))
        else {
            return RegistryChange::Nothing;
        };
        let spec = storage::join_submission_parts(partial.part_texts.values().map(String::as_str));
        self.partial_records.remove(&id);
        match spec {
            Ok(spec) => self.register_job(id, header, spec),
            Err(error) => {
                tracing::error!(job = %id, %error, "can't decode a job's record");
                RegistryChange::Nothing
            }
        }
    }

    /// Registers a job that isn't in the registry.
    fn register_job(
        &mut self,
        id: JobId,
        header: RecordHeader,
        spec: Submission,
    ) -> RegistryChange {
        let mut live = Box::new(LiveJob {
            version: header.version,
            submitted_at_ms: header.submitted_at_ms,
            part_count: header.part_count,
            dependencies_left: 0,
            released_at_ms: header.submitted_at_ms,
            spec: Rc::new(spec),
        });
        let spec = live.spec.clone();
        let mut is_cancelled = false;
        for dependency in &spec.dependencies {
            match self.jobs.get(dependency) {
                Some(RegisteredJob::Ended(JobStatus::Done, done_ms)) => {
                    live.released_at_ms = live.released_at_ms.max(done_ms.unwrap_or(0));
                }
                Some(RegisteredJob::Ended(..) | RegisteredJob::CancelledByDependency(_)) => {
                    is_cancelled = true;
                }
                // During the initial load, a dependency may be read after this job.
                Some(RegisteredJob::Live(_)) | None => {
                    live.dependencies_left += 1;
                    self.dependents.entry(*dependency).or_default().push(id);
                }
            }
        }
        if is_cancelled {
            self.cancelled_by_dependency.push_back(id);
            self.jobs
                .insert(id, RegisteredJob::CancelledByDependency(live));
        } else {
            self.jobs.insert(id, RegisteredJob::Live(live));
        }
        self.unfinished_tasks += u64::from(spec.tasks);
        self.propagate_outcomes(vec![id])
    }

    /// Applies the outcome of jobs that have ended to the jobs that depend on them, directly or
    /// transitively. Returns the jobs passed in and all that were released or cancelled. Not recursive,
    /// because a chain of dependencies may be as long as the number of jobs.
    fn propagate_outcomes(&mut self, mut changed: Vec<JobId>) -> RegistryChange {
        let mut next = 0;
        while let Some(&id) = changed.get(next) {
            next += 1;
            let (cancelled, done_ms) = match self.jobs.get(&id) {
                Some(RegisteredJob::Ended(JobStatus::Done, done_ms)) => {
                    (false, done_ms.unwrap_or(0))
                }
                Some(RegisteredJob::Ended(..) | RegisteredJob::CancelledByDependency(_)) => {
                    (true, 0)
                }
                Some(RegisteredJob::Live(_)) | None => continue,
            };
            for dependent in self.dependents.remove(&id).unwrap_or_default() {
                let Some(entry) = self.jobs.get_mut(&dependent) else {
                    continue;
                };
                let RegisteredJob::Live(job) = entry else {
                    continue;
                };
                if cancelled {
                    *entry = RegisteredJob::CancelledByDependency(job.clone());
                    self.cancelled_by_dependency.push_back(dependent);
                    changed.push(dependent);
                    continue;
                }
                job.dependencies_left -= 1;
                job.released_at_ms = job.released_at_ms.max(done_ms);
                if job.dependencies_left == 0 {
                    changed.push(dependent);
                }
            }
        }
        RegistryChange::Jobs(changed)
    }
}
