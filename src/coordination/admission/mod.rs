//! Admission: what the nodes let in together, so that under overload no class starves and no node takes more
//! than its part. `docs/admission.md` has the ways that were weighed.
//!
//! `table` is the agreement, `door` what one node does by it, `order` what gives way first. Here they meet the
//! node: submissions ask at the door, nodes tell the leader what comes to them, and it stores the next table.

mod controller;
pub mod load_shedding;
pub mod quotas;

use std::collections::BTreeMap;

pub use controller::Counts;
use controller::{Door, Knock};
use load_shedding::Rank;
pub use quotas::{Class, Table};
use quotas::{Demand, Following, Parts, SETTLED};

use super::{Answer, AskId, Effect, Node, StateTag};
use crate::{
    cluster::Books,
    coordination::write_outcome::TXN_TIMEOUT,
    protocol::{
        ids::JobId,
        job::Submission,
        state::{Condition, StateError, StateReply, StateRequest, Urgency, Write},
    },
    scheduling::fair_share::Standing,
    storage,
    time::Millis,
};

const LOOK: Millis = 250;
/// How often a node says what comes to it, and for how long that counts.
const NEWS: Millis = 1000;
const NEWS_COUNTS: Millis = 6000;
/// Tables are stored this far apart: further than they need to settle, by what clocks may drift and a write that
/// was answered late may have been waited for.
const TABLES: Millis = SETTLED + 1000;
/// A part has to change by so much of its node's whole before another table is worth a write.
const WORTH: f64 = 0.05;
/// The parts of a node's share of the state service's writes that users' submissions may take: a leader's notes
/// come out of the same share.
const FOLLOWERS_PART: f64 = 0.95;
const LEADERS_PART: f64 = 0.4;
/// What is kept free in a value, and what a class takes of it at the most besides its names and parts.
const TABLE_SPARE: usize = 400;
const CLASS_BYTES: usize = 40;
/// How often the leader logs how each class is served.
const SAY: Millis = 10_000;
/// The part of a node's memory that the tasks of unfinished jobs may take on the leader, what one takes in bytes,
/// and the part of that which arrays longer than so many tasks leave to others.
const MEMORY_PART: f64 = 0.3;
const TASK_BYTES: f64 = 64.0;
const LONG_LEAVE: f64 = 0.3;
const LONG: u32 = 1000;
/// Who finds no room for his tasks comes back after this many seconds: jobs have to end first.
const TASKS_AFTER_S: u32 = 20;
/// The processor's lateness is a mean that forgets over this time, in milliseconds.
const LATENESS: f64 = 5000.0;

/// What a node says of itself to the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    pub label: String,
    /// The table that it follows.
    pub seq: u64,
    /// Submissions a second that its part of the state service's limits allows.
    pub takes: f64,
    pub late: f64,
    pub demands: Vec<(Class, f64)>,
    pub turns: Vec<TurnTold>,
    pub counts: Vec<(Class, Counts)>,
}

/// A turn that a node has given: the job, its class, and in how many milliseconds it comes up.
pub type TurnTold = (JobId, Class, u64);

#[derive(Default)]
pub struct Admission {
    door: Door,
    following: Following,
    looked_at: Millis,
    told_at: Millis,
    said_at: Millis,
    /// The part of its time in which the processor could not follow, from 0 to 1.
    late: f64,
    /// What members said last, and when.
    members: BTreeMap<String, (Millis, News)>,
    /// When a table was last stored, or may have been.
    stored_at: Millis,
    storing: bool,
}

impl Admission {
    /// A pass came `gap` after the one before; passes are due every `due`.
    pub(super) fn passed(&mut self, gap: Millis, due: Millis) {
        let late = if gap > due { gap.min(1000) as f64 } else { 0.0 };
        let part = 1.0 - (-(gap.min(1000) as f64) / LATENESS).exp();
        let now = if gap > 0 {
            late / gap.min(1000) as f64
        } else {
            0.0
        };
        self.late += (now - self.late) * part;
    }

    /// A job is known to be accepted, here or elsewhere.
    pub(super) fn accepted(&mut self, job: JobId, here: bool, now: Millis) {
        self.door.accepted(job, here, now);
    }

