//! Commands that the leader sends to workers directly, without waiting for the next heartbeat.

use super::{heartbeat::ReportOrigin, reconciliation::find_attempt};
use crate::{
    cluster::{ClusterState, MachineIndex, MachineState, Phase},
    coordination::{Effect, LeaderState, Node, WorkerTag},
    protocol::{
        ids::TaskId,
        worker::{DirectOrders, Order, WorkerReply},
    },
    time::Millis,
};

const WORKER_CALL_TIMEOUT_MS: Millis = 3000;
/// How often all machines are checked for commands that are due.
const ORDER_SWEEP_INTERVAL_MS: Millis = 500;

/// The leadership under which commands are sent, and whether starts may be among them.
#[derive(Clone, Copy)]
struct CommandContext {
    lease: u64,
    term: u64,
    may_start: bool,
}

/// Commands to send to one machine, each with the position of its attempt in [`Machine::attempts`].
///
/// [`Machine::attempts`]: crate::cluster::Machine::attempts
#[derive(Default)]
struct DueCommands {
    stops: Vec<(usize, Order)>,
    starts: Vec<(usize, TaskId, u64)>,
}

impl Node {
    /// Handles a worker's response to commands or to a probe; `None`: it did not respond in time.
    pub(in crate::coordination) fn on_worker_response(
        &mut self,
        tag: WorkerTag,
        result: Option<WorkerReply>,
    ) {
        if !self.holds_leadership(tag.lease) {
            return;
        }
        let Some(cluster) = self
            .leader_state
            .as_mut()
            .and_then(|leader| leader.cluster.as_mut())
        else {
            return;
        };
        if let Some(&index) = cluster.machines_by_name.get(&tag.machine) {
            record_command_outcome(cluster, index, &tag, result.is_some());
        }
        match result {
            Some(WorkerReply::Executed(report) | WorkerReply::Rejected(report)) => {
                if report.machine == tag.machine {
                    self.reconcile_report(&report, ReportOrigin::CommandResponse);
                }
            }
            None => tracing::debug!(machine = tag.machine, "no response from worker"),
        }
    }

    /// Sends pending starts and stops to the machines that may need commands; every
    /// [`ORDER_SWEEP_INTERVAL_MS`] it checks all machines.
    pub(in crate::coordination) fn send_orders(&mut self) {
        let may_start = self.can_start_tasks();
        let now = self.now;
        let Some(LeaderState {
            cluster: Some(cluster),
            term,
            lease,
            last_command_sweep_at,
            ..
        }) = self.leader_state.as_deref_mut()
        else {
            return;
        };
        let context = CommandContext {
            lease: *lease,
            term: *term,
            may_start,
        };
        let mut machines = std::mem::take(&mut cluster.machines_needing_commands);
        // After a change of term, or once tasks may be started again, any machine may need commands.
        if *last_command_sweep_at + ORDER_SWEEP_INTERVAL_MS <= now {
            *last_command_sweep_at = now;
            machines.extend((0..cluster.machines.len() as u32).map(MachineIndex));
        }
        for index in machines {
            self.effects
                .extend(direct_commands(cluster, index, context, now));
        }
    }

    /// Requests a report from a machine without sending it commands.
    pub(in crate::coordination) fn probe_machine(&mut self, name: String, addr: String) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        self.effects.push(Effect::CallWorker {
            tag: WorkerTag {
                lease: leader.lease,
                machine: name,
                token: leader.term,
                starts: Vec::new(),
                has_orders: false,
            },
            addr,
            orders: None,
            timeout_ms: WORKER_CALL_TIMEOUT_MS,
        });
    }
}

/// Records whether a worker responded to commands.
fn record_command_outcome(
    cluster: &mut ClusterState,
    index: MachineIndex,
    tag: &WorkerTag,
    is_answered: bool,
) {
    let machine = &mut cluster.machines[index.as_usize()];
    if tag.has_orders {
        machine.command_in_flight = false;
    }
    // A machine whose reports arrive may still receive no commands. Without `unconfirmed_token` it got
    // new tasks as soon as its lease had expired and it seemed idle, and each of these tasks waited
    // there until another lease had expired.
    if is_answered {
        machine.unconfirmed_token = 0;
    } else if !tag.starts.is_empty() {
        machine.unconfirmed_token = tag.token + 1;
        cluster.scheduling_needed = true;
    }
    cluster.machines_needing_commands.insert(index);
    for (task, attempt_number) in &tag.starts {
        let Some(position) = find_attempt(cluster, index, *task, *attempt_number) else {
            continue;
        };
        let attempt = &mut cluster.machines[index.as_usize()].attempts[position];
        attempt.direct_start_in_flight = false;
        if !is_answered {
            // The start may still be executed minutes later, unless the worker has seen a higher
            // token or begun another incarnation by then.
            attempt.fencing_token = attempt.fencing_token.max(tag.token + 1);
        }
    }
}

