//! What teams use and ask for in this cell, and quotas in terms of resources.

use std::collections::BTreeMap;

use crate::{
    cluster::{ClusterState, Resources, Team as BookedTeam},
    config::Team,
    protocol::job::JobKind,
    quota::{Quota, TeamQuota, participant::TeamDemand, units_allowed, units_of_limit, units_used},
};

/// Units of a quota as resources.
pub(super) fn quota_to_resources(quota: Quota) -> Resources {
    Resources {
        cpus: quota.cpus as f64 / 1000.0,
        gpus: quota.gpus as f64 / 1000.0,
        ram_gb: 0.0,
    }
}

/// Resources in use as units of a quota, rounded up.
pub(super) fn resources_to_quota(amounts: &Resources) -> Quota {
    Quota {
        cpus: units_used(amounts.cpus),
        gpus: units_used(amounts.gpus),
    }
}

/// What operators set for each team.
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

/// What each team uses in this cell, what waits, and what of it can't be divided.
pub(super) fn team_demands(cluster: &ClusterState) -> Vec<TeamDemand> {
    let mut waiting = vec![Resources::default(); cluster.teams.len()];
    let mut grains = vec![Resources::default(); cluster.teams.len()];
    let jobs = cluster.jobs_by_id.values().map(|index| cluster.job(*index));
    for job in jobs.filter(|job| !job.closed) {
        let (team, slots) = (job.team.as_usize(), job.placeable_tasks() as f64);
        waiting[team].cpus += job.requested.cpus * slots;
        waiting[team].gpus += job.requested.gpus * slots;
        if job.tasks.len() > job.waiting.len() + job.done_count as usize {
            let grain = &mut grains[team];
            grain.cpus = grain.cpus.max(job.requested.cpus);
            grain.gpus = grain.gpus.max(job.requested.gpus);
        }
    }
    let teams = cluster.teams.iter().zip(waiting).zip(grains);
    let demand = |((team, waiting), grain): ((&BookedTeam, Resources), Resources)| TeamDemand {
        used: resources_to_quota(&team.reserved),
        waiting: resources_to_quota(&waiting),
        first_request: smallest_request(cluster, team),
        largest_task: resources_to_quota(&grain),
    };
    teams.map(demand).collect()
}

/// What the team's first waiting job needs at once: a gang all of it.
fn smallest_request(cluster: &ClusterState, team: &BookedTeam) -> Quota {
    let Some(&(.., first)) = team.queue.first() else {
        return Quota::ZERO;
    };
    let job = cluster.job(first);
    let at_once = if job.kind == JobKind::Gang {
        job.placeable_tasks() as f64
    } else {
        1.0
    };
    resources_to_quota(&Resources {
        cpus: job.requested.cpus * at_once,
        gpus: job.requested.gpus * at_once,
        ram_gb: 0.0,
    })
}
