//! This cell and the other cells that share the teams' quotas, as given on the command line.

use std::{collections::BTreeMap, net::SocketAddrV4, str::FromStr};

/// A coordinator's stored record has no space for more.
const MAX_CELLS: usize = 12;
const MAX_CELL_NAME_LEN: usize = 40;
/// Bytes; a team's name is part of keys.
const MAX_TEAM_NAME_LEN: usize = 150;

/// Another cell: its name and its controllers' addresses for other controllers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCell {
    /// The cell's name.
    pub name: String,
    /// The addresses at which its controllers accept requests from other controllers.
    pub addrs: Vec<SocketAddrV4>,
}

/// This cell and its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellTopology {
    /// This cell's name.
    pub own_cell: String,
    /// The other cells: their controllers' addresses by the cell's name.
    pub peers: BTreeMap<String, Vec<SocketAddrV4>>,
}

/// Why the given cells or team names can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CellError {
    /// Not `NAME=ADDRESS:PORT[,ADDRESS:PORT...]`.
    #[error("{0:?} is not NAME=ADDRESS:PORT[,ADDRESS:PORT...]")]
    Malformed(String),
    /// A cell's name is empty, too long, or has characters other than letters, digits, `-`, `_` and `.`.
    #[error(
        "{0:?} is not the name of a cell (1 to {MAX_CELL_NAME_LEN} letters, digits, -, _ or .)"
    )]
    InvalidName(String),
    /// Two cells have the same name.
    #[error("the cell {0:?} is named twice")]
    Duplicate(String),
    /// More cells than a stored record can hold.
    #[error("{0} cells are given, but at most {MAX_CELLS} are allowed")]
    TooManyCells(usize),
    /// A team's name can't be part of a stored key.
    #[error(
        "the name of the team {0:?} can't be used with several cells (1 to {MAX_TEAM_NAME_LEN} bytes, no spaces)"
    )]
    InvalidTeamName(String),
}

impl FromStr for PeerCell {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Self, CellError> {
        let malformed_error = || CellError::Malformed(text.to_owned());
        let (name, addrs) = text.split_once('=').ok_or_else(malformed_error)?;
        let addrs: Vec<SocketAddrV4> = addrs
            .split(',')
            .map(|addr| addr.trim().parse())
            .collect::<Result<_, _>>()
            .map_err(|_| malformed_error())?;
        Ok(PeerCell {
            name: name.trim().to_owned(),
            addrs,
        })
    }
}

impl CellTopology {
    /// Checks the names of this cell and its peers, and builds the topology.
    ///
    /// # Errors
    /// A name is invalid or occurs twice, or there are too many cells.
    pub fn new(own_cell: &str, peer_cells: &[PeerCell]) -> Result<Self, CellError> {
        let mut peers = BTreeMap::new();
        validate_cell_name(own_cell)?;
        for peer in peer_cells {
            validate_cell_name(&peer.name)?;
            if peer.name == own_cell || peers.contains_key(&peer.name) {
                return Err(CellError::Duplicate(peer.name.clone()));
            }
            peers.insert(peer.name.clone(), peer.addrs.clone());
        }
        if peers.len() >= MAX_CELLS {
            return Err(CellError::TooManyCells(peers.len() + 1));
        }
        Ok(CellTopology {
            own_cell: own_cell.to_owned(),
            peers,
        })
    }

    /// The names of all cells, sorted, so that the list is the same in each cell.
    pub fn names(&self) -> Vec<String> {
        let peers = self.peers.keys().cloned();
        let mut names: Vec<String> = peers.chain([self.own_cell.clone()]).collect();
        names.sort();
        names
    }

    /// Checks that the teams' names can be part of stored keys.
    ///
    /// # Errors
    /// [`CellError::InvalidTeamName`] for the first name that can't.
    pub fn validate_team_names<'a>(
        names: impl IntoIterator<Item = &'a str>,
    ) -> Result<(), CellError> {
        match names.into_iter().find(|name| !is_valid_team_name(name)) {
            Some(name) => Err(CellError::InvalidTeamName(name.to_owned())),
            None => Ok(()),
        }
    }
}

fn is_valid_team_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_TEAM_NAME_LEN && !name.contains(char::is_whitespace)
}

fn validate_cell_name(name: &str) -> Result<(), CellError> {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    let is_valid =
        !name.is_empty() && name.len() <= MAX_CELL_NAME_LEN && name.chars().all(is_allowed);
    is_valid
        .then_some(())
        .ok_or_else(|| CellError::InvalidName(name.to_owned()))
}

#[cfg(test)]
mod tests;
