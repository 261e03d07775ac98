//! The fair share of each class of each team: its entitlement, its allocation, and which classes are
//! starved.
//!
//! The scheduling cycle's heap divides capacity among teams, and priorities decide within a team
//! and about preemption. Neither considers a class over time: small tasks of a team without a
//! guarantee were started and then preempted for urgent arrays, every second for as long as such
//! arrays arrived, and none of them completed. So the entitlement of each class of each team is
//! computed once a second, and a class whose running work stays below half of its entitlement for a
//! while is *starved*. Until it has caught up, a fraction of the capacity that becomes free goes to
//! its tasks first, and tasks that were placed in this way are not preempted for an array.
//! Starvation of a class changes nothing else; in particular, nothing is preempted for it.

use std::collections::BTreeMap;

use crate::{
    cluster::{ClassIndex, ClusterState, Job, JobIndex, Phase, QueueKey, TeamIndex},
    protocol::job::{JobKind, Priority},
    time::Millis,
};

/// The fraction of the capacity that becomes free which goes to starved classes. It is also the
/// fraction of the fleet that is divided among the teams to which the guarantees of others leave
/// less than that.
pub const STARVED_SHARE_FRACTION: f64 = 0.125;
/// How often entitlements are computed.
const FAIR_SHARE_UPDATE_INTERVAL_MS: Millis = 1000;
/// The time constant, in seconds, of the moving averages of the entitlement and allocation of classes.
const FAIR_SHARE_WINDOW_S: f64 = 20.0;
/// A class that gets less than this fraction of its entitlement can become starved.
const STARVED_BELOW_FRACTION: f64 = 0.5;
/// How long a class must have got too little, and its oldest job must have waited, before the class
/// is starved.
const STARVATION_DELAY_MS: Millis = 5000;
/// A starved class stays starved until it gets this fraction of its entitlement.
const CAUGHT_UP_FRACTION: f64 = 1.0;
/// How long arrays that fitted on no machine are assumed to still need capacity.
const BLOCKED_ARRAYS_TTL_MS: Millis = 1500;
/// How often a job whose tasks would be preempted is nevertheless tried: the blocked arrays may be
/// unable to use the capacity that is free, and an occasional start that is preempted costs little.
const BLOCKED_RETRY_INTERVAL_MS: Millis = 40_000;
/// How long such a job is tried each time.
const BLOCKED_RETRY_WINDOW_MS: Millis = 2000;
/// Fewer units than this are no entitlement.
const MIN_UNITS: f64 = 1e-6;

/// One class of one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkloadClass {
    /// The team.
    pub team: TeamIndex,
    /// The class of jobs.
    pub class: ClassIndex,
}

impl WorkloadClass {
    /// The team and the class of a job.
    pub fn of_job(job: &Job) -> Self {
        WorkloadClass {
            team: job.team,
            class: job.class,
        }
    }
}

/// The running and waiting work of one class of one team at the moment, in units.
#[derive(Clone, Copy, Debug, Default)]
struct ClassUsage {
    /// The units of all attempts that are placed or run, and of all waiting tasks.
    demand: f64,
    /// The units of the attempts that run and are not being stopped.
    allocated: f64,
    waiting_tasks: usize,
    /// How long its oldest waiting job has been in this node's cluster state, in milliseconds.
    oldest_wait_ms: Millis,
}

/// The entitlement, allocation and counters of one class of one team. Amounts are in units: GPUs,
/// or CPUs where there are no GPUs.
#[derive(Clone, Debug, Default)]
pub struct FairShareStatus {
    /// The units that it could use now: of its placed and running attempts and its waiting tasks.
    pub demand: f64,
    /// How many of its tasks wait to be placed.
    pub waiting_tasks: usize,
    /// The units that it is entitled to, as a moving average.
    pub entitled: f64,
    /// The units of its running attempts, as a moving average.
    pub allocated: f64,
    /// How long its oldest waiting job has been in this node's cluster state, in milliseconds.
    pub oldest_wait_ms: Millis,
    /// At this moment, not on average, it has at least half of its entitlement.
    currently_served: bool,
    below_share_since: Option<Millis>,
    /// It has had too little for too long, and has not caught up yet.
    pub starved: bool,
    /// Tasks whose start was reported to this leader.
    pub tasks_started: u64,
    /// Tasks whose completion was reported to this leader.
    pub tasks_completed: u64,
    /// Attempts that this leader has preempted.
    pub attempts_preempted: u64,
    /// Jobs that completed under this leader.
    pub jobs_completed: u64,
    /// Completed jobs that met the earliest of their completion objectives.
    pub jobs_on_time: u64,
}

