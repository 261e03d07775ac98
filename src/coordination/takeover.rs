//! Taking over: the books rebuilt from the jobs and from the predecessors' notes.

use std::collections::{BTreeMap, HashSet};

use super::{Leading, Node, StateTag};
use crate::{
    cluster::{Amounts, Attempt, Books, JobIx, MachineState, Phase, TypeIx},
    coordination::leader_log::Notes,
    protocol::{
        ids::JobId,
        job::{Kind, Priority, Submission},
        state::{Row, StateError, StateReply, StateRequest, Urgency},
    },
    storage::{
        self, ChunkRecord, ImagesRecord, JobNote, LogRecord, MachineNote, Note, PageNumber,
        TaskNote,
    },
    time::Millis,
};

const PAGE: u32 = 200;

/// What has been read of the predecessors' notes.
#[derive(Default)]
pub struct Found {
    /// Job, number, version, record.
    pages: Vec<(JobId, PageNumber, u64, ChunkRecord)>,
    /// Slot, version, record.
    entries: Vec<(u32, u64, LogRecord)>,
    images: Vec<ImagesRecord>,
    /// The versions of their keys, which are numbered from 0 on.
    images_versions: Vec<u64>,
    last_key: Option<String>,
    /// All has been read.
    complete: bool,
}

impl Found {
    fn add(&mut self, row: Row) {
        if let Some((id, page)) = storage::parse_page_key(&row.key) {
            match serde_json::from_value(row.value) {
                Ok(record) => self.pages.push((id, page, row.version, record)),
                Err(error) => tracing::error!(key = row.key, %error, "a page can't be read"),
            }
        } else if let Some(slot) = storage::parse_slot_key(&row.key) {
            // The version of a slot counts even if what it holds means nothing.
            let record = serde_json::from_value(row.value).unwrap_or_else(|error| {
                tracing::error!(key = row.key, %error, "an entry can't be read");
                LogRecord {
                    seq: 0,
                    first: 0,
                    machines: Vec::new(),
                    jobs: Vec::new(),
                }
            });
            self.entries.push((slot, row.version, record));
        } else if storage::is_images_key(&row.key) {
            self.images_versions.push(row.version);
            match serde_json::from_value(row.value) {
                Ok(record) => self.images.push(record),
                Err(error) => tracing::error!(key = row.key, %error, "images can't be read"),
            }
        }
        self.last_key = Some(row.key);
    }
}

/// The latest that notes say of a task: its attempt, and where that may be.
struct Latest<'a> {
    attempt: u32,
    rank: u8,
    on: Option<&'a MachineNote>,
}

/// What notes say of a job.
struct Noted<'a> {
    job: &'a JobNote,
    tasks: BTreeMap<u32, Latest<'a>>,
}

impl<'a> Noted<'a> {
    fn merge(&mut self, tasks: &[TaskNote], machines: &'a [MachineNote]) {
        for &TaskNote(index, attempt, note) in tasks {
            let on = match note {
                Note::On(at) => match machines.get(at as usize) {
                    Some(machine) => Some(machine),
                    None => continue,
                },
                _ => None,
            };
            let latest = Latest {
                attempt,
                rank: note.rank(),
                on,
            };
            match self.tasks.get_mut(&index) {
                Some(known) if (known.attempt, known.rank) >= (attempt, latest.rank) => {}
                Some(known) => *known = latest,
                None => {
                    self.tasks.insert(index, latest);
                }
            }
        }
    }
}

/// Puts pages and those entries that count together, job by job.
fn merged(found: &Found) -> BTreeMap<JobId, Noted<'_>> {
    let first = found.entries.iter().map(|(.., record)| record.first).max();
    let mut jobs: BTreeMap<JobId, Noted> = BTreeMap::new();
    for (id, _, _, record) in &found.pages {
        let noted = jobs.entry(*id).or_insert_with(|| Noted {
            job: &record.job,
            tasks: BTreeMap::new(),
        });
        noted.merge(&record.tasks, &record.machines);
    }
    for (.., record) in &found.entries {
        if first.is_some_and(|first| record.seq < first) {
            continue;
        }
        for (id, job, tasks) in &record.jobs {
            let noted = jobs.entry(*id).or_insert_with(|| Noted {
                job,
                tasks: BTreeMap::new(),
            });
            noted.merge(tasks, &record.machines);
        }
    }
    jobs
}

impl Node {
    pub(super) fn read_books(&mut self) {
        let Some(leading) = &self.leading else { return };
        let lease = leading.lease;
        let after = leading.found.last_key.clone();
        self.state(
            StateTag::Books { lease },
            StateRequest::List {
                prefix: storage::BOOKS,
                after,
                limit: PAGE,
            },
            Urgency::Vital,
            3000,
        );
    }

    pub(super) fn books_read(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        if !self.leads(lease) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        if let Ok(StateReply::Page(page)) = result {
            for row in page.rows {
                leading.found.add(row);
            }
            if !page.more {
                leading.found.complete = true;
                return self.make_books();
            }
        }
        self.read_books();
    }

