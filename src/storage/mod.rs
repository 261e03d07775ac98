//! What is kept in the state service, and under which keys.
//!
//! * `shared/`: followed by every node. `shared/job/<id>` is a job's record, with `shared/part/<id>/`
//!   where that is too long for one value, `shared/leader` names the leader (on its lease), `shared/term` holds the term, `shared/types` the machine types
//!   as the cloud last told them, `shared/deputy/<node>` is a node's right to renew workers' leases, `shared/admission` what nodes may let in.
//! * `books/log/<slot>`: the leader's log, a ring of entries. An entry notes what changed since the
//!   one before, for tasks of any number of jobs, so that a change costs a part of a write only.
//! * `books/task/<id>/<number>`: a page, all that is known of a stretch of a job's tasks. Pages are
//!   written when the ring comes round, for what the oldest entries name.
//!
//! * `books/images/<part>`: which machines hold which images, for a successor to place by. Only a
//!   hint: nothing depends on it.
//!
//! * `quota/cells`, `quota/home/<team>`, `quota/hold/<team>`: which cells share quotas, what a team's home has granted
//!   to each, and what this cell holds. Only where cells are named.
//!
//! LeaderLog on one task are put in order by attempt and by what can follow what, so that it makes no
//! difference in which order a successor reads them, or whether it reads one twice.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::protocol::{
    cloud::{MachineType, MachineTypes},
    ids::JobId,
    job::Submission,
};

pub const SHARED_PREFIX: &str = "shared/";
pub const LEADER_KEY: &str = "shared/leader";
pub const TERM_KEY: &str = "shared/term";
pub const MACHINE_TYPES_KEY: &str = "shared/types";
/// The agreed table of what the nodes may let in (`coordination/admission`).
pub const ADMISSION_QUOTAS_KEY: &str = "shared/admission";
const LEASE_RENEWER_PREFIX: &str = "shared/deputy/";
pub const CLUSTER_PREFIX: &str = "books/";
/// Quotas that cells share; nothing is kept there unless cells are named.
pub const QUOTA_PREFIX: &str = "quota/";
pub const QUOTA_CELLS_KEY: &str = "quota/cells";
const QUOTA_COORDINATOR_PREFIX: &str = "quota/home/";
const QUOTA_PARTICIPANT_PREFIX: &str = "quota/hold/";
const JOB_PREFIX: &str = "shared/job/";
const JOB_PART_PREFIX: &str = "shared/part/";
const SNAPSHOT_PREFIX: &str = "books/task/";
const LOG_PREFIX: &str = "books/log/";
const IMAGES_PREFIX: &str = "books/images/";
/// Entries that the ring has room for.
pub const LOG_RING_SLOTS: u32 = 256;

pub fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.strip_prefix(JOB_PREFIX)?.parse().ok()
}

/// One of the further keys of a record that is too long for one value.
pub fn job_part_key(id: JobId, part: u32) -> String {
    format!("{JOB_PART_PREFIX}{id}/{part:05}")
}

pub fn parse_job_part_key(key: &str) -> Option<(JobId, u32)> {
    let (id, part) = key.strip_prefix(JOB_PART_PREFIX)?.split_once('/')?;
    Some((id.parse().ok()?, part.parse().ok()?))
}

/// HeldTask by a node on a lease of its own while it may renew workers' leases.
pub fn lease_renewer_key(label: &str) -> String {
    format!("{LEASE_RENEWER_PREFIX}{label}")
}

pub fn parse_lease_renewer_key(key: &str) -> Option<&str> {
    key.strip_prefix(LEASE_RENEWER_PREFIX)
}

/// A page's number in its key: how many tasks it stands for, and which of them.
///
/// A page's length follows from the limit on values, and that changes. Were pages merely counted, page
/// 3 would be other tasks for a node that counts on other limits, and written over it would lose notes
/// that count. So two lengths never share a key: neither can overwrite the other's, a successor reads
/// both, and merging them is harmless, for of two notes on a task the later one is known. Versions
/// that only counted, up to 100,000, read these pages as well, and never write them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SnapshotNumber(pub u32);

const SNAPSHOT_LENGTH_FACTOR: u32 = 1_000_000;

impl SnapshotNumber {
    pub fn new(length: u32, chunk: u32) -> Self {
        SnapshotNumber(length * SNAPSHOT_LENGTH_FACTOR + chunk)
    }

