//! Responses that state a job's status, which must not be older than the protocol allows.

use super::PendingRequest;
use crate::{
    coordination::{
        ApiResponse, JobProgress, Node, RequestId, job_progress, registry::RegisteredJob,
    },
    protocol::{
        ids::JobId,
        job::{JobStatus, JobView},
    },
};

impl Node {
    /// Answers a request with `code` and the job's status. If whether the job runs is not known here, the
    /// leader is to answer; if it can't be reached, or is this node, the request is refused.
    pub(super) fn respond_with_status(
        &mut self,
        id: RequestId,
        code: u16,
        pending: PendingRequest,
    ) {
        let job = pending.job_id();
        if let Some(view) = self.job_view(job) {
            self.admission.on_accepted(job, true, self.now);
            return self.respond(id, ApiResponse::json(code, &view));
        }
        self.unknown_status_count += 1;
        self.pending_requests.insert(id, pending);
        self.relay_to_leader_or_refuse(id);
    }

    /// The state of a job as its user gets it; `None` if whether a task of it runs is not known.
    pub(super) fn job_view(&self, id: JobId) -> Option<JobView> {
        let entry = self.registry.get(id);
        let final_status = entry.and_then(RegisteredJob::final_status);
        let progress = self.current_progress(id).or_else(|| {
            let needs_no_progress = final_status.is_some() || self.is_certainly_pending(id);
            needs_no_progress.then(|| JobProgress::none(id))
        })?;
        let status = final_status.unwrap_or(if progress.running > 0 {
            JobStatus::Running
        } else {
            JobStatus::Pending
        });
        Some(JobView {
            id,
            status,
            done: progress.done,
            running: progress.running,
        })
    }

    /// The progress of a job by the cluster state if this node leads, else by what the leader has reported
    /// recently. `None` if that does not tell whether a task of the job runs.
    fn current_progress(&self, id: JobId) -> Option<JobProgress> {
        let leader = self.leader_state.as_ref();
        let by_cluster = leader.and_then(|leader| leader.job_progress(id, self.now));
        let by_leader = || self.received_progress.get(id, self.time_of_day());
        let is_known = |progress: &JobProgress| progress.is_running().is_some();
        by_cluster
            .filter(is_known)
            .or_else(by_leader)
            .filter(is_known)
    }

    /// Whether the registry alone shows that no task of an unfinished job can have run for longer than users may
    /// not see it: it waits for dependencies, or was accepted too recently.
    fn is_certainly_pending(&self, id: JobId) -> bool {
        self.registry.live_job(id).is_some_and(|job| {
            job.dependencies_left > 0
                || job_progress::is_newly_accepted(job.submitted_at_ms, self.time_of_day())
        })
    }
}
