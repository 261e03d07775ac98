//! Emulated users: they submit jobs, retry rejected submissions, poll and cancel.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use dalelb::protocol::{self, ids::JobId, job::*};
use dalelb_emulators::{
    http_connection::{HttpConnection, Traffic},
    worker_emulator::TaskSpec,
};
use http::Method;
use rand::Rng;

use crate::{
    invariants::{ExpectedJob, InvariantChecker},
    region::{Region, team_name},
    settings::Experiment,
};

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a request that was not accepted is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// A submission is abandoned if it was not accepted for this long.
const SUBMIT_GIVE_UP_AFTER: Duration = Duration::from_secs(60);
/// Delay between the acceptance of a job and its cancellation.
const CANCEL_DELAY: Duration = Duration::from_secs(2);
/// Upper bound on the replicas of a service.
const MAX_REPLICAS_PER_SERVICE: u32 = 200;
/// Number of users that concurrently submit the services at the start.
const CONCURRENT_SERVICE_SUBMITTERS: u64 = 8;
/// Size of the range of job ids of each region.
const JOB_IDS_PER_REGION: u64 = 100_000_000;

/// The emulated users of one region.
#[derive(Clone)]
pub struct UserLoad {
    nodes: Arc<Vec<SocketAddr>>,
    traffic: Arc<Traffic>,
    checker: Arc<InvariantChecker>,
    experiment: Arc<Experiment>,
    next_id: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    counts: Arc<SubmissionCounts>,
}

/// Counters of submissions.
#[derive(Debug, Default)]
pub struct SubmissionCounts {
    /// Accepted submissions.
    pub accepted: AtomicU64,
    /// Submissions abandoned without an acceptance.
    pub abandoned: AtomicU64,
    /// Submission attempts that were not accepted (rejected, or no response).
    pub unaccepted_attempts: AtomicU64,
}

/// The parameters of a job to submit.
struct JobTemplate {
    kind: JobKind,
    class: &'static str,
    priority: Priority,
    tasks: u32,
    cpus: f64,
    run_s: Option<f64>,
}

impl UserLoad {
    /// Creates the users of a region; they are idle until one of the other functions is called.
    pub fn new(region: &Region, experiment: &Experiment, checker: &Arc<InvariantChecker>) -> Self {
        UserLoad {
            nodes: Arc::new(region.listen_addrs()),
            traffic: region.user_traffic.clone(),
            checker: checker.clone(),
            experiment: Arc::new(experiment.clone()),
            next_id: Arc::new(AtomicU64::new(
                JOB_IDS_PER_REGION * (region.index as u64 + 1),
            )),
            is_stopped: Arc::new(AtomicBool::new(false)),
            counts: Arc::new(SubmissionCounts::default()),
        }
    }

    /// The counters of submissions so far.
    pub fn counts(&self) -> &SubmissionCounts {
        &self.counts
    }

    /// Stops all submissions, retries and polls.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Submits enough services for one replica on each worker; returns when all are accepted or abandoned.
    pub async fn submit_services(&self) {
        let experiment = &self.experiment;
        if experiment.replica_cpus <= 0.0 {
            return;
        }
        let services = (experiment.workers as u32).div_ceil(self.replicas_per_service());
        let next_service = Arc::new(AtomicU64::new(0));
        let users: Vec<_> = (0..CONCURRENT_SERVICE_SUBMITTERS)
            .map(|_| {
                tokio::spawn(
                    self.clone()
                        .submit_next_services(next_service.clone(), services),
                )
            })
            .collect();
        for user in users {
            let _ = user.await;
        }
    }

    /// Replicas of each service. In a drill at most a team's equal share of the replicas, since teams have limits there.
    fn replicas_per_service(&self) -> u32 {
        let experiment = &self.experiment;
        let replicas_per_team = (experiment.workers as u32).div_ceil(experiment.teams as u32);
        if experiment.drill.is_some() {
            replicas_per_team.min(MAX_REPLICAS_PER_SERVICE)
        } else {
            MAX_REPLICAS_PER_SERVICE
        }
    }

    async fn submit_next_services(self, next_service: Arc<AtomicU64>, services: u32) {
        loop {
            let service_index = next_service.fetch_add(1, Ordering::Relaxed) as u32;
            if service_index >= services {
                return;
            }
            let remaining_replicas =
                self.experiment.workers as u32 - service_index * self.replicas_per_service();
            let template = JobTemplate {
                kind: JobKind::Service,
                class: "replica",
                priority: Priority::Production,
                tasks: remaining_replicas.min(self.replicas_per_service()),
                cpus: self.experiment.replica_cpus,
                run_s: None,
            };
            self.submit(&template).await;
        }
    }

