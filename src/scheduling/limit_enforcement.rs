//! The choice of the attempts to stop when a team's use exceeds its limit.

use std::collections::HashSet;

use crate::{
    cluster::{ClusterState, JobIndex, MachineIndex, Phase, Resources, TeamIndex},
    protocol::job::JobKind,
    scheduling::{UNITS_EPSILON, scoring::graceful_stop_cost_s},
    time::Millis,
};

/// Selects the attempts to preempt for the team's use to fall by `excess`. Each is given by its
/// machine and its position among that machine's attempts. The least urgent come first, then those
/// whose stop costs least; gangs are stopped whole. Attempts that are already being stopped count
/// towards `excess`.
pub fn select_preemptions_over_limit(
    cluster: &ClusterState,
    team: TeamIndex,
    excess: &Resources,
    now: Millis,
) -> Vec<(MachineIndex, usize)> {
    let (mut excess_cpus, mut excess_gpus) = (excess.cpus, excess.gpus);
    let mut candidates = Vec::new();
    for (machine_index, machine) in cluster.machines.iter().enumerate() {
        for (attempt_index, attempt) in machine.attempts.iter().enumerate() {
            let job = cluster.job(attempt.job);
            if job.team != team || attempt.phase == Phase::Ended {
                continue;
            }
            if attempt.stop_grace_s.is_some() {
                excess_cpus -= job.requested.cpus;
                excess_gpus -= job.requested.gpus;
                continue;
            }
            let cost_s = graceful_stop_cost_s(cluster, attempt, now);
            candidates.push((
                job.priority,
                cost_s,
                MachineIndex(machine_index as u32),
                attempt_index,
            ));
        }
    }
    candidates.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
    let mut selected: Vec<(MachineIndex, usize)> = Vec::new();
    let mut selected_gangs: HashSet<JobIndex> = HashSet::new();
    let attempt_of = |machine: MachineIndex, attempt_index: usize| {
        &cluster.machine(machine).attempts[attempt_index]
    };
    for &(.., machine, attempt_index) in &candidates {
        let job_index = attempt_of(machine, attempt_index).job;
        let job = cluster.job(job_index);
        let reduces_excess = excess_cpus > UNITS_EPSILON && job.requested.cpus > 0.0
            || excess_gpus > UNITS_EPSILON && job.requested.gpus > 0.0;
        if !reduces_excess || selected_gangs.contains(&job_index) {
            continue;
        }
        let mut attempts = vec![(machine, attempt_index)];
        if job.kind == JobKind::Gang {
            selected_gangs.insert(job_index);
            let positions = candidates
                .iter()
                .map(|&(.., machine, attempt_index)| (machine, attempt_index));
            attempts = positions
                .filter(|&(machine, attempt_index)| {
                    attempt_of(machine, attempt_index).job == job_index
                })
                .collect();
        }
        excess_cpus -= job.requested.cpus * attempts.len() as f64;
        excess_gpus -= job.requested.gpus * attempts.len() as f64;
        selected.extend(attempts);
    }
    selected
}
