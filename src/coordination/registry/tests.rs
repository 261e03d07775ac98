use std::collections::BTreeSet;

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

use serde_json::Value;

use super::*;
use crate::{
    protocol::{
        job::{JobStatus, Submission},
        state::Txn,
    },
    storage::{self, JobRecord},
};

fn spec(id: u64, awaits: &[u64]) -> Box<Submission> {
    let spec = serde_json::json!({
        "id": JobId(id), "lane": "any", "crew": "red", "shape": "array",
        "urgency": "standard", "pieces": 1, "cpus": 2.0, "gpus": 0.0, "ram_gb": 1.0,
        "builds": null, "yard": null, "together": false, "apart": false, "loaners": true,
        "kit": "img", "size_gb": 0.1, "guess_s": 10.0, "bookmark_s": 0.0, "stash_s": 0.0,
        "awaits": awaits.iter().map(|id| JobId(*id)).collect::<Vec<_>>(),
    });
    serde_json::from_value(spec).expect("a submission")
}

fn live(id: u64, awaits: &[u64]) -> JobRecord {
    let spec = spec(id, awaits);
    JobRecord::Live { at_ms: id, spec }
}

fn put(directory: &mut JobRegistry, id: u64, record: JobRecord) -> Vec<u64> {
    match directory.put_job_record(JobId(id), record, 1) {
        RegistryChange::Jobs(jobs) => jobs.into_iter().map(|id| id.0).collect(),
        _ => Vec::new(),
    }
}

/// Pipelines of any shape, whose records come in any order: whoever has read them all says the same,
/// and what it says is what follows from them.
#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn dependency_outcomes_do_not_depend_on_read_order() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(1..30u64);
        let mut awaits: Vec<Vec<u64>> = Vec::new();
        let mut ends: Vec<Option<JobRecord>> = Vec::new();
        for id in 0..count {
            let all: BTreeSet<u64> = (0..rng.random_range(0..4))
                .map(|_| rng.random_range(0..id.max(1)))
                .filter(|_| id > 0)
                .collect();
            let over = |each: &u64| matches!(ends[*each as usize], Some(JobRecord::Done { .. }));
            let can_end = all.iter().all(over);
            ends.push(match rng.random_range(0..4) {
                0 => Some(JobRecord::Cancelled),
                1 | 2 if can_end => Some(JobRecord::Done {
                    at_ms: Some(1000 + id),
                }),
                _ => None,
            });
            awaits.push(all.into_iter().collect());
        }
        let mut records = Vec::new();
        for id in 0..count {
            records.push((id, live(id, &awaits[id as usize])));
            records.extend(ends[id as usize].clone().map(|end| (id, end)));
        }
        records.shuffle(&mut rng);
        let mut directory = JobRegistry::default();
        for (id, record) in records {
            put(&mut directory, id, record);
        }
        let mut cancelled: Vec<bool> = Vec::new();
        for id in 0..count {
            let own = &awaits[id as usize];
            let ended = match &ends[id as usize] {
                Some(JobRecord::Done { .. }) => Some(JobStatus::Done),
                Some(_) => Some(JobStatus::Cancelled),
                None if own.iter().any(|each| cancelled[*each as usize]) => {
                    Some(JobStatus::Cancelled)
                }
                None => None,
            };
            cancelled.push(ended == Some(JobStatus::Cancelled));
            let entry = directory.get(JobId(id)).expect("it was read");
            assert_eq!(entry.final_status(), ended, "job {id}, seed {seed}");
            let RegisteredJob::Live(job) = entry else {
                continue;
            };
            let done = |each: &&u64| ends[**each as usize].is_none();
            assert_eq!(
                job.dependencies_left,
                own.iter().filter(done).count(),
                "job {id}, seed {seed}"
            );
            if job.dependencies_left == 0 {
                let last = own.iter().map(|each| 1000 + each).max();
                assert_eq!(
                    job.released_at_ms,
                    last.unwrap_or(id),
                    "job {id}, seed {seed}"
                );
            }
        }
        // Each stands behind a cancelled one that it needs, or that one's record says so.
        let doomed: Vec<JobId> = directory
            .jobs_cancelled_by_dependency()
            .map(|(id, _)| id)
            .collect();
        for (at, id) in doomed.iter().enumerate() {
            let follows = |each: &u64| {
                let stored = matches!(ends[*each as usize], Some(JobRecord::Cancelled));
                stored || doomed[..at].contains(&JobId(*each))
            };
            assert!(
                awaits[id.0 as usize].iter().any(follows),
                "{id}, seed {seed}"
            );
        }
    }
}

