//! Quotas that cells share: the leader of each cell keeps its side, and for some teams the home's.
//!
//! All is off unless operators name this cell (`--cell`). Then no team may use anything before what this cell holds
//! has been read from the state service and its home has granted more. `bookkeeping/quota` tells why no team gets
//! above its limit; here its records are read and written, under the leader's key and on the version that each
//! replaces, and cells exchange statements a few times a second.

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;

use super::{AskId, Effect, Leading, Node, StateTag};
use crate::{
    cells::Cells,
    cluster::{Amounts, Books, Team as BookedTeam, TeamIx},
    config::Team,
    coordination::write_outcome::{Fate, TXN_TIMEOUT},
    protocol::{
        job::Kind,
        state::{Row, StateError, StateReply, StateRequest, Txn, Urgency},
    },
    quota::{
        HoldRecord, HomeRecord, Quota, QuotaError, TeamQuota,
        coordinator::Home,
        home_of,
        participant::{Demand, Holder},
        units_allowed, units_of_limit, units_used,
    },
    scheduling,
    storage::{self, json_len, to_value},
    time::Millis,
};

mod messages;
mod teams;

pub use messages::{CellAnswer, CellStatement, MembersRecord};

/// How often allocations are looked at.
const WORK: Millis = 100;
/// How often a cell tells another how it stands, and after how long an answer is no longer waited for.
const EXCHANGE: Millis = 400;
const EXCHANGE_TIMEOUT: Millis = 3000;
/// A cell without an answer for that long is told of in the log, and how often it is again.
const SILENT: Millis = 6000;
const SILENT_AGAIN: Millis = 60_000;
const PAGE: u32 = 500;
const READ_TIMEOUT: Millis = 3000;
const READ_AGAIN: Millis = 250;
/// What a transaction may hold besides its values, and a value's key and conditions.
const TXN_BYTES: usize = 60 * 1024;
const ITEM_BYTES: usize = 512;

/// A record that is being written.
enum Item {
    Members(MembersRecord),
    Home(String, HomeRecord),
    Hold(String, HoldRecord),
}

/// How reading the records goes on.
#[derive(Debug, Default)]
struct Reading {
    wanted: bool,
    asked: bool,
    after: Option<String>,
    /// After a failure: not again before.
    not_before: Millis,
}

/// A cell with which statements are exchanged.
#[derive(Debug, Default)]
struct Exchange {
    sent_at: Option<Millis>,
    waits: bool,
    answered_at: Option<Millis>,
    warned_at: Option<Millis>,
}

/// A leader's view of the quotas.
pub struct Quotas {
    own: String,
    cells: Vec<String>,
    /// All records have been read at least once.
    loaded: bool,
    reading: Reading,
    members: MembersRecord,
    members_version: u64,
    /// Cells that named this list, stored or not.
    named: BTreeSet<String>,
    homes: BTreeMap<String, Home>,
    holders: BTreeMap<String, Holder>,
    writing: Vec<Item>,
    /// Counts writes: an answer is of one of them.
    writes: u64,
    /// The key that was written last: the next write begins behind it.
    written_last: String,
    worked_at: Millis,
    exchanges: BTreeMap<String, Exchange>,
    /// Teams whose latest change is not in force everywhere.
    changing: BTreeSet<String>,
    /// Messages of other cells that were not taken.
    pub refused: u64,
    /// The log has told of a record that is too long to be stored.
    told_too_long: bool,
}

/// How the quota of a team stands in this cell.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamStatus {
    /// The team.
    pub team: String,
    /// Units of what it may use here.
    pub allocation: f64,
    /// Units of what it uses here.
    pub used: f64,
    /// The version of its quota that is known here.
    pub version: u64,
}

