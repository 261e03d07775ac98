//! Admission control: limits what all nodes together admit, so that under overload no class starves and no node
//! admits more than its share. `docs/admission.md` compares the alternatives.
//!
//! `quotas` divides the capacity among nodes and classes, `controller` admits or defers submissions at one node, and
//! `load_shedding` orders requests by priority. This module connects them to the node: it passes each submission
//! to the controller, reports the node's demand to the leader, and on the leader stores new quotas.

mod controller;
pub mod load_shedding;
pub mod quotas;

use std::collections::BTreeMap;

pub use controller::AdmissionCounts;
use controller::{AdmissionController, AdmissionDecision};
use load_shedding::RequestPriority;
pub use quotas::{AdmissionQuotas, WorkloadClassName};
use quotas::{NodeDemand, QUOTAS_SETTLE_MS, QuotaFollower, QuotaShares};

use super::{ApiResponse, Effect, Node, RequestId, StateTag};
use crate::{
    cluster::ClusterState,
    coordination::write_outcome::TXN_TIMEOUT_MS,
    protocol::{
        ids::JobId,
        job::Submission,
        state::{Condition, StateError, StateReply, StateRequest, StateRequestPriority, Write},
    },
    scheduling::fair_share::{FairShareStatus, FairShareTracker},
    storage,
    time::Millis,
};

const ADMISSION_INTERVAL_MS: Millis = 250;
/// How often a node publishes its status.
const STATUS_INTERVAL_MS: Millis = 1000;
/// For how long the leader uses a member's status.
const STATUS_VALIDITY_MS: Millis = 6000;
/// The least time between two writes of new quotas: longer than quotas take to settle, by the drift between clocks
/// and the time that a late response to the write may take.
const QUOTAS_INTERVAL_MS: Millis = QUOTAS_SETTLE_MS + 1000;
/// New quotas are stored only if a rate changes by more than this fraction of its node's total rate.
const MIN_SHARE_CHANGE: f64 = 0.05;
/// The fraction of a follower's share of the state service's limits that users' submissions may take.
const FOLLOWER_SUBMISSION_FRACTION: f64 = 0.95;
/// The same for the leader, whose log writes come out of the same share.
const LEADER_SUBMISSION_FRACTION: f64 = 0.4;
/// Bytes of the stored quotas that are kept free for everything but nodes and classes.
const QUOTAS_OVERHEAD_BYTES: usize = 400;
/// The most bytes that a class takes in the stored quotas, besides its names and rates.
const BYTES_PER_CLASS: usize = 40;
/// How often the leader logs how each class is served.
const SERVED_LOG_INTERVAL_MS: Millis = 10_000;
/// The fraction of a node's memory that the tasks of unfinished jobs may take on the leader.
const TASK_MEMORY_FRACTION: f64 = 0.3;
/// The memory that a task takes, in bytes.
const BYTES_PER_TASK: f64 = 64.0;
/// The fraction of the memory for tasks that arrays of more than [`LONG_ARRAY_TASKS`] tasks leave to other jobs.
const LONG_ARRAY_RESERVE_FRACTION: f64 = 0.3;
const LONG_ARRAY_TASKS: u32 = 1000;
/// The retry delay in seconds of a submission without memory for its tasks. It is long because jobs have to end first.
const MEMORY_RETRY_AFTER_S: u32 = 20;
/// Time constant of the mean of the processor's lateness, in milliseconds.
const LATENESS_WINDOW_MS: f64 = 5000.0;

/// The admission status of a node, which it returns to the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberStatus {
    /// The label of the node.
    pub label: String,
    /// The sequence number of the quotas that it applies.
    pub quotas_seq: u64,
    /// Submissions a second that its share of the state service's limits allows.
    pub capacity_per_s: f64,
    /// The fraction of the time in which its processor could not keep up, from 0 to 1.
    pub lateness: f64,
    /// The demand of each class, in submissions a second.
    pub demands: Vec<(WorkloadClassName, f64)>,
    /// The next reservations that it gave.
    pub reservations: Vec<ReservationNotice>,
    /// The counts of each class.
    pub counts: Vec<(WorkloadClassName, AdmissionCounts)>,
}

