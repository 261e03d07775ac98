use super::*;
use crate::{
    config::Config,
    coordination::{Progress, SilentMachine},
    protocol::worker::TaskReport,
    storage::LeaderRecord,
};

const START: Millis = 100_000;
const WALL: u64 = 1_700_000_000_000;

fn deputy(now: Millis) -> Node {
    let config: Config = serde_json::from_value(serde_json::json!({
        "label": "n0", "domain": "a", "listen": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "members": [{"label": "n1", "domain": "b", "address": "127.0.0.1:5"},
                    {"label": "n2", "domain": "b", "address": "127.0.0.1:6"}],
        "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "settings": {
            "zones": ["a"], "teams": [{"name": "red"}], "clock_error_ms": 100.0,
            "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
            "cloud": {"rps": 3.0, "list_lag_s": 6.0}
        }
    }))
    .expect("valid settings");
    let mut node = Node::new(config);
    node.directory.term = 3;
    at(&mut node, now);
    node
}

fn at(node: &mut Node, now: Millis) {
    node.now = now;
    node.wall = WALL + now;
    node.deputy.held = true;
    node.deputy.ok = now;
    node.sync.ok = Some(now);
}

fn ask(node: &mut Node, asked: Millis, inquiry: bool) -> usize {
    let revocation = Revocation {
        term: 3,
        machines: vec![SilentMachine {
            name: "vm-1".into(),
            session: 1,
            inquiry,
        }],
        asked_ms: WALL + asked,
    };
    node.revoke(1, revocation);
    match node.out.pop() {
        Some(Effect::Revoked(_, word)) => word.renewals.len(),
        other => panic!("no answer but {other:?}"),
    }
}

fn report(tasks: Vec<TaskReport>) -> Report {
    Report {
        machine: "vm-1".into(),
        addr: "10.0.0.1:1".into(),
        type_name: "c16".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        seq: 1,
        token: 3,
        notice_s: None,
        tasks,
    }
}

fn renews(node: &mut Node) -> bool {
    node.renew(&report(Vec::new())).is_some()
}

/// A cut held questions back for half a minute; taken for new ones, they let thirteen machines
/// that the leader had long heard again die when only this node could be reached.
#[test]
fn a_promise_binds_while_the_leader_may_act_on_it_and_late_questions_not_at_all() {
    let mut node = deputy(START);
    assert_eq!(ask(&mut node, START, true), 1);
    assert!(renews(&mut node), "an inquiry binds to nothing");
    let mut node = deputy(START);
    assert_eq!(ask(&mut node, START, false), 1);
    for (after, expected) in [(0, false), (ACK_FRESH + 500, false), (PROMISE, true)] {
        at(&mut node, START + after);
        assert_eq!(renews(&mut node), expected, "{after} ms after the promise");
    }
    let mut node = deputy(START);
    assert_eq!(ask(&mut node, START - 30_000, false), 0, "a late question");
    assert!(renews(&mut node));
}

/// Either alone would do harm: with a key but no news, a cancelled task is kept alive for longer than it
/// may be; with news but no key, the leader takes the machine for gone.
#[test]
fn workers_are_renewed_only_with_news_and_a_key() {
    let mut node = deputy(START);
    let (allowance, life) = (node.times.allowance, node.times.deputy_life);
    for (synced, held, expected) in [
        (allowance - 1, 0, true),
        (allowance, 0, false),
        (0, life - EARLY - 1, true),
        (0, life - EARLY, false),
    ] {
        node.sync.ok = Some(START - synced);
        node.deputy.ok = START - held;
        assert_eq!(renews(&mut node), expected, "{synced} and {held} ms ago");
    }
}

/// A process that had this label before may have renewed a machine until this one began.
#[test]
fn a_new_process_does_not_vouch_for_the_one_before() {
    let mut node = deputy(3000);
    let revocation = Revocation {
        term: 3,
        machines: vec![SilentMachine {
            name: "vm-1".into(),
            session: 1,
            inquiry: false,
        }],
        asked_ms: WALL + 3000,
    };
    node.revoke(1, revocation);
    let Some(Effect::Revoked(_, word)) = node.out.pop() else {
        panic!("no answer");
    };
    assert_eq!(word.renewals[0].age_ms, 3000);
}

