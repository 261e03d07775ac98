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

/// A stage of 10 s with an image of none, so 14.5 s in all.
fn submit(directory: &mut JobRegistry, id: u64, awaits: &[u64], due_s: Option<f64>) -> Vec<JobId> {
    let last = due_s.is_some();
    let spec: Submission = serde_json::from_value(json!({
        "id": JobId(id), "lane": if last { "last" } else { "any" }, "crew": "red",
        "shape": "array", "urgency": if last { "high" } else { "best_effort" }, "pieces": 1,
        "cpus": 2.0, "gpus": 0.0, "ram_gb": 1.0, "together": false, "apart": false,
        "loaners": true, "kit": "img", "size_gb": 0.0, "guess_s": 10.0, "bookmark_s": 0.0,
        "stash_s": 0.0, "due_s": due_s,
        "awaits": awaits.iter().map(|id| JobId(*id)).collect::<Vec<_>>(),
    }))
    .expect("a submission");
    let awaits = spec.dependencies.clone();
    let spec = Box::new(spec);
    directory.put_job_record(JobId(id), JobRecord::Live { at_ms: id, spec }, 1);
    awaits
}

/// The last job of a pipeline tells by when each stage before it has to be done, less what comes
/// between; once it is cancelled, nothing is left of that.
#[test]
fn urgent_job_raises_priority_of_all_its_dependencies() {
    let (mut directory, mut cluster) = (JobRegistry::default(), cluster());
    let mut pulls = HashMap::new();
    let mut go = |directory: &JobRegistry, jobs| {
        propagate_urgency(directory, &mut pulls, &mut cluster, jobs, 0)
    };
    submit(&mut directory, 0, &[], None);
    for (id, awaits) in [(1, vec![0]), (2, vec![0]), (3, vec![1])] {
        let jobs = submit(&mut directory, id, &awaits, None);
        go(&directory, jobs);
    }
    let jobs = submit(&mut directory, 4, &[2, 3], Some(100.0));
    go(&directory, jobs);
    let jobs = submit(&mut directory, 5, &[2], Some(60.0));
    go(&directory, jobs);
    let pull = |at: &HashMap<JobId, InheritedUrgency>, id| at.get(&JobId(id)).cloned();
    let high = |finish_ms: &[u64]| {
        let finish_ms = finish_ms.to_vec();
        Some(InheritedUrgency {
            priority: Priority::High,
            finish_by_ms: finish_ms,
        })
    };
    assert_eq!(pull(&pulls, 3), high(&[85_504, 135_504]));
    assert_eq!(pull(&pulls, 1), high(&[71_004, 121_004]));
    assert_eq!(pull(&pulls, 2), high(&[45_505, 75_505, 85_504, 135_504]));
    assert_eq!(pull(&pulls, 0), high(&[31_005, 56_504, 61_005, 71_004]));
    for (id, over) in [(5, vec![2]), (4, vec![2, 3])] {
        directory.put_job_record(JobId(id), JobRecord::Cancelled, 9);
        let over = over.into_iter().map(JobId).collect();
        crate::coordination::job_graph::propagate_urgency(
            &directory,
            &mut pulls,
            &mut cluster,
            over,
            0,
        );
    }
    let low = Some(InheritedUrgency {
        priority: Priority::Low,
        finish_by_ms: Vec::new(),
    });
    assert_eq!((pull(&pulls, 0), pull(&pulls, 1)), (low.clone(), low));
    assert_eq!((pull(&pulls, 2), pull(&pulls, 3)), (None, None));
}

/// What a long chain and a wide fan cost: a look at each job for one that comes last.
#[test]
fn urgency_propagation_visits_each_job_of_deep_and_wide_graphs_once() {
    const JOBS: u64 = 5000;
    let (mut directory, mut cluster) = (JobRegistry::default(), cluster());
    let mut pulls = HashMap::new();
    submit(&mut directory, 0, &[], None);
    let mut looks = 0;
    for id in 1..JOBS {
        let jobs = submit(&mut directory, id, &[id - 1], None);
        looks += propagate_urgency(&directory, &mut pulls, &mut cluster, jobs, 0);
    }
    assert!(looks < 3 * JOBS as usize, "{looks} looks");
    let jobs = submit(&mut directory, JOBS, &[JOBS - 1], Some(1e6));
    let looks = propagate_urgency(&directory, &mut pulls, &mut cluster, jobs, 0);
    assert_eq!(looks, JOBS as usize);
    let all: Vec<u64> = (0..JOBS).collect();
    let jobs = submit(&mut directory, JOBS + 1, &all, Some(100.0));
    let looks = propagate_urgency(&directory, &mut pulls, &mut cluster, jobs, 0);
    assert_eq!(looks, JOBS as usize);
}
