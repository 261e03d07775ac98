//! Builds and parses the keys of the state service.

use crate::protocol::ids::JobId;

/// Prefix of the keys that every node watches.
pub const SHARED_PREFIX: &str = "shared/";
/// The key of the [`LeaderRecord`](super::LeaderRecord); attached to the leader's lease.
pub const LEADER_KEY: &str = "shared/leader";
/// The key of the [`TermRecord`](super::TermRecord).
pub const TERM_KEY: &str = "shared/term";
/// The key of the machine types that the cloud listed last.
pub const MACHINE_TYPES_KEY: &str = "shared/types";
/// The key of the nodes' admission quotas (`coordination/admission`).
pub const ADMISSION_QUOTAS_KEY: &str = "shared/admission";
/// The key of the [`ProgressRecord`](super::ProgressRecord).
pub const PROGRESS_KEY: &str = "shared/progress";
const LEASE_RENEWER_PREFIX: &str = "shared/deputy/";
/// Prefix of the keys that only leaders read and write: the log, snapshots and image tables.
pub const CLUSTER_PREFIX: &str = "books/";
/// Prefix of the keys for quotas that cells share; unused unless cells are configured.
pub const QUOTA_PREFIX: &str = "quota/";
/// The key of the list of cells that share quotas.
pub const QUOTA_CELLS_KEY: &str = "quota/cells";
const QUOTA_COORDINATOR_PREFIX: &str = "quota/home/";
const QUOTA_PARTICIPANT_PREFIX: &str = "quota/hold/";
const JOB_PREFIX: &str = "shared/job/";
const JOB_PART_PREFIX: &str = "shared/part/";
const SNAPSHOT_PREFIX: &str = "books/task/";
const LOG_PREFIX: &str = "books/log/";
const IMAGES_PREFIX: &str = "books/images/";
/// Number of slots in the log's ring, each of which holds one log record.
pub const LOG_RING_SLOTS: u32 = 256;

/// The key of a job's record.
pub fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The id of the job whose record has this key; `None` for any other key.
pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.strip_prefix(JOB_PREFIX)?.parse().ok()
}

/// The key of one part of a submission that exceeds the limit on values.
pub fn job_part_key(id: JobId, part: u32) -> String {
    format!("{JOB_PART_PREFIX}{id}/{part:05}")
}

/// The job and the part number in the key of a submission part; `None` for any other key.
pub fn parse_job_part_key(key: &str) -> Option<(JobId, u32)> {
    let (id, part) = key.strip_prefix(JOB_PART_PREFIX)?.split_once('/')?;
    Some((id.parse().ok()?, part.parse().ok()?))
}

/// The key that a node holds, attached to its own lease, while it may renew workers' leases.
pub fn lease_renewer_key(label: &str) -> String {
    format!("{LEASE_RENEWER_PREFIX}{label}")
}

/// The label of the node that holds this lease renewer key; `None` for any other key.
pub fn parse_lease_renewer_key(key: &str) -> Option<&str> {
    key.strip_prefix(LEASE_RENEWER_PREFIX)
}

/// A snapshot's number in its key, which encodes the length and the index of its task range.
///
/// The length of a range is derived from the limit on values, which can change. If the key held only
/// the index, range 3 would cover different tasks at nodes with different limits, and one node would
/// overwrite records of the other that are still needed. With the length in the key, snapshots of
/// different lengths never overwrite each other. A new leader reads all of them, and merges them
/// safely because the records of a task are ordered. Older versions number ranges from 0 to at most
/// 100,000: they can read these snapshots too, but never write to these keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SnapshotNumber(
    /// The length of the range times 1,000,000, plus its index.
    pub u32,
);

/// Exceeds the number of ranges of any job.
const SNAPSHOT_LENGTH_FACTOR: u32 = 1_000_000;

impl SnapshotNumber {
    /// The number of the range with this index, where ranges hold `length` tasks each.
    pub fn new(length: u32, range_index: u32) -> Self {
        SnapshotNumber(length * SNAPSHOT_LENGTH_FACTOR + range_index)
    }

    /// The index of the range; `None` if its length is not `length`.
    pub fn range_index(self, length: u32) -> Option<u32> {
        (self.0 / SNAPSHOT_LENGTH_FACTOR == length).then_some(self.0 % SNAPSHOT_LENGTH_FACTOR)
    }
}

/// The key of the snapshot of a range of a job's tasks.
pub fn snapshot_key(id: JobId, number: SnapshotNumber) -> String {
    format!("{SNAPSHOT_PREFIX}{id}/{:05}", number.0)
}

/// The job and the snapshot number in a snapshot's key; `None` for any other key.
pub fn parse_snapshot_key(key: &str) -> Option<(JobId, SnapshotNumber)> {
    let (id, number) = key.strip_prefix(SNAPSHOT_PREFIX)?.split_once('/')?;
    Some((id.parse().ok()?, SnapshotNumber(number.parse().ok()?)))
}

/// The key of one [`ImagesRecord`](super::ImagesRecord).
pub fn images_key(part: usize) -> String {
    format!("{IMAGES_PREFIX}{part:05}")
}

/// Whether this is the key of an [`ImagesRecord`](super::ImagesRecord).
pub fn is_images_key(key: &str) -> bool {
    key.starts_with(IMAGES_PREFIX)
}

/// The key of a team's quota record at its coordinator, the team's home cell.
pub fn quota_coordinator_key(team: &str) -> String {
    format!("{QUOTA_COORDINATOR_PREFIX}{team}")
}

/// The team in the key of a coordinator's quota record; `None` for any other key.
pub fn parse_quota_coordinator_key(key: &str) -> Option<&str> {
    key.strip_prefix(QUOTA_COORDINATOR_PREFIX)
}

/// The key of a team's quota record at this cell as a participant.
pub fn quota_participant_key(team: &str) -> String {
    format!("{QUOTA_PARTICIPANT_PREFIX}{team}")
}

/// The team in the key of a participant's quota record; `None` for any other key.
pub fn parse_quota_participant_key(key: &str) -> Option<&str> {
    key.strip_prefix(QUOTA_PARTICIPANT_PREFIX)
}

/// The key of a slot in the log's ring.
pub fn log_slot_key(slot: u32) -> String {
    format!("{LOG_PREFIX}{slot:05}")
}

/// The slot number in the key of a log record; `None` for any other key.
pub fn parse_log_slot_key(key: &str) -> Option<u32> {
    key.strip_prefix(LOG_PREFIX)?.parse().ok()
}