    pub(super) fn refused(&mut self, job: JobId) {
        self.door.refused(job);
    }

    pub(super) fn seq(&self) -> u64 {
        self.following.seq()
    }

    pub(super) fn late(&self) -> f64 {
        self.late
    }

    /// Turns that members have told of, for the others.
    pub(super) fn turns(&self, now: Millis) -> Vec<TurnTold> {
        let own = self.door.turns(now);
        let others = self.members.values().filter(|(at, _)| *at + NEWS * 2 > now);
        let others = others.flat_map(|(at, news)| {
            let age = now - at;
            let left = move |(job, class, in_ms): &TurnTold| {
                Some((*job, class.clone(), in_ms.checked_sub(age)?))
            };
            news.turns.iter().filter_map(left)
        });
        own.into_iter().chain(others).collect()
    }

    pub(super) fn heard_turns(&mut self, turns: &[TurnTold], now: Millis) {
        self.door.heard_turns(turns, now);
    }
}

impl Books {
    /// How each class stands, by name.
    pub fn named_standings(&self) -> Vec<(Class, Standing)> {
        let standings = self.dues.standings();
        let named = standings.map(|((team, class), standing)| {
            let class = Class {
                team: self.teams[team.at()].name.clone(),
                class: self.classes.name(class.0).unwrap_or_default().to_owned(),
            };
            (class, standing.clone())
        });
        named.collect()
    }
}

fn class_of(submission: &Submission) -> Class {
    Class {
        team: submission.team.clone(),
        class: submission.class.clone(),
    }
}

impl Node {
    /// Submissions a second that this node's part of the state service's limits allows, were it a follower or
    /// the leader. Those of a follower are the least that any node takes.
    fn takes(&self, leads: bool) -> f64 {
        let state = &self.config.settings.state;
        let nodes = self.config.members.len() as f64 + 1.0;
        let shares = crate::coordination::rate_limit_shares::of(nodes, leads);
        let part = if leads { LEADERS_PART } else { FOLLOWERS_PART };
        part * (shares.writes * state.write_rps).min(shares.requests * state.rps)
    }

    pub(super) fn parts(&self) -> Parts {
        let least = self.takes(false).min(self.takes(true));
        let (equal, floor) = (least, quotas::floor(least));
        let following = &self.admission.following;
        following.parts(&self.config.label, (equal, floor), self.sync.ok, self.now)
    }

    /// Whether a leader has the memory for a submission's tasks. All nodes count the same jobs, but for what came
    /// in since their last sync.
    fn has_room(&self, submission: &Submission) -> bool {
        let bytes = self.config.settings.limits.mem_mb * 1e6 * MEMORY_PART;
        let part = if submission.tasks > LONG {
            1.0 - LONG_LEAVE
        } else {
            1.0
        };
        let tasks = self.directory.tasks() + u64::from(submission.tasks);
        // One job is never too long by itself.
        tasks as f64 * TASK_BYTES <= bytes * part || self.directory.tasks() == 0
    }

    /// Whether a submission that is not known yet may go on. If not, it has been answered.
    pub(super) fn let_in(&mut self, id: AskId, submission: &Submission) -> Option<Rank> {
        if !self.has_room(submission) {
            let tasks = submission.tasks;
            tracing::debug!(job = %submission.id, tasks, "sent away: no memory for its tasks");
            let answer = Answer {
                retry_after_s: Some(TASKS_AFTER_S),
                ..Answer::error(429, "too many tasks wait")
            };
            self.answer(id, answer);
            return None;
        }
        let parts = self.parts();
        let now = self.now;
        self.admission.door.fill(&parts, now);
        let job = submission.id;
        let class = class_of(submission);
        let (after_s, turn) = match self.admission.door.knock(&class, job, now) {
            Knock::In { within } => {
                let rank = if within { Rank::Within } else { Rank::Beyond };
                if self.admission.late <= rank.bears() {
                    return Some(rank);
                }
                self.admission.door.refused(job);
                (2, true)
            }
            Knock::Away { after_s, turn } => (after_s, turn),
        };
        tracing::debug!(%job, class = class.class, team = class.team, after_s, turn, "sent away");
        let error = if turn {
            "too much comes at once: come back when told"
        } else {
            "too much comes at once: no turn can be told"
        };
        let answer = Answer {
            retry_after_s: Some(after_s),
            ..Answer::error(429, error)
        };
        self.answer(id, answer);
        None
    }

