//! The leader and its workers: what reports mean, which orders go out, when silence means death.

use std::collections::{BTreeMap, HashMap};

use super::{
    ApiResponse, Effect, LeaderState, LeaseRevocation, Node, RenewalReply, RequestId,
    SilentMachine, WorkerTag, leader::fencing::Fence,
};
use crate::{
    cluster::{
        Attempt, ClusterState, MachineIndex, MachineState, MachineTypeIndex, Phase, TaskStatus,
        fault_attribution, straggler,
    },
    protocol::{
        ids::TaskId,
        job::JobKind,
        worker::{
            DirectOrders, FailureCause, Order, Orders, Report, TaskReport, TaskState, WorkerReply,
        },
    },
    time::{Millis, millis},
};

/// A member's word about a machine that is silent.
pub struct RevocationReply {
    sent_at: Millis,
    /// When the lease has run out, as far as that member may have renewed it.
    lease_ends_at: Millis,
    /// It has promised to leave the machine alone, if it has not renewed it of late.
    is_binding: bool,
}

const RENEWER_INQUIRY_INTERVAL_MS: Millis = 1000;
/// Round trips of the mesh and of a sync fit into these, however often workers report: deputies are asked this long before a silent machine's lease ends; shortly before that, those who
/// have not renewed it are asked for their promise.
const INQUIRY_LEAD_MS: Millis = 3500;
const PROMISE_LEAD_MS: Millis = 1200;
/// A promise older than this is asked for again.
pub(super) const REPLY_VALIDITY_MS: Millis = 5000;
const WORKER_CALL_TIMEOUT_MS: Millis = 3000;
/// How often the term is raised only for workers to forget attempts whose starts could come once more. Each
/// worker reports once more for it.
const FORGET_FENCE_INTERVAL_MS: Millis = 30_000;
/// Keeps an answer to a report within its limit.
const MAX_ORDERS_PER_RESPONSE: usize = 400;
/// How long a machine that refused a task is passed over.
const REFUSAL_COOLDOWN_MS: Millis = 2000;
/// How often all machines are looked at for orders that are due, and for silence.
const ORDER_SWEEP_INTERVAL_MS: Millis = 500;
const MACHINE_CHECK_INTERVAL_MS: Millis = 200;
/// The part of the fleet, as a divisor, that may be on its way out for being slow.
const MAX_REPLACED_FLEET_DIVISOR: usize = 10;

impl Node {
    pub(super) fn handle_heartbeat(&mut self, id: RequestId, report: Report) {
        if self.leader_state.is_none() {
            return self.handle_heartbeat_as_renewer(id, &report);
        }
        if !self.can_renew() {
            return self.respond(id, ApiResponse::error(503, "not entitled"));
        }
        let orders = self.reconcile_report(&report, true);
        let answer = match orders {
            Some(orders) => {
                self.record_renewal(&report);
                ApiResponse::json(200, &orders)
            }
            None => ApiResponse::error(503, "not now"),
        };
        self.respond(id, answer);
    }

