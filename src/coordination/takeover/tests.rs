use serde_json::json;

use super::*;
use crate::{
    cluster::{MachineIndex, TaskStatus},
    coordination::Effect,
    protocol::state::KeyValue,
    protocol::state::{Changes, Event, Page, Write},
    storage::{LogRecord, MachineRecord, SnapshotNumber, SnapshotRecord, TaskRecord},
};

fn log_row(seq: u64, first_live_seq: u64, tasks: &[TaskRecord]) -> (u32, u64, LogRecord) {
    let job = JobSummary {
        team: "red".into(),
        task_count: 4,
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
    };
    let machine = |name: &str| MachineRecord {
        name: name.into(),
        machine_type: "c16".into(),
        zone: "a".into(),
        spot: false,
        addr: None,
    };
    let record = LogRecord {
        seq,
        first_live_seq,
        machines: vec![machine("vm-1"), machine("vm-2")],
        jobs: vec![(JobId(1), job, tasks.to_vec())],
    };
    (seq as u32, seq, record)
}

fn recovered_tasks(records: Vec<(u32, u64, LogRecord)>) -> Vec<(u32, u32, u8, Option<String>)> {
    let recovered = RecoveredState {
        records,
        ..RecoveredState::default()
    };
    let mut tasks: Vec<_> = merge_recovered_jobs(&recovered)
        .into_values()
        .flat_map(|job| job.tasks)
        .map(|(task, latest)| {
            let machine = latest.machine.map(|machine| machine.name.clone());
            (task, latest.attempt, latest.progress_rank, machine)
        })
        .collect();
    tasks.sort();
    tasks
}

/// A write that got no answer may be applied after its retries. An older record must not override a
/// newer one, in whatever order the slots are read.
#[test]
fn recovered_state_does_not_depend_on_record_order() {
    let records = [
        log_row(
            3,
            2,
            &[
                TaskRecord(0, 1, RecordedStatus::OnMachine(0)),
                TaskRecord(1, 1, RecordedStatus::OnMachine(0)),
            ],
        ),
        log_row(
            4,
            2,
            &[
                TaskRecord(0, 2, RecordedStatus::OnMachine(1)),
                TaskRecord(1, 1, RecordedStatus::Done),
            ],
        ),
        log_row(5, 3, &[TaskRecord(2, 1, RecordedStatus::OnMachine(1))]),
        log_row(
            6,
            3,
            &[
                TaskRecord(2, 1, RecordedStatus::Waiting),
                TaskRecord(0, 2, RecordedStatus::OnMachine(1)),
            ],
        ),
        // Older than the first live record according to newer records: snapshots hold its state.
        log_row(2, 1, &[TaskRecord(3, 9, RecordedStatus::OnMachine(0))]),
    ];
    let expected = vec![
        (0, 2, 0, Some("vm-2".to_owned())),
        (1, 1, 2, None),
        (2, 1, 1, None),
    ];
    for start in 0..records.len() {
        let mut order = records.to_vec();
        order.rotate_left(start);
        assert_eq!(recovered_tasks(order.clone()), expected);
        order.reverse();
        order.extend_from_within(..2);
        assert_eq!(recovered_tasks(order), expected);
    }
}

/// A node that acquired leadership at 1000 ms, with lease 7 that was requested at 900 ms.
fn new_leader() -> Node {
    let config = serde_json::from_value(json!({
        "label": "n0", "domain": "a", "listen": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "settings": {
            "zones": ["a"], "teams": [{"name": "red"}],
            "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24,
                      "next": {"value_kb": 2.0}},
            "cloud": {"rps": 3.0}
        }
    }));
    let mut node = Node::new(config.expect("valid settings"));
    node.now = 1000;
    node.on_leader_lease_granted(900, Ok(StateReply::Granted(7)));
    node.on_acquire_response(7, Ok(StateReply::Committed(5)));
    node
}

/// Delivers a single page with all records of previous leaders.
fn deliver_log_page(node: &mut Node, rows: Vec<KeyValue>) {
    let page = Page {
        rows,
        more: false,
        revision: 9,
    };
    node.on_leader_log_read(7, Ok(StateReply::Page(page)));
}

fn complete_read_barrier(node: &mut Node, sent_at: Millis, events: Vec<Event>) {
    let changes = Changes {
        revision: 9,
        events,
    };
    node.on_read_barrier(0, sent_at, Ok(StateReply::Changes(changes)));
}

/// The event that job 1, with four tasks, was accepted.
fn job_accepted() -> Event {
    let spec: Submission = serde_json::from_value(json!({
        "id": "j-000001", "lane": "any", "crew": "red", "shape": "array",
        "urgency": "standard", "pieces": 4, "cpus": 1.0, "gpus": 0.0, "ram_gb": 1.0,
        "together": false, "apart": false, "loaners": true, "kit": "img", "size_gb": 0.1,
        "guess_s": 10.0, "bookmark_s": 0.0, "stash_s": 0.0
    }))
    .expect("a submission");
    let (record, _) = storage::live_job_record(1, &spec, 16 * 1024);
    Event::Put {
        key: storage::job_key(JobId(1)),
        value: storage::to_value(&record),
        version: 4,
    }
}

