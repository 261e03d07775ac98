//! The leader and its workers: what reports mean, which orders go out, when silence means death.

use std::collections::{BTreeMap, HashMap};

use super::{Answer, AskId, Effect, Leading, Node, Revocation, SilentMachine, Word, WorkerTag};
use crate::{
    cluster::{
        Attempt, Books, MachineIx, MachineState, Phase, TaskStatus, TypeIx, fault_attribution,
        straggler,
    },
    protocol::{
        ids::TaskId,
        job::Kind,
        worker::{Cause, DirectOrders, Order, Orders, Report, TaskReport, TaskState, WorkerReply},
    },
    time::{Millis, millis},
};

/// A member's word about a machine that is silent.
pub struct Ack {
    sent_at: Millis,
    /// When the lease has run out, as far as that member may have renewed it.
    until: Millis,
    /// It has promised to leave the machine alone, if it has not renewed it of late.
    binding: bool,
}

const ASK_DEPUTIES: Millis = 1000;
/// Round trips of the mesh and of a sync fit into these, however often workers report: deputies are asked this long before a silent machine's lease ends; shortly before that, those who
/// have not renewed it are asked for their promise.
const INQUIRE: Millis = 3500;
const BIND: Millis = 1200;
/// A promise older than this is asked for again.
pub(super) const ACK_FRESH: Millis = 5000;
const DIRECT_TIMEOUT: Millis = 3000;
/// How often the term is raised only for workers to forget attempts whose starts could come once more. Each
/// worker reports once more for it.
const RECLAIM: Millis = 30_000;
/// Keeps an answer to a report within its limit.
const MAX_ORDERS: usize = 400;
/// How long a machine that refused a task is passed over.
const AVOID_FULL: Millis = 2000;
/// How often all machines are looked at for orders that are due, and for silence.
const SWEEP_ORDERS: Millis = 500;
const WATCH: Millis = 200;
/// The part of the fleet, as a divisor, that may be on its way out for being slow.
const SLOW_PART: usize = 10;

impl Node {
    pub(super) fn check_in(&mut self, id: AskId, report: Report) {
        if self.leading.is_none() {
            return self.check_in_as_deputy(id, &report);
        }
        if !self.may_renew() {
            return self.answer(id, Answer::error(503, "not entitled"));
        }
        let orders = self.report(&report, true);
        let answer = match orders {
            Some(orders) => {
                self.renewed(&report);
                Answer::with(200, &orders)
            }
            None => Answer::error(503, "not now"),
        };
        self.answer(id, answer);
    }

