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

fn spec(id: u64, dependencies: &[u64]) -> Box<Submission> {
    let spec = serde_json::json!({
        "id": JobId(id), "lane": "any", "crew": "red", "shape": "array",
        "urgency": "standard", "pieces": 1, "cpus": 2.0, "gpus": 0.0, "ram_gb": 1.0,
        "builds": null, "yard": null, "together": false, "apart": false, "loaners": true,
        "kit": "img", "size_gb": 0.1, "guess_s": 10.0, "bookmark_s": 0.0, "stash_s": 0.0,
        "awaits": dependencies.iter().map(|id| JobId(*id)).collect::<Vec<_>>(),
    });
    serde_json::from_value(spec).expect("a submission")
}

fn live(id: u64, dependencies: &[u64]) -> JobRecord {
    let spec = spec(id, dependencies);
    JobRecord::Live { at_ms: id, spec }
}

fn put(registry: &mut JobRegistry, id: u64, record: JobRecord) -> Vec<u64> {
    match registry.put_job_record(JobId(id), record, 1) {
        RegistryChange::Jobs(jobs) => jobs.into_iter().map(|id| id.0).collect(),
        _ => Vec::new(),
    }
}

/// The records of random job graphs are read in random order. Once all are read, the registry's result
/// has to be the one that follows from the records, whatever their order.
#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn dependency_outcomes_do_not_depend_on_read_order() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(1..30u64);
        let mut dependencies: Vec<Vec<u64>> = Vec::new();
        let mut outcomes: Vec<Option<JobRecord>> = Vec::new();
        for id in 0..count {
            let chosen: BTreeSet<u64> = (0..rng.random_range(0..4))
                .map(|_| rng.random_range(0..id.max(1)))
                .filter(|_| id > 0)
                .collect();
            let is_done = |id: &u64| matches!(outcomes[*id as usize], Some(JobRecord::Done { .. }));
            let can_be_done = chosen.iter().all(is_done);
            outcomes.push(match rng.random_range(0..4) {
                0 => Some(JobRecord::Cancelled),
                1 | 2 if can_be_done => Some(JobRecord::Done {
                    at_ms: Some(1000 + id),
                }),
                _ => None,
            });
            dependencies.push(chosen.into_iter().collect());
        }
        let mut records = Vec::new();
        for id in 0..count {
            records.push((id, live(id, &dependencies[id as usize])));
            records.extend(outcomes[id as usize].clone().map(|record| (id, record)));
        }
        records.shuffle(&mut rng);
        let mut registry = JobRegistry::default();
        for (id, record) in records {
            put(&mut registry, id, record);
        }
        let mut cancelled: Vec<bool> = Vec::new();
        for id in 0..count {
            let dependencies = &dependencies[id as usize];
            let expected_status = match &outcomes[id as usize] {
                Some(JobRecord::Done { .. }) => Some(JobStatus::Done),
                Some(_) => Some(JobStatus::Cancelled),
                None if dependencies.iter().any(|id| cancelled[*id as usize]) => {
                    Some(JobStatus::Cancelled)
                }
                None => None,
            };
            cancelled.push(expected_status == Some(JobStatus::Cancelled));
            let entry = registry.get(JobId(id)).expect("the job is registered");
            assert_eq!(
                entry.final_status(),
                expected_status,
                "job {id}, seed {seed}"
            );
            let RegisteredJob::Live(job) = entry else {
                continue;
            };
            let is_unfinished = |id: &&u64| outcomes[**id as usize].is_none();
            assert_eq!(
                job.dependencies_left,
                dependencies.iter().filter(is_unfinished).count(),
                "job {id}, seed {seed}"
            );
            if job.dependencies_left == 0 {
                let last_done_ms = dependencies.iter().map(|id| 1000 + id).max();
                assert_eq!(
                    job.released_at_ms,
                    last_done_ms.unwrap_or(id),
                    "job {id}, seed {seed}"
                );
            }
        }
        // Each job comes after a dependency that was cancelled, or that dependency's record is
        // `Cancelled`.
        let without_record: Vec<JobId> = registry
            .jobs_cancelled_by_dependency()
            .map(|(id, _)| id)
            .collect();
        for (position, id) in without_record.iter().enumerate() {
            let is_cancelled = |dependency: &u64| {
                let has_record =
                    matches!(outcomes[*dependency as usize], Some(JobRecord::Cancelled));
                has_record || without_record[..position].contains(&JobId(*dependency))
            };
            assert!(
                dependencies[id.0 as usize].iter().any(is_cancelled),
                "{id}, seed {seed}"
            );
        }
    }
}

