//! What cells tell each other of teams' quotas, and what a cell stores of its membership.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::quota::{Grant, ParticipantReport};

/// A cell tells another how it stands in the teams whose home the other is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellReport {
    /// Who says so.
    pub from: String,
    /// All cells that it knows, in their order.
    pub cells: Vec<String>,
    /// Each of those teams.
    pub positions: Vec<(String, ParticipantReport)>,
}

/// What the home answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellGrants {
    /// Who says so.
    pub from: String,
    /// All cells that it knows, in their order.
    pub cells: Vec<String>,
    /// Each team of which it is the home and that it was told of.
    pub grants: Vec<(String, Grant)>,
}

/// Which cells share quotas, as this cell has stored it. A home grants nothing before all cells have named the same
/// list: one that knows other cells may know another home.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellMembershipRecord {
    /// All cells, in their order.
    pub cells: Vec<String>,
    /// Those that have named the same list.
    pub confirmed: BTreeSet<String>,
}

impl CellMembershipRecord {
    /// Whether all cells have named this list.
    pub fn is_complete(&self) -> bool {
        !self.cells.is_empty() && self.cells.iter().all(|cell| self.confirmed.contains(cell))
    }
}
