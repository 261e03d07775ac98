//! The placement of service replicas on machines that have their image.

use crate::{
    cluster::{ClusterState, JobIndex, MachineIndex, Phase},
    protocol::job::{JobKind, Priority},
    scheduling::{
        candidates::CandidateCache,
        scoring::{image_fetch_s, immediate_stop_cost_s},
    },
    time::Millis,
};

/// How many seconds of an array task's work may be lost to save a replica one second of waiting.
const WORK_S_PER_REPLICA_WAIT_S: f64 = 12.0;

/// Finds a machine that has the replica's image, where attempts of lower priority are preempted for
/// it. Falls back to `fallback`, the machine that would have to fetch the image first. Returns the
/// task, its machine and the positions of the victims among the machine's attempts.
pub(super) fn find_replica_placement(
    cluster: &ClusterState,
    job_index: JobIndex,
    task: u32,
    fallback: Option<MachineIndex>,
    now: Millis,
    cache: &mut CandidateCache,
) -> Option<(u32, MachineIndex, Vec<usize>)> {
    let job = cluster.job(job_index);
    let mut best: Option<(f64, MachineIndex, Vec<usize>)> = None;
    cache.machines_scored += cluster.machines.len();
    for (machine_index, machine) in cluster.machines.iter().enumerate() {
        let machine_index = MachineIndex(machine_index as u32);
        if !machine.is_schedulable()
            || machine.avoid_until > now
            || (machine.spot && !job.spot)
            || !job.allows_type(machine.machine_type)
            || !job.allows_zone(machine.zone)
            || machine.has_attempt_of(job_index, task)
            || !machine.has_image(job.image)
        {
            continue;
        }
        let mut victims: Vec<(Priority, f64, usize)> = machine
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| {
                matches!(attempt.phase, Phase::Fetching | Phase::Running)
                    && attempt.stop_grace_s.is_none()
            })
            .filter_map(|(attempt_index, attempt)| {
                let victim = cluster.job(attempt.job);
                (victim.priority > job.priority && victim.kind != JobKind::Gang).then(|| {
                    (
                        victim.priority,
                        immediate_stop_cost_s(cluster, attempt, now),
                        attempt_index,
                    )
                })
            })
            .collect();
        victims.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        let mut free = cluster.free_resources(machine);
        let mut cost_s = 0.0;
        let mut chosen = Vec::new();
        for (_, loss_s, attempt_index) in victims {
            if job.requested.fits_in(&free) {
                break;
            }
            free.add(&cluster.job(machine.attempts[attempt_index].job).requested);
            cost_s += loss_s;
            chosen.push(attempt_index);
        }
        let is_cheaper = best.as_ref().is_none_or(|(lowest, ..)| cost_s < *lowest);
        if job.requested.fits_in(&free) && is_cheaper {
            best = Some((cost_s, machine_index, chosen));
        }
    }
    // If the replica also fits on a machine that would have to fetch the image, preemption must not
    // cost more than that wait is worth.
    let max_cost_s = fallback.map_or(f64::INFINITY, |machine| {
        image_fetch_s(cluster, job, cluster.machine(machine)) * WORK_S_PER_REPLICA_WAIT_S
    });
    match best {
        Some((cost_s, machine, victims)) if cost_s <= max_cost_s => Some((task, machine, victims)),
        _ => fallback.map(|machine| (task, machine, Vec::new())),
    }
}