    /// Submits array jobs at the rate of the experiment until stopped.
    pub async fn run_load(self) {
        let experiment = self.experiment.clone();
        if experiment.starts_per_s <= 0.0 {
            return;
        }
        let jobs_per_s = experiment.starts_per_s / f64::from(experiment.tasks_per_job);
        let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / jobs_per_s));
        while !self.is_stopped.load(Ordering::Relaxed) {
            interval.tick().await;
            let urgent = rand::rng().random_bool(experiment.urgent_share);
            let (class, priority) = if urgent {
                ("urgent", Priority::High)
            } else {
                ("other", Priority::Normal)
            };
            let template = JobTemplate {
                kind: JobKind::Array,
                class,
                priority,
                tasks: experiment.tasks_per_job,
                cpus: experiment.task_cpus,
                run_s: Some(experiment.run_s),
            };
            let user = self.clone();
            tokio::spawn(async move { user.submit_and_poll(&template).await });
        }
    }

    async fn submit_and_poll(&self, template: &JobTemplate) {
        let Some((id, mut connection)) = self.submit(template).await else {
            return;
        };
        if rand::rng().random_bool(self.experiment.cancelled_share) {
            tokio::time::sleep(CANCEL_DELAY).await;
            return self.cancel(id, &mut connection).await;
        }
        while !self.is_stopped.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
            let path = format!("/v2/runs/{id}");
            let response = connection.call(Method::GET, &path, Vec::new(), POLL_TIMEOUT);
            let view = match response.await {
                Some((200, body)) => protocol::decode::<JobView>(&body).ok(),
                _ => None,
            };
            let status = view.map(|view| view.status);
            if matches!(status, Some(JobStatus::Done | JobStatus::Cancelled)) {
                return;
            }
        }
    }

    /// Requests the cancellation of a job and retries until a node confirms it.
    async fn cancel(&self, id: JobId, connection: &mut HttpConnection) {
        let path = format!("/v2/runs/{id}/abort");
        while !self.is_stopped.load(Ordering::Relaxed) {
            let response = connection.call(Method::POST, &path, Vec::new(), SUBMIT_TIMEOUT);
            if let Some((200, body)) = response.await {
                let view = protocol::decode::<JobView>(&body).ok();
                if view.is_some_and(|view| view.status == JobStatus::Cancelled) {
                    self.checker.on_cancelled(id);
                }
                return;
            }
            let node = rand::rng().random_range(0..self.nodes.len());
            connection.redirect_to(self.nodes[node]);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Submits a job, with retries, until it is accepted. Returns the id and the connection of the accepting node, or
    /// `None` if the submission was abandoned.
    async fn submit(&self, template: &JobTemplate) -> Option<(JobId, HttpConnection)> {
        let id = JobId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let team = team_name(id.0 as usize % self.experiment.teams);
        let submission = self.submission(id, &team, template);
        let spec = TaskSpec {
            cpus: template.cpus,
            run_ms: template.run_s.map(|run_s| (run_s * 1000.0) as u64),
        };
        let expected = ExpectedJob {
            team,
            spec,
            urgent: template.priority <= Priority::High,
            measured: template.kind == JobKind::Array,
        };
        self.checker.on_submitted(id, expected);
        let body = protocol::encode(&submission);
        let started_at = Instant::now();
        let mut node = rand::rng().random_range(0..self.nodes.len());
        let mut connection = HttpConnection::new(self.nodes[node], self.traffic.clone());
        while started_at.elapsed() < SUBMIT_GIVE_UP_AFTER
            && !self.is_stopped.load(Ordering::Relaxed)
        {
            let response = connection.call(Method::POST, "/v2/runs", body.clone(), SUBMIT_TIMEOUT);
            if let Some((200 | 201, _)) = response.await {
                self.checker.on_accepted(id);
                self.counts.accepted.fetch_add(1, Ordering::Relaxed);
                return Some((id, connection));
            }
            self.counts
                .unaccepted_attempts
                .fetch_add(1, Ordering::Relaxed);
            node = (node + 1) % self.nodes.len();
            connection.redirect_to(self.nodes[node]);
            tokio::time::sleep(RETRY_DELAY).await;
        }
        self.counts.abandoned.fetch_add(1, Ordering::Relaxed);
        None
    }

    fn submission(&self, id: JobId, team: &str, template: &JobTemplate) -> Submission {
        Submission {
            id,
            class: template.class.into(),
            team: team.into(),
            kind: template.kind,
            priority: template.priority,
            tasks: template.tasks,
            cpus: template.cpus,
            gpus: 0.0,
            ram_gb: 1.0,
            image: "image".into(),
            image_gb: 0.1,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: template.run_s.unwrap_or(0.0),
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        }
    }
}
