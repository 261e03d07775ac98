//! A node's door for submissions: who is let in at once, who is given a turn, and what is told to whom.
//!
//! Each class that the table names has a bucket that fills at the node's part for it; what a bucket can't hold is
//! for whoever comes, as is the node's rest. So no part stays idle while somebody wants it, and a flood of one
//! class takes nothing that another asks for. Whoever finds nothing gets a turn: the time at which, by the class's
//! rate, his place in the queue comes up. Users try for 60 s in all, so a turn beyond that is none, and who can't
//! have one is told so at once. Who comes back in time goes before newcomers of his class, at any node: turns are
//! told with the words that members exchange.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    coordination::admission::quotas::{Class, Parts},
    protocol::ids::JobId,
    time::Millis,
};

/// Users try again for this long, by the protocol, and wait for as long as they are told at the most.
const TRIES: Millis = 60_000;
const LONGEST: Millis = 30_000;
/// Kept free before the end of his tries, for the way.
const SPARE: Millis = 4000;
/// Who is this late for his turn has lost it, and who is so early has come.
const LATE: Millis = 5000;
const EARLY: Millis = 1000;
/// A bucket holds what comes in within this time, in seconds.
const DEPTH_S: f64 = 3.0;
/// Demand is a mean that forgets over this time, in seconds; those who wait are to be let in within it.
const WINDOW_S: f64 = 5.0;
/// Who is sent away by a node without news comes back after that many seconds, a second later for each so many who
/// wait, at the most after so many.
const LAPSED_S: u32 = 2;
const LAPSED_CROWD: u32 = 200;
const LAPSED_MOST_S: u32 = 8;
/// Turns told to the members at once.
const TOLD: usize = 256;
/// Submissions that are remembered for when they first came.
const REMEMBERED: usize = 20_000;
/// Who was told to come back and was not seen again for so long has given up.
const GIVEN_UP: Millis = TRIES + 5000;

/// What became of the submissions of a class at this node, since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Different jobs.
    pub came: u64,
    /// Accepted, and those of them that were within a second of their first try here.
    pub accepted: u64,
    pub in_time: u64,
    /// Told to come back: how often.
    pub sent_away: u64,
    /// Told so without a turn, as there is none within their user's tries.
    pub no_turn: u64,
    /// Sent away, and neither accepted nor seen again.
    pub given_up: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.came += other.came;
        self.accepted += other.accepted;
        self.in_time += other.in_time;
        self.sent_away += other.sent_away;
        self.no_turn += other.no_turn;
        self.given_up += other.given_up;
    }
}

/// What a submission is told at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knock {
    /// Let in; it counts as within its class's due, or beyond.
    In { within: bool },
    /// Come back in so many seconds: a turn, or none (`turn` false).
    Away { after_s: u32, turn: bool },
}

#[derive(Debug, Default)]
struct Bucket {
    tokens: f64,
    rate: f64,
    /// Comes for the first time, a second.
    demand: f64,
    came: u32,
    /// The latest turn that was given, in milliseconds.
    last_turn: Millis,
    counts: Counts,
}

#[derive(Clone, Copy, Debug)]
struct Turn {
    class: usize,
    at: Millis,
    /// Given here; others were heard of.
    own: bool,
}

/// When a job was first seen here and when last, and its class.
#[derive(Clone, Copy, Debug)]
struct Guest {
    class: usize,
    first: Millis,
    last: Millis,
    /// It was let in, and its answer is awaited.
    inside: bool,
    sent_away: bool,
}

#[derive(Default)]
pub struct Door {
    index: HashMap<Class, usize>,
    names: Vec<Class>,
    buckets: Vec<Bucket>,
    /// For whoever comes.
    rest: Bucket,
    guests: HashMap<JobId, Guest>,
    turns: HashMap<JobId, Turn>,
    /// The same, by class and time.
    queue: BTreeSet<(usize, Millis, JobId)>,
    filled_at: Millis,
    looked_at: Millis,
    /// The node has no news: how soon anybody's turn comes up is not known.
    lapsed: bool,
}

impl Door {
    fn class(&mut self, class: &Class) -> usize {
        if let Some(&known) = self.index.get(class) {
            return known;
        }
        self.index.insert(class.clone(), self.buckets.len());
        self.names.push(class.clone());
        self.buckets.push(Bucket::default());
        self.buckets.len() - 1
    }

