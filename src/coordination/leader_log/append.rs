//! Appends changed tasks, tasks to be logged again, and job completions to the log.

use super::{
    LeaderLog, LoggedTask, MAX_TXN_BYTES, TXN_OVERHEAD_BYTES, UNANSWERED_RETRY_MS,
    UnconfirmedWrite, WRITE_OVERHEAD_BYTES, WRITE_RETRY_MS,
    ring::{LiveRecord, LogRing},
};
use crate::{
    cluster::{ClusterState, JobIndex, records},
    coordination::{
        LeaderState, Node, StateTag,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::{
        ids::JobId,
        state::{StateError, StateReply, StateRequest, StateRequestPriority, Txn},
    },
    storage::{self, JobRecord},
    time::Millis,
};

/// Fraction of the permitted write rate that the log may use.
const LOG_WRITE_FRACTION: f64 = 0.4;
/// Maximum number of changed tasks in one write.
const MAX_TASKS_PER_WRITE: usize = 2000;
/// A transaction gets no further record when less space than this, or than a whole value, is left.
const MIN_RECORD_BYTES: usize = 4096;
/// One in this many operations of a transaction is reserved for job completions, because other jobs
/// may depend on them.
const JOB_COMPLETION_OPS_DIVISOR: usize = 4;

/// A write of the log that is in flight.
struct LogWrite {
    records: Vec<LiveRecord>,
    completed_jobs: Vec<(JobIndex, JobId)>,
    /// The completion time written for these jobs, in milliseconds since the epoch.
    completed_at_ms: u64,
}

/// The state of writes of the log.
#[derive(Default)]
pub(super) struct AppendState {
    in_flight: Option<LogWrite>,
    written_at: Millis,
    retry_at: Millis,
}

/// Tasks to log: first those that changed, then those whose state only old records hold.
struct TasksToLog {
    tasks: Vec<(JobIndex, u32)>,
    changed_count: usize,
}

impl TasksToLog {
    fn select(ring: &mut LogRing, cluster: &ClusterState) -> Self {
        let mut tasks: Vec<_> = cluster
            .unlogged_tasks
            .iter()
            .copied()
            .take(MAX_TASKS_PER_WRITE)
            .collect();
        let changed_count = tasks.len();
        tasks.extend(ring.tasks_to_relog(cluster));
        TasksToLog {
            tasks,
            changed_count,
        }
    }
}

/// Adds one record to a transaction, with as many of `tasks` as fit into `max_bytes`. Returns `None`
/// when no slot is free.
fn append_record(
    ring: &mut LogRing,
    cluster: &mut ClusterState,
    txn: &mut Txn,
    tasks: &[(JobIndex, u32)],
    max_bytes: usize,
) -> Option<LiveRecord> {
    let (slot, version) = ring.next_slot()?;
    let seq = ring.next_seq();
    let mut remaining = tasks.iter().copied().peekable();
    let seq_numbers = (seq, ring.first_live_seq());
    let record = records::log_record(cluster, &mut remaining, seq_numbers, max_bytes);
    let task_count = record
        .jobs
        .iter()
        .map(|(.., tasks)| tasks.len())
        .sum::<usize>();
    let recorded = &tasks[..task_count];
    for task in recorded {
        cluster.unlogged_tasks.remove(task);
    }
    cluster.tasks_being_logged.extend(recorded);
    let logged = |&(job, task): &(JobIndex, u32)| LoggedTask {
        job,
        id: cluster.job(job).id,
        task,
    };
    let tasks = recorded.iter().map(logged).collect();
    let value = storage::to_value(&record);
    let bytes = value.to_string().len();
    txn.put(storage::log_slot_key(slot), version, value);
    // The slot can't be reused before the result of the write is known.
    ring.take_slot(slot);
    Some(LiveRecord {
        seq,
        slot,
        version,
        bytes,
        tasks,
    })
}

impl LeaderLog {
    /// Whether a write of the log is due. `interval_ms`: minimum time between two writes.
    fn is_append_due(&self, cluster: &ClusterState, now: Millis, interval_ms: Millis) -> bool {
        let can_write = self.append.in_flight.is_none()
            && self.append.retry_at <= now
            && self.append.written_at + interval_ms <= now;
        let has_changes = !cluster.unlogged_tasks.is_empty() || !cluster.completed_jobs.is_empty();
        can_write && (has_changes || self.ring.is_under_pressure())
    }
}

impl Node {
    /// Minimum time between two writes of the log, which may use only a fraction of the write rate.
    /// Changes that occur in between are written together.
    fn log_write_interval_ms(&self) -> Millis {
        let writes_per_s = self.config.settings.state.write_rps * LOG_WRITE_FRACTION;
        (1000.0 / writes_per_s.max(0.1)) as Millis
    }

    /// Writes changed tasks, and the completion of jobs whose tasks are all done.
    pub(in crate::coordination) fn write_log(&mut self) {
        let interval_ms = self.log_write_interval_ms();
        let Some(leader) = &self.leader_state else {
            return;
        };
        let Some(cluster) = &leader.cluster else {
            return;
        };
        if !leader.log.is_append_due(cluster, self.now, interval_ms) {
            return;
        }
        let lease = leader.lease;
        let mut txn = Txn::with_condition(leader.leadership_condition());
        let write = LogWrite {
            records: self.append_log_records(&mut txn),
            completed_jobs: self.append_completed_jobs(&mut txn),
            completed_at_ms: self.wall_ms,
        };
        let Some(leader) = self
            .leader_state
            .as_mut()
            .filter(|_| !txn.writes.is_empty())
        else {
            return;
        };
        leader.log.append.in_flight = Some(write);
        leader.log.append.written_at = self.now;
        self.call_state_service(
            StateTag::AppendLog { lease },
            StateRequest::Txn(txn),
            StateRequestPriority::Prompt,
            TXN_TIMEOUT_MS,
        );
    }

    /// Adds log records with the changed tasks to a transaction, up to its limits. Unused space in the
    /// last record is filled with tasks whose state only the oldest records hold. Most records are
    /// short, as they are written many times a second; if they filled up the ring, no task could start.
    fn append_log_records(&mut self, txn: &mut Txn) -> Vec<LiveRecord> {
        let limits = &self.config.settings.state;
        let max_ops = limits.max_txn_ops as usize;
        let value_bytes = limits.max_value_bytes();
        let mut records: Vec<LiveRecord> = Vec::new();
        let Some(LeaderState {
            log,
            cluster: Some(cluster),
            ..
        }) = self.leader_state.as_deref_mut()
        else {
            return records;
        };
        let ring = &mut log.ring;
        let TasksToLog {
            tasks,
            changed_count,
        } = TasksToLog::select(ring, cluster);
        let reserved_ops = if cluster.completed_jobs.is_empty() {
            0
        } else {
            (max_ops / JOB_COMPLETION_OPS_DIVISOR).max(1)
        };
        let mut task_count = 0;
        let mut txn_bytes = TXN_OVERHEAD_BYTES;
        while task_count < tasks.len() && txn.writes.len() + reserved_ops < max_ops {
            // Tasks are logged again in a record of their own only when the ring is getting full.
            let only_relogged = task_count >= changed_count;
            if only_relogged && !(ring.is_under_pressure() && records.is_empty()) {
                break;
            }
            let max_record_bytes = value_bytes.min(MAX_TXN_BYTES.saturating_sub(txn_bytes));
            if max_record_bytes < value_bytes.min(MIN_RECORD_BYTES) && !records.is_empty() {
                break;
            }
            let Some(record) =
                append_record(ring, cluster, txn, &tasks[task_count..], max_record_bytes)
            else {
                break;
            };
            task_count += record.tasks.len();
            txn_bytes += record.bytes + WRITE_OVERHEAD_BYTES;
            records.push(record);
        }
        records
    }

    /// Adds the completion of jobs to a transaction: those whose tasks are all done, with all changes
    /// of these tasks stored or in the same transaction.
    fn append_completed_jobs(&mut self, txn: &mut Txn) -> Vec<(JobIndex, JobId)> {
        let max_ops = self.config.settings.state.max_txn_ops as usize;
        let mut appended = Vec::new();
        let Some(cluster) = self
            .leader_state
            .as_mut()
            .and_then(|leader| leader.cluster.as_mut())
        else {
            return appended;
        };
        // Jobs that others depend on come first.
        let mut completed: Vec<JobIndex> = cluster.completed_jobs.iter().copied().collect();
        completed.sort_by_key(|job| !self.registry.has_dependents(cluster.job(*job).id));
        for job in completed {
            let entry = cluster.job(job);
            let id = entry.id;
            let Some(live) = self.registry.live_job(id) else {
                cluster.completed_jobs.remove(&job);
                continue;
            };
            if !cluster.has_no_unlogged_tasks(job) || entry.outcome_write_in_flight {
                continue;
            }
            if txn.writes.len() + 1 + live.part_count as usize > max_ops {
                break;
            }
            let at_ms = Some(self.wall_ms);
            live.append_outcome(id, &JobRecord::Done { at_ms }, txn);
            cluster.jobs[job.as_usize()].outcome_write_in_flight = true;
            appended.push((job, id));
        }
        appended
    }

    /// Handles the response to a write of the log.
    pub(in crate::coordination) fn on_log_written(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        let is_unanswered = matches!(result, Err(StateError::NoAnswer));
        let Some(outcome) = self.write_outcome(lease, result) else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let (Some(write), Some(cluster)) =
            (leader.log.append.in_flight.take(), &mut leader.cluster)
        else {
            return;
        };
        for (job, _) in &write.completed_jobs {
            cluster.jobs[job.as_usize()].outcome_write_in_flight = false;
        }
        let logged = std::mem::take(&mut cluster.tasks_being_logged);
        if let WriteOutcome::Stored(version) = outcome {
            cluster.mark_machines_for_commands(&logged);
            return self.on_log_stored(write, version);
        }
        // Tasks that were not stored are logged again in other slots. If this write is still applied
        // later, it holds nothing that contradicts the newer record.
        let to_retry = logged
            .into_iter()
            .filter(|(job, _)| !cluster.job(*job).closed);
        cluster.unlogged_tasks.extend(to_retry.collect::<Vec<_>>());
        let retry_ms = if is_unanswered {
            UNANSWERED_RETRY_MS
        } else {
            WRITE_RETRY_MS
        };
        leader.log.append.retry_at = self.now + retry_ms;
        if outcome == WriteOutcome::Rejected {
            for record in write.records {
                leader.log.ring.free_slot(record.slot, record.version);
            }
            return;
        }
        for record in write.records {
            self.check_unconfirmed(lease, UnconfirmedWrite::Slot(record.slot));
        }
        if !write.completed_jobs.is_empty() {
            // The jobs may have been cancelled meanwhile, or their completion may be stored after all:
            // the read barrier returns their current records.
            self.request_read_barrier();
        }
    }

    /// Applies a write of the log that was stored: its records are live, and its jobs are done.
    fn on_log_stored(&mut self, write: LogWrite, version: u64) {
        let Some(LeaderState {
            log,
            cluster: Some(cluster),
            ..
        }) = self.leader_state.as_deref_mut()
        else {
            return;
        };
        for record in write.records {
            for &LoggedTask { job, id, task } in &record.tasks {
                if cluster.jobs_by_id.get(&id) == Some(&job)
                    && let Some(task) = cluster.jobs[job.as_usize()].tasks.get_mut(task as usize)
                {
                    task.last_log_seq = record.seq;
                }
            }
            log.ring.add_live_record(LiveRecord { version, ..record });
        }
        for (_, id) in write.completed_jobs {
            tracing::info!(job = %id, "done");
            let at_ms = Some(write.completed_at_ms);
            let done = JobRecord::Done { at_ms };
            let change = self.registry.put_job_record(id, done, version);
            self.on_registry_change(change);
        }
    }
}
