//! A node's door for submissions: who is let in at once, who is given a turn, and what is told to whom.
//!
//! Each class that the table names has a bucket that fills at the node's part for it; what a bucket can't hold is
//! for whoever comes, as is the node's rest. So no part stays idle while somebody wants it, and a flood of one
//! class takes nothing that another asks for. Whoever finds nothing gets a turn: the time at which, by the class's
//! rate, his place in the queue comes up. Users try for 60 s in all, so a turn beyond that is none, and who can't
//! have one is told so at once. Who comes back in time goes before newcomers of his class, at any node: turns are
//! told with the words that members exchange.

#![expect(missing_docs, reason = "its items are still to be documented")]

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    coordination::admission::quotas::{QuotaShares, WorkloadClassName},
    protocol::ids::JobId,
    time::Millis,
};

/// Users try again for this long, by the protocol, and wait for as long as they are told at the most.
const USER_RETRY_PERIOD_MS: Millis = 60_000;
const MAX_RETRY_AFTER_MS: Millis = 30_000;
/// Kept free before the end of his tries, for the way.
const RETRY_MARGIN_MS: Millis = 4000;
/// Who is this late for his turn has lost it, and who is so early has come.
const RESERVATION_GRACE_MS: Millis = 5000;
const RESERVATION_EARLY_MS: Millis = 1000;
/// A bucket holds what comes in within this time, in seconds.
const BUCKET_DEPTH_S: f64 = 3.0;
/// Demand is a mean that forgets over this time, in seconds; those who wait are to be let in within it.
const DEMAND_WINDOW_S: f64 = 5.0;
/// Who is sent away by a node without news comes back after that many seconds, a second later for each so many who
/// wait, at the most after so many.
const LAPSED_RETRY_BASE_S: u32 = 2;
const LAPSED_PENDING_PER_S: u32 = 200;
const LAPSED_RETRY_MAX_S: u32 = 8;
/// Turns told to the members at once.
const MAX_RESERVATIONS_SHARED: usize = 256;
/// Submissions that are remembered for when they first came.
const MAX_PENDING_SUBMISSIONS: usize = 20_000;
/// Who was told to come back and was not seen again for so long has given up.
const ABANDONED_AFTER_MS: Millis = USER_RETRY_PERIOD_MS + 5000;

/// What became of the submissions of a class at this node, since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Different jobs.
    pub arrived: u64,
    /// Accepted, and those of them that were within a second of their first try here.
    pub accepted: u64,
    pub accepted_promptly: u64,
    /// Told to come back: how often.
    pub deferred: u64,
    /// Told so without a turn, as there is none within their user's tries.
    pub deferred_unreserved: u64,
    /// Sent away, and neither accepted nor seen again.
    pub abandoned: u64,
}

impl AdmissionCounts {
    pub fn add(&mut self, other: &AdmissionCounts) {
        self.arrived += other.arrived;
        self.accepted += other.accepted;
        self.accepted_promptly += other.accepted_promptly;
        self.deferred += other.deferred;
        self.deferred_unreserved += other.deferred_unreserved;
        self.abandoned += other.abandoned;
    }
}

/// What a submission is told at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Let in; it counts as within its class's due, or beyond.
    Admitted { within_share: bool },
    /// Come back in so many seconds: a turn, or none (`turn` false).
    Deferred {
        retry_after_s: u32,
        has_reservation: bool,
    },
}

#[derive(Debug, Default)]
struct ClassBucket {
    tokens: f64,
    rate_per_s: f64,
    /// Comes for the first time, a second.
    arrivals_per_s: f64,
    arrivals: u32,
    /// The latest turn that was given, in milliseconds.
    last_reservation_at: Millis,
    counts: AdmissionCounts,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    class: usize,
    at: Millis,
    /// Given here; others were heard of.
    is_local: bool,
}

/// When a job was first seen here and when last, and its class.
#[derive(Clone, Copy, Debug)]
struct PendingSubmission {
    class: usize,
    first_seen_at: Millis,
    last_seen_at: Millis,
    /// It was let in, and its answer is awaited.
    is_admitted: bool,
    was_deferred: bool,
}

