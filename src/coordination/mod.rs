//! The owner of a node's state: a pure machine that turns commands into effects.
//!
//! [`Node::step`] takes a batch of commands and the time and returns what is to be done. It does
//! no I/O, reads no clock and draws no random numbers, so that a history can be played again.

pub mod admission;
mod fleet;
mod job_graph;
mod leader;
mod leader_log;
mod lease_renewer;
mod provisioning;
pub mod quota;
pub mod rate_limit_shares;
mod reachability;
mod registry;
mod status;
mod takeover;
mod timeouts;
mod user_requests;
mod write_outcome;

use std::collections::HashMap;

pub use admission::{AdmissionCounts, MemberStatus, ReservationNotice, WorkloadClassName};
pub use leader::LeaderState;
pub use quota::{CellGrants, CellReport, QuotaStatus};
pub use registry::JobRegistry;
pub use status::NodeStatus;

use crate::{
    config::{Config, Team},
    protocol::{
        self,
        cloud::{CloudError, CloudReply, CloudRequest, MachineType},
        ids::JobId,
        job::Submission,
        state::{StateError, StateReply, StateRequest, Urgency},
        worker::{DirectOrders, Report, WorkerReply},
    },
    time::Millis,
};

/// The owner is called many times a second. After a longer gap what others sent meanwhile still lies
/// unread: for a while nobody is held to be silent for it.
const STALL_THRESHOLD_MS: Millis = 1000;
const RESUME_GRACE_MS: Millis = 2000;
/// A gap of this length tells of a processor that can't follow.
const LATE_PASS_MS: Millis = 150;

/// A request from outside that waits for its answer.
pub type RequestId = u64;

/// What users, workers and the load balancer ask.
#[derive(Clone, Debug)]
pub enum ApiRequest {
    Submit(Box<Submission>),
    Poll(JobId),
    Cancel(JobId),
    Heartbeat(Box<Report>),
    Readiness,
    /// A user's request that another member could not answer.
    Relayed(Box<ApiRequest>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct ApiResponse {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
}

impl ApiResponse {
    fn json<T: serde::Serialize>(status: u16, body: &T) -> Self {
        ApiResponse {
            status,
            body: protocol::encode(body),
            retry_after_s: None,
        }
    }

    fn error(status: u16, error: &str) -> Self {
        ApiResponse::json(status, &serde_json::json!({ "error": error }))
    }

    /// The node can't tell now; the client should come back in `seconds`.
    fn unavailable(error: &str, seconds: u32) -> Self {
        ApiResponse {
            retry_after_s: Some(seconds),
            ..ApiResponse::error(503, error)
        }
    }
}

/// How far an unfinished job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobProgress {
    pub job: JobId,
    pub done: u32,
    pub running: u32,
}

/// What the leader tells the other members now and then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderAnnouncement {
    pub term: u64,
    /// The label of the node that leads.
    pub leader: String,
    pub jobs: Vec<JobProgress>,
    /// Turns that nodes have given to users who were sent away.
    pub reservations: Vec<ReservationNotice>,
}

/// Machines that the leader has not heard of for long: it wants to know that nobody keeps them
/// alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRevocation {
    pub term: u64,
    pub machines: Vec<SilentMachine>,
    /// The leader's time of day when it asked.
    pub asked_at_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentMachine {
    pub name: String,
    /// 0: not known.
    pub incarnation: u64,
    /// Only a question: it binds the member to nothing.
    pub is_inquiry: bool,
}

/// What a member says to that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalReply {
    pub renewals: Vec<LeaseRenewalAge>,
    /// How many workers reported to it lately.
    pub workers_heard: usize,
}

/// How long ago a node last renewed a machine's lease, at the latest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRenewalAge {
    pub machine: String,
    pub age_ms: u64,
    /// The answer to a mere question.
    pub is_inquiry: bool,
}

