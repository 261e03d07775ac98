//! This cell and the others that share the teams' quotas, as operators name them.

use std::{collections::BTreeMap, net::SocketAddrV4, str::FromStr};

use crate::config::Team;

/// More would not fit into a home's record.
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

/// This cell and the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellTopology {
    /// This cell's name.
    pub own_cell: String,
    /// The others, by name.
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
    /// Too many.
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
        let form = || CellError::Form(text.to_owned());
        let (name, addrs) = text.split_once('=').ok_or_else(form)?;
        let addrs = addrs.split(',').map(|addr| addr.trim().parse());
        let addrs: Vec<SocketAddrV4> = addrs.collect::<Result<_, _>>().map_err(|_| form())?;
        Ok(PeerCell {
            name: name.trim().to_owned(),
            addrs,
        })
    }
}

impl CellTopology {
    /// Checks the names.
    pub fn new(own: &str, peers: &[PeerCell]) -> Result<Self, CellError> {
        let mut known = BTreeMap::new();
        validate_cell_name(own)?;
        for peer in peers {
            validate_cell_name(&peer.name)?;
            let twice = peer.name == own || known.contains_key(&peer.name);
            if twice {
                return Err(CellError::Twice(peer.name.clone()));
            }
            known.insert(peer.name.clone(), peer.addrs.clone());
        }
        if known.len() >= MAX_CELLS {
            return Err(CellError::TooMany(known.len() + 1));
        }
        Ok(CellTopology {
            own_cell: own.to_owned(),
            peers: known,
        })
    }

    /// All names, in their order: the same list in each cell.
    pub fn names(&self) -> Vec<String> {
        let peers = self.peers.keys().cloned();
        let mut names: Vec<String> = peers.chain([self.own_cell.clone()]).collect();
        names.sort();
        names
    }

    /// Every team whose name can't be part of a key.
    pub fn validate_teams(teams: &[Team]) -> Result<(), CellError> {
        let unfit = |name: &str| {
            name.is_empty() || name.len() > MAX_TEAM_NAME_LEN || name.contains(char::is_whitespace)
        };
        match teams.iter().find(|team| unfit(&team.name)) {
            Some(team) => Err(CellError::Team(team.name.clone())),
            None => Ok(()),
        }
    }
}

fn validate_cell_name(name: &str) -> Result<(), CellError> {
    let sign = |sign: char| sign.is_ascii_alphanumeric() || "-_.".contains(sign);
    let fits = !name.is_empty() && name.len() <= MAX_CELL_NAME_LEN && name.chars().all(sign);
    fits.then_some(())
        .ok_or_else(|| CellError::Name(name.to_owned()))
}

#[cfg(test)]
mod tests;
