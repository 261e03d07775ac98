//! Whether the workers reach the leader. One whose lease stays fresh while it hears few of them holds
//! everything up: it resigns in favour of a member that hears more.

use std::collections::HashMap;

use crate::{
    cluster::MachineState,
    coordination::{Effect, Node, Revocation, StateTag, write_outcome::TXN_TIMEOUT},
    protocol::state::{StateRequest, Urgency},
    time::Millis,
};

const ASK: Millis = 500;
/// A member's word counts for this long.
const WORD: Millis = 2000;
/// What is heard must have been little for this long.
const DEAF: Millis = 1000;
/// A node that has resigned lets others take over for this long: a lease of the state service is gone and
/// another acquired well within that, whatever the workers do.
pub(super) const RESIGNED: Millis = 8000;
/// Parts of the fleet: silent machines from which on members are asked, by how much more a member must
/// hear, and what must be heard of it when no member answers.
const SILENT_PART: usize = 4;
const MORE_PART: usize = 10;
const FEW: (usize, usize) = (2, 5);

/// What is known of the workers that other members hear.
#[derive(Default)]
pub struct Reach {
    /// Since when many machines are silent.
    deaf_since: Option<Millis>,
    asked_at: Millis,
    /// How many workers each member hears, and when it said so.
    words: HashMap<String, (Millis, usize)>,
}

impl Reach {
    pub fn heard(&mut self, label: String, hears: usize, now: Millis) {
        self.words.insert(label, (now, hears));
    }

    /// Whether another node should lead instead of one that hears `heard` of `all` machines.
    fn resign(&self, heard: usize, all: usize, now: Millis) -> bool {
        if self.deaf_since.is_none_or(|since| since + DEAF > now) {
            return false;
        }
        let words = self.words.values();
        let others = words.filter(|(at, _)| at + WORD > now);
        match others.map(|(_, hears)| *hears).max() {
            // One more is no proof in a small fleet: workers seek about, and machines that are gone count in `all`
            // until their leases have run out. Leaders resigned in turn, each before that.
            Some(hears) => hears > heard + (all / MORE_PART).max(1),
            // Cut off from the members too: whoever can take over hears no less.
            None => heard * FEW.1 < all * FEW.0,
        }
    }
}

impl Node {
    /// Looks at how many machines are silent, asks the members how many they hear, and resigns where
    /// that is right.
    pub(super) fn check_reach(&mut self) {
        let now = self.now;
        let asked_ms = self.wall;
        let woke = self.just_woke();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(books) = &leading.books else { return };
        let up = books.machines.iter();
        let up = up.filter(|machine| machine.state == MachineState::Up);
        let (all, silent) = up.fold((0, 0), |(all, silent), machine| {
            (all + 1, silent + usize::from(machine.silent))
        });
        let settled = leading.takeover_at + self.times.settle <= now && !woke;
        if !settled || self.config.members.is_empty() || silent * SILENT_PART <= all {
            leading.reach.deaf_since = None;
            return;
        }
        leading.reach.deaf_since.get_or_insert(now);
        let heard = all - silent;
        if leading.reach.resign(heard, all, now) {
            tracing::warn!(heard, all, members = ?leading.reach.words, "resigns: out of the workers' reach");
            return self.resign();
        }
        if leading.reach.asked_at + ASK > now {
            return;
        }
        leading.reach.asked_at = now;
        let (lease, term) = (leading.lease, leading.term);
        for member in &self.config.members {
            self.out.push(Effect::Revoke {
                lease,
                label: member.label.clone(),
                revocation: Revocation {
                    term,
                    machines: Vec::new(),
                    asked_ms,
                },
            });
        }
    }

    /// Gives the leadership up, for others to take at once.
    fn resign(&mut self) {
        let Some(lease) = self.leading.as_ref().map(|leading| leading.lease) else {
            return;
        };
        self.step_down();
        self.campaign.resigned(self.now + RESIGNED);
        self.state(
            StateTag::Release,
            StateRequest::Release { lease },
            Urgency::Vital,
            TXN_TIMEOUT,
        );
    }
}

#[cfg(test)]
mod tests;
