//! The owner of a node's state: a pure machine that turns commands into effects.
//!
//! [`Node::step`] takes a batch of commands and the time and returns what is to be done. It does
//! no I/O, reads no clock and draws no random numbers, so that a history can be played again.

pub mod admission;
mod fleet;
mod job_graph;
mod leader;
mod leader_log;
mod lease_renewer;
mod provisioning;
pub mod quota;
pub mod rate_limit_shares;
mod reachability;
mod registry;
mod status;
mod takeover;
mod timeouts;
mod user_requests;
mod write_outcome;

use std::collections::HashMap;

pub use admission::{Class, Counts, News, TurnTold};
pub use leader::Leading;
pub use quota::{CellAnswer, CellStatement, QuotaStatus};
pub use registry::Directory;
pub use status::Status;

use crate::{
    config::{Config, Team},
    protocol::{
        self,
        cloud::{CloudError, CloudReply, CloudRequest, MachineType},
        ids::JobId,
        job::Submission,
        state::{StateError, StateReply, StateRequest, Urgency},
        worker::{DirectOrders, Report, WorkerReply},
    },
    time::Millis,
};

/// The owner is called many times a second. After a longer gap what others sent meanwhile still lies
/// unread: for a while nobody is held to be silent for it.
const STOOD_STILL: Millis = 1000;
const AWAKE: Millis = 2000;
/// A gap of this length tells of a processor that can't follow.
const LATE: Millis = 150;

/// A request from outside that waits for its answer.
pub type AskId = u64;

/// What users, workers and the load balancer ask.
#[derive(Clone, Debug)]
pub enum Ask {
    Submit(Box<Submission>),
    Poll(JobId),
    Cancel(JobId),
    CheckIn(Box<Report>),
    Ready,
    /// A user's request that another member could not answer.
    Relayed(Box<Ask>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
}

impl Answer {
    fn with<T: serde::Serialize>(status: u16, body: &T) -> Self {
        Answer {
            status,
            body: protocol::encode(body),
            retry_after_s: None,
        }
    }

    fn error(status: u16, error: &str) -> Self {
        Answer::with(status, &serde_json::json!({ "error": error }))
    }

    /// The node can't tell now; the client should come back in `seconds`.
    fn later(error: &str, seconds: u32) -> Self {
        Answer {
            retry_after_s: Some(seconds),
            ..Answer::error(503, error)
        }
    }
}

/// How far an unfinished job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobProgress {
    pub job: JobId,
    pub done: u32,
    pub running: u32,
}

/// What the leader tells the other members now and then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    pub term: u64,
    /// The label of the node that leads.
    pub leader: String,
    pub jobs: Vec<JobProgress>,
    /// Turns that nodes have given to users who were sent away.
    pub turns: Vec<TurnTold>,
}

/// Machines that the leader has not heard of for long: it wants to know that nobody keeps them
/// alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revocation {
    pub term: u64,
    pub machines: Vec<SilentMachine>,
    /// The leader's time of day when it asked.
    pub asked_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentMachine {
    pub name: String,
    /// 0: not known.
    pub session: u64,
    /// Only a question: it binds the member to nothing.
    pub inquiry: bool,
}

/// What a member says to that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Word {
    pub renewals: Vec<Renewal>,
    /// How many workers reported to it lately.
    pub hears: usize,
}

/// How long ago a node last renewed a machine's lease, at the latest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    pub machine: String,
    pub age_ms: u64,
    /// The answer to a mere question.
    pub inquiry: bool,
}

#[derive(Debug)]
pub enum Command {
    Ask(AskId, Ask),
    State {
        tag: StateTag,
        /// When the request went out.
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    },
    Cloud {
        tag: CloudTag,
        result: Result<CloudReply, CloudError>,
    },
    Worker {
        tag: WorkerTag,
        result: Option<WorkerReply>,
    },
    Progress(Progress),
    /// What a member says of itself when it is told how far jobs are.
    News(Box<News>),
    /// The leader asks what this node has renewed, and that it renew these no more.
    Revoke(AskId, Revocation),
    /// A member's answer to that; `None`: no answer.
    Revoked {
        lease: u64,
        label: String,
        sent_at: Millis,
        word: Option<Word>,
    },
    /// A member's answer to a relayed request; `None`: no answer.
    Relayed(AskId, Option<Answer>),
    /// Another cell tells how it stands in teams whose home this cell is.
    Stated(AskId, Box<CellStatement>),
    /// Another cell's answer to a statement; `None`: no answer.
    Exchanged {
        lease: u64,
        cell: String,
        answer: Option<Box<CellAnswer>>,
    },
    /// The settings file names these teams now.
    Teams(Vec<Team>),
    Tick,
}