    /// Takes a report in. For a check-in, returns the orders to answer with, or `None` where it
    /// must not be answered with 200.
    fn reconcile_report(&mut self, report: &Report, checkin: bool) -> Option<Orders> {
        let now = self.now;
        let lease_ms = self.timeouts.worker_lease;
        let may_start = self.can_start_tasks();
        let leader = self.leader_state.as_ref()?;
        if report.token > leader.term {
            // Somebody leads after us.
            self.request_read_barrier();
            return None;
        }
        let (first_term, term) = (leader.first_term, leader.term);
        if leader.cluster.is_none() || self.read_barrier.confirmed_at.is_none() {
            // The books are being made: the lease is renewed, the report comes again. A machine
            // renewed now is covered by the silence that a takeover grants all machines. While the state
            // service is down that may take until it must not be renewed any more: tasks that had been
            // cancelled long before the takeover ran on until then, and a lease longer.
            return checkin.then(|| Orders {
                token: term,
                orders: self.stop_orders_for_cancelled(report),
            });
        }
        let cluster = self.leader_state.as_mut()?.cluster.as_mut()?;
        let type_ix = MachineTypeIndex(cluster.type_interner.get(&report.type_name)?);
        let zone = cluster.intern_zone(&report.zone);
        let known = cluster.machines_by_name.contains_key(&report.machine);
        let index = cluster.add_machine(&report.machine, type_ix, zone, report.spot, now);
        let machine = &mut cluster.machines[index.as_usize()];
        if !known {
            tracing::info!(machine = report.machine, "reports, unexpected");
        }
        if machine.state == MachineState::Gone || report.incarnation < machine.incarnation {
            return None;
        }
        let newer = (report.incarnation, report.seq) > (machine.incarnation, machine.seq);
        if !newer {
            // An old report changes nothing. Its answer is dropped, unless the worker has only answered
            // direct commands since.
            return checkin.then(|| Orders {
                token: term,
                orders: self.stop_orders_for_cancelled(report),
            });
        }
        if machine.state == MachineState::Booting || machine.state == MachineState::Lost {
            tracing::info!(machine = machine.name, session = report.incarnation, "up");
            machine.state = MachineState::Up;
            machine.idle_since = now;
            cluster.scheduling_needed = true;
        }
        let new_session = machine.incarnation != 0 && report.incarnation > machine.incarnation;
        // It served leaders before this one and has not seen this one's term: the report may be an old one, of a machine
        // that is gone. Work that was placed there waited for a whole lease.
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
        if checkin {
            machine.heartbeats_received += 1;
        }
        // The worker's lease counts from when it sent the last report that was answered: never
        // later than now, as far as this node is concerned.
        machine.lease_until = now + lease_ms;
        if let Some(notice) = report.notice_s {
            let at = now + millis(notice.clamp(0.0, 3600.0));
            if machine.reclaim_at.is_none() {
                tracing::info!(machine = machine.name, notice, "is to be taken back");
                cluster.scheduling_needed = true;
            }
            machine.reclaim_at = Some(machine.reclaim_at.map_or(at, |known| known.min(at)));
        }
        if new_session {
            tracing::info!(
                machine = report.machine,
                session = report.incarnation,
                "new session"
            );
            end_incarnation(cluster, index, now, &report.tasks);
        }
        let foreign = reconcile_tasks(cluster, index, report, now);
        settle_ended_attempts(cluster, index, now);
        if is_straggler(cluster, index, now) {
            cluster.drain_for_replacement(index, MAX_REPLACED_FLEET_DIVISOR, "is slow");
        }
        checkin.then(|| Orders {
            token: term,
            orders: heartbeat_orders(cluster, index, &foreign, first_term, may_start),
        })
    }

