//! The control plane of one node: a pure state machine that turns commands into effects.
//!
//! [`Node::step`] takes a batch of commands and the time and returns the effects that the daemon is to
//! carry out. It does no I/O, reads no clock and draws no random numbers, so that a history can be
//! replayed. This file dispatches each command, answer and periodic duty to the module that handles it.

pub mod admission;
mod api;
mod command;
mod job_graph;
mod job_progress;
mod leader;
mod leader_log;
mod lease_renewer;
mod member_messages;
mod provisioning;
pub mod quota;
pub mod rate_limit_shares;
mod reachability;
mod registry;
mod status;
mod tags;
mod takeover;
mod timeouts;
mod user_requests;
mod watch_cache;
mod workers;
mod write_outcome;

use std::collections::HashMap;

pub use admission::{AdmissionCounts, MemberStatus, ReservationNotice, WorkloadClassName};
pub use api::{ApiRequest, ApiResponse, RequestId};
pub use command::{Command, Effect};
pub use leader::LeaderState;
pub use member_messages::{
    JobProgress, LeaderAnnouncement, LeaseRenewalAge, LeaseRevocation, RenewalReply,
    UnresponsiveMachine,
};
pub use quota::{CellGrants, CellReport, QuotaStatus};
pub use registry::JobRegistry;
pub use status::NodeStatus;
pub use tags::{CloudTag, StateTag, WorkerTag};

use crate::{
    config::Config,
    protocol::{
        cloud::MachineType,
        state::{StateError, StateReply, StateRequest, StateRequestPriority},
    },
    time::Millis,
};

/// [`Node::step`] is called many times a second. A longer gap between two calls is a stall, after which
/// messages that arrived in the meantime have not been handled yet.
const STALL_THRESHOLD_MS: Millis = 1000;
/// For this long after a stall, missing messages are not taken as a sign that the sender is unresponsive.
const RESUME_GRACE_MS: Millis = 2000;
/// A longer gap between two calls of [`Node::step`] counts as late: the processor can't keep up.
const LATE_STEP_MS: Millis = 150;

/// The time as read by the caller of [`Node::step`].
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Milliseconds since the start of the process, on a monotonic clock.
    pub monotonic_ms: Millis,
    /// Milliseconds since the epoch.
    pub wall_ms: u64,
}

/// One controller node.
pub struct Node {
    config: Config,
    now: Millis,
    wall_ms: u64,
    /// When the process last resumed after a stall.
    resumed_at: Option<Millis>,
    effects: Vec<Effect>,
    registry: JobRegistry,
    registry_load: watch_cache::RegistryLoad,
    /// Counts loads of the registry; answers to requests of an earlier load are dropped.
    load_generation: u64,
    watch: watch_cache::RegistryWatch,
    read_barrier: watch_cache::ReadBarrier,
    pending_requests: HashMap<RequestId, user_requests::PendingRequest>,
    relay: user_requests::RelayState,
    machine_types: Vec<MachineType>,
    machine_types_requested_at: Option<Millis>,
    machine_types_received_at: Option<Millis>,
    election: leader::Election,
    lease_renewer: lease_renewer::LeaseRenewer,
    timeouts: timeouts::Timeouts,
    leader_state: Option<Box<LeaderState>>,
    received_progress: job_progress::ReceivedProgress,
    /// Requests that could not be answered here because a job's status was not known, since the process began.
    unknown_status_count: u64,
    admission: admission::Admission,
}

impl Node {
    /// A node with an empty registry, which it loads in its first steps.
    pub fn new(mut config: Config) -> Self {
        config.settings.state = config.settings.state.strictest();
        let timeouts = timeouts::Timeouts::new(&config.settings.workers, config.members.len());
        Node {
            timeouts,
            config,
            now: 0,
            wall_ms: 0,
            resumed_at: None,
            effects: Vec::new(),
            registry: JobRegistry::default(),
            registry_load: watch_cache::RegistryLoad::Needed { after: 0 },
            load_generation: 0,
            watch: watch_cache::RegistryWatch::default(),
            read_barrier: watch_cache::ReadBarrier::default(),
            pending_requests: HashMap::new(),
            relay: user_requests::RelayState::default(),
            machine_types: Vec::new(),
            machine_types_requested_at: None,
            machine_types_received_at: None,
            election: leader::Election::default(),
            lease_renewer: lease_renewer::LeaseRenewer::default(),
            leader_state: None,
            received_progress: job_progress::ReceivedProgress::default(),
            unknown_status_count: 0,
            admission: admission::Admission::default(),
        }
    }

