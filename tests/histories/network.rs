//! The network: partitions, and messages that are delayed, lost or duplicated.

use super::*;

impl SimulatedCluster {
    /// Returns the time until which a node and a worker cannot reach each other.
    pub(crate) fn link_down_until(&self, node: usize, worker_index: usize) -> u64 {
        let (isolated_node, ref zone, until) = self.zone_partition;
        let worker = &self.workers[worker_index];
        let partition_until = if (node == isolated_node) != (worker.zone == *zone) {
            until
        } else {
            0
        };
        self.workers_unreachable_until[node]
            .max(worker.unreachable_until)
            .max(partition_until)
    }

    /// Partitions a zone with one node in it, which reaches only the workers of that zone.
    pub(crate) fn partition_zone(&mut self, node: usize, zone: &str, until: u64) {
        self.state_service_unreachable_until[node] = until;
        self.mesh_unreachable_until[node] = until;
        self.zone_partition = (node, zone.into(), until);
    }

    /// Returns the arrival time of a message sent now, or `None` if it is lost. A partition loses a
    /// message or holds it back until it heals; without one, a few messages are delayed or lost.
    pub(crate) fn message_arrival(&mut self, unreachable_until: u64) -> Option<u64> {
        let arrival = self.now.max(self.effects_held_until) + self.rng.random_range(1..8);
        if unreachable_until > self.now {
            return self.rng.random_bool(0.5).then_some(unreachable_until + 20);
        }
        if self.faults_enabled && self.rng.random_bool(0.004) {
            return self
                .rng
                .random_bool(0.7)
                .then(|| self.now + self.rng.random_range(300..20_000));
        }
        Some(arrival)
    }

    /// Returns the arrival time of a late duplicate of a message. Few messages are duplicated.
    pub(crate) fn duplicate_arrival(&mut self) -> Option<u64> {
        let duplicate = self.faults_enabled && self.rng.random_bool(0.004);
        self.duplicated_messages += usize::from(duplicate);
        duplicate.then(|| self.now + self.rng.random_range(200..60_000))
    }

    /// Returns whether messages to a machine are lost now, and counts the lost ones.
    pub(crate) fn drops_inbound(&mut self, worker_index: usize) -> bool {
        let lost = self.workers[worker_index].drops_inbound_until > self.now;
        self.dropped_messages += usize::from(lost);
        lost
    }

    /// Delivers the retained heartbeats to every node when a new leader starts: while it recovers
    /// the cluster state, and again after it has sent orders.
    pub(crate) fn replay_retained_reports(&mut self) {
        for (worker_index, report) in std::mem::take(&mut self.retained_reports) {
            for node in 0..NODE_COUNT {
                for delay in [1, 40, 400, 2500, 9000] {
                    let time = self.now + delay + self.rng.random_range(0..40);
                    let duplicate = report.clone();
                    self.replayed_reports += 1;
                    self.schedule(
                        time,
                        SimulationEvent::DeliverReport(worker_index, node, duplicate, 0),
                    );
                }
            }
        }
    }

    pub(crate) fn deliver_reply(
        &mut self,
        node: usize,
        incarnation: u64,
        ticket: u64,
        command: Command,
    ) {
        if self.lost_reply_tickets.contains(&ticket) {
            if let Command::StateResponse { tag, result, .. } = command
                && matches!(result, Ok(StateReply::Committed(_)))
            {
                *self
                    .lost_replies_by_kind
                    .entry(request_kind(&tag))
                    .or_default() += 1;
            }
            return;
        }
        if let Some(time) = self.message_arrival(self.state_service_unreachable_until[node]) {
            let time = time + self.state_reply_delay_ms;
            let tag = incarnation | ticket << 20;
            self.schedule(
                time,
                SimulationEvent::DeliverCommand(node, tag, Box::new(command)),
            );
        }
    }
}
