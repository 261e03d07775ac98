use serde_json::json;

use super::*;
use crate::{
    coordination::{ApiRequest, ClockReading, Command, watch_cache::RegistryLoad},
    protocol::{job::JobKind, state::Changes},
    storage::JobRecord,
};

/// One node of three, which has completed a read barrier.
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
    node.registry.mark_loaded_for_test();
    node.registry_load = RegistryLoad::Done;
    let machine_type = json!({"sku": "c16", "cpus": 16.0, "ram_gb": 64.0, "hourly": 1.0,
        "ready_s": 10.0, "pull_gb_per_s": 1.0, "local_gb": 50.0, "yards": ["a"]});
    node.machine_types = vec![serde_json::from_value(machine_type).expect("a machine type")];
    complete_read_barrier(&mut node, 1000);
    node
}

fn clock_at(now: Millis) -> ClockReading {
    ClockReading {
        monotonic_ms: now,
        wall_ms: now,
    }
}

fn complete_read_barrier(node: &mut Node, now: Millis) {
    let changes = Changes {
        revision: 1,
        events: Vec::new(),
    };
    let response = Command::StateResponse {
        tag: StateTag::ReadBarrier { generation: 0 },
        sent_at: now,
        result: Ok(StateReply::Changes(changes)),
    };
    node.step([response], clock_at(now));
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

/// Submits jobs of `tasks` tasks. Returns how many of them the node stores, and its answers to the others.
fn submit(
    node: &mut Node,
    ids: std::ops::Range<u64>,
    tasks: u32,
    now: Millis,
) -> (usize, Vec<ApiResponse>) {
    let commands =
        ids.map(|id| Command::ApiRequest(id, ApiRequest::Submit(Box::new(submission(id, tasks)))));
    let effects = node.step(commands.collect::<Vec<_>>(), clock_at(now));
    let is_put_job = |effect: &&Effect| {
        let tag = match effect {
            Effect::CallStateService { tag, .. } => tag,
            _ => return false,
        };
        matches!(tag, StateTag::PutJob { .. })
    };
    let stored_count = effects.iter().filter(is_put_job).count();
    let responses = effects.into_iter().filter_map(|effect| match effect {
        Effect::Respond(_, response) => Some(response),
        _ => None,
    });
    (stored_count, responses.collect())
}

/// A node that gets a flood of submissions admits its share, and immediately answers the others with a retry delay.
#[test]
fn node_admits_its_share_and_defers_the_rest_with_retry_after() {
    let mut node = node();
    let (stored_count, responses) = submit(&mut node, 1..401, 1, 1000);
    let share_per_s = node.quota_shares().total();
    assert!(
        stored_count as f64 >= share_per_s && stored_count as f64 <= share_per_s * 3.0 + 1.0,
        "{stored_count} admitted at {share_per_s} a second"
    );
    assert_eq!(
        stored_count + responses.len(),
        400,
        "every submission is stored or answered at once"
    );
    for response in &responses {
        let retry_after_s = response.retry_after_s.expect("a retry delay");
        assert_eq!(response.status, 429);
        assert!((1..=30).contains(&retry_after_s));
    }
}

/// A node without responses from the state service reduces its rate in steps, but never to zero.
#[test]
fn node_without_read_barrier_falls_back_to_its_floor() {
    let mut node = node();
    let initial_total = node.quota_shares().total();
    for (now, min_fraction, max_fraction) in [
        (2000, 1.0, 1.0),
        (4500, 0.4, 0.6),
        (7000, 0.05, 0.2),
        (90_000, 0.05, 0.2),
    ] {
        node.step([Command::Tick], clock_at(now));
        let fraction = node.quota_shares().total() / initial_total;
        assert!(
            (min_fraction..=max_fraction).contains(&fraction),
            "{fraction} of the first share at {now} ms"
        );
    }
}

/// Fifty arrays of 100,000 tasks would fill a leader's memory. Long arrays are deferred before that; small jobs are
/// still admitted.
#[test]
fn long_arrays_are_deferred_for_memory_and_leave_a_reserve() {
    let mut node = node();
    let mut accepted_count = 0;
    for id in 1..20 {
        let (stored_count, responses) = submit(&mut node, id..id + 1, 10_000, 1000 + id * 500);
        if stored_count == 1 {
            accepted_count += 1;
            let spec = Box::new(submission(id, 10_000));
            node.registry
                .put_job_record(JobId(id), JobRecord::Live { at_ms: 1, spec }, id);
        } else {
            assert_eq!(responses[0].retry_after_s, Some(MEMORY_RETRY_AFTER_S));
        }
        complete_read_barrier(&mut node, 1000 + id * 500);
    }
    assert!(
        (4..=8).contains(&accepted_count),
        "{accepted_count} arrays accepted"
    );
    assert_eq!(submit(&mut node, 100..101, 10, 11_000).0, 1);
    // Memory is free again as jobs end.
    node.registry
        .put_job_record(JobId(1), JobRecord::Cancelled, 90);
    assert_eq!(submit(&mut node, 101..102, 10_000, 11_500).0, 1);
    assert_eq!(submission(1, 1).kind, JobKind::Array);
}

/// As the processor becomes late, polls are refused first, then new submissions; cancellations never.
#[test]
fn polls_are_shed_before_submissions_when_processor_is_late() {
    let mut node = node();
    let spec = Box::new(submission(7, 1));
    node.registry
        .put_job_record(JobId(7), JobRecord::Live { at_ms: 1, spec }, 3);
    for (lateness, polls_pass, submissions_pass) in
        [(0.1, true, true), (0.4, false, true), (0.95, false, false)]
    {
        node.admission.lateness = lateness;
        let now = node.now + 10;
        complete_read_barrier(&mut node, now);
        node.admission.lateness = lateness;
        let commands = [
            Command::ApiRequest(1, ApiRequest::Poll(JobId(7))),
            Command::ApiRequest(2, ApiRequest::Cancel(JobId(7))),
            Command::ApiRequest(3, ApiRequest::Submit(Box::new(submission(900 + now, 1)))),
        ];
        let effects = node.step(commands, clock_at(now + 1));
        let is_refused = |request: RequestId| {
            effects.iter().any(|effect| {
                matches!(effect, Effect::Respond(id, response) if *id == request && response.retry_after_s.is_some())
            })
        };
        assert_eq!(!is_refused(1), polls_pass, "polls at lateness {lateness}");
        assert!(!is_refused(2), "cancellations at lateness {lateness}");
        assert_eq!(
            !is_refused(3),
            submissions_pass,
            "submissions at lateness {lateness}"
        );
    }
}