#[derive(Default)]
pub struct AdmissionController {
    class_index: HashMap<WorkloadClassName, usize>,
    class_names: Vec<WorkloadClassName>,
    buckets: Vec<ClassBucket>,
    /// For whoever comes.
    unassigned: ClassBucket,
    pending: HashMap<JobId, PendingSubmission>,
    reservations: HashMap<JobId, Reservation>,
    /// The same, by class and time.
    reservation_queue: BTreeSet<(usize, Millis, JobId)>,
    filled_at: Millis,
    updated_at: Millis,
    /// The node has no news: how soon anybody's turn comes up is not known.
    is_lapsed: bool,
}

impl AdmissionController {
    fn class_slot(&mut self, class: &WorkloadClassName) -> usize {
        if let Some(&known) = self.class_index.get(class) {
            return known;
        }
        self.class_index.insert(class.clone(), self.buckets.len());
        self.class_names.push(class.clone());
        self.buckets.push(ClassBucket::default());
        self.buckets.len() - 1
    }

    /// Follows the node's parts, which may have changed: what has come in since the last time.
    pub fn refill(&mut self, parts: &QuotaShares, now: Millis) {
        // A new process has done nothing yet.
        let passed = match self.filled_at {
            0 => BUCKET_DEPTH_S,
            at => now.saturating_sub(at) as f64 / 1000.0,
        };
        self.filled_at = now;
        self.is_lapsed = parts.is_lapsed;
        for class in parts.classes.keys() {
            self.class_slot(class);
        }
        let mut over = 0.0;
        for (name, bucket) in self.class_names.iter().zip(&mut self.buckets) {
            bucket.rate_per_s = parts.classes.get(name).copied().unwrap_or(0.0);
            let depth = bucket.rate_per_s * BUCKET_DEPTH_S;
            bucket.tokens += bucket.rate_per_s * passed;
            over += (bucket.tokens - depth).max(0.0);
            bucket.tokens = bucket.tokens.min(depth);
        }
        self.unassigned.rate_per_s = parts.unassigned;
        let depth = parts.total() * BUCKET_DEPTH_S;
        let gained = over + parts.unassigned * passed;
        self.unassigned.tokens = (self.unassigned.tokens + gained).min(depth);
    }

