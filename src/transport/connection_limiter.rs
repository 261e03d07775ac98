//! Limits the number of inbound connections, and closes idle ones when few are left.
//!
//! A refused client tries another node, which costs a user up to several seconds and a worker part
//! of its lease time. To avoid that, idle connections are closed first: those kept open to workers
//! between orders, then those of workers between two heartbeats and of users between two polls.
//! These clients reconnect, which costs one round trip. With a permanent connection for each worker,
//! 2,367 permits were not enough for 4,000 machines, and new clients were refused.

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

/// Permits are scarce when fewer than the maximum divided by this are free.
const SCARCITY_DIVISOR: usize = 8;
/// Minimum interval between two logged warnings.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Issues the permits for inbound connections.
pub struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    max_connections: usize,
    metrics: Arc<Metrics>,
    started_at: Instant,
    /// Time before which no further warning is logged, in milliseconds since `started_at`.
    next_log_at_ms: AtomicU64,
}

impl ConnectionLimiter {
    /// A limiter for at most `max_connections` connections at the same time.
    pub fn new(max_connections: usize, metrics: Arc<Metrics>) -> Self {
        ConnectionLimiter {
            permits: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            metrics,
            started_at: Instant::now(),
            next_log_at_ms: AtomicU64::new(0),
        }
    }

    /// A permit for a new connection, to be held while it is open. `None`: no permit is free, and the
    /// connection must be refused so that the client tries another node.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.permits.clone().try_acquire_owned().ok();
        if permit.is_none() {
            self.metrics.record_shed(ShedConnection::RefusedInbound);
            self.log_rate_limited("connection limit reached: refusing new connections");
        }
        permit
    }

    /// Whether the connection of a client that received its response should be closed because few
    /// permits are free. A client that sends a request every few seconds leaves its connection idle
    /// most of the time. If so, the connection is counted as shed in the metrics.
    pub fn should_shed(&self, connection: ShedConnection) -> bool {
        let is_scarce = self.permits.available_permits() < self.max_connections / SCARCITY_DIVISOR;
        if is_scarce {
            self.metrics.record_shed(connection);
            self.log_rate_limited(
                "few connections left: closing connections after heartbeats and polls",
            );
        }
        is_scarce
    }

    fn log_rate_limited(&self, message: &'static str) {
        let now = self.started_at.elapsed().as_millis() as u64;
        if now >= self.next_log_at_ms.load(Ordering::Relaxed) {
            let until = now + MIN_LOG_INTERVAL.as_millis() as u64;
            self.next_log_at_ms.store(until, Ordering::Relaxed);
            let free = self.permits.available_permits();
            tracing::warn!(free, max = self.max_connections, "{message}");
        }
    }
}

#[cfg(test)]
mod tests;
