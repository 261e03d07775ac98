//! Metrics of the process: failed calls, shed connections and the event loop.

use std::time::Duration;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::{Registry, Unit},
};

use super::labels::IntGauge;

/// Upper bounds of the histogram buckets for the time to process a batch, in seconds.
const BATCH_DURATION_BUCKETS_S: [f64; 10] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0,
];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailedCallLabels {
    service: &'static str,
    error: &'static str,
}

/// The kind of a connection that is closed or refused because sockets are scarce.
#[derive(Clone, Copy, Debug)]
pub enum ShedConnection {
    /// An idle connection to a worker, closed instead of being kept for the next orders.
    IdleToWorker,
    /// A worker's connection, closed after a heartbeat.
    AfterReport,
    /// A user's connection, closed after a poll.
    AfterPoll,
    /// A new inbound connection, refused.
    RefusedInbound,
}

impl ShedConnection {
    fn label(self) -> &'static str {
        match self {
            ShedConnection::IdleToWorker => "workers",
            ShedConnection::AfterReport => "reports",
            ShedConnection::AfterPoll => "polls",
            ShedConnection::RefusedInbound => "refused",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShedLabels {
    what: &'static str,
}

/// Metrics of the process.
pub(super) struct ProcessMetrics {
    failed_calls: Family<FailedCallLabels, Counter>,
    shed_connections: Family<ShedLabels, Counter>,
    batch_durations: Histogram,
    queued_commands: IntGauge,
}

impl Default for ProcessMetrics {
    fn default() -> Self {
        ProcessMetrics {
            failed_calls: Family::default(),
            shed_connections: Family::default(),
            batch_durations: Histogram::new(BATCH_DURATION_BUCKETS_S),
            queued_commands: IntGauge::default(),
        }
    }
}

impl ProcessMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("errors", "Calls that failed", self.failed_calls.clone());
        registry.register(
            "shed",
            "Connections closed or refused as sockets ran out",
            self.shed_connections.clone(),
        );
        registry.register_with_unit(
            "pass",
            "The owner's passes over a batch of commands, rounds included",
            Unit::Seconds,
            self.batch_durations.clone(),
        );
        registry.register(
            "queue",
            "Commands that wait for the owner",
            self.queued_commands.clone(),
        );
    }

    pub(super) fn record_failed_call(&self, service: &'static str, error: &'static str) {
        self.failed_calls
            .get_or_create(&FailedCallLabels { service, error })
            .inc();
    }

    pub(super) fn record_shed(&self, connection: ShedConnection) {
        let what = connection.label();
        self.shed_connections
            .get_or_create(&ShedLabels { what })
            .inc();
    }

    pub(super) fn record_batch_duration(&self, duration: Duration) {
        self.batch_durations.observe(duration.as_secs_f64());
    }

    pub(super) fn record_queued_commands(&self, queued: usize) {
        self.queued_commands.set(queued as i64);
    }
}
