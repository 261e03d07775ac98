//! CellReportSender between cells: their messages, and who is asked for a cell.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
    time::Duration,
};

use tonic::transport::{Channel, Endpoint};

use crate::{
    coordination::{CellGrants, CellReport},
    quota::{Account, Grant, ParticipantReport, Quota},
    transport::mesh::proto::{self, mesh_client::MeshClient},
};

/// Regions are further from each other than the members of one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(2500);

fn encode_quota(quota: Quota) -> Option<proto::Quota> {
    Some(proto::Quota {
        cpus: quota.cpus,
        gpus: quota.gpus,
    })
}

fn decode_quota(message: Option<proto::Quota>) -> Quota {
    let message = message.unwrap_or_default();
    Quota {
        cpus: message.cpus,
        gpus: message.gpus,
    }
}

impl From<CellReport> for proto::CellStatement {
    fn from(statement: CellReport) -> Self {
        let teams = statement.positions.into_iter();
        let teams = teams.map(|(team, position)| proto::TeamPosition {
            team,
            version: position.version,
            granted: encode_quota(position.account.granted),
            returned: encode_quota(position.account.returned),
            used: encode_quota(position.used),
            wanted: encode_quota(position.wanted),
            least: encode_quota(position.first_request),
            grain: encode_quota(position.largest_task),
        });
        proto::CellStatement {
            from: statement.from,
            cells: statement.cells,
            teams: teams.collect(),
        }
    }
}

impl From<proto::CellStatement> for CellReport {
    fn from(message: proto::CellStatement) -> Self {
        let teams = message.teams.into_iter().map(|position| {
            let heard = ParticipantReport {
                version: position.version,
                account: Account {
                    granted: decode_quota(position.granted),
                    returned: decode_quota(position.returned),
                },
                used: decode_quota(position.used),
                wanted: decode_quota(position.wanted),
                first_request: decode_quota(position.least),
                largest_task: decode_quota(position.grain),
            };
            (position.team, heard)
        });
        CellReport {
            from: message.from,
            cells: message.cells,
            positions: teams.collect(),
        }
    }
}

impl From<CellGrants> for proto::CellAnswer {
    fn from(answer: CellGrants) -> Self {
        let teams = answer.grants.into_iter();
        let teams = teams.map(|(team, grant)| proto::TeamGrant {
            team,
            version: grant.version,
            guarantee: encode_quota(grant.guarantee),
            granted: encode_quota(grant.granted),
            target: encode_quota(grant.target),
            lowered: grant.limit_lowered,
        });
        proto::CellAnswer {
            from: answer.from,
            cells: answer.cells,
            teams: teams.collect(),
        }
    }
}

impl From<proto::CellAnswer> for CellGrants {
    fn from(message: proto::CellAnswer) -> Self {
        let teams = message.teams.into_iter().map(|grant| {
            let heard = Grant {
                version: grant.version,
                guarantee: decode_quota(grant.guarantee),
                granted: decode_quota(grant.granted),
                target: decode_quota(grant.target),
                limit_lowered: grant.lowered,
            };
            (grant.team, heard)
        });
        CellGrants {
            from: message.from,
            cells: message.cells,
            grants: teams.collect(),
        }
    }
}

/// Another cell's controllers, and the one that answered last.
struct PeerCellClients {
    clients: Vec<MeshClient<Channel>>,
    next_client: Cell<usize>,
}

/// Connections to the controllers of other cells, opened when first used.
pub struct PeerCellClient {
    cells: HashMap<String, PeerCellClients>,
}

impl PeerCellClient {
    /// The cells and their controllers' addresses.
    pub fn new(cells: &BTreeMap<String, Vec<SocketAddrV4>>) -> Self {
        let cells = cells.iter().map(|(name, addrs)| {
            let nodes = addrs.iter().filter_map(|addr| {
                let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok()?;
                let channel = endpoint
                    .connect_timeout(CONNECT_TIMEOUT)
                    .timeout(EXCHANGE_TIMEOUT)
                    .tcp_nodelay(true)
                    .connect_lazy();
                Some(MeshClient::new(channel))
            });
            let nodes = PeerCellClients {
                clients: nodes.collect(),
                next_client: Cell::new(0),
            };
            (name.clone(), nodes)
        });
        PeerCellClient {
            cells: cells.collect(),
        }
    }

    /// Tells a cell how this one stands. `None`: no answer; the next controller is tried next time.
    pub async fn exchange(&self, cell: &str, statement: CellReport) -> Option<CellGrants> {
        let peer = self.cells.get(cell)?;
        let mut client = peer.clients.get(peer.next_client.get())?.clone();
        match client.exchange(proto::CellStatement::from(statement)).await {
            Ok(answer) => Some(answer.into_inner().into()),
            Err(status) => {
                tracing::debug!(cell, code = ?status.code(), "a cell did not answer");
                peer.next_client
                    .set((peer.next_client.get() + 1) % peer.clients.len());
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
