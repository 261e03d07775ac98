//! Users' requests. Any node takes them: what counts is the job's key in the state service.

use std::collections::{HashMap, HashSet};

use crate::{
    cluster::Amounts,
    coordination::{
        Answer, Ask, AskId, Effect, Node, Progress, StateTag, admission::load_shedding::Rank,
        registry::Entry,
    },
    protocol::{
        ids::JobId,
        job::{JobStatus, JobView, Kind, Submission},
        state::{StateError, StateReply, StateRequest, Txn, Urgency, Write},
    },
    storage::{self, JobRecord},
    time::Millis,
};

const TXN_TIMEOUT: u64 = 2000;
const CHECK_TIMEOUT: u64 = 1500;
/// How often a cancellation is tried against a record that keeps changing.
const CANCEL_TRIES: u32 = 4;

/// A user's request under way.
#[derive(Debug)]
pub enum Pending {
    Poll(JobId),
    Submit(Box<Submission>),
    Cancel { id: JobId, tries: u32 },
}

impl Pending {
    fn job(&self) -> JobId {
        match self {
            Pending::Poll(id) | Pending::Cancel { id, .. } => *id,
            Pending::Submit(submission) => submission.id,
        }
    }
}

/// Requests that members answer for this node, or it for them.
#[derive(Default)]
pub struct Relay {
    /// Sent on, and not answered yet.
    sent: HashMap<AskId, JobId>,
    /// Sent here by a member: not sent on again.
    received: HashSet<AskId>,
    /// The members could not answer either.
    after: Millis,
}

/// Members that could not answer are not asked again for this long.
const RELAY_AGAIN: Millis = 1000;

enum Verdict {
    Fits,
    Unknown,
    Never(&'static str),
}

fn out_of_reach() -> Answer {
    Answer::later("the state service does not answer", 1)
}

impl Node {
    pub(super) fn answer(&mut self, id: AskId, answer: Answer) {
        self.relay.received.remove(&id);
        self.out.push(Effect::Answer(id, answer));
    }

    pub(super) fn ask(&mut self, id: AskId, mut ask: Ask) {
        if let Ask::Relayed(inner) = ask {
            self.relay.received.insert(id);
            ask = *inner;
        }
        if matches!(ask, Ask::Ready) {
            let answer = if self.ready() {
                Answer::with(200, &serde_json::json!({ "node": self.config.label }))
            } else {
                Answer::error(503, "starting")
            };
            return self.answer(id, answer);
        }
        if !self.ready() {
            return self.answer(id, Answer::later("starting", 1));
        }
        match ask {
            Ask::Submit(submission) => match self.directory.get(submission.id) {
                Some(_) => self.read(id, Pending::Submit(submission)),
                // What its user has been told of the jobs that it awaits has to be known: accepted as one
                // that waits, though one of them is cancelled, it would be called pending.
                None if !submission.awaits.is_empty() => {
                    self.after_sync(id, Pending::Submit(submission));
                }
                None => match self.verdict(&submission) {
                    Verdict::Fits => self.accept(id, submission, false),
                    // It may have been accepted elsewhere, when things looked different.
                    Verdict::Never(_) => self.after_sync(id, Pending::Submit(submission)),
                    Verdict::Unknown => self.answer(id, Answer::later("starting", 1)),
                },
            },
            Ask::Poll(job) => {
                let rank = self.rank_of_poll(job);
                if rank.is_none_or(|rank| self.bears(id, rank)) {
                    self.read(id, Pending::Poll(job));
                }
            }
            Ask::Cancel(job) => self.read(id, Pending::Cancel { id: job, tries: 0 }),
            Ask::CheckIn(_) | Ask::Ready | Ask::Relayed(_) => {
                self.answer(id, Answer::error(400, "not a user's request"))
            }
        }
    }

    /// `None`: it is answered from memory, which costs nothing worth saving.
    fn rank_of_poll(&self, job: JobId) -> Option<Rank> {
        let entry = self.directory.get(job);
        if entry.and_then(Entry::ended).is_some() {
            return None;
        }
        let view = self.view(job);
        let idle = entry.is_some() && view.running == 0 && view.done == 0;
        Some(if idle { Rank::IdlePoll } else { Rank::Poll })
    }

    /// Final states are answered from memory, everything else after a sync. A cancellation of a
    /// job that is known to be live goes straight to its key, which decides.
    fn read(&mut self, id: AskId, pending: Pending) {
        let known = self.directory.get(pending.job());
        let cancel = matches!(pending, Pending::Cancel { .. });
        if known.is_some_and(|entry| cancel || entry.ended().is_some()) {
            self.pending.insert(id, pending);
            self.resolve(id);
        } else {
            self.after_sync(id, pending);
        }
    }

