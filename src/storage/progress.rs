//! The record of the progress of jobs, for members that the leader's announcements don't reach.

use serde::{Deserialize, Serialize};

use super::{VALUE_HEADROOM_BYTES, json_len};
use crate::protocol::ids::JobId;

/// The progress of a job in a [`ProgressRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressEntry {
    /// The job.
    pub job: JobId,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run; `None` if it is not known whether one runs.
    pub running: Option<u32>,
}

/// The jobs of which a task runs or may run, as the leader sees them at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// The leader's term.
    pub term: u64,
    /// When the leader saw this progress, in milliseconds of its time of day.
    pub at_ms: u64,
    /// The last job that the record covers; `None`: all jobs. Nothing follows from it for later jobs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_covered: Option<JobId>,
    /// For each job, in the order of their ids: the difference between its number and that of the one
    /// before it, its done tasks, and its running tasks.
    jobs: Vec<(u64, u32, Option<u32>)>,
}

impl ProgressRecord {
    /// A record of these jobs, which are in the order of their ids. It ends before the first job with
    /// which its JSON would exceed `max_value_bytes`.
    pub fn new(
        term: u64,
        at_ms: u64,
        entries: impl IntoIterator<Item = ProgressEntry>,
        max_value_bytes: usize,
    ) -> Self {
        let mut record = ProgressRecord {
            term,
            at_ms,
            // The longest value, so that its length is counted.
            last_covered: Some(JobId(u64::MAX)),
            jobs: Vec::new(),
        };
        let mut bytes_left =
            max_value_bytes.saturating_sub(json_len(&record) + VALUE_HEADROOM_BYTES);
        let mut last_job = 0;
        for entry in entries {
            let row = (entry.job.0 - last_job, entry.done, entry.running);
            let row_bytes = json_len(&row) + ",".len();
            let Some(rest) = bytes_left.checked_sub(row_bytes) else {
                record.last_covered = Some(JobId(last_job));
                return record;
            };
            bytes_left = rest;
            last_job = entry.job.0;
            record.jobs.push(row);
        }
        record.last_covered = None;
        record
    }

    /// The progress of the jobs in the record, in the order of their ids.
    pub fn entries(&self) -> impl Iterator<Item = ProgressEntry> {
        self.jobs
            .iter()
            .scan(0_u64, |number, &(difference, done, running)| {
                *number = number.wrapping_add(difference);
                Some(ProgressEntry {
                    job: JobId(*number),
                    done,
                    running,
                })
            })
    }
}