    /// Handles a batch of commands, runs the periodic duties and returns the effects in order.
    ///
    /// Two calls may pass the same monotonic time; a reading lower than an earlier one is ignored.
    pub fn step(
        &mut self,
        commands: impl IntoIterator<Item = Command>,
        now: ClockReading,
    ) -> Vec<Effect> {
        self.advance_clock(now);
        for command in commands {
            self.handle_command(command);
        }
        self.run_due_work();
        std::mem::take(&mut self.effects)
    }

    /// Sets the time, and records stalls and late calls.
    fn advance_clock(&mut self, now: ClockReading) {
        let is_first_step = self.now == 0;
        let gap_ms = now.monotonic_ms.saturating_sub(self.now);
        if !is_first_step && gap_ms > STALL_THRESHOLD_MS {
            tracing::warn!(gap_ms, "the process has resumed after a stall");
            self.resumed_at = Some(now.monotonic_ms);
        }
        if gap_ms > LATE_STEP_MS {
            tracing::debug!(gap_ms, "late step");
        }
        if !is_first_step {
            self.admission.record_step_gap(gap_ms, LATE_STEP_MS);
        }
        self.now = self.now.max(now.monotonic_ms);
        self.wall_ms = now.wall_ms;
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::ApiRequest(id, ApiRequest::Heartbeat(report)) => {
                self.handle_heartbeat(id, *report)
            }
            Command::ApiRequest(id, request) => self.handle_user_request(id, request),
            Command::StateResponse {
                tag,
                sent_at,
                result,
            } => self.on_state_response(tag, sent_at, result),
            Command::CloudResponse { tag, result } => self.on_cloud_response(tag, result),
            Command::WorkerResponse { tag, result } => self.on_worker_response(tag, result),
            Command::LeaderAnnounced(announcement) => self.on_leader_announcement(announcement),
            Command::MemberStatus(status) => self.on_member_status(*status),
            Command::RevokeLeases(id, revocation) => self.handle_revocation(id, revocation),
            Command::LeasesRevoked {
                lease,
                label,
                sent_at,
                reply,
            } => self.on_revocation_reply(lease, label, sent_at, reply),
            Command::RelayAnswered(id, response) => self.on_relay_response(id, response),
            Command::CellReported(id, report) => self.handle_cell_report(id, &report),
            Command::CellGrantsReceived {
                lease,
                cell,
                grants,
            } => self.on_cell_grants(lease, &cell, grants.map(|grants| *grants)),
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
            StateTag::PutJob { id, single_key } => {
                self.on_submit_response(id, single_key, result);
            }
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
            StateTag::WriteCancellations { lease } => {
                self.on_derived_cancellations_stored(lease, result)
            }
            StateTag::WriteMachineTypes => {}
            StateTag::WriteImages { lease, part } => self.on_images_stored(lease, part, result),
            StateTag::WriteAdmissionQuotas { lease } => {
                self.on_admission_quotas_stored(lease, result)
            }
            StateTag::WriteProgress { lease } => self.on_progress_stored(lease, result),
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

    /// Runs the periodic duties. Their order determines the order of their effects.
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
        priority: StateRequestPriority,
        timeout_ms: u64,
    ) {
        self.effects.push(Effect::CallStateService {
            tag,
            request,
            priority,
            timeout_ms,
        });
    }

    /// The time of day, with the most by which it may differ from that of another node: each of the two
    /// clocks may differ from the true time.
    fn time_of_day(&self) -> job_progress::TimeOfDay {
        job_progress::TimeOfDay {
            wall_ms: self.wall_ms,
            max_skew_ms: 2 * self.config.settings.clock_error_ms as u64,
        }
    }

    /// Whether the process has recently resumed after a stall. Missing messages then don't show yet that
    /// their senders are unresponsive.
    fn just_resumed(&self) -> bool {
        self.resumed_at
            .is_some_and(|at| at + RESUME_GRACE_MS > self.now)
    }

    /// Whether users can be served: the registry has been loaded and machine types are available.
    pub fn is_ready(&self) -> bool {
        self.registry.is_loaded() && !self.machine_types.is_empty()
    }
}