impl FairShareStatus {
    fn update_means(&mut self, entitled: f64, allocated: f64, weight: f64) {
        self.currently_served = allocated >= STARVED_BELOW_FRACTION * entitled;
        self.entitled += (entitled - self.entitled) * weight;
        self.allocated += (allocated - self.allocated) * weight;
    }

    /// Updates whether the class is starved; returns whether that changed.
    fn update_starvation(&mut self, now: Millis) -> bool {
        let was_starved = self.starved;
        if self.waiting_tasks == 0 || self.entitled < MIN_UNITS {
            self.below_share_since = None;
            self.starved = false;
        } else if self.allocated < STARVED_BELOW_FRACTION * self.entitled
            && !self.currently_served
            && self.oldest_wait_ms >= STARVATION_DELAY_MS
        {
            let since = *self.below_share_since.get_or_insert(now);
            self.starved |= since + STARVATION_DELAY_MS <= now;
        } else {
            self.below_share_since = None;
            self.starved &= self.allocated < CAUGHT_UP_FRACTION * self.entitled;
        }
        was_starved != self.starved
    }
}

/// The share status of each class of each team that this leader has seen, and the credit of starved
/// classes.
#[derive(Default)]
pub struct FairShareTracker {
    statuses: BTreeMap<WorkloadClass, FairShareStatus>,
    updated_at: Option<Millis>,
    /// Units that may still be placed for starved classes before others; negative if they got more
    /// than their part.
    credit: f64,
    /// Arrays of this priority fitted on no machine, and until when that counts.
    blocked_arrays: Option<(Priority, Millis)>,
}

impl FairShareTracker {
    /// All classes and their share statuses.
    pub fn statuses(&self) -> impl Iterator<Item = (WorkloadClass, &FairShareStatus)> {
        self.statuses.iter().map(|(class, status)| (*class, status))
    }

    /// The share status of a class, which is created if the class is new.
    pub fn status_mut(&mut self, class: WorkloadClass) -> &mut FairShareStatus {
        self.statuses.entry(class).or_default()
    }

    /// The starved classes, the one that gets the smallest part of its entitlement first.
    pub fn starved_classes(&self) -> Vec<WorkloadClass> {
        let mut starved: Vec<(f64, WorkloadClass)> = self
            .statuses
            .iter()
            .filter(|(_, status)| status.starved)
            .map(|(class, status)| (status.allocated / status.entitled.max(MIN_UNITS), *class))
            .collect();
        starved.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        starved.into_iter().map(|(_, class)| class).collect()
    }

    /// Units that may still be placed for starved classes before others; negative if they got more
    /// than their part.
    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// Adds credit for `units` that were placed for a class that is not starved, up to a total
    /// credit of `max_credit`: of all units placed, starved classes get the fraction
    /// [`STARVED_SHARE_FRACTION`].
    pub fn earn_credit(&mut self, units: f64, max_credit: f64) {
        self.credit = (self.credit
            + units * STARVED_SHARE_FRACTION / (1.0 - STARVED_SHARE_FRACTION))
            .min(max_credit);
    }

    /// Spends credit for `units` that were placed for a starved class.
    pub fn spend_credit(&mut self, units: f64) {
        self.credit -= units;
    }

    /// Records that arrays of this priority fitted on no machine.
    pub fn record_blocked_arrays(&mut self, priority: Priority, now: Millis) {
        self.blocked_arrays = Some((priority, now + BLOCKED_ARRAYS_TTL_MS));
    }

    /// Whether the job's tasks would be preempted at the next preemption check for arrays that
    /// fitted on no machine. When such tasks were started nevertheless, three of four starts were
    /// wasted.
    pub fn would_be_preempted(&self, job: &Job, now: Millis) -> bool {
        let blocked = self.blocked_arrays.filter(|(_, until)| now < *until);
        let waited = now.saturating_sub(job.first_seen_at);
        let is_retry_due = waited >= BLOCKED_RETRY_INTERVAL_MS
            && waited % BLOCKED_RETRY_INTERVAL_MS < BLOCKED_RETRY_WINDOW_MS;
        job.kind == JobKind::Array
            && job.latest_placements_ms.is_empty()
            && !is_retry_due
            && blocked.is_some_and(|(priority, _)| priority < job.priority)
    }
}