#[derive(Clone, Debug)]
pub enum Effect {
    Answer(AskId, Answer),
    State {
        tag: StateTag,
        request: StateRequest,
        urgency: Urgency,
        timeout_ms: u64,
    },
    Cloud {
        tag: CloudTag,
        request: CloudRequest,
        timeout_ms: u64,
    },
    Worker {
        tag: WorkerTag,
        addr: String,
        orders: Option<DirectOrders>,
        timeout_ms: u64,
    },
    Tell(Progress),
    /// What this node says of itself to the leader when that next tells it something.
    Publish(Box<News>),
    Revoke {
        lease: u64,
        label: String,
        revocation: Revocation,
    },
    Revoked(AskId, Word),
    /// Have this member answer.
    Relay {
        id: AskId,
        label: String,
        ask: Ask,
    },
    /// Tell another cell how this one stands.
    Exchange {
        lease: u64,
        cell: String,
        statement: Box<CellStatement>,
    },
    /// The answer to a statement; `None`: this node can't answer for its cell.
    Stated(AskId, Option<CellAnswer>),
    /// How much of the services' limits this node may use.
    Leading(bool),
}

/// Which request to the state service an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateTag {
    Load {
        generation: u64,
    },
    Watch {
        generation: u64,
    },
    Sync {
        generation: u64,
    },
    /// `whole`: the record is kept under one key.
    Submit {
        id: AskId,
        whole: bool,
    },
    SubmitCheck(AskId),
    Cancel(AskId),
    Grant,
    Acquire {
        lease: u64,
    },
    AcquireCheck {
        lease: u64,
    },
    Touch {
        lease: u64,
    },
    Release,
    Books {
        lease: u64,
    },
    Flush {
        lease: u64,
    },
    Check {
        lease: u64,
        doubt: leader_log::Doubt,
    },
    Page {
        lease: u64,
    },
    Fence {
        lease: u64,
    },
    FenceCheck {
        lease: u64,
    },
    Sweep {
        lease: u64,
    },
    Ends {
        lease: u64,
    },
    Types,
    Images {
        lease: u64,
        part: usize,
    },
    Table {
        lease: u64,
    },
    TableSettled {
        lease: u64,
    },
    DeputyGrant,
    DeputyPut {
        lease: u64,
    },
    DeputyTouch {
        lease: u64,
    },
    Quotas {
        lease: u64,
    },
    QuotasWritten {
        lease: u64,
        /// Which write it was.
        write: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudTag {
    Types,
    List { lease: u64 },
    Rent { lease: u64, name: String },
    Delete { lease: u64, names: Vec<String> },
}

/// Which orders a worker's answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTag {
    pub lease: u64,
    pub machine: String,
    /// The token that was sent.
    pub term: u64,
    /// The starts among the orders: task and attempt.
    pub starts: Vec<(protocol::ids::TaskId, u64)>,
    /// Orders were sent, not only a question.
    pub orders: bool,
}

/// The time, as the owner is told it.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub steady: Millis,
    /// Milliseconds since the epoch.
    pub wall: u64,
}

/// One controller node.
pub struct Node {
    config: Config,
    now: Millis,
    wall: u64,
    /// When the process last went on after it had stood still.
    woke_at: Option<Millis>,
    out: Vec<Effect>,
    directory: Directory,
    loading: registry::Loading,
    /// Counts reloads; answers to requests of an earlier one are void.
    generation: u64,
    watch: registry::Watch,
    sync: registry::Sync,
    pending: HashMap<AskId, user_requests::Pending>,
    relay: user_requests::Relay,
    types: Vec<MachineType>,
    types_asked: Option<Millis>,
    types_known_at: Option<Millis>,
    campaign: leader::Campaign,
    deputy: lease_renewer::Deputy,
    times: timeouts::Times,
    leading: Option<Box<Leading>>,
    progress: HashMap<JobId, JobProgress>,
    admission: admission::Admission,
}

impl Node {
    pub fn new(mut config: Config) -> Self {
        config.settings.state = config.settings.state.strictest();
        let times = timeouts::Times::new(&config.settings.workers, config.members.len());
        Node {
            times,
            config,
            now: 0,
            wall: 0,
            woke_at: None,
            out: Vec::new(),
            directory: Directory::default(),
            loading: registry::Loading::Needed { after: 0 },
            generation: 0,
            watch: registry::Watch::default(),
            sync: registry::Sync::default(),
            pending: HashMap::new(),
            relay: user_requests::Relay::default(),
            types: Vec::new(),
            types_asked: None,
            types_known_at: None,
            campaign: leader::Campaign::default(),
            deputy: lease_renewer::Deputy::default(),
            leading: None,
            progress: HashMap::new(),
            admission: admission::Admission::default(),
        }
    }

