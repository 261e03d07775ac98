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
    coordination::{self, Status},
    protocol::{cloud::CloudError, state::StateError},
};

mod quotas;

/// Media type of what [`Metrics::text`] returns.
pub const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Call {
    service: &'static str,
    error: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Team {
    team: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Class {
    team: String,
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    team: String,
    class: String,
    outcome: &'static str,
}

impl Class {
    fn of(class: &coordination::Class) -> Self {
        Class {
            team: class.team.clone(),
            class: class.class.clone(),
        }
    }

    fn outcome(&self, outcome: &'static str) -> Outcome {
        Outcome {
            team: self.team.clone(),
            class: self.class.clone(),
            outcome,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct State {
    state: &'static str,
}

/// What is shed as sockets run out.
#[derive(Clone, Copy, Debug)]
pub enum Shed {
    /// Connections to workers that were kept open for the next orders.
    Workers,
    /// Workers' connections, after a report.
    Reports,
    /// Users' connections, after a poll.
    Polls,
    /// Connections from outside, at once.
    Refused,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct What {
    what: &'static str,
}

type Amount = Gauge<f64, AtomicU64>;
type Count = Gauge<i64, AtomicI64>;

/// A node's metrics and their registry.
pub struct Metrics {
    registry: Registry,
    errors: Family<Call, Counter>,
    shed: Family<What, Counter>,
    passes: Histogram,
    queue: Count,
    leading: Count,
    term: Count,
    entitlement: Amount,
    waiting: Family<Team, Count>,
    booked: Family<Team, Amount>,
    machines: Family<State, Count>,
    unwritten: Count,
    awaiting: Count,
    ends_unwritten: Count,
    start_waits: Histogram,
    submissions: Family<Outcome, Count>,
    table: Count,
    part: Amount,
    late: Amount,
    class_waiting: Family<Class, Count>,
    oldest: Family<Class, Amount>,
    due: Family<Class, Amount>,
    got: Family<Class, Amount>,
    behind: Family<Class, Count>,
    tasks: Family<Outcome, Count>,
    jobs: Family<Outcome, Count>,
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
            errors: Family::default(),
            shed: Family::default(),
            passes: Histogram::new(passes),
            queue: Count::default(),
            leading: Count::default(),
            term: Count::default(),
            entitlement: Amount::default(),
            waiting: Family::default(),
            booked: Family::default(),
            machines: Family::default(),
            unwritten: Count::default(),
            awaiting: Count::default(),
            ends_unwritten: Count::default(),
            start_waits: Histogram::new(waits),
            submissions: Family::default(),
            table: Count::default(),
            part: Amount::default(),
            late: Amount::default(),
            class_waiting: Family::default(),
            oldest: Family::default(),
            due: Family::default(),
            got: Family::default(),
            behind: Family::default(),
            tasks: Family::default(),
            jobs: Family::default(),
            quotas: quotas::QuotaMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let all = &mut self.registry;
        all.register("errors", "Calls that failed", self.errors.clone());
        all.register(
            "shed",
            "Connections closed or refused as sockets ran out",
            self.shed.clone(),
        );
        all.register_with_unit(
            "pass",
            "The owner's passes over a batch of commands, rounds included",
            Unit::Seconds,
            self.passes.clone(),
        );
        all.register(
            "queue",
            "Commands that wait for the owner",
            self.queue.clone(),
        );
        all.register("leading", "1 on the leader", self.leading.clone());
        all.register("term", "The term that this node knows", self.term.clone());
        all.register_with_unit(
            "entitlement",
            "How long this node may still renew workers' leases",
            Unit::Seconds,
            self.entitlement.clone(),
        );
        all.register(
            "tasks_waiting",
            "Tasks without a place",
            self.waiting.clone(),
        );
        all.register("booked", "Booked units of each team", self.booked.clone());
        all.register("machines", "Machines by state", self.machines.clone());
        all.register(
            "tasks_unwritten",
            "Tasks whose last change is not in the state service yet",
            self.unwritten.clone(),
        );
        all.register(
            "jobs_awaiting",
            "Unfinished jobs that wait for others",
            self.awaiting.clone(),
        );
        all.register(
            "ends_unwritten",
            "Jobs cancelled with one that they need whose records do not say so yet",
            self.ends_unwritten.clone(),
        );
        all.register_with_unit(
            "start_wait",
            "From a job's arrival to the start of each of its tasks",
            Unit::Seconds,
            self.start_waits.clone(),
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
            self.table.clone(),
        );
        all.register(
            "admission_part",
            "Submissions a second that this node may let in now",
            self.part.clone(),
        );
        all.register(
            "late",
            "The part of its time in which the processor could not follow, 0 to 1",
            self.late.clone(),
        );
        all.register(
            "class_waiting",
            "Tasks without a place",
            self.class_waiting.clone(),
        );
        all.register_with_unit(
            "class_oldest",
            "For how long the leader has known the oldest job with waiting tasks",
            Unit::Seconds,
            self.oldest.clone(),
        );
        all.register("class_due", "Units due, a mean", self.due.clone());
        all.register("class_got", "Units that run, a mean", self.got.clone());
        all.register(
            "class_behind",
            "1 while a class catches up with its due",
            self.behind.clone(),
        );
        all.register(
            "tasks",
            "Tasks that this leader saw start and end, and attempts that gave way",
            self.tasks.clone(),
        );
        all.register(
            "jobs",
            "Arrays that this leader saw done, and those by the first time aimed at",
            self.jobs.clone(),
        );
    }

    fn record_admission(&self, status: &Status) {
        self.table.set(status.table as i64);
        self.part.set(status.part);
        self.late.set(status.late);
        for (class, counts) in &status.submissions {
            let of = Class::of(class);
            let outcomes = [
                ("came", counts.came),
                ("accepted", counts.accepted),
                ("in_time", counts.in_time),
                ("sent_away", counts.sent_away),
                ("no_turn", counts.no_turn),
                ("given_up", counts.given_up),
            ];
            for (outcome, count) in outcomes {
                let outcome = of.outcome(outcome);
                let count = count as i64;
                self.submissions.get_or_create(&outcome).set(count);
            }
        }
        self.class_waiting.clear();
        self.oldest.clear();
        self.due.clear();
        self.got.clear();
        self.behind.clear();
        self.tasks.clear();
        self.jobs.clear();
        for (class, standing) in &status.classes {
            let of = Class::of(class);
            let waiting = standing.waiting as i64;
            self.class_waiting.get_or_create(&of).set(waiting);
            let oldest_s = standing.oldest as f64 / 1000.0;
            self.oldest.get_or_create(&of).set(oldest_s);
            self.due.get_or_create(&of).set(standing.due);
            self.got.get_or_create(&of).set(standing.got);
            let behind = i64::from(standing.behind);
            self.behind.get_or_create(&of).set(behind);
            let outcomes = [
                ("started", standing.started),
                ("done", standing.done),
                ("gave_way", standing.gave_way),
            ];
            for (outcome, count) in outcomes {
                let outcome = of.outcome(outcome);
                self.tasks.get_or_create(&outcome).set(count as i64);
            }
            let outcomes = [
                ("done", standing.jobs_done),
                ("in_time", standing.jobs_in_time),
            ];
            for (outcome, count) in outcomes {
                let outcome = of.outcome(outcome);
                self.jobs.get_or_create(&outcome).set(count as i64);
            }
        }
    }

    pub fn state_failed(&self, error: &StateError) {
        let error = match error {
            StateError::NoAnswer => "no_answer",
            _ => "refused",
        };
        let service = "state";
        self.errors.get_or_create(&Call { service, error }).inc();
    }

    pub fn cloud_failed(&self, error: &CloudError) {
        let error = match error {
            CloudError::NoAnswer => "no_answer",
            _ => "refused",
        };
        let service = "cloud";
        self.errors.get_or_create(&Call { service, error }).inc();
    }

    pub fn shed(&self, shed: Shed) {
        let what = match shed {
            Shed::Workers => "workers",
            Shed::Reports => "reports",
            Shed::Polls => "polls",
            Shed::Refused => "refused",
        };
        self.shed.get_or_create(&What { what }).inc();
    }

    /// The owner took `time` for a batch.
    pub fn passed(&self, time: Duration) {
        self.passes.observe(time.as_secs_f64());
    }

    /// Takes over what the owner says of itself.
    pub fn record(&self, status: Status, queue: usize) {
        self.queue.set(queue as i64);
        self.leading.set(i64::from(status.leading));
        self.term.set(status.term as i64);
        self.entitlement.set(status.entitlement_ms as f64 / 1000.0);
        self.unwritten.set(status.unwritten as i64);
        self.awaiting.set(status.awaiting as i64);
        self.ends_unwritten.set(status.ends_unwritten as i64);
        self.record_admission(&status);
        self.quotas.record(status.quotas);
        // A node that leads no more has nothing to tell of these.
        self.waiting.clear();
        self.booked.clear();
        self.machines.clear();
        for (team, waiting, booked) in status.teams {
            let team = Team { team };
            self.waiting.get_or_create(&team).set(waiting as i64);
            self.booked.get_or_create(&team).set(booked);
        }
        for (state, machines) in status.machines {
            let state = State { state };
            self.machines.get_or_create(&state).set(machines as i64);
        }
        for wait in status.start_waits {
            self.start_waits.observe(wait as f64 / 1000.0);
        }
    }

    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(%error, "metrics");
        }
        text
    }
}
