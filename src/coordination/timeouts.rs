//! Timeouts derived from the settings: how often workers send heartbeats, and how long their leases last.
//!
//! Timeouts that follow from the protocol (the time that a worker spends on a node that it can't reach)
//! or from how fast the services and the members answer are constants, defined where they are used.

use crate::{
    config::WorkerTimings,
    time::{Millis, millis},
};

/// Twice the allowed relative drift between the monotonic clocks of two machines.
pub const CLOCK_DRIFT: f64 = 0.001;
/// By the protocol, the time that a worker spends on a node that it can't reach before it tries the next.
pub const UNREACHABLE_NODE_TIMEOUT_MS: Millis = 5000;
/// How much later than its interval a heartbeat may arrive, for a retransmitted packet or a late step of
/// the node.
const MAX_HEARTBEAT_DELAY_MS: Millis = 2000;
/// The margin between the expiry of the last lease that a lease renewer may have renewed and the time by
/// which a cancelled task must have stopped.
const CANCELLATION_MARGIN_S: f64 = 0.6;

/// Timeouts in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// A worker that has sent no heartbeat for this long is unresponsive. It depends on the heartbeat
    /// interval: with a fixed 5 s and heartbeats every 6 s, members counted less than half of their
    /// workers as responsive.
    pub heartbeat_timeout: Millis,
    /// A worker whose lease was renewed within this time can be redirected to the leader: enough of the
    /// lease is left for it to come back. When this was shorter than the time between two heartbeats,
    /// each worker with running tasks stayed with the lease renewer that it had found.
    pub recent_renewal: Millis,
    /// The longest time that a worker's lease lasts after its renewal, on this node's clock.
    pub worker_lease: Millis,
    /// How long after a successful read barrier the leases of workers may be renewed. A cancellation
    /// that another node has acknowledged since then still takes effect in time, because the leases
    /// expire.
    pub renewal_allowance: Millis,
    /// The time to live of a lease renewer's own lease of the state service. It need not be longer than
    /// the renewal allowance, and the leader waits at most this long for a renewer that has failed.
    pub renewer_lease: Millis,
    /// How long after a takeover workers may take to find the new leader. Each dead node that they try
    /// first costs them time.
    pub takeover_grace: Millis,
}

impl Timeouts {
    /// `members` is the number of other nodes.
    pub fn new(workers: &WorkerTimings, members: usize) -> Self {
        let heartbeat_timeout = millis(workers.report_interval_s * 1.25) + MAX_HEARTBEAT_DELAY_MS;
        let worker_lease = millis(workers.lease_ttl_s * (1.0 + CLOCK_DRIFT) + 0.3);
        let renewal_allowance_s = (workers.cancellation_bound_s - workers.lease_ttl_s)
            * (1.0 - CLOCK_DRIFT)
            - CANCELLATION_MARGIN_S;
        let renewal_allowance = millis(renewal_allowance_s.max(0.0));
        Timeouts {
            heartbeat_timeout,
            recent_renewal: heartbeat_timeout.min(worker_lease / 2),
            worker_lease,
            renewal_allowance,
            renewer_lease: (renewal_allowance + RENEWER_LEASE_MARGIN_MS)
                .clamp(MIN_RENEWER_LEASE_MS, MAX_RENEWER_LEASE_MS),
            takeover_grace: millis(workers.report_interval_s * 1.25)
                + UNREACHABLE_NODE_TIMEOUT_MS * members.min(2) as Millis,
        }
    }
}

/// A lease renewer stops renewing this long before its own lease may expire.
pub const RENEWER_LEASE_MARGIN_MS: Millis = 500;
const MIN_RENEWER_LEASE_MS: Millis = 5000;
const MAX_RENEWER_LEASE_MS: Millis = 60_000;

#[cfg(test)]
mod tests;