#[derive(Debug)]
pub enum Command {
    ApiRequest(RequestId, ApiRequest),
    StateResponse {
        tag: StateTag,
        /// When the request went out.
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    },
    CloudResponse {
        tag: CloudTag,
        result: Result<CloudReply, CloudError>,
    },
    WorkerResponse {
        tag: WorkerTag,
        result: Option<WorkerReply>,
    },
    LeaderAnnounced(LeaderAnnouncement),
    /// What a member says of itself when it is told how far jobs are.
    MemberStatus(Box<MemberStatus>),
    /// The leader asks what this node has renewed, and that it renew these no more.
    RevokeLeases(RequestId, LeaseRevocation),
    /// A member's answer to that; `None`: no answer.
    LeasesRevoked {
        lease: u64,
        label: String,
        sent_at: Millis,
        reply: Option<RenewalReply>,
    },
    /// A member's answer to a relayed request; `None`: no answer.
    RelayAnswered(RequestId, Option<ApiResponse>),
    /// Another cell tells how it stands in teams whose home this cell is.
    CellReported(RequestId, Box<CellReport>),
    /// Another cell's answer to a statement; `None`: no answer.
    CellGrantsReceived {
        lease: u64,
        cell: String,
        grants: Option<Box<CellGrants>>,
    },
    /// The settings file names these teams now.
    TeamsChanged(Vec<Team>),
    Tick,
}

#[derive(Clone, Debug)]
pub enum Effect {
    Respond(RequestId, ApiResponse),
    CallStateService {
        tag: StateTag,
        request: StateRequest,
        urgency: Urgency,
        timeout_ms: u64,
    },
    CallCloud {
        tag: CloudTag,
        request: CloudRequest,
        timeout_ms: u64,
    },
    CallWorker {
        tag: WorkerTag,
        addr: String,
        orders: Option<DirectOrders>,
        timeout_ms: u64,
    },
    AnnounceProgress(LeaderAnnouncement),
    /// What this node says of itself to the leader when that next tells it something.
    PublishMemberStatus(Box<MemberStatus>),
    RequestRevocation {
        lease: u64,
        label: String,
        revocation: LeaseRevocation,
    },
    RespondRevocation(RequestId, RenewalReply),
    /// Have this member answer.
    RelayRequest {
        id: RequestId,
        label: String,
        request: ApiRequest,
    },
    /// Tell another cell how this one stands.
    SendCellReport {
        lease: u64,
        cell: String,
        report: Box<CellReport>,
    },
    /// The answer to a statement; `None`: this node can't answer for its cell.
    RespondCellReport(RequestId, Option<CellGrants>),
    /// How much of the services' limits this node may use.
    SetLeadership(bool),
}

/// Which request to the state service an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateTag {
    LoadRegistry {
        generation: u64,
    },
    WatchRegistry {
        generation: u64,
    },
    ReadBarrier {
        generation: u64,
    },
    /// `whole`: the record is kept under one key.
    PutJob {
        id: RequestId,
        single_key: bool,
    },
    CheckPutJob(RequestId),
    CancelJob(RequestId),
    GrantLeaderLease,
    AcquireLeadership {
        lease: u64,
    },
    CheckLeadership {
        lease: u64,
    },
    RenewLeaderLease {
        lease: u64,
    },
    ReleaseLeaderLease,
    ReadLeaderLog {
        lease: u64,
    },
    AppendLog {
        lease: u64,
    },
    CheckUnconfirmedWrite {
        lease: u64,
        unconfirmed: leader_log::UnconfirmedWrite,
    },
    WriteSnapshots {
        lease: u64,
    },
    RaiseTerm {
        lease: u64,
    },
    CheckTerm {
        lease: u64,
    },
    DeleteSnapshots {
        lease: u64,
    },
    WriteOutcomes {
        lease: u64,
    },
    WriteMachineTypes,
    WriteImages {
        lease: u64,
        part: usize,
    },
    WriteAdmissionQuotas {
        lease: u64,
    },
    WriteSettledQuotas {
        lease: u64,
    },
    GrantRenewerLease,
    PutRenewerKey {
        lease: u64,
    },
    TouchRenewerLease {
        lease: u64,
    },
    ReadCellQuotas {
        lease: u64,
    },
    WriteCellQuotas {
        lease: u64,
        /// Which write it was.
        write_number: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudTag {
    MachineTypes,
    ListInstances { lease: u64 },
    RequestInstances { lease: u64, request_name: String },
    DeleteInstances { lease: u64, names: Vec<String> },
}

/// Which orders a worker's answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTag {
    pub lease: u64,
    pub machine: String,
    /// The token that was sent.
    pub token: u64,
    /// The starts among the orders: task and attempt.
    pub starts: Vec<(protocol::ids::TaskId, u64)>,
    /// Orders were sent, not only a question.
    pub has_orders: bool,
}

