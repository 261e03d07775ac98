//! The simulated cluster: construction, the event queue, and starting and stopping of node
//! processes.

use super::*;

impl SimulatedCluster {
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(crate) fn new(seed: u64) -> Self {
        let mut cluster = SimulatedCluster {
            now: 0,
            timings: worker_timings(seed),
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event_id: 0,
            nodes: (0..NODE_COUNT).map(|_| None).collect(),
            incarnations: vec![0; NODE_COUNT],
            booted_at: vec![0; NODE_COUNT],
            state_service_unreachable_until: vec![0; NODE_COUNT],
            state_service_refuses_until: vec![0; NODE_COUNT],
            recovery_read_delay_ms: 0,
            state_reply_delay_ms: 0,
            delayed_writes_until: 0,
            duplicated_reports_until: 0,
            lost_replies_until: 0,
            lost_reply_kind: None,
            discarded_write_kind: None,
            lost_reply_tickets: HashSet::new(),
            retain_reports_until: 0,
            retained_reports: Vec::new(),
            consistency_checks_until: 0,
            cancel_at_completion_until: 0,
            slow_state_service_until: 0,
            state_service_outage: None,
            fault_until: 0,
            delayed_writes_applied: 0,
            duplicated_reports: 0,
            dropped_messages: 0,
            lost_replies_by_kind: BTreeMap::new(),
            replayed_reports: 0,
            answered_consistency_checks: 0,
            undelivered_reports: 0,
            messages_held_by_hung_workers: 0,
            malformed_responses: BTreeMap::new(),
            starts_by_task: HashMap::new(),
            max_run_after_cancel_ms: 0,
            workers_unreachable_until: vec![0; NODE_COUNT],
            mesh_unreachable_until: vec![0; NODE_COUNT],
            zone_partition: (0, String::new(), 0),
            start_delay_ms: 0,
            frozen_until: vec![0; NODE_COUNT],
            effects_held_until: 0,
            leader_freezes: 0,
            resignations: 0,
            requests: 0,
            writes: 0,
            store: StateStore::new(limits(seed)),
            watches: Vec::new(),
            answered_tickets: HashSet::new(),
            workers: Vec::new(),
            provisioned_instances: HashMap::new(),
            jobs: BTreeMap::new(),
            completed_tasks: HashSet::new(),
            pending_requests: HashMap::new(),
            pending_revocations: HashMap::new(),
            next_request_id: 0,
            starts: 0,
            dependent_starts: 0,
            limit_notice_at: [0; NODE_COUNT],
            limit_drop: (u64::MAX, limits(seed)),
            limits_unannounced: false,
            oversized_writes: 0,
            relayed_successes: 0,
            member_statuses: vec![None; NODE_COUNT],
            checks_unreported_tasks: false,
            pending_answers: 0,
            running_answers: 0,
            acceptances_at: Vec::new(),
            retry_at: HashMap::new(),
            rejections: 0,
            seed,
            quotas_written_at: None,
            duplicate_start_delay_ms: 0,
            delayed_renewer_key: (NODE_COUNT, 0),
            quick_restarts: 0,
            duplicated_messages: 0,
            replica_seconds: [(0, 0); 2],
            flood_jobs: HashSet::new(),
            effects_digest: DefaultHasher::new(),
            sent_digest: MessageDigest::default(),
            recorded_messages: None,
            late_command_probability: [0.0, 0.1, 0.4][(seed / 3) as usize % 3],
            faults_enabled: true,
            leader: None,
        };
        // In half of the histories the limits of the state service are lowered. Nodes that are not
        // yet configured for the lower limits write larger snapshots and log records, and
        // leadership moves between them and nodes that are.
        if seed % 2 == 1 {
            cluster.store.limits = USUAL_LIMITS;
            cluster.limit_notice_at = [20_000, 45_000, 70_000];
            cluster.limit_drop.0 = 80_000;
        }
        // In a quarter of the histories no node is configured for the lower limits.
        if seed % 4 == 3 {
            cluster.limit_notice_at = [u64::MAX; NODE_COUNT];
            cluster.limits_unannounced = true;
        }
        for index in 0..4 {
            cluster.add_worker(["a", "b"][index % 2], index == 3);
        }
        for index in 0..NODE_COUNT {
            cluster.boot(index);
        }
        cluster
    }

    pub(crate) fn add_worker(&mut self, zone: &str, spot: bool) -> String {
        let name = format!("vm-{:06}", self.workers.len());
        let duration_factor = 1.0 + self.rng.random_range(-0.0005..0.0005);
        self.workers.push(Worker {
            name: name.clone(),
            zone: zone.into(),
            spot,
            incarnation: 1,
            seq: 0,
            token: 0,
            lease_renewed_at: self.now,
            tasks: BTreeMap::new(),
            node: self.rng.random_range(0..NODE_COUNT),
            report_at: self.now + 500,
            report_in_flight: None,
            unreachable_until: 0,
            drops_inbound_until: 0,
            lost_starts: BTreeSet::new(),
            drops_outbound_until: 0,
            hung_until: 0,
            booted_at: self.now,
            deleted_at: 0,
            deleted: false,
            lease_duration_factor: duration_factor,
            images: BTreeSet::new(),
        });
        name
    }

