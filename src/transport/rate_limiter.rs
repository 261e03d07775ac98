//! Token buckets that keep this node under a service's limits, the urgent first.

use std::{cell::RefCell, time::Duration};

use tokio::time::Instant;

use crate::{coordination::admission::load_shedding::reserve, protocol::state::Urgency};

/// A bucket that refills at `rate` and holds a second's worth.
pub struct Bucket {
    inner: RefCell<Inner>,
}

struct Inner {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(rate: f64) -> Self {
        Bucket {
            inner: RefCell::new(Inner {
                rate,
                tokens: rate,
                at: Instant::now(),
            }),
        }
    }

    pub fn set_rate(&self, rate: f64) {
        self.inner.borrow_mut().rate = rate;
    }

    /// Waits until `cost` tokens may be taken. Less urgent callers leave a reserve in the bucket.
    pub async fn take(&self, cost: f64, urgency: Urgency) {
        loop {
            let wait = {
                let mut inner = self.inner.borrow_mut();
                let now = Instant::now();
                let gained = now.duration_since(inner.at).as_secs_f64() * inner.rate;
                let full = inner.rate.max(1.0);
                inner.tokens = (inner.tokens + gained).min(full);
                inner.at = now;
                let reserve = full * reserve(urgency);
                // A cost above what the bucket can ever hold is let through once it is full.
                let needed = (cost + reserve).min(full);
                if inner.tokens >= needed - 1e-9 {
                    inner.tokens -= cost;
                    return;
                }
                (needed - inner.tokens) / inner.rate
            };
            tokio::time::sleep(Duration::from_secs_f64(wait.clamp(0.002, 1.0))).await;
        }
    }
}
