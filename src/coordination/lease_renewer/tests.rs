use super::*;
use crate::{
    config::Config,
    coordination::{LeaderAnnouncement, SilentMachine},
    protocol::worker::TaskReport,
    storage::LeaderRecord,
};

const START: Millis = 100_000;
const WALL: u64 = 1_700_000_000_000;

fn renewer_node(now: Millis) -> Node {
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
    node.registry.term = 3;
    at(&mut node, now);
    node
}

fn at(node: &mut Node, now: Millis) {
    node.now = now;
    node.wall_ms = WALL + now;
    node.lease_renewer.holds_key = true;
    node.lease_renewer.lease_confirmed_at = now;
    node.read_barrier.confirmed_at = Some(now);
}

fn revoke_and_count_renewals(node: &mut Node, asked: Millis, inquiry: bool) -> usize {
    let revocation = LeaseRevocation {
        term: 3,
        machines: vec![SilentMachine {
            name: "vm-1".into(),
            incarnation: 1,
            is_inquiry: inquiry,
        }],
        asked_at_ms: WALL + asked,
    };
    node.handle_revocation(1, revocation);
    match node.effects.pop() {
        Some(Effect::RespondRevocation(_, word)) => word.renewals.len(),
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
        incarnation: 1,
        seq: 1,
        token: 3,
        notice_s: None,
        tasks,
    }
}

fn renews_worker(node: &mut Node) -> bool {
    node.renew_worker_lease(&report(Vec::new())).is_some()
}

/// A cut held questions back for half a minute; taken for new ones, they let thirteen machines
/// that the leader had long heard again die when only this node could be reached.
#[test]
fn revocation_promise_binds_until_it_expires_and_stale_revocations_are_ignored() {
    let mut node = renewer_node(START);
    assert_eq!(revoke_and_count_renewals(&mut node, START, true), 1);
    assert!(renews_worker(&mut node), "an inquiry binds to nothing");
    let mut node = renewer_node(START);
    assert_eq!(revoke_and_count_renewals(&mut node, START, false), 1);
    for (after, expected) in [
        (0, false),
        (REPLY_VALIDITY_MS + 500, false),
        (PROMISE_DURATION_MS, true),
    ] {
        at(&mut node, START + after);
        assert_eq!(
            renews_worker(&mut node),
            expected,
            "{after} ms after the promise"
        );
    }
    let mut node = renewer_node(START);
    assert_eq!(
        revoke_and_count_renewals(&mut node, START - 30_000, false),
        0,
        "a late question"
    );
    assert!(renews_worker(&mut node));
}

/// Either alone would do harm: with a key but no news, a cancelled task is kept alive for longer than it
/// may be; with news but no key, the leader takes the machine for gone.
#[test]
fn lease_renewal_requires_recent_sync_and_renewer_key() {
    let mut node = renewer_node(START);
    let (allowance, life) = (node.timeouts.renewal_allowance, node.timeouts.renewer_lease);
    for (synced, held, expected) in [
        (allowance - 1, 0, true),
        (allowance, 0, false),
        (0, life - RENEWER_LEASE_MARGIN_MS - 1, true),
        (0, life - RENEWER_LEASE_MARGIN_MS, false),
    ] {
        node.read_barrier.confirmed_at = Some(START - synced);
        node.lease_renewer.lease_confirmed_at = START - held;
        assert_eq!(
            renews_worker(&mut node),
            expected,
            "{synced} and {held} ms ago"
        );
    }
}

/// A process that had this label before may have renewed a machine until this one began.
#[test]
fn restarted_renewer_does_not_answer_for_its_predecessor() {
    let mut node = renewer_node(3000);
    let revocation = LeaseRevocation {
        term: 3,
        machines: vec![SilentMachine {
            name: "vm-1".into(),
            incarnation: 1,
            is_inquiry: false,
        }],
        asked_at_ms: WALL + 3000,
    };
    node.handle_revocation(1, revocation);
    let Some(Effect::RespondRevocation(_, word)) = node.effects.pop() else {
        panic!("no answer");
    };
    assert_eq!(word.renewals[0].age_ms, 3000);
}

/// A process before wrote its key late, after its successor's: it hung on a lease that nobody renewed.
#[test]
fn renewer_key_write_is_compare_and_swap_on_read_version() {
    for (known, version) in [(None, 0), (Some(7), 7)] {
        let mut node = renewer_node(START);
        node.registry.mark_loaded_for_test();
        (node.lease_renewer.lease, node.lease_renewer.holds_key) = (Some(3), false);
        if let Some(version) = known {
            node.registry.lease_renewers.insert("n0".into(), version);
        }
        node.maintain_renewer_lease();
        let Some(Effect::CallStateService {
            request: StateRequest::Txn(txn),
            ..
        }) = node.effects.pop()
        else {
            panic!("no write");
        };
        let key = storage::lease_renewer_key("n0");
        assert_eq!(txn.conditions, [Condition { key, version }]);
    }
    // One of a version before, which writes without a condition: the key is not held any more.
    let mut node = renewer_node(START);
    (node.lease_renewer.lease, node.lease_renewer.key_version) = (Some(3), 9);
    node.on_renewer_registered("n0".into(), 9);
    assert!(renews_worker(&mut node), "its own");
    node.on_renewer_registered("n0".into(), 12);
    assert!(!renews_worker(&mut node));
}

/// The status that a report is answered with at a time.
fn heartbeat_status(node: &mut Node, report: &Report, now: Millis) -> u16 {
    at(node, now);
    node.lease_renewer.leader_heard_at = Some(now);
    node.handle_heartbeat_as_renewer(1, report);
    match node.effects.pop() {
        Some(Effect::Respond(_, answer)) => answer.status,
        other => panic!("no answer but {other:?}"),
    }
}

/// The state service refused a leader alone: for 18 s it kept eleven workers alive that its
/// successor, which it could hear, did not hear of.
#[test]
fn heartbeat_is_redirected_to_a_leader_known_only_from_members() {
    let mut node = renewer_node(START);
    node.registry.leader = Some((
        LeaderRecord {
            node: "n0".into(),
            lease: 1,
            term: 3,
        },
        1,
    ));
    let idle = report(Vec::new());
    assert_eq!(
        heartbeat_status(&mut node, &idle, START),
        200,
        "nobody else is known"
    );
    let told = |term| LeaderAnnouncement {
        term,
        leader: "n2".into(),
        jobs: Vec::new(),
        reservations: Vec::new(),
    };
    node.on_leader_announcement(told(2));
    assert_eq!(node.current_other_leader(), None, "an old one");
    node.on_leader_announcement(told(4));
    assert_eq!(node.current_other_leader().as_deref(), Some("n2"));
    assert_eq!(heartbeat_status(&mut node, &idle, START + 100), 421);
    at(&mut node, START + 10_000);
    assert_eq!(node.current_other_leader(), None, "not heard of any more");
}

/// A node was started anew inside a cut: each worker's first report there was sent on to the
/// leader, which it could not reach, and its lease ran out on the way.
#[test]
fn busy_worker_lease_is_renewed_before_redirect_to_leader() {
    let mut node = renewer_node(START);
    let leader = LeaderRecord {
        node: "n1".into(),
        lease: 1,
        term: 3,
    };
    node.registry.leader = Some((leader, 1));
    assert_eq!(
        heartbeat_status(&mut node, &report(Vec::new()), START),
        421,
        "idle"
    );
    node.lease_renewer.redirected_at.clear();
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
        let found = heartbeat_status(&mut node, &busy, START + after);
        assert_eq!(found, status, "{after} ms after the first");
    }
}
