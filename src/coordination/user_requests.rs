//! Users' requests. Any node takes them: what counts is the job's key in the state service.

use std::collections::{HashMap, HashSet};

use crate::{
    cluster::Resources,
    coordination::{
        ApiRequest, ApiResponse, Effect, LeaderAnnouncement, Node, RequestId, StateTag,
        admission::load_shedding::RequestPriority, registry::RegisteredJob,
    },
    protocol::{
        ids::JobId,
        job::{JobKind, JobStatus, JobView, Submission},
        state::{StateError, StateReply, StateRequest, Txn, Urgency, Write},
    },
    storage::{self, JobRecord},
    time::Millis,
};

const TXN_TIMEOUT_MS: u64 = 2000;
const CHECK_TIMEOUT_MS: u64 = 1500;
/// How often a cancellation is tried against a record that keeps changing.
const MAX_CANCEL_ATTEMPTS: u32 = 4;

/// A user's request under way.
#[derive(Debug)]
pub enum PendingRequest {
    Poll(JobId),
    Submit(Box<Submission>),
    Cancel { id: JobId, attempts: u32 },
}

impl PendingRequest {
    fn job_id(&self) -> JobId {
        match self {
            PendingRequest::Poll(id) | PendingRequest::Cancel { id, .. } => *id,
            PendingRequest::Submit(submission) => submission.id,
        }
    }
}

/// Requests that members answer for this node, or it for them.
#[derive(Default)]
pub struct RelayState {
    /// Sent on, and not answered yet.
    relayed_out: HashMap<RequestId, JobId>,
    /// Sent here by a member: not sent on again.
    relayed_in: HashSet<RequestId>,
    /// The members could not answer either.
    retry_at: Millis,
}

/// Members that could not answer are not asked again for this long.
const RELAY_RETRY_MS: Millis = 1000;

enum Feasibility {
    Feasible,
    Undecided,
    Infeasible(&'static str),
}

fn state_service_unavailable() -> ApiResponse {
    ApiResponse::unavailable("the state service does not answer", 1)
}

impl Node {
    pub(super) fn respond(&mut self, id: RequestId, answer: ApiResponse) {
        self.relay.relayed_in.remove(&id);
        self.effects.push(Effect::Respond(id, answer));
    }

    /// Has a request answered after the next read barrier.
    fn answer_after_barrier(&mut self, id: RequestId, pending: PendingRequest) {
        self.pending_requests.insert(id, pending);
        if self.read_barrier.is_unanswered {
            return self.relay_or_refuse(id);
        }
        self.read_barrier.wait_for_next(id);
    }

