//! Effects of nodes, turned into events or into requests to the models of the services.

use super::*;

impl SimulatedCluster {
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(crate) fn execute_effect(&mut self, index: usize, life: u64, effect: Effect) {
        let sent = self.now - self.booted_at[index];
        format!("{effect:?}").hash(&mut self.trace);
        let message = Sent::of(&effect);
        self.sent.add(self.now, index, life, &message);
        if let Some(kept) = &mut self.kept {
            kept.push(message);
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
                    let apart = last.is_none_or(|at| at + 5000 <= self.now);
                    assert!(
                        apart,
                        "admission quotas were written twice within 5 s, before the first table has taken effect"
                    );
                }
                if let StateRequest::Txn(txn) = &request {
                    self.writes += txn.writes.len();
                    let of_a_leader = |write: &Write| {
                        let (Write::Put { key, .. } | Write::Delete { key }) = write;
                        let led = ["shared/types", "shared/admission"];
                        key.starts_with("books/") || led.contains(&&key[..])
                    };
                    let held = |condition: &Condition| {
                        condition.key == "shared/leader" && condition.version > 0
                    };
                    assert!(
                        !txn.writes.iter().any(of_a_leader) || txn.conditions.iter().any(held),
                        "a leader's write without a condition on the leader's key: {txn:?}"
                    );
                    // A write that is applied late, also within the same term, must not overwrite a
                    // newer one. The further keys of a record are written together with its first
                    // key.
                    let replaces = |write: &Write| {
                        let (Write::Put { key, .. } | Write::Delete { key }) = write;
                        key.starts_with("shared/part/")
                            || txn.conditions.iter().any(|known| known.key == *key)
                    };
                    assert!(
                        txn.writes.iter().all(replaces),
                        "a write that could overwrite a newer one: {txn:?}"
                    );
                }
                self.next_event += 1;
                let ticket = self.next_event;
                let give_up = Command::StateResponse {
                    tag: tag.clone(),
                    sent_at: sent,
                    result: Err(StateError::NoAnswer),
                };
                self.schedule(
                    self.now + timeout_ms,
                    SimulationEvent::DeliverCommand(index, life | ticket << 20, Box::new(give_up)),
                );
                if let Some(mut time) = self.message_arrival(self.state_service_cut_until[index]) {
                    let first = life == 1 && matches!(tag, coordination::Tag::PutRenewerKey { .. });
                    if first && index == self.delayed_renewer_key.0 {
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
                    let often = self.lost_replies_until > self.now && self.rng.random_bool(0.3);
                    if written
                        && (often
                            || self
                                .lost_reply_kind
                                .is_some_and(|kind| kind == request_kind(&tag)))
                    {
                        self.lost_reply_tickets.insert(ticket);
                    }
                    let sent_and_ticket = sent << 32 | ticket;
                    let packet = Box::new((tag, request));
                    if let Some(time) = self.duplicate_arrival() {
                        let copy = SimulationEvent::StateRequestArrives(
                            index,
                            DUPLICATE_TICKET,
                            sent_and_ticket,
                            packet.clone(),
                        );
                        self.schedule(time, copy);
                    }
                    self.schedule(
                        time,
                        SimulationEvent::StateRequestArrives(index, life, sent_and_ticket, packet),
                    );
                }
            }
            Effect::CallCloud { tag, request, .. } => {
                let result = Ok(self.handle_cloud_request(&request));
                let delay = self.rng.random_range(20..200);
                self.schedule_command(
                    index,
                    life,
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
                let Some(at) = self.workers.iter().position(|w| w.name == tag.machine) else {
                    return self.schedule_command(
                        index,
                        life,
                        self.now + timeout_ms,
                        Command::WorkerResponse { tag, result: None },
                    );
                };
                self.next_event += 1;
                let ticket = self.next_event;
                let give_up = Command::WorkerResponse {
                    tag: tag.clone(),
                    result: None,
                };
                self.schedule(
                    self.now + timeout_ms,
                    SimulationEvent::DeliverCommand(index, life | ticket << 20, Box::new(give_up)),
                );
                let cut = self.link_cut_until(index, at);
                let late = self.faults_enabled && self.rng.random_bool(self.late_order_chance);
                let slower = if !tag.starts.is_empty() && self.start_delay_ms > 0 {
                    self.start_delay_ms
                } else if late {
                    self.rng.random_range(100..2900)
                } else {
                    0
                };
                if let Some(time) = self.message_arrival(cut).map(|time| time + slower) {
                    let packet = Box::new((tag, orders));
                    let again = self.duplicate_start_delay_ms > 0 && !packet.0.starts.is_empty();
                    let again = again.then_some(time + self.duplicate_start_delay_ms);
                    if let Some(time) = again.or_else(|| self.duplicate_arrival()) {
                        let copy = SimulationEvent::DeliverOrders(
                            index,
                            DUPLICATE_TICKET,
                            ticket,
                            at,
                            packet.clone(),
                        );
                        self.schedule(time, copy);
                    }
                    self.schedule(
                        time,
                        SimulationEvent::DeliverOrders(index, life, ticket, at, packet),
                    );
                }
            }
            Effect::Respond(id, answer) => self.on_response(index, life, id, answer),
            Effect::AnnounceProgress(progress) => {
                for other in (0..NODE_COUNT).filter(|other| *other != index) {
                    let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[other]);
                    if let Some(time) = self.message_arrival(cut) {
                        let life = self.incarnations[other];
                        self.schedule_command(
                            other,
                            life,
                            time,
                            Command::LeaderAnnounced(progress.clone()),
                        );
                        if let Some(time) = self.duplicate_arrival() {
                            self.schedule_command(
                                other,
                                life,
                                time,
                                Command::LeaderAnnounced(progress.clone()),
                            );
                        }
                        // The member's status is returned over the same link.
                        if let (Some(news), Some(back)) = (
                            self.member_statuses[other].clone(),
                            self.message_arrival(cut),
                        ) {
                            let asker = self.incarnations[index];
                            let back = back.max(time);
                            self.schedule_command(
                                index,
                                asker,
                                back,
                                Command::MemberStatus(Box::new(news)),
                            );
                        }
                    }
                }
            }
            Effect::PublishMemberStatus(news) => self.member_statuses[index] = Some(*news),
            Effect::RequestRevocation { ref label, .. } => {
                let other: usize = label[1..].parse().expect("a node label with a number");
                let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[other]);
                if let Some(time) = self.message_arrival(cut) {
                    if let Some(time) = self.duplicate_arrival() {
                        let copied = Box::new(effect.clone());
                        self.schedule(
                            time,
                            SimulationEvent::Revoke(
                                index,
                                other,
                                DUPLICATE_TICKET << 32 | sent,
                                copied,
                            ),
                        );
                    }
                    self.schedule(
                        time,
                        SimulationEvent::Revoke(index, other, life << 32 | sent, Box::new(effect)),
                    );
                }
            }
            Effect::RespondRevocation(id, word) => {
                if let Some((asker, asker_life, sent_at, lease, label)) =
                    self.pending_revocations.remove(&(index, life, id))
                {
                    let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[asker]);
                    if let Some(time) = self.message_arrival(cut) {
                        let command = Command::LeasesRevoked {
                            lease,
                            label,
                            sent_at,
                            reply: Some(word),
                        };
                        self.schedule_command(asker, asker_life, time, command);
                    }
                }
            }
            Effect::RelayRequest {
                id,
                label,
                request: ask,
            } => {
                let other: usize = label[1..].parse().expect("a node label with a number");
                self.schedule_command(
                    index,
                    life,
                    self.now + 2000,
                    Command::RelayAnswered(id, None),
                );
                let cut = self.mesh_cut_until[index].max(self.mesh_cut_until[other]);
                if let Some(time) = self.message_arrival(cut) {
                    if let Some(time) = self.duplicate_arrival() {
                        let copied = Box::new(ask.clone());
                        self.schedule(
                            time,
                            SimulationEvent::Relay(index, DUPLICATE_TICKET, other, id, copied),
                        );
                    }
                    self.schedule(
                        time,
                        SimulationEvent::Relay(index, life, other, id, Box::new(ask)),
                    );
                }
            }
            Effect::SendCellReport { .. } | Effect::RespondCellReport(..) => {
                panic!("a single cell shares no quotas")
            }
            Effect::SetLeadership(leads) => {
                if leads {
                    self.leader = Some(index);
                    self.replay_retained_reports();
                } else if self.worker_cut_until[index] > self.now
                    && self.state_service_cut_until[index] <= self.now
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
            CloudRequest::Rent(rent) => {
                if let Some(names) = self.provisioned_instances.get(&rent.name) {
                    return CloudReply::Rented(names.clone());
                }
                let up = self.workers.iter().filter(|w| !w.gone).count();
                let count = (10usize.saturating_sub(up)).min(rent.count as usize);
                if count == 0 {
                    return CloudReply::NoCapacity;
                }
                let names: Vec<String> = (0..count)
                    .map(|_| self.add_worker(&rent.zone, rent.spot))
                    .collect();
                self.provisioned_instances
                    .insert(rent.name.clone(), names.clone());
                CloudReply::Rented(names)
            }
            CloudRequest::Delete(names) => {
                for worker in &mut self.workers {
                    if names.contains(&worker.name) && !worker.gone {
                        worker.gone = true;
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
                let there = |w: &&Worker| w.booted_at <= then && (!w.gone || w.deleted_at > then);
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
