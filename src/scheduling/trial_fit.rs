//! The trial fit: whether a waiting task would fit on a machine if others were stopped, and at what
//! cost.

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

/// What a task's cost rises by for each victim, in seconds.
const COST_PER_VICTIM_S: f64 = 1.0;
/// The slowest rate at which a machine is taken to fetch images.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// What one check has chosen so far, and what that leaves.
pub(super) struct TrialFleet {
    /// The room on each machine.
    free_by_machine: Vec<Resources>,
    /// The excess of each team, in units: what it has beyond what it deserves.
    excess_by_team: Vec<f64>,
    /// What each team has beyond its guarantee, in units.
    beyond_guarantee_by_team: Vec<f64>,
    chosen_victims: HashSet<(MachineIndex, usize)>,
}

impl TrialFleet {
    /// The fleet as it stands. What already has to stop counts as free.
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

/// The room on a machine once all attempts that were told to stop have ended.
fn free_after_stops(cluster: &ClusterState, machine: &Machine) -> Resources {
    let mut free = cluster.free_resources(machine);
    for attempt in &machine.attempts {
        if attempt.stop_grace_s.is_some() && attempt.phase != Phase::Ended {
            free.add(&cluster.job(attempt.job).requested);
        }
    }
    free
}

/// A trial in which nobody could be preempted: it ends alike for those of the team's jobs that request
/// as much or more, since a check only takes room. Searching all machines for each of 5000 single
/// tasks took seconds.
pub(super) struct FailedTrial {
    request: UnmetRequest,
    can_wait: bool,
    starved: bool,
}

impl FailedTrial {
    /// `None` where it was not for lack of room alone.
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
    /// It can still wait for work with objectives to end by itself.
    pub(super) can_wait: bool,
    /// A further task would still be within what its team deserves and is guaranteed.
    pub(super) starved: bool,
    pub(super) fleet: &'a mut TrialFleet,
    pub(super) now: Millis,
}

/// A machine on which a task would fit, and what that would cost in thousandths of a second.
type CandidateMachine = Reverse<(u64, MachineIndex)>;

/// An attempt that may be stopped for a task.
struct CandidateVictim {
    priority: Priority,
    /// What is lost by stopping it, in seconds of one task.
    cost_s: f64,
    attempt_index: usize,
    reason: PreemptionReason,
}

impl TrialFit<'_> {
    /// All machines on which a task would fit. Equal tasks share the search.
    pub(super) fn candidate_machines(&self) -> BinaryHeap<CandidateMachine> {
        let machines = (0..self.cluster.machines.len() as u32).map(MachineIndex);
        machines
            .filter_map(|index| {
                let (cost, _) = self.evaluate_machine(index)?;
                Some(Reverse((cost, index)))
            })
            .collect()
    }

    /// The victims for the next task, on the machine where that costs least. Earlier choices make a
    /// machine dearer or impossible, never cheaper except where they left room.
    pub(super) fn choose_victims(
        &mut self,
        candidates: &mut BinaryHeap<CandidateMachine>,
    ) -> Option<Vec<PreemptionVictim>> {
        while let Some(Reverse((known_cost, index))) = candidates.pop() {
            let Some((cost, chosen)) = self.evaluate_machine(index) else {
                continue;
            };
            if cost > known_cost {
                candidates.push(Reverse((cost, index)));
                continue;
            }
            self.apply(index, &chosen);
            if let Some((cost, _)) = self.evaluate_machine(index) {
                candidates.push(Reverse((cost, index)));
            }
            return Some(chosen);
        }
        None
    }

    /// Takes the victims' room, and gives the task its part of it.
    fn apply(&mut self, index: MachineIndex, chosen: &[PreemptionVictim]) {
        let fleet = &mut *self.fleet;
        for victim in chosen {
            let attempt = &self.cluster.machine(index).attempts[victim.attempt_index];
            let loser = self.cluster.job(attempt.job);
            fleet.free_by_machine[index.as_usize()].add(&loser.requested);
            let units = self.cluster.accounted_units(&loser.requested);
            fleet.excess_by_team[loser.team.as_usize()] -= units;
            fleet.beyond_guarantee_by_team[loser.team.as_usize()] -= units;
            fleet.chosen_victims.insert((index, victim.attempt_index));
        }
        fleet.free_by_machine[index.as_usize()].sub(&self.job.requested);
    }

