//! The event loop: receives commands and requests in batches, steps the node, and executes the effects.

use std::time::Duration;

use tokio::time::{Instant, Interval, MissedTickBehavior};

use crate::{
    coordination::{Command, Node},
    transport::server::IncomingRequest,
};

use super::{Clock, EffectExecutor, queues::EventQueues};

/// Interval of the ticks that step the node when there is nothing else to process.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the node's status is recorded in the metrics.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Most commands, or requests, in one batch.
const MAX_COMMANDS_PER_BATCH: usize = 256;

/// Runs the node until the process ends.
pub(super) async fn run(
    mut node: Node,
    mut executor: EffectExecutor,
    mut queues: EventQueues,
    clock: Clock,
) {
    let mut receiver = BatchReceiver::new();
    let mut status_recorded_at = Instant::now();
    loop {
        receiver.receive(&mut queues, &mut executor).await;
        let now = clock.read();
        let batch_started_at = Instant::now();
        let effects = node.step(receiver.batch.drain(..), now);
        let metrics = executor.metrics();
        metrics.record_batch_duration(batch_started_at.elapsed());
        if batch_started_at >= status_recorded_at + STATUS_INTERVAL {
            status_recorded_at = batch_started_at;
            let queued = queues.commands.len() + queues.api_requests.len();
            metrics.record_status(node.status(), queued);
        }
        for effect in effects {
            executor.execute(effect);
        }
        executor.log_failed_calls();
    }
}

/// Collects queued commands and requests into batches; its buffers are reused.
struct BatchReceiver {
    tick: Interval,
    batch: Vec<Command>,
    api_requests: Vec<IncomingRequest>,
}

impl BatchReceiver {
    fn new() -> Self {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        BatchReceiver {
            tick,
            batch: Vec::with_capacity(MAX_COMMANDS_PER_BATCH),
            api_requests: Vec::with_capacity(MAX_COMMANDS_PER_BATCH),
        }
    }

    /// Waits for the next commands, requests or tick and puts them into the batch. Commands, which
    /// include the results of effects, come first: work in progress is finished before new requests
    /// are taken.
    async fn receive(&mut self, queues: &mut EventQueues, executor: &mut EffectExecutor) {
        let replies = executor.pending_replies();
        tokio::select! {
            biased;
            _ = queues.commands.recv_many(&mut self.batch, MAX_COMMANDS_PER_BATCH) => {}
            _ = queues.api_requests.recv_many(&mut self.api_requests, MAX_COMMANDS_PER_BATCH) => {}
            Some((revocation, reply)) = queues.revocations.recv() => {
                let id = replies.add_revocation(reply);
                self.batch.push(Command::RevokeLeases(id, revocation));
            }
            Some((report, reply)) = queues.cell_reports.recv() => {
                let id = replies.add_cell_report(reply);
                self.batch.push(Command::CellReported(id, Box::new(report)));
            }
            _ = self.tick.tick() => self.batch.push(Command::Tick),
        }
        for (request, reply) in self.api_requests.drain(..) {
            let id = replies.add_api_request(reply);
            self.batch.push(Command::ApiRequest(id, request));
        }
    }
}