    /// Takes a report in. For a check-in, returns the orders to answer with, or `None` where it
    /// must not be answered with 200.
    fn report(&mut self, report: &Report, checkin: bool) -> Option<Orders> {
        let now = self.now;
        let lease_ms = self.times.lease;
        let may_start = self.may_start();
        let leading = self.leading.as_ref()?;
        if report.token > leading.term {
            // Somebody leads after us.
            self.want_sync();
            return None;
        }
        let (first_term, term) = (leading.first_term, leading.term);
        if leading.books.is_none() || self.sync.ok.is_none() {
            // The books are being made: the lease is renewed, the report comes again. A machine
            // renewed now is covered by the silence that a takeover grants all machines. While the state
            // service is down that may take until it must not be renewed any more: tasks that had been
            // cancelled long before the takeover ran on until then, and a lease longer.
            return checkin.then(|| Orders {
                token: term,
                orders: self.stops(report),
            });
        }
        let books = self.leading.as_mut()?.books.as_mut()?;
        let type_ix = TypeIx(books.type_names.get(&report.type_name)?);
        let zone = books.zone(&report.zone);
        let known = books.machine_index.contains_key(&report.machine);
        let index = books.add_machine(&report.machine, type_ix, zone, report.spot, now);
        let machine = &mut books.machines[index.at()];
        if !known {
            tracing::info!(machine = report.machine, "reports, unexpected");
        }
        if machine.state == MachineState::Gone || report.session < machine.session {
            return None;
        }
        let newer = (report.session, report.seq) > (machine.session, machine.seq);
        if !newer {
            // An old report changes nothing. Its answer is dropped, unless the worker has only answered
            // direct commands since.
            return checkin.then(|| Orders {
                token: term,
                orders: self.stops(report),
            });
        }
        if machine.state == MachineState::Booting || machine.state == MachineState::Lost {
            tracing::info!(machine = machine.name, session = report.session, "up");
            machine.state = MachineState::Up;
            machine.idle_since = now;
            books.changed = true;
        }
        let new_session = machine.session != 0 && report.session > machine.session;
        // It served leaders before this one and has not seen this one's term: the report may be an old one, of a machine
        // that is gone. Work that was placed there waited for a whole lease.
        if machine.heard_at.is_none() && (1..first_term).contains(&report.token) {
            machine.doubt = first_term;
        }
        machine.session = report.session;
        machine.seq = report.seq;
        machine.token = machine.token.max(report.token);
        machine.addr = Some(report.addr.clone());
        machine.heard_at = Some(now);
        machine.silent = false;
        books.attention.insert(index);
        if checkin {
            machine.checkins += 1;
        }
        // The worker's lease counts from when it sent the last report that was answered: never
        // later than now, as far as this node is concerned.
        machine.lease_until = now + lease_ms;
        if let Some(notice) = report.notice_s {
            let at = now + millis(notice.clamp(0.0, 3600.0));
            if machine.recall_at.is_none() {
                tracing::info!(machine = machine.name, notice, "is to be taken back");
                books.changed = true;
            }
            machine.recall_at = Some(machine.recall_at.map_or(at, |known| known.min(at)));
        }
        if new_session {
            tracing::info!(
                machine = report.machine,
                session = report.session,
                "new session"
            );
            end_session(books, index, now, &report.tasks);
        }
        let foreign = absorb(books, index, report, now);
        settle(books, index, now);
        if drags(books, index, now) {
            books.replace(index, SLOW_PART, "is slow");
        }
        checkin.then(|| Orders {
            token: term,
            orders: orders_for(books, index, &foreign, first_term, may_start),
        })
    }

    pub(super) fn worker_answered(&mut self, tag: WorkerTag, result: Option<WorkerReply>) {
        if !self.leads(tag.lease) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(books) = &mut leading.books else {
            return;
        };
        if let Some(&index) = books.machine_index.get(&tag.machine) {
            let machine = &mut books.machines[index.at()];
            if tag.orders {
                machine.busy = false;
            }
            // Machines whose reports arrived and that heard nothing were given new tasks as soon as their
            // leases had run out and they seemed idle: each waited for another lease there.
            if result.is_some() {
                machine.doubt = 0;
            } else if !tag.starts.is_empty() {
                machine.doubt = tag.term + 1;
                books.changed = true;
            }
            books.attention.insert(index);
            for (task, attempt) in &tag.starts {
                let Some(at) = find(books, index, *task, *attempt) else {
                    continue;
                };
                let entry = &mut books.machines[index.at()].attempts[at];
                entry.outstanding = false;
                if result.is_none() {
                    // It may be carried out minutes later, as long as the worker has not seen a
                    // higher token or begun another session.
                    entry.fence = entry.fence.max(tag.term + 1);
                }
            }
        }
        match result {
            Some(WorkerReply::Executed(report) | WorkerReply::Rejected(report)) => {
                if report.machine == tag.machine {
                    self.report(&report, false);
                }
            }
            None => tracing::debug!(machine = tag.machine, "no answer from worker"),
        }
    }

