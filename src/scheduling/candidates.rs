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
        let lacks_room_only = job.recently_failed_on.is_empty()
            && !job.quarantined
            && job.backoff_until <= now
            && cluster.teams[job.team.as_usize()].allows(&job.requested);
        UnmetRequest::from_unconstrained_job(job).filter(|_| lacks_room_only)
    }

    /// The request of an array without zone constraints; `None` for any other job.
    pub(super) fn from_unconstrained_job(job: &Job) -> Option<Self> {
        let anywhere =
            job.kind == JobKind::Array && job.zone.is_none() && !job.one_zone && !job.spread;
        anywhere.then_some(UnmetRequest {
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
        index: JobIndex,
        job: &Job,
        reserved_for: &HashSet<JobIndex>,
    ) -> bool {
        let comparable = reserved_for.is_empty()
            || (self.priority <= job.priority && !reserved_for.contains(&index));
        comparable && self.is_dominated_by(job)
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
    /// A cache that searches all machines for each task, for tests to compare with.
    pub fn without_cache() -> Self {
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
        job: JobIndex,
        task: u32,
        now: Millis,
    ) -> Option<MachineIndex> {
        let entry = cluster.job(job);
        let score = |at: MachineIndex| {
            let machine = cluster.machine(at);
            let fits = cluster.can_place(entry, machine)
                && machine.avoid_until <= now
                && !cluster.is_reserved_for_other(job, machine, now)
                && !entry.is_avoiding(at, now);
            fits.then(|| (placement_score(cluster, entry, machine, now), at))
        };
        let holds_no_attempt = |at: MachineIndex| !cluster.machine(at).has_attempt_of(job, task);
        if let Some(&(best, until)) = self.best_by_job.get(&job)
            && self.placed_on.len() - until < cluster.machines.len()
            && holds_no_attempt(best)
            && let Some(mut best_found) = score(best)
        {
            let filled = &self.placed_on[until..];
            self.machines_scored += 1 + filled.len();
            for other in filled.iter().filter(|at| holds_no_attempt(**at)) {
                best_found = score(*other)
                    .filter(|other| *other < best_found)
                    .unwrap_or(best_found);
            }
            self.best_by_job
                .insert(job, (best_found.1, self.placed_on.len()));
            return Some(best_found.1);
        }
        self.machines_scored += cluster.machines.len();
        let mut best_found: Option<(f64, MachineIndex)> = None;
        let mut holder_found = false;
        for at in (0..cluster.machines.len() as u32).map(MachineIndex) {
            if let Some(found) = score(at) {
                if !holds_no_attempt(at) {
                    holder_found = true;
                } else if best_found.is_none_or(|best_found| found < best_found) {
                    best_found = Some(found);
                }
            }
        }
        self.best_by_job.remove(&job);
        // The replicas of a service are spread over zones, so each needs its own search. A machine
        // that was left out because it holds an attempt of this task may be the best one for the
        // next task.
        if let Some((_, best)) = best_found
            && entry.kind == JobKind::Array
            && !holder_found
            && !self.cache_disabled
        {
            self.best_by_job.insert(job, (best, self.placed_on.len()));
        }
        best_found.map(|(_, at)| at)
    }
}