/// A reservation that a node gave to a deferred submission: the job, its class, and in how many milliseconds the
/// user is to retry.
pub type ReservationNotice = (JobId, WorkloadClassName, u64);

/// The state of admission control at this node.
#[derive(Default)]
pub struct Admission {
    controller: AdmissionController,
    follower: QuotaFollower,
    updated_at: Millis,
    status_published_at: Millis,
    served_logged_at: Millis,
    /// The fraction of the time in which the processor could not keep up, from 0 to 1.
    lateness: f64,
    /// The last status of each member, and when it was received.
    member_statuses: BTreeMap<String, (Millis, MemberStatus)>,
    /// When new quotas were last stored, or may have been.
    quotas_stored_at: Millis,
    store_in_flight: bool,
}

impl Admission {
    /// Records the time between the starts of two steps of the node. During a gap longer than `late_after_ms` the
    /// processor counts as late. A gap is included in the mean lateness with a length of at most 1000 ms.
    pub(super) fn record_step_gap(&mut self, gap_ms: Millis, late_after_ms: Millis) {
        let late_ms = if gap_ms > late_after_ms {
            gap_ms.min(1000) as f64
        } else {
            0.0
        };
        let weight = 1.0 - (-(gap_ms.min(1000) as f64) / LATENESS_WINDOW_MS).exp();
        let current_lateness = if gap_ms > 0 {
            late_ms / gap_ms.min(1000) as f64
        } else {
            0.0
        };
        self.lateness += (current_lateness - self.lateness) * weight;
    }

    /// A job is accepted. `by_this_node`: this node answers the user. Otherwise the job was read from the state
    /// service.
    pub(super) fn on_accepted(&mut self, job: JobId, by_this_node: bool, now: Millis) {
        self.controller.on_accepted(job, by_this_node, now);
    }

    /// A submission was admitted, but its user was asked to retry.
    pub(super) fn on_refused(&mut self, job: JobId) {
        self.controller.on_refused(job);
    }

    pub(super) fn quotas_seq(&self) -> u64 {
        self.follower.seq()
    }

    pub(super) fn lateness(&self) -> f64 {
        self.lateness
    }

    /// The reservations of this node and those in the recent status of each member, for the leader's announcement.
    /// The time of each is relative to `now`.
    pub(super) fn reservations(&self, now: Millis) -> Vec<ReservationNotice> {
        let own = self.controller.local_reservations(now);
        let others = self
            .member_statuses
            .values()
            .filter(|(at, _)| *at + STATUS_INTERVAL_MS * 2 > now);
        let others =
            others.flat_map(|(at, status)| remaining_reservations(&status.reservations, now - at));
        own.into_iter().chain(others).collect()
    }

    /// Adds reservations of other nodes from a message that was sent `age_ms` ago. Those that fell due since
    /// then are left out.
    pub(super) fn add_remote_reservations(
        &mut self,
        reservations: &[ReservationNotice],
        age_ms: Millis,
        now: Millis,
    ) {
        let remaining: Vec<ReservationNotice> =
            remaining_reservations(reservations, age_ms).collect();
        self.controller.add_remote_reservations(&remaining, now);
    }

    /// When the reservation of a job falls due, if it has one.
    #[cfg(test)]
    pub(super) fn reservation_due_at(&self, job: JobId) -> Option<Millis> {
        self.controller.reservation_due_at(job)
    }

    /// When the last status of a member arrived.
    pub(super) fn last_status_at(&self, label: &str) -> Option<Millis> {
        self.member_statuses.get(label).map(|(at, _)| *at)
    }
}