    /// Which stretch it is, for who writes pages of this length.
    pub fn range_index(self, length: u32) -> Option<u32> {
        (self.0 / SNAPSHOT_LENGTH_FACTOR == length).then_some(self.0 % SNAPSHOT_LENGTH_FACTOR)
    }
}

pub fn snapshot_key(id: JobId, page: SnapshotNumber) -> String {
    format!("{SNAPSHOT_PREFIX}{id}/{:05}", page.0)
}

pub fn parse_snapshot_key(key: &str) -> Option<(JobId, SnapshotNumber)> {
    let (id, number) = key.strip_prefix(SNAPSHOT_PREFIX)?.split_once('/')?;
    Some((id.parse().ok()?, SnapshotNumber(number.parse().ok()?)))
}

pub fn images_key(part: usize) -> String {
    format!("{IMAGES_PREFIX}{part:05}")
}

pub fn is_images_key(key: &str) -> bool {
    key.starts_with(IMAGES_PREFIX)
}

/// What a team's home keeps of it.
pub fn quota_coordinator_key(team: &str) -> String {
    format!("{QUOTA_COORDINATOR_PREFIX}{team}")
}

pub fn parse_quota_coordinator_key(key: &str) -> Option<&str> {
    key.strip_prefix(QUOTA_COORDINATOR_PREFIX)
}

/// What this cell holds of a team's quota.
pub fn quota_participant_key(team: &str) -> String {
    format!("{QUOTA_PARTICIPANT_PREFIX}{team}")
}

pub fn parse_quota_participant_key(key: &str) -> Option<&str> {
    key.strip_prefix(QUOTA_PARTICIPANT_PREFIX)
}

pub fn log_slot_key(slot: u32) -> String {
    format!("{LOG_PREFIX}{slot:05}")
}

pub fn parse_log_slot_key(key: &str) -> Option<u32> {
    key.strip_prefix(LOG_PREFIX)?.parse().ok()
}

/// A job's record: the submission until the job is over, then only how it ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "lowercase")]
pub enum JobRecord {
    Live {
        at_ms: u64,
        spec: Box<Submission>,
    },
    /// A submission too long for one value: its JSON is cut into the texts of this many further keys,
    /// which come and go with the record. Versions before jobs could await others can't read it; by
    /// the time that users submit what is so long, there are none left.
    Split {
        at_ms: u64,
        parts: u32,
    },
    Done {
        /// When its last task was known to be done, by the leader's time of day: the times of jobs that
        /// awaited it count from then. Versions before jobs could await others don't tell.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        at_ms: Option<u64>,
    },
    Cancelled,
}

/// What is kept free in a value besides what is counted.
const VALUE_HEADROOM_BYTES: usize = 64;

/// A live job's record and the texts of its further keys, none of them longer than `bytes` as JSON.
pub fn live_job_record(at_ms: u64, spec: &Submission, bytes: usize) -> (JobRecord, Vec<String>) {
    let whole = JobRecord::Live {
        at_ms,
        spec: Box::new(spec.clone()),
    };
    let room = bytes.saturating_sub(VALUE_HEADROOM_BYTES);
    if json_len(&whole) <= room {
        return (whole, Vec::new());
    }
    let text = to_value(spec).to_string();
    let mut texts = vec![String::new()];
    let mut used = 2;
    for each in text.chars() {
        let len = json_len(&each) - 2;
        if used + len > room {
            texts.push(String::new());
            used = 2;
        }
        used += len;
        texts.last_mut().expect("never empty").push(each);
    }
    let parts = texts.len() as u32;
    (JobRecord::Split { at_ms, parts }, texts)
}

