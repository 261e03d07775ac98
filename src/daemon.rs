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
        ApiRequest, ApiResponse, CellGrants, CellReport, ClockReading, Command, Effect,
        LeaseRevocation, MemberStatus, Node, RenewalReply, RequestId, rate_limit_shares,
    },
    metrics::Metrics,
    protocol::{
        cloud::{CloudError, CloudRequest},
        state::{StateError, StateRequest, Urgency},
    },
    transport::{
        client::{CloudClient, StateClient, WorkerClient},
        mesh,
        rate_limiter::TokenBucket,
        server,
    },
};

mod settings_file;

/// How often the owner looks at the time when nothing else happens.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often the owner is asked what the metrics show.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Commands worked through at once.
const MAX_COMMANDS_PER_BATCH: usize = 256;
/// QuotaShares of the sockets: for whoever asks this node, for calls to workers under way, and for connections
/// to workers between them. The services, the mesh and what is just being closed live on the rest.
const INBOUND_SOCKET_SHARE: f64 = 0.65;
const WORKER_CALL_SOCKET_SHARE: f64 = 0.2;
const IDLE_WORKER_SOCKET_SHARE: f64 = 0.1;

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
    let connections = (sockets * INBOUND_SOCKET_SHARE) as usize;
    let relayed = door.clone();
    let metrics = Arc::new(Metrics::default());
    let report = Duration::from_secs_f64(config.settings.workers.report_interval_s.min(600.0));
    let serving = server::serve(listener, door, connections, report, metrics.clone());
    tokio::spawn(serving);
    let mesh_addr = config.mesh_addr;
    let to_owner = commands.clone();
    let (published, news) = watch::channel(MemberStatus::default());
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
        tokio::task::spawn_local(settings_file::watch_settings_file(
            file.to_owned(),
            commands.clone(),
        ));
    }
    let io = Rc::new(EffectExecutor::new(&config, commands, metrics, published));
    let queues = EventQueues {
        commands: queue,
        api_requests: asked,
        revocations: questioned,
        cell_reports: stated,
    };
    run_event_loop(Node::new(config), io, queues).await;
    Ok(())
}

/// What the owner takes commands and requests from.
struct EventQueues {
    commands: mpsc::UnboundedReceiver<Command>,
    api_requests: mpsc::UnboundedReceiver<(ApiRequest, oneshot::Sender<ApiResponse>)>,
    revocations: mpsc::UnboundedReceiver<(LeaseRevocation, oneshot::Sender<RenewalReply>)>,
    cell_reports: mpsc::UnboundedReceiver<(CellReport, oneshot::Sender<Option<CellGrants>>)>,
}

/// The owner's loop.
async fn run_event_loop(mut node: Node, io: Rc<EffectExecutor>, queues: EventQueues) {
    let EventQueues {
        commands: mut queue,
        api_requests: mut asked,
        revocations: mut questioned,
        cell_reports: mut stated,
    } = queues;
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut answers: HashMap<RequestId, oneshot::Sender<ApiResponse>> = HashMap::new();
    let mut words: HashMap<RequestId, oneshot::Sender<RenewalReply>> = HashMap::new();
    let mut statements: HashMap<RequestId, oneshot::Sender<Option<CellGrants>>> = HashMap::new();
    let mut next_ask: RequestId = 0;
    let mut batch = Vec::with_capacity(MAX_COMMANDS_PER_BATCH);
    let mut asks = Vec::with_capacity(MAX_COMMANDS_PER_BATCH);
    let mut watched_at = Instant::now();
    loop {
        tokio::select! {
            biased;
            _ = queue.recv_many(&mut batch, MAX_COMMANDS_PER_BATCH) => {}
            _ = asked.recv_many(&mut asks, MAX_COMMANDS_PER_BATCH) => {}
            Some((revocation, reply)) = questioned.recv() => {
                next_ask += 1;
                words.insert(next_ask, reply);
                batch.push(Command::RevokeLeases(next_ask, revocation));
            }
            Some((statement, reply)) = stated.recv() => {
                next_ask += 1;
                statements.insert(next_ask, reply);
                batch.push(Command::CellReported(next_ask, Box::new(statement)));
            }
            _ = tick.tick() => batch.push(Command::Tick),
        }
        for (ask, answer) in asks.drain(..) {
            next_ask += 1;
            answers.insert(next_ask, answer);
            batch.push(Command::ApiRequest(next_ask, ask));
        }
        let now = ClockReading {
            monotonic_ms: io.elapsed_ms(),
            wall_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since| since.as_millis() as u64),
        };
        let began = Instant::now();
        let effects = node.step(batch.drain(..), now);
        io.metrics.record_batch_duration(began.elapsed());
        if began >= watched_at + STATUS_INTERVAL {
            watched_at = began;
            io.metrics
                .record_status(node.status(), queue.len() + asked.len());
        }
        for effect in effects {
            match effect {
                Effect::Respond(id, answer) => {
                    if let Some(waiting) = answers.remove(&id) {
                        // Whoever asked may have left.
                        let _ = waiting.send(answer);
                    }
                }
                Effect::RespondRevocation(id, answer) => {
                    if let Some(waiting) = words.remove(&id) {
                        let _ = waiting.send(answer);
                    }
                }
                Effect::RespondCellReport(id, answer) => {
                    if let Some(waiting) = statements.remove(&id) {
                        let _ = waiting.send(answer);
                    }
                }
                effect => io.execute_effect(effect),
            }
        }
    }
}

