//! The admission controller of a node: admits a new submission, or defers it with or without a reservation.
//!
//! Each class that the quotas name has a token bucket, which fills at the node's rate for the class. Tokens that
//! don't fit into a full bucket go to the unassigned bucket, which also fills at the node's unassigned rate;
//! submissions of any class may use them. So no rate stays unused while there is demand, and a flood of one class
//! takes nothing that another class demands.
//!
//! A submission that finds no token gets a reservation: the time at which, at the rate of its class, its place in
//! the queue comes up. Users retry for 60 s in all, so there are no reservations beyond that; a user who can't get
//! one is deferred immediately, without a reservation. A user who retries at the reserved time is admitted before new
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
    class_index: usize,
    /// The time at which its user is to retry.
    due_at: Millis,
    /// This node gave it. Otherwise another member did, and the leader announced it.
    is_local: bool,
}

/// A submission that was seen at this node and is not known to be accepted.
#[derive(Clone, Copy, Debug)]
struct PendingSubmission {
    class_index: usize,
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
    class_indices: HashMap<WorkloadClassName, usize>,
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
    fn class_index(&mut self, class: &WorkloadClassName) -> usize {
        if let Some(&index) = self.class_indices.get(class) {
            return index;
        }
        self.class_indices.insert(class.clone(), self.buckets.len());
        self.class_names.push(class.clone());
        self.buckets.push(ClassBucket::default());
        self.buckets.len() - 1
    }

    /// Adds the tokens of the time since the last call, at the rates `shares`, which may have changed.
    pub fn refill(&mut self, shares: &QuotaShares, now: Millis) {
        // The first call fills the buckets: a new process has admitted nothing yet.
        let elapsed_s = match self.filled_at {
            0 => BUCKET_DEPTH_S,
            at => now.saturating_sub(at) as f64 / 1000.0,
        };
        self.filled_at = now;
        self.is_lapsed = shares.is_lapsed;
        for class in shares.classes.keys() {
            self.class_index(class);
        }
        let mut overflow = 0.0;
        for (name, bucket) in self.class_names.iter().zip(&mut self.buckets) {
            bucket.rate_per_s = shares.classes.get(name).copied().unwrap_or(0.0);
            let depth = bucket.rate_per_s * BUCKET_DEPTH_S;
            bucket.tokens += bucket.rate_per_s * elapsed_s;
            overflow += (bucket.tokens - depth).max(0.0);
            bucket.tokens = bucket.tokens.min(depth);
        }
        self.unassigned.rate_per_s = shares.unassigned;
        let depth = shares.total() * BUCKET_DEPTH_S;
        let gained = overflow + shares.unassigned * elapsed_s;
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
        let class_index = self.class_index(class);
        if self.pending.len() >= MAX_PENDING_SUBMISSIONS {
            self.remove_unseen(now, now.saturating_sub(RETRY_MARGIN_MS));
        }
        let submission = self.pending.entry(job).or_insert(PendingSubmission {
            class_index,
            first_seen_at: now,
            last_seen_at: now,
            is_admitted: false,
            was_deferred: false,
        });
        let first_seen_at = submission.first_seen_at;
        submission.last_seen_at = now;
        let reservation = self.reservations.get(&job).copied();
        // A submission with a reservation of another node has been counted there.
        let is_first_attempt =
            first_seen_at == now && !submission.was_deferred && reservation.is_none();
        if is_first_attempt {
            self.buckets[class_index].arrivals += 1;
            self.buckets[class_index].counts.arrived += 1;
        }
        let has_due_reservation =
            reservation.is_some_and(|reservation| reservation.due_at <= now + RESERVATION_EARLY_MS);
        let due_reservations = if has_due_reservation {
            0
        } else {
            self.due_reservation_count(class_index, now)
        };
        let bucket = &mut self.buckets[class_index];
        // A submission whose reservation is due is admitted even if others took the tokens meanwhile: it may overdraw
        // the bucket by the tokens of a second, and at least by one. Others leave tokens for due reservations.
        let min_tokens = |rate: f64, due_reservations: usize| {
            if has_due_reservation {
                1.0 - rate.max(1.0)
            } else {
                1.0 + due_reservations as f64
            }
        };
        let has_class_token = bucket.rate_per_s > 0.0
            && bucket.tokens >= min_tokens(bucket.rate_per_s, due_reservations);
        let has_unassigned_token = due_reservations == 0
            && self.unassigned.tokens >= min_tokens(self.unassigned.rate_per_s, 0);
        if has_class_token || has_unassigned_token {
            if has_class_token {
                bucket.tokens -= 1.0;
            } else {
                self.unassigned.tokens -= 1.0;
            }
            self.remove_reservation(job);
            if let Some(submission) = self.pending.get_mut(&job) {
                submission.is_admitted = true;
            }
            // A class that the quotas don't name is within its share while there are unassigned tokens.
            let is_unnamed = self.buckets[class_index].rate_per_s <= 0.0;
            return AdmissionDecision::Admitted {
                within_share: has_class_token || has_due_reservation || is_unnamed,
            };
        }
        bucket.counts.deferred += 1;
        if let Some(submission) = self.pending.get_mut(&job) {
            submission.was_deferred = true;
        }
        let latest_due_at = first_seen_at + USER_RETRY_PERIOD_MS - RETRY_MARGIN_MS;
        let retry_at = match reservation
            .filter(|reservation| reservation.due_at + RESERVATION_GRACE_MS > now)
        {
            Some(reservation) => reservation.due_at.max(now + RESERVATION_EARLY_MS),
            // Reservations at the rate of the floor were so late that users waited through the time between two
            // outages of the state service, and gave up.
            None if self.is_lapsed => {
                let retry_after_s = (LAPSED_RETRY_BASE_S
                    + self.pending.len() as u32 / LAPSED_PENDING_PER_S)
                    .min(LAPSED_RETRY_MAX_S);
                return AdmissionDecision::Deferred {
                    retry_after_s,
                    has_reservation: false,
                };
            }
            None => {
                let rate = self.reservation_rate(class_index).max(0.01);
                let bucket = &self.buckets[class_index];
                let due_at = bucket.last_reservation_at.max(now + RESERVATION_EARLY_MS)
                    + (1000.0 / rate) as Millis;
                if due_at > latest_due_at {
                    self.buckets[class_index].counts.deferred_unreserved += 1;
                    let retry_after_s = (MAX_RETRY_AFTER_MS / 1000) as u32;
                    return AdmissionDecision::Deferred {
                        retry_after_s,
                        has_reservation: false,
                    };
                }
                self.buckets[class_index].last_reservation_at = due_at;
                self.reservation_queue.insert((class_index, due_at, job));
                let is_local = true;
                self.reservations.insert(
                    job,
                    Reservation {
                        class_index,
                        due_at,
                        is_local,
                    },
                );
                due_at
            }
        };
        let delay_ms = (retry_at - now).clamp(1000, MAX_RETRY_AFTER_MS);
        let retry_after_s = delay_ms.div_ceil(1000) as u32;
        AdmissionDecision::Deferred {
            retry_after_s,
            has_reservation: true,
        }
    }