/// The reservations that have not fallen due in the `age_ms` since they were sent.
fn remaining_reservations(
    reservations: &[ReservationNotice],
    age_ms: Millis,
) -> impl Iterator<Item = ReservationNotice> {
    let remaining = move |(job, class, delay_ms): &ReservationNotice| {
        Some((*job, class.clone(), delay_ms.checked_sub(age_ms)?))
    };
    reservations.iter().filter_map(remaining)
}

impl FairShareTracker {
    /// The fair share status of each class, by the names of team and class.
    pub fn named_statuses(
        &self,
        cluster: &ClusterState,
    ) -> Vec<(WorkloadClassName, FairShareStatus)> {
        let statuses = self.statuses();
        let named_statuses = statuses.map(|(class, status)| {
            let class = WorkloadClassName {
                team: cluster.teams[class.team.as_usize()].name.clone(),
                class: cluster
                    .class_interner
                    .name(class.class.0)
                    .unwrap_or_default()
                    .to_owned(),
            };
            (class, status.clone())
        });
        named_statuses.collect()
    }
}

fn workload_class_name(submission: &Submission) -> WorkloadClassName {
    WorkloadClassName {
        team: submission.team.clone(),
        class: submission.class.clone(),
    }
}

impl Node {
    /// Submissions a second that this node's share of the state service's limits allows if it is the leader
    /// (`is_leader`), or a follower. The lesser of the two is the least capacity that any node has.
    fn submission_capacity(&self, is_leader: bool) -> f64 {
        let state = &self.config.settings.state;
        let nodes = self.config.members.len() as f64 + 1.0;
        let shares = crate::coordination::rate_limit_shares::shares_for(nodes, is_leader);
        let fraction = if is_leader {
            LEADER_SUBMISSION_FRACTION
        } else {
            FOLLOWER_SUBMISSION_FRACTION
        };
        fraction * (shares.state_writes * state.write_rps).min(shares.state_requests * state.rps)
    }

    pub(super) fn quota_shares(&self) -> QuotaShares {
        let min_capacity_per_s = self
            .submission_capacity(false)
            .min(self.submission_capacity(true));
        let (default_rate, floor) = (min_capacity_per_s, quotas::floor_rate(min_capacity_per_s));
        let follower = &self.admission.follower;
        follower.shares_at(
            &self.config.label,
            (default_rate, floor),
            self.read_barrier.confirmed_at,
            self.now,
        )
    }

    /// Whether a leader has the memory for a submission's tasks. All nodes count the same jobs, except those accepted
    /// since their last read barrier.
    fn has_memory_for(&self, submission: &Submission) -> bool {
        let memory_bytes = self.config.settings.limits.mem_mb * 1e6 * TASK_MEMORY_FRACTION;
        let usable_fraction = if submission.tasks > LONG_ARRAY_TASKS {
            1.0 - LONG_ARRAY_RESERVE_FRACTION
        } else {
            1.0
        };
        let task_count = self.registry.unfinished_task_count() + u64::from(submission.tasks);
        // A single job is accepted whatever its number of tasks.
        task_count as f64 * BYTES_PER_TASK <= memory_bytes * usable_fraction
            || self.registry.unfinished_task_count() == 0
    }