/// The keys and values that machine types are kept under, none of them longer than `bytes` as JSON: one,
/// as ever, where that holds them all, else several that are only read together.
pub fn machine_types_records(types: &[MachineType], bytes: usize) -> Vec<(String, Value)> {
    let room = bytes.saturating_sub(VALUE_HEADROOM_BYTES);
    let value = |types: &[MachineType]| {
        to_value(&MachineTypes {
            types: types.to_vec(),
        })
    };
    let whole = value(types);
    if json_len(&whole) <= room {
        return vec![(MACHINE_TYPES_KEY.into(), whole)];
    }
    let mut parts: Vec<Vec<MachineType>> = vec![Vec::new()];
    let mut used = 0;
    for kind in types {
        let len = json_len(kind) + 1;
        if used + len > room && used > 0 {
            parts.push(Vec::new());
            used = 0;
        }
        used += len;
        parts.last_mut().expect("never empty").push(kind.clone());
    }
    let count = parts.len();
    let parts = parts.into_iter().enumerate();
    parts
        .map(|(at, part)| {
            (
                format!("{MACHINE_TYPES_KEY}/{at:05}-{count:05}"),
                value(&part),
            )
        })
        .collect()
}

/// Which part of how many a key of machine types is.
pub fn parse_machine_types_key(key: &str) -> Option<(u32, u32)> {
    let (part, count) = key
        .strip_prefix(MACHINE_TYPES_KEY)?
        .strip_prefix('/')?
        .split_once('-')?;
    Some((part.parse().ok()?, count.parse().ok()?))
}

/// Puts the texts of a record's further keys together.
pub fn join_submission_parts<'a>(
    texts: impl Iterator<Item = &'a str>,
) -> Result<Submission, serde_json::Error> {
    serde_json::from_str(&texts.collect::<String>())
}

/// How long something is as JSON.
pub fn json_len<T: Serialize>(record: &T) -> usize {
    serde_json::to_vec(record).map_or(0, |text| text.len())
}

/// Who leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    pub lease: u64,
    /// The term at the takeover; fences may have raised it since.
    pub term: u64,
}

/// A node that may renew workers' leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewerRecord {
    pub lease: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: u64,
}

/// A task as its chunk records it: index, latest attempt, and how it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord(pub u32, pub u32, pub RecordedStatus);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedStatus {
    /// It may be on this one of the record's machines.
    #[serde(rename = "m")]
    OnMachine(u32),
    #[serde(rename = "w")]
    Waiting,
    #[serde(rename = "d")]
    Done,
}

impl RecordedStatus {
    /// LeaderLog on one attempt, the later ones higher: an attempt that was noted as gone does not
    /// come back, and what is done stays so.
    pub fn precedence(self) -> u8 {
        match self {
            RecordedStatus::OnMachine(_) => 0,
            RecordedStatus::Waiting => 1,
            RecordedStatus::Done => 2,
        }
    }
}

/// Enough of a machine to ask it, and to count what runs there, before it is heard of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub name: String,
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub addr: Option<String>,
}

/// What a job takes. LeaderLog repeat it: the job's own record forgets it when the job is cancelled, but
/// what is still being stopped counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    pub team: String,
    #[serde(rename = "of")]
    pub task_count: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

/// A page: a stretch of a job's tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    #[serde(flatten)]
    pub job: JobSummary,
    pub machines: Vec<MachineRecord>,
    pub tasks: Vec<TaskRecord>,
}

/// An entry of the log: the latest on tasks that changed, job by job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Counts entries; never used again.
    pub seq: u64,
    /// Entries before this one count no more: pages hold what they said.
    #[serde(rename = "first")]
    pub first_live_seq: u64,
    pub machines: Vec<MachineRecord>,
    pub jobs: Vec<(JobId, JobSummary, Vec<TaskRecord>)>,
}

/// Which of a table's images each of some machines holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Name and size.
    pub images: Vec<(String, f64)>,
    /// A machine's name, and a bit for each image, and [`REPLACEMENT_BIT`].
    pub machines: Vec<(String, u64)>,
    /// Jobs that fail everywhere; in the first record only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "at_fault")]
    pub quarantined: Vec<JobId>,
}

/// Set for a machine on which nothing more is to be placed: it failed its tasks, or was slow.
pub const REPLACEMENT_BIT: u64 = 1 << MAX_IMAGES_PER_RECORD;

/// Images that one record tells of.
pub const MAX_IMAGES_PER_RECORD: usize = 48;

/// The longest note with a machine of its own, as JSON.
const MAX_TASK_RECORD_BYTES: f64 = 160.0;

/// How many tasks share a chunk, so that a chunk stays within a value's limit.
pub fn task_range_len(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 - 512.0) / MAX_TASK_RECORD_BYTES).clamp(1.0, 128.0) as u32
}

pub fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).expect("records hold only plain data")
}