/// A process before wrote its key late, after its successor's: it hung on a lease that nobody renewed.
#[test]
fn a_key_is_written_over_the_version_that_was_read_and_no_other() {
    for (known, version) in [(None, 0), (Some(7), 7)] {
        let mut node = deputy(START);
        node.directory.load_for_test();
        (node.deputy.lease, node.deputy.held) = (Some(3), false);
        if let Some(version) = known {
            node.directory.deputies.insert("n0".into(), version);
        }
        node.keep_deputy();
        let Some(Effect::State {
            request: StateRequest::Txn(txn),
            ..
        }) = node.out.pop()
        else {
            panic!("no write");
        };
        let key = storage::deputy_key("n0");
        assert_eq!(txn.conditions, [Condition { key, version }]);
    }
    // One of a version before, which writes without a condition: the key is not held any more.
    let mut node = deputy(START);
    (node.deputy.lease, node.deputy.version) = (Some(3), 9);
    node.deputy_came("n0".into(), 9);
    assert!(renews(&mut node), "its own");
    node.deputy_came("n0".into(), 12);
    assert!(!renews(&mut node));
}

/// The status that a report is answered with at a time.
fn answered(node: &mut Node, report: &Report, now: Millis) -> u16 {
    at(node, now);
    node.deputy.leader_heard = Some(now);
    node.check_in_as_deputy(1, report);
    match node.out.pop() {
        Some(Effect::Answer(_, answer)) => answer.status,
        other => panic!("no answer but {other:?}"),
    }
}

/// The state service refused a leader alone: for 18 s it kept eleven workers alive that its
/// successor, which it could hear, did not hear of.
#[test]
fn a_node_sends_workers_on_to_a_leader_that_only_members_tell_of() {
    let mut node = deputy(START);
    node.directory.leader = Some((
        LeaderRecord {
            node: "n0".into(),
            lease: 1,
            term: 3,
        },
        1,
    ));
    let idle = report(Vec::new());
    assert_eq!(
        answered(&mut node, &idle, START),
        200,
        "nobody else is known"
    );
    let told = |term| Progress {
        term,
        leader: "n2".into(),
        jobs: Vec::new(),
        turns: Vec::new(),
    };
    node.heard_progress(told(2));
    assert_eq!(node.other_leader(), None, "an old one");
    node.heard_progress(told(4));
    assert_eq!(node.other_leader().as_deref(), Some("n2"));
    assert_eq!(answered(&mut node, &idle, START + 100), 421);
    at(&mut node, START + 10_000);
    assert_eq!(node.other_leader(), None, "not heard of any more");
}

/// A node was started anew inside a cut: each worker's first report there was sent on to the
/// leader, which it could not reach, and its lease ran out on the way.
#[test]
fn a_busy_worker_is_renewed_before_it_is_sent_to_the_leader() {
    let mut node = deputy(START);
    let leader = LeaderRecord {
        node: "n1".into(),
        lease: 1,
        term: 3,
    };
    node.directory.leader = Some((leader, 1));
    assert_eq!(answered(&mut node, &report(Vec::new()), START), 421, "idle");
    node.deputy.sent_on.clear();
    let busy = report(vec![TaskReport {
        task: "j-000001/0".parse().expect("a task"),
        attempt: 1,
        state: TaskState::Running,
        cause: None,
        saved: None,
    }]);
    // It is renewed, sent on with most of its lease left, renewed when it comes back, and so on.
    let steps = [
        (0, 200),
        (2500, 421),
        (8000, 200),
        (10_500, 200),
        (13_600, 421),
    ];
    for (after, status) in steps {
        let found = answered(&mut node, &busy, START + after);
        assert_eq!(found, status, "{after} ms after the first");
    }
}
