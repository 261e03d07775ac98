//! Requests of users, workers and the load balancer, and the answers to them.

use crate::protocol::{self, ids::JobId, job::Submission, worker::Report};

/// Identifies a request from outside that waits for its answer. Unique for the life of the process.
pub type RequestId = u64;

/// A request of a user, a worker or the load balancer.
#[derive(Clone, Debug)]
pub enum ApiRequest {
    /// Accept a job.
    Submit(Box<Submission>),
    /// Return the status of a job.
    Poll(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// A worker reports its state and fetches its commands.
    Heartbeat(Box<Report>),
    /// Return whether this node can serve users.
    Readiness,
    /// A user's request that another member could not answer and relays.
    Relayed(Box<ApiRequest>),
}

/// The answer to an [`ApiRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct ApiResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The encoded JSON body.
    pub body: Vec<u8>,
    /// The `Retry-After` header, in seconds.
    pub retry_after_s: Option<u32>,
}

impl ApiResponse {
    pub(super) fn json<T: serde::Serialize>(status: u16, body: &T) -> Self {
        ApiResponse {
            status,
            body: protocol::encode(body),
            retry_after_s: None,
        }
    }

    pub(super) fn error(status: u16, error: &str) -> Self {
        ApiResponse::json(status, &serde_json::json!({ "error": error }))
    }

    /// A 503 response: the node can't answer now, and the client should retry after `seconds`.
    pub(super) fn unavailable(error: &str, seconds: u32) -> Self {
        ApiResponse {
            retry_after_s: Some(seconds),
            ..ApiResponse::error(503, error)
        }
    }
}
