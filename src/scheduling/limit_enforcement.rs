//! The choice of the attempts to stop when a team's use exceeds its limit.

use std::collections::HashSet;

use crate::{
    cluster::{ClusterState, JobIndex, MachineIndex, Phase, Resources, TeamIndex},
    protocol::job::JobKind,
    scheduling::{UNITS_EPSILON, scoring::graceful_stop_cost_s},
    time::Millis,
};

/// Selects the attempts to stop for the team's use to fall by `excess`. Each is given by its
/// machine and its position among that machine's attempts. The least urgent come first, then those
/// whose stop costs least; gangs are stopped whole. Attempts that are already being stopped count
/// towards `excess`.
pub fn select_stops_over_limit(
    cluster: &ClusterState,
    team: TeamIndex,
    excess: &Resources,
    now: Millis,
) -> Vec<(MachineIndex, usize)> {
    let (mut cpus, mut gpus) = (excess.cpus, excess.gpus);
    let mut running = Vec::new();
    for (number, machine) in cluster.machines.iter().enumerate() {
        for (at, attempt) in machine.attempts.iter().enumerate() {
            let job = cluster.job(attempt.job);
            if job.team != team || attempt.phase == Phase::Ended {
                continue;
            }
            if attempt.stop_grace_s.is_some() {
                cpus -= job.requested.cpus;
                gpus -= job.requested.gpus;
                continue;
            }
            let lost = graceful_stop_cost_s(cluster, attempt, now);
            running.push((job.priority, lost, MachineIndex(number as u32), at));
        }
    }
    running.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
    let mut stopped: Vec<(MachineIndex, usize)> = Vec::new();
    let mut gangs: HashSet<JobIndex> = HashSet::new();
    let attempt_of = |machine: MachineIndex, at: usize| &cluster.machine(machine).attempts[at];
    for &(.., machine, at) in &running {
        let index = attempt_of(machine, at).job;
        let job = cluster.job(index);
        let helps = cpus > UNITS_EPSILON && job.requested.cpus > 0.0
            || gpus > UNITS_EPSILON && job.requested.gpus > 0.0;
        if !helps || gangs.contains(&index) {
            continue;
        }
        let mut parts = vec![(machine, at)];
        if job.kind == JobKind::Gang {
            gangs.insert(index);
            let of_gang = running.iter().map(|&(.., machine, at)| (machine, at));
            parts = of_gang
                .filter(|&(machine, at)| attempt_of(machine, at).job == index)
                .collect();
        }
        cpus -= job.requested.cpus * parts.len() as f64;
        gpus -= job.requested.gpus * parts.len() as f64;
        stopped.extend(parts);
    }
    stopped
}
