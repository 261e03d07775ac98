use serde_json::json;

use super::*;
use crate::{
    cluster::{MachineIx, TaskStatus},
    coordination::Effect,
    protocol::state::{Changes, Event, Page, Write},
};

fn entry(seq: u64, first: u64, notes: &[TaskNote]) -> (u32, u64, LogRecord) {
    let job = JobNote {
        team: "red".into(),
        of: 4,
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
    };
    let machine = |name: &str| MachineNote {
        name: name.into(),
        kind: "c16".into(),
        zone: "a".into(),
        spot: false,
        addr: None,
    };
    let record = LogRecord {
        seq,
        first,
        machines: vec![machine("vm-1"), machine("vm-2")],
        jobs: vec![(JobId(1), job, notes.to_vec())],
    };
    (seq as u32, seq, record)
}

fn says(entries: Vec<(u32, u64, LogRecord)>) -> Vec<(u32, u32, u8, Option<String>)> {
    let found = Found {
        entries,
        ..Found::default()
    };
    let mut says: Vec<_> = merged(&found)
        .into_values()
        .flat_map(|noted| noted.tasks)
        .map(|(task, latest)| {
            let on = latest.on.map(|machine| machine.name.clone());
            (task, latest.attempt, latest.rank, on)
        })
        .collect();
    says.sort();
    says
}