/// How quotas stand, as this cell's leader sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaStatus {
    /// This cell.
    pub own: String,
    /// Each team in this cell.
    pub teams: Vec<TeamStatus>,
    /// For how long the oldest change of a team whose home this is has waited to be in force.
    pub oldest_change_ms: Millis,
    /// In how many of those teams each cell is behind.
    pub behind: Vec<(String, usize)>,
    /// Messages of other cells that were not taken.
    pub refused: u64,
}

impl Quotas {
    /// Nothing is known yet.
    pub fn new(cells: &Cells) -> Self {
        let names = cells.names();
        let peers = cells.peers.keys();
        Quotas {
            own: cells.own.clone(),
            named: BTreeSet::from([cells.own.clone()]),
            cells: names,
            loaded: false,
            reading: Reading {
                wanted: true,
                ..Reading::default()
            },
            members: MembersRecord::default(),
            members_version: 0,
            homes: BTreeMap::new(),
            holders: BTreeMap::new(),
            writing: Vec::new(),
            writes: 0,
            written_last: String::new(),
            worked_at: 0,
            exchanges: peers
                .map(|name| (name.clone(), Exchange::default()))
                .collect(),
            changing: BTreeSet::new(),
            refused: 0,
            told_too_long: false,
        }
    }

    /// Takes in a record that was read.
    fn read(&mut self, row: Row, now: Millis) {
        let key = row.key.as_str();
        if key == storage::QUOTA_CELLS {
            if let Some(record) = parsed(&row) {
                self.members = record;
                self.members_version = row.version;
            }
        } else if let Some(team) = storage::parse_quota_home_key(key) {
            let Some(record) = parsed::<HomeRecord>(&row) else {
                return;
            };
            match self.homes.get_mut(team) {
                Some(home) => home.stored_as(record, row.version, now),
                None => {
                    let home = Home::new(&self.cells, record, row.version, now);
                    self.homes.insert(team.to_owned(), home);
                }
            }
        } else if let Some(team) = storage::parse_quota_hold_key(key) {
            let Some(record) = parsed::<HoldRecord>(&row) else {
                return;
            };
            match self.holders.get_mut(team) {
                Some(holder) => holder.stored_as(record, row.version),
                None => {
                    let holder = Holder::new(record, row.version);
                    self.holders.insert(team.to_owned(), holder);
                }
            }
        }
    }

    /// Whether the cells are those that this cell has stored, if it has.
    fn same_cells(&self) -> bool {
        self.members.cells.is_empty() || self.members.cells == self.cells
    }

    /// Whether this cell is the home of the team.
    fn is_home(&self, team: &str) -> bool {
        home_of(team, &self.cells) == Some(self.own.as_str())
    }

    /// Another cell named its list; whether it is the same.
    fn named_by(&mut self, cell: &str, cells: &[String]) -> bool {
        let alike = cells == self.cells && self.exchanges.contains_key(cell) && self.same_cells();
        if alike {
            self.named.insert(cell.to_owned());
        } else {
            self.refused += 1;
            tracing::error!(cell, ?cells, known = ?self.cells, "a cell that knows other cells is not heard");
        }
        alike
    }

    fn refuse(&mut self, team: &str, error: &QuotaError) {
        self.refused += 1;
        tracing::error!(team, %error, "another cell's word on a quota is not taken");
    }

    /// The record of the members, if more have named the list than is stored.
    fn members_to_write(&self) -> Option<MembersRecord> {
        let known = self.same_cells() && !self.named.is_subset(&self.members.confirmed);
        known.then(|| MembersRecord {
            cells: self.cells.clone(),
            confirmed: self.members.confirmed.union(&self.named).cloned().collect(),
        })
    }

