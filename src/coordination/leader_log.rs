//! The leader's notes in the state service: the log of what changed, pages, and the end of jobs.
//!
//! The store takes few writes a second, and tasks start and end far more often. So one entry of the
//! log carries all that changed since the one before, whatever jobs it belongs to. Entries live in a
//! ring of keys, each written against the version that it is known to have: a write that is applied
//! late, after its slot was used again, changes nothing. Before the ring comes round, what only the
//! oldest entries tell is told again where newer ones have room, or, of large jobs, written into pages;
//! later entries say from where on the log counts.

use std::collections::{BTreeSet, HashSet, VecDeque};

use crate::{
    cluster::{Books, JobIx, Phase},
    coordination::{
        Leading, Node, StateTag,
        write_outcome::{Fate, TXN_TIMEOUT},
    },
    protocol::{
        ids::JobId,
        state::{Condition, StateError, StateReply, StateRequest, Txn, Urgency, Write},
    },
    storage::{self, JobRecord, LogRecord, PageNumber},
    time::Millis,
};

const RETRY: Millis = 150;
/// After a write without an answer: behind a cut each try costs a slot and a question about it.
const RETRY_LOST: Millis = 500;
/// Kept below a transaction's 64 KiB.
const TXN_BYTES: usize = 48 * 1024;
/// The part of the leader's writes that the log may take.
const LOG_PART: f64 = 0.4;
/// Entries from which on the oldest are replaced.
const LONG: usize = storage::SLOTS as usize / 2;
const LONG_BYTES: usize = 256 * 1024;
/// Entries from which on that is worth writes of its own.
const PRESSED: usize = LONG * 3 / 2;
/// What the oldest entries tell is told again for jobs of up to so many tasks. Of larger ones the ring
/// could not hold all; they have pages.
const TOLD_AGAIN: usize = 4000;
/// Tasks that one write tells of at the most, and how many of those once more.
const AT_ONCE: usize = 2000;
const AGAIN: usize = 100;
/// Entries that are looked at for that.
const OLDEST: usize = 32;
/// Entries from which on pages are written for whatever the oldest tell.
const FULL: usize = LONG * 7 / 4;
/// Least time between two writes of pages, while there is room in the ring.
const PAGE_EVERY: Millis = 250;
const SWEEP: Millis = 1000;
const IMAGES_EVERY: Millis = 10_000;

/// A task that an entry names: its job's place in the books and id, and its number.
type Named = (JobIx, JobId, u32);

/// An entry that a successor would read.
struct LiveEntry {
    seq: u64,
    slot: u32,
    /// The version of the slot's key; while the entry is being written, the one before.
    version: u64,
    bytes: usize,
    names: Vec<Named>,
}

#[derive(Clone, Copy)]
enum Slot {
    /// The key's version.
    Free(u64),
    /// An entry that counts, or one whose fate is not known.
    Taken,
}

/// A write of the log under way.
struct Flush {
    entries: Vec<LiveEntry>,
    finals: Vec<(JobIx, JobId)>,
    /// The time of day that those ends tell.
    at_ms: u64,
}

/// Pages under way, each with the last entry that it covers.
struct Paging {
    /// Stretches of jobs' tasks.
    pages: Vec<(JobIx, JobId, u32)>,
    covers: u64,
}

/// A key that may have been written without our knowing; it is not written again before we know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Doubt {
    Slot(u32),
    Page(JobId, PageNumber),
    Images(usize),
}

impl Doubt {
    fn key(self) -> String {
        match self {
            Doubt::Slot(slot) => storage::slot_key(slot),
            Doubt::Page(job, page) => storage::page_key(job, page),
            Doubt::Images(part) => storage::images_key(part),
        }
    }
}

/// How the notes stand with the store.
pub struct Notes {
    slots: Vec<Slot>,
    cursor: u32,
    next_seq: u64,
    /// Entries before this one count no more.
    first: u64,
    live: VecDeque<LiveEntry>,
    live_bytes: usize,
    flush: Option<Flush>,
    flushed_at: Millis,
    flush_after: Millis,
    paging: Option<Paging>,
    paged_at: Millis,
    swept_at: Millis,
    /// Pages whose deletion is under way.
    sweeping: Vec<(JobId, PageNumber)>,
    images_at: Millis,
    /// The keys that tell of images.
    images: Vec<Slot>,
    /// Keys to ask for again, and when.
    doubts: Vec<(Millis, Doubt)>,
}

