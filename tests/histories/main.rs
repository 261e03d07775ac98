//! Whole deployments under generated histories: three nodes, a model of the state service, of the
//! cloud and of the workers, and a network that delays, loses, holds back and reorders. The rules of
//! the protocol are checked at every start and after every answer.

mod cluster;
mod combined_faults;
mod effects;
mod events;
mod failover;
mod faults;
mod golden;
mod history;
mod invariants;
mod network;
mod random_faults;
mod users;
#[path = "../wire/mod.rs"]
mod wire;
mod workers;

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
use history::{logging, run_history, troubled_second};
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
