//! The limit of connections from outside, and which of them are closed as sockets run out.
//!
//! A refused client tries another node, which costs a user up to seconds and a worker a part of its
//! lease. Before that, connections that are idle just now are closed: first those kept open to
//! workers between orders, then those of workers between two reports and of users between two
//! polls. Both come back over a new connection, which costs a round trip. With a permanent
//! connection for each worker, 2,367 permits were not enough for 4,000 machines, and new clients
//! were refused.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::Instant,
};

use crate::metrics::{Metrics, ShedConnection};

/// Free permits are scarce below this part of all, as a divisor.
const SCARCITY_DIVISOR: usize = 8;
/// Warnings are logged at most this often.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The permits for connections from outside.
pub struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    max_connections: usize,
    metrics: Arc<Metrics>,
    started_at: Instant,
    /// Milliseconds since the start before which no further warning is logged.
    next_log_at_ms: AtomicU64,
}

impl ConnectionLimiter {
    /// A limiter of `max_connections` connections.
    pub fn new(max_connections: usize, metrics: Arc<Metrics>) -> Self {
        ConnectionLimiter {
            permits: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            metrics,
            started_at: Instant::now(),
            next_log_at_ms: AtomicU64::new(0),
        }
    }

    /// A permit for a connection, held while it is open. `None`: it has to be refused, so that the
    /// client tries another node.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.permits.clone().try_acquire_owned().ok();
        if permit.is_none() {
            self.metrics.record_shed(ShedConnection::RefusedInbound);
            self.log_rate_limited("no sockets left: connections are refused");
        }
        permit
    }

    /// Whether a client that got its response should reconnect: few permits are free, and a client
    /// that comes every few seconds mostly leaves its connection idle. Counted in the metrics.
    pub fn should_shed(&self, connection: ShedConnection) -> bool {
        let scarce = self.permits.available_permits() < self.max_connections / SCARCITY_DIVISOR;
        if scarce {
            self.metrics.record_shed(connection);
            self.log_rate_limited(
                "sockets are scarce: connections are closed after reports and polls",
            );
        }
        scarce
    }

    fn log_rate_limited(&self, message: &'static str) {
        let now = self.started_at.elapsed().as_millis() as u64;
        if now >= self.next_log_at_ms.load(Ordering::Relaxed) {
            let until = now + MIN_LOG_INTERVAL.as_millis() as u64;
            self.next_log_at_ms.store(until, Ordering::Relaxed);
            let free = self.permits.available_permits();
            tracing::warn!(free, of = self.max_connections, "{message}");
        }
    }
}

#[cfg(test)]
mod tests;
