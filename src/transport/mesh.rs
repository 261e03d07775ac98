//! gRPC between the nodes of one deployment.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use tokio::sync::{mpsc, oneshot, watch};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

use crate::{
    coordination::{
        Answer, Ask, CellAnswer, CellStatement, Command, News, Progress, Revocation, Word,
    },
    protocol::{ids::JobId, job::Submission},
    transport::server::Door,
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
pub type Statements = mpsc::UnboundedSender<(CellStatement, oneshot::Sender<Option<CellAnswer>>)>;

/// A leader's question on its way to the owner.
pub type Questions = mpsc::UnboundedSender<(Revocation, oneshot::Sender<Word>)>;

struct Service {
    owner: mpsc::UnboundedSender<Command>,
    questions: Questions,
    statements: Statements,
    door: Door,
    news: watch::Receiver<News>,
}

#[tonic::async_trait]
impl Mesh for Service {
    async fn tell(&self, request: Request<proto::Progress>) -> Result<Response<Told>, Status> {
        let progress = request.into_inner().into();
        let _ = self.owner.send(Command::Progress(progress));
        Ok(Response::new(Told::from(&*self.news.borrow())))
    }

    async fn exchange(
        &self,
        request: Request<proto::CellStatement>,
    ) -> Result<Response<proto::CellAnswer>, Status> {
        let statement = request.into_inner().into();
        let (send, receive) = oneshot::channel();
        let gone = || Status::unavailable("the owner is gone");
        self.statements
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
                .map(|submission| Ask::Submit(Box::new(submission)))
                .map_err(|error| Status::invalid_argument(error.to_string()))?,
            Some(Asked::Poll(job)) => Ask::Poll(JobId(job)),
            Some(Asked::Cancel(job)) => Ask::Cancel(JobId(job)),
            None => return Err(Status::invalid_argument("asks nothing")),
        };
        let (send, receive) = oneshot::channel();
        let gone = || Status::unavailable("the owner is gone");
        self.door
            .send((Ask::Relayed(Box::new(ask)), send))
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
        self.questions
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
    questions: Questions,
    statements: Statements,
    door: Door,
    news: watch::Receiver<News>,
) -> Result<(), tonic::transport::Error> {
    let service = Service {
        owner,
        questions,
        statements,
        door,
        news,
    };
    Server::builder()
        .add_service(MeshServer::new(service))
        .serve(addr.into())
        .await
}

/// Connections to the other members, opened when first used.
pub struct Members {
    channels: HashMap<SocketAddrV4, MeshClient<Channel>>,
}

impl Members {
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
        Members { channels }
    }

    /// Tells a member, and returns what it says of itself. `None`: whether it heard is not known and does not
    /// matter.
    pub async fn tell(&self, addr: SocketAddrV4, progress: &Progress) -> Option<News> {
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
    pub async fn relay(&self, addr: SocketAddrV4, ask: Ask) -> Option<Answer> {
        let mut client = self.channels.get(&addr).cloned()?;
        let message = messages::relayed_request(&ask)?;
        let reply = client.relay(message).await.ok()?.into_inner();
        Some(Answer {
            status: reply.status.try_into().ok()?,
            body: reply.body,
            retry_after_s: (reply.retry_after_s > 0).then_some(reply.retry_after_s),
        })
    }

    /// Asks a member about silent machines. `None`: no answer.
    pub async fn revoke(&self, addr: SocketAddrV4, revocation: Revocation) -> Option<Word> {
        let mut client = self.channels.get(&addr).cloned()?;
        let message = proto::Revocation::from(revocation);
        let reply = client.revoke(message).await.ok()?.into_inner();
        Some(reply.into())
    }
}
