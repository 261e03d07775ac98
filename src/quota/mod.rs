//! Team quotas that several cells share, by escrow.
//!
//! A cell is one deployment: a leader with its followers, its machines and its state service. Each team has a home
//! cell, which grants units of the team's limit to all cells; a cell uses no more than it holds. As in the demarcation
//! protocol, what is granted is stored at the home before it is told, and what is returned is stored at the cell before
//! it is told. Both are running totals that only rise, so that a message which is lost, late, repeated or out of order
//! changes nothing: the larger total is the later one. At any moment a cell holds at most what its home has granted
//! less what its home knows to be returned, and the home grants only what is free under the limit by that count. No
//! clock takes part in this.
//!
//! * [`plan`]: how the units of a limit are divided among cells.
//! * [`coordinator`]: the coordinator's side of a team.
//! * [`participant`]: a participating cell's side of a team.
//!
//! Nothing here does I/O: whoever owns these writes the records they ask for and tells them what became of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub mod coordinator;
pub mod participant;
pub mod plan;

/// Thousandths of a CPU or GPU, so that sums are exact.
pub type Units = u64;

/// The units of a limit of "none": far more than there are, and still a number that can be divided.
pub const UNLIMITED: Units = 1 << 40;

/// CPUs and GPUs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Thousandths of a CPU.
    pub cpus: Units,
    /// Thousandths of a GPU.
    pub gpus: Units,
}

impl Quota {
    /// Nothing.
    pub const ZERO: Quota = Quota { cpus: 0, gpus: 0 };

    /// Combines both kinds of units with another's.
    pub fn combine(self, other: Quota, combine: impl Fn(Units, Units) -> Units) -> Quota {
        Quota {
            cpus: combine(self.cpus, other.cpus),
            gpus: combine(self.gpus, other.gpus),
        }
    }

    /// The sum.
    pub fn saturating_add(self, other: Quota) -> Quota {
        self.combine(other, Units::saturating_add)
    }

    /// What is left without `other`, at least nothing.
    pub fn saturating_sub(self, other: Quota) -> Quota {
        self.combine(other, Units::saturating_sub)
    }

    /// The larger of each.
    pub fn componentwise_max(self, other: Quota) -> Quota {
        self.combine(other, Units::max)
    }

    /// The smaller of each.
    pub fn componentwise_min(self, other: Quota) -> Quota {
        self.combine(other, Units::min)
    }

    /// Whether neither is above the other's.
    pub fn fits_within(self, other: Quota) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus
    }
}

/// Units of a decimal amount that is used: never fewer than it takes.
pub fn units_used(amount: f64) -> Units {
    (amount * 1000.0 - 1e-3).ceil().max(0.0) as Units
}

/// Units of a decimal amount that is allowed: never more.
pub fn units_allowed(amount: f64) -> Units {
    ((amount * 1000.0 + 1e-3).floor().max(0.0) as Units).min(UNLIMITED)
}

/// Units of a limit as operators write it, where 0 means none.
pub fn units_of_limit(amount: f64) -> Units {
    if amount > 0.0 {
        units_allowed(amount)
    } else {
        UNLIMITED
    }
}

/// What operators set for a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// What it has whenever it needs it.
    pub guarantee: Quota,
    /// What it may use at most.
    pub limit: Quota,
}

/// What was granted to a cell and returned by it, each in all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Granted.
    pub granted: Quota,
    /// Returned.
    pub returned: Quota,
}

impl Account {
    /// What the cell may hold.
    pub fn outstanding(&self) -> Quota {
        self.granted.saturating_sub(self.returned)
    }

    /// The later of two states: totals only rise.
    pub fn merge(&mut self, other: &Account) {
        self.granted = self.granted.componentwise_max(other.granted);
        self.returned = self.returned.componentwise_max(other.returned);
    }
}

/// What a home stores of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorRecord {
    /// Counts changes of the quota.
    pub version: u64,
    /// The quota of that version.
    pub quota: TeamQuota,
    /// By cell.
    pub accounts: BTreeMap<String, Account>,
}

/// What a cell stores of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ParticipantRecord {
    /// The home whose word counts for the team.
    #[serde(rename = "home")]
    pub coordinator: String,
    /// The latest version of the quota that the cell has heard of.
    pub version: u64,
    /// The cell's part of the guarantee.
    pub guarantee: Quota,
    /// What it is to come down to; above that it gets nothing new.
    pub target: Quota,
    /// What it holds.
    pub account: Account,
}

/// What a cell tells a team's home. All that it says of its account is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ParticipantReport {
    /// The latest version that the cell's books obey.
    pub version: u64,
    /// As stored.
    pub account: Account,
    /// What may be running.
    pub used: Quota,
    /// That, what waits, and a margin.
    pub wanted: Quota,
    /// What the first of its waiting work needs at once.
    pub first_request: Quota,
    /// What its largest running task takes: what can't be divided further.
    pub largest_task: Quota,
}

/// What a home tells a cell of a team. All that it says is stored, but for the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The version of the quota.
    pub version: u64,
    /// The cell's part of the guarantee.
    pub guarantee: Quota,
    /// Granted to it in all.
    pub granted: Quota,
    /// What it is to come down to.
    pub target: Quota,
    /// The limit was lowered below what all cells hold: what runs above the target has to stop. Else it may go on, and
    /// only what is not used is asked back.
    pub limit_lowered: bool,
}

/// Why what another cell says is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuotaError {
    /// Two homes are claimed for one team.
    #[error("{claimed:?} claims to be the home, which is {coordinator:?}")]
    OtherCoordinator {
        /// The home that the cell knows.
        coordinator: String,
        /// The one that claims to be it.
        claimed: String,
    },
    /// A cell that is no member.
    #[error("{0:?} is not one of the cells")]
    UnknownCell(String),
    /// More is said to be returned than was granted.
    #[error("{0:?} says that it returned more than it was granted")]
    ReturnedMoreThanGranted(String),
}

/// The home of a team: the same for all who know the same cells.
pub fn coordinator_of<'a>(team: &str, cells: &'a [String]) -> Option<&'a str> {
    // FNV-1a: a fixed function, also for versions and machines to come.
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = team.bytes().fold(BASIS, mix);
    let at = hash.checked_rem(cells.len() as u64)?;
    cells.get(at as usize).map(String::as_str)
}
