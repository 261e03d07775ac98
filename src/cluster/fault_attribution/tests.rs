use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;

use super::*;
use crate::{
    cluster::TypeIx,
    config::Settings,
    protocol::{cloud::MachineType, ids::JobId, job::Submission},
    scheduling::{self, Whose},
    storage::images_records,
};

fn fleet(machines: usize) -> Books {
    let settings: Settings = serde_json::from_value(json!({
        "zones": ["a"], "teams": [{"name": "red", "cpus": 64.0}],
        "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 3.0}
    }))
    .expect("valid settings");
    let kind: MachineType = serde_json::from_value(json!({
        "sku": "c16", "cpus": 16.0, "gpus": 0.0, "ram_gb": 64.0, "local_gb": 10.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "ready_s": 10.0, "yards": ["a"]
    }))
    .expect("a machine type");
    let mut books = Books::new(&settings, &[kind]);
    for number in 0..machines {
        let name = format!("vm-{number}");
        let zone = books.zone("a");
        let on = books.add_machine(&name, TypeIx(0), zone, false, 0);
        books.machines[on.at()].state = MachineState::Up;
    }
    books
}

fn submit(books: &mut Books, number: u64, tasks: u32) -> JobIx {
    let spec: Submission = serde_json::from_value(json!({
        "id": format!("j-{number:06}"), "lane": "any", "crew": "red", "shape": "array",
        "urgency": "standard", "pieces": tasks, "cpus": 2.0, "gpus": 0.0, "ram_gb": 1.0,
        "builds": null, "yard": null, "together": false, "apart": false, "loaners": true,
        "kit": "img", "size_gb": 0.1, "guess_s": 10.0, "bookmark_s": 0.0, "stash_s": 0.0,
        "due_s": null
    }))
    .expect("a submission");
    books.add_job(&spec, 0, 0).expect("a known team")
}

/// Plays generated fleets with jobs that have a mistake and machines that fail everything at once.
/// Returns the jobs held to be at fault, the machines held to be faulty at any time and at the end,
/// and how many starts the mistaken jobs had in the second half.
fn play(seed: u64, faulty: usize, mistaken: u64) -> (Vec<u64>, Vec<usize>, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut books = fleet(30);
    let mut late_starts = 0;
    for step in 0..240u64 {
        let now = step * 500;
        if step % 4 == 0 {
            submit(&mut books, step / 4, 20);
        }
        scheduling::round(&mut books, now);
        for on in (0..30).map(MachineIx) {
            for at in (0..books.machine(on).attempts.len()).rev() {
                let attempt = &books.machine(on).attempts[at];
                let (job, task, number) = (attempt.job, attempt.task, attempt.attempt);
                let fails = books.job(job).id.0 < mistaken || on.at() < faulty;
                if books.job(job).id.0 < mistaken && step > 120 {
                    late_starts += 1;
                }
                if fails {
                    books.advance(on, at, Phase::Ended, now);
                    books.requeue(job, task, number);
                    books.machines[on.at()].attempts[at].settled = true;
                    books.failed(job, on, now);
                    books.drop_attempt(on, at, now);
                } else if rng.random_bool(0.1) {
                    books.advance(on, at, Phase::Ended, now);
                    books.complete_task(job, task);
                    books.machines[on.at()].attempts[at].settled = true;
                    books.machines[on.at()].failures.clear();
                    books.got_somewhere(job);
                    books.drop_attempt(on, at, now);
                }
            }
        }
    }
    let jobs = books.jobs.iter().filter(|job| job.at_fault);
    let jobs = jobs.map(|job| job.id.0).collect();
    let machines = (0..30).filter(|at| books.machines[*at].draining);
    let machines = machines.collect();
    // Nobody gives way for them, and a successor is told.
    assert!(scheduling::preempt(&books, 200_000, Whose::All).is_empty());
    for machine in &mut books.machines {
        machine.images.push((crate::cluster::ImageIx(0), 0.1));
    }
    let told: Vec<JobId> = images_records(&books, 16_000)
        .into_iter()
        .flat_map(|record| record.at_fault)
        .collect();
    assert_eq!(told.len() as u64, mistaken);
    (jobs, machines, late_starts)
}

/// Two jobs with a mistake failed on the same machines, which were all given up for it; and their
/// hundreds of tasks were tried on every machine again and again.
#[test]
fn mistaken_jobs_and_faulty_machines_are_told_apart() {
    for seed in 0..20 {
        for (faulty, mistaken) in [(0, 3), (4, 0), (4, 3)] {
            let (jobs, machines, late) = play(seed, faulty, mistaken);
            assert_eq!(jobs, (0..mistaken).collect::<Vec<_>>(), "seed {seed}");
            assert_eq!(machines, (0..faulty).collect::<Vec<_>>(), "seed {seed}");
            // One task at a time, 30 s apart, in 60 s.
            assert!(late <= 4 * mistaken as usize, "seed {seed}: {late} starts");
        }
    }
}