    pub(super) fn on_worker_response(&mut self, tag: WorkerTag, result: Option<WorkerReply>) {
        if !self.holds_leadership(tag.lease) {
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        if let Some(&index) = cluster.machines_by_name.get(&tag.machine) {
            let machine = &mut cluster.machines[index.as_usize()];
            if tag.has_orders {
                machine.command_in_flight = false;
            }
            // Machines whose reports arrived and that heard nothing were given new tasks as soon as their
            // leases had run out and they seemed idle: each waited for another lease there.
            if result.is_some() {
                machine.unconfirmed_token = 0;
            } else if !tag.starts.is_empty() {
                machine.unconfirmed_token = tag.token + 1;
                cluster.scheduling_needed = true;
            }
            cluster.machines_needing_commands.insert(index);
            for (task, attempt) in &tag.starts {
                let Some(at) = find_attempt(cluster, index, *task, *attempt) else {
                    continue;
                };
                let entry = &mut cluster.machines[index.as_usize()].attempts[at];
                entry.direct_start_in_flight = false;
                if result.is_none() {
                    // It may be carried out minutes later, as long as the worker has not seen a
                    // higher token or begun another session.
                    entry.fencing_token = entry.fencing_token.max(tag.token + 1);
                }
            }
        }
        match result {
            Some(WorkerReply::Executed(report) | WorkerReply::Rejected(report)) => {
                if report.machine == tag.machine {
                    self.reconcile_report(&report, false);
                }
            }
            None => tracing::debug!(machine = tag.machine, "no answer from worker"),
        }
    }

    /// Sends what can't wait for the next report.
    pub(super) fn send_orders(&mut self) {
        let may_start = self.can_start_tasks();
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let LeaderState {
            cluster: Some(cluster),
            term,
            lease,
            all_orders_checked_at: swept_orders_at,
            ..
        } = leader.as_mut()
        else {
            return;
        };
        let mut machines = std::mem::take(&mut cluster.machines_needing_commands);
        // A new term, or leave to start again, concerns all of them.
        if *swept_orders_at + ORDER_SWEEP_INTERVAL_MS <= now {
            *swept_orders_at = now;
            machines.extend((0..cluster.machines.len() as u32).map(MachineIndex));
        }
        for index in machines {
            let number = index.as_usize();
            let machine = &cluster.machines[number];
            let in_doubt = machine.unconfirmed_token > machine.token;
            if machine.state != MachineState::Up || (machine.attempts.is_empty() && !in_doubt) {
                continue;
            }
            drop_unsent_attempts(cluster, index, self.now);
            let machine = &cluster.machines[number];
            let (Some(addr), false, true) = (
                &machine.addr,
                machine.command_in_flight,
                machine.incarnation > 0,
            ) else {
                continue;
            };
            let mut orders = Vec::new();
            let mut starts = Vec::new();
            for (at, attempt) in machine.attempts.iter().enumerate() {
                let task = cluster.job(attempt.job).task_id(attempt.task);
                if attempt.phase == Phase::Placed && !attempt.start_sent && may_start {
                    if cluster.is_durable(attempt.job, attempt.task) {
                        starts.push((at, task, u64::from(attempt.attempt)));
                    }
                } else if let Some(grace_s) = attempt.stop_grace_s
                    && !attempt.stop_sent
                    && attempt.phase != Phase::Ended
                    && attempt.phase != Phase::Placed
                {
                    orders.push((
                        at,
                        Order::Stop {
                            task,
                            attempt: u64::from(attempt.attempt),
                            grace_s,
                        },
                    ));
                }
            }
            // Orders without any order make the worker see the term, and what an earlier one may
            // have sent is settled at once, as is whether the machine is there and hears.
            let unsettled = machine.token < *term
                && (in_doubt
                    || machine
                        .attempts
                        .iter()
                        .any(|attempt| attempt.fencing_token > machine.token));
            if orders.is_empty() && starts.is_empty() && !unsettled {
                continue;
            }
            let addr = addr.clone();
            let session = machine.incarnation;
            let name = machine.name.clone();
            let machine = &mut cluster.machines[number];
            machine.command_in_flight = true;
            let mut sent = Vec::new();
            for (at, order) in orders {
                machine.attempts[at].stop_sent = true;
                sent.push(order);
            }
            for &(at, task, attempt) in &starts {
                machine.attempts[at].start_sent = true;
                machine.attempts[at].direct_start_in_flight = true;
                machine.attempts[at].direct_start_term = *term;
                sent.push(Order::Start { task, attempt });
            }
            self.effects.push(Effect::CallWorker {
                tag: WorkerTag {
                    lease: *lease,
                    machine: name,
                    token: *term,
                    starts: starts.iter().map(|&(_, task, n)| (task, n)).collect(),
                    has_orders: true,
                },
                addr,
                orders: Some(DirectOrders {
                    token: *term,
                    incarnation: session,
                    orders: sent,
                }),
                timeout_ms: WORKER_CALL_TIMEOUT_MS,
            });
        }
    }

    /// Notices leases that ran out, notices that come due, and starts in doubt.
    pub(super) fn check_machines(&mut self) {
        let now = self.now;
        match &mut self.leader_state {
            Some(leader) if leader.machines_checked_at + MACHINE_CHECK_INTERVAL_MS <= now => {
                leader.machines_checked_at = now
            }
            _ => return,
        }
        let lease_ms = self.timeouts.worker_lease;
        let just_woke = self.just_resumed();
        let silence = self.timeouts.heartbeat_timeout;
        // Keys that a sync sent after a lease's end does not show were not there while it lasted.
        let checked = self.read_barrier.confirmed_at.unwrap_or(0);
        let mut deputies = self.registry.lease_renewers.clone();
        deputies.remove(&self.config.label);
        let deputies = &deputies;
        self.ask_lease_renewers(deputies.keys().cloned().collect());
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let LeaderState {
            cluster: Some(cluster),
            term,
            renewer_lost_at: gone,
            revocation_replies: acks,
            fence: Fence {
                raised_at: fenced_at,
                ..
            },
            takeover_at,
            ..
        } = leader.as_mut()
        else {
            return;
        };
        let term = *term;
        let reclaim = (*fenced_at).max(*takeover_at) + FORGET_FENCE_INTERVAL_MS <= now;
        let (mut fence, mut kept_back) = (false, false);
        for number in 0..cluster.machines.len() {
            let index = MachineIndex(number as u32);
            let machine = &mut cluster.machines[number];
            if machine.state != MachineState::Up {
                continue;
            }
            machine.unresponsive = !just_woke
                && machine
                    .last_heartbeat_at
                    .is_none_or(|at| at + silence < now);
            if now > machine.lease_until
                && checked >= machine.lease_until
                && is_unrenewed_everywhere(deputies, gone, acks, &machine.name, now, lease_ms)
            {
                tracing::warn!(
                    machine = machine.name,
                    tasks = machine.attempts.len(),
                    "silent: its lease has run out"
                );
                mark_lost(cluster, index, now);
                continue;
            }
            let heard = machine
                .last_heartbeat_at
                .is_some_and(|at| at + silence > now);
            let in_doubt = machine.unconfirmed_token > term
                || machine.attempts.iter().any(|a| a.fencing_token > term);
            fence |= heard && in_doubt;
            let kept = |a: &Attempt| {
                a.phase == Phase::Ended && a.reconciled && a.direct_start_term >= term
            };
            kept_back |= reclaim && heard && machine.attempts.iter().any(kept);
            if let Some(recall_at) = machine.reclaim_at {
                drain_for_reclaim(cluster, index, recall_at, now);
            }
        }
        leader.fence.requested |= fence || kept_back;
        self.check_reachability();
    }

    /// Asks the other deputies about machines that are silent, in time before their leases end. A
    /// promise is asked for only when nobody seems to keep the machine alive: bound too early, a
    /// deputy refused workers that had lost the leader and found it only after trying a dead node.
    fn ask_lease_renewers(&mut self, labels: Vec<String>) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if leader.renewers_asked_at + RENEWER_INQUIRY_INTERVAL_MS > now {
            return;
        }
        let Some(cluster) = &leader.cluster else {
            return;
        };
        let lapsing = |label: &String, name: &String| {
            leader
                .revocation_replies
                .get(&(label.clone(), name.clone()))
                .is_some_and(|ack| {
                    ack.sent_at + REPLY_VALIDITY_MS > now
                        && ack.lease_ends_at < now + PROMISE_LEAD_MS
                })
        };
        let machines: Vec<SilentMachine> = cluster
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up && m.lease_until < now + INQUIRY_LEAD_MS)
            .map(|m| SilentMachine {
                name: m.name.clone(),
                incarnation: m.incarnation,
                is_inquiry: m.lease_until > now + PROMISE_LEAD_MS
                    || !labels.iter().all(|label| lapsing(label, &m.name)),
            })
            .collect();
        if machines.is_empty() {
            return;
        }
        leader.renewers_asked_at = now;
        let (lease, term) = (leader.lease, leader.term);
        let asked_ms = self.wall_ms;
        self.request_read_barrier();
        for label in labels {
            self.effects.push(Effect::RequestRevocation {
                lease,
                label,
                revocation: LeaseRevocation {
                    term,
                    machines: machines.clone(),
                    asked_at_ms: asked_ms,
                },
            });
        }
    }

    pub(super) fn on_revocation_reply(
        &mut self,
        lease: u64,
        label: String,
        sent_at: Millis,
        word: Option<RenewalReply>,
    ) {
        if !self.holds_leadership(lease) {
            return;
        }
        let (now, lease_ms) = (self.now, self.timeouts.worker_lease);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(word) = word else { return };
        leader
            .reachability
            .record_member_report(label.clone(), word.workers_heard, now);
        // The question was sent before that node's key was written anew: the answer may be that of a
        // process which has ended since, and binds nobody.
        if leader
            .renewer_registered_at
            .get(&label)
            .is_some_and(|at| sent_at <= *at)
        {
            return;
        }
        for renewal in word.renewals {
            // Its clock may run slower than ours.
            let age = renewal.age_ms - renewal.age_ms / 500;
            let until = (now + lease_ms).saturating_sub(age);
            let ack = RevocationReply {
                sent_at,
                lease_ends_at: until,
                is_binding: !renewal.is_inquiry,
            };
            leader
                .revocation_replies
                .insert((label.clone(), renewal.machine), ack);
        }
        leader
            .revocation_replies
            .retain(|_, ack| ack.sent_at + 60_000 > now);
    }

    /// Asks a machine for its report, without giving orders.
    pub(super) fn probe_machine(&mut self, name: String, addr: String) {
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

/// Whether no other node can have renewed a machine's lease within the time it lasts.
fn is_unrenewed_everywhere(
    deputies: &BTreeMap<String, u64>,
    gone: &HashMap<String, Millis>,
    acks: &HashMap<(String, String), RevocationReply>,
    machine: &str,
    now: Millis,
    lease_ms: Millis,
) -> bool {
    let gone = gone.values().all(|at| at + lease_ms < now);
    gone && deputies.keys().all(|label| {
        acks.get(&(label.clone(), machine.to_owned()))
            .is_some_and(|ack| {
                ack.is_binding && ack.sent_at + REPLY_VALIDITY_MS > now && ack.lease_ends_at < now
            })
    })
}

fn find_attempt(
    cluster: &ClusterState,
    on: MachineIndex,
    task: TaskId,
    attempt: u64,
) -> Option<usize> {
    let job = *cluster.jobs_by_id.get(&task.job)?;
    cluster
        .machine(on)
        .attempts
        .iter()
        .position(|a| a.job == job && a.task == task.index && u64::from(a.attempt) == attempt)
}

/// The worker began a new session: what it does not report any more is gone, and starts sent to an
/// earlier session are refused.
///
/// What is inherited may have been started in this very session: the report that tells of it may
/// have been on its way since before that, and denies nothing until the worker has seen this term.
fn end_incarnation(
    cluster: &mut ClusterState,
    on: MachineIndex,
    now: Millis,
    listed: &[TaskReport],
) {
    let machine = &mut cluster.machines[on.as_usize()];
    for attempt in machine.attempts.iter_mut().filter(|a| !a.recovered) {
        attempt.direct_start_in_flight = false;
        attempt.started_by_heartbeat = None;
        attempt.fencing_token = 0;
        attempt.direct_start_term = 0;
    }
    for at in (0..cluster.machine(on).attempts.len()).rev() {
        let machine = cluster.machine(on);
        let attempt = &machine.attempts[at];
        if machine.has_start_in_flight(attempt) {
            continue;
        }
        let task = cluster.job(attempt.job).task_id(attempt.task);
        let shown = listed
            .iter()
            .any(|each| each.task == task && each.attempt == u64::from(attempt.attempt));
        if !shown {
            cluster.remove_attempt(on, at, now);
        }
    }
}

/// Every task on the machine is surely gone.
pub(super) fn mark_lost(cluster: &mut ClusterState, on: MachineIndex, now: Millis) {
    for at in (0..cluster.machine(on).attempts.len()).rev() {
        cluster.remove_attempt(on, at, now);
    }
    let machine = &mut cluster.machines[on.as_usize()];
    machine.state = MachineState::Lost;
    machine.idle_since = now;
    machine.command_in_flight = false;
    // Reports of the session that has ended may still arrive.
    machine.incarnation += 1;
    machine.seq = 0;
    cluster.scheduling_needed = true;
}

/// Follows a report that is newer than all before. Returns what it lists and the books don't have.
fn reconcile_tasks(
    cluster: &mut ClusterState,
    on: MachineIndex,
    report: &Report,
    now: Millis,
) -> Vec<(TaskId, u64, TaskState)> {
    let mut foreign = Vec::new();
    let mut shown = vec![false; cluster.machine(on).attempts.len()];
    for listed in &report.tasks {
        let Some(at) = find_attempt(cluster, on, listed.task, listed.attempt) else {
            foreign.push((listed.task, listed.attempt, listed.state));
            continue;
        };
        shown[at] = true;
        let phase = match listed.state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Gathering | TaskState::Running => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Ended => Phase::Ended,
        };
        cluster.machines[on.as_usize()].attempts[at].cause = listed.cause;
        cluster.machines[on.as_usize()].attempts[at].start_sent = true;
        cluster.machines[on.as_usize()].attempts[at].recovered = false;
        let before = cluster.machine(on).attempts[at].phase;
        cluster.advance_phase(on, at, phase, now);
        let attempt = &cluster.machine(on).attempts[at];
        let index = attempt.job;
        if attempt.phase == Phase::Running
            && attempt
                .running_since
                .is_some_and(|since| since + fault_attribution::PROGRESS_RUN_MS <= now)
            && !cluster.job(index).recently_failed_on.is_empty()
        {
            cluster.on_task_progress(index);
        }
        if phase == Phase::Running && before < Phase::Running {
            let attempt = &cluster.machine(on).attempts[at];
            let job = cluster.job(attempt.job);
            let wait = now.saturating_sub(job.first_seen_at);
            tracing::debug!(
                task = %listed.task,
                attempt = listed.attempt,
                machine = report.machine,
                queued_ms = attempt.placed_at.saturating_sub(job.first_seen_at),
                start_ms = now.saturating_sub(attempt.placed_at),
                "runs"
            );
            cluster.start_wait_samples.push(wait);
            let flow = cluster.workload_class(index);
            cluster.fair_share.status_mut(flow).tasks_started += 1;
        }
    }
    for at in (0..shown.len()).rev() {
        let machine = cluster.machine(on);
        let attempt = &machine.attempts[at];
        if shown[at] || !attempt.start_sent || machine.has_start_in_flight(attempt) {
            continue;
        }
        match attempt.phase {
            // The start was lost; it is sent again unless the task is to stop.
            Phase::Placed if attempt.stop_grace_s.is_none() && !attempt.recovered => {}
            _ => cluster.remove_attempt(on, at, now),
        }
    }
    foreign
}