impl Default for Notes {
    fn default() -> Self {
        Notes {
            slots: vec![Slot::Free(0); storage::SLOTS as usize],
            cursor: 0,
            next_seq: 1,
            first: 1,
            live: VecDeque::new(),
            live_bytes: 0,
            flush: None,
            flushed_at: 0,
            flush_after: 0,
            paging: None,
            paged_at: 0,
            swept_at: 0,
            sweeping: Vec::new(),
            images_at: 0,
            images: Vec::new(),
            doubts: Vec::new(),
        }
    }
}

impl Notes {
    /// Goes on where the predecessors' entries end. `entries`: slot, version, record.
    /// `images`: the versions of the keys that tell of those.
    pub fn inherit(entries: &[(u32, u64, LogRecord)], images: &[u64], books: &mut Books) -> Self {
        let mut notes = Notes {
            images: images.iter().copied().map(Slot::Free).collect(),
            ..Notes::default()
        };
        for (slot, version, record) in entries {
            if let Some(known) = notes.slots.get_mut(*slot as usize) {
                *known = Slot::Free(*version);
            }
            notes.next_seq = notes.next_seq.max(record.seq + 1);
            notes.first = notes.first.max(record.first);
        }
        let mut live: Vec<_> = entries
            .iter()
            .filter(|(.., record)| record.seq >= notes.first)
            .collect();
        live.sort_by_key(|(.., record)| record.seq);
        for (slot, version, record) in live {
            let names = record.jobs.iter().filter_map(|(id, _, tasks)| {
                let index = *books.job_index.get(id)?;
                Some(tasks.iter().map(move |note| (index, *id, note.0)))
            });
            let names: Vec<Named> = names.flatten().collect();
            for &(job, _, task) in &names {
                if let Some(task) = books.jobs[job.at()].tasks.get_mut(task as usize) {
                    task.logged = record.seq;
                }
            }
            notes.add_live(LiveEntry {
                seq: record.seq,
                slot: *slot,
                version: *version,
                bytes: storage::json_len(record),
                names,
            });
            notes.cursor = slot + 1;
        }
        notes
    }

    fn add_live(&mut self, entry: LiveEntry) {
        self.slots[entry.slot as usize] = Slot::Taken;
        self.live_bytes += entry.bytes;
        self.live.push_back(entry);
    }

    /// The next slot that can be written: its number and the version of its key.
    fn next_slot(&mut self) -> Option<(u32, u64)> {
        for _ in 0..storage::SLOTS {
            let slot = self.cursor % storage::SLOTS;
            self.cursor = slot + 1;
            if let Slot::Free(version) = self.slots[slot as usize] {
                return Some((slot, version));
            }
        }
        None
    }

    /// Entries that a successor would read.
    pub fn entries(&self) -> usize {
        self.live.len()
    }

    /// Forgets the oldest entries as long as all that they tell is told elsewhere.
    fn forget(&mut self, books: &Books, held: &HashSet<JobIx>) {
        while let Some(entry) = self.live.front()
            && self.long()
            && !entry
                .names
                .iter()
                .any(|each| counts(books, held, each, entry.seq))
        {
            self.first = entry.seq + 1;
            self.live_bytes -= entry.bytes;
            self.slots[entry.slot as usize] = Slot::Free(entry.version);
            self.live.pop_front();
        }
    }

    /// Tasks of which only the oldest entries tell, as many as a write may have room for.
    fn again(&mut self, books: &Books) -> Vec<(JobIx, u32)> {
        let mut again = BTreeSet::new();
        if !self.long() {
            return Vec::new();
        }
        let held = held(books);
        self.forget(books, &held);
        for entry in self.live.iter().take(OLDEST) {
            if again.len() >= AGAIN {
                break;
            }
            for name in &entry.names {
                let &(job, _, task) = name;
                if books.stored(job, task)
                    && counts(books, &held, name, entry.seq)
                    && books.job(job).tasks.len() <= TOLD_AGAIN
                {
                    again.insert((job, task));
                }
            }
        }
        again.into_iter().collect()
    }

    fn pressed(&self) -> bool {
        self.live.len() > PRESSED
    }

    fn long(&self) -> bool {
        self.live.len() > LONG || self.live_bytes > LONG_BYTES
    }
}

