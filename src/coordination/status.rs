//! What a node says of itself to whoever watches it.

use super::{Class, Counts, Node, QuotaStatus};
use crate::{
    cluster::MachineState, coordination::registry::LiveJob, protocol::ids::JobId,
    scheduling::fair_share::Standing, time::Millis,
};

/// A look at the owner; what only a leader knows is empty elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Status {
    pub leading: bool,
    pub term: u64,
    /// How long workers may still be renewed without another sync.
    pub entitlement_ms: Millis,
    /// Unfinished jobs that wait for others, and jobs that were cancelled with one that they need and
    /// whose records don't say so yet.
    pub awaiting: usize,
    pub ends_unwritten: usize,
    /// Each team's waiting tasks and booked units.
    pub teams: Vec<(String, usize, f64)>,
    /// How many machines there are in each state.
    pub machines: Vec<(&'static str, usize)>,
    /// Tasks whose last change is not stored yet.
    pub unwritten: usize,
    /// How submissions of each class fare at this node.
    pub submissions: Vec<(Class, Counts)>,
    /// The admission table that this node follows, and what it may let in by it, a second.
    pub table: u64,
    pub part: f64,
    /// The part of its time in which the processor could not follow.
    pub late: f64,
    /// On the leader: how each class of each team is served.
    pub classes: Vec<(Class, Standing)>,
    /// What the tasks that started since the last look had waited for.
    pub start_waits: Vec<Millis>,
    /// On the leader, where cells share quotas: how those stand.
    pub quotas: Option<QuotaStatus>,
}

impl Node {
    pub fn status(&mut self) -> Status {
        let until = self.renews_until().unwrap_or(0);
        let waits = |(_, job): &(JobId, &LiveJob)| job.left > 0;
        let mut status = Status {
            awaiting: self.directory.live().filter(waits).count(),
            ends_unwritten: self.directory.doomed().count(),
            term: self.directory.term,
            entitlement_ms: until.saturating_sub(self.now),
            submissions: self.served_here(),
            table: self.admission.seq(),
            part: self.parts().whole(),
            late: self.admission.late(),
            quotas: self.quota_status(),
            ..Status::default()
        };
        let Some(leading) = &mut self.leading else {
            return status;
        };
        status.leading = true;
        let Some(books) = &mut leading.books else {
            return status;
        };
        status.unwritten = books.unlogged.len() + books.logging.len();
        status.start_waits = std::mem::take(&mut books.start_waits);
        status.teams = books
            .teams
            .iter()
            .map(|team| {
                let queue = team.queue.iter();
                let waiting = queue.map(|&(_, _, job)| books.job(job).waiting.len()).sum();
                (team.name.clone(), waiting, books.units(&team.booked))
            })
            .collect();
        status.classes = books.named_standings();
        let states = [
            ("booting", MachineState::Booting),
            ("up", MachineState::Up),
            ("lost", MachineState::Lost),
            ("deleting", MachineState::Deleting),
        ];
        status.machines = states
            .into_iter()
            .map(|(name, state)| {
                let machines = books.machines.iter();
                (
                    name,
                    machines.filter(|machine| machine.state == state).count(),
                )
            })
            .collect();
        status
    }
}
