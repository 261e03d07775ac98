//! Any number of hollow workers in one process.
//!
//! Each has an address of its own in 127.0.0.0/8; one listener takes the commands for all of them and tells
//! them apart by the address that a connection came to.

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
    cloud,
    link::{Counted, Link, Traffic},
    machine::{Identity, Machine, Tasks},
    reply,
};

/// A report without an answer for that long is given up.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// After a failure the next node is tried this much later.
const NEXT_NODE: Duration = Duration::from_secs(1);
/// Changes are reported no more often than this, in milliseconds.
const CHANGE_MS: u64 = 500;
/// Workers of one fleet that share the third number of their addresses.
const PER_SUBNET: usize = 250;

/// A fleet of hollow workers.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// How many workers.
    pub workers: usize,
    /// The second number of their addresses: 127.`subnet`.x.y.
    pub subnet: u8,
    /// The port that they take commands on; 0: any.
    pub port: u16,
    /// CPUs of each.
    pub cpus: f64,
    /// The zones that they are spread over.
    pub zones: Vec<String>,
    /// The controllers by label.
    pub nodes: Vec<(String, SocketAddr)>,
    /// The time between reports, give or take a quarter.
    pub report: Duration,
    /// The life of a session without an answer.
    pub lease: Duration,
}

/// What the workers and the controllers exchanged.
#[derive(Debug, Default)]
pub struct FleetTraffic {
    /// Reports and their answers.
    pub reports: Arc<Traffic>,
    /// Direct commands and their answers.
    pub commands: Arc<Traffic>,
    /// Reports that were answered with 200.
    pub answered: AtomicU64,
    /// Sessions that ended because no answer came in time.
    pub expired: AtomicU64,
}

/// Running hollow workers.
#[derive(Clone)]
pub struct Fleet {
    workers: Arc<Vec<Worker>>,
    traffic: Arc<FleetTraffic>,
}

struct Worker {
    name: String,
    addr: SocketAddr,
    zone: String,
    inner: Mutex<Inner>,
    changed: Notify,
    gone: AtomicBool,
}

struct Inner {
    machine: Machine,
    /// Something changed since the last report.
    dirty: bool,
    /// When a higher token last counted as a change.
    token_told_at: Option<u64>,
}

struct Context {
    settings: FleetSettings,
    tasks: Arc<dyn Tasks>,
    traffic: Arc<FleetTraffic>,
    began: Instant,
}

impl Context {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn lease_ms(&self) -> u64 {
        self.settings.lease.as_millis() as u64
    }

    /// A report's distance from the one before: the usual one, give or take a quarter.
    fn interval(&self) -> u64 {
        let usual = self.settings.report.as_secs_f64() * 1000.0;
        (usual * rand::rng().random_range(0.75..1.25)) as u64
    }
}

fn worker_ip(subnet: u8, index: usize) -> Ipv4Addr {
    let (high, low) = (index / PER_SUBNET, index % PER_SUBNET + 1);
    Ipv4Addr::new(127, subnet, high as u8, low as u8)
}

fn worker_index(ip: Ipv4Addr) -> Option<usize> {
    let [_, _, high, low] = ip.octets();
    Some(usize::from(high) * PER_SUBNET + usize::from(low).checked_sub(1)?)
}

impl Fleet {
    /// Starts the workers; they report until the runtime ends. An error: the port is not to be had.
    pub fn start(settings: FleetSettings, tasks: Arc<dyn Tasks>) -> io::Result<Self> {
        let (listener, addr) = reply::listen(&format!("0.0.0.0:{}", settings.port))?;
        let workers = (0..settings.workers).map(|index| Worker::new(&settings, index, addr.port()));
        let workers: Arc<Vec<Worker>> = Arc::new(workers.collect());
        let traffic = Arc::new(FleetTraffic::default());
        let context = Arc::new(Context {
            settings,
            tasks,
            traffic: traffic.clone(),
            began: Instant::now(),
        });
        tokio::spawn(accept(listener, workers.clone(), context.clone()));
        for index in 0..workers.len() {
            tokio::spawn(report_on(workers.clone(), index, context.clone()));
        }
        Ok(Fleet { workers, traffic })
    }

