//! Team quotas that several cells share, by escrow.
//!
//! A cell is one deployment: a leader with its followers, its machines and its state service. For each team one cell
//! is the coordinator, which grants units of the team's limit to all cells, itself included. They are the team's
//! participants, and a participant uses no more than it holds.
//!
//! As in the demarcation protocol, the coordinator stores a grant before it sends it, and a participant stores a return
//! before it reports it. Both are running totals that only rise. Messages may therefore be lost, delayed, repeated or
//! reordered without harm: of two totals, the larger is the later one. At any moment a participant holds at most the
//! total granted to it less the total reported to the coordinator as returned, and the coordinator grants only
//! units that are free under the limit by that count. None of this depends on clocks.
//!
//! * [`plan`]: how the units of a limit are divided among cells.
//! * [`coordinator`]: the coordinator's side of a team.
//! * [`participant`]: a participant's side of a team.
//!
//! Nothing here does I/O: the caller writes the records that these types return and reports back once they are stored.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub mod coordinator;
pub mod participant;
pub mod plan;

/// Thousandths of a CPU or GPU, so that sums are exact.
pub type Units = u64;

/// The units that stand for no limit: far more than any cell has, but still a number that can be divided.
pub const UNLIMITED: Units = 1 << 40;

/// An amount of CPUs and GPUs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Thousandths of a CPU.
    pub cpus: Units,
    /// Thousandths of a GPU.
    pub gpus: Units,
}

impl Quota {
    /// No CPUs and no GPUs.
    pub const ZERO: Quota = Quota { cpus: 0, gpus: 0 };

    /// Applies `combine` to the CPUs of both quotas and to the GPUs of both.
    pub fn combine(self, other: Quota, combine: impl Fn(Units, Units) -> Units) -> Quota {
        Quota {
            cpus: combine(self.cpus, other.cpus),
            gpus: combine(self.gpus, other.gpus),
        }
    }

    /// The sum of both quotas, by component.
    pub fn saturating_add(self, other: Quota) -> Quota {
        self.combine(other, Units::saturating_add)
    }

    /// The difference by component, at least zero.
    pub fn saturating_sub(self, other: Quota) -> Quota {
        self.combine(other, Units::saturating_sub)
    }

    /// The larger value of each component.
    pub fn componentwise_max(self, other: Quota) -> Quota {
        self.combine(other, Units::max)
    }

    /// The smaller value of each component.
    pub fn componentwise_min(self, other: Quota) -> Quota {
        self.combine(other, Units::min)
    }

    /// Whether neither component exceeds that of `other`.
    pub fn fits_within(self, other: Quota) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus
    }
}

/// Units of a decimal amount that is in use, rounded up.
pub fn units_used(amount: f64) -> Units {
    (amount * 1000.0 - 1e-3).ceil().max(0.0) as Units
}

/// Units of a decimal amount that is allowed, rounded down; at most [`UNLIMITED`].
pub fn units_allowed(amount: f64) -> Units {
    ((amount * 1000.0 + 1e-3).floor().max(0.0) as Units).min(UNLIMITED)
}

/// Units of a limit as written in the settings, where 0 means no limit.
pub fn units_of_limit(amount: f64) -> Units {
    if amount > 0.0 {
        units_allowed(amount)
    } else {
        UNLIMITED
    }
}

/// A team's quota in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The amount that the team can always use when it has work.
    pub guarantee: Quota,
    /// The most that the team may use.
    pub limit: Quota,
}

/// Running totals of the units that were granted to a cell and that it returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The total granted.
    pub granted: Quota,
    /// The total returned.
    pub returned: Quota,
}

impl Account {
    /// The units that the cell may still hold: granted and not returned.
    pub fn outstanding(&self) -> Quota {
        self.granted.saturating_sub(self.returned)
    }

    /// Advances to the later of two states. Totals only rise, so the larger of each is the later one.
    pub fn merge(&mut self, other: &Account) {
        self.granted = self.granted.componentwise_max(other.granted);
        self.returned = self.returned.componentwise_max(other.returned);
    }
}

/// A team's record at its coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorRecord {
    /// The number of changes of the quota so far.
    pub version: u64,
    /// The quota as of that version.
    pub quota: TeamQuota,
    /// The account of each cell, by the cell's name.
    pub accounts: BTreeMap<String, Account>,
}

/// A team's record at a participant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ParticipantRecord {
    /// The team's coordinator; grants from other cells are rejected.
    #[serde(rename = "home")]
    pub coordinator: String,
    /// The latest version of the quota that the cell has received.
    pub version: u64,
    /// The cell's part of the guarantee.
    pub guarantee: Quota,
    /// The units that the cell should keep: it returns unused units above this and starts no new work above it.
    pub target: Quota,
    /// The totals granted to the cell and returned by it.
    pub account: Account,
}

/// A participant's report to a team's coordinator. The account in it is already stored at the participant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ParticipantReport {
    /// The latest version of the quota that the cell enforces.
    pub version: u64,
    /// The participant's account, as stored.
    pub account: Account,
    /// The units reserved by the team's tasks that may be running.
    pub used: Quota,
    /// The use, the waiting work, and a margin for work to come.
    pub wanted: Quota,
    /// The units that the first waiting job needs to start: of one task, or of all tasks of a gang together.
    pub first_request: Quota,
    /// The units that the largest running task reserves: the step in which the use can be reduced.
    pub largest_task: Quota,
}

/// A coordinator's grant to a cell for a team. The version and the total granted come from the stored record; the rest
/// is computed from that record and the latest reports, and the target is not stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The version of the quota.
    pub version: u64,
    /// The cell's part of the guarantee.
    pub guarantee: Quota,
    /// The total granted to the cell.
    pub granted: Quota,
    /// The units that the cell should keep.
    pub target: Quota,
    /// The limit was lowered below the units that all cells hold together: tasks above the target have to be preempted. Otherwise they may
    /// keep running, and only unused units are reclaimed.
    pub limit_lowered: bool,
}

/// Why a report or a grant is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuotaError {
    /// A grant comes from a cell that is not the team's coordinator.
    #[error("{claimant:?} sent a grant, but the team's coordinator is {coordinator:?}")]
    OtherCoordinator {
        /// The coordinator that the cell has stored.
        coordinator: String,
        /// The cell that sent the grant.
        claimant: String,
    },
    /// The sender is not one of the cells that share quotas.
    #[error("{0:?} is not one of the cells")]
    UnknownCell(String),
    /// A cell reports that it returned more than was granted to it.
    #[error("{0:?} reports that it returned more than it was granted")]
    ReturnedMoreThanGranted(String),
}

/// The cell that coordinates a team's quota: the same result in all cells that have the same list of cells.
pub fn coordinator_of<'a>(team: &str, cells: &'a [String]) -> Option<&'a str> {
    // FNV-1a: the hash must be the same in all versions of the program and on all machines.
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = team.bytes().fold(OFFSET_BASIS, hash_byte);
    let index = hash.checked_rem(cells.len() as u64)?;
    cells.get(index as usize).map(String::as_str)
}