    /// What is to be written next.
    fn items(&mut self, teams: &[Team], books: &Books, now: Millis) -> Vec<Item> {
        let mut items: Vec<Item> = self
            .members_to_write()
            .map(Item::Members)
            .into_iter()
            .collect();
        for (index, team) in books.teams.iter().enumerate() {
            let used = quota_used(&books.teams[index].booked);
            let holder = self.holders.entry(team.name.clone()).or_default();
            let record = holder.next(used);
            items.extend(record.map(|record| Item::Hold(team.name.clone(), record)));
        }
        if !self.same_cells() || !self.members.complete() {
            return items;
        }
        let configured = configured(teams);
        for (name, quota) in &configured {
            if self.is_home(name) && !self.homes.contains_key(*name) {
                let home = Home::new(&self.cells, HomeRecord::default(), 0, now);
                self.homes.insert((*name).to_owned(), home);
            }
            if let Some(home) = self.homes.get_mut(*name)
                && let Some(record) = home.next(*quota, now)
            {
                items.push(Item::Home((*name).to_owned(), record));
            }
        }
        // What a team that is no longer named holds comes back.
        for (name, home) in &mut self.homes {
            if !configured.contains_key(name.as_str())
                && let Some(record) = home.next(TeamQuota::default(), now)
            {
                items.push(Item::Home(name.clone(), record));
            }
        }
        items
    }

    /// Cells that are this one's own home hear of it without a message.
    fn talk_to_self(&mut self, books: &Books, now: Millis) {
        for (team, demand) in books.teams.iter().zip(demands(books)) {
            let Some(home) = self.homes.get_mut(&team.name) else {
                continue;
            };
            let holder = self.holders.entry(team.name.clone()).or_default();
            let heard = home.hear(&self.own, holder.position(&demand), now);
            let granted = home
                .grant(&self.own)
                .map(|grant| holder.hear(&self.own, grant));
            let outcome = heard.and(granted.unwrap_or(Ok(())));
            if let Err(error) = outcome {
                let name = team.name.clone();
                self.refuse(&name, &error);
            }
        }
    }

    /// What this cell tells the home of some teams.
    fn statement(&mut self, to: &str, books: &Books, demands: &[Demand]) -> CellStatement {
        let mut teams = Vec::new();
        for (team, demand) in books.teams.iter().zip(demands) {
            if home_of(&team.name, &self.cells) != Some(to) {
                continue;
            }
            let holder = self.holders.entry(team.name.clone()).or_default();
            teams.push((team.name.clone(), holder.position(demand)));
        }
        CellStatement {
            from: self.own.clone(),
            cells: self.cells.clone(),
            teams,
        }
    }

    /// As a home, takes another cell's statement in and answers it.
    fn stated(&mut self, statement: &CellStatement, now: Millis) -> Option<CellAnswer> {
        if !self.loaded || !self.named_by(&statement.from, &statement.cells) {
            return None;
        }
        let mut teams = Vec::new();
        for (team, position) in &statement.teams {
            let Some(home) = self.homes.get_mut(team) else {
                continue;
            };
            match home.hear(&statement.from, *position, now) {
                Ok(()) => teams.extend(
                    home.grant(&statement.from)
                        .map(|grant| (team.clone(), grant)),
                ),
                Err(error) => self.refuse(team, &error),
            }
        }
        Some(CellAnswer {
            from: self.own.clone(),
            cells: self.cells.clone(),
            teams,
        })
    }

    /// A home's answer.
    fn answered(&mut self, cell: &str, answer: CellAnswer, now: Millis) {
        if answer.from != cell || !self.named_by(cell, &answer.cells) {
            return;
        }
        if let Some(exchange) = self.exchanges.get_mut(cell) {
            exchange.answered_at = Some(now);
        }
        for (team, grant) in answer.teams {
            let holder = self.holders.entry(team.clone()).or_default();
            if let Err(error) = holder.hear(cell, grant) {
                self.refuse(&team, &error);
            }
        }
    }

    /// Tells the books what each team may use here now.
    fn apply(&self, books: &mut Books) {
        for team in &mut books.teams {
            let holder = self.holders.get(&team.name);
            let (ceiling, guarantee) = match holder {
                Some(holder) if self.loaded => (holder.ceiling(), holder.guarantee()),
                _ => (Quota::ZERO, Quota::ZERO),
            };
            let limit = amounts(ceiling);
            if limit.cpus > team.limit.cpus || limit.gpus > team.limit.gpus {
                books.changed = true;
            }
            team.limit = limit;
            team.guarantee = amounts(guarantee);
        }
    }

