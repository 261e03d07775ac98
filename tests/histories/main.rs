//! Whole deployments under generated histories: three nodes, a model of the state service, of the
//! cloud and of the workers, and a network that delays, loses, holds back and reorders. The rules of
//! the protocol are checked at every start and after every answer.

mod combined_faults;
mod golden;
#[path = "../wire/mod.rs"]
mod wire;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
};

use dalelb::{
    config::Config,
    coordination::{
        ApiRequest, ApiResponse, ClockReading, Command, Effect, MemberStatus, Node, RequestId,
    },
    protocol::{
        self,
        cloud::*,
        ids::{JobId, TaskId},
        job::*,
        state::*,
        worker::*,
    },
};
use dalelb_emulators::state_store::{Store, StoreLimits};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use wire::{Sent, Trace};

const NODE_COUNT: usize = 3;
const TEAM_CPU_LIMIT: f64 = 24.0;
/// Troubles that meet others, see `World::trouble`.
const FAULT_KINDS: usize = 10;
/// Later than any history ends, in milliseconds.
const FOREVER_MS: u64 = 10_000_000;
/// Once nothing fails any more, each job's user has had an answer within that.
const MAX_ANSWER_DELAY_MS: u64 = 20_000;

/// How often workers report, how long their leases last, and within what time a cancellation has to be
/// carried out, in milliseconds. Timeouts in the code that presumed one deployment's made a member count less
/// than half of its workers in another.
#[derive(Clone, Copy, Debug)]
struct WorkerTimings {
    report_interval_ms: u64,
    lease_ttl_ms: u64,
    cancellation_bound_ms: u64,
}

impl WorkerTimings {
    const fn new(report: u64, lease: u64, cancel: u64) -> Self {
        WorkerTimings {
            report_interval_ms: report,
            lease_ttl_ms: lease,
            cancellation_bound_ms: cancel,
        }
    }
}

/// By seed, next to limits that come round every three: as in the first deployments, as fast and as slow as
/// can be, and in between.
fn worker_timings(seed: u64) -> WorkerTimings {
    [
        WorkerTimings::new(2500, 14_000, 34_000),
        WorkerTimings::new(6000, 31_000, 51_000),
        WorkerTimings::new(500, 6000, 14_000),
        WorkerTimings::new(10_000, 42_000, 60_000),
        WorkerTimings::new(2500, 14_000, 34_000),
        WorkerTimings::new(1000, 9000, 40_000),
        WorkerTimings::new(5000, 26_500, 46_500),
    ][seed as usize % 7]
}

/// What the state service takes at once, by seed: the usual, very little, and in between. With little
/// what belongs together is written in several transactions, and a crash may come between them.
fn limits(seed: u64) -> StoreLimits {
    [
        StoreLimits {
            txn_ops: 24,
            value_kb: 16.0,
        },
        StoreLimits {
            txn_ops: 4,
            value_kb: 2.0,
        },
        StoreLimits {
            txn_ops: 48,
            value_kb: 2.0,
        },
    ][seed as usize % 3]
}

/// What it takes before its limits fall.
const USUAL_LIMITS: StoreLimits = StoreLimits {
    txn_ops: 24,
    value_kb: 16.0,
};

/// `limits`: those of today; `next`: those to come, where the node knows of them.
fn config(
    index: usize,
    rhythm: WorkerTimings,
    limits: StoreLimits,
    next: Option<StoreLimits>,
) -> Config {
    let next = next.map(|next| json!({"value_kb": next.value_kb, "txn_ops": next.txn_ops}));
    let members: Vec<Value> = (0..NODE_COUNT)
        .filter(|other| *other != index)
        .map(|other| {
            json!({"label": format!("n{other}"), "domain": "a",
                   "address": format!("127.0.0.1:{}", 9100 + other)})
        })
        .collect();
    serde_json::from_value(json!({
        "label": format!("n{index}"), "domain": "a", "listen": "127.0.0.1:9000",
        "mesh_addr": format!("127.0.0.1:{}", 9100 + index), "members": members,
        "services": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
        "settings": {
            "zones": ["a", "b"],
            "teams": [{"name": "red", "cpus": 8.0, "cpus_max": TEAM_CPU_LIMIT}, {"name": "blue"}],
            "workers": {"report_s": rhythm.report_interval_ms as f64 / 1000.0,
                        "lease_s": rhythm.lease_ttl_ms as f64 / 1000.0,
                        "cancel_s": rhythm.cancellation_bound_ms as f64 / 1000.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": limits.value_kb,
                      "txn_ops": limits.txn_ops, "next": next},
            "cloud": {"rps": 3.0, "list_lag_s": 6.0}
        }
    }))
    .expect("a valid configuration")
}

#[derive(Clone)]
struct TaskOnWorker {
    attempt: u64,
    state: TaskState,
    cause: Option<FailureCause>,
    ends_at: u64,
}

struct Worker {
    name: String,
    zone: String,
    spot: bool,
    incarnation: u64,
    seq: u64,
    token: u64,
    lease_renewed_at: u64,
    tasks: BTreeMap<TaskId, TaskOnWorker>,
    node: usize,
    report_at: u64,
    /// The report in flight: its number and when it is given up.
    report_in_flight: Option<(u64, u64)>,
    cut_until: u64,
    /// Its reports arrive until then, and answers and commands to it are lost.
    drops_inbound_until: u64,
    /// Starts that were sent to it meanwhile.
    lost_starts: BTreeSet<(TaskId, u64)>,
    /// It reaches no controller until then, while direct commands reach it.
    drops_outbound_until: u64,
    /// It stands still until then, and goes on within its lease with what has come meanwhile.
    hung_until: u64,
    booted_at: u64,
    /// When it was deleted.
    deleted_at: u64,
    gone: bool,
    /// Reports late by this much drift.
    clock_drift: f64,
    images: BTreeSet<String>,
}

/// Marks a copy of a message that was under way before: whatever answers it reaches nobody.
const DUPLICATE_TICKET: u64 = 0xfffff;

/// The kind of a request to the state service, by its tag's name.
fn request_kind(tag: &coordination::Tag) -> String {
    let name = format!("{tag:?}");
    name.chars().take_while(|c| c.is_alphanumeric()).collect()
}

enum SimulationEvent {
    /// Of a process in its life.
    Tick(usize, u64),
    /// A process is started, unless one runs under that label.
    Boot(usize),
    /// The process with that label ends, if there is one, and is back after so long.
    StopProcess(usize, u64),
    DeliverCommand(usize, u64, Box<Command>),
    StateRequestArrives(usize, u64, u64, Box<(coordination::Tag, StateRequest)>),
    /// From a node in its life, with a ticket for the answer, to a worker.
    DeliverOrders(
        usize,
        u64,
        u64,
        usize,
        Box<(coordination::Worker, Option<DirectOrders>)>,
    ),
    DeliverReport(usize, usize, Box<Report>, u64),
    DeliverResponse(usize, u64, u64, Box<ApiResponse>),
    Revoke(usize, usize, u64, Box<Effect>),
    /// A user's request, relayed by a node in its life to another.
    Relay(usize, u64, usize, RequestId, Box<ApiRequest>),
    /// A job's user looks closely: asks and submits again at all nodes.
    CheckConsistency(JobId),
    /// A job's user calls it off at some node.
    CancelJob(JobId),
}

mod coordination {
    pub use dalelb::coordination::{StateTag as Tag, WorkerTag as Worker};
}

#[derive(Default)]
struct UserView {
    accepted: bool,
    accepted_at: Option<u64>,
    cancelled_at: Option<u64>,
    asked_to_cancel: bool,
    /// When a question about it was last answered.
    answered_at: u64,
    last: Option<JobStatus>,
}

/// What its user had been told of a job when asking.
#[derive(Clone, Copy)]
struct ViewAtRequest {
    accepted: bool,
    last: Option<JobStatus>,
    /// That a job which this one needs is cancelled.
    dependency_cancelled: bool,
}

/// Who asks a deputy: node, life, time of sending, lease, and the deputy's label.
type RevocationOrigin = (usize, u64, u64, u64, String);

enum PendingRequest {
    /// The job, whether it is to be cancelled, and what its user knew.
    User(JobId, bool, ViewAtRequest),
    Report(usize, u64, u64),
    /// Something odd, and what it may be answered.
    Malformed(&'static [u16]),
    /// The node that relays, its life, and the number of the request there.
    Relayed(usize, u64, RequestId),
}

struct SimulatedCluster {
    now: u64,
    timings: WorkerTimings,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    next_event: u64,
    nodes: Vec<Option<Node>>,
    incarnations: Vec<u64>,
    booted_at: Vec<u64>,
    state_service_cut_until: Vec<u64>,
    /// Until when the state service refuses each node alone, with 503 at once; its open watches wait.
    state_service_refuses_until: Vec<u64>,
    /// How much longer it takes a new leader to read its predecessors' notes.
    recovery_read_delay_ms: u64,
    /// How much later than usual all its answers come.
    state_reply_delay_ms: u64,
    /// Until when a part of the transactions gets no answer and is carried out late, after newer ones.
    delayed_writes_until: u64,
    /// Until when a part of the reports comes once more, up to two leases later.
    duplicated_reports_until: u64,
    /// Until when a part of the transactions is carried out at once and only the answer is lost.
    lost_replies_until: u64,
    /// All transactions of this kind lose their answers.
    lost_reply_kind: Option<&'static str>,
    /// Requests whose answers are lost.
    lost_reply_tickets: HashSet<u64>,
    /// Until when copies of reports are kept for the next leader's first moments, and those kept.
    retain_reports_until: u64,
    retained_reports: Vec<(usize, Box<Report>)>,
    /// Until when users look closely at what they were just told, and call jobs off as they end.
    consistency_checks_until: u64,
    cancel_at_completion_until: u64,
    /// Until when the state service takes its time.
    slow_state_service_until: u64,
    /// When it goes down for all, and until when.
    state_service_outage: Option<(u64, u64)>,
    /// Until when anything of that lasts.
    fault_until: u64,
    /// Transactions that were carried out late, copies of reports, and what deaf machines did not hear.
    delayed_writes_applied: usize,
    duplicated_reports: usize,
    dropped_messages: usize,
    /// Transactions carried out whose answers were lost, by kind, reports kept for a new leader, close looks that were
    /// answered, reports that reached nobody, and messages that waited for a machine that hung.
    lost_replies_by_kind: BTreeMap<String, usize>,
    replayed_reports: usize,
    answered_consistency_checks: usize,
    undelivered_reports: usize,
    messages_held_by_hung_workers: usize,
    /// Odd requests that were answered, by node and status.
    malformed_responses: BTreeMap<(usize, u16), usize>,
    /// How often each task was started.
    starts_by_task: HashMap<TaskId, usize>,
    /// How long after its user was told that its job is cancelled a task was last on its machine, at the most.
    max_run_after_cancel_ms: u64,
    worker_cut_until: Vec<u64>,
    mesh_cut_until: Vec<u64>,
    /// A zone with a node in it that is cut off, and until when.
    zone_cut: (usize, String, u64),
    /// How much later than usual starts reach workers: those sent to them, not those in answers to reports.
    start_delay_ms: u64,
    /// Until when each node stands still, while its clocks run on.
    frozen_until: Vec<u64>,
    /// The node whose effects are being carried out stands still until then: before any of it is sent.
    effects_held_until: u64,
    /// Freezes of a node that led.
    leader_freezes: usize,
    /// Leaders that resigned.
    resignations: usize,
    /// Requests to the state service, and puts and deletes in them.
    requests: usize,
    writes: usize,
    store: Store,
    watches: Vec<(usize, u64, coordination::Tag, StateRequest, u64, u64)>,
    answered: HashSet<u64>,
    workers: Vec<Worker>,
    provisioned_instances: HashMap<String, Vec<String>>,
    jobs: BTreeMap<JobId, (Submission, UserView)>,
    completed: HashSet<TaskId>,
    pending_requests: HashMap<(usize, u64, RequestId), PendingRequest>,
    pending_revocations: HashMap<(usize, u64, RequestId), RevocationOrigin>,
    next_request_id: RequestId,
    starts: usize,
    /// Starts of tasks whose jobs awaited others.
    dependent_starts: usize,
    /// When each node's turn comes to know of the limits to come.
    limit_notice_at: [u64; NODE_COUNT],
    /// When the limits fall to these.
    limit_drop: (u64, StoreLimits),
    /// The settings don't say so: what is too large is refused.
    limits_unannounced: bool,
    /// Writes refused for that.
    oversized_writes: usize,
    /// Relayed requests that a member answered well.
    relayed_successes: usize,
    /// What each node last said of itself.
    member_statuses: Vec<Option<MemberStatus>>,
    /// When each job was accepted, and users who were told to come back, and when they may.
    acceptances_at: Vec<u64>,
    retry_at: HashMap<JobId, u64>,
    rejections: usize,
    seed: u64,
    /// When a table was last sent to the state service.
    quotas_written_at: Option<u64>,
    /// How much later each start that was sent to a worker comes once more. 0: never.
    duplicate_start_delay_ms: u64,
    /// A node whose deputy's key its first life writes late: when it arrives.
    delayed_renewer_key: (usize, u64),
    /// Ends of processes that were back within a second, and late copies of messages.
    quick_restarts: usize,
    duplicated_messages: usize,
    /// Of each team, replica seconds that were asked for, and those of them in which it was up.
    replica_seconds: [(u64, u64); 2],
    flood_jobs: HashSet<JobId>,
    /// Over all that the nodes decided, in order, with what they keep to themselves.
    trace: DefaultHasher,
    /// Over all that the nodes sent, in order, as it is on the wire.
    sent: Trace,
    /// Messages as they were sent, while they are kept.
    kept: Option<Vec<Sent>>,
    /// Chance that a command to a worker is late, though within its sender's patience.
    late_order_chance: f64,
    faults_enabled: bool,
    leader: Option<usize>,
}

impl SimulatedCluster {
    fn new(seed: u64) -> Self {
        let mut world = SimulatedCluster {
            now: 0,
            timings: worker_timings(seed),
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            nodes: (0..NODE_COUNT).map(|_| None).collect(),
            incarnations: vec![0; NODE_COUNT],
            booted_at: vec![0; NODE_COUNT],
            state_service_cut_until: vec![0; NODE_COUNT],
            state_service_refuses_until: vec![0; NODE_COUNT],
            recovery_read_delay_ms: 0,
            state_reply_delay_ms: 0,
            delayed_writes_until: 0,
            duplicated_reports_until: 0,
            lost_replies_until: 0,
            lost_reply_kind: None,
            lost_reply_tickets: HashSet::new(),
            retain_reports_until: 0,
            retained_reports: Vec::new(),
            consistency_checks_until: 0,
            cancel_at_completion_until: 0,
            slow_state_service_until: 0,
            state_service_outage: None,
            fault_until: 0,
            delayed_writes_applied: 0,
            duplicated_reports: 0,
            dropped_messages: 0,
            lost_replies_by_kind: BTreeMap::new(),
            replayed_reports: 0,
            answered_consistency_checks: 0,
            undelivered_reports: 0,
            messages_held_by_hung_workers: 0,
            malformed_responses: BTreeMap::new(),
            starts_by_task: HashMap::new(),
            max_run_after_cancel_ms: 0,
            worker_cut_until: vec![0; NODE_COUNT],
            mesh_cut_until: vec![0; NODE_COUNT],
            zone_cut: (0, String::new(), 0),
            start_delay_ms: 0,
            frozen_until: vec![0; NODE_COUNT],
            effects_held_until: 0,
            leader_freezes: 0,
            resignations: 0,
            requests: 0,
            writes: 0,
            store: Store::new(limits(seed)),
            watches: Vec::new(),
            answered: HashSet::new(),
            workers: Vec::new(),
            provisioned_instances: HashMap::new(),
            jobs: BTreeMap::new(),
            completed: HashSet::new(),
            pending_requests: HashMap::new(),
            pending_revocations: HashMap::new(),
            next_request_id: 0,
            starts: 0,
            dependent_starts: 0,
            limit_notice_at: [0; NODE_COUNT],
            limit_drop: (u64::MAX, limits(seed)),
            limits_unannounced: false,
            oversized_writes: 0,
            relayed_successes: 0,
            member_statuses: vec![None; NODE_COUNT],
            acceptances_at: Vec::new(),
            retry_at: HashMap::new(),
            rejections: 0,
            seed,
            quotas_written_at: None,
            duplicate_start_delay_ms: 0,
            delayed_renewer_key: (NODE_COUNT, 0),
            quick_restarts: 0,
            duplicated_messages: 0,
            replica_seconds: [(0, 0); 2],
            flood_jobs: HashSet::new(),
            trace: DefaultHasher::new(),
            sent: Trace::default(),
            kept: None,
            late_order_chance: [0.0, 0.1, 0.4][(seed / 3) as usize % 3],
            faults_enabled: true,
            leader: None,
        };
        // In half of the histories the limits fall. Nodes that don't know of that yet write longer pages
        // and entries, and lead in turn with those that do.
        if seed % 2 == 1 {
            world.store.limits = USUAL_LIMITS;
            world.limit_notice_at = [20_000, 45_000, 70_000];
            world.limit_drop.0 = 80_000;
        }
        // And now and then nobody was told of it.
        if seed % 4 == 3 {
            world.limit_notice_at = [u64::MAX; NODE_COUNT];
            world.limits_unannounced = true;
        }
        for index in 0..4 {
            world.add_worker(["a", "b"][index % 2], index == 3);
        }
        for index in 0..NODE_COUNT {
            world.boot(index);
        }
        world
    }

