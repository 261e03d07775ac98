//! The leader's periodic reports of the progress of jobs to the other members: announcements over the
//! members' connections and, while a member does not answer them, a record in the state service.

use crate::{
    cluster::{ClusterState, Job, MachineState, UnreportedAttempts},
    coordination::{
        Effect, JobProgress, LeaderAnnouncement, Node, StateTag,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::{
        job::JobKind,
        state::{StateError, StateReply, StateRequest, StateRequestPriority, Txn},
    },
    storage::{self, ProgressEntry, ProgressRecord},
    time::Millis,
};

const PROGRESS_INTERVAL_MS: Millis = 1000;
/// A member that has not answered an announcement for this long, though each is sent one in this time, does
/// not receive them.
const MEMBER_SILENCE_MS: Millis = PROGRESS_INTERVAL_MS + PROGRESS_INTERVAL_MS / 2;

/// When and how the progress of jobs was last published.
#[derive(Default)]
pub(super) struct ProgressPublication {
    announced_at: Millis,
    /// A write of the record in the state service is in flight.
    write_in_flight: bool,
    /// The last progress was also written to the state service.
    is_stored: bool,
}

impl Node {
    /// Reports the leader and the progress of unfinished jobs to the other members.
    pub(super) fn publish_progress(&mut self) {
        // Without a confirmed lease another node may lead by now, and may have started tasks.
        let Some(led_at) = self.led_at() else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.progress.announced_at + PROGRESS_INTERVAL_MS > self.now {
            return;
        }
        leader.progress.announced_at = self.now;
        let Some(cluster) = &leader.cluster else {
            return;
        };
        if tracing::enabled!(tracing::Level::DEBUG) {
            log_cluster_state(cluster);
            let unlogged_tasks = cluster.unlogged_tasks.len() + cluster.tasks_being_logged.len();
            tracing::debug!(
                unlogged_tasks,
                records = leader.log.live_record_count(),
                "leader log"
            );
        }
        let jobs = jobs_in_progress(cluster, self.now);
        let term = leader.term;
        if led_at == self.now {
            self.store_progress_for_silent_members(&jobs);
        }
        let progress_at_ms = self.wall_ms.saturating_sub(self.now - led_at);
        self.effects
            .push(Effect::AnnounceProgress(LeaderAnnouncement {
                term,
                leader: self.config.label.clone(),
                sent_at_ms: Some(self.wall_ms),
                progress_at_ms: Some(progress_at_ms),
                jobs,
                reservations: self.admission.reservations(self.now),
            }));
    }

    /// Writes the progress of jobs to the state service if a member that is connected to it does not answer
    /// announcements.
    fn store_progress_for_silent_members(&mut self, jobs: &[JobProgress]) {
        let is_needed = self.has_silent_member();
        let max_value_bytes = self.config.settings.state.max_value_bytes();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if is_needed != leader.progress.is_stored {
            tracing::info!(
                is_needed,
                "progress of jobs for members that don't answer, in the state service"
            );
        }
        leader.progress.is_stored = is_needed;
        if !is_needed || leader.progress.write_in_flight {
            return;
        }
        leader.progress.write_in_flight = true;
        let lease = leader.lease;
        let entries = jobs.iter().filter_map(progress_entry);
        let record = ProgressRecord::new(leader.term, self.wall_ms, entries, max_value_bytes);
        let mut txn = Txn {
            conditions: vec![leader.leadership_condition()],
            writes: Vec::new(),
        };
        txn.put(
            storage::PROGRESS_KEY.into(),
            self.registry.progress_version,
            storage::to_value(&record),
        );
        self.call_state_service(
            StateTag::WriteProgress { lease },
            StateRequest::Txn(txn),
            StateRequestPriority::Prompt,
            TXN_TIMEOUT_MS,
        );
    }

    /// Whether a member that holds its key in the state service, and so is connected to it, has not answered
    /// the latest announcements.
    fn has_silent_member(&self) -> bool {
        let Some(leader) = &self.leader_state else {
            return false;
        };
        self.config.members.iter().any(|member| {
            let answered_at = self.admission.last_status_at(&member.label);
            let heard_at = answered_at.unwrap_or(0).max(leader.takeover_at);
            self.registry.lease_renewers.contains_key(&member.label)
                && heard_at + MEMBER_SILENCE_MS <= self.now
        })
    }

    /// Handles the answer to the write of the progress of jobs. After a failure, the next one is written with
    /// the next announcement.
    pub(in crate::coordination) fn on_progress_stored(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(outcome) = self.write_outcome(lease, result) else {
            return;
        };
        match outcome {
            WriteOutcome::Stored(version) => {
                self.registry.progress_version = version.max(self.registry.progress_version)
            }
            // The registry may have an outdated version of the key.
            WriteOutcome::Unknown => self.request_read_barrier(),
            WriteOutcome::Rejected => {}
        }
        if let Some(leader) = &mut self.leader_state {
            leader.progress.write_in_flight = false;
        }
    }
}

/// The progress of a job, given its attempts that may be running although no report says so.
pub(super) fn job_progress(job: &Job, unreported: UnreportedAttempts) -> JobProgress {
    JobProgress {
        job: job.id,
        done: job.done_count,
        running: job.running_count + unreported.assumed_running,
        may_run_unreported: unreported.any_unknown,
    }
}

/// The unfinished jobs with done tasks, or with tasks that run or may run, in the order of their ids.
fn jobs_in_progress(cluster: &ClusterState, now: Millis) -> Vec<JobProgress> {
    let unreported = cluster.unreported_attempts_by_job(now);
    let open_jobs = cluster.jobs_by_id.values().filter_map(|index| {
        let job = cluster.job(*index);
        let unreported = unreported.get(index).copied().unwrap_or_default();
        (!job.closed).then(|| job_progress(job, unreported))
    });
    open_jobs
        .filter(|progress| *progress != JobProgress::none(progress.job))
        .collect()
}

/// The entry of a job in the record in the state service; `None` if no task runs or may run.
fn progress_entry(progress: &JobProgress) -> Option<ProgressEntry> {
    let running = match progress.is_running() {
        Some(false) => return None,
        Some(true) => Some(progress.running),
        None => None,
    };
    Some(ProgressEntry {
        job: progress.job,
        done: progress.done,
        running,
    })
}

/// Logs each team's waiting tasks and reserved units, and the machines in use.
fn log_cluster_state(cluster: &ClusterState) {
    for team in &cluster.teams {
        let mut waiting = [0; 2];
        for (.., job) in &team.queue {
            let job = cluster.job(*job);
            waiting[usize::from(job.kind == JobKind::Service)] += job.waiting.len();
        }
        let [arrays, services] = waiting;
        let reserved_units = cluster.accounted_units(&team.reserved);
        tracing::debug!(
            team = team.name,
            reserved_units,
            arrays,
            services,
            "waiting tasks"
        );
    }
    let count = |state| cluster.machines.iter().filter(|m| m.state == state).count();
    let reserved_units = cluster
        .machines
        .iter()
        .map(|m| cluster.accounted_units(&m.reserved))
        .sum::<f64>();
    let (up, booting) = (count(MachineState::Up), count(MachineState::Booting));
    tracing::debug!(up, booting, reserved_units, "machines");
}
