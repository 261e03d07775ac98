//! gRPC between the nodes of one deployment, and between the cells that share quotas.

use tokio::sync::{mpsc, oneshot};

use crate::coordination::{CellGrants, CellReport, LeaseRevocation, RenewalReply};

mod cell_messages;
mod members;
pub mod messages;
pub mod peer_cells;
mod service;

pub use members::MemberClients;
pub use service::{MeshService, serve};

/// The messages and services that are generated from `proto/`.
#[expect(
    missing_docs,
    clippy::too_many_lines,
    reason = "generated from proto/mesh.proto, which documents the messages"
)]
pub mod proto {
    tonic::include_proto!("dalelb.mesh.v1");
}

/// Another cell's report, and where the grants go; `None`: this node does not answer for its cell.
pub type CellReportRequest = (CellReport, oneshot::Sender<Option<CellGrants>>);
/// Other cells' reports on their way to the event loop.
pub type CellReportSender = mpsc::UnboundedSender<CellReportRequest>;

/// A leader's question about silent workers, and where the reply goes.
pub type RevocationRequest = (LeaseRevocation, oneshot::Sender<RenewalReply>);
/// Leaders' questions on their way to the event loop.
pub type RevocationSender = mpsc::UnboundedSender<RevocationRequest>;