/// Builds the call with all commands that are due on a machine, and marks them as sent. `None`: there is
/// nothing to send, or the machine can't be sent commands now.
fn direct_commands(
    cluster: &mut ClusterState,
    index: MachineIndex,
    context: CommandContext,
    now: Millis,
) -> Option<Effect> {
    let machine = cluster.machine(index);
    let is_unconfirmed = machine.unconfirmed_token > machine.token;
    if machine.state != MachineState::Up || (machine.attempts.is_empty() && !is_unconfirmed) {
        return None;
    }
    drop_unsent_attempts(cluster, index, now);
    let machine = cluster.machine(index);
    if machine.command_in_flight || machine.incarnation == 0 {
        return None;
    }
    let addr = machine.addr.as_ref()?;
    let due = due_commands(cluster, index, context.may_start);
    // A call with an empty list of commands makes the worker see this term. Once it has responded, the
    // machine is known to receive commands, and it executes no more starts of earlier terms.
    let needs_term_update = machine.token < context.term
        && (is_unconfirmed
            || machine
                .attempts
                .iter()
                .any(|attempt| attempt.fencing_token > machine.token));
    if due.stops.is_empty() && due.starts.is_empty() && !needs_term_update {
        return None;
    }
    let addr = addr.clone();
    let tag = WorkerTag {
        lease: context.lease,
        machine: machine.name.clone(),
        token: context.term,
        starts: due
            .starts
            .iter()
            .map(|&(_, task, attempt)| (task, attempt))
            .collect(),
        has_orders: true,
    };
    let incarnation = machine.incarnation;
    Some(Effect::CallWorker {
        tag,
        addr,
        orders: Some(DirectOrders {
            token: context.term,
            incarnation,
            orders: mark_sent(cluster, index, due, context.term),
        }),
        timeout_ms: WORKER_CALL_TIMEOUT_MS,
    })
}

/// The starts and stops that have not been sent to a machine yet.
fn due_commands(cluster: &ClusterState, index: MachineIndex, may_start: bool) -> DueCommands {
    let mut due = DueCommands::default();
    for (position, attempt) in cluster.machine(index).attempts.iter().enumerate() {
        let task = cluster.job(attempt.job).task_id(attempt.task);
        let attempt_number = u64::from(attempt.attempt);
        if attempt.phase == Phase::Placed && !attempt.start_sent && may_start {
            if cluster.is_durable(attempt.job, attempt.task) {
                due.starts.push((position, task, attempt_number));
            }
        } else if let Some(grace_s) = attempt.stop_grace_s
            && !attempt.stop_sent
            && attempt.phase != Phase::Ended
            && attempt.phase != Phase::Placed
        {
            let stop = Order::Stop {
                task,
                attempt: attempt_number,
                grace_s,
            };
            due.stops.push((position, stop));
        }
    }
    due
}

/// Marks commands as sent and puts them in order: stops first.
fn mark_sent(
    cluster: &mut ClusterState,
    index: MachineIndex,
    due: DueCommands,
    term: u64,
) -> Vec<Order> {
    let machine = &mut cluster.machines[index.as_usize()];
    machine.command_in_flight = true;
    let mut orders = Vec::new();
    for (position, stop) in due.stops {
        machine.attempts[position].stop_sent = true;
        orders.push(stop);
    }
    for (position, task, attempt) in due.starts {
        let entry = &mut machine.attempts[position];
        entry.start_sent = true;
        entry.direct_start_in_flight = true;
        entry.direct_start_term = term;
        orders.push(Order::Start { task, attempt });
    }
    orders
}

/// Removes attempts that are to stop and whose start was never sent: they need no command.
fn drop_unsent_attempts(cluster: &mut ClusterState, index: MachineIndex, now: Millis) {
    for position in (0..cluster.machine(index).attempts.len()).rev() {
        let attempt = &cluster.machine(index).attempts[position];
        if attempt.stop_grace_s.is_some() && !attempt.start_sent {
            cluster.remove_attempt(index, position, now);
        }
    }
}
