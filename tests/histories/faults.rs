//! Injection of faults, single ones and random ones.

use super::*;

impl SimulatedCluster {
    pub(crate) fn inject_random_fault(&mut self) {
        let node = self.rng.random_range(0..NODE_COUNT);
        let until = self.now + self.rng.random_range(2000..30_000);
        match self.rng.random_range(0..13 + FAULT_KINDS + 4) {
            kind @ 13.. if kind < 13 + FAULT_KINDS => self.inject_fault(kind - 13, node, until),
            13.. => {
                // Two faults at the same time.
                let first = self.rng.random_range(0..FAULT_KINDS);
                let second = (first + self.rng.random_range(1..FAULT_KINDS)) % FAULT_KINDS;
                self.inject_fault(first, node, until);
                self.inject_fault(second, node, until);
            }
            11 => self.schedule_process_stops(&[node]),
            12 => self.schedule_process_stops(&[0, 1, 2]),
            10 => {
                let zone = ["a", "b"][self.rng.random_range(0..2)];
                // May last longer than the node may renew the leases of its workers.
                let max_duration = 2 * self.timings.cancellation_bound_ms;
                let until = self.now + self.rng.random_range(5000..max_duration);
                self.partition_zone(node, zone, until);
            }
            8 => self.freeze(node),
            9 => {
                let leader = self.leader.unwrap_or(node);
                self.freeze(leader);
            }
            0 => {
                let pause = self.random_restart_delay();
                self.stop_process(node, pause);
            }
            1 => {
                for other in 0..NODE_COUNT {
                    let pause = self.random_restart_delay();
                    self.stop_process(other, pause);
                }
            }
            2 => {
                self.start_state_service_outage(until);
            }
            3 => self.state_service_unreachable_until[node] = until,
            4 => self.workers_unreachable_until[node] = until,
            5 => {
                self.state_service_unreachable_until[node] = until;
                self.workers_unreachable_until[node] = until;
                self.mesh_unreachable_until[node] = until;
            }
            6 => self.mesh_unreachable_until[node] = until,
            _ => {
                let worker_index = self.rng.random_range(0..self.workers.len());
                self.workers[worker_index].unreachable_until = until;
            }
        }
    }

    /// Injects one of the [`FAULT_KINDS`] faults that users reported in combination with other
    /// faults.
    pub(crate) fn inject_fault(&mut self, kind: usize, node: usize, until: u64) {
        self.fault_until = self.fault_until.max(until);
        let leader = self.leader.unwrap_or(node);
        match kind {
            0 => self.delayed_writes_until = until,
            1 => self.duplicated_reports_until = until,
            2 => {
                let until = until.max(self.now + self.timings.lease_ttl_ms + 5000);
                self.fault_until = self.fault_until.max(until);
                let zone = ["a", "b"][self.rng.random_range(0..2)];
                for worker in self.workers.iter_mut().filter(|w| w.zone == zone) {
                    worker.drops_inbound_until = until;
                }
            }
            3 => self.slow_state_service_until = until,
            4 => self.lost_replies_until = until,
            5 => {
                // Old heartbeats for a new leader, which starts soon.
                self.retain_reports_until = until;
                let pause = self.random_restart_delay();
                self.schedule(until + 100, SimulationEvent::StopProcess(leader, pause));
            }
            6 | 7 => {
                let zone = ["a", "b"][self.rng.random_range(0..2)];
                let fraction = [0.3, 1.0][self.rng.random_range(0..2)];
                for worker_index in 0..self.workers.len() {
                    if self.workers[worker_index].zone != zone || !self.rng.random_bool(fraction) {
                        continue;
                    }
                    match kind {
                        6 => self.workers[worker_index].drops_outbound_until = until,
                        _ => self.workers[worker_index].hung_until = until,
                    }
                }
            }
            8 => {
                self.consistency_checks_until = until;
                self.cancel_at_completion_until = until;
            }
            // The leader loses the state service and the other members, but not its workers or
            // users, or the state service refuses the leader only.
            _ if self.rng.random_bool(0.5) => {
                self.state_service_unreachable_until[leader] = until;
                self.mesh_unreachable_until[leader] = until;
            }
            _ => {
                self.state_service_refuses_until[leader] =
                    until.max(self.state_service_refuses_until[leader])
            }
        }
    }

    /// Makes the state service refuse the leader only, and soon all nodes, for longer than the
    /// cancellation bound.
    pub(crate) fn refuse_all_state_requests(&mut self) {
        let cancel = self.timings.cancellation_bound_ms;
        let leader = self.leader.unwrap_or(0);
        let from = self.now + self.rng.random_range(0..cancel / 2);
        let until = from + cancel + self.rng.random_range(1000..10_000);
        self.state_service_refuses_until[leader] = until;
        self.state_service_outage = Some((from, until));
        self.fault_until = self.fault_until.max(until);
    }

    /// Returns whether the state service responds to this node with 503.
    pub(crate) fn is_refused_by_state_service(&self, node: usize) -> bool {
        self.store
            .unavailable_until
            .max(self.state_service_refuses_until[node])
            > self.now
    }

    /// Takes the state service down for all nodes; afterwards all leases get their full time again.
    pub(crate) fn start_state_service_outage(&mut self, until: u64) {
        self.store.expire_leases(self.now);
        let until = until.max(self.store.unavailable_until);
        self.store.unavailable_until = until;
        for (end, ttl_ms) in self.store.leases.values_mut() {
            *end = until + *ttl_ms;
        }
    }
}
