//! Taking over: the books rebuilt from the jobs and from the predecessors' notes.

use std::collections::{BTreeMap, HashSet};

use super::{LeaderState, Node, StateTag};
use crate::{
    cluster::{Attempt, ClusterState, JobIndex, MachineState, MachineTypeIndex, Phase, Resources},
    coordination::leader_log::LeaderLog,
    protocol::{
        ids::JobId,
        job::{JobKind, Priority, Submission},
        state::{Row, StateError, StateReply, StateRequest, Urgency},
    },
    storage::{
        self, ImagesRecord, JobSummary, LogRecord, MachineRecord, RecordedStatus, SnapshotNumber,
        SnapshotRecord, TaskRecord,
    },
    time::Millis,
};

const PAGE_ROWS: u32 = 200;

/// What has been read of the predecessors' notes.
#[derive(Default)]
pub struct RecoveredState {
    /// Job, number, version, record.
    snapshots: Vec<(JobId, SnapshotNumber, u64, SnapshotRecord)>,
    /// Slot, version, record.
    records: Vec<(u32, u64, LogRecord)>,
    images: Vec<ImagesRecord>,
    /// The versions of their keys, which are numbered from 0 on.
    image_key_versions: Vec<u64>,
    last_key: Option<String>,
    /// All has been read.
    complete: bool,
}

impl RecoveredState {
    fn add_row(&mut self, row: Row) {
        if let Some((id, page)) = storage::parse_snapshot_key(&row.key) {
            match serde_json::from_value(row.value) {
                Ok(record) => self.snapshots.push((id, page, row.version, record)),
                Err(error) => tracing::error!(key = row.key, %error, "a page can't be read"),
            }
        } else if let Some(slot) = storage::parse_log_slot_key(&row.key) {
            // The version of a slot counts even if what it holds means nothing.
            let record = serde_json::from_value(row.value).unwrap_or_else(|error| {
                tracing::error!(key = row.key, %error, "an entry can't be read");
                LogRecord {
                    seq: 0,
                    first_live_seq: 0,
                    machines: Vec::new(),
                    jobs: Vec::new(),
                }
            });
            self.records.push((slot, row.version, record));
        } else if storage::is_images_key(&row.key) {
            self.image_key_versions.push(row.version);
            match serde_json::from_value(row.value) {
                Ok(record) => self.images.push(record),
                Err(error) => tracing::error!(key = row.key, %error, "images can't be read"),
            }
        }
        self.last_key = Some(row.key);
    }
}

/// The latest that notes say of a task: its attempt, and where that may be.
struct LatestAttempt<'a> {
    attempt: u32,
    progress_rank: u8,
    machine: Option<&'a MachineRecord>,
}

/// What notes say of a job.
struct RecoveredJob<'a> {
    job: &'a JobSummary,
    tasks: BTreeMap<u32, LatestAttempt<'a>>,
}

impl<'a> RecoveredJob<'a> {
    fn merge_tasks(&mut self, tasks: &[TaskRecord], machines: &'a [MachineRecord]) {
        for &TaskRecord(index, attempt, note) in tasks {
            let on = match note {
                RecordedStatus::OnMachine(at) => match machines.get(at as usize) {
                    Some(machine) => Some(machine),
                    None => continue,
                },
                _ => None,
            };
            let latest = LatestAttempt {
                attempt,
                progress_rank: note.precedence(),
                machine: on,
            };
            match self.tasks.get_mut(&index) {
                Some(known)
                    if (known.attempt, known.progress_rank) >= (attempt, latest.progress_rank) => {}
                Some(known) => *known = latest,
                None => {
                    self.tasks.insert(index, latest);
                }
            }
        }
    }
}

/// Puts pages and those entries that count together, job by job.
fn merge_recovered_jobs(found: &RecoveredState) -> BTreeMap<JobId, RecoveredJob<'_>> {
    let first = found
        .records
        .iter()
        .map(|(.., record)| record.first_live_seq)
        .max();
    let mut jobs: BTreeMap<JobId, RecoveredJob> = BTreeMap::new();
    for (id, _, _, record) in &found.snapshots {
        let noted = jobs.entry(*id).or_insert_with(|| RecoveredJob {
            job: &record.job,
            tasks: BTreeMap::new(),
        });
        noted.merge_tasks(&record.tasks, &record.machines);
    }
    for (.., record) in &found.records {
        if first.is_some_and(|first| record.seq < first) {
            continue;
        }
        for (id, job, tasks) in &record.jobs {
            let noted = jobs.entry(*id).or_insert_with(|| RecoveredJob {
                job,
                tasks: BTreeMap::new(),
            });
            noted.merge_tasks(tasks, &record.machines);
        }
    }
    jobs
}

