//! gRPC between the nodes of one deployment.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use tokio::sync::{mpsc, oneshot, watch};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

use crate::{
    coordination::{
        Answer, Ask, CellAnswer, CellStatement, Class, Command, Counts, JobProgress, News,
        Progress, Renewal, Revocation, SilentMachine, TurnTold, Word,
    },
    protocol::{self, ids::JobId, job::Submission},
    transport::server::Door,
};

pub mod cells;

pub mod proto {
    tonic::include_proto!("dalelb.mesh.v1");
}

use proto::{
    Renewals, Told,
    mesh_client::MeshClient,
    mesh_server::{Mesh, MeshServer},
    request::Ask as Asked,
};

fn heard(message: proto::Progress) -> Progress {
    let jobs = message.jobs.into_iter().map(|job| JobProgress {
        job: JobId(job.job),
        done: job.done,
        running: job.running,
    });
    Progress {
        term: message.term,
        leader: message.leader,
        jobs: jobs.collect(),
        turns: message.turns.into_iter().map(heard_turn).collect(),
    }
}

fn heard_turn(turn: proto::Turn) -> TurnTold {
    let class = Class {
        team: turn.team,
        class: turn.class,
    };
    (JobId(turn.job), class, turn.in_ms)
}

fn turn_message((job, class, in_ms): &TurnTold) -> proto::Turn {
    proto::Turn {
        job: job.0,
        team: class.team.clone(),
        class: class.class.clone(),
        in_ms: *in_ms,
    }
}

fn heard_news(message: Told) -> News {
    let of = |demand: &proto::Demand| Class {
        team: demand.team.clone(),
        class: demand.class.clone(),
    };
    let counts = |demand: &proto::Demand| Counts {
        came: demand.came,
        accepted: demand.accepted,
        in_time: demand.in_time,
        sent_away: demand.sent_away,
        no_turn: demand.no_turn,
        given_up: demand.given_up,
    };
    let demands = message.demands.iter();
    News {
        label: message.label,
        seq: message.table,
        takes: message.takes,
        late: message.late,
        demands: demands.clone().map(|each| (of(each), each.rate)).collect(),
        counts: demands.map(|each| (of(each), counts(each))).collect(),
        turns: message.turns.into_iter().map(heard_turn).collect(),
    }
}

fn news_message(news: &News) -> Told {
    let demands = news.counts.iter().map(|(class, counts)| {
        let mut asked = news.demands.iter();
        let rate = asked.find_map(|(other, rate)| (other == class).then_some(*rate));
        proto::Demand {
            team: class.team.clone(),
            class: class.class.clone(),
            rate: rate.unwrap_or(0.0),
            came: counts.came,
            accepted: counts.accepted,
            in_time: counts.in_time,
            sent_away: counts.sent_away,
            no_turn: counts.no_turn,
            given_up: counts.given_up,
        }
    });
    Told {
        label: news.label.clone(),
        table: news.seq,
        takes: news.takes,
        late: news.late,
        demands: demands.collect(),
        turns: news.turns.iter().map(turn_message).collect(),
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
        leader: progress.leader.clone(),
        jobs: jobs.collect(),
        turns: progress.turns.iter().map(turn_message).collect(),
    }
}

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
        let _ = self
            .owner
            .send(Command::Progress(heard(request.into_inner())));
        Ok(Response::new(news_message(&self.news.borrow())))
    }

    async fn exchange(
        &self,
        request: Request<proto::CellStatement>,
    ) -> Result<Response<proto::CellAnswer>, Status> {
        let statement = cells::statement_heard(request.into_inner());
        let (send, receive) = oneshot::channel();
        let gone = || Status::unavailable("the owner is gone");
        self.statements
            .send((statement, send))
            .map_err(|_| gone())?;
        match receive.await.map_err(|_| gone())? {
            Some(answer) => Ok(Response::new(cells::answer_message(answer))),
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
        let message = request.into_inner();
        let revocation = Revocation {
            term: message.term,
            machines: message
                .machines
                .into_iter()
                .map(|machine| SilentMachine {
                    name: machine.name,
                    session: machine.session,
                    inquiry: machine.inquiry,
                })
                .collect(),
            asked_ms: message.asked_ms,
        };
        let (send, receive) = oneshot::channel();
        let gone = || Status::unavailable("the owner is gone");
        self.questions
            .send((revocation, send))
            .map_err(|_| gone())?;
        let word = receive.await.map_err(|_| gone())?;
        Ok(Response::new(Renewals {
            hears: word.hears as u32,
            renewals: word
                .renewals
                .into_iter()
                .map(|renewal| proto::Renewal {
                    machine: renewal.machine,
                    age_ms: renewal.age_ms,
                    inquiry: renewal.inquiry,
                })
                .collect(),
        }))
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
        match client.tell(message(progress)).await {
            Ok(told) => Some(heard_news(told.into_inner())),
            Err(status) => {
                tracing::trace!(%addr, code = ?status.code(), "member not told");
                None
            }
        }
    }

    /// Has a member answer a user's request. `None`: no answer.
    pub async fn relay(&self, addr: SocketAddrV4, ask: Ask) -> Option<Answer> {
        let mut client = self.channels.get(&addr).cloned()?;
        let asked = match ask {
            Ask::Submit(submission) => Asked::Submit(protocol::encode(&*submission)),
            Ask::Poll(job) => Asked::Poll(job.0),
            Ask::Cancel(job) => Asked::Cancel(job.0),
            Ask::CheckIn(_) | Ask::Ready | Ask::Relayed(_) => return None,
        };
        let message = proto::Request { ask: Some(asked) };
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
        let message = proto::Revocation {
            term: revocation.term,
            machines: revocation
                .machines
                .into_iter()
                .map(|machine| proto::SilentMachine {
                    name: machine.name,
                    session: machine.session,
                    inquiry: machine.inquiry,
                })
                .collect(),
            asked_ms: revocation.asked_ms,
        };
        let reply = client.revoke(message).await.ok()?.into_inner();
        let renewals = reply.renewals.into_iter().map(|renewal| Renewal {
            machine: renewal.machine,
            age_ms: renewal.age_ms,
            inquiry: renewal.inquiry,
        });
        Some(Word {
            renewals: renewals.collect(),
            hears: reply.hears as usize,
        })
    }
}
