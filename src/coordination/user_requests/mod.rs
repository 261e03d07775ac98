//! Users' requests. Any node handles them, as the job's key in the state service decides on the job's state.

mod feasibility;
mod job_status;
mod relay;
mod submission;

pub use relay::RelayState;

use crate::{
    coordination::{
        ApiRequest, ApiResponse, Effect, Node, RequestId, StateTag,
        admission::load_shedding::RequestPriority, registry::RegisteredJob,
    },
    protocol::{
        ids::JobId,
        job::Submission,
        state::{StateError, StateReply, StateRequest, Txn},
    },
    storage::JobRecord,
};
use feasibility::Feasibility;

const TXN_TIMEOUT_MS: u64 = 2000;
/// How often the write of a cancellation is attempted while the job's record keeps changing.
const MAX_CANCEL_ATTEMPTS: u32 = 4;

/// A user's request that waits for the state service.
#[derive(Debug)]
pub enum PendingRequest {
    /// Return the status of a job.
    Poll(JobId),
    /// Accept a job.
    Submit(Box<Submission>),
    /// Cancel a job.
    Cancel {
        /// The job.
        id: JobId,
        /// How often the write was attempted.
        attempts: u32,
    },
}

impl PendingRequest {
    fn job_id(&self) -> JobId {
        match self {
            PendingRequest::Poll(id) | PendingRequest::Cancel { id, .. } => *id,
            PendingRequest::Submit(submission) => submission.id,
        }
    }
}

impl Node {
    /// Answers a request.
    pub(super) fn respond(&mut self, id: RequestId, response: ApiResponse) {
        self.relay.relayed_in.remove(&id);
        self.effects.push(Effect::Respond(id, response));
    }

    /// Queues a request to be answered after the next read barrier. If the last barrier got no response, the request
    /// is relayed or refused instead.
    fn answer_after_barrier(&mut self, id: RequestId, pending: PendingRequest) {
        self.pending_requests.insert(id, pending);
        if self.read_barrier.is_unanswered {
            return self.relay_or_refuse(id);
        }
        self.read_barrier.wait_for_next(id);
    }

    /// Handles a request of a user or the load balancer.
    pub(super) fn handle_user_request(&mut self, id: RequestId, mut request: ApiRequest) {
        if let ApiRequest::Relayed(inner) = request {
            self.relay.relayed_in.insert(id);
            request = *inner;
        }
        if matches!(request, ApiRequest::Readiness) {
            let response = if self.is_ready() {
                ApiResponse::json(200, &serde_json::json!({ "node": self.config.label }))
            } else {
                ApiResponse::error(503, "starting")
            };
            return self.respond(id, response);
        }
        if !self.is_ready() {
            return self.respond(id, ApiResponse::unavailable("starting", 1));
        }
        match request {
            ApiRequest::Submit(submission) => match self.registry.get(submission.id) {
                Some(_) => self.answer_from_registry(id, PendingRequest::Submit(submission)),
                // The registry has to hold all states of its dependencies that users have received: if a
                // dependency is cancelled and this node has not read that, it would return the job as pending.
                None if !submission.dependencies.is_empty() => {
                    self.answer_after_barrier(id, PendingRequest::Submit(submission));
                }
                None => match self.check_feasibility(&submission) {
                    Feasibility::Feasible => self.submit_job(id, submission, false),
                    // Another node may have accepted it before, when it was feasible.
                    Feasibility::Infeasible(_) => {
                        self.answer_after_barrier(id, PendingRequest::Submit(submission))
                    }
                    Feasibility::Undecided => {
                        self.respond(id, ApiResponse::unavailable("starting", 1))
                    }
                },
            },
            ApiRequest::Poll(job) => {
                let priority = self.poll_priority(job);
                if priority.is_none_or(|priority| self.admit_by_lateness(id, priority)) {
                    self.answer_from_registry(id, PendingRequest::Poll(job));
                }
            }
            ApiRequest::Cancel(job) => self.answer_from_registry(
                id,
                PendingRequest::Cancel {
                    id: job,
                    attempts: 0,
                },
            ),
            ApiRequest::Heartbeat(_) | ApiRequest::Readiness | ApiRequest::Relayed(_) => {
                self.respond(id, ApiResponse::error(400, "not a user's request"))
            }
        }
    }

