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
    cluster::{Books, ClassIx, Job, JobIx, Phase, QueueKey, TeamIx},
    protocol::job::{Kind, Priority},
    time::Millis,
};

/// The part of the room that becomes free which goes to those that are behind, and of the fleet that is due to
/// teams that the guarantees of others leave nothing.
pub const PART: f64 = 0.125;
/// How often dues are looked at.
const LOOK: Millis = 1000;
/// Dues and what was got are means that forget over this time, in seconds.
const WINDOW_S: f64 = 20.0;
/// Who gets less than this part of its due for so long is behind, and has caught up at that part.
const BEHIND: f64 = 0.5;
const SHORT: Millis = 5000;
const CAUGHT_UP: f64 = 1.0;
/// How long arrays that found no room are taken to want it still.
const PRESSED: Millis = 1500;
/// Who is held to be in the way is tried all the same this often, for that long: the arrays that wait may have no use
/// for the room that there is, and a start for nothing now and then costs little.
const TRIED: Millis = 40_000;
const TRIAL: Millis = 2000;
/// Fewer units than this are nobody's due.
const LEAST: f64 = 1e-6;

/// One class of one team.
pub type Flow = (TeamIx, ClassIx);

/// How a class of a team stands. Amounts are units: GPUs, or CPUs where there are none.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// What it could use now: what it runs, and what waits.
    pub demand: f64,
    /// Tasks that wait.
    pub waiting: usize,
    /// Its due and what runs of it, as means over some time.
    pub due: f64,
    pub got: f64,
    /// How long its oldest waiting job has been known here, in milliseconds.
    pub oldest: Millis,
    /// It has half of its due at this moment.
    served: bool,
    short_since: Option<Millis>,
    pub behind: bool,
    /// What this leader has seen: tasks that ran, that completed, and attempts that were stopped for others.
    pub started: u64,
    pub done: u64,
    pub gave_way: u64,
    /// Arrays that were completed, and those of them by the first time that is aimed at for their end.
    pub jobs_done: u64,
    pub jobs_in_time: u64,
}

impl Standing {
    fn follow(&mut self, due: f64, got: f64, part: f64) {
        self.served = got >= BEHIND * due;
        self.due += (due - self.due) * part;
        self.got += (got - self.got) * part;
    }

    /// Notices that it falls behind or has caught up; whether that changed.
    fn judge(&mut self, now: Millis) -> bool {
        let before = self.behind;
        if self.waiting == 0 || self.due < LEAST {
            self.short_since = None;
            self.behind = false;
        } else if self.got < BEHIND * self.due && !self.served && self.oldest >= SHORT {
            let since = *self.short_since.get_or_insert(now);
            self.behind |= since + SHORT <= now;
        } else {
            self.short_since = None;
            self.behind &= self.got < CAUGHT_UP * self.due;
        }
        before != self.behind
    }
}

/// All classes of all teams that this leader has seen.
#[derive(Default)]
pub struct Dues {
    flows: BTreeMap<Flow, Standing>,
    looked_at: Option<Millis>,
    /// Units that those behind may be given before others; below 0 they have had more.
    credit: f64,
    /// Arrays of this priority found no room, and until when that counts.
    pressed: Option<(Priority, Millis)>,
}

impl Dues {
    pub fn standings(&self) -> impl Iterator<Item = (Flow, &Standing)> {
        self.flows.iter().map(|(flow, standing)| (*flow, standing))
    }

    pub fn standing(&mut self, flow: Flow) -> &mut Standing {
        self.flows.entry(flow).or_default()
    }

    /// Those behind, who got the least part of its due first.
    pub fn behind(&self) -> Vec<Flow> {
        let mut behind: Vec<(f64, Flow)> = self
            .flows
            .iter()
            .filter(|(_, standing)| standing.behind)
            .map(|(flow, standing)| (standing.got / standing.due.max(LEAST), *flow))
            .collect();
        behind.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        behind.into_iter().map(|(_, flow)| flow).collect()
    }

    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// Somebody who is not behind got `units`: a part of as much is due to those who are.
    pub fn earn(&mut self, units: f64, most: f64) {
        self.credit = (self.credit + units * PART / (1.0 - PART)).min(most);
    }

    pub fn spend(&mut self, units: f64) {
        self.credit -= units;
    }

    /// Arrays of this priority found no room.
    pub fn press(&mut self, priority: Priority, now: Millis) {
        self.pressed = Some((priority, now + PRESSED));
    }

    /// Whether the job's tasks would be stopped at the next check for the sake of arrays that wait. Started all
    /// the same, three of four starts were for nothing.
    pub fn in_the_way(&self, job: &Job, now: Millis) -> bool {
        let pressed = self.pressed.filter(|(_, until)| now < *until);
        let waited = now.saturating_sub(job.seen_at);
        let tried = waited >= TRIED && waited % TRIED < TRIAL;
        job.kind == Kind::Array
            && job.latest.is_empty()
            && !tried
            && pressed.is_some_and(|(priority, _)| priority < job.priority)
    }
}

