//! The status of a node, as its metrics show it.

use super::{AdmissionCounts, Node, QuotaStatus, WorkloadClassName};
use crate::{
    cluster::MachineState, coordination::registry::LiveJob, protocol::ids::JobId,
    scheduling::fair_share::FairShareStatus, time::Millis,
};

/// A snapshot of a node's state for the metrics. Values that only a leader has are 0 or empty on other nodes.
#[derive(Clone, Debug, Default)]
pub struct NodeStatus {
    /// The node leads.
    pub is_leader: bool,
    /// The latest term in the node's registry.
    pub term: u64,
    /// For how many milliseconds the node may still renew workers' leases without another read barrier.
    pub renewal_remaining_ms: Millis,
    /// On a follower: how long ago the latest progress of jobs that it has from the leader was taken, by the
    /// time of day; `None` if it has none.
    pub progress_age_ms: Option<Millis>,
    /// Requests that this node could not answer because it did not know a job's status, since the process began.
    pub unknown_status_count: u64,
    /// Unfinished jobs that wait for jobs that they depend on.
    pub jobs_awaiting_dependencies: usize,
    /// Jobs that were cancelled with a dependency, and whose stored records don't show that yet.
    pub unwritten_cancellations: usize,
    /// On the leader, for each team: its name, its waiting tasks, and its reserved GPUs, or CPUs in a cluster
    /// without GPUs.
    pub teams: Vec<(String, usize, f64)>,
    /// On the leader: the number of machines in each state.
    pub machines: Vec<(&'static str, usize)>,
    /// On the leader: tasks whose last change is not stored yet.
    pub unlogged_tasks: usize,
    /// For each class, the outcomes of its submissions at this node since the process began.
    pub submissions: Vec<(WorkloadClassName, AdmissionCounts)>,
    /// The sequence number of the admission quotas that this node applies.
    pub admission_quotas_seq: u64,
    /// How many submissions a second these quotas allow this node to accept.
    pub admission_rate_per_s: f64,
    /// The fraction of recent time in which the processor could not keep up, from 0 to 1.
    pub lateness: f64,
    /// On the leader: the fair share of each class of each team.
    pub share_statuses: Vec<(WorkloadClassName, FairShareStatus)>,
    /// On the leader: how long each task that has started since the last status had waited, in milliseconds.
    pub start_waits: Vec<Millis>,
    /// On the leader, where cells share quotas: the state of those quotas.
    pub quotas: Option<QuotaStatus>,
}

impl Node {
    /// Returns the current status, and clears the start waits that it contains.
    pub fn status(&mut self) -> NodeStatus {
        let renewal_ends_at = self.may_renew_until().unwrap_or(0);
        let awaits_dependencies = |(_, job): &(JobId, &LiveJob)| job.dependencies_left > 0;
        let mut status = NodeStatus {
            jobs_awaiting_dependencies: self
                .registry
                .live_jobs()
                .filter(awaits_dependencies)
                .count(),
            unwritten_cancellations: self.registry.jobs_cancelled_by_dependency().count(),
            term: self.registry.term,
            renewal_remaining_ms: renewal_ends_at.saturating_sub(self.now),
            progress_age_ms: self
                .received_progress
                .age_ms(self.wall_ms)
                .filter(|_| self.leader_state.is_none()),
            unknown_status_count: self.unknown_status_count,
            submissions: self.local_admission_counts(),
            admission_quotas_seq: self.admission.quotas_seq(),
            admission_rate_per_s: self.quota_shares().total(),
            lateness: self.admission.lateness(),
            quotas: self.quota_status(),
            ..NodeStatus::default()
        };
        self.add_leader_status(&mut status);
        status
    }

    /// Adds what only a leader has.
    fn add_leader_status(&mut self, status: &mut NodeStatus) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        status.is_leader = true;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        status.unlogged_tasks = cluster.unlogged_tasks.len() + cluster.tasks_being_logged.len();
        status.start_waits = std::mem::take(&mut cluster.start_wait_samples);
        status.teams = cluster
            .teams
            .iter()
            .map(|team| {
                let queue = team.queue.iter();
                let waiting = queue
                    .map(|&(_, _, job)| cluster.job(job).waiting.len())
                    .sum();
                (
                    team.name.clone(),
                    waiting,
                    cluster.accounted_units(&team.reserved),
                )
            })
            .collect();
        status.share_statuses = leader.fair_share.named_statuses(cluster);
        let states = [
            ("booting", MachineState::Booting),
            ("up", MachineState::Up),
            ("lost", MachineState::Lost),
            ("deleting", MachineState::Deleting),
        ];
        status.machines = states
            .into_iter()
            .map(|(name, state)| {
                let machines = cluster.machines.iter();
                (
                    name,
                    machines.filter(|machine| machine.state == state).count(),
                )
            })
            .collect();
    }
}
