//! Jobs that await others: when they are released, how urgent they make those that they need, and
//! what is stored of those that were cancelled with one that they need.

use std::collections::{BTreeSet, HashMap};

use crate::{
    cluster::{Books, ESTIMATE_MARGIN, Pull},
    coordination::{
        Node, StateTag,
        registry::{Directory, LiveJob},
        write_outcome::{Fate, TXN_TIMEOUT},
    },
    protocol::{
        ids::JobId,
        job::Submission,
        state::{StateError, StateReply, StateRequest, Txn, Urgency},
    },
    storage::JobRecord,
    time::{Millis, millis},
};

/// Least time between two batches of ends.
const ENDS_EVERY: Millis = 500;
/// What passes between the end of a stage and the start of the next, besides its image's fetch.
const STAGE: Millis = 1500;
/// How many times to be done by are kept for a job.
const KEPT: usize = 4;

/// The leader's writes about the ends of jobs that were cancelled with one that they need.
#[derive(Default)]
pub struct Ends {
    under_way: bool,
    after: Millis,
}

impl Node {
    /// Records the ends that follow from others, a few at a time: nothing is waited for, as every node
    /// derives them by itself, but a record that says so needs no submission any more. An end is stored
    /// after or with those that it follows from.
    pub(super) fn store_ends(&mut self) {
        // Half of a transaction each time: a wide pipeline must not take the writes that others need.
        let ops = (self.config.settings.state.txn_ops / 2).max(1) as usize;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.ends.under_way || leading.ends.after > self.now {
            return;
        }
        let mut txn = Txn::only_if(leading.condition());
        for (id, job) in self.directory.doomed() {
            if !txn.writes.is_empty() && txn.writes.len() + 1 + job.parts as usize > ops {
                break;
            }
            job.end(id, &JobRecord::Cancelled, &mut txn);
        }
        if txn.writes.is_empty() {
            return;
        }
        leading.ends = Ends {
            under_way: true,
            after: self.now + ENDS_EVERY,
        };
        let lease = leading.lease;
        self.state(
            StateTag::Ends { lease },
            StateRequest::Txn(txn),
            Urgency::Normal,
            TXN_TIMEOUT,
        );
    }

    pub(super) fn ends_stored(&mut self, lease: u64, result: Result<StateReply, StateError>) {
        let Some(fate) = self.fate(lease, result) else {
            return;
        };
        if let Some(leading) = &mut self.leading {
            leading.ends.under_way = false;
        }
        // The records tell what became of it: stored, or cancelled by their users meanwhile.
        if fate != Fate::Refused {
            self.want_sync();
        }
    }

    /// Lets the books follow what jobs are made of by those that need them.
    pub(super) fn pull(&mut self, jobs: Vec<JobId>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if let Some(books) = &mut leading.books {
            pull(&self.directory, &mut leading.pulls, books, jobs, self.now);
        }
    }
}

/// Makes anew what jobs are made of by those that need them, and what follows for the jobs that they
/// need in turn, up to where nothing changes. Not recursive: pipelines may be deep. The latest first,
/// for a job is submitted after those that it awaits: so each is mostly looked at once. Returns how
/// many were looked at.
fn pull(
    directory: &Directory,
    pulls: &mut HashMap<JobId, Pull>,
    books: &mut Books,
    jobs: Vec<JobId>,
    now: Millis,
) -> usize {
    let live = |id: JobId| Some((directory.live_job(id)?.at_ms, id));
    let mut open: BTreeSet<(u64, JobId)> = jobs.into_iter().filter_map(live).collect();
    let mut looks = 0;
    while let Some((_, id)) = open.pop_last() {
        let Some(awaited) = directory.live_job(id) else {
            continue;
        };
        looks += 1;
        let pulled = pulled(books, pulls, directory.needed_by(id));
        if pulls.get(&id) == pulled.as_ref() {
            continue;
        }
        if let Some(&index) = books.job_index.get(&id) {
            let own = Pull {
                priority: awaited.spec.priority,
                finish_ms: Vec::new(),
            };
            books.pull(index, pulled.as_ref().unwrap_or(&own), now);
        }
        match pulled {
            Some(pull) => pulls.insert(id, pull),
            None => pulls.remove(&id),
        };
        open.extend(awaited.spec.awaits.iter().copied().filter_map(live));
    }
    looks
}

/// What the jobs that need a job make of it, all of them together.
fn pulled<'a>(
    books: &Books,
    pulls: &HashMap<JobId, Pull>,
    needed_by: impl Iterator<Item = (JobId, &'a LiveJob)>,
) -> Option<Pull> {
    let mut all: Option<Pull> = None;
    for (id, job) in needed_by {
        let (spec, pull) = (&job.spec, pulls.get(&id));
        let run_ms = stage_ms(books, spec);
        let own = books.due_s(&spec.class, spec.deadline_s);
        let own = own.into_iter().map(|due| job.at_ms + millis(due));
        let later = pull.map_or(&[][..], |pull| &pull.finish_ms);
        let ends = own.chain(later.iter().copied());
        let all = all.get_or_insert_with(|| Pull {
            priority: spec.priority,
            finish_ms: Vec::new(),
        });
        all.finish_ms
            .extend(ends.map(|end| end.saturating_sub(run_ms)));
        all.keep(KEPT);
        let urgent = pull.map_or(spec.priority, |pull| pull.priority.min(spec.priority));
        all.priority = all.priority.min(urgent);
    }
    all
}

/// How long a stage takes once those before it are done: its image where it is fetched slowest, and
/// its longest task.
fn stage_ms(books: &Books, spec: &Submission) -> Millis {
    let rates = books.types.iter().map(|kind| kind.fetch_gb_per_s);
    let slowest = rates.fold(f64::INFINITY, f64::min).max(0.01);
    STAGE + millis(spec.estimate_s * ESTIMATE_MARGIN + spec.image_gb / slowest)
}

#[cfg(test)]
mod tests;
