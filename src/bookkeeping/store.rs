//! What is kept in the state service, and under which keys.
//!
//! * `shared/`: followed by every node. `shared/job/<id>` is a job's record, `shared/leader` names
//!   the leader (on its lease), `shared/term` holds the term, `shared/types` the machine types
//!   as the cloud last told them, `shared/deputy/<node>` is a node's right to renew workers' leases.
//! * `books/task/<id>/<chunk>`: the leader's notes on a stretch of a job's tasks.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::books::{Books, JobIx, MachineIx, TaskStatus};
use crate::protocol::{ids::JobId, job::Submission};

pub const SHARED: &str = "shared/";
pub const LEADER: &str = "shared/leader";
pub const TERM: &str = "shared/term";
pub const TYPES: &str = "shared/types";
const DEPUTY: &str = "shared/deputy/";
pub const BOOKS: &str = "books/";
const JOB: &str = "shared/job/";
const TASK: &str = "books/task/";

pub fn job_key(id: JobId) -> String {
    format!("{JOB}{id}")
}

pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.strip_prefix(JOB)?.parse().ok()
}

/// Held by a node on a lease of its own while it may renew workers' leases.
pub fn deputy_key(label: &str) -> String {
    format!("{DEPUTY}{label}")
}

pub fn parse_deputy_key(key: &str) -> Option<&str> {
    key.strip_prefix(DEPUTY)
}

pub fn chunk_key(id: JobId, chunk: u32) -> String {
    format!("{TASK}{id}/{chunk:05}")
}

pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = key.strip_prefix(TASK)?.split_once('/')?;
    Some((id.parse().ok()?, chunk.parse().ok()?))
}

/// A job's record: the submission until the job is over, then only how it ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "lowercase")]
pub enum JobRecord {
    Live { at_ms: u64, spec: Box<Submission> },
    Done,
    Cancelled,
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
pub struct DeputyRecord {
    pub lease: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: u64,
}

/// A task as its chunk records it: index, latest attempt, and how it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskNote(pub u32, pub u32, pub Note);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    #[serde(rename = "w")]
    Waiting,
    #[serde(rename = "d")]
    Done,
    /// It may be on this one of the chunk's machines.
    #[serde(rename = "m")]
    On(u32),
}

/// Enough of a machine to ask it, and to count what runs there, before it is heard of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNote {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub addr: Option<String>,
}

/// A stretch of a job's tasks. It repeats what its job takes: the job's own record forgets that
/// when the job is cancelled, but what is still being stopped counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    pub team: String,
    pub of: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub machines: Vec<MachineNote>,
    pub tasks: Vec<TaskNote>,
}

/// The longest note with a machine of its own, as JSON.
const NOTE_BYTES: f64 = 160.0;

/// How many tasks share a chunk, so that a chunk stays within a value's limit.
pub fn chunk_len(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 - 512.0) / NOTE_BYTES).clamp(1.0, 128.0) as u32
}

pub fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).expect("records hold only plain data")
}

/// The record of a chunk as the books have it now.
pub fn chunk_record(books: &Books, index: JobIx, chunk: u32) -> ChunkRecord {
    let job = books.job(index);
    let first = (chunk * books.chunk_len) as usize;
    let last = (first + books.chunk_len as usize).min(job.tasks.len());
    let mut on: Vec<MachineIx> = Vec::new();
    let mut notes = Vec::new();
    for (at, task) in job.tasks[first..last].iter().enumerate() {
        let note = match task.status {
            TaskStatus::Waiting if task.attempt == 0 => continue,
            TaskStatus::Waiting => Note::Waiting,
            TaskStatus::Done => Note::Done,
            TaskStatus::Active(machine) => {
                let known = on.iter().position(|each| *each == machine);
                Note::On(known.unwrap_or_else(|| {
                    on.push(machine);
                    on.len() - 1
                }) as u32)
            }
        };
        notes.push(TaskNote((first + at) as u32, task.attempt, note));
    }
    let machines = on.into_iter().map(|machine| {
        let machine = books.machine(machine);
        MachineNote {
            name: machine.name.clone(),
            kind: books.types[machine.type_ix.at()].name.clone(),
            zone: books.zone_names[machine.zone.at()].clone(),
            spot: machine.spot,
            addr: machine.addr.clone(),
        }
    });
    ChunkRecord {
        team: books.teams[job.team.at()].name.clone(),
        of: job.tasks.len() as u32,
        cpus: job.need.cpus,
        gpus: job.need.gpus,
        ram_gb: job.need.ram_gb,
        machines: machines.collect(),
        tasks: notes,
    }
}
