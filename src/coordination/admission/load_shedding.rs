//! What gives way first, at everything that is scarce: the one place that holds this order.
//!
//! | at | what gives way, and how |
//! | --- | --- |
//! | state requests and writes | each rank leaves a larger reserve in the node's part of the limits ([`reserved_fraction`]) |
//! | the processor, the owner's queue | a rank is sent away while passes come late for more of the time than it bears ([`RequestPriority::max_lateness`]) |
//! | sockets | connections that nobody needs just now are closed, polls' first (`transport/sockets.rs`) |
//! | a node's part of what is let in | newcomers beyond their class's due wait for their turn (`door.rs`) |

#![expect(missing_docs, reason = "its items are still to be documented")]

use crate::protocol::state::Urgency;

/// Who asks, the first to give way first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// A poll for a job of which nothing new can be told: its user knows it to wait.
    IdlePoll,
    Poll,
    /// A submission of a class that has had its due.
    SubmissionBeyondShare,
    /// A submission of a class within its due, or one whose turn has come.
    SubmissionWithinShare,
    Cancellation,
    /// What nodes do to stay what they are: leases of leader and deputies, syncs, the leader's notes.
    ControlPlane,
}

impl RequestPriority {
    /// How urgent the rank's requests to the state service are.
    pub fn urgency(self) -> Urgency {
        match self {
            RequestPriority::IdlePoll | RequestPriority::Poll => Urgency::Normal,
            // The door tells them apart. With a larger reserve for one of them it found nothing on a leader, whose
            // notes are prompt too and take all that is above theirs under load.
            RequestPriority::SubmissionBeyondShare | RequestPriority::SubmissionWithinShare => {
                Urgency::Prompt
            }
            RequestPriority::Cancellation | RequestPriority::ControlPlane => Urgency::Vital,
        }
    }

    /// In which part of its time the processor may fail to follow, from 0 to 1, before the rank is sent away.
    pub fn max_lateness(self) -> f64 {
        match self {
            RequestPriority::IdlePoll => 0.3,
            RequestPriority::Poll => 0.5,
            RequestPriority::SubmissionBeyondShare => 0.7,
            RequestPriority::SubmissionWithinShare => 0.9,
            RequestPriority::Cancellation | RequestPriority::ControlPlane => f64::INFINITY,
        }
    }
}

/// The part of a bucket that less urgent requests leave to others.
pub fn reserved_fraction(urgency: Urgency) -> f64 {
    match urgency {
        Urgency::Vital => 0.0,
        Urgency::Prompt => 0.1,
        Urgency::Normal => 0.25,
    }
}

#[cfg(test)]
mod tests;
