//! What gives way first, at everything that is scarce: the one place that holds this order.
//!
//! | at | what gives way, and how |
//! | --- | --- |
//! | state requests and writes | each rank leaves a larger reserve in the node's part of the limits ([`Rank::reserve`]) |
//! | the processor, the owner's queue | a rank is sent away while passes come late for more of the time than it bears ([`Rank::bears`]) |
//! | sockets | connections that nobody needs just now are closed, polls' first (`transport/sockets.rs`) |
//! | a node's part of what is let in | newcomers beyond their class's due wait for their turn (`door.rs`) |

use crate::protocol::state::Urgency;

/// Who asks, the first to give way first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// A poll for a job of which nothing new can be told: its user knows it to wait.
    IdlePoll,
    Poll,
    /// A submission of a class that has had its due.
    Beyond,
    /// A submission of a class within its due, or one whose turn has come.
    Within,
    Cancellation,
    /// What nodes do to stay what they are: leases of leader and deputies, syncs, the leader's notes.
    Lease,
}

impl Rank {
    /// How urgent the rank's requests to the state service are.
    pub fn urgency(self) -> Urgency {
        match self {
            Rank::IdlePoll | Rank::Poll => Urgency::Normal,
            // The door tells them apart. With a larger reserve for one of them it found nothing on a leader, whose
            // notes are prompt too and take all that is above theirs under load.
            Rank::Beyond | Rank::Within => Urgency::Prompt,
            Rank::Cancellation | Rank::Lease => Urgency::Vital,
        }
    }

    /// In which part of its time the processor may fail to follow, from 0 to 1, before the rank is sent away.
    pub fn bears(self) -> f64 {
        match self {
            Rank::IdlePoll => 0.3,
            Rank::Poll => 0.5,
            Rank::Beyond => 0.7,
            Rank::Within => 0.9,
            Rank::Cancellation | Rank::Lease => f64::INFINITY,
        }
    }
}

/// The part of a bucket that less urgent requests leave to others.
pub fn reserve(urgency: Urgency) -> f64 {
    match urgency {
        Urgency::Vital => 0.0,
        Urgency::Prompt => 0.1,
        Urgency::Normal => 0.25,
    }
}

#[cfg(test)]
mod tests;
