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
        worker::{ExitCause, Order},
    },
    storage::JobSummary,
};

/// An inquiry revokes nothing: a lease renewer that has answered one may renew the machine's lease right
/// after.
#[test]
fn machine_counts_as_unrenewed_only_after_binding_revocations() {
    let renewers = BTreeMap::from([("n1".to_owned(), 1)]);
    for is_revocation in [false, true] {
        let (sent_at, ends_at) = (99_000, 99_500);
        let reply = RevocationReply {
            sent_at,
            lease_ends_at: ends_at,
            is_binding: is_revocation,
        };
        let replies = HashMap::from([(("n1".to_owned(), "vm-1".to_owned()), reply)]);
        let lost_at = HashMap::new();
        let is_unrenewed =
            is_unrenewed_everywhere(&renewers, &lost_at, &replies, "vm-1", 100_000, 14_300);
        assert_eq!(is_unrenewed, is_revocation);
    }
}

/// A cluster with one job of two tasks and one machine.
fn cluster_with_machine() -> (ClusterState, JobIndex, MachineIndex) {
    let settings: Settings = serde_json::from_value(json!({
        "zones": ["a"], "teams": [{"name": "red"}],
        "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 3.0}
    }))
    .expect("valid settings");
    let mut cluster = ClusterState::new(&settings, &[]);
    let summary = JobSummary {
        team: "red".into(),
        task_count: 2,
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
    };
    let job = add_finished_job(&mut cluster, JobId(1), &summary, 0).expect("the team exists");
    let zone = cluster.intern_zone("a");
    let machine = cluster.add_machine("vm-1", MachineTypeIndex(0), zone, false, 0);
    (cluster, job, machine)
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

/// A worker that has forgotten a completed attempt can't report it to the next leader, which would then have no
/// record of the completion.
#[test]
fn forget_order_is_sent_only_after_completion_is_stored() {
    let (mut cluster, job, machine) = cluster_with_machine();
    let attempt = Attempt {
        phase: Phase::Ended,
        cause: Some(ExitCause::Done),
        reconciled: true,
        ..sent_attempt(job, 0)
    };
    cluster.reserve(attempt, machine);
    cluster.complete_task(job, 0);
    assert!(heartbeat_orders(&mut cluster, machine, &[], 0, true).is_empty());
    cluster.unlogged_tasks.clear();
    let orders = heartbeat_orders(&mut cluster, machine, &[], 0, true);
    assert!(matches!(orders[..], [Order::Forget { .. }]), "{orders:?}");
}

/// The start of a stopped attempt was delivered a second time after the worker had forgotten the attempt: the
/// attempt then ran beside the next one.
#[test]
fn directly_started_attempt_is_forgotten_only_after_a_higher_term() {
    let (mut cluster, job, machine) = cluster_with_machine();
    for (task, term) in [(0, 5), (1, 0)] {
        let attempt = Attempt {
            phase: Phase::Ended,
            cause: Some(ExitCause::Stopped),
            reconciled: true,
            direct_start_term: term,
            ..sent_attempt(job, task)
        };
        cluster.reserve(attempt, machine);
    }
    let mut forgotten_tasks = |token| {
        cluster.machines[machine.as_usize()].token = token;
        let orders = heartbeat_orders(&mut cluster, machine, &[], 0, true);
        let task_of = |order: &Order| match order {
            Order::Forget { task, .. } => task.index,
            other => panic!("{other:?}"),
        };
        orders.iter().map(task_of).collect::<Vec<_>>()
    };
    assert_eq!(
        forgotten_tasks(5),
        [1],
        "only the attempt that was started by the answer to a heartbeat"
    );
    assert_eq!(forgotten_tasks(6), [0, 1]);
}

/// After a partition a node became leader again and received reports that the partition had delayed. The
/// first report of a worker's new incarnation was older than a start that the previous leader had sent to that
/// incarnation. Taken as current, it removed the attempt of a task that was running.
#[test]
fn late_report_of_new_incarnation_keeps_inherited_attempts() {
    let (mut cluster, job, machine) = cluster_with_machine();
    for (task, is_recovered) in [(0, true), (1, false)] {
        let attempt = Attempt {
            recovered: is_recovered,
            direct_start_in_flight: !is_recovered,
            fencing_token: 7,
            ..sent_attempt(job, task)
        };
        cluster.reserve(attempt, machine);
    }
    let remaining_tasks = |cluster: &ClusterState| -> Vec<u32> {
        let attempts = &cluster.machine(machine).attempts;
        attempts.iter().map(|attempt| attempt.task).collect()
    };
    cluster.machines[machine.as_usize()].token = 6;
    end_incarnation(&mut cluster, machine, 0, &[]);
    assert_eq!(
        remaining_tasks(&cluster),
        [0],
        "this leader's own start went to the old incarnation"
    );
    // A worker that has seen this leader's term rejects commands of the previous leader.
    cluster.machines[machine.as_usize()].token = 7;
    end_incarnation(&mut cluster, machine, 0, &[]);
    assert!(remaining_tasks(&cluster).is_empty());
}