    fn add_worker(&mut self, zone: &str, spot: bool) -> String {
        let name = format!("vm-{:06}", self.workers.len());
        let drift = 1.0 + self.rng.random_range(-0.0005..0.0005);
        self.workers.push(Worker {
            name: name.clone(),
            zone: zone.into(),
            spot,
            incarnation: 1,
            seq: 0,
            token: 0,
            lease_renewed_at: self.now,
            tasks: BTreeMap::new(),
            node: self.rng.random_range(0..NODE_COUNT),
            report_at: self.now + 500,
            report_in_flight: None,
            cut_until: 0,
            drops_inbound_until: 0,
            lost_starts: BTreeSet::new(),
            drops_outbound_until: 0,
            hung_until: 0,
            booted_at: self.now,
            deleted_at: 0,
            gone: false,
            clock_drift: drift,
            images: BTreeSet::new(),
        });
        name
    }

    fn schedule(&mut self, time: u64, what: SimulationEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((time, self.next_event)));
        self.events.insert(self.next_event, what);
    }

    /// Until when a node and a worker can't reach each other.
    fn link_cut_until(&self, node: usize, at: usize) -> u64 {
        let (alone, ref zone, until) = self.zone_cut;
        let worker = &self.workers[at];
        let apart = if (node == alone) != (worker.zone == *zone) {
            until
        } else {
            0
        };
        self.worker_cut_until[node].max(worker.cut_until).max(apart)
    }

    /// Cuts a zone off: a node in it, which reaches the zone's workers and nothing else.
    fn cut_zone(&mut self, node: usize, zone: &str, until: u64) {
        self.state_service_cut_until[node] = until;
        self.mesh_cut_until[node] = until;
        self.zone_cut = (node, zone.into(), until);
    }

    /// When a message sent now arrives. A cut loses it or holds it back; now and then one is late.
    fn message_arrival(&mut self, cut_until: u64) -> Option<u64> {
        let usual = self.now.max(self.effects_held_until) + self.rng.random_range(1..8);
        if cut_until > self.now {
            return self.rng.random_bool(0.5).then_some(cut_until + 20);
        }
        if self.faults_enabled && self.rng.random_bool(0.004) {
            return self
                .rng
                .random_bool(0.7)
                .then(|| self.now + self.rng.random_range(300..20_000));
        }
        Some(usual)
    }

    fn boot(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.booted_at[index] = self.now;
        self.frozen_until[index] = 0;
        let (_, next) = self.limit_drop;
        let next = (self.limit_notice_at[index] <= self.now).then_some(next);
        self.nodes[index] = Some(Node::new(config(
            index,
            self.timings,
            self.store.limits,
            next,
        )));
        self.schedule(
            self.now,
            SimulationEvent::Tick(index, self.incarnations[index]),
        );
    }

    fn crash(&mut self, index: usize) {
        if self.nodes[index].is_some() && self.faults_enabled && self.rng.random_bool(0.5) {
            self.delay_messages_of_crashed_node(index);
        }
        self.nodes[index] = None;
        self.incarnations[index] += 1;
    }

    /// What a process had under way to the state service and the workers as it ended is carried out late: its
    /// successor under the same label is at work by then.
    fn delay_messages_of_crashed_node(&mut self, index: usize) {
        let life = self.incarnations[index];
        let of_it = |what: &SimulationEvent| match what {
            SimulationEvent::StateRequestArrives(from, of, ..)
            | SimulationEvent::DeliverOrders(from, of, ..) => (*from, *of) == (index, life),
            _ => false,
        };
        let mut late: Vec<u64> = self
            .events
            .iter()
            .filter(|(_, what)| of_it(what))
            .map(|(id, _)| *id)
            .collect();
        late.sort();
        for id in late {
            let time = self.now + self.rng.random_range(30..20_000);
            if let Some(what) = self.events.remove(&id) {
                self.schedule(time, what);
            }
        }
    }

    /// A process ends and is back after a pause, mostly within a second.
    fn stop_process(&mut self, index: usize, pause: u64) {
        self.crash(index);
        self.quick_restarts += usize::from(pause < 1000);
        self.schedule(self.now + pause, SimulationEvent::Boot(index));
    }

    fn random_restart_delay(&mut self) -> u64 {
        match self.rng.random_range(0..10) {
            0 => self.rng.random_range(1000..6000),
            1 | 2 => 30,
            _ => self.rng.random_range(30..1000),
        }
    }

    /// One process, or all of them, end several times in quick succession, also before they are ready.
    fn schedule_process_stops(&mut self, who: &[usize]) {
        for &index in who {
            let mut time = self.now;
            for _ in 0..self.rng.random_range(1..5) {
                let pause = self.random_restart_delay();
                self.schedule(time, SimulationEvent::StopProcess(index, pause));
                // Ready takes some 100 ms here, a takeover some 300.
                time += pause + self.rng.random_range(5..2500);
            }
        }
    }

    /// ClockReading and then a message that was carried out comes once more, late.
    fn duplicate_arrival(&mut self) -> Option<u64> {
        let copied = self.faults_enabled && self.rng.random_bool(0.004);
        self.duplicated_messages += usize::from(copied);
        copied.then(|| self.now + self.rng.random_range(200..60_000))
    }

    fn step(&mut self, index: usize, life: u64, command: Command) {
        if self.incarnations[index] != life {
            return;
        }
        let now = ClockReading {
            monotonic_ms: self.now - self.booted_at[index],
            wall_ms: 1_700_000_000_000 + self.now,
        };
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let effects = node.step([command], now);
        // The worst moment: all is decided, nothing is sent.
        if self.faults_enabled && self.rng.random_bool(0.0002) {
            self.freeze(index);
            self.effects_held_until = self.frozen_until[index];
        }
        for effect in effects {
            self.execute_effect(index, life, effect);
        }
        self.effects_held_until = 0;
    }

    /// A node stands still: for less than the leader's lease, about as long, longer than a worker's.
    fn freeze(&mut self, index: usize) {
        let lease = self.timings.lease_ttl_ms;
        let lengths = [
            500,
            2500,
            3400,
            3600,
            lease / 2,
            lease - 200,
            lease + 2000,
            25_000,
            40_000,
        ];
        let length = lengths[self.rng.random_range(0..lengths.len())];
        self.frozen_until[index] = self.now + length;
        self.leader_freezes += usize::from(self.leader == Some(index));
    }

    /// The node that an event is to happen on.
    fn node_of_event(what: &SimulationEvent) -> Option<usize> {
        match what {
            SimulationEvent::Tick(index, _)
            | SimulationEvent::DeliverCommand(index, ..)
            | SimulationEvent::DeliverReport(_, index, ..)
            | SimulationEvent::Revoke(_, index, ..)
            | SimulationEvent::Relay(_, _, index, ..) => Some(*index),
            _ => None,
        }
    }

    fn schedule_command(&mut self, index: usize, life: u64, time: u64, command: Command) {
        self.schedule(
            time,
            SimulationEvent::DeliverCommand(index, life, Box::new(command)),
        );
    }

