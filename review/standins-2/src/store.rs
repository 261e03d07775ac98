//! The state service: keys, leases, transactions and watches, with its limits. Each controller has an address of its own,
//! so that the service can refuse one of them alone.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{SocketAddr, TcpListener},
    ops::Bound,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Request},
    map,
    value::V,
};

/// The number of changes that watches can still ask for.
const RETAINED_CHANGES: usize = 10_000;
const MAX_ROWS: usize = 1000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
const MAX_TXN_BYTES: usize = 64 * 1024;
const LATENCY: Duration = Duration::from_millis(2);

/// The limits of the service, as in the settings.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Row {
    value: V,
    stamp: u64,
    permit: Option<u64>,
}

struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Takes tokens from a bucket that holds one second's worth.
    fn take(&mut self, rate: f64, amount: f64) -> bool {
        let now = Instant::now();
        self.tokens =
            (self.tokens + now.duration_since(self.filled_at).as_secs_f64() * rate).min(rate);
        self.filled_at = now;
        let allowed = self.tokens >= amount;
        if allowed {
            self.tokens -= amount;
        }
        allowed
    }
}

struct Data {
    limits: Limits,
    ledger: u64,
    rows: BTreeMap<String, Row>,
    changes: VecDeque<(u64, String, Option<V>)>,
    /// The revision of the last change that is no longer retained.
    dropped: u64,
    /// By lease: when it ends, and its duration.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
    refusals: BTreeMap<String, u64>,
}

/// A running state service.
#[derive(Clone)]
pub struct Store {
    data: Arc<Mutex<Data>>,
    changed: Arc<Condvar>,
    pub addrs: Vec<SocketAddr>,
}

impl Store {
    /// Starts the service with an address for each of `controllers` controllers.
    pub fn start(limits: Limits, controllers: usize) -> Self {
        let now = Instant::now();
        let listeners: Vec<_> = (0..controllers)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let store = Store {
            data: Arc::new(Mutex::new(Data {
                limits,
                ledger: 0,
                rows: BTreeMap::new(),
                changes: VecDeque::new(),
                dropped: 0,
                leases: BTreeMap::new(),
                last_lease: 0,
                requests: Bucket {
                    tokens: limits.rps,
                    filled_at: now,
                },
                writes: Bucket {
                    tokens: limits.write_rps,
                    filled_at: now,
                },
                refusals: BTreeMap::new(),
            })),
            changed: Arc::new(Condvar::new()),
            addrs: listeners
                .iter()
                .map(|listener| listener.local_addr().expect("an address"))
                .collect(),
        };
        for listener in listeners {
            let store = store.clone();
            http::serve(listener, move |request| store.answer(&request));
        }
        let sweeper = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                sweeper.end_leases();
            }
        });
        store
    }

    /// The label in the leader's key.
    pub fn leader(&self) -> Option<String> {
        let data = self.data.lock().expect("no thread panics");
        data.rows
            .get("shared/leader")
            .map(|row| row.value.get("node").text().to_owned())
    }

    /// The counts of refused requests, by reason.
    pub fn refusals(&self) -> BTreeMap<String, u64> {
        self.data.lock().expect("no thread panics").refusals.clone()
    }

    fn end_leases(&self) {
        let mut data = self.data.lock().expect("no thread panics");
        let now = Instant::now();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (ends_at, _))| *ends_at < now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            end_lease(&mut data, lease);
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        std::thread::sleep(LATENCY);
        let mut data = self.data.lock().expect("no thread panics");
        let path = request.path.as_str();
        let writes = if path == "/txn" {
            request.body.get("then").list().len()
        } else {
            0
        };
        let (rps, write_rps) = (data.limits.rps, data.limits.write_rps);
        if !data.requests.take(rps, 1.0)
            || writes > 0 && !data.writes.take(write_rps, writes as f64)
        {
            *data.refusals.entry("429".into()).or_default() += 1;
            return Answer::Reply(429, map! {"error" => "too many"});
        }
        let (status, body) = match (request.method.as_str(), path) {
            ("GET", "/kv") => list(&data, request),
            ("GET", "/changes") => return self.changes(data, request),
            ("POST", "/txn") => {
                let result = transact(&mut data, &request.body);
                self.changed.notify_all();
                result
            }
            ("POST", "/holds") => {
                let duration =
                    Duration::from_millis(request.body.get("life_ms").int().unwrap_or(100));
                data.last_lease += 1;
                let lease = data.last_lease;
                data.leases
                    .insert(lease, (Instant::now() + duration, duration));
                (200, map! {"permit" => lease})
            }
            ("GET", key) if key.starts_with("/kv/") => match data.rows.get(&key[4..]) {
                Some(row) => (200, row_value(&key[4..], row)),
                None => (404, map! {"ledger" => data.ledger}),
            },
            (method, hold) if hold.starts_with("/holds/") => {
                let id = hold[7..].trim_end_matches("/touch").parse().unwrap_or(0);
                let known = data.leases.contains_key(&id);
                if known && method == "DELETE" {
                    end_lease(&mut data, id);
                    self.changed.notify_all();
                } else if let Some((ends_at, duration)) = data.leases.get_mut(&id) {
                    *ends_at = Instant::now() + *duration;
                }
                (if known { 200 } else { 404 }, map! {})
            }
            _ => (400, map! {"error" => "malformed"}),
        };
        if status == 400 {
            *data
                .refusals
                .entry(format!("400 {}", body.get("error").text()))
                .or_default() += 1;
        }
        Answer::Reply(status, body)
    }

    fn changes(&self, data: std::sync::MutexGuard<'_, Data>, request: &Request) -> Answer {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (after, hold_ms) = (number("after"), number("hold_ms").min(60_000));
        let prefix = request.query("starts").unwrap_or("").to_owned();
        let deadline = Instant::now() + Duration::from_millis(hold_ms);
        let mut data = data;
        loop {
            if after < data.dropped {
                return Answer::Reply(410, map! {"error" => "too old"});
            }
            let first = data.changes.partition_point(|(stamp, ..)| *stamp <= after);
            let matching = data
                .changes
                .range(first..)
                .filter(|(_, key, _)| key.starts_with(&prefix));
            let news: Vec<V> = matching
                .map(|(stamp, key, value)| match value {
                    Some(value) => {
                        map! {"set" => key.clone(), "v" => value.clone(), "stamp" => *stamp}
                    }
                    None => map! {"delete" => key.clone(), "stamp" => *stamp},
                })
                .collect();
            if !news.is_empty() || Instant::now() >= deadline {
                return Answer::Reply(200, map! {"ledger" => data.ledger, "news" => V::List(news)});
            }
            let wait = deadline
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(50));
            data = self
                .changed
                .wait_timeout(data, wait.min(Duration::from_secs(1)))
                .expect("no thread panics")
                .0;
        }
    }
}