    /// The priority of a poll; `None`: the job has ended, and the answer from memory is too cheap to shed.
    fn poll_priority(&self, job: JobId) -> Option<RequestPriority> {
        let entry = self.registry.get(job);
        if entry.and_then(RegisteredJob::final_status).is_some() {
            return None;
        }
        let is_idle = entry.is_some()
            && self
                .job_view(job)
                .is_some_and(|view| view.running == 0 && view.done == 0);
        Some(if is_idle {
            RequestPriority::IdlePoll
        } else {
            RequestPriority::Poll
        })
    }

    /// Answers requests for jobs in a final state from memory, and all others after a read barrier. A cancellation
    /// of a job that is in the registry needs no barrier, as the conditional write to the job's key decides.
    fn answer_from_registry(&mut self, id: RequestId, pending: PendingRequest) {
        let registered_job = self.registry.get(pending.job_id());
        let is_cancellation = matches!(pending, PendingRequest::Cancel { .. });
        if registered_job.is_some_and(|job| is_cancellation || job.final_status().is_some()) {
            self.pending_requests.insert(id, pending);
            self.resolve_request(id);
        } else {
            self.answer_after_barrier(id, pending);
        }
    }

    /// Answers a request for which the registry is recent enough.
    pub(super) fn resolve_request(&mut self, id: RequestId) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        let job = pending.job_id();
        let registered_job = self.registry.get(job).cloned();
        match (registered_job, pending) {
            (
                Some(RegisteredJob::Live(_)),
                pending @ (PendingRequest::Poll(_) | PendingRequest::Submit(_)),
            )
            | (Some(RegisteredJob::CancelledByDependency(_) | RegisteredJob::Ended(..)), pending) =>
            {
                self.respond_with_status(id, 200, pending);
            }
            (Some(RegisteredJob::Live(live)), PendingRequest::Cancel { id: job, attempts }) => {
                if attempts >= MAX_CANCEL_ATTEMPTS {
                    return self.respond(id, ApiResponse::unavailable("busy", 1));
                }
                self.pending_requests.insert(
                    id,
                    PendingRequest::Cancel {
                        id: job,
                        attempts: attempts + 1,
                    },
                );
                let mut txn = Txn::default();
                live.append_outcome(job, &JobRecord::Cancelled, &mut txn);
                self.call_state_service(
                    StateTag::CancelJob(id),
                    StateRequest::Txn(txn),
                    RequestPriority::Cancellation.state_request_priority(),
                    TXN_TIMEOUT_MS,
                );
            }
            (None, PendingRequest::Submit(submission)) => match self.check_feasibility(&submission)
            {
                Feasibility::Feasible => self.submit_job(id, submission, true),
                Feasibility::Infeasible(reason) => {
                    self.respond(id, ApiResponse::error(422, reason))
                }
                Feasibility::Undecided => self.respond(id, ApiResponse::unavailable("starting", 1)),
            },
            (None, _) => self.respond(id, ApiResponse::error(404, "no such job")),
        }
    }

    /// Handles the response to the write of a cancellation.
    pub(super) fn on_cancel_response(
        &mut self,
        id: RequestId,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            Ok(StateReply::Committed(version)) => {
                let Some(pending) = self.pending_requests.remove(&id) else {
                    return;
                };
                let job = pending.job_id();
                tracing::info!(%job, "cancelled");
                let change = self
                    .registry
                    .put_job_record(job, JobRecord::Cancelled, version);
                self.on_registry_change(change);
                self.respond_with_status(id, 200, pending);
            }
            Ok(StateReply::Conflict(_)) | Err(StateError::NoAnswer) => self.retry_after_barrier(id),
            _ => self.relay_or_refuse(id),
        }
    }

    /// Queues a request to be handled again after the next read barrier.
    fn retry_after_barrier(&mut self, id: RequestId) {
        if let Some(pending) = self.pending_requests.remove(&id) {
            self.answer_after_barrier(id, pending);
        }
    }
}
