//! The state service, as PROTOCOL describes it. Each controller has an address of its own for it.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::http::{self, Answer, Call};

const KEPT_CHANGES: usize = 10_000;

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub latency_ms: u64,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Bucket {
            rate,
            tokens: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}

struct Store {
    limits: Limits,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    log: VecDeque<(u64, String, Value)>,
    dropped_to: u64,
    requests: Bucket,
    writes: Bucket,
    refused: u64,
}

#[derive(Clone)]
pub struct StateService {
    store: Rc<RefCell<Store>>,
    changed: Rc<Notify>,
}

impl StateService {
    /// Starts the service with an address for each of `nodes` controllers.
    pub fn start(limits: Limits, nodes: usize) -> (Self, Vec<SocketAddr>) {
        let store = Store {
            limits,
            keys: BTreeMap::new(),
            revision: 1,
            leases: HashMap::new(),
            next_lease: 1,
            log: VecDeque::new(),
            dropped_to: 0,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            refused: 0,
        };
        let state = StateService {
            store: Rc::new(RefCell::new(store)),
            changed: Rc::new(Notify::new()),
        };
        let addrs = (0..nodes)
            .map(|_| {
                let (listener, addr) = http::bind();
                let state = state.clone();
                http::serve(listener, move |request| state.clone().answer(request));
                addr
            })
            .collect();
        let expiry = state.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                expiry.expire_leases();
            }
        });
        (state, addrs)
    }

    /// Requests that were over the rate limits.
    pub fn refused(&self) -> u64 {
        self.store.borrow().refused
    }

    /// The label of the leader, by the key that the controllers keep.
    pub fn leader(&self) -> Option<String> {
        let store = self.store.borrow();
        let (value, ..) = store.keys.get("shared/leader")?;
        value["node"].as_str().map(str::to_owned)
    }

    fn expire_leases(&self) {
        let mut store = self.store.borrow_mut();
        let now = Instant::now();
        let expired: Vec<u64> = store
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            store.end_lease(lease);
            self.changed.notify_waiters();
        }
    }

    async fn answer(self, request: Call) -> Answer {
        let latency = self.store.borrow().limits.latency_ms;
        tokio::time::sleep(Duration::from_millis(latency)).await;
        let body = http::decode(&request.body).unwrap_or(Value::Null);
        let writes = body["then"].as_array().map_or(0, Vec::len);
        {
            let mut store = self.store.borrow_mut();
            let allowed = store.requests.take(1.0);
            if !allowed || writes > 0 && !store.writes.take(writes as f64) {
                store.refused += 1;
                return Some((429, json!({"error": "too many"})));
            }
        }
        let parts: Vec<&str> = request
            .path
            .trim_start_matches('/')
            .splitn(2, '/')
            .collect();
        match (request.method.as_str(), parts[0], parts.get(1).copied()) {
            ("GET", "kv", None | Some("")) => Some(self.store.borrow().list(&request)),
            ("GET", "kv", Some(key)) => Some(self.store.borrow().get(key)),
            ("POST", "txn", _) => {
                let answer = self.store.borrow_mut().transact(&body);
                self.changed.notify_waiters();
                Some(answer)
            }
            ("POST", "holds", None) => Some(self.store.borrow_mut().grant(&body)),
            ("POST", "holds", Some(rest)) => {
                let lease = rest.trim_end_matches("/touch").parse().unwrap_or(0);
                Some(self.store.borrow_mut().touch(lease))
            }
            ("DELETE", "holds", Some(lease)) => {
                let lease = lease.parse().unwrap_or(0);
                let mut store = self.store.borrow_mut();
                let known = store.leases.contains_key(&lease);
                store.end_lease(lease);
                drop(store);
                self.changed.notify_waiters();
                Some((if known { 200 } else { 404 }, json!({})))
            }
            ("GET", "changes", _) => self.watch(&request).await,
            _ => Some((400, json!({"error": "malformed"}))),
        }
    }

    async fn watch(&self, request: &Call) -> Answer {
        let prefix = request.query("starts").unwrap_or("").to_owned();
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let hold: u64 = number("hold_ms").unwrap_or(0).min(60_000);
        let until = Instant::now() + Duration::from_millis(hold);
        loop {
            let changed = self.changed.notified();
            {
                let store = self.store.borrow();
                if after < store.dropped_to {
                    return Some((410, json!({"error": "too old"})));
                }
                let first = store
                    .log
                    .partition_point(|(revision, ..)| *revision <= after);
                let news: Vec<Value> = store
                    .log
                    .range(first..)
                    .filter(|(_, key, _)| key.starts_with(&prefix))
                    .map(|(.., event)| event.clone())
                    .collect();
                if !news.is_empty() || Instant::now() >= until {
                    return Some((200, json!({"ledger": store.revision, "news": news})));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            let pause = left.clamp(Duration::from_millis(5), Duration::from_millis(500));
            let _ = tokio::time::timeout(pause, changed).await;
        }
    }
}

impl Store {
    fn record(&mut self, key: String, event: Value) {
        self.log.push_back((self.revision, key, event));
        while self.log.len() > KEPT_CHANGES {
            if let Some((revision, ..)) = self.log.pop_front() {
                self.dropped_to = revision;
            }
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (.., held))| *held == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if attached.is_empty() {
            return;
        }
        self.revision += 1;
        for key in attached {
            self.keys.remove(&key);
            let event = json!({"delete": key, "stamp": self.revision});
            self.record(key, event);
        }
    }

    fn get(&self, key: &str) -> (u16, Value) {
        match self.keys.get(key) {
            Some((value, stamp, permit)) => {
                let mut row = json!({"path": key, "v": value, "stamp": stamp});
                if let Some(permit) = permit {
                    row["permit"] = json!(permit);
                }
                (200, row)
            }
            None => (404, json!({"ledger": self.revision})),
        }
    }

    fn list(&self, request: &Call) -> (u16, Value) {
        let prefix = request.query("starts").unwrap_or("");
        let after = request.query("after").unwrap_or("");
        let limit = request.query("limit").and_then(|text| text.parse().ok());
        let limit: usize = limit.unwrap_or(1000).min(1000);
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        let range = self.keys.range(prefix.to_owned()..);
        for (key, (value, stamp, _)) in range.take_while(|(key, _)| key.starts_with(prefix)) {
            if key.as_str() <= after && !after.is_empty() {
                continue;
            }
            let row = json!({"path": key, "v": value, "stamp": stamp});
            bytes += row.to_string().len();
            if rows.len() >= limit || bytes > 512 * 1024 && !rows.is_empty() {
                more = true;
                break;
            }
            rows.push(row);
        }
        let body = json!({"rows": rows, "has_next": more, "ledger": self.revision});
        (200, body)
    }

    fn transact(&mut self, txn: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let conditions = txn["if"].as_array().unwrap_or(&empty);
        let writes = txn["then"].as_array().unwrap_or(&empty);
        let too_large = writes.len() > self.limits.txn_ops
            || conditions.len() > 4 * self.limits.txn_ops
            || http::encode(txn).len() > 64 * 1024
            || writes.iter().any(|write| {
                http::encode(&write["v"]).len() as f64 > self.limits.value_kb * 1024.0
            });
        if too_large {
            return (400, json!({"error": "too large"}));
        }
        let lost = writes.iter().any(|write| {
            write["permit"]
                .as_u64()
                .is_some_and(|id| !self.leases.contains_key(&id))
        });
        if lost {
            return (400, json!({"error": "no such lease"}));
        }
        let failed: Vec<&str> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition["path"].as_str()?;
                let stamp = self.keys.get(key).map_or(0, |(_, stamp, _)| *stamp);
                (condition["stamp"].as_u64() != Some(stamp)).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.revision}));
        }
        if !writes.is_empty() {
            self.revision += 1;
        }
        for write in writes {
            let stamp = self.revision;
            if let Some(key) = write["set"].as_str() {
                let value = write["v"].clone();
                let permit = write["permit"].as_u64();
                let event = json!({"set": key, "v": value, "stamp": stamp});
                self.keys.insert(key.to_owned(), (value, stamp, permit));
                self.record(key.to_owned(), event);
            } else if let Some(key) = write["delete"].as_str()
                && self.keys.remove(key).is_some()
            {
                self.record(key.to_owned(), json!({"delete": key, "stamp": stamp}));
            }
        }
        (200, json!({"ledger": self.revision}))
    }

    fn grant(&mut self, body: &Value) -> (u16, Value) {
        let life = body["life_ms"].as_u64().unwrap_or(0);
        if !(100..=600_000).contains(&life) {
            return (400, json!({"error": "malformed"}));
        }
        let life = Duration::from_millis(life);
        self.next_lease += 1;
        let until = Instant::now() + life;
        self.leases.insert(self.next_lease, (until, life));
        (200, json!({"permit": self.next_lease}))
    }

    fn touch(&mut self, lease: u64) -> (u16, Value) {
        match self.leases.get_mut(&lease) {
            Some((until, life)) => {
                *until = Instant::now() + *life;
                (200, json!({}))
            }
            None => (404, json!({"error": "no such lease"})),
        }
    }
}