    /// Follows the node's parts, which may have changed: what has come in since the last time.
    pub fn fill(&mut self, parts: &Parts, now: Millis) {
        // A new process has done nothing yet.
        let passed = match self.filled_at {
            0 => DEPTH_S,
            at => now.saturating_sub(at) as f64 / 1000.0,
        };
        self.filled_at = now;
        self.lapsed = parts.lapsed;
        for class in parts.classes.keys() {
            self.class(class);
        }
        let mut over = 0.0;
        for (name, bucket) in self.names.iter().zip(&mut self.buckets) {
            bucket.rate = parts.classes.get(name).copied().unwrap_or(0.0);
            let depth = bucket.rate * DEPTH_S;
            bucket.tokens += bucket.rate * passed;
            over += (bucket.tokens - depth).max(0.0);
            bucket.tokens = bucket.tokens.min(depth);
        }
        self.rest.rate = parts.rest;
        let depth = parts.whole() * DEPTH_S;
        let gained = over + parts.rest * passed;
        self.rest.tokens = (self.rest.tokens + gained).min(depth);
    }

    /// A submission that is not known yet asks to be let in.
    pub fn knock(&mut self, class: &Class, job: JobId, now: Millis) -> Knock {
        let class = self.class(class);
        if self.guests.len() >= REMEMBERED {
            self.forget(now, now.saturating_sub(SPARE));
        }
        let guest = self.guests.entry(job).or_insert(Guest {
            class,
            first: now,
            last: now,
            inside: false,
            sent_away: false,
        });
        let first = guest.first;
        guest.last = now;
        let turn = self.turns.get(&job).copied();
        // One that another node gave a turn has been counted there.
        let newcomer = first == now && !guest.sent_away && turn.is_none();
        if newcomer {
            self.buckets[class].came += 1;
            self.buckets[class].counts.came += 1;
        }
        let his_turn = turn.is_some_and(|turn| turn.at <= now + EARLY);
        let due = if his_turn { 0 } else { self.due(class, now) };
        let bucket = &mut self.buckets[class];
        // Whose turn has come takes it even where others took more meanwhile.
        let least = |rate: f64, due: usize| {
            if his_turn {
                1.0 - rate.max(1.0)
            } else {
                1.0 + due as f64
            }
        };
        let within = bucket.rate > 0.0 && bucket.tokens >= least(bucket.rate, due);
        let spare = due == 0 && self.rest.tokens >= least(self.rest.rate, 0);
        if within || spare {
            if within {
                bucket.tokens -= 1.0;
            } else {
                self.rest.tokens -= 1.0;
            }
            self.take_turn(job);
            if let Some(guest) = self.guests.get_mut(&job) {
                guest.inside = true;
            }
            // What no table names is within its due for as long as there is a rest.
            let unnamed = self.buckets[class].rate <= 0.0;
            return Knock::In {
                within: within || his_turn || unnamed,
            };
        }
        bucket.counts.sent_away += 1;
        if let Some(guest) = self.guests.get_mut(&job) {
            guest.sent_away = true;
        }
        let last = first + TRIES - SPARE;
        let at = match turn.filter(|turn| turn.at + LATE > now) {
            Some(turn) => turn.at.max(now + EARLY),
            // By its floor, users sat out what time there was between two outages of the state service, and gave up.
            None if self.lapsed => {
                let after_s =
                    (LAPSED_S + self.guests.len() as u32 / LAPSED_CROWD).min(LAPSED_MOST_S);
                return Knock::Away {
                    after_s,
                    turn: false,
                };
            }
            None => {
                let rate = self.rate(class).max(0.01);
                let bucket = &self.buckets[class];
                let at = bucket.last_turn.max(now + EARLY) + (1000.0 / rate) as Millis;
                if at > last {
                    self.buckets[class].counts.no_turn += 1;
                    let after_s = (LONGEST / 1000) as u32;
                    return Knock::Away {
                        after_s,
                        turn: false,
                    };
                }
                self.buckets[class].last_turn = at;
                self.queue.insert((class, at, job));
                let own = true;
                self.turns.insert(job, Turn { class, at, own });
                at
            }
        };
        let after = (at - now).clamp(1000, LONGEST);
        let after_s = after.div_ceil(1000) as u32;
        Knock::Away {
            after_s,
            turn: true,
        }
    }

    /// How many turns a second a class can be given: those that wait and that no table names share the rest.
    fn rate(&self, class: usize) -> f64 {
        let bucket = &self.buckets[class];
        if bucket.rate > 0.0 {
            return bucket.rate;
        }
        let others = self.buckets.iter().enumerate().filter(|(at, other)| {
            *at != class && other.rate <= 0.0 && other.last_turn > self.filled_at
        });
        self.rest.rate / (1 + others.count()) as f64
    }

    /// How many of a class whose turn has come have not come back yet.
    fn due(&self, class: usize, now: Millis) -> usize {
        let from = now.saturating_sub(LATE);
        let due = (class, from, JobId(0))..=(class, now + EARLY, JobId(u64::MAX));
        self.queue.range(due).count()
    }