    /// Decides on a submission whose job is not in the registry. Returns its priority if it is admitted. If not, its
    /// user has been asked to retry.
    pub(super) fn admit_submission(
        &mut self,
        id: RequestId,
        submission: &Submission,
    ) -> Option<RequestPriority> {
        if !self.has_memory_for(submission) {
            let tasks = submission.tasks;
            tracing::debug!(job = %submission.id, tasks, "submission deferred: no memory for its tasks");
            let response = ApiResponse {
                retry_after_s: Some(MEMORY_RETRY_AFTER_S),
                ..ApiResponse::error(429, "too many tasks wait")
            };
            self.respond(id, response);
            return None;
        }
        let shares = self.quota_shares();
        let now = self.now;
        self.admission.controller.refill(&shares, now);
        let job = submission.id;
        let class = workload_class_name(submission);
        let (retry_after_s, has_reservation) =
            match self.admission.controller.decide(&class, job, now) {
                AdmissionDecision::Admitted { within_share } => {
                    let priority = if within_share {
                        RequestPriority::SubmissionWithinShare
                    } else {
                        RequestPriority::SubmissionBeyondShare
                    };
                    if self.admission.lateness <= priority.max_lateness() {
                        return Some(priority);
                    }
                    self.admission.controller.on_refused(job);
                    (2, true)
                }
                AdmissionDecision::Deferred {
                    retry_after_s,
                    has_reservation,
                } => (retry_after_s, has_reservation),
            };
        tracing::debug!(%job, class = class.class, team = class.team, retry_after_s, has_reservation,
            "submission deferred");
        let error = if has_reservation {
            "too much comes at once: come back when told"
        } else {
            "too much comes at once: no turn can be told"
        };
        let response = ApiResponse {
            retry_after_s: Some(retry_after_s),
            ..ApiResponse::error(429, error)
        };
        self.respond(id, response);
        None
    }

    /// Whether the processor keeps up well enough for a request of this priority. If not, the request has been
    /// answered as unavailable.
    pub(super) fn admit_by_lateness(&mut self, id: RequestId, priority: RequestPriority) -> bool {
        let is_admitted = self.admission.lateness <= priority.max_lateness();
        if !is_admitted {
            self.respond(
                id,
                ApiResponse::unavailable("the processor can't follow", 5),
            );
        }
        is_admitted
    }

    /// The registry holds admission quotas that were read from the state service, also this node's own.
    pub(super) fn on_admission_quotas_read(&mut self) {
        let Some((quotas, _)) = &self.registry.admission_quotas else {
            return;
        };
        if quotas.seq <= self.admission.quotas_seq() {
            if quotas.is_settled && quotas.seq == self.admission.quotas_seq() {
                let quotas = quotas.clone();
                let follower = &mut self.admission.follower;
                follower.adopt(&self.config.label, quotas, QuotaShares::default(), self.now);
            }
            return;
        }
        let quotas = quotas.clone();
        let shares = self.quota_shares();
        let (total_per_s, share_per_s) = (quotas.total_per_s.round(), shares.total().round());
        tracing::info!(
            seq = quotas.seq,
            total_per_s,
            share_per_s,
            "adopted new admission quotas"
        );
        // Also quotas that another leader stored have to settle before this node stores new ones.
        self.admission.quotas_stored_at = self.now;
        let follower = &mut self.admission.follower;
        follower.adopt(&self.config.label, quotas, shares, self.now);
    }

    /// Stores the status that a member returned to the leader's announcement. A node that does not lead ignores it.
    pub(super) fn on_member_status(&mut self, status: MemberStatus) {
        let now = self.now;
        if self.leader_state.is_none() || status.label.is_empty() {
            return;
        }
        self.admission
            .add_remote_reservations(&status.reservations, 0, now);
        let label = status.label.clone();
        self.admission.member_statuses.insert(label, (now, status));
    }

    /// Does the periodic work: updates the demand, publishes the status, and on the leader stores new quotas.
    pub(super) fn run_admission(&mut self) {
        let now = self.now;
        if self.admission.updated_at + ADMISSION_INTERVAL_MS > now {
            return;
        }
        self.admission.updated_at = now;
        // Only after the first read barrier: before, the first refill would fill the buckets at the floor's rate.
        if self.read_barrier.confirmed_at.is_some() {
            let shares = self.quota_shares();
            self.admission.controller.refill(&shares, now);
        }
        self.admission.controller.update_demand(now);
        if self.admission.status_published_at + STATUS_INTERVAL_MS <= now {
            self.admission.status_published_at = now;
            let status = self.member_status();
            self.effects
                .push(Effect::PublishMemberStatus(Box::new(status)));
        }
        self.store_admission_quotas();
        self.log_served();
    }

