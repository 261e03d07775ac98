//! The search for the machine on which a task is placed.

use std::collections::{HashMap, HashSet};

use crate::{
    cluster::{ClusterState, Job, JobIndex, MachineIndex, Resources},
    protocol::job::{JobKind, Priority},
    scheduling::scoring::placement_score,
    time::Millis,
};

/// A request that no machine could meet: no job that requests as much or more has to be tried again
/// in this cycle, since a cycle only takes room. Thousands of equal tasks share one search.
pub(super) struct UnmetRequest {
    /// The job's priority.
    pub(super) priority: Priority,
    requested: Resources,
    allowed_types: u64,
    spot: bool,
}

impl UnmetRequest {
    /// `None` where it was not for lack of room alone.
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

    /// `None` for a job that can't go just anywhere.
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

    /// Whether the job is an array that requests as much or more.
    pub(super) fn is_dominated_by(&self, job: &Job) -> bool {
        job.kind == JobKind::Array
            && self.requested.fits_in(&job.requested)
            && job.allowed_types & !self.allowed_types == 0
            && (self.spot || !job.spot)
    }

    /// Whether the job need not be tried.
    ///
    /// `reserved_for` are jobs for which room is reserved against others of the same or a lower
    /// priority: what one of those others did not find may be there for them, and for more urgent jobs.
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

/// The candidate machines of one cycle. An array's task is placed where the one before it was, unless
/// a machine on which something was placed since is better by now: within a cycle a machine only gets
/// fuller, and for an array a fuller one is better. So equal tasks share one search of all machines.
#[derive(Default)]
pub struct CandidateCache {
    cache_disabled: bool,
    /// How many machines were scored.
    pub machines_scored: usize,
    /// The best machine for a job, and how many entries of `placed_on` that takes into account.
    best_by_job: HashMap<JobIndex, (MachineIndex, usize)>,
    /// Machines in the order in which tasks were placed on them.
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

    /// The machine with the lowest score on which the task may be placed: where it would start soonest,
    /// then the fullest one.
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
        // Replicas keep away from each other, and a machine that still holds this task may take
        // the next.
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