    /// How the cloud lists them.
    pub fn listed(&self) -> Vec<ListedMachine> {
        let workers = self.workers.iter();
        let listed = workers.map(|worker| cloud::listed(&worker.name, worker.addr, &worker.zone));
        listed.collect()
    }

    /// What was exchanged so far.
    pub fn traffic(&self) -> &FleetTraffic {
        &self.traffic
    }

    /// Ends these workers as if their machines had lost power.
    pub fn end(&self, names: &[String], tasks: &dyn Tasks) {
        for worker in self.workers.iter() {
            if names.contains(&worker.name) && !worker.gone.swap(true, Ordering::Relaxed) {
                worker.inner().machine.clear(tasks);
                worker.changed.notify_one();
            }
        }
    }

    /// Names of workers, in the order of their addresses.
    pub fn names(&self) -> Vec<String> {
        let workers = self.workers.iter();
        workers.map(|worker| worker.name.clone()).collect()
    }

    /// Tasks that are on the workers.
    pub fn running(&self) -> usize {
        let workers = self.workers.iter();
        workers.map(|worker| worker.inner().machine.on()).sum()
    }

    /// The highest token that any worker has seen.
    pub fn token(&self) -> u64 {
        let workers = self.workers.iter();
        let tokens = workers.map(|worker| worker.inner().machine.token());
        tokens.max().unwrap_or(0)
    }
}