    /// A submission that is not known yet asks to be let in.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub fn decide(
        &mut self,
        class: &WorkloadClassName,
        job: JobId,
        now: Millis,
    ) -> AdmissionDecision {
        let class = self.class_slot(class);
        if self.pending.len() >= MAX_PENDING_SUBMISSIONS {
            self.forget_unseen(now, now.saturating_sub(RETRY_MARGIN_MS));
        }
        let guest = self.pending.entry(job).or_insert(PendingSubmission {
            class,
            first_seen_at: now,
            last_seen_at: now,
            is_admitted: false,
            was_deferred: false,
        });
        let first = guest.first_seen_at;
        guest.last_seen_at = now;
        let turn = self.reservations.get(&job).copied();
        // One that another node gave a turn has been counted there.
        let newcomer = first == now && !guest.was_deferred && turn.is_none();
        if newcomer {
            self.buckets[class].arrivals += 1;
            self.buckets[class].counts.arrived += 1;
        }
        let his_turn = turn.is_some_and(|turn| turn.at <= now + RESERVATION_EARLY_MS);
        let due = if his_turn {
            0
        } else {
            self.due_reservation_count(class, now)
        };
        let bucket = &mut self.buckets[class];
        // PreemptionScope turn has come takes it even where others took more meanwhile.
        let least = |rate: f64, due: usize| {
            if his_turn {
                1.0 - rate.max(1.0)
            } else {
                1.0 + due as f64
            }
        };
        let within = bucket.rate_per_s > 0.0 && bucket.tokens >= least(bucket.rate_per_s, due);
        let spare = due == 0 && self.unassigned.tokens >= least(self.unassigned.rate_per_s, 0);
        if within || spare {
            if within {
                bucket.tokens -= 1.0;
            } else {
                self.unassigned.tokens -= 1.0;
            }
            self.remove_reservation(job);
            if let Some(guest) = self.pending.get_mut(&job) {
                guest.is_admitted = true;
            }
            // What no table names is within its due for as long as there is a rest.
            let unnamed = self.buckets[class].rate_per_s <= 0.0;
            return AdmissionDecision::Admitted {
                within_share: within || his_turn || unnamed,
            };
        }
        bucket.counts.deferred += 1;
        if let Some(guest) = self.pending.get_mut(&job) {
            guest.was_deferred = true;
        }
        let last = first + USER_RETRY_PERIOD_MS - RETRY_MARGIN_MS;
        let at = match turn.filter(|turn| turn.at + RESERVATION_GRACE_MS > now) {
            Some(turn) => turn.at.max(now + RESERVATION_EARLY_MS),
            // By its floor, users sat out what time there was between two outages of the state service, and gave up.
            None if self.is_lapsed => {
                let after_s = (LAPSED_RETRY_BASE_S
                    + self.pending.len() as u32 / LAPSED_PENDING_PER_S)
                    .min(LAPSED_RETRY_MAX_S);
                return AdmissionDecision::Deferred {
                    retry_after_s: after_s,
                    has_reservation: false,
                };
            }
            None => {
                let rate = self.reservation_rate(class).max(0.01);
                let bucket = &self.buckets[class];
                let at = bucket.last_reservation_at.max(now + RESERVATION_EARLY_MS)
                    + (1000.0 / rate) as Millis;
                if at > last {
                    self.buckets[class].counts.deferred_unreserved += 1;
                    let after_s = (MAX_RETRY_AFTER_MS / 1000) as u32;
                    return AdmissionDecision::Deferred {
                        retry_after_s: after_s,
                        has_reservation: false,
                    };
                }
                self.buckets[class].last_reservation_at = at;
                self.reservation_queue.insert((class, at, job));
                let own = true;
                self.reservations.insert(
                    job,
                    Reservation {
                        class,
                        at,
                        is_local: own,
                    },
                );
                at
            }
        };
        let after = (at - now).clamp(1000, MAX_RETRY_AFTER_MS);
        let after_s = after.div_ceil(1000) as u32;
        AdmissionDecision::Deferred {
            retry_after_s: after_s,
            has_reservation: true,
        }
    }

    /// How many turns a second a class can be given: those that wait and that no table names share the rest.
    fn reservation_rate(&self, class: usize) -> f64 {
        let bucket = &self.buckets[class];
        if bucket.rate_per_s > 0.0 {
            return bucket.rate_per_s;
        }
        let others = self.buckets.iter().enumerate().filter(|(at, other)| {
            *at != class && other.rate_per_s <= 0.0 && other.last_reservation_at > self.filled_at
        });
        self.unassigned.rate_per_s / (1 + others.count()) as f64
    }

    /// How many of a class whose turn has come have not come back yet.
    fn due_reservation_count(&self, class: usize, now: Millis) -> usize {
        let from = now.saturating_sub(RESERVATION_GRACE_MS);
        let due = (class, from, JobId(0))..=(class, now + RESERVATION_EARLY_MS, JobId(u64::MAX));
        self.reservation_queue.range(due).count()
    }

    fn remove_reservation(&mut self, job: JobId) {
        if let Some(turn) = self.reservations.remove(&job) {
            self.reservation_queue.remove(&(turn.class, turn.at, job));
        }
    }

    /// The job is accepted: here, or at another node.
    pub fn on_accepted(&mut self, job: JobId, here: bool, now: Millis) {
        self.remove_reservation(job);
        // What was accepted here is often heard of before its own answer.
        let inside = self
            .pending
            .get(&job)
            .is_some_and(|guest| guest.is_admitted);
        if inside && !here {
            return;
        }
        let Some(guest) = self.pending.remove(&job) else {
            return;
        };
        if here {
            let counts = &mut self.buckets[guest.class].counts;
            counts.accepted += 1;
            counts.accepted_promptly += u64::from(guest.first_seen_at + 1000 >= now);
        }
    }

    /// The submission was let in, and got no answer but to try again.
    pub fn on_refused(&mut self, job: JobId) {
        if let Some(guest) = self.pending.get_mut(&job)
            && guest.is_admitted
        {
            guest.is_admitted = false;
            guest.was_deferred = true;
            self.buckets[guest.class].counts.deferred += 1;
        }
    }

    /// Follows demand, and forgets who is gone. To be called some times a second.
    pub fn update_demand(&mut self, now: Millis) {
        if self.updated_at + 1000 > now {
            return;
        }
        let passed = now.saturating_sub(self.updated_at) as f64 / 1000.0;
        self.updated_at = now;
        let part = 1.0 - (-passed / DEMAND_WINDOW_S).exp();
        for bucket in &mut self.buckets {
            let rate = f64::from(std::mem::take(&mut bucket.arrivals)) / passed;
            bucket.arrivals_per_s += (rate - bucket.arrivals_per_s) * part;
        }
        let missed: Vec<JobId> = self
            .reservations
            .iter()
            .filter(|(_, turn)| turn.at + RESERVATION_GRACE_MS <= now)
            .map(|(job, _)| *job)
            .collect();
        missed
            .into_iter()
            .for_each(|job| self.remove_reservation(job));
        self.forget_unseen(now, now.saturating_sub(ABANDONED_AFTER_MS));
        // Who waits no more is waited for by nobody.
        let mut waiting = vec![false; self.buckets.len()];
        for turn in self.reservations.values() {
            waiting[turn.class] = true;
        }
        for (bucket, waiting) in self.buckets.iter_mut().zip(waiting) {
            if !waiting {
                bucket.last_reservation_at = 0;
            }
        }
    }

    /// Forgets those not seen since.
    fn forget_unseen(&mut self, now: Millis, since: Millis) {
        let buckets = &mut self.buckets;
        self.pending.retain(|_, guest| {
            let gone = guest.last_seen_at <= since && guest.last_seen_at < now;
            if gone && guest.was_deferred && !guest.is_admitted {
                buckets[guest.class].counts.abandoned += 1;
            }
            !gone
        });
    }

    /// What comes to this node of each class, a second, those included that wait for a turn.
    pub fn demand_by_class(&self) -> BTreeMap<WorkloadClassName, f64> {
        let mut waiting = vec![0; self.buckets.len()];
        for turn in self.reservations.values().filter(|turn| turn.is_local) {
            waiting[turn.class] += 1;
        }
        let each = self.class_names.iter().zip(&self.buckets).zip(waiting);
        each.map(|((name, bucket), waiting)| {
            (
                name.clone(),
                bucket.arrivals_per_s + f64::from(waiting) / DEMAND_WINDOW_S,
            )
        })
        .filter(|(_, demand)| *demand > 0.01)
        .collect()
    }

    pub fn counts(&self) -> impl Iterator<Item = (&WorkloadClassName, AdmissionCounts)> {
        let counts = self.buckets.iter().map(|bucket| bucket.counts);
        self.class_names.iter().zip(counts)
    }

    /// The turns that come next, for the members: job, class, and in how many milliseconds.
    pub fn local_reservations(&self, now: Millis) -> Vec<(JobId, WorkloadClassName, u64)> {
        let mut turns: Vec<(Millis, JobId, usize)> = self
            .reservations
            .iter()
            .filter(|(_, turn)| turn.is_local && turn.at > now)
            .map(|(job, turn)| (turn.at, *job, turn.class))
            .collect();
        turns.sort_unstable();
        turns.truncate(MAX_RESERVATIONS_SHARED);
        let turns = turns.into_iter();
        turns
            .map(|(at, job, class)| (job, self.class_names[class].clone(), at - now))
            .collect()
    }

    /// Turns that another member has given.
    pub fn learn_reservations(&mut self, turns: &[(JobId, WorkloadClassName, u64)], now: Millis) {
        for (job, class, in_ms) in turns {
            if self.reservations.contains_key(job) || *in_ms > USER_RETRY_PERIOD_MS {
                continue;
            }
            let class = self.class_slot(class);
            let at = now + in_ms;
            // Not in the queue: it may come back to any node, and newcomers need not wait for it here.
            let own = false;
            self.reservations.insert(
                *job,
                Reservation {
                    class,
                    at,
                    is_local: own,
                },
            );
        }
    }
}

#[cfg(test)]
mod tests;