    /// Tells the log of changes that are in force, and of cells that are silent.
    fn tell(&mut self, now: Millis) {
        for (team, home) in &self.homes {
            match home.waiting(now) {
                Some(_) => {
                    if self.changing.insert(team.clone()) {
                        let version = home.stored().version;
                        tracing::info!(
                            team,
                            version,
                            "a quota's change is not in force everywhere yet"
                        );
                    }
                }
                None => {
                    if self.changing.remove(team) {
                        let (version, took_ms) = (home.stored().version, home.age(now));
                        tracing::info!(team, version, took_ms, "a quota's change is in force");
                    }
                }
            }
        }
        for (cell, exchange) in &mut self.exchanges {
            let since = exchange.answered_at.or(exchange.sent_at);
            let silent = since.is_some_and(|at| at + SILENT < now);
            let warned = exchange.warned_at.is_some_and(|at| at + SILENT_AGAIN > now);
            if silent && !warned {
                exchange.warned_at = Some(now);
                let behind = self
                    .homes
                    .values()
                    .filter(|home| home.behind().contains(&cell.as_str()));
                let (changes, for_ms) = (behind.count(), now.saturating_sub(since.unwrap_or(now)));
                tracing::warn!(
                    cell,
                    for_ms,
                    changes,
                    "a cell does not answer; it keeps what it holds"
                );
            }
        }
    }

    /// How quotas stand.
    pub fn status(&self, books: &Books, now: Millis) -> QuotaStatus {
        let teams = books.teams.iter().map(|team| {
            let holder = self.holders.get(&team.name);
            let allocation = holder.map_or(Quota::ZERO, Holder::allocation);
            TeamStatus {
                team: team.name.clone(),
                allocation: books.units(&amounts(allocation)),
                used: books.units(&team.booked),
                version: holder.map_or(0, |holder| holder.stored().version),
            }
        });
        let waiting = self.homes.values().filter_map(|home| home.waiting(now));
        let behind = self.cells.iter().map(|cell| {
            let homes = self.homes.values();
            let count = homes.filter(|home| home.behind().contains(&cell.as_str()));
            (cell.clone(), count.count())
        });
        QuotaStatus {
            own: self.own.clone(),
            teams: teams.collect(),
            oldest_change_ms: waiting.max().unwrap_or(0),
            behind: behind.collect(),
            refused: self.refused,
        }
    }
}

fn parsed<T: DeserializeOwned>(row: &Row) -> Option<T> {
    match serde_json::from_value(row.value.clone()) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key = row.key, %error, "a quota's record can't be read");
            None
        }
    }
}

fn amounts(quota: Quota) -> Amounts {
    Amounts {
        cpus: quota.cpus as f64 / 1000.0,
        gpus: quota.gpus as f64 / 1000.0,
        ram_gb: 0.0,
    }
}

fn quota_used(amounts: &Amounts) -> Quota {
    Quota {
        cpus: units_used(amounts.cpus),
        gpus: units_used(amounts.gpus),
    }
}

/// What operators set for each team.
fn configured(teams: &[Team]) -> BTreeMap<&str, TeamQuota> {
    let quota = |team: &Team| TeamQuota {
        guarantee: Quota {
            cpus: units_allowed(team.cpus),
            gpus: units_allowed(team.gpus),
        },
        limit: Quota {
            cpus: units_of_limit(team.cpus_max),
            gpus: units_of_limit(team.gpus_max),
        },
    };
    teams
        .iter()
        .map(|team| (team.name.as_str(), quota(team)))
        .collect()
}

