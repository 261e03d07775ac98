//! Teams that change while the service runs.

use std::collections::BTreeSet;

use crate::{
    cluster::{ClusterState, Resources, Team as BookedTeam},
    config::Team,
    coordination::Node,
};

impl Node {
    /// The settings name other teams, limits or guarantees. All of it is taken, or nothing.
    pub(in crate::coordination) fn reconfigure_teams(&mut self, teams: Vec<Team>) {
        if self.config.cells.is_none() {
            return;
        }
        let named: BTreeSet<&str> = teams.iter().map(|team| team.name.as_str()).collect();
        let busy = self.busy_removed_teams(&named);
        if !busy.is_empty() {
            tracing::error!(teams = ?busy, "removed teams still have work: the settings before stay in force");
            return;
        }
        let cluster = self
            .leader_state
            .as_mut()
            .and_then(|leader| leader.cluster.as_mut());
        if let Some(cluster) = cluster {
            add_new_teams(cluster, &teams);
        }
        tracing::info!(teams = teams.len(), "teams were read again");
        self.config.settings.teams = teams;
    }

    /// Teams that are no longer named and have unfinished jobs, or tasks that may be running.
    fn busy_removed_teams(&self, named: &BTreeSet<&str>) -> Vec<String> {
        let live = self
            .registry
            .live_jobs()
            .map(|(_, job)| job.spec.team.as_str());
        let mut busy: BTreeSet<&str> = live.filter(|team| !named.contains(team)).collect();
        let cluster = self
            .leader_state
            .as_ref()
            .and_then(|leader| leader.cluster.as_ref());
        let teams = cluster.into_iter().flat_map(|cluster| &cluster.teams);
        let booked =
            teams.filter(|team| team.reserved.cpus > 0.0005 || team.reserved.gpus > 0.0005);
        let booked = booked.map(|team| team.name.as_str());
        busy.extend(booked.filter(|team| !named.contains(team)));
        busy.into_iter().map(str::to_owned).collect()
    }
}

/// Enters new teams; each may use nothing until its home has granted something.
fn add_new_teams(cluster: &mut ClusterState, teams: &[Team]) {
    for team in teams {
        if cluster.team_interner.get(&team.name).is_some() {
            continue;
        }
        cluster.team_interner.intern(&team.name);
        cluster.teams.push(BookedTeam {
            name: team.name.clone(),
            guarantee: Resources::default(),
            limit: Resources::default(),
            reserved: Resources::default(),
            queue: Default::default(),
        });
    }
}
