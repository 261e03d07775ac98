//! The admission controller of a node: admits a new submission, or defers it with or without a reservation.
//!
//! Each class that the quotas name has a token bucket, which fills at the node's rate for the class. Tokens that
//! don't fit into a full bucket go to the unassigned bucket, which also fills at the node's unassigned rate;
//! submissions of any class may use them. So no rate stays unused while there is demand, and a flood of one class
//! takes nothing that another class demands.
//!
//! A submission that finds no token gets a reservation: the time at which, at the rate of its class, its place in
//! the queue comes up. Users retry for 60 s in all, so there are no reservations beyond that; a user who can't get
//! one receives an answer that says so at once. A user who retries at the reserved time is admitted before new
//! submissions of the same class, at any node: each node reports its reservations to the leader, which announces
//! those of all nodes to the members.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    coordination::admission::quotas::{QuotaShares, WorkloadClassName},
    protocol::ids::JobId,
    time::Millis,
};

/// Users retry a submission for this long, by the protocol.
const USER_RETRY_PERIOD_MS: Millis = 60_000;
/// The longest retry delay that users are given; they wait no longer than that.
const MAX_RETRY_AFTER_MS: Millis = 30_000;
/// Reservations end this long before the end of the user's retries, to leave time for the request on the network.
const RETRY_MARGIN_MS: Millis = 4000;
/// A reservation expires this long after its time.
const RESERVATION_GRACE_MS: Millis = 5000;
/// A reservation is due this long before its time.
const RESERVATION_EARLY_MS: Millis = 1000;
/// A bucket holds the tokens of this time, in seconds.
const BUCKET_DEPTH_S: f64 = 3.0;
/// Time constant of the mean of the arrival rate, in seconds. Demand also includes the rate that would admit all
/// submissions with a reservation within this time.
const DEMAND_WINDOW_S: f64 = 5.0;
/// The retry delay in seconds that a node without a response from the state service gives: this base and one second
/// for each [`LAPSED_PENDING_PER_S`] pending submissions, at most [`LAPSED_RETRY_MAX_S`].
const LAPSED_RETRY_BASE_S: u32 = 2;
const LAPSED_PENDING_PER_S: u32 = 200;
const LAPSED_RETRY_MAX_S: u32 = 8;
/// The most reservations that are sent to the members in one message.
const MAX_RESERVATIONS_SHARED: usize = 256;
/// The number of pending submissions that are remembered with the time of their first attempt. When it is reached,
/// those not seen for [`RETRY_MARGIN_MS`] are dropped.
const MAX_PENDING_SUBMISSIONS: usize = 20_000;
/// A deferred submission that was not seen again for this long counts as abandoned.
const ABANDONED_AFTER_MS: Millis = USER_RETRY_PERIOD_MS + 5000;

/// Counts of the submissions of a class at this node since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Jobs that were submitted; retries of a job are not counted.
    pub arrived: u64,
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs that were accepted within a second of their first attempt at this node.
    pub accepted_promptly: u64,
    /// Attempts that were deferred, each retry included.
    pub deferred: u64,
    /// Attempts that were deferred without a reservation, as none was free within the user's retry period.
    pub deferred_unreserved: u64,
    /// Jobs that were deferred, and neither accepted nor seen again.
    pub abandoned: u64,
}

impl AdmissionCounts {
    /// Adds the counts of another node.
    pub fn add(&mut self, other: &AdmissionCounts) {
        self.arrived += other.arrived;
        self.accepted += other.accepted;
        self.accepted_promptly += other.accepted_promptly;
        self.deferred += other.deferred;
        self.deferred_unreserved += other.deferred_unreserved;
        self.abandoned += other.abandoned;
    }
}

/// The decision on one attempt of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The submission may be stored.
    Admitted {
        /// It is within the share of its class, or its reservation is due.
        within_share: bool,
    },
    /// The user has to retry.
    Deferred {
        /// The delay before the retry, in seconds.
        retry_after_s: u32,
        /// The retry has a reservation.
        has_reservation: bool,
    },
}

/// The token bucket of a class, with its demand and counts.
#[derive(Debug, Default)]
struct ClassBucket {
    /// Submissions that may be admitted now. Negative after reservations that were admitted without a token.
    tokens: f64,
    /// The rate at which it fills, in submissions a second.
    rate_per_s: f64,
    /// The mean rate of first attempts, a second.
    arrivals_per_s: f64,
    /// First attempts since that mean was last updated.
    arrivals: u32,
    /// The time of the latest reservation that was given; 0 if the class has no open ones.
    last_reservation_at: Millis,
    counts: AdmissionCounts,
}