    /// Sends what can't wait for the next report.
    pub(super) fn send_orders(&mut self) {
        let may_start = self.may_start();
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Leading {
            books: Some(books),
            term,
            lease,
            swept_orders_at,
            ..
        } = leading.as_mut()
        else {
            return;
        };
        let mut machines = std::mem::take(&mut books.attention);
        // A new term, or leave to start again, concerns all of them.
        if *swept_orders_at + SWEEP_ORDERS <= now {
            *swept_orders_at = now;
            machines.extend((0..books.machines.len() as u32).map(MachineIx));
        }
        for index in machines {
            let number = index.at();
            let machine = &books.machines[number];
            let in_doubt = machine.doubt > machine.token;
            if machine.state != MachineState::Up || (machine.attempts.is_empty() && !in_doubt) {
                continue;
            }
            drop_unsent(books, index, self.now);
            let machine = &books.machines[number];
            let (Some(addr), false, true) = (&machine.addr, machine.busy, machine.session > 0)
            else {
                continue;
            };
            let mut orders = Vec::new();
            let mut starts = Vec::new();
            for (at, attempt) in machine.attempts.iter().enumerate() {
                let task = books.job(attempt.job).task_id(attempt.task);
                if attempt.phase == Phase::Placed && !attempt.sent && may_start {
                    if books.stored(attempt.job, attempt.task) {
                        starts.push((at, task, u64::from(attempt.attempt)));
                    }
                } else if let Some(grace_s) = attempt.stop
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
                        .any(|attempt| attempt.fence > machine.token));
            if orders.is_empty() && starts.is_empty() && !unsettled {
                continue;
            }
            let addr = addr.clone();
            let session = machine.session;
            let name = machine.name.clone();
            let machine = &mut books.machines[number];
            machine.busy = true;
            let mut sent = Vec::new();
            for (at, order) in orders {
                machine.attempts[at].stop_sent = true;
                sent.push(order);
            }
            for &(at, task, attempt) in &starts {
                machine.attempts[at].sent = true;
                machine.attempts[at].outstanding = true;
                machine.attempts[at].direct = *term;
                sent.push(Order::Start { task, attempt });
            }
            self.out.push(Effect::Worker {
                tag: WorkerTag {
                    lease: *lease,
                    machine: name,
                    term: *term,
                    starts: starts.iter().map(|&(_, task, n)| (task, n)).collect(),
                    orders: true,
                },
                addr,
                orders: Some(DirectOrders {
                    token: *term,
                    session,
                    orders: sent,
                }),
                timeout_ms: DIRECT_TIMEOUT,
            });
        }
    }

    /// Notices leases that ran out, notices that come due, and starts in doubt.
    pub(super) fn watch_machines(&mut self) {
        let now = self.now;
        match &mut self.leading {
            Some(leading) if leading.watched_at + WATCH <= now => leading.watched_at = now,
            _ => return,
        }
        let lease_ms = self.times.lease;
        let just_woke = self.just_woke();
        let silence = self.times.silence;
        // Keys that a sync sent after a lease's end does not show were not there while it lasted.
        let checked = self.sync.ok.unwrap_or(0);
        let mut deputies = self.directory.deputies.clone();
        deputies.remove(&self.config.label);
        let deputies = &deputies;
        self.ask_deputies(deputies.keys().cloned().collect());
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Leading {
            books: Some(books),
            term,
            gone,
            acks,
            fenced_at,
            takeover_at,
            ..
        } = leading.as_mut()
        else {
            return;
        };
        let term = *term;
        let reclaim = (*fenced_at).max(*takeover_at) + RECLAIM <= now;
        let (mut fence, mut kept_back) = (false, false);
        for number in 0..books.machines.len() {
            let index = MachineIx(number as u32);
            let machine = &mut books.machines[number];
            if machine.state != MachineState::Up {
                continue;
            }
            machine.silent = !just_woke && machine.heard_at.is_none_or(|at| at + silence < now);
            if now > machine.lease_until
                && checked >= machine.lease_until
                && nobody_renews(deputies, gone, acks, &machine.name, now, lease_ms)
            {
                tracing::warn!(
                    machine = machine.name,
                    tasks = machine.attempts.len(),
                    "silent: its lease has run out"
                );
                lose(books, index, now);
                continue;
            }
            let heard = machine.heard_at.is_some_and(|at| at + silence > now);
            let in_doubt = machine.doubt > term || machine.attempts.iter().any(|a| a.fence > term);
            fence |= heard && in_doubt;
            let kept = |a: &Attempt| a.phase == Phase::Ended && a.settled && a.direct >= term;
            kept_back |= reclaim && heard && machine.attempts.iter().any(kept);
            if let Some(recall_at) = machine.recall_at {
                drain(books, index, recall_at, now);
            }
        }
        leading.fence_wanted |= fence || kept_back;
        self.check_reach();
    }