    fn take_turn(&mut self, job: JobId) {
        if let Some(turn) = self.turns.remove(&job) {
            self.queue.remove(&(turn.class, turn.at, job));
        }
    }

    /// The job is accepted: here, or at another node.
    pub fn accepted(&mut self, job: JobId, here: bool, now: Millis) {
        self.take_turn(job);
        // What was accepted here is often heard of before its own answer.
        let inside = self.guests.get(&job).is_some_and(|guest| guest.inside);
        if inside && !here {
            return;
        }
        let Some(guest) = self.guests.remove(&job) else {
            return;
        };
        if here {
            let counts = &mut self.buckets[guest.class].counts;
            counts.accepted += 1;
            counts.in_time += u64::from(guest.first + 1000 >= now);
        }
    }

    /// The submission was let in, and got no answer but to try again.
    pub fn refused(&mut self, job: JobId) {
        if let Some(guest) = self.guests.get_mut(&job)
            && guest.inside
        {
            guest.inside = false;
            guest.sent_away = true;
            self.buckets[guest.class].counts.sent_away += 1;
        }
    }

    /// Follows demand, and forgets who is gone. To be called some times a second.
    pub fn look(&mut self, now: Millis) {
        if self.looked_at + 1000 > now {
            return;
        }
        let passed = now.saturating_sub(self.looked_at) as f64 / 1000.0;
        self.looked_at = now;
        let part = 1.0 - (-passed / WINDOW_S).exp();
        for bucket in &mut self.buckets {
            let rate = f64::from(std::mem::take(&mut bucket.came)) / passed;
            bucket.demand += (rate - bucket.demand) * part;
        }
        let missed: Vec<JobId> = self
            .turns
            .iter()
            .filter(|(_, turn)| turn.at + LATE <= now)
            .map(|(job, _)| *job)
            .collect();
        missed.into_iter().for_each(|job| self.take_turn(job));
        self.forget(now, now.saturating_sub(GIVEN_UP));
        // Who waits no more is waited for by nobody.
        let mut waiting = vec![false; self.buckets.len()];
        for turn in self.turns.values() {
            waiting[turn.class] = true;
        }
        for (bucket, waiting) in self.buckets.iter_mut().zip(waiting) {
            if !waiting {
                bucket.last_turn = 0;
            }
        }
    }

    /// Forgets those not seen since.
    fn forget(&mut self, now: Millis, since: Millis) {
        let buckets = &mut self.buckets;
        self.guests.retain(|_, guest| {
            let gone = guest.last <= since && guest.last < now;
            if gone && guest.sent_away && !guest.inside {
                buckets[guest.class].counts.given_up += 1;
            }
            !gone
        });
    }

    /// What comes to this node of each class, a second, those included that wait for a turn.
    pub fn demand(&self) -> BTreeMap<Class, f64> {
        let mut waiting = vec![0; self.buckets.len()];
        for turn in self.turns.values().filter(|turn| turn.own) {
            waiting[turn.class] += 1;
        }
        let each = self.names.iter().zip(&self.buckets).zip(waiting);
        each.map(|((name, bucket), waiting)| {
            (name.clone(), bucket.demand + f64::from(waiting) / WINDOW_S)
        })
        .filter(|(_, demand)| *demand > 0.01)
        .collect()
    }

    pub fn counts(&self) -> impl Iterator<Item = (&Class, Counts)> {
        let counts = self.buckets.iter().map(|bucket| bucket.counts);
        self.names.iter().zip(counts)
    }

    /// The turns that come next, for the members: job, class, and in how many milliseconds.
    pub fn turns(&self, now: Millis) -> Vec<(JobId, Class, u64)> {
        let mut turns: Vec<(Millis, JobId, usize)> = self
            .turns
            .iter()
            .filter(|(_, turn)| turn.own && turn.at > now)
            .map(|(job, turn)| (turn.at, *job, turn.class))
            .collect();
        turns.sort_unstable();
        turns.truncate(TOLD);
        let turns = turns.into_iter();
        turns
            .map(|(at, job, class)| (job, self.names[class].clone(), at - now))
            .collect()
    }

    /// Turns that another member has given.
    pub fn heard_turns(&mut self, turns: &[(JobId, Class, u64)], now: Millis) {
        for (job, class, in_ms) in turns {
            if self.turns.contains_key(job) || *in_ms > TRIES {
                continue;
            }
            let class = self.class(class);
            let at = now + in_ms;
            // Not in the queue: it may come back to any node, and newcomers need not wait for it here.
            let own = false;
            self.turns.insert(*job, Turn { class, at, own });
        }
    }
}

#[cfg(test)]
mod tests;
