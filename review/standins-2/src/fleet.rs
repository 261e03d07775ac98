//! The cloud and its machines, whose workers report to the controllers and run tasks.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Connection},
    map,
    record::Record,
    value::V,
};

const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
/// As in the site files.
const CLOUD_LATENCY: Duration = Duration::from_millis(100);
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// A type of machines.
#[derive(Clone)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    pub ram_gb: f64,
    pub pull_gb_per_s: f64,
    pub gpus: f64,
    pub hourly: f64,
    pub ready_s: f64,
    /// Machines that are up in each zone at the start.
    pub up_per_zone: usize,
    /// Machines that can be rented, in the first zone; they are up after a second or two.
    pub available: usize,
}

/// How workers report, from the settings.
#[derive(Clone, Copy)]
pub struct WorkerTimes {
    pub report_s: f64,
    pub lease_s: f64,
}

/// What a worker reads of a job.
#[derive(Clone)]
pub struct Description {
    pub tasks: u64,
    pub cpus: f64,
    pub ram_gb: f64,
    pub kit: String,
    pub size_gb: f64,
    /// How long a task runs; `None`: until it is stopped.
    pub run_s: Option<f64>,
    /// The allowed machine types; `None`: any.
    pub builds: Option<Vec<String>>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum State {
    Pulling,
    Running,
    Ended(&'static str),
}

struct Task {
    state: State,
    cpus: f64,
    ram_gb: f64,
    kit: String,
    /// When it has its image, or when it completes.
    next_at: Option<Instant>,
    run: Option<Duration>,
    /// When it came into its state.
    since: Instant,
}

/// What a machine is able to do at the moment.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Power {
    On,
    /// It can be rented.
    Available,
    /// The machine stopped with all that was on it.
    Off,
}

struct Worker {
    tasks: BTreeMap<(String, u64), Task>,
    kits: BTreeSet<String>,
    shift: u64,
    tick: u64,
    baton: u64,
    lease_from: Instant,
    power: Power,
    changed: bool,
    token_reported_at: Option<Instant>,
    connected_to: usize,
}

/// A machine and its worker.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub addr: SocketAddr,
    machine_type: MachineType,
    worker: Mutex<Worker>,
}

impl Machine {
    fn lock(&self) -> MutexGuard<'_, Worker> {
        self.worker.lock().expect("no thread panics")
    }
}

/// Counts over all machines.
#[derive(Clone, Copy, Default, Debug)]
pub struct Counts {
    pub expired_leases: u64,
    pub tasks_lost_with_leases: u64,
    pub largest_report_bytes: usize,
    pub largest_report_json: usize,
    pub largest_orders_json: usize,
    pub refused_reports: u64,
    /// Running tasks that a command stopped.
    pub stopped_tasks: u64,
}

/// The machines of the deployment.
pub struct Fleet {
    pub machines: Vec<Machine>,
    types: Vec<MachineType>,
    /// How many of the types the cloud lists.
    listed_types: Mutex<usize>,
    /// What was rented under each request's name.
    hired: Mutex<HashMap<String, Vec<String>>>,
    times: WorkerTimes,
    jobs: Mutex<HashMap<String, Description>>,
    deleted: Mutex<BTreeSet<String>>,
    counts: Mutex<Counts>,
    /// By task: the machines on which it is now, and how often it started and completed.
    on: Mutex<HashMap<String, (Vec<String>, u64, u64)>>,
    broken: Mutex<Vec<String>>,
    record: Record,
    zones: Vec<String>,
    /// Whether single starts and ends of tasks are written to the record.
    pub log_tasks: bool,
}

