//! The trial fit: whether a waiting task would fit on a machine if attempts were stopped, and at
//! what cost.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet},
};

use crate::{
    cluster::{
        Attempt, ClusterState, Job, JobIndex, Machine, MachineIndex, Phase, Resources, TeamIndex,
    },
    protocol::job::{JobKind, Priority},
    scheduling::{
        UNITS_EPSILON,
        candidates::UnmetRequest,
        preemption::{PreemptionReason, PreemptionVictim},
        scoring::graceful_stop_cost_s,
    },
    time::Millis,
};

/// The cost of each victim in addition to its lost work, in seconds.
const COST_PER_VICTIM_S: f64 = 1.0;
/// The lowest image fetch rate that is assumed for a machine.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// The fleet during one preemption check: the victims chosen so far, and the capacity and the
/// excess that this leaves.
pub(super) struct TrialFleet {
    /// The free capacity of each machine.
    free_by_machine: Vec<Resources>,
    /// The excess of each team: the units that it has reserved beyond its deserved share.
    excess_by_team: Vec<f64>,
    /// The units that each team has reserved beyond its guarantee.
    beyond_guarantee_by_team: Vec<f64>,
    chosen_victims: HashSet<(MachineIndex, usize)>,
}

impl TrialFleet {
    /// The fleet before any victim is chosen. Attempts that are being stopped count as free
    /// capacity.
    pub(super) fn new(cluster: &ClusterState, reserved: &[f64], deserved: &[f64]) -> Self {
        let excess = reserved.iter().zip(deserved);
        let beyond_guarantee = cluster.teams.iter().zip(reserved);
        TrialFleet {
            free_by_machine: cluster
                .machines
                .iter()
                .map(|machine| free_after_stops(cluster, machine))
                .collect(),
            excess_by_team: excess
                .map(|(reserved, share)| (reserved - share).max(0.0))
                .collect(),
            beyond_guarantee_by_team: beyond_guarantee
                .map(|(team, reserved)| reserved - cluster.accounted_units(&team.guarantee))
                .collect(),
            chosen_victims: HashSet::new(),
        }
    }
}

/// The free capacity of a machine once all attempts that are being stopped have ended.
fn free_after_stops(cluster: &ClusterState, machine: &Machine) -> Resources {
    let mut free = cluster.free_resources(machine);
    for attempt in &machine.attempts {
        if attempt.stop_grace_s.is_some() && attempt.phase != Phase::Ended {
            free.add(&cluster.job(attempt.job).requested);
        }
    }
    free
}

/// A trial that found no victims. It would fail in the same way for those of the team's jobs that
/// request as much or more, since free capacity only shrinks during a check. Searching all machines
/// for each of 5000 single tasks took seconds.
pub(super) struct FailedTrial {
    request: UnmetRequest,
    can_wait: bool,
    starved: bool,
}

impl FailedTrial {
    /// The failed trial of a job; `None` if it may have failed for other reasons than a lack of
    /// capacity.
    pub(super) fn new(job: &Job, can_wait: bool, starved: bool) -> Option<Self> {
        let request = UnmetRequest::from_unconstrained_job(job)?;
        Some(FailedTrial {
            request,
            can_wait,
            starved,
        })
    }

    /// Whether a trial for the job would fail as well.
    pub(super) fn rules_out(&self, job: &Job, can_wait: bool, starved: bool) -> bool {
        (can_wait || !self.can_wait)
            && (self.starved || !starved)
            && self.request.priority <= job.priority
            && self.request.is_dominated_by(job)
    }
}

/// The trial fit of one job's tasks.
pub(super) struct TrialFit<'a> {
    pub(super) cluster: &'a ClusterState,
    pub(super) job_index: JobIndex,
    pub(super) job: &'a Job,
    pub(super) team: TeamIndex,
    /// The job can still wait for work with objectives to complete.
    pub(super) can_wait: bool,
    /// A further task stays within its team's deserved share and guarantee.
    pub(super) starved: bool,
    pub(super) fleet: &'a mut TrialFleet,
    pub(super) now: Millis,
}

/// A machine on which a task would fit, and the cost of that in milliseconds; the lowest cost comes
/// first in a heap.
type CandidateMachine = Reverse<(u64, MachineIndex)>;

