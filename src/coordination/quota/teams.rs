//! Changes of the teams while the service runs.

use std::collections::BTreeSet;

use crate::{
    cluster::{ClusterState, Resources, Team as ClusterTeam},
    config::Team,
    coordination::Node,
};

impl Node {
    /// Applies new teams, limits and guarantees from the settings: all of them, or none if a removed team still
    /// has work.
    pub(in crate::coordination) fn reconfigure_teams(&mut self, teams: Vec<Team>) {
        if self.config.cells.is_none() {
            return;
        }
        let configured: BTreeSet<&str> = teams.iter().map(|team| team.name.as_str()).collect();
        let with_work = self.removed_teams_with_work(&configured);
        if !with_work.is_empty() {
            tracing::error!(teams = ?with_work, "removed teams still have work: keeping the previous settings");
            return;
        }
        let cluster = self
            .leader_state
            .as_mut()
            .and_then(|leader| leader.cluster.as_mut());
        if let Some(cluster) = cluster {
            add_new_teams(cluster, &teams);
        }
        tracing::info!(teams = teams.len(), "reloaded the teams");
        self.config.settings.teams = teams;
    }

    /// Teams that are no longer configured but have unfinished jobs, or tasks that may be running.
    fn removed_teams_with_work(&self, configured: &BTreeSet<&str>) -> Vec<String> {
        let with_jobs = self
            .registry
            .live_jobs()
            .map(|(_, job)| job.spec.team.as_str());
        let mut removed: BTreeSet<&str> = with_jobs
            .filter(|team| !configured.contains(team))
            .collect();
        let cluster = self
            .leader_state
            .as_ref()
            .and_then(|leader| leader.cluster.as_ref());
        let teams = cluster.into_iter().flat_map(|cluster| &cluster.teams);
        let with_reservations =
            teams.filter(|team| team.reserved.cpus > 0.0005 || team.reserved.gpus > 0.0005);
        let with_reservations = with_reservations.map(|team| team.name.as_str());
        removed.extend(with_reservations.filter(|team| !configured.contains(team)));
        removed.into_iter().map(str::to_owned).collect()
    }
}

/// Adds new teams to the cluster state. A new team may use nothing until its coordinator grants units.
fn add_new_teams(cluster: &mut ClusterState, teams: &[Team]) {
    for team in teams {
        if cluster.team_interner.get(&team.name).is_some() {
            continue;
        }
        cluster.team_interner.intern(&team.name);
        cluster.teams.push(ClusterTeam {
            name: team.name.clone(),
            guarantee: Resources::default(),
            limit: Resources::default(),
            reserved: Resources::default(),
            queue: Default::default(),
        });
    }
}
