//! Users: they submit, repeat what was refused, poll, and cancel.

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
    link::{Link, Traffic},
    machine::TaskSpec,
};
use http::Method;
use rand::Rng;

use crate::{
    region::{Region, team_name},
    rules::{JobFacts, Rules},
    settings::Experiment,
};

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_EVERY: Duration = Duration::from_secs(5);
/// After a refusal.
const RETRY: Duration = Duration::from_secs(1);
/// A submission is tried again for that long.
const PATIENCE: Duration = Duration::from_secs(60);
/// Users who call a job off do so this long after it was accepted.
const CANCEL_AFTER: Duration = Duration::from_secs(2);
/// Replicas of one service, at the most.
const REPLICAS: u32 = 200;
/// Users who submit one service after another at the start.
const SERVICE_USERS: u64 = 8;
/// Ids of one region's jobs.
const IDS: u64 = 100_000_000;

/// The users of one region.
#[derive(Clone)]
pub struct Users {
    nodes: Arc<Vec<SocketAddr>>,
    traffic: Arc<Traffic>,
    rules: Arc<Rules>,
    experiment: Arc<Experiment>,
    next_id: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    counts: Arc<Counts>,
}

/// What became of submissions.
#[derive(Debug, Default)]
pub struct Counts {
    /// Accepted.
    pub accepted: AtomicU64,
    /// Given up without an acceptance.
    pub given_up: AtomicU64,
    /// Answers that sent a user away for a while.
    pub sent_away: AtomicU64,
}

/// What a user submits.
struct Wanted {
    kind: Kind,
    class: &'static str,
    priority: Priority,
    tasks: u32,
    cpus: f64,
    run_s: Option<f64>,
}

impl Users {
    /// Users of this region, who do nothing yet.
    pub fn new(region: &Region, experiment: &Experiment, rules: &Arc<Rules>) -> Self {
        Users {
            nodes: Arc::new(region.listens()),
            traffic: region.users.clone(),
            rules: rules.clone(),
            experiment: Arc::new(experiment.clone()),
            next_id: Arc::new(AtomicU64::new(IDS * (region.index as u64 + 1))),
            over: Arc::new(AtomicBool::new(false)),
            counts: Arc::new(Counts::default()),
        }
    }