    /// Asks the other deputies about machines that are silent, in time before their leases end. A
    /// promise is asked for only when nobody seems to keep the machine alive: bound too early, a
    /// deputy refused workers that had lost the leader and found it only after trying a dead node.
    fn ask_deputies(&mut self, labels: Vec<String>) {
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.asked_deputies + ASK_DEPUTIES > now {
            return;
        }
        let Some(books) = &leading.books else { return };
        let lapsing = |label: &String, name: &String| {
            leading
                .acks
                .get(&(label.clone(), name.clone()))
                .is_some_and(|ack| ack.sent_at + ACK_FRESH > now && ack.until < now + BIND)
        };
        let machines: Vec<SilentMachine> = books
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up && m.lease_until < now + INQUIRE)
            .map(|m| SilentMachine {
                name: m.name.clone(),
                session: m.session,
                inquiry: m.lease_until > now + BIND
                    || !labels.iter().all(|label| lapsing(label, &m.name)),
            })
            .collect();
        if machines.is_empty() {
            return;
        }
        leading.asked_deputies = now;
        let (lease, term) = (leading.lease, leading.term);
        let asked_ms = self.wall;
        self.want_sync();
        for label in labels {
            self.out.push(Effect::Revoke {
                lease,
                label,
                revocation: Revocation {
                    term,
                    machines: machines.clone(),
                    asked_ms,
                },
            });
        }
    }

    pub(super) fn revoked(
        &mut self,
        lease: u64,
        label: String,
        sent_at: Millis,
        word: Option<Word>,
    ) {
        if !self.leads(lease) {
            return;
        }
        let (now, lease_ms) = (self.now, self.times.lease);
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(word) = word else { return };
        leading.reach.heard(label.clone(), word.hears, now);
        // The question was sent before that node's key was written anew: the answer may be that of a
        // process which has ended since, and binds nobody.
        if leading.came.get(&label).is_some_and(|at| sent_at <= *at) {
            return;
        }
        for renewal in word.renewals {
            // Its clock may run slower than ours.
            let age = renewal.age_ms - renewal.age_ms / 500;
            let until = (now + lease_ms).saturating_sub(age);
            let ack = Ack {
                sent_at,
                until,
                binding: !renewal.inquiry,
            };
            leading.acks.insert((label.clone(), renewal.machine), ack);
        }
        leading.acks.retain(|_, ack| ack.sent_at + 60_000 > now);
    }

    /// Asks a machine for its report, without giving orders.
    pub(super) fn probe(&mut self, name: String, addr: String) {
        let Some(leading) = &self.leading else { return };
        self.out.push(Effect::Worker {
            tag: WorkerTag {
                lease: leading.lease,
                machine: name,
                term: leading.term,
                starts: Vec::new(),
                orders: false,
            },
            addr,
            orders: None,
            timeout_ms: DIRECT_TIMEOUT,
        });
    }
}

/// Whether no other node can have renewed a machine's lease within the time it lasts.
fn nobody_renews(
    deputies: &BTreeMap<String, u64>,
    gone: &HashMap<String, Millis>,
    acks: &HashMap<(String, String), Ack>,
    machine: &str,
    now: Millis,
    lease_ms: Millis,
) -> bool {
    let gone = gone.values().all(|at| at + lease_ms < now);
    gone && deputies.keys().all(|label| {
        acks.get(&(label.clone(), machine.to_owned()))
            .is_some_and(|ack| ack.binding && ack.sent_at + ACK_FRESH > now && ack.until < now)
    })
}

