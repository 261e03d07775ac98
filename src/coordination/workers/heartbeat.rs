//! Heartbeats: a worker's report is applied to the cluster state and answered with the commands that the
//! worker has not executed yet.

use super::{
    drain_straggler,
    reconciliation::{
        UnknownAttempt, end_incarnation, is_straggler, reconcile_tasks, settle_ended_attempts,
    },
};
use crate::{
    cluster::{ClusterState, MachineIndex, MachineState, MachineTypeIndex, Phase},
    coordination::{ApiResponse, Node, RequestId},
    protocol::worker::{Order, Orders, Report, TaskState},
    time::{Millis, millis},
};

/// Keeps the response to a heartbeat within its size limit.
const MAX_ORDERS_PER_RESPONSE: usize = 400;
/// A longer reclaim notice in a worker's report is shortened to this, in seconds.
const MAX_RECLAIM_NOTICE_S: f64 = 3600.0;

/// How a report reached the leader.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportOrigin {
    /// As a heartbeat, which is answered with commands.
    Heartbeat,
    /// As the answer to commands or to a probe.
    CommandResponse,
}

impl Node {
    /// Handles a heartbeat: the leader answers it with commands, another node handles it as lease renewer.
    pub(in crate::coordination) fn handle_heartbeat(&mut self, id: RequestId, report: Report) {
        if self.leader_state.is_none() {
            return self.handle_heartbeat_as_renewer(id, &report);
        }
        if !self.can_renew() {
            return self.respond(id, ApiResponse::error(503, "not entitled"));
        }
        let orders = self.reconcile_report(&report, ReportOrigin::Heartbeat);
        let response = match orders {
            Some(orders) => {
                self.record_renewal(&report);
                ApiResponse::json(200, &orders)
            }
            None => ApiResponse::error(503, "not now"),
        };
        self.respond(id, response);
    }

    /// Applies a report to the cluster state. For a heartbeat, returns the commands to answer with, or
    /// `None` if it must not be answered with 200.
    pub(super) fn reconcile_report(
        &mut self,
        report: &Report,
        origin: ReportOrigin,
    ) -> Option<Orders> {
        let now = self.now;
        let lease_until = now + self.timeouts.worker_lease;
        let may_start = self.can_start_tasks();
        let is_heartbeat = origin == ReportOrigin::Heartbeat;
        let leader = self.leader_state.as_ref()?;
        if report.token > leader.term {
            // There is a newer leader.
            self.request_read_barrier();
            return None;
        }
        let (first_term, term) = (leader.first_term, leader.term);
        if leader.cluster.is_none() || self.read_barrier.confirmed_at.is_none() {
            // The cluster state is still being rebuilt: the lease is renewed, and the worker will report
            // again. A takeover assumes a full lease for every machine, which covers one renewed now.
            // While the state service is down, the rebuild may last until this node may renew no lease any
            // more. Without the stop commands, tasks that had been cancelled long before the takeover ran
            // until then and for one lease more.
            return is_heartbeat.then(|| Orders {
                token: term,
                orders: self.stop_orders_for_cancelled(report),
            });
        }
        let leader = self.leader_state.as_mut()?;
        let cluster = leader.cluster.as_mut()?;
        let fair_share = &mut leader.fair_share;
        let index = reporting_machine(cluster, report, now)?;
        let machine = cluster.machine(index);
        let newer = (report.incarnation, report.seq) > (machine.incarnation, machine.seq);
        if !newer {
            // An outdated report changes nothing. The worker drops the response to it, unless its newer
            // reports were all responses to direct commands.
            return is_heartbeat.then(|| Orders {
                token: term,
                orders: self.stop_orders_for_cancelled(report),
            });
        }
        let is_new_incarnation =
            machine.incarnation != 0 && report.incarnation > machine.incarnation;
        update_machine(cluster, index, report, first_term, now);
        let machine = &mut cluster.machines[index.as_usize()];
        if is_heartbeat {
            machine.heartbeats_received += 1;
        }
        // The worker counts its lease from when it sent the last report that was answered, which is no
        // later than now.
        machine.lease_until = lease_until;
        record_reclaim_notice(cluster, index, report, now);
        if is_new_incarnation {
            tracing::info!(
                machine = report.machine,
                incarnation = report.incarnation,
                "worker began a new incarnation"
            );
            end_incarnation(cluster, index, now, &report.tasks);
        }
        let unknown = reconcile_tasks(cluster, fair_share, index, report, now);
        settle_ended_attempts(cluster, fair_share, index, now);
        if is_straggler(cluster, index, now) {
            drain_straggler(cluster, index);
        }
        is_heartbeat.then(|| Orders {
            token: term,
            orders: heartbeat_orders(cluster, index, &unknown, first_term, may_start),
        })
    }
}

/// Finds the machine that sent a report, and adds it if the cluster state lacks it. `None`: its type is
/// unknown, the machine has been deleted, or the report is of an earlier incarnation.
fn reporting_machine(
    cluster: &mut ClusterState,
    report: &Report,
    now: Millis,
) -> Option<MachineIndex> {
    let machine_type = MachineTypeIndex(cluster.type_interner.get(&report.type_name)?);
    let zone = cluster.intern_zone(&report.zone);
    let is_known = cluster.machines_by_name.contains_key(&report.machine);
    let index = cluster.add_machine(&report.machine, machine_type, zone, report.spot, now);
    if !is_known {
        tracing::info!(machine = report.machine, "report from an unknown machine");
    }
    let machine = cluster.machine(index);
    let is_current =
        machine.state != MachineState::Deleted && report.incarnation >= machine.incarnation;
    is_current.then_some(index)
}

