//! Teams that change while the service runs.

use std::collections::BTreeSet;

use crate::{
    cluster::{Amounts, Books, Team as BookedTeam},
    config::Team,
    coordination::Node,
};

impl Node {
    /// The settings name other teams, limits or guarantees. All of it is taken, or nothing.
    pub(in crate::coordination) fn configure(&mut self, teams: Vec<Team>) {
        if self.config.cells.is_none() {
            return;
        }
        let named: BTreeSet<&str> = teams.iter().map(|team| team.name.as_str()).collect();
        let busy = self.busy_without(&named);
        if !busy.is_empty() {
            tracing::error!(teams = ?busy, "removed teams still have work: the settings before stay in force");
            return;
        }
        let books = self
            .leading
            .as_mut()
            .and_then(|leading| leading.books.as_mut());
        if let Some(books) = books {
            enter(books, &teams);
        }
        tracing::info!(teams = teams.len(), "teams were read again");
        self.config.settings.teams = teams;
    }

    /// Teams that are no longer named and have unfinished jobs, or tasks that may be running.
    fn busy_without(&self, named: &BTreeSet<&str>) -> Vec<String> {
        let live = self.directory.live().map(|(_, job)| job.spec.team.as_str());
        let mut busy: BTreeSet<&str> = live.filter(|team| !named.contains(team)).collect();
        let books = self
            .leading
            .as_ref()
            .and_then(|leading| leading.books.as_ref());
        let teams = books.into_iter().flat_map(|books| &books.teams);
        let booked = teams.filter(|team| team.booked.cpus > 0.0005 || team.booked.gpus > 0.0005);
        let booked = booked.map(|team| team.name.as_str());
        busy.extend(booked.filter(|team| !named.contains(team)));
        busy.into_iter().map(str::to_owned).collect()
    }
}

/// Enters new teams; each may use nothing until its home has granted something.
fn enter(books: &mut Books, teams: &[Team]) {
    for team in teams {
        if books.team_names.get(&team.name).is_some() {
            continue;
        }
        books.team_names.index(&team.name);
        books.teams.push(BookedTeam {
            name: team.name.clone(),
            guarantee: Amounts::default(),
            limit: Amounts::default(),
            booked: Amounts::default(),
            queue: Default::default(),
        });
    }
}