/// Carries out effects; what comes of them goes back to the owner as commands.
struct EffectExecutor {
    started_at: Instant,
    command_sender: mpsc::UnboundedSender<Command>,
    metrics: Arc<Metrics>,
    state_client: StateClient,
    cloud_client: CloudClient,
    worker_client: WorkerClient,
    member_clients: mesh::MemberClients,
    peer_cells: mesh::peer_cells::PeerCellClient,
    member_addrs: HashMap<String, std::net::SocketAddrV4>,
    state_request_bucket: TokenBucket,
    state_write_bucket: TokenBucket,
    cloud_request_bucket: TokenBucket,
    rate_limits: ClusterRateLimits,
    /// What this node says of itself to whoever asks.
    member_status: watch::Sender<MemberStatus>,
}

struct ClusterRateLimits {
    node_count: f64,
    state_rps: f64,
    state_write_rps: f64,
    cloud_rps: f64,
}

impl EffectExecutor {
    fn new(
        config: &Config,
        owner: mpsc::UnboundedSender<Command>,
        metrics: Arc<Metrics>,
        published: watch::Sender<MemberStatus>,
    ) -> Self {
        let state = config.settings.state.strictest();
        let limits = ClusterRateLimits {
            node_count: config.members.len() as f64 + 1.0,
            state_rps: state.rps,
            state_write_rps: state.write_rps,
            cloud_rps: config.settings.cloud.rps,
        };
        let shares = rate_limit_shares::shares_for(limits.node_count, false);
        let sockets = f64::from(config.settings.limits.sockets);
        let addrs: HashMap<_, _> = config
            .members
            .iter()
            .map(|member| (member.label.clone(), member.address))
            .collect();
        EffectExecutor {
            started_at: Instant::now(),
            command_sender: owner,
            worker_client: WorkerClient::new(
                (sockets * WORKER_CALL_SOCKET_SHARE).max(1.0) as usize,
                (sockets * IDLE_WORKER_SOCKET_SHARE) as usize,
                metrics.clone(),
            ),
            metrics,
            state_client: StateClient::new(config.services.state),
            cloud_client: CloudClient::new(config.services.cloud),
            member_clients: mesh::MemberClients::new(addrs.values().copied()),
            peer_cells: match &config.cells {
                Some(cells) => mesh::peer_cells::PeerCellClient::new(&cells.peers),
                None => mesh::peer_cells::PeerCellClient::new(&BTreeMap::new()),
            },
            member_addrs: addrs,
            state_request_bucket: TokenBucket::new(limits.state_rps * shares.state_requests),
            state_write_bucket: TokenBucket::new(limits.state_write_rps * shares.state_writes),
            cloud_request_bucket: TokenBucket::new(limits.cloud_rps * shares.cloud),
            rate_limits: limits,
            member_status: published,
        }
    }

    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn execute_effect(self: &Rc<Self>, effect: Effect) {
        let io = self.clone();
        match effect {
            Effect::CallStateService {
                tag,
                request,
                urgency,
                timeout_ms,
            } => {
                tokio::task::spawn_local(async move {
                    let (sent_at, result) =
                        io.call_state_service(request, urgency, timeout_ms).await;
                    let _ = io.command_sender.send(Command::StateResponse {
                        tag,
                        sent_at,
                        result,
                    });
                });
            }
            Effect::CallCloud {
                tag,
                request,
                timeout_ms,
            } => {
                tokio::task::spawn_local(async move {
                    let result = io.call_cloud(request, timeout_ms).await;
                    let _ = io
                        .command_sender
                        .send(Command::CloudResponse { tag, result });
                });
            }
            Effect::CallWorker {
                tag,
                addr,
                orders,
                timeout_ms,
            } => {
                tokio::task::spawn_local(async move {
                    let timeout = Duration::from_millis(timeout_ms);
                    let result = io.worker_client.call(&addr, orders.as_ref(), timeout).await;
                    let _ = io
                        .command_sender
                        .send(Command::WorkerResponse { tag, result });
                });
            }
            Effect::AnnounceProgress(progress) => {
                for addr in self.member_addrs.values().copied() {
                    let (io, progress) = (self.clone(), progress.clone());
                    tokio::task::spawn_local(async move {
                        if let Some(news) = io.member_clients.send_progress(addr, &progress).await {
                            let _ = io
                                .command_sender
                                .send(Command::MemberStatus(Box::new(news)));
                        }
                    });
                }
            }
            Effect::PublishMemberStatus(news) => {
                self.member_status.send_replace(*news);
            }
            Effect::RequestRevocation {
                lease,
                label,
                revocation,
            } => {
                let Some(addr) = self.member_addrs.get(&label).copied() else {
                    return;
                };
                tokio::task::spawn_local(async move {
                    let sent_at = io.elapsed_ms();
                    let word = io.member_clients.request_revocation(addr, revocation).await;
                    let _ = io.command_sender.send(Command::LeasesRevoked {
                        lease,
                        label,
                        sent_at,
                        reply: word,
                    });
                });
            }
            Effect::SendCellReport {
                lease,
                cell,
                report: statement,
            } => {
                tokio::task::spawn_local(async move {
                    let answer = io.peer_cells.exchange(&cell, *statement).await;
                    let _ = io.command_sender.send(Command::CellGrantsReceived {
                        lease,
                        cell,
                        grants: answer.map(Box::new),
                    });
                });
            }
            Effect::RelayRequest {
                id,
                label,
                request: ask,
            } => {
                let addr = self.member_addrs.get(&label).copied();
                tokio::task::spawn_local(async move {
                    let answer = match addr {
                        Some(addr) => io.member_clients.forward_request(addr, ask).await,
                        None => None,
                    };
                    let _ = io.command_sender.send(Command::RelayAnswered(id, answer));
                });
            }
            Effect::SetLeadership(leading) => {
                let limits = &self.rate_limits;
                let shares = rate_limit_shares::shares_for(limits.node_count, leading);
                self.state_request_bucket
                    .set_rate(limits.state_rps * shares.state_requests);
                self.state_write_bucket
                    .set_rate(limits.state_write_rps * shares.state_writes);
                self.cloud_request_bucket
                    .set_rate(limits.cloud_rps * shares.cloud);
            }
            Effect::Respond(..) | Effect::RespondRevocation(..) | Effect::RespondCellReport(..) => {
            }
        }
    }

    async fn call_state_service(
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
                self.state_write_bucket.acquire(writes, urgency).await;
            }
            self.state_request_bucket.acquire(1.0, urgency).await;
        };
        if tokio::time::timeout(timeout, allowed).await.is_err() {
            return (self.elapsed_ms(), Err(StateError::Refused(429)));
        }
        let sent_at = self.elapsed_ms();
        let result = self.state_client.call(&request, timeout).await;
        if let Err(error) = &result {
            self.metrics.record_state_error(error);
            tracing::debug!(?request, %error, "state service");
        }
        (sent_at, result)
    }

    async fn call_cloud(
        &self,
        request: CloudRequest,
        timeout_ms: u64,
    ) -> Result<crate::protocol::cloud::CloudReply, CloudError> {
        self.cloud_request_bucket.acquire(1.0, Urgency::Vital).await;
        let result = self
            .cloud_client
            .call(&request, Duration::from_millis(timeout_ms))
            .await;
        if let Err(error) = &result {
            self.metrics.record_cloud_error(error);
            tracing::debug!(?request, ?error, "cloud");
        }
        result
    }
}
