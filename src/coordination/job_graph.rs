//! Dependencies between jobs: releases jobs whose dependencies are done, raises the urgency of the
//! dependencies of urgent jobs, and stores the records of jobs cancelled because of a dependency.

use std::collections::{BTreeSet, HashMap};

use crate::{
    cluster::{ClusterState, ESTIMATE_MARGIN, InheritedUrgency},
    coordination::{
        Node, StateTag,
        registry::{JobRegistry, LiveJob, RegisteredJob},
        write_outcome::{TXN_TIMEOUT_MS, WriteOutcome},
    },
    protocol::{
        ids::JobId,
        job::{JobKind, Submission},
        state::{StateError, StateReply, StateRequest, StateRequestPriority, Txn},
    },
    storage::JobRecord,
    time::{Millis, millis},
};

/// Minimum time between two writes of cancelled jobs' records.
const OUTCOME_WRITE_INTERVAL_MS: Millis = 500;
/// Time between the end of a stage and the start of the next, besides the fetch of its image.
const STAGE_OVERHEAD_MS: Millis = 1500;
/// Maximum number of inherited finish times that are kept for a job.
const MAX_DEADLINES_PER_JOB: usize = 4;

/// The state of the leader's writes of records of jobs cancelled because of a dependency.
#[derive(Default)]
pub struct CancellationWrites {
    write_in_flight: bool,
    next_write_at: Millis,
}

impl Node {
    /// Stores the records of jobs cancelled because of a dependency, a few at a time. Nothing waits for
    /// these writes, as every node derives the cancellations itself, but a cancelled job's record no
    /// longer needs to hold the submission. The cancellation of a dependency is stored before or
    /// together with those that it causes.
    pub(super) fn store_derived_cancellations(&mut self) {
        // Each write uses at most half of a transaction: a job with many dependents must not use up the
        // writes that other work needs.
        let max_ops = (self.config.settings.state.max_txn_ops / 2).max(1) as usize;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.cancellation_writes.write_in_flight
            || leader.cancellation_writes.next_write_at > self.now
        {
            return;
        }
        let mut txn = Txn::with_condition(leader.leadership_condition());
        for (id, job) in self.registry.jobs_cancelled_by_dependency() {
            if !txn.writes.is_empty() && txn.writes.len() + 1 + job.part_count as usize > max_ops {
                break;
            }
            job.append_outcome(id, &JobRecord::Cancelled, &mut txn);
        }
        if txn.writes.is_empty() {
            return;
        }
        leader.cancellation_writes = CancellationWrites {
            write_in_flight: true,
            next_write_at: self.now + OUTCOME_WRITE_INTERVAL_MS,
        };
        let lease = leader.lease;
        self.call_state_service(
            StateTag::WriteCancellations { lease },
            StateRequest::Txn(txn),
            StateRequestPriority::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    pub(super) fn on_derived_cancellations_stored(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(outcome) = self.write_outcome(lease, result) else {
            return;
        };
        if let Some(leader) = &mut self.leader_state {
            leader.cancellation_writes.write_in_flight = false;
        }
        // The read barrier returns the jobs' records, as written here or as cancelled by a user in the
        // meantime.
        if outcome != WriteOutcome::Rejected {
            self.request_read_barrier();
        }
    }

    /// Updates the cluster state after a job was accepted, released, done or cancelled.
    pub(super) fn on_job_changed(&mut self, id: JobId) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let mut affected = vec![id];
        let mut released = false;
        match self.registry.get(id) {
            Some(RegisteredJob::Live(job)) => {
                affected.extend(&job.spec.dependencies);
                // A job is enqueued once all its dependencies are done, and doesn't affect scheduling
                // before that.
                released = job.dependencies_left == 0 && !cluster.jobs_by_id.contains_key(&id);
            }
            Some(RegisteredJob::Ended(..)) => {
                leader.inherited_urgency.remove(&id);
                if let Some(&index) = cluster.jobs_by_id.get(&id)
                    && !cluster.job(index).closed
                {
                    cluster.close_job(index);
                }
            }
            Some(RegisteredJob::CancelledByDependency(job)) => {
                tracing::info!(job = %id, "cancelled with a job that it needs");
                leader.inherited_urgency.remove(&id);
                affected.extend(&job.spec.dependencies);
            }
            None => {}
        }
        if released {
            self.enqueue_released_job(id);
        }
        self.propagate_urgency(affected);
    }

    /// Enqueues a job of which all dependencies are done.
    fn enqueue_released_job(&mut self, id: JobId) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let Some(live) = self.registry.live_job(id) else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let times = (live.submitted_at_ms, live.released_at_ms);
        let Some(index) = cluster.add_released_job(&live.spec, times, now) else {
            return tracing::error!(job = %id, "a released job belongs to an unknown team");
        };
        if let Some(urgency) = leader.inherited_urgency.get(&id) {
            cluster.inherit_urgency(index, urgency, now);
        }
        let job = cluster.job(index);
        if job.kind == JobKind::Service {
            let (requested, task_count) = (job.requested, job.tasks.len());
            leader.provisioning.autoscaler.record_service_arrival(
                requested,
                task_count,
                live.submitted_at_ms,
            );
        }
        if !live.spec.dependencies.is_empty() {
            let placement_due_in_ms = job.placement_deadline_ms.saturating_sub(wall_ms);
            tracing::info!(job = %id, priority = ?job.priority, placement_due_in_ms, "released");
        }
    }

