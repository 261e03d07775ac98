//! Reconciliation: updates the cluster state from the tasks that a worker reports.

use super::drain_straggler;
use crate::{
    cluster::{
        ClusterState, JobIndex, MachineIndex, Phase, TaskStatus, fault_attribution, straggler,
    },
    protocol::{
        ids::TaskId,
        worker::{ExitCause, Report, TaskReport, TaskState},
    },
    scheduling::fair_share::{FairShareTracker, WorkloadClass},
    time::Millis,
};

/// How long nothing is placed on a machine that rejected a task for want of resources, or of a job whose
/// task a worker rejected as unknown.
const REJECTION_COOLDOWN_MS: Millis = 2000;

/// An attempt that a worker reports and the cluster state does not have.
pub(super) struct UnknownAttempt {
    pub(super) task: TaskId,
    pub(super) attempt: u64,
    pub(super) state: TaskState,
}

/// The position of an attempt among those of a machine.
pub(super) fn find_attempt(
    cluster: &ClusterState,
    index: MachineIndex,
    task: TaskId,
    attempt: u64,
) -> Option<usize> {
    let job = *cluster.jobs_by_id.get(&task.job)?;
    cluster
        .machine(index)
        .attempts
        .iter()
        .position(|candidate| {
            candidate.job == job
                && candidate.task == task.index
                && u64::from(candidate.attempt) == attempt
        })
}

/// Handles the first report of a worker's new incarnation: attempts that it does not list are gone, and the
/// worker rejects starts that were sent to an earlier incarnation. `listed`: the tasks in the report.
///
/// Attempts recovered from an earlier leader may have been started in this same incarnation, after a report
/// that arrives late was sent. Until the worker has seen this leader's term, they are therefore kept even if
/// the report does not list them.
pub(super) fn end_incarnation(
    cluster: &mut ClusterState,
    index: MachineIndex,
    now: Millis,
    listed: &[TaskReport],
) {
    let machine = &mut cluster.machines[index.as_usize()];
    for attempt in machine.attempts.iter_mut().filter(|a| !a.recovered) {
        attempt.direct_start_in_flight = false;
        attempt.started_by_heartbeat = None;
        attempt.fencing_token = 0;
        attempt.direct_start_term = 0;
    }
    for position in (0..cluster.machine(index).attempts.len()).rev() {
        let machine = cluster.machine(index);
        let attempt = &machine.attempts[position];
        if machine.has_start_in_flight(attempt) {
            continue;
        }
        let task = cluster.job(attempt.job).task_id(attempt.task);
        let is_listed = listed
            .iter()
            .any(|report| report.task == task && report.attempt == u64::from(attempt.attempt));
        if !is_listed {
            cluster.remove_attempt(index, position, now);
        }
    }
}

/// Applies the task list of a report that is newer than all before it. Returns the attempts that it lists
/// and the cluster state does not have.
pub(super) fn reconcile_tasks(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareTracker,
    index: MachineIndex,
    report: &Report,
    now: Millis,
) -> Vec<UnknownAttempt> {
    let mut unknown = Vec::new();
    let mut is_listed = vec![false; cluster.machine(index).attempts.len()];
    for listed in &report.tasks {
        let Some(position) = find_attempt(cluster, index, listed.task, listed.attempt) else {
            unknown.push(UnknownAttempt {
                task: listed.task,
                attempt: listed.attempt,
                state: listed.state,
            });
            continue;
        };
        is_listed[position] = true;
        let phase = match listed.state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Gathering | TaskState::Running => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Ended => Phase::Ended,
        };
        let attempt = &mut cluster.machines[index.as_usize()].attempts[position];
        attempt.cause = listed.cause;
        attempt.start_sent = true;
        attempt.recovered = false;
        let previous_phase = attempt.phase;
        cluster.advance_phase(index, position, phase, now);
        let attempt = &cluster.machine(index).attempts[position];
        let job = attempt.job;
        if attempt.phase == Phase::Running
            && attempt
                .running_since
                .is_some_and(|since| since + fault_attribution::PROGRESS_RUN_MS <= now)
            && !cluster.job(job).recently_failed_on.is_empty()
        {
            cluster.on_task_progress(job);
        }
        if phase == Phase::Running && previous_phase < Phase::Running {
            record_start(cluster, fair_share, index, position, now);
        }
    }
    remove_unlisted_attempts(cluster, index, &is_listed, now);
    unknown
}

/// Logs and counts the start of an attempt.
fn record_start(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareTracker,
    index: MachineIndex,
    position: usize,
    now: Millis,
) {
    let machine = cluster.machine(index);
    let attempt = &machine.attempts[position];
    let job = cluster.job(attempt.job);
    let waited_ms = now.saturating_sub(job.first_seen_at);
    tracing::debug!(
        task = %job.task_id(attempt.task),
        attempt = attempt.attempt,
        machine = machine.name,
        queued_ms = attempt.placed_at.saturating_sub(job.first_seen_at),
        start_ms = now.saturating_sub(attempt.placed_at),
        "runs"
    );
    let class = WorkloadClass::of_job(job);
    cluster.start_wait_samples.push(waited_ms);
    fair_share.status_mut(class).tasks_started += 1;
}