/// What each team uses in this cell, what waits, and what of it can't be divided.
fn demands(books: &Books) -> Vec<Demand> {
    let mut waiting = vec![Amounts::default(); books.teams.len()];
    let mut grains = vec![Amounts::default(); books.teams.len()];
    let jobs = books.job_index.values().map(|index| books.job(*index));
    for job in jobs.filter(|job| !job.closed) {
        let (team, slots) = (job.team.at(), job.open_slots() as f64);
        waiting[team].cpus += job.need.cpus * slots;
        waiting[team].gpus += job.need.gpus * slots;
        if job.tasks.len() > job.waiting.len() + job.done as usize {
            let grain = &mut grains[team];
            grain.cpus = grain.cpus.max(job.need.cpus);
            grain.gpus = grain.gpus.max(job.need.gpus);
        }
    }
    let teams = books.teams.iter().zip(waiting).zip(grains);
    let demand = |((team, waiting), grain): ((&BookedTeam, Amounts), Amounts)| Demand {
        used: quota_used(&team.booked),
        waiting: quota_used(&waiting),
        least: least(books, team),
        grain: quota_used(&grain),
    };
    teams.map(demand).collect()
}

/// What the team's first waiting job needs at once: a gang all of it.
fn least(books: &Books, team: &BookedTeam) -> Quota {
    let Some(&(.., first)) = team.queue.first() else {
        return Quota::ZERO;
    };
    let job = books.job(first);
    let at_once = if job.kind == Kind::Gang {
        job.open_slots() as f64
    } else {
        1.0
    };
    quota_used(&Amounts {
        cpus: job.need.cpus * at_once,
        gpus: job.need.gpus * at_once,
        ram_gb: 0.0,
    })
}

impl Node {
    /// The leader's turn: reads, gives back, grants, writes and tells.
    pub(super) fn share_quotas(&mut self) {
        let Some(cells) = &self.config.cells else {
            return;
        };
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let quotas = leading.quotas.get_or_insert_with(|| Quotas::new(cells));
        let Some(books) = &mut leading.books else {
            return;
        };
        if quotas.loaded && quotas.worked_at + WORK <= now {
            quotas.worked_at = now;
            quotas.talk_to_self(books, now);
            let items = if quotas.writing.is_empty() && !quotas.reading.wanted {
                quotas.items(&self.config.settings.teams, books, now)
            } else {
                Vec::new()
            };
            quotas.apply(books);
            stop_excess(quotas, books, now);
            quotas.tell(now);
            self.write_quotas(items);
        } else if !quotas.loaded {
            quotas.apply(books);
        }
        self.read_quotas();
        self.exchange_quotas();
    }

    fn read_quotas(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let lease = leading.lease;
        let Some(quotas) = &mut leading.quotas else {
            return;
        };
        let reading = &quotas.reading;
        let may = reading.wanted && !reading.asked && reading.not_before <= self.now;
        if !may || !quotas.writing.is_empty() {
            return;
        }
        quotas.reading.asked = true;
        let request = StateRequest::List {
            prefix: storage::QUOTA,
            after: quotas.reading.after.clone(),
            limit: PAGE,
        };
        self.state(
            StateTag::Quotas { lease },
            request,
            Urgency::Vital,
            READ_TIMEOUT,
        );
    }

    pub(super) fn quotas_read(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        if !self.leads(lease) {
            return;
        }
        let now = self.now;
        let Some(quotas) = self
            .leading
            .as_mut()
            .and_then(|leading| leading.quotas.as_mut())
        else {
            return;
        };
        quotas.reading.asked = false;
        let Ok(StateReply::Page(page)) = result else {
            quotas.reading.not_before = now + READ_AGAIN;
            return;
        };
        quotas.reading.after = page.rows.last().map(|row| row.key.clone());
        for row in page.rows {
            quotas.read(row, now);
        }
        if !page.more {
            quotas.reading = Reading::default();
            quotas.loaded = true;
            if !quotas.same_cells() {
                tracing::error!(stored = ?quotas.members.cells, named = ?quotas.cells,
                    "other cells are named than are stored: nothing is granted or returned");
            }
        }
    }

