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

/// Longer than between members: cells are in different regions.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The clients of the controllers of one other cell.
struct CellControllerClients {
    clients: Vec<MeshClient<Channel>>,
    /// The index of the controller that replied last or, if it failed since, the one to try next.
    next_client: Cell<usize>,
}

/// Connections to the controllers of other cells, opened when first used.
pub struct PeerCellClients {
    cells: HashMap<String, CellControllerClients>,
}

impl PeerCellClients {
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
            let clients = CellControllerClients {
                clients: clients.collect(),
                next_client: Cell::new(0),
            };
            (name.clone(), clients)
        });
        PeerCellClients {
            cells: cells.collect(),
        }
    }

    /// Sends this cell's quota report to another cell and returns the grants. `None`: no response;
    /// the next call uses the cell's next controller.
    pub async fn exchange(&self, cell: &str, report: CellReport) -> Option<CellGrants> {
        let peer = self.cells.get(cell)?;
        let mut client = peer.clients.get(peer.next_client.get())?.clone();
        match client.exchange(proto::CellStatement::from(report)).await {
            Ok(response) => Some(response.into_inner().into()),
            Err(status) => {
                tracing::debug!(cell, code = ?status.code(), "no response from cell");
                peer.next_client
                    .set((peer.next_client.get() + 1) % peer.clients.len());
                None
            }
        }
    }
}
