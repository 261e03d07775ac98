//! A node's metrics on `/metrics`, as OpenMetrics text.
//!
//! The node's status is recorded once a second; counting an error or a batch takes a few additions.
//! The text is rendered only on request.

use std::time::Duration;

use prometheus_client::{encoding::text::encode, registry::Registry};

use crate::{
    coordination::NodeStatus,
    protocol::{cloud::CloudError, state::StateError},
};

mod admission;
mod labels;
mod node;
mod process;
mod quotas;

pub use process::ShedConnection;

/// Media type of the text that [`Metrics::render`] returns.
pub const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A node's metrics and their registry.
pub struct Metrics {
    registry: Registry,
    process: process::ProcessMetrics,
    node: node::NodeMetrics,
    admission: admission::AdmissionMetrics,
    quotas: quotas::QuotaMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("dalelb"),
            process: process::ProcessMetrics::default(),
            node: node::NodeMetrics::default(),
            admission: admission::AdmissionMetrics::default(),
            quotas: quotas::QuotaMetrics::default(),
        };
        // The rendered text lists the metrics in this order.
        metrics.process.register(&mut metrics.registry);
        metrics.node.register(&mut metrics.registry);
        metrics.admission.register(&mut metrics.registry);
        metrics.quotas.register(&mut metrics.registry);
        metrics
    }
}

impl Metrics {
    /// Counts a failed call to the state service.
    pub fn record_state_error(&self, error: &StateError) {
        let error = match error {
            StateError::NoAnswer => "no_answer",
            StateError::Refused(_) => "refused",
        };
        self.process.record_failed_call("state", error);
    }

    /// Counts a failed call to the cloud.
    pub fn record_cloud_error(&self, error: &CloudError) {
        let error = match error {
            CloudError::NoAnswer => "no_answer",
            CloudError::Refused(_) => "refused",
        };
        self.process.record_failed_call("cloud", error);
    }

    /// Counts a connection that was closed or refused because sockets were scarce.
    pub fn record_shed(&self, connection: ShedConnection) {
        self.process.record_shed(connection);
    }

    /// Records the time that the event loop took to process a batch of commands.
    pub fn record_batch_duration(&self, duration: Duration) {
        self.process.record_batch_duration(duration);
    }

    /// Sets the metrics from the node's status and the number of queued commands and requests.
    pub fn record_status(&self, mut status: NodeStatus, queued: usize) {
        self.process.record_queued_commands(queued);
        self.node.record(&status);
        self.admission.record(&status);
        self.quotas.record(status.quotas.take());
        self.node.record_cluster(status);
    }

    /// All metrics as OpenMetrics text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "rendering the metrics failed");
        }
        text
    }
}
