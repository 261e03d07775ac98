//! Measurements of one run and the figures derived from them.

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

/// Number of heartbeats that the reference work encodes and decodes.
const REFERENCE_REPORTS: usize = 4000;
/// Tasks in each of these heartbeats.
const REFERENCE_TASKS: u32 = 8;

/// The result of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Point {
    /// The varied parameter; `None`: the base was run.
    pub vary: Option<SweepParameter>,
    /// The value of the varied parameter.
    pub value: f64,
    /// Base value of the varied parameter.
    pub base: f64,
    /// Number of the run at this value, from 1.
    pub run: usize,
    /// The deployment and its load.
    pub experiment: Experiment,
    /// CPU time of the reference work that was executed during the run, in milliseconds.
    pub reference_ms: f64,
    /// Figures of the first region.
    pub figures: Figures,
    /// Figures of the drill, if the experiment has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drill: Option<DrillFigures>,
    /// Number of invariant violations in all regions.
    #[serde(rename = "broken")]
    pub violation_count: u64,
    /// Descriptions of the first violations.
    #[serde(rename = "broken_first")]
    pub first_violations: Vec<String>,
}

/// Figures of the first region over the measurement. Counts without another unit are rates per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Duration of the measurement, in seconds.
    pub seconds: f64,
    /// CPU time of the leader, in milliseconds per second.
    pub leader_cpu_ms: f64,
    /// Mean CPU time of a follower, in milliseconds per second.
    pub follower_cpu_ms: f64,
    /// Resident memory of the leader at the end, in megabytes.
    pub leader_mb: f64,
    /// Mean resident memory of a follower at the end, in megabytes.
    pub follower_mb: f64,
    /// Open sockets of the leader at the end.
    pub leader_sockets: f64,
    /// Mean open sockets of a follower at the end.
    pub follower_sockets: f64,
    /// Heartbeats of workers.
    pub reports: f64,
    /// Bytes of heartbeats and their responses, including headers.
    pub report_bytes: f64,
    /// Requests to workers.
    pub commands: f64,
    /// Bytes of these requests and their responses.
    pub command_bytes: f64,
    /// Requests to the state service.
    pub state_requests: f64,
    /// Puts and deletes in the state service.
    pub state_writes: f64,
    /// Bytes of transactions sent to the state service.
    pub state_txn_bytes: f64,
    /// Requests that the state service rejected because of its rate limits.
    pub state_refused: f64,
    /// Keys in the state service at the end.
    pub state_keys: f64,
    /// Bytes of keys and values in the state service at the end.
    pub state_bytes: f64,
    /// Bytes between the controllers of the region.
    pub mesh_bytes: f64,
    /// Bytes on the connections of users.
    pub user_bytes: f64,
    /// Task starts.
    pub starts: f64,
    /// Tasks running at the end.
    pub running: f64,
    /// Accepted submissions.
    pub accepted: f64,
    /// Submission attempts without an acceptance, which the user retries.
    #[serde(rename = "sent_away")]
    pub unaccepted_attempts: f64,
    /// Worker leases that expired since the start of the run (a count, not a rate).
    #[serde(rename = "sessions_lost")]
    pub expired_leases: f64,
    /// Time from the acceptance of a job to the start command for its task, high priority.
    pub urgent: StartLatencies,
    /// The same for all other jobs.
    pub other: StartLatencies,
    /// Time from the start of the controllers until the first one was ready, in seconds.
    pub ready_s: f64,
    /// Time from the end of the leader until nine tenths of the workers were registered with a successor, in seconds;
    /// `None`: not tried, or not within the timeout.
    pub takeover_s: Option<f64>,
}

/// The counters of a region at one point in time.
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
    unaccepted_attempts: u64,
}

impl Snapshot {
    /// Reads the current counters of the region.
    pub fn of(
        region: &Region,
        leader: usize,
        checker: &InvariantChecker,
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
            starts: checker.start_count(),
            accepted: users.accepted.load(Ordering::Relaxed),
            unaccepted_attempts: users.unaccepted_attempts.load(Ordering::Relaxed),
        }
    }

    /// The figures of the interval from `self` to `end`.
    pub fn figures_until(
        &self,
        end: &Snapshot,
        region: &Region,
        checker: &InvariantChecker,
    ) -> Figures {
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
        let (urgent, other) = checker.start_latencies();
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
            unaccepted_attempts: rate(self.unaccepted_attempts, end.unaccepted_attempts),
            expired_leases: expired.load(Ordering::Relaxed) as f64,
            urgent,
            other,
            ready_s: 0.0,
            takeover_s: None,
        }
    }
}

/// Executes a fixed amount of work and returns the CPU time that it took, in milliseconds. It shows how fast the
/// machine is during the run.
pub fn measure_reference_work() -> f64 {
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
        reclaim_in_s: None,
        tasks: tasks.collect(),
    };
    let before = thread_cpu_ms();
    for _ in 0..REFERENCE_REPORTS {
        let bytes = protocol::encode(&report);
        let decoded: Result<Report, _> = protocol::decode(&bytes);
        std::hint::black_box(decoded.is_ok());
    }
    thread_cpu_ms() - before
}

/// CPU time of the calling thread in milliseconds; 0 if `/proc` does not provide it.
fn thread_cpu_ms() -> f64 {
    let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let cpu_time = schedstat.split_whitespace().next();
    let nanoseconds: u64 = cpu_time.and_then(|text| text.parse().ok()).unwrap_or(0);
    nanoseconds as f64 / 1e6
}
