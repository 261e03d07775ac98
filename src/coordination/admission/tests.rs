use serde_json::json;

use super::*;
use crate::{
    coordination::{Ask, Command, Now, registry},
    protocol::{job::Kind, state::Changes},
    storage::JobRecord,
};

/// A node that has synced, of three.
fn node() -> Node {
    let config = serde_json::from_value(json!({
        "label": "n0", "domain": "a", "listen": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "members": [{"label": "n1", "domain": "b", "address": "127.0.0.1:5"},
                    {"label": "n2", "domain": "b", "address": "127.0.0.1:6"}],
        "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "settings": {
            "zones": ["a"], "teams": [{"name": "red"}],
            "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
            "cloud": {"rps": 3.0}, "limits": {"mem_mb": 20.0}
        }
    }));
    let mut node = Node::new(config.expect("valid settings"));
    node.directory.load_for_test();
    node.loading = registry::Loading::Done;
    let kind = json!({"sku": "c16", "cpus": 16.0, "ram_gb": 64.0, "hourly": 1.0,
        "ready_s": 10.0, "pull_gb_per_s": 1.0, "local_gb": 50.0, "yards": ["a"]});
    node.types = vec![serde_json::from_value(kind).expect("a machine type")];
    synced(&mut node, 1000);
    node
}

fn at(steady: Millis) -> Now {
    Now {
        steady,
        wall: steady,
    }
}

fn synced(node: &mut Node, now: Millis) {
    let changes = Changes {
        revision: 1,
        events: Vec::new(),
    };
    let sync = Command::State {
        tag: StateTag::Sync { generation: 0 },
        sent_at: now,
        result: Ok(StateReply::Changes(changes)),
    };
    node.step([sync], at(now));
}

fn submission(id: u64, tasks: u32) -> Submission {
    let spec = json!({
        "id": JobId(id), "lane": "any", "crew": "red", "shape": "array",
        "urgency": "standard", "pieces": tasks, "cpus": 2.0, "gpus": 0.0, "ram_gb": 1.0,
        "builds": null, "yard": null, "together": false, "apart": false, "loaners": true,
        "kit": "img", "size_gb": 0.1, "guess_s": 10.0, "bookmark_s": 0.0, "stash_s": 0.0,
    });
    serde_json::from_value(spec).expect("a submission")
}

/// What the node does with submissions: how many go on to the state service, and the answers.
fn submit(
    node: &mut Node,
    ids: std::ops::Range<u64>,
    tasks: u32,
    now: Millis,
) -> (usize, Vec<Answer>) {
    let asks = ids.map(|id| Command::Ask(id, Ask::Submit(Box::new(submission(id, tasks)))));
    let effects = node.step(asks.collect::<Vec<_>>(), at(now));
    let goes_on = |effect: &&Effect| {
        let tag = match effect {
            Effect::State { tag, .. } => tag,
            _ => return false,
        };
        matches!(tag, StateTag::Submit { .. })
    };
    let on = effects.iter().filter(goes_on).count();
    let answers = effects.into_iter().filter_map(|effect| match effect {
        Effect::Answer(_, answer) => Some(answer),
        _ => None,
    });
    (on, answers.collect())
}

/// A flood over one node: it takes its part, and the others are told at once when to come back.
#[test]
fn a_node_lets_in_its_part_and_tells_the_others_when_to_come_back() {
    let mut node = node();
    let (on, answers) = submit(&mut node, 1..401, 1, 1000);
    let part = node.parts().whole();
    assert!(
        on as f64 >= part && on as f64 <= part * 3.0 + 1.0,
        "{on} of {part} a second"
    );
    assert_eq!(on + answers.len(), 400, "nobody waits for an answer");
    for answer in &answers {
        let after = answer.retry_after_s.expect("told when to come back");
        assert_eq!(answer.status, 429);
        assert!((1..=30).contains(&after));
    }
}

/// Without the state service a node goes on with less and less, and never with nothing.
#[test]
fn a_node_without_news_goes_back_to_its_floor() {
    let mut node = node();
    let whole = node.parts().whole();
    for (now, least, most) in [
        (2000, 1.0, 1.0),
        (4500, 0.4, 0.6),
        (7000, 0.05, 0.2),
        (90_000, 0.05, 0.2),
    ] {
        node.step([Command::Tick], at(now));
        let part = node.parts().whole() / whole;
        assert!((least..=most).contains(&part), "{part} at {now}");
    }
}

/// Fifty arrays of 100,000 tasks would fill a leader's memory; small jobs go on.
#[test]
fn long_arrays_wait_for_memory_and_leave_some_to_others() {
    let mut node = node();
    let mut taken = 0;
    for id in 1..20 {
        let (on, answers) = submit(&mut node, id..id + 1, 10_000, 1000 + id * 500);
        if on == 1 {
            taken += 1;
            let spec = Box::new(submission(id, 10_000));
            node.directory
                .put_job(JobId(id), JobRecord::Live { at_ms: 1, spec }, id);
        } else {
            assert_eq!(answers[0].retry_after_s, Some(TASKS_AFTER_S));
        }
        synced(&mut node, 1000 + id * 500);
    }
    assert!((4..=8).contains(&taken), "{taken}");
    assert_eq!(submit(&mut node, 100..101, 10, 11_000).0, 1);
    // Room comes back as jobs end.
    node.directory.put_job(JobId(1), JobRecord::Cancelled, 90);
    assert_eq!(submit(&mut node, 101..102, 10_000, 11_500).0, 1);
    assert_eq!(submission(1, 1).kind, Kind::Array);
}

/// As the processor falls behind, polls give way first, then newcomers; cancellations never.
#[test]
fn polls_give_way_before_submissions_as_the_processor_falls_behind() {
    let mut node = node();
    let spec = Box::new(submission(7, 1));
    node.directory
        .put_job(JobId(7), JobRecord::Live { at_ms: 1, spec }, 3);
    for (late, polls, submits) in [(0.1, true, true), (0.4, false, true), (0.95, false, false)] {
        node.admission.late = late;
        let now = node.now + 10;
        synced(&mut node, now);
        node.admission.late = late;
        let asks = [
            Command::Ask(1, Ask::Poll(JobId(7))),
            Command::Ask(2, Ask::Cancel(JobId(7))),
            Command::Ask(3, Ask::Submit(Box::new(submission(900 + now, 1)))),
        ];
        let effects = node.step(asks, at(now + 1));
        let sent_away = |ask: AskId| {
            effects.iter().any(|effect| {
                matches!(effect, Effect::Answer(id, answer) if *id == ask && answer.retry_after_s.is_some())
            })
        };
        assert_eq!(!sent_away(1), polls, "polls, late {late}");
        assert!(!sent_away(2), "cancellations, late {late}");
        assert_eq!(!sent_away(3), submits, "submissions, late {late}");
    }
}