/// Deals with attempts that have ended: completes or requeues their tasks.
fn settle_ended_attempts(cluster: &mut ClusterState, on: MachineIndex, now: Millis) {
    for at in 0..cluster.machine(on).attempts.len() {
        let machine = cluster.machine(on);
        let attempt = &machine.attempts[at];
        if attempt.phase != Phase::Ended || attempt.reconciled {
            continue;
        }
        let (job, task, number) = (attempt.job, attempt.task, attempt.attempt);
        let cause = attempt.cause.unwrap_or(FailureCause::Other);
        let closed = cluster.job(job).closed;
        let latest = cluster.job(job).tasks[task as usize];
        // Those inherited ran for longer than is known here.
        let ran = attempt
            .running_since
            .filter(|_| attempt.placed_at > cluster.leader_since)
            .map(|since| now.saturating_sub(since));
        if cause == FailureCause::Done {
            if !closed && latest.status == TaskStatus::Active(on) && latest.attempt == number {
                cluster.complete_task(job, task);
                let flow = cluster.workload_class(job);
                cluster.fair_share.status_mut(flow).tasks_completed += 1;
                if cluster.job(job).is_complete() {
                    cluster.record_job_completion(job, now);
                }
            }
            cluster.machines[on.as_usize()].attempts[at].reconciled = true;
            cluster.machines[on.as_usize()].recent_failures.clear();
            cluster.on_task_progress(job);
            if let Some(ran) = ran {
                let (job, machine) = (
                    &mut cluster.jobs[job.as_usize()],
                    &mut cluster.machines[on.as_usize()],
                );
                if straggler::record_completion(
                    &mut job.mean_runtime_s,
                    &mut machine.mean_slowdown,
                    ran as f64 / 1000.0,
                ) {
                    cluster.drain_for_replacement(on, MAX_REPLACED_FLEET_DIVISOR, "is slow");
                }
            }
            continue;
        }
        // A start that may still arrive would run beside the next attempt.
        if machine.has_start_in_flight(attempt) {
            continue;
        }
        cluster.machines[on.as_usize()].attempts[at].reconciled = true;
        if closed {
            continue;
        }
        cluster.requeue(job, task, number);
        react_to_failure(cluster, on, job, cause, now);
    }
}