/// The time, as the owner is told it.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    pub monotonic_ms: Millis,
    /// Milliseconds since the epoch.
    pub wall_ms: u64,
}

/// One controller node.
pub struct Node {
    config: Config,
    now: Millis,
    wall_ms: u64,
    /// When the process last went on after it had stood still.
    resumed_at: Option<Millis>,
    effects: Vec<Effect>,
    registry: JobRegistry,
    registry_load: registry::RegistryLoad,
    /// Counts reloads; answers to requests of an earlier one are void.
    load_generation: u64,
    watch: registry::RegistryWatch,
    read_barrier: registry::ReadBarrier,
    pending_requests: HashMap<RequestId, user_requests::PendingRequest>,
    relay: user_requests::RelayState,
    machine_types: Vec<MachineType>,
    machine_types_asked_at: Option<Millis>,
    machine_types_known_at: Option<Millis>,
    election: leader::Election,
    lease_renewer: lease_renewer::LeaseRenewer,
    timeouts: timeouts::Timeouts,
    leader_state: Option<Box<LeaderState>>,
    job_progress: HashMap<JobId, JobProgress>,
    admission: admission::Admission,
}

impl Node {
    pub fn new(mut config: Config) -> Self {
        config.settings.state = config.settings.state.strictest();
        let times = timeouts::Timeouts::new(&config.settings.workers, config.members.len());
        Node {
            timeouts: times,
            config,
            now: 0,
            wall_ms: 0,
            resumed_at: None,
            effects: Vec::new(),
            registry: JobRegistry::default(),
            registry_load: registry::RegistryLoad::Needed { after: 0 },
            load_generation: 0,
            watch: registry::RegistryWatch::default(),
            read_barrier: registry::ReadBarrier::default(),
            pending_requests: HashMap::new(),
            relay: user_requests::RelayState::default(),
            machine_types: Vec::new(),
            machine_types_asked_at: None,
            machine_types_known_at: None,
            election: leader::Election::default(),
            lease_renewer: lease_renewer::LeaseRenewer::default(),
            leader_state: None,
            job_progress: HashMap::new(),
            admission: admission::Admission::default(),
        }
    }

