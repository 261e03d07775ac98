use super::*;
use crate::{
    coordination::{ApiRequest, ClockReading, Command, Effect, StateTag},
    protocol::{ids::JobId, job::Submission, state::StateError},
};

fn spec(id: u64) -> Box<Submission> {
    let spec = serde_json::json!({
        "id": JobId(id), "lane": "any", "crew": "red", "shape": "array",
        "urgency": "standard", "pieces": 1, "cpus": 2.0, "gpus": 0.0, "ram_gb": 1.0,
        "builds": null, "yard": null, "together": false, "apart": false, "loaners": true,
        "kit": "img", "size_gb": 0.1, "guess_s": 10.0, "bookmark_s": 0.0, "stash_s": 0.0,
        "awaits": [],
    });
    serde_json::from_value(spec).expect("a submission")
}

/// A node that gets no response from the state service must relay requests immediately. Otherwise, each
/// user waits for the longest time that a request may take before the request is relayed to another member.
#[test]
fn node_without_state_service_responses_relays_requests_immediately() {
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
    let machine_type = serde_json::json!({"sku": "c16", "cpus": 16.0, "ram_gb": 64.0, "hourly": 1.0,
        "ready_s": 10.0, "pull_gb_per_s": 1.0, "local_gb": 50.0, "yards": ["a"]});
    node.machine_types = vec![serde_json::from_value(machine_type).expect("a machine type")];
    let mut relayed_count = |result, requests: Vec<ApiRequest>| {
        let tag = StateTag::ReadBarrier { generation: 0 };
        let sent_at = 0;
        let mut commands = vec![Command::StateResponse {
            tag,
            sent_at,
            result,
        }];
        commands.extend(
            (1..)
                .zip(requests)
                .map(|(id, request)| Command::ApiRequest(id, request)),
        );
        let now = ClockReading {
            monotonic_ms: 1000,
            wall_ms: 0,
        };
        let effects = node.step(commands, now);
        let relays = effects
            .iter()
            .filter(|effect| matches!(effect, Effect::RelayRequest { .. }));
        relays.count()
    };
    let requests = || vec![ApiRequest::Poll(JobId(1)), ApiRequest::Submit(spec(1))];
    assert_eq!(relayed_count(Err(StateError::NoAnswer), requests()), 2);
    assert_eq!(
        relayed_count(Err(StateError::Refused(503)), requests()),
        0,
        "a refusal causes no relay"
    );
}