    /// Answers a request now that the view is new enough.
    pub(super) fn resolve(&mut self, id: AskId) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let job = pending.job();
        let known = self.directory.get(job).cloned();
        match (known, pending) {
            (Some(Entry::Live(_)), Pending::Poll(_) | Pending::Submit(_))
            | (Some(Entry::Doomed(_) | Entry::Final(..)), _) => {
                self.admission.accepted(job, true, self.now);
                self.answer(id, Answer::with(200, &self.view(job)));
            }
            (Some(Entry::Live(live)), Pending::Cancel { id: job, tries }) => {
                if tries >= CANCEL_TRIES {
                    return self.answer(id, Answer::later("busy", 1));
                }
                self.pending.insert(
                    id,
                    Pending::Cancel {
                        id: job,
                        tries: tries + 1,
                    },
                );
                let mut txn = Txn::default();
                live.end(job, &JobRecord::Cancelled, &mut txn);
                self.state(
                    StateTag::Cancel(id),
                    StateRequest::Txn(txn),
                    Rank::Cancellation.urgency(),
                    TXN_TIMEOUT,
                );
            }
            (None, Pending::Submit(submission)) => match self.verdict(&submission) {
                Verdict::Fits => self.accept(id, submission, true),
                Verdict::Never(reason) => self.answer(id, Answer::error(422, reason)),
                Verdict::Unknown => self.answer(id, Answer::later("starting", 1)),
            },
            (None, _) => self.answer(id, Answer::error(404, "no such job")),
        }
    }

