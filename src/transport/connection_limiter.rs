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

use crate::metrics::{Metrics, Shed};

/// The part of the door's places, as a divisor, below which those that are free are scarce.
const SCARCE_PART: usize = 8;
/// The log tells of it this often at the most.
const SAY_EVERY: Duration = Duration::from_secs(10);

/// The places for connections from outside.
pub struct Door {
    places: Arc<Semaphore>,
    size: usize,
    metrics: Arc<Metrics>,
    began: Instant,
    /// Milliseconds since then at which the log may tell of it again.
    quiet_until: AtomicU64,
}

impl Door {
    pub fn new(size: usize, metrics: Arc<Metrics>) -> Self {
        Door {
            places: Arc::new(Semaphore::new(size)),
            size,
            metrics,
            began: Instant::now(),
            quiet_until: AtomicU64::new(0),
        }
    }

    /// A place for a connection. `None`: it has to be refused, for the client to try another node.
    pub fn enter(&self) -> Option<OwnedSemaphorePermit> {
        let place = self.places.clone().try_acquire_owned().ok();
        if place.is_none() {
            self.metrics.shed(Shed::Refused);
            self.say("no sockets left: connections are refused");
        }
        place
    }

    /// Whether a client that has been answered should come back over a new connection: few places are
    /// free, and what comes every few seconds mostly leaves its connection idle.
    pub fn sheds(&self, what: Shed) -> bool {
        let scarce = self.places.available_permits() < self.size / SCARCE_PART;
        if scarce {
            self.metrics.shed(what);
            self.say("sockets are scarce: connections are closed after reports and polls");
        }
        scarce
    }

    fn say(&self, what: &'static str) {
        let now = self.began.elapsed().as_millis() as u64;
        if now >= self.quiet_until.load(Ordering::Relaxed) {
            let until = now + SAY_EVERY.as_millis() as u64;
            self.quiet_until.store(until, Ordering::Relaxed);
            let free = self.places.available_permits();
            tracing::warn!(free, of = self.size, "{what}");
        }
    }
}

/// How many calls were begun lately: about as many connections stay open for the next ones.
pub struct Lately {
    began: Instant,
    /// Which second it is, and how many calls began in it and in those before.
    second: u64,
    calls: [usize; Lately::SECONDS],
}

impl Lately {
    /// As long as connections to workers are kept.
    pub const SECONDS: usize = 4;

    pub fn new() -> Self {
        Lately {
            began: Instant::now(),
            second: 0,
            calls: [0; Self::SECONDS],
        }
    }

    /// Counts one more; how many there were.
    pub fn count(&mut self) -> usize {
        let second = self.began.elapsed().as_secs();
        let passed = (second - self.second).min(Self::SECONDS as u64);
        for past in 1..=passed {
            self.calls[((self.second + past) % Self::SECONDS as u64) as usize] = 0;
        }
        self.second = second;
        self.calls[(second % Self::SECONDS as u64) as usize] += 1;
        self.calls.iter().sum()
    }
}

#[cfg(test)]
mod tests;