/// Cancellation must reach 50,000 jobs without recursion, with one visit to each, whether they form a
/// chain or depend on the same job.
#[test]
fn cancellation_propagates_through_deep_and_wide_job_graphs_at_once() {
    const JOBS: u64 = 50_000;
    for wide in [false, true] {
        let mut registry = JobRegistry::default();
        put(&mut registry, 0, live(0, &[]));
        for id in 1..JOBS {
            let dependency = if wide { 0 } else { id - 1 };
            put(&mut registry, id, live(id, &[dependency]));
        }
        let changed = put(&mut registry, 0, JobRecord::Cancelled);
        assert_eq!(changed.len() as u64, JOBS);
        let last_status = registry
            .get(JobId(JOBS - 1))
            .and_then(RegisteredJob::final_status);
        assert_eq!(last_status, Some(JobStatus::Cancelled));
        // A job that is submitted later and depends on one of them.
        assert_eq!(put(&mut registry, JOBS, live(JOBS, &[JOBS - 1])), [JOBS]);
        let last_status = registry
            .get(JobId(JOBS))
            .and_then(RegisteredJob::final_status);
        assert_eq!(last_status, Some(JobStatus::Cancelled));
    }
}

/// A record that is read late or twice must not change the status of a job that has ended.
#[test]
fn final_job_status_never_changes() {
    let done = || JobRecord::Done { at_ms: Some(5) };
    let all_records = || vec![live(1, &[]), done(), JobRecord::Cancelled];
    for (end, status) in [
        (done(), JobStatus::Done),
        (JobRecord::Cancelled, JobStatus::Cancelled),
    ] {
        let mut registry = JobRegistry::default();
        put(&mut registry, 1, live(1, &[]));
        put(&mut registry, 1, end);
        for record in all_records() {
            put(&mut registry, 1, record);
            let final_status = registry.get(JobId(1)).and_then(RegisteredJob::final_status);
            assert_eq!(final_status, Some(status));
        }
    }
}

/// The keys of a long record may be read on different pages and in any order, and the record of the
/// job's end may be read before them.
#[test]
fn split_record_is_registered_once_all_parts_are_read() {
    let mut job = spec(7, &[]);
    job.types = Some((0..60).map(|n| format!("{n:0>60}")).collect());
    let (record, part_texts) = storage::live_job_record(5, &job, 2048);
    assert!(part_texts.len() > 1);
    let keys: Vec<(String, Value)> = part_texts
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
        let mut registry = JobRegistry::default();
        let mut order = keys.clone();
        order.rotate_left(first);
        for (index, (key, value)) in order.into_iter().enumerate() {
            assert_eq!(registry.get(JobId(7)).is_some(), index == keys.len());
            registry.put_row(&key, value, 3);
        }
        let entry = registry.live_job(JobId(7)).expect("all keys are read");
        assert_eq!((&*entry.spec, entry.version), (&*job, 3));
        let mut txn = Txn::default();
        entry.append_outcome(JobId(7), &JobRecord::Cancelled, &mut txn);
        assert_eq!(
            txn.writes.len(),
            keys.len(),
            "the outcome replaces the record and deletes its parts"
        );
    }
    let mut registry = JobRegistry::default();
    put(&mut registry, 7, JobRecord::Cancelled);
    for (key, value) in keys {
        registry.put_row(&key, value, 3);
    }
    let final_status = registry.get(JobId(7)).and_then(RegisteredJob::final_status);
    assert_eq!(final_status, Some(JobStatus::Cancelled));
    assert!(registry.partial_records.is_empty());
}

/// Each node keeps an entry for every job that was ever accepted.
#[test]
fn ended_job_keeps_little_memory() {
    assert!(
        size_of::<RegisteredJob>() <= 24,
        "{} bytes",
        size_of::<RegisteredJob>()
    );
}