    fn execute_effect(&mut self, index: usize, life: u64, effect: Effect) {
        let sent = self.now - self.booted_at[index];
        format!("{effect:?}").hash(&mut self.trace);
        let message = Sent::of(&effect);
        self.sent.add(self.now, index, life, &message);
        if let Some(kept) = &mut self.kept {
            kept.push(message);
        }
        match effect {
            Effect::CallStateService {
                tag,
                request,
                timeout_ms,
                ..
            } => {
                self.requests += 1;
                if matches!(tag, coordination::Tag::WriteAdmissionQuotas { .. }) {
                    let last = self.quotas_written_at.replace(self.now);
                    let apart = last.is_none_or(|at| at + 5000 <= self.now);
                    assert!(apart, "two tables within the time that one takes to settle");
                }
                if let StateRequest::Txn(txn) = &request {
                    self.writes += txn.writes.len();
                    let of_a_leader = |write: &Write| {
                        let (Write::Put { key, .. } | Write::Delete { key }) = write;
                        let led = ["shared/types", "shared/admission"];
                        key.starts_with("books/") || led.contains(&&key[..])
                    };
                    let held = |condition: &Condition| {
                        condition.key == "shared/leader" && condition.version > 0
                    };
                    assert!(
                        !txn.writes.iter().any(of_a_leader) || txn.conditions.iter().any(held),
                        "a leader's write that a successor's could follow: {txn:?}"
                    );
                    // One that is applied late, within the same term too, must not follow a newer one. The further
                    // keys of a record stand and fall with it.
                    let replaces = |write: &Write| {
                        let (Write::Put { key, .. } | Write::Delete { key }) = write;
                        key.starts_with("shared/part/")
                            || txn.conditions.iter().any(|known| known.key == *key)
                    };
                    assert!(
                        txn.writes.iter().all(replaces),
                        "a write that could follow a newer one: {txn:?}"
                    );
                }
                self.next_event += 1;
                let ticket = self.next_event;
                let give_up = Command::StateResponse {
                    tag: tag.clone(),
                    sent_at: sent,
                    result: Err(StateError::NoAnswer),
                };
                self.schedule(
                    self.now + timeout_ms,
                    SimulationEvent::DeliverCommand(index, life | ticket << 20, Box::new(give_up)),
                );
                if let Some(mut time) = self.message_arrival(self.state_service_cut_until[index]) {
                    let first = life == 1 && matches!(tag, coordination::Tag::PutRenewerKey { .. });
                    if first && index == self.delayed_renewer_key.0 {
                        time = self.delayed_renewer_key.1;
                    }
                    if matches!(tag, coordination::Tag::ReadLeaderLog { .. }) {
                        time += self.recovery_read_delay_ms;
                    }
                    let written = matches!(request, StateRequest::Txn(_));
                    if written && self.delayed_writes_until > self.now && self.rng.random_bool(0.15)
                    {
                        // Nobody waits for an answer that long.
                        time += self.rng.random_range(2000..12_000);
                        self.delayed_writes_applied += 1;
                    } else if self.slow_state_service_until > self.now {
                        time += self.rng.random_range(20..1200);
                    }
                    let often = self.lost_replies_until > self.now && self.rng.random_bool(0.3);
                    if written
                        && (often
                            || self
                                .lost_reply_kind
                                .is_some_and(|kind| kind == request_kind(&tag)))
                    {
                        self.lost_reply_tickets.insert(ticket);
                    }
                    let sent_and_ticket = sent << 32 | ticket;
                    let packet = Box::new((tag, request));
                    if let Some(time) = self.duplicate_arrival() {
                        let copy = SimulationEvent::StateRequestArrives(
                            index,
                            DUPLICATE_TICKET,
                            sent_and_ticket,
                            packet.clone(),
                        );
                        self.schedule(time, copy);
                    }
                    self.schedule(
                        time,
                        SimulationEvent::StateRequestArrives(index, life, sent_and_ticket, packet),
                    );
                }
            }
            Effect::CallCloud { tag, request, .. } => {
                let result = Ok(self.handle_cloud_request(&request));
                let delay = self.rng.random_range(20..200);
                self.schedule_command(
                    index,
                    life,
                    self.now + delay,
                    Command::CloudResponse { tag, result },
                );
            }
            Effect::CallWorker {
                tag,
                orders,
                timeout_ms,
                ..
            } => {
                let Some(at) = self.workers.iter().position(|w| w.name == tag.machine) else {
                    return self.schedule_command(
                        index,
                        life,
                        self.now + timeout_ms,
                        Command::WorkerResponse { tag, result: None },
                    );
                };
                self.next_event += 1;
                let ticket = self.next_event;
                let give_up = Command::WorkerResponse {
                    tag: tag.clone(),
                    result: None,
                };
                self.schedule(
                    self.now + timeout_ms,
                    SimulationEvent::DeliverCommand(index, life | ticket << 20, Box::new(give_up)),
                );
                let cut = self.link_cut_until(index, at);
                let late = self.faults_enabled && self.rng.random_bool(self.late_order_chance);
                let slower = if !tag.starts.is_empty() && self.start_delay_ms > 0 {
                    self.start_delay_ms
                } else if late {
                    self.rng.random_range(100..2900)
                } else {
                    0
                };
                if let Some(time) = self.message_arrival(cut).map(|time| time + slower) {
                    let packet = Box::new((tag, orders));
                    let again = self.duplicate_start_delay_ms > 0 && !packet.0.starts.is_empty();
                    let again = again.then_some(time + self.duplicate_start_delay_ms);
                    if let Some(time) = again.or_else(|| self.duplicate_arrival()) {
                        let copy = SimulationEvent::DeliverOrders(
                            index,
                            DUPLICATE_TICKET,
                            ticket,
                            at,
                            packet.clone(),
                        );
                        self.schedule(time, copy);
                    }
                    self.schedule(
                        time,
                        SimulationEvent::DeliverOrders(index, life, ticket, at, packet),
                    );
                }
            }
            Effect::Respond(id, answer) => self.on_response(index, life, id, answer),
            Effect::AnnounceProgress(progress) => {
                for other in (0..NODE_COUNT).filter(|other| *other != index) {
                    let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[other]);
                    if let Some(time) = self.message_arrival(cut) {
                        let life = self.incarnations[other];
                        self.schedule_command(
                            other,
                            life,
                            time,
                            Command::LeaderAnnounced(progress.clone()),
                        );
                        if let Some(time) = self.duplicate_arrival() {
                            self.schedule_command(
                                other,
                                life,
                                time,
                                Command::LeaderAnnounced(progress.clone()),
                            );
                        }
                        // Its word comes back the same way.
                        if let (Some(news), Some(back)) = (
                            self.member_statuses[other].clone(),
                            self.message_arrival(cut),
                        ) {
                            let asker = self.incarnations[index];
                            let back = back.max(time);
                            self.schedule_command(
                                index,
                                asker,
                                back,
                                Command::MemberStatus(Box::new(news)),
                            );
                        }
                    }
                }
            }
            Effect::PublishMemberStatus(news) => self.member_statuses[index] = Some(*news),
            Effect::RequestRevocation { ref label, .. } => {
                let other: usize = label[1..].parse().expect("a node's number");
                let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[other]);
                if let Some(time) = self.message_arrival(cut) {
                    if let Some(time) = self.duplicate_arrival() {
                        let copied = Box::new(effect.clone());
                        self.schedule(
                            time,
                            SimulationEvent::Revoke(
                                index,
                                other,
                                DUPLICATE_TICKET << 32 | sent,
                                copied,
                            ),
                        );
                    }
                    self.schedule(
                        time,
                        SimulationEvent::Revoke(index, other, life << 32 | sent, Box::new(effect)),
                    );
                }
            }
            Effect::RespondRevocation(id, word) => {
                if let Some((asker, asker_life, sent_at, lease, label)) =
                    self.pending_revocations.remove(&(index, life, id))
                {
                    let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[asker]);
                    if let Some(time) = self.message_arrival(cut) {
                        let command = Command::LeasesRevoked {
                            lease,
                            label,
                            sent_at,
                            reply: Some(word),
                        };
                        self.schedule_command(asker, asker_life, time, command);
                    }
                }
            }
            Effect::RelayRequest {
                id,
                label,
                request: ask,
            } => {
                let other: usize = label[1..].parse().expect("a node's number");
                self.schedule_command(
                    index,
                    life,
                    self.now + 2000,
                    Command::RelayAnswered(id, None),
                );
                let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[other]);
                if let Some(time) = self.message_arrival(cut) {
                    if let Some(time) = self.duplicate_arrival() {
                        let copied = Box::new(ask.clone());
                        self.schedule(
                            time,
                            SimulationEvent::Relay(index, DUPLICATE_TICKET, other, id, copied),
                        );
                    }
                    self.schedule(
                        time,
                        SimulationEvent::Relay(index, life, other, id, Box::new(ask)),
                    );
                }
            }
            Effect::SendCellReport { .. } | Effect::RespondCellReport(..) => {
                panic!("one deployment by itself has nobody to share quotas with")
            }
            Effect::SetLeadership(leads) => {
                if leads {
                    self.leader = Some(index);
                    self.replay_retained_reports();
                } else if self.worker_cut_until[index] > self.now
                    && self.state_service_cut_until[index] <= self.now
                {
                    self.resignations += 1;
                }
            }
        }
    }

    /// What was kept of reports reaches every node as a new leader begins, while it makes its books, and once more when
    /// it has acted.
    fn replay_retained_reports(&mut self) {
        for (at, report) in std::mem::take(&mut self.retained_reports) {
            for node in 0..NODE_COUNT {
                for later in [1, 40, 400, 2500, 9000] {
                    let time = self.now + later + self.rng.random_range(0..40);
                    let copied = report.clone();
                    self.replayed_reports += 1;
                    self.schedule(time, SimulationEvent::DeliverReport(at, node, copied, 0));
                }
            }
        }
    }

    fn handle_cloud_request(&mut self, request: &CloudRequest) -> CloudReply {
        let kind = MachineType {
            name: "c16".into(),
            cpus: 16.0,
            gpus: 0.0,
            ram_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: Some(0.3),
            boot_s: 10.0,
            zones: vec!["a".into(), "b".into()],
        };
        match request {
            CloudRequest::Types => CloudReply::Types(MachineTypes { types: vec![kind] }),
            CloudRequest::Rent(rent) => {
                if let Some(names) = self.provisioned_instances.get(&rent.name) {
                    return CloudReply::Rented(names.clone());
                }
                let up = self.workers.iter().filter(|w| !w.gone).count();
                let count = (10usize.saturating_sub(up)).min(rent.count as usize);
                if count == 0 {
                    return CloudReply::NoCapacity;
                }
                let names: Vec<String> = (0..count)
                    .map(|_| self.add_worker(&rent.zone, rent.spot))
                    .collect();
                self.provisioned_instances
                    .insert(rent.name.clone(), names.clone());
                CloudReply::Rented(names)
            }
            CloudRequest::Delete(names) => {
                for worker in &mut self.workers {
                    if names.contains(&worker.name) && !worker.gone {
                        worker.gone = true;
                        worker.deleted_at = self.now;
                        worker.tasks.clear();
                    }
                }
                CloudReply::Deleted
            }
            CloudRequest::List { .. } => {
                // As it was up to twice the usual lag ago; what was there at the start is older.
                let lag = [6000, 6000, 9000, 12_000][self.rng.random_range(0..4)];
                let then = self.now.saturating_sub(lag);
                let there = |w: &&Worker| w.booted_at <= then && (!w.gone || w.deleted_at > then);
                let listed = |w: &Worker| ListedMachine {
                    id: w.name.clone(),
                    addr: Some("10.0.0.1:1".into()),
                    type_name: "c16".into(),
                    zone: w.zone.clone(),
                    spot: w.spot,
                    status: MachineStatus::Running,
                    age_s: (then - w.booted_at) as f64 / 1000.0,
                };
                CloudReply::List(MachineList {
                    machines: self.workers.iter().filter(there).map(listed).collect(),
                    more: false,
                })
            }
        }
    }

    fn build_report(&mut self, at: usize) -> Report {
        let worker = &mut self.workers[at];
        worker.seq += 1;
        Report {
            machine: worker.name.clone(),
            addr: "10.0.0.1:1".into(),
            type_name: "c16".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            incarnation: worker.incarnation,
            seq: worker.seq,
            token: worker.token,
            notice_s: None,
            tasks: worker
                .tasks
                .iter()
                .map(|(task, on)| TaskReport {
                    task: *task,
                    attempt: on.attempt,
                    state: on.state,
                    cause: on.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Lets a worker's own time pass: its lease, its images, its tasks.
    fn advance_worker(&mut self, at: usize) {
        let now = self.now;
        let worker = &mut self.workers[at];
        if worker.gone {
            return;
        }
        if now
            > worker.lease_renewed_at
                + (self.timings.lease_ttl_ms as f64 * worker.clock_drift) as u64
        {
            worker.tasks.clear();
            worker.incarnation += 1;
            worker.lease_renewed_at = now;
            worker.report_in_flight = None;
            worker.report_at = now;
        }
        if worker.hung_until > now {
            return;
        }
        let due: Vec<TaskId> = worker
            .tasks
            .iter()
            .filter(|(_, on)| on.ends_at <= now && on.state != TaskState::Ended)
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let spec = self.jobs[&task.job].0.clone();
            let state = self.workers[at].tasks[&task].state;
            if state == TaskState::Fetching {
                self.workers[at].images.insert(spec.image.clone());
                self.on_task_started(at, task, &spec);
                let done = self.completed.contains(&task);
                let on = self.workers[at].tasks.get_mut(&task).expect("it is there");
                on.state = TaskState::Running;
                on.ends_at = if done {
                    now
                } else if spec.kind == JobKind::Service {
                    u64::MAX
                } else {
                    now + (spec.estimate_s * 1000.0) as u64
                };
            } else {
                if self.completed.insert(task) {
                    self.cancel_at_completion(task.job, &spec);
                }
                let on = self.workers[at].tasks.get_mut(&task).expect("it is there");
                on.state = TaskState::Ended;
                on.cause = Some(FailureCause::Done);
            }
            let worker = &mut self.workers[at];
            worker.report_at = worker.report_at.min(now + 500);
        }
    }

    /// The job's user calls it off at the moment of its end, or while that is told and stored.
    fn cancel_at_completion(&mut self, job: JobId, spec: &Submission) {
        let done = |index| self.completed.contains(&TaskId { job, index });
        if self.cancel_at_completion_until <= self.now || !(0..spec.tasks).all(done) {
            return;
        }
        let time = self.now + self.rng.random_range(0..2500);
        self.schedule(time, SimulationEvent::CancelJob(job));
        for _ in 0..3 {
            let near = time.saturating_sub(50).max(self.now) + self.rng.random_range(0..100);
            self.schedule(near, SimulationEvent::CheckConsistency(job));
        }
    }

    /// A task has its image: the rules about starting.
    fn on_task_started(&mut self, at: usize, task: TaskId, spec: &Submission) {
        self.starts += 1;
        *self.starts_by_task.entry(task).or_default() += 1;
        let on = |state| matches!(state, TaskState::Running | TaskState::Saving);
        for (other, worker) in self.workers.iter().enumerate() {
            let there = worker.tasks.get(&task).is_some_and(|t| on(t.state));
            assert!(other == at || !there, "ran_twice: {task} at {}", self.now);
        }
        let (worker, told) = (&self.workers[at], &self.jobs[&task.job].1);
        assert!(!worker.spot || spec.spot, "wrong_place: {task}");
        let allowed = spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone);
        assert!(allowed, "wrong_place: {task} in {}", worker.zone);
        if spec.one_zone {
            for other in self
                .workers
                .iter()
                .filter(|other| other.zone != worker.zone)
            {
                let apart = |(id, t): (&TaskId, &TaskOnWorker)| id.job == task.job && on(t.state);
                assert!(
                    !other.tasks.iter().any(apart),
                    "wrong_place: {task} apart from the others"
                );
            }
        }
        for awaited in &spec.dependencies {
            // What counts is the record: a cancellation may win over an end that is not stored.
            let record = self.store.row(&format!("shared/job/{awaited}"));
            let record = record.expect("it was accepted").value;
            assert_eq!(
                record["status"], "done",
                "too_early: {task} at {}",
                self.now
            );
            self.dependent_starts += 1;
        }
        if let Some(told_at) = told.cancelled_at {
            assert!(
                self.now <= told_at + self.timings.cancellation_bound_ms,
                "ran_cancelled: {task} starts"
            );
        }
        let running = |team: &str| -> f64 {
            let tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
            tasks
                .filter(|(_, t)| on(t.state))
                .map(|(id, _)| &self.jobs[&id.job].0)
                .filter(|job| job.team == team)
                .map(|job| job.cpus)
                .sum()
        };
        if spec.team == "red" {
            let used = running("red") + spec.cpus;
            assert!(
                used <= TEAM_CPU_LIMIT + 1e-6,
                "quota: red uses {used} with {task} on {}: {:?}",
                self.workers[at].name,
                self.task_locations("red")
            );
        }
        if spec.spread {
            let same = self
                .workers
                .iter()
                .filter(|other| other.zone == worker.zone)
                .flat_map(|other| &other.tasks)
                .filter(|(id, t)| id.job == task.job && on(t.state))
                .count();
            assert!(
                same < spec.tasks.div_ceil(2) as usize,
                "wrong_place: {task} crowds a zone"
            );
        }
    }

    /// Where a team's tasks are: what a broken rule is explained with.
    fn task_locations(&self, team: &str) -> Vec<String> {
        let mut found = Vec::new();
        for worker in &self.workers {
            for (task, on) in &worker.tasks {
                if self.jobs[&task.job].0.team == team {
                    found.push(format!(
                        "{task}#{} {:?} on {} (session {}, token {}, cut until {})",
                        on.attempt,
                        on.state,
                        worker.name,
                        worker.incarnation,
                        worker.token,
                        worker.cut_until
                    ));
                }
            }
        }
        found
    }

    fn execute_orders(&mut self, at: usize, orders: &[Order]) {
        for order in orders {
            match *order {
                Order::Start { task, attempt } => {
                    let spec = self.jobs[&task.job].0.clone();
                    let mut used = 0.0;
                    for (id, on) in &self.workers[at].tasks {
                        if on.state != TaskState::Ended {
                            used += self.jobs[&id.job].0.cpus;
                        }
                    }
                    let fetch = self.rng.random_range(50..3000);
                    let worker = &mut self.workers[at];
                    let fetch = if worker.images.contains(&spec.image) {
                        1
                    } else {
                        fetch
                    };
                    if worker
                        .tasks
                        .get(&task)
                        .is_some_and(|on| on.attempt == attempt)
                    {
                        continue;
                    }
                    let refused = if worker.tasks.contains_key(&task) {
                        // The attempt that is here stays; the refusal is not kept in this model.
                        continue;
                    } else {
                        (used + spec.cpus > 16.0 + 1e-6).then_some(FailureCause::NoRoom)
                    };
                    let entry = TaskOnWorker {
                        attempt,
                        state: if refused.is_some() {
                            TaskState::Ended
                        } else {
                            TaskState::Fetching
                        },
                        cause: refused,
                        ends_at: self.now + fetch,
                    };
                    worker.tasks.insert(task, entry);
                }
                Order::Stop { task, attempt, .. } => {
                    if let Some(on) = self.workers[at].tasks.get_mut(&task)
                        && on.attempt == attempt
                        && on.state != TaskState::Ended
                    {
                        on.state = TaskState::Ended;
                        on.cause = Some(FailureCause::Stopped);
                    }
                }
                Order::Forget { task, attempt } => {
                    let worker = &mut self.workers[at];
                    if worker
                        .tasks
                        .get(&task)
                        .is_some_and(|on| on.attempt == attempt && on.state == TaskState::Ended)
                    {
                        worker.tasks.remove(&task);
                    }
                }
            }
        }
        if !orders.is_empty() {
            let worker = &mut self.workers[at];
            worker.report_at = worker.report_at.min(self.now + 500);
        }
    }

    fn on_response(&mut self, index: usize, life: u64, id: RequestId, answer: ApiResponse) {
        match self.pending_requests.remove(&(index, life, id)) {
            Some(PendingRequest::Report(at, ..)) if self.drops_inbound(at) => {}
            Some(PendingRequest::Report(at, session, number)) => {
                let cut = self.link_cut_until(index, at);
                if let Some(time) = self.message_arrival(cut) {
                    let tag = session << 40 | number;
                    self.schedule(
                        time,
                        SimulationEvent::DeliverResponse(at, tag, index as u64, Box::new(answer)),
                    );
                }
            }
            Some(PendingRequest::Relayed(asker, asker_life, id)) => {
                self.relayed_successes += usize::from(answer.status < 300);
                let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[asker]);
                if let Some(time) = self.message_arrival(cut) {
                    let command = Command::RelayAnswered(id, Some(answer));
                    self.schedule_command(asker, asker_life, time, command);
                }
            }
            Some(PendingRequest::Malformed(allowed)) => {
                assert!(
                    allowed.contains(&answer.status),
                    "an odd request got {answer:?}"
                );
                *self
                    .malformed_responses
                    .entry((index, answer.status))
                    .or_default() += 1;
            }
            // Its user has left.
            Some(PendingRequest::User(..)) if self.effects_held_until > 0 => {}
            Some(PendingRequest::User(job, cancel, before)) => {
                self.record_user_view(job, cancel, before, &answer)
            }
            None => {}
        }
    }

    /// What users are told: the rules about answers.
    fn record_user_view(
        &mut self,
        id: JobId,
        cancel: bool,
        before: ViewAtRequest,
        answer: &ApiResponse,
    ) {
        let ViewAtRequest { accepted, last, .. } = before;
        let now = self.now;
        let may_be_cancelled = self
            .dependencies(id)
            .any(|id| self.jobs[&id].1.asked_to_cancel);
        let (spec, told) = self
            .jobs
            .get_mut(&id)
            .expect("only known jobs are asked for");
        if answer.status == 404 {
            assert!(!accepted, "forgotten: {id}");
            return;
        }
        if answer.status >= 300 {
            assert!(
                !accepted || (answer.status != 400 && answer.status != 422),
                "forgotten: {id}"
            );
            if let Some(seconds) = answer.retry_after_s {
                assert!(seconds <= 30, "users wait for 30 s at the most");
                self.retry_at.insert(id, now + u64::from(seconds) * 1000);
                self.rejections += usize::from(answer.status == 429);
            }
            return;
        }
        if answer.status == 201 {
            self.acceptances_at.push(now);
        }
        let known = (told.accepted, told.last);
        told.accepted = true;
        told.answered_at = now;
        told.accepted_at.get_or_insert(now);
        let view: JobView = protocol::decode(&answer.body).expect("a job's state");
        let ended = |status| matches!(status, Some(JobStatus::Done | JobStatus::Cancelled));
        if ended(last) {
            assert_eq!(Some(view.status), last, "went_back: {id}");
        }
        if ended(told.last) && ended(Some(view.status)) {
            assert_eq!(Some(view.status), told.last, "went_back: {id}");
        }
        if !ended(told.last) {
            told.last = Some(view.status);
        }
        match view.status {
            JobStatus::Done => {
                for index in 0..spec.tasks {
                    let task = TaskId { job: id, index };
                    assert!(self.completed.contains(&task), "not_done: {task}");
                }
            }
            JobStatus::Cancelled => {
                assert!(may_be_cancelled, "went_back: {id} was not cancelled");
                told.cancelled_at.get_or_insert(now);
            }
            _ => {
                assert!(!cancel, "a cancellation was answered with {view:?}");
                // Sooner than the rule asks: each node derives it at once.
                assert!(
                    !before.dependency_cancelled,
                    "orphaned: {id} is {:?}",
                    view.status
                );
            }
        }
        if self.consistency_checks_until > now {
            self.answered_consistency_checks += 1;
            if known != (true, told.last) {
                // From then on no node may say anything older.
                for later in [1, 2, 4, 8, 16, 30, 60, 200, 1000] {
                    self.schedule(now + later, SimulationEvent::CheckConsistency(id));
                }
            }
        }
    }

    /// A job and all that it needs, directly or through others.
    fn dependencies(&self, id: JobId) -> impl Iterator<Item = JobId> {
        let mut all = vec![id];
        let mut at = 0;
        while let Some(id) = all.get(at) {
            at += 1;
            for awaited in &self.jobs[id].0.dependencies {
                if !all.contains(awaited) {
                    all.push(*awaited);
                }
            }
        }
        all.into_iter()
    }

    fn send_request(&mut self, id: JobId, ask: ApiRequest) {
        let index = self.rng.random_range(0..NODE_COUNT);
        self.send_request_to(index, id, ask);
    }

    fn send_request_to(&mut self, index: usize, id: JobId, ask: ApiRequest) {
        if self.frozen_until[index] > self.now {
            // It gets no answer in time and asks again.
            return;
        }
        let cancel = matches!(ask, ApiRequest::Cancel(_));
        if cancel {
            self.jobs.get_mut(&id).expect("known").1.asked_to_cancel = true;
        }
        self.next_request_id += 1;
        let life = self.incarnations[index];
        let told = &self.jobs[&id].1;
        let cancelled = |id: JobId| self.jobs[&id].1.cancelled_at.is_some();
        let before = ViewAtRequest {
            accepted: told.accepted,
            last: told.last,
            dependency_cancelled: self.dependencies(id).any(cancelled),
        };
        let asked = PendingRequest::User(id, cancel, before);
        self.pending_requests
            .insert((index, life, self.next_request_id), asked);
        self.step(index, life, Command::ApiRequest(self.next_request_id, ask));
    }

    /// Something odd is asked, which may be answered with these only.
    fn send_malformed_request(&mut self, index: usize, ask: ApiRequest, allowed: &'static [u16]) {
        self.next_request_id += 1;
        let life = self.incarnations[index];
        self.pending_requests.insert(
            (index, life, self.next_request_id),
            PendingRequest::Malformed(allowed),
        );
        self.step(index, life, Command::ApiRequest(self.next_request_id, ask));
    }

    fn random_job(&mut self, number: u64) -> Submission {
        let service = self.rng.random_bool(0.3);
        let zone = ["a", "b"][self.rng.random_range(0..2)];
        let zone = self.rng.random_bool(0.1).then(|| zone.to_owned());
        Submission {
            id: JobId(number),
            class: "any".into(),
            team: if self.rng.random_bool(0.5) {
                "red"
            } else {
                "blue"
            }
            .into(),
            kind: if service {
                JobKind::Service
            } else {
                JobKind::Array
            },
            priority: if service {
                Priority::Production
            } else {
                Priority::Normal
            },
            tasks: self.rng.random_range(1..if service { 4 } else { 9 }),
            cpus: 4.0,
            gpus: 0.0,
            ram_gb: 8.0,
            image: format!("img-{}", self.rng.random_range(0..3)),
            image_gb: 1.0,
            types: None,
            spread: service && zone.is_none(),
            zone,
            one_zone: !service && self.rng.random_bool(0.05),
            spot: !service,
            estimate_s: if service { 0.0 } else { 8.0 },
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        }
    }

    /// A job that awaits some of those that were accepted, whatever has become of them.
    fn random_dag_stage(&mut self, number: u64) -> Submission {
        let mut spec = self.random_job(number);
        let known = self
            .jobs
            .iter()
            .filter(|(_, (spec, told))| told.accepted && spec.kind == JobKind::Array);
        let known: Vec<JobId> = known.map(|(id, _)| *id).collect();
        let lately = &known[known.len().saturating_sub(12)..];
        if spec.kind == JobKind::Array && !lately.is_empty() {
            for _ in 0..self.rng.random_range(0..4) {
                let awaited = lately[self.rng.random_range(0..lately.len())];
                if !spec.dependencies.contains(&awaited) {
                    spec.dependencies.push(awaited);
                }
            }
            // A record that takes several keys.
            if !spec.dependencies.is_empty() && self.rng.random_bool(0.1) {
                spec.types = Some(
                    vec!["c16".into(); 30]
                        .into_iter()
                        .chain((0..30).map(|n| format!("{n:0>60}")))
                        .collect(),
                );
            }
        }
        spec
    }

    /// In one history of four small tasks come by the dozen for a while.
    fn is_flooding(&self, second: u64) -> bool {
        self.seed % 4 == 2 && (40..52).contains(&second)
    }

    /// One of a flood: a small task of a team without a guarantee.
    fn small_task(&mut self, number: u64) -> Submission {
        self.flood_jobs.insert(JobId(number));
        Submission {
            class: "flood".into(),
            team: "blue".into(),
            kind: JobKind::Array,
            priority: Priority::Low,
            tasks: 1,
            cpus: 0.25,
            ram_gb: 0.5,
            spread: false,
            zone: None,
            one_zone: false,
            spot: true,
            estimate_s: 4.0,
            ..self.random_job(number)
        }
    }

    /// Whether the user of a flood's job asks at this moment.
    fn may_retry(&mut self, id: JobId) -> bool {
        let now = self.now;
        match self.retry_at.get(&id) {
            Some(at) if *at > now => false,
            Some(_) => true,
            None => self.rng.random_bool(0.05),
        }
    }

    fn submit(&mut self, spec: Submission) {
        let id = spec.id;
        self.jobs.insert(id, (spec.clone(), UserView::default()));
        self.send_request(id, ApiRequest::Submit(Box::new(spec)));
    }

    /// An array without a limit to its team, so long that it outlives the test.
    fn long_array(&mut self, number: u64, tasks: u32) -> Submission {
        Submission {
            team: "blue".into(),
            kind: JobKind::Array,
            spread: false,
            zone: None,
            one_zone: false,
            priority: Priority::Normal,
            tasks,
            estimate_s: 600.0,
            ..self.random_job(number)
        }
    }

    /// Adds up the replicas that have been asked for long enough, as far as their team's limit allows, and those of
    /// them that run. A second in which nobody can act counts for nothing: the state service is down, or
    /// no node has been up for long enough.
    fn count_replicas(&mut self) {
        let patience = self.timings.lease_ttl_ms + 10_000;
        let settled = |node: usize| {
            self.nodes[node].is_some()
                && self.booted_at[node] + 5000 <= self.now
                && self.state_service_cut_until[node] + 5000 <= self.now
                && self.state_service_refuses_until[node] + patience <= self.now
                && self.worker_cut_until[node] + patience <= self.now
                && self.frozen_until[node] + 5000 <= self.now
        };
        if self.store.down_until.max(self.fault_until) + patience > self.now
            || !(0..NODE_COUNT).all(settled)
            || self.zone_cut.2 + patience > self.now
        {
            return;
        }
        let running = self.running();
        for (at, (team, most)) in [("red", (TEAM_CPU_LIMIT / 4.0) as u64), ("blue", 30)]
            .into_iter()
            .enumerate()
        {
            let (mut asked, mut up) = (0, 0);
            for (id, (spec, told)) in &self.jobs {
                let old = told.accepted_at.is_some_and(|at| at + patience <= self.now);
                if spec.kind != JobKind::Service
                    || spec.team != team
                    || !old
                    || told.asked_to_cancel
                {
                    continue;
                }
                asked += u64::from(spec.tasks);
                up += running.keys().filter(|task| task.job == *id).count() as u64;
            }
            self.replica_seconds[at].0 += asked.min(most);
            self.replica_seconds[at].1 += up.min(most);
        }
    }

    /// TaskModel that run, each with its attempt and the machine.
    fn running(&self) -> BTreeMap<TaskId, (u64, usize)> {
        let all = self.workers.iter().enumerate();
        let tasks = all.flat_map(|(at, worker)| worker.tasks.iter().map(move |t| (at, t)));
        tasks
            .filter(|(_, (_, on))| on.state == TaskState::Running)
            .map(|(at, (task, on))| (*task, (on.attempt, at)))
            .collect()
    }

    fn inject_random_fault(&mut self) {
        let index = self.rng.random_range(0..NODE_COUNT);
        let until = self.now + self.rng.random_range(2000..30_000);
        match self.rng.random_range(0..13 + FAULT_KINDS + 4) {
            kind @ 13.. if kind < 13 + FAULT_KINDS => self.inject_fault(kind - 13, index, until),
            13.. => {
                // Two that meet.
                let first = self.rng.random_range(0..FAULT_KINDS);
                let second = (first + self.rng.random_range(1..FAULT_KINDS)) % FAULT_KINDS;
                self.inject_fault(first, index, until);
                self.inject_fault(second, index, until);
            }
            11 => self.schedule_process_stops(&[index]),
            12 => self.schedule_process_stops(&[0, 1, 2]),
            10 => {
                let zone = ["a", "b"][self.rng.random_range(0..2)];
                // For longer than the node may renew workers.
                let room = 2 * self.timings.cancellation_bound_ms;
                let until = self.now + self.rng.random_range(5000..room);
                self.cut_zone(index, zone, until);
            }
            8 => self.freeze(index),
            9 => {
                let leader = self.leader.unwrap_or(index);
                self.freeze(leader);
            }
            0 => {
                let pause = self.random_restart_delay();
                self.stop_process(index, pause);
            }
            1 => {
                for each in 0..NODE_COUNT {
                    let pause = self.random_restart_delay();
                    self.stop_process(each, pause);
                }
            }
            2 => {
                self.start_state_service_outage(until);
            }
            3 => self.state_service_cut_until[index] = until,
            4 => self.worker_cut_until[index] = until,
            5 => {
                self.state_service_cut_until[index] = until;
                self.worker_cut_until[index] = until;
                self.mesh_cut_until[index] = until;
            }
            6 => self.mesh_cut_until[index] = until,
            _ => {
                let at = self.rng.random_range(0..self.workers.len());
                self.workers[at].cut_until = until;
            }
        }
    }

    /// One of the troubles that users have seen meet others.
    fn inject_fault(&mut self, kind: usize, index: usize, until: u64) {
        self.fault_until = self.fault_until.max(until);
        let leader = self.leader.unwrap_or(index);
        match kind {
            0 => self.delayed_writes_until = until,
            1 => self.duplicated_reports_until = until,
            2 => {
                let until = until.max(self.now + self.timings.lease_ttl_ms + 5000);
                self.fault_until = self.fault_until.max(until);
                let zone = ["a", "b"][self.rng.random_range(0..2)];
                for worker in self.workers.iter_mut().filter(|w| w.zone == zone) {
                    worker.drops_inbound_until = until;
                }
            }
            3 => self.slow_state_service_until = until,
            4 => self.lost_replies_until = until,
            5 => {
                // An old report for a new leader, which begins soon.
                self.retain_reports_until = until;
                let pause = self.random_restart_delay();
                self.schedule(until + 100, SimulationEvent::StopProcess(leader, pause));
            }
            6 | 7 => {
                let zone = ["a", "b"][self.rng.random_range(0..2)];
                let part = [0.3, 1.0][self.rng.random_range(0..2)];
                for at in 0..self.workers.len() {
                    if self.workers[at].zone != zone || !self.rng.random_bool(part) {
                        continue;
                    }
                    match kind {
                        6 => self.workers[at].drops_outbound_until = until,
                        _ => self.workers[at].hung_until = until,
                    }
                }
            }
            8 => {
                self.consistency_checks_until = until;
                self.cancel_at_completion_until = until;
            }
            // The leader loses the state service and the members, not its workers or users, or is refused alone.
            _ if self.rng.random_bool(0.5) => {
                self.state_service_cut_until[leader] = until;
                self.mesh_cut_until[leader] = until;
            }
            _ => {
                self.state_service_refuses_until[leader] =
                    until.max(self.state_service_refuses_until[leader])
            }
        }
    }

    /// The state service refuses the leader alone, and soon everybody, for longer than a cancellation may take.
    fn refuse_all_state_requests(&mut self) {
        let cancel = self.timings.cancellation_bound_ms;
        let leader = self.leader.unwrap_or(0);
        let from = self.now + self.rng.random_range(0..cancel / 2);
        let until = from + cancel + self.rng.random_range(1000..10_000);
        self.state_service_refuses_until[leader] = until;
        self.state_service_outage = Some((from, until));
        self.fault_until = self.fault_until.max(until);
    }

    fn handle_event(&mut self, what: SimulationEvent) {
        // What came meanwhile and what has timed out come all at once, in any order.
        if let Some(index) = Self::node_of_event(&what)
            && self.frozen_until[index] > self.now
        {
            let time = self.frozen_until[index] + self.rng.random_range(0..30);
            return self.schedule(time, what);
        }
        match what {
            SimulationEvent::Boot(index) => {
                if self.nodes[index].is_none() {
                    self.boot(index);
                }
            }
            SimulationEvent::StopProcess(index, pause) => {
                if self.faults_enabled && self.nodes[index].is_some() {
                    self.stop_process(index, pause);
                }
            }
            SimulationEvent::Tick(index, life) => {
                if self.nodes[index].is_some() && self.incarnations[index] == life {
                    self.step(index, life, Command::Tick);
                    self.schedule(self.now + 50, SimulationEvent::Tick(index, life));
                }
            }
            SimulationEvent::DeliverCommand(index, tag, command) => {
                let (life, ticket) = (tag & 0xfffff, tag >> 20);
                // What a copy is answered is not the answer that its sender waits for.
                if life != DUPLICATE_TICKET && (ticket == 0 || self.answered.insert(ticket)) {
                    self.step(index, life, *command);
                }
            }
            SimulationEvent::StateRequestArrives(index, life, sent_and_ticket, packet) => {
                let (sent_at, ticket) = (sent_and_ticket >> 32, sent_and_ticket & 0xffff_ffff);
                let (tag, request) = *packet;
                // What was sent within the old limits, and comes late, is refused.
                let late = sent_at + self.booted_at[index] + 2000 < self.now;
                if (self.incarnations[index] != life || late)
                    && let StateRequest::Txn(txn) = &request
                    && !self.store.limits.accepts(txn)
                {
                    return;
                }
                if self.is_refused_by_state_service(index) {
                    if matches!(request, StateRequest::Changes { hold_ms, .. } if hold_ms > 0) {
                        let until = self
                            .store
                            .down_until
                            .max(self.state_service_refuses_until[index]);
                        self.watches
                            .push((index, life, tag, request, sent_and_ticket, until));
                        return;
                    }
                    let result = Err(StateError::Refused(503));
                    return self.deliver_reply(
                        index,
                        life,
                        ticket,
                        Command::StateResponse {
                            tag,
                            sent_at,
                            result,
                        },
                    );
                }
                if self.limits_unannounced
                    && let StateRequest::Txn(txn) = &request
                    && !self.store.limits.accepts(txn)
                {
                    self.oversized_writes += 1;
                    let result = Err(StateError::Refused(400));
                    let command = Command::StateResponse {
                        tag,
                        sent_at,
                        result,
                    };
                    return self.deliver_reply(index, life, ticket, command);
                }
                // ClockReading and then it is too much for the store, or its log does not go back so far.
                let refused = self.faults_enabled && self.rng.random_bool(0.01);
                let too_old = matches!(request, StateRequest::Changes { .. });
                if refused {
                    let result = if too_old {
                        Ok(StateReply::TooOld)
                    } else {
                        Err(StateError::Refused(429))
                    };
                    let command = Command::StateResponse {
                        tag,
                        sent_at,
                        result,
                    };
                    return self.deliver_reply(index, life, ticket, command);
                }
                self.store.expire_leases(self.now);
                let before = self.leadership();
                let reply = self.store.execute(&request, self.now);
                let after = self.leadership();
                if after.0.is_some() && after.0 != before.0 {
                    assert_eq!(before.0, None, "a takeover beside a leader");
                    assert!(after.1 > before.1, "a takeover under an old term");
                }
                match reply {
                    Some(reply) => {
                        let result = Ok(reply);
                        self.deliver_reply(
                            index,
                            life,
                            ticket,
                            Command::StateResponse {
                                tag,
                                sent_at,
                                result,
                            },
                        );
                    }
                    None => {
                        let until = self.now + 10_000;
                        self.watches
                            .push((index, life, tag, request, sent_and_ticket, until));
                    }
                }
            }
            SimulationEvent::DeliverOrders(_, _, _, at, _)
            | SimulationEvent::DeliverResponse(at, ..)
                if self.workers[at].hung_until > self.now =>
            {
                // All that has come meanwhile is there when it goes on.
                self.messages_held_by_hung_workers += 1;
                let time = self.workers[at].hung_until + self.rng.random_range(0..20);
                self.schedule(time, what);
            }
            SimulationEvent::DeliverOrders(index, life, ticket, at, packet) => {
                let (tag, orders) = *packet;
                self.advance_worker(at);
                if self.workers[at].gone {
                    return;
                }
                if self.drops_inbound(at) {
                    self.workers[at].lost_starts.extend(&tag.starts);
                    return;
                }
                let mut executed = true;
                if let Some(orders) = orders {
                    let worker = &mut self.workers[at];
                    executed =
                        orders.token >= worker.token && orders.incarnation == worker.incarnation;
                    if executed {
                        worker.token = orders.token;
                        self.execute_orders(at, &orders.orders);
                    }
                }
                let report = self.build_report(at);
                let result = Some(if executed {
                    WorkerReply::Executed(report)
                } else {
                    WorkerReply::Rejected(report)
                });
                let cut = self.link_cut_until(index, at);
                if let Some(time) = self.message_arrival(cut) {
                    let command = Box::new(Command::WorkerResponse { tag, result });
                    self.schedule(
                        time,
                        SimulationEvent::DeliverCommand(index, life | ticket << 20, command),
                    );
                }
            }
            SimulationEvent::DeliverReport(at, index, report, number) => {
                self.next_request_id += 1;
                let life = self.incarnations[index];
                if self.nodes[index].is_none() {
                    return;
                }
                let asked = PendingRequest::Report(at, report.incarnation, number);
                self.pending_requests
                    .insert((index, life, self.next_request_id), asked);
                let command =
                    Command::ApiRequest(self.next_request_id, ApiRequest::Heartbeat(report));
                self.step(index, life, command);
            }
            SimulationEvent::DeliverResponse(at, tag, index, answer) => {
                let (session, number) = (tag >> 40, tag & 0xff_ffff_ffff);
                self.advance_worker(at);
                let worker = &mut self.workers[at];
                let Some((flying, until)) = worker.report_in_flight else {
                    return;
                };
                if until < self.now
                    || flying != number
                    || worker.incarnation != session
                    || worker.gone
                {
                    return;
                }
                worker.report_in_flight = None;
                match answer.status {
                    200 => {
                        let orders: Orders = protocol::decode(&answer.body).expect("orders");
                        let worker = &mut self.workers[at];
                        if orders.token >= worker.token {
                            worker.token = orders.token;
                            // A report's number is the time at which it was sent.
                            worker.lease_renewed_at = worker.lease_renewed_at.max(number);
                            self.execute_orders(at, &orders.orders);
                        }
                    }
                    421 => {
                        let redirect: Redirect = protocol::decode(&answer.body).expect("a leader");
                        let to = redirect.leader.and_then(|label| label[1..].parse().ok());
                        let worker = &mut self.workers[at];
                        worker.node = to.unwrap_or((index as usize + 1) % NODE_COUNT);
                        worker.report_at = self.now + 100;
                    }
                    _ => {
                        worker.node = (index as usize + 1) % NODE_COUNT;
                        worker.report_at = self.now + 1000;
                    }
                }
            }
            SimulationEvent::CheckConsistency(id) => {
                let spec = Box::new(self.jobs[&id].0.clone());
                for node in 0..NODE_COUNT {
                    self.send_request_to(node, id, ApiRequest::Poll(id));
                    self.send_request_to(node, id, ApiRequest::Submit(spec.clone()));
                }
                if self.consistency_checks_until > self.now && self.rng.random_bool(0.004) {
                    self.send_request(id, ApiRequest::Cancel(id));
                }
            }
            SimulationEvent::CancelJob(id) => self.send_request(id, ApiRequest::Cancel(id)),
            SimulationEvent::Relay(asker, life, other, id, ask) => {
                self.next_request_id += 1;
                let other_life = self.incarnations[other];
                let whom = PendingRequest::Relayed(asker, life, id);
                self.pending_requests
                    .insert((other, other_life, self.next_request_id), whom);
                let command = Command::ApiRequest(self.next_request_id, ApiRequest::Relayed(ask));
                self.step(other, other_life, command);
            }
            SimulationEvent::Revoke(asker, other, tag, effect) => {
                let (life, sent_at) = (tag >> 32, tag & 0xffff_ffff);
                let Effect::RequestRevocation {
                    lease,
                    label,
                    revocation,
                } = *effect
                else {
                    return;
                };
                self.next_request_id += 1;
                let other_life = self.incarnations[other];
                let whom = (asker, life, sent_at, lease, label);
                self.pending_revocations
                    .insert((other, other_life, self.next_request_id), whom);
                let command = Command::RevokeLeases(self.next_request_id, revocation);
                self.step(other, other_life, command);
            }
        }
    }

    /// Whether what is sent to a machine is lost.
    fn drops_inbound(&mut self, at: usize) -> bool {
        let deaf = self.workers[at].drops_inbound_until > self.now;
        self.dropped_messages += usize::from(deaf);
        deaf
    }

    /// Whether the state service answers this node with 503.
    fn is_refused_by_state_service(&self, index: usize) -> bool {
        self.store
            .down_until
            .max(self.state_service_refuses_until[index])
            > self.now
    }

    /// It is down for all; afterwards all leases get their full time again.
    fn start_state_service_outage(&mut self, until: u64) {
        self.store.expire_leases(self.now);
        let until = until.max(self.store.down_until);
        self.store.down_until = until;
        for (end, life) in self.store.leases.values_mut() {
            *end = until + *life;
        }
    }

    /// The version of the leader's key, and the term.
    fn leadership(&self) -> (Option<u64>, u64) {
        let leader = self.store.row("shared/leader").map(|row| row.version);
        let term = self.store.row("shared/term");
        let term = term.and_then(|row| row.value["term"].as_u64());
        (leader, term.unwrap_or(0))
    }

    fn deliver_reply(&mut self, index: usize, life: u64, ticket: u64, command: Command) {
        if self.lost_reply_tickets.contains(&ticket) {
            if let Command::StateResponse { tag, result, .. } = command
                && matches!(result, Ok(StateReply::Committed(_)))
            {
                *self
                    .lost_replies_by_kind
                    .entry(request_kind(&tag))
                    .or_default() += 1;
            }
            return;
        }
        if let Some(time) = self.message_arrival(self.state_service_cut_until[index]) {
            let time = time + self.state_reply_delay_ms;
            let tag = life | ticket << 20;
            self.schedule(
                time,
                SimulationEvent::DeliverCommand(index, tag, Box::new(command)),
            );
        }
    }

    /// What happens by itself every 25 ms.
    fn run_background(&mut self) {
        if self.limit_drop.0 <= self.now {
            self.store.limits = self.limit_drop.1;
        }
        for index in 0..NODE_COUNT {
            // Its turn: killed, it comes back a moment later.
            if (self.now - 25..self.now).contains(&self.limit_notice_at[index]) && self.now > 25 {
                self.crash(index);
                self.boot(index);
            }
        }
        for at in 0..self.workers.len() {
            self.advance_worker(at);
            let now = self.now;
            let worker = &mut self.workers[at];
            if worker.gone || now < 1000 || worker.hung_until > now {
                continue;
            }
            if worker
                .report_in_flight
                .is_some_and(|(_, until)| until <= now)
            {
                worker.report_in_flight = None;
                worker.node = (worker.node + 1) % NODE_COUNT;
                worker.report_at = now + 1000;
            }
            if worker.report_in_flight.is_none() && worker.report_at <= now {
                worker.report_in_flight = Some((now, now + 4000));
                let report = self.timings.report_interval_ms;
                worker.report_at = now + self.rng.random_range(report * 3 / 4..=report * 5 / 4);
                let node = worker.node;
                let report = self.build_report(at);
                if self.workers[at].drops_outbound_until > now {
                    // It can't connect, and tries the next node.
                    self.undelivered_reports += 1;
                    let worker = &mut self.workers[at];
                    worker.report_in_flight = None;
                    worker.node = (node + 1) % NODE_COUNT;
                    worker.report_at = now + 1000;
                    continue;
                }
                if self.retain_reports_until > now && self.retained_reports.len() < 200 {
                    self.retained_reports.push((at, Box::new(report.clone())));
                }
                let cut = self.link_cut_until(node, at);
                if let Some(time) = self.message_arrival(cut) {
                    if let Some(time) = self.duplicate_arrival() {
                        let copied = Box::new(report.clone());
                        self.schedule(time, SimulationEvent::DeliverReport(at, node, copied, 0));
                    }
                    if self.duplicated_reports_until > self.now && self.rng.random_bool(0.3) {
                        let later = self.rng.random_range(2000..2 * self.timings.lease_ttl_ms);
                        // To whoever is asked by then.
                        let node = self.rng.random_range(0..NODE_COUNT);
                        let copied = Box::new(report.clone());
                        self.duplicated_reports += 1;
                        self.schedule(
                            now + later,
                            SimulationEvent::DeliverReport(at, node, copied, 0),
                        );
                    }
                    self.schedule(
                        time,
                        SimulationEvent::DeliverReport(at, node, Box::new(report), now),
                    );
                }
            }
        }
        if let Some((_, until)) = self
            .state_service_outage
            .take_if(|(from, _)| *from <= self.now)
        {
            self.start_state_service_outage(until);
        }
        self.store.expire_leases(self.now);
        if self.store.down_until <= self.now {
            for (index, life, tag, request, sent_and_ticket, until) in
                std::mem::take(&mut self.watches)
            {
                if self.state_service_refuses_until[index] > self.now {
                    self.watches
                        .push((index, life, tag, request, sent_and_ticket, until));
                    continue;
                }
                let (sent_at, ticket) = (sent_and_ticket >> 32, sent_and_ticket & 0xffff_ffff);
                let mut request = request;
                if until <= self.now
                    && let StateRequest::Changes { hold_ms, .. } = &mut request
                {
                    *hold_ms = 0;
                }
                match self.store.execute(&request, self.now) {
                    Some(reply) => {
                        let result = Ok(reply);
                        self.deliver_reply(
                            index,
                            life,
                            ticket,
                            Command::StateResponse {
                                tag,
                                sent_at,
                                result,
                            },
                        );
                    }
                    None => self
                        .watches
                        .push((index, life, tag, request, sent_and_ticket, until)),
                }
            }
        }
        // Cancelled tasks must be gone in time.
        for worker in self.workers.iter().filter(|w| w.hung_until <= self.now) {
            for (task, on) in &worker.tasks {
                let told = self.jobs[&task.job].1.cancelled_at;
                if matches!(on.state, TaskState::Running | TaskState::Saving)
                    && let Some(told_at) = told
                {
                    self.max_run_after_cancel_ms =
                        self.max_run_after_cancel_ms.max(self.now - told_at);
                    assert!(
                        self.now <= told_at + self.timings.cancellation_bound_ms,
                        "ran_cancelled: {task} at {}",
                        self.now
                    );
                }
            }
        }
    }

    /// No accepted job is forgotten: its user, who asks every 5 s, has had an answer lately.
    fn assert_users_answered(&self) {
        for (id, (_, told)) in &self.jobs {
            let answered = told.answered_at + MAX_ANSWER_DELAY_MS >= self.now;
            assert!(
                answered || !told.accepted || self.flood_jobs.contains(id),
                "forgotten: {id}, last answered at {}",
                told.answered_at
            );
        }
    }

    /// What was let in never exceeds what the nodes may take together: in any time, as much as comes in then and
    /// what their buckets hold.
    fn assert_admissions_within_capacity(&self) {
        // Of 50 writes a second followers have 0.4 and the leader 0.6, less what is kept free; the users of a
        // leader have 0.4 of its part, those of a follower 0.95 of theirs.
        let follower = 0.95 * 0.92 * 0.2 * 50.0;
        let leader: f64 = 0.4 * 0.92 * 0.6 * 50.0;
        let whole = 2.0 * follower + leader;
        let depth = 3.0 * (3.0 * leader.max(follower));
        for (at, first) in self.acceptances_at.iter().enumerate() {
            for (count, last) in self.acceptances_at[at..].iter().enumerate() {
                // A request takes up to two seconds, and restarts fill a bucket anew.
                let passed = (last - first) as f64 / 1000.0 + 2.0;
                assert!(
                    count as f64 <= whole * passed + depth + 0.5 * passed,
                    "{count} let in within {passed} s"
                );
            }
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            let next = self.now + 25;
            while let Some(Reverse((time, id))) = self.queue.peek().copied() {
                if time > next {
                    break;
                }
                self.queue.pop();
                self.now = self.now.max(time);
                if let Some(what) = self.events.remove(&id) {
                    self.handle_event(what);
                }
            }
            self.now = next;
            self.run_background();
        }
    }
}

