//! Metrics of this node's admission control and, on the leader, of the workload classes.

use prometheus_client::{
    metrics::family::Family,
    registry::{Registry, Unit},
};

use crate::{coordination::NodeStatus, scheduling::fair_share::FairShareStatus};

use super::labels::{ClassLabels, FloatGauge, IntGauge, OutcomeLabels};

/// Metrics of admission and of workload classes.
#[derive(Default)]
pub(super) struct AdmissionMetrics {
    submissions: Family<OutcomeLabels, IntGauge>,
    quota_version: IntGauge,
    admission_rate: FloatGauge,
    cpu_overload_fraction: FloatGauge,
    class_waiting_tasks: Family<ClassLabels, IntGauge>,
    class_oldest_wait_s: Family<ClassLabels, FloatGauge>,
    class_entitled: Family<ClassLabels, FloatGauge>,
    class_allocated: Family<ClassLabels, FloatGauge>,
    class_starved: Family<ClassLabels, IntGauge>,
    task_outcomes: Family<OutcomeLabels, IntGauge>,
    job_outcomes: Family<OutcomeLabels, IntGauge>,
}

impl AdmissionMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "submissions",
            "Submissions at this node since it began, by what became of them",
            self.submissions.clone(),
        );
        registry.register(
            "admission_table",
            "The admission table that this node follows",
            self.quota_version.clone(),
        );
        registry.register(
            "admission_part",
            "Submissions a second that this node may let in now",
            self.admission_rate.clone(),
        );
        registry.register(
            "late",
            "The part of its time in which the processor could not follow, 0 to 1",
            self.cpu_overload_fraction.clone(),
        );
        registry.register(
            "class_waiting",
            "Tasks without a place",
            self.class_waiting_tasks.clone(),
        );
        registry.register_with_unit(
            "class_oldest",
            "For how long the leader has known the oldest job with waiting tasks",
            Unit::Seconds,
            self.class_oldest_wait_s.clone(),
        );
        registry.register(
            "class_due",
            "Units due, a mean",
            self.class_entitled.clone(),
        );
        registry.register(
            "class_got",
            "Units that run, a mean",
            self.class_allocated.clone(),
        );
        registry.register(
            "class_behind",
            "1 while a class catches up with its due",
            self.class_starved.clone(),
        );
        registry.register(
            "tasks",
            "Tasks that this leader saw start and end, and attempts that gave way",
            self.task_outcomes.clone(),
        );
        registry.register(
            "jobs",
            "Arrays that this leader saw done, and those by the first time aimed at",
            self.job_outcomes.clone(),
        );
    }

    /// Sets the metrics from the node's status. Only the leader's status has values for classes.
    pub(super) fn record(&self, status: &NodeStatus) {
        self.quota_version.set(status.admission_quotas_seq as i64);
        self.admission_rate.set(status.admission_rate_per_s);
        self.cpu_overload_fraction.set(status.lateness);
        self.record_submissions(status);
        self.clear_classes();
        for (class, share) in &status.share_statuses {
            self.record_class(&ClassLabels::from_class(class), share);
        }
    }

    fn record_submissions(&self, status: &NodeStatus) {
        for (class, counts) in &status.submissions {
            let labels = ClassLabels::from_class(class);
            let outcomes = [
                ("came", counts.arrived),
                ("accepted", counts.accepted),
                ("in_time", counts.accepted_promptly),
                ("sent_away", counts.deferred),
                ("no_turn", counts.deferred_unreserved),
                ("given_up", counts.abandoned),
            ];
            for (outcome, count) in outcomes {
                let outcome = labels.with_outcome(outcome);
                let count = count as i64;
                self.submissions.get_or_create(&outcome).set(count);
            }
        }
    }

    fn clear_classes(&self) {
        self.class_waiting_tasks.clear();
        self.class_oldest_wait_s.clear();
        self.class_entitled.clear();
        self.class_allocated.clear();
        self.class_starved.clear();
        self.task_outcomes.clear();
        self.job_outcomes.clear();
    }

    fn record_class(&self, labels: &ClassLabels, share: &FairShareStatus) {
        let waiting = share.waiting_tasks as i64;
        self.class_waiting_tasks.get_or_create(labels).set(waiting);
        let oldest_s = share.oldest_wait_ms as f64 / 1000.0;
        self.class_oldest_wait_s.get_or_create(labels).set(oldest_s);
        self.class_entitled
            .get_or_create(labels)
            .set(share.entitled);
        self.class_allocated
            .get_or_create(labels)
            .set(share.allocated);
        let starved = i64::from(share.starved);
        self.class_starved.get_or_create(labels).set(starved);
        let outcomes = [
            ("started", share.tasks_started),
            ("done", share.tasks_completed),
            ("gave_way", share.attempts_preempted),
        ];
        for (outcome, count) in outcomes {
            let outcome = labels.with_outcome(outcome);
            self.task_outcomes.get_or_create(&outcome).set(count as i64);
        }
        let outcomes = [
            ("done", share.jobs_completed),
            ("in_time", share.jobs_on_time),
        ];
        for (outcome, count) in outcomes {
            let outcome = labels.with_outcome(outcome);
            self.job_outcomes.get_or_create(&outcome).set(count as i64);
        }
    }
}