fn react_to_failure(
    cluster: &mut ClusterState,
    on: MachineIndex,
    index: crate::cluster::JobIndex,
    cause: FailureCause,
    now: Millis,
) {
    let machine = &mut cluster.machines[on.as_usize()];
    let job = &mut cluster.jobs[index.as_usize()];
    match cause {
        FailureCause::Done
        | FailureCause::Stopped
        | FailureCause::PeersGone
        | FailureCause::Alone => {}
        FailureCause::NoRoom | FailureCause::Busy => {
            machine.avoid_until = now + REFUSAL_COOLDOWN_MS
        }
        FailureCause::Unknown => job.backoff_until = now + REFUSAL_COOLDOWN_MS,
        FailureCause::Error | FailureCause::Other => {
            tracing::debug!(job = %job.id, machine = machine.name, "a task failed");
            cluster.on_task_failed(index, on, now);
        }
    }
}

/// Whether the tasks that run on the machine take far longer than others of their jobs did.
fn is_straggler(cluster: &ClusterState, on: MachineIndex, now: Millis) -> bool {
    let running = cluster.machine(on).attempts.iter().filter_map(|attempt| {
        let since = attempt
            .running_since
            .filter(|_| attempt.phase == Phase::Running)?;
        let ran_s = now.saturating_sub(since) as f64 / 1000.0;
        Some((&cluster.job(attempt.job).mean_runtime_s, ran_s))
    });
    straggler::is_straggling(running)
}

