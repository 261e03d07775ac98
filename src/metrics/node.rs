//! Metrics of leadership and, on the leader, of the cluster state.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::coordination::NodeStatus;

use super::labels::{FloatGauge, IntGauge, TeamLabels};

const MILLIS_PER_SECOND: f64 = 1000.0;
/// Upper bounds of the histogram buckets for the wait until a task starts, in seconds.
const START_WAIT_BUCKETS_S: [f64; 10] = [0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0, 300.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MachineStateLabels {
    state: &'static str,
}

/// Metrics of a node and, on the leader, of the cluster.
pub(super) struct NodeMetrics {
    is_leading: IntGauge,
    term: IntGauge,
    renewal_entitlement_s: FloatGauge,
    progress_age_s: FloatGauge,
    unknown_statuses: IntGauge,
    waiting_tasks: Family<TeamLabels, IntGauge>,
    reserved_units: Family<TeamLabels, FloatGauge>,
    machines: Family<MachineStateLabels, IntGauge>,
    unwritten_tasks: IntGauge,
    jobs_awaiting_dependencies: IntGauge,
    unwritten_job_outcomes: IntGauge,
    start_wait_durations: Histogram,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        NodeMetrics {
            is_leading: IntGauge::default(),
            term: IntGauge::default(),
            renewal_entitlement_s: FloatGauge::default(),
            progress_age_s: FloatGauge::default(),
            unknown_statuses: IntGauge::default(),
            waiting_tasks: Family::default(),
            reserved_units: Family::default(),
            machines: Family::default(),
            unwritten_tasks: IntGauge::default(),
            jobs_awaiting_dependencies: IntGauge::default(),
            unwritten_job_outcomes: IntGauge::default(),
            start_wait_durations: Histogram::new(START_WAIT_BUCKETS_S),
        }
    }
}

impl NodeMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("leading", "1 on the leader", self.is_leading.clone());
        registry.register("term", "The term that this node knows", self.term.clone());
        registry.register_with_unit(
            "entitlement",
            "How long this node may still renew workers' leases",
            Unit::Seconds,
            self.renewal_entitlement_s.clone(),
        );
        registry.register_with_unit(
            "progress_age",
            "Age of the progress of jobs that a follower has from the leader; 0 on the leader",
            Unit::Seconds,
            self.progress_age_s.clone(),
        );
        registry.register(
            "status_unknown",
            "Requests since the start of the process that met a job whose status was not known here",
            self.unknown_statuses.clone(),
        );
        registry.register(
            "tasks_waiting",
            "Tasks without a place",
            self.waiting_tasks.clone(),
        );
        registry.register(
            "booked",
            "Booked units of each team",
            self.reserved_units.clone(),
        );
        registry.register("machines", "Machines by state", self.machines.clone());
        registry.register(
            "tasks_unwritten",
            "Tasks whose last change is not in the state service yet",
            self.unwritten_tasks.clone(),
        );
        registry.register(
            "jobs_awaiting",
            "Unfinished jobs that wait for others",
            self.jobs_awaiting_dependencies.clone(),
        );
        registry.register(
            "ends_unwritten",
            "Jobs cancelled with one that they need whose records do not say so yet",
            self.unwritten_job_outcomes.clone(),
        );
        registry.register_with_unit(
            "start_wait",
            "From a job's arrival to the start of each of its tasks",
            Unit::Seconds,
            self.start_wait_durations.clone(),
        );
    }

    /// Sets the metrics that every node has from its status.
    pub(super) fn record(&self, status: &NodeStatus) {
        self.is_leading.set(i64::from(status.is_leader));
        self.term.set(status.term as i64);
        self.renewal_entitlement_s
            .set(status.renewal_remaining_ms as f64 / MILLIS_PER_SECOND);
        self.progress_age_s
            .set(status.progress_age_ms.unwrap_or(0) as f64 / MILLIS_PER_SECOND);
        self.unknown_statuses
            .set(status.unknown_status_count as i64);
        self.unwritten_tasks.set(status.unlogged_tasks as i64);
        self.jobs_awaiting_dependencies
            .set(status.jobs_awaiting_dependencies as i64);
        self.unwritten_job_outcomes
            .set(status.unwritten_cancellations as i64);
    }

    /// Sets the metrics that only the leader has values for; other nodes export no series of them.
    pub(super) fn record_cluster(&self, status: NodeStatus) {
        self.waiting_tasks.clear();
        self.reserved_units.clear();
        self.machines.clear();
        for (team, waiting, reserved) in status.teams {
            let team = TeamLabels { team };
            self.waiting_tasks.get_or_create(&team).set(waiting as i64);
            self.reserved_units.get_or_create(&team).set(reserved);
        }
        for (state, machines) in status.machines {
            let state = MachineStateLabels { state };
            self.machines.get_or_create(&state).set(machines as i64);
        }
        for wait_ms in status.start_waits {
            self.start_wait_durations
                .observe(wait_ms as f64 / MILLIS_PER_SECOND);
        }
    }
}