/// Whether entry `seq` must not be forgotten for what it tells of a task: no later one tells of it, and
/// no page. Of a job that is over, only what may still be running counts.
fn counts(books: &Books, held: &HashSet<JobIx>, &(job, id, task): &Named, seq: u64) -> bool {
    let known = books.job_index.get(&id) == Some(&job);
    if !known || (books.job(job).closed && !held.contains(&job)) {
        return false;
    }
    let entry = books.job(job);
    let logged = entry
        .tasks
        .get(task as usize)
        .is_some_and(|task| task.logged > seq);
    let paged = entry.chunks.get((task / books.chunk_len) as usize);
    !logged && paged.is_some_and(|page| page.paged < seq)
}

/// Jobs of which something may run on a machine.
fn held(books: &Books) -> HashSet<JobIx> {
    let attempts = books.machines.iter().flat_map(|machine| &machine.attempts);
    let may_run = attempts.filter(|attempt| attempt.phase != Phase::Ended || !attempt.settled);
    may_run.map(|attempt| attempt.job).collect()
}

/// Jobs of which a worker still tells something.
fn listed(books: &Books) -> HashSet<JobIx> {
    let attempts = books.machines.iter().flat_map(|machine| &machine.attempts);
    attempts.map(|attempt| attempt.job).collect()
}

impl Node {
    /// Least time between two entries: the log takes a part of the leader's writes, and what comes
    /// meanwhile shares the next one.
    fn log_gap(&self) -> Millis {
        let writes = self.config.settings.state.write_rps * LOG_PART;
        (1000.0 / writes.max(0.1)) as Millis
    }

    /// Writes what changed, and the end of jobs whose tasks are all done.
    pub(super) fn flush(&mut self) {
        let gap = self.log_gap();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut txn = Txn::only_if(leading.condition());
        let lease = leading.lease;
        let notes = &leading.notes;
        let Some(books) = &leading.books else {
            return;
        };
        if notes.flush.is_some()
            || notes.flush_after > self.now
            || notes.flushed_at + gap > self.now
            || (books.unlogged.is_empty() && books.complete.is_empty() && !notes.pressed())
        {
            return;
        }
        let flush = Flush {
            entries: self.log(&mut txn),
            finals: self.finish(&mut txn),
            at_ms: self.wall,
        };
        let Some(leading) = self.leading.as_mut().filter(|_| !txn.writes.is_empty()) else {
            return;
        };
        leading.notes.flush = Some(flush);
        leading.notes.flushed_at = self.now;
        self.state(
            StateTag::Flush { lease },
            StateRequest::Txn(txn),
            Urgency::Prompt,
            TXN_TIMEOUT,
        );
    }

    /// Adds entries of the log to a transaction, as many as it holds and what changed fills. Where the
    /// last has room, it tells again what else only the oldest entries tell: most entries are short, as
    /// they come many times a second, and were the ring to fill up with them, nothing could start.
    fn log(&mut self, txn: &mut Txn) -> Vec<LiveEntry> {
        let limits = &self.config.settings.state;
        let ops = limits.txn_ops as usize;
        let value_bytes = limits.value_bytes();
        let mut entries: Vec<LiveEntry> = Vec::new();
        let Some(leading) = &mut self.leading else {
            return entries;
        };
        let Leading {
            notes,
            books: Some(books),
            ..
        } = leading.as_mut()
        else {
            return entries;
        };
        // First what changed, then what is told again.
        let mut tasks: Vec<_> = books.unlogged.iter().copied().take(AT_ONCE).collect();
        let changed = tasks.len();
        tasks.extend(notes.again(books));
        let mut at = 0;
        let mut bytes = 512;
        // Some writes are left for the ends of jobs: others may wait for them.
        let left = if books.complete.is_empty() {
            0
        } else {
            (ops / 4).max(1)
        };
        while at < tasks.len() && txn.writes.len() + left < ops {
            // What is told again has a write of its own only when the ring is getting full.
            if at >= changed && !(notes.pressed() && entries.is_empty()) {
                break;
            }
            let room = value_bytes.min(TXN_BYTES.saturating_sub(bytes));
            if room < value_bytes.min(4096) && !entries.is_empty() {
                break;
            }
            let Some((slot, version)) = notes.next_slot() else {
                break;
            };
            let seq = notes.next_seq;
            notes.next_seq += 1;
            let mut rest = tasks[at..].iter().copied().peekable();
            let record = storage::log_record(books, &mut rest, (seq, notes.first), room);
            let told = record
                .jobs
                .iter()
                .map(|(.., told)| told.len())
                .sum::<usize>();
            let told = &tasks[at..at + told];
            at += told.len();
            for task in told {
                books.unlogged.remove(task);
            }
            books.logging.extend(told);
            let named = |&(job, task): &(JobIx, u32)| (job, books.job(job).id, task);
            let names = told.iter().map(named).collect();
            let value = storage::to_value(&record);
            let size = value.to_string().len();
            bytes += size + 256;
            txn.put(storage::slot_key(slot), version, value);
            // Not free until the answer says so.
            notes.slots[slot as usize] = Slot::Taken;
            entries.push(LiveEntry {
                seq,
                slot,
                version,
                bytes: size,
                names,
            });
        }
        entries
    }

