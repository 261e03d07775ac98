//! What a node says of itself to whoever watches it.

#![expect(missing_docs, reason = "its items are still to be documented")]

use super::{AdmissionCounts, Node, QuotaStatus, WorkloadClassName};
use crate::{
    cluster::MachineState, coordination::registry::LiveJob, protocol::ids::JobId,
    scheduling::fair_share::ShareStatus, time::Millis,
};

/// A look at the owner; what only a leader knows is empty elsewhere.
#[derive(Clone, Debug, Default)]
pub struct NodeStatus {
    pub is_leader: bool,
    pub term: u64,
    /// How long workers may still be renewed without another sync.
    pub entitlement_ms: Millis,
    /// Unfinished jobs that wait for others, and jobs that were cancelled with one that they need and
    /// whose records don't say so yet.
    pub jobs_awaiting_dependencies: usize,
    pub outcomes_unwritten: usize,
    /// Each team's waiting tasks and booked units.
    pub teams: Vec<(String, usize, f64)>,
    /// How many machines there are in each state.
    pub machines: Vec<(&'static str, usize)>,
    /// Tasks whose last change is not stored yet.
    pub unlogged_tasks: usize,
    /// How submissions of each class fare at this node.
    pub submissions: Vec<(WorkloadClassName, AdmissionCounts)>,
    /// The admission table that this node follows, and what it may let in by it, a second.
    pub admission_quotas_seq: u64,
    pub admitted_per_s: f64,
    /// The part of its time in which the processor could not follow.
    pub lateness: f64,
    /// On the leader: how each class of each team is served.
    pub share_statuses: Vec<(WorkloadClassName, ShareStatus)>,
    /// What the tasks that started since the last look had waited for.
    pub start_waits: Vec<Millis>,
    /// On the leader, where cells share quotas: how those stand.
    pub quotas: Option<QuotaStatus>,
}

impl Node {
    pub fn status(&mut self) -> NodeStatus {
        let until = self.renewal_right_ends_at().unwrap_or(0);
        let waits = |(_, job): &(JobId, &LiveJob)| job.dependencies_left > 0;
        let mut status = NodeStatus {
            jobs_awaiting_dependencies: self.registry.live_jobs().filter(waits).count(),
            outcomes_unwritten: self.registry.jobs_cancelled_by_dependency().count(),
            term: self.registry.term,
            entitlement_ms: until.saturating_sub(self.now),
            submissions: self.local_admission_counts(),
            admission_quotas_seq: self.admission.quotas_seq(),
            admitted_per_s: self.quota_shares().total(),
            lateness: self.admission.lateness(),
            quotas: self.quota_status(),
            ..NodeStatus::default()
        };
        let Some(leader) = &mut self.leader_state else {
            return status;
        };
        status.is_leader = true;
        let Some(cluster) = &mut leader.cluster else {
            return status;
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
        status
    }
}
