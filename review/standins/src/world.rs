//! What the stand-ins share: the record, the submitted jobs, the workers, the cloud and the controllers.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    fs::File,
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::{
    http::{self, Answer, Call, Client},
    store::Limits,
};

/// Times of the workers, from the settings.
#[derive(Clone, Copy)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// A job as its user submitted it, with the real run time of its tasks (0: until it is stopped).
#[derive(Clone)]
pub struct JobSpec {
    pub body: Value,
    pub run_s: f64,
    /// It was submitted with a mistake: its tasks fail on every machine.
    pub fails: bool,
}

impl JobSpec {
    fn amount(&self, name: &str) -> f64 {
        self.body[name].as_f64().unwrap_or(0.0)
    }
}

/// An event of a task.
#[derive(Clone, Debug)]
pub struct TaskEvent {
    pub at_s: f64,
    pub piece: String,
    pub what: &'static str,
}

#[derive(Clone)]
pub struct World {
    pub started: Instant,
    pub times: Times,
    pub jobs: Rc<RefCell<HashMap<String, JobSpec>>>,
    /// Tasks that completed: their result is kept.
    results: Rc<RefCell<HashSet<String>>>,
    pub events: Rc<RefCell<Vec<TaskEvent>>>,
    record: Rc<RefCell<File>>,
    seed: Rc<Cell<u64>>,
}

impl World {
    pub fn new(times: Times, record: PathBuf) -> Self {
        let file = File::create(record).expect("the record can be written");
        World {
            started: Instant::now(),
            times,
            jobs: Rc::default(),
            results: Rc::default(),
            events: Rc::default(),
            record: Rc::new(RefCell::new(file)),
            seed: Rc::new(Cell::new(seed())),
        }
    }

    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn log(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.now_s(), text.as_ref());
        let _ = self.record.borrow_mut().write_all(line.as_bytes());
    }

    /// A number from 0 to 1.
    pub fn random(&self) -> f64 {
        let mut x = self.seed.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.seed.set(x);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    fn on_task(&self, machine: usize, piece: &str, attempt: u64, what: &'static str) {
        let event = TaskEvent {
            at_s: self.now_s(),
            piece: piece.to_owned(),
            what,
        };
        self.log(format!("machine {machine}: {piece} try {attempt} {what}"));
        self.events.borrow_mut().push(event);
    }
}

/// A seed that differs from run to run.
fn seed() -> u64 {
    let nanos = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| u64::from(since.subsec_nanos()));
    (nanos << 20 ^ u64::from(std::process::id())).max(1)
}

/// A machine type.
#[derive(Clone)]
pub struct MachineType {
    pub sku: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub pull_gb_per_s: f64,
}

struct Held {
    state: &'static str,
    cause: Option<&'static str>,
    kept: bool,
    cpus: f64,
    ram_gb: f64,
    next_at: Option<Instant>,
}

struct WorkerState {
    shift: u64,
    tick: u64,
    baton: u64,
    lease_from: Instant,
    tasks: BTreeMap<(String, u64), Held>,
    images: HashSet<String>,
    changed: bool,
    baton_told: Option<Instant>,
}

/// A worker on a machine of its own.
pub struct Worker {
    pub index: usize,
    pub name: String,
    pub addr: SocketAddr,
    pub yard: String,
    build: MachineType,
    state: RefCell<WorkerState>,
    wake: Notify,
    pub deleted: Cell<bool>,
    /// Leases that expired.
    pub expired: Cell<u32>,
    /// The largest report that was sent, in bytes, and the reports that got another status than 200 or 421.
    pub largest_report: Cell<usize>,
    pub refused_reports: Cell<u32>,
}