    /// Adds the end of jobs whose tasks are all done, and stored, to a transaction.
    fn finish(&mut self, txn: &mut Txn) -> Vec<(JobIx, JobId)> {
        let ops = self.config.settings.state.txn_ops as usize;
        let mut finals = Vec::new();
        let Some(books) = self.leading.as_mut().and_then(|l| l.books.as_mut()) else {
            return finals;
        };
        // Jobs that others wait for come first.
        let mut complete: Vec<JobIx> = books.complete.iter().copied().collect();
        complete.sort_by_key(|job| !self.directory.is_needed(books.job(*job).id));
        for job in complete {
            let entry = books.job(job);
            let Some(live) = self.directory.live_job(entry.id) else {
                books.complete.remove(&job);
                continue;
            };
            if !books.written(job) || entry.finishing {
                continue;
            }
            if txn.writes.len() + 1 + live.parts as usize > ops {
                break;
            }
            let id = entry.id;
            let at_ms = Some(self.wall);
            live.end(id, &JobRecord::Done { at_ms }, txn);
            books.jobs[job.at()].finishing = true;
            finals.push((job, id));
        }
        finals
    }

    pub(super) fn flushed(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        let lost = matches!(result, Err(StateError::NoAnswer));
        let Some(fate) = self.fate(lease, result) else {
            return;
        };
        let Some(leading) = &mut self.leading else {
            return;
        };
        let notes = &mut leading.notes;
        let (Some(flush), Some(books)) = (notes.flush.take(), &mut leading.books) else {
            return;
        };
        for (job, _) in &flush.finals {
            books.jobs[job.at()].finishing = false;
        }
        let logged = std::mem::take(&mut books.logging);
        if let Fate::Stored(version) = fate {
            books.attend(&logged);
            for entry in flush.entries {
                for &(job, id, task) in &entry.names {
                    if books.job_index.get(&id) == Some(&job)
                        && let Some(task) = books.jobs[job.at()].tasks.get_mut(task as usize)
                    {
                        task.logged = entry.seq;
                    }
                }
                notes.add_live(LiveEntry { version, ..entry });
            }
            for (_, id) in flush.finals {
                tracing::info!(job = %id, "done");
                let at_ms = Some(flush.at_ms);
                let change = self
                    .directory
                    .put_job(id, JobRecord::Done { at_ms }, version);
                self.changed(change);
            }
            return;
        }
        // What is not stored is noted again, in other slots; the late write, should it be applied
        // after all, says nothing that the later one contradicts.
        let again = logged
            .into_iter()
            .filter(|(job, _)| !books.job(*job).closed);
        books.unlogged.extend(again.collect::<Vec<_>>());
        notes.flush_after = self.now + if lost { RETRY_LOST } else { RETRY };
        if fate == Fate::Refused {
            for entry in flush.entries {
                notes.slots[entry.slot as usize] = Slot::Free(entry.version);
            }
            return;
        }
        for entry in flush.entries {
            self.check(lease, Doubt::Slot(entry.slot));
        }
        if !flush.finals.is_empty() {
            // Cancelled meanwhile, or done after all: the job's record tells.
            self.want_sync();
        }
    }

    fn check(&mut self, lease: u64, doubt: Doubt) {
        self.state(
            StateTag::Check { lease, doubt },
            StateRequest::Get { key: doubt.key() },
            Urgency::Normal,
            TXN_TIMEOUT,
        );
    }

