//! Load shedding: the order in which requests are refused or deferred, the same for every scarce resource.
//!
//! | resource | what is refused or deferred |
//! | --- | --- |
//! | requests and writes to the state service | a call of lower priority leaves a larger part of the node's rate limit to others ([`reserved_fraction`]) |
//! | the processor, the node's command queue | a request is refused while the node's steps are late for more of the time than its priority tolerates ([`RequestPriority::max_lateness`]) |
//! | sockets | idle connections are closed (`transport/connection_limiter.rs`) |
//! | the node's admission quota | new submissions beyond the share of their class are deferred (`controller.rs`) |

use crate::protocol::state::StateRequestPriority;

/// The priority of a request; the lowest is refused first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// A poll for an accepted job of which no task runs or is done: the response only says that it is pending.
    IdlePoll,
    /// Any other poll.
    Poll,
    /// A submission of a class that has used up its share.
    SubmissionBeyondShare,
    /// A submission within the share of its class, or one whose reservation is due.
    SubmissionWithinShare,
    /// A cancellation of a job.
    Cancellation,
    /// A request that a node needs to keep its role, such as the renewal of its lease as leader or lease renewer.
    ControlPlane,
}

impl RequestPriority {
    /// The priority of the calls to the state service that serve such a request.
    pub fn state_request_priority(self) -> StateRequestPriority {
        match self {
            RequestPriority::IdlePoll | RequestPriority::Poll => StateRequestPriority::Normal,
            // The admission controller separates the two. When submissions beyond their share left a larger reserve,
            // they got no tokens on a leader under load: its log writes are prompt too, and take all tokens above
            // the reserve of prompt calls.
            RequestPriority::SubmissionBeyondShare | RequestPriority::SubmissionWithinShare => {
                StateRequestPriority::Prompt
            }
            RequestPriority::Cancellation | RequestPriority::ControlPlane => {
                StateRequestPriority::Vital
            }
        }
    }

    /// The largest fraction of the time in which the processor may be late, from 0 to 1, before such a request is
    /// refused.
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

/// The fraction of a full token bucket that calls of this priority leave to those of a higher one.
pub fn reserved_fraction(priority: StateRequestPriority) -> f64 {
    match priority {
        StateRequestPriority::Vital => 0.0,
        StateRequestPriority::Prompt => 0.1,
        StateRequestPriority::Normal => 0.25,
    }
}

#[cfg(test)]
mod tests;
