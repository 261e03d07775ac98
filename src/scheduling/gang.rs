//! The placement of gangs: all waiting tasks together, or none.

use crate::{
    cluster::{ClusterState, JobIndex, MachineIndex, Resources},
    time::Millis,
};

/// A machine for each waiting task of a gang; `None` if they can't all be placed.
pub(super) fn find_gang_placement(
    cluster: &ClusterState,
    job_index: JobIndex,
    now: Millis,
) -> Option<Vec<(u32, MachineIndex)>> {
    let job = cluster.job(job_index);
    let mut total_requested = Resources::default();
    for _ in &job.waiting {
        total_requested.add(&job.requested);
    }
    if job.backoff_until > now || !cluster.teams[job.team.as_usize()].allows(&total_requested) {
        return None;
    }
    let max_per_zone = job.tasks.len().div_ceil(2);
    let try_zone = |only_zone: Option<usize>| {
        let mut free_by_machine: Vec<Resources> = cluster
            .machines
            .iter()
            .map(|machine| cluster.free_resources(machine))
            .collect();
        let mut active_by_zone = job.active_by_zone.clone();
        let mut placements = Vec::new();
        for &task in &job.waiting {
            let (index, machine) =
                cluster
                    .machines
                    .iter()
                    .enumerate()
                    .find(|(index, machine)| {
                        cluster.can_place(job, machine)
                            && machine.avoid_until <= now
                            && !machine.has_attempt_of(job_index, task)
                            && only_zone.is_none_or(|zone| zone == machine.zone.as_usize())
                            && (!job.spread
                                || (active_by_zone[machine.zone.as_usize()] as usize)
                                    < max_per_zone)
                            && job.requested.fits_in(&free_by_machine[*index])
                    })?;
            free_by_machine[index].sub(&job.requested);
            active_by_zone[machine.zone.as_usize()] += 1;
            placements.push((task, MachineIndex(index as u32)));
        }
        Some(placements)
    };
    if job.one_zone {
        (0..cluster.zone_names.len()).find_map(|zone| try_zone(Some(zone)))
    } else {
        try_zone(None)
    }
}
