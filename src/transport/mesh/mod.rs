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

/// The messages and the service that are generated from `proto/mesh.proto`.
#[expect(
    missing_docs,
    clippy::too_many_lines,
    reason = "generated from proto/mesh.proto, which documents the messages"
)]
pub mod proto {
    tonic::include_proto!("dalelb.mesh.v1");
}

/// Another cell's quota report, and the channel for the grants; `None`: this node can't respond for
/// its cell.
pub type CellReportRequest = (CellReport, oneshot::Sender<Option<CellGrants>>);
/// The sending end of the queue of other cells' quota reports to the event loop.
pub type CellReportSender = mpsc::UnboundedSender<CellReportRequest>;

/// A leader's request to revoke the leases of unresponsive workers, and the channel for the reply.
pub type RevocationRequest = (LeaseRevocation, oneshot::Sender<RenewalReply>);
/// The sending end of the queue of leaders' revocation requests to the event loop.
pub type RevocationSender = mpsc::UnboundedSender<RevocationRequest>;
