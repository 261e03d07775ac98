//! Invariants that are checked in the background and at the end, and periodic actions.

use super::*;

impl SimulatedCluster {
    /// Runs the periodic actions of all models, and checks, every 25 ms.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(crate) fn run_background(&mut self) {
        if self.limit_drop.0 <= self.now {
            self.store.limits = self.limit_drop.1;
        }
        for node in 0..NODE_COUNT {
            // The node restarts with the settings for the lower limits.
            if (self.now - 25..self.now).contains(&self.limit_notice_at[node]) && self.now > 25 {
                self.crash(node);
                self.boot(node);
            }
        }
        for worker_index in 0..self.workers.len() {
            self.advance_worker(worker_index);
            let now = self.now;
            let worker = &mut self.workers[worker_index];
            if worker.deleted || now < 1000 || worker.hung_until > now {
                continue;
            }
            if worker
                .report_in_flight
                .is_some_and(|(_, until)| until <= now)
            {
                worker.report_in_flight = None;
                worker.node = (worker.node + 1) % NODE_COUNT;
                worker.report_at = now + 1000;
            }
            if worker.report_in_flight.is_none() && worker.report_at <= now {
                worker.report_in_flight = Some((now, now + 4000));
                let report = self.timings.report_interval_ms;
                worker.report_at = now + self.rng.random_range(report * 3 / 4..=report * 5 / 4);
                let node = worker.node;
                let report = self.build_report(worker_index);
                if self.workers[worker_index].drops_outbound_until > now {
                    // The worker can't connect and tries the next node.
                    self.undelivered_reports += 1;
                    let worker = &mut self.workers[worker_index];
                    worker.report_in_flight = None;
                    worker.node = (node + 1) % NODE_COUNT;
                    worker.report_at = now + 1000;
                    continue;
                }
                if self.retain_reports_until > now && self.retained_reports.len() < 200 {
                    self.retained_reports
                        .push((worker_index, Box::new(report.clone())));
                }
                let down_until = self.link_down_until(node, worker_index);
                if let Some(time) = self.message_arrival(down_until) {
                    if let Some(time) = self.duplicate_arrival() {
                        let duplicate = Box::new(report.clone());
                        self.schedule(
                            time,
                            SimulationEvent::DeliverReport(worker_index, node, duplicate, 0),
                        );
                    }
                    if self.duplicated_reports_until > self.now && self.rng.random_bool(0.3) {
                        let delay = self.rng.random_range(2000..2 * self.timings.lease_ttl_ms);
                        // The duplicate goes to any node.
                        let node = self.rng.random_range(0..NODE_COUNT);
                        let duplicate = Box::new(report.clone());
                        self.duplicated_reports += 1;
                        self.schedule(
                            now + delay,
                            SimulationEvent::DeliverReport(worker_index, node, duplicate, 0),
                        );
                    }
                    self.schedule(
                        time,
                        SimulationEvent::DeliverReport(worker_index, node, Box::new(report), now),
                    );
                }
            }
        }
        if let Some((_, until)) = self
            .state_service_outage
            .take_if(|(from, _)| *from <= self.now)
        {
            self.start_state_service_outage(until);
        }
        self.store.expire_leases(self.now);
        if self.store.unavailable_until <= self.now {
            for (node, incarnation, tag, request, sent_and_ticket, until) in
                std::mem::take(&mut self.watches)
            {
                if self.state_service_refuses_until[node] > self.now {
                    self.watches
                        .push((node, incarnation, tag, request, sent_and_ticket, until));
                    continue;
                }
                let (sent_at, ticket) = (sent_and_ticket >> 32, sent_and_ticket & 0xffff_ffff);
                let mut request = request;
                if until <= self.now
                    && let StateRequest::Changes { max_wait_ms, .. } = &mut request
                {
                    *max_wait_ms = 0;
                }
                match self.store.execute(&request, self.now) {
                    Some(reply) => {
                        let result = Ok(reply);
                        self.deliver_reply(
                            node,
                            incarnation,
                            ticket,
                            Command::StateResponse {
                                tag,
                                sent_at,
                                result,
                            },
                        );
                    }
                    None => {
                        self.watches
                            .push((node, incarnation, tag, request, sent_and_ticket, until))
                    }
                }
            }
        }
        // Tasks of cancelled jobs must have stopped within the cancellation bound.
        for worker in self.workers.iter().filter(|w| w.hung_until <= self.now) {
            for (task, entry) in &worker.tasks {
                let confirmed_at = self.jobs[&task.job].1.cancelled_at;
                if matches!(entry.state, TaskState::Running | TaskState::Saving)
                    && let Some(confirmed_at) = confirmed_at
                {
                    self.max_run_after_cancel_ms =
                        self.max_run_after_cancel_ms.max(self.now - confirmed_at);
                    assert!(
                        self.now <= confirmed_at + self.timings.cancellation_bound_ms,
                        "ran_cancelled: task {task} of a cancelled job still runs after the cancellation bound, at {} ms",
                        self.now
                    );
                }
            }
        }
    }

    /// Adds up two figures per team: the replicas that were requested long enough ago, up to the
    /// team's limit, and those of them that run. Seconds in which no node can act are left out: the
    /// state service is down, a node started or a partition healed too recently.
    pub(crate) fn count_replicas(&mut self) {
        let grace_ms = self.timings.lease_ttl_ms + 10_000;
        let is_stable = |node: usize| {
            self.nodes[node].is_some()
                && self.booted_at[node] + 5000 <= self.now
                && self.state_service_unreachable_until[node] + 5000 <= self.now
                && self.state_service_refuses_until[node] + grace_ms <= self.now
                && self.workers_unreachable_until[node] + grace_ms <= self.now
                && self.frozen_until[node] + 5000 <= self.now
        };
        if self.store.unavailable_until.max(self.fault_until) + grace_ms > self.now
            || !(0..NODE_COUNT).all(is_stable)
            || self.zone_partition.2 + grace_ms > self.now
        {
            return;
        }
        let running = self.running();
        for (team_index, (team, limit)) in [("red", (TEAM_CPU_LIMIT / 4.0) as u64), ("blue", 30)]
            .into_iter()
            .enumerate()
        {
            let (mut requested, mut up) = (0, 0);
            for (id, (spec, user_view)) in &self.jobs {
                let is_due = user_view
                    .accepted_at
                    .is_some_and(|at| at + grace_ms <= self.now);
                if spec.kind != JobKind::Service
                    || spec.team != team
                    || !is_due
                    || user_view.cancel_requested
                {
                    continue;
                }
                requested += u64::from(spec.tasks);
                up += running.keys().filter(|task| task.job == *id).count() as u64;
            }
            self.replica_seconds[team_index].0 += requested.min(limit);
            self.replica_seconds[team_index].1 += up.min(limit);
        }
    }

    /// Checks that the user of each accepted job, who polls every 5 s, got a response within the
    /// last [`MAX_RESPONSE_DELAY_MS`].
    pub(crate) fn assert_users_got_responses(&self) {
        for (id, (_, user_view)) in &self.jobs {
            let has_response = user_view.last_response_at + MAX_RESPONSE_DELAY_MS >= self.now;
            assert!(
                has_response || !user_view.accepted || self.flood_jobs.contains(id),
                "forgotten: accepted job {id} gets no responses, last response at {} ms",
                user_view.last_response_at
            );
        }
    }

    /// Checks that accepted submissions never exceed the admission capacity of all nodes together:
    /// in any interval, the rate times its length plus the size of the token buckets.
    pub(crate) fn assert_admissions_within_capacity(&self) {
        // Of 50 writes a second the followers get a share of 0.4 and the leader 0.6, less a
        // reserve. Users of the leader get 0.4 of its share, users of a follower 0.95 of its share.
        let follower_rate = 0.95 * 0.92 * 0.2 * 50.0;
        let leader_rate: f64 = 0.4 * 0.92 * 0.6 * 50.0;
        let total_rate = 2.0 * follower_rate + leader_rate;
        let bucket_size = 3.0 * (3.0 * leader_rate.max(follower_rate));
        for (start, first) in self.acceptances_at.iter().enumerate() {
            for (count, last) in self.acceptances_at[start..].iter().enumerate() {
                // A request takes up to two seconds, and a restart refills a bucket.
                let elapsed_s = (last - first) as f64 / 1000.0 + 2.0;
                assert!(
                    count as f64 <= total_rate * elapsed_s + bucket_size + 0.5 * elapsed_s,
                    "{count} submissions accepted within {elapsed_s} s"
                );
            }
        }
    }
}