    /// Updates the urgency that jobs and their dependencies inherit, also in the cluster state.
    pub(super) fn propagate_urgency(&mut self, jobs: Vec<JobId>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if let Some(cluster) = &mut leader.cluster {
            propagate_urgency(
                &self.registry,
                &mut leader.inherited_urgency,
                cluster,
                jobs,
                self.now,
            );
        }
    }
}

/// Recomputes the urgency that jobs inherit from their dependents, and continues with their own
/// dependencies wherever it changes. Not recursive, because chains of dependencies may be long. Jobs
/// submitted last are visited first: a job is submitted after its dependencies, so each is usually
/// visited only once. Returns the number of visits.
fn propagate_urgency(
    registry: &JobRegistry,
    inherited: &mut HashMap<JobId, InheritedUrgency>,
    cluster: &mut ClusterState,
    jobs: Vec<JobId>,
    now: Millis,
) -> usize {
    let visit_key = |id: JobId| Some((registry.live_job(id)?.submitted_at_ms, id));
    let mut pending: BTreeSet<(u64, JobId)> = jobs.into_iter().filter_map(visit_key).collect();
    let mut visits = 0;
    while let Some((_, id)) = pending.pop_last() {
        let Some(job) = registry.live_job(id) else {
            continue;
        };
        visits += 1;
        let urgency = urgency_from_dependents(cluster, inherited, registry.dependents_of(id));
        if inherited.get(&id) == urgency.as_ref() {
            continue;
        }
        if let Some(&index) = cluster.jobs_by_id.get(&id) {
            let own_urgency = InheritedUrgency {
                priority: job.spec.priority,
                finish_by_ms: Vec::new(),
            };
            cluster.inherit_urgency(index, urgency.as_ref().unwrap_or(&own_urgency), now);
        }
        match urgency {
            Some(urgency) => inherited.insert(id, urgency),
            None => inherited.remove(&id),
        };
        pending.extend(job.spec.dependencies.iter().copied().filter_map(visit_key));
    }
    visits
}

/// The urgency that a job inherits from all its dependents; `None` if it has no dependents.
fn urgency_from_dependents<'a>(
    cluster: &ClusterState,
    inherited: &HashMap<JobId, InheritedUrgency>,
    dependents: impl Iterator<Item = (JobId, &'a LiveJob)>,
) -> Option<InheritedUrgency> {
    let mut combined: Option<InheritedUrgency> = None;
    for (id, job) in dependents {
        let (spec, urgency) = (&job.spec, inherited.get(&id));
        let run_ms = stage_duration_ms(cluster, spec);
        let own_s = cluster.completion_objectives_s(&spec.class, spec.deadline_s);
        let own_ms = own_s
            .into_iter()
            .map(|due_s| job.submitted_at_ms + millis(due_s));
        let inherited_ms = urgency.map_or(&[][..], |urgency| &urgency.finish_by_ms);
        let finish_by_ms = own_ms.chain(inherited_ms.iter().copied());
        let combined = combined.get_or_insert_with(|| InheritedUrgency {
            priority: spec.priority,
            finish_by_ms: Vec::new(),
        });
        combined
            .finish_by_ms
            .extend(finish_by_ms.map(|finish_ms| finish_ms.saturating_sub(run_ms)));
        combined.keep_earliest(MAX_DEADLINES_PER_JOB);
        let priority = urgency.map_or(spec.priority, |urgency| urgency.priority.min(spec.priority));
        combined.priority = combined.priority.min(priority);
    }
    combined
}

/// How long a stage takes once its dependencies are done: the fetch of its image on the machine type
/// with the slowest fetch rate, and its longest task.
fn stage_duration_ms(cluster: &ClusterState, spec: &Submission) -> Millis {
    let rates = cluster
        .machine_types
        .iter()
        .map(|machine_type| machine_type.fetch_gb_per_s);
    let slowest_gb_per_s = rates.fold(f64::INFINITY, f64::min).max(0.01);
    STAGE_OVERHEAD_MS + millis(spec.estimate_s * ESTIMATE_MARGIN + spec.image_gb / slowest_gb_per_s)
}

#[cfg(test)]
mod tests;
