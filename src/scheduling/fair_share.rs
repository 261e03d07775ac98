//! What each class of each team is due of the fleet, what it got, and who has to catch up.
//!
//! The heap shares room among teams, and priorities decide within them and who has to give way. Neither looks
//! at a class over time: small tasks of a team without a guarantee were started and stopped again for urgent
//! arrays, each second, for as long as those came, and none of them ended. So once a second each class of each
//! team is given its due, and whose running work stays below half of it for a while is *behind*: until it has
//! caught up, a part of the room that becomes free goes to its tasks first, and what was started so is not
//! stopped for an array. Nothing else is changed by it, and nobody is stopped for it.

use std::collections::BTreeMap;

use crate::{
    cluster::{ClassIndex, ClusterState, Job, JobIndex, Phase, QueueKey, TeamIndex},
    protocol::job::{JobKind, Priority},
    time::Millis,
};

/// The part of the room that becomes free which goes to those that are behind, and of the fleet that is due to
/// teams that the guarantees of others leave nothing.
pub const STARVED_SHARE_FRACTION: f64 = 0.125;
/// How often dues are looked at.
const FAIR_SHARE_UPDATE_INTERVAL_MS: Millis = 1000;
/// FairShareLedger and what was got are means that forget over this time, in seconds.
const FAIR_SHARE_WINDOW_S: f64 = 20.0;
/// Who gets less than this part of its due for so long is behind, and has caught up at that part.
const STARVED_BELOW_FRACTION: f64 = 0.5;
const STARVATION_DELAY_MS: Millis = 5000;
const CAUGHT_UP_FRACTION: f64 = 1.0;
/// How long arrays that found no room are taken to want it still.
const BLOCKED_ARRAYS_TTL_MS: Millis = 1500;
/// Who is held to be in the way is tried all the same this often, for that long: the arrays that wait may have no use
/// for the room that there is, and a start for nothing now and then costs little.
const BLOCKED_RETRY_INTERVAL_MS: Millis = 40_000;
const BLOCKED_RETRY_WINDOW_MS: Millis = 2000;
/// Fewer units than this are nobody's due.
const MIN_UNITS: f64 = 1e-6;

/// One class of one team.
pub type WorkloadClass = (TeamIndex, ClassIndex);

/// How a class of a team stands. Resources are units: GPUs, or CPUs where there are none.
#[derive(Clone, Debug, Default)]
pub struct ShareStatus {
    /// What it could use now: what it runs, and what waits.
    pub demand: f64,
    /// TaskModel that wait.
    pub waiting_tasks: usize,
    /// Its due and what runs of it, as means over some time.
    pub entitled: f64,
    pub allocated: f64,
    /// How long its oldest waiting job has been known here, in milliseconds.
    pub oldest_wait_ms: Millis,
    /// It has half of its due at this moment.
    currently_served: bool,
    below_share_since: Option<Millis>,
    pub starved: bool,
    /// What this leader has seen: tasks that ran, that completed, and attempts that were stopped for others.
    pub tasks_started: u64,
    pub tasks_completed: u64,
    pub attempts_preempted: u64,
    /// Arrays that were completed, and those of them by the first time that is aimed at for their end.
    pub jobs_completed: u64,
    pub jobs_on_time: u64,
}

impl ShareStatus {
    fn update_means(&mut self, due: f64, got: f64, part: f64) {
        self.currently_served = got >= STARVED_BELOW_FRACTION * due;
        self.entitled += (due - self.entitled) * part;
        self.allocated += (got - self.allocated) * part;
    }

    /// Notices that it falls behind or has caught up; whether that changed.
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
    /// Units that those behind may be given before others; below 0 they have had more.
    credit: f64,
    /// Arrays of this priority found no room, and until when that counts.
    blocked_arrays: Option<(Priority, Millis)>,
}

impl FairShareLedger {
    pub fn statuses(&self) -> impl Iterator<Item = (WorkloadClass, &ShareStatus)> {
        self.statuses
            .iter()
            .map(|(flow, standing)| (*flow, standing))
    }

    pub fn status_mut(&mut self, flow: WorkloadClass) -> &mut ShareStatus {
        self.statuses.entry(flow).or_default()
    }

