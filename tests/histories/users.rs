//! Users: their jobs and requests, and the invariants of the responses that they get.

use super::*;

impl SimulatedCluster {
    pub(crate) fn on_response(
        &mut self,
        index: usize,
        life: u64,
        id: RequestId,
        answer: ApiResponse,
    ) {
        match self.pending_requests.remove(&(index, life, id)) {
            Some(PendingRequest::Report(at, ..)) if self.drops_inbound(at) => {}
            Some(PendingRequest::Report(at, session, number)) => {
                let cut = self.link_cut_until(index, at);
                if let Some(time) = self.message_arrival(cut) {
                    let tag = session << 40 | number;
                    self.schedule(
                        time,
                        SimulationEvent::DeliverResponse(at, tag, index as u64, Box::new(answer)),
                    );
                }
            }
            Some(PendingRequest::Relayed(asker, asker_life, id)) => {
                self.relayed_successes += usize::from(answer.status < 300);
                let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[asker]);
                if let Some(time) = self.message_arrival(cut) {
                    let command = Command::RelayAnswered(id, Some(answer));
                    self.schedule_command(asker, asker_life, time, command);
                }
            }
            Some(PendingRequest::Malformed(allowed)) => {
                assert!(
                    allowed.contains(&answer.status),
                    "unexpected response to a malformed request: {answer:?}"
                );
                *self
                    .malformed_responses
                    .entry((index, answer.status))
                    .or_default() += 1;
            }
            // The frozen node sends too late: the user no longer waits for the response.
            Some(PendingRequest::User(..)) if self.effects_held_until > 0 => {}
            Some(PendingRequest::User(job, cancel, before)) => {
                self.record_user_view(job, cancel, before, &answer)
            }
            None => {}
        }
    }

    /// Checks the invariants of a response and records it in the user's view of the job.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(crate) fn record_user_view(
        &mut self,
        id: JobId,
        cancel: bool,
        before: ViewAtRequest,
        answer: &ApiResponse,
    ) {
        let ViewAtRequest { accepted, last, .. } = before;
        let now = self.now;
        let may_be_cancelled = self
            .dependencies(id)
            .any(|id| self.jobs[&id].1.asked_to_cancel);
        let (spec, told) = self
            .jobs
            .get_mut(&id)
            .expect("requests name submitted jobs only");
        if answer.status == 404 {
            assert!(!accepted, "forgotten: accepted job {id} is unknown");
            return;
        }
        if answer.status >= 300 {
            assert!(
                !accepted || (answer.status != 400 && answer.status != 422),
                "forgotten: accepted job {id} is unknown"
            );
            if let Some(seconds) = answer.retry_after_s {
                assert!(seconds <= 30, "a retry time of more than 30 s");
                self.retry_at.insert(id, now + u64::from(seconds) * 1000);
                self.rejections += usize::from(answer.status == 429);
            }
            return;
        }
        if answer.status == 201 {
            self.acceptances_at.push(now);
        }
        let known = (told.accepted, told.last);
        told.accepted = true;
        told.answered_at = now;
        told.accepted_at.get_or_insert(now);
        let view: JobView = protocol::decode(&answer.body).expect("a valid job state");
        let ended = |status| matches!(status, Some(JobStatus::Done | JobStatus::Cancelled));
        if ended(last) {
            assert_eq!(
                Some(view.status),
                last,
                "went_back: the final status of {id} changed"
            );
        }
        if ended(told.last) && ended(Some(view.status)) {
            assert_eq!(
                Some(view.status),
                told.last,
                "went_back: the final status of {id} changed"
            );
        }
        if !ended(told.last) {
            told.last = Some(view.status);
        }
        match view.status {
            JobStatus::Done => {
                for index in 0..spec.tasks {
                    let task = TaskId { job: id, index };
                    assert!(
                        self.completed.contains(&task),
                        "not_done: {id} is reported as done, but {task} has not completed"
                    );
                }
            }
            JobStatus::Cancelled => {
                assert!(
                    may_be_cancelled,
                    "went_back: {id} is reported as cancelled without a cancellation"
                );
                told.cancelled_at.get_or_insert(now);
            }
            _ => {
                assert!(!cancel, "a cancellation was confirmed with status {view:?}");
                // Stricter than the rule, which allows some time: each node derives the
                // cancellation of dependent jobs immediately.
                assert!(
                    !before.dependency_cancelled,
                    "orphaned: a dependency of {id} is cancelled, but {id} is {:?}",
                    view.status
                );
            }
        }
        if self.consistency_checks_until > now {
            self.answered_consistency_checks += 1;
            if known != (true, told.last) {
                // From now on no node may return an older state.
                for later in [1, 2, 4, 8, 16, 30, 60, 200, 1000] {
                    self.schedule(now + later, SimulationEvent::CheckConsistency(id));
                }
            }
        }
    }

    /// Returns a job and all its dependencies, direct and transitive.
    pub(crate) fn dependencies(&self, id: JobId) -> impl Iterator<Item = JobId> {
        let mut all = vec![id];
        let mut at = 0;
        while let Some(id) = all.get(at) {
            at += 1;
            for awaited in &self.jobs[id].0.dependencies {
                if !all.contains(awaited) {
                    all.push(*awaited);
                }
            }
        }
        all.into_iter()
    }

    pub(crate) fn send_request(&mut self, id: JobId, ask: ApiRequest) {
        let index = self.rng.random_range(0..NODE_COUNT);
        self.send_request_to(index, id, ask);
    }

    pub(crate) fn send_request_to(&mut self, index: usize, id: JobId, ask: ApiRequest) {
        if self.frozen_until[index] > self.now {
            // A request to a frozen node times out; the user retries later.
            return;
        }
        let cancel = matches!(ask, ApiRequest::Cancel(_));
        if cancel {
            self.jobs
                .get_mut(&id)
                .expect("a submitted job")
                .1
                .asked_to_cancel = true;
        }
        self.next_request_id += 1;
        let life = self.incarnations[index];
        let told = &self.jobs[&id].1;
        let cancelled = |id: JobId| self.jobs[&id].1.cancelled_at.is_some();
        let before = ViewAtRequest {
            accepted: told.accepted,
            last: told.last,
            dependency_cancelled: self.dependencies(id).any(cancelled),
        };
        let asked = PendingRequest::User(id, cancel, before);
        self.pending_requests
            .insert((index, life, self.next_request_id), asked);
        self.step(index, life, Command::ApiRequest(self.next_request_id, ask));
    }

    /// Sends a malformed or unusual request, which may get only the statuses in `allowed`.
    pub(crate) fn send_malformed_request(
        &mut self,
        index: usize,
        ask: ApiRequest,
        allowed: &'static [u16],
    ) {
        self.next_request_id += 1;
        let life = self.incarnations[index];
        self.pending_requests.insert(
            (index, life, self.next_request_id),
            PendingRequest::Malformed(allowed),
        );
        self.step(index, life, Command::ApiRequest(self.next_request_id, ask));
    }

    pub(crate) fn random_job(&mut self, number: u64) -> Submission {
        let service = self.rng.random_bool(0.3);
        let zone = ["a", "b"][self.rng.random_range(0..2)];
        let zone = self.rng.random_bool(0.1).then(|| zone.to_owned());
        Submission {
            id: JobId(number),
            class: "any".into(),
            team: if self.rng.random_bool(0.5) {
                "red"
            } else {
                "blue"
            }
            .into(),
            kind: if service {
                JobKind::Service
            } else {
                JobKind::Array
            },
            priority: if service {
                Priority::Production
            } else {
                Priority::Normal
            },
            tasks: self.rng.random_range(1..if service { 4 } else { 9 }),
            cpus: 4.0,
            gpus: 0.0,
            ram_gb: 8.0,
            image: format!("img-{}", self.rng.random_range(0..3)),
            image_gb: 1.0,
            types: None,
            spread: service && zone.is_none(),
            zone,
            one_zone: !service && self.rng.random_bool(0.05),
            spot: !service,
            estimate_s: if service { 0.0 } else { 8.0 },
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        }
    }

    /// Returns a random job that may depend on up to three of the last 12 accepted array jobs,
    /// whatever their state.
    pub(crate) fn random_dag_stage(&mut self, number: u64) -> Submission {
        let mut spec = self.random_job(number);
        let known = self
            .jobs
            .iter()
            .filter(|(_, (spec, told))| told.accepted && spec.kind == JobKind::Array);
        let known: Vec<JobId> = known.map(|(id, _)| *id).collect();
        let lately = &known[known.len().saturating_sub(12)..];
        if spec.kind == JobKind::Array && !lately.is_empty() {
            for _ in 0..self.rng.random_range(0..4) {
                let awaited = lately[self.rng.random_range(0..lately.len())];
                if !spec.dependencies.contains(&awaited) {
                    spec.dependencies.push(awaited);
                }
            }
            // Makes the record so large that it needs several keys.
            if !spec.dependencies.is_empty() && self.rng.random_bool(0.1) {
                spec.types = Some(
                    vec!["c16".into(); 30]
                        .into_iter()
                        .chain((0..30).map(|n| format!("{n:0>60}")))
                        .collect(),
                );
            }
        }
        spec
    }

    /// In one history of four, dozens of small jobs arrive per second from 40 s to 52 s.
    pub(crate) fn is_flooding(&self, second: u64) -> bool {
        self.seed % 4 == 2 && (40..52).contains(&second)
    }

    /// Returns a job of the flood: one small task of a team without a guarantee.
    pub(crate) fn small_task(&mut self, number: u64) -> Submission {
        self.flood_jobs.insert(JobId(number));
        Submission {
            class: "flood".into(),
            team: "blue".into(),
            kind: JobKind::Array,
            priority: Priority::Low,
            tasks: 1,
            cpus: 0.25,
            ram_gb: 0.5,
            spread: false,
            zone: None,
            one_zone: false,
            spot: true,
            estimate_s: 4.0,
            ..self.random_job(number)
        }
    }

    /// Returns whether the user of a flood's job sends a request now: not before the time given
    /// with a rejection.
    pub(crate) fn may_retry(&mut self, id: JobId) -> bool {
        let now = self.now;
        match self.retry_at.get(&id) {
            Some(at) if *at > now => false,
            Some(_) => true,
            None => self.rng.random_bool(0.05),
        }
    }

    pub(crate) fn submit(&mut self, spec: Submission) {
        let id = spec.id;
        self.jobs.insert(id, (spec.clone(), UserView::default()));
        self.send_request(id, ApiRequest::Submit(Box::new(spec)));
    }

    /// Returns an array job of a team without a limit, with tasks that run for 600 s.
    pub(crate) fn long_array(&mut self, number: u64, tasks: u32) -> Submission {
        Submission {
            team: "blue".into(),
            kind: JobKind::Array,
            spread: false,
            zone: None,
            one_zone: false,
            priority: Priority::Normal,
            tasks,
            estimate_s: 600.0,
            ..self.random_job(number)
        }
    }
}
