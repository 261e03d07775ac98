//! What each class of each team is entitled to, what it got, and which classes are starved.
//!
//! The heap divides room among teams, and priorities decide within them and about preemption. Neither
//! looks at a class over time: small tasks of a team without a guarantee were started and preempted
//! again for urgent arrays, each second, for as long as those came, and none of them completed. So once
//! a second each class of each team is given its entitlement, and a class whose running work stays
//! below half of it for a while is *starved*: until it has caught up, a part of the room that becomes
//! free goes to its tasks first, and what was started so is not preempted for an array. Nothing else
//! is changed by it, and nobody is preempted for it.

use std::collections::BTreeMap;

use crate::{
    cluster::{ClassIndex, ClusterState, Job, JobIndex, Phase, QueueKey, TeamIndex},
    protocol::job::{JobKind, Priority},
    time::Millis,
};

/// The fraction of the room that becomes free which goes to starved classes, and of the fleet to which
/// teams are entitled that the guarantees of others leave nothing.
pub const STARVED_SHARE_FRACTION: f64 = 0.125;
/// How often entitlements are computed.
const FAIR_SHARE_UPDATE_INTERVAL_MS: Millis = 1000;
/// The time constant of the means of what classes are entitled to and got, in seconds.
const FAIR_SHARE_WINDOW_S: f64 = 20.0;
/// A class that gets less than this fraction of its entitlement is starved,
const STARVED_BELOW_FRACTION: f64 = 0.5;
/// if it does so for this long,
const STARVATION_DELAY_MS: Millis = 5000;
/// until it gets this fraction.
const CAUGHT_UP_FRACTION: f64 = 1.0;
/// How long arrays that found no room are taken to need it still.
const BLOCKED_ARRAYS_TTL_MS: Millis = 1500;
/// How often a job that would be preempted is tried all the same: the arrays that wait may have no use
/// for the room that there is, and a start in vain now and then costs little.
const BLOCKED_RETRY_INTERVAL_MS: Millis = 40_000;
/// For how long it is tried each time.
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
    /// The class of a job's team to which it belongs.
    pub fn of_job(job: &Job) -> Self {
        WorkloadClass {
            team: job.team,
            class: job.class,
        }
    }
}

/// What one class of one team runs and waits for at the moment, in units.
#[derive(Clone, Copy, Debug, Default)]
struct ClassUsage {
    /// The units of all that runs, is placed or waits.
    demand: f64,
    /// The units of the attempts that run and are not being stopped.
    allocated: f64,
    waiting_tasks: usize,
    /// How long its oldest waiting job has been known here, in milliseconds.
    oldest_wait_ms: Millis,
}

/// How a class of a team is served. Amounts are in units: GPUs, or processors where there are no GPUs.
#[derive(Clone, Debug, Default)]
pub struct ShareStatus {
    /// What it could use now: what it runs, and what waits.
    pub demand: f64,
    /// How many tasks wait.
    pub waiting_tasks: usize,
    /// What it is entitled to, as a mean over time.
    pub entitled: f64,
    /// What runs of it, as a mean over time.
    pub allocated: f64,
    /// How long its oldest waiting job has been known here, in milliseconds.
    pub oldest_wait_ms: Millis,
    /// It has half of its entitlement at this moment.
    currently_served: bool,
    below_share_since: Option<Millis>,
    /// It has got too little for too long, and not caught up yet.
    pub starved: bool,
    /// Tasks that this leader has seen start.
    pub tasks_started: u64,
    /// Tasks that this leader has seen complete.
    pub tasks_completed: u64,
    /// Attempts that this leader has preempted.
    pub attempts_preempted: u64,
    /// Jobs that this leader has seen complete.
    pub jobs_completed: u64,
    /// Those of them that met the earliest of their completion objectives.
    pub jobs_on_time: u64,
}

impl ShareStatus {
    fn update_means(&mut self, entitled: f64, allocated: f64, weight: f64) {
        self.currently_served = allocated >= STARVED_BELOW_FRACTION * entitled;
        self.entitled += (entitled - self.entitled) * weight;
        self.allocated += (allocated - self.allocated) * weight;
    }

