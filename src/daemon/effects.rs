//! Executes the event loop's effects: replies to requests, and calls to other processes. The event
//! loop receives the results of calls as commands.

use std::{
    collections::{BTreeMap, HashMap},
    future::Future,
    net::SocketAddrV4,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use http::StatusCode;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use crate::{
    config::Config,
    coordination::{
        ApiRequest, CellReport, CloudTag, Command, Effect, LeaderAnnouncement, LeaseRevocation,
        MemberStatus, RequestId, StateTag, WorkerTag,
    },
    metrics::Metrics,
    protocol::{
        cloud::{CloudError, CloudReply, CloudRequest},
        state::{StateError, StateReply, StateRequest, StateRequestPriority},
        worker::DirectOrders,
    },
    transport::{
        client::{CloudClient, StateClient, WorkerClient},
        mesh::{MemberClients, peer_cells::PeerCellClients},
    },
};

use super::{
    Clock, IDLE_WORKER_SOCKET_SHARE, WORKER_CALL_SOCKET_SHARE, pending_replies::PendingReplies,
    service_rate_limits::ServiceRateLimits,
};

/// Executes effects. Each call runs in a task of its own; dropping the executor cancels all calls.
pub(super) struct EffectExecutor {
    outbound: Rc<Outbound>,
    calls: JoinSet<()>,
    replies: PendingReplies,
    /// This node's status, which it reports to the leader.
    member_status: watch::Sender<MemberStatus>,
}

/// The resources that all calls share: the clients, the rate limits and the queue for results.
struct Outbound {
    clock: Clock,
    commands: mpsc::UnboundedSender<Command>,
    metrics: Arc<Metrics>,
    rate_limits: ServiceRateLimits,
    state: StateClient,
    cloud: CloudClient,
    workers: WorkerClient,
    members: MemberClients,
    member_addrs: HashMap<String, SocketAddrV4>,
    peer_cells: PeerCellClients,
}

impl EffectExecutor {
    /// An executor whose clients connect when first used. The results of calls go to `commands`.
    pub(super) fn new(
        config: &Config,
        clock: Clock,
        commands: mpsc::UnboundedSender<Command>,
        metrics: Arc<Metrics>,
        member_status: watch::Sender<MemberStatus>,
    ) -> Self {
        EffectExecutor {
            outbound: Rc::new(Outbound::new(config, clock, commands, metrics)),
            calls: JoinSet::new(),
            replies: PendingReplies::default(),
            member_status,
        }
    }

    /// The node's metrics.
    pub(super) fn metrics(&self) -> &Metrics {
        &self.outbound.metrics
    }

    /// The requests that the event loop has not answered yet.
    pub(super) fn pending_replies(&mut self) -> &mut PendingReplies {
        &mut self.replies
    }

    /// Executes one effect, or starts the call that it requests.
    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Respond(id, response) => self.replies.respond(id, response),
            Effect::RespondRevocation(id, renewals) => {
                self.replies.respond_revocation(id, renewals);
            }
            Effect::RespondCellReport(id, grants) => self.replies.respond_cell_report(id, grants),
            Effect::PublishMemberStatus(status) => {
                self.member_status.send_replace(*status);
            }
            Effect::SetLeadership(is_leader) => {
                self.outbound.rate_limits.set_leadership(is_leader);
            }
            Effect::CallStateService {
                tag,
                request,
                priority,
                timeout_ms,
            } => self.spawn(|outbound| outbound.call_state(tag, request, priority, timeout_ms)),
            Effect::CallCloud {
                tag,
                request,
                timeout_ms,
            } => self.spawn(|outbound| outbound.call_cloud(tag, request, timeout_ms)),
            Effect::CallWorker {
                tag,
                addr,
                orders,
                timeout_ms,
            } => self.spawn(|outbound| outbound.call_worker(tag, addr, orders, timeout_ms)),
            Effect::AnnounceProgress(announcement) => self.announce_to_members(&announcement),
            Effect::RequestRevocation {
                lease,
                label,
                revocation,
            } => self.request_revocation(lease, label, revocation),
            Effect::SendCellReport {
                lease,
                cell,
                report,
            } => self.spawn(|outbound| outbound.send_cell_report(lease, cell, *report)),
            Effect::RelayRequest { id, label, request } => {
                self.spawn(|outbound| outbound.relay_request(id, label, request));
            }
        }
    }

    /// Logs the calls that panicked since the last time. The event loop gets no result of such a call
    /// and treats it like a lost message.
    pub(super) fn log_failed_calls(&mut self) {
        while let Some(ended) = self.calls.try_join_next() {
            if let Err(error) = ended {
                tracing::error!(%error, "call task failed");
            }
        }
    }

    fn spawn<F>(&mut self, call: impl FnOnce(Rc<Outbound>) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.calls.spawn_local(call(self.outbound.clone()));
    }

    fn announce_to_members(&mut self, announcement: &LeaderAnnouncement) {
        for addr in self.outbound.member_addrs.values().copied() {
            let call = self.outbound.clone().announce(addr, announcement.clone());
            self.calls.spawn_local(call);
        }
    }

    fn request_revocation(&mut self, lease: u64, label: String, revocation: LeaseRevocation) {
        let Some(addr) = self.outbound.member_addrs.get(&label).copied() else {
            return;
        };
        self.spawn(|outbound| outbound.request_revocation(addr, lease, label, revocation));
    }
}

