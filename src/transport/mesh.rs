//! gRPC between the nodes of one deployment.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use tokio::sync::{mpsc, oneshot, watch};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

use crate::{
    coordination::{
        ApiRequest, ApiResponse, CellGrants, CellReport, Command, LeaderAnnouncement,
        LeaseRevocation, MemberStatus, RenewalReply,
    },
    protocol::{ids::JobId, job::Submission},
    transport::server::RequestSender,
};

pub mod messages;
pub mod peer_cells;

pub mod proto {
    tonic::include_proto!("dalelb.mesh.v1");
}

use proto::{
    Renewals, Told,
    mesh_client::MeshClient,
    mesh_server::{Mesh, MeshServer},
    request::Ask as Asked,
};

/// Another cell's statement on its way to the owner.
pub type CellReportSender =
    mpsc::UnboundedSender<(CellReport, oneshot::Sender<Option<CellGrants>>)>;

/// A leader's question on its way to the owner.
pub type RevocationSender = mpsc::UnboundedSender<(LeaseRevocation, oneshot::Sender<RenewalReply>)>;

struct MeshService {
    command_sender: mpsc::UnboundedSender<Command>,
    revocations: RevocationSender,
    cell_reports: CellReportSender,
    request_sender: RequestSender,
    member_status: watch::Receiver<MemberStatus>,
}

#[tonic::async_trait]
impl Mesh for MeshService {
    async fn tell(&self, request: Request<proto::Progress>) -> Result<Response<Told>, Status> {
        let progress = request.into_inner().into();
        let _ = self.command_sender.send(Command::LeaderAnnounced(progress));
        Ok(Response::new(Told::from(&*self.member_status.borrow())))
    }

    async fn exchange(
        &self,
        request: Request<proto::CellStatement>,
    ) -> Result<Response<proto::CellAnswer>, Status> {
        let statement = request.into_inner().into();
        let (send, receive) = oneshot::channel();
        let gone = || Status::unavailable("the owner is gone");
        self.cell_reports
            .send((statement, send))
            .map_err(|_| gone())?;
        match receive.await.map_err(|_| gone())? {
            Some(answer) => Ok(Response::new(answer.into())),
            None => Err(Status::unavailable(
                "this node does not answer for its cell",
            )),
        }
    }

    async fn relay(
        &self,
        request: Request<proto::Request>,
    ) -> Result<Response<proto::Reply>, Status> {
        let ask = match request.into_inner().ask {
            Some(Asked::Submit(body)) => Submission::from_body(&body)
                .map(|submission| ApiRequest::Submit(Box::new(submission)))
                .map_err(|error| Status::invalid_argument(error.to_string()))?,
            Some(Asked::Poll(job)) => ApiRequest::Poll(JobId(job)),
            Some(Asked::Cancel(job)) => ApiRequest::Cancel(JobId(job)),
            None => return Err(Status::invalid_argument("asks nothing")),
        };
        let (send, receive) = oneshot::channel();
        let gone = || Status::unavailable("the owner is gone");
        self.request_sender
            .send((ApiRequest::Relayed(Box::new(ask)), send))
            .map_err(|_| gone())?;
        let answer = receive.await.map_err(|_| gone())?;
        Ok(Response::new(proto::Reply {
            status: answer.status.into(),
            body: answer.body,
            retry_after_s: answer.retry_after_s.unwrap_or(0),
        }))
    }

    async fn revoke(
        &self,
        request: Request<proto::Revocation>,
    ) -> Result<Response<Renewals>, Status> {
        let revocation = request.into_inner().into();
        let (send, receive) = oneshot::channel();
        let gone = || Status::unavailable("the owner is gone");
        self.revocations
            .send((revocation, send))
            .map_err(|_| gone())?;
        let word = receive.await.map_err(|_| gone())?;
        Ok(Response::new(word.into()))
    }
}

/// Serves the mesh until the process ends.
pub async fn serve(
    addr: SocketAddrV4,
    owner: mpsc::UnboundedSender<Command>,
    questions: RevocationSender,
    statements: CellReportSender,
    door: RequestSender,
    news: watch::Receiver<MemberStatus>,
) -> Result<(), tonic::transport::Error> {
    let service = MeshService {
        command_sender: owner,
        revocations: questions,
        cell_reports: statements,
        request_sender: door,
        member_status: news,
    };
    Server::builder()
        .add_service(MeshServer::new(service))
        .serve(addr.into())
        .await
}

/// Connections to the other members, opened when first used.
pub struct MemberClients {
    channels: HashMap<SocketAddrV4, MeshClient<Channel>>,
}

impl MemberClients {
    pub fn new(addrs: impl Iterator<Item = SocketAddrV4>) -> Self {
        let channels = addrs
            .filter_map(|addr| {
                let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok()?;
                let channel = endpoint
                    .connect_timeout(Duration::from_secs(1))
                    .timeout(Duration::from_secs(2))
                    .tcp_nodelay(true)
                    .connect_lazy();
                Some((addr, MeshClient::new(channel)))
            })
            .collect();
        MemberClients { channels }
    }

    /// Tells a member, and returns what it says of itself. `None`: whether it heard is not known and does not
    /// matter.
    pub async fn send_progress(
        &self,
        addr: SocketAddrV4,
        progress: &LeaderAnnouncement,
    ) -> Option<MemberStatus> {
        let mut client = self.channels.get(&addr).cloned()?;
        match client.tell(proto::Progress::from(progress)).await {
            Ok(told) => Some(told.into_inner().into()),
            Err(status) => {
                tracing::trace!(%addr, code = ?status.code(), "member not told");
                None
            }
        }
    }

    /// Has a member answer a user's request. `None`: no answer.
    pub async fn forward_request(
        &self,
        addr: SocketAddrV4,
        ask: ApiRequest,
    ) -> Option<ApiResponse> {
        let mut client = self.channels.get(&addr).cloned()?;
        let message = messages::encode_relayed_request(&ask)?;
        let reply = client.relay(message).await.ok()?.into_inner();
        Some(ApiResponse {
            status: reply.status.try_into().ok()?,
            body: reply.body,
            retry_after_s: (reply.retry_after_s > 0).then_some(reply.retry_after_s),
        })
    }

    /// Asks a member about silent machines. `None`: no answer.
    pub async fn request_revocation(
        &self,
        addr: SocketAddrV4,
        revocation: LeaseRevocation,
    ) -> Option<RenewalReply> {
        let mut client = self.channels.get(&addr).cloned()?;
        let message = proto::Revocation::from(revocation);
        let reply = client.revoke(message).await.ok()?.into_inner();
        Some(reply.into())
    }
}
