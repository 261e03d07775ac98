//! Ties the layers together: one owner of all state, fed through a queue of commands.

use std::{
    collections::{BTreeMap, HashMap},
    path::Path,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::LocalSet,
    time::{Instant, MissedTickBehavior},
};

use crate::{
    config::Config,
    coordination::{
        Answer, Ask, AskId, CellAnswer, CellStatement, Command, Effect, News, Node, Now,
        Revocation, Word, rate_limit_shares,
    },
    metrics::Metrics,
    protocol::{
        cloud::{CloudError, CloudRequest},
        state::{StateError, StateRequest, Urgency},
    },
    transport::{
        client::{CloudClient, StateClient, WorkerClient},
        mesh,
        rate_limiter::Bucket,
        server,
    },
};

mod settings_file;

/// How often the owner looks at the time when nothing else happens.
const TICK: Duration = Duration::from_millis(50);
/// How often the owner is asked what the metrics show.
const WATCHED: Duration = Duration::from_secs(1);
/// Commands worked through at once.
const BATCH: usize = 256;
/// Parts of the sockets: for whoever asks this node, for calls to workers under way, and for connections
/// to workers between them. The services, the mesh and what is just being closed live on the rest.
const DOOR_SHARE: f64 = 0.65;
const WORKERS_SHARE: f64 = 0.2;
const KEPT_SHARE: f64 = 0.1;

#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    #[error("cannot start: {0}")]
    Runtime(std::io::Error),
    #[error("listen: cannot listen on {addr}: {source}")]
    Listen {
        addr: std::net::SocketAddrV4,
        source: std::io::Error,
    },
}

/// Runs a node until the process is killed. Where cells share quotas, the settings file is read again when it changes.
pub fn run(config: Config, file: &Path) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(config, file))
}

