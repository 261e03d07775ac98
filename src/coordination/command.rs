//! Commands, which the daemon passes to a node, and effects, which the node returns for the daemon to
//! carry out.

use super::{
    ApiRequest, ApiResponse, CellGrants, CellReport, CloudTag, LeaderAnnouncement, LeaseRevocation,
    MemberStatus, RenewalReply, RequestId, StateTag, WorkerTag,
};
use crate::{
    config::Team,
    protocol::{
        cloud::{CloudError, CloudReply, CloudRequest},
        state::{StateError, StateReply, StateRequest, StateRequestPriority},
        worker::{DirectOrders, WorkerReply},
    },
    time::Millis,
};

/// An input of [`Node::step`](super::Node::step).
#[derive(Debug)]
pub enum Command {
    /// A request from outside, to be answered with [`Effect::Respond`].
    ApiRequest(RequestId, ApiRequest),
    /// The state service's answer to a request.
    StateResponse {
        /// Which request it answers.
        tag: StateTag,
        /// When the request was sent, on the monotonic clock.
        sent_at: Millis,
        /// The reply, or why there is none.
        result: Result<StateReply, StateError>,
    },
    /// The cloud's answer to a request.
    CloudResponse {
        /// Which request it answers.
        tag: CloudTag,
        /// The reply, or why there is none.
        result: Result<CloudReply, CloudError>,
    },
    /// A worker's answer to commands that were sent to it directly.
    WorkerResponse {
        /// Which commands it answers.
        tag: WorkerTag,
        /// `None`: no answer.
        result: Option<WorkerReply>,
    },
    /// The leader's announcement of itself and of the progress of jobs.
    LeaderAnnounced(LeaderAnnouncement),
    /// A member's status, returned in answer to an announcement.
    MemberStatus(Box<MemberStatus>),
    /// The leader's request to report when this node last renewed some leases, and to stop renewing
    /// them.
    RevokeLeases(RequestId, LeaseRevocation),
    /// A member's answer to a revocation.
    LeasesRevoked {
        /// The leader's lease when it sent the request.
        lease: u64,
        /// The member's label.
        label: String,
        /// When the request was sent, on the monotonic clock.
        sent_at: Millis,
        /// `None`: no answer.
        reply: Option<RenewalReply>,
    },
    /// A member's answer to a relayed request; `None`: no answer.
    RelayAnswered(RequestId, Option<ApiResponse>),
    /// Another cell's report of its usage and demand in teams whose home is this cell.
    CellReported(RequestId, Box<CellReport>),
    /// Another cell's answer to a report.
    CellGrantsReceived {
        /// The leader's lease when it sent the report.
        lease: u64,
        /// The other cell's name.
        cell: String,
        /// `None`: no answer.
        grants: Option<Box<CellGrants>>,
    },
    /// The settings file was read again and contains these teams.
    TeamsChanged(Vec<Team>),
    /// Only the time has changed.
    Tick,
}

/// An output of [`Node::step`](super::Node::step), for the daemon to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer an [`ApiRequest`].
    Respond(RequestId, ApiResponse),
    /// Send a request to the state service.
    CallStateService {
        /// Returned with the answer.
        tag: StateTag,
        /// The request.
        request: StateRequest,
        /// Its priority in the queue of the rate limiter.
        priority: StateRequestPriority,
        /// After this many milliseconds the request counts as unanswered.
        timeout_ms: u64,
    },
    /// Send a request to the cloud.
    CallCloud {
        /// Returned with the answer.
        tag: CloudTag,
        /// The request.
        request: CloudRequest,
        /// After this many milliseconds the request counts as unanswered.
        timeout_ms: u64,
    },
    /// Send commands, or only a probe, to a worker.
    CallWorker {
        /// Returned with the answer.
        tag: WorkerTag,
        /// The worker's address.
        addr: String,
        /// The commands; `None`: a probe of whether the worker can be reached.
        orders: Option<DirectOrders>,
        /// After this many milliseconds the request counts as unanswered.
        timeout_ms: u64,
    },
    /// Announce the leader and the progress of jobs to all members.
    AnnounceProgress(LeaderAnnouncement),
    /// Set the status with which the daemon answers the leader's next announcement.
    PublishMemberStatus(Box<MemberStatus>),
    /// Ask a member to stop renewing some leases.
    RequestRevocation {
        /// The leader's lease; returned with the answer.
        lease: u64,
        /// The member's label.
        label: String,
        /// The machines and the term.
        revocation: LeaseRevocation,
    },
    /// Answer a revocation.
    RespondRevocation(RequestId, RenewalReply),
    /// Relay a user's request to another member.
    RelayRequest {
        /// Identifies the user's request at this node.
        id: RequestId,
        /// The member's label.
        label: String,
        /// The request to relay.
        request: ApiRequest,
    },
    /// Report this cell's usage and demand to another cell.
    SendCellReport {
        /// The leader's lease; returned with the answer.
        lease: u64,
        /// The other cell's name.
        cell: String,
        /// The report.
        report: Box<CellReport>,
    },
    /// Answer another cell's report; `None`: this node can't answer for its cell.
    RespondCellReport(RequestId, Option<CellGrants>),
    /// Set whether this node is the leader, which determines its share of the services' rate limits.
    SetLeadership(bool),
}
