//! Pooled HTTP clients for the state service, the cloud and the workers.

use std::{cell::RefCell, net::SocketAddrV4, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, header::CONNECTION};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::de::DeserializeOwned;
use tokio::sync::Semaphore;

use crate::{
    metrics::{Metrics, ShedConnection},
    protocol::{
        self,
        cloud::{CloudError, CloudReply, CloudRequest, MachineNames},
        state::{
            Changes, Committed, Conflict, Lease, LeaseRequest, Page, Row, StateError, StateReply,
            StateRequest,
        },
        worker::{DirectOrders, WorkerReply},
    },
    transport::connection_limiter::RecentCallCounter,
};

/// An answer: the status and the body.
pub type HttpResponse = (u16, Bytes);

const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Orders to a worker come in bursts. There are hundreds of workers, and sockets and memory for a
/// connection to each besides its own to us are better kept for those who ask.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(RecentCallCounter::WINDOW_S as u64);

/// One pool of connections. A request that gets no answer leaves the pool to be thrown away:
/// behind a cut, its idle connections are as dead as the one that was used.
pub struct HttpClient {
    client: RefCell<Client<HttpConnector, Full<Bytes>>>,
    idle_per_host: usize,
    idle_timeout: Duration,
    single_host: bool,
}

impl HttpClient {
    /// `shared_fate`: all requests go to one host, so that one dead connection speaks for all.
    pub fn new(idle_per_host: usize, idle_for: Duration, shared_fate: bool) -> Self {
        HttpClient {
            client: RefCell::new(Self::build_client(idle_per_host, idle_for)),
            idle_per_host,
            idle_timeout: idle_for,
            single_host: shared_fate,
        }
    }

    fn build_client(
        idle_per_host: usize,
        idle_for: Duration,
    ) -> Client<HttpConnector, Full<Bytes>> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_for)
            .pool_max_idle_per_host(idle_per_host)
            .build(connector)
    }

    /// Status and body; `None`: no answer. `keep`: the connection may be wanted again.
    pub async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Vec<u8>,
        keep: bool,
        timeout: Duration,
    ) -> Option<HttpResponse> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/msgpack")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        if !keep {
            let close = HeaderValue::from_static("close");
            request.headers_mut().insert(CONNECTION, close);
        }
        let client = self.client.borrow().clone();
        let exchange = async {
            let response = client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, body))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => {
                if self.single_host {
                    *self.client.borrow_mut() =
                        Self::build_client(self.idle_per_host, self.idle_timeout);
                }
                None
            }
        }
    }
}

fn decode_body<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    protocol::decode(body).ok()
}

/// Percent-encodes what a query value may not hold as it is.
fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/' => {
                escaped.push(byte as char)
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

/// A request as it goes over HTTP.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpRequest {
    pub method: Method,
    pub path: String,
    pub body: Vec<u8>,
}

impl HttpRequest {
    fn get(path: impl Into<String>) -> Self {
        HttpRequest {
            method: Method::GET,
            path: path.into(),
            body: Vec::new(),
        }
    }

    fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        HttpRequest {
            method: Method::POST,
            path: path.into(),
            body,
        }
    }
}

/// A request to the state service in its wire form.
pub fn state_request(request: &StateRequest) -> HttpRequest {
    match request {
        StateRequest::List {
            prefix,
            after,
            limit,
        } => {
            let after = after
                .as_deref()
                .map(|key| format!("&after={}", percent_encode(key)))
                .unwrap_or_default();
            HttpRequest::get(format!("/kv?starts={prefix}{after}&limit={limit}"))
        }
        StateRequest::Get { key } => HttpRequest::get(format!("/kv/{key}")),
        StateRequest::Txn(txn) => HttpRequest::post("/txn", protocol::encode(txn)),
        StateRequest::Grant { ttl_ms } => {
            let body = protocol::encode(&LeaseRequest { ttl_ms: *ttl_ms });
            HttpRequest::post("/holds", body)
        }
        StateRequest::Touch { lease } => {
            HttpRequest::post(format!("/holds/{lease}/touch"), EMPTY_MSGPACK_MAP.to_vec())
        }
        StateRequest::Release { lease } => HttpRequest {
            method: Method::DELETE,
            path: format!("/holds/{lease}"),
            body: Vec::new(),
        },
        StateRequest::Changes {
            prefix,
            after,
            hold_ms,
        } => HttpRequest::get(format!(
            "/changes?starts={prefix}&after={after}&hold_ms={hold_ms}"
        )),
    }
}

/// A request to the cloud in its wire form.
pub fn cloud_request(request: &CloudRequest) -> HttpRequest {
    match request {
        CloudRequest::Types => HttpRequest::get("/machine_types"),
        CloudRequest::Rent(rent) => HttpRequest::post("/machines", protocol::encode(rent)),
        CloudRequest::Delete(names) => {
            let names = MachineNames {
                machines: names.clone(),
            };
            HttpRequest::post("/machines/delete", protocol::encode(&names))
        }
        CloudRequest::List { after } => {
            let after = after
                .as_deref()
                .map(|name| format!("after={}&", percent_encode(name)))
                .unwrap_or_default();
            HttpRequest::get(format!("/machines?{after}limit=500"))
        }
    }
}

/// Orders to a worker in their wire form; without any, a request for its report.
pub fn worker_request(orders: Option<&DirectOrders>) -> HttpRequest {
    match orders {
        Some(orders) => HttpRequest::post("/commands", protocol::encode(orders)),
        None => HttpRequest::get("/status"),
    }
}

/// Speaks to the state service.
pub struct StateClient {
    http: HttpClient,
    watch_http: HttpClient,
    addr: String,
}

