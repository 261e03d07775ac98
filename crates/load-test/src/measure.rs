//! What is measured of one run, and the figures that are worked out from it.

use std::{sync::atomic::Ordering, time::Instant};

use dalelb::protocol::{
    self,
    ids::{JobId, TaskId},
    worker::{Report, TaskReport, TaskState},
};
use dalelb_emulators::state_service::RequestCounters;
use serde::{Deserialize, Serialize};

use crate::{
    controller_process::Usage,
    drill::DrillFigures,
    invariants::{InvariantChecker, StartLatencies},
    region::Region,
    settings::{Experiment, SweepParameter},
};

/// Reports that the reference work encodes and decodes.
const REFERENCE_REPORTS: usize = 4000;
/// Tasks of each of them.
const REFERENCE_TASKS: u32 = 8;

/// One run of one experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Point {
    /// What was varied; none: nothing.
    pub vary: Option<SweepParameter>,
    /// Its value.
    pub value: f64,
    /// Its value in the base of the settings file.
    pub base: f64,
    /// The number of the run at that value.
    pub run: usize,
    /// What was run.
    pub experiment: Experiment,
    /// Milliseconds of processor time that a fixed piece of work took beside the run.
    pub reference_ms: f64,
    /// What the first region did.
    pub figures: Figures,
    /// What a drill came to, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drill: Option<DrillFigures>,
    /// InvariantChecker that were broken, in all regions.
    pub broken: u64,
    /// The first of them.
    pub broken_first: Vec<String>,
}

/// What the first region did while it was measured. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Seconds that were measured.
    pub seconds: f64,
    /// The leader's processor time, in milliseconds a second.
    pub leader_cpu_ms: f64,
    /// A follower's, the mean of all.
    pub follower_cpu_ms: f64,
    /// The leader's resident memory at the end, in megabytes.
    pub leader_mb: f64,
    /// A follower's.
    pub follower_mb: f64,
    /// The leader's sockets.
    pub leader_sockets: f64,
    /// A follower's.
    pub follower_sockets: f64,
    /// Reports.
    pub reports: f64,
    /// Bytes of reports and their answers, headers included.
    pub report_bytes: f64,
    /// Direct commands.
    pub commands: f64,
    /// Bytes of commands and their answers.
    pub command_bytes: f64,
    /// Requests to the state service.
    pub state_requests: f64,
    /// Puts and deletes.
    pub state_writes: f64,
    /// Bytes of transactions.
    pub state_txn_bytes: f64,
    /// Requests that the state service refused.
    pub state_refused: f64,
    /// Keys in the state service at the end.
    pub state_keys: f64,
    /// Bytes of keys and values there.
    pub state_bytes: f64,
    /// Bytes between the region's controllers.
    pub mesh_bytes: f64,
    /// Bytes of users' connections.
    pub user_bytes: f64,
    /// Tasks that started.
    pub starts: f64,
    /// Tasks that ran at the end.
    pub running: f64,
    /// Submissions that were accepted.
    pub accepted: f64,
    /// Timeouts that a user was sent away for a while.
    pub sent_away: f64,
    /// Sessions of workers that ended for want of an answer, in the whole run.
    pub sessions_lost: f64,
    /// From acceptance to the start command, urgent work.
    pub urgent: StartLatencies,
    /// The same for other work.
    pub other: StartLatencies,
    /// Seconds from the first controller's start until it was ready.
    pub ready_s: f64,
    /// Seconds from the leader's end until a successor knew nine tenths of the workers; none: not tried, or not
    /// within the time.
    pub takeover_s: Option<f64>,
}

/// CounterTotals at one moment.
pub struct Snapshot {
    at: Instant,
    leader: usize,
    usages: Vec<Usage>,
    reports: (u64, u64),
    commands: (u64, u64),
    users: (u64, u64),
    state: RequestCounters,
    mesh: u64,
    starts: u64,
    accepted: u64,
    sent_away: u64,
}