async fn serve(config: Config, file: &Path) -> Result<(), DaemonError> {
    tracing::info!(label = config.label, listen = %config.listen, "starting");
    let listener =
        TcpListener::bind(config.listen)
            .await
            .map_err(|source| DaemonError::Listen {
                addr: config.listen,
                source,
            })?;
    let (commands, queue) = mpsc::unbounded_channel();
    let (door, asked) = mpsc::unbounded_channel();
    let (questions, questioned) = mpsc::unbounded_channel();
    let (statements, stated) = mpsc::unbounded_channel();
    let sockets = f64::from(config.settings.limits.sockets);
    let connections = (sockets * DOOR_SHARE) as usize;
    let relayed = door.clone();
    let metrics = Arc::new(Metrics::default());
    let report = Duration::from_secs_f64(config.settings.workers.report_s.min(600.0));
    let serving = server::serve(listener, door, connections, report, metrics.clone());
    tokio::spawn(serving);
    let mesh_addr = config.mesh_addr;
    let to_owner = commands.clone();
    let (published, news) = watch::channel(News::default());
    tokio::spawn(async move {
        loop {
            if let Err(error) = mesh::serve(
                mesh_addr,
                to_owner.clone(),
                questions.clone(),
                statements.clone(),
                relayed.clone(),
                news.clone(),
            )
            .await
            {
                tracing::error!(%error, "the mesh does not listen");
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    if config.cells.is_some() {
        tokio::task::spawn_local(settings_file::follow(file.to_owned(), commands.clone()));
    }
    let io = Rc::new(Io::new(&config, commands, metrics, published));
    let queues = Queues {
        commands: queue,
        asked,
        questioned,
        stated,
    };
    own(Node::new(config), io, queues).await;
    Ok(())
}

/// What the owner takes commands and requests from.
struct Queues {
    commands: mpsc::UnboundedReceiver<Command>,
    asked: mpsc::UnboundedReceiver<(Ask, oneshot::Sender<Answer>)>,
    questioned: mpsc::UnboundedReceiver<(Revocation, oneshot::Sender<Word>)>,
    stated: mpsc::UnboundedReceiver<(CellStatement, oneshot::Sender<Option<CellAnswer>>)>,
}

/// The owner's loop.
async fn own(mut node: Node, io: Rc<Io>, queues: Queues) {
    let Queues {
        commands: mut queue,
        mut asked,
        mut questioned,
        mut stated,
    } = queues;
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut answers: HashMap<AskId, oneshot::Sender<Answer>> = HashMap::new();
    let mut words: HashMap<AskId, oneshot::Sender<Word>> = HashMap::new();
    let mut statements: HashMap<AskId, oneshot::Sender<Option<CellAnswer>>> = HashMap::new();
    let mut next_ask: AskId = 0;
    let mut batch = Vec::with_capacity(BATCH);
    let mut asks = Vec::with_capacity(BATCH);
    let mut watched_at = Instant::now();
    loop {
        tokio::select! {
            biased;
            _ = queue.recv_many(&mut batch, BATCH) => {}
            _ = asked.recv_many(&mut asks, BATCH) => {}
            Some((revocation, reply)) = questioned.recv() => {
                next_ask += 1;
                words.insert(next_ask, reply);
                batch.push(Command::Revoke(next_ask, revocation));
            }
            Some((statement, reply)) = stated.recv() => {
                next_ask += 1;
                statements.insert(next_ask, reply);
                batch.push(Command::Stated(next_ask, Box::new(statement)));
            }
            _ = tick.tick() => batch.push(Command::Tick),
        }
        for (ask, answer) in asks.drain(..) {
            next_ask += 1;
            answers.insert(next_ask, answer);
            batch.push(Command::Ask(next_ask, ask));
        }
        let now = Now {
            steady: io.now(),
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since| since.as_millis() as u64),
        };
        let began = Instant::now();
        let effects = node.step(batch.drain(..), now);
        io.metrics.passed(began.elapsed());
        if began >= watched_at + WATCHED {
            watched_at = began;
            io.metrics.record(node.status(), queue.len() + asked.len());
        }
        for effect in effects {
            match effect {
                Effect::Answer(id, answer) => {
                    if let Some(waiting) = answers.remove(&id) {
                        // Whoever asked may have left.
                        let _ = waiting.send(answer);
                    }
                }
                Effect::Revoked(id, answer) => {
                    if let Some(waiting) = words.remove(&id) {
                        let _ = waiting.send(answer);
                    }
                }
                Effect::Stated(id, answer) => {
                    if let Some(waiting) = statements.remove(&id) {
                        let _ = waiting.send(answer);
                    }
                }
                effect => io.perform(effect),
            }
        }
    }
}

/// Carries out effects; what comes of them goes back to the owner as commands.
struct Io {
    began: Instant,
    owner: mpsc::UnboundedSender<Command>,
    metrics: Arc<Metrics>,
    state: StateClient,
    cloud: CloudClient,
    workers: WorkerClient,
    members: mesh::Members,
    cells: mesh::peer_cells::PeerCells,
    addrs: HashMap<String, std::net::SocketAddrV4>,
    requests: Bucket,
    writes: Bucket,
    cloud_requests: Bucket,
    limits: Limits,
    /// What this node says of itself to whoever asks.
    published: watch::Sender<News>,
}

struct Limits {
    nodes: f64,
    rps: f64,
    write_rps: f64,
    cloud_rps: f64,
}

impl Io {
    fn new(
        config: &Config,
        owner: mpsc::UnboundedSender<Command>,
        metrics: Arc<Metrics>,
        published: watch::Sender<News>,
    ) -> Self {
        let state = config.settings.state.strictest();
        let limits = Limits {
            nodes: config.members.len() as f64 + 1.0,
            rps: state.rps,
            write_rps: state.write_rps,
            cloud_rps: config.settings.cloud.rps,
        };
        let shares = rate_limit_shares::of(limits.nodes, false);
        let sockets = f64::from(config.settings.limits.sockets);
        let addrs: HashMap<_, _> = config
            .members
            .iter()
            .map(|member| (member.label.clone(), member.address))
            .collect();
        Io {
            began: Instant::now(),
            owner,
            workers: WorkerClient::new(
                (sockets * WORKERS_SHARE).max(1.0) as usize,
                (sockets * KEPT_SHARE) as usize,
                metrics.clone(),
            ),
            metrics,
            state: StateClient::new(config.services.state),
            cloud: CloudClient::new(config.services.cloud),
            members: mesh::Members::new(addrs.values().copied()),
            cells: match &config.cells {
                Some(cells) => mesh::peer_cells::PeerCells::new(&cells.peers),
                None => mesh::peer_cells::PeerCells::new(&BTreeMap::new()),
            },
            addrs,
            requests: Bucket::new(limits.rps * shares.requests),
            writes: Bucket::new(limits.write_rps * shares.writes),
            cloud_requests: Bucket::new(limits.cloud_rps * shares.cloud),
            limits,
            published,
        }
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn perform(self: &Rc<Self>, effect: Effect) {
        let io = self.clone();
        match effect {
            Effect::State {
                tag,
                request,
                urgency,
                timeout_ms,
            } => {
                tokio::task::spawn_local(async move {
                    let (sent_at, result) = io.ask_state(request, urgency, timeout_ms).await;
                    let _ = io.owner.send(Command::State {
                        tag,
                        sent_at,
                        result,
                    });
                });
            }
            Effect::Cloud {
                tag,
                request,
                timeout_ms,
            } => {
                tokio::task::spawn_local(async move {
                    let result = io.ask_cloud(request, timeout_ms).await;
                    let _ = io.owner.send(Command::Cloud { tag, result });
                });
            }
            Effect::Worker {
                tag,
                addr,
                orders,
                timeout_ms,
            } => {
                tokio::task::spawn_local(async move {
                    let timeout = Duration::from_millis(timeout_ms);
                    let result = io.workers.call(&addr, orders.as_ref(), timeout).await;
                    let _ = io.owner.send(Command::Worker { tag, result });
                });
            }
            Effect::Tell(progress) => {
                for addr in self.addrs.values().copied() {
                    let (io, progress) = (self.clone(), progress.clone());
                    tokio::task::spawn_local(async move {
                        if let Some(news) = io.members.tell(addr, &progress).await {
                            let _ = io.owner.send(Command::News(Box::new(news)));
                        }
                    });
                }
            }
            Effect::Publish(news) => {
                self.published.send_replace(*news);
            }
            Effect::Revoke {
                lease,
                label,
                revocation,
            } => {
                let Some(addr) = self.addrs.get(&label).copied() else {
                    return;
                };
                tokio::task::spawn_local(async move {
                    let sent_at = io.now();
                    let word = io.members.revoke(addr, revocation).await;
                    let _ = io.owner.send(Command::Revoked {
                        lease,
                        label,
                        sent_at,
                        word,
                    });
                });
            }
            Effect::Exchange {
                lease,
                cell,
                statement,
            } => {
                tokio::task::spawn_local(async move {
                    let answer = io.cells.exchange(&cell, *statement).await;
                    let _ = io.owner.send(Command::Exchanged {
                        lease,
                        cell,
                        answer: answer.map(Box::new),
                    });
                });
            }
            Effect::Relay { id, label, ask } => {
                let addr = self.addrs.get(&label).copied();
                tokio::task::spawn_local(async move {
                    let answer = match addr {
                        Some(addr) => io.members.relay(addr, ask).await,
                        None => None,
                    };
                    let _ = io.owner.send(Command::Relayed(id, answer));
                });
            }
            Effect::Leading(leading) => {
                let limits = &self.limits;
                let shares = rate_limit_shares::of(limits.nodes, leading);
                self.requests.set_rate(limits.rps * shares.requests);
                self.writes.set_rate(limits.write_rps * shares.writes);
                self.cloud_requests
                    .set_rate(limits.cloud_rps * shares.cloud);
            }
            Effect::Answer(..) | Effect::Revoked(..) | Effect::Stated(..) => {}
        }
    }

    async fn ask_state(
        &self,
        request: StateRequest,
        urgency: Urgency,
        timeout_ms: u64,
    ) -> (u64, Result<crate::protocol::state::StateReply, StateError>) {
        let timeout = Duration::from_millis(timeout_ms);
        let writes = match &request {
            StateRequest::Txn(txn) => txn.writes.len() as f64,
            _ => 0.0,
        };
        let allowed = async {
            if writes > 0.0 {
                self.writes.take(writes, urgency).await;
            }
            self.requests.take(1.0, urgency).await;
        };
        if tokio::time::timeout(timeout, allowed).await.is_err() {
            return (self.now(), Err(StateError::Refused(429)));
        }
        let sent_at = self.now();
        let result = self.state.call(&request, timeout).await;
        if let Err(error) = &result {
            self.metrics.state_failed(error);
            tracing::debug!(?request, %error, "state service");
        }
        (sent_at, result)
    }

    async fn ask_cloud(
        &self,
        request: CloudRequest,
        timeout_ms: u64,
    ) -> Result<crate::protocol::cloud::CloudReply, CloudError> {
        self.cloud_requests.take(1.0, Urgency::Vital).await;
        let result = self
            .cloud
            .call(&request, Duration::from_millis(timeout_ms))
            .await;
        if let Err(error) = &result {
            self.metrics.cloud_failed(error);
            tracing::debug!(?request, ?error, "cloud");
        }
        result
    }
}
