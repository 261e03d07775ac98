//! What a node tells of itself on `/metrics`, as OpenMetrics text.
//!
//! The owner is looked at once a second; counting errors and passes costs a few additions. Nothing is
//! rendered until somebody asks.

use std::{
    sync::atomic::{AtomicI64, AtomicU64},
    time::Duration,
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::{
    coordination::{self, NodeStatus},
    protocol::{cloud::CloudError, state::StateError},
};

mod quotas;

/// Media type of what [`Metrics::render`] returns.
pub const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailedCallLabels {
    service: &'static str,
    error: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabels {
    team: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    team: String,
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    team: String,
    class: String,
    outcome: &'static str,
}

impl ClassLabels {
    fn from_class(class: &coordination::WorkloadClassName) -> Self {
        ClassLabels {
            team: class.team.clone(),
            class: class.class.clone(),
        }
    }

    fn with_outcome(&self, outcome: &'static str) -> OutcomeLabels {
        OutcomeLabels {
            team: self.team.clone(),
            class: self.class.clone(),
            outcome,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MachineStateLabels {
    state: &'static str,
}

/// What is shed as sockets run out.
#[derive(Clone, Copy, Debug)]
pub enum ShedConnection {
    /// Connections to workers that were kept open for the next orders.
    IdleToWorker,
    /// Workers' connections, after a report.
    AfterReport,
    /// Users' connections, after a poll.
    AfterPoll,
    /// Connections from outside, at once.
    RefusedInbound,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShedLabels {
    what: &'static str,
}

type FloatGauge = Gauge<f64, AtomicU64>;
type IntGauge = Gauge<i64, AtomicI64>;

/// A node's metrics and their registry.
pub struct Metrics {
    registry: Registry,
    failed_calls: Family<FailedCallLabels, Counter>,
    shed_connections: Family<ShedLabels, Counter>,
    batch_durations: Histogram,
    queued_commands: IntGauge,
    is_leading: IntGauge,
    term: IntGauge,
    renewal_entitlement_s: FloatGauge,
    waiting_tasks: Family<TeamLabels, IntGauge>,
    reserved_units: Family<TeamLabels, FloatGauge>,
    machines: Family<MachineStateLabels, IntGauge>,
    unwritten_tasks: IntGauge,
    jobs_awaiting_dependencies: IntGauge,
    unwritten_job_outcomes: IntGauge,
    start_wait_durations: Histogram,
    submissions: Family<OutcomeLabels, IntGauge>,
    admission_quota_version: IntGauge,
    admission_rate: FloatGauge,
    cpu_overload_fraction: FloatGauge,
    class_waiting_tasks: Family<ClassLabels, IntGauge>,
    class_oldest_wait_s: Family<ClassLabels, FloatGauge>,
    class_entitled: Family<ClassLabels, FloatGauge>,
    class_allocated: Family<ClassLabels, FloatGauge>,
    class_starved: Family<ClassLabels, IntGauge>,
    task_outcomes: Family<OutcomeLabels, IntGauge>,
    job_outcomes: Family<OutcomeLabels, IntGauge>,
    quotas: quotas::QuotaMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let passes = [
            0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0,
        ];
        let waits = [0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0, 300.0];
        let mut metrics = Metrics {
            registry: Registry::with_prefix("dalelb"),
            failed_calls: Family::default(),
            shed_connections: Family::default(),
            batch_durations: Histogram::new(passes),
            queued_commands: IntGauge::default(),
            is_leading: IntGauge::default(),
            term: IntGauge::default(),
            renewal_entitlement_s: FloatGauge::default(),
            waiting_tasks: Family::default(),
            reserved_units: Family::default(),
            machines: Family::default(),
            unwritten_tasks: IntGauge::default(),
            jobs_awaiting_dependencies: IntGauge::default(),
            unwritten_job_outcomes: IntGauge::default(),
            start_wait_durations: Histogram::new(waits),
            submissions: Family::default(),
            admission_quota_version: IntGauge::default(),
            admission_rate: FloatGauge::default(),
            cpu_overload_fraction: FloatGauge::default(),
            class_waiting_tasks: Family::default(),
            class_oldest_wait_s: Family::default(),
            class_entitled: Family::default(),
            class_allocated: Family::default(),
            class_starved: Family::default(),
            task_outcomes: Family::default(),
            job_outcomes: Family::default(),
            quotas: quotas::QuotaMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let all = &mut self.registry;
        all.register("errors", "Calls that failed", self.failed_calls.clone());
        all.register(
            "shed",
            "Connections closed or refused as sockets ran out",
            self.shed_connections.clone(),
        );
        all.register_with_unit(
            "pass",
            "The owner's passes over a batch of commands, rounds included",
            Unit::Seconds,
            self.batch_durations.clone(),
        );
        all.register(
            "queue",
            "Commands that wait for the owner",
            self.queued_commands.clone(),
        );
        all.register("leading", "1 on the leader", self.is_leading.clone());
        all.register("term", "The term that this node knows", self.term.clone());
        all.register_with_unit(
            "entitlement",
            "How long this node may still renew workers' leases",
            Unit::Seconds,
            self.renewal_entitlement_s.clone(),
        );
        all.register(
            "tasks_waiting",
            "Tasks without a place",
            self.waiting_tasks.clone(),
        );
        all.register(
            "booked",
            "Booked units of each team",
            self.reserved_units.clone(),
        );
        all.register("machines", "Machines by state", self.machines.clone());
        all.register(
            "tasks_unwritten",
            "Tasks whose last change is not in the state service yet",
            self.unwritten_tasks.clone(),
        );
        all.register(
            "jobs_awaiting",
            "Unfinished jobs that wait for others",
            self.jobs_awaiting_dependencies.clone(),
        );
        all.register(
            "ends_unwritten",
            "Jobs cancelled with one that they need whose records do not say so yet",
            self.unwritten_job_outcomes.clone(),
        );
        all.register_with_unit(
            "start_wait",
            "From a job's arrival to the start of each of its tasks",
            Unit::Seconds,
            self.start_wait_durations.clone(),
        );
        self.register_admission();
        self.quotas.register(&mut self.registry);
    }

    fn register_admission(&mut self) {
        let all = &mut self.registry;
        all.register(
            "submissions",
            "Submissions at this node since it began, by what became of them",
            self.submissions.clone(),
        );
        all.register(
            "admission_table",
            "The admission table that this node follows",
            self.admission_quota_version.clone(),
        );
        all.register(
            "admission_part",
            "Submissions a second that this node may let in now",
            self.admission_rate.clone(),
        );
        all.register(
            "late",
            "The part of its time in which the processor could not follow, 0 to 1",
            self.cpu_overload_fraction.clone(),
        );
        all.register(
            "class_waiting",
            "Tasks without a place",
            self.class_waiting_tasks.clone(),
        );
        all.register_with_unit(
            "class_oldest",
            "For how long the leader has known the oldest job with waiting tasks",
            Unit::Seconds,
            self.class_oldest_wait_s.clone(),
        );
        all.register(
            "class_due",
            "Units due, a mean",
            self.class_entitled.clone(),
        );
        all.register(
            "class_got",
            "Units that run, a mean",
            self.class_allocated.clone(),
        );
        all.register(
            "class_behind",
            "1 while a class catches up with its due",
            self.class_starved.clone(),
        );
        all.register(
            "tasks",
            "Tasks that this leader saw start and end, and attempts that gave way",
            self.task_outcomes.clone(),
        );
        all.register(
            "jobs",
            "Arrays that this leader saw done, and those by the first time aimed at",
            self.job_outcomes.clone(),
        );
    }

    fn record_admission(&self, status: &NodeStatus) {
        self.admission_quota_version
            .set(status.admission_quotas_seq as i64);
        self.admission_rate.set(status.admitted_per_s);
        self.cpu_overload_fraction.set(status.lateness);
        for (class, counts) in &status.submissions {
            let of = ClassLabels::from_class(class);
            let outcomes = [
                ("came", counts.arrived),
                ("accepted", counts.accepted),
                ("in_time", counts.accepted_promptly),
                ("sent_away", counts.deferred),
                ("no_turn", counts.deferred_unreserved),
                ("given_up", counts.abandoned),
            ];
            for (outcome, count) in outcomes {
                let outcome = of.with_outcome(outcome);
                let count = count as i64;
                self.submissions.get_or_create(&outcome).set(count);
            }
        }
        self.class_waiting_tasks.clear();
        self.class_oldest_wait_s.clear();
        self.class_entitled.clear();
        self.class_allocated.clear();
        self.class_starved.clear();
        self.task_outcomes.clear();
        self.job_outcomes.clear();
        for (class, standing) in &status.share_statuses {
            let of = ClassLabels::from_class(class);
            let waiting = standing.waiting_tasks as i64;
            self.class_waiting_tasks.get_or_create(&of).set(waiting);
            let oldest_s = standing.oldest_wait_ms as f64 / 1000.0;
            self.class_oldest_wait_s.get_or_create(&of).set(oldest_s);
            self.class_entitled
                .get_or_create(&of)
                .set(standing.entitled);
            self.class_allocated
                .get_or_create(&of)
                .set(standing.allocated);
            let behind = i64::from(standing.starved);
            self.class_starved.get_or_create(&of).set(behind);
            let outcomes = [
                ("started", standing.tasks_started),
                ("done", standing.tasks_completed),
                ("gave_way", standing.attempts_preempted),
            ];
            for (outcome, count) in outcomes {
                let outcome = of.with_outcome(outcome);
                self.task_outcomes.get_or_create(&outcome).set(count as i64);
            }
            let outcomes = [
                ("done", standing.jobs_completed),
                ("in_time", standing.jobs_on_time),
            ];
            for (outcome, count) in outcomes {
                let outcome = of.with_outcome(outcome);
                self.job_outcomes.get_or_create(&outcome).set(count as i64);
            }
        }
    }

    pub fn record_state_error(&self, error: &StateError) {
        let error = match error {
            StateError::NoAnswer => "no_answer",
            _ => "refused",
        };
        let service = "state";
        self.failed_calls
            .get_or_create(&FailedCallLabels { service, error })
            .inc();
    }

    pub fn record_cloud_error(&self, error: &CloudError) {
        let error = match error {
            CloudError::NoAnswer => "no_answer",
            _ => "refused",
        };
        let service = "cloud";
        self.failed_calls
            .get_or_create(&FailedCallLabels { service, error })
            .inc();
    }

    pub fn record_shed(&self, shed: ShedConnection) {
        let what = match shed {
            ShedConnection::IdleToWorker => "workers",
            ShedConnection::AfterReport => "reports",
            ShedConnection::AfterPoll => "polls",
            ShedConnection::RefusedInbound => "refused",
        };
        self.shed_connections
            .get_or_create(&ShedLabels { what })
            .inc();
    }

    /// The owner took `time` for a batch.
    pub fn record_batch_duration(&self, time: Duration) {
        self.batch_durations.observe(time.as_secs_f64());
    }

    /// Takes over what the owner says of itself.
    pub fn record_status(&self, status: NodeStatus, queue: usize) {
        self.queued_commands.set(queue as i64);
        self.is_leading.set(i64::from(status.is_leader));
        self.term.set(status.term as i64);
        self.renewal_entitlement_s
            .set(status.entitlement_ms as f64 / 1000.0);
        self.unwritten_tasks.set(status.unlogged_tasks as i64);
        self.jobs_awaiting_dependencies
            .set(status.jobs_awaiting_dependencies as i64);
        self.unwritten_job_outcomes
            .set(status.outcomes_unwritten as i64);
        self.record_admission(&status);
        self.quotas.record(status.quotas);
        // A node that leads no more has nothing to tell of these.
        self.waiting_tasks.clear();
        self.reserved_units.clear();
        self.machines.clear();
        for (team, waiting, booked) in status.teams {
            let team = TeamLabels { team };
            self.waiting_tasks.get_or_create(&team).set(waiting as i64);
            self.reserved_units.get_or_create(&team).set(booked);
        }
        for (state, machines) in status.machines {
            let state = MachineStateLabels { state };
            self.machines.get_or_create(&state).set(machines as i64);
        }
        for wait in status.start_waits {
            self.start_wait_durations.observe(wait as f64 / 1000.0);
        }
    }

    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "metrics");
        }
        text
    }
}