    /// Determines whether it is starved; returns whether that changed.
    fn update_starvation(&mut self, now: Millis) -> bool {
        let before = self.starved;
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
        before != self.starved
    }
}

/// All classes of all teams that this leader has seen.
#[derive(Default)]
pub struct FairShareLedger {
    statuses: BTreeMap<WorkloadClass, ShareStatus>,
    updated_at: Option<Millis>,
    /// Units that starved classes may be given before others; below 0 they have had more.
    credit: f64,
    /// Arrays of this priority found no room, and until when that counts.
    blocked_arrays: Option<(Priority, Millis)>,
}

impl FairShareLedger {
    /// All classes, and how they are served.
    pub fn statuses(&self) -> impl Iterator<Item = (WorkloadClass, &ShareStatus)> {
        self.statuses.iter().map(|(class, status)| (*class, status))
    }

    /// How a class is served.
    pub fn status_mut(&mut self, class: WorkloadClass) -> &mut ShareStatus {
        self.statuses.entry(class).or_default()
    }

    /// The starved classes, the one that got the least part of its entitlement first.
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

    /// Units that starved classes may be given before others.
    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// A class that is not starved got `units`: those that are earn a part of as much, up to `most`.
    pub fn earn_credit(&mut self, units: f64, most: f64) {
        self.credit = (self.credit
            + units * STARVED_SHARE_FRACTION / (1.0 - STARVED_SHARE_FRACTION))
            .min(most);
    }

    /// A starved class got `units`.
    pub fn spend_credit(&mut self, units: f64) {
        self.credit -= units;
    }

    /// Arrays of this priority found no room.
    pub fn note_blocked_arrays(&mut self, priority: Priority, now: Millis) {
        self.blocked_arrays = Some((priority, now + BLOCKED_ARRAYS_TTL_MS));
    }

    /// Whether the job's tasks would be preempted at the next check for arrays that wait. Started all the
    /// same, three of four starts were in vain.
    pub fn would_be_preempted(&self, job: &Job, now: Millis) -> bool {
        let blocked = self.blocked_arrays.filter(|(_, until)| now < *until);
        let waited = now.saturating_sub(job.first_seen_at);
        let retried = waited >= BLOCKED_RETRY_INTERVAL_MS
            && waited % BLOCKED_RETRY_INTERVAL_MS < BLOCKED_RETRY_WINDOW_MS;
        job.kind == JobKind::Array
            && job.latest_placements_ms.is_empty()
            && !retried
            && blocked.is_some_and(|(priority, _)| priority < job.priority)
    }
}

/// Splits `whole` equally, each part capped; what a cap leaves is split again.
pub fn split_with_caps(whole: f64, caps: &[f64]) -> Vec<f64> {
    let mut parts = vec![0.0; caps.len()];
    let mut order: Vec<usize> = (0..caps.len()).collect();
    order.sort_by(|a, b| caps[*a].total_cmp(&caps[*b]));
    let mut rest = whole.max(0.0);
    for (at, &index) in order.iter().enumerate() {
        let equal = rest / (caps.len() - at) as f64;
        parts[index] = caps[index].min(equal).max(0.0);
        rest -= parts[index];
    }
    parts
}

impl FairShareLedger {
    /// Counts a job whose last task has completed, and whether it met the earliest of the times
    /// that are set for its end.
    pub fn record_job_completion(&mut self, cluster: &ClusterState, index: JobIndex, now: Millis) {
        let job = cluster.job(index);
        let objectives = &cluster.objectives[job.class.as_usize()];
        let limits_s = objectives
            .completion_objectives_s(job.deadline_s)
            .chain(objectives.finish_s.iter().copied());
        let limit_s = limits_s.fold(f64::INFINITY, f64::min);
        let took_s = cluster.wall_ms(now).saturating_sub(job.submitted_ms) as f64 / 1000.0;
        let status = self.status_mut(WorkloadClass::of_job(job));
        status.jobs_completed += 1;
        status.jobs_on_time += u64::from(took_s <= limit_s);
    }

