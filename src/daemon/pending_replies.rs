//! Requests that the event loop has received but not yet answered.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::coordination::{ApiResponse, CellGrants, RenewalReply, RequestId};

/// The channel for the reply to each request. Requests of all kinds share one sequence of ids.
#[derive(Default)]
pub(super) struct PendingReplies {
    last_id: RequestId,
    api_responses: HashMap<RequestId, oneshot::Sender<ApiResponse>>,
    renewals: HashMap<RequestId, oneshot::Sender<RenewalReply>>,
    cell_grants: HashMap<RequestId, oneshot::Sender<Option<CellGrants>>>,
}

impl PendingReplies {
    /// Assigns an id to a request from a user, a worker, a health check or a member that relays one.
    pub(super) fn add_api_request(&mut self, reply: oneshot::Sender<ApiResponse>) -> RequestId {
        let id = self.next_id();
        self.api_responses.insert(id, reply);
        id
    }

    /// Assigns an id to a leader's request to revoke the leases of unresponsive workers.
    pub(super) fn add_revocation(&mut self, reply: oneshot::Sender<RenewalReply>) -> RequestId {
        let id = self.next_id();
        self.renewals.insert(id, reply);
        id
    }

    /// Assigns an id to another cell's quota report.
    pub(super) fn add_cell_report(
        &mut self,
        reply: oneshot::Sender<Option<CellGrants>>,
    ) -> RequestId {
        let id = self.next_id();
        self.cell_grants.insert(id, reply);
        id
    }

    /// Replies to a request from [`Self::add_api_request`].
    pub(super) fn respond(&mut self, id: RequestId, response: ApiResponse) {
        send_reply(self.api_responses.remove(&id), response);
    }

    /// Replies to a request from [`Self::add_revocation`].
    pub(super) fn respond_revocation(&mut self, id: RequestId, renewals: RenewalReply) {
        send_reply(self.renewals.remove(&id), renewals);
    }

    /// Replies to a request from [`Self::add_cell_report`].
    pub(super) fn respond_cell_report(&mut self, id: RequestId, grants: Option<CellGrants>) {
        send_reply(self.cell_grants.remove(&id), grants);
    }

    fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        self.last_id
    }
}

fn send_reply<T>(pending: Option<oneshot::Sender<T>>, reply: T) {
    if let Some(sender) = pending {
        // The client may have disconnected.
        let _ = sender.send(reply);
    }
}