/// What happened in a history: relayed requests that were answered, leaders that stood still, and that
/// resigned, starts of tasks that had to wait for other jobs, records under several keys, writes
/// refused for their size, users sent away with a turn, ends that were back within a second, late copies, and
/// the troubles that `World` counts.
type FaultCounts = [usize; 17];

/// One second of a history in which things fail: jobs are submitted, asked for and cancelled. `number` is that of
/// the last job.
fn troubled_second(world: &mut SimulatedCluster, second: u64, number: &mut u64) {
    world.run_until((second + 1) * 1000);
    if second % 4 == 0 {
        *number += 1;
        let spec = world.random_dag_stage(*number);
        world.submit(spec);
    }
    if world.is_flooding(second) {
        for _ in 0..world.rng.random_range(20..60) {
            *number += 1;
            let spec = world.small_task(*number);
            world.submit(spec);
        }
    }
    // Many while the state service refuses the leader alone, and soon everybody.
    let cancelled = if world.state_service_outage.is_some() {
        0.1
    } else {
        0.008
    };
    let ids: Vec<JobId> = world.jobs.keys().copied().collect();
    for id in ids {
        // Those of a flood ask now and then, and come back when they were told to.
        if world.flood_jobs.contains(&id) && !world.may_retry(id) {
            continue;
        }
        if world.rng.random_bool(0.2) {
            world.send_request(id, ApiRequest::Poll(id));
        }
        let (spec, told) = &world.jobs[&id];
        let retry = (!told.accepted).then(|| Box::new(spec.clone()));
        if let Some(spec) = retry {
            world.send_request(id, ApiRequest::Submit(spec));
        } else if world.rng.random_bool(cancelled) {
            world.send_request(id, ApiRequest::Cancel(id));
        }
    }
    world.count_replicas();
    if world.seed % 5 == 1 && second == 40 {
        world.refuse_all_state_requests();
    }
    if second > 10 && world.rng.random_bool(0.12) {
        world.inject_random_fault();
    }
}

