//! Token buckets that keep this node's calls within a service's rate limits and prefer urgent calls.

use std::{cell::RefCell, time::Duration};

use tokio::time::Instant;

use crate::{
    coordination::admission::load_shedding::reserved_fraction,
    protocol::state::StateRequestPriority,
};

/// Minimum capacity of a bucket, in tokens, so that a single call always fits.
const MIN_CAPACITY: f64 = 1.0;
/// Tolerance for rounding errors in sums of fractional tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Bounds of the wait before the bucket is checked again, in seconds: other callers may take tokens,
/// or the rate may change.
const MIN_WAIT_S: f64 = 0.002;
const MAX_WAIT_S: f64 = 1.0;

/// A token bucket that refills at a fixed rate and holds the tokens of one second.
pub struct TokenBucket {
    inner: RefCell<BucketState>,
}

struct BucketState {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket that refills at `rate_per_s`.
    pub fn new(rate_per_s: f64) -> Self {
        TokenBucket {
            inner: RefCell::new(BucketState {
                rate_per_s,
                tokens: rate_per_s,
                refilled_at: Instant::now(),
            }),
        }
    }

    /// Sets the rate at which the bucket refills from now on.
    pub fn set_rate(&self, rate_per_s: f64) {
        self.inner.borrow_mut().rate_per_s = rate_per_s;
    }

    /// Waits until `cost` tokens are available, and takes them. Less urgent callers leave a reserve
    /// in the bucket. If the future is dropped before it completes, no tokens are taken.
    pub async fn acquire(&self, cost: f64, priority: StateRequestPriority) {
        loop {
            let acquired = self.inner.borrow_mut().try_acquire(cost, priority);
            let Err(shortfall) = acquired else {
                return;
            };
            let wait_s = shortfall.wait_s.clamp(MIN_WAIT_S, MAX_WAIT_S);
            tokio::time::sleep(Duration::from_secs_f64(wait_s)).await;
        }
    }
}

/// The bucket holds too few tokens.
struct Shortfall {
    /// Seconds until the bucket holds enough, if no other caller takes any.
    wait_s: f64,
}

impl BucketState {
    fn try_acquire(&mut self, cost: f64, priority: StateRequestPriority) -> Result<(), Shortfall> {
        let capacity = self.rate_per_s.max(MIN_CAPACITY);
        self.refill(capacity);
        let reserve = capacity * reserved_fraction(priority);
        // A call that costs more than the bucket's capacity is allowed once the bucket is full.
        let needed = (cost + reserve).min(capacity);
        if self.tokens >= needed - ROUNDING_TOLERANCE {
            self.tokens -= cost;
            return Ok(());
        }
        Err(Shortfall {
            wait_s: (needed - self.tokens) / self.rate_per_s,
        })
    }

    fn refill(&mut self, capacity: f64) {
        let now = Instant::now();
        let gained = now.duration_since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(capacity);
        self.refilled_at = now;
    }
}