/// An attempt that may be stopped for a task.
struct CandidateVictim {
    priority: Priority,
    /// The cost of stopping it, in seconds of one task.
    cost_s: f64,
    attempt_index: usize,
    reason: PreemptionReason,
}

impl TrialFit<'_> {
    /// All machines on which a task would fit. The job's tasks share this search.
    pub(super) fn candidate_machines(&self) -> BinaryHeap<CandidateMachine> {
        let machines = (0..self.cluster.machines.len() as u32).map(MachineIndex);
        machines
            .filter_map(|index| {
                let (cost_ms, _) = self.evaluate_machine(index)?;
                Some(Reverse((cost_ms, index)))
            })
            .collect()
    }

    /// Chooses the victims for the next task, on the machine where they cost the least. Earlier
    /// choices can only raise a machine's cost or rule it out, except on a machine where they left
    /// capacity over, which is evaluated again.
    pub(super) fn choose_victims(
        &mut self,
        candidates: &mut BinaryHeap<CandidateMachine>,
    ) -> Option<Vec<PreemptionVictim>> {
        while let Some(Reverse((queued_cost_ms, index))) = candidates.pop() {
            let Some((cost_ms, victims)) = self.evaluate_machine(index) else {
                continue;
            };
            if cost_ms > queued_cost_ms {
                candidates.push(Reverse((cost_ms, index)));
                continue;
            }
            self.apply(index, &victims);
            if let Some((cost_ms, _)) = self.evaluate_machine(index) {
                candidates.push(Reverse((cost_ms, index)));
            }
            return Some(victims);
        }
        None
    }

    /// Frees the victims' resources on the machine and reserves those of the task there.
    fn apply(&mut self, index: MachineIndex, victims: &[PreemptionVictim]) {
        let fleet = &mut *self.fleet;
        for victim in victims {
            let attempt = &self.cluster.machine(index).attempts[victim.attempt_index];
            let victim_job = self.cluster.job(attempt.job);
            fleet.free_by_machine[index.as_usize()].add(&victim_job.requested);
            let units = self.cluster.accounted_units(&victim_job.requested);
            fleet.excess_by_team[victim_job.team.as_usize()] -= units;
            fleet.beyond_guarantee_by_team[victim_job.team.as_usize()] -= units;
            fleet.chosen_victims.insert((index, victim.attempt_index));
        }
        fleet.free_by_machine[index.as_usize()].sub(&self.job.requested);
    }

    /// The victims that a task on this machine needs, and their cost in milliseconds; `None` if the
    /// task can't be placed there.
    fn evaluate_machine(&self, index: MachineIndex) -> Option<(u64, Vec<PreemptionVictim>)> {
        let (cluster, job, machine) = (self.cluster, self.job, self.cluster.machine(index));
        if !machine.is_schedulable()
            || machine.avoid_until > self.now
            || (machine.spot && !job.spot)
            || !job.allows_type(machine.machine_type)
            || !job.allows_zone(machine.zone)
        {
            return None;
        }
        if job
            .requested
            .fits_in(&self.fleet.free_by_machine[index.as_usize()])
        {
            // It fits without a victim, or will once the attempts that are being stopped have
            // ended.
            return Some((0, Vec::new()));
        }
        let (mut cost_s, victims) = self.cheapest_victims(index)?;
        if !machine.has_image(job.image) {
            let fetch_gb_per_s =
                cluster.machine_types[machine.machine_type.as_usize()].fetch_gb_per_s;
            cost_s += job.image_gb / fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
        }
        Some(((cost_s * 1000.0) as u64, victims))
    }

    /// Chooses victims, the least urgent first, then the cheapest, until the task fits; returns
    /// their cost in seconds, and the victims.
    fn cheapest_victims(&self, index: MachineIndex) -> Option<(f64, Vec<PreemptionVictim>)> {
        let (cluster, job, machine) = (self.cluster, self.job, self.cluster.machine(index));
        let mut free = self.fleet.free_by_machine[index.as_usize()];
        // The units of the victims chosen here, with their teams.
        let mut lost_units: Vec<(TeamIndex, f64)> = Vec::new();
        let mut victims = Vec::new();
        let mut cost_s = 0.0;
        for candidate in self.candidate_victims(index) {
            let victim_job = cluster.job(machine.attempts[candidate.attempt_index].job);
            let units = cluster.accounted_units(&victim_job.requested);
            let lost_so_far: f64 = lost_units
                .iter()
                .filter(|(team, _)| *team == victim_job.team)
                .map(|(_, units)| units)
                .sum();
            let excess = self.fleet.excess_by_team[victim_job.team.as_usize()];
            if candidate.reason == PreemptionReason::Share
                && excess - lost_so_far + UNITS_EPSILON < units
            {
                continue;
            }
            lost_units.push((victim_job.team, units));
            free.add(&victim_job.requested);
            cost_s += candidate.cost_s + COST_PER_VICTIM_S;
            victims.push(PreemptionVictim {
                beneficiary: self.job_index,
                machine: index,
                attempt_index: candidate.attempt_index,
                reason: candidate.reason,
            });
            if job.requested.fits_in(&free) {
                break;
            }
        }
        job.requested.fits_in(&free).then_some((cost_s, victims))
    }

    /// The attempts of a machine that may be preempted, in the order in which they are chosen.
    fn candidate_victims(&self, index: MachineIndex) -> Vec<CandidateVictim> {
        let cluster = self.cluster;
        let attempts = cluster.machine(index).attempts.iter().enumerate();
        let mut candidates: Vec<CandidateVictim> = attempts
            .filter(|(attempt_index, attempt)| {
                attempt.phase != Phase::Ended
                    && attempt.stop_grace_s.is_none()
                    && cluster.job(attempt.job).kind != JobKind::Gang
                    && !self.fleet.chosen_victims.contains(&(index, *attempt_index))
            })
            .filter_map(|(attempt_index, attempt)| {
                let reason = self.preemption_reason(attempt)?;
                Some(CandidateVictim {
                    priority: cluster.job(attempt.job).priority,
                    cost_s: graceful_stop_cost_s(cluster, attempt, self.now),
                    attempt_index,
                    reason,
                })
            })
            .collect();
        candidates.sort_by(|a, b| {
            let by_priority = b.priority.cmp(&a.priority);
            by_priority.then(a.cost_s.total_cmp(&b.cost_s))
        });
        candidates
    }

    /// Why the attempt may be preempted for the job; `None` if it may not.
    fn preemption_reason(&self, attempt: &Attempt) -> Option<PreemptionReason> {
        let (job, victim_job) = (self.job, self.cluster.job(attempt.job));
        // An attempt that was placed for its starved class is not preempted for an array: otherwise
        // the class would immediately be starved again.
        if attempt.placed_for_fair_share && job.kind != JobKind::Service {
            return None;
        }
        let has_objectives = !victim_job.latest_placements_ms.is_empty();
        // Replicas have no such objectives, but are protected as well: they are the last to be
        // preempted for work without objectives.
        if self.can_wait && (victim_job.kind == JobKind::Service || has_objectives) {
            return None;
        }
        let units = self.cluster.accounted_units(&victim_job.requested);
        // A task with objectives is preempted for arrays only once: small tasks, submitted in large
        // numbers by a team without a guarantee, were stopped up to 35 times each and completed too
        // late.
        let is_retry = job.kind != JobKind::Service && has_objectives && attempt.attempt > 1;
        // Work within its team's guarantee is not preempted for an array of another team, whatever
        // its priority: the victim's team took the capacity back at the next check, and both tasks
        // were restarted every second.
        let is_within_guarantee = job.kind != JobKind::Service
            && victim_job.team != self.team
            && self.fleet.beyond_guarantee_by_team[victim_job.team.as_usize()] + UNITS_EPSILON
                < units;
        if victim_job.priority > job.priority && !is_retry && !is_within_guarantee {
            return Some(PreemptionReason::Priority);
        }
        let is_excess =
            self.fleet.excess_by_team[victim_job.team.as_usize()] + UNITS_EPSILON >= units;
        (self.starved && victim_job.team != self.team && is_excess)
            .then_some(PreemptionReason::Share)
    }
}
