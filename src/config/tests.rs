use super::*;

/// A settings file in which every validated value is invalid.
const INVALID: &str = r#"{
    "label": "", "domain": "a", "listen": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
    "members": [{"label": "", "domain": "a", "address": "127.0.0.1:5"},
                {"label": "x", "domain": "a", "address": "127.0.0.1:5"},
                {"label": "x", "domain": "a", "address": "127.0.0.1:5"}],
    "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
    "settings": {
        "zones": [],
        "teams": [{"name": "red", "cpus_max": -1.0, "gpus": -2.5}, {"name": "red", "cpus": -0.5}],
        "workers": {"report_s": 0, "lease_s": -1, "cancel_s": -2},
        "limits": {"sockets": 31},
        "state": {"rps": 0, "write_rps": -1, "value_kb": 1.5, "txn_ops": 3,
                  "next": {"rps": 0, "write_rps": 0, "value_kb": 0, "txn_ops": 1}},
        "cloud": {"rps": 0, "list_lag_s": -1}
    }
}"#;

#[test]
fn every_error_is_reported_in_a_fixed_order() {
    let config: Config = serde_json::from_str(INVALID).expect("well-formed settings");
    let expected = [
        "label: is empty",
        "members.label: is empty",
        "members.label: \"x\" occurs twice",
        "settings.zones: names no zone",
        "settings.teams.cpus_max: \"red\" has -1, which is not an amount",
        "settings.teams.gpus: \"red\" has -2.5, which is not an amount",
        "settings.teams.name: \"red\" occurs twice",
        "settings.teams.cpus: \"red\" has -0.5, which is not an amount",
        "settings.workers.report_s: must be above 0",
        "settings.workers.lease_s: must be above 0",
        "settings.workers.cancel_s: must be above 0",
        "settings.cloud.rps: must be above 0",
        "settings.workers.cancel_s: must be above workers.lease_s",
        "settings.limits.sockets: must be at least 32",
        "settings.state.rps: must be above 0",
        "settings.state.write_rps: must be above 0",
        "settings.state.value_kb: must be at least 2",
        "settings.state.txn_ops: must be at least 4",
        "settings.state.next.rps: must be above 0",
        "settings.state.next.write_rps: must be above 0",
        "settings.state.next.value_kb: must be at least 2",
        "settings.state.next.txn_ops: must be at least 4",
        "settings.cloud.list_lag_s: must not be negative",
    ];
    assert_eq!(config.validation_errors(), expected);
}
