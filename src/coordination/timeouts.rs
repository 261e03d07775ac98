//! Timeouts that follow from the settings: how often workers report, and how long their leases last.
//!
//! Timeouts that follow from the protocol (what a worker spends on a node that it can't reach) or from
//! how fast the services and the members answer are constants, each beside what it is used for.

use crate::{
    config::WorkerTimings,
    time::{Millis, millis},
};

/// What steady clocks may drift apart, doubled.
pub const CLOCK_DRIFT: f64 = 0.001;
/// What a worker spends on a node that it can't reach before it tries the next, by the protocol.
pub const UNREACHABLE_NODE_COST_MS: Millis = 5000;
/// How late a report may be besides: a lost packet sent again, a pass that comes late.
const MAX_REPORT_DELAY_MS: Millis = 2000;
/// Kept between the end of the last lease that a deputy may have renewed and the time by which a
/// cancelled task must be gone.
const CANCELLATION_MARGIN_S: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// A worker that has not reported for this long is silent, and one that has is heard. Presumed to be
    /// 5 s, it made members count less than half of their workers where reports came every 6 s.
    pub heartbeat_timeout: Millis,
    /// A worker renewed this lately can be sent to the leader: it has the time to come back. Shorter than
    /// the time between two reports, it kept each busy worker with the deputy that it had found.
    pub recent_renewal: Millis,
    /// How long a worker's lease lasts at the most, by our clock, after it was renewed.
    pub worker_lease: Millis,
    /// For this long after a sync that succeeded, workers may be renewed: a cancellation told elsewhere
    /// since is carried out by leases running out.
    pub renewal_allowance: Millis,
    /// The life of a deputy's own lease of the state service: it need not outlast the allowance, and a
    /// node that is gone is waited for no longer than that.
    pub renewer_lease: Millis,
    /// After a takeover the workers search for their new leader, and each dead node costs them time.
    pub takeover_settling: Millis,
}

impl Timeouts {
    /// `members`: how many other nodes there are.
    pub fn new(workers: &WorkerTimings, members: usize) -> Self {
        let silence = millis(workers.report_interval_s * 1.25) + MAX_REPORT_DELAY_MS;
        let lease = millis(workers.lease_ttl_s * (1.0 + CLOCK_DRIFT) + 0.3);
        let allowance_s = (workers.cancellation_bound_s - workers.lease_ttl_s)
            * (1.0 - CLOCK_DRIFT)
            - CANCELLATION_MARGIN_S;
        let allowance = millis(allowance_s.max(0.0));
        Timeouts {
            heartbeat_timeout: silence,
            recent_renewal: silence.min(lease / 2),
            worker_lease: lease,
            renewal_allowance: allowance,
            renewer_lease: (allowance + RENEWER_LEASE_MARGIN_MS)
                .clamp(MIN_RENEWER_LEASE_MS, MAX_RENEWER_LEASE_MS),
            takeover_settling: millis(workers.report_interval_s * 1.25)
                + UNREACHABLE_NODE_COST_MS * members.min(2) as Millis,
        }
    }
}

/// A deputy stops this long before its own lease may end.
pub const RENEWER_LEASE_MARGIN_MS: Millis = 500;
const MIN_RENEWER_LEASE_MS: Millis = 5000;
const MAX_RENEWER_LEASE_MS: Millis = 60_000;

#[cfg(test)]
mod tests;