    /// Whether the processor can follow well enough for such a request. If not, it has been answered.
    pub(super) fn bears(&mut self, id: AskId, rank: Rank) -> bool {
        let bears = self.admission.late <= rank.bears();
        if !bears {
            self.answer(id, Answer::later("the processor can't follow", 5));
        }
        bears
    }

    /// A table was read, or written by this node.
    pub(super) fn table_read(&mut self) {
        let Some((table, _)) = &self.directory.table else {
            return;
        };
        if table.seq <= self.admission.seq() {
            if table.settled && table.seq == self.admission.seq() {
                let table = table.clone();
                let following = &mut self.admission.following;
                following.read(&self.config.label, table, Parts::default(), self.now);
            }
            return;
        }
        let table = table.clone();
        let parts = self.parts();
        let (whole, part) = (table.whole.round(), parts.whole().round());
        tracing::info!(seq = table.seq, whole, part, "follows a table");
        // Whoever stored it, the next may follow only once it has settled.
        self.admission.stored_at = self.now;
        let following = &mut self.admission.following;
        following.read(&self.config.label, table, parts, self.now);
    }

    /// A member has said what comes to it. Only the leader asks.
    pub(super) fn news_heard(&mut self, news: News) {
        let now = self.now;
        if self.leading.is_none() || news.label.is_empty() {
            return;
        }
        self.admission.heard_turns(&news.turns, now);
        let label = news.label.clone();
        self.admission.members.insert(label, (now, news));
    }

    /// What is due: following demand, telling of it, and on the leader the next table.
    pub(super) fn keep_admission(&mut self) {
        let now = self.now;
        if self.admission.looked_at + LOOK > now {
            return;
        }
        self.admission.looked_at = now;
        // A door that opened with a floor would be filled to its depth with that.
        if self.sync.ok.is_some() {
            let parts = self.parts();
            self.admission.door.fill(&parts, now);
        }
        self.admission.door.look(now);
        if self.admission.told_at + NEWS <= now {
            self.admission.told_at = now;
            let news = self.news();
            self.out.push(Effect::Publish(Box::new(news)));
        }
        self.store_table();
        self.say_served();
    }

    fn news(&self) -> News {
        let door = &self.admission.door;
        News {
            label: self.config.label.clone(),
            seq: self.admission.seq(),
            takes: self.takes(self.leading.is_some()),
            late: self.admission.late,
            demands: door.demand().into_iter().collect(),
            turns: door.turns(self.now),
            counts: door
                .counts()
                .map(|(class, counts)| (class.clone(), counts))
                .collect(),
        }
    }

    /// What the nodes ask for, by what they said last. One that is not heard of keeps its floor.
    fn demands(&self, floor: f64) -> BTreeMap<String, Demand> {
        let demand = |news: &News| Demand {
            takes: news.takes,
            classes: news.demands.iter().cloned().collect(),
            late: news.late,
        };
        let mut demands = BTreeMap::from([(self.config.label.clone(), demand(&self.news()))]);
        for member in &self.config.members {
            let known = self.admission.members.get(&member.label);
            let fresh = known.filter(|(at, _)| *at + NEWS_COUNTS > self.now);
            let demand = fresh.map_or(
                Demand {
                    takes: floor,
                    ..Demand::default()
                },
                |(_, news)| Demand {
                    // It may have led when it said so.
                    takes: news.takes.min(self.takes(false)),
                    ..demand(news)
                },
            );
            demands.insert(member.label.clone(), demand);
        }
        demands
    }

