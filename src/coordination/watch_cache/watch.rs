//! The watch on the registry's keys: a long poll that is repeated continuously.

use super::RETRY_MS;
use crate::{
    coordination::{Node, StateTag},
    protocol::state::{StateError, StateReply, StateRequest, StateRequestPriority},
    storage,
    time::Millis,
};

/// How long the state service waits for changes before it responds to a watch without any.
const WATCH_MAX_WAIT_MS: Millis = 10_000;
/// How long after that the response may take to arrive.
const WATCH_TIMEOUT_MARGIN_MS: Millis = 3000;

/// The state of the watch.
#[derive(Default)]
pub struct RegistryWatch {
    open: bool,
    retry_at: Millis,
}

impl Node {
    /// Opens the watch, unless it is open or a retry is not due yet.
    pub(super) fn start_watch(&mut self) {
        if self.watch.open || self.watch.retry_at > self.now {
            return;
        }
        self.watch.open = true;
        self.call_state_service(
            StateTag::WatchRegistry {
                generation: self.load_generation,
            },
            StateRequest::Changes {
                prefix: storage::SHARED_PREFIX,
                after: self.registry.revision,
                max_wait_ms: WATCH_MAX_WAIT_MS,
            },
            StateRequestPriority::Prompt,
            WATCH_MAX_WAIT_MS + WATCH_TIMEOUT_MARGIN_MS,
        );
    }

    /// Applies the changes that the watch returned.
    pub(in crate::coordination) fn on_watch_response(
        &mut self,
        generation: u64,
        result: Result<StateReply, StateError>,
    ) {
        if generation != self.load_generation {
            return;
        }
        self.watch.open = false;
        match result {
            Ok(reply) => self.apply_changes(reply),
            Err(_) => self.watch.retry_at = self.now + RETRY_MS,
        }
    }
}