/// A write that got no answer may be applied after those that repeat it: an older note must not
/// hide a newer one, in whatever order the slots are read.
#[test]
fn notes_say_the_same_in_any_order() {
    let entries = [
        entry(
            3,
            2,
            &[TaskNote(0, 1, Note::On(0)), TaskNote(1, 1, Note::On(0))],
        ),
        entry(
            4,
            2,
            &[TaskNote(0, 2, Note::On(1)), TaskNote(1, 1, Note::Done)],
        ),
        entry(5, 3, &[TaskNote(2, 1, Note::On(1))]),
        entry(
            6,
            3,
            &[TaskNote(2, 1, Note::Waiting), TaskNote(0, 2, Note::On(1))],
        ),
        // Before what the others call the first: pages hold it.
        entry(2, 1, &[TaskNote(3, 9, Note::On(0))]),
    ];
    let expected = vec![
        (0, 2, 0, Some("vm-2".to_owned())),
        (1, 1, 2, None),
        (2, 1, 1, None),
    ];
    for start in 0..entries.len() {
        let mut order = entries.to_vec();
        order.rotate_left(start);
        assert_eq!(says(order.clone()), expected);
        order.reverse();
        order.extend_from_within(..2);
        assert_eq!(says(order), expected);
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
    node.granted(900, Ok(StateReply::Granted(7)));
    node.acquire_answered(7, Ok(StateReply::Committed(5)));
    node
}

fn read(node: &mut Node, rows: Vec<Row>) {
    let notes = Page {
        rows,
        more: false,
        revision: 9,
    };
    node.books_read(7, Ok(StateReply::Page(notes)));
}

fn synced(node: &mut Node, sent_at: Millis, events: Vec<Event>) {
    let changes = Changes {
        revision: 9,
        events,
    };
    node.synced(0, sent_at, Ok(StateReply::Changes(changes)));
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
    let (record, _) = storage::live_record(1, &spec, 16 * 1024);
    Event::Put {
        key: storage::job_key(JobId(1)),
        value: storage::to_value(&record),
        version: 4,
    }
}

/// Pages of the version before, which counted them by 99 tasks, and of this one, by 9, tell of the
/// same tasks. Both count, neither is written for the other, and both go when the job is over.
#[test]
fn pages_of_every_length_are_read_and_deleted() {
    let mut node = successor();
    let (.., log) = entry(3, 1, &[TaskNote(3, 1, Note::On(1))]);
    let page = |tasks: &[TaskNote]| ChunkRecord {
        job: log.jobs[0].1.clone(),
        machines: log.machines.clone(),
        tasks: tasks.to_vec(),
    };
    let old = page(&[
        TaskNote(0, 1, Note::On(0)),
        TaskNote(1, 1, Note::Done),
        TaskNote(2, 2, Note::On(0)),
    ]);
    let new = page(&[TaskNote(0, 2, Note::On(1)), TaskNote(2, 1, Note::Waiting)]);
    let row = |key: String, value, version| Row {
        key,
        value,
        version,
    };
    let length = storage::chunk_len(2.0);
    let numbers = [PageNumber(0), PageNumber::new(length, 0)];
    let keys = numbers.map(|number| storage::page_key(JobId(1), number));
    let rows = vec![
        row(storage::slot_key(3), storage::to_value(&log), 3),
        row(keys[0].clone(), storage::to_value(&old), 2),
        row(keys[1].clone(), storage::to_value(&new), 6),
    ];
    read(&mut node, rows);
    synced(&mut node, 1010, vec![accepted()]);
    let leading = node.leading.as_mut().expect("it leads");
    let books = leading.books.as_mut().expect("they are made");
    assert_eq!(books.chunk_len, length);
    let job = books.job_index[&JobId(1)];
    let stands = |task: usize| {
        let task = books.job(job).tasks[task];
        let on = match task.status {
            TaskStatus::Active(on) => Some(books.machine(on).name.clone()),
            _ => None,
        };
        (task.attempt, task.status == TaskStatus::Done, on)
    };
    let on = |machine: &str| Some(machine.to_owned());
    assert_eq!(stands(0), (2, false, on("vm-2")));
    assert_eq!(stands(1), (1, true, None));
    assert_eq!(stands(2), (2, false, on("vm-1")));
    assert_eq!(stands(3), (1, false, on("vm-2")));
    let own = books.job(job).chunks[0].version;
    assert_eq!((own, books.pages(job).len()), (6, 2));
    // Over, and nothing of it is left on a machine.
    books.close_job(job);
    for machine in 0..books.machines.len() as u32 {
        super::super::fleet::lose(books, MachineIx(machine), 2000);
    }
    node.now = 2000;
    node.out.clear();
    node.sweep();
    let Some(Effect::State {
        request: StateRequest::Txn(txn),
        ..
    }) = node.out.pop()
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
    node.swept(7, Ok(StateReply::Committed(10)));
    let books = node.leading.as_ref().and_then(|l| l.books.as_ref());
    assert!(books.is_some_and(|books| books.pages(job).is_empty()));
}

/// A job that was accepted elsewhere just before the takeover, and placed by the predecessor, was not
/// known yet when the notes had been read: it was taken for one that is over, and what ran of it
/// would have been stopped for good.
#[test]
fn a_leaders_rights_count_from_when_its_last_good_touch_was_sent() {
    let mut node = successor();
    node.sync.ok = Some(100_000);
    let may_start_at = |node: &mut Node, now| {
        node.now = now;
        node.may_start()
    };
    assert!(may_start_at(&mut node, 900 + 3100));
    assert!(!may_start_at(&mut node, 900 + 3300), "granted at 900");
    node.now = 4000;
    node.touched(7, 2000, Ok(StateReply::Touched));
    assert!(may_start_at(&mut node, 2000 + 3100));
    assert!(!may_start_at(&mut node, 2000 + 3300), "sent at 2000");
}

#[test]
fn the_books_wait_for_a_sync_that_began_after_the_takeover() {
    let mut node = successor();
    let (slot, version, record) = entry(3, 1, &[TaskNote(0, 1, Note::On(0))]);
    let row = Row {
        key: storage::slot_key(slot),
        value: storage::to_value(&record),
        version,
    };
    read(&mut node, vec![row]);
    // One that was under way already.
    synced(&mut node, 990, Vec::new());
    let made = |node: &Node| node.leading.as_ref().is_some_and(|l| l.books.is_some());
    assert!(!made(&node));
    synced(&mut node, 1010, vec![accepted()]);
    assert!(made(&node));
    let books = node.leading.as_ref().and_then(|l| l.books.as_ref());
    let books = books.expect("they are made");
    let job = books.job(books.job_index[&JobId(1)]);
    assert!(!job.closed);
    assert_eq!(
        (job.waiting.len(), books.machines[0].attempts.len()),
        (3, 1)
    );
    assert!(books.machines[0].attempts[0].stop.is_none());
}
