use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;

use super::*;
use crate::{
    cluster::{MachineTypeIndex, records::images_records},
    config::Settings,
    protocol::{cloud::MachineType, ids::JobId, job::Submission},
    scheduling::{self, PreemptionScope, fair_share::FairShareTracker},
};

fn cluster_with_machines(machines: usize) -> ClusterState {
    let settings: Settings = serde_json::from_value(json!({
        "zones": ["a"], "teams": [{"name": "red", "cpus": 64.0}],
        "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 3.0}
    }))
    .expect("valid settings");
    let machine_type: MachineType = serde_json::from_value(json!({
        "sku": "c16", "cpus": 16.0, "gpus": 0.0, "ram_gb": 64.0, "local_gb": 10.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "ready_s": 10.0, "yards": ["a"]
    }))
    .expect("a machine type");
    let mut cluster = ClusterState::new(&settings, &[machine_type]);
    for number in 0..machines {
        let name = format!("vm-{number}");
        let zone = cluster.intern_zone("a");
        let machine_index = cluster.add_machine(&name, MachineTypeIndex(0), zone, false, 0);
        cluster.machines[machine_index.as_usize()].state = MachineState::Up;
    }
    cluster
}

fn submit(cluster: &mut ClusterState, number: u64, tasks: u32) -> JobIndex {
    let spec: Submission = serde_json::from_value(json!({
        "id": format!("j-{number:06}"), "lane": "any", "crew": "red", "shape": "array",
        "urgency": "standard", "pieces": tasks, "cpus": 2.0, "gpus": 0.0, "ram_gb": 1.0,
        "builds": null, "yard": null, "together": false, "apart": false, "loaners": true,
        "kit": "img", "size_gb": 0.1, "guess_s": 10.0, "bookmark_s": 0.0, "stash_s": 0.0,
        "due_s": null
    }))
    .expect("a submission");
    cluster.add_job(&spec, 0, 0).expect("a known team")
}

/// Simulates a generated cluster in which some jobs have a mistake and some machines fail every task
/// immediately. Returns the quarantined jobs and the draining machines at the end, and the number of
/// starts that the jobs with a mistake had in the second half.
fn simulate_failures(
    seed: u64,
    faulty_machines: usize,
    broken_jobs: u64,
) -> (Vec<u64>, Vec<usize>, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = cluster_with_machines(30);
    let mut fair_share = FairShareTracker::default();
    let mut late_starts = 0;
    for step in 0..240u64 {
        let now = step * 500;
        if step % 4 == 0 {
            submit(&mut cluster, step / 4, 20);
        }
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, now);
        for machine_index in (0..30).map(MachineIndex) {
            for attempt_index in (0..cluster.machine(machine_index).attempts.len()).rev() {
                let attempt = &cluster.machine(machine_index).attempts[attempt_index];
                let (job, task, attempt_number) = (attempt.job, attempt.task, attempt.attempt);
                let is_failing = cluster.job(job).id.0 < broken_jobs
                    || machine_index.as_usize() < faulty_machines;
                if cluster.job(job).id.0 < broken_jobs && step > 120 {
                    late_starts += 1;
                }
                if is_failing {
                    cluster.advance_phase(machine_index, attempt_index, Phase::Ended, now);
                    cluster.requeue(job, task, attempt_number);
                    cluster.machines[machine_index.as_usize()].attempts[attempt_index].reconciled =
                        true;
                    cluster.on_task_failed(job, machine_index, now);
                    cluster.remove_attempt(machine_index, attempt_index, now);
                } else if rng.random_bool(0.1) {
                    cluster.advance_phase(machine_index, attempt_index, Phase::Ended, now);
                    cluster.complete_task(job, task);
                    cluster.machines[machine_index.as_usize()].attempts[attempt_index].reconciled =
                        true;
                    cluster.machines[machine_index.as_usize()]
                        .recent_failures
                        .clear();
                    cluster.on_task_progress(job);
                    cluster.remove_attempt(machine_index, attempt_index, now);
                }
            }
        }
    }
    let jobs = cluster.jobs.iter().filter(|job| job.quarantined);
    let jobs = jobs.map(|job| job.id.0).collect();
    let machines = (0..30).filter(|index| cluster.machines[*index].draining);
    let machines = machines.collect();
    // No task is preempted for the quarantined jobs, and the stored records list them for the next leader.
    assert!(scheduling::select_preemptions(&cluster, 200_000, PreemptionScope::All).is_empty());
    for machine in &mut cluster.machines {
        machine
            .cached_images
            .push((crate::cluster::ImageIndex(0), 0.1));
    }
    let recorded_jobs: Vec<JobId> = images_records(&cluster, 16_000)
        .into_iter()
        .flat_map(|record| record.quarantined)
        .collect();
    assert_eq!(recorded_jobs.len() as u64, broken_jobs);
    (jobs, machines, late_starts)
}

/// Guards against two failures. Jobs with a mistake fail on the same machines, and all of those were drained
/// as faulty. The hundreds of tasks of these jobs were retried on every machine again and again.
#[test]
fn failing_jobs_and_faulty_machines_are_distinguished() {
    for seed in 0..20 {
        for (faulty_machines, broken_jobs) in [(0, 3), (4, 0), (4, 3)] {
            let (jobs, machines, late_starts) =
                simulate_failures(seed, faulty_machines, broken_jobs);
            assert_eq!(jobs, (0..broken_jobs).collect::<Vec<_>>(), "seed {seed}");
            assert_eq!(
                machines,
                (0..faulty_machines).collect::<Vec<_>>(),
                "seed {seed}"
            );
            // One task at a time, 30 s apart, in 60 s.
            assert!(
                late_starts <= 4 * broken_jobs as usize,
                "seed {seed}: {late_starts} starts"
            );
        }
    }
}
