//! Token buckets that keep this node under a service's limits, the urgent first.

use std::{cell::RefCell, time::Duration};

use tokio::time::Instant;

use crate::{coordination::admission::load_shedding::reserved_fraction, protocol::state::Urgency};

/// A bucket that refills at `rate` and holds a second's worth.
pub struct TokenBucket {
    inner: RefCell<BucketState>,
}

struct BucketState {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub fn new(rate: f64) -> Self {
        TokenBucket {
            inner: RefCell::new(BucketState {
                rate_per_s: rate,
                tokens: rate,
                refilled_at: Instant::now(),
            }),
        }
    }

    pub fn set_rate(&self, rate: f64) {
        self.inner.borrow_mut().rate_per_s = rate;
    }

    /// Waits until `cost` tokens may be taken. Less urgent callers leave a reserve in the bucket.
    pub async fn acquire(&self, cost: f64, urgency: Urgency) {
        loop {
            let wait = {
                let mut inner = self.inner.borrow_mut();
                let now = Instant::now();
                let gained = now.duration_since(inner.refilled_at).as_secs_f64() * inner.rate_per_s;
                let full = inner.rate_per_s.max(1.0);
                inner.tokens = (inner.tokens + gained).min(full);
                inner.refilled_at = now;
                let reserve = full * reserved_fraction(urgency);
                // A cost above what the bucket can ever hold is let through once it is full.
                let needed = (cost + reserve).min(full);
                if inner.tokens >= needed - 1e-9 {
                    inner.tokens -= cost;
                    return;
                }
                (needed - inner.tokens) / inner.rate_per_s
            };
            tokio::time::sleep(Duration::from_secs_f64(wait.clamp(0.002, 1.0))).await;
        }
    }
}
