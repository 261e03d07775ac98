//! The messages in which cells exchange teams' quotas, and the stored record of which cells share them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::quota::{Grant, ParticipantReport};

/// A cell's report to another cell, for the teams that the other cell coordinates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellReport {
    /// The cell that sends the report.
    pub from: String,
    /// The names of all cells that the sender has configured, sorted.
    pub cells: Vec<String>,
    /// The report for each of those teams, by the team's name.
    pub team_reports: Vec<(String, ParticipantReport)>,
}

/// A coordinator's response to a [`CellReport`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellGrants {
    /// The cell that sends the grants.
    pub from: String,
    /// The names of all cells that the sender has configured, sorted.
    pub cells: Vec<String>,
    /// The grant for each reported team that the sender coordinates, by the team's name.
    pub grants: Vec<(String, Grant)>,
}

/// The cells that share quotas, as stored in this cell. A coordinator grants nothing before all cells have confirmed
/// the same list, because a cell with a different list may determine another coordinator for a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellMembershipRecord {
    /// The names of all cells, sorted.
    pub cells: Vec<String>,
    /// The cells that have confirmed the same list.
    pub confirmed: BTreeSet<String>,
}

impl CellMembershipRecord {
    /// Whether all cells have confirmed this list.
    pub fn is_complete(&self) -> bool {
        !self.cells.is_empty() && self.cells.iter().all(|cell| self.confirmed.contains(cell))
    }
}