impl Worker {
    fn new(settings: &FleetSettings, index: usize, port: u16) -> Self {
        let addr = SocketAddr::from((worker_ip(settings.subnet, index), port));
        let zone = settings.zones[index % settings.zones.len()].clone();
        let name = format!("vm-{:06}", index + 1);
        let identity = Identity {
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
            inner: Mutex::new(Inner {
                machine: Machine::new(identity, 0),
                dirty: false,
                token_told_at: None,
            }),
            changed: Notify::new(),
            gone: AtomicBool::new(false),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("a worker's lock")
    }

    fn obey(&self, token: u64, orders: Vec<Order>, context: &Context) -> bool {
        let now = context.now();
        let mut inner = self.inner();
        let (had, any) = (inner.machine.token(), !orders.is_empty());
        let obeyed = inner.machine.obey(token, orders, now, &*context.tasks);
        let higher = inner.machine.token() > had;
        let told = inner.token_told_at;
        let news = higher && told.is_none_or(|at| at + context.lease_ms() / 2 <= now);
        if news {
            inner.token_told_at = Some(now);
        }
        if obeyed && any || news {
            inner.dirty = true;
            drop(inner);
            self.changed.notify_one();
        }
        obeyed
    }

    /// A direct command.
    fn command(&self, body: &[u8], context: &Context) -> Response<Bytes> {
        let Ok(direct) = protocol::decode::<DirectOrders>(body) else {
            return reply::reply(400, &json!({"error": "malformed"}));
        };
        let executed = direct.session == self.inner().machine.session()
            && self.obey(direct.token, direct.orders, context);
        let status = if executed { 200 } else { 409 };
        reply::reply(status, &self.inner().machine.report())
    }

    /// Passes the time; when the next report is due and when there is something to do before.
    fn pass(&self, sent_at: u64, interval: u64, context: &Context) -> (u64, u64) {
        let now = context.now();
        let mut inner = self.inner();
        let tasks = &*context.tasks;
        let expired = inner.machine.expire(now, context.lease_ms(), tasks);
        if expired {
            context.traffic.expired.fetch_add(1, Ordering::Relaxed);
        }
        let ended = inner.machine.pass(now, tasks);
        inner.dirty |= expired || ended;
        let wait = if inner.dirty { CHANGE_MS } else { interval };
        let due = sent_at + wait.min(interval);
        let next_end = inner.machine.next_end().unwrap_or(u64::MAX);
        (due, due.min(next_end))
    }
}

async fn report_on(workers: Arc<Vec<Worker>>, index: usize, context: Arc<Context>) {
    let worker = &workers[index];
    let nodes = &context.settings.nodes;
    let mut node = index % nodes.len();
    let mut link = Link::new(nodes[node].1, context.traffic.reports.clone());
    let mut sent_at = context.now();
    let mut interval = context.interval();
    while !worker.gone.load(Ordering::Relaxed) {
        let (due, wake) = worker.pass(sent_at, interval, &context);
        let now = context.now();
        if now < due {
            let pause = Duration::from_millis(wake.saturating_sub(now).max(1));
            let _ = tokio::time::timeout(pause, worker.changed.notified()).await;
            continue;
        }
        sent_at = now;
        interval = context.interval();
        match send_report(worker, &mut link, sent_at, &context).await {
            Next::Stay => {}
            Next::Leader(label) => {
                let position = nodes.iter().position(|(known, _)| *known == label);
                let other = position.filter(|other| *other != node);
                let pause = match other {
                    Some(_) => Duration::from_millis(rand::rng().random_range(0..500)),
                    None => NEXT_NODE,
                };
                node = other.unwrap_or((node + 1) % nodes.len());
                link.turn_to(nodes[node].1);
                tokio::time::sleep(pause).await;
                sent_at = context.now().saturating_sub(interval);
            }
            Next::Other => {
                node = (node + 1) % nodes.len();
                link.turn_to(nodes[node].1);
                tokio::time::sleep(NEXT_NODE).await;
                sent_at = context.now().saturating_sub(interval);
            }
        }
    }
}

/// Where a worker reports next.
enum Next {
    Stay,
    Leader(String),
    Other,
}

async fn send_report(worker: &Worker, link: &mut Link, sent_at: u64, context: &Context) -> Next {
    let (session, body) = {
        let mut inner = worker.inner();
        inner.dirty = false;
        let report = inner.machine.report();
        (inner.machine.session(), protocol::encode(&report))
    };
    let answer = link.call(Method::POST, "/checkin", body, REPORT_TIMEOUT);
    match answer.await {
        Some((200, body)) => {
            let Ok(orders) = protocol::decode::<Orders>(&body) else {
                return Next::Stay;
            };
            let renewed = worker
                .inner()
                .machine
                .renewed(sent_at, session, orders.token);
            if renewed {
                context.traffic.answered.fetch_add(1, Ordering::Relaxed);
                worker.obey(orders.token, orders.orders, context);
            }
            Next::Stay
        }
        Some((421, body)) => match protocol::decode::<Redirect>(&body) {
            Ok(Redirect {
                leader: Some(label),
            }) => Next::Leader(label),
            _ => Next::Other,
        },
        _ => Next::Other,
    }
}

async fn accept(listener: TcpListener, workers: Arc<Vec<Worker>>, context: Arc<Context>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of descriptors, most likely: others may be closed in a moment.
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

async fn serve(stream: TcpStream, workers: Arc<Vec<Worker>>, index: usize, context: Arc<Context>) {
    let _ = stream.set_nodelay(true);
    let commands = context.traffic.commands.clone();
    let counted = Counted::new(stream, commands);
    let answer = service_fn(move |request: Request<Incoming>| {
        let (workers, context) = (workers.clone(), context.clone());
        async move { respond(&workers[index], request, &context).await }
    });
    // A connection that breaks is its caller's concern.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(counted), answer)
        .await;
}

async fn respond(
    worker: &Worker,
    request: Request<Incoming>,
    context: &Context,
) -> Result<Response<Full<Bytes>>, Infallible> {
    context.traffic.commands.request();
    if worker.gone.load(Ordering::Relaxed) {
        // A machine without power answers nobody.
        std::future::pending::<()>().await;
    }
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let answer = match path.as_str() {
        "/commands" => worker.command(&body, context),
        "/status" => reply::reply(200, &worker.inner().machine.report()),
        _ => reply::reply(404, &json!({"error": "no such path"})),
    };
    Ok(answer.map(Full::new))
}

#[cfg(test)]
mod tests;