/// Splits `total` equally, each part capped; the remainder that a cap leaves is split again.
pub fn split_with_caps(total: f64, caps: &[f64]) -> Vec<f64> {
    let mut parts = vec![0.0; caps.len()];
    let mut order: Vec<usize> = (0..caps.len()).collect();
    order.sort_by(|a, b| caps[*a].total_cmp(&caps[*b]));
    let mut remaining = total.max(0.0);
    for (position, &index) in order.iter().enumerate() {
        let equal_part = remaining / (caps.len() - position) as f64;
        parts[index] = caps[index].min(equal_part).max(0.0);
        remaining -= parts[index];
    }
    parts
}

impl FairShareTracker {
    /// Counts a job whose last task has completed, and whether the job met the earliest of its
    /// completion objectives.
    pub fn record_job_completion(
        &mut self,
        cluster: &ClusterState,
        job_index: JobIndex,
        now: Millis,
    ) {
        let job = cluster.job(job_index);
        let objectives = &cluster.objectives[job.class.as_usize()];
        let objectives_s = objectives
            .completion_objectives_s(job.deadline_s)
            .chain(objectives.finish_s.iter().copied());
        let tightest_s = objectives_s.fold(f64::INFINITY, f64::min);
        let elapsed_s = cluster.wall_ms(now).saturating_sub(job.submitted_ms) as f64 / 1000.0;
        let status = self.status_mut(WorkloadClass::of_job(job));
        status.jobs_completed += 1;
        status.jobs_on_time += u64::from(elapsed_s <= tightest_s);
    }

    /// Updates each class's entitlement, and which classes are starved, at most once a second.
    ///
    /// `capacity` is the units of all schedulable machines, `deserved` each team's deserved share
    /// of them.
    pub fn update(&mut self, cluster: &ClusterState, now: Millis, capacity: f64, deserved: &[f64]) {
        let elapsed_s = match self.updated_at {
            Some(last_update) if last_update + FAIR_SHARE_UPDATE_INTERVAL_MS > now => return,
            Some(last_update) => (now - last_update) as f64 / 1000.0,
            None => FAIR_SHARE_WINDOW_S,
        };
        self.updated_at = Some(now);
        let mut usages = class_usages(cluster, now);
        let entitlements = compute_entitlements(cluster, &usages, capacity, deserved);
        let entitled = |class| entitlements.get(&class).copied().unwrap_or(0.0);
        let weight = 1.0 - (-elapsed_s / FAIR_SHARE_WINDOW_S).exp();
        for (class, status) in &mut self.statuses {
            let usage = usages.remove(class).unwrap_or_default();
            status.demand = usage.demand;
            status.waiting_tasks = usage.waiting_tasks;
            status.oldest_wait_ms = usage.oldest_wait_ms;
            status.update_means(entitled(*class), usage.allocated, weight);
        }
        for (class, usage) in usages {
            let status = FairShareStatus {
                demand: usage.demand,
                waiting_tasks: usage.waiting_tasks,
                oldest_wait_ms: usage.oldest_wait_ms,
                entitled: entitled(class),
                allocated: usage.allocated,
                ..FairShareStatus::default()
            };
            self.statuses.insert(class, status);
        }
        self.update_starvation(cluster, now);
    }

    fn update_starvation(&mut self, cluster: &ClusterState, now: Millis) {
        let mut any_starved = false;
        for (&class, status) in &mut self.statuses {
            let changed = status.update_starvation(now);
            any_starved |= status.starved;
            if changed {
                log_starvation_change(cluster, class, status);
            }
        }
        if !any_starved {
            self.credit = 0.0;
        }
    }
}

fn log_starvation_change(cluster: &ClusterState, class: WorkloadClass, status: &FairShareStatus) {
    let name = cluster
        .class_interner
        .name(class.class.0)
        .unwrap_or_default();
    let team = &cluster.teams[class.team.as_usize()].name;
    let (entitled, allocated) = (status.entitled.round(), status.allocated.round());
    let (waiting_tasks, oldest_wait_ms) = (status.waiting_tasks, status.oldest_wait_ms);
    if status.starved {
        tracing::warn!(
            team,
            class = name,
            entitled,
            allocated,
            waiting_tasks,
            oldest_wait_ms,
            "workload class is starved"
        );
    } else {
        tracing::info!(
            team,
            class = name,
            entitled,
            allocated,
            waiting_tasks,
            "workload class is no longer starved"
        );
    }
}

