//! The queues through which the event loop receives its input.

use tokio::sync::mpsc;

use crate::{
    coordination::Command,
    transport::{
        mesh::{CellReportRequest, CellReportSender, RevocationRequest, RevocationSender},
        server::{IncomingRequest, RequestSender},
    },
};

/// The receiving ends, which the event loop polls.
pub(super) struct EventQueues {
    /// Results of effects, announcements of leaders, and teams from the settings watcher.
    pub(super) commands: mpsc::UnboundedReceiver<Command>,
    /// Requests from users, workers and health checks, and users' requests that members relay.
    pub(super) api_requests: mpsc::UnboundedReceiver<IncomingRequest>,
    /// Leaders' requests to revoke the leases of unresponsive workers.
    pub(super) revocations: mpsc::UnboundedReceiver<RevocationRequest>,
    /// Quota reports of other cells.
    pub(super) cell_reports: mpsc::UnboundedReceiver<CellReportRequest>,
}

/// The sending ends of [`EventQueues`].
pub(super) struct EventSenders {
    pub(super) commands: mpsc::UnboundedSender<Command>,
    pub(super) api_requests: RequestSender,
    pub(super) revocations: RevocationSender,
    pub(super) cell_reports: CellReportSender,
}

/// Creates the queues. They are unbounded because the listeners limit the number of requests in
/// progress.
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