    fn member_status(&self) -> MemberStatus {
        let controller = &self.admission.controller;
        MemberStatus {
            label: self.config.label.clone(),
            quotas_seq: self.admission.quotas_seq(),
            capacity_per_s: self.submission_capacity(self.leader_state.is_some()),
            lateness: self.admission.lateness,
            demands: controller.demand_by_class().into_iter().collect(),
            reservations: controller.local_reservations(self.now),
            counts: controller
                .counts()
                .map(|(class, counts)| (class.clone(), counts))
                .collect(),
        }
    }

    /// The demand of each node by its last status. A member without a recent status keeps its floor.
    fn node_demands(&self, floor: f64) -> BTreeMap<String, NodeDemand> {
        let demand_of = |status: &MemberStatus| NodeDemand {
            capacity_per_s: status.capacity_per_s,
            class_demands: status.demands.iter().cloned().collect(),
            lateness: status.lateness,
        };
        let mut demands =
            BTreeMap::from([(self.config.label.clone(), demand_of(&self.member_status()))]);
        for member in &self.config.members {
            let last_status = self.admission.member_statuses.get(&member.label);
            let recent_status = last_status.filter(|(at, _)| *at + STATUS_VALIDITY_MS > self.now);
            let demand = recent_status.map_or(
                NodeDemand {
                    capacity_per_s: floor,
                    ..NodeDemand::default()
                },
                |(_, status)| NodeDemand {
                    // The member may have been the leader when it sent its status, and is a follower now.
                    capacity_per_s: status.capacity_per_s.min(self.submission_capacity(false)),
                    ..demand_of(status)
                },
            );
            demands.insert(member.label.clone(), demand);
        }
        demands
    }