    /// Who would have to be stopped for a task on this machine, and what that costs in thousandths of
    /// a second.
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
            // It fits without a victim, or will as soon as what was stopped has ended.
            return Some((0, Vec::new()));
        }
        let (mut cost_s, chosen) = self.cheapest_victims(index)?;
        if !machine.has_image(job.image) {
            let rate = cluster.machine_types[machine.machine_type.as_usize()].fetch_gb_per_s;
            cost_s += job.image_gb / rate.max(MIN_FETCH_GB_PER_S);
        }
        Some(((cost_s * 1000.0) as u64, chosen))
    }

    /// The least urgent attempts, of these what loses least, that leave enough room; and their cost in
    /// seconds.
    fn cheapest_victims(&self, index: MachineIndex) -> Option<(f64, Vec<PreemptionVictim>)> {
        let (cluster, job, machine) = (self.cluster, self.job, self.cluster.machine(index));
        let mut free = self.fleet.free_by_machine[index.as_usize()];
        // What each team has lost in this trial.
        let mut lost_units: Vec<(TeamIndex, f64)> = Vec::new();
        let mut chosen = Vec::new();
        let mut cost_s = 0.0;
        for victim in self.candidate_victims(index) {
            let loser = cluster.job(machine.attempts[victim.attempt_index].job);
            let units = cluster.accounted_units(&loser.requested);
            let lost: f64 = lost_units
                .iter()
                .filter(|(team, _)| *team == loser.team)
                .map(|(_, units)| units)
                .sum();
            let excess = self.fleet.excess_by_team[loser.team.as_usize()];
            if victim.reason == PreemptionReason::Share && excess - lost + UNITS_EPSILON < units {
                continue;
            }
            lost_units.push((loser.team, units));
            free.add(&loser.requested);
            cost_s += victim.cost_s + COST_PER_VICTIM_S;
            chosen.push(PreemptionVictim {
                beneficiary: self.job_index,
                machine: index,
                attempt_index: victim.attempt_index,
                reason: victim.reason,
            });
            if job.requested.fits_in(&free) {
                break;
            }
        }
        job.requested.fits_in(&free).then_some((cost_s, chosen))
    }

    /// The attempts of a machine that may be stopped, in the order in which they are.
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

    /// Why the attempt may be stopped for the job, if it may.
    fn preemption_reason(&self, attempt: &Attempt) -> Option<PreemptionReason> {
        let (job, loser) = (self.job, self.cluster.job(attempt.job));
        // What its starved class was given it keeps: otherwise the class would be starved again at once.
        if attempt.placed_for_fair_share && job.kind != JobKind::Service {
            return None;
        }
        let has_objectives = !loser.latest_placements_ms.is_empty();
        // Replicas have no such objectives; they are the last to be preempted for work without any.
        if self.can_wait && (loser.kind == JobKind::Service || has_objectives) {
            return None;
        }
        let units = self.cluster.accounted_units(&loser.requested);
        // A task with an objective of its own is preempted for arrays once: a flood of small tasks of a
        // team without a guarantee was stopped up to 35 times each, and ended too late.
        let was_preempted = job.kind != JobKind::Service && has_objectives && attempt.attempt > 1;
        // What a team runs within its guarantee it takes back at the next check: an array of another
        // team that took it for its priority lost it again, and both began anew each second.
        let is_guaranteed = job.kind != JobKind::Service
            && loser.team != self.team
            && self.fleet.beyond_guarantee_by_team[loser.team.as_usize()] + UNITS_EPSILON < units;
        if loser.priority > job.priority && !was_preempted && !is_guaranteed {
            return Some(PreemptionReason::Priority);
        }
        let is_excess = self.fleet.excess_by_team[loser.team.as_usize()] + UNITS_EPSILON >= units;
        (self.starved && loser.team != self.team && is_excess).then_some(PreemptionReason::Share)
    }
}
