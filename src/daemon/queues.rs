//! The queues into the event loop.

use tokio::sync::mpsc;

use crate::{
    coordination::Command,
    transport::{
        mesh::{CellReportRequest, CellReportSender, RevocationRequest, RevocationSender},
        server::{IncomingRequest, RequestSender},
    },
};

/// What the event loop takes commands and requests from.
pub(super) struct EventQueues {
    /// Results of effects, and what members and the settings watcher tell.
    pub(super) commands: mpsc::UnboundedReceiver<Command>,
    /// Requests of users, workers, health checks and members that relay.
    pub(super) api_requests: mpsc::UnboundedReceiver<IncomingRequest>,
    /// Questions of a leader about silent workers.
    pub(super) revocations: mpsc::UnboundedReceiver<RevocationRequest>,
    /// Reports of other cells.
    pub(super) cell_reports: mpsc::UnboundedReceiver<CellReportRequest>,
}

/// The other ends of [`EventQueues`].
pub(super) struct EventSenders {
    pub(super) commands: mpsc::UnboundedSender<Command>,
    pub(super) api_requests: RequestSender,
    pub(super) revocations: RevocationSender,
    pub(super) cell_reports: CellReportSender,
}

/// Creates the queues, unbounded: the listeners bound what is under way.
pub(super) fn event_queues() -> (EventSenders, EventQueues) {
    let (command_sender, commands) = mpsc::unbounded_channel();
    let (request_sender, api_requests) = mpsc::unbounded_channel();
    let (revocation_sender, revocations) = mpsc::unbounded_channel();
    let (report_sender, cell_reports) = mpsc::unbounded_channel();
    let senders = EventSenders {
        commands: command_sender,
        api_requests: request_sender,
        revocations: revocation_sender,
        cell_reports: report_sender,
    };
    let queues = EventQueues {
        commands,
        api_requests,
        revocations,
        cell_reports,
    };
    (senders, queues)
}
