//! What is stored in the state service, and under which keys.
//!
//! * `shared/`: followed by every node. `shared/job/<id>` is a job's record, with `shared/part/<id>/`
//!   where that is too long for one value, `shared/leader` names the leader (on its lease),
//!   `shared/term` holds the term, `shared/types` the machine types as the cloud last listed them,
//!   `shared/deputy/<node>` is a node's right to renew workers' leases, `shared/admission` the
//!   admission quotas of the nodes.
//! * `books/log/<slot>`: the leader's log, a ring of entries. An entry records what changed since the
//!   one before, for tasks of any number of jobs, so that a change costs only a part of a write.
//! * `books/task/<id>/<number>`: a snapshot of all that is known of a range of a job's tasks.
//!   Snapshots are written when the ring comes round, for what the oldest entries record.
//! * `books/images/<part>`: which machines have which images, for a new leader to place by. Only a
//!   hint: nothing depends on it.
//! * `quota/cells`, `quota/home/<team>`, `quota/hold/<team>`: which cells share quotas, what a team's
//!   coordinator has granted to each, and what this cell holds. Only where cells are configured.
//!
//! Records of one task are ordered by attempt and by what can follow what, so that it makes no
//! difference in which order a new leader reads them, or whether it reads one twice.

mod keys;
mod machine_types;
mod records;
mod submission_parts;

use serde::Serialize;
use serde_json::Value;

pub use self::{
    keys::*,
    machine_types::{machine_types_records, parse_machine_types_key},
    records::*,
    submission_parts::{join_submission_parts, live_job_record},
};

/// What is kept free in a value besides what is counted.
const VALUE_HEADROOM_BYTES: usize = 64;
/// The longest task record with a machine of its own, as JSON.
const MAX_TASK_RECORD_BYTES: f64 = 160.0;

/// The length of something as JSON, in bytes.
pub fn json_len<T: Serialize>(record: &T) -> usize {
    serde_json::to_vec(record).map_or(0, |text| text.len())
}

/// How many tasks share a snapshot, so that it stays within the limit on values, in kilobytes.
pub fn task_range_len(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 - 512.0) / MAX_TASK_RECORD_BYTES).clamp(1.0, 128.0) as u32
}

/// A record as a JSON value.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).expect("records hold only plain data")
}