    /// Those behind, who got the least part of its due first.
    pub fn starved_classes(&self) -> Vec<WorkloadClass> {
        let mut behind: Vec<(f64, WorkloadClass)> = self
            .statuses
            .iter()
            .filter(|(_, standing)| standing.starved)
            .map(|(flow, standing)| (standing.allocated / standing.entitled.max(MIN_UNITS), *flow))
            .collect();
        behind.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        behind.into_iter().map(|(_, flow)| flow).collect()
    }

    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// Somebody who is not behind got `units`: a part of as much is due to those who are.
    pub fn earn_credit(&mut self, units: f64, most: f64) {
        self.credit = (self.credit
            + units * STARVED_SHARE_FRACTION / (1.0 - STARVED_SHARE_FRACTION))
            .min(most);
    }

    pub fn spend_credit(&mut self, units: f64) {
        self.credit -= units;
    }

    /// Arrays of this priority found no room.
    pub fn note_blocked_arrays(&mut self, priority: Priority, now: Millis) {
        self.blocked_arrays = Some((priority, now + BLOCKED_ARRAYS_TTL_MS));
    }

    /// Whether the job's tasks would be stopped at the next check for the sake of arrays that wait. Started all
    /// the same, three of four starts were for nothing.
    pub fn would_be_preempted(&self, job: &Job, now: Millis) -> bool {
        let pressed = self.blocked_arrays.filter(|(_, until)| now < *until);
        let waited = now.saturating_sub(job.first_seen_at);
        let tried = waited >= BLOCKED_RETRY_INTERVAL_MS
            && waited % BLOCKED_RETRY_INTERVAL_MS < BLOCKED_RETRY_WINDOW_MS;
        job.kind == JobKind::Array
            && job.latest_placements_ms.is_empty()
            && !tried
            && pressed.is_some_and(|(priority, _)| priority < job.priority)
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

impl ClusterState {
    pub fn workload_class(&self, job: JobIndex) -> WorkloadClass {
        let job = self.job(job);
        (job.team, job.class)
    }

    /// The last task of an array has completed.
    pub fn record_job_completion(&mut self, index: JobIndex, now: Millis) {
        let job = self.job(index);
        let aims = &self.objectives[job.class.as_usize()];
        let due = aims
            .completion_objectives_s(job.deadline_s)
            .chain(aims.finish_s.iter().copied());
        let due_s = due.fold(f64::INFINITY, f64::min);
        let took_s = self.wall_ms(now).saturating_sub(job.submitted_ms) as f64 / 1000.0;
        let flow = self.workload_class(index);
        let standing = self.fair_share.status_mut(flow);
        standing.jobs_completed += 1;
        standing.jobs_on_time += u64::from(took_s <= due_s);
    }

    /// Gives each class its due, once a second. `capacity` is what the usable machines hold, and `deserved` what
    /// each team deserves of it.
    pub fn update_fair_shares(&mut self, now: Millis, capacity: f64, deserved: &[f64]) {
        let passed = match self.fair_share.updated_at {
            Some(at) if at + FAIR_SHARE_UPDATE_INTERVAL_MS > now => return,
            Some(at) => (now - at) as f64 / 1000.0,
            None => FAIR_SHARE_WINDOW_S,
        };
        self.fair_share.updated_at = Some(now);
        let mut seen: BTreeMap<WorkloadClass, (f64, f64, usize, Millis)> = BTreeMap::new();
        for attempt in self.machines.iter().flat_map(|machine| &machine.attempts) {
            if attempt.phase == Phase::Ended || self.job(attempt.job).closed {
                continue;
            }
            let units = self.accounted_units(&self.job(attempt.job).requested);
            let (demand, got, ..) = seen.entry(self.workload_class(attempt.job)).or_default();
            *demand += units;
            let runs = matches!(attempt.phase, Phase::Running | Phase::Saving);
            *got += if runs && attempt.stop_grace_s.is_none() {
                units
            } else {
                0.0
            };
        }
        for &(.., index) in self.teams.iter().flat_map(|team| &team.queue) {
            let job = self.job(index);
            // A gang waits for room for all of it at once, and a job that fails everywhere for its user.
            if job.kind == JobKind::Gang || job.quarantined {
                continue;
            }
            let slots = job.placeable_tasks();
            let (demand, _, waiting, oldest) = seen.entry(self.workload_class(index)).or_default();
            *demand += self.accounted_units(&job.requested) * slots as f64;
            *waiting += slots;
            *oldest = (*oldest).max(now.saturating_sub(job.first_seen_at));
        }
        let dues = self.compute_entitlements(&seen, capacity, deserved);
        let part = 1.0 - (-passed / FAIR_SHARE_WINDOW_S).exp();
        for (flow, standing) in &mut self.fair_share.statuses {
            let (demand, got, waiting, oldest) = seen.remove(flow).unwrap_or_default();
            standing.demand = demand;
            standing.waiting_tasks = waiting;
            standing.oldest_wait_ms = oldest;
            standing.update_means(dues.get(flow).copied().unwrap_or(0.0), got, part);
        }
        for (flow, (demand, got, waiting, oldest)) in seen {
            let standing = ShareStatus {
                demand,
                waiting_tasks: waiting,
                oldest_wait_ms: oldest,
                entitled: dues.get(&flow).copied().unwrap_or(0.0),
                allocated: got,
                ..ShareStatus::default()
            };
            self.fair_share.statuses.insert(flow, standing);
        }
        self.update_starvation(now);
    }

    /// What each class is due now: an equal split of what its team deserves, capped by its demand. Where
    /// guarantees take more than there is, all get less in the same proportion, and a team that they leave
    /// nothing still has a part.
    fn compute_entitlements(
        &self,
        seen: &BTreeMap<WorkloadClass, (f64, f64, usize, Millis)>,
        capacity: f64,
        deserved: &[f64],
    ) -> BTreeMap<WorkloadClass, f64> {
        let whole: f64 = deserved.iter().sum();
        let scale = (capacity / whole.max(MIN_UNITS)).min(1.0);
        let mut demands = vec![0.0; self.teams.len()];
        for ((team, _), (demand, ..)) in seen {
            demands[team.as_usize()] += demand;
        }
        let needy = deserved.iter().zip(&demands).filter(|(deserved, demand)| {
            **deserved * scale + MIN_UNITS < demand.min(STARVED_SHARE_FRACTION * capacity)
        });
        let least = STARVED_SHARE_FRACTION * capacity / needy.count().max(1) as f64;
        let mut dues = BTreeMap::new();
        for (team, deserved) in deserved.iter().enumerate() {
            let flows: Vec<_> = seen
                .iter()
                .filter(|((of, _), _)| of.as_usize() == team)
                .collect();
            let caps: Vec<f64> = flows.iter().map(|(_, (demand, ..))| *demand).collect();
            let limit = self.accounted_units(&self.teams[team].limit);
            let share = (deserved * scale).max(least).min(limit);
            let parts = split_with_caps(share, &caps);
            dues.extend(flows.iter().map(|(flow, _)| **flow).zip(parts));
        }
        dues
    }

    fn update_starvation(&mut self, now: Millis) {
        let mut any = false;
        for (&(team, class), standing) in &mut self.fair_share.statuses {
            let changed = standing.update_starvation(now);
            any |= standing.starved;
            if changed {
                let name = self.class_interner.name(class.0).unwrap_or_default();
                let team = &self.teams[team.as_usize()].name;
                let (due, got) = (standing.entitled.round(), standing.allocated.round());
                let (waiting, oldest_ms) = (standing.waiting_tasks, standing.oldest_wait_ms);
                if standing.starved {
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
        }
        if !any {
            self.fair_share.credit = 0.0;
        }
    }

    /// The first jobs of a class that may be given a place now, in their team's order.
    pub fn placeable_jobs_of(
        &self,
        (team, class): WorkloadClass,
        now: Millis,
    ) -> impl Iterator<Item = QueueKey> {
        let queue = self.teams[team.as_usize()].queue.iter().copied();
        queue.filter(move |&(.., index)| {
            let job = self.job(index);
            job.class == class
                && job.kind != JobKind::Gang
                && !job.quarantined
                && job.backoff_until <= now
                && self.teams[team.as_usize()].allows(&job.requested)
        })
    }
}

#[cfg(test)]
mod tests;
