//! gRPC between the nodes of one deployment.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use tokio::sync::mpsc;
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

use crate::{
    coordination::{Command, JobProgress, Progress},
    protocol::ids::JobId,
};

pub mod proto {
    tonic::include_proto!("dalelb.mesh.v1");
}

use proto::{
    Told,
    mesh_client::MeshClient,
    mesh_server::{Mesh, MeshServer},
};

fn heard(message: proto::Progress) -> Progress {
    let jobs = message.jobs.into_iter().map(|job| JobProgress {
        job: JobId(job.job),
        done: job.done,
        running: job.running,
    });
    Progress {
        term: message.term,
        jobs: jobs.collect(),
    }
}

fn message(progress: &Progress) -> proto::Progress {
    let jobs = progress.jobs.iter().map(|job| proto::JobProgress {
        job: job.job.0,
        done: job.done,
        running: job.running,
    });
    proto::Progress {
        term: progress.term,
        jobs: jobs.collect(),
    }
}

struct Service {
    owner: mpsc::UnboundedSender<Command>,
}

#[tonic::async_trait]
impl Mesh for Service {
    async fn tell(&self, request: Request<proto::Progress>) -> Result<Response<Told>, Status> {
        let _ = self
            .owner
            .send(Command::Progress(heard(request.into_inner())));
        Ok(Response::new(Told {}))
    }
}

/// Serves the mesh until the process ends.
pub async fn serve(
    addr: SocketAddrV4,
    owner: mpsc::UnboundedSender<Command>,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .add_service(MeshServer::new(Service { owner }))
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

    /// Tells a member; whether it heard is not known and does not matter.
    pub fn tell(&self, addr: SocketAddrV4, progress: &Progress) {
        let Some(mut client) = self.channels.get(&addr).cloned() else {
            return;
        };
        let message = message(progress);
        tokio::task::spawn_local(async move {
            if let Err(status) = client.tell(message).await {
                tracing::trace!(%addr, code = ?status.code(), "member not told");
            }
        });
    }
}