/// Updates the machine itself, not its tasks, from a new report.
fn update_machine(
    cluster: &mut ClusterState,
    index: MachineIndex,
    report: &Report,
    first_term: u64,
    now: Millis,
) {
    let machine = &mut cluster.machines[index.as_usize()];
    if machine.state == MachineState::Booting || machine.state == MachineState::Lost {
        tracing::info!(
            machine = machine.name,
            incarnation = report.incarnation,
            "machine is up"
        );
        machine.state = MachineState::Up;
        machine.idle_since = now;
        cluster.scheduling_needed = true;
    }
    // The worker has seen terms of earlier leaders and not this leader's: this may be a delayed report of a
    // machine that is gone. Without this mark, tasks were placed there and waited until a whole lease had
    // expired.
    if machine.last_heartbeat_at.is_none() && (1..first_term).contains(&report.token) {
        machine.unconfirmed_token = first_term;
    }
    machine.incarnation = report.incarnation;
    machine.seq = report.seq;
    machine.token = machine.token.max(report.token);
    machine.addr = Some(report.addr.clone());
    machine.last_heartbeat_at = Some(now);
    machine.unresponsive = false;
    cluster.machines_needing_commands.insert(index);
}

/// Records when the cloud will reclaim the machine, if the report contains a notice.
fn record_reclaim_notice(
    cluster: &mut ClusterState,
    index: MachineIndex,
    report: &Report,
    now: Millis,
) {
    let Some(reclaim_in_s) = report.reclaim_in_s else {
        return;
    };
    let machine = &mut cluster.machines[index.as_usize()];
    let reclaim_at = now + millis(reclaim_in_s.clamp(0.0, MAX_RECLAIM_NOTICE_S));
    if machine.reclaim_at.is_none() {
        tracing::info!(
            machine = machine.name,
            reclaim_in_s,
            "reclaim notice received"
        );
        cluster.scheduling_needed = true;
    }
    let previous = machine.reclaim_at.unwrap_or(reclaim_at);
    machine.reclaim_at = Some(previous.min(reclaim_at));
}

/// The commands to answer a heartbeat with: those that the worker has not executed yet by its report, at
/// most [`MAX_ORDERS_PER_RESPONSE`].
pub(super) fn heartbeat_orders(
    cluster: &mut ClusterState,
    index: MachineIndex,
    unknown: &[UnknownAttempt],
    first_term: u64,
    may_start: bool,
) -> Vec<Order> {
    let mut orders = unknown_attempt_orders(cluster, index, unknown, first_term);
    for position in 0..cluster.machine(index).attempts.len() {
        if orders.len() >= MAX_ORDERS_PER_RESPONSE {
            break;
        }
        let machine = cluster.machine(index);
        let entry = &machine.attempts[position];
        let task = cluster.job(entry.job).task_id(entry.task);
        let attempt = u64::from(entry.attempt);
        match (entry.phase, entry.stop_grace_s) {
            (Phase::Placed, None) => {
                let is_stored = cluster.is_durable(entry.job, entry.task);
                if may_start && is_stored && !entry.direct_start_in_flight && !entry.recovered {
                    orders.push(Order::Start { task, attempt });
                    let heartbeats = machine.heartbeats_received;
                    let entry = &mut cluster.machines[index.as_usize()].attempts[position];
                    entry.start_sent = true;
                    entry.started_by_heartbeat = Some(heartbeats);
                }
            }
            (Phase::Placed, Some(_)) => {}
            // The task is already saving its state; a second stop would interrupt that.
            (Phase::Saving, Some(grace_s)) if grace_s > 0.0 => {}
            (Phase::Ended, _) => {
                if cluster.is_acknowledged(entry)
                    && machine.can_forget(entry)
                    && !machine.has_start_in_flight(entry)
                {
                    orders.push(Order::Forget { task, attempt });
                }
            }
            (_, Some(grace_s)) => {
                orders.push(Order::Stop {
                    task,
                    attempt,
                    grace_s,
                });
                cluster.machines[index.as_usize()].attempts[position].stop_sent = true;
            }
            (_, None) => {}
        }
    }
    orders
}

/// Commands for attempts that a report lists and the cluster state does not have: they are stopped, and
/// forgotten once they have ended and the worker has seen this leader's term.
fn unknown_attempt_orders(
    cluster: &ClusterState,
    index: MachineIndex,
    unknown: &[UnknownAttempt],
    first_term: u64,
) -> Vec<Order> {
    let mut orders = Vec::new();
    let has_seen_this_leader = cluster.machine(index).token >= first_term;
    for &UnknownAttempt {
        task,
        attempt,
        state,
    } in unknown
    {
        if state != TaskState::Ended {
            orders.push(Order::Stop {
                task,
                attempt,
                grace_s: 0.0,
            });
        } else if has_seen_this_leader {
            orders.push(Order::Forget { task, attempt });
        }
    }
    orders
}