    /// How many reservations a second a class can be given: its own rate. Classes that the quotas don't name divide
    /// the unassigned rate equally among those of them that have future reservations.
    fn reservation_rate(&self, class_index: usize) -> f64 {
        let bucket = &self.buckets[class_index];
        if bucket.rate_per_s > 0.0 {
            return bucket.rate_per_s;
        }
        let competing_classes = self
            .buckets
            .iter()
            .enumerate()
            .filter(|(other_index, other)| {
                *other_index != class_index
                    && other.rate_per_s <= 0.0
                    && other.last_reservation_at > self.filled_at
            });
        self.unassigned.rate_per_s / (1 + competing_classes.count()) as f64
    }

    /// How many due reservations of a class have not been used yet.
    fn due_reservation_count(&self, class_index: usize, now: Millis) -> usize {
        let earliest = now.saturating_sub(RESERVATION_GRACE_MS);
        let due_range = (class_index, earliest, JobId(0))
            ..=(class_index, now + RESERVATION_EARLY_MS, JobId(u64::MAX));
        self.reservation_queue.range(due_range).count()
    }

    fn remove_reservation(&mut self, job: JobId) {
        if let Some(reservation) = self.reservations.remove(&job) {
            self.reservation_queue
                .remove(&(reservation.class_index, reservation.due_at, job));
        }
    }

    /// A job is accepted. `by_this_node`: this node answers the user. Otherwise the job was read from the state
    /// service.
    pub fn on_accepted(&mut self, job: JobId, by_this_node: bool, now: Millis) {
        self.remove_reservation(job);
        // A job that this node stores is often read from the state service before the response to its write
        // arrives: the job is counted when that response arrives.
        let is_admitted = self
            .pending
            .get(&job)
            .is_some_and(|submission| submission.is_admitted);
        if is_admitted && !by_this_node {
            return;
        }
        let Some(submission) = self.pending.remove(&job) else {
            return;
        };
        if by_this_node {
            let counts = &mut self.buckets[submission.class_index].counts;
            counts.accepted += 1;
            counts.accepted_promptly += u64::from(submission.first_seen_at + 1000 >= now);
        }
    }