/// The running and waiting work of each class now.
fn class_usages(cluster: &ClusterState, now: Millis) -> BTreeMap<WorkloadClass, ClassUsage> {
    let mut usages: BTreeMap<WorkloadClass, ClassUsage> = BTreeMap::new();
    for attempt in cluster
        .machines
        .iter()
        .flat_map(|machine| &machine.attempts)
    {
        let job = cluster.job(attempt.job);
        if attempt.phase == Phase::Ended || job.closed {
            continue;
        }
        let units = cluster.accounted_units(&job.requested);
        let usage = usages.entry(WorkloadClass::of_job(job)).or_default();
        usage.demand += units;
        let is_running = matches!(attempt.phase, Phase::Running | Phase::Saving);
        if is_running && attempt.stop_grace_s.is_none() {
            usage.allocated += units;
        }
    }
    for &(.., job_index) in cluster.teams.iter().flat_map(|team| &team.queue) {
        let job = cluster.job(job_index);
        // A gang waits for capacity for all its tasks together, and a quarantined job for its user
        // to act.
        if job.kind == JobKind::Gang || job.quarantined {
            continue;
        }
        let placeable = job.placeable_task_count();
        let usage = usages.entry(WorkloadClass::of_job(job)).or_default();
        usage.demand += cluster.accounted_units(&job.requested) * placeable as f64;
        usage.waiting_tasks += placeable;
        usage.oldest_wait_ms = usage
            .oldest_wait_ms
            .max(now.saturating_sub(job.first_seen_at));
    }
    usages
}

/// Computes the current entitlement of each class: an equal split of its team's share, capped by the
/// class's demand. A team's share is its deserved share; where guarantees exceed the capacity, the
/// shares of all teams are reduced in the same proportion. No share is below a minimum:
/// [`STARVED_SHARE_FRACTION`] of the capacity, divided by the number of teams whose reduced share is
/// below both that fraction and their demand.
fn compute_entitlements(
    cluster: &ClusterState,
    usages: &BTreeMap<WorkloadClass, ClassUsage>,
    capacity: f64,
    deserved: &[f64],
) -> BTreeMap<WorkloadClass, f64> {
    let total_deserved: f64 = deserved.iter().sum();
    let scale = (capacity / total_deserved.max(MIN_UNITS)).min(1.0);
    let mut demands = vec![0.0; cluster.teams.len()];
    for (class, usage) in usages {
        demands[class.team.as_usize()] += usage.demand;
    }
    let underserved_teams = deserved.iter().zip(&demands).filter(|(deserved, demand)| {
        **deserved * scale + MIN_UNITS < demand.min(STARVED_SHARE_FRACTION * capacity)
    });
    let min_share = STARVED_SHARE_FRACTION * capacity / underserved_teams.count().max(1) as f64;
    let mut entitlements = BTreeMap::new();
    for (team, deserved) in deserved.iter().enumerate() {
        let classes: Vec<_> = usages
            .iter()
            .filter(|(class, _)| class.team.as_usize() == team)
            .collect();
        let caps: Vec<f64> = classes.iter().map(|(_, usage)| usage.demand).collect();
        let limit = cluster.accounted_units(&cluster.teams[team].limit);
        let share = (deserved * scale).max(min_share).min(limit);
        let class_shares = split_with_caps(share, &caps);
        entitlements.extend(classes.iter().map(|(class, _)| **class).zip(class_shares));
    }
    entitlements
}

/// The jobs of a class that may be placed now, in the order of their team's queue.
pub fn placeable_jobs_of(
    cluster: &ClusterState,
    class: WorkloadClass,
    now: Millis,
) -> impl Iterator<Item = QueueKey> {
    let team = &cluster.teams[class.team.as_usize()];
    let queue = team.queue.iter().copied();
    queue.filter(move |&(.., job_index)| {
        let job = cluster.job(job_index);
        job.class == class.class
            && job.kind != JobKind::Gang
            && !job.quarantined
            && job.backoff_until <= now
            && team.allows(&job.requested)
    })
}

#[cfg(test)]
mod tests;