impl Snapshot {
    /// Of this region now.
    pub fn of(
        region: &Region,
        leader: usize,
        rules: &InvariantChecker,
        users: &crate::user_load::SubmissionCounts,
    ) -> Self {
        let traffic = region.fleet.traffic();
        Snapshot {
            at: Instant::now(),
            leader,
            usages: region.controllers.iter().map(|each| each.usage()).collect(),
            reports: traffic.reports.totals(),
            commands: traffic.commands.totals(),
            users: region.user_traffic.totals(),
            state: region.state.counters(),
            mesh: region
                .links
                .iter()
                .map(|link| link.connections_and_bytes().1)
                .sum(),
            starts: rules.start_count(),
            accepted: users.accepted.load(Ordering::Relaxed),
            sent_away: users.sent_away.load(Ordering::Relaxed),
        }
    }

    /// What was done from `self` to `end`.
    pub fn until(&self, end: &Snapshot, region: &Region, rules: &InvariantChecker) -> Figures {
        let seconds = end.at.duration_since(self.at).as_secs_f64();
        let rate = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds;
        let cpu = |node: usize| (end.usages[node].cpu_ms - self.usages[node].cpu_ms) / seconds;
        let followers: Vec<usize> = (0..end.usages.len())
            .filter(|node| *node != end.leader)
            .collect();
        let mean = |of: &dyn Fn(usize) -> f64| {
            let sum: f64 = followers.iter().map(|node| of(*node)).sum();
            sum / followers.len().max(1) as f64
        };
        let megabytes = |node: usize| end.usages[node].memory as f64 / 1e6;
        let sockets = |node: usize| end.usages[node].sockets as f64;
        let (keys, bytes) = region.state.stored_keys_and_bytes();
        let (urgent, other) = rules.start_latencies();
        let expired = &region.fleet.traffic().expired_leases;
        Figures {
            seconds,
            leader_cpu_ms: cpu(end.leader),
            follower_cpu_ms: mean(&cpu),
            leader_mb: megabytes(end.leader),
            follower_mb: mean(&megabytes),
            leader_sockets: sockets(end.leader),
            follower_sockets: mean(&sockets),
            reports: rate(self.reports.0, end.reports.0),
            report_bytes: rate(self.reports.1, end.reports.1),
            commands: rate(self.commands.0, end.commands.0),
            command_bytes: rate(self.commands.1, end.commands.1),
            state_requests: rate(self.state.total(), end.state.total()),
            state_writes: rate(self.state.writes, end.state.writes),
            state_txn_bytes: rate(self.state.txn_bytes, end.state.txn_bytes),
            state_refused: rate(self.state.rate_limited, end.state.rate_limited),
            state_keys: keys as f64,
            state_bytes: bytes as f64,
            mesh_bytes: rate(self.mesh, end.mesh),
            user_bytes: rate(self.users.1, end.users.1),
            starts: rate(self.starts, end.starts),
            running: region.fleet.running_count() as f64,
            accepted: rate(self.accepted, end.accepted),
            sent_away: rate(self.sent_away, end.sent_away),
            sessions_lost: expired.load(Ordering::Relaxed) as f64,
            urgent,
            other,
            ready_s: 0.0,
            takeover_s: None,
        }
    }
}

/// Does a fixed piece of work and tells the processor time that it took, in milliseconds: how fast this
/// machine is just now.
pub fn reference() -> f64 {
    let tasks = (0..REFERENCE_TASKS).map(|index| TaskReport {
        task: TaskId {
            job: JobId(123_456),
            index,
        },
        attempt: 1,
        state: TaskState::Running,
        cause: None,
        saved: None,
    });
    let report = Report {
        machine: "vm-000001".into(),
        addr: "127.100.0.1:21004".into(),
        type_name: "c8".into(),
        zone: "z0".into(),
        spot: false,
        incarnation: 1,
        seq: 1,
        token: 1,
        notice_s: None,
        tasks: tasks.collect(),
    };
    let before = thread_cpu_ms();
    for _ in 0..REFERENCE_REPORTS {
        let bytes = protocol::encode(&report);
        let read: Result<Report, _> = protocol::decode(&bytes);
        std::hint::black_box(read.is_ok());
    }
    thread_cpu_ms() - before
}

/// Processor time of the calling thread; 0 where the system does not tell.
fn thread_cpu_ms() -> f64 {
    let times = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let on_processor = times.split_whitespace().next();
    let nanoseconds: u64 = on_processor.and_then(|text| text.parse().ok()).unwrap_or(0);
    nanoseconds as f64 / 1e6
}