    fn write_quotas(&mut self, items: Vec<Item>) {
        let state = &self.config.settings.state;
        let (most, value_bytes) = (state.txn_ops as usize, state.value_bytes());
        let Some(leading) = &mut self.leading else {
            return;
        };
        let (lease, condition) = (leading.lease, leading.condition());
        let Some(quotas) = &mut leading.quotas else {
            return;
        };
        let mut txn = Txn::only_if(condition);
        let mut bytes = 0;
        for item in quotas.in_turn(items) {
            let (key, version, value) = quotas.to_write(&item);
            let size = json_len(&value);
            if size > value_bytes {
                if !quotas.told_too_long {
                    quotas.told_too_long = true;
                    tracing::error!(key, size, "a quota's record is too long to be stored");
                }
                continue;
            }
            bytes += size + ITEM_BYTES;
            if txn.writes.len() >= most || bytes > TXN_BYTES {
                break;
            }
            quotas.written_last.clone_from(&key);
            txn.put(key, version, value);
            quotas.writing.push(item);
        }
        if txn.writes.is_empty() {
            return;
        }
        quotas.writes += 1;
        let write = quotas.writes;
        let tag = StateTag::QuotasWritten { lease, write };
        self.state(tag, StateRequest::Txn(txn), Urgency::Prompt, TXN_TIMEOUT);
    }

    pub(super) fn quotas_written(
        &mut self,
        lease: u64,
        write: u64,
        result: Result<StateReply, StateError>,
    ) {
        let Some(fate) = self.fate(lease, result) else {
            return;
        };
        let now = self.now;
        let Some(quotas) = self
            .leading
            .as_mut()
            .and_then(|leading| leading.quotas.as_mut())
        else {
            return;
        };
        if write != quotas.writes {
            return;
        }
        let items = std::mem::take(&mut quotas.writing);
        match fate {
            Fate::Stored(version) => {
                for item in items {
                    quotas.stored(item, version, now);
                }
            }
            // It may be applied, now or later: what stands is read before anything else is written.
            Fate::Doubtful => quotas.reading.wanted = true,
            Fate::Refused => {}
        }
    }

    fn exchange_quotas(&mut self) {
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let lease = leading.lease;
        let (Some(quotas), Some(books)) = (&mut leading.quotas, &leading.books) else {
            return;
        };
        if !quotas.loaded {
            return;
        }
        let due = |exchange: &Exchange| {
            let wait = if exchange.waits {
                EXCHANGE_TIMEOUT
            } else {
                EXCHANGE
            };
            exchange.sent_at.is_none_or(|at| at + wait <= now)
        };
        let peers = quotas
            .exchanges
            .iter()
            .filter(|(_, exchange)| due(exchange));
        let peers: Vec<String> = peers.map(|(cell, _)| cell.clone()).collect();
        if peers.is_empty() {
            return;
        }
        let demands = demands(books);
        for cell in peers {
            let statement = quotas.statement(&cell, books, &demands);
            if let Some(exchange) = quotas.exchanges.get_mut(&cell) {
                exchange.sent_at = Some(now);
                exchange.waits = true;
            }
            self.out.push(Effect::Exchange {
                lease,
                cell,
                statement: Box::new(statement),
            });
        }
    }

    pub(super) fn quotas_answered(&mut self, lease: u64, cell: &str, answer: Option<CellAnswer>) {
        if !self.leads(lease) {
            return;
        }
        let now = self.now;
        let Some(quotas) = self
            .leading
            .as_mut()
            .and_then(|leading| leading.quotas.as_mut())
        else {
            return;
        };
        if let Some(exchange) = quotas.exchanges.get_mut(cell) {
            exchange.waits = false;
        }
        if let Some(answer) = answer {
            quotas.answered(cell, answer, now);
        }
    }

