//! Jobs that await others: when they are released, how urgent they make those that they need, and
//! what is stored of those that were cancelled with one that they need.

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
        state::{StateError, StateReply, StateRequest, Txn, Urgency},
    },
    storage::JobRecord,
    time::{Millis, millis},
};

/// Least time between two batches of ends.
const OUTCOME_WRITE_INTERVAL_MS: Millis = 500;
/// What passes between the end of a stage and the start of the next, besides its image's fetch.
const STAGE_OVERHEAD_MS: Millis = 1500;
/// How many times to be done by are kept for a job.
const MAX_DEADLINES_PER_JOB: usize = 4;

/// The leader's writes about the ends of jobs that were cancelled with one that they need.
#[derive(Default)]
pub struct JobOutcomes {
    write_in_flight: bool,
    next_write_at: Millis,
}

impl Node {
    /// Records the ends that follow from others, a few at a time: nothing is waited for, as every node
    /// derives them by itself, but a record that says so needs no submission any more. An end is stored
    /// after or with those that it follows from.
    pub(super) fn store_outcomes(&mut self) {
        // Half of a transaction each time: a wide pipeline must not take the writes that others need.
        let ops = (self.config.settings.state.max_txn_ops / 2).max(1) as usize;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.outcomes.write_in_flight || leader.outcomes.next_write_at > self.now {
            return;
        }
        let mut txn = Txn::only_if(leader.leadership_condition());
        for (id, job) in self.registry.jobs_cancelled_by_dependency() {
            if !txn.writes.is_empty() && txn.writes.len() + 1 + job.part_count as usize > ops {
                break;
            }
            job.append_outcome(id, &JobRecord::Cancelled, &mut txn);
        }
        if txn.writes.is_empty() {
            return;
        }
        leader.outcomes = JobOutcomes {
            write_in_flight: true,
            next_write_at: self.now + OUTCOME_WRITE_INTERVAL_MS,
        };
        let lease = leader.lease;
        self.call_state_service(
            StateTag::WriteOutcomes { lease },
            StateRequest::Txn(txn),
            Urgency::Normal,
            TXN_TIMEOUT_MS,
        );
    }

    pub(super) fn on_outcomes_stored(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(fate) = self.write_outcome(lease, result) else {
            return;
        };
        if let Some(leader) = &mut self.leader_state {
            leader.outcomes.write_in_flight = false;
        }
        // The records tell what became of it: stored, or cancelled by their users meanwhile.
        if fate != WriteOutcome::Rejected {
            self.request_read_barrier();
        }
    }

    /// A job was accepted, released, done or cancelled.
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
                // It is enqueued once all that it depends on is done, and weighs nothing before.
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
        let (now, wall) = (self.now, self.wall_ms);
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
            return tracing::error!(job = %id, "no such team");
        };
        if let Some(urgency) = leader.inherited_urgency.get(&id) {
            cluster.inherit_urgency(index, urgency, now);
        }
        let job = cluster.job(index);
        if job.kind == JobKind::Service {
            let (need, tasks) = (job.requested, job.tasks.len());
            leader.provisioning.autoscaler.record_service_arrival(
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

    /// Lets the books follow what jobs are made of by those that need them.
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

/// Makes anew what jobs are made of by those that need them, and what follows for the jobs that they
/// need in turn, up to where nothing changes. Not recursive: pipelines may be deep. The latest first,
/// for a job is submitted after those that it awaits: so each is mostly looked at once. Returns how
/// many were looked at.
fn propagate_urgency(
    directory: &JobRegistry,
    pulls: &mut HashMap<JobId, InheritedUrgency>,
    cluster: &mut ClusterState,
    jobs: Vec<JobId>,
    now: Millis,
) -> usize {
    let live = |id: JobId| Some((directory.live_job(id)?.submitted_at_ms, id));
    let mut open: BTreeSet<(u64, JobId)> = jobs.into_iter().filter_map(live).collect();
    let mut looks = 0;
    while let Some((_, id)) = open.pop_last() {
        let Some(awaited) = directory.live_job(id) else {
            continue;
        };
        looks += 1;
        let pulled = urgency_from_dependents(cluster, pulls, directory.dependents_of(id));
        if pulls.get(&id) == pulled.as_ref() {
            continue;
        }
        if let Some(&index) = cluster.jobs_by_id.get(&id) {
            let own = InheritedUrgency {
                priority: awaited.spec.priority,
                finish_by_ms: Vec::new(),
            };
            cluster.inherit_urgency(index, pulled.as_ref().unwrap_or(&own), now);
        }
        match pulled {
            Some(pull) => pulls.insert(id, pull),
            None => pulls.remove(&id),
        };
        open.extend(awaited.spec.dependencies.iter().copied().filter_map(live));
    }
    looks
}

/// What the jobs that need a job make of it, all of them together.
fn urgency_from_dependents<'a>(
    cluster: &ClusterState,
    pulls: &HashMap<JobId, InheritedUrgency>,
    needed_by: impl Iterator<Item = (JobId, &'a LiveJob)>,
) -> Option<InheritedUrgency> {
    let mut all: Option<InheritedUrgency> = None;
    for (id, job) in needed_by {
        let (spec, pull) = (&job.spec, pulls.get(&id));
        let run_ms = stage_duration_ms(cluster, spec);
        let own = cluster.completion_objectives_s(&spec.class, spec.deadline_s);
        let own = own.into_iter().map(|due| job.submitted_at_ms + millis(due));
        let later = pull.map_or(&[][..], |pull| &pull.finish_by_ms);
        let ends = own.chain(later.iter().copied());
        let all = all.get_or_insert_with(|| InheritedUrgency {
            priority: spec.priority,
            finish_by_ms: Vec::new(),
        });
        all.finish_by_ms
            .extend(ends.map(|end| end.saturating_sub(run_ms)));
        all.keep_earliest(MAX_DEADLINES_PER_JOB);
        let urgent = pull.map_or(spec.priority, |pull| pull.priority.min(spec.priority));
        all.priority = all.priority.min(urgent);
    }
    all
}

/// How long a stage takes once those before it are done: its image where it is fetched slowest, and
/// its longest task.
fn stage_duration_ms(cluster: &ClusterState, spec: &Submission) -> Millis {
    let rates = cluster.machine_types.iter().map(|kind| kind.fetch_gb_per_s);
    let slowest = rates.fold(f64::INFINITY, f64::min).max(0.01);
    STAGE_OVERHEAD_MS + millis(spec.estimate_s * ESTIMATE_MARGIN + spec.image_gb / slowest)
}

#[cfg(test)]
mod tests;
