//! How the leader manages workers: it processes heartbeats, sends commands, and detects workers that are
//! lost.

mod commands;
mod failure_detection;
mod heartbeat;
mod reconciliation;

pub use failure_detection::RenewerRevocations;
pub(super) use failure_detection::{REPLY_VALIDITY_MS, mark_lost};

use crate::cluster::{ClusterState, MachineIndex};

/// A slow machine is drained only if then at most one in this many machines is draining, or no other is.
const MAX_REPLACED_FLEET_DIVISOR: usize = 10;

/// Drains a machine for replacement because its tasks take far longer than other tasks of their jobs.
fn drain_straggler(cluster: &mut ClusterState, machine: MachineIndex) {
    cluster.drain_for_replacement(machine, MAX_REPLACED_FLEET_DIVISOR, "is slow");
}

#[cfg(test)]
mod tests;