impl Fleet {
    /// Starts the machines of these types in all zones; their workers report to `nodes`.
    pub fn start(
        types: Vec<MachineType>,
        times: WorkerTimes,
        zones: &[String],
        nodes: Vec<(String, SocketAddr)>,
        record: Record,
        log_tasks: bool,
    ) -> Arc<Fleet> {
        let mut machines = Vec::new();
        let mut listeners = Vec::new();
        for machine_type in &types {
            let up = (0..machine_type.up_per_zone).flat_map(|_| zones.iter());
            let up = up.map(|zone| (zone, Power::On));
            let available = (0..machine_type.available).map(|_| (&zones[0], Power::Available));
            for (zone, power) in up.chain(available) {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                machines.push(Machine {
                    name: format!("vm-{:06}", machines.len() + 1),
                    zone: zone.clone(),
                    addr: listener.local_addr().expect("an address"),
                    machine_type: machine_type.clone(),
                    worker: Mutex::new(Worker {
                        tasks: BTreeMap::new(),
                        kits: BTreeSet::new(),
                        shift: 1,
                        tick: 0,
                        baton: 0,
                        lease_from: Instant::now(),
                        power,
                        changed: false,
                        token_reported_at: None,
                        connected_to: machines.len(),
                    }),
                });
                listeners.push(listener);
            }
        }
        let fleet = Arc::new(Fleet {
            machines,
            listed_types: Mutex::new(types.len()),
            types,
            hired: Mutex::default(),
            times,
            jobs: Mutex::default(),
            deleted: Mutex::default(),
            counts: Mutex::default(),
            on: Mutex::default(),
            broken: Mutex::default(),
            record,
            zones: zones.to_vec(),
            log_tasks,
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let direct = fleet.clone();
            http::serve(listener, move |request| {
                direct.answer_command(index, &request.path, &request.body)
            });
            let (reporting, nodes) = (fleet.clone(), nodes.clone());
            thread::spawn(move || reporting.report_for_ever(index, &nodes));
        }
        let clock = fleet.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                for machine in &clock.machines {
                    clock.advance(machine, &mut machine.lock());
                }
            }
        });
        fleet
    }

    /// Serves the interface of the cloud; returns its address.
    pub fn start_cloud(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let fleet = self.clone();
        let started_at = Instant::now();
        http::serve(listener, move |request| {
            thread::sleep(CLOUD_LATENCY);
            let (status, body) = match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/machine_types") => (200, fleet.machine_types()),
                ("GET", "/machines") => {
                    let after = request.query("after").unwrap_or("").to_owned();
                    let limit = request
                        .query("limit")
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(500);
                    (200, fleet.list(&after, limit, started_at))
                }
                ("POST", "/machines") => fleet.hire(&request.body),
                ("POST", "/machines/delete") => {
                    for name in request.body.get("berths").list() {
                        fleet.stop_machine(name.text(), "deleted by the controllers");
                        fleet
                            .deleted
                            .lock()
                            .expect("no thread panics")
                            .insert(name.text().to_owned());
                    }
                    (200, map! {})
                }
                _ => (400, map! {"error" => "malformed"}),
            };
            Answer::Reply(status, body)
        });
        addr
    }

    /// Lists only the first `count` types from now on.
    pub fn list_types(&self, count: usize) {
        *self.listed_types.lock().expect("no thread panics") = count;
    }

    fn machine_types(&self) -> V {
        let listed = *self.listed_types.lock().expect("no thread panics");
        let types = self.types[..listed].iter().map(|machine_type| {
            let zones = self.zones.iter().map(|zone| V::from(zone.as_str())).collect();
            map! {"sku" => machine_type.name.as_str(), "cpus" => machine_type.cpus, "gpus" => machine_type.gpus,
            "ram_gb" => machine_type.ram_gb, "local_gb" => 70.0, "pull_gb_per_s" => machine_type.pull_gb_per_s,
            "hourly" => machine_type.hourly, "spot_price" => V::Null, "ready_s" => machine_type.ready_s,
            "yards" => V::List(zones)}
        });
        map! {"builds" => V::List(types.collect())}
    }

    /// Rents machines, if there are any of that type in that zone.
    fn hire(&self, request: &V) -> (u16, V) {
        let name = request.get("hire").text().to_owned();
        let mut hired = self.hired.lock().expect("no thread panics");
        let names = hired.entry(name).or_default();
        if names.is_empty() {
            let count = request.get("count").int().unwrap_or(1) as usize;
            for machine in &self.machines {
                let fits = machine.machine_type.name == request.get("build").text()
                    && machine.zone == request.get("yard").text()
                    && *request.get("loaners") == V::Bool(false);
                let mut worker = machine.lock();
                if names.len() < count && fits && worker.power == Power::Available {
                    worker.power = Power::On;
                    worker.lease_from = Instant::now();
                    self.record.line(&format!("{} is rented", machine.name));
                    names.push(machine.name.clone());
                }
            }
        }
        if names.is_empty() {
            return (503, map! {"error" => "no capacity"});
        }
        let names = names.iter().map(|name| V::from(name.as_str()));
        (200, map! {"berths" => V::List(names.collect())})
    }

    fn list(&self, after: &str, limit: usize, started_at: Instant) -> V {
        let deleted = self.deleted.lock().expect("no thread panics");
        let held_s = 300.0 + started_at.elapsed().as_secs_f64();
        let listed = self.machines.iter().filter(|machine| {
            machine.name.as_str() > after
                && !deleted.contains(&machine.name)
                && machine.lock().power != Power::Available
        });
        let mut rows: Vec<V> = listed
            .map(|machine| {
                map! {"id" => machine.name.as_str(), "endpoint" => machine.addr.to_string(),
                "build" => machine.machine_type.name.as_str(), "yard" => machine.zone.as_str(), "loaners" => false,
                "status" => "running", "held_s" => held_s}
            })
            .collect();
        let has_next = rows.len() > limit;
        rows.truncate(limit);
        map! {"berths" => V::List(rows), "has_next" => has_next}
    }

    /// Uploads a job's description.
    pub fn describe(&self, job: &str, description: Description) {
        self.jobs
            .lock()
            .expect("no thread panics")
            .insert(job.to_owned(), description);
    }

    pub fn counts(&self) -> Counts {
        *self.counts.lock().expect("no thread panics")
    }

    /// Of a job: tasks on machines now, starts so far, and tasks that have completed.
    pub fn tasks_of(&self, job: &str) -> (usize, u64, usize) {
        let on = self.on.lock().expect("no thread panics");
        let prefix = format!("{job}/");
        let own = on.iter().filter(|(task, _)| task.starts_with(&prefix));
        own.fold(
            (0, 0, 0),
            |(running, starts, done), (_, (machines, started, completed))| {
                (
                    running + machines.len(),
                    starts + started,
                    done + usize::from(*completed > 0),
                )
            },
        )
    }

    /// For how many seconds all tasks of a job have run without a break; `None` if not all run.
    pub fn all_run_for(&self, job: &str, tasks: u64) -> Option<f64> {
        let mut shortest = f64::INFINITY;
        let mut running = 0;
        for machine in &self.machines {
            let worker = machine.lock();
            for ((piece, _), task) in &worker.tasks {
                if piece.split('/').next() == Some(job) && task.state == State::Running {
                    running += 1;
                    shortest = shortest.min(task.since.elapsed().as_secs_f64());
                }
            }
        }
        (running == tasks).then_some(shortest)
    }

    /// What broke a rule on the machines: a task that was on two of them, or on one of a type that its job doesn't allow.
    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().expect("no thread panics").clone()
    }

    /// Stops a machine with all that is on it.
    pub fn stop_machine(&self, name: &str, why: &str) {
        let Some(machine) = self.machines.iter().find(|machine| machine.name == name) else {
            return;
        };
        let mut worker = machine.lock();
        if worker.power == Power::Off {
            return;
        }
        worker.power = Power::Off;
        self.record.line(&format!("machine {name} stops: {why}"));
        self.drop_tasks(machine, &mut worker);
    }

    fn drop_tasks(&self, machine: &Machine, worker: &mut Worker) -> u64 {
        let tasks = std::mem::take(&mut worker.tasks);
        let mut lost = 0;
        for ((piece, attempt), task) in tasks {
            if task.state == State::Running {
                lost += 1;
                self.note(machine, &piece, attempt, "is killed");
            }
        }
        lost
    }

    /// Notes that a task starts on a machine or leaves it.
    fn note(&self, machine: &Machine, piece: &str, attempt: u64, event: &str) {
        let mut on = self.on.lock().expect("no thread panics");
        let entry = on.entry(piece.to_owned()).or_default();
        if event == "starts" {
            entry.1 += 1;
            let jobs = self.jobs.lock().expect("no thread panics");
            let job = piece.split('/').next().and_then(|job| jobs.get(job));
            let builds = job.and_then(|job| job.builds.as_ref());
            if builds.is_some_and(|builds| !builds.contains(&machine.machine_type.name)) {
                let text = format!(
                    "wrong_place: {piece} starts on {}, a {}; its job allows {builds:?}",
                    machine.name, machine.machine_type.name
                );
                self.record.line(&text);
                self.broken.lock().expect("no thread panics").push(text);
            }
            drop(jobs);
            if let Some(other) = entry.0.first() {
                let text = format!(
                    "ran_twice: {piece} starts on {} while it is on {other}",
                    machine.name
                );
                self.record.line(&text);
                self.broken.lock().expect("no thread panics").push(text);
            }
            entry.0.push(machine.name.clone());
        } else {
            entry.0.retain(|name| *name != machine.name);
            entry.2 += u64::from(event == "completes");
        }
        if event == "is stopped" {
            self.counts.lock().expect("no thread panics").stopped_tasks += 1;
        }
        if self.log_tasks {
            self.record.line(&format!(
                "{piece} try {attempt} {event} on {}",
                machine.name
            ));
        }
    }

    /// Lets tasks begin and complete, and ends the session when the lease has expired.
    fn advance(&self, machine: &Machine, worker: &mut Worker) {
        if worker.power != Power::On {
            return;
        }
        let now = Instant::now();
        if worker.lease_from + Duration::from_secs_f64(self.times.lease_s) < now {
            let lost = self.drop_tasks(machine, worker);
            worker.shift += 1;
            worker.lease_from = now;
            worker.changed = true;
            let mut counts = self.counts.lock().expect("no thread panics");
            counts.expired_leases += 1;
            counts.tasks_lost_with_leases += lost;
            self.record.line(&format!(
                "{}: lease expired, {lost} running tasks killed",
                machine.name
            ));
        }
        let mut events = Vec::new();
        for ((piece, attempt), task) in &mut worker.tasks {
            if task.next_at.is_none_or(|at| at > now) {
                continue;
            }
            match task.state {
                State::Pulling => {
                    worker.kits.insert(task.kit.clone());
                    (task.state, task.since) = (State::Running, now);
                    task.next_at = task.run.map(|run| now + run);
                    events.push((piece.clone(), *attempt, "starts"));
                }
                State::Running => {
                    task.state = State::Ended("done");
                    task.next_at = None;
                    events.push((piece.clone(), *attempt, "completes"));
                }
                State::Ended(_) => {}
            }
        }
        for (piece, attempt, event) in events {
            worker.changed = true;
            self.note(machine, &piece, attempt, event);
        }
    }

    fn report(&self, machine: &Machine, worker: &mut Worker) -> V {
        worker.tick += 1;
        let tasks = worker.tasks.iter().map(|((piece, attempt), task)| {
            let status = match task.state {
                State::Pulling => "pulling",
                State::Running => "running",
                State::Ended(_) => "ended",
            };
            let mut fields = vec![
                ("piece".to_owned(), V::from(piece.as_str())),
                ("try".to_owned(), V::from(*attempt)),
                ("status".to_owned(), V::from(status)),
            ];
            if let State::Ended(cause) = task.state {
                fields.push(("cause".to_owned(), V::from(cause)));
            }
            V::Map(fields)
        });
        let tasks = tasks.collect();
        map! {"berth" => machine.name.as_str(), "endpoint" => machine.addr.to_string(),
        "build" => machine.machine_type.name.as_str(), "yard" => machine.zone.as_str(), "loaners" => false,
        "shift" => worker.shift, "tick" => worker.tick, "baton" => worker.baton, "recall_s" => V::Null,
        "pieces" => V::List(tasks)}
    }

    /// Executes commands under a token that is not lower than the highest seen.
    fn execute(&self, machine: &Machine, worker: &mut Worker, baton: u64, orders: &[V]) {
        if baton > worker.baton {
            worker.baton = baton;
            let half_lease = Duration::from_secs_f64(self.times.lease_s / 2.0);
            if worker
                .token_reported_at
                .is_none_or(|at| at.elapsed() >= half_lease)
            {
                worker.token_reported_at = Some(Instant::now());
                worker.changed = true;
            }
        }
        for order in orders {
            let piece = order.get("piece").text().to_owned();
            let attempt = order.get("try").int().unwrap_or(0);
            let key = (piece.clone(), attempt);
            worker.changed = true;
            match order.get("verb").text() {
                "start" if !worker.tasks.contains_key(&key) => {
                    let task = self.new_task(machine, worker, &piece);
                    worker.tasks.insert(key, task);
                }
                "kill" => {
                    if let Some(task) = worker.tasks.get_mut(&key) {
                        let was = task.state;
                        if !matches!(was, State::Ended(_)) {
                            task.state = State::Ended("halted");
                            task.next_at = None;
                        }
                        if was == State::Running {
                            self.note(machine, &piece, attempt, "is stopped");
                        }
                    }
                }
                "reap" => {
                    if worker
                        .tasks
                        .get(&key)
                        .is_some_and(|task| matches!(task.state, State::Ended(_)))
                    {
                        worker.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn new_task(&self, machine: &Machine, worker: &Worker, piece: &str) -> Task {
        let ended = |cause| Task {
            state: State::Ended(cause),
            cpus: 0.0,
            ram_gb: 0.0,
            kit: String::new(),
            next_at: None,
            run: None,
            since: Instant::now(),
        };
        let (job, index) = piece.split_once('/').unwrap_or((piece, ""));
        let jobs = self.jobs.lock().expect("no thread panics");
        let Some(job) = jobs
            .get(job)
            .filter(|job| index.parse().is_ok_and(|index: u64| index < job.tasks))
        else {
            return ended("unknown");
        };
        let active = worker
            .tasks
            .iter()
            .filter(|(_, task)| !matches!(task.state, State::Ended(_)));
        let (mut cpus, mut ram_gb) = (job.cpus, job.ram_gb);
        for ((other, _), task) in active {
            if other == piece {
                return ended("in_use");
            }
            cpus += task.cpus;
            ram_gb += task.ram_gb;
        }
        if cpus > machine.machine_type.cpus + 1e-6 || ram_gb > machine.machine_type.ram_gb + 1e-6 {
            return ended("full");
        }
        let pull_s = if worker.kits.contains(&job.kit) {
            0.0
        } else {
            job.size_gb / machine.machine_type.pull_gb_per_s
        };
        Task {
            state: State::Pulling,
            cpus: job.cpus,
            ram_gb: job.ram_gb,
            kit: job.kit.clone(),
            next_at: Some(Instant::now() + Duration::from_secs_f64(pull_s)),
            run: job.run_s.map(Duration::from_secs_f64),
            since: Instant::now(),
        }
    }

    fn answer_command(&self, index: usize, path: &str, body: &V) -> Answer {
        let machine = &self.machines[index];
        let mut worker = machine.lock();
        if worker.power != Power::On {
            drop(worker);
            return Answer::Never;
        }
        self.advance(machine, &mut worker);
        if path == "/status" {
            return Answer::Reply(200, self.report(machine, &mut worker));
        }
        let (Some(baton), Some(shift)) = (body.get("baton").int(), body.get("shift").int()) else {
            return Answer::Reply(400, map! {"error" => "no token or session"});
        };
        let size = body.json().len();
        let mut counts = self.counts.lock().expect("no thread panics");
        counts.largest_orders_json = counts.largest_orders_json.max(size);
        drop(counts);
        let accepted = baton >= worker.baton && shift == worker.shift;
        if accepted {
            self.execute(machine, &mut worker, baton, body.get("orders").list());
        }
        Answer::Reply(
            if accepted { 200 } else { 409 },
            self.report(machine, &mut worker),
        )
    }

    fn report_for_ever(&self, index: usize, nodes: &[(String, SocketAddr)]) {
        let machine = &self.machines[index];
        let mut random = index as u64 * 7919 + 17;
        let mut node = machine.lock().connected_to % nodes.len();
        let mut connection = Connection::new(nodes[node].1);
        let mut sent_at = Instant::now();
        let mut interval = Duration::ZERO;
        loop {
            thread::sleep(Duration::from_millis(10));
            let mut worker = machine.lock();
            if worker.power == Power::Off {
                return;
            }
            if worker.power == Power::Available {
                continue;
            }
            let due = sent_at
                + if worker.changed {
                    CHANGE_INTERVAL.min(interval)
                } else {
                    interval
                };
            if Instant::now() < due {
                continue;
            }
            sent_at = Instant::now();
            random = random
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let part = (random >> 33) as f64 / (1u64 << 31) as f64;
            interval = Duration::from_secs_f64(self.times.report_s * (0.75 + 0.5 * part));
            worker.changed = false;
            let report = self.report(machine, &mut worker);
            let shift = worker.shift;
            drop(worker);
            self.note_report_size(&report);
            let response = connection.call("POST", "/checkin", Some(&report), REPORT_TIMEOUT);
            let status = response.as_ref().map_or(0, |response| response.status);
            if status == 200 {
                let Some(response) = response else { continue };
                let mut worker = machine.lock();
                self.advance(machine, &mut worker);
                let baton = response.body.get("baton").int();
                if let Some(baton) =
                    baton.filter(|baton| *baton >= worker.baton && shift == worker.shift)
                {
                    worker.lease_from = worker.lease_from.max(sent_at);
                    self.execute(
                        machine,
                        &mut worker,
                        baton,
                        response.body.get("orders").list(),
                    );
                }
                continue;
            }
            let named = response.as_ref().filter(|response| response.status == 421);
            let named = named.map(|response| response.body.get("foreman").text().to_owned());
            let named = named.and_then(|label| nodes.iter().position(|(other, _)| *other == label));
            if status != 421 {
                self.counts
                    .lock()
                    .expect("no thread panics")
                    .refused_reports += 1;
                let text = format!(
                    "{}: report to {} answered with {status}",
                    machine.name, nodes[node].0
                );
                self.record.line(&text);
            }
            match named.filter(|named| *named != node) {
                Some(named) => node = named,
                None => {
                    node = (node + 1) % nodes.len();
                    thread::sleep(NEXT_NODE_DELAY);
                }
            }
            connection.redirect(nodes[node].1);
            interval = Duration::ZERO;
        }
    }

    fn note_report_size(&self, report: &V) {
        let (bytes, json) = (report.pack().len(), report.json().len());
        let mut counts = self.counts.lock().expect("no thread panics");
        counts.largest_report_bytes = counts.largest_report_bytes.max(bytes);
        counts.largest_report_json = counts.largest_report_json.max(json);
    }
}
