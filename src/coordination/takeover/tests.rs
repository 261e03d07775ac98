use serde_json::json;

use super::*;
use crate::{
    cluster::{MachineIndex, TaskStatus},
    coordination::Effect,
    protocol::state::Row,
    protocol::state::{Changes, Event, Page, Write},
    storage::{LogRecord, MachineRecord, SnapshotNumber, SnapshotRecord, TaskRecord},
};

fn log_row(seq: u64, first: u64, notes: &[TaskRecord]) -> (u32, u64, LogRecord) {
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
        first_live_seq: first,
        machines: vec![machine("vm-1"), machine("vm-2")],
        jobs: vec![(JobId(1), job, notes.to_vec())],
    };
    (seq as u32, seq, record)
}

fn recovered_tasks(entries: Vec<(u32, u64, LogRecord)>) -> Vec<(u32, u32, u8, Option<String>)> {
    let found = RecoveredState {
        records: entries,
        ..RecoveredState::default()
    };
    let mut says: Vec<_> = merge_recovered_jobs(&found)
        .into_values()
        .flat_map(|noted| noted.tasks)
        .map(|(task, latest)| {
            let on = latest.machine.map(|machine| machine.name.clone());
            (task, latest.attempt, latest.progress_rank, on)
        })
        .collect();
    says.sort();
    says
}

/// A write that got no answer may be applied after those that repeat it: an older note must not
/// hide a newer one, in whatever order the slots are read.
#[test]
fn recovered_state_does_not_depend_on_record_order() {
    let entries = [
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
        // Before what the others call the first: pages hold it.
        log_row(2, 1, &[TaskRecord(3, 9, RecordedStatus::OnMachine(0))]),
    ];
    let expected = vec![
        (0, 2, 0, Some("vm-2".to_owned())),
        (1, 1, 2, None),
        (2, 1, 1, None),
    ];
    for start in 0..entries.len() {
        let mut order = entries.to_vec();
        order.rotate_left(start);
        assert_eq!(recovered_tasks(order.clone()), expected);
        order.reverse();
        order.extend_from_within(..2);
        assert_eq!(recovered_tasks(order), expected);
    }
}

/// A node that has just taken over, at 1000 ms, with the lease 7.
fn successor() -> Node {
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

fn read(node: &mut Node, rows: Vec<Row>) {
    let notes = Page {
        rows,
        more: false,
        revision: 9,
    };
    node.on_leader_log_read(7, Ok(StateReply::Page(notes)));
}

fn synced(node: &mut Node, sent_at: Millis, events: Vec<Event>) {
    let changes = Changes {
        revision: 9,
        events,
    };
    node.on_read_barrier(0, sent_at, Ok(StateReply::Changes(changes)));
}

/// Job 1, of four tasks, was accepted.
fn accepted() -> Event {
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

/// Pages of the version before, which counted them by 99 tasks, and of this one, by 9, tell of the
/// same tasks. Both count, neither is written for the other, and both go when the job is over.
#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn snapshots_of_every_range_length_are_read_and_deleted() {
    let mut node = successor();
    let (.., log) = log_row(3, 1, &[TaskRecord(3, 1, RecordedStatus::OnMachine(1))]);
    let page = |tasks: &[TaskRecord]| SnapshotRecord {
        job: log.jobs[0].1.clone(),
        machines: log.machines.clone(),
        tasks: tasks.to_vec(),
    };
    let old = page(&[
        TaskRecord(0, 1, RecordedStatus::OnMachine(0)),
        TaskRecord(1, 1, RecordedStatus::Done),
        TaskRecord(2, 2, RecordedStatus::OnMachine(0)),
    ]);
    let new = page(&[
        TaskRecord(0, 2, RecordedStatus::OnMachine(1)),
        TaskRecord(2, 1, RecordedStatus::Waiting),
    ]);
    let row = |key: String, value, version| Row {
        key,
        value,
        version,
    };
    let length = storage::task_range_len(2.0);
    let numbers = [SnapshotNumber(0), SnapshotNumber::new(length, 0)];
    let keys = numbers.map(|number| storage::snapshot_key(JobId(1), number));
    let rows = vec![
        row(storage::log_slot_key(3), storage::to_value(&log), 3),
        row(keys[0].clone(), storage::to_value(&old), 2),
        row(keys[1].clone(), storage::to_value(&new), 6),
    ];
    read(&mut node, rows);
    synced(&mut node, 1010, vec![accepted()]);
    let leader = node.leader_state.as_mut().expect("it leads");
    let cluster = leader.cluster.as_mut().expect("they are made");
    assert_eq!(cluster.task_range_len, length);
    let job = cluster.jobs_by_id[&JobId(1)];
    let stands = |task: usize| {
        let task = cluster.job(job).tasks[task];
        let on = match task.status {
            TaskStatus::Active(on) => Some(cluster.machine(on).name.clone()),
            _ => None,
        };
        (task.attempt, task.status == TaskStatus::Done, on)
    };
    let on = |machine: &str| Some(machine.to_owned());
    assert_eq!(stands(0), (2, false, on("vm-2")));
    assert_eq!(stands(1), (1, true, None));
    assert_eq!(stands(2), (2, false, on("vm-1")));
    assert_eq!(stands(3), (1, false, on("vm-2")));
    let own = cluster.job(job).task_ranges[0].key_version;
    assert_eq!((own, cluster.stored_snapshots(job).len()), (6, 2));
    // Over, and nothing of it is left on a machine.
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
        panic!("nothing is swept");
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

/// A job that was accepted elsewhere just before the takeover, and placed by the predecessor, was not
/// known yet when the notes had been read: it was taken for one that is over, and what ran of it
/// would have been stopped for good.
#[test]
fn leadership_is_valid_from_send_time_of_last_successful_renewal() {
    let mut node = successor();
    node.read_barrier.confirmed_at = Some(100_000);
    let may_start_at = |node: &mut Node, now| {
        node.now = now;
        node.can_start_tasks()
    };
    assert!(may_start_at(&mut node, 900 + 3100));
    assert!(!may_start_at(&mut node, 900 + 3300), "granted at 900");
    node.now = 4000;
    node.on_leader_lease_renewed(7, 2000, Ok(StateReply::Touched));
    assert!(may_start_at(&mut node, 2000 + 3100));
    assert!(!may_start_at(&mut node, 2000 + 3300), "sent at 2000");
}

#[test]
fn rebuild_waits_for_a_sync_started_after_takeover() {
    let mut node = successor();
    let (slot, version, record) = log_row(3, 1, &[TaskRecord(0, 1, RecordedStatus::OnMachine(0))]);
    let row = Row {
        key: storage::log_slot_key(slot),
        value: storage::to_value(&record),
        version,
    };
    read(&mut node, vec![row]);
    // One that was under way already.
    synced(&mut node, 990, Vec::new());
    let made = |node: &Node| {
        node.leader_state
            .as_ref()
            .is_some_and(|l| l.cluster.is_some())
    };
    assert!(!made(&node));
    synced(&mut node, 1010, vec![accepted()]);
    assert!(made(&node));
    let cluster = node.leader_state.as_ref().and_then(|l| l.cluster.as_ref());
    let cluster = cluster.expect("they are made");
    let job = cluster.job(cluster.jobs_by_id[&JobId(1)]);
    assert!(!job.closed);
    assert_eq!(
        (job.waiting.len(), cluster.machines[0].attempts.len()),
        (3, 1)
    );
    assert!(cluster.machines[0].attempts[0].stop_grace_s.is_none());
}
