//! Handling of events: messages that arrive at nodes, workers, users and the state service.

use super::*;

impl SimulatedCluster {
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(crate) fn handle_event(&mut self, what: SimulationEvent) {
        // A node that resumes gets all messages and timeouts of the meantime at once, in any order.
        if let Some(index) = Self::node_of_event(&what)
            && self.frozen_until[index] > self.now
        {
            let time = self.frozen_until[index] + self.rng.random_range(0..30);
            return self.schedule(time, what);
        }
        match what {
            SimulationEvent::Boot(index) => {
                if self.nodes[index].is_none() {
                    self.boot(index);
                }
            }
            SimulationEvent::StopProcess(index, pause) => {
                if self.faults_enabled && self.nodes[index].is_some() {
                    self.stop_process(index, pause);
                }
            }
            SimulationEvent::Tick(index, life) => {
                if self.nodes[index].is_some() && self.incarnations[index] == life {
                    self.step(index, life, Command::Tick);
                    self.schedule(self.now + 50, SimulationEvent::Tick(index, life));
                }
            }
            SimulationEvent::DeliverCommand(index, tag, command) => {
                let (life, ticket) = (tag & 0xfffff, tag >> 20);
                // A response to a duplicate is not the response that the sender waits for.
                if life != DUPLICATE_TICKET && (ticket == 0 || self.answered.insert(ticket)) {
                    self.step(index, life, *command);
                }
            }
            SimulationEvent::StateRequestArrives(index, life, sent_and_ticket, packet) => {
                let (sent_at, ticket) = (sent_and_ticket >> 32, sent_and_ticket & 0xffff_ffff);
                let (tag, request) = *packet;
                // A late request that was sent within the old limits and exceeds the new ones is
                // dropped.
                let late = sent_at + self.booted_at[index] + 2000 < self.now;
                if (self.incarnations[index] != life || late)
                    && let StateRequest::Txn(txn) = &request
                    && !self.store.limits.accepts(txn)
                {
                    return;
                }
                if self.is_refused_by_state_service(index) {
                    if matches!(request, StateRequest::Changes { hold_ms, .. } if hold_ms > 0) {
                        let until = self
                            .store
                            .down_until
                            .max(self.state_service_refuses_until[index]);
                        self.watches
                            .push((index, life, tag, request, sent_and_ticket, until));
                        return;
                    }
                    let result = Err(StateError::Refused(503));
                    return self.deliver_reply(
                        index,
                        life,
                        ticket,
                        Command::StateResponse {
                            tag,
                            sent_at,
                            result,
                        },
                    );
                }
                if self.limits_unannounced
                    && let StateRequest::Txn(txn) = &request
                    && !self.store.limits.accepts(txn)
                {
                    self.oversized_writes += 1;
                    let result = Err(StateError::Refused(400));
                    let command = Command::StateResponse {
                        tag,
                        sent_at,
                        result,
                    };
                    return self.deliver_reply(index, life, ticket, command);
                }
                // Now and then the store is overloaded, or its change log does not reach back far
                // enough.
                let refused = self.faults_enabled && self.rng.random_bool(0.01);
                let too_old = matches!(request, StateRequest::Changes { .. });
                if refused {
                    let result = if too_old {
                        Ok(StateReply::TooOld)
                    } else {
                        Err(StateError::Refused(429))
                    };
                    let command = Command::StateResponse {
                        tag,
                        sent_at,
                        result,
                    };
                    return self.deliver_reply(index, life, ticket, command);
                }
                self.store.expire_leases(self.now);
                let before = self.leadership();
                let reply = self.store.execute(&request, self.now);
                let after = self.leadership();
                if after.0.is_some() && after.0 != before.0 {
                    assert_eq!(
                        before.0, None,
                        "a takeover while another leader holds the lease"
                    );
                    assert!(after.1 > before.1, "a takeover without a higher term");
                }
                match reply {
                    Some(reply) => {
                        let result = Ok(reply);
                        self.deliver_reply(
                            index,
                            life,
                            ticket,
                            Command::StateResponse {
                                tag,
                                sent_at,
                                result,
                            },
                        );
                    }
                    None => {
                        let until = self.now + 10_000;
                        self.watches
                            .push((index, life, tag, request, sent_and_ticket, until));
                    }
                }
            }
            SimulationEvent::DeliverOrders(_, _, _, at, _)
            | SimulationEvent::DeliverResponse(at, ..)
                if self.workers[at].hung_until > self.now =>
            {
                // The worker processes what arrives meanwhile when it resumes.
                self.messages_held_by_hung_workers += 1;
                let time = self.workers[at].hung_until + self.rng.random_range(0..20);
                self.schedule(time, what);
            }
            SimulationEvent::DeliverOrders(index, life, ticket, at, packet) => {
                let (tag, orders) = *packet;
                self.advance_worker(at);
                if self.workers[at].gone {
                    return;
                }
                if self.drops_inbound(at) {
                    self.workers[at].lost_starts.extend(&tag.starts);
                    return;
                }
                let mut executed = true;
                if let Some(orders) = orders {
                    let worker = &mut self.workers[at];
                    executed =
                        orders.token >= worker.token && orders.incarnation == worker.incarnation;
                    if executed {
                        worker.token = orders.token;
                        self.execute_orders(at, &orders.orders);
                    }
                }
                let report = self.build_report(at);
                let result = Some(if executed {
                    WorkerReply::Executed(report)
                } else {
                    WorkerReply::Rejected(report)
                });
                let cut = self.link_cut_until(index, at);
                if let Some(time) = self.message_arrival(cut) {
                    let command = Box::new(Command::WorkerResponse { tag, result });
                    self.schedule(
                        time,
                        SimulationEvent::DeliverCommand(index, life | ticket << 20, command),
                    );
                }
            }
            SimulationEvent::DeliverReport(at, index, report, number) => {
                self.next_request_id += 1;
                let life = self.incarnations[index];
                if self.nodes[index].is_none() {
                    return;
                }
                let asked = PendingRequest::Report(at, report.incarnation, number);
                self.pending_requests
                    .insert((index, life, self.next_request_id), asked);
                let command =
                    Command::ApiRequest(self.next_request_id, ApiRequest::Heartbeat(report));
                self.step(index, life, command);
            }
            SimulationEvent::DeliverResponse(at, tag, index, answer) => {
                let (session, number) = (tag >> 40, tag & 0xff_ffff_ffff);
                self.advance_worker(at);
                let worker = &mut self.workers[at];
                let Some((flying, until)) = worker.report_in_flight else {
                    return;
                };
                if until < self.now
                    || flying != number
                    || worker.incarnation != session
                    || worker.gone
                {
                    return;
                }
                worker.report_in_flight = None;
                match answer.status {
                    200 => {
                        let orders: Orders = protocol::decode(&answer.body).expect("valid orders");
                        let worker = &mut self.workers[at];
                        if orders.token >= worker.token {
                            worker.token = orders.token;
                            // A heartbeat's number is the time at which it was sent.
                            worker.lease_renewed_at = worker.lease_renewed_at.max(number);
                            self.execute_orders(at, &orders.orders);
                        }
                    }
                    421 => {
                        let redirect: Redirect =
                            protocol::decode(&answer.body).expect("a valid redirect");
                        let to = redirect.leader.and_then(|label| label[1..].parse().ok());
                        let worker = &mut self.workers[at];
                        worker.node = to.unwrap_or((index as usize + 1) % NODE_COUNT);
                        worker.report_at = self.now + 100;
                    }
                    _ => {
                        worker.node = (index as usize + 1) % NODE_COUNT;
                        worker.report_at = self.now + 1000;
                    }
                }
            }
            SimulationEvent::CheckConsistency(id) => {
                let spec = Box::new(self.jobs[&id].0.clone());
                for node in 0..NODE_COUNT {
                    self.send_request_to(node, id, ApiRequest::Poll(id));
                    self.send_request_to(node, id, ApiRequest::Submit(spec.clone()));
                }
                if self.consistency_checks_until > self.now && self.rng.random_bool(0.004) {
                    self.send_request(id, ApiRequest::Cancel(id));
                }
            }
            SimulationEvent::CancelJob(id) => self.send_request(id, ApiRequest::Cancel(id)),
            SimulationEvent::Relay(asker, life, other, id, ask) => {
                self.next_request_id += 1;
                let other_life = self.incarnations[other];
                let whom = PendingRequest::Relayed(asker, life, id);
                self.pending_requests
                    .insert((other, other_life, self.next_request_id), whom);
                let command = Command::ApiRequest(self.next_request_id, ApiRequest::Relayed(ask));
                self.step(other, other_life, command);
            }
            SimulationEvent::Revoke(asker, other, tag, effect) => {
                let (life, sent_at) = (tag >> 32, tag & 0xffff_ffff);
                let Effect::RequestRevocation {
                    lease,
                    label,
                    revocation,
                } = *effect
                else {
                    return;
                };
                self.next_request_id += 1;
                let other_life = self.incarnations[other];
                let whom = (asker, life, sent_at, lease, label);
                self.pending_revocations
                    .insert((other, other_life, self.next_request_id), whom);
                let command = Command::RevokeLeases(self.next_request_id, revocation);
                self.step(other, other_life, command);
            }
        }
    }
}
