//! Any number of emulated workers in one process.
//!
//! Each worker has its own address in 127.0.0.0/8. One listener accepts the commands for all of them and selects the
//! worker by the local address of the connection.

use std::{
    convert::Infallible,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use dalelb::protocol::{self, cloud::ListedMachine, worker::*};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rand::Rng;
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use crate::{
    cloud_emulator,
    http_connection::{CountingStream, HttpConnection, Traffic},
    responses,
    worker_emulator::{EmulatedWorker, TaskModel, WorkerIdentity},
};

/// Timeout of a heartbeat.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before the next node is tried after a failed heartbeat.
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
/// Minimum interval between heartbeats that report changes, in milliseconds.
const MIN_CHANGE_REPORT_INTERVAL_MS: u64 = 500;
/// Workers of a fleet whose addresses have the same third octet.
const WORKERS_PER_SUBNET: usize = 250;

/// Settings of a fleet of emulated workers.
#[derive(Clone, Debug)]
pub struct WorkerFleetSettings {
    /// Number of workers.
    pub workers: usize,
    /// Second octet of the addresses: 127.`subnet`.x.y.
    pub subnet: u8,
    /// Port on which the workers accept commands; 0: any free port.
    pub port: u16,
    /// CPUs per worker.
    pub cpus: f64,
    /// Zones; the workers are distributed over them round-robin.
    pub zones: Vec<String>,
    /// Label and address of each controller.
    pub controllers: Vec<(String, SocketAddr)>,
    /// Mean interval between heartbeats; each interval varies randomly by up to a quarter.
    pub report_interval: Duration,
    /// Duration of a worker's lease, which each acknowledged heartbeat renews.
    pub lease_ttl: Duration,
}

/// Counters of the traffic between workers and controllers.
#[derive(Debug, Default)]
pub struct FleetTraffic {
    /// Heartbeats and their responses.
    pub reports: Arc<Traffic>,
    /// Direct commands and their responses.
    pub commands: Arc<Traffic>,
    /// Heartbeats whose response (status 200) renewed the lease.
    pub answered_reports: AtomicU64,
    /// Leases that expired because no heartbeat was acknowledged in time.
    pub expired_leases: AtomicU64,
}

/// A running fleet of emulated workers.
#[derive(Clone)]
pub struct WorkerFleet {
    workers: Arc<Vec<Worker>>,
    traffic: Arc<FleetTraffic>,
}

struct Worker {
    name: String,
    addr: SocketAddr,
    zone: String,
    state: Mutex<WorkerState>,
    changed: Notify,
    is_deleted: AtomicBool,
}

struct WorkerState {
    emulator: EmulatedWorker,
    /// Whether something changed since the last heartbeat.
    has_unreported_changes: bool,
    /// When a higher fencing token last caused a heartbeat, in milliseconds.
    token_reported_at: Option<u64>,
}

struct FleetContext {
    settings: WorkerFleetSettings,
    tasks: Arc<dyn TaskModel>,
    traffic: Arc<FleetTraffic>,
    started_at: Instant,
}

impl FleetContext {
    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn lease_ms(&self) -> u64 {
        self.settings.lease_ttl.as_millis() as u64
    }

    /// The time until the next regular heartbeat: the configured interval varied randomly by up to a quarter.
    fn next_report_interval_ms(&self) -> u64 {
        let mean_ms = self.settings.report_interval.as_secs_f64() * 1000.0;
        (mean_ms * rand::rng().random_range(0.75..1.25)) as u64
    }
}

fn worker_ip(subnet: u8, index: usize) -> Ipv4Addr {
    let (high, low) = (index / WORKERS_PER_SUBNET, index % WORKERS_PER_SUBNET + 1);
    Ipv4Addr::new(127, subnet, high as u8, low as u8)
}

fn worker_index(ip: Ipv4Addr) -> Option<usize> {
    let [_, _, high, low] = ip.octets();
    Some(usize::from(high) * WORKERS_PER_SUBNET + usize::from(low).checked_sub(1)?)
}

impl WorkerFleet {
    /// Starts the workers; they send heartbeats until the runtime shuts down. Fails if the port is in use.
    pub fn start(settings: WorkerFleetSettings, tasks: Arc<dyn TaskModel>) -> io::Result<Self> {
        let (listener, addr) = responses::bind(&format!("0.0.0.0:{}", settings.port))?;
        let workers = (0..settings.workers).map(|index| Worker::new(&settings, index, addr.port()));
        let workers: Arc<Vec<Worker>> = Arc::new(workers.collect());
        let traffic = Arc::new(FleetTraffic::default());
        let context = Arc::new(FleetContext {
            settings,
            tasks,
            traffic: traffic.clone(),
            started_at: Instant::now(),
        });
        tokio::spawn(accept(listener, workers.clone(), context.clone()));
        for index in 0..workers.len() {
            tokio::spawn(run_reporting_loop(workers.clone(), index, context.clone()));
        }
        Ok(WorkerFleet { workers, traffic })
    }

    /// The entries of the workers in the machine list of the cloud.
    pub fn listed_machines(&self) -> Vec<ListedMachine> {
        let workers = self.workers.iter();
        let listed = workers
            .map(|worker| cloud_emulator::listed_machine(&worker.name, worker.addr, &worker.zone));
        listed.collect()
    }

    /// The traffic counters so far.
    pub fn traffic(&self) -> &FleetTraffic {
        &self.traffic
    }

    /// Deletes workers as if their machines had lost power: they neither send nor answer requests from then on.
    pub fn delete_workers(&self, names: &[String], tasks: &dyn TaskModel) {
        for worker in self.workers.iter() {
            if names.contains(&worker.name) && !worker.is_deleted.swap(true, Ordering::Relaxed) {
                worker.lock_state().emulator.remove_all_tasks(tasks);
                worker.changed.notify_one();
            }
        }
    }

    /// Names of all workers, in the order of their addresses.
    pub fn names(&self) -> Vec<String> {
        let workers = self.workers.iter();
        workers.map(|worker| worker.name.clone()).collect()
    }

    /// Number of tasks running on all workers.
    pub fn running_count(&self) -> usize {
        let workers = self.workers.iter();
        workers
            .map(|worker| worker.lock_state().emulator.running_count())
            .sum()
    }

    /// The highest fencing token that any worker has received.
    pub fn fencing_token(&self) -> u64 {
        let workers = self.workers.iter();
        let tokens = workers.map(|worker| worker.lock_state().emulator.fencing_token());
        tokens.max().unwrap_or(0)
    }
}

impl Worker {
    fn new(settings: &WorkerFleetSettings, index: usize, port: u16) -> Self {
        let addr = SocketAddr::from((worker_ip(settings.subnet, index), port));
        let zone = settings.zones[index % settings.zones.len()].clone();
        let name = format!("vm-{:06}", index + 1);
        let identity = WorkerIdentity {
            name: name.clone(),
            addr: addr.to_string(),
            type_name: "c8".into(),
            zone: zone.clone(),
            cpus: settings.cpus,
        };
        Worker {
            name,
            addr,
            zone,
            state: Mutex::new(WorkerState {
                emulator: EmulatedWorker::new(identity, 0),
                has_unreported_changes: false,
                token_reported_at: None,
            }),
            changed: Notify::new(),
            is_deleted: AtomicBool::new(false),
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().expect("lock of a worker poisoned")
    }

    fn execute_orders(&self, token: u64, orders: Vec<Order>, context: &FleetContext) -> bool {
        let now = context.elapsed_ms();
        let mut state = self.lock_state();
        let (previous_token, has_orders) = (state.emulator.fencing_token(), !orders.is_empty());
        let executed = state
            .emulator
            .execute_orders(token, orders, now, &*context.tasks);
        let token_increased = state.emulator.fencing_token() > previous_token;
        let last_reported_at = state.token_reported_at;
        let report_token =
            token_increased && last_reported_at.is_none_or(|at| at + context.lease_ms() / 2 <= now);
        if report_token {
            state.token_reported_at = Some(now);
        }
        if executed && has_orders || report_token {
            state.has_unreported_changes = true;
            drop(state);
            self.changed.notify_one();
        }
        executed
    }

    /// Executes a direct command; answers 409 if it is for another incarnation or its fencing token is too low.
    fn handle_direct_orders(&self, body: &[u8], context: &FleetContext) -> Response<Bytes> {
        let Ok(direct) = protocol::decode::<DirectOrders>(body) else {
            return responses::msgpack_response(400, &json!({"error": "malformed"}));
        };
        let executed = direct.incarnation == self.lock_state().emulator.incarnation()
            && self.execute_orders(direct.token, direct.orders, context);
        let status = if executed { 200 } else { 409 };
        responses::msgpack_response(status, &self.lock_state().emulator.report())
    }

    /// Expires the lease and completes tasks that are due. Returns when the next heartbeat is due, and when to wake up
    /// (earlier if a task completes before).
    fn advance(&self, sent_at: u64, interval: u64, context: &FleetContext) -> (u64, u64) {
        let now = context.elapsed_ms();
        let mut state = self.lock_state();
        let tasks = &*context.tasks;
        let expired = state.emulator.expire_lease(now, context.lease_ms(), tasks);
        if expired {
            context
                .traffic
                .expired_leases
                .fetch_add(1, Ordering::Relaxed);
        }
        let completed = state.emulator.complete_due_tasks(now, tasks);
        state.has_unreported_changes |= expired || completed;
        let delay = if state.has_unreported_changes {
            MIN_CHANGE_REPORT_INTERVAL_MS
        } else {
            interval
        };
        let next_report_at = sent_at + delay.min(interval);
        let next_completion = state.emulator.next_completion_at().unwrap_or(u64::MAX);
        (next_report_at, next_report_at.min(next_completion))
    }
}

async fn run_reporting_loop(workers: Arc<Vec<Worker>>, index: usize, context: Arc<FleetContext>) {
    let worker = &workers[index];
    let nodes = &context.settings.controllers;
    let mut node = index % nodes.len();
    let mut connection = HttpConnection::new(nodes[node].1, context.traffic.reports.clone());
    let mut sent_at = context.elapsed_ms();
    let mut interval = context.next_report_interval_ms();
    while !worker.is_deleted.load(Ordering::Relaxed) {
        let (next_report_at, wake_at) = worker.advance(sent_at, interval, &context);
        let now = context.elapsed_ms();
        if now < next_report_at {
            let pause = Duration::from_millis(wake_at.saturating_sub(now).max(1));
            let _ = tokio::time::timeout(pause, worker.changed.notified()).await;
            continue;
        }
        sent_at = now;
        interval = context.next_report_interval_ms();
        match send_report(worker, &mut connection, sent_at, &context).await {
            NextTarget::SameNode => {}
            NextTarget::Leader(label) => {
                let position = nodes
                    .iter()
                    .position(|(node_label, _)| *node_label == label);
                let leader = position.filter(|leader| *leader != node);
                let pause = match leader {
                    Some(_) => Duration::from_millis(rand::rng().random_range(0..500)),
                    None => NEXT_NODE_DELAY,
                };
                node = leader.unwrap_or((node + 1) % nodes.len());
                connection.redirect_to(nodes[node].1);
                tokio::time::sleep(pause).await;
                sent_at = context.elapsed_ms().saturating_sub(interval);
            }
            NextTarget::AnotherNode => {
                node = (node + 1) % nodes.len();
                connection.redirect_to(nodes[node].1);
                tokio::time::sleep(NEXT_NODE_DELAY).await;
                sent_at = context.elapsed_ms().saturating_sub(interval);
            }
        }
    }
}

/// The node to which a worker sends its next heartbeat.
enum NextTarget {
    SameNode,
    Leader(String),
    AnotherNode,
}

async fn send_report(
    worker: &Worker,
    connection: &mut HttpConnection,
    sent_at: u64,
    context: &FleetContext,
) -> NextTarget {
    let (incarnation, body) = {
        let mut state = worker.lock_state();
        state.has_unreported_changes = false;
        let report = state.emulator.report();
        (state.emulator.incarnation(), protocol::encode(&report))
    };
    let response = connection.call(Method::POST, "/checkin", body, REPORT_TIMEOUT);
    match response.await {
        Some((200, body)) => {
            let Ok(orders) = protocol::decode::<Orders>(&body) else {
                return NextTarget::SameNode;
            };
            let renewed =
                worker
                    .lock_state()
                    .emulator
                    .renew_lease(sent_at, incarnation, orders.token);
            if renewed {
                context
                    .traffic
                    .answered_reports
                    .fetch_add(1, Ordering::Relaxed);
                worker.execute_orders(orders.token, orders.orders, context);
            }
            NextTarget::SameNode
        }
        Some((421, body)) => match protocol::decode::<Redirect>(&body) {
            Ok(Redirect {
                leader: Some(label),
            }) => NextTarget::Leader(label),
            _ => NextTarget::AnotherNode,
        },
        _ => NextTarget::AnotherNode,
    }
}

async fn accept(listener: TcpListener, workers: Arc<Vec<Worker>>, context: Arc<FleetContext>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Most likely no file descriptors are left; retry, since others may be closed soon.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let local = stream.local_addr().map(|addr| addr.ip());
        let index = match local {
            Ok(IpAddr::V4(ip)) if peer.ip().is_loopback() => worker_index(ip),
            _ => None,
        };
        let Some(index) = index.filter(|index| *index < workers.len()) else {
            continue;
        };
        tokio::spawn(serve(stream, workers.clone(), index, context.clone()));
    }
}

async fn serve(
    stream: TcpStream,
    workers: Arc<Vec<Worker>>,
    index: usize,
    context: Arc<FleetContext>,
) {
    let _ = stream.set_nodelay(true);
    let commands = context.traffic.commands.clone();
    let counting_stream = CountingStream::new(stream, commands);
    let service = service_fn(move |request: Request<Incoming>| {
        let (workers, context) = (workers.clone(), context.clone());
        async move { respond(&workers[index], request, &context).await }
    });
    // Connection errors are handled by the client.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(counting_stream), service)
        .await;
}

async fn respond(
    worker: &Worker,
    request: Request<Incoming>,
    context: &FleetContext,
) -> Result<Response<Full<Bytes>>, Infallible> {
    context.traffic.commands.count_request();
    if worker.is_deleted.load(Ordering::Relaxed) {
        // A deleted machine never responds.
        std::future::pending::<()>().await;
    }
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let response = match path.as_str() {
        "/commands" => worker.handle_direct_orders(&body, context),
        "/status" => responses::msgpack_response(200, &worker.lock_state().emulator.report()),
        _ => responses::msgpack_response(404, &json!({"error": "no such path"})),
    };
    Ok(response.map(Full::new))
}

#[cfg(test)]
mod tests;
