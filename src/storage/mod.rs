//! The keys and records in the state service.
//!
//! * `shared/`: watched by every node. `shared/job/<id>` is a job's record, with the submission in
//!   `shared/part/<id>/` if it is too long for one value. `shared/leader` names the leader and is
//!   attached to its lease, `shared/term` holds the term, `shared/types` holds the machine types that
//!   the cloud listed last, `shared/deputy/<node>` entitles a node to renew workers' leases,
//!   `shared/admission` holds the admission quotas of the nodes, and `shared/progress` the progress of
//!   jobs while a member does not answer the leader's announcements.
//! * `books/log/<slot>`: the leader's log, a ring of log records. A log record holds the changes since
//!   the previous one, for tasks of any number of jobs, so that many changes share one write.
//! * `books/task/<id>/<number>`: a snapshot of the state of a range of a job's tasks. As the ring
//!   fills up, snapshots are written for tasks whose state only the oldest log records hold.
//! * `books/images/<part>`: which machines hold which images, so that a new leader can place tasks
//!   near their images. It is only a hint: correctness does not depend on it.
//! * `quota/cells`, `quota/home/<team>`, `quota/hold/<team>`: which cells share quotas, the units
//!   that a team's coordinator has granted to each cell, and those that this cell holds. Only if cells are configured.
//!
//! Records of one task are ordered by attempt, then by status ([`RecordedStatus::precedence`]).
//! A new leader can therefore read them in any order and more than once.

mod keys;
mod machine_types;
mod progress;
mod records;
mod submission_parts;

use serde::Serialize;
use serde_json::Value;

pub use self::{
    keys::*,
    machine_types::{machine_types_records, parse_machine_types_key},
    progress::{ProgressEntry, ProgressRecord},
    records::*,
    submission_parts::{join_submission_parts, live_job_record},
};

/// Bytes of a value that are left free for the parts that the length calculation does not count.
const VALUE_HEADROOM_BYTES: usize = 64;
/// The longest task record together with a machine record that only it uses, as JSON.
const MAX_TASK_RECORD_BYTES: f64 = 160.0;

/// The length of a record as JSON, in bytes.
pub fn json_len<T: Serialize>(record: &T) -> usize {
    serde_json::to_vec(record).map_or(0, |text| text.len())
}

/// The number of tasks in a snapshot, such that it stays within `value_kb`, the limit on values in
/// units of 1024 bytes.
pub fn task_range_len(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 - 512.0) / MAX_TASK_RECORD_BYTES).clamp(1.0, 128.0) as u32
}

/// A record as a JSON value.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).expect("records hold only plain data")
}
