//! The leader and its workers: what heartbeats mean, which commands go out, and when a silent worker
//! counts as lost.

mod commands;
mod failure_detection;
mod heartbeat;
mod reconciliation;

pub use failure_detection::RenewerRevocations;
pub(super) use failure_detection::{REPLY_VALIDITY_MS, mark_lost};

use crate::cluster::{ClusterState, MachineIndex};

/// The part of the fleet, as a divisor, that may be drained at once for being slow.
const MAX_REPLACED_FLEET_DIVISOR: usize = 10;

/// Replaces a machine whose tasks take far longer than others of their jobs do.
fn drain_straggler(cluster: &mut ClusterState, machine: MachineIndex) {
    cluster.drain_for_replacement(machine, MAX_REPLACED_FLEET_DIVISOR, "is slow");
}

#[cfg(test)]
mod tests;
