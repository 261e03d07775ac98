use super::*;
use crate::coordination::{
    Command, Now, Renewal, Word,
    registry::{self, Change},
};

fn node(older: bool) -> Node {
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
    node.directory.load_for_test();
    node.loading = registry::Loading::Done;
    if older {
        node.directory.deputies.insert("n1".into(), 3);
    }
    let kind = serde_json::json!({"sku": "c16", "cpus": 16.0, "ram_gb": 64.0, "hourly": 1.0,
        "ready_s": 10.0, "pull_gb_per_s": 1.0, "local_gb": 50.0, "yards": ["a"]});
    node.types = vec![serde_json::from_value(kind).expect("a machine type")];
    node
}

/// Whether the node asks for a lease to lead on at one of these moments.
fn campaigns(node: &mut Node, times: impl IntoIterator<Item = Millis>) -> bool {
    times.into_iter().any(|steady| {
        let now = Now { steady, wall: 0 };
        let effects = node.step([Command::Tick], now);
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::State { tag, .. } if *tag == StateTag::Grant))
    })
}

/// A process that ended every two seconds led each time: its successor gave its lease back and took the
/// next, before the others had heard that there was none.
#[test]
fn a_process_that_has_just_begun_lets_others_lead_first() {
    let mut young = node(true);
    let own = LeaderRecord {
        node: "n0".into(),
        lease: 7,
        term: 3,
    };
    young.directory.leader = Some((own, 5));
    assert!(!campaigns(&mut young, [40, 60, 80]));
    young.directory.leader = None;
    assert!(!campaigns(&mut young, (100..100 + DEFER).step_by(50)));
    assert!(campaigns(&mut young, [100 + DEFER]), "nobody else is there");
    let mut old = node(true);
    assert!(campaigns(&mut old, [YOUNG]));
    let mut first = node(false);
    assert!(campaigns(&mut first, [40]), "nobody has lived longer");
}

/// A deputy promised to leave a silent machine alone, ended, and was back at once: its successor under the same
/// label knew of no promise and renewed the machine, whose tasks the leader started elsewhere.
#[test]
fn a_promise_binds_the_process_that_made_it_and_no_other() {
    let mut node = node(true);
    node.now = 50_000;
    node.campaign.step = Step::Acquiring {
        lease: 7,
        granted: 50_000,
        term: 4,
    };
    node.acquired(7, 100);
    let promises = |node: &mut Node, sent_at| {
        let promise = Renewal {
            machine: "vm-1".into(),
            age_ms: 20_000,
            inquiry: false,
        };
        let word = Word {
            renewals: vec![promise],
            hears: 0,
        };
        node.revoked(7, "n1".into(), sent_at, Some(word));
        let leading = node.leading.as_ref().expect("it leads");
        leading.acks.len()
    };
    assert_eq!(promises(&mut node, 50_000), 1);
    node.now = 51_000;
    node.changed(Change::Deputy("n1".into(), 120));
    let leading = node.leading.as_ref().expect("it leads");
    assert!(leading.acks.is_empty(), "its key was written anew");
    node.now = 52_000;
    assert_eq!(promises(&mut node, 50_900), 0, "asked before that");
    assert_eq!(promises(&mut node, 51_900), 1, "asked again");
}
