//! Storage records built from the cluster state: task snapshots, log records and image records.

use std::{cmp::Reverse, collections::HashMap, iter::Peekable};

use crate::{
    cluster::{
        ClusterState, ImageIndex, JobIndex, Machine, MachineIndex, MachineState, Task, TaskStatus,
    },
    protocol::ids::JobId,
    storage::{
        ImagesRecord, JobSummary, LogRecord, MAX_IMAGES_PER_RECORD, MachineRecord, REPLACEMENT_BIT,
        RecordedStatus, SnapshotRecord, TaskRecord, json_len,
    },
};

/// The most quarantined jobs that are recorded.
const MAX_QUARANTINED_JOBS_RECORDED: usize = 64;
/// The length of the longest job id in JSON, with its quotes and a comma.
const MAX_JOB_ID_JSON_BYTES: usize = 25;
/// The length of an image record's JSON without the elements of its lists.
const IMAGES_RECORD_HEADER_BYTES: usize = 64;

/// An image that some machines cache.
struct CachedImage {
    index: ImageIndex,
    machine_count: usize,
    size_gb: f64,
}

/// The images that the records list, and the JSON length of that list.
struct ImageTable {
    /// Names and sizes in gigabytes.
    images: Vec<(String, f64)>,
    bit_by_image: HashMap<ImageIndex, usize>,
    /// The JSON length of a record without machines and quarantined jobs.
    header_bytes: usize,
}

impl ImageTable {
    /// Lists the images on the most machines first. Half of a record's `record_bytes` is left for the
    /// machines.
    fn new(cluster: &ClusterState, record_bytes: usize) -> Self {
        let mut names: HashMap<ImageIndex, &str> = HashMap::new();
        for (name, index) in cluster.image_interner.iter() {
            names.insert(ImageIndex(index), name);
        }
        let cached = most_cached_images(cluster);
        let mut header_bytes = IMAGES_RECORD_HEADER_BYTES;
        let mut images: Vec<(String, f64)> = Vec::new();
        for image in &cached {
            let Some(name) = names.get(&image.index) else {
                continue;
            };
            let entry = ((*name).to_owned(), image.size_gb);
            header_bytes += json_len(&entry) + 1;
            if header_bytes > record_bytes / 2 {
                break;
            }
            images.push(entry);
        }
        let bits = cached.iter().map(|image| image.index).zip(0..images.len());
        ImageTable {
            bit_by_image: bits.collect(),
            images,
            header_bytes,
        }
    }

    /// A bit for each listed image that the machine caches, and [`REPLACEMENT_BIT`] if it is draining.
    fn machine_bits(&self, machine: &Machine) -> u64 {
        let images = machine
            .cached_images
            .iter()
            .filter_map(|(image, _)| self.bit_by_image.get(image))
            .fold(0, |bits, bit| bits | 1 << bit);
        images | if machine.draining { REPLACEMENT_BIT } else { 0 }
    }
}

/// The images cached on machines that are up, those on the most machines first.
fn most_cached_images(cluster: &ClusterState) -> Vec<CachedImage> {
    let mut by_index: HashMap<ImageIndex, CachedImage> = HashMap::new();
    for &(index, size_gb) in machines_up(cluster).flat_map(|machine| &machine.cached_images) {
        let image = by_index.entry(index).or_insert(CachedImage {
            index,
            machine_count: 0,
            size_gb,
        });
        image.machine_count += 1;
    }
    let mut images: Vec<CachedImage> = by_index.into_values().collect();
    images.sort_by_key(|image| (Reverse(image.machine_count), image.index));
    images.truncate(MAX_IMAGES_PER_RECORD);
    images
}

fn machines_up(cluster: &ClusterState) -> impl Iterator<Item = &Machine> {
    let machines = cluster.machines.iter();
    machines.filter(|machine| machine.state == MachineState::Up)
}

/// The quarantined jobs that fit into one record: their ids take a quarter of it at most.
fn quarantined_jobs(cluster: &ClusterState, record_bytes: usize) -> Vec<JobId> {
    let jobs = cluster.jobs_by_id.values().map(|index| cluster.job(*index));
    jobs.filter(|job| job.quarantined && !job.closed)
        .map(|job| job.id)
        .take(MAX_QUARANTINED_JOBS_RECORDED.min(record_bytes / 4 / MAX_JOB_ID_JSON_BYTES))
        .collect()
}

