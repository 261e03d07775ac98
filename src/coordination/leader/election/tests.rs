use super::*;
use crate::coordination::{
    ClockReading, Command, LeaseRenewalAge, RenewalReply, registry::RegistryChange,
    watch_cache::RegistryLoad,
};

fn node(has_older_peer: bool) -> Node {
    let config = serde_json::from_value(serde_json::json!({
        "label": "n0", "domain": "a", "listen": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "members": [{"label": "n1", "domain": "b", "address": "127.0.0.1:5"}],
        "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "settings": {
            "zones": ["a"], "teams": [{"name": "red"}],
            "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
            "cloud": {"rps": 3.0}
        }
    }));
    let mut node = Node::new(config.expect("valid settings"));
    node.registry.mark_loaded_for_test();
    node.registry_load = RegistryLoad::Done;
    if has_older_peer {
        node.registry.lease_renewers.insert("n1".into(), 3);
    }
    let machine_type = serde_json::json!({"sku": "c16", "cpus": 16.0, "ram_gb": 64.0, "hourly": 1.0,
        "ready_s": 10.0, "pull_gb_per_s": 1.0, "local_gb": 50.0, "yards": ["a"]});
    node.machine_types = vec![serde_json::from_value(machine_type).expect("a machine type")];
    node
}

/// Whether the node requests a lease for the leader's key in a step at one of these times.
fn starts_election(node: &mut Node, times: impl IntoIterator<Item = Millis>) -> bool {
    times.into_iter().any(|monotonic_ms| {
        let now = ClockReading { monotonic_ms, wall_ms: 0 };
        let effects = node.step([Command::Tick], now);
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::CallStateService { tag, .. } if *tag == StateTag::GrantLeaderLease))
    })
}

/// A process that crashed every two seconds became the leader each time: the next process under its
/// label released the old lease and acquired leadership before the other nodes had received the
/// deletion of the leader's key.
#[test]
fn young_process_defers_election_to_older_nodes() {
    let mut young_node = node(true);
    let own_record = LeaderRecord {
        node: "n0".into(),
        lease: 7,
        term: 3,
    };
    young_node.registry.leader = Some((own_record, 5));
    assert!(!starts_election(&mut young_node, [40, 60, 80]));
    young_node.registry.leader = None;
    assert!(!starts_election(
        &mut young_node,
        (100..100 + YOUNG_ELECTION_DELAY_MS).step_by(50)
    ));
    assert!(
        starts_election(&mut young_node, [100 + YOUNG_ELECTION_DELAY_MS]),
        "no other node became the leader"
    );
    let mut old_node = node(true);
    assert!(starts_election(&mut old_node, [YOUNG_PROCESS_AGE_MS]));
    let mut oldest_node = node(false);
    assert!(
        starts_election(&mut oldest_node, [40]),
        "no other process is older"
    );
}

/// A lease renewer accepted the revocation of an unresponsive machine's lease, then restarted. The new
/// process under the same label had no record of the revocation and renewed the machine's lease, while the
/// leader started the machine's tasks elsewhere.
#[test]
fn accepted_revocation_is_void_after_renewer_restart() {
    let mut node = node(true);
    node.now = 50_000;
    node.election.step = ElectionStep::AcquiringLeadership {
        lease: 7,
        lease_requested_at: 50_000,
        term: 4,
    };
    node.become_leader(7, 100);
    let reply_count_after = |node: &mut Node, sent_at| {
        let renewal = LeaseRenewalAge {
            machine: "vm-1".into(),
            age_ms: 20_000,
            is_inquiry: false,
        };
        let reply = RenewalReply {
            renewals: vec![renewal],
            reporting_workers: 0,
        };
        node.on_revocation_reply(7, "n1".into(), sent_at, Some(reply));
        let leader = node.leader_state.as_ref().expect("it leads");
        leader.revocations.reply_count()
    };
    assert_eq!(reply_count_after(&mut node, 50_000), 1);
    node.now = 51_000;
    node.on_registry_change(RegistryChange::RenewerRegistered("n1".into(), 120));
    let leader = node.leader_state.as_ref().expect("it leads");
    assert_eq!(
        leader.revocations.reply_count(),
        0,
        "the renewer's key was written by a new process"
    );
    node.now = 52_000;
    assert_eq!(
        reply_count_after(&mut node, 50_900),
        0,
        "request sent before the restart"
    );
    assert_eq!(
        reply_count_after(&mut node, 51_900),
        1,
        "request sent after the restart"
    );
}
