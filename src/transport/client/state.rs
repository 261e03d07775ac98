//! The client of the state service.

use std::{net::SocketAddrV4, time::Duration};

use crate::protocol::{
    self,
    state::{
        Changes, Committed, Conflict, KeyValue, Lease, LeaseRequest, Page, StateError, StateReply,
        StateRequest,
    },
};

use super::{
    SERVICE_IDLE_TIMEOUT,
    http::{HttpClient, HttpRequest, HttpResponse, percent_encode},
};

const MAX_IDLE_CONNECTIONS: usize = 8;
/// A node has only one watch at a time.
const MAX_IDLE_WATCH_CONNECTIONS: usize = 1;
/// The body of a request without fields.
const EMPTY_MSGPACK_MAP: &[u8] = &[0x80];

/// Encodes a request to the state service as an HTTP request.
pub fn state_request(request: &StateRequest) -> HttpRequest {
    match request {
        StateRequest::List {
            prefix,
            after,
            limit,
        } => {
            let after = after
                .as_deref()
                .map(|key| format!("&after={}", percent_encode(key)))
                .unwrap_or_default();
            HttpRequest::get(format!("/kv?starts={prefix}{after}&limit={limit}"))
        }
        StateRequest::Get { key } => HttpRequest::get(format!("/kv/{key}")),
        StateRequest::Txn(txn) => HttpRequest::post("/txn", protocol::encode(txn)),
        StateRequest::GrantLease { ttl_ms } => {
            let body = protocol::encode(&LeaseRequest { ttl_ms: *ttl_ms });
            HttpRequest::post("/holds", body)
        }
        StateRequest::RenewLease { lease } => {
            HttpRequest::post(format!("/holds/{lease}/touch"), EMPTY_MSGPACK_MAP.to_vec())
        }
        StateRequest::ReleaseLease { lease } => HttpRequest::delete(format!("/holds/{lease}")),
        StateRequest::Changes {
            prefix,
            after,
            max_wait_ms,
        } => HttpRequest::get(format!(
            "/changes?starts={prefix}&after={after}&hold_ms={max_wait_ms}"
        )),
    }
}

/// The client of the state service. A watch occupies its connection, so watches have their own pool.
pub struct StateClient {
    http: HttpClient,
    watch_http: HttpClient,
    addr: String,
}

impl StateClient {
    /// A client of the service at `addr`, which connects when first used.
    pub fn new(addr: SocketAddrV4) -> Self {
        StateClient {
            http: HttpClient::new(MAX_IDLE_CONNECTIONS, SERVICE_IDLE_TIMEOUT, true),
            watch_http: HttpClient::new(MAX_IDLE_WATCH_CONNECTIONS, SERVICE_IDLE_TIMEOUT, true),
            addr: addr.to_string(),
        }
    }

    /// Sends a request.
    ///
    /// # Errors
    /// [`StateError::Refused`]: the request was not executed. [`StateError::NoAnswer`]: no usable
    /// response within `timeout`; the request may have been executed, or may still be.
    pub async fn call(
        &self,
        request: &StateRequest,
        timeout: Duration,
    ) -> Result<StateReply, StateError> {
        let response = self
            .pool(request)
            .call(&self.addr, state_request(request), true, timeout)
            .await
            .ok_or(StateError::NoAnswer)?;
        decode_reply(request, &response)
    }

    fn pool(&self, request: &StateRequest) -> &HttpClient {
        match request {
            StateRequest::Changes { max_wait_ms, .. } if *max_wait_ms > 0 => &self.watch_http,
            _ => &self.http,
        }
    }
}

fn decode_reply(request: &StateRequest, response: &HttpResponse) -> Result<StateReply, StateError> {
    let reply = match (request, response.status) {
        (StateRequest::List { .. }, 200) => response.decode::<Page>().map(StateReply::Page),
        (StateRequest::Get { .. }, 200) => response.decode::<KeyValue>().map(StateReply::KeyValue),
        (StateRequest::Get { .. }, 404) => Some(StateReply::Missing),
        (StateRequest::Txn(_), 200) => response
            .decode::<Committed>()
            .map(|committed| StateReply::Committed(committed.revision)),
        (StateRequest::Txn(_), 409) => response
            .decode::<Conflict>()
            .map(|conflict| StateReply::Conflict(conflict.failed)),
        (StateRequest::Txn(_), 400) => {
            let body = String::from_utf8_lossy(&response.body);
            tracing::debug!(%body, "transaction refused");
            Some(StateReply::LeaseNotFound)
        }
        (StateRequest::GrantLease { .. }, 200) => response
            .decode::<Lease>()
            .map(|lease| StateReply::Granted(lease.id)),
        (StateRequest::RenewLease { .. } | StateRequest::ReleaseLease { .. }, 200..=204) => {
            Some(StateReply::LeaseUpdated)
        }
        (StateRequest::RenewLease { .. } | StateRequest::ReleaseLease { .. }, 404) => {
            Some(StateReply::LeaseNotFound)
        }
        (StateRequest::Changes { .. }, 200) => {
            response.decode::<Changes>().map(StateReply::Changes)
        }
        (StateRequest::Changes { .. }, 410) => Some(StateReply::RevisionCompacted),
        (_, status) => return Err(StateError::Refused(status)),
    };
    reply.ok_or(StateError::NoAnswer)
}
