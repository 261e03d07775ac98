//! Whether a submitted job can ever run.

use crate::{
    cluster::Resources,
    config::Team,
    coordination::{Node, registry::RegisteredJob},
    protocol::{
        cloud::MachineType,
        job::{JobKind, Submission},
    },
};

/// Tolerance for rounding in sums of resources.
const LIMIT_EPSILON: f64 = 1e-6;

/// Whether a submitted job can ever run.
pub(super) enum Feasibility {
    /// The job can run.
    Feasible,
    /// The machine types have not been received yet.
    Undecided,
    /// The job can never run, for this reason.
    Infeasible(&'static str),
}

impl Node {
    /// Whether the job can ever run.
    pub(super) fn check_feasibility(&self, job: &Submission) -> Feasibility {
        if self.machine_types.is_empty() {
            return Feasibility::Undecided;
        }
        let Some(team) = self
            .config
            .settings
            .teams
            .iter()
            .find(|team| team.name == job.team)
        else {
            return Feasibility::Infeasible("unknown team");
        };
        if !self.machine_types.iter().any(|machine| fits(job, machine)) {
            return Feasibility::Infeasible("a task fits no allowed machine type");
        }
        if exceeds_team_limit(job, team) {
            return Feasibility::Infeasible("the job needs more than its team's limit");
        }
        for dependency in &job.dependencies {
            match self.registry.get(*dependency) {
                None => return Feasibility::Infeasible("awaits a job that was never accepted"),
                Some(RegisteredJob::Live(live)) if live.spec.kind == JobKind::Service => {
                    return Feasibility::Infeasible("awaits a service, which is never done");
                }
                _ => {}
            }
        }
        Feasibility::Feasible
    }
}

/// Whether a task of the job fits on an empty machine that the job allows.
fn fits(job: &Submission, machine: &MachineType) -> bool {
    let is_type_allowed = job
        .types
        .as_ref()
        .is_none_or(|types| types.contains(&machine.name));
    let is_zone_allowed = job
        .zone
        .as_ref()
        .is_none_or(|zone| machine.zones.contains(zone));
    let requested = Resources {
        cpus: job.cpus,
        gpus: job.gpus,
        ram_gb: job.ram_gb,
    };
    is_type_allowed
        && is_zone_allowed
        && requested.fits_in(&Resources {
            cpus: machine.cpus,
            gpus: machine.gpus,
            ram_gb: machine.ram_gb,
        })
}

/// Whether the tasks of the job that must run at the same time need more than the team's limit.
fn exceeds_team_limit(job: &Submission, team: &Team) -> bool {
    let tasks_at_once = match job.kind {
        JobKind::Array => 1.0,
        JobKind::Gang | JobKind::Service => f64::from(job.tasks),
    };
    let exceeds = |limit: f64, requested: f64| {
        limit > 0.0 && tasks_at_once * requested > limit + LIMIT_EPSILON
    };
    exceeds(team.cpus_max, job.cpus) || exceeds(team.gpus_max, job.gpus)
}
