//! Effects of nodes, turned into events or into requests to the models of the services.

use super::*;

impl SimulatedCluster {
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(crate) fn execute_effect(&mut self, node: usize, incarnation: u64, effect: Effect) {
        let send_time = self.now - self.booted_at[node];
        format!("{effect:?}").hash(&mut self.effects_digest);
        let message = SentMessage::from_effect(&effect);
        self.sent_digest.add(self.now, node, incarnation, &message);
        if let Some(messages) = &mut self.recorded_messages {
            messages.push(message);
        }
        match effect {
            Effect::CallStateService {
                tag,
                request,
                timeout_ms,
                ..
            } => {
                self.requests += 1;
                if matches!(tag, coordination::Tag::WriteAdmissionQuotas { .. }) {
                    let last = self.quotas_written_at.replace(self.now);
                    let is_spaced = last.is_none_or(|at| at + 5000 <= self.now);
                    assert!(
                        is_spaced,
                        "admission quotas were written twice within 5 s, before the first ones have settled"
                    );
                }
                if let StateRequest::Txn(txn) = &request {
                    self.writes += txn.writes.len();
                    let is_leader_write = |write: &Write| {
                        let (Write::Put { key, .. } | Write::Delete { key }) = write;
                        let leader_keys = ["shared/types", "shared/admission", "shared/progress"];
                        key.starts_with("books/") || leader_keys.contains(&&key[..])
                    };
                    let requires_leader_key = |condition: &Condition| {
                        condition.key == "shared/leader" && condition.version > 0
                    };
                    assert!(
                        !txn.writes.iter().any(is_leader_write)
                            || txn.conditions.iter().any(requires_leader_key),
                        "a leader's write without a condition on the leader's key: {txn:?}"
                    );
                    // A write that is applied late, also within the same term, must not overwrite a
                    // newer one. The further keys of a record are written together with its first
                    // key.
                    let is_conditional = |write: &Write| {
                        let (Write::Put { key, .. } | Write::Delete { key }) = write;
                        key.starts_with("shared/part/")
                            || txn.conditions.iter().any(|condition| condition.key == *key)
                    };
                    assert!(
                        txn.writes.iter().all(is_conditional),
                        "a write that could overwrite a newer one: {txn:?}"
                    );
                }
                self.last_event_id += 1;
                let ticket = self.last_event_id;
                let timeout = Command::StateResponse {
                    tag: tag.clone(),
                    sent_at: send_time,
                    result: Err(StateError::NoAnswer),
                };
                self.schedule(
                    self.now + timeout_ms,
                    SimulationEvent::DeliverCommand(
                        node,
                        incarnation | ticket << 20,
                        Box::new(timeout),
                    ),
                );
                let is_discarded = self
                    .discarded_write_kind
                    .is_some_and(|kind| kind == request_kind(&tag));
                if is_discarded {
                    return;
                }
                if let Some(mut time) =
                    self.message_arrival(self.state_service_unreachable_until[node])
                {
                    let is_first_write =
                        incarnation == 1 && matches!(tag, coordination::Tag::PutRenewerKey { .. });
                    if is_first_write && node == self.delayed_renewer_key.0 {
                        time = self.delayed_renewer_key.1;
                    }
                    if matches!(tag, coordination::Tag::ReadLeaderLog { .. }) {
                        time += self.recovery_read_delay_ms;
                    }
                    let written = matches!(request, StateRequest::Txn(_));
                    if written && self.delayed_writes_until > self.now && self.rng.random_bool(0.15)
                    {
                        // By then the sender has timed out.
                        time += self.rng.random_range(2000..12_000);
                        self.delayed_writes_applied += 1;
                    } else if self.slow_state_service_until > self.now {
                        time += self.rng.random_range(20..1200);
                    }
                    let random_loss =
                        self.lost_replies_until > self.now && self.rng.random_bool(0.3);
                    if written
                        && (random_loss
                            || self
                                .lost_reply_kind
                                .is_some_and(|kind| kind == request_kind(&tag)))
                    {
                        self.lost_reply_tickets.insert(ticket);
                    }
                    let sent_and_ticket = send_time << 32 | ticket;
                    let tagged_request = Box::new((tag, request));
                    if let Some(time) = self.duplicate_arrival() {
                        let duplicate = SimulationEvent::StateRequestArrives(
                            node,
                            DUPLICATE_TICKET,
                            sent_and_ticket,
                            tagged_request.clone(),
                        );
                        self.schedule(time, duplicate);
                    }
                    self.schedule(
                        time,
                        SimulationEvent::StateRequestArrives(
                            node,
                            incarnation,
                            sent_and_ticket,
                            tagged_request,
                        ),
                    );
                }
            }
            Effect::CallCloud { tag, request, .. } => {
                let result = Ok(self.handle_cloud_request(&request));
                let delay = self.rng.random_range(20..200);
                self.schedule_command(
                    node,
                    incarnation,
                    self.now + delay,
                    Command::CloudResponse { tag, result },
                );
            }
            Effect::CallWorker {
                tag,
                orders,
                timeout_ms,
                ..
            } => {
                let Some(worker_index) = self.workers.iter().position(|w| w.name == tag.machine)
                else {
                    return self.schedule_command(
                        node,
                        incarnation,
                        self.now + timeout_ms,
                        Command::WorkerResponse { tag, result: None },
                    );
                };
                self.last_event_id += 1;
                let ticket = self.last_event_id;
                let timeout = Command::WorkerResponse {
                    tag: tag.clone(),
                    result: None,
                };
                self.schedule(
                    self.now + timeout_ms,
                    SimulationEvent::DeliverCommand(
                        node,
                        incarnation | ticket << 20,
                        Box::new(timeout),
                    ),
                );
                let link_down_until = self.link_down_until(node, worker_index);
                let is_late =
                    self.faults_enabled && self.rng.random_bool(self.late_command_probability);
                let extra_delay = if !tag.starts.is_empty() && self.start_delay_ms > 0 {
                    self.start_delay_ms
                } else if is_late {
                    self.rng.random_range(100..2900)
                } else {
                    0
                };
                if let Some(time) = self
                    .message_arrival(link_down_until)
                    .map(|time| time + extra_delay)
                {
                    let tagged_orders = Box::new((tag, orders));
                    let duplicate_at =
                        self.duplicate_start_delay_ms > 0 && !tagged_orders.0.starts.is_empty();
                    let duplicate_at = duplicate_at.then_some(time + self.duplicate_start_delay_ms);
                    if let Some(time) = duplicate_at.or_else(|| self.duplicate_arrival()) {
                        let duplicate = SimulationEvent::DeliverOrders(
                            node,
                            DUPLICATE_TICKET,
                            ticket,
                            worker_index,
                            tagged_orders.clone(),
                        );
                        self.schedule(time, duplicate);
                    }
                    self.schedule(
                        time,
                        SimulationEvent::DeliverOrders(
                            node,
                            incarnation,
                            ticket,
                            worker_index,
                            tagged_orders,
                        ),
                    );
                }
            }
            Effect::Respond(id, response) => self.on_response(node, incarnation, id, response),
            Effect::AnnounceProgress(progress) => {
                for other in (0..NODE_COUNT).filter(|other| *other != node) {
                    let link_down_until =
                        self.mesh_unreachable_until[node].max(self.mesh_unreachable_until[other]);
                    if let Some(time) = self.message_arrival(link_down_until) {
                        let incarnation = self.incarnations[other];
                        self.schedule_command(
                            other,
                            incarnation,
                            time,
                            Command::LeaderAnnounced(progress.clone()),
                        );
                        if let Some(time) = self.duplicate_arrival() {
                            self.schedule_command(
                                other,
                                incarnation,
                                time,
                                Command::LeaderAnnounced(progress.clone()),
                            );
                        }
                        // The member's status is returned over the same link.
                        if let (Some(status), Some(reply_at)) = (
                            self.member_statuses[other].clone(),
                            self.message_arrival(link_down_until),
                        ) {
                            let sender_incarnation = self.incarnations[node];
                            let reply_at = reply_at.max(time);
                            self.schedule_command(
                                node,
                                sender_incarnation,
                                reply_at,
                                Command::MemberStatus(Box::new(status)),
                            );
                        }
                    }
                }
            }
            Effect::PublishMemberStatus(status) => self.member_statuses[node] = Some(*status),
            Effect::RequestRevocation { ref label, .. } => {
                let other: usize = label[1..].parse().expect("a node label with a number");
                let link_down_until =
                    self.mesh_unreachable_until[node].max(self.mesh_unreachable_until[other]);
                if let Some(time) = self.message_arrival(link_down_until) {
                    if let Some(time) = self.duplicate_arrival() {
                        let duplicate = Box::new(effect.clone());
                        self.schedule(
                            time,
                            SimulationEvent::Revoke(
                                node,
                                other,
                                DUPLICATE_TICKET << 32 | send_time,
                                duplicate,
                            ),
                        );
                    }
                    self.schedule(
                        time,
                        SimulationEvent::Revoke(
                            node,
                            other,
                            incarnation << 32 | send_time,
                            Box::new(effect),
                        ),
                    );
                }
            }
            Effect::RespondRevocation(id, reply) => {
                if let Some((requester, requester_incarnation, sent_at, lease, label)) =
                    self.pending_revocations.remove(&(node, incarnation, id))
                {
                    let link_down_until = self.mesh_unreachable_until[node]
                        .max(self.mesh_unreachable_until[requester]);
                    if let Some(time) = self.message_arrival(link_down_until) {
                        let command = Command::LeasesRevoked {
                            lease,
                            label,
                            sent_at,
                            reply: Some(reply),
                        };
                        self.schedule_command(requester, requester_incarnation, time, command);
                    }
                }
            }
            Effect::RelayRequest {
                id,
                label,
                request: relayed_request,
            } => {
                let other: usize = label[1..].parse().expect("a node label with a number");
                self.schedule_command(
                    node,
                    incarnation,
                    self.now + 2000,
                    Command::RelayAnswered(id, None),
                );
                let link_down_until =
                    self.mesh_unreachable_until[node].max(self.mesh_unreachable_until[other]);
                if let Some(time) = self.message_arrival(link_down_until) {
                    if let Some(time) = self.duplicate_arrival() {
                        let duplicate = Box::new(relayed_request.clone());
                        self.schedule(
                            time,
                            SimulationEvent::Relay(node, DUPLICATE_TICKET, other, id, duplicate),
                        );
                    }
                    self.schedule(
                        time,
                        SimulationEvent::Relay(
                            node,
                            incarnation,
                            other,
                            id,
                            Box::new(relayed_request),
                        ),
                    );
                }
            }
            Effect::SendCellReport { .. } | Effect::RespondCellReport(..) => {
                panic!("a single cell shares no quotas")
            }
            Effect::SetLeadership(leads) => {
                if leads {
                    self.leader = Some(node);
                    self.replay_retained_reports();
                } else if self.workers_unreachable_until[node] > self.now
                    && self.state_service_unreachable_until[node] <= self.now
                {
                    self.resignations += 1;
                }
            }
        }
    }

