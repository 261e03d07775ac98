//! The records of previous leaders, merged into the latest state of each job's tasks.

use std::collections::BTreeMap;

use crate::{
    protocol::{ids::JobId, state::KeyValue},
    storage::{
        self, ImagesRecord, JobSummary, LogRecord, MachineRecord, RecordedStatus, SnapshotNumber,
        SnapshotRecord, TaskRecord,
    },
};

/// The log records, snapshots and image records of previous leaders that have been read so far.
#[derive(Default)]
pub struct RecoveredState {
    /// Job, snapshot number, version of the key, and record.
    pub(super) snapshots: Vec<(JobId, SnapshotNumber, u64, SnapshotRecord)>,
    /// Slot, version of its key, and record.
    pub(super) records: Vec<(u32, u64, LogRecord)>,
    pub(super) images: Vec<ImagesRecord>,
    /// The versions of the image records' keys, which are numbered from 0.
    pub(super) image_key_versions: Vec<u64>,
    /// The last key that was read: the next page starts after it.
    pub(super) last_key: Option<String>,
    /// Whether all pages have been read.
    pub(super) complete: bool,
}

impl RecoveredState {
    /// Adds a row. A value that can't be decoded is logged and ignored.
    pub(super) fn add_row(&mut self, row: KeyValue) {
        if let Some((id, snapshot)) = storage::parse_snapshot_key(&row.key) {
            match serde_json::from_value(row.value) {
                Ok(record) => self.snapshots.push((id, snapshot, row.version, record)),
                Err(error) => tracing::error!(key = row.key, %error, "can't decode a snapshot"),
            }
        } else if let Some(slot) = storage::parse_log_slot_key(&row.key) {
            // The slot's version is needed to overwrite it, even if its record can't be decoded.
            let record = serde_json::from_value(row.value).unwrap_or_else(|error| {
                tracing::error!(key = row.key, %error, "can't decode a log record");
                LogRecord {
                    seq: 0,
                    first_live_seq: 0,
                    machines: Vec::new(),
                    jobs: Vec::new(),
                }
            });
            self.records.push((slot, row.version, record));
        } else if storage::is_images_key(&row.key) {
            self.image_key_versions.push(row.version);
            match serde_json::from_value(row.value) {
                Ok(record) => self.images.push(record),
                Err(error) => {
                    tracing::error!(key = row.key, %error, "can't decode an image record")
                }
            }
        }
        self.last_key = Some(row.key);
    }
}

/// The latest recorded attempt of a task.
pub(super) struct LatestAttempt<'a> {
    pub(super) attempt: u32,
    /// The attempt's progress, as [`RecordedStatus::precedence`].
    pub(super) progress_rank: u8,
    /// The machine on which the attempt may be running.
    pub(super) machine: Option<&'a MachineRecord>,
}

/// The recorded state of a job.
pub(super) struct RecoveredJob<'a> {
    pub(super) summary: &'a JobSummary,
    pub(super) tasks: BTreeMap<u32, LatestAttempt<'a>>,
}

impl<'a> RecoveredJob<'a> {
    /// Adds the tasks of a record where they are later than those merged so far.
    fn merge_tasks(&mut self, tasks: &[TaskRecord], machines: &'a [MachineRecord]) {
        for &TaskRecord(index, attempt, status) in tasks {
            let machine = match status {
                RecordedStatus::OnMachine(number) => match machines.get(number as usize) {
                    Some(machine) => Some(machine),
                    None => continue,
                },
                _ => None,
            };
            let latest = LatestAttempt {
                attempt,
                progress_rank: status.precedence(),
                machine,
            };
            match self.tasks.get_mut(&index) {
                Some(merged)
                    if (merged.attempt, merged.progress_rank)
                        >= (attempt, latest.progress_rank) => {}
                Some(merged) => *merged = latest,
                None => {
                    self.tasks.insert(index, latest);
                }
            }
        }
    }
}

/// Merges snapshots and live log records, job by job.
pub(super) fn merge_recovered_jobs(
    recovered: &RecoveredState,
) -> BTreeMap<JobId, RecoveredJob<'_>> {
    let first_live_seq = recovered
        .records
        .iter()
        .map(|(.., record)| record.first_live_seq)
        .max();
    let mut jobs: BTreeMap<JobId, RecoveredJob> = BTreeMap::new();
    for (id, _, _, record) in &recovered.snapshots {
        let recovered_job = jobs.entry(*id).or_insert_with(|| RecoveredJob {
            summary: &record.job,
            tasks: BTreeMap::new(),
        });
        recovered_job.merge_tasks(&record.tasks, &record.machines);
    }
    for (.., record) in &recovered.records {
        if first_live_seq.is_some_and(|first| record.seq < first) {
            continue;
        }
        for (id, summary, tasks) in &record.jobs {
            let recovered_job = jobs.entry(*id).or_insert_with(|| RecoveredJob {
                summary,
                tasks: BTreeMap::new(),
            });
            recovered_job.merge_tasks(tasks, &record.machines);
        }
    }
    jobs
}