    /// Works through a batch of commands.
    pub fn step(&mut self, commands: impl IntoIterator<Item = Command>, now: Now) -> Vec<Effect> {
        if self.now > 0 && self.now + STOOD_STILL < now.steady {
            tracing::warn!(
                for_ms = now.steady - self.now,
                "stood still while the clocks ran on"
            );
            self.woke_at = Some(now.steady);
        }
        if self.now + LATE < now.steady {
            tracing::debug!(for_ms = now.steady - self.now, "late");
        }
        if self.now > 0 {
            self.admission
                .passed(now.steady.saturating_sub(self.now), LATE);
        }
        self.now = self.now.max(now.steady);
        self.wall = now.wall;
        for command in commands {
            self.handle(command);
        }
        self.advance();
        std::mem::take(&mut self.out)
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Ask(id, Ask::CheckIn(report)) => self.check_in(id, *report),
            Command::Ask(id, ask) => self.ask(id, ask),
            Command::State {
                tag,
                sent_at,
                result,
            } => self.state_answered(tag, sent_at, result),
            Command::Cloud { tag, result } => self.cloud_answered(tag, result),
            Command::Worker { tag, result } => self.worker_answered(tag, result),
            Command::Progress(progress) => self.heard_progress(progress),
            Command::News(news) => self.news_heard(*news),
            Command::Revoke(id, revocation) => self.revoke(id, revocation),
            Command::Revoked {
                lease,
                label,
                sent_at,
                word,
            } => self.revoked(lease, label, sent_at, word),
            Command::Relayed(id, answer) => self.relayed(id, answer),
            Command::Stated(id, statement) => self.quotas_stated(id, &statement),
            Command::Exchanged {
                lease,
                cell,
                answer,
            } => self.quotas_answered(lease, &cell, answer.map(|answer| *answer)),
            Command::Teams(teams) => self.configure(teams),
            Command::Tick => {}
        }
    }

    fn state_answered(
        &mut self,
        tag: StateTag,
        sent_at: Millis,
        result: Result<StateReply, StateError>,
    ) {
        match tag {
            StateTag::Load { generation } => self.loaded(generation, result),
            StateTag::Watch { generation } => self.watched(generation, result),
            StateTag::Sync { generation } => self.synced(generation, sent_at, result),
            StateTag::Submit { id, whole } => self.submit_answered(id, whole, result),
            StateTag::SubmitCheck(id) => self.submit_checked(id, result),
            StateTag::Cancel(id) => self.cancel_answered(id, result),
            StateTag::Grant => self.granted(sent_at, result),
            StateTag::Acquire { lease } => self.acquire_answered(lease, result),
            StateTag::AcquireCheck { lease } => self.acquire_checked(lease, result),
            StateTag::Touch { lease } => self.touched(lease, sent_at, result),
            StateTag::Release => {}
            StateTag::Books { lease } => self.books_read(lease, result),
            StateTag::Flush { lease } => self.flushed(lease, result),
            StateTag::Check { lease, doubt } => self.checked(lease, doubt, result),
            StateTag::Page { lease } => self.paged(lease, result),
            StateTag::Fence { lease } => self.fence_answered(lease, result),
            StateTag::FenceCheck { lease } => self.fence_checked(lease, result),
            StateTag::Sweep { lease } => self.swept(lease, result),
            StateTag::Ends { lease } => self.ends_stored(lease, result),
            StateTag::Types => {}
            StateTag::Images { lease, part } => self.images_noted(lease, part, result),
            StateTag::Table { lease } => self.table_stored(lease, result),
            StateTag::TableSettled { lease } => self.table_settled(lease, result),
            StateTag::DeputyGrant => self.deputy_granted(sent_at, result),
            StateTag::DeputyPut { lease } => self.deputy_put(lease, result),
            StateTag::DeputyTouch { lease } => self.deputy_touched(lease, sent_at, result),
            StateTag::Quotas { lease } => self.quotas_read(lease, result),
            StateTag::QuotasWritten { lease, write } => {
                self.quotas_written(lease, write, result);
            }
        }
    }

    /// Does what is due.
    fn advance(&mut self) {
        self.ask_types();
        self.follow();
        self.keep_deputy();
        self.campaign();
        self.lead();
        self.keep_admission();
    }

    fn state(&mut self, tag: StateTag, request: StateRequest, urgency: Urgency, timeout_ms: u64) {
        self.out.push(Effect::State {
            tag,
            request,
            urgency,
            timeout_ms,
        });
    }

    /// Whether the process stood still lately.
    fn just_woke(&self) -> bool {
        self.woke_at.is_some_and(|at| at + AWAKE > self.now)
    }

    /// Whether users can be served: the jobs are known, and so is what a machine can hold.
    pub fn ready(&self) -> bool {
        self.directory.loaded() && !self.types.is_empty()
    }
}