    /// Rebuilds the books, once all notes have been read and a sync sent since the takeover has told
    /// which jobs there are: what predecessors noted of a job that is not known to be live would be taken
    /// for a job that is over, and a job that is not known to be released would be missing. Whatever
    /// they placed and did not see through may be running.
    pub(super) fn make_books(&mut self) {
        let synced = self.sync.ok;
        let Some(mut leading) = self.leading.take_if(|leading| {
            let known = synced.is_some_and(|at| at >= leading.takeover_at);
            leading.books.is_none() && leading.found.complete && known
        }) else {
            return;
        };
        let mut books = Books::new(&self.config.settings, &self.types);
        books.since = self.now;
        books.settled_at = self.now + self.times.settle;
        books.set_time_of_day(self.now, self.wall);
        let mut live: Vec<_> = self.directory.live().collect();
        live.sort_by_key(|(id, job)| (job.released_ms, *id));
        let mut needed = Vec::new();
        for (_, job) in live {
            needed.extend(&job.spec.awaits);
            if job.left == 0 {
                books.add_released(&job.spec, (job.at_ms, job.released_ms), self.now);
                if job.spec.kind == Kind::Service {
                    let need = Amounts {
                        cpus: job.spec.cpus,
                        gpus: job.spec.gpus,
                        ram_gb: job.spec.ram_gb,
                    };
                    let autoscaler = &mut leading.renting.autoscaler;
                    autoscaler.arrived(need, job.spec.tasks as usize, job.at_ms);
                }
            }
        }
        let mut found = std::mem::take(&mut leading.found);
        for record in std::mem::take(&mut found.images) {
            let ImagesRecord {
                images,
                machines,
                at_fault,
            } = record;
            // Their tasks would fail all over the fleet once more.
            for id in at_fault {
                if let Some(&job) = books.job_index.get(&id) {
                    books.jobs[job.at()].at_fault = true;
                }
            }
            for (machine, held) in machines {
                let held_images = images
                    .iter()
                    .enumerate()
                    .take(storage::IMAGES_TOLD)
                    .filter(|(bit, _)| held >> bit & 1 == 1);
                let replace = held & storage::TO_BE_REPLACED != 0;
                books.remember(
                    machine,
                    held_images.map(|(_, image)| image.clone()),
                    replace,
                );
            }
        }
        let mut closing = Vec::new();
        let paged: HashSet<JobId> = found.pages.iter().map(|(id, ..)| *id).collect();
        for (id, noted) in merged(&found) {
            let job = match books.job_index.get(&id) {
                Some(&known) => known,
                None => {
                    // Of a job that is over only what may still be running counts, and its pages,
                    // which are to be removed.
                    let active = noted.tasks.values().any(|latest| latest.on.is_some());
                    if !active && !paged.contains(&id) {
                        continue;
                    }
                    let Some(job) = over(&mut books, id, noted.job, self.now) else {
                        continue;
                    };
                    closing.push(job);
                    job
                }
            };
            enter(&mut books, job, noted, &leading);
        }
        for &(id, page, version, _) in &found.pages {
            books.enter_page(id, page, version);
        }
        leading.notes = Notes::inherit(&found.entries, &found.images_versions, &mut books);
        for job in closing {
            books.close_job(job);
        }
        // All of this comes from the store.
        books.unlogged.clear();
        let active = books
            .machines
            .iter()
            .map(|m| m.attempts.len())
            .sum::<usize>();
        tracing::info!(
            term = leading.term,
            jobs = books.job_index.len(),
            machines = books.machines.len(),
            entries = found.entries.len(),
            pages = found.pages.len(),
            active,
            "books rebuilt"
        );
        // Whoever was not a deputy any more at the takeover renewed nothing since; those who are
        // will be asked. A report answered while the books were made counts until now.
        let until = self.now + self.times.lease;
        for machine in &mut books.machines {
            machine.lease_until = until;
        }
        leading.books = Some(books);
        self.leading = Some(leading);
        self.pull(needed);
        self.list_machines();
    }
}

/// Enters a job that is over, known only by its notes: what is left of it has to be stopped, and
/// counts until then.
pub(super) fn over(books: &mut Books, id: JobId, noted: &JobNote, now: Millis) -> Option<JobIx> {
    let spec = Submission {
        id,
        class: String::new(),
        team: noted.team.clone(),
        kind: Kind::Array,
        priority: Priority::Low,
        tasks: noted.of,
        cpus: noted.cpus,
        gpus: noted.gpus,
        ram_gb: noted.ram_gb,
        image: String::new(),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    };
    books.add_job(&spec, 0, now)
}

/// Enters what predecessors noted of a job's tasks.
fn enter(books: &mut Books, job: JobIx, noted: Noted, leading: &Leading) {
    for (index, latest) in noted.tasks {
        if index as usize >= books.job(job).tasks.len() {
            continue;
        }
        books.jobs[job.at()].tasks[index as usize].attempt = latest.attempt;
        let Some(note) = latest.on else {
            if latest.rank == Note::Done.rank() {
                books.complete_task(job, index);
            }
            continue;
        };
        let kind = TypeIx(books.type_names.get(&note.kind).unwrap_or(0));
        let zone = books.zone(&note.zone);
        let machine = books.add_machine(&note.name, kind, zone, note.spot, leading.takeover_at);
        books.machines[machine.at()].addr = note.addr.clone();
        books.machines[machine.at()].state = MachineState::Up;
        books.book(
            Attempt {
                job,
                task: index,
                attempt: latest.attempt,
                phase: Phase::Placed,
                cause: None,
                placed_at: leading.takeover_at,
                running_since: None,
                sent: true,
                inherited: true,
                outstanding: false,
                answered_at: None,
                fence: leading.first_term,
                stop: None,
                stop_sent: false,
                settled: false,
                direct: leading.first_term - 1,
                owed: false,
            },
            machine,
        );
    }
}

#[cfg(test)]
mod tests;
