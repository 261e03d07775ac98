use super::*;
use crate::protocol::job::Priority;
use serde_json::json;

fn cluster() -> ClusterState {
    let settings = serde_json::from_value(json!({
        "zones": ["a"], "teams": [{"name": "red"}],
        "objectives": [{"kind": "deadline", "class": "last", "share": 0.9},
                       {"kind": "deadline", "class": "last", "share": 0.9, "times": 1.5}],
        "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 3.0}
    }));
    ClusterState::new(&settings.expect("valid settings"), &[])
}

/// Submits a job with tasks of 10 s and no image to fetch, so a stage of 14.5 s in all. Returns its
/// dependencies.
fn submit(
    registry: &mut JobRegistry,
    id: u64,
    dependencies: &[u64],
    due_s: Option<f64>,
) -> Vec<JobId> {
    let has_deadline = due_s.is_some();
    let spec: Submission = serde_json::from_value(json!({
        "id": JobId(id), "lane": if has_deadline { "last" } else { "any" }, "crew": "red",
        "shape": "array", "urgency": if has_deadline { "high" } else { "best_effort" }, "pieces": 1,
        "cpus": 2.0, "gpus": 0.0, "ram_gb": 1.0, "together": false, "apart": false,
        "loaners": true, "kit": "img", "size_gb": 0.0, "guess_s": 10.0, "bookmark_s": 0.0,
        "stash_s": 0.0, "due_s": due_s,
        "awaits": dependencies.iter().map(|id| JobId(*id)).collect::<Vec<_>>(),
    }))
    .expect("a submission");
    let dependencies = spec.dependencies.clone();
    let spec = Box::new(spec);
    registry.put_job_record(JobId(id), JobRecord::Live { at_ms: id, spec }, 1);
    dependencies
}

/// The deadline of a pipeline's last job, less the duration of the stages in between, is the time by
/// which each earlier stage has to finish. Once the last job is cancelled, no inherited time is left.
#[test]
fn urgent_job_raises_priority_of_all_its_dependencies() {
    let (mut registry, mut cluster) = (JobRegistry::default(), cluster());
    let mut inherited = HashMap::new();
    let mut propagate = |registry: &JobRegistry, jobs| {
        propagate_urgency(registry, &mut inherited, &mut cluster, jobs, 0)
    };
    submit(&mut registry, 0, &[], None);
    for (id, dependencies) in [(1, vec![0]), (2, vec![0]), (3, vec![1])] {
        let jobs = submit(&mut registry, id, &dependencies, None);
        propagate(&registry, jobs);
    }
    let jobs = submit(&mut registry, 4, &[2, 3], Some(100.0));
    propagate(&registry, jobs);
    let jobs = submit(&mut registry, 5, &[2], Some(60.0));
    propagate(&registry, jobs);
    let urgency_of =
        |inherited: &HashMap<JobId, InheritedUrgency>, id| inherited.get(&JobId(id)).cloned();
    let high = |finish_ms: &[u64]| {
        let finish_ms = finish_ms.to_vec();
        Some(InheritedUrgency {
            priority: Priority::High,
            finish_by_ms: finish_ms,
        })
    };
    assert_eq!(urgency_of(&inherited, 3), high(&[85_504, 135_504]));
    assert_eq!(urgency_of(&inherited, 1), high(&[71_004, 121_004]));
    assert_eq!(
        urgency_of(&inherited, 2),
        high(&[45_505, 75_505, 85_504, 135_504])
    );
    assert_eq!(
        urgency_of(&inherited, 0),
        high(&[31_005, 56_504, 61_005, 71_004])
    );
    for (id, dependencies) in [(5, vec![2]), (4, vec![2, 3])] {
        registry.put_job_record(JobId(id), JobRecord::Cancelled, 9);
        let dependencies = dependencies.into_iter().map(JobId).collect();
        crate::coordination::job_graph::propagate_urgency(
            &registry,
            &mut inherited,
            &mut cluster,
            dependencies,
            0,
        );
    }
    let low = Some(InheritedUrgency {
        priority: Priority::Low,
        finish_by_ms: Vec::new(),
    });
    assert_eq!(
        (urgency_of(&inherited, 0), urgency_of(&inherited, 1)),
        (low.clone(), low)
    );
    assert_eq!(
        (urgency_of(&inherited, 2), urgency_of(&inherited, 3)),
        (None, None)
    );
}

/// A job that is submitted last, after a long chain or with many dependencies, causes one visit to each
/// other job.
#[test]
fn urgency_propagation_visits_each_job_of_deep_and_wide_graphs_once() {
    const JOBS: u64 = 5000;
    let (mut registry, mut cluster) = (JobRegistry::default(), cluster());
    let mut inherited = HashMap::new();
    submit(&mut registry, 0, &[], None);
    let mut visits = 0;
    for id in 1..JOBS {
        let jobs = submit(&mut registry, id, &[id - 1], None);
        visits += propagate_urgency(&registry, &mut inherited, &mut cluster, jobs, 0);
    }
    assert!(visits < 3 * JOBS as usize, "{visits} visits");
    let jobs = submit(&mut registry, JOBS, &[JOBS - 1], Some(1e6));
    let visits = propagate_urgency(&registry, &mut inherited, &mut cluster, jobs, 0);
    assert_eq!(visits, JOBS as usize);
    let all_jobs: Vec<u64> = (0..JOBS).collect();
    let jobs = submit(&mut registry, JOBS + 1, &all_jobs, Some(100.0));
    let visits = propagate_urgency(&registry, &mut inherited, &mut cluster, jobs, 0);
    assert_eq!(visits, JOBS as usize);
}
