//! The gRPC service that other nodes call.

use std::net::SocketAddrV4;

use tokio::sync::{mpsc, oneshot, watch};
use tonic::{Request, Response, Status, transport::Server};

use crate::{
    coordination::{ApiRequest, Command, MemberStatus},
    protocol::{ids::JobId, job::Submission},
    transport::server::RequestSender,
};

use super::{
    CellReportSender, RevocationSender,
    proto::{
        self, Renewals, Told,
        mesh_server::{Mesh, MeshServer},
        request::Ask,
    },
};

/// Forwards requests of other nodes to the event loop, and returns its replies.
#[derive(Clone)]
pub struct MeshService {
    /// The queue for announcements of leaders.
    pub commands: mpsc::UnboundedSender<Command>,
    /// The queue for leaders' requests to revoke the leases of unresponsive workers.
    pub revocations: RevocationSender,
    /// The queue for quota reports of other cells.
    pub cell_reports: CellReportSender,
    /// The queue for users' requests that another member relays.
    pub api_requests: RequestSender,
    /// This node's status, sent in response to a leader's announcement.
    pub member_status: watch::Receiver<MemberStatus>,
}

/// Serves gRPC requests until the future is dropped, which closes all connections.
///
/// # Errors
/// The address can't be bound, or the listener fails.
pub async fn serve(
    addr: SocketAddrV4,
    service: MeshService,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .add_service(MeshServer::new(service))
        .serve(addr.into())
        .await
}

#[tonic::async_trait]
impl Mesh for MeshService {
    async fn tell(&self, request: Request<proto::Progress>) -> Result<Response<Told>, Status> {
        let announcement = request.into_inner().into();
        let _ = self.commands.send(Command::LeaderAnnounced(announcement));
        Ok(Response::new(Told::from(&*self.member_status.borrow())))
    }

    async fn exchange(
        &self,
        request: Request<proto::CellStatement>,
    ) -> Result<Response<proto::CellAnswer>, Status> {
        let report = request.into_inner().into();
        let grants = request_from_event_loop(&self.cell_reports, report).await?;
        match grants {
            Some(grants) => Ok(Response::new(grants.into())),
            None => Err(Status::unavailable(
                "this node does not answer for its cell",
            )),
        }
    }

    async fn relay(
        &self,
        request: Request<proto::Request>,
    ) -> Result<Response<proto::Reply>, Status> {
        let request = decode_relayed_request(request.into_inner())?;
        let relayed = ApiRequest::Relayed(Box::new(request));
        let response = request_from_event_loop(&self.api_requests, relayed).await?;
        Ok(Response::new(proto::Reply {
            status: response.status.into(),
            body: response.body,
            retry_after_s: response.retry_after_s.unwrap_or(0),
        }))
    }

    async fn revoke(
        &self,
        request: Request<proto::Revocation>,
    ) -> Result<Response<Renewals>, Status> {
        let revocation = request.into_inner().into();
        let reply = request_from_event_loop(&self.revocations, revocation).await?;
        Ok(Response::new(reply.into()))
    }
}

fn decode_relayed_request(request: proto::Request) -> Result<ApiRequest, Status> {
    match request.ask {
        Some(Ask::Submit(body)) => Submission::from_body(&body)
            .map(|submission| ApiRequest::Submit(Box::new(submission)))
            .map_err(|error| Status::invalid_argument(error.to_string())),
        Some(Ask::Poll(job)) => Ok(ApiRequest::Poll(JobId(job))),
        Some(Ask::Cancel(job)) => Ok(ApiRequest::Cancel(JobId(job))),
        None => Err(Status::invalid_argument("asks nothing")),
    }
}

/// Sends a request to the event loop and waits for its reply.
async fn request_from_event_loop<Q, R>(
    queue: &mpsc::UnboundedSender<(Q, oneshot::Sender<R>)>,
    request: Q,
) -> Result<R, Status> {
    let event_loop_stopped = || Status::unavailable("the owner is gone");
    let (send, receive) = oneshot::channel();
    queue
        .send((request, send))
        .map_err(|_| event_loop_stopped())?;
    receive.await.map_err(|_| event_loop_stopped())
}