impl Worker {
    /// Starts a worker that reports to `controllers` (label and address).
    pub fn start(
        world: &World,
        index: usize,
        build: &MachineType,
        yard: &str,
        controllers: Vec<(String, SocketAddr)>,
    ) -> Rc<Self> {
        let (listener, addr) = http::bind();
        let worker = Rc::new(Worker {
            index,
            name: format!("vm-{:06}", index + 1),
            addr,
            yard: yard.to_owned(),
            build: build.clone(),
            state: RefCell::new(WorkerState {
                shift: 1,
                tick: 0,
                baton: 0,
                lease_from: Instant::now(),
                tasks: BTreeMap::new(),
                images: HashSet::new(),
                changed: false,
                baton_told: None,
            }),
            wake: Notify::new(),
            deleted: Cell::new(false),
            expired: Cell::new(0),
            largest_report: Cell::new(0),
            refused_reports: Cell::new(0),
        });
        let (each, context) = (worker.clone(), world.clone());
        http::serve(listener, move |request| {
            let (worker, world) = (each.clone(), context.clone());
            async move { worker.answer(&world, request) }
        });
        let (each, context) = (worker.clone(), world.clone());
        tokio::task::spawn_local(async move {
            while !each.deleted.get() {
                each.advance(&context);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
        let (each, context) = (worker.clone(), world.clone());
        tokio::task::spawn_local(async move { each.report_loop(&context, controllers).await });
        worker
    }

    pub fn listed(&self) -> Value {
        json!({"id": self.name, "endpoint": self.addr.to_string(), "build": self.build.sku,
               "yard": self.yard, "loaners": false, "status": "running", "held_s": 100.0})
    }

    pub fn running(&self) -> usize {
        let state = self.state.borrow();
        state
            .tasks
            .values()
            .filter(|held| held.state == "running")
            .count()
    }

    /// CPUs and memory that its tasks leave.
    pub fn free(&self) -> (f64, f64) {
        let state = self.state.borrow();
        let live = state.tasks.values().filter(|held| held.state != "ended");
        live.fold(
            (self.build.cpus, self.build.ram_gb),
            |(cpus, ram_gb), held| (cpus - held.cpus, ram_gb - held.ram_gb),
        )
    }

    pub fn listed_tasks(&self) -> usize {
        self.state.borrow().tasks.len()
    }

    fn answer(&self, world: &World, request: Call) -> Answer {
        if self.deleted.get() {
            return None;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => Some((200, self.report())),
            ("POST", "/commands") => {
                let body = http::decode(&request.body).unwrap_or(Value::Null);
                let (Some(baton), Some(shift)) = (body["baton"].as_u64(), body["shift"].as_u64())
                else {
                    return Some((400, json!({"error": "baton or shift is missing"})));
                };
                let matches = {
                    let state = self.state.borrow();
                    baton >= state.baton && shift == state.shift
                };
                if matches {
                    self.execute(world, baton, &body["orders"]);
                }
                Some((if matches { 200 } else { 409 }, self.report()))
            }
            _ => Some((404, json!({}))),
        }
    }

    /// The next report.
    fn report(&self) -> Value {
        let mut state = self.state.borrow_mut();
        state.tick += 1;
        let pieces: Vec<Value> = state
            .tasks
            .iter()
            .map(|((piece, attempt), held)| {
                let mut each = json!({"piece": piece, "try": attempt, "status": held.state});
                if let Some(cause) = held.cause {
                    each["cause"] = json!(cause);
                }
                if held.kept {
                    each["kept"] = json!(true);
                }
                each
            })
            .collect();
        json!({"berth": self.name, "endpoint": self.addr.to_string(), "build": self.build.sku,
               "yard": self.yard, "loaners": false, "shift": state.shift, "tick": state.tick,
               "baton": state.baton, "recall_s": null, "pieces": pieces})
    }

    fn execute(&self, world: &World, baton: u64, orders: &Value) {
        let lease = Duration::from_secs_f64(world.times.lease_s);
        let mut state = self.state.borrow_mut();
        if baton > state.baton {
            state.baton = baton;
            let told = state.baton_told;
            if told.is_none_or(|at| at.elapsed() >= lease / 2) {
                state.baton_told = Some(Instant::now());
                state.changed = true;
            }
        }
        for order in orders.as_array().into_iter().flatten() {
            let piece = order["piece"].as_str().unwrap_or("").to_owned();
            let attempt = order["try"].as_u64().unwrap_or(0);
            match order["verb"].as_str() {
                Some("start") => self.start_task(world, &mut state, piece, attempt),
                Some("kill") => {
                    let wind_down_s = order["wind_down_s"].as_f64().unwrap_or(0.0);
                    self.kill_task(world, &mut state, &piece, attempt, wind_down_s);
                }
                Some("reap") => {
                    let key = (piece, attempt);
                    if state
                        .tasks
                        .get(&key)
                        .is_some_and(|held| held.state == "ended")
                    {
                        state.tasks.remove(&key);
                        state.changed = true;
                    }
                }
                _ => {}
            }
        }
        drop(state);
        self.wake.notify_one();
    }

    fn start_task(&self, world: &World, state: &mut WorkerState, piece: String, attempt: u64) {
        if state.tasks.contains_key(&(piece.clone(), attempt)) {
            return;
        }
        state.changed = true;
        let job = piece.split('/').next().unwrap_or("");
        let spec = world.jobs.borrow().get(job).cloned();
        let refused = |cause| Held {
            state: "ended",
            cause: Some(cause),
            kept: false,
            cpus: 0.0,
            ram_gb: 0.0,
            next_at: None,
        };
        let live = |held: &&Held| held.state != "ended";
        let used_cpus: f64 = state
            .tasks
            .values()
            .filter(live)
            .map(|held| held.cpus)
            .sum();
        let used_ram: f64 = state
            .tasks
            .values()
            .filter(live)
            .map(|held| held.ram_gb)
            .sum();
        let held = match spec {
            None => refused("unknown"),
            Some(_)
                if state
                    .tasks
                    .iter()
                    .any(|((other, _), held)| *other == piece && held.state != "ended") =>
            {
                refused("in_use")
            }
            Some(spec)
                if used_cpus + spec.amount("cpus") > self.build.cpus + 1e-6
                    || used_ram + spec.amount("ram_gb") > self.build.ram_gb + 1e-6 =>
            {
                refused("full")
            }
            Some(spec) => {
                let image = spec.body["kit"].as_str().unwrap_or("").to_owned();
                let fetch_s = if state.images.contains(&image) {
                    0.0
                } else {
                    spec.amount("size_gb") / self.build.pull_gb_per_s
                };
                Held {
                    state: "pulling",
                    cause: None,
                    kept: false,
                    cpus: spec.amount("cpus"),
                    ram_gb: spec.amount("ram_gb"),
                    next_at: Some(Instant::now() + Duration::from_secs_f64(fetch_s)),
                }
            }
        };
        if let Some(cause) = held.cause {
            world.on_task(self.index, &piece, attempt, cause);
        }
        state.tasks.insert((piece, attempt), held);
    }

    fn kill_task(
        &self,
        world: &World,
        state: &mut WorkerState,
        piece: &str,
        attempt: u64,
        wind_down_s: f64,
    ) {
        let job = piece.split('/').next().unwrap_or("");
        let spec = world.jobs.borrow().get(job).cloned();
        let Some(held) = state.tasks.get_mut(&(piece.to_owned(), attempt)) else {
            return;
        };
        if held.state == "ended" || held.state == "flushing" && wind_down_s > 0.0 {
            return;
        }
        state.changed = true;
        let spec = spec.expect("a held task has a job");
        let stash_s = spec.amount("stash_s");
        if held.state == "running" && spec.amount("bookmark_s") > 0.0 && wind_down_s >= stash_s {
            held.state = "flushing";
            held.next_at = Some(Instant::now() + Duration::from_secs_f64(stash_s));
            return;
        }
        (held.state, held.cause, held.next_at) = ("ended", Some("halted"), None);
        world.on_task(self.index, piece, attempt, "killed by command");
    }

    /// Lets time pass: images arrive, tasks end, the lease expires.
    fn advance(&self, world: &World) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if now.duration_since(state.lease_from).as_secs_f64() > world.times.lease_s {
            let tasks = std::mem::take(&mut state.tasks);
            for ((piece, attempt), held) in tasks {
                if held.state != "ended" {
                    world.on_task(self.index, &piece, attempt, "killed as the lease expired");
                }
            }
            state.shift += 1;
            state.lease_from = now;
            state.changed = true;
            self.expired.set(self.expired.get() + 1);
            world.log(format!(
                "machine {}: lease expired, session {} begins",
                self.index, state.shift
            ));
        }
        let due: Vec<(String, u64)> = state
            .tasks
            .iter()
            .filter(|(_, held)| held.next_at.is_some_and(|at| at <= now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            state.changed = true;
            let job = key.0.split('/').next().unwrap_or("");
            let spec = world.jobs.borrow().get(job).cloned().expect("a job");
            let done = world.results.borrow().contains(&key.0);
            let image = spec.body["kit"].as_str().unwrap_or("").to_owned();
            state.images.insert(image);
            let held = state.tasks.get_mut(&key).expect("a task");
            match held.state {
                "pulling" if !done => {
                    held.state = "running";
                    held.next_at =
                        (spec.run_s > 0.0).then(|| now + Duration::from_secs_f64(spec.run_s));
                    world.on_task(self.index, &key.0, key.1, "runs");
                }
                "flushing" => {
                    (held.state, held.cause, held.next_at) = ("ended", Some("halted"), None);
                    held.kept = true;
                    world.on_task(self.index, &key.0, key.1, "saved and ended");
                }
                "running" if spec.fails => {
                    (held.state, held.cause, held.next_at) = ("ended", Some("error"), None);
                    world.on_task(self.index, &key.0, key.1, "error");
                }
                _ => {
                    (held.state, held.cause, held.next_at) = ("ended", Some("done"), None);
                    world.results.borrow_mut().insert(key.0.clone());
                    world.on_task(self.index, &key.0, key.1, "done");
                }
            }
        }
        let wake = state.changed;
        drop(state);
        if wake {
            self.wake.notify_one();
        }
    }

    async fn report_loop(&self, world: &World, controllers: Vec<(String, SocketAddr)>) {
        let mut node = self.index % controllers.len();
        let mut client = Client::new(controllers[node].1);
        let next_interval =
            || Duration::from_secs_f64(world.times.report_s * (0.75 + 0.5 * world.random()));
        let (mut sent, mut interval) = (Instant::now(), Duration::ZERO);
        while !self.deleted.get() {
            loop {
                let changed = self.state.borrow().changed;
                let least = Duration::from_millis(500);
                let due = sent
                    + if changed {
                        interval.min(least)
                    } else {
                        interval
                    };
                let now = Instant::now();
                if now >= due {
                    break;
                }
                let _ = tokio::time::timeout(due - now, self.wake.notified()).await;
            }
            sent = Instant::now();
            interval = next_interval();
            let shift = self.state.borrow().shift;
            let report = self.report();
            self.state.borrow_mut().changed = false;
            let bytes = http::encode(&report).len();
            self.largest_report
                .set(self.largest_report.get().max(bytes));
            let answer = client
                .call("POST", "/checkin", Some(&report), Duration::from_secs(4))
                .await;
            let (mut next, mut pause) = (None, Duration::ZERO);
            match answer {
                Some((200, body)) => self.accept_answer(world, sent, shift, &body),
                Some((421, body)) => {
                    let foreman = body["foreman"].as_str().unwrap_or("");
                    let named = controllers.iter().position(|(label, _)| label == foreman);
                    match named.filter(|named| *named != node) {
                        Some(named) => {
                            next = Some(named);
                            pause = Duration::from_secs_f64(0.5 * world.random());
                        }
                        None => {
                            next = Some((node + 1) % controllers.len());
                            pause = Duration::from_secs(1);
                        }
                    }
                }
                other => {
                    self.refused_reports.set(self.refused_reports.get() + 1);
                    let status = other.map_or("no answer".to_owned(), |(status, body)| {
                        format!("{status} {body}")
                    });
                    let pieces = report["pieces"].as_array().map_or(0, Vec::len);
                    world.log(format!(
                        "machine {}: report of {bytes} bytes with {pieces} tasks to {}: {status}",
                        self.index, controllers[node].0
                    ));
                    next = Some((node + 1) % controllers.len());
                    pause = Duration::from_secs(1);
                }
            }
            if let Some(next) = next {
                node = next;
                client.go_to(controllers[node].1);
                tokio::time::sleep(pause).await;
                interval = Duration::ZERO;
            }
        }
    }

    /// A report's answer: dropped if its token is lower, or if the session has changed.
    fn accept_answer(&self, world: &World, sent: Instant, shift: u64, body: &Value) {
        {
            let mut state = self.state.borrow_mut();
            let baton = body["baton"].as_u64();
            if state.shift != shift || baton.is_none_or(|baton| baton < state.baton) {
                return;
            }
            state.lease_from = state.lease_from.max(sent);
        }
        self.execute(world, body["baton"].as_u64().unwrap_or(0), &body["orders"]);
    }
}

/// The cloud: the machines that exist, and no more. `pages` are as the protocol says.
pub fn start_cloud(
    world: &World,
    types: Vec<MachineType>,
    yards: Vec<String>,
    workers: Rc<RefCell<Vec<Rc<Worker>>>>,
) -> SocketAddr {
    let (listener, addr) = http::bind();
    let world = world.clone();
    http::serve(listener, move |request| {
        let (world, types, yards, workers) =
            (world.clone(), types.clone(), yards.clone(), workers.clone());
        async move {
            Some(match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/machine_types") => {
                    let builds: Vec<Value> = types
                        .iter()
                        .map(|each| {
                            json!({"sku": each.sku, "cpus": each.cpus, "gpus": 0.0,
                                "ram_gb": each.ram_gb, "local_gb": 70.0,
                                "pull_gb_per_s": each.pull_gb_per_s, "hourly": 1.0,
                                "spot_price": 0.4, "ready_s": 25.0, "yards": yards})
                        })
                        .collect();
                    (200, json!({"builds": builds}))
                }
                ("GET", "/machines") => {
                    let after = request.query("after").unwrap_or("").to_owned();
                    let workers = workers.borrow();
                    let listed = workers
                        .iter()
                        .filter(|each| !each.deleted.get() && each.name > after);
                    let berths: Vec<Value> = listed.map(|each| each.listed()).collect();
                    (200, json!({"berths": berths, "has_next": false}))
                }
                ("POST", "/machines") => (503, json!({"error": "no capacity"})),
                ("POST", "/machines/delete") => {
                    let body = http::decode(&request.body).unwrap_or(Value::Null);
                    world.log(format!("cloud: delete {body}"));
                    for name in body["berths"].as_array().into_iter().flatten() {
                        for worker in workers.borrow().iter() {
                            if Some(worker.name.as_str()) == name.as_str() {
                                worker.deleted.set(true);
                            }
                        }
                    }
                    (200, json!({}))
                }
                _ => (404, json!({})),
            })
        }
    });
    addr
}

/// A controller: a process of its own, started with the command of the deploy file.
pub struct Controller {
    pub label: String,
    pub listen: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl Controller {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let deploy = std::fs::read_to_string(self.root.join("deploy/service.toml"));
        let deploy = deploy.expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .map(|line| line.trim_end_matches('"').to_owned())
            .expect("a run command");
        let words: Vec<&str> = run.split(' ').collect();
        let child = Command::new(self.root.join(words[0]))
            .args(&words[1..])
            .arg(&self.settings)
            .current_dir(&self.root)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("a log file"))
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends STOP or CONT.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &id])
                .status();
        }
    }

    /// The status, if the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill();
    }
}