    /// Works through a batch of commands.
    pub fn step(
        &mut self,
        commands: impl IntoIterator<Item = Command>,
        now: ClockReading,
    ) -> Vec<Effect> {
        if self.now > 0 && self.now + STALL_THRESHOLD_MS < now.monotonic_ms {
            tracing::warn!(
                for_ms = now.monotonic_ms - self.now,
                "stood still while the clocks ran on"
            );
            self.resumed_at = Some(now.monotonic_ms);
        }
        if self.now + LATE_PASS_MS < now.monotonic_ms {
            tracing::debug!(for_ms = now.monotonic_ms - self.now, "late");
        }
        if self.now > 0 {
            self.admission
                .record_pass(now.monotonic_ms.saturating_sub(self.now), LATE_PASS_MS);
        }
        self.now = self.now.max(now.monotonic_ms);
        self.wall_ms = now.wall_ms;
        for command in commands {
            self.handle_command(command);
        }
        self.run_due_work();
        std::mem::take(&mut self.effects)
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::ApiRequest(id, ApiRequest::Heartbeat(report)) => {
                self.handle_heartbeat(id, *report)
            }
            Command::ApiRequest(id, ask) => self.handle_user_request(id, ask),
            Command::StateResponse {
                tag,
                sent_at,
                result,
            } => self.on_state_response(tag, sent_at, result),
            Command::CloudResponse { tag, result } => self.on_cloud_response(tag, result),
            Command::WorkerResponse { tag, result } => self.on_worker_response(tag, result),
            Command::LeaderAnnounced(progress) => self.on_leader_announcement(progress),
            Command::MemberStatus(news) => self.on_member_status(*news),
            Command::RevokeLeases(id, revocation) => self.handle_revocation(id, revocation),
            Command::LeasesRevoked {
                lease,
                label,
                sent_at,
                reply: word,
            } => self.on_revocation_reply(lease, label, sent_at, word),
            Command::RelayAnswered(id, answer) => self.on_relay_response(id, answer),
            Command::CellReported(id, statement) => self.handle_cell_report(id, &statement),
            Command::CellGrantsReceived {
                lease,
                cell,
                grants: answer,
            } => self.on_cell_grants(lease, &cell, answer.map(|answer| *answer)),
            Command::TeamsChanged(teams) => self.reconfigure_teams(teams),
            Command::Tick => {}
        }
    }

    fn on_state_response(
        &mut self,
        tag: StateTag,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        match tag {
            StateTag::LoadRegistry { generation } => self.on_registry_page(generation, result),
            StateTag::WatchRegistry { generation } => self.on_watch_response(generation, result),
            StateTag::ReadBarrier { generation } => {
                self.on_read_barrier(generation, sent_at, result)
            }
            StateTag::PutJob {
                id,
                single_key: whole,
            } => self.on_submit_response(id, whole, result),
            StateTag::CheckPutJob(id) => self.on_submit_check(id, result),
            StateTag::CancelJob(id) => self.on_cancel_response(id, result),
            StateTag::GrantLeaderLease => self.on_leader_lease_granted(sent_at, result),
            StateTag::AcquireLeadership { lease } => self.on_acquire_response(lease, result),
            StateTag::CheckLeadership { lease } => self.on_acquire_check(lease, result),
            StateTag::RenewLeaderLease { lease } => {
                self.on_leader_lease_renewed(lease, sent_at, result)
            }
            StateTag::ReleaseLeaderLease => {}
            StateTag::ReadLeaderLog { lease } => self.on_leader_log_read(lease, result),
            StateTag::AppendLog { lease } => self.on_log_written(lease, result),
            StateTag::CheckUnconfirmedWrite { lease, unconfirmed } => {
                self.on_unconfirmed_checked(lease, unconfirmed, result)
            }
            StateTag::WriteSnapshots { lease } => self.on_snapshots_written(lease, result),
            StateTag::RaiseTerm { lease } => self.on_fence_response(lease, result),
            StateTag::CheckTerm { lease } => self.on_fence_check(lease, result),
            StateTag::DeleteSnapshots { lease } => self.on_snapshots_deleted(lease, result),
            StateTag::WriteOutcomes { lease } => self.on_outcomes_stored(lease, result),
            StateTag::WriteMachineTypes => {}
            StateTag::WriteImages { lease, part } => self.on_images_stored(lease, part, result),
            StateTag::WriteAdmissionQuotas { lease } => {
                self.on_admission_quotas_stored(lease, result)
            }
            StateTag::WriteSettledQuotas { lease } => self.on_settled_quotas_stored(lease, result),
            StateTag::GrantRenewerLease => self.on_renewer_lease_granted(sent_at, result),
            StateTag::PutRenewerKey { lease } => self.on_renewer_key_written(lease, result),
            StateTag::TouchRenewerLease { lease } => {
                self.on_renewer_lease_touched(lease, sent_at, result)
            }
            StateTag::ReadCellQuotas { lease } => self.on_quota_records_read(lease, result),
            StateTag::WriteCellQuotas {
                lease,
                write_number,
            } => {
                self.on_quota_records_written(lease, write_number, result);
            }
        }
    }

    /// Does what is due.
    fn run_due_work(&mut self) {
        self.request_machine_types();
        self.maintain_registry();
        self.maintain_renewer_lease();
        self.run_election();
        self.run_leader_cycle();
        self.run_admission();
    }

    fn call_state_service(
        &mut self,
        tag: StateTag,
        request: StateRequest,
        urgency: Urgency,
        timeout_ms: u64,
    ) {
        self.effects.push(Effect::CallStateService {
            tag,
            request,
            urgency,
            timeout_ms,
        });
    }

    /// Whether the process stood still lately.
    fn just_resumed(&self) -> bool {
        self.resumed_at
            .is_some_and(|at| at + RESUME_GRACE_MS > self.now)
    }

    /// Whether users can be served: the jobs are known, and so is what a machine can hold.
    pub fn is_ready(&self) -> bool {
        self.registry.is_loaded() && !self.machine_types.is_empty()
    }
}