/// What a history comes to.
struct Played {
    seen: FaultCounts,
    /// Of all that was decided, comparable within one version of the code.
    trace: u64,
    /// Of all that was sent, comparable between versions.
    sent: u64,
}

/// Plays a history.
fn run_history(seed: u64) -> Played {
    let mut world = SimulatedCluster::new(seed);
    let mut number = 0;
    for second in 0..180 {
        troubled_second(&mut world, second, &mut number);
    }
    // Once nothing fails any more, every array completes, given room.
    world.faults_enabled = false;
    world.frozen_until.fill(0);
    for each in 0..NODE_COUNT {
        if world.nodes[each].is_none() {
            world.boot(each);
        }
    }
    // A team at its limit works off what has piled up in up to three minutes.
    for second in 180..420 {
        world.run_until((second + 1) * 1000);
        // The last trouble, a zone cut off for twice what a cancellation may take, ends at 300 s.
        if second >= 330 && second % 10 == 0 {
            world.assert_users_answered();
        }
        let ids: Vec<JobId> = world.jobs.keys().copied().collect();
        for id in ids {
            let flood = second < 400 && world.flood_jobs.contains(&id);
            if second % 5 != 0 || flood && !world.may_retry(id) {
                continue;
            }
            let (spec, told) = &world.jobs[&id];
            // Services would hold their team's limit for good, also one whose acceptance was lost
            // on its way to the user.
            let cancel = spec.kind == JobKind::Service && told.cancelled_at.is_none();
            let ask = match told.accepted {
                false => ApiRequest::Submit(Box::new(spec.clone())),
                true if cancel => ApiRequest::Cancel(id),
                true => ApiRequest::Poll(id),
            };
            world.send_request(id, ask);
        }
    }
    assert!(world.starts > 20, "nothing_ran: {} starts", world.starts);
    for (id, (spec, told)) in &world.jobs {
        let cancelled = world
            .dependencies(*id)
            .any(|id| world.jobs[&id].1.asked_to_cancel);
        if spec.kind == JobKind::Array && !cancelled {
            assert_eq!(
                told.last,
                Some(JobStatus::Done),
                "{id} of {} never ended: {:?}, {:?}",
                spec.team,
                world.task_locations("red"),
                world.task_locations("blue"),
            );
        }
    }
    world.assert_admissions_within_capacity();
    // The least served team, of what its limit allows.
    for (asked, up) in world.replica_seconds {
        assert!(
            asked < 100 || up * 2 >= asked,
            "replicas were up for {up} of {asked} s"
        );
    }
    let split = world.jobs.values().filter(|(spec, _)| spec.types.is_some());
    let seen = [
        world.relayed_successes,
        world.leader_freezes,
        world.resignations,
        world.dependent_starts,
        split.count(),
        world.oversized_writes,
        world.rejections,
        world.quick_restarts,
        world.duplicated_messages,
        world.delayed_writes_applied,
        world.duplicated_reports,
        world.dropped_messages,
        world.lost_replies_by_kind.values().sum(),
        world.replayed_reports,
        world.answered_consistency_checks,
        world.undelivered_reports,
        world.messages_held_by_hung_workers,
    ];
    Played {
        seen,
        trace: world.trace.finish(),
        sent: world.sent.digest(),
    }
}