/// The cached images and draining flags of the machines that are up, and the quarantined jobs, in records
/// whose JSON has at most `record_bytes` bytes each.
pub fn images_records(cluster: &ClusterState, record_bytes: usize) -> Vec<ImagesRecord> {
    let table = ImageTable::new(cluster, record_bytes);
    let mut quarantined = quarantined_jobs(cluster, record_bytes);
    let mut records: Vec<ImagesRecord> = Vec::new();
    let mut used_bytes = usize::MAX;
    for machine in machines_up(cluster) {
        let bits = table.machine_bits(machine);
        if bits == 0 {
            continue;
        }
        let entry = (machine.name.clone(), bits);
        let entry_bytes = json_len(&entry) + 1;
        if used_bytes.saturating_add(entry_bytes) > record_bytes {
            used_bytes = table.header_bytes + quarantined.len() * MAX_JOB_ID_JSON_BYTES;
            records.push(ImagesRecord {
                images: table.images.clone(),
                machines: Vec::new(),
                quarantined: std::mem::take(&mut quarantined),
            });
        }
        used_bytes += entry_bytes;
        if let Some(record) = records.last_mut() {
            record.machines.push(entry);
        }
    }
    records
}

/// The machines that a record refers to, each listed once.
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
        let status = match task.status {
            TaskStatus::Waiting => RecordedStatus::Waiting,
            TaskStatus::Done => RecordedStatus::Done,
            TaskStatus::Active(machine) => {
                RecordedStatus::OnMachine(self.machine_index(cluster, machine))
            }
        };
        TaskRecord(index, task.attempt, status)
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

/// Builds the snapshot of one range of a job's tasks from their current states.
pub fn snapshot_record(
    cluster: &ClusterState,
    index: JobIndex,
    range_index: u32,
) -> SnapshotRecord {
    let tasks = &cluster.job(index).tasks;
    let first = (range_index * cluster.task_range_len) as usize;
    let last = (first + cluster.task_range_len as usize).min(tasks.len());
    let mut machine_table = MachineTable::default();
    let task_records = tasks[first..last]
        .iter()
        .enumerate()
        .filter(|(_, task)| task.attempt > 0 || task.status != TaskStatus::Waiting)
        .map(|(offset, task)| machine_table.task_record(cluster, (first + offset) as u32, task))
        .collect();
    SnapshotRecord {
        job: job_summary(cluster, index),
        machines: machine_table.records,
        tasks: task_records,
    }
}

/// The JSON length of a log record without jobs and machines, with the largest numbers.
const LOG_RECORD_HEADER_BYTES: usize = 96;

/// Consumes tasks from the front of `tasks` and builds one log record of them whose JSON has at most
/// `max_bytes` bytes. At least one task is consumed, even if its record is longer.
pub fn log_record(
    cluster: &ClusterState,
    tasks: &mut Peekable<impl Iterator<Item = (JobIndex, u32)>>,
    (seq, first): (u64, u64),
    max_bytes: usize,
) -> LogRecord {
    let mut machine_table = MachineTable::default();
    let mut jobs: Vec<(JobId, JobSummary, Vec<TaskRecord>)> = Vec::new();
    let mut used_bytes = LOG_RECORD_HEADER_BYTES;
    while let Some(&(index, task)) = tasks.peek() {
        let job = cluster.job(index);
        let entry = &job.tasks[task as usize];
        let machine_count = machine_table.records.len();
        let task_record = machine_table.task_record(cluster, task, entry);
        used_bytes += json_len(&task_record) + 1;
        used_bytes += machine_table.records[machine_count..]
            .iter()
            .map(|machine| json_len(machine) + 1)
            .sum::<usize>();
        let is_new_job = jobs.last().is_none_or(|(id, ..)| *id != job.id);
        let summary = is_new_job.then(|| job_summary(cluster, index));
        if let Some(summary) = &summary {
            used_bytes += json_len(&job.id) + json_len(summary) + 6;
        }
        if used_bytes > max_bytes && !jobs.is_empty() {
            machine_table.records.truncate(machine_count);
            break;
        }
        if let Some(summary) = summary {
            jobs.push((job.id, summary, Vec::new()));
        }
        if let Some((.., task_records)) = jobs.last_mut() {
            task_records.push(task_record);
        }
        tasks.next();
    }
    LogRecord {
        seq,
        first_live_seq: first,
        machines: machine_table.records,
        jobs,
    }
}
