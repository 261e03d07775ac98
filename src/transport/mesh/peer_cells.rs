//! The clients of the other cells that share quotas.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
    time::Duration,
};

use tonic::transport::{Channel, Endpoint};

use crate::coordination::{CellGrants, CellReport};

use super::proto::{self, mesh_client::MeshClient};

/// Regions are further from each other than the members of one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The controllers of another cell.
struct PeerCellClients {
    clients: Vec<MeshClient<Channel>>,
    /// The controller that replied last, or the one to try next.
    next_client: Cell<usize>,
}

/// Connections to the controllers of other cells, opened when first used.
pub struct PeerCellClient {
    cells: HashMap<String, PeerCellClients>,
}

impl PeerCellClient {
    /// Clients of the cells' controllers at these addresses.
    pub fn new(cells: &BTreeMap<String, Vec<SocketAddrV4>>) -> Self {
        let cells = cells.iter().map(|(name, addrs)| {
            let clients = addrs.iter().filter_map(|addr| {
                let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok()?;
                let channel = endpoint
                    .connect_timeout(CONNECT_TIMEOUT)
                    .timeout(EXCHANGE_TIMEOUT)
                    .tcp_nodelay(true)
                    .connect_lazy();
                Some(MeshClient::new(channel))
            });
            let clients = PeerCellClients {
                clients: clients.collect(),
                next_client: Cell::new(0),
            };
            (name.clone(), clients)
        });
        PeerCellClient {
            cells: cells.collect(),
        }
    }

    /// Sends this cell's report to another cell and returns the grants. `None`: no response; the
    /// next controller is tried next time.
    pub async fn exchange(&self, cell: &str, report: CellReport) -> Option<CellGrants> {
        let peer = self.cells.get(cell)?;
        let mut client = peer.clients.get(peer.next_client.get())?.clone();
        match client.exchange(proto::CellStatement::from(report)).await {
            Ok(response) => Some(response.into_inner().into()),
            Err(status) => {
                tracing::debug!(cell, code = ?status.code(), "no response from a cell");
                peer.next_client
                    .set((peer.next_client.get() + 1) % peer.clients.len());
                None
            }
        }
    }
}