    /// What became of submissions so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Nobody submits anything more.
    pub fn stop(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Submits services whose replicas fill a part of each worker; returns when all are accepted.
    pub async fn fill(&self) {
        let experiment = &self.experiment;
        if experiment.replica_cpus <= 0.0 {
            return;
        }
        let services = (experiment.workers as u32).div_ceil(self.replicas());
        let next = Arc::new(AtomicU64::new(0));
        let users: Vec<_> = (0..SERVICE_USERS)
            .map(|_| tokio::spawn(self.clone().fill_in_turn(next.clone(), services)))
            .collect();
        for user in users {
            let _ = user.await;
        }
    }

    /// Replicas of one service: where teams have limits, each has as many of them.
    fn replicas(&self) -> u32 {
        let experiment = &self.experiment;
        let each = (experiment.workers as u32).div_ceil(experiment.teams as u32);
        if experiment.drill.is_some() {
            each.min(REPLICAS)
        } else {
            REPLICAS
        }
    }

    async fn fill_in_turn(self, next: Arc<AtomicU64>, services: u32) {
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed) as u32;
            if number >= services {
                return;
            }
            let left = self.experiment.workers as u32 - number * self.replicas();
            let wanted = Wanted {
                kind: Kind::Service,
                class: "replica",
                priority: Priority::Production,
                tasks: left.min(self.replicas()),
                cpus: self.experiment.replica_cpus,
                run_s: None,
            };
            self.submit(&wanted).await;
        }
    }

    /// Submits arrays at the experiment's rate until stopped.
    pub async fn load(self) {
        let experiment = self.experiment.clone();
        if experiment.starts_per_s <= 0.0 {
            return;
        }
        let jobs_per_s = experiment.starts_per_s / f64::from(experiment.tasks_per_job);
        let mut clock = tokio::time::interval(Duration::from_secs_f64(1.0 / jobs_per_s));
        while !self.over.load(Ordering::Relaxed) {
            clock.tick().await;
            let urgent = rand::rng().random_bool(experiment.urgent_share);
            let (class, priority) = if urgent {
                ("urgent", Priority::High)
            } else {
                ("other", Priority::Normal)
            };
            let wanted = Wanted {
                kind: Kind::Array,
                class,
                priority,
                tasks: experiment.tasks_per_job,
                cpus: experiment.task_cpus,
                run_s: Some(experiment.run_s),
            };
            let user = self.clone();
            tokio::spawn(async move { user.submit_and_poll(&wanted).await });
        }
    }

    async fn submit_and_poll(&self, wanted: &Wanted) {
        let Some((id, mut link)) = self.submit(wanted).await else {
            return;
        };
        if rand::rng().random_bool(self.experiment.cancelled_share) {
            tokio::time::sleep(CANCEL_AFTER).await;
            return self.cancel(id, &mut link).await;
        }
        while !self.over.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_EVERY).await;
            let path = format!("/v2/runs/{id}");
            let answer = link.call(Method::GET, &path, Vec::new(), POLL_TIMEOUT);
            let view = match answer.await {
                Some((200, body)) => protocol::decode::<JobView>(&body).ok(),
                _ => None,
            };
            let status = view.map(|view| view.status);
            if matches!(status, Some(JobStatus::Done | JobStatus::Cancelled)) {
                return;
            }
        }
    }

    /// Calls a job off until a node confirms it.
    async fn cancel(&self, id: JobId, link: &mut Link) {
        let path = format!("/v2/runs/{id}/abort");
        while !self.over.load(Ordering::Relaxed) {
            let answer = link.call(Method::POST, &path, Vec::new(), SUBMIT_TIMEOUT);
            if let Some((200, body)) = answer.await {
                let view = protocol::decode::<JobView>(&body).ok();
                if view.is_some_and(|view| view.status == JobStatus::Cancelled) {
                    self.rules.cancelled(id);
                }
                return;
            }
            let node = rand::rng().random_range(0..self.nodes.len());
            link.turn_to(self.nodes[node]);
            tokio::time::sleep(RETRY).await;
        }
    }

    /// Submits until it is accepted; the connection that it was accepted on.
    async fn submit(&self, wanted: &Wanted) -> Option<(JobId, Link)> {
        let id = JobId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let team = team_name(id.0 as usize % self.experiment.teams);
        let submission = self.submission(id, &team, wanted);
        let spec = TaskSpec {
            cpus: wanted.cpus,
            run_ms: wanted.run_s.map(|run_s| (run_s * 1000.0) as u64),
        };
        let facts = JobFacts {
            team,
            spec,
            urgent: wanted.priority <= Priority::High,
            measured: wanted.kind == Kind::Array,
        };
        self.rules.submitted(id, facts);
        let body = protocol::encode(&submission);
        let began = Instant::now();
        let mut node = rand::rng().random_range(0..self.nodes.len());
        let mut link = Link::new(self.nodes[node], self.traffic.clone());
        while began.elapsed() < PATIENCE && !self.over.load(Ordering::Relaxed) {
            let answer = link.call(Method::POST, "/v2/runs", body.clone(), SUBMIT_TIMEOUT);
            if let Some((200 | 201, _)) = answer.await {
                self.rules.accepted(id);
                self.counts.accepted.fetch_add(1, Ordering::Relaxed);
                return Some((id, link));
            }
            self.counts.sent_away.fetch_add(1, Ordering::Relaxed);
            node = (node + 1) % self.nodes.len();
            link.turn_to(self.nodes[node]);
            tokio::time::sleep(RETRY).await;
        }
        self.counts.given_up.fetch_add(1, Ordering::Relaxed);
        None
    }

    fn submission(&self, id: JobId, team: &str, wanted: &Wanted) -> Submission {
        Submission {
            id,
            class: wanted.class.into(),
            team: team.into(),
            kind: wanted.kind,
            priority: wanted.priority,
            tasks: wanted.tasks,
            cpus: wanted.cpus,
            gpus: 0.0,
            ram_gb: 1.0,
            image: "image".into(),
            image_gb: 0.1,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: wanted.run_s.unwrap_or(0.0),
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            awaits: Vec::new(),
        }
    }
}
