//! The deserved share of each team: how much of the fleet it should have.

use crate::{cluster::ClusterState, scheduling::UNITS_EPSILON};

/// The units of all schedulable machines: GPUs, or CPUs where there are no GPUs.
pub(super) fn schedulable_capacity(cluster: &ClusterState) -> f64 {
    let schedulable = cluster
        .machines
        .iter()
        .filter(|machine| machine.is_schedulable());
    schedulable
        .map(|machine| {
            let machine_type = &cluster.machine_types[machine.machine_type.as_usize()];
            if cluster.shares_gpus() {
                machine_type.gpus
            } else {
                machine_type.cpus
            }
        })
        .sum()
}

/// Computes each team's deserved share, in units: its guarantee and an equal split of the remaining
/// capacity, capped by its demand and its limit. The remainder that a cap leaves is split again. `capacity`
/// is the units of all schedulable machines.
pub fn compute_deserved_shares(cluster: &ClusterState, capacity: f64) -> Vec<f64> {
    let caps: Vec<f64> = cluster
        .teams
        .iter()
        .map(|team| {
            let waiting_units: f64 = team
                .queue
                .iter()
                .map(|&(_, _, job_index)| {
                    let job = cluster.job(job_index);
                    cluster.accounted_units(&job.requested) * job.placeable_task_count() as f64
                })
                .sum();
            let demand = cluster.accounted_units(&team.reserved) + waiting_units;
            demand.min(cluster.accounted_units(&team.limit))
        })
        .collect();
    let mut shares: Vec<f64> = cluster
        .teams
        .iter()
        .zip(&caps)
        .map(|(team, cap)| cluster.accounted_units(&team.guarantee).min(*cap))
        .collect();
    let mut remaining = capacity - shares.iter().sum::<f64>();
    while remaining > UNITS_EPSILON {
        let unsatisfied: Vec<usize> = (0..shares.len())
            .filter(|&team| shares[team] + UNITS_EPSILON < caps[team])
            .collect();
        if unsatisfied.is_empty() {
            break;
        }
        let equal_part = remaining / unsatisfied.len() as f64;
        for team in unsatisfied {
            let gain = equal_part.min(caps[team] - shares[team]);
            shares[team] += gain;
            remaining -= gain;
        }
    }
    shares
}
