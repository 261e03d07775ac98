use super::*;
use crate::{
    config::Config,
    coordination::{LeaderAnnouncement, UnresponsiveMachine},
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
    set_time(&mut node, now);
    node
}

/// Sets the time, at which the node holds its key and has just confirmed its lease and its registry.
fn set_time(node: &mut Node, now: Millis) {
    node.now = now;
    node.wall_ms = WALL + now;
    node.lease_renewer.holds_key = true;
    node.lease_renewer.lease_confirmed_at = now;
    node.read_barrier.confirmed_at = Some(now);
}

fn revoke_and_count_renewals(node: &mut Node, sent_at: Millis, inquiry: bool) -> usize {
    let revocation = LeaseRevocation {
        term: 3,
        machines: vec![UnresponsiveMachine {
            name: "vm-1".into(),
            incarnation: 1,
            is_inquiry: inquiry,
        }],
        requested_at_ms: WALL + sent_at,
    };
    node.handle_revocation(1, revocation);
    match node.effects.pop() {
        Some(Effect::RespondRevocation(_, reply)) => reply.renewals.len(),
        other => panic!("expected a reply, got {other:?}"),
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
        reclaim_in_s: None,
        tasks,
    }
}

fn renews_worker(node: &mut Node) -> bool {
    node.renew_worker_lease(&report(Vec::new())).is_some()
}

/// A network partition delayed revocations by half a minute. The leader had long received reports of the
/// thirteen machines again, but this node accepted the revocations as current, and the machines' leases expired
/// when they could reach only this node.
#[test]
fn accepted_revocation_holds_until_it_expires_and_stale_revocations_are_ignored() {
    let mut node = renewer_node(START);
    assert_eq!(revoke_and_count_renewals(&mut node, START, true), 1);
    assert!(renews_worker(&mut node), "an inquiry revokes nothing");
    let mut node = renewer_node(START);
    assert_eq!(revoke_and_count_renewals(&mut node, START, false), 1);
    for (after, expected) in [
        (0, false),
        (REPLY_VALIDITY_MS + 500, false),
        (REVOCATION_DURATION_MS, true),
    ] {
        set_time(&mut node, START + after);
        assert_eq!(
            renews_worker(&mut node),
            expected,
            "{after} ms after the revocation"
        );
    }
    let mut node = renewer_node(START);
    assert_eq!(
        revoke_and_count_renewals(&mut node, START - 30_000, false),
        0,
        "a delayed revocation"
    );
    assert!(renews_worker(&mut node));
}

/// One of the two alone is not enough: with the key but an outdated registry, a cancelled task is kept alive for
/// longer than allowed; with a recent registry but no key, the leader counts the machine as lost.
#[test]
fn lease_renewal_requires_recent_sync_and_renewer_key() {
    let mut node = renewer_node(START);
    let (allowance, lease_ms) = (node.timeouts.renewal_allowance, node.timeouts.renewer_lease);
    for (sync_age, lease_age, expected) in [
        (allowance - 1, 0, true),
        (allowance, 0, false),
        (0, lease_ms - RENEWER_LEASE_MARGIN_MS - 1, true),
        (0, lease_ms - RENEWER_LEASE_MARGIN_MS, false),
    ] {
        node.read_barrier.confirmed_at = Some(START - sync_age);
        node.lease_renewer.lease_confirmed_at = START - lease_age;
        assert_eq!(
            renews_worker(&mut node),
            expected,
            "registry {sync_age} ms old, lease confirmed {lease_age} ms ago"
        );
    }
}

/// An earlier process with this label may have renewed a machine's lease until this one started.
#[test]
fn restarted_renewer_does_not_answer_for_its_predecessor() {
    let mut node = renewer_node(3000);
    let revocation = LeaseRevocation {
        term: 3,
        machines: vec![UnresponsiveMachine {
            name: "vm-1".into(),
            incarnation: 1,
            is_inquiry: false,
        }],
        requested_at_ms: WALL + 3000,
    };
    node.handle_revocation(1, revocation);
    let Some(Effect::RespondRevocation(_, reply)) = node.effects.pop() else {
        panic!("expected a reply");
    };
    assert_eq!(reply.renewals[0].age_ms, 3000);
}

/// An earlier process's write of the lease renewer key was applied late, after its successor's write: the key was
/// then attached to a lease that no process renewed.
#[test]
fn renewer_key_write_is_compare_and_swap_on_read_version() {
    for (registered, version) in [(None, 0), (Some(7), 7)] {
        let mut node = renewer_node(START);
        node.registry.mark_loaded_for_test();
        (node.lease_renewer.lease, node.lease_renewer.holds_key) = (Some(3), false);
        if let Some(version) = registered {
            node.registry.lease_renewers.insert("n0".into(), version);
        }
        node.maintain_renewer_lease();
        let Some(Effect::CallStateService {
            request: StateRequest::Txn(txn),
            ..
        }) = node.effects.pop()
        else {
            panic!("expected a write");
        };
        let key = storage::lease_renewer_key("n0");
        assert_eq!(txn.conditions, [Condition { key, version }]);
    }
    // A process of an earlier release writes without a condition: this node no longer holds the key.
    let mut node = renewer_node(START);
    (node.lease_renewer.lease, node.lease_renewer.key_version) = (Some(3), 9);
    node.on_renewer_registered("n0".into(), 9);
    assert!(renews_worker(&mut node), "the node holds its renewer key");
    node.on_renewer_registered("n0".into(), 12);
    assert!(!renews_worker(&mut node));
}

/// The HTTP status of the answer to a report at a time when an announcement of the leader has just arrived.
fn heartbeat_status(node: &mut Node, report: &Report, now: Millis) -> u16 {
    set_time(node, now);
    node.lease_renewer.leader_announced_at = Some(now);
    node.handle_heartbeat_as_renewer(1, report);
    match node.effects.pop() {
        Some(Effect::Respond(_, response)) => response.status,
        other => panic!("expected a response, got {other:?}"),
    }
}

/// Only the leader lost access to the state service. For 18 s it kept renewing the leases of eleven workers that
/// its successor received no reports from, although the successor's announcements reached it.
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
        "no other leader is known"
    );
    let announcement = |term| LeaderAnnouncement {
        term,
        leader: "n2".into(),
        sent_at_ms: None,
        progress_at_ms: None,
        jobs: Vec::new(),
        reservations: Vec::new(),
    };
    node.on_leader_announcement(announcement(2));
    assert_eq!(
        node.current_other_leader(),
        None,
        "the announcement is of an old term"
    );
    node.on_leader_announcement(announcement(4));
    assert_eq!(node.current_other_leader().as_deref(), Some("n2"));
    assert_eq!(heartbeat_status(&mut node, &idle, START + 100), 421);
    set_time(&mut node, START + 10_000);
    assert_eq!(
        node.current_other_leader(),
        None,
        "the announcement has expired"
    );
}

/// A node restarted inside a network partition. It redirected each worker's first report to the leader, which
/// the worker could not reach, and the worker's lease expired before it came back.
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
    // The lease is renewed; the worker is redirected with most of its lease left; the lease is renewed when the
    // worker comes back, and so on.
    let steps = [
        (0, 200),
        (2500, 421),
        (8000, 200),
        (10_500, 200),
        (13_600, 421),
    ];
    for (after, status) in steps {
        let answered = heartbeat_status(&mut node, &busy, START + after);
        assert_eq!(answered, status, "{after} ms after the first report");
    }
}
