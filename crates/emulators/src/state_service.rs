//! The state service: a [`StateStore`] served over HTTP, with rate limits, latency and counters.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use dalelb::{
    protocol::{self, state::*},
    storage as schema,
};
use http::Response;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{net::TcpListener, sync::Notify};
use warp::Filter;

use crate::{
    responses::msgpack_response,
    state_store::{StateStore, StoreLimits},
};

/// How often a waiting watch checks for expired leases; writes wake it immediately.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of changes that the service retains for watches.
const MAX_RETAINED_CHANGES: usize = 10_000;

/// Rate limits and latency of the service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRates {
    /// Requests per second; `None`: unlimited.
    pub rps: Option<f64>,
    /// Puts and deletes per second; `None`: unlimited.
    pub write_rps: Option<f64>,
    /// Latency added to every response.
    pub latency: Duration,
}

impl ServiceRates {
    /// No rate limits and no latency.
    pub const UNLIMITED: ServiceRates = ServiceRates {
        rps: None,
        write_rps: None,
        latency: Duration::ZERO,
    };
}

/// Counters since the start of the service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RequestCounters {
    /// Requests by kind.
    pub requests: BTreeMap<String, u64>,
    /// Puts and deletes in transactions that passed the rate limits.
    pub writes: u64,
    /// Bytes of all transactions as encoded in MessagePack.
    pub txn_bytes: u64,
    /// Requests rejected with status 429.
    #[serde(rename = "refused")]
    pub rate_limited: u64,
}

impl RequestCounters {
    /// Requests of all kinds.
    pub fn total(&self) -> u64 {
        self.requests.values().sum()
    }
}

/// A token bucket whose capacity is one second's rate.
struct TokenBucket {
    rate_per_s: Option<f64>,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(per_second: Option<f64>) -> Self {
        TokenBucket {
            rate_per_s: per_second,
            tokens: per_second.unwrap_or(0.0),
            refilled_at: Instant::now(),
        }
    }

    fn try_acquire(&mut self, amount: f64) -> bool {
        let Some(rate) = self.rate_per_s else {
            return true;
        };
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(rate);
        self.refilled_at = now;
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}

struct ServiceState {
    store: StateStore,
    counters: RequestCounters,
    requests: TokenBucket,
    writes: TokenBucket,
}

/// A running state service.
#[derive(Clone)]
pub struct StateServiceEmulator {
    state: Arc<Mutex<ServiceState>>,
    changed: Arc<Notify>,
    latency: Duration,
    started_at: Instant,
}

#[derive(Deserialize)]
struct ListParameters {
    #[serde(default)]
    after: Option<String>,
    #[serde(default)]
    limit: Option<u32>,
    #[serde(default)]
    hold_ms: Option<u64>,
    starts: Option<String>,
}

/// Maps the requested prefix to the constant that requests contain; panics for any other prefix.
fn static_prefix(query: &ListParameters) -> &'static str {
    match query.starts.as_deref() {
        Some(schema::SHARED_PREFIX) => schema::SHARED_PREFIX,
        Some(schema::CLUSTER_PREFIX) => schema::CLUSTER_PREFIX,
        Some(schema::QUOTA_PREFIX) => schema::QUOTA_PREFIX,
        other => panic!("unexpected prefix {other:?}"),
    }
}

fn request_kind(request: &StateRequest) -> &'static str {
    match request {
        StateRequest::List { .. } => "list",
        StateRequest::Get { .. } => "get",
        StateRequest::Txn(_) => "txn",
        StateRequest::GrantLease { .. } => "grant",
        StateRequest::RenewLease { .. } => "touch",
        StateRequest::ReleaseLease { .. } => "release",
        StateRequest::Changes { max_wait_ms: 0, .. } => "sync",
        StateRequest::Changes { .. } => "watch",
    }
}

fn response_for(result: StateReply) -> Response<Bytes> {
    match result {
        StateReply::Page(page) => msgpack_response(200, &page),
        StateReply::KeyValue(row) => msgpack_response(200, &row),
        StateReply::Missing => msgpack_response(404, &json!({"ledger": 1})),
        StateReply::Committed(revision) => msgpack_response(200, &Committed { revision }),
        StateReply::Conflict(failed) => msgpack_response(409, &Conflict { failed }),
        StateReply::Granted(id) => msgpack_response(200, &Lease { id }),
        StateReply::LeaseUpdated => msgpack_response(200, &json!({})),
        StateReply::LeaseNotFound => msgpack_response(404, &json!({"error": "no such lease"})),
        StateReply::Changes(changes) => msgpack_response(200, &changes),
        StateReply::RevisionCompacted => msgpack_response(410, &json!({})),
    }
}

impl StateServiceEmulator {
    /// Starts serving on `listener`, until the runtime shuts down.
    pub fn start(listener: TcpListener, limits: StoreLimits, rates: ServiceRates) -> Self {
        let mut store = StateStore::new(limits);
        store.max_retained_changes = MAX_RETAINED_CHANGES;
        // Nodes watch only this prefix. Retaining the changes of all other keys would take gigabytes.
        store.watched_prefix = Some(schema::SHARED_PREFIX);
        let service = StateServiceEmulator {
            state: Arc::new(Mutex::new(ServiceState {
                store,
                counters: RequestCounters::default(),
                requests: TokenBucket::new(rates.rps),
                writes: TokenBucket::new(rates.write_rps),
            })),
            changed: Arc::new(Notify::new()),
            latency: rates.latency,
            started_at: Instant::now(),
        };
        tokio::spawn(
            warp::serve(service.clone().routes())
                .incoming(listener)
                .run(),
        );
        service
    }

