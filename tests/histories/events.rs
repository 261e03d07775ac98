//! Handling of events: messages that arrive at nodes, workers, users and the state service.

use super::*;

impl SimulatedCluster {
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(crate) fn handle_event(&mut self, event: SimulationEvent) {
        // A node that resumes gets all messages and timeouts of the meantime at once, in any order.
        if let Some(node) = Self::node_of_event(&event)
            && self.frozen_until[node] > self.now
        {
            let time = self.frozen_until[node] + self.rng.random_range(0..30);
            return self.schedule(time, event);
        }
        match event {
            SimulationEvent::Boot(node) => {
                if self.nodes[node].is_none() {
                    self.boot(node);
                }
            }
            SimulationEvent::StopProcess(node, pause) => {
                if self.faults_enabled && self.nodes[node].is_some() {
                    self.stop_process(node, pause);
                }
            }
            SimulationEvent::Tick(node, incarnation) => {
                if self.nodes[node].is_some() && self.incarnations[node] == incarnation {
                    self.step(node, incarnation, Command::Tick);
                    self.schedule(self.now + 50, SimulationEvent::Tick(node, incarnation));
                }
            }
            SimulationEvent::DeliverCommand(node, tag, command) => {
                let (incarnation, ticket) = (tag & 0xfffff, tag >> 20);
                // A response to a duplicate is not the response that the sender waits for.
                if incarnation != DUPLICATE_TICKET
                    && (ticket == 0 || self.answered_tickets.insert(ticket))
                {
                    self.step(node, incarnation, *command);
                }
            }
            SimulationEvent::StateRequestArrives(
                node,
                incarnation,
                sent_and_ticket,
                tagged_request,
            ) => {
                let (sent_at, ticket) = (sent_and_ticket >> 32, sent_and_ticket & 0xffff_ffff);
                let (tag, request) = *tagged_request;
                // A late request that was sent within the old limits and exceeds the new ones is
                // dropped.
                let is_late = sent_at + self.booted_at[node] + 2000 < self.now;
                if (self.incarnations[node] != incarnation || is_late)
                    && let StateRequest::Txn(txn) = &request
                    && !self.store.limits.accepts(txn)
                {
                    return;
                }
                if self.is_refused_by_state_service(node) {
                    if matches!(request, StateRequest::Changes { max_wait_ms, .. } if max_wait_ms > 0)
                    {
                        let until = self
                            .store
                            .unavailable_until
                            .max(self.state_service_refuses_until[node]);
                        self.watches.push((
                            node,
                            incarnation,
                            tag,
                            request,
                            sent_and_ticket,
                            until,
                        ));
                        return;
                    }
                    let result = Err(StateError::Refused(503));
                    return self.deliver_reply(
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
                    return self.deliver_reply(node, incarnation, ticket, command);
                }
                // Now and then the store is overloaded, or its change log does not reach back far
                // enough.
                let refused = self.faults_enabled && self.rng.random_bool(0.01);
                let is_changes_request = matches!(request, StateRequest::Changes { .. });
                if refused {
                    let result = if is_changes_request {
                        Ok(StateReply::RevisionCompacted)
                    } else {
                        Err(StateError::Refused(429))
                    };
                    let command = Command::StateResponse {
                        tag,
                        sent_at,
                        result,
                    };
                    return self.deliver_reply(node, incarnation, ticket, command);
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
                        let until = self.now + 10_000;
                        self.watches.push((
                            node,
                            incarnation,
                            tag,
                            request,
                            sent_and_ticket,
                            until,
                        ));
                    }
                }
            }
            SimulationEvent::DeliverOrders(_, _, _, worker_index, _)
            | SimulationEvent::DeliverResponse(worker_index, ..)
                if self.workers[worker_index].hung_until > self.now =>
            {
                // The worker processes what arrives meanwhile when it resumes.
                self.messages_held_by_hung_workers += 1;
                let time = self.workers[worker_index].hung_until + self.rng.random_range(0..20);
                self.schedule(time, event);
            }
            SimulationEvent::DeliverOrders(
                node,
                incarnation,
                ticket,
                worker_index,
                tagged_orders,
            ) => {
                let (tag, orders) = *tagged_orders;
                self.advance_worker(worker_index);
                if self.workers[worker_index].deleted {
                    return;
                }
                if self.drops_inbound(worker_index) {
                    self.workers[worker_index].lost_starts.extend(&tag.starts);
                    return;
                }
                let mut executed = true;
                if let Some(orders) = orders {
                    let worker = &mut self.workers[worker_index];
                    executed =
                        orders.token >= worker.token && orders.incarnation == worker.incarnation;
                    if executed {
                        worker.token = orders.token;
                        self.execute_orders(worker_index, &orders.orders);
                    }
                }
                let report = self.build_report(worker_index);
                let result = Some(if executed {
                    WorkerReply::Executed(report)
                } else {
                    WorkerReply::Rejected(report)
                });
                let link_down_until = self.link_down_until(node, worker_index);
                if let Some(time) = self.message_arrival(link_down_until) {
                    let command = Box::new(Command::WorkerResponse { tag, result });
                    self.schedule(
                        time,
                        SimulationEvent::DeliverCommand(node, incarnation | ticket << 20, command),
                    );
                }
            }
            SimulationEvent::DeliverReport(worker_index, node, report, number) => {
                self.next_request_id += 1;
                let incarnation = self.incarnations[node];
                if self.nodes[node].is_none() {
                    return;
                }
                if self.leader == Some(node) {
                    self.record_reported_tasks(worker_index, &report);
                }
                let pending = PendingRequest::Report(worker_index, report.incarnation, number);
                self.pending_requests
                    .insert((node, incarnation, self.next_request_id), pending);
                let command =
                    Command::ApiRequest(self.next_request_id, ApiRequest::Heartbeat(report));
                self.step(node, incarnation, command);
            }
            SimulationEvent::DeliverResponse(worker_index, tag, node, response) => {
                let (incarnation, number) = (tag >> 40, tag & 0xff_ffff_ffff);
                self.advance_worker(worker_index);
                let worker = &mut self.workers[worker_index];
                let Some((in_flight, until)) = worker.report_in_flight else {
                    return;
                };
                if until < self.now
                    || in_flight != number
                    || worker.incarnation != incarnation
                    || worker.deleted
                {
                    return;
                }
                worker.report_in_flight = None;
                match response.status {
                    200 => {
                        let orders: Orders =
                            protocol::decode(&response.body).expect("valid orders");
                        let worker = &mut self.workers[worker_index];
                        if orders.token >= worker.token {
                            worker.token = orders.token;
                            // A heartbeat's number is the time at which it was sent.
                            worker.lease_renewed_at = worker.lease_renewed_at.max(number);
                            self.execute_orders(worker_index, &orders.orders);
                        }
                    }
                    421 => {
                        let redirect: Redirect =
                            protocol::decode(&response.body).expect("a valid redirect");
                        let leader = redirect.leader.and_then(|label| label[1..].parse().ok());
                        let worker = &mut self.workers[worker_index];
                        worker.node = leader.unwrap_or((node as usize + 1) % NODE_COUNT);
                        worker.report_at = self.now + 100;
                    }
                    _ => {
                        worker.node = (node as usize + 1) % NODE_COUNT;
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
            SimulationEvent::Relay(requester, incarnation, other, id, request) => {
                self.next_request_id += 1;
                let other_incarnation = self.incarnations[other];
                let origin = PendingRequest::Relayed(requester, incarnation, id);
                self.pending_requests
                    .insert((other, other_incarnation, self.next_request_id), origin);
                let command =
                    Command::ApiRequest(self.next_request_id, ApiRequest::Relayed(request));
                self.step(other, other_incarnation, command);
            }
            SimulationEvent::Revoke(requester, other, tag, effect) => {
                let (incarnation, sent_at) = (tag >> 32, tag & 0xffff_ffff);
                let Effect::RequestRevocation {
                    lease,
                    label,
                    revocation,
                } = *effect
                else {
                    return;
                };
                self.next_request_id += 1;
                let other_incarnation = self.incarnations[other];
                let origin = (requester, incarnation, sent_at, lease, label);
                self.pending_revocations
                    .insert((other, other_incarnation, self.next_request_id), origin);
                let command = Command::RevokeLeases(self.next_request_id, revocation);
                self.step(other, other_incarnation, command);
            }
        }
    }
}