/// Removes attempts that a report does not list, unless their starts may still be in flight. `is_listed`:
/// for each attempt on the machine, whether the report lists it.
fn remove_unlisted_attempts(
    cluster: &mut ClusterState,
    index: MachineIndex,
    is_listed: &[bool],
    now: Millis,
) {
    for position in (0..is_listed.len()).rev() {
        let machine = cluster.machine(index);
        let attempt = &machine.attempts[position];
        if is_listed[position] || !attempt.start_sent || machine.has_start_in_flight(attempt) {
            continue;
        }
        match attempt.phase {
            // The start was lost; it is sent again unless the task is to stop.
            Phase::Placed if attempt.stop_grace_s.is_none() && !attempt.recovered => {}
            _ => cluster.remove_attempt(index, position, now),
        }
    }
}

/// Processes attempts that have ended: completes or requeues their tasks.
pub(super) fn settle_ended_attempts(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareTracker,
    index: MachineIndex,
    now: Millis,
) {
    for position in 0..cluster.machine(index).attempts.len() {
        let machine = cluster.machine(index);
        let attempt = &machine.attempts[position];
        if attempt.phase != Phase::Ended || attempt.reconciled {
            continue;
        }
        let (job, task, attempt_number) = (attempt.job, attempt.task, attempt.attempt);
        let cause = attempt.cause.unwrap_or(ExitCause::Other);
        let closed = cluster.job(job).closed;
        let task_state = cluster.job(job).tasks[task as usize];
        // The run time of attempts started under an earlier leader is not known here.
        let ran_ms = attempt
            .running_since
            .filter(|_| attempt.placed_at > cluster.leader_since)
            .map(|since| now.saturating_sub(since));
        if cause == ExitCause::Done {
            let is_current = !closed
                && task_state.status == TaskStatus::Active(index)
                && task_state.attempt == attempt_number;
            settle_completion(
                cluster, fair_share, index, position, is_current, ran_ms, now,
            );
            continue;
        }
        // A start that may still arrive would run this attempt beside the next one.
        if machine.has_start_in_flight(attempt) {
            continue;
        }
        cluster.machines[index.as_usize()].attempts[position].reconciled = true;
        if closed {
            continue;
        }
        cluster.requeue(job, task, attempt_number);
        react_to_failure(cluster, index, job, cause, now);
    }
}

/// Processes an attempt that has completed its task. `is_current`: no later attempt has replaced it.
fn settle_completion(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareTracker,
    index: MachineIndex,
    position: usize,
    is_current: bool,
    ran_ms: Option<Millis>,
    now: Millis,
) {
    let attempt = &cluster.machine(index).attempts[position];
    let (job, task) = (attempt.job, attempt.task);
    if is_current {
        cluster.complete_task(job, task);
        let class = WorkloadClass::of_job(cluster.job(job));
        fair_share.status_mut(class).tasks_completed += 1;
        if cluster.job(job).is_complete() {
            fair_share.record_job_completion(cluster, job, now);
        }
    }
    let machine = &mut cluster.machines[index.as_usize()];
    machine.attempts[position].reconciled = true;
    machine.recent_failures.clear();
    cluster.on_task_progress(job);
    let Some(ran_ms) = ran_ms else { return };
    let is_slow = straggler::record_run_time(
        &mut cluster.jobs[job.as_usize()].mean_runtime_s,
        &mut cluster.machines[index.as_usize()].mean_slowdown,
        ran_ms as f64 / 1000.0,
    );
    if is_slow {
        drain_straggler(cluster, index);
    }
}

/// Reacts to a failed attempt by its cause: places nothing on the machine or of the job for a while, or
/// records the failure for fault attribution.
fn react_to_failure(
    cluster: &mut ClusterState,
    index: MachineIndex,
    job_index: JobIndex,
    cause: ExitCause,
    now: Millis,
) {
    let machine = &mut cluster.machines[index.as_usize()];
    let job = &mut cluster.jobs[job_index.as_usize()];
    match cause {
        ExitCause::Done
        | ExitCause::Stopped
        | ExitCause::GangPeersLost
        | ExitCause::IncompleteGang => {}
        ExitCause::InsufficientResources | ExitCause::AttemptExists => {
            machine.avoid_until = now + REJECTION_COOLDOWN_MS
        }
        ExitCause::Unknown => job.backoff_until = now + REJECTION_COOLDOWN_MS,
        ExitCause::Error | ExitCause::Other => {
            tracing::debug!(job = %job.id, machine = machine.name, "a task failed");
            cluster.on_task_failed(job_index, index, now);
        }
    }
}

/// Whether the tasks that run on the machine take far longer than other tasks of their jobs took.
pub(super) fn is_straggler(cluster: &ClusterState, index: MachineIndex, now: Millis) -> bool {
    let running = cluster
        .machine(index)
        .attempts
        .iter()
        .filter_map(|attempt| {
            let since = attempt
                .running_since
                .filter(|_| attempt.phase == Phase::Running)?;
            let ran_s = now.saturating_sub(since) as f64 / 1000.0;
            Some((&cluster.job(attempt.job).mean_runtime_s, ran_s))
        });
    straggler::is_straggling(running)
}
