use super::*;
use crate::{
    cluster::JobIx, config::Settings, coordination::takeover::over, protocol::ids::JobId,
    storage::JobNote,
};
use serde_json::json;

/// An inquiry binds nobody: a deputy that has answered one may renew the machine right after.
#[test]
fn only_a_promise_shows_that_nobody_renews() {
    let deputies = BTreeMap::from([("n1".to_owned(), 1)]);
    for binding in [false, true] {
        let (sent_at, until) = (99_000, 99_500);
        let ack = Ack {
            sent_at,
            until,
            binding,
        };
        let acks = HashMap::from([(("n1".to_owned(), "vm-1".to_owned()), ack)]);
        let gone = HashMap::new();
        let proven = nobody_renews(&deputies, &gone, &acks, "vm-1", 100_000, 14_300);
        assert_eq!(proven, binding);
    }
}

/// A job of two tasks, and a machine.
fn books() -> (Books, JobIx, MachineIx) {
    let settings: Settings = serde_json::from_value(json!({
        "zones": ["a"], "teams": [{"name": "red"}],
        "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 3.0}
    }))
    .expect("valid settings");
    let mut books = Books::new(&settings, &[]);
    let noted = JobNote {
        team: "red".into(),
        of: 2,
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
    };
    let job = over(&mut books, JobId(1), &noted, 0).expect("a known team");
    let zone = books.zone("a");
    let on = books.add_machine("vm-1", TypeIx(0), zone, false, 0);
    (books, job, on)
}

fn sent(job: JobIx, task: u32) -> Attempt {
    Attempt {
        job,
        task,
        attempt: 1,
        phase: Phase::Placed,
        cause: None,
        placed_at: 0,
        running_since: None,
        sent: true,
        inherited: false,
        outstanding: false,
        answered_at: None,
        fence: 0,
        stop: None,
        stop_sent: false,
        settled: false,
        direct: 0,
        owed: false,
    }
}

/// A worker that has been told to forget a completion cannot tell a successor of it.
#[test]
fn a_completion_is_stored_before_its_worker_forgets_it() {
    let (mut books, job, on) = books();
    let attempt = Attempt {
        phase: Phase::Ended,
        cause: Some(Cause::Done),
        settled: true,
        ..sent(job, 0)
    };
    books.book(attempt, on);
    books.complete_task(job, 0);
    assert!(orders_for(&mut books, on, &[], 0, true).is_empty());
    books.unlogged.clear();
    let orders = orders_for(&mut books, on, &[], 0, true);
    assert!(matches!(orders[..], [Order::Forget { .. }]), "{orders:?}");
}

/// The start of an attempt that was stopped came once more after the worker had been told to forget it, and ran
/// beside the next attempt.
#[test]
fn what_was_started_directly_is_forgotten_behind_a_higher_term() {
    let (mut books, job, on) = books();
    for (task, direct) in [(0, 5), (1, 0)] {
        let attempt = Attempt {
            phase: Phase::Ended,
            cause: Some(Cause::Stopped),
            settled: true,
            direct,
            ..sent(job, task)
        };
        books.book(attempt, on);
    }
    let mut forgets = |token| {
        books.machines[on.at()].token = token;
        let orders = orders_for(&mut books, on, &[], 0, true);
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
fn a_late_report_of_a_new_session_denies_nothing_inherited() {
    let (mut books, job, on) = books();
    for (task, inherited) in [(0, true), (1, false)] {
        let attempt = Attempt {
            inherited,
            outstanding: !inherited,
            fence: 7,
            ..sent(job, task)
        };
        books.book(attempt, on);
    }
    let left = |books: &Books| -> Vec<u32> {
        let attempts = &books.machine(on).attempts;
        attempts.iter().map(|attempt| attempt.task).collect()
    };
    books.machines[on.at()].token = 6;
    end_session(&mut books, on, 0, &[]);
    assert_eq!(left(&books), [0], "the own start went to the old session");
    // A worker that has seen this term refuses what the predecessor sent.
    books.machines[on.at()].token = 7;
    end_session(&mut books, on, 0, &[]);
    assert!(left(&books).is_empty());
}
