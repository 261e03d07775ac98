//! Read barriers: reads of all changes up to now, which prove that the registry is up to date.

use crate::{
    coordination::{Node, RequestId, StateTag},
    protocol::state::{StateError, StateReply, StateRequest, StateRequestPriority},
    storage,
    time::Millis,
};

/// Minimum time between the starts of two barriers.
const MIN_BARRIER_INTERVAL_MS: Millis = 30;
const BARRIER_TIMEOUT_MS: Millis = 1500;
/// Interval at which a leader starts a barrier without a request for one.
const LEADER_BARRIER_INTERVAL_MS: Millis = 1000;
/// Interval at which a follower starts a barrier without a request for one.
const FOLLOWER_BARRIER_INTERVAL_MS: Millis = 2000;

/// The read barriers of this node, of which at most one is in flight.
#[derive(Default)]
pub struct ReadBarrier {
    /// When the barrier in flight was started.
    in_flight_since: Option<Millis>,
    last_started_at: Millis,
    /// The send time of the last barrier that succeeded.
    pub confirmed_at: Option<Millis>,
    /// Requests that wait for the barrier in flight.
    waiting_on_current: Vec<RequestId>,
    /// Requests that arrived after it was started, and wait for the next barrier.
    waiting_on_next: Vec<RequestId>,
    /// Whether another barrier should start soon.
    pub is_requested: bool,
    /// Whether the last barrier got no response, not even a refusal. Requests that arrive meanwhile are
    /// relayed to another member immediately. Otherwise, each user on this node's side of a network
    /// partition would wait for 2 s before a member is tried.
    pub is_unanswered: bool,
}

impl ReadBarrier {
    /// Adds a request to those that wait for the next barrier.
    pub(in crate::coordination) fn wait_for_next(&mut self, id: RequestId) {
        self.waiting_on_next.push(id);
    }

    /// Removes and returns the requests that wait for the next barrier.
    pub(super) fn take_waiting(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting_on_next)
    }
}

impl Node {
    /// Starts a read barrier if one is due.
    pub(super) fn start_read_barrier(&mut self) {
        let interval_ms = if self.leader_state.is_some() {
            LEADER_BARRIER_INTERVAL_MS
        } else {
            FOLLOWER_BARRIER_INTERVAL_MS
        };
        let is_due = !self.read_barrier.waiting_on_next.is_empty()
            || self.read_barrier.is_requested
            || self.read_barrier.last_started_at + interval_ms <= self.now;
        if !is_due
            || self.read_barrier.in_flight_since.is_some()
            || self.read_barrier.last_started_at + MIN_BARRIER_INTERVAL_MS > self.now
        {
            return;
        }
        self.read_barrier.in_flight_since = Some(self.now);
        self.read_barrier.last_started_at = self.now;
        self.read_barrier.is_requested = false;
        self.read_barrier.waiting_on_current =
            std::mem::take(&mut self.read_barrier.waiting_on_next);
        self.call_state_service(
            StateTag::ReadBarrier {
                generation: self.load_generation,
            },
            StateRequest::Changes {
                prefix: storage::SHARED_PREFIX,
                after: self.registry.revision,
                max_wait_ms: 0,
            },
            StateRequestPriority::Prompt,
            BARRIER_TIMEOUT_MS,
        );
    }

    /// Applies the changes that a barrier returned, and resolves the requests that waited for it.
    pub(in crate::coordination) fn on_read_barrier(
        &mut self,
        generation: u64,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        self.read_barrier.in_flight_since = None;
        let waiting = std::mem::take(&mut self.read_barrier.waiting_on_current);
        if generation != self.load_generation {
            self.read_barrier.waiting_on_next.extend(waiting);
            return;
        }
        self.read_barrier.is_unanswered = matches!(result, Err(StateError::NoAnswer));
        match result {
            Ok(reply @ StateReply::Changes(_)) => {
                self.apply_changes(reply);
                self.read_barrier.confirmed_at = self.read_barrier.confirmed_at.max(Some(sent_at));
                self.rebuild_cluster();
                for id in waiting {
                    self.resolve_request(id);
                }
            }
            Ok(reply) => {
                self.apply_changes(reply);
                self.read_barrier.waiting_on_next.extend(waiting);
            }
            Err(_) => {
                for id in waiting {
                    self.relay_or_refuse(id);
                }
            }
        }
    }
}