    /// The request can't be answered here now. The state service may refuse this node alone: then
    /// a member can, and the user need not come back.
    pub(super) fn refuse(&mut self, id: AskId) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let leader = self.other_leader();
        let member = self
            .config
            .members
            .iter()
            .min_by_key(|member| Some(&member.label) != leader.as_ref());
        let job = pending.job();
        let Some(member) = member else {
            return self.give_up(id, job);
        };
        if self.relay.received.contains(&id) || self.relay.after > self.now {
            return self.give_up(id, job);
        }
        let ask = match pending {
            Pending::Poll(job) => Ask::Poll(job),
            Pending::Submit(submission) => Ask::Submit(submission),
            Pending::Cancel { id: job, .. } => Ask::Cancel(job),
        };
        self.relay.sent.insert(id, job);
        self.out.push(Effect::Relay {
            id,
            label: member.label.clone(),
            ask,
        });
    }

    pub(super) fn relayed(&mut self, id: AskId, answer: Option<Answer>) {
        let Some(job) = self.relay.sent.remove(&id) else {
            return;
        };
        match answer.filter(|answer| answer.status < 500) {
            Some(answer) => {
                if answer.status < 300 {
                    self.admission.accepted(job, true, self.now);
                }
                self.answer(id, answer);
            }
            None => {
                self.relay.after = self.now + RELAY_AGAIN;
                self.give_up(id, job);
            }
        }
    }

    /// Nobody can answer now.
    fn give_up(&mut self, id: AskId, job: JobId) {
        self.admission.refused(job);
        self.answer(id, out_of_reach());
    }

    /// `synced`: the view is as new as the request.
    fn accept(&mut self, id: AskId, submission: Box<Submission>, synced: bool) {
        // What a member relays has been let in there.
        let relayed = self.relay.received.contains(&id);
        let rank = if relayed {
            Rank::Within
        } else {
            match self.let_in(id, &submission) {
                Some(rank) => rank,
                None => return,
            }
        };
        let limits = &self.config.settings.state;
        let (record, texts) = storage::live_record(self.wall, &submission, limits.value_bytes());
        let job = submission.id;
        if texts.len() >= limits.txn_ops as usize {
            // It may have been accepted when the state service took more.
            return if synced {
                self.answer(id, Answer::error(400, "too many names"))
            } else {
                self.after_sync(id, Pending::Submit(submission))
            };
        }
        let mut txn = Txn::default();
        txn.put(storage::job_key(job), 0, storage::to_value(&record));
        for (text, part) in texts.iter().zip(0..) {
            txn.writes.push(Write::Put {
                key: storage::part_key(job, part),
                value: storage::to_value(text),
                lease: None,
            });
        }
        self.pending.insert(id, Pending::Submit(submission));
        if self.sync.silent {
            return self.refuse(id);
        }
        self.state(
            StateTag::Submit {
                id,
                whole: texts.is_empty(),
            },
            StateRequest::Txn(txn),
            rank.urgency(),
            TXN_TIMEOUT,
        );
    }

    pub(super) fn submit_answered(
        &mut self,
        id: AskId,
        whole: bool,
        result: Result<StateReply, StateError>,
    ) {
        match result {
            // What is kept under several keys is read like everybody else's.
            Ok(StateReply::Committed(_)) if !whole => self.sync_again(id),
            Ok(StateReply::Committed(version)) => {
                let Some(Pending::Submit(submission)) = self.pending.remove(&id) else {
                    return;
                };
                let job = submission.id;
                self.admission.accepted(job, true, self.now);
                tracing::info!(%job, kind = ?submission.kind, class = submission.class, team = submission.team,
                    tasks = submission.tasks, cpus = submission.cpus, gpus = submission.gpus,
                    estimate_s = submission.estimate_s, awaits = ?submission.awaits, due_s = submission.deadline_s,
                    "accepted");
                let record = JobRecord::Live {
                    at_ms: self.wall,
                    spec: submission,
                };
                let change = self.directory.put_job(job, record, version);
                self.changed(change);
                self.answer(id, Answer::with(201, &self.view(job)));
            }
            // Somebody was first: another node, or an attempt of ours that seemed lost.
            Ok(StateReply::Conflict(_)) => self.sync_again(id),
            Err(StateError::NoAnswer) => {
                let Some(pending) = self.pending.get(&id) else {
                    return;
                };
                let key = storage::job_key(pending.job());
                self.state(
                    StateTag::SubmitCheck(id),
                    StateRequest::Get { key },
                    Urgency::Prompt,
                    CHECK_TIMEOUT,
                );
            }
            Err(StateError::Refused(400)) => {
                self.narrow();
                self.refuse(id);
            }
            _ => self.refuse(id),
        }
    }

    pub(super) fn submit_checked(&mut self, id: AskId, result: Result<StateReply, StateError>) {
        match result {
            Ok(StateReply::Row(_)) => self.sync_again(id),
            // Not there yet, and perhaps never: the user has to ask again.
            _ => self.refuse(id),
        }
    }

    pub(super) fn cancel_answered(&mut self, id: AskId, result: Result<StateReply, StateError>) {
        match result {
            Ok(StateReply::Committed(version)) => {
                let Some(pending) = self.pending.remove(&id) else {
                    return;
                };
                let job = pending.job();
                tracing::info!(%job, "cancelled");
                let change = self.directory.put_job(job, JobRecord::Cancelled, version);
                self.changed(change);
                self.answer(id, Answer::with(200, &self.view(job)));
            }
            Ok(StateReply::Conflict(_)) | Err(StateError::NoAnswer) => self.sync_again(id),
            _ => self.refuse(id),
        }
    }

    fn sync_again(&mut self, id: AskId) {
        if let Some(pending) = self.pending.remove(&id) {
            self.after_sync(id, pending);
        }
    }

    /// Whether the job can ever run.
    fn verdict(&self, job: &Submission) -> Verdict {
        if self.types.is_empty() {
            return Verdict::Unknown;
        }
        let Some(team) = self
            .config
            .settings
            .teams
            .iter()
            .find(|team| team.name == job.team)
        else {
            return Verdict::Never("unknown team");
        };
        let need = Amounts {
            cpus: job.cpus,
            gpus: job.gpus,
            ram_gb: job.ram_gb,
        };
        let allowed = |name: &String| job.types.as_ref().is_none_or(|only| only.contains(name));
        let fits = self.types.iter().any(|kind| {
            allowed(&kind.name)
                && job
                    .zone
                    .as_ref()
                    .is_none_or(|zone| kind.zones.contains(zone))
                && need.fits_in(&Amounts {
                    cpus: kind.cpus,
                    gpus: kind.gpus,
                    ram_gb: kind.ram_gb,
                })
        });
        if !fits {
            return Verdict::Never("a task fits no allowed machine type");
        }
        let tasks = match job.kind {
            Kind::Array => 1.0,
            Kind::Gang | Kind::Service => f64::from(job.tasks),
        };
        let over = |limit: f64, need: f64| limit > 0.0 && tasks * need > limit + 1e-6;
        if over(team.cpus_max, job.cpus) || over(team.gpus_max, job.gpus) {
            return Verdict::Never("the job needs more than its team's limit");
        }
        for awaited in &job.awaits {
            match self.directory.get(*awaited) {
                None => return Verdict::Never("awaits a job that was never accepted"),
                Some(Entry::Live(other)) if other.spec.kind == Kind::Service => {
                    return Verdict::Never("awaits a service, which is never done");
                }
                _ => {}
            }
        }
        Verdict::Fits
    }

    fn view(&self, id: JobId) -> JobView {
        let ended = self.directory.get(id).and_then(Entry::ended);
        let (done, running) = match &self.leading {
            Some(leading) => leading.counts(id),
            None => self
                .progress
                .get(&id)
                .map(|progress| (progress.done, progress.running)),
        }
        .unwrap_or_default();
        let status = ended.unwrap_or(if running > 0 {
            JobStatus::Running
        } else {
            JobStatus::Pending
        });
        JobView {
            id,
            status,
            done,
            running,
        }
    }

    pub(super) fn heard_progress(&mut self, progress: Progress) {
        if progress.term < self.directory.term {
            return;
        }
        self.deputy.leader_heard = Some(self.now);
        self.admission.heard_turns(&progress.turns, self.now);
        self.heard_leader(progress.term, progress.leader);
        self.progress = progress
            .jobs
            .into_iter()
            .map(|job| (job.job, job))
            .collect();
    }
}
