//! Commands, which the daemon puts to a node, and the effects that the node asks for in return.

use super::{
    ApiRequest, ApiResponse, CellGrants, CellReport, CloudTag, LeaderAnnouncement, LeaseRevocation,
    MemberStatus, RenewalReply, RequestId, StateTag, WorkerTag,
};
use crate::{
    config::Team,
    protocol::{
        cloud::{CloudError, CloudReply, CloudRequest},
        state::{StateError, StateReply, StateRequest, Urgency},
        worker::{DirectOrders, WorkerReply},
    },
    time::Millis,
};

/// An input of [`Node::step`](super::Node::step).
#[derive(Debug)]
pub enum Command {
    /// A request that waits for its answer.
    ApiRequest(RequestId, ApiRequest),
    /// The answer of the state service.
    StateResponse {
        /// Which request it answers.
        tag: StateTag,
        /// When the request was sent, on the monotonic clock.
        sent_at: Millis,
        /// The reply, or why there is none.
        result: Result<StateReply, StateError>,
    },
    /// The answer of the cloud.
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
    /// The leader announces itself and the progress of jobs.
    LeaderAnnounced(LeaderAnnouncement),
    /// A member's status, with which it answers an announcement.
    MemberStatus(Box<MemberStatus>),
    /// The leader asks which leases this node has renewed, and that it stop renewing them.
    RevokeLeases(RequestId, LeaseRevocation),
    /// A member's answer to a revocation.
    LeasesRevoked {
        /// The leader's lease when it asked.
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
    /// Another cell reports its usage and demand in teams whose home is this cell.
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
    /// The settings file was read again and names these teams.
    TeamsChanged(Vec<Team>),
    /// Nothing but the time has changed.
    Tick,
}

/// An output of [`Node::step`](super::Node::step), for the daemon to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a request.
    Respond(RequestId, ApiResponse),
    /// Send a request to the state service.
    CallStateService {
        /// Comes back with the answer.
        tag: StateTag,
        /// The request.
        request: StateRequest,
        /// Its place in the queue before the rate limit.
        urgency: Urgency,
        /// After this many milliseconds there is no answer.
        timeout_ms: u64,
    },
    /// Send a request to the cloud.
    CallCloud {
        /// Comes back with the answer.
        tag: CloudTag,
        /// The request.
        request: CloudRequest,
        /// After this many milliseconds there is no answer.
        timeout_ms: u64,
    },
    /// Send commands, or a mere probe, to a worker.
    CallWorker {
        /// Comes back with the answer.
        tag: WorkerTag,
        /// The worker's address.
        addr: String,
        /// The commands; `None`: a probe whether it can be reached.
        orders: Option<DirectOrders>,
        /// After this many milliseconds there is no answer.
        timeout_ms: u64,
    },
    /// Announce the leader and the progress of jobs to all members.
    AnnounceProgress(LeaderAnnouncement),
    /// The status with which this node answers the leader's next announcement.
    PublishMemberStatus(Box<MemberStatus>),
    /// Ask a member to renew some leases no more.
    RequestRevocation {
        /// The leader's lease; comes back with the answer.
        lease: u64,
        /// The member's label.
        label: String,
        /// The machines and the term.
        revocation: LeaseRevocation,
    },
    /// Answer a revocation.
    RespondRevocation(RequestId, RenewalReply),
    /// Have another member answer a user.
    RelayRequest {
        /// The user's request here.
        id: RequestId,
        /// The member's label.
        label: String,
        /// What the user asks.
        request: ApiRequest,
    },
    /// Report this cell's usage and demand to another cell.
    SendCellReport {
        /// The leader's lease; comes back with the answer.
        lease: u64,
        /// The other cell's name.
        cell: String,
        /// The report.
        report: Box<CellReport>,
    },
    /// Answer another cell's report; `None`: this node can't answer for its cell.
    RespondCellReport(RequestId, Option<CellGrants>),
    /// Whether this node leads, which decides its share of the services' rate limits.
    SetLeadership(bool),
}
