//! Failover: a new leader rebuilds the cluster state from the job registry and from the log, snapshots
//! and image records of previous leaders.

mod recovered_state;

use std::collections::HashSet;

pub use recovered_state::RecoveredState;

use super::{LeaderState, Node, StateTag};
use crate::{
    cluster::{Attempt, ClusterState, JobIndex, MachineState, MachineTypeIndex, Phase, Resources},
    coordination::{leader_log::LeaderLog, registry::LiveJob},
    protocol::{
        ids::JobId,
        job::{JobKind, Priority, Submission},
        state::{StateError, StateReply, StateRequest, StateRequestPriority},
    },
    storage::{self, ImagesRecord, JobSummary, RecordedStatus},
    time::Millis,
};
use recovered_state::{RecoveredJob, merge_recovered_jobs};

const PAGE_ROWS: u32 = 200;
const PAGE_TIMEOUT_MS: u64 = 3000;

impl Node {
    /// Requests the next page of the records of previous leaders.
    pub(super) fn read_leader_log(&mut self) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let lease = leader.lease;
        let after = leader.recovered.last_key.clone();
        self.call_state_service(
            StateTag::ReadLeaderLog { lease },
            StateRequest::List {
                prefix: storage::CLUSTER_PREFIX,
                after,
                limit: PAGE_ROWS,
            },
            StateRequestPriority::Vital,
            PAGE_TIMEOUT_MS,
        );
    }

    /// Handles a page of the records of previous leaders. After the last page, the cluster state can be
    /// rebuilt.
    pub(super) fn on_leader_log_read(
        &mut self,
        lease: u64,
        result: Result<StateReply, StateError>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if let Ok(StateReply::Page(page)) = result {
            for row in page.rows {
                leader.recovered.add_row(row);
            }
            if !page.more {
                leader.recovered.complete = true;
                return self.rebuild_cluster();
            }
        }
        self.read_leader_log();
    }

    /// Rebuilds the cluster state, once all records of previous leaders have been read and a read
    /// barrier sent since the takeover has brought the job registry up to date. With an outdated
    /// registry, the recorded attempts of a job that it lacks would be treated as those of a finished
    /// job, and a released job could be missing. Every attempt that previous leaders placed and whose
    /// end is not recorded may be running.
    pub(super) fn rebuild_cluster(&mut self) {
        let barrier_sent_at = self.read_barrier.confirmed_at;
        let Some(mut leader) = self.leader_state.take_if(|leader| {
            let registry_current = barrier_sent_at.is_some_and(|at| at >= leader.takeover_at);
            leader.cluster.is_none() && leader.recovered.complete && registry_current
        }) else {
            return;
        };
        let mut cluster = ClusterState::new(&self.config.settings, &self.machine_types);
        cluster.leader_since = self.now;
        cluster.workers_expected_by = self.now + self.timeouts.takeover_grace;
        cluster.set_time_of_day(self.now, self.wall_ms);
        let dependencies = self.add_live_jobs(&mut cluster, &mut leader);
        let mut recovered = std::mem::take(&mut leader.recovered);
        for record in std::mem::take(&mut recovered.images) {
            restore_images(&mut cluster, record);
        }
        let finished = restore_jobs(&mut cluster, &recovered, &leader, self.now);
        for &(id, snapshot, version, _) in &recovered.snapshots {
            cluster.record_snapshot_version(id, snapshot, version);
        }
        leader.log = LeaderLog::inherit(
            &recovered.records,
            &recovered.image_key_versions,
            &mut cluster,
        );
        for job in finished {
            cluster.close_job(job);
        }
        // All of this state was read from the state service.
        cluster.unlogged_tasks.clear();
        log_rebuild(&cluster, &recovered, leader.term);
        // Nodes that were no longer standby renewers at the takeover have renewed no lease since then;
        // the present renewers will receive inquiries. The last heartbeat that was answered before the cluster
        // state is rebuilt may be from this moment, so each lease may last for its full duration.
        let lease_until = self.now + self.timeouts.worker_lease;
        for machine in &mut cluster.machines {
            machine.lease_until = lease_until;
        }
        leader.cluster = Some(cluster);
        self.leader_state = Some(leader);
        self.propagate_urgency(dependencies);
        self.request_instance_list();
    }

    /// Adds and enqueues the live jobs whose dependencies are all done. Returns the dependencies of all
    /// live jobs.
    fn add_live_jobs(&self, cluster: &mut ClusterState, leader: &mut LeaderState) -> Vec<JobId> {
        let mut live_jobs: Vec<_> = self.registry.live_jobs().collect();
        live_jobs.sort_by_key(|(id, job)| (job.released_at_ms, *id));
        let mut dependencies = Vec::new();
        for (_, job) in live_jobs {
            dependencies.extend(&job.spec.dependencies);
            if job.dependencies_left > 0 {
                continue;
            }
            let times = (job.submitted_at_ms, job.released_at_ms);
            cluster.add_released_job(&job.spec, times, self.now);
            if job.spec.kind == JobKind::Service {
                record_service_arrival(leader, job);
            }
        }
        dependencies
    }
}