/// A time at which a deferred submission is admitted when its user retries.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    class: usize,
    at: Millis,
    /// This node gave it. Otherwise another member did, and the leader announced it.
    is_local: bool,
}

/// A submission that was seen at this node and is not known to be accepted.
#[derive(Clone, Copy, Debug)]
struct PendingSubmission {
    class: usize,
    first_seen_at: Millis,
    last_seen_at: Millis,
    /// It was admitted, and is being stored.
    is_admitted: bool,
    /// An earlier attempt was deferred, or refused after it was admitted.
    was_deferred: bool,
}

/// Decides which submissions a node admits. It reads no clock: each call takes the time.
#[derive(Default)]
pub struct AdmissionController {
    class_index: HashMap<WorkloadClassName, usize>,
    class_names: Vec<WorkloadClassName>,
    buckets: Vec<ClassBucket>,
    /// The bucket that submissions of any class may use.
    unassigned: ClassBucket,
    pending: HashMap<JobId, PendingSubmission>,
    reservations: HashMap<JobId, Reservation>,
    /// The reservations that this node gave, by class and time.
    reservation_queue: BTreeSet<(usize, Millis, JobId)>,
    filled_at: Millis,
    updated_at: Millis,
    /// The node has had no response from the state service for too long and uses its floor: it can't predict when a
    /// submission could be admitted, and gives no reservations.
    is_lapsed: bool,
}

impl AdmissionController {
    /// The index of a class in `buckets`; adds a bucket for a new class.
    fn class_slot(&mut self, class: &WorkloadClassName) -> usize {
        if let Some(&known) = self.class_index.get(class) {
            return known;
        }
        self.class_index.insert(class.clone(), self.buckets.len());
        self.class_names.push(class.clone());
        self.buckets.push(ClassBucket::default());
        self.buckets.len() - 1
    }

    /// Adds the tokens of the time since the last call, at the rates `parts`, which may have changed.
    pub fn refill(&mut self, parts: &QuotaShares, now: Millis) {
        // The first call fills the buckets: a new process has admitted nothing yet.
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

    /// Decides on an attempt of a submission whose job is not known to be accepted.
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
        // A submission with a reservation of another node has been counted there.
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
        // A submission whose reservation is due is admitted even if others took the tokens meanwhile: it may overdraw
        // the bucket by the tokens of a second, and at least by one. Others leave tokens for due reservations.
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
            // A class that the quotas don't name is within its share while there are unassigned tokens.
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
            // Reservations at the rate of the floor were so late that users waited through the time between two
            // outages of the state service, and gave up.
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

    /// How many reservations a second a class can be given: its own rate. Classes that the quotas don't name divide
    /// the unassigned rate equally among those of them that have future reservations.
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

    /// How many due reservations of a class have not been used yet.
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

    /// A job is accepted. `here`: this node answers the user, as opposed to a change read from the state service.
    pub fn on_accepted(&mut self, job: JobId, here: bool, now: Millis) {
        self.remove_reservation(job);
        // A job that this node stores is often read from the state service before the response to its write
        // arrives: that response is what counts it.
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

    /// The submission was admitted, but its user was asked to retry: counts as deferred.
    pub fn on_refused(&mut self, job: JobId) {
        if let Some(guest) = self.pending.get_mut(&job)
            && guest.is_admitted
        {
            guest.is_admitted = false;
            guest.was_deferred = true;
            self.buckets[guest.class].counts.deferred += 1;
        }
    }

    /// Updates the mean arrival rates, and drops expired reservations and abandoned submissions. To be called
    /// several times a second; it does its work once a second.
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
        // A class without reservations gives its next one without a delay for earlier ones.
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

    /// Drops submissions that were last seen at `since` or before, but keeps those seen at `now`.
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

    /// The demand of each class at this node, in submissions a second: the mean rate of first attempts, and the
    /// reservations that this node gave, spread over `DEMAND_WINDOW_S`.
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

    /// The counts of each class at this node.
    pub fn counts(&self) -> impl Iterator<Item = (&WorkloadClassName, AdmissionCounts)> {
        let counts = self.buckets.iter().map(|bucket| bucket.counts);
        self.class_names.iter().zip(counts)
    }

    /// The next reservations that this node gave, for the members: job, class, and milliseconds from `now`.
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

    /// Adds reservations that other members gave: job, class, and milliseconds from `now`.
    pub fn learn_reservations(&mut self, turns: &[(JobId, WorkloadClassName, u64)], now: Millis) {
        for (job, class, in_ms) in turns {
            if self.reservations.contains_key(job) || *in_ms > USER_RETRY_PERIOD_MS {
                continue;
            }
            let class = self.class_slot(class);
            let at = now + in_ms;
            // It is not added to the queue: the user may retry at any node, so new submissions need not leave a
            // token for it here.
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
