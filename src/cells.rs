//! This cell and the others that share the teams' quotas, as operators name them.

use std::{collections::BTreeMap, net::SocketAddrV4, str::FromStr};

/// More would not fit into a coordinator's stored record.
const MAX_CELLS: usize = 12;
const MAX_CELL_NAME_LEN: usize = 40;
/// A team's name is part of keys.
const MAX_TEAM_NAME_LEN: usize = 150;

/// Another cell: its name and its controllers' addresses for other controllers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCell {
    /// Its name.
    pub name: String,
    /// Where its controllers take requests from others.
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

/// What is wrong with the cells that were named.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CellError {
    /// Not `NAME=ADDRESS:PORT[,ADDRESS:PORT...]`.
    #[error("{0:?} is not NAME=ADDRESS:PORT[,ADDRESS:PORT...]")]
    Form(String),
    /// Empty, too long, or with other signs than letters, digits, `-`, `_` and `.`.
    #[error(
        "{0:?} is not the name of a cell (1 to {MAX_CELL_NAME_LEN} letters, digits, -, _ or .)"
    )]
    Name(String),
    /// Two cells of one name.
    #[error("the cell {0:?} is named twice")]
    Twice(String),
    /// More cells than a record can hold.
    #[error("{0} cells, {MAX_CELLS} at most")]
    TooMany(usize),
    /// A team whose name can't be part of a key.
    #[error(
        "the team {0:?} has a name that cells can't share (1 to {MAX_TEAM_NAME_LEN} bytes, no spaces)"
    )]
    Team(String),
}

impl FromStr for PeerCell {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Self, CellError> {
        let malformed = || CellError::Form(text.to_owned());
        let (name, addrs) = text.split_once('=').ok_or_else(malformed)?;
        let addrs: Vec<SocketAddrV4> = addrs
            .split(',')
            .map(|addr| addr.trim().parse())
            .collect::<Result<_, _>>()
            .map_err(|_| malformed())?;
        Ok(PeerCell {
            name: name.trim().to_owned(),
            addrs,
        })
    }
}

impl CellTopology {
    /// This cell and its peers, once their names are checked.
    ///
    /// # Errors
    /// A name can't be used or occurs twice, or there are too many cells.
    pub fn new(own_cell: &str, peer_cells: &[PeerCell]) -> Result<Self, CellError> {
        let mut peers = BTreeMap::new();
        validate_cell_name(own_cell)?;
        for peer in peer_cells {
            validate_cell_name(&peer.name)?;
            if peer.name == own_cell || peers.contains_key(&peer.name) {
                return Err(CellError::Twice(peer.name.clone()));
            }
            peers.insert(peer.name.clone(), peer.addrs.clone());
        }
        if peers.len() >= MAX_CELLS {
            return Err(CellError::TooMany(peers.len() + 1));
        }
        Ok(CellTopology {
            own_cell: own_cell.to_owned(),
            peers,
        })
    }

    /// All names, sorted: the same list in each cell.
    pub fn names(&self) -> Vec<String> {
        let peers = self.peers.keys().cloned();
        let mut names: Vec<String> = peers.chain([self.own_cell.clone()]).collect();
        names.sort();
        names
    }

    /// Checks that the teams' names can be part of stored keys.
    ///
    /// # Errors
    /// [`CellError::Team`] for the first name that can't.
    pub fn validate_team_names<'a>(
        names: impl IntoIterator<Item = &'a str>,
    ) -> Result<(), CellError> {
        match names.into_iter().find(|name| !is_key_part(name)) {
            Some(name) => Err(CellError::Team(name.to_owned())),
            None => Ok(()),
        }
    }
}

fn is_key_part(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_TEAM_NAME_LEN && !name.contains(char::is_whitespace)
}

fn validate_cell_name(name: &str) -> Result<(), CellError> {
    let is_allowed = |sign: char| sign.is_ascii_alphanumeric() || "-_.".contains(sign);
    let is_valid =
        !name.is_empty() && name.len() <= MAX_CELL_NAME_LEN && name.chars().all(is_allowed);
    is_valid
        .then_some(())
        .ok_or_else(|| CellError::Name(name.to_owned()))
}

#[cfg(test)]
mod tests;