/// Snapshots of the previous version, with ranges of 99 tasks, and of this version, with ranges of 9,
/// cover the same tasks. Both are read, neither is overwritten by the other, and both are deleted when
/// the job is finished.
#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn snapshots_of_every_range_length_are_read_and_deleted() {
    let mut node = new_leader();
    let (.., log) = log_row(3, 1, &[TaskRecord(3, 1, RecordedStatus::OnMachine(1))]);
    let snapshot = |tasks: &[TaskRecord]| SnapshotRecord {
        job: log.jobs[0].1.clone(),
        machines: log.machines.clone(),
        tasks: tasks.to_vec(),
    };
    let old_version = snapshot(&[
        TaskRecord(0, 1, RecordedStatus::OnMachine(0)),
        TaskRecord(1, 1, RecordedStatus::Done),
        TaskRecord(2, 2, RecordedStatus::OnMachine(0)),
    ]);
    let new_version = snapshot(&[
        TaskRecord(0, 2, RecordedStatus::OnMachine(1)),
        TaskRecord(2, 1, RecordedStatus::Waiting),
    ]);
    let row = |key: String, value, version| KeyValue {
        key,
        value,
        version,
    };
    let range_len = storage::task_range_len(2.0);
    let numbers = [SnapshotNumber(0), SnapshotNumber::new(range_len, 0)];
    let keys = numbers.map(|number| storage::snapshot_key(JobId(1), number));
    let rows = vec![
        row(storage::log_slot_key(3), storage::to_value(&log), 3),
        row(keys[0].clone(), storage::to_value(&old_version), 2),
        row(keys[1].clone(), storage::to_value(&new_version), 6),
    ];
    deliver_log_page(&mut node, rows);
    complete_read_barrier(&mut node, 1010, vec![job_accepted()]);
    let leader = node.leader_state.as_mut().expect("the node leads");
    let cluster = leader
        .cluster
        .as_mut()
        .expect("the cluster state is rebuilt");
    assert_eq!(cluster.task_range_len, range_len);
    let job = cluster.jobs_by_id[&JobId(1)];
    let task_state = |task: usize| {
        let task = cluster.job(job).tasks[task];
        let machine = match task.status {
            TaskStatus::Active(machine) => Some(cluster.machine(machine).name.clone()),
            _ => None,
        };
        (task.attempt, task.status == TaskStatus::Done, machine)
    };
    let on_machine = |machine: &str| Some(machine.to_owned());
    assert_eq!(task_state(0), (2, false, on_machine("vm-2")));
    assert_eq!(task_state(1), (1, true, None));
    assert_eq!(task_state(2), (2, false, on_machine("vm-1")));
    assert_eq!(task_state(3), (1, false, on_machine("vm-2")));
    let key_version = cluster.job(job).task_ranges[0].key_version;
    assert_eq!((key_version, cluster.stored_snapshots(job).len()), (6, 2));
    // The job is finished, and no attempt of it is left on a machine.
    cluster.close_job(job);
    for machine in 0..cluster.machines.len() as u32 {
        super::super::workers::mark_lost(cluster, MachineIndex(machine), 2000);
    }
    node.now = 2000;
    node.effects.clear();
    node.collect_finished_jobs();
    let Some(Effect::CallStateService {
        request: StateRequest::Txn(txn),
        ..
    }) = node.effects.pop()
    else {
        panic!("no snapshot is deleted");
    };
    let deleted: HashSet<String> = txn
        .writes
        .into_iter()
        .filter_map(|write| match write {
            Write::Delete { key } => Some(key),
            Write::Put { .. } => None,
        })
        .collect();
    assert_eq!(deleted, HashSet::from(keys));
    node.on_snapshots_deleted(7, Ok(StateReply::Committed(10)));
    let cluster = node.leader_state.as_ref().and_then(|l| l.cluster.as_ref());
    assert!(cluster.is_some_and(|cluster| cluster.stored_snapshots(job).is_empty()));
}

#[test]
fn leadership_is_valid_from_send_time_of_last_successful_renewal() {
    let mut node = new_leader();
    node.read_barrier.confirmed_at = Some(100_000);
    let may_start_at = |node: &mut Node, now| {
        node.now = now;
        node.can_start_tasks()
    };
    assert!(may_start_at(&mut node, 900 + 3100));
    assert!(!may_start_at(&mut node, 900 + 3300), "granted at 900");
    node.now = 4000;
    node.on_leader_lease_renewed(7, 2000, Ok(StateReply::LeaseUpdated));
    assert!(may_start_at(&mut node, 2000 + 3100));
    assert!(!may_start_at(&mut node, 2000 + 3300), "sent at 2000");
}

/// Another node accepts a job just before the takeover and the previous leader places it. The new
/// leader has read the log, but its registry lacks the job: it would treat the job as finished and
/// stop its running tasks permanently.
#[test]
fn rebuild_waits_for_a_read_barrier_sent_after_takeover() {
    let mut node = new_leader();
    let (slot, version, record) = log_row(3, 1, &[TaskRecord(0, 1, RecordedStatus::OnMachine(0))]);
    let row = KeyValue {
        key: storage::log_slot_key(slot),
        value: storage::to_value(&record),
        version,
    };
    deliver_log_page(&mut node, vec![row]);
    // A barrier that was already in flight at the takeover.
    complete_read_barrier(&mut node, 990, Vec::new());
    let is_rebuilt = |node: &Node| {
        node.leader_state
            .as_ref()
            .is_some_and(|l| l.cluster.is_some())
    };
    assert!(!is_rebuilt(&node));
    complete_read_barrier(&mut node, 1010, vec![job_accepted()]);
    assert!(is_rebuilt(&node));
    let cluster = node.leader_state.as_ref().and_then(|l| l.cluster.as_ref());
    let cluster = cluster.expect("the cluster state is rebuilt");
    let job = cluster.job(cluster.jobs_by_id[&JobId(1)]);
    assert!(!job.closed);
    assert_eq!(
        (job.waiting.len(), cluster.machines[0].attempts.len()),
        (3, 1)
    );
    assert!(cluster.machines[0].attempts[0].stop_grace_s.is_none());
}
