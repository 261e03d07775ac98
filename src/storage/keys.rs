//! The keys of the state service, and how they are parsed.

use crate::protocol::ids::JobId;

/// What every node follows.
pub const SHARED_PREFIX: &str = "shared/";
/// The leader's record, on the leader's lease.
pub const LEADER_KEY: &str = "shared/leader";
/// The term's record.
pub const TERM_KEY: &str = "shared/term";
/// The machine types, as the cloud last listed them.
pub const MACHINE_TYPES_KEY: &str = "shared/types";
/// The agreed admission quotas of the nodes (`coordination/admission`).
pub const ADMISSION_QUOTAS_KEY: &str = "shared/admission";
const LEASE_RENEWER_PREFIX: &str = "shared/deputy/";
/// What only leaders read and write: the log, snapshots and image tables.
pub const CLUSTER_PREFIX: &str = "books/";
/// Quotas that cells share; nothing is stored there unless cells are configured.
pub const QUOTA_PREFIX: &str = "quota/";
/// Which cells share quotas.
pub const QUOTA_CELLS_KEY: &str = "quota/cells";
const QUOTA_COORDINATOR_PREFIX: &str = "quota/home/";
const QUOTA_PARTICIPANT_PREFIX: &str = "quota/hold/";
const JOB_PREFIX: &str = "shared/job/";
const JOB_PART_PREFIX: &str = "shared/part/";
const SNAPSHOT_PREFIX: &str = "books/task/";
const LOG_PREFIX: &str = "books/log/";
const IMAGES_PREFIX: &str = "books/images/";
/// How many entries the log's ring holds.
pub const LOG_RING_SLOTS: u32 = 256;

/// The key of a job's record.
pub fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The job whose record has this key.
pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.strip_prefix(JOB_PREFIX)?.parse().ok()
}

/// The key of one part of a submission that is too long for one value.
pub fn job_part_key(id: JobId, part: u32) -> String {
    format!("{JOB_PART_PREFIX}{id}/{part:05}")
}

/// The job and the number of the part that has this key.
pub fn parse_job_part_key(key: &str) -> Option<(JobId, u32)> {
    let (id, part) = key.strip_prefix(JOB_PART_PREFIX)?.split_once('/')?;
    Some((id.parse().ok()?, part.parse().ok()?))
}

/// The key that a node holds on a lease of its own while it may renew workers' leases.
pub fn lease_renewer_key(label: &str) -> String {
    format!("{LEASE_RENEWER_PREFIX}{label}")
}

/// The node that holds this lease renewer's key.
pub fn parse_lease_renewer_key(key: &str) -> Option<&str> {
    key.strip_prefix(LEASE_RENEWER_PREFIX)
}

/// A snapshot's number in its key: the length of its task range, and which range it is.
///
/// The length of a range follows from the limit on values, and that changes. Were ranges merely
/// counted, range 3 would be other tasks for a node with other limits, and overwriting it would lose
/// records that are needed. So two lengths never share a key: neither overwrites the other's, a new
/// leader reads both, and merging them is harmless, since of two records of a task the later one is
/// known. Versions that only counted, up to 100,000, read these snapshots as well, and never write them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SnapshotNumber(
    /// The length times 1,000,000, plus the range's index.
    pub u32,
);

/// More than the ranges of any job.
const SNAPSHOT_LENGTH_FACTOR: u32 = 1_000_000;

impl SnapshotNumber {
    /// The number of a range, of `length` tasks each.
    pub fn new(length: u32, range_index: u32) -> Self {
        SnapshotNumber(length * SNAPSHOT_LENGTH_FACTOR + range_index)
    }

    /// Which range it is, if ranges have this length.
    pub fn range_index(self, length: u32) -> Option<u32> {
        (self.0 / SNAPSHOT_LENGTH_FACTOR == length).then_some(self.0 % SNAPSHOT_LENGTH_FACTOR)
    }
}

/// The key of the snapshot of a range of a job's tasks.
pub fn snapshot_key(id: JobId, number: SnapshotNumber) -> String {
    format!("{SNAPSHOT_PREFIX}{id}/{:05}", number.0)
}

/// The job and the number of the snapshot that has this key.
pub fn parse_snapshot_key(key: &str) -> Option<(JobId, SnapshotNumber)> {
    let (id, number) = key.strip_prefix(SNAPSHOT_PREFIX)?.split_once('/')?;
    Some((id.parse().ok()?, SnapshotNumber(number.parse().ok()?)))
}

/// The key of one record of the machines' images.
pub fn images_key(part: usize) -> String {
    format!("{IMAGES_PREFIX}{part:05}")
}

/// Whether the key is of a record of the machines' images.
pub fn is_images_key(key: &str) -> bool {
    key.starts_with(IMAGES_PREFIX)
}

/// The key of what a team's quota coordinator, its home cell, keeps of it.
pub fn quota_coordinator_key(team: &str) -> String {
    format!("{QUOTA_COORDINATOR_PREFIX}{team}")
}

/// The team whose coordinator's record has this key.
pub fn parse_quota_coordinator_key(key: &str) -> Option<&str> {
    key.strip_prefix(QUOTA_COORDINATOR_PREFIX)
}

/// The key of what this cell holds of a team's quota.
pub fn quota_participant_key(team: &str) -> String {
    format!("{QUOTA_PARTICIPANT_PREFIX}{team}")
}

/// The team whose quota held by this cell has this key.
pub fn parse_quota_participant_key(key: &str) -> Option<&str> {
    key.strip_prefix(QUOTA_PARTICIPANT_PREFIX)
}

/// The key of a slot of the log's ring.
pub fn log_slot_key(slot: u32) -> String {
    format!("{LOG_PREFIX}{slot:05}")
}

/// The slot of the log's ring that has this key.
pub fn parse_log_slot_key(key: &str) -> Option<u32> {
    key.strip_prefix(LOG_PREFIX)?.parse().ok()
}
