//! The placement of gangs: all waiting tasks together, or none.

use crate::{
    cluster::{ClusterState, JobIndex, MachineIndex, Resources},
    time::Millis,
};

/// A machine for each waiting task of a gang; `None` if they can't all be placed.
pub(super) fn find_gang_placement(
    cluster: &ClusterState,
    job: JobIndex,
    now: Millis,
) -> Option<Vec<(u32, MachineIndex)>> {
    let entry = cluster.job(job);
    let mut whole = Resources::default();
    for _ in &entry.waiting {
        whole.add(&entry.requested);
    }
    if entry.backoff_until > now || !cluster.teams[entry.team.as_usize()].allows(&whole) {
        return None;
    }
    let half = entry.tasks.len().div_ceil(2);
    let try_zone = |only: Option<usize>| {
        let mut rooms: Vec<Resources> = cluster
            .machines
            .iter()
            .map(|m| cluster.free_resources(m))
            .collect();
        let mut by_zone = entry.active_by_zone.clone();
        let mut places = Vec::new();
        for &task in &entry.waiting {
            let (at, machine) = cluster.machines.iter().enumerate().find(|(at, machine)| {
                cluster.can_place(entry, machine)
                    && machine.avoid_until <= now
                    && !machine.has_attempt_of(job, task)
                    && only.is_none_or(|zone| zone == machine.zone.as_usize())
                    && (!entry.spread || (by_zone[machine.zone.as_usize()] as usize) < half)
                    && entry.requested.fits_in(&rooms[*at])
            })?;
            rooms[at].sub(&entry.requested);
            by_zone[machine.zone.as_usize()] += 1;
            places.push((task, MachineIndex(at as u32)));
        }
        Some(places)
    };
    if entry.one_zone {
        (0..cluster.zone_names.len()).find_map(|zone| try_zone(Some(zone)))
    } else {
        try_zone(None)
    }
}