/// `LOG_LEVEL` shows what the nodes say, to explain a broken rule.
fn logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".into());
    let _ = tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::new(level))
        .with_test_writer()
        .without_time()
        .try_init();
}

/// With `HISTORY_DIGESTS=FILE`: writes what each seed's nodes sent, as a digest, or compares it with the file when it
/// is there already. A change of the code that is to change no behaviour changes none of them.
fn compare_digests(digests: &BTreeMap<u64, u64>) {
    let Ok(file) = std::env::var("HISTORY_DIGESTS") else {
        return;
    };
    let lines = |(seed, digest): (&u64, &u64)| format!("{seed} {digest:016x}\n");
    let found: Vec<String> = digests.iter().map(lines).collect();
    match std::fs::read_to_string(&file) {
        Ok(expected) => {
            let differ = |line: &&String| !expected.contains(line.as_str());
            let differ: Vec<&String> = found.iter().filter(differ).collect();
            assert!(
                differ.is_empty(),
                "other digests than in {file}: {differ:?}"
            );
        }
        Err(_) => std::fs::write(&file, found.concat()).expect("the file can be written"),
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    logging();
    // `HISTORIES=1000` looks further than the usual run; `FIRST=15 HISTORIES=16` plays seed 15 alone.
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let first = number("FIRST").unwrap_or(0);
    let seeds: Vec<u64> = (first..number("HISTORIES").unwrap_or(64)).collect();
    let at_once = std::thread::available_parallelism().map_or(1, |n| n.get());
    let (mut seen, mut broken) = ([0; 17], Vec::new());
    let mut digests = BTreeMap::new();
    for seeds in seeds.chunks(at_once) {
        std::thread::scope(|scope| {
            // A panic tells its thread's name, so the seed.
            let played: Vec<_> = seeds
                .iter()
                .map(|seed| {
                    std::thread::Builder::new()
                        .name(format!("seed {seed}"))
                        .spawn_scoped(scope, || run_history(*seed))
                        .expect("a thread")
                })
                .collect();
            for (seed, played) in seeds.iter().zip(played) {
                match played.join() {
                    Ok(played) => {
                        (0..17).for_each(|each| seen[each] += played.seen[each]);
                        digests.insert(*seed, played.sent);
                    }
                    Err(_) => broken.push(*seed),
                }
            }
        });
    }
    assert!(broken.is_empty(), "broken with seeds {broken:?}");
    compare_digests(&digests);
    let [
        relayed,
        frozen,
        resigned,
        released,
        split,
        too_large,
        sent_away,
        quick_ends,
        copies,
        late_applied,
        reports_again,
        unheard,
        answers_lost,
        reports_kept,
        looks,
        muted,
        held_up,
    ] = seen;
    assert!(answers_lost > 0, "no transaction lost only its answer");
    assert!(reports_kept > 0, "no report was kept for a new leader");
    assert!(looks > 0, "no user looked closely");
    assert!(muted > 0, "no machine was out of all controllers' reach");
    assert!(held_up > 0, "nothing waited for a machine that hung");
    assert!(late_applied > 0, "no transaction was carried out late");
    assert!(reports_again > 0, "no report came once more");
    assert!(unheard > 0, "no machine was deaf");
    assert!(quick_ends > 0, "no process was back within a second");
    assert!(copies > 0, "no message came once more");
    assert!(sent_away > 0, "no user was sent away to come back");
    assert!(too_large > 0, "nothing was refused for its size");
    assert!(released > 0, "no job that awaited others ran");
    assert!(split > 0, "no record took several keys");
    assert!(relayed > 0, "no request reached a member in a node's place");
    assert!(frozen > 0, "no leader stood still");
    assert!(resigned > 0, "no leader out of its workers' reach resigned");
}

/// What a node sends follows from its commands and their times alone. Books were once made from a
/// map in its chance order: the same seed then failed on one machine and passed on another.
#[test]
fn same_seed_gives_the_same_history() {
    for seed in [3, 15] {
        let (first, second) = (run_history(seed), run_history(seed));
        assert_eq!(first.trace, second.trace, "seed {seed}");
        assert_eq!(first.sent, second.sent, "seed {seed}");
    }
}

/// Polls by the thousand share a sync, and a swarm of single-task jobs the leader's entries: one write
/// each to accept a job and to end it, and not two more for its log and pages.
#[test]
fn polls_and_single_task_jobs_stay_within_state_write_budget() {
    let mut world = SimulatedCluster::new(0);
    world.faults_enabled = false;
    world.run_until(20_000);
    let before = world.writes;
    for number in 1..=200 {
        let mut spec = world.long_array(number, 1);
        spec.estimate_s = 1.0;
        spec.cpus = 0.25;
        spec.team = "blue".into();
        world.submit(spec);
        world.run_until(20_000 + number * 70);
    }
    let kept = world.long_array(201, 1);
    world.submit(kept);
    world.run_until(50_000);
    assert!(world.jobs.values().all(|(_, told)| told.accepted));
    assert!(
        world.completed.len() >= 200,
        "{} done",
        world.completed.len()
    );
    let writes = (world.writes - before) as f64 / 200.0;
    assert!(writes < 4.0, "{writes} writes a job");
    let idle = world.requests;
    world.run_until(51_000);
    let idle = world.requests - idle;
    let asked = world.requests;
    for _ in 0..1000 {
        world.send_request(JobId(201), ApiRequest::Poll(JobId(201)));
    }
    world.run_until(52_000);
    let asked = world.requests - asked;
    // One more where a table is marked in just that second.
    assert!(
        asked <= idle + 3 * NODE_COUNT + 1,
        "{asked} requests, {idle} without"
    );
}

/// The leader of 571 machines with 2000 tasks ends. Its successor reads the notes, asks all machines
/// and places again before any worker's lease runs out, and what ran runs on. Also where the store
/// takes four small values at a time.
#[test]
fn failover_with_571_machines_completes_before_leases_expire() {
    for seed in [0, 1] {
        let mut world = SimulatedCluster::new(seed);
        world.faults_enabled = false;
        while world.workers.len() < 571 {
            let zone = ["a", "b"][world.workers.len() % 2];
            world.add_worker(zone, false);
        }
        world.run_until(5000);
        for number in 1..=40 {
            let spec = world.long_array(number, 50);
            world.submit(spec);
        }
        world.run_until(30_000);
        let before = world.running();
        assert_eq!(before.len(), 2000, "seed {seed}");
        let old = world.leader.expect("a node leads");
        world.crash(old);
        let spec = world.long_array(41, 200);
        world
            .jobs
            .insert(JobId(41), (spec.clone(), UserView::default()));
        world.send_request_to(
            (old + 1) % NODE_COUNT,
            JobId(41),
            ApiRequest::Submit(Box::new(spec)),
        );
        world.run_until(30_000 + world.timings.lease_ttl_ms);
        let after = world.running();
        for (task, on) in &before {
            assert_eq!(after.get(task), Some(on), "{task}, seed {seed}");
        }
        assert_eq!(after.len(), 2200, "seed {seed}");
        assert!(world.workers.iter().all(|worker| worker.incarnation == 1));
    }
}

/// The ring of the log comes round several times while an array and a part of a large job run on: what
/// only its oldest entries told is told again, or has pages, and a successor finds all of it.
#[test]
fn successor_recovers_tasks_recorded_before_log_wraparound() {
    for seed in [0, 4] {
        let mut world = SimulatedCluster::new(seed);
        world.faults_enabled = false;
        while world.workers.len() < 40 {
            let zone = ["a", "b"][world.workers.len() % 2];
            world.add_worker(zone, false);
        }
        world.run_until(8000);
        let spec = world.long_array(1, 60);
        world.submit(spec);
        world.run_until(10_000);
        let mut large = world.long_array(2, 6000);
        large.cpus = 16.0;
        large.estimate_s = 40.0;
        world.submit(large);
        world.run_until(15_000);
        let before = world.running();
        let array = before.keys().filter(|task| task.job == JobId(1)).count();
        assert_eq!(array, 60, "seed {seed}");
        let written = world.writes;
        for number in 3..=1200 {
            let mut short = world.long_array(number, 1);
            short.estimate_s = 0.5;
            short.cpus = 0.1;
            short.priority = Priority::High;
            world.submit(short);
            world.run_until(15_000 + (number - 2) * 90);
        }
        let written = world.writes - written;
        assert!(written > 4 * 256, "{written} writes");
        let before = world.running();
        let before: Vec<_> = before
            .into_iter()
            .filter(|(task, _)| task.job.0 < 3)
            .collect();
        world.crash(world.leader.expect("a node leads"));
        let crashed = world.now;
        world.run_until(crashed + world.timings.lease_ttl_ms);
        let after = world.running();
        for (task, on) in &before {
            let done = world.completed.contains(task);
            assert!(done || after.get(task) == Some(on), "{task}, seed {seed}");
        }
    }
}

/// The limits fall without anybody having been told, and a burst follows: entries that are refused for
/// their size are written in smaller pieces, and all of it starts.
#[test]
fn oversized_log_records_are_split_after_unannounced_limit_drop() {
    let mut world = SimulatedCluster::new(0);
    world.faults_enabled = false;
    world.limits_unannounced = true;
    world.limit_drop = (20_000, limits(1));
    while world.workers.len() < 100 {
        let zone = ["a", "b"][world.workers.len() % 2];
        world.add_worker(zone, false);
    }
    world.run_until(21_000);
    let spec = world.long_array(1, 300);
    world.submit(spec);
    world.run_until(40_000);
    assert!(
        world.oversized_writes > 0,
        "nothing was refused for its size"
    );
    assert_eq!(world.running().len(), 300);
}

/// Starts get no answer, and their job is cancelled before they could be repeated. What they take of their
/// team's limit is free for others once the workers have seen a higher term, and when the starts arrive at
/// last they are refused. With a term that never rose the next job waited for ever, and no rule was broken.
#[test]
fn unanswered_starts_are_reconciled_by_a_higher_fencing_token() {
    for seed in [0, 8, 10, 16] {
        let mut world = SimulatedCluster::new(seed);
        world.faults_enabled = false;
        world.run_until(8000);
        let WorkerTimings {
            cancellation_bound_ms: cancel,
            report_interval_ms: report,
            ..
        } = world.timings;
        let red = |spec: Submission| Submission {
            team: "red".into(),
            ..spec
        };
        let all = (TEAM_CPU_LIMIT / 4.0) as u32;
        world.start_delay_ms = cancel + 20_000;
        let spec = red(world.long_array(1, all));
        world.submit(spec);
        world.run_until(9000);
        world.send_request(JobId(1), ApiRequest::Cancel(JobId(1)));
        world.run_until(9500);
        assert!(world.jobs[&JobId(1)].1.cancelled_at.is_some());
        world.start_delay_ms = 0;
        let spec = red(world.long_array(2, all));
        world.submit(spec);
        world.run_until(20_000 + 4 * report);
        assert_eq!(world.running().len(), all as usize, "seed {seed}");
        // Whatever starts is checked: these would, for a cancelled job.
        world.run_until(9000 + cancel + 30_000);
    }
}

/// A zone is cut off with a node in it that renews its workers for as long as it may. The leader sees that
/// node's key go long before the last of those leases has run out, and places nothing anew until then.
#[test]
fn leases_by_a_vanished_lease_renewer_expire_before_rescheduling() {
    for seed in [0, 8, 10, 16] {
        let mut world = SimulatedCluster::new(seed);
        world.faults_enabled = false;
        while world.workers.len() < 8 {
            let zone = ["a", "b"][world.workers.len() % 2];
            world.add_worker(zone, false);
        }
        world.run_until(8000);
        // One on each machine.
        let mut spec = world.long_array(1, 8);
        spec.cpus = 16.0;
        world.submit(spec);
        world.run_until(20_000);
        let before = world.running();
        assert_eq!(before.len(), 8, "seed {seed}");
        let leader = world.leader.expect("a node leads");
        let WorkerTimings {
            cancellation_bound_ms: cancel,
            report_interval_ms: report,
            ..
        } = world.timings;
        let end = 120_000 + 2 * cancel;
        world.cut_zone((leader + 1) % NODE_COUNT, "a", end);
        // Starts are checked one by one on the way: none while the attempt before may run.
        world.run_until(20_000 + cancel + 2 * report + 80_000);
        let after = world.running();
        let outside = |at: &usize| world.workers[*at].zone == "b";
        assert!(after.values().all(|(_, at)| outside(at)), "seed {seed}");
        let stayed = before.values().filter(|(_, at)| outside(at)).count();
        assert!(after.len() > stayed, "seed {seed}: {stayed} as before");
    }
}

/// Eight machines, and nothing that fails but what a test causes.
fn small_fleet(seed: u64) -> SimulatedCluster {
    let mut world = SimulatedCluster::new(seed);
    world.faults_enabled = false;
    while world.workers.len() < 8 {
        let zone = ["a", "b"][world.workers.len() % 2];
        world.add_worker(zone, false);
    }
    world
}

/// A process wrote its deputy's key just before it ended, and the write was applied after its successor's: on a
/// lease that nobody renews. With it the key went, while the successor went on renewing by its own lease, and
/// the leader, which saw no such deputy any more, started the same tasks elsewhere.
#[test]
fn stale_lease_renewer_key_does_not_cause_double_start() {
    for seed in [0, 8, 24] {
        // Which node leads follows from the seed: a first try tells.
        let mut first = small_fleet(seed);
        first.run_until(2000);
        let deputy = (first.leader.expect("a node leads") + 1) % NODE_COUNT;
        let mut world = small_fleet(seed);
        world.delayed_renewer_key = (deputy, 3500);
        world.run_until(2000);
        // Its successor is there, and holds the key, before that write arrives.
        world.stop_process(deputy, 50);
        world.run_until(3000);
        let key = format!("shared/deputy/n{deputy}");
        assert!(world.store.row(&key).is_some(), "seed {seed}");
        world.run_until(8000);
        let mut spec = world.long_array(1, 6);
        spec.cpus = 16.0;
        world.submit(spec);
        world.run_until(13_000);
        let before = world.running();
        assert_eq!(before.len(), 6, "seed {seed}");
        // The workers of a zone reach that node only: there, and where the leader may place it anew, each
        // start is checked.
        let WorkerTimings {
            lease_ttl_ms: lease,
            report_interval_ms: report,
            ..
        } = world.timings;
        world.zone_cut = (deputy, "a".into(), FOREVER_MS);
        world.run_until(13_000 + 4 * lease + 2 * report + 60_000);
        let after = world.running();
        for (task, on) in &before {
            assert_eq!(after.get(task), Some(on), "{task}, seed {seed}");
        }
    }
}

/// Each start that was sent to a worker comes once more, after its job was cancelled and its tasks were stopped:
/// a worker that had been told to forget them would start them again, long after they had to be gone.
#[test]
fn duplicate_start_after_cancellation_is_ignored() {
    for seed in [0, 8, 10, 16] {
        let mut world = small_fleet(seed);
        let WorkerTimings {
            cancellation_bound_ms: cancel,
            report_interval_ms: report,
            ..
        } = world.timings;
        world.duplicate_start_delay_ms = cancel + 10_000;
        world.run_until(8000);
        let spec = world.long_array(1, 12);
        world.submit(spec);
        world.run_until(12_000);
        assert_eq!(world.running().len(), 12, "seed {seed}");
        world.send_request(JobId(1), ApiRequest::Cancel(JobId(1)));
        world.run_until(13_000 + report * 2);
        assert!(world.running().is_empty(), "seed {seed}");
        // Whatever starts is checked.
        world.run_until(30_000 + 2 * cancel + 60_000);
        let listed: usize = world.workers.iter().map(|worker| worker.tasks.len()).sum();
        assert_eq!(listed, 0, "seed {seed}: forgotten at last");
    }
}

/// The state service refuses the leader alone, the others confirm cancellations, and then it is down for all, for longer
/// than a cancellation may take, while the workers report to the old leader, or to whom they find. What users were told is
/// cancelled is gone in time all the same (checked every 25 ms), wherever in that sequence the outage begins: before
/// the refused leader's lease ends, when there is no successor, as one takes over, while it reads the notes, and later.
/// A successor that was reading them renewed workers without a word of what was cancelled, for as long as it might.
#[test]
fn confirmed_cancellations_survive_failover_and_state_service_outage() {
    logging();
    let mut confirmed = 0;
    for seed in [0, 8, 10, 16] {
        let WorkerTimings {
            cancellation_bound_ms: cancel,
            lease_ttl_ms: lease,
            ..
        } = worker_timings(seed);
        let mut outlived = 0;
        let gaps = (100..2600).step_by(500).chain((2700..4600).step_by(100));
        let room = cancel - lease;
        let gaps = gaps.chain([6000, room - 500, room + 500, room + 3000, cancel - 1000]);
        for (number, gap) in gaps.enumerate() {
            let mut world = small_fleet(seed);
            world.recovery_read_delay_ms = 300;
            world.run_until(8000);
            for job in 1..=20 {
                let mut spec = world.long_array(job, 1);
                spec.cpus = 1.0;
                world.submit(spec);
            }
            world.run_until(14_000);
            assert_eq!(world.running().len(), 20, "seed {seed}");
            let old = world.leader.expect("a node leads");
            world.state_reply_delay_ms = [0, 1000][number / 4 % 2];
            world.run_until(16_000);
            let at = world.now;
            world.state_service_refuses_until[old] = FOREVER_MS;
            if number % 2 == 0 {
                // The workers find nobody else.
                for other in (0..NODE_COUNT).filter(|other| *other != old) {
                    world.worker_cut_until[other] = FOREVER_MS;
                }
            }
            for job in 1..=20 {
                world.run_until(at + gap * job / 21);
                world.send_request_to(
                    (old + 1) % NODE_COUNT,
                    JobId(job),
                    ApiRequest::Cancel(JobId(job)),
                );
            }
            world.run_until(at + gap);
            let longer = if number % 4 < 2 {
                cancel + 10_000
            } else {
                2 * cancel
            };
            world.start_state_service_outage(at + gap + longer);
            world.run_until(at + gap + longer + 5000);
            world.state_service_refuses_until[old] = 0;
            world.run_until(at + gap + longer + cancel);
            let told = world
                .jobs
                .values()
                .filter(|(_, told)| told.cancelled_at.is_some());
            confirmed += told.count();
            outlived = outlived.max(world.max_run_after_cancel_ms);
        }
        // That it comes close shows that workers were renewed for as long as they may be.
        tracing::info!(seed, outlived, cancel, "cancelled tasks");
        assert!(
            outlived * 4 > cancel * 3,
            "seed {seed}: {outlived} ms of {cancel}"
        );
    }
    assert!(confirmed > 1000, "{confirmed} cancellations confirmed");
}

/// Half of the machines hear nothing, and their reports arrive. What is placed there is lost, and free again with the
/// worker's next session; nothing else is placed there while the machine hears nothing, and it is used again after that.
#[test]
fn machine_that_drops_commands_gets_no_further_placements() {
    for seed in [0, 8, 10, 16] {
        let mut world = small_fleet(seed);
        world.run_until(8000);
        let WorkerTimings {
            lease_ttl_ms: lease,
            report_interval_ms: report,
            ..
        } = world.timings;
        let until = 8000 + 5 * lease;
        let zone_a = |worker: &&mut Worker| worker.zone == "a";
        for worker in world.workers.iter_mut().filter(zone_a) {
            worker.drops_inbound_until = until;
        }
        let mut spec = world.long_array(1, 8);
        spec.cpus = 16.0;
        world.submit(spec);
        world.run_until(until);
        let lost: Vec<usize> = world.workers.iter().map(|w| w.lost_starts.len()).collect();
        assert!(
            lost.iter().any(|lost| *lost > 0),
            "seed {seed}: none was tried"
        );
        assert!(lost.iter().all(|lost| *lost <= 1), "seed {seed}: {lost:?}");
        let outside = world.running().len();
        world.run_until(until + lease + 4 * report + 20_000);
        let all = world.running().len();
        assert!(outside >= 4 && all == 8, "seed {seed}: {outside} and {all}");
    }
}

/// Whatever is asked of a node that the state service refuses is answered at once: while the others can, by them, and while
/// nobody can, with what is final or when to come back. That goes for repeated submissions and cancellations, and for
/// jobs that nobody has submitted.
#[test]
fn refused_node_leaves_no_request_unanswered() {
    for seed in [0, 8, 10] {
        let mut world = small_fleet(seed);
        world.run_until(8000);
        for job in 1..=2 {
            let spec = world.long_array(job, 1);
            world.submit(spec);
        }
        world.run_until(12_000);
        world.send_request(JobId(2), ApiRequest::Cancel(JobId(2)));
        world.run_until(13_000);
        let spec = world.jobs[&JobId(1)].0.clone();
        let unknown = world.long_array(3, 1);
        world.jobs.insert(JobId(3), (unknown, UserView::default()));
        let node = world.leader.expect("a node leads");
        world.state_service_refuses_until[node] = FOREVER_MS;
        for (at, down) in [
            (13_100, false),
            (15_000, false),
            (25_000, false),
            (40_000, true),
        ] {
            world.run_until(at);
            if down {
                world.start_state_service_outage(at + 10_000);
            }
            world.send_request_to(node, JobId(1), ApiRequest::Submit(Box::new(spec.clone())));
            world.send_request_to(node, JobId(1), ApiRequest::Poll(JobId(1)));
            world.send_request_to(node, JobId(2), ApiRequest::Cancel(JobId(2)));
            world.send_request_to(node, JobId(3), ApiRequest::Poll(JobId(3)));
            world.run_until(at + 2000);
            let open = |asked: &PendingRequest| matches!(asked, PendingRequest::User(..));
            assert!(
                !world.pending_requests.values().any(open),
                "seed {seed}, at {at}"
            );
            let answered = |job| world.jobs[&JobId(job)].1.answered_at >= at;
            assert_eq!(answered(1), !down, "seed {seed}, at {at}");
            assert!(answered(2), "seed {seed}, at {at}: what is final is known");
            assert!(!answered(3), "seed {seed}, at {at}: nobody submitted it");
        }
    }
}
