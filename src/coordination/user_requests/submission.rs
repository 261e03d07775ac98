//! Submissions: a job is accepted once its record is stored in the state service.

use super::{PendingRequest, TXN_TIMEOUT_MS};
use crate::{
    coordination::{
        ApiResponse, Node, RequestId, StateTag, admission::load_shedding::RequestPriority,
    },
    protocol::{
        job::Submission,
        state::{StateError, StateReply, StateRequest, StateRequestPriority, Txn, Write},
    },
    storage::{self, JobRecord},
};

const CHECK_TIMEOUT_MS: u64 = 1500;

impl Node {
    /// Stores a job if it is admitted. `is_current`: a read barrier has succeeded since the request arrived.
    pub(super) fn submit_job(
        &mut self,
        id: RequestId,
        submission: Box<Submission>,
        is_current: bool,
    ) {
        // A submission that a member relays was admitted at that member.
        let is_relayed = self.relay.relayed_in.contains(&id);
        let priority = if is_relayed {
            RequestPriority::SubmissionWithinShare
        } else {
            match self.admit_submission(id, &submission) {
                Some(priority) => priority,
                None => return,
            }
        };
        let limits = &self.config.settings.state;
        let (record, parts) =
            storage::live_job_record(self.wall_ms, &submission, limits.max_value_bytes());
        let job = submission.id;
        if parts.len() >= limits.max_txn_ops as usize {
            // It may have been accepted before, when the state service's limits were higher.
            return if is_current {
                self.respond(id, ApiResponse::error(400, "too many names"))
            } else {
                self.answer_after_barrier(id, PendingRequest::Submit(submission))
            };
        }
        let mut txn = Txn::default();
        txn.put(storage::job_key(job), 0, storage::to_value(&record));
        for (part, number) in parts.iter().zip(0..) {
            txn.writes.push(Write::Put {
                key: storage::job_part_key(job, number),
                value: storage::to_value(part),
                lease: None,
            });
        }
        self.pending_requests
            .insert(id, PendingRequest::Submit(submission));
        if self.read_barrier.is_unanswered {
            return self.relay_or_refuse(id);
        }
        self.call_state_service(
            StateTag::PutJob {
                id,
                single_key: parts.is_empty(),
            },
            StateRequest::Txn(txn),
            priority.state_request_priority(),
            TXN_TIMEOUT_MS,
        );
    }

    /// Handles the response to the write of a job. `single_key`: the write held the job's record alone.
    pub(in crate::coordination) fn on_submit_response(
        &mut self,
        id: RequestId,
        single_key: bool,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            // A job that is stored under several keys is read back from the state service, as by any other node.
            Ok(StateReply::Committed(_)) if !single_key => self.retry_after_barrier(id),
            Ok(StateReply::Committed(version)) => self.on_submission_stored(id, version),
            // The job is stored already: by another node, or by an earlier attempt of this node without a response.
            Ok(StateReply::Conflict(_)) => self.retry_after_barrier(id),
            Err(StateError::NoAnswer) => {
                let Some(pending) = self.pending_requests.get(&id) else {
                    return;
                };
                let key = storage::job_key(pending.job_id());
                self.call_state_service(
                    StateTag::CheckPutJob(id),
                    StateRequest::Get { key },
                    StateRequestPriority::Prompt,
                    CHECK_TIMEOUT_MS,
                );
            }
            Err(StateError::Refused(400)) => {
                self.shrink_write_limits();
                self.relay_or_refuse(id);
            }
            _ => self.relay_or_refuse(id),
        }
    }

    /// Accepts a job that was stored under a single key.
    fn on_submission_stored(&mut self, id: RequestId, version: u64) {
        let Some(PendingRequest::Submit(submission)) = self.pending_requests.remove(&id) else {
            return;
        };
        let job = submission.id;
        tracing::info!(%job, kind = ?submission.kind, class = submission.class, team = submission.team,
            tasks = submission.tasks, cpus = submission.cpus, gpus = submission.gpus,
            estimate_s = submission.estimate_s, awaits = ?submission.dependencies, due_s = submission.deadline_s,
            "accepted");
        let record = JobRecord::Live {
            at_ms: self.wall_ms,
            spec: submission.clone(),
        };
        let change = self.registry.put_job_record(job, record, version);
        self.on_registry_change(change);
        self.respond_with_status(id, 201, PendingRequest::Submit(submission));
    }

    /// Handles the read of a job's key after the write of the job got no response.
    pub(in crate::coordination) fn on_submit_check(
        &mut self,
        id: RequestId,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            Ok(StateReply::KeyValue(_)) => self.retry_after_barrier(id),
            // The job is not stored yet, and may never be: the user has to retry.
            _ => self.relay_or_refuse(id),
        }
    }
}