fn record_service_arrival(leader: &mut LeaderState, job: &LiveJob) {
    let requested = Resources {
        cpus: job.spec.cpus,
        gpus: job.spec.gpus,
        ram_gb: job.spec.ram_gb,
    };
    let task_count = job.spec.tasks as usize;
    leader.provisioning.autoscaler.record_service_arrival(
        requested,
        task_count,
        job.submitted_at_ms,
    );
}

/// Restores which machines hold which images, which machines are draining, and which jobs are
/// quarantined.
fn restore_images(cluster: &mut ClusterState, record: ImagesRecord) {
    let ImagesRecord {
        images,
        machines,
        quarantined,
    } = record;
    // Otherwise the tasks of these jobs would again fail on many machines.
    for id in quarantined {
        if let Some(&job) = cluster.jobs_by_id.get(&id) {
            cluster.jobs[job.as_usize()].quarantined = true;
        }
    }
    for (machine, bits) in machines {
        let held_images = images
            .iter()
            .enumerate()
            .take(storage::MAX_IMAGES_PER_RECORD)
            .filter(|(bit, _)| bits >> bit & 1 == 1);
        let draining = bits & storage::REPLACEMENT_BIT != 0;
        cluster.restore_machine_hints(
            machine,
            held_images.map(|(_, image)| image.clone()),
            draining,
        );
    }
}

/// Restores attempts and completed tasks. Returns the finished jobs that were added because they have
/// snapshots or attempts left.
fn restore_jobs(
    cluster: &mut ClusterState,
    recovered: &RecoveredState,
    leader: &LeaderState,
    now: Millis,
) -> Vec<JobIndex> {
    let mut finished = Vec::new();
    let jobs_with_snapshots: HashSet<JobId> =
        recovered.snapshots.iter().map(|(id, ..)| *id).collect();
    for (id, recovered_job) in merge_recovered_jobs(recovered) {
        let job = match cluster.jobs_by_id.get(&id) {
            Some(&job) => job,
            None => {
                // A finished job is added only if an attempt of it may still be running, or if it
                // has snapshots, which have to be deleted.
                let mut attempts = recovered_job.tasks.values();
                let may_run = attempts.any(|attempt| attempt.machine.is_some());
                if !may_run && !jobs_with_snapshots.contains(&id) {
                    continue;
                }
                let Some(job) = add_finished_job(cluster, id, recovered_job.summary, now) else {
                    continue;
                };
                finished.push(job);
                job
            }
        };
        restore_attempts(cluster, job, recovered_job, leader);
    }
    finished
}

fn log_rebuild(cluster: &ClusterState, recovered: &RecoveredState, term: u64) {
    let attempts = cluster
        .machines
        .iter()
        .map(|machine| machine.attempts.len())
        .sum::<usize>();
    tracing::info!(
        term,
        jobs = cluster.jobs_by_id.len(),
        machines = cluster.machines.len(),
        records = recovered.records.len(),
        snapshots = recovered.snapshots.len(),
        attempts,
        "cluster state rebuilt"
    );
}

/// Adds a finished job of which only a summary is recorded. Its remaining attempts have to be stopped,
/// and hold resources until then.
pub(super) fn add_finished_job(
    cluster: &mut ClusterState,
    id: JobId,
    summary: &JobSummary,
    now: Millis,
) -> Option<JobIndex> {
    let spec = Submission {
        id,
        class: String::new(),
        team: summary.team.clone(),
        kind: JobKind::Array,
        priority: Priority::Low,
        tasks: summary.task_count,
        cpus: summary.cpus,
        gpus: summary.gpus,
        ram_gb: summary.ram_gb,
        image: String::new(),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    };
    cluster.add_job(&spec, 0, now)
}

/// Restores the recorded state of a job's tasks. Every attempt that was placed may be running.
fn restore_attempts(
    cluster: &mut ClusterState,
    job: JobIndex,
    recovered: RecoveredJob,
    leader: &LeaderState,
) {
    for (index, latest) in recovered.tasks {
        if index as usize >= cluster.job(job).tasks.len() {
            continue;
        }
        cluster.jobs[job.as_usize()].tasks[index as usize].attempt = latest.attempt;
        let Some(record) = latest.machine else {
            if latest.progress_rank == RecordedStatus::Done.precedence() {
                cluster.complete_task(job, index);
            }
            continue;
        };
        let machine_type =
            MachineTypeIndex(cluster.type_interner.get(&record.machine_type).unwrap_or(0));
        let zone = cluster.intern_zone(&record.zone);
        let machine = cluster.add_machine(
            &record.name,
            machine_type,
            zone,
            record.spot,
            leader.takeover_at,
        );
        cluster.machines[machine.as_usize()].addr = record.addr.clone();
        cluster.machines[machine.as_usize()].state = MachineState::Up;
        cluster.reserve(
            Attempt {
                job,
                task: index,
                attempt: latest.attempt,
                phase: Phase::Placed,
                cause: None,
                placed_at: leader.takeover_at,
                running_since: None,
                start_sent: true,
                recovered: true,
                direct_start_in_flight: false,
                started_by_heartbeat: None,
                fencing_token: leader.first_term,
                stop_grace_s: None,
                stop_sent: false,
                reconciled: false,
                direct_start_term: leader.first_term - 1,
                placed_for_fair_share: false,
            },
            machine,
        );
    }
}

#[cfg(test)]
mod tests;