/// The settings of a deployment.
pub struct Deployment {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub zones: Vec<String>,
    /// The zone of each controller.
    pub nodes: Vec<String>,
    pub teams: Value,
    pub objectives: Value,
    pub limits: Limits,
    pub next: Option<Value>,
}

/// A free address for a controller. Its port is below those that the system gives to outgoing connections, so that it is
/// still free when a controller that was killed starts again.
fn free_addr(world: &World) -> SocketAddr {
    loop {
        let port = 12_000 + (world.random() * 18_000.0) as u16;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if std::net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Writes the settings files and starts the controllers.
pub fn start_controllers(
    world: &World,
    deployment: &Deployment,
    state: &[SocketAddr],
    cloud: impl Fn(&[(String, SocketAddr)]) -> SocketAddr,
) -> Vec<Controller> {
    let count = deployment.nodes.len();
    let listen: Vec<SocketAddr> = (0..count).map(|_| free_addr(world)).collect();
    let mesh: Vec<SocketAddr> = (0..count).map(|_| free_addr(world)).collect();
    let label = |node: usize| format!("berth-{node}");
    let named: Vec<_> = (0..count).map(|node| (label(node), listen[node])).collect();
    let cloud = cloud(&named);
    (0..count)
        .map(|node| {
            let members: Vec<Value> = (0..count)
                .filter(|other| *other != node)
                .map(|other| {
                    json!({"label": label(other), "domain": deployment.nodes[other],
                           "address": mesh[other].to_string()})
                })
                .collect();
            let limits = &deployment.limits;
            let mut settings = json!({
                "label": label(node), "domain": deployment.nodes[node],
                "listen": listen[node].to_string(), "mesh_addr": mesh[node].to_string(),
                "members": members,
                "services": {"cloud": cloud.to_string(), "state": state[node].to_string()},
                "settings": {
                    "count": count, "zones": deployment.zones, "teams": deployment.teams,
                    "objectives": deployment.objectives,
                    "workers": {"report_s": world.times.report_s, "lease_s": world.times.lease_s,
                        "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": world.times.cancel_s},
                    "state": {"rps": limits.rps, "write_rps": limits.write_rps,
                        "value_kb": limits.value_kb, "txn_ops": limits.txn_ops},
                    "cloud": {"rps": 3.0, "list_lag_s": 6.0},
                    "limits": {"cpu": 0.12, "mem_mb": 104.0, "sockets": 1500},
                    "clock_error_ms": 100.0
                }
            });
            if let Some(next) = &deployment.next {
                settings["settings"]["state"]["next"] = next.clone();
            }
            let file = deployment.folder.join(format!("berth-{node}.json"));
            std::fs::write(&file, settings.to_string()).expect("a settings file");
            let mut controller = Controller {
                label: label(node),
                listen: listen[node],
                log: file.with_extension("log"),
                settings: file,
                root: deployment.root.clone(),
                child: None,
            };
            controller.start();
            controller
        })
        .collect()
}

/// Submits a job like a user: at one node after another, for up to 60 s. Returns the status and the time that it took.
pub async fn submit(world: &World, nodes: &[SocketAddr], job: JobSpec) -> Option<u16> {
    let id = job.body["id"].as_str().unwrap_or("").to_owned();
    // The user uploads the description before it submits the job.
    world.jobs.borrow_mut().insert(id.clone(), job.clone());
    let began = Instant::now();
    let mut node = (world.random() * nodes.len() as f64) as usize % nodes.len();
    while began.elapsed() < Duration::from_secs(60) {
        let mut client = Client::new(nodes[node]);
        let answer = client
            .call("POST", "/v2/runs", Some(&job.body), Duration::from_secs(5))
            .await;
        let status = answer.as_ref().map(|(status, _)| *status);
        world.log(format!("user: submits {id} to node {node}: {answer:?}"));
        match status {
            Some(200 | 201 | 400 | 422) => return status,
            _ => {
                tokio::time::sleep(Duration::from_secs(1)).await;
                node = (node + 1) % nodes.len();
            }
        }
    }
    None
}

/// Cancels a job like a user: at one node after another, for up to 60 s.
pub async fn cancel(world: &World, nodes: &[SocketAddr], id: &str) -> Option<Value> {
    let path = format!("/v2/runs/{id}/abort");
    let began = Instant::now();
    let mut node = 0;
    while began.elapsed() < Duration::from_secs(60) {
        let answer = Client::new(nodes[node])
            .call("POST", &path, None, Duration::from_secs(5))
            .await;
        world.log(format!("user: cancels {id} at node {node}: {answer:?}"));
        if let Some((200, body)) = answer {
            return Some(body);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        node = (node + 1) % nodes.len();
    }
    None
}

/// Asks a node for a job's state.
pub async fn poll(addr: SocketAddr, id: &str) -> Answer {
    let path = format!("/v2/runs/{id}");
    Client::new(addr)
        .call("GET", &path, None, Duration::from_secs(2))
        .await
}

/// Waits until all nodes answer that they can take requests.
pub async fn wait_ready(nodes: &[SocketAddr]) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    for addr in nodes {
        loop {
            let answer = Client::new(*addr)
                .call("GET", "/ready", None, Duration::from_secs(1))
                .await;
            if matches!(answer, Some((200, _))) {
                break;
            }
            if Instant::now() > until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    true
}
