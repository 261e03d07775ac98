//! The leader's periodic announcements to the other members.

use crate::{
    cluster::{ClusterState, MachineState},
    coordination::{Effect, JobProgress, LeaderAnnouncement, Node},
    protocol::job::JobKind,
    time::Millis,
};

const PROGRESS_INTERVAL_MS: Millis = 1000;

impl Node {
    /// Announces the leader and the progress of unfinished jobs to the other members.
    pub(super) fn announce_progress(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.progress_announced_at + PROGRESS_INTERVAL_MS > self.now {
            return;
        }
        leader.progress_announced_at = self.now;
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
        let jobs = cluster
            .jobs_by_id
            .iter()
            .map(|(id, index)| (id, cluster.job(*index)))
            .filter(|(_, job)| !job.closed && (job.done_count > 0 || job.running_count > 0))
            .map(|(id, job)| JobProgress {
                job: *id,
                done: job.done_count,
                running: job.running_count,
            })
            .collect();
        self.effects
            .push(Effect::AnnounceProgress(LeaderAnnouncement {
                term: leader.term,
                leader: self.config.label.clone(),
                jobs,
                reservations: self.admission.reservations(self.now),
            }));
    }
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