    /// On the leader: marks stored quotas as settled once they are, or stores new quotas if they differ enough.
    fn store_admission_quotas(&mut self) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let admission = &self.admission;
        let last_stored_at = admission.quotas_stored_at.max(leader.takeover_at);
        if leader.cluster.is_none() || admission.store_in_flight || !self.can_start_tasks() {
            return;
        }
        if let Some((quotas, version)) = &self.registry.admission_quotas
            && !quotas.is_settled
            && quotas.seq == admission.quotas_seq()
            && last_stored_at + QUOTAS_SETTLE_MS <= self.now
        {
            let settled_quotas = AdmissionQuotas {
                is_settled: true,
                ..quotas.clone()
            };
            let tag = StateTag::WriteSettledQuotas {
                lease: leader.lease,
            };
            return self.write_admission_quotas(tag, *version, &settled_quotas);
        }
        if last_stored_at + QUOTAS_INTERVAL_MS > self.now {
            return;
        }
        let (stored_quotas, version) = match &self.registry.admission_quotas {
            Some((quotas, version)) => (Some(quotas), *version),
            None => (None, 0),
        };
        let default_rate = self
            .submission_capacity(false)
            .min(self.submission_capacity(true));
        let floor = quotas::floor_rate(default_rate);
        let demands = self.node_demands(floor);
        let max_name_bytes: usize = demands
            .values()
            .flat_map(|demand| demand.class_demands.keys())
            .map(|class| class.team.len() + class.class.len())
            .max()
            .unwrap_or(0);
        let bytes_per_class = max_name_bytes + BYTES_PER_CLASS + 12 * demands.len();
        let max_bytes = self.config.settings.state.max_value_bytes();
        let max_classes =
            max_bytes.saturating_sub(QUOTAS_OVERHEAD_BYTES + 72 * demands.len()) / bytes_per_class;
        let seq = stored_quotas.map_or(0, |quotas| quotas.seq) + 1;
        let new_quotas = quotas::allocate_quotas(&demands, floor, (seq, leader.term), max_classes);
        let new_quotas = new_quotas.with_previous_totals(stored_quotas, default_rate, floor);
        if stored_quotas.is_some_and(|stored| !new_quotas.differs_by(stored, MIN_SHARE_CHANGE)) {
            return;
        }
        let lease = leader.lease;
        // The write may be applied from this moment.
        self.admission.quotas_stored_at = self.now;
        self.write_admission_quotas(
            StateTag::WriteAdmissionQuotas { lease },
            version,
            &new_quotas,
        );
    }

    fn write_admission_quotas(&mut self, tag: StateTag, version: u64, quotas: &AdmissionQuotas) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let mut txn = crate::protocol::state::Txn::with_condition(leader.leadership_condition());
        txn.conditions.push(Condition {
            key: storage::ADMISSION_QUOTAS_KEY.into(),
            version,
        });
        txn.writes.push(Write::Put {
            key: storage::ADMISSION_QUOTAS_KEY.into(),
            value: storage::to_value(quotas),
            lease: None,
        });
        self.admission.store_in_flight = true;
        let request = StateRequest::Txn(txn);
        self.call_state_service(tag, request, StateRequestPriority::Normal, TXN_TIMEOUT_MS);
    }

    /// Handles the response to the write that marks quotas as settled. Whatever the outcome, this node applies the
    /// quotas when it reads them, as every other node does.
    pub(super) fn on_settled_quotas_stored(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        self.admission.store_in_flight = false;
        if self.write_outcome(lease, result).is_some() {
            self.request_read_barrier();
        }
    }

    /// Handles the response to the write of new quotas. Whatever the outcome, this node applies the quotas when the
    /// watch or a read barrier returns them, as every other node does.
    pub(super) fn on_admission_quotas_stored(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        self.admission.store_in_flight = false;
        self.admission.quotas_stored_at = self.now;
        if self.write_outcome(lease, result).is_some() {
            self.request_read_barrier();
        }
    }

    /// On the leader: logs at intervals, for each class, the counts of all nodes and the fair share status.
    fn log_served(&mut self) {
        let now = self.now;
        let Some(leader) = &self.leader_state else {
            return;
        };
        let Some(cluster) = &leader.cluster else {
            return;
        };
        if self.admission.served_logged_at + SERVED_LOG_INTERVAL_MS > now {
            return;
        }
        self.admission.served_logged_at = now;
        let counts_by_class = self.total_admission_counts();
        let share_statuses: BTreeMap<WorkloadClassName, FairShareStatus> = leader
            .fair_share
            .named_statuses(cluster)
            .into_iter()
            .collect();
        for (class, counts) in &counts_by_class {
            let share_status = share_statuses.get(class).cloned().unwrap_or_default();
            tracing::info!(
                team = class.team,
                class = class.class,
                came = counts.arrived,
                accepted = counts.accepted,
                in_time = counts.accepted_promptly,
                sent_away = counts.deferred,
                no_turn = counts.deferred_unreserved,
                given_up = counts.abandoned,
                waiting = share_status.waiting_tasks,
                oldest_ms = share_status.oldest_wait_ms,
                started = share_status.tasks_started,
                done = share_status.tasks_completed,
                gave_way = share_status.attempts_preempted,
                jobs_done = share_status.jobs_completed,
                jobs_in_time = share_status.jobs_on_time,
                due = share_status.entitled.round(),
                got = share_status.allocated.round(),
                "served"
            );
        }
    }

    pub(super) fn local_admission_counts(&self) -> Vec<(WorkloadClassName, AdmissionCounts)> {
        let counts = self.admission.controller.counts();
        counts
            .map(|(class, counts)| (class.clone(), counts))
            .collect()
    }

    /// The sums of the counts of this node and the last received counts of its members, by class.
    fn total_admission_counts(&self) -> BTreeMap<WorkloadClassName, AdmissionCounts> {
        let mut totals: BTreeMap<WorkloadClassName, AdmissionCounts> = BTreeMap::new();
        let own = self.local_admission_counts().into_iter();
        let members = self.admission.member_statuses.values();
        let others = members.flat_map(|(_, status)| status.counts.iter().cloned());
        for (class, counts) in own.chain(others) {
            totals.entry(class).or_default().add(&counts);
        }
        totals
    }
}

#[cfg(test)]
mod tests;