    /// The submission was admitted, but its user was asked to retry: counts as deferred.
    pub fn on_refused(&mut self, job: JobId) {
        if let Some(submission) = self.pending.get_mut(&job)
            && submission.is_admitted
        {
            submission.is_admitted = false;
            submission.was_deferred = true;
            self.buckets[submission.class_index].counts.deferred += 1;
        }
    }

    /// Updates the mean arrival rates, and drops expired reservations and abandoned submissions. To be called
    /// several times a second; it does its work once a second.
    pub fn update_demand(&mut self, now: Millis) {
        if self.updated_at + 1000 > now {
            return;
        }
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1000.0;
        self.updated_at = now;
        let weight = 1.0 - (-elapsed_s / DEMAND_WINDOW_S).exp();
        for bucket in &mut self.buckets {
            let rate = f64::from(std::mem::take(&mut bucket.arrivals)) / elapsed_s;
            bucket.arrivals_per_s += (rate - bucket.arrivals_per_s) * weight;
        }
        let expired: Vec<JobId> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| reservation.due_at + RESERVATION_GRACE_MS <= now)
            .map(|(job, _)| *job)
            .collect();
        expired
            .into_iter()
            .for_each(|job| self.remove_reservation(job));
        self.remove_unseen(now, now.saturating_sub(ABANDONED_AFTER_MS));
        // A class without reservations gives its next one without a delay for earlier ones.
        let mut has_reservation = vec![false; self.buckets.len()];
        for reservation in self.reservations.values() {
            has_reservation[reservation.class_index] = true;
        }
        for (bucket, has_reservation) in self.buckets.iter_mut().zip(has_reservation) {
            if !has_reservation {
                bucket.last_reservation_at = 0;
            }
        }
    }

    /// Drops submissions that were last seen at `since` or before, but keeps those seen at `now`.
    fn remove_unseen(&mut self, now: Millis, since: Millis) {
        let buckets = &mut self.buckets;
        self.pending.retain(|_, submission| {
            let is_unseen = submission.last_seen_at <= since && submission.last_seen_at < now;
            if is_unseen && submission.was_deferred && !submission.is_admitted {
                buckets[submission.class_index].counts.abandoned += 1;
            }
            !is_unseen
        });
    }

    /// The demand of each class at this node, in submissions a second: the mean rate of first attempts, and the
    /// reservations that this node gave, spread over `DEMAND_WINDOW_S`.
    pub fn demand_by_class(&self) -> BTreeMap<WorkloadClassName, f64> {
        let mut reservation_counts = vec![0; self.buckets.len()];
        for reservation in self
            .reservations
            .values()
            .filter(|reservation| reservation.is_local)
        {
            reservation_counts[reservation.class_index] += 1;
        }
        let classes = self
            .class_names
            .iter()
            .zip(&self.buckets)
            .zip(reservation_counts);
        classes
            .map(|((name, bucket), count)| {
                (
                    name.clone(),
                    bucket.arrivals_per_s + f64::from(count) / DEMAND_WINDOW_S,
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
        let mut reservations: Vec<(Millis, JobId, usize)> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| reservation.is_local && reservation.due_at > now)
            .map(|(job, reservation)| (reservation.due_at, *job, reservation.class_index))
            .collect();
        reservations.sort_unstable();
        reservations.truncate(MAX_RESERVATIONS_SHARED);
        let reservations = reservations.into_iter();
        reservations
            .map(|(due_at, job, class_index)| {
                (job, self.class_names[class_index].clone(), due_at - now)
            })
            .collect()
    }

    /// When the reservation of a job falls due, if it has one.
    #[cfg(test)]
    pub fn reservation_due_at(&self, job: JobId) -> Option<Millis> {
        self.reservations
            .get(&job)
            .map(|reservation| reservation.due_at)
    }

    /// Adds reservations that other members gave: job, class, and milliseconds from `now`.
    pub fn add_remote_reservations(
        &mut self,
        reservations: &[(JobId, WorkloadClassName, u64)],
        now: Millis,
    ) {
        for (job, class, delay_ms) in reservations {
            if self.reservations.contains_key(job) || *delay_ms > USER_RETRY_PERIOD_MS {
                continue;
            }
            let class_index = self.class_index(class);
            let due_at = now + delay_ms;
            // It is not added to the queue: the user may retry at any node, so new submissions need not leave a
            // token for it here.
            let is_local = false;
            self.reservations.insert(
                *job,
                Reservation {
                    class_index,
                    due_at,
                    is_local,
                },
            );
        }
    }
}

#[cfg(test)]
mod tests;