    pub(crate) fn schedule(&mut self, time: u64, event: SimulationEvent) {
        self.last_event_id += 1;
        self.queue.push(Reverse((time, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    pub(crate) fn schedule_command(
        &mut self,
        node: usize,
        incarnation: u64,
        time: u64,
        command: Command,
    ) {
        self.schedule(
            time,
            SimulationEvent::DeliverCommand(node, incarnation, Box::new(command)),
        );
    }

    /// Returns the node that handles the event, if a node does.
    pub(crate) fn node_of_event(event: &SimulationEvent) -> Option<usize> {
        match event {
            SimulationEvent::Tick(node, _)
            | SimulationEvent::DeliverCommand(node, ..)
            | SimulationEvent::DeliverReport(_, node, ..)
            | SimulationEvent::Revoke(_, node, ..)
            | SimulationEvent::Relay(_, _, node, ..) => Some(*node),
            _ => None,
        }
    }

    pub(crate) fn boot(&mut self, node_index: usize) {
        self.incarnations[node_index] += 1;
        self.booted_at[node_index] = self.now;
        self.frozen_until[node_index] = 0;
        let (_, next_limits) = self.limit_drop;
        let next_limits = (self.limit_notice_at[node_index] <= self.now).then_some(next_limits);
        self.nodes[node_index] = Some(Node::new(config(
            node_index,
            self.timings,
            self.store.limits,
            next_limits,
        )));
        self.schedule(
            self.now,
            SimulationEvent::Tick(node_index, self.incarnations[node_index]),
        );
    }

    pub(crate) fn crash(&mut self, node: usize) {
        if self.nodes[node].is_some() && self.faults_enabled && self.rng.random_bool(0.5) {
            self.delay_messages_of_crashed_node(node);
        }
        self.nodes[node] = None;
        self.incarnations[node] += 1;
    }

    /// Delays the requests that a crashed process has in flight to the state service and to
    /// workers: they are carried out when its successor under the same label is already running.
    pub(crate) fn delay_messages_of_crashed_node(&mut self, node: usize) {
        let incarnation = self.incarnations[node];
        let is_from_process = |event: &SimulationEvent| match event {
            SimulationEvent::StateRequestArrives(sender, sender_incarnation, ..)
            | SimulationEvent::DeliverOrders(sender, sender_incarnation, ..) => {
                (*sender, *sender_incarnation) == (node, incarnation)
            }
            _ => false,
        };
        let mut delayed: Vec<u64> = self
            .events
            .iter()
            .filter(|(_, event)| is_from_process(event))
            .map(|(id, _)| *id)
            .collect();
        delayed.sort();
        for id in delayed {
            let time = self.now + self.rng.random_range(30..20_000);
            if let Some(event) = self.events.remove(&id) {
                self.schedule(time, event);
            }
        }
    }

    /// Ends a process and schedules its restart after `pause` milliseconds, mostly less than a
    /// second.
    pub(crate) fn stop_process(&mut self, node: usize, pause: u64) {
        self.crash(node);
        self.quick_restarts += usize::from(pause < 1000);
        self.schedule(self.now + pause, SimulationEvent::Boot(node));
    }

    pub(crate) fn random_restart_delay(&mut self) -> u64 {
        match self.rng.random_range(0..10) {
            0 => self.rng.random_range(1000..6000),
            1 | 2 => 30,
            _ => self.rng.random_range(30..1000),
        }
    }

    /// Schedules one to four stops of each of the given processes in quick succession, some of them
    /// before the process is ready.
    pub(crate) fn schedule_process_stops(&mut self, node_indices: &[usize]) {
        for &node in node_indices {
            let mut time = self.now;
            for _ in 0..self.rng.random_range(1..5) {
                let pause = self.random_restart_delay();
                self.schedule(time, SimulationEvent::StopProcess(node, pause));
                // In this simulation a process is ready after about 100 ms and a takeover takes
                // about 300 ms.
                time += pause + self.rng.random_range(5..2500);
            }
        }
    }

    pub(crate) fn step(&mut self, node_index: usize, incarnation: u64, command: Command) {
        if self.incarnations[node_index] != incarnation {
            return;
        }
        let now = ClockReading {
            monotonic_ms: self.now - self.booted_at[node_index],
            wall_ms: 1_700_000_000_000 + self.now,
        };
        let Some(node) = &mut self.nodes[node_index] else {
            return;
        };
        let effects = node.step([command], now);
        // Freezes the node after it has changed its state and before it sends any effect, the most
        // harmful moment.
        if self.faults_enabled && self.rng.random_bool(0.0002) {
            self.freeze(node_index);
            self.effects_held_until = self.frozen_until[node_index];
        }
        for effect in effects {
            self.execute_effect(node_index, incarnation, effect);
        }
        self.effects_held_until = 0;
    }

    /// Freezes a node for a time that is shorter than the leader's lease, about as long, or longer
    /// than a worker's lease.
    pub(crate) fn freeze(&mut self, node: usize) {
        let lease = self.timings.lease_ttl_ms;
        let lengths = [
            500,
            2500,
            3400,
            3600,
            lease / 2,
            lease - 200,
            lease + 2000,
            25_000,
            40_000,
        ];
        let length = lengths[self.rng.random_range(0..lengths.len())];
        self.frozen_until[node] = self.now + length;
        self.leader_freezes += usize::from(self.leader == Some(node));
    }

    /// Returns the version of the leader's key, if it exists, and the term.
    pub(crate) fn leadership(&self) -> (Option<u64>, u64) {
        let leader = self.store.row("shared/leader").map(|row| row.version);
        let term = self.store.row("shared/term");
        let term = term.and_then(|row| row.value["term"].as_u64());
        (leader, term.unwrap_or(0))
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while self.now < end {
            let next = self.now + 25;
            while let Some(Reverse((time, id))) = self.queue.peek().copied() {
                if time > next {
                    break;
                }
                self.queue.pop();
                self.now = self.now.max(time);
                if let Some(event) = self.events.remove(&id) {
                    self.handle_event(event);
                }
            }
            self.now = next;
            self.run_background();
        }
    }
}