impl Node {
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
            Urgency::Vital,
            3000,
        );
    }

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

    /// Rebuilds the books, once all notes have been read and a sync sent since the takeover has told
    /// which jobs there are: what predecessors noted of a job that is not known to be live would be taken
    /// for a job that is over, and a job that is not known to be released would be missing. Whatever
    /// they placed and did not see through may be running.
    pub(super) fn rebuild_cluster(&mut self) {
        let synced = self.read_barrier.confirmed_at;
        let Some(mut leader) = self.leader_state.take_if(|leader| {
            let known = synced.is_some_and(|at| at >= leader.takeover_at);
            leader.cluster.is_none() && leader.recovered.complete && known
        }) else {
            return;
        };
        let mut cluster = ClusterState::new(&self.config.settings, &self.machine_types);
        cluster.leader_since = self.now;
        cluster.workers_expected_by = self.now + self.timeouts.takeover_settling;
        cluster.set_time_of_day(self.now, self.wall_ms);
        let mut live: Vec<_> = self.registry.live_jobs().collect();
        live.sort_by_key(|(id, job)| (job.released_at_ms, *id));
        let mut needed = Vec::new();
        for (_, job) in live {
            needed.extend(&job.spec.dependencies);
            if job.dependencies_left == 0 {
                cluster.add_released_job(
                    &job.spec,
                    (job.submitted_at_ms, job.released_at_ms),
                    self.now,
                );
                if job.spec.kind == JobKind::Service {
                    let need = Resources {
                        cpus: job.spec.cpus,
                        gpus: job.spec.gpus,
                        ram_gb: job.spec.ram_gb,
                    };
                    let autoscaler = &mut leader.provisioning.autoscaler;
                    autoscaler.record_service_arrival(
                        need,
                        job.spec.tasks as usize,
                        job.submitted_at_ms,
                    );
                }
            }
        }
        let mut found = std::mem::take(&mut leader.recovered);
        for record in std::mem::take(&mut found.images) {
            let ImagesRecord {
                images,
                machines,
                quarantined: at_fault,
            } = record;
            // Their tasks would fail all over the fleet once more.
            for id in at_fault {
                if let Some(&job) = cluster.jobs_by_id.get(&id) {
                    cluster.jobs[job.as_usize()].quarantined = true;
                }
            }
            for (machine, held) in machines {
                let held_images = images
                    .iter()
                    .enumerate()
                    .take(storage::MAX_IMAGES_PER_RECORD)
                    .filter(|(bit, _)| held >> bit & 1 == 1);
                let replace = held & storage::REPLACEMENT_BIT != 0;
                cluster.restore_machine_hints(
                    machine,
                    held_images.map(|(_, image)| image.clone()),
                    replace,
                );
            }
        }
        let mut closing = Vec::new();
        let paged: HashSet<JobId> = found.snapshots.iter().map(|(id, ..)| *id).collect();
        for (id, noted) in merge_recovered_jobs(&found) {
            let job = match cluster.jobs_by_id.get(&id) {
                Some(&known) => known,
                None => {
                    // Of a job that is over only what may still be running counts, and its pages,
                    // which are to be removed.
                    let active = noted.tasks.values().any(|latest| latest.machine.is_some());
                    if !active && !paged.contains(&id) {
                        continue;
                    }
                    let Some(job) = add_finished_job(&mut cluster, id, noted.job, self.now) else {
                        continue;
                    };
                    closing.push(job);
                    job
                }
            };
            restore_attempts(&mut cluster, job, noted, &leader);
        }
        for &(id, page, version, _) in &found.snapshots {
            cluster.record_snapshot_version(id, page, version);
        }
        leader.log = LeaderLog::inherit(&found.records, &found.image_key_versions, &mut cluster);
        for job in closing {
            cluster.close_job(job);
        }
        // All of this comes from the store.
        cluster.unlogged_tasks.clear();
        let active = cluster
            .machines
            .iter()
            .map(|m| m.attempts.len())
            .sum::<usize>();
        tracing::info!(
            term = leader.term,
            jobs = cluster.jobs_by_id.len(),
            machines = cluster.machines.len(),
            entries = found.records.len(),
            pages = found.snapshots.len(),
            active,
            "books rebuilt"
        );
        // Whoever was not a deputy any more at the takeover renewed nothing since; those who are
        // will be asked. A report answered while the books were made counts until now.
        let until = self.now + self.timeouts.worker_lease;
        for machine in &mut cluster.machines {
            machine.lease_until = until;
        }
        leader.cluster = Some(cluster);
        self.leader_state = Some(leader);
        self.propagate_urgency(needed);
        self.request_instance_list();
    }
}

/// Enters a job that is over, known only by its notes: what is left of it has to be stopped, and
/// counts until then.
pub(super) fn add_finished_job(
    cluster: &mut ClusterState,
    id: JobId,
    noted: &JobSummary,
    now: Millis,
) -> Option<JobIndex> {
    let spec = Submission {
        id,
        class: String::new(),
        team: noted.team.clone(),
        kind: JobKind::Array,
        priority: Priority::Low,
        tasks: noted.task_count,
        cpus: noted.cpus,
        gpus: noted.gpus,
        ram_gb: noted.ram_gb,
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

/// Enters what predecessors noted of a job's tasks.
fn restore_attempts(
    cluster: &mut ClusterState,
    job: JobIndex,
    noted: RecoveredJob,
    leader: &LeaderState,
) {
    for (index, latest) in noted.tasks {
        if index as usize >= cluster.job(job).tasks.len() {
            continue;
        }
        cluster.jobs[job.as_usize()].tasks[index as usize].attempt = latest.attempt;
        let Some(note) = latest.machine else {
            if latest.progress_rank == RecordedStatus::Done.precedence() {
                cluster.complete_task(job, index);
            }
            continue;
        };
        let kind = MachineTypeIndex(cluster.type_interner.get(&note.machine_type).unwrap_or(0));
        let zone = cluster.intern_zone(&note.zone);
        let machine = cluster.add_machine(&note.name, kind, zone, note.spot, leader.takeover_at);
        cluster.machines[machine.as_usize()].addr = note.addr.clone();
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