fn find(books: &Books, on: MachineIx, task: TaskId, attempt: u64) -> Option<usize> {
    let job = *books.job_index.get(&task.job)?;
    books
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
fn end_session(books: &mut Books, on: MachineIx, now: Millis, listed: &[TaskReport]) {
    let machine = &mut books.machines[on.at()];
    for attempt in machine.attempts.iter_mut().filter(|a| !a.inherited) {
        attempt.outstanding = false;
        attempt.answered_at = None;
        attempt.fence = 0;
        attempt.direct = 0;
    }
    for at in (0..books.machine(on).attempts.len()).rev() {
        let machine = books.machine(on);
        let attempt = &machine.attempts[at];
        if machine.start_in_flight(attempt) {
            continue;
        }
        let task = books.job(attempt.job).task_id(attempt.task);
        let shown = listed
            .iter()
            .any(|each| each.task == task && each.attempt == u64::from(attempt.attempt));
        if !shown {
            books.drop_attempt(on, at, now);
        }
    }
}

/// Every task on the machine is surely gone.
pub(super) fn lose(books: &mut Books, on: MachineIx, now: Millis) {
    for at in (0..books.machine(on).attempts.len()).rev() {
        books.drop_attempt(on, at, now);
    }
    let machine = &mut books.machines[on.at()];
    machine.state = MachineState::Lost;
    machine.idle_since = now;
    machine.busy = false;
    // Reports of the session that has ended may still arrive.
    machine.session += 1;
    machine.seq = 0;
    books.changed = true;
}

/// Follows a report that is newer than all before. Returns what it lists and the books don't have.
fn absorb(
    books: &mut Books,
    on: MachineIx,
    report: &Report,
    now: Millis,
) -> Vec<(TaskId, u64, TaskState)> {
    let mut foreign = Vec::new();
    let mut shown = vec![false; books.machine(on).attempts.len()];
    for listed in &report.tasks {
        let Some(at) = find(books, on, listed.task, listed.attempt) else {
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
        books.machines[on.at()].attempts[at].cause = listed.cause;
        books.machines[on.at()].attempts[at].sent = true;
        books.machines[on.at()].attempts[at].inherited = false;
        let before = books.machine(on).attempts[at].phase;
        books.advance(on, at, phase, now);
        let attempt = &books.machine(on).attempts[at];
        let index = attempt.job;
        if attempt.phase == Phase::Running
            && attempt
                .running_since
                .is_some_and(|since| since + fault_attribution::RAN <= now)
            && !books.job(index).failed_on.is_empty()
        {
            books.got_somewhere(index);
        }
        if phase == Phase::Running && before < Phase::Running {
            let attempt = &books.machine(on).attempts[at];
            let job = books.job(attempt.job);
            let wait = now.saturating_sub(job.seen_at);
            tracing::debug!(
                task = %listed.task,
                attempt = listed.attempt,
                machine = report.machine,
                queued_ms = attempt.placed_at.saturating_sub(job.seen_at),
                start_ms = now.saturating_sub(attempt.placed_at),
                "runs"
            );
            books.start_waits.push(wait);
            let flow = books.flow(index);
            books.dues.standing(flow).started += 1;
        }
    }
    for at in (0..shown.len()).rev() {
        let machine = books.machine(on);
        let attempt = &machine.attempts[at];
        if shown[at] || !attempt.sent || machine.start_in_flight(attempt) {
            continue;
        }
        match attempt.phase {
            // The start was lost; it is sent again unless the task is to stop.
            Phase::Placed if attempt.stop.is_none() && !attempt.inherited => {}
            _ => books.drop_attempt(on, at, now),
        }
    }
    foreign
}

/// Deals with attempts that have ended: completes or requeues their tasks.
fn settle(books: &mut Books, on: MachineIx, now: Millis) {
    for at in 0..books.machine(on).attempts.len() {
        let machine = books.machine(on);
        let attempt = &machine.attempts[at];
        if attempt.phase != Phase::Ended || attempt.settled {
            continue;
        }
        let (job, task, number) = (attempt.job, attempt.task, attempt.attempt);
        let cause = attempt.cause.unwrap_or(Cause::Other);
        let closed = books.job(job).closed;
        let latest = books.job(job).tasks[task as usize];
        // Those inherited ran for longer than is known here.
        let ran = attempt
            .running_since
            .filter(|_| attempt.placed_at > books.since)
            .map(|since| now.saturating_sub(since));
        if cause == Cause::Done {
            if !closed && latest.status == TaskStatus::Active(on) && latest.attempt == number {
                books.complete_task(job, task);
                let flow = books.flow(job);
                books.dues.standing(flow).done += 1;
                if books.job(job).complete() {
                    books.job_completed(job, now);
                }
            }
            books.machines[on.at()].attempts[at].settled = true;
            books.machines[on.at()].failures.clear();
            books.got_somewhere(job);
            if let Some(ran) = ran {
                let (job, machine) = (&mut books.jobs[job.at()], &mut books.machines[on.at()]);
                if straggler::completed(&mut job.pace, &mut machine.pace, ran as f64 / 1000.0) {
                    books.replace(on, SLOW_PART, "is slow");
                }
            }
            continue;
        }
        // A start that may still arrive would run beside the next attempt.
        if machine.start_in_flight(attempt) {
            continue;
        }
        books.machines[on.at()].attempts[at].settled = true;
        if closed {
            continue;
        }
        books.requeue(job, task, number);
        react(books, on, job, cause, now);
    }
}

fn react(
    books: &mut Books,
    on: MachineIx,
    index: crate::cluster::JobIx,
    cause: Cause,
    now: Millis,
) {
    let machine = &mut books.machines[on.at()];
    let job = &mut books.jobs[index.at()];
    match cause {
        Cause::Done | Cause::Stopped | Cause::PeersGone | Cause::Alone => {}
        Cause::NoRoom | Cause::Busy => machine.avoid_until = now + AVOID_FULL,
        Cause::Unknown => job.not_before = now + AVOID_FULL,
        Cause::Error | Cause::Other => {
            tracing::debug!(job = %job.id, machine = machine.name, "a task failed");
            books.failed(index, on, now);
        }
    }
}

/// Whether the tasks that run on the machine take far longer than others of their jobs did.
fn drags(books: &Books, on: MachineIx, now: Millis) -> bool {
    let running = books.machine(on).attempts.iter().filter_map(|attempt| {
        let since = attempt
            .running_since
            .filter(|_| attempt.phase == Phase::Running)?;
        let ran_s = now.saturating_sub(since) as f64 / 1000.0;
        Some((&books.job(attempt.job).pace, ran_s))
    });
    straggler::drags(running)
}

/// Attempts that are to stop and whose start was never sent need no orders.
fn drop_unsent(books: &mut Books, on: MachineIx, now: Millis) {
    for at in (0..books.machine(on).attempts.len()).rev() {
        let attempt = &books.machine(on).attempts[at];
        if attempt.stop.is_some() && !attempt.sent {
            books.drop_attempt(on, at, now);
        }
    }
}

/// Moves tasks off a machine that will be taken: those that can save do so as late as is safe,
/// those that can't finish in time stop at once.
fn drain(books: &mut Books, on: MachineIx, recall_at: Millis, now: Millis) {
    let left_s = recall_at.saturating_sub(now) as f64 / 1000.0;
    for at in 0..books.machine(on).attempts.len() {
        let attempt = &books.machine(on).attempts[at];
        if attempt.phase == Phase::Ended || attempt.stop.is_some() {
            continue;
        }
        let job = books.job(attempt.job);
        let ran = attempt
            .running_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64 / 1000.0);
        let stop = if job.kind == Kind::Service {
            (left_s < 3.0).then_some(0.0)
        } else if job.checkpoint_s > 0.0 {
            (left_s < job.save_s + 4.0).then_some(job.save_s)
        } else {
            (job.estimate_s - ran > left_s).then_some(0.0)
        };
        if let Some(grace_s) = stop {
            books.stop(on, at, grace_s);
        }
    }
}

/// The orders to answer a check-in with: everything that the report shows to be missing.
fn orders_for(
    books: &mut Books,
    on: MachineIx,
    foreign: &[(TaskId, u64, TaskState)],
    first_term: u64,
    may_start: bool,
) -> Vec<Order> {
    let mut orders = Vec::new();
    let seen_us = books.machine(on).token >= first_term;
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
    for at in 0..books.machine(on).attempts.len() {
        if orders.len() >= MAX_ORDERS {
            break;
        }
        let machine = books.machine(on);
        let entry = &machine.attempts[at];
        let task = books.job(entry.job).task_id(entry.task);
        let attempt = u64::from(entry.attempt);
        match (entry.phase, entry.stop) {
            (Phase::Placed, None) => {
                let stored = books.stored(entry.job, entry.task);
                if may_start && stored && !entry.outstanding && !entry.inherited {
                    orders.push(Order::Start { task, attempt });
                    let checkins = machine.checkins;
                    let entry = &mut books.machines[on.at()].attempts[at];
                    entry.sent = true;
                    entry.answered_at = Some(checkins);
                }
            }
            (Phase::Placed, Some(_)) => {}
            // Saving already; a second order would cut it short.
            (Phase::Saving, Some(grace_s)) if grace_s > 0.0 => {}
            (Phase::Ended, _) => {
                if books.told(entry)
                    && machine.forgettable(entry)
                    && !machine.start_in_flight(entry)
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
                books.machines[on.at()].attempts[at].stop_sent = true;
            }
            (_, None) => {}
        }
    }
    orders
}

#[cfg(test)]
mod tests;