    pub(super) fn handle_user_request(&mut self, id: RequestId, mut ask: ApiRequest) {
        if let ApiRequest::Relayed(inner) = ask {
            self.relay.relayed_in.insert(id);
            ask = *inner;
        }
        if matches!(ask, ApiRequest::Readiness) {
            let answer = if self.is_ready() {
                ApiResponse::json(200, &serde_json::json!({ "node": self.config.label }))
            } else {
                ApiResponse::error(503, "starting")
            };
            return self.respond(id, answer);
        }
        if !self.is_ready() {
            return self.respond(id, ApiResponse::unavailable("starting", 1));
        }
        match ask {
            ApiRequest::Submit(submission) => match self.registry.get(submission.id) {
                Some(_) => self.answer_from_registry(id, PendingRequest::Submit(submission)),
                // What its user has been told of the jobs that it awaits has to be known: accepted as one
                // that waits, though one of them is cancelled, it would be called pending.
                None if !submission.dependencies.is_empty() => {
                    self.answer_after_barrier(id, PendingRequest::Submit(submission));
                }
                None => match self.check_feasibility(&submission) {
                    Feasibility::Feasible => self.submit_job(id, submission, false),
                    // It may have been accepted elsewhere, when things looked different.
                    Feasibility::Infeasible(_) => {
                        self.answer_after_barrier(id, PendingRequest::Submit(submission))
                    }
                    Feasibility::Undecided => {
                        self.respond(id, ApiResponse::unavailable("starting", 1))
                    }
                },
            },
            ApiRequest::Poll(job) => {
                let rank = self.poll_priority(job);
                if rank.is_none_or(|rank| self.admit_by_lateness(id, rank)) {
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

    /// `None`: it is answered from memory, which costs nothing worth saving.
    fn poll_priority(&self, job: JobId) -> Option<RequestPriority> {
        let entry = self.registry.get(job);
        if entry.and_then(RegisteredJob::final_status).is_some() {
            return None;
        }
        let view = self.job_view(job);
        let idle = entry.is_some() && view.running == 0 && view.done == 0;
        Some(if idle {
            RequestPriority::IdlePoll
        } else {
            RequestPriority::Poll
        })
    }

    /// Final states are answered from memory, everything else after a sync. A cancellation of a
    /// job that is known to be live goes straight to its key, which decides.
    fn answer_from_registry(&mut self, id: RequestId, pending: PendingRequest) {
        let known = self.registry.get(pending.job_id());
        let cancel = matches!(pending, PendingRequest::Cancel { .. });
        if known.is_some_and(|entry| cancel || entry.final_status().is_some()) {
            self.pending_requests.insert(id, pending);
            self.resolve_request(id);
        } else {
            self.answer_after_barrier(id, pending);
        }
    }

    /// Answers a request now that the view is new enough.
    pub(super) fn resolve_request(&mut self, id: RequestId) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        let job = pending.job_id();
        let known = self.registry.get(job).cloned();
        match (known, pending) {
            (Some(RegisteredJob::Live(_)), PendingRequest::Poll(_) | PendingRequest::Submit(_))
            | (Some(RegisteredJob::CancelledByDependency(_) | RegisteredJob::Ended(..)), _) => {
                self.admission.on_accepted(job, true, self.now);
                self.respond(id, ApiResponse::json(200, &self.job_view(job)));
            }
            (
                Some(RegisteredJob::Live(live)),
                PendingRequest::Cancel {
                    id: job,
                    attempts: tries,
                },
            ) => {
                if tries >= MAX_CANCEL_ATTEMPTS {
                    return self.respond(id, ApiResponse::unavailable("busy", 1));
                }
                self.pending_requests.insert(
                    id,
                    PendingRequest::Cancel {
                        id: job,
                        attempts: tries + 1,
                    },
                );
                let mut txn = Txn::default();
                live.append_outcome(job, &JobRecord::Cancelled, &mut txn);
                self.call_state_service(
                    StateTag::CancelJob(id),
                    StateRequest::Txn(txn),
                    RequestPriority::Cancellation.urgency(),
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

    /// The request can't be answered here now. The state service may refuse this node alone: then
    /// a member can, and the user need not come back.
    pub(super) fn relay_or_refuse(&mut self, id: RequestId) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        let leader = self.current_other_leader();
        let member = self
            .config
            .members
            .iter()
            .min_by_key(|member| Some(&member.label) != leader.as_ref());
        let job = pending.job_id();
        let Some(member) = member else {
            return self.respond_unavailable(id, job);
        };
        if self.relay.relayed_in.contains(&id) || self.relay.retry_at > self.now {
            return self.respond_unavailable(id, job);
        }
        let ask = match pending {
            PendingRequest::Poll(job) => ApiRequest::Poll(job),
            PendingRequest::Submit(submission) => ApiRequest::Submit(submission),
            PendingRequest::Cancel { id: job, .. } => ApiRequest::Cancel(job),
        };
        self.relay.relayed_out.insert(id, job);
        self.effects.push(Effect::RelayRequest {
            id,
            label: member.label.clone(),
            request: ask,
        });
    }

    pub(super) fn on_relay_response(&mut self, id: RequestId, answer: Option<ApiResponse>) {
        let Some(job) = self.relay.relayed_out.remove(&id) else {
            return;
        };
        match answer.filter(|answer| answer.status < 500) {
            Some(answer) => {
                if answer.status < 300 {
                    self.admission.on_accepted(job, true, self.now);
                }
                self.respond(id, answer);
            }
            None => {
                self.relay.retry_at = self.now + RELAY_RETRY_MS;
                self.respond_unavailable(id, job);
            }
        }
    }

    /// Nobody can answer now.
    fn respond_unavailable(&mut self, id: RequestId, job: JobId) {
        self.admission.on_refused(job);
        self.respond(id, state_service_unavailable());
    }

    /// `synced`: the view is as new as the request.
    fn submit_job(&mut self, id: RequestId, submission: Box<Submission>, synced: bool) {
        // What a member relays has been let in there.
        let relayed = self.relay.relayed_in.contains(&id);
        let rank = if relayed {
            RequestPriority::SubmissionWithinShare
        } else {
            match self.admit_submission(id, &submission) {
                Some(rank) => rank,
                None => return,
            }
        };
        let limits = &self.config.settings.state;
        let (record, texts) =
            storage::live_job_record(self.wall_ms, &submission, limits.max_value_bytes());
        let job = submission.id;
        if texts.len() >= limits.max_txn_ops as usize {
            // It may have been accepted when the state service took more.
            return if synced {
                self.respond(id, ApiResponse::error(400, "too many names"))
            } else {
                self.answer_after_barrier(id, PendingRequest::Submit(submission))
            };
        }
        let mut txn = Txn::default();
        txn.put(storage::job_key(job), 0, storage::to_value(&record));
        for (text, part) in texts.iter().zip(0..) {
            txn.writes.push(Write::Put {
                key: storage::job_part_key(job, part),
                value: storage::to_value(text),
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
                single_key: texts.is_empty(),
            },
            StateRequest::Txn(txn),
            rank.urgency(),
            TXN_TIMEOUT_MS,
        );
    }

    pub(super) fn on_submit_response(
        &mut self,
        id: RequestId,
        whole: bool,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            // What is kept under several keys is read like everybody else's.
            Ok(StateReply::Committed(_)) if !whole => self.retry_after_barrier(id),
            Ok(StateReply::Committed(version)) => {
                let Some(PendingRequest::Submit(submission)) = self.pending_requests.remove(&id)
                else {
                    return;
                };
                let job = submission.id;
                self.admission.on_accepted(job, true, self.now);
                tracing::info!(%job, kind = ?submission.kind, class = submission.class, team = submission.team,
                    tasks = submission.tasks, cpus = submission.cpus, gpus = submission.gpus,
                    estimate_s = submission.estimate_s, awaits = ?submission.dependencies, due_s = submission.deadline_s,
                    "accepted");
                let record = JobRecord::Live {
                    at_ms: self.wall_ms,
                    spec: submission,
                };
                let change = self.registry.put_job_record(job, record, version);
                self.on_registry_change(change);
                self.respond(id, ApiResponse::json(201, &self.job_view(job)));
            }
            // Somebody was first: another node, or an attempt of ours that seemed lost.
            Ok(StateReply::Conflict(_)) => self.retry_after_barrier(id),
            Err(StateError::NoAnswer) => {
                let Some(pending) = self.pending_requests.get(&id) else {
                    return;
                };
                let key = storage::job_key(pending.job_id());
                self.call_state_service(
                    StateTag::CheckPutJob(id),
                    StateRequest::Get { key },
                    Urgency::Prompt,
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

    pub(super) fn on_submit_check(
        &mut self,
        id: RequestId,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            Ok(StateReply::Row(_)) => self.retry_after_barrier(id),
            // Not there yet, and perhaps never: the user has to ask again.
            _ => self.relay_or_refuse(id),
        }
    }

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
                self.respond(id, ApiResponse::json(200, &self.job_view(job)));
            }
            Ok(StateReply::Conflict(_)) | Err(StateError::NoAnswer) => self.retry_after_barrier(id),
            _ => self.relay_or_refuse(id),
        }
    }

    fn retry_after_barrier(&mut self, id: RequestId) {
        if let Some(pending) = self.pending_requests.remove(&id) {
            self.answer_after_barrier(id, pending);
        }
    }

    /// Whether the job can ever run.
    fn check_feasibility(&self, job: &Submission) -> Feasibility {
        if self.machine_types.is_empty() {
            return Feasibility::Undecided;
        }
        let Some(team) = self
            .config
            .settings
            .teams
            .iter()
            .find(|team| team.name == job.team)
        else {
            return Feasibility::Infeasible("unknown team");
        };
        let need = Resources {
            cpus: job.cpus,
            gpus: job.gpus,
            ram_gb: job.ram_gb,
        };
        let allowed = |name: &String| job.types.as_ref().is_none_or(|only| only.contains(name));
        let fits = self.machine_types.iter().any(|kind| {
            allowed(&kind.name)
                && job
                    .zone
                    .as_ref()
                    .is_none_or(|zone| kind.zones.contains(zone))
                && need.fits_in(&Resources {
                    cpus: kind.cpus,
                    gpus: kind.gpus,
                    ram_gb: kind.ram_gb,
                })
        });
        if !fits {
            return Feasibility::Infeasible("a task fits no allowed machine type");
        }
        let tasks = match job.kind {
            JobKind::Array => 1.0,
            JobKind::Gang | JobKind::Service => f64::from(job.tasks),
        };
        let over = |limit: f64, need: f64| limit > 0.0 && tasks * need > limit + 1e-6;
        if over(team.cpus_max, job.cpus) || over(team.gpus_max, job.gpus) {
            return Feasibility::Infeasible("the job needs more than its team's limit");
        }
        for awaited in &job.dependencies {
            match self.registry.get(*awaited) {
                None => return Feasibility::Infeasible("awaits a job that was never accepted"),
                Some(RegisteredJob::Live(other)) if other.spec.kind == JobKind::Service => {
                    return Feasibility::Infeasible("awaits a service, which is never done");
                }
                _ => {}
            }
        }
        Feasibility::Feasible
    }

    fn job_view(&self, id: JobId) -> JobView {
        let ended = self.registry.get(id).and_then(RegisteredJob::final_status);
        let (done, running) = match &self.leader_state {
            Some(leader) => leader.task_counts(id),
            None => self
                .job_progress
                .get(&id)
                .map(|progress| (progress.done, progress.running)),
        }
        .unwrap_or_default();
        let status = ended.unwrap_or(if running > 0 {
            JobStatus::Running
        } else {
            JobStatus::Pending
        });
        JobView {
            id,
            status,
            done,
            running,
        }
    }

    pub(super) fn on_leader_announcement(&mut self, progress: LeaderAnnouncement) {
        if progress.term < self.registry.term {
            return;
        }
        self.lease_renewer.leader_heard_at = Some(self.now);
        self.admission
            .learn_reservations(&progress.reservations, self.now);
        self.on_leader_announced(progress.term, progress.leader);
        self.job_progress = progress
            .jobs
            .into_iter()
            .map(|job| (job.job, job))
            .collect();
    }
}
