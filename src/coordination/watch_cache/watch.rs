//! The watch on the registry's keys, a long poll that is repeated without end.

use super::RETRY_MS;
use crate::{
    coordination::{Node, StateTag},
    protocol::state::{StateError, StateReply, StateRequest, Urgency},
    storage,
    time::Millis,
};

/// For so long the state service holds a watch that brings nothing.
const WATCH_HOLD_MS: Millis = 10_000;
/// After that, for so long an answer may be on its way.
const WATCH_TIMEOUT_MARGIN_MS: Millis = 3000;

/// How the watch stands.
#[derive(Default)]
pub struct RegistryWatch {
    open: bool,
    retry_at: Millis,
}

impl Node {
    /// Opens the watch unless it is open.
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
                hold_ms: WATCH_HOLD_MS,
            },
            Urgency::Prompt,
            WATCH_HOLD_MS + WATCH_TIMEOUT_MARGIN_MS,
        );
    }

    /// Takes in what the watch brought.
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