    /// Another cell's statement. A node that does not lead does not answer it.
    pub(super) fn quotas_stated(&mut self, id: AskId, statement: &CellStatement) {
        let now = self.now;
        let entitled = self.may_start();
        let quotas = self
            .leading
            .as_mut()
            .and_then(|leading| leading.quotas.as_mut());
        let answer = quotas
            .filter(|_| entitled)
            .and_then(|quotas| quotas.stated(statement, now));
        self.out.push(Effect::Stated(id, answer));
    }

    /// How quotas stand; `None`: this node does not lead, or cells share none.
    pub(super) fn quota_status(&self) -> Option<QuotaStatus> {
        let leading = self.leading.as_ref()?;
        let (quotas, books) = (leading.quotas.as_ref()?, leading.books.as_ref()?);
        Some(quotas.status(books, self.now))
    }
}

impl Item {
    fn key(&self) -> String {
        match self {
            Item::Members(_) => storage::QUOTA_CELLS.to_owned(),
            Item::Home(team, _) => storage::quota_home_key(team),
            Item::Hold(team, _) => storage::quota_hold_key(team),
        }
    }
}

impl Quotas {
    /// Puts records in the order in which they are written, round and round by their keys: a transaction holds a few
    /// dozen, and under load the first teams have some to write each time.
    fn in_turn(&self, mut items: Vec<Item>) -> Vec<Item> {
        items.sort_by_cached_key(Item::key);
        let next = items.partition_point(|item| item.key() <= self.written_last);
        items.rotate_left(next);
        items
    }

    /// Where a record is kept, the version that it replaces, and its value.
    fn to_write(&self, item: &Item) -> (String, u64, serde_json::Value) {
        let (version, value) = match item {
            Item::Members(record) => (self.members_version, to_value(record)),
            Item::Home(team, record) => {
                let version = self.homes.get(team).map_or(0, |home| home.key_version);
                (version, to_value(record))
            }
            Item::Hold(team, record) => {
                let holder = self.holders.get(team);
                let version = holder.map_or(0, |holder| holder.key_version);
                (version, to_value(record))
            }
        };
        (item.key(), version, value)
    }

    fn stored(&mut self, item: Item, version: u64, now: Millis) {
        match item {
            Item::Members(record) => {
                self.members = record;
                self.members_version = version;
            }
            Item::Home(team, record) => {
                if let Some(home) = self.homes.get_mut(&team) {
                    home.stored_as(record, version, now);
                }
            }
            Item::Hold(team, record) => {
                if let Some(holder) = self.holders.get_mut(&team) {
                    holder.stored_as(record, version);
                }
            }
        }
    }
}

/// Stops what a team runs above what its home has told it to come down to.
fn stop_excess(quotas: &Quotas, books: &mut Books, now: Millis) {
    for index in 0..books.teams.len() as u32 {
        let team = &books.teams[TeamIx(index).at()];
        let used = quota_used(&team.booked);
        let excess = match quotas.holders.get(&team.name) {
            Some(holder) => holder.excess(used),
            None => Quota::ZERO,
        };
        if excess == Quota::ZERO {
            continue;
        }
        let name = team.name.clone();
        let victims = scheduling::above(books, TeamIx(index), &amounts(excess), now);
        if !victims.is_empty() {
            tracing::info!(
                team = name,
                tasks = victims.len(),
                "its limit was lowered: tasks give way"
            );
        }
        for (machine, at) in victims {
            let job = books.job(books.machine(machine).attempts[at].job);
            let grace_s = if job.checkpoint_s > 0.0 {
                job.save_s
            } else {
                0.0
            };
            books.stop(machine, at, grace_s);
        }
    }
}

impl Leading {
    /// Whether tasks may be placed as far as quotas go: what this cell holds is known.
    pub(super) fn quotas_known(&self) -> bool {
        self.quotas.as_ref().is_none_or(|quotas| quotas.loaded)
    }
}

#[cfg(test)]
mod tests;