impl StateClient {
    pub fn new(addr: SocketAddrV4) -> Self {
        StateClient {
            http: HttpClient::new(8, IDLE_TIMEOUT, true),
            watch_http: HttpClient::new(1, IDLE_TIMEOUT, true),
            addr: addr.to_string(),
        }
    }

    pub async fn call(
        &self,
        request: &StateRequest,
        timeout: Duration,
    ) -> Result<StateReply, StateError> {
        let HttpRequest { method, path, body } = state_request(request);
        let pool = match request {
            StateRequest::Changes { hold_ms, .. } if *hold_ms > 0 => &self.watch_http,
            _ => &self.http,
        };
        let (status, body) = pool
            .call(method, &self.addr, &path, body, true, timeout)
            .await
            .ok_or(StateError::NoAnswer)?;
        let reply = match (request, status) {
            (StateRequest::List { .. }, 200) => decode_body::<Page>(&body).map(StateReply::Page),
            (StateRequest::Get { .. }, 200) => decode_body::<Row>(&body).map(StateReply::Row),
            (StateRequest::Get { .. }, 404) => Some(StateReply::Missing),
            (StateRequest::Txn(_), 200) => {
                decode_body::<Committed>(&body).map(|done| StateReply::Committed(done.revision))
            }
            (StateRequest::Txn(_), 409) => {
                decode_body::<Conflict>(&body).map(|conflict| StateReply::Conflict(conflict.failed))
            }
            (StateRequest::Txn(_), 400) => {
                tracing::debug!(body = %String::from_utf8_lossy(&body), "transaction refused");
                Some(StateReply::NoLease)
            }
            (StateRequest::Grant { .. }, 200) => {
                decode_body::<Lease>(&body).map(|lease| StateReply::Granted(lease.id))
            }
            (StateRequest::Touch { .. } | StateRequest::Release { .. }, 200..=204) => {
                Some(StateReply::Touched)
            }
            (StateRequest::Touch { .. } | StateRequest::Release { .. }, 404) => {
                Some(StateReply::NoLease)
            }
            (StateRequest::Changes { .. }, 200) => {
                decode_body::<Changes>(&body).map(StateReply::Changes)
            }
            (StateRequest::Changes { .. }, 410) => Some(StateReply::TooOld),
            (_, status) => return Err(StateError::Refused(status)),
        };
        reply.ok_or(StateError::NoAnswer)
    }
}

const EMPTY_MSGPACK_MAP: &[u8] = &[0x80];

pub struct CloudClient {
    http: HttpClient,
    addr: String,
}

impl CloudClient {
    pub fn new(addr: SocketAddrV4) -> Self {
        CloudClient {
            http: HttpClient::new(2, IDLE_TIMEOUT, true),
            addr: addr.to_string(),
        }
    }

    pub async fn call(
        &self,
        request: &CloudRequest,
        timeout: Duration,
    ) -> Result<CloudReply, CloudError> {
        let HttpRequest { method, path, body } = cloud_request(request);
        let (status, body) = self
            .http
            .call(method, &self.addr, &path, body, true, timeout)
            .await
            .ok_or(CloudError::NoAnswer)?;
        let reply = match (request, status) {
            (CloudRequest::Types, 200) => decode_body(&body).map(CloudReply::Types),
            (CloudRequest::Rent(_), 200) => {
                decode_body::<MachineNames>(&body).map(|names| CloudReply::Rented(names.machines))
            }
            (CloudRequest::Rent(_), 503) => {
                // "no capacity" is an answer; any other 503 is the cloud's own trouble.
                if body.windows(11).any(|part| part == b"no capacity") {
                    Some(CloudReply::NoCapacity)
                } else {
                    return Err(CloudError::Refused(503));
                }
            }
            (CloudRequest::Delete(_), 200..=204) => Some(CloudReply::Deleted),
            (CloudRequest::List { .. }, 200) => decode_body(&body).map(CloudReply::List),
            (_, status) => return Err(CloudError::Refused(status)),
        };
        reply.ok_or(CloudError::NoAnswer)
    }
}

pub struct WorkerClient {
    http: HttpClient,
    call_permits: Semaphore,
    /// How many connections may be kept for the next orders, and how many calls there were lately.
    max_idle_connections: usize,
    recent_calls: RefCell<RecentCallCounter>,
    metrics: Arc<Metrics>,
}

impl WorkerClient {
    /// At most `calls` calls are under way, and about `kept` connections are kept for the next ones.
    pub fn new(calls: usize, kept: usize, metrics: Arc<Metrics>) -> Self {
        WorkerClient {
            http: HttpClient::new(1, WORKER_IDLE_TIMEOUT, false),
            call_permits: Semaphore::new(calls),
            max_idle_connections: kept,
            recent_calls: RefCell::new(RecentCallCounter::new()),
            metrics,
        }
    }

    /// Sends orders, or only asks for the report. None: no usable answer.
    pub async fn call(
        &self,
        addr: &str,
        orders: Option<&DirectOrders>,
        timeout: Duration,
    ) -> Option<WorkerReply> {
        let HttpRequest { method, path, body } = worker_request(orders);
        // Never closed.
        let place = self.call_permits.acquire().await.ok()?;
        let keep = self.recent_calls.borrow_mut().record_call() <= self.max_idle_connections;
        if !keep {
            self.metrics.record_shed(ShedConnection::IdleToWorker);
        }
        let answer = self.http.call(method, addr, &path, body, keep, timeout);
        let answer = answer.await;
        drop(place);
        let (status, body) = answer?;
        match status {
            200 => decode_body(&body).map(WorkerReply::Executed),
            409 => decode_body(&body).map(WorkerReply::Rejected),
            _ => None,
        }
    }
}