    pub(super) fn checked(
        &mut self,
        lease: u64,
        doubt: Doubt,
        result: Result<StateReply, StateError>,
    ) {
        if !self.leads(lease) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        let version = match result {
            Ok(StateReply::Row(row)) => row.version,
            Ok(StateReply::Missing) => 0,
            // Refusals come back at once: asked again at once, each doubt would be a request after
            // the other for as long as the store is away.
            _ => {
                let again = self.now + RETRY_LOST;
                return leading.notes.doubts.push((again, doubt));
            }
        };
        match (doubt, &mut leading.books) {
            (Doubt::Slot(slot), _) => leading.notes.slots[slot as usize] = Slot::Free(version),
            (Doubt::Images(part), _) => leading.notes.images[part] = Slot::Free(version),
            (Doubt::Page(job, page), Some(books)) => books.enter_page(job, page, version),
            (Doubt::Page(..), None) => {}
        }
    }

    /// Asks again for keys whose state could not be had.
    pub(super) fn recheck(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let (now, lease) = (self.now, leading.lease);
        let doubts = &mut leading.notes.doubts;
        let due: Vec<Doubt> = doubts.iter().filter(|d| d.0 <= now).map(|d| d.1).collect();
        doubts.retain(|(at, _)| *at > now);
        for doubt in due {
            self.check(lease, doubt);
        }
    }

    /// Writes pages for what the oldest entries tell of large jobs, once the log is long, and of any job
    /// when the ring is nearly full. Forgets entries that count no more.
    pub(super) fn page(&mut self) {
        let ops = self.config.settings.state.txn_ops as usize;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let leader = leading.condition();
        let notes = &mut leading.notes;
        let Some(books) = &mut leading.books else {
            return;
        };
        let full = notes.live.len() > FULL;
        let due = notes.paged_at + PAGE_EVERY <= self.now || full;
        if notes.paging.is_some() || !notes.long() || !due {
            return;
        }
        notes.paged_at = self.now;
        let held = held(books);
        notes.forget(books, &held);
        if !notes.long() {
            return;
        }
        let mut txn = Txn::only_if(leader);
        let mut paging = Paging {
            pages: Vec::new(),
            covers: notes.next_seq - 1,
        };
        let mut bytes = 512;
        let mut seen = BTreeSet::new();
        let names = notes.live.iter().flat_map(|entry| {
            let each = entry.names.iter().map(|name| (entry.seq, *name));
            each.collect::<Vec<_>>()
        });
        for (seq, name) in names {
            if txn.writes.len() >= (ops / 2).max(1) {
                break;
            }
            let (job, id, task) = name;
            let chunk = task / books.chunk_len;
            if !counts(books, &held, &name, seq)
                || !(full || books.job(job).tasks.len() > TOLD_AGAIN)
                || !seen.insert((job, chunk))
            {
                continue;
            }
            let stands = books.job(job).chunks[chunk as usize];
            if stands.in_flight {
                continue;
            }
            let value = storage::to_value(&storage::chunk_record(books, job, chunk));
            bytes += value.to_string().len() + 256;
            if bytes > TXN_BYTES && !txn.writes.is_empty() {
                break;
            }
            let page = PageNumber::new(books.chunk_len, chunk);
            txn.put(storage::page_key(id, page), stands.version, value);
            books.jobs[job.at()].chunks[chunk as usize].in_flight = true;
            paging.pages.push((job, id, chunk));
        }
        if txn.writes.is_empty() {
            return;
        }
        notes.paging = Some(paging);
        let lease = leading.lease;
        self.state(
            StateTag::Page { lease },
            StateRequest::Txn(txn),
            Urgency::Normal,
            TXN_TIMEOUT,
        );
    }

    pub(super) fn paged(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        let Some(fate) = self.fate(lease, result) else {
            return;
        };
        let Some(leading) = &mut self.leading else {
            return;
        };
        let (Some(paging), Some(books)) = (leading.notes.paging.take(), &mut leading.books) else {
            return;
        };
        if fate == Fate::Doubtful {
            let length = books.chunk_len;
            for (_, id, chunk) in paging.pages {
                self.check(lease, Doubt::Page(id, PageNumber::new(length, chunk)));
            }
            return;
        }
        for (job, _, chunk) in paging.pages {
            let stands = &mut books.jobs[job.at()].chunks[chunk as usize];
            stands.in_flight = false;
            if let Fate::Stored(version) = fate {
                stands.version = version;
                stands.paged = paging.covers;
            }
        }
    }

