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
    job: JobIndex,
    task: u32,
    fallback: Option<MachineIndex>,
    now: Millis,
    looks: &mut CandidateCache,
) -> Option<(u32, MachineIndex, Vec<usize>)> {
    let entry = cluster.job(job);
    let mut best: Option<(f64, MachineIndex, Vec<usize>)> = None;
    looks.machines_scored += cluster.machines.len();
    for (index, machine) in cluster.machines.iter().enumerate() {
        let index = MachineIndex(index as u32);
        if !machine.is_schedulable()
            || machine.avoid_until > now
            || (machine.spot && !entry.spot)
            || !entry.allows_type(machine.machine_type)
            || !entry.allows_zone(machine.zone)
            || machine.has_attempt_of(job, task)
            || !machine.has_image(entry.image)
        {
            continue;
        }
        let mut losers: Vec<(Priority, f64, usize)> = machine
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| {
                matches!(attempt.phase, Phase::Fetching | Phase::Running)
                    && attempt.stop_grace_s.is_none()
            })
            .filter_map(|(at, attempt)| {
                let loser = cluster.job(attempt.job);
                (loser.priority > entry.priority && loser.kind != JobKind::Gang).then(|| {
                    (
                        loser.priority,
                        immediate_stop_cost_s(cluster, attempt, now),
                        at,
                    )
                })
            })
            .collect();
        losers.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        let mut room = cluster.free_resources(machine);
        let mut cost = 0.0;
        let mut chosen = Vec::new();
        for (_, lost, at) in losers {
            if entry.requested.fits_in(&room) {
                break;
            }
            room.add(&cluster.job(machine.attempts[at].job).requested);
            cost += lost;
            chosen.push(at);
        }
        let better = best.as_ref().is_none_or(|(least, ..)| cost < *least);
        if entry.requested.fits_in(&room) && better {
            best = Some((cost, index, chosen));
        }
    }
    // If the replica also fits on a machine that would have to fetch the image, preemption must not
    // cost more than that wait is worth.
    let worth = fallback.map_or(f64::INFINITY, |machine| {
        image_fetch_s(cluster, entry, cluster.machine(machine)) * WORK_S_PER_REPLICA_WAIT_S
    });
    match best {
        Some((cost, machine, victims)) if cost <= worth => Some((task, machine, victims)),
        _ => fallback.map(|machine| (task, machine, Vec::new())),
    }
}
