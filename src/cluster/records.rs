//! Storage records built from the cluster state: task snapshots, log entries and image tables.

use std::{cmp::Reverse, collections::HashMap, iter::Peekable};

use crate::{
    cluster::{ClusterState, ImageIndex, JobIndex, MachineIndex, MachineState, Task, TaskStatus},
    protocol::ids::JobId,
    storage::{
        ImagesRecord, JobSummary, LogRecord, MAX_IMAGES_PER_RECORD, MachineRecord, REPLACEMENT_BIT,
        RecordedStatus, SnapshotRecord, TaskRecord, json_len,
    },
};

/// Jobs at fault that are told of.
const MAX_QUARANTINED_JOBS_RECORDED: usize = 64;
/// The longest id of a job, with its quotes and a comma.
const MAX_JOB_ID_JSON_BYTES: usize = 25;
/// What a record has besides its lists' entries.
const IMAGES_RECORD_HEADER_BYTES: usize = 64;

/// What the books know of machines' images and faults, in records whose JSON has at most `bytes` bytes each.
pub fn images_records(cluster: &ClusterState, bytes: usize) -> Vec<ImagesRecord> {
    let mut names: HashMap<ImageIndex, &str> = HashMap::new();
    for (name, index) in cluster.image_interner.iter() {
        names.insert(ImageIndex(index), name);
    }
    let up = || {
        cluster
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up)
    };
    let mut count: HashMap<ImageIndex, (usize, f64)> = HashMap::new();
    for &(image, gb) in up().flat_map(|machine| &machine.cached_images) {
        let known = count.entry(image).or_insert((0, gb));
        known.0 += 1;
    }
    let mut table: Vec<(ImageIndex, usize, f64)> = count
        .into_iter()
        .map(|(image, (held, gb))| (image, held, gb))
        .collect();
    table.sort_by_key(|&(image, held, _)| (Reverse(held), image));
    table.truncate(MAX_IMAGES_PER_RECORD);
    // What is held most comes first; half of a record is for the machines.
    let mut head = IMAGES_RECORD_HEADER_BYTES;
    let mut images: Vec<(String, f64)> = Vec::new();
    for (image, _, gb) in &table {
        let Some(name) = names.get(image) else {
            continue;
        };
        let image = ((*name).to_owned(), *gb);
        head += json_len(&image) + 1;
        if head > bytes / 2 {
            break;
        }
        images.push(image);
    }
    let bit: HashMap<ImageIndex, usize> =
        table.iter().map(|row| row.0).zip(0..images.len()).collect();
    let mut records: Vec<ImagesRecord> = Vec::new();
    let mut used = usize::MAX;
    let at_fault = cluster.jobs_by_id.values().map(|index| cluster.job(*index));
    let mut at_fault: Vec<JobId> = at_fault
        .filter(|job| job.quarantined && !job.closed)
        .map(|job| job.id)
        .take(MAX_QUARANTINED_JOBS_RECORDED.min(bytes / 4 / MAX_JOB_ID_JSON_BYTES))
        .collect();
    for machine in up() {
        let held = machine
            .cached_images
            .iter()
            .filter_map(|(image, _)| bit.get(image))
            .fold(0, |held, bit| held | 1 << bit);
        let held = held | if machine.draining { REPLACEMENT_BIT } else { 0 };
        if held == 0 {
            continue;
        }
        let machine = (machine.name.clone(), held);
        let size = json_len(&machine) + 1;
        if used.saturating_add(size) > bytes {
            used = head + at_fault.len() * MAX_JOB_ID_JSON_BYTES;
            records.push(ImagesRecord {
                images: images.clone(),
                machines: Vec::new(),
                quarantined: std::mem::take(&mut at_fault),
            });
        }
        used += size;
        if let Some(record) = records.last_mut() {
            record.machines.push(machine);
        }
    }
    records
}

/// Machines that a record names, each once.
#[derive(Default)]
struct MachineTable {
    index_by_machine: HashMap<MachineIndex, u32>,
    records: Vec<MachineRecord>,
}