impl Outbound {
    fn new(
        config: &Config,
        clock: Clock,
        commands: mpsc::UnboundedSender<Command>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let sockets = f64::from(config.settings.limits.sockets);
        let member_addrs: HashMap<_, _> = config
            .members
            .iter()
            .map(|member| (member.label.clone(), member.address))
            .collect();
        Outbound {
            clock,
            commands,
            rate_limits: ServiceRateLimits::new(config),
            state: StateClient::new(config.services.state),
            cloud: CloudClient::new(config.services.cloud),
            workers: WorkerClient::new(
                (sockets * WORKER_CALL_SOCKET_SHARE).max(1.0) as usize,
                (sockets * IDLE_WORKER_SOCKET_SHARE) as usize,
                metrics.clone(),
            ),
            metrics,
            members: MemberClients::new(member_addrs.values().copied()),
            member_addrs,
            peer_cells: match &config.cells {
                Some(cells) => PeerCellClients::new(&cells.peers),
                None => PeerCellClients::new(&BTreeMap::new()),
            },
        }
    }

    /// Returns a call's result to the event loop.
    fn send_command(&self, command: Command) {
        // The event loop only stops receiving when the process ends.
        let _ = self.commands.send(command);
    }

    async fn call_state(
        self: Rc<Self>,
        tag: StateTag,
        request: StateRequest,
        priority: StateRequestPriority,
        timeout_ms: u64,
    ) {
        let timeout = Duration::from_millis(timeout_ms);
        let writes = match &request {
            StateRequest::Txn(txn) => txn.writes.len(),
            _ => 0,
        };
        let permit = self.rate_limits.acquire_state_request(writes, priority);
        let has_permit = tokio::time::timeout(timeout, permit).await.is_ok();
        let sent_at = self.clock.monotonic_ms();
        let result = if has_permit {
            self.exchange_with_state(&request, timeout).await
        } else {
            Err(StateError::Refused(StatusCode::TOO_MANY_REQUESTS.as_u16()))
        };
        self.send_command(Command::StateResponse {
            tag,
            sent_at,
            result,
        });
    }

    async fn exchange_with_state(
        &self,
        request: &StateRequest,
        timeout: Duration,
    ) -> Result<StateReply, StateError> {
        let result = self.state.call(request, timeout).await;
        if let Err(error) = &result {
            self.metrics.record_state_error(error);
            tracing::debug!(?request, %error, "state service call failed");
        }
        result
    }

    async fn call_cloud(self: Rc<Self>, tag: CloudTag, request: CloudRequest, timeout_ms: u64) {
        self.rate_limits.acquire_cloud_request().await;
        let timeout = Duration::from_millis(timeout_ms);
        let result = self.exchange_with_cloud(&request, timeout).await;
        self.send_command(Command::CloudResponse { tag, result });
    }

    async fn exchange_with_cloud(
        &self,
        request: &CloudRequest,
        timeout: Duration,
    ) -> Result<CloudReply, CloudError> {
        let result = self.cloud.call(request, timeout).await;
        if let Err(error) = &result {
            self.metrics.record_cloud_error(error);
            tracing::debug!(?request, %error, "cloud call failed");
        }
        result
    }

    async fn call_worker(
        self: Rc<Self>,
        tag: WorkerTag,
        addr: String,
        orders: Option<DirectOrders>,
        timeout_ms: u64,
    ) {
        let timeout = Duration::from_millis(timeout_ms);
        let result = self.workers.call(&addr, orders.as_ref(), timeout).await;
        self.send_command(Command::WorkerResponse { tag, result });
    }

    async fn announce(self: Rc<Self>, addr: SocketAddrV4, announcement: LeaderAnnouncement) {
        if let Some(status) = self.members.announce(addr, &announcement).await {
            self.send_command(Command::MemberStatus(Box::new(status)));
        }
    }

    async fn request_revocation(
        self: Rc<Self>,
        addr: SocketAddrV4,
        lease: u64,
        label: String,
        revocation: LeaseRevocation,
    ) {
        let sent_at = self.clock.monotonic_ms();
        let reply = self.members.request_revocation(addr, revocation).await;
        self.send_command(Command::LeasesRevoked {
            lease,
            label,
            sent_at,
            reply,
        });
    }

    async fn send_cell_report(self: Rc<Self>, lease: u64, cell: String, report: CellReport) {
        let grants = self.peer_cells.exchange(&cell, report).await;
        self.send_command(Command::CellGrantsReceived {
            lease,
            cell,
            grants: grants.map(Box::new),
        });
    }

    async fn relay_request(self: Rc<Self>, id: RequestId, label: String, request: ApiRequest) {
        let response = match self.member_addrs.get(&label).copied() {
            Some(addr) => self.members.relay_request(addr, request).await,
            None => None,
        };
        self.send_command(Command::RelayAnswered(id, response));
    }
}
