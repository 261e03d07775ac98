//! Times that follow from the settings: how often workers report, and how long their leases last.
//!
//! Times that follow from the protocol (what a worker spends on a node that it can't reach) or from
//! how fast the services and the members answer are constants, each beside what it is used for.

use crate::{
    config::Workers,
    time::{Millis, millis},
};

/// What steady clocks may drift apart, doubled.
pub const DRIFT: f64 = 0.001;
/// What a worker spends on a node that it can't reach before it tries the next, by the protocol.
pub const UNREACHED: Millis = 5000;
/// How late a report may be besides: a lost packet sent again, a pass that comes late.
const DELAYS: Millis = 2000;
/// Kept between the end of the last lease that a deputy may have renewed and the time by which a
/// cancelled task must be gone.
const MARGIN_S: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// A worker that has not reported for this long is silent, and one that has is heard. Presumed to be
    /// 5 s, it made members count less than half of their workers where reports came every 6 s.
    pub silence: Millis,
    /// A worker renewed this lately can be sent to the leader: it has the time to come back. Shorter than
    /// the time between two reports, it kept each busy worker with the deputy that it had found.
    pub fresh: Millis,
    /// How long a worker's lease lasts at the most, by our clock, after it was renewed.
    pub lease: Millis,
    /// For this long after a sync that succeeded, workers may be renewed: a cancellation told elsewhere
    /// since is carried out by leases running out.
    pub allowance: Millis,
    /// The life of a deputy's own lease of the state service: it need not outlast the allowance, and a
    /// node that is gone is waited for no longer than that.
    pub deputy_life: Millis,
    /// After a takeover the workers search for their new leader, and each dead node costs them time.
    pub settle: Millis,
}

impl Times {
    /// `members`: how many other nodes there are.
    pub fn new(workers: &Workers, members: usize) -> Self {
        let silence = millis(workers.report_s * 1.25) + DELAYS;
        let lease = millis(workers.lease_s * (1.0 + DRIFT) + 0.3);
        let allowance_s = (workers.cancel_s - workers.lease_s) * (1.0 - DRIFT) - MARGIN_S;
        let allowance = millis(allowance_s.max(0.0));
        Times {
            silence,
            fresh: silence.min(lease / 2),
            lease,
            allowance,
            deputy_life: (allowance + EARLY).clamp(LEAST_LIFE, MOST_LIFE),
            settle: millis(workers.report_s * 1.25) + UNREACHED * members.min(2) as Millis,
        }
    }
}

/// A deputy stops this long before its own lease may end.
pub const EARLY: Millis = 500;
const LEAST_LIFE: Millis = 5000;
const MOST_LIFE: Millis = 60_000;

#[cfg(test)]
mod tests;
