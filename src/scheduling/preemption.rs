//! Preemption: the trial fit of waiting tasks against the excess of over-share teams and against
//! work of lower priority.

use crate::{
    cluster::{ClusterState, Job, JobIndex, MachineIndex, QueueKey, Resources, TeamIndex},
    protocol::job::JobKind,
    scheduling::{
        MAX_PLACEMENTS_PER_CYCLE, UNITS_EPSILON,
        deserved_shares::{compute_deserved_shares, schedulable_capacity},
        to_milli_units,
        trial_fit::{FailedTrial, TrialFit, TrialFleet},
    },
    time::{Millis, millis},
};

/// The fraction of its slack that an array waits before attempts are preempted for it.
const PREEMPTION_PATIENCE_FRACTION: f64 = 0.25;
/// The longest that an array waits, in seconds, before attempts are preempted for it.
const MAX_PREEMPTION_PATIENCE_S: f64 = 4.0;

/// Why a running task is preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreemptionReason {
    /// The beneficiary's team is below its deserved share, and the victim is part of the excess of
    /// an over-share team.
    Share,
    /// The beneficiary's priority is higher.
    Priority,
}

/// The jobs for whose waiting tasks one check preempts others. Jobs that have to start sooner are
/// checked more often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PreemptionScope {
    /// Services only.
    Services,
    /// Services, and jobs with an objective that they can still meet.
    WithObjective,
    /// All jobs.
    All,
}

impl PreemptionScope {
    fn includes(self, job: &Job) -> bool {
        // A gang waits for free capacity; nothing is preempted for a part of it.
        job.kind != JobKind::Gang
            && match self {
                PreemptionScope::Services => job.kind == JobKind::Service,
                PreemptionScope::WithObjective => {
                    job.kind == JobKind::Service || !job.latest_placements_ms.is_empty()
                }
                PreemptionScope::All => true,
            }
    }
}

/// An attempt that is to be preempted for a waiting task.
#[derive(Clone, Debug, PartialEq)]
pub struct PreemptionVictim {
    /// The job for whose task it is preempted.
    pub beneficiary: JobIndex,
    /// The victim's machine.
    pub machine: MachineIndex,
    /// The victim's position among the machine's attempts.
    pub attempt_index: usize,
    /// Why it is preempted.
    pub reason: PreemptionReason,
}

/// Whether a job can still wait for tasks to complete, before work that has objectives is preempted
/// for it. Tasks complete all the time, and the teams with the least get the capacity first. When
/// attempts were preempted without this wait, most of them had only just been placed.
fn can_wait_for_completions(cluster: &ClusterState, job: &Job, now: Millis) -> bool {
    if job.kind == JobKind::Service {
        return false;
    }
    let tightest_slack_s = job
        .objective_slacks_s
        .first()
        .copied()
        .unwrap_or(f64::INFINITY);
    let tightest_slack_s =
        tightest_slack_s.min(cluster.guarantee_objective_s.unwrap_or(f64::INFINITY));
    let patience_s =
        (PREEMPTION_PATIENCE_FRACTION * tightest_slack_s).min(MAX_PREEMPTION_PATIENCE_S);
    now < job.first_seen_at + millis(patience_s)
}

/// Selects the attempts to preempt, by a trial fit: for each team's waiting tasks that fit on no
/// machine, it determines whether they would fit if the excess of over-share teams, or work of
/// lower priority, were stopped. Only then are those attempts selected.
pub fn select_preemptions(
    cluster: &ClusterState,
    now: Millis,
    scope: PreemptionScope,
) -> Vec<PreemptionVictim> {
    let is_included = |&(_, _, job_index): &QueueKey| scope.includes(cluster.job(job_index));
    if !cluster
        .teams
        .iter()
        .any(|team| team.queue.iter().any(is_included))
    {
        return Vec::new();
    }
    let deserved = compute_deserved_shares(cluster, schedulable_capacity(cluster));
    let reserved: Vec<f64> = cluster
        .teams
        .iter()
        .map(|team| cluster.accounted_units(&team.reserved))
        .collect();
    let mut fleet = TrialFleet::new(cluster, &reserved, &deserved);
    let mut team_order: Vec<usize> = (0..cluster.teams.len()).collect();
    team_order.sort_by_key(|&team| to_milli_units(reserved[team]));
    let mut victims = Vec::new();
    for team in team_order {
        // Beyond its guarantee a team waits for capacity that others release: by the protocol, work
        // of the same or a higher priority may not be stopped to give a team more than its
        // guarantee.
        let guarantee = cluster.accounted_units(&cluster.teams[team].guarantee);
        let mut trial = TeamTrial {
            cluster,
            now,
            team: TeamIndex(team as u32),
            remaining_entitled_units: deserved[team].min(guarantee) - reserved[team],
            reserved: cluster.teams[team].reserved,
            failed_trials: Vec::new(),
        };
        for &(_, _, job_index) in &cluster.teams[team].queue {
            let job = cluster.job(job_index);
            // Nothing is preempted for a quarantined job.
            if job.backoff_until > now || job.quarantined || !scope.includes(job) {
                continue;
            }
            trial.try_job(job_index, &mut fleet, &mut victims);
        }
    }
    victims
}

/// The trial fit of one team's waiting jobs.
struct TeamTrial<'a> {
    cluster: &'a ClusterState,
    now: Millis,
    team: TeamIndex,
    /// How many more units the team may reserve within both its deserved share and its guarantee;
    /// negative if it exceeds one of them.
    remaining_entitled_units: f64,
    /// The resources that the team will have reserved, including those of tasks for which victims were selected.
    reserved: Resources,
    failed_trials: Vec<FailedTrial>,
}

impl TeamTrial<'_> {
    /// Selects victims for as many of the job's waiting tasks as would then fit.
    fn try_job(
        &mut self,
        job_index: JobIndex,
        fleet: &mut TrialFleet,
        victims: &mut Vec<PreemptionVictim>,
    ) {
        let cluster = self.cluster;
        let job = cluster.job(job_index);
        let units = cluster.accounted_units(&job.requested);
        let can_wait = can_wait_for_completions(cluster, job, self.now);
        let starved = self.is_starved(units);
        if self
            .failed_trials
            .iter()
            .any(|failed| failed.rules_out(job, can_wait, starved))
        {
            return;
        }
        let mut trial = TrialFit {
            cluster,
            job_index,
            job,
            team: self.team,
            can_wait,
            starved,
            fleet,
            now: self.now,
        };
        let mut candidates = trial.candidate_machines();
        for _ in 0..job.waiting.len().min(MAX_PLACEMENTS_PER_CYCLE) {
            let mut reserved = self.reserved;
            reserved.add(&job.requested);
            if self.exceeds_limit(&reserved) {
                break;
            }
            trial.starved = self.is_starved(units);
            let Some(task_victims) = trial.choose_victims(&mut candidates) else {
                let failed = FailedTrial::new(job, can_wait, trial.starved);
                self.failed_trials.extend(failed);
                break;
            };
            self.reserved = reserved;
            self.remaining_entitled_units -= units;
            victims.extend(task_victims);
        }
    }

    /// Whether a further task of `units` stays within the team's deserved share and guarantee.
    fn is_starved(&self, units: f64) -> bool {
        units <= self.remaining_entitled_units + UNITS_EPSILON
    }

    fn exceeds_limit(&self, reserved: &Resources) -> bool {
        let limit = &self.cluster.teams[self.team.as_usize()].limit;
        reserved.cpus > limit.cpus + UNITS_EPSILON || reserved.gpus > limit.gpus + UNITS_EPSILON
    }
}