    fn lock_state(&self) -> MutexGuard<'_, ServiceState> {
        self.state
            .lock()
            .expect("lock of the state service poisoned")
    }

    /// The counters so far.
    pub fn counters(&self) -> RequestCounters {
        self.lock_state().counters.clone()
    }

    /// Stores values without conditions and without retaining them as changes for watches.
    pub fn preload(&self, values: impl Iterator<Item = (String, serde_json::Value)>) {
        let mut state = self.lock_state();
        state.store.revision += 1;
        let revision = state.store.revision;
        for (key, value) in values {
            state.store.keys.insert(key, (value, revision, None));
        }
    }

    /// Number of stored keys, and the bytes of keys and values as JSON.
    pub fn stored_keys_and_bytes(&self) -> (u64, u64) {
        let state = self.lock_state();
        let sizes = state.store.keys.iter();
        let bytes = sizes.map(|(key, (value, ..))| (key.len() + value.to_string().len()) as u64);
        (state.store.keys.len() as u64, bytes.sum())
    }

    fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    async fn serve(self, request: StateRequest, bytes: u64) -> Result<Response<Bytes>, Infallible> {
        if let Some(rejection) = self.check_rate_limits(&request, bytes) {
            return Ok(rejection);
        }
        if !self.latency.is_zero() {
            tokio::time::sleep(self.latency).await;
        }
        let received_at = Instant::now();
        loop {
            let change = self.changed.notified();
            if let Some(reply) = self.execute(&request, received_at.elapsed()) {
                return Ok(response_for(reply));
            }
            let _ = tokio::time::timeout(LEASE_CHECK_INTERVAL, change).await;
        }
    }

    /// Counts the request; returns a rejection if it exceeds a rate limit.
    fn check_rate_limits(&self, request: &StateRequest, bytes: u64) -> Option<Response<Bytes>> {
        let mut state = self.lock_state();
        let request_count = state
            .counters
            .requests
            .entry(request_kind(request).to_owned());
        *request_count.or_default() += 1;
        state.counters.txn_bytes += bytes;
        let writes = match request {
            StateRequest::Txn(txn) => txn.writes.len(),
            _ => 0,
        };
        let allowed = state.requests.try_acquire(1.0)
            && (writes == 0 || state.writes.try_acquire(writes as f64));
        if allowed {
            state.counters.writes += writes as u64;
            return None;
        }
        state.counters.rate_limited += 1;
        Some(msgpack_response(429, &json!({"error": "too many"})))
    }

    /// Executes the request, which has `waited` already; `None`: a watch that has to keep waiting.
    fn execute(&self, request: &StateRequest, waited: Duration) -> Option<StateReply> {
        let now = self.elapsed_ms();
        let mut state = self.lock_state();
        state.store.expire_leases(now);
        let mut request = request.clone();
        if let StateRequest::Changes { max_wait_ms, .. } = &mut request {
            *max_wait_ms = max_wait_ms.saturating_sub(waited.as_millis() as u64);
        }
        let before = state.store.revision;
        let reply = state.store.execute(&request, now);
        if state.store.revision != before {
            self.changed.notify_waiters();
        }
        reply
    }

    #[expect(clippy::too_many_lines, reason = "still to be split")]
    fn routes(
        self,
    ) -> impl Filter<Extract = (Response<Bytes>,), Error = warp::Rejection> + Clone + Send + Sync + 'static
    {
        let with_service = warp::any().map(move || self.clone());
        let get = with_service
            .clone()
            .and(warp::path("kv"))
            .and(warp::path::tail())
            .and(warp::query::<ListParameters>())
            .and(warp::get())
            .and_then(
                |service: Self, key: warp::path::Tail, query: ListParameters| {
                    let request = if key.as_str().is_empty() {
                        StateRequest::List {
                            prefix: static_prefix(&query),
                            after: query.after,
                            limit: query.limit.unwrap_or(1000),
                        }
                    } else {
                        StateRequest::Get {
                            key: key.as_str().to_owned(),
                        }
                    };
                    service.serve(request, 0)
                },
            );
        let changes = with_service
            .clone()
            .and(warp::path!("changes"))
            .and(warp::query::<ListParameters>())
            .and_then(|service: Self, query: ListParameters| {
                let request = StateRequest::Changes {
                    prefix: static_prefix(&query),
                    after: query.after.and_then(|n| n.parse().ok()).unwrap_or(0),
                    max_wait_ms: query.hold_ms.unwrap_or(0),
                };
                service.serve(request, 0)
            });
        let txn = with_service
            .clone()
            .and(warp::path!("txn"))
            .and(warp::body::bytes())
            .and_then(|service: Self, body: Bytes| {
                let txn = protocol::decode(&body).expect("a valid transaction");
                service.serve(StateRequest::Txn(txn), body.len() as u64)
            });
        let grant = with_service
            .clone()
            .and(warp::path!("holds"))
            .and(warp::body::bytes())
            .and_then(|service: Self, body: Bytes| {
                let lease: LeaseRequest = protocol::decode(&body).expect("a valid lease request");
                let lease_ttl_ms = lease.ttl_ms;
                service.serve(
                    StateRequest::GrantLease {
                        ttl_ms: lease_ttl_ms,
                    },
                    0,
                )
            });
        let touch = with_service
            .clone()
            .and(warp::path!("holds" / u64 / "touch"))
            .and(warp::post())
            .and_then(|service: Self, lease| service.serve(StateRequest::RenewLease { lease }, 0));
        let release = with_service
            .and(warp::path!("holds" / u64))
            .and(warp::delete())
            .and_then(|service: Self, lease| {
                service.serve(StateRequest::ReleaseLease { lease }, 0)
            });
        let routes = get.or(changes).unify().or(txn).unify().or(grant).unify();
        routes.or(touch).unify().or(release).unify()
    }
}
