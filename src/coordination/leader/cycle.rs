//! The leader's periodic duties, scheduling and preemption among them.

use crate::{
    cluster::ClusterState,
    coordination::Node,
    scheduling::{
        self, PreemptionScope, PreemptionVictim,
        fair_share::{FairShareTracker, WorkloadClass},
    },
    time::Millis,
};

/// Hundreds of heartbeats arrive each second: one cycle handles the changes of several of them.
const SCHEDULING_INTERVAL_MS: Millis = 40;
/// The interval while nothing has changed that affects scheduling.
const IDLE_SCHEDULING_INTERVAL_MS: Millis = 1000;
const QUEUE_REFRESH_INTERVAL_MS: Millis = 250;
const PREEMPTION_INTERVAL_MS: Millis = 10_000;
/// How long freed capacity stays reserved for the job that others were preempted for: the time to stop
/// the victim, report that in a heartbeat and run a scheduling cycle.
const PREEMPTED_CAPACITY_HOLD_MS: Millis = 3000;
/// Shorter for services, because users wait for them.
const SERVICE_PREEMPTION_INTERVAL_MS: Millis = 200;
/// Shorter for jobs with an objective: some objectives allow a wait of less than 10 s.
const OBJECTIVE_PREEMPTION_INTERVAL_MS: Millis = 1000;

/// When each part of scheduling last ran.
pub(super) struct SchedulingTimers {
    cycle_at: Millis,
    queues_refreshed_at: Millis,
    /// When preemption last ran, indexed by [`PreemptionScope`].
    preempted_at: [Millis; 3],
}

impl SchedulingTimers {
    /// The first cycle is due immediately, the first preemption one interval after `now`.
    pub(super) fn new(now: Millis) -> Self {
        SchedulingTimers {
            cycle_at: 0,
            queues_refreshed_at: 0,
            preempted_at: [now; 3],
        }
    }

    /// Runs a scheduling cycle when one is due.
    fn place_waiting_tasks(
        &mut self,
        cluster: &mut ClusterState,
        fair_share: &mut FairShareTracker,
        now: Millis,
    ) {
        let interval_ms = if cluster.scheduling_needed {
            SCHEDULING_INTERVAL_MS
        } else {
            IDLE_SCHEDULING_INTERVAL_MS
        };
        if self.cycle_at + interval_ms > now {
            return;
        }
        self.cycle_at = now;
        cluster.scheduling_needed = false;
        let placed = scheduling::run_scheduling_cycle(cluster, fair_share, now);
        if placed > 0 {
            tracing::debug!(placed, "scheduling cycle placed tasks");
        }
    }

    /// Returns the widest scope for which preemption is due, if any, and restarts the intervals of that
    /// scope and of the narrower ones.
    fn due_preemption(&mut self, now: Millis) -> Option<PreemptionScope> {
        let intervals = [
            (PreemptionScope::All, PREEMPTION_INTERVAL_MS),
            (
                PreemptionScope::WithObjective,
                OBJECTIVE_PREEMPTION_INTERVAL_MS,
            ),
            (PreemptionScope::Services, SERVICE_PREEMPTION_INTERVAL_MS),
        ];
        let (scope, _) = intervals
            .into_iter()
            .find(|&(scope, interval_ms)| self.preempted_at[scope as usize] + interval_ms <= now)?;
        // Each scope includes the narrower ones.
        self.preempted_at[..=scope as usize].fill(now);
        Some(scope)
    }
}

impl Node {
    /// Runs the leader's periodic duties. Their order determines the order of their effects.
    pub(in crate::coordination) fn run_leader_cycle(&mut self) {
        self.renew_leader_lease();
        if !self.has_current_cluster_state() {
            return;
        }
        self.check_machines();
        self.run_quota_cycle();
        let quotas_loaded = self
            .leader_state
            .as_ref()
            .is_some_and(|leader| leader.has_loaded_quotas());
        if quotas_loaded && self.can_start_tasks() {
            self.run_scheduling();
        }
        self.retry_unconfirmed_checks();
        self.write_log();
        self.write_snapshots();
        self.store_derived_cancellations();
        self.store_images();
        self.raise_term();
        self.collect_finished_jobs();
        self.run_provisioning();
        self.send_orders();
        self.publish_progress();
    }

    /// Whether the cluster state has been rebuilt and a read barrier that began after the takeover has
    /// succeeded. Only then does the registry contain all jobs accepted before the takeover.
    fn has_current_cluster_state(&self) -> bool {
        let is_rebuilt = self
            .leader_state
            .as_ref()
            .is_some_and(|leader| leader.cluster.is_some());
        is_rebuilt && self.read_barrier.confirmed_at.is_some()
    }

    fn run_scheduling(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let timers = &mut leader.scheduling;
        if timers.queues_refreshed_at + QUEUE_REFRESH_INTERVAL_MS <= now {
            timers.queues_refreshed_at = now;
            cluster.set_time_of_day(now, self.wall_ms);
            cluster.refresh_placement_deadlines(now);
        }
        timers.place_waiting_tasks(cluster, &mut leader.fair_share, now);
        if let Some(scope) = timers.due_preemption(now) {
            for victim in scheduling::select_preemptions(cluster, now, scope) {
                preempt(cluster, &mut leader.fair_share, &victim, now);
            }
        }
    }
}

/// Stops a victim's attempt and reserves its machine for the job that it was preempted for.
fn preempt(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareTracker,
    victim: &PreemptionVictim,
    now: Millis,
) {
    let attempt = &cluster.machines[victim.machine.as_usize()].attempts[victim.attempt_index];
    let job = cluster.job(attempt.job);
    let grace_s = if job.checkpoint_s > 0.0 {
        job.save_s
    } else {
        0.0
    };
    let ran_s = attempt
        .running_since
        .map_or(0, |since| now.saturating_sub(since) / 1000);
    let (task, beneficiary) = (
        job.task_id(attempt.task),
        cluster.job(victim.beneficiary).id,
    );
    tracing::info!(%task, %beneficiary, reason = ?victim.reason, ran_s, "task preempted");
    let class = WorkloadClass::of_job(job);
    fair_share.status_mut(class).attempts_preempted += 1;
    cluster.request_stop(victim.machine, victim.attempt_index, grace_s);
    let reserved_until = now + PREEMPTED_CAPACITY_HOLD_MS + (grace_s * 1000.0) as Millis;
    cluster.machines[victim.machine.as_usize()].reserved_for =
        Some((victim.beneficiary, reserved_until));
}