    /// Computes each class's entitlement, once a second, and who is starved.
    ///
    /// `capacity` is the units of all schedulable machines, `deserved` each team's deserved share
    /// of them.
    pub fn update(&mut self, cluster: &ClusterState, now: Millis, capacity: f64, deserved: &[f64]) {
        let elapsed_s = match self.updated_at {
            Some(at) if at + FAIR_SHARE_UPDATE_INTERVAL_MS > now => return,
            Some(at) => (now - at) as f64 / 1000.0,
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
            let status = ShareStatus {
                demand: usage.demand,
                waiting_tasks: usage.waiting_tasks,
                oldest_wait_ms: usage.oldest_wait_ms,
                entitled: entitled(class),
                allocated: usage.allocated,
                ..ShareStatus::default()
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

fn log_starvation_change(cluster: &ClusterState, class: WorkloadClass, status: &ShareStatus) {
    let name = cluster
        .class_interner
        .name(class.class.0)
        .unwrap_or_default();
    let team = &cluster.teams[class.team.as_usize()].name;
    let (due, got) = (status.entitled.round(), status.allocated.round());
    let (waiting, oldest_ms) = (status.waiting_tasks, status.oldest_wait_ms);
    if status.starved {
        tracing::warn!(
            team,
            class = name,
            due,
            got,
            waiting,
            oldest_ms,
            "is behind its due"
        );
    } else {
        tracing::info!(team, class = name, due, got, waiting, "has caught up");
    }
}

/// What each class runs and waits for now.
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
        let runs = matches!(attempt.phase, Phase::Running | Phase::Saving);
        if runs && attempt.stop_grace_s.is_none() {
            usage.allocated += units;
        }
    }
    for &(.., index) in cluster.teams.iter().flat_map(|team| &team.queue) {
        let job = cluster.job(index);
        // A gang waits for room for all of it at once, and a quarantined job for its user.
        if job.kind == JobKind::Gang || job.quarantined {
            continue;
        }
        let placeable = job.placeable_tasks();
        let usage = usages.entry(WorkloadClass::of_job(job)).or_default();
        usage.demand += cluster.accounted_units(&job.requested) * placeable as f64;
        usage.waiting_tasks += placeable;
        usage.oldest_wait_ms = usage
            .oldest_wait_ms
            .max(now.saturating_sub(job.first_seen_at));
    }
    usages
}

/// What each class is entitled to now: an equal split of what its team deserves, capped by its
/// demand. Where guarantees exceed the capacity, all get less in the same proportion, and a team
/// that they leave nothing still gets a part.
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
    let needy_teams = deserved.iter().zip(&demands).filter(|(deserved, demand)| {
        **deserved * scale + MIN_UNITS < demand.min(STARVED_SHARE_FRACTION * capacity)
    });
    let least = STARVED_SHARE_FRACTION * capacity / needy_teams.count().max(1) as f64;
    let mut entitlements = BTreeMap::new();
    for (team, deserved) in deserved.iter().enumerate() {
        let classes: Vec<_> = usages
            .iter()
            .filter(|(class, _)| class.team.as_usize() == team)
            .collect();
        let caps: Vec<f64> = classes.iter().map(|(_, usage)| usage.demand).collect();
        let limit = cluster.accounted_units(&cluster.teams[team].limit);
        let share = (deserved * scale).max(least).min(limit);
        let parts = split_with_caps(share, &caps);
        entitlements.extend(classes.iter().map(|(class, _)| **class).zip(parts));
    }
    entitlements
}

/// The first jobs of a class that may be placed now, in their team's order.
pub fn placeable_jobs_of(
    cluster: &ClusterState,
    class: WorkloadClass,
    now: Millis,
) -> impl Iterator<Item = QueueKey> {
    let team = &cluster.teams[class.team.as_usize()];
    let queue = team.queue.iter().copied();
    queue.filter(move |&(.., index)| {
        let job = cluster.job(index);
        job.class == class.class
            && job.kind != JobKind::Gang
            && !job.quarantined
            && job.backoff_until <= now
            && team.allows(&job.requested)
    })
}

#[cfg(test)]
mod tests;
