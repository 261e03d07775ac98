//! A node's sockets, which are few: connections from outside, and what is shed as they run out.
//!
//! Whoever is turned away at the door tries another node, which costs a user up to seconds and a worker
//! a part of its lease. So before that connections are closed that nobody needs just now: first those
//! that are kept open to workers between orders, then those of workers between two reports and of users
//! between two polls. Both come back over a new one, which costs a round trip. With a place for each worker
//! for good, 2,367 places were not enough for 4,000 machines, and whoever came was refused.

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

/// The part of the door's places, as a divisor, below which those that are free are scarce.
const SCARCITY_DIVISOR: usize = 8;
/// The log tells of it this often at the most.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The places for connections from outside.
pub struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    max_connections: usize,
    metrics: Arc<Metrics>,
    started_at: Instant,
    /// Milliseconds since then at which the log may tell of it again.
    next_log_at_ms: AtomicU64,
}

impl ConnectionLimiter {
    pub fn new(size: usize, metrics: Arc<Metrics>) -> Self {
        ConnectionLimiter {
            permits: Arc::new(Semaphore::new(size)),
            max_connections: size,
            metrics,
            started_at: Instant::now(),
            next_log_at_ms: AtomicU64::new(0),
        }
    }

    /// A place for a connection. `None`: it has to be refused, for the client to try another node.
    pub fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        let place = self.permits.clone().try_acquire_owned().ok();
        if place.is_none() {
            self.metrics.record_shed(ShedConnection::RefusedInbound);
            self.log_rate_limited("no sockets left: connections are refused");
        }
        place
    }

    /// Whether a client that has been answered should come back over a new connection: few places are
    /// free, and what comes every few seconds mostly leaves its connection idle.
    pub fn should_shed(&self, what: ShedConnection) -> bool {
        let scarce = self.permits.available_permits() < self.max_connections / SCARCITY_DIVISOR;
        if scarce {
            self.metrics.record_shed(what);
            self.log_rate_limited(
                "sockets are scarce: connections are closed after reports and polls",
            );
        }
        scarce
    }

    fn log_rate_limited(&self, what: &'static str) {
        let now = self.started_at.elapsed().as_millis() as u64;
        if now >= self.next_log_at_ms.load(Ordering::Relaxed) {
            let until = now + MIN_LOG_INTERVAL.as_millis() as u64;
            self.next_log_at_ms.store(until, Ordering::Relaxed);
            let free = self.permits.available_permits();
            tracing::warn!(free, of = self.max_connections, "{what}");
        }
    }
}

/// How many calls were begun lately: about as many connections stay open for the next ones.
pub struct RecentCallCounter {
    started_at: Instant,
    /// Which second it is, and how many calls began in it and in those before.
    current_second: u64,
    calls_by_second: [usize; RecentCallCounter::WINDOW_S],
}

impl RecentCallCounter {
    /// As long as connections to workers are kept.
    pub const WINDOW_S: usize = 4;

    pub fn new() -> Self {
        RecentCallCounter {
            started_at: Instant::now(),
            current_second: 0,
            calls_by_second: [0; Self::WINDOW_S],
        }
    }

    /// Counts one more; how many there were.
    pub fn record_call(&mut self) -> usize {
        let second = self.started_at.elapsed().as_secs();
        let passed = (second - self.current_second).min(Self::WINDOW_S as u64);
        for past in 1..=passed {
            self.calls_by_second[((self.current_second + past) % Self::WINDOW_S as u64) as usize] =
                0;
        }
        self.current_second = second;
        self.calls_by_second[(second % Self::WINDOW_S as u64) as usize] += 1;
        self.calls_by_second.iter().sum()
    }
}

#[cfg(test)]
mod tests;