/// However deep or wide: no recursion, and each job is looked at once.
#[test]
fn cancellation_propagates_through_deep_and_wide_job_graphs_at_once() {
    const JOBS: u64 = 50_000;
    for wide in [false, true] {
        let mut directory = JobRegistry::default();
        put(&mut directory, 0, live(0, &[]));
        for id in 1..JOBS {
            let before = if wide { 0 } else { id - 1 };
            put(&mut directory, id, live(id, &[before]));
        }
        let changed = put(&mut directory, 0, JobRecord::Cancelled);
        assert_eq!(changed.len() as u64, JOBS);
        let last = directory
            .get(JobId(JOBS - 1))
            .and_then(RegisteredJob::final_status);
        assert_eq!(last, Some(JobStatus::Cancelled));
        // One that comes later and names any of them.
        assert_eq!(put(&mut directory, JOBS, live(JOBS, &[JOBS - 1])), [JOBS]);
        let last = directory
            .get(JobId(JOBS))
            .and_then(RegisteredJob::final_status);
        assert_eq!(last, Some(JobStatus::Cancelled));
    }
}

/// Whatever comes later, late or twice.
#[test]
fn final_job_status_never_changes() {
    let done = || JobRecord::Done { at_ms: Some(5) };
    let others = || vec![live(1, &[]), done(), JobRecord::Cancelled];
    for (end, status) in [
        (done(), JobStatus::Done),
        (JobRecord::Cancelled, JobStatus::Cancelled),
    ] {
        let mut directory = JobRegistry::default();
        put(&mut directory, 1, live(1, &[]));
        put(&mut directory, 1, end);
        for other in others() {
            put(&mut directory, 1, other);
            let ended = directory
                .get(JobId(1))
                .and_then(RegisteredJob::final_status);
            assert_eq!(ended, Some(status));
        }
    }
}

/// The keys of a long record are read page by page, in any order, and its end may come first.
#[test]
fn split_record_is_registered_once_all_parts_are_read() {
    let mut job = spec(7, &[]);
    job.types = Some((0..60).map(|n| format!("{n:0>60}")).collect());
    let (record, texts) = storage::live_job_record(5, &job, 2048);
    assert!(texts.len() > 1);
    let keys: Vec<(String, Value)> = texts
        .iter()
        .zip(0..)
        .map(|(text, part)| {
            (
                storage::job_part_key(JobId(7), part),
                storage::to_value(text),
            )
        })
        .chain([(storage::job_key(JobId(7)), storage::to_value(&record))])
        .collect();
    for first in 0..keys.len() {
        let mut directory = JobRegistry::default();
        let mut order = keys.clone();
        order.rotate_left(first);
        for (at, (key, value)) in order.into_iter().enumerate() {
            assert_eq!(directory.get(JobId(7)).is_some(), at == keys.len());
            directory.put_row(&key, value, 3);
        }
        let entry = directory.live_job(JobId(7)).expect("all is read");
        assert_eq!((&*entry.spec, entry.version), (&*job, 3));
        let mut txn = Txn::default();
        entry.append_outcome(JobId(7), &JobRecord::Cancelled, &mut txn);
        assert_eq!(txn.writes.len(), keys.len(), "all of them go with it");
    }
    let mut directory = JobRegistry::default();
    put(&mut directory, 7, JobRecord::Cancelled);
    for (key, value) in keys {
        directory.put_row(&key, value, 3);
    }
    let ended = directory
        .get(JobId(7))
        .and_then(RegisteredJob::final_status);
    assert_eq!(ended, Some(JobStatus::Cancelled));
    assert!(directory.partial_records.is_empty());
}

/// Each node keeps an entry for every job there ever was.
#[test]
fn ended_job_keeps_little_memory() {
    assert!(
        size_of::<RegisteredJob>() <= 24,
        "{} bytes",
        size_of::<RegisteredJob>()
    );
}
