//! Leadership: the lease, the term, what the node is entitled to do now, and the leader's writes.
//!
//! The leader holds `shared/leader` on a lease of the state service. Its term is the token that
//! workers obey. All its transactions are conditional on the version of `shared/leader`, so that
//! one that is applied late, after a takeover, changes nothing.

use std::collections::HashMap;

use super::{
    Effect, JobProgress, LeaderAnnouncement, Node, StateTag, fleet::RevocationReply,
    quota::CellQuotas, takeover::RecoveredState,
};
use crate::{
    cluster::{ClusterState, InheritedUrgency, MachineState},
    coordination::{
        job_graph::JobOutcomes,
        leader_log::LeaderLog,
        provisioning::Provisioning,
        reachability::WorkerReachability,
        registry::RegisteredJob,
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::{
        ids::JobId,
        job::JobKind,
        state::{Condition, StateError, StateReply, StateRequest, Txn, Urgency, Write},
    },
    scheduling::{
        self, PreemptionScope,
        fair_share::{FairShareLedger, WorkloadClass},
    },
    storage::{self, LeaderRecord, TermRecord},
    time::Millis,
};

/// The life of the leader's lease: how long a dead leader is waited for.
const LEADER_LEASE_TTL_MS: Millis = 3500;
const LEASE_RENEWAL_INTERVAL_MS: Millis = 700;
const LEASE_RENEWAL_TIMEOUT_MS: Millis = 1200;
const ELECTION_RETRY_MS: Millis = 300;
/// A process that has just begun lets those that have lived longer take the lead: it may be one that
/// ends every few seconds, and its predecessor may have led.
const YOUNG_PROCESS_AGE_MS: Millis = 10_000;
/// For that long; they need a few round trips to the state service.
const YOUNG_ELECTION_DELAY_MS: Millis = 250;
const FENCE_INTERVAL_MS: Millis = 3000;
const PROGRESS_INTERVAL_MS: Millis = 1000;
const SCHEDULING_INTERVAL_MS: Millis = 40;
const QUEUE_REFRESH_INTERVAL_MS: Millis = 250;
const PREEMPTION_INTERVAL_MS: Millis = 10_000;
/// How long room is kept for the job that others gave way for: a stop, its report and a round.
const PREEMPTED_ROOM_HOLD_MS: Millis = 3000;
/// Users wait for services; what gives way to them does so sooner.
const SERVICE_PREEMPTION_INTERVAL_MS: Millis = 200;
/// So do jobs that are to start or end in time: 10 s are longer than some may wait.
const OBJECTIVE_PREEMPTION_INTERVAL_MS: Millis = 1000;

/// Trying to become the leader.
#[derive(Debug, Default)]
pub struct Election {
    step: ElectionStep,
    retry_at: Millis,
    released_lease: Option<u64>,
    /// Since when nobody leads, as far as this node knows.
    vacant_since: Option<Millis>,
}

#[derive(Debug, Default, PartialEq, Eq)]
enum ElectionStep {
    #[default]
    Idle,
    AwaitingLease,
    AcquiringLeadership {
        lease: u64,
        granted_at: Millis,
        term: u64,
    },
}

impl Election {
    /// Others go first until then.
    pub(super) fn defer_until(&mut self, until: Millis) {
        self.retry_at = until;
    }
}

/// What the leader knows and does.
pub struct LeaderState {
    pub lease: u64,
    /// The version of `shared/leader`.
    leader_key_version: u64,
    pub term: u64,
    term_key_version: u64,
    /// The term at the takeover: a worker that has reported it obeys nobody before us.
    pub first_term: u64,
    pub takeover_at: Millis,
    /// The send time of the last renewal that succeeded.
    lease_confirmed_at: Millis,
    renewing_lease: bool,
    last_renewal_at: Millis,
    pub recovered: RecoveredState,
    pub cluster: Option<ClusterState>,
    /// What each class of each team is entitled to, and what it got.
    pub fair_share: FairShareLedger,
    pub log: LeaderLog,
    fence_in_flight: bool,
    pub fence_requested: bool,
    pub fenced_at: Millis,
    progress_announced_at: Millis,
    last_cycle_at: Millis,
    queues_refreshed_at: Millis,
    pub machines_checked_at: Millis,
    pub all_orders_checked_at: Millis,
    /// By whose tasks they were checked for.
    preempted_at: [Millis; 3],
    machine_types_stored_at: u64,
    pub provisioning: Provisioning,
    /// Deputies whose keys went since the takeover, and when that was seen.
    pub renewer_lost_at: HashMap<String, Millis>,
    /// When each deputy's key was last seen to be written anew.
    pub renewer_registered_at: HashMap<String, Millis>,
    /// What members say about silent machines, by member and machine.
    pub revocation_replies: HashMap<(String, String), RevocationReply>,
    pub renewers_asked_at: Millis,
    pub reachability: WorkerReachability,
    pub outcomes: JobOutcomes,
    /// What those that need a job make of it.
    pub inherited_urgency: HashMap<JobId, InheritedUrgency>,
    /// Quotas that cells share; `None`: there is but this one.
    pub cell_quotas: Option<CellQuotas>,
}

impl LeaderState {
    /// Done and running tasks of a job.
    pub fn task_counts(&self, id: JobId) -> Option<(u32, u32)> {
        let cluster = self.cluster.as_ref()?;
        let job = cluster.job(*cluster.jobs_by_id.get(&id)?);
        Some((job.done_count, job.running_count))
    }

    pub(super) fn leadership_condition(&self) -> Condition {
        Condition {
            key: storage::LEADER_KEY.into(),
            version: self.leader_key_version,
        }
    }
}

impl Node {
    /// The time from which this node's rights count: both the lease and the view of the jobs were
    /// renewed by requests sent then or later. A renewed lease alone would not do: while the jobs
    /// can't be followed, another node may have told a user that one is cancelled.
    fn leadership_confirmed_at(&self) -> Option<Millis> {
        let leading = self.leader_state.as_ref()?;
        Some(
            leading
                .lease_confirmed_at
                .min(self.read_barrier.confirmed_at?),
        )
    }

    /// Starts may be sent while the lease surely lives.
    pub(super) fn can_start_tasks(&self) -> bool {
        let margin = 300;
        self.leadership_confirmed_at()
            .is_some_and(|fresh| self.now + margin < fresh + LEADER_LEASE_TTL_MS)
    }

    /// The lease of the state service under which this node leads; tags carry it, so that answers
    /// meant for an earlier leadership are void.
    pub(super) fn holds_leadership(&self, lease: u64) -> bool {
        self.leader_state.as_ref().is_some_and(|l| l.lease == lease)
    }

    pub(super) fn on_leader_changed(&mut self) {
        match (&self.registry.leader, &self.leader_state) {
            (Some((record, version)), Some(leading)) if *version > leading.leader_key_version => {
                tracing::warn!(leader = record.node, "another node leads");
                self.step_down();
            }
            (None, Some(_)) => {
                tracing::warn!("the leader's key is gone");
                self.step_down();
            }
            (Some((record, _)), None) => {
                tracing::info!(leader = record.node, term = record.term, "following");
            }
            _ => {}
        }
    }

    pub(super) fn on_term_changed(&mut self) {
        // Under our own leadership only we raise it: this is a fence of ours whose answer was lost.
        if let Some(leading) = &mut self.leader_state
            && self.registry.term > leading.term
        {
            leading.term = self.registry.term;
            leading.term_key_version = self.registry.term_version;
        }
    }

    pub(super) fn step_down(&mut self) {
        if let Some(leading) = self.leader_state.take() {
            tracing::warn!(term = leading.term, "no longer the leader");
            self.effects.push(Effect::SetLeadership(false));
            self.election = Election {
                retry_at: self.now + ELECTION_RETRY_MS,
                ..Election::default()
            };
            self.request_read_barrier();
        }
    }

    /// Tries to become the leader when there is none.
    pub(super) fn run_election(&mut self) {
        if self.leader_state.is_some()
            || !self.is_ready()
            || self.election.step != ElectionStep::Idle
            || self.election.retry_at > self.now
        {
            return;
        }
        if let Some((record, _)) = &self.registry.leader {
            // A process that had this label before has ended for good: its lease need not run out.
            let lease = record.lease;
            if record.node == self.config.label && self.election.released_lease != Some(lease) {
                self.election.released_lease = Some(lease);
                self.call_state_service(
                    StateTag::ReleaseLeaderLease,
                    StateRequest::Release { lease },
                    Urgency::Vital,
                    TXN_TIMEOUT_MS,
                );
            }
            self.election.vacant_since = None;
            return;
        }
        let vacant = *self.election.vacant_since.get_or_insert(self.now);
        if self.now < YOUNG_PROCESS_AGE_MS
            && self.now < vacant + YOUNG_ELECTION_DELAY_MS
            && self.has_older_peer()
        {
            return;
        }
        self.election.step = ElectionStep::AwaitingLease;
        self.call_state_service(
            StateTag::GrantLeaderLease,
            StateRequest::Grant {
                ttl_ms: LEADER_LEASE_TTL_MS,
            },
            Urgency::Vital,
            TXN_TIMEOUT_MS,
        );
    }

    /// Whether another node holds a deputy's key that is older than this one's, as far as is known: its process, or
    /// one that has just ended, has lived for longer.
    fn has_older_peer(&self) -> bool {
        let own = self.lease_renewer.held_key_version().unwrap_or(u64::MAX);
        let mut others = self.registry.lease_renewers.iter();
        others.any(|(label, version)| *label != self.config.label && *version < own)
    }

    fn on_election_failed(&mut self) {
        self.election.step = ElectionStep::Idle;
        self.election.retry_at = self.now + ELECTION_RETRY_MS;
    }

    pub(super) fn on_leader_lease_granted(
        &mut self,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        let Ok(StateReply::Granted(lease)) = result else {
            return self.on_election_failed();
        };
        let term = self.registry.term + 1;
        self.election.step = ElectionStep::AcquiringLeadership {
            lease,
            granted_at: sent_at,
            term,
        };
        let txn = Txn {
            conditions: vec![
                Condition {
                    key: storage::LEADER_KEY.into(),
                    version: 0,
                },
                Condition {
                    key: storage::TERM_KEY.into(),
                    version: self.registry.term_version,
                },
            ],
            writes: vec![
                Write::Put {
                    key: storage::LEADER_KEY.into(),
                    value: storage::to_value(&LeaderRecord {
                        node: self.config.label.clone(),
                        lease,
                        term,
                    }),
                    lease: Some(lease),
                },
                Write::Put {
                    key: storage::TERM_KEY.into(),
                    value: storage::to_value(&TermRecord { term }),
                    lease: None,
                },
            ],
        };
        self.call_state_service(
            StateTag::AcquireLeadership { lease },
            StateRequest::Txn(txn),
            Urgency::Vital,
            TXN_TIMEOUT_MS,
        );
    }

    pub(super) fn on_acquire_response(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            Ok(StateReply::Committed(version)) => self.become_leader(lease, version),
            Err(StateError::NoAnswer) => self.call_state_service(
                StateTag::CheckLeadership { lease },
                StateRequest::Get {
                    key: storage::LEADER_KEY.into(),
                },
                Urgency::Vital,
                TXN_TIMEOUT_MS,
            ),
            _ => {
                self.on_election_failed();
                self.request_read_barrier();
            }
        }
    }

    /// The acquisition got no answer. If it is not there now it is given up: it may be applied
    /// later, but its lease is never renewed and ends by itself; the next try has a new one.
    pub(super) fn on_acquire_check(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        if let Ok(StateReply::Row(row)) = result
            && let Ok(record) = serde_json::from_value::<LeaderRecord>(row.value)
            && record.lease == lease
        {
            return self.become_leader(lease, row.version);
        }
        self.on_election_failed();
        self.request_read_barrier();
    }

    fn become_leader(&mut self, lease: u64, version: u64) {
        let ElectionStep::AcquiringLeadership {
            lease: asked,
            granted_at: granted,
            term,
        } = self.election.step
        else {
            return;
        };
        if asked != lease {
            return;
        }
        self.election.step = ElectionStep::Idle;
        tracing::info!(term, "leading");
        self.registry.leader = Some((
            LeaderRecord {
                node: self.config.label.clone(),
                lease,
                term,
            },
            version,
        ));
        self.registry.term = term;
        self.registry.term_version = version;
        self.leader_state = Some(Box::new(LeaderState {
            lease,
            leader_key_version: version,
            term,
            term_key_version: version,
            first_term: term,
            takeover_at: self.now,
            lease_confirmed_at: granted,
            renewing_lease: false,
            last_renewal_at: self.now,
            recovered: RecoveredState::default(),
            cluster: None,
            fair_share: FairShareLedger::default(),
            log: LeaderLog::default(),
            fence_in_flight: false,
            fence_requested: false,
            fenced_at: 0,
            progress_announced_at: 0,
            last_cycle_at: 0,
            queues_refreshed_at: 0,
            machines_checked_at: 0,
            all_orders_checked_at: 0,
            preempted_at: [self.now; 3],
            machine_types_stored_at: 0,
            provisioning: Provisioning::default(),
            renewer_lost_at: HashMap::new(),
            renewer_registered_at: HashMap::new(),
            revocation_replies: HashMap::new(),
            renewers_asked_at: 0,
            reachability: WorkerReachability::default(),
            outcomes: JobOutcomes::default(),
            inherited_urgency: HashMap::new(),
            cell_quotas: None,
        }));
        self.effects.push(Effect::SetLeadership(true));
        // Jobs accepted or cancelled up to now must be known before the books are made.
        self.read_barrier.confirmed_at = None;
        self.request_read_barrier();
        self.read_leader_log();
    }

    /// A job was accepted, released, done or cancelled.
    pub(super) fn on_job_changed(&mut self, id: JobId) {
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &mut leading.cluster else {
            return;
        };
        let mut pulled = vec![id];
        let mut released = false;
        match self.registry.get(id) {
            Some(RegisteredJob::Live(job)) => {
                pulled.extend(&job.spec.dependencies);
                // It is entered once all that it needs is done, and weighs nothing before.
                released = job.dependencies_left == 0 && !cluster.jobs_by_id.contains_key(&id);
            }
            Some(RegisteredJob::Ended(..)) => {
                leading.inherited_urgency.remove(&id);
                if let Some(&index) = cluster.jobs_by_id.get(&id)
                    && !cluster.job(index).closed
                {
                    cluster.close_job(index);
                }
            }
            Some(RegisteredJob::CancelledByDependency(job)) => {
                tracing::info!(job = %id, "cancelled with a job that it needs");
                leading.inherited_urgency.remove(&id);
                pulled.extend(&job.spec.dependencies);
            }
            None => {}
        }
        if released {
            self.enqueue_released_job(id);
        }
        self.propagate_urgency(pulled);
    }

    /// Enters a job for which no other has to be waited.
    fn enqueue_released_job(&mut self, id: JobId) {
        let (now, wall) = (self.now, self.wall_ms);
        let Some(live) = self.registry.live_job(id) else {
            return;
        };
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &mut leading.cluster else {
            return;
        };
        let times = (live.submitted_at_ms, live.released_at_ms);
        let Some(index) = cluster.add_released_job(&live.spec, times, now) else {
            return tracing::error!(job = %id, "no such team");
        };
        if let Some(pull) = leading.inherited_urgency.get(&id) {
            cluster.inherit_urgency(index, pull, now);
        }
        let job = cluster.job(index);
        if job.kind == JobKind::Service {
            let (need, tasks) = (job.requested, job.tasks.len());
            leading.provisioning.autoscaler.record_service_arrival(
                need,
                tasks,
                live.submitted_at_ms,
            );
        }
        if !live.spec.dependencies.is_empty() {
            let turn_ms = job.placement_deadline_ms.saturating_sub(wall);
            tracing::info!(job = %id, priority = ?job.priority, turn_ms, "released");
        }
    }

    /// The leader's turn: renews, schedules, writes, sends.
    pub(super) fn run_leader_cycle(&mut self) {
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        if !leading.renewing_lease
            && leading.last_renewal_at + LEASE_RENEWAL_INTERVAL_MS <= self.now
        {
            leading.renewing_lease = true;
            leading.last_renewal_at = self.now;
            let lease = leading.lease;
            self.call_state_service(
                StateTag::RenewLeaderLease { lease },
                StateRequest::Touch { lease },
                Urgency::Vital,
                LEASE_RENEWAL_TIMEOUT_MS,
            );
        }
        // The books are complete once a sync that began after the takeover has come back.
        if self
            .leader_state
            .as_ref()
            .is_none_or(|l| l.cluster.is_none())
            || self.read_barrier.confirmed_at.is_none()
        {
            return;
        }
        self.check_machines();
        self.run_quota_cycle();
        let quotas_known = self
            .leader_state
            .as_ref()
            .is_some_and(|leading| leading.has_loaded_quotas());
        if quotas_known && self.can_start_tasks() {
            self.run_scheduling();
        }
        self.retry_unconfirmed_checks();
        self.write_log();
        self.write_snapshots();
        self.store_outcomes();
        self.store_images();
        self.raise_term();
        self.collect_finished_jobs();
        self.run_provisioning();
        self.send_orders();
        self.announce_progress();
    }

    fn run_scheduling(&mut self) {
        let now = self.now;
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &mut leading.cluster else {
            return;
        };
        if leading.queues_refreshed_at + QUEUE_REFRESH_INTERVAL_MS <= now {
            leading.queues_refreshed_at = now;
            cluster.set_time_of_day(now, self.wall_ms);
            cluster.refresh_placement_deadlines(now);
        }
        // Reports come by the hundred a second: a round takes what several have changed.
        let due = if cluster.scheduling_needed {
            SCHEDULING_INTERVAL_MS
        } else {
            1000
        };
        if leading.last_cycle_at + due <= now {
            leading.last_cycle_at = now;
            cluster.scheduling_needed = false;
            let placed = scheduling::run_scheduling_cycle(cluster, &mut leading.fair_share, now);
            if placed > 0 {
                tracing::debug!(placed, "round");
            }
        }
        let due = [
            (PreemptionScope::All, PREEMPTION_INTERVAL_MS),
            (
                PreemptionScope::WithObjective,
                OBJECTIVE_PREEMPTION_INTERVAL_MS,
            ),
            (PreemptionScope::Services, SERVICE_PREEMPTION_INTERVAL_MS),
        ];
        let checked = &mut leading.preempted_at;
        let due = due
            .into_iter()
            .find(|&(whose, every)| checked[whose as usize] + every <= now);
        if let Some((whose, _)) = due {
            // A check for more jobs is one for fewer, too.
            checked[..=whose as usize].fill(now);
            for victim in scheduling::select_preemptions(cluster, now, whose) {
                let attempt =
                    &cluster.machines[victim.machine.as_usize()].attempts[victim.attempt_index];
                let job = cluster.job(attempt.job);
                let grace = if job.checkpoint_s > 0.0 {
                    job.save_s
                } else {
                    0.0
                };
                let ran_s = attempt
                    .running_since
                    .map_or(0, |since| now.saturating_sub(since) / 1000);
                let (task, to) = (
                    job.task_id(attempt.task),
                    cluster.job(victim.beneficiary).id,
                );
                tracing::info!(%task, %to, reason = ?victim.reason, ran_s, "gives way");
                let flow = WorkloadClass::of_job(job);
                leading.fair_share.status_mut(flow).attempts_preempted += 1;
                cluster.request_stop(victim.machine, victim.attempt_index, grace);
                let until = now + PREEMPTED_ROOM_HOLD_MS + (grace * 1000.0) as Millis;
                cluster.machines[victim.machine.as_usize()].reserved_for =
                    Some((victim.beneficiary, until));
            }
        }
    }

    pub(super) fn on_leader_lease_renewed(
        &mut self,
        lease: u64,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        leading.renewing_lease = false;
        match result {
            Ok(StateReply::Touched) => {
                leading.lease_confirmed_at = leading.lease_confirmed_at.max(sent_at)
            }
            Ok(StateReply::NoLease) => {
                tracing::warn!("the leader's lease has ended");
                self.step_down();
            }
            _ => leading.last_renewal_at = self.now.saturating_sub(LEASE_RENEWAL_INTERVAL_MS - 200),
        }
    }

    /// Raises the term when a start that got no answer could still be carried out late.
    fn raise_term(&mut self) {
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        if !leading.fence_requested
            || leading.fence_in_flight
            || leading.fenced_at + FENCE_INTERVAL_MS > self.now
        {
            return;
        }
        leading.fence_requested = false;
        leading.fence_in_flight = true;
        leading.fenced_at = self.now;
        let lease = leading.lease;
        let mut txn = Txn::only_if(leading.leadership_condition());
        let raised = TermRecord {
            term: leading.term + 1,
        };
        let raised = storage::to_value(&raised);
        txn.put(storage::TERM_KEY.into(), leading.term_key_version, raised);
        self.call_state_service(
            StateTag::RaiseTerm { lease },
            StateRequest::Txn(txn),
            Urgency::Vital,
            TXN_TIMEOUT_MS,
        );
    }

    pub(super) fn on_fence_response(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        let Some(fate) = self.write_outcome(lease, result) else {
            return;
        };
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        match fate {
            WriteOutcome::Stored(version) => {
                leading.fence_in_flight = false;
                if version > leading.term_key_version {
                    leading.term += 1;
                    leading.term_key_version = version;
                }
                self.registry.term = leading.term;
                self.registry.term_version = leading.term_key_version;
                tracing::info!(term = leading.term, "term raised as a fence");
            }
            WriteOutcome::Unknown => self.call_state_service(
                StateTag::CheckTerm { lease },
                StateRequest::Get {
                    key: storage::TERM_KEY.into(),
                },
                Urgency::Vital,
                TXN_TIMEOUT_MS,
            ),
            WriteOutcome::Rejected => {
                leading.fence_in_flight = false;
                leading.fence_requested = true;
            }
        }
    }

    pub(super) fn on_fence_check(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        if !self.holds_leadership(lease) {
            return;
        }
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        leading.fence_in_flight = false;
        leading.fence_requested = true;
        if let Ok(StateReply::Row(row)) = result
            && let Ok(record) = serde_json::from_value::<TermRecord>(row.value)
            && row.version > leading.term_key_version
        {
            // Should another node have raised it, our lease has ended, and the next conditional
            // write will say so; a token that is not ours is not taken.
            if record.term == leading.term + 1 {
                self.request_read_barrier();
            }
        }
    }

    /// Keeps the machine types in the store, for nodes that start while the cloud is down.
    pub(super) fn store_machine_types(&mut self) {
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        let same = self
            .registry
            .machine_types
            .as_ref()
            .is_some_and(|(known, _)| {
                known.types.len() == self.machine_types.len()
                    && known.types.iter().zip(&self.machine_types).all(|(a, b)| {
                        a.name == b.name
                            && a.cpus == b.cpus
                            && a.gpus == b.gpus
                            && a.ram_gb == b.ram_gb
                            && a.price == b.price
                            && a.zones == b.zones
                    })
            });
        if same
            || leading.machine_types_stored_at + 10_000 > self.now
                && leading.machine_types_stored_at > 0
        {
            return;
        }
        leading.machine_types_stored_at = self.now;
        let condition = leading.leadership_condition();
        let bytes = self.config.settings.state.max_value_bytes();
        for (key, value) in storage::machine_types_records(&self.machine_types, bytes) {
            // One of this leader's that is applied late must not follow a newer one.
            let known = self.registry.machine_types_versions.get(&key);
            let mut txn = Txn::only_if(condition.clone());
            txn.put(key, known.copied().unwrap_or(0), value);
            self.call_state_service(
                StateTag::WriteMachineTypes,
                StateRequest::Txn(txn),
                Urgency::Normal,
                TXN_TIMEOUT_MS,
            );
        }
    }

    /// Lets the other members know how far jobs are.
    fn announce_progress(&mut self) {
        let Some(leading) = &mut self.leader_state else {
            return;
        };
        if leading.progress_announced_at + PROGRESS_INTERVAL_MS > self.now {
            return;
        }
        leading.progress_announced_at = self.now;
        let Some(cluster) = &leading.cluster else {
            return;
        };
        if tracing::enabled!(tracing::Level::DEBUG) {
            log_cluster_state(cluster);
            let unwritten = cluster.unlogged_tasks.len() + cluster.tasks_being_logged.len();
            tracing::debug!(unwritten, entries = leading.log.live_record_count(), "log");
        }
        let jobs = cluster
            .jobs_by_id
            .iter()
            .map(|(id, index)| (id, cluster.job(*index)))
            .filter(|(_, job)| !job.closed && (job.done_count > 0 || job.running_count > 0))
            .map(|(id, job)| JobProgress {
                job: *id,
                done: job.done_count,
                running: job.running_count,
            })
            .collect();
        self.effects
            .push(Effect::AnnounceProgress(LeaderAnnouncement {
                term: leading.term,
                leader: self.config.label.clone(),
                jobs,
                reservations: self.admission.reservations(self.now),
            }));
    }
}

/// Tells what waits and what is used, for whoever reads the log of a day.
fn log_cluster_state(cluster: &ClusterState) {
    for team in &cluster.teams {
        let mut waiting = [0; 2];
        for (.., job) in &team.queue {
            let job = cluster.job(*job);
            waiting[usize::from(job.kind == JobKind::Service)] += job.waiting.len();
        }
        let [arrays, services] = waiting;
        let booked = cluster.accounted_units(&team.reserved);
        tracing::debug!(team = team.name, booked, arrays, services, "waits");
    }
    let count = |state| cluster.machines.iter().filter(|m| m.state == state).count();
    let used = cluster
        .machines
        .iter()
        .map(|m| cluster.accounted_units(&m.reserved))
        .sum::<f64>();
    let (up, booting) = (count(MachineState::Up), count(MachineState::Booting));
    tracing::debug!(up, booting, used, "machines");
}

#[cfg(test)]
mod tests;