    pub(crate) fn handle_cloud_request(&mut self, request: &CloudRequest) -> CloudReply {
        let kind = MachineType {
            name: "c16".into(),
            cpus: 16.0,
            gpus: 0.0,
            ram_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: Some(0.3),
            boot_s: 10.0,
            zones: vec!["a".into(), "b".into()],
        };
        match request {
            CloudRequest::Types => CloudReply::Types(MachineTypes { types: vec![kind] }),
            CloudRequest::ProvisionMachines(request) => {
                if let Some(names) = self.provisioned_instances.get(&request.name) {
                    return CloudReply::Provisioned(names.clone());
                }
                let up = self.workers.iter().filter(|w| !w.deleted).count();
                let count = (10usize.saturating_sub(up)).min(request.count as usize);
                if count == 0 {
                    return CloudReply::NoCapacity;
                }
                let names: Vec<String> = (0..count)
                    .map(|_| self.add_worker(&request.zone, request.spot))
                    .collect();
                self.provisioned_instances
                    .insert(request.name.clone(), names.clone());
                CloudReply::Provisioned(names)
            }
            CloudRequest::Delete(names) => {
                for worker in &mut self.workers {
                    if names.contains(&worker.name) && !worker.deleted {
                        worker.deleted = true;
                        worker.deleted_at = self.now;
                        worker.tasks.clear();
                    }
                }
                CloudReply::Deleted
            }
            CloudRequest::List { .. } => {
                // The list is up to twice as old as the usual lag; machines that exist from the
                // start are older than that.
                let lag = [6000, 6000, 9000, 12_000][self.rng.random_range(0..4)];
                let then = self.now.saturating_sub(lag);
                let there =
                    |w: &&Worker| w.booted_at <= then && (!w.deleted || w.deleted_at > then);
                let listed = |w: &Worker| ListedMachine {
                    id: w.name.clone(),
                    addr: Some("10.0.0.1:1".into()),
                    type_name: "c16".into(),
                    zone: w.zone.clone(),
                    spot: w.spot,
                    status: MachineStatus::Running,
                    age_s: (then - w.booted_at) as f64 / 1000.0,
                };
                CloudReply::List(MachineList {
                    machines: self.workers.iter().filter(there).map(listed).collect(),
                    more: false,
                })
            }
        }
    }
}