/// Attempts that are to stop and whose start was never sent need no orders.
fn drop_unsent_attempts(cluster: &mut ClusterState, on: MachineIndex, now: Millis) {
    for at in (0..cluster.machine(on).attempts.len()).rev() {
        let attempt = &cluster.machine(on).attempts[at];
        if attempt.stop_grace_s.is_some() && !attempt.start_sent {
            cluster.remove_attempt(on, at, now);
        }
    }
}

/// Moves tasks off a machine that will be taken: those that can save do so as late as is safe,
/// those that can't finish in time stop at once.
fn drain_for_reclaim(cluster: &mut ClusterState, on: MachineIndex, recall_at: Millis, now: Millis) {
    let left_s = recall_at.saturating_sub(now) as f64 / 1000.0;
    for at in 0..cluster.machine(on).attempts.len() {
        let attempt = &cluster.machine(on).attempts[at];
        if attempt.phase == Phase::Ended || attempt.stop_grace_s.is_some() {
            continue;
        }
        let job = cluster.job(attempt.job);
        let ran = attempt
            .running_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64 / 1000.0);
        let stop = if job.kind == JobKind::Service {
            (left_s < 3.0).then_some(0.0)
        } else if job.checkpoint_s > 0.0 {
            (left_s < job.save_s + 4.0).then_some(job.save_s)
        } else {
            (job.estimate_s - ran > left_s).then_some(0.0)
        };
        if let Some(grace_s) = stop {
            cluster.request_stop(on, at, grace_s);
        }
    }
}