/// Splits `whole` equally, each part capped; what a cap leaves is split again.
pub fn split(whole: f64, caps: &[f64]) -> Vec<f64> {
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

impl Books {
    pub fn flow(&self, job: JobIx) -> Flow {
        let job = self.job(job);
        (job.team, job.class)
    }

    /// The last task of an array has completed.
    pub fn job_completed(&mut self, index: JobIx, now: Millis) {
        let job = self.job(index);
        let aims = &self.aims[job.class.at()];
        let due = aims
            .due_s(job.deadline_s)
            .chain(aims.finish_s.iter().copied());
        let due_s = due.fold(f64::INFINITY, f64::min);
        let took_s = self.wall_ms(now).saturating_sub(job.submitted_ms) as f64 / 1000.0;
        let flow = self.flow(index);
        let standing = self.dues.standing(flow);
        standing.jobs_done += 1;
        standing.jobs_in_time += u64::from(took_s <= due_s);
    }

    /// Gives each class its due, once a second. `capacity` is what the usable machines hold, and `deserved` what
    /// each team deserves of it.
    pub fn look_at_dues(&mut self, now: Millis, capacity: f64, deserved: &[f64]) {
        let passed = match self.dues.looked_at {
            Some(at) if at + LOOK > now => return,
            Some(at) => (now - at) as f64 / 1000.0,
            None => WINDOW_S,
        };
        self.dues.looked_at = Some(now);
        let mut seen: BTreeMap<Flow, (f64, f64, usize, Millis)> = BTreeMap::new();
        for attempt in self.machines.iter().flat_map(|machine| &machine.attempts) {
            if attempt.phase == Phase::Ended || self.job(attempt.job).closed {
                continue;
            }
            let units = self.units(&self.job(attempt.job).need);
            let (demand, got, ..) = seen.entry(self.flow(attempt.job)).or_default();
            *demand += units;
            let runs = matches!(attempt.phase, Phase::Running | Phase::Saving);
            *got += if runs && attempt.stop.is_none() {
                units
            } else {
                0.0
            };
        }
        for &(.., index) in self.teams.iter().flat_map(|team| &team.queue) {
            let job = self.job(index);
            // A gang waits for room for all of it at once, and a job that fails everywhere for its user.
            if job.kind == Kind::Gang || job.at_fault {
                continue;
            }
            let slots = job.open_slots();
            let (demand, _, waiting, oldest) = seen.entry(self.flow(index)).or_default();
            *demand += self.units(&job.need) * slots as f64;
            *waiting += slots;
            *oldest = (*oldest).max(now.saturating_sub(job.seen_at));
        }
        let dues = self.dues_of(&seen, capacity, deserved);
        let part = 1.0 - (-passed / WINDOW_S).exp();
        for (flow, standing) in &mut self.dues.flows {
            let (demand, got, waiting, oldest) = seen.remove(flow).unwrap_or_default();
            standing.demand = demand;
            standing.waiting = waiting;
            standing.oldest = oldest;
            standing.follow(dues.get(flow).copied().unwrap_or(0.0), got, part);
        }
        for (flow, (demand, got, waiting, oldest)) in seen {
            let standing = Standing {
                demand,
                waiting,
                oldest,
                due: dues.get(&flow).copied().unwrap_or(0.0),
                got,
                ..Standing::default()
            };
            self.dues.flows.insert(flow, standing);
        }
        self.judge_dues(now);
    }

    /// What each class is due now: an equal split of what its team deserves, capped by its demand. Where
    /// guarantees take more than there is, all get less in the same proportion, and a team that they leave
    /// nothing still has a part.
    fn dues_of(
        &self,
        seen: &BTreeMap<Flow, (f64, f64, usize, Millis)>,
        capacity: f64,
        deserved: &[f64],
    ) -> BTreeMap<Flow, f64> {
        let whole: f64 = deserved.iter().sum();
        let scale = (capacity / whole.max(LEAST)).min(1.0);
        let mut demands = vec![0.0; self.teams.len()];
        for ((team, _), (demand, ..)) in seen {
            demands[team.at()] += demand;
        }
        let needy = deserved
            .iter()
            .zip(&demands)
            .filter(|(deserved, demand)| **deserved * scale + LEAST < demand.min(PART * capacity));
        let least = PART * capacity / needy.count().max(1) as f64;
        let mut dues = BTreeMap::new();
        for (team, deserved) in deserved.iter().enumerate() {
            let flows: Vec<_> = seen.iter().filter(|((of, _), _)| of.at() == team).collect();
            let caps: Vec<f64> = flows.iter().map(|(_, (demand, ..))| *demand).collect();
            let limit = self.units(&self.teams[team].limit);
            let share = (deserved * scale).max(least).min(limit);
            let parts = split(share, &caps);
            dues.extend(flows.iter().map(|(flow, _)| **flow).zip(parts));
        }
        dues
    }

    fn judge_dues(&mut self, now: Millis) {
        let mut any = false;
        for (&(team, class), standing) in &mut self.dues.flows {
            let changed = standing.judge(now);
            any |= standing.behind;
            if changed {
                let name = self.classes.name(class.0).unwrap_or_default();
                let team = &self.teams[team.at()].name;
                let (due, got) = (standing.due.round(), standing.got.round());
                let (waiting, oldest_ms) = (standing.waiting, standing.oldest);
                if standing.behind {
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
            self.dues.credit = 0.0;
        }
    }

    /// The first jobs of a class that may be given a place now, in their team's order.
    pub fn first_of(&self, (team, class): Flow, now: Millis) -> impl Iterator<Item = QueueKey> {
        let queue = self.teams[team.at()].queue.iter().copied();
        queue.filter(move |&(.., index)| {
            let job = self.job(index);
            job.class == class
                && job.kind != Kind::Gang
                && !job.at_fault
                && job.not_before <= now
                && self.teams[team.at()].allows(&job.need)
        })
    }
}

#[cfg(test)]
mod tests;
