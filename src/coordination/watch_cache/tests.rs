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

/// A node that had lost its way to the state service had each user wait for as long as a request may
/// take before it asked a member.
#[test]
fn node_without_state_service_answers_relays_requests_at_once() {
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
    let kind = serde_json::json!({"sku": "c16", "cpus": 16.0, "ram_gb": 64.0, "hourly": 1.0,
        "ready_s": 10.0, "pull_gb_per_s": 1.0, "local_gb": 50.0, "yards": ["a"]});
    node.machine_types = vec![serde_json::from_value(kind).expect("a machine type")];
    let mut relayed = |result, asks: Vec<ApiRequest>| {
        let tag = StateTag::ReadBarrier { generation: 0 };
        let sent_at = 0;
        let mut commands = vec![Command::StateResponse {
            tag,
            sent_at,
            result,
        }];
        commands.extend(
            (1..)
                .zip(asks)
                .map(|(id, ask)| Command::ApiRequest(id, ask)),
        );
        let now = ClockReading {
            monotonic_ms: 1000,
            wall_ms: 0,
        };
        let effects = node.step(commands, now);
        let relays = effects
            .iter()
            .filter(|each| matches!(each, Effect::RelayRequest { .. }));
        relays.count()
    };
    let asks = || vec![ApiRequest::Poll(JobId(1)), ApiRequest::Submit(spec(1))];
    assert_eq!(relayed(Err(StateError::NoAnswer), asks()), 2);
    assert_eq!(
        relayed(Err(StateError::Refused(503)), asks()),
        0,
        "an outage"
    );
}