/// The orders to answer a check-in with: everything that the report shows to be missing.
fn heartbeat_orders(
    cluster: &mut ClusterState,
    on: MachineIndex,
    foreign: &[(TaskId, u64, TaskState)],
    first_term: u64,
    may_start: bool,
) -> Vec<Order> {
    let mut orders = Vec::new();
    let seen_us = cluster.machine(on).token >= first_term;
    for &(task, attempt, state) in foreign {
        if state != TaskState::Ended {
            orders.push(Order::Stop {
                task,
                attempt,
                grace_s: 0.0,
            });
        } else if seen_us {
            orders.push(Order::Forget { task, attempt });
        }
    }
    for at in 0..cluster.machine(on).attempts.len() {
        if orders.len() >= MAX_ORDERS_PER_RESPONSE {
            break;
        }
        let machine = cluster.machine(on);
        let entry = &machine.attempts[at];
        let task = cluster.job(entry.job).task_id(entry.task);
        let attempt = u64::from(entry.attempt);
        match (entry.phase, entry.stop_grace_s) {
            (Phase::Placed, None) => {
                let stored = cluster.is_durable(entry.job, entry.task);
                if may_start && stored && !entry.direct_start_in_flight && !entry.recovered {
                    orders.push(Order::Start { task, attempt });
                    let checkins = machine.heartbeats_received;
                    let entry = &mut cluster.machines[on.as_usize()].attempts[at];
                    entry.start_sent = true;
                    entry.started_by_heartbeat = Some(checkins);
                }
            }
            (Phase::Placed, Some(_)) => {}
            // Saving already; a second order would cut it short.
            (Phase::Saving, Some(grace_s)) if grace_s > 0.0 => {}
            (Phase::Ended, _) => {
                if cluster.is_acknowledged(entry)
                    && machine.can_reap(entry)
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
                cluster.machines[on.as_usize()].attempts[at].stop_sent = true;
            }
            (_, None) => {}
        }
    }
    orders
}

#[cfg(test)]
mod tests;