    /// Stores the next table, where it differs from the last by enough.
    fn store_table(&mut self) {
        let Some(leading) = &self.leading else { return };
        let admission = &self.admission;
        let since = admission.stored_at.max(leading.takeover_at);
        if leading.books.is_none() || admission.storing || !self.may_start() {
            return;
        }
        if let Some((table, version)) = &self.directory.table
            && !table.settled
            && table.seq == admission.seq()
            && since + SETTLED <= self.now
        {
            let settled = Table {
                settled: true,
                ..table.clone()
            };
            let tag = StateTag::TableSettled {
                lease: leading.lease,
            };
            return self.write_table(tag, *version, &settled);
        }
        if since + TABLES > self.now {
            return;
        }
        let (known, version) = match &self.directory.table {
            Some((table, version)) => (Some(table), *version),
            None => (None, 0),
        };
        let equal = self.takes(false).min(self.takes(true));
        let floor = quotas::floor(equal);
        let demands = self.demands(floor);
        let names: usize = demands
            .values()
            .flat_map(|demand| demand.classes.keys())
            .map(|class| class.team.len() + class.class.len())
            .max()
            .unwrap_or(0);
        let each = names + CLASS_BYTES + 12 * demands.len();
        let bytes = self.config.settings.state.value_bytes();
        let most = bytes.saturating_sub(TABLE_SPARE + 72 * demands.len()) / each;
        let seq = known.map_or(0, |table| table.seq) + 1;
        let table = quotas::split(&demands, floor, (seq, leading.term), most);
        let table = table.after(known, equal, floor);
        if known.is_some_and(|known| !table.differs(known, WORTH)) {
            return;
        }
        let lease = leading.lease;
        // From the moment that it may be applied.
        self.admission.stored_at = self.now;
        self.write_table(StateTag::Table { lease }, version, &table);
    }

    fn write_table(&mut self, tag: StateTag, version: u64, table: &Table) {
        let Some(leading) = &self.leading else { return };
        let mut txn = crate::protocol::state::Txn::only_if(leading.condition());
        txn.conditions.push(Condition {
            key: storage::TABLE.into(),
            version,
        });
        txn.writes.push(Write::Put {
            key: storage::TABLE.into(),
            value: storage::to_value(table),
            lease: None,
        });
        self.admission.storing = true;
        let request = StateRequest::Txn(txn);
        self.state(tag, request, Urgency::Normal, TXN_TIMEOUT);
    }

    /// Whatever became of that, it is read like everybody else's.
    pub(super) fn table_settled(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        self.admission.storing = false;
        if self.fate(lease, result).is_some() {
            self.want_sync();
        }
    }

    /// Whatever became of it, it is read like everybody else's: the watch tells of it.
    pub(super) fn table_stored(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        self.admission.storing = false;
        self.admission.stored_at = self.now;
        if self.fate(lease, result).is_some() {
            self.want_sync();
        }
    }

    /// One line for each class now and then: how it is served, as far as this leader and its members know.
    fn say_served(&mut self) {
        let now = self.now;
        let Some(leading) = &self.leading else { return };
        let Some(books) = &leading.books else { return };
        if self.admission.said_at + SAY > now {
            return;
        }
        self.admission.said_at = now;
        let served = self.served();
        let standings: BTreeMap<Class, Standing> = books.named_standings().into_iter().collect();
        for (class, counts) in &served {
            let standing = standings.get(class).cloned().unwrap_or_default();
            tracing::info!(
                team = class.team,
                class = class.class,
                came = counts.came,
                accepted = counts.accepted,
                in_time = counts.in_time,
                sent_away = counts.sent_away,
                no_turn = counts.no_turn,
                given_up = counts.given_up,
                waiting = standing.waiting,
                oldest_ms = standing.oldest,
                started = standing.started,
                done = standing.done,
                gave_way = standing.gave_way,
                jobs_done = standing.jobs_done,
                jobs_in_time = standing.jobs_in_time,
                due = standing.due.round(),
                got = standing.got.round(),
                "served"
            );
        }
    }

    pub(super) fn served_here(&self) -> Vec<(Class, Counts)> {
        let counts = self.admission.door.counts();
        counts
            .map(|(class, counts)| (class.clone(), counts))
            .collect()
    }

    /// Counts of all nodes that are heard of, by class.
    fn served(&self) -> BTreeMap<Class, Counts> {
        let mut served: BTreeMap<Class, Counts> = BTreeMap::new();
        let own = self.served_here().into_iter();
        let members = self.admission.members.values();
        let others = members.flat_map(|(_, news)| news.counts.iter().cloned());
        for (class, counts) in own.chain(others) {
            served.entry(class).or_default().add(&counts);
        }
        served
    }
}

#[cfg(test)]
mod tests;
