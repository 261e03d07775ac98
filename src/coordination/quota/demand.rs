//! The use and demand of teams in this cell, and conversions between quotas and resources.

use std::collections::BTreeMap;

use crate::{
    cluster::{ClusterState, Resources, Team as ClusterTeam},
    config::Team,
    protocol::job::JobKind,
    quota::{Quota, TeamQuota, participant::TeamDemand, units_allowed, units_of_limit, units_used},
};

/// A quota's units as resources.
pub(super) fn quota_to_resources(quota: Quota) -> Resources {
    Resources {
        cpus: quota.cpus as f64 / 1000.0,
        gpus: quota.gpus as f64 / 1000.0,
        ram_gb: 0.0,
    }
}

/// Resources in use as units of a quota, rounded up.
pub(super) fn resources_to_quota(resources: &Resources) -> Quota {
    Quota {
        cpus: units_used(resources.cpus),
        gpus: units_used(resources.gpus),
    }
}

/// Each team's quota in the settings, by the team's name.
pub(super) fn configured_quotas(teams: &[Team]) -> BTreeMap<&str, TeamQuota> {
    let quota = |team: &Team| TeamQuota {
        guarantee: Quota {
            cpus: units_allowed(team.cpus),
            gpus: units_allowed(team.gpus),
        },
        limit: Quota {
            cpus: units_of_limit(team.cpus_max),
            gpus: units_of_limit(team.gpus_max),
        },
    };
    teams
        .iter()
        .map(|team| (team.name.as_str(), quota(team)))
        .collect()
}

/// Each team's use and demand in this cell, in the order of the teams.
pub(super) fn team_demands(cluster: &ClusterState) -> Vec<TeamDemand> {
    let mut waiting = vec![Resources::default(); cluster.teams.len()];
    let mut largest_tasks = vec![Resources::default(); cluster.teams.len()];
    let jobs = cluster.jobs_by_id.values().map(|index| cluster.job(*index));
    for job in jobs.filter(|job| !job.closed) {
        let (team, task_count) = (job.team.as_usize(), job.placeable_task_count() as f64);
        waiting[team].cpus += job.requested.cpus * task_count;
        waiting[team].gpus += job.requested.gpus * task_count;
        if job.tasks.len() > job.waiting.len() + job.done_count as usize {
            let largest = &mut largest_tasks[team];
            largest.cpus = largest.cpus.max(job.requested.cpus);
            largest.gpus = largest.gpus.max(job.requested.gpus);
        }
    }
    let teams = cluster.teams.iter().zip(waiting).zip(largest_tasks);
    let demand = |((team, waiting), largest): ((&ClusterTeam, Resources), Resources)| TeamDemand {
        used: resources_to_quota(&team.reserved),
        waiting: resources_to_quota(&waiting),
        first_request: first_request(cluster, team),
        largest_task: resources_to_quota(&largest),
    };
    teams.map(demand).collect()
}

/// The units that the team's first waiting job needs to start: of one task, or of all tasks of a gang.
fn first_request(cluster: &ClusterState, team: &ClusterTeam) -> Quota {
    let Some(&(.., first_job)) = team.queue.first() else {
        return Quota::ZERO;
    };
    let job = cluster.job(first_job);
    let task_count = if job.kind == JobKind::Gang {
        job.placeable_task_count() as f64
    } else {
        1.0
    };
    resources_to_quota(&Resources {
        cpus: job.requested.cpus * task_count,
        gpus: job.requested.gpus * task_count,
        ram_gb: 0.0,
    })
}