    /// Tells a successor which machines hold which images: without that it would have them fetched
    /// where they are not, while users wait.
    pub(super) fn note_images(&mut self) {
        let limits = &self.config.settings.state;
        let bytes = ((limits.value_kb * 1024.0) as usize).min(TXN_BYTES);
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.notes.images_at + IMAGES_EVERY > self.now {
            return;
        }
        leading.notes.images_at = self.now;
        let (lease, condition) = (leading.lease, leading.condition());
        let Some(books) = &leading.books else { return };
        let mut writes = Vec::new();
        for (part, record) in storage::images_records(books, bytes).iter().enumerate() {
            let images = &mut leading.notes.images;
            if images.len() == part {
                images.push(Slot::Free(0));
            }
            // Whether it is stored does not matter: the next one comes soon, and none follows a newer one.
            if let Slot::Free(version) = std::mem::replace(&mut images[part], Slot::Taken) {
                let mut txn = Txn::only_if(condition.clone());
                txn.put(
                    storage::images_key(part),
                    version,
                    storage::to_value(record),
                );
                writes.push((part, txn));
            }
        }
        for (part, txn) in writes {
            self.state(
                StateTag::Images { lease, part },
                StateRequest::Txn(txn),
                Urgency::Normal,
                TXN_TIMEOUT,
            );
        }
    }

    pub(super) fn images_noted(
        &mut self,
        lease: u64,
        part: usize,
        result: Result<StateReply, StateError>,
    ) {
        match (self.fate(lease, result), &mut self.leading) {
            (Some(Fate::Stored(version)), Some(leading)) => {
                leading.notes.images[part] = Slot::Free(version);
            }
            (Some(_), _) => self.check(lease, Doubt::Images(part)),
            (None, _) => {}
        }
    }

    /// Removes the notes on jobs that are over and of which nothing can be running.
    pub(super) fn sweep(&mut self) {
        let ops = self.config.settings.state.txn_ops as usize;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let leader = leading.condition();
        let notes = &mut leading.notes;
        let Some(books) = &mut leading.books else {
            return;
        };
        if notes.swept_at + SWEEP > self.now || !notes.sweeping.is_empty() {
            return;
        }
        notes.swept_at = self.now;
        let listed = listed(books);
        let over: Vec<JobIx> = books
            .job_index
            .values()
            .copied()
            .filter(|job| {
                let entry = books.job(*job);
                entry.closed && !listed.contains(job) && entry.chunks.iter().all(|c| !c.in_flight)
            })
            .collect();
        let mut txn = Txn::only_if(leader);
        let mut sweeping = Vec::new();
        for index in over {
            let entry = books.job(index);
            let id = entry.id;
            let pages = books.pages(index);
            if pages.is_empty() {
                books.free_job(index);
                continue;
            }
            let room = ops - txn.writes.len();
            if room == 0 {
                break;
            }
            for (page, version) in pages.into_iter().take(room) {
                sweeping.push((id, page));
                let key = storage::page_key(id, page);
                txn.conditions.push(Condition {
                    key: key.clone(),
                    version,
                });
                txn.writes.push(Write::Delete { key });
            }
        }
        if txn.writes.is_empty() {
            return;
        }
        notes.sweeping = sweeping;
        let lease = leading.lease;
        self.state(
            StateTag::Sweep { lease },
            StateRequest::Txn(txn),
            Urgency::Normal,
            TXN_TIMEOUT,
        );
    }

    pub(super) fn swept(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        let Some(fate) = self.fate(lease, result) else {
            return;
        };
        let Some(leading) = &mut self.leading else {
            return;
        };
        let swept = std::mem::take(&mut leading.notes.sweeping);
        let mut doubts = Vec::new();
        let Some(books) = &mut leading.books else {
            return;
        };
        match fate {
            Fate::Stored(_) => {
                for (id, page) in swept {
                    books.enter_page(id, page, 0);
                }
            }
            // Deleted after all, or a late write of our own came in between.
            Fate::Doubtful => {
                for (id, page) in swept {
                    if let Some(chunk) = page.chunk(books.chunk_len)
                        && let Some(index) = books.job_index.get(&id)
                    {
                        books.jobs[index.at()].chunks[chunk as usize].in_flight = true;
                    }
                    doubts.push(Doubt::Page(id, page));
                }
            }
            Fate::Refused => {}
        }
        for doubt in doubts {
            self.check(lease, doubt);
        }
    }
}
