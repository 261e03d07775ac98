//! Read barriers: a read of all changes up to now, which proves how new the registry is.

use crate::{
    coordination::{Node, RequestId, StateTag},
    protocol::state::{StateError, StateReply, StateRequest, Urgency},
    storage,
    time::Millis,
};

/// Least time between the starts of two barriers.
const MIN_BARRIER_INTERVAL_MS: Millis = 30;
const BARRIER_TIMEOUT_MS: Millis = 1500;
/// How often a barrier begins without being asked for.
const LEADER_BARRIER_INTERVAL_MS: Millis = 1000;
const FOLLOWER_BARRIER_INTERVAL_MS: Millis = 2000;

/// The read barriers of this node, of which one at a time is under way.
#[derive(Default)]
pub struct ReadBarrier {
    /// When the one under way was started.
    in_flight_since: Option<Millis>,
    last_started_at: Millis,
    /// The send time of the last one that succeeded.
    pub confirmed_at: Option<Millis>,
    /// Requests that wait for the one under way.
    waiting_on_current: Vec<RequestId>,
    /// Requests that came after it began: they wait for the next.
    waiting_on_next: Vec<RequestId>,
    /// Another one is to begin soon.
    pub is_requested: bool,
    /// The last one got no answer, not even a refusal. Requests that come meanwhile are relayed to a
    /// member at once: users that were cut off with this node waited for 2 s each before one was tried.
    pub is_unanswered: bool,
}

impl ReadBarrier {
    /// Has a request wait for the next barrier.
    pub(in crate::coordination) fn wait_for_next(&mut self, id: RequestId) {
        self.waiting_on_next.push(id);
    }

    /// Takes the requests that wait for the next barrier.
    pub(super) fn take_waiting(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting_on_next)
    }
}

impl Node {
    /// Begins a read barrier when one is due.
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
                hold_ms: 0,
            },
            Urgency::Prompt,
            BARRIER_TIMEOUT_MS,
        );
    }

    /// Takes in what the barrier brought, and answers the requests that waited for it.
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
