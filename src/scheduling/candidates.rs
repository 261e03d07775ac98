//! The search for the machine on which a task is placed.

use std::collections::{HashMap, HashSet};

use crate::{
    cluster::{ClusterState, Job, JobIndex, MachineIndex, Resources},
    protocol::job::{JobKind, Priority},
    scheduling::scoring::placement_score,
    time::Millis,
};

/// A request that no machine could meet. Free capacity only shrinks within a cycle, so no job that
/// requests as much or more has to be tried again in the same cycle. Thousands of equal tasks share
/// one search in this way.
pub(super) struct UnmetRequest {
    /// The job's priority.
    pub(super) priority: Priority,
    requested: Resources,
    allowed_types: u64,
    spot: bool,
}

impl UnmetRequest {
    /// The request of a job that could not be placed; `None` if something other than a lack of free
    /// capacity may have prevented that.
    pub(super) fn from_unplaced_job(
        job: &Job,
        cluster: &ClusterState,
        now: Millis,
    ) -> Option<Self> {
        let lacks_only_capacity = job.recently_failed_on.is_empty()
            && !job.quarantined
            && job.backoff_until <= now
            && cluster.teams[job.team.as_usize()].allows(&job.requested);
        UnmetRequest::from_unconstrained_job(job).filter(|_| lacks_only_capacity)
    }

    /// The request of an array without zone constraints; `None` for any other job.
    pub(super) fn from_unconstrained_job(job: &Job) -> Option<Self> {
        let is_unconstrained =
            job.kind == JobKind::Array && job.zone.is_none() && !job.one_zone && !job.spread;
        is_unconstrained.then_some(UnmetRequest {
            priority: job.priority,
            requested: job.requested,
            allowed_types: job.allowed_types,
            spot: job.spot,
        })
    }

    /// Whether the job is an array that requests as much or more and may run on no further
    /// machines.
    pub(super) fn is_dominated_by(&self, job: &Job) -> bool {
        job.kind == JobKind::Array
            && self.requested.fits_in(&job.requested)
            && job.allowed_types & !self.allowed_types == 0
            && (self.spot || !job.spot)
    }

    /// Whether the job need not be tried.
    ///
    /// `reserved_for` holds the jobs for which capacity is reserved against other jobs of the same
    /// or a lower priority. Capacity that was withheld from the job of this request may be
    /// available to those jobs, and to jobs of higher priority.
    pub(super) fn rules_out(
        &self,
        job_index: JobIndex,
        job: &Job,
        reserved_for: &HashSet<JobIndex>,
    ) -> bool {
        let sees_no_more_capacity = reserved_for.is_empty()
            || (self.priority <= job.priority && !reserved_for.contains(&job_index));
        sees_no_more_capacity && self.is_dominated_by(job)
    }
}

/// The best machines found for jobs during one cycle. A machine only gets fuller within a cycle,
/// and for an array a fuller machine is better. So the best machine for an array's next task is the
/// one that its previous task was placed on, or one that received a placement since then: equal
/// tasks share one search of all machines.
#[derive(Default)]
pub struct CandidateCache {
    cache_disabled: bool,
    /// How many machines were scored.
    pub machines_scored: usize,
    /// The best machine for each job, and how many entries of `placed_on` had been compared when it
    /// was chosen.
    best_by_job: HashMap<JobIndex, (MachineIndex, usize)>,
    /// The machine of each placement of this cycle, in order.
    pub(super) placed_on: Vec<MachineIndex>,
}

impl CandidateCache {
    /// A disabled cache: all machines are searched for each task. Tests compare the cache with it.
    pub fn disabled() -> Self {
        CandidateCache {
            cache_disabled: true,
            ..CandidateCache::default()
        }
    }

    /// The machine with the lowest score among those that can take the task: the one where it would
    /// start soonest, then the fullest one.
    pub(super) fn find_best_machine(
        &mut self,
        cluster: &ClusterState,
        job_index: JobIndex,
        task: u32,
        now: Millis,
    ) -> Option<MachineIndex> {
        let job = cluster.job(job_index);
        let score = |index: MachineIndex| {
            let machine = cluster.machine(index);
            let is_eligible = cluster.can_place(job, machine)
                && machine.avoid_until <= now
                && !cluster.is_reserved_for_other(job_index, machine, now)
                && !job.is_avoiding(index, now);
            is_eligible.then(|| (placement_score(cluster, job, machine, now), index))
        };
        let holds_no_attempt =
            |index: MachineIndex| !cluster.machine(index).has_attempt_of(job_index, task);
        if let Some(&(best, compared_count)) = self.best_by_job.get(&job_index)
            && self.placed_on.len() - compared_count < cluster.machines.len()
            && holds_no_attempt(best)
            && let Some(mut best_found) = score(best)
        {
            let placed_since = &self.placed_on[compared_count..];
            self.machines_scored += 1 + placed_since.len();
            for other in placed_since
                .iter()
                .filter(|index| holds_no_attempt(**index))
            {
                best_found = score(*other)
                    .filter(|other| *other < best_found)
                    .unwrap_or(best_found);
            }
            self.best_by_job
                .insert(job_index, (best_found.1, self.placed_on.len()));
            return Some(best_found.1);
        }
        self.machines_scored += cluster.machines.len();
        let mut best_found: Option<(f64, MachineIndex)> = None;
        let mut holder_found = false;
        for index in (0..cluster.machines.len() as u32).map(MachineIndex) {
            if let Some(candidate) = score(index) {
                if !holds_no_attempt(index) {
                    holder_found = true;
                } else if best_found.is_none_or(|best_found| candidate < best_found) {
                    best_found = Some(candidate);
                }
            }
        }
        self.best_by_job.remove(&job_index);
        // The replicas of a service are spread over zones, so each needs its own search. A machine
        // that was left out because it holds an attempt of this task may be the best one for the
        // next task.
        if let Some((_, best)) = best_found
            && job.kind == JobKind::Array
            && !holder_found
            && !self.cache_disabled
        {
            self.best_by_job
                .insert(job_index, (best, self.placed_on.len()));
        }
        best_found.map(|(_, index)| index)
    }
}
