//! Statements between cells: their messages, and who is asked for a cell.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
    time::Duration,
};

use tonic::transport::{Channel, Endpoint};

use crate::{
    coordination::{CellAnswer, CellStatement},
    quota::{Account, Grant, Position, Quota},
    transport::mesh::proto::{self, mesh_client::MeshClient},
};

/// Regions are further from each other than the members of one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_millis(2500);

fn quota_message(quota: Quota) -> Option<proto::Quota> {
    Some(proto::Quota {
        cpus: quota.cpus,
        gpus: quota.gpus,
    })
}

fn quota_heard(message: Option<proto::Quota>) -> Quota {
    let message = message.unwrap_or_default();
    Quota {
        cpus: message.cpus,
        gpus: message.gpus,
    }
}

impl From<CellStatement> for proto::CellStatement {
    fn from(statement: CellStatement) -> Self {
        let teams = statement.teams.into_iter();
        let teams = teams.map(|(team, position)| proto::TeamPosition {
            team,
            version: position.version,
            granted: quota_message(position.account.granted),
            returned: quota_message(position.account.returned),
            used: quota_message(position.used),
            wanted: quota_message(position.wanted),
            least: quota_message(position.least),
            grain: quota_message(position.grain),
        });
        proto::CellStatement {
            from: statement.from,
            cells: statement.cells,
            teams: teams.collect(),
        }
    }
}

impl From<proto::CellStatement> for CellStatement {
    fn from(message: proto::CellStatement) -> Self {
        let teams = message.teams.into_iter().map(|position| {
            let heard = Position {
                version: position.version,
                account: Account {
                    granted: quota_heard(position.granted),
                    returned: quota_heard(position.returned),
                },
                used: quota_heard(position.used),
                wanted: quota_heard(position.wanted),
                least: quota_heard(position.least),
                grain: quota_heard(position.grain),
            };
            (position.team, heard)
        });
        CellStatement {
            from: message.from,
            cells: message.cells,
            teams: teams.collect(),
        }
    }
}

impl From<CellAnswer> for proto::CellAnswer {
    fn from(answer: CellAnswer) -> Self {
        let teams = answer.teams.into_iter();
        let teams = teams.map(|(team, grant)| proto::TeamGrant {
            team,
            version: grant.version,
            guarantee: quota_message(grant.guarantee),
            granted: quota_message(grant.granted),
            target: quota_message(grant.target),
            lowered: grant.lowered,
        });
        proto::CellAnswer {
            from: answer.from,
            cells: answer.cells,
            teams: teams.collect(),
        }
    }
}

impl From<proto::CellAnswer> for CellAnswer {
    fn from(message: proto::CellAnswer) -> Self {
        let teams = message.teams.into_iter().map(|grant| {
            let heard = Grant {
                version: grant.version,
                guarantee: quota_heard(grant.guarantee),
                granted: quota_heard(grant.granted),
                target: quota_heard(grant.target),
                lowered: grant.lowered,
            };
            (grant.team, heard)
        });
        CellAnswer {
            from: message.from,
            cells: message.cells,
            teams: teams.collect(),
        }
    }
}

/// Another cell's controllers, and the one that answered last.
struct PeerNodes {
    nodes: Vec<MeshClient<Channel>>,
    at: Cell<usize>,
}

/// Connections to the controllers of other cells, opened when first used.
pub struct PeerCells {
    cells: HashMap<String, PeerNodes>,
}

impl PeerCells {
    /// The cells and their controllers' addresses.
    pub fn new(cells: &BTreeMap<String, Vec<SocketAddrV4>>) -> Self {
        let cells = cells.iter().map(|(name, addrs)| {
            let nodes = addrs.iter().filter_map(|addr| {
                let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok()?;
                let channel = endpoint
                    .connect_timeout(CONNECT_TIMEOUT)
                    .timeout(TIMEOUT)
                    .tcp_nodelay(true)
                    .connect_lazy();
                Some(MeshClient::new(channel))
            });
            let nodes = PeerNodes {
                nodes: nodes.collect(),
                at: Cell::new(0),
            };
            (name.clone(), nodes)
        });
        PeerCells {
            cells: cells.collect(),
        }
    }

    /// Tells a cell how this one stands. `None`: no answer; the next controller is tried next time.
    pub async fn exchange(&self, cell: &str, statement: CellStatement) -> Option<CellAnswer> {
        let peer = self.cells.get(cell)?;
        let mut client = peer.nodes.get(peer.at.get())?.clone();
        match client.exchange(proto::CellStatement::from(statement)).await {
            Ok(answer) => Some(answer.into_inner().into()),
            Err(status) => {
                tracing::debug!(cell, code = ?status.code(), "a cell did not answer");
                peer.at.set((peer.at.get() + 1) % peer.nodes.len());
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