impl MachineTable {
    fn machine_index(&mut self, cluster: &ClusterState, machine: MachineIndex) -> u32 {
        *self.index_by_machine.entry(machine).or_insert_with(|| {
            let machine = cluster.machine(machine);
            self.records.push(MachineRecord {
                name: machine.name.clone(),
                machine_type: cluster.machine_types[machine.machine_type.as_usize()]
                    .name
                    .clone(),
                zone: cluster.zone_names[machine.zone.as_usize()].clone(),
                spot: machine.spot,
                addr: machine.addr.clone(),
            });
            self.records.len() as u32 - 1
        })
    }

    fn task_record(&mut self, cluster: &ClusterState, index: u32, task: &Task) -> TaskRecord {
        let note = match task.status {
            TaskStatus::Waiting => RecordedStatus::Waiting,
            TaskStatus::Done => RecordedStatus::Done,
            TaskStatus::Active(machine) => {
                RecordedStatus::OnMachine(self.machine_index(cluster, machine))
            }
        };
        TaskRecord(index, task.attempt, note)
    }
}

fn job_summary(cluster: &ClusterState, index: JobIndex) -> JobSummary {
    let job = cluster.job(index);
    JobSummary {
        team: cluster.teams[job.team.as_usize()].name.clone(),
        task_count: job.tasks.len() as u32,
        cpus: job.requested.cpus,
        gpus: job.requested.gpus,
        ram_gb: job.requested.ram_gb,
    }
}

/// The record of a chunk as the books have it now.
pub fn snapshot_record(cluster: &ClusterState, index: JobIndex, chunk: u32) -> SnapshotRecord {
    let tasks = &cluster.job(index).tasks;
    let first = (chunk * cluster.task_range_len) as usize;
    let last = (first + cluster.task_range_len as usize).min(tasks.len());
    let mut named = MachineTable::default();
    let notes = tasks[first..last]
        .iter()
        .enumerate()
        .filter(|(_, task)| task.attempt > 0 || task.status != TaskStatus::Waiting)
        .map(|(at, task)| named.task_record(cluster, (first + at) as u32, task))
        .collect();
    SnapshotRecord {
        job: job_summary(cluster, index),
        machines: named.records,
        tasks: notes,
    }
}

/// An entry without any job or machine, with the largest numbers.
const LOG_RECORD_HEADER_BYTES: usize = 96;

/// Takes tasks off the front of `tasks` for one entry whose JSON has at most `bytes` bytes; at least
/// one is taken.
pub fn log_record(
    cluster: &ClusterState,
    tasks: &mut Peekable<impl Iterator<Item = (JobIndex, u32)>>,
    (seq, first): (u64, u64),
    bytes: usize,
) -> LogRecord {
    let mut named = MachineTable::default();
    let mut jobs: Vec<(JobId, JobSummary, Vec<TaskRecord>)> = Vec::new();
    let mut used = LOG_RECORD_HEADER_BYTES;
    while let Some(&(index, task)) = tasks.peek() {
        let job = cluster.job(index);
        let entry = &job.tasks[task as usize];
        let machines = named.records.len();
        let note = named.task_record(cluster, task, entry);
        used += json_len(&note) + 1;
        used += named.records[machines..]
            .iter()
            .map(|machine| json_len(machine) + 1)
            .sum::<usize>();
        let new_job = jobs.last().is_none_or(|(id, ..)| *id != job.id);
        let head = new_job.then(|| job_summary(cluster, index));
        if let Some(head) = &head {
            used += json_len(&job.id) + json_len(head) + 6;
        }
        if used > bytes && !jobs.is_empty() {
            named.records.truncate(machines);
            break;
        }
        if let Some(head) = head {
            jobs.push((job.id, head, Vec::new()));
        }
        if let Some((.., notes)) = jobs.last_mut() {
            notes.push(note);
        }
        tasks.next();
    }
    LogRecord {
        seq,
        first_live_seq: first,
        machines: named.records,
        jobs,
    }
}
