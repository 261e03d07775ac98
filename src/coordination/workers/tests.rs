use std::collections::{BTreeMap, HashMap};

use serde_json::json;

use super::{
    failure_detection::{RevocationReply, is_unrenewed_everywhere},
    heartbeat::heartbeat_orders,
    reconciliation::end_incarnation,
    *,
};
use crate::{
    cluster::{Attempt, JobIndex, MachineTypeIndex, Phase},
    config::Settings,
    coordination::takeover::add_finished_job,
    protocol::{
        ids::JobId,
        worker::{FailureCause, Order},
    },
    storage::JobSummary,
};

/// An inquiry binds nobody: a deputy that has answered one may renew the machine right after.
#[test]
fn machine_counts_as_unrenewed_only_after_binding_promises() {
    let deputies = BTreeMap::from([("n1".to_owned(), 1)]);
    for binding in [false, true] {
        let (sent_at, until) = (99_000, 99_500);
        let ack = RevocationReply {
            sent_at,
            lease_ends_at: until,
            is_binding: binding,
        };
        let acks = HashMap::from([(("n1".to_owned(), "vm-1".to_owned()), ack)]);
        let gone = HashMap::new();
        let proven = is_unrenewed_everywhere(&deputies, &gone, &acks, "vm-1", 100_000, 14_300);
        assert_eq!(proven, binding);
    }
}

/// A job of two tasks, and a machine.
fn cluster_with_machine() -> (ClusterState, JobIndex, MachineIndex) {
    let settings: Settings = serde_json::from_value(json!({
        "zones": ["a"], "teams": [{"name": "red"}],
        "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 3.0}
    }))
    .expect("valid settings");
    let mut cluster = ClusterState::new(&settings, &[]);
    let noted = JobSummary {
        team: "red".into(),
        task_count: 2,
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
    };
    let job = add_finished_job(&mut cluster, JobId(1), &noted, 0).expect("a known team");
    let zone = cluster.intern_zone("a");
    let on = cluster.add_machine("vm-1", MachineTypeIndex(0), zone, false, 0);
    (cluster, job, on)
}

fn sent_attempt(job: JobIndex, task: u32) -> Attempt {
    Attempt {
        job,
        task,
        attempt: 1,
        phase: Phase::Placed,
        cause: None,
        placed_at: 0,
        running_since: None,
        start_sent: true,
        recovered: false,
        direct_start_in_flight: false,
        started_by_heartbeat: None,
        fencing_token: 0,
        stop_grace_s: None,
        stop_sent: false,
        reconciled: false,
        direct_start_term: 0,
        placed_for_fair_share: false,
    }
}

/// A worker that has been told to forget a completion cannot tell a successor of it.
#[test]
fn forget_order_is_sent_only_after_completion_is_stored() {
    let (mut cluster, job, on) = cluster_with_machine();
    let attempt = Attempt {
        phase: Phase::Ended,
        cause: Some(FailureCause::Done),
        reconciled: true,
        ..sent_attempt(job, 0)
    };
    cluster.reserve(attempt, on);
    cluster.complete_task(job, 0);
    assert!(heartbeat_orders(&mut cluster, on, &[], 0, true).is_empty());
    cluster.unlogged_tasks.clear();
    let orders = heartbeat_orders(&mut cluster, on, &[], 0, true);
    assert!(matches!(orders[..], [Order::Forget { .. }]), "{orders:?}");
}

/// The start of an attempt that was stopped came once more after the worker had been told to forget it, and ran
/// beside the next attempt.
#[test]
fn directly_started_attempt_is_forgotten_only_after_a_higher_term() {
    let (mut cluster, job, on) = cluster_with_machine();
    for (task, direct) in [(0, 5), (1, 0)] {
        let attempt = Attempt {
            phase: Phase::Ended,
            cause: Some(FailureCause::Stopped),
            reconciled: true,
            direct_start_term: direct,
            ..sent_attempt(job, task)
        };
        cluster.reserve(attempt, on);
    }
    let mut forgets = |token| {
        cluster.machines[on.as_usize()].token = token;
        let orders = heartbeat_orders(&mut cluster, on, &[], 0, true);
        let of = |order: &Order| match order {
            Order::Forget { task, .. } => task.index,
            other => panic!("{other:?}"),
        };
        orders.iter().map(of).collect::<Vec<_>>()
    };
    assert_eq!(forgets(5), [1], "started by the answer to a report");
    assert_eq!(forgets(6), [0, 1]);
}

/// A controller that was cut off for a while led again, and the reports held back for it came in
/// at once: the one that began a worker's new session was older than the start that the
/// predecessor had sent to that session. Taken as news, it freed a task that was running.
#[test]
fn late_report_of_new_incarnation_keeps_inherited_attempts() {
    let (mut cluster, job, on) = cluster_with_machine();
    for (task, inherited) in [(0, true), (1, false)] {
        let attempt = Attempt {
            recovered: inherited,
            direct_start_in_flight: !inherited,
            fencing_token: 7,
            ..sent_attempt(job, task)
        };
        cluster.reserve(attempt, on);
    }
    let left = |cluster: &ClusterState| -> Vec<u32> {
        let attempts = &cluster.machine(on).attempts;
        attempts.iter().map(|attempt| attempt.task).collect()
    };
    cluster.machines[on.as_usize()].token = 6;
    end_incarnation(&mut cluster, on, 0, &[]);
    assert_eq!(left(&cluster), [0], "the own start went to the old session");
    // A worker that has seen this term refuses what the predecessor sent.
    cluster.machines[on.as_usize()].token = 7;
    end_incarnation(&mut cluster, on, 0, &[]);
    assert!(left(&cluster).is_empty());
}