fn row_value(key: &str, row: &Row) -> V {
    map! {"path" => key, "v" => row.value.clone(), "stamp" => row.stamp,
    "permit" => row.permit.map_or(V::Null, V::from)}
}

fn list(data: &Data, request: &Request) -> (u16, V) {
    let prefix = request.query("starts").unwrap_or("");
    let limit = request
        .query("limit")
        .and_then(|text| text.parse().ok())
        .unwrap_or(MAX_ROWS)
        .min(MAX_ROWS);
    let from = match request.query("after") {
        Some(after) if after >= prefix => Bound::Excluded(after),
        _ => Bound::Included(prefix),
    };
    let mut rows = Vec::new();
    let mut bytes = 0;
    let mut has_next = false;
    for (key, row) in data.rows.range::<str, _>((from, Bound::Unbounded)) {
        if !key.starts_with(prefix) {
            break;
        }
        let value = row_value(key, row);
        bytes += value.json().len();
        if rows.len() == limit || (bytes > MAX_PAGE_BYTES && !rows.is_empty()) {
            has_next = true;
            break;
        }
        rows.push(value);
    }
    (
        200,
        map! {"rows" => V::List(rows), "has_next" => has_next, "ledger" => data.ledger},
    )
}

fn transact(data: &mut Data, txn: &V) -> (u16, V) {
    let (conditions, writes) = (txn.get("if").list(), txn.get("then").list());
    let limits = data.limits;
    let refused = |why: String| (400, map! {"error" => why});
    if writes.len() > limits.txn_ops || conditions.len() > 4 * limits.txn_ops {
        return refused("too many operations".into());
    }
    if txn.json().len() > MAX_TXN_BYTES {
        return refused("too large a transaction".into());
    }
    for write in writes {
        if write.get("v").json().len() as f64 > limits.value_kb * 1024.0 {
            return refused("too large a value".into());
        }
        if let Some(permit) = write.get("permit").int()
            && !data.leases.contains_key(&permit)
        {
            return refused("no such lease".into());
        }
    }
    let failed: Vec<V> = conditions
        .iter()
        .filter(|condition| {
            let current = data
                .rows
                .get(condition.get("path").text())
                .map_or(0, |row| row.stamp);
            Some(current) != condition.get("stamp").int()
        })
        .map(|condition| condition.get("path").clone())
        .collect();
    if !failed.is_empty() {
        return (
            409,
            map! {"failed" => V::List(failed), "ledger" => data.ledger},
        );
    }
    if writes.is_empty() {
        return (200, map! {"ledger" => data.ledger});
    }
    data.ledger += 1;
    for write in writes {
        let (set, deleted) = (write.get("set").text(), write.get("delete").text());
        if set.is_empty() {
            data.rows.remove(deleted);
            record_change(data, deleted.to_owned(), None);
        } else {
            let (value, stamp) = (write.get("v").clone(), data.ledger);
            let row = Row {
                value: value.clone(),
                stamp,
                permit: write.get("permit").int(),
            };
            data.rows.insert(set.to_owned(), row);
            record_change(data, set.to_owned(), Some(value));
        }
    }
    (200, map! {"ledger" => data.ledger})
}

fn record_change(data: &mut Data, key: String, value: Option<V>) {
    data.changes.push_back((data.ledger, key, value));
    while data.changes.len() > RETAINED_CHANGES {
        if let Some((stamp, ..)) = data.changes.pop_front() {
            data.dropped = stamp;
        }
    }
}

fn end_lease(data: &mut Data, lease: u64) {
    data.leases.remove(&lease);
    let attached = data
        .rows
        .iter()
        .filter(|(_, row)| row.permit == Some(lease));
    let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
    if !attached.is_empty() {
        data.ledger += 1;
    }
    for key in attached {
        data.rows.remove(&key);
        record_change(data, key, None);
    }
}
