//! Compatibility with stored records and messages that an earlier version wrote to `tests/golden` (with
//! `tests/histories/golden.rs` and `tests/cells.rs`): this version must read them and write the same bytes.

use std::{collections::BTreeSet, path::PathBuf};

use dalelb::{
    config::Config,
    coordination::{
        CellGrants, CellReport, LeaderAnnouncement, LeaseRevocation, MemberStatus, RenewalReply,
        admission::AdmissionQuotas, quota::CellMembershipRecord,
    },
    protocol::{
        self,
        cloud::{MachineNames, MachineTypes, ProvisionRequest},
        job::{JobView, Submission},
        state::{LeaseRequest, Txn},
        worker::{DirectOrders, Orders, Redirect, Report},
    },
    quota::{CoordinatorRecord, ParticipantRecord},
    storage,
    transport::mesh::proto,
};
use prost::Message;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

fn read_golden(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    std::fs::read_to_string(path.join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn round_trip_json<T: Serialize + DeserializeOwned>(value: &Value) -> Value {
    let record: T = serde_json::from_value(value.clone()).expect("a record");
    storage::to_value(&record)
}

/// Reads a stored value as the type that its key implies and serializes it again. Returns the kind of record too.
fn round_trip_record(key: &str, value: &Value) -> (&'static str, Value) {
    if storage::parse_job_key(key).is_some() {
        return ("job", round_trip_json::<storage::JobRecord>(value));
    }
    if storage::parse_job_part_key(key).is_some() {
        return ("job part", round_trip_json::<String>(value));
    }
    if storage::parse_lease_renewer_key(key).is_some() {
        return (
            "lease renewer",
            round_trip_json::<storage::LeaseRenewerRecord>(value),
        );
    }
    if storage::parse_log_slot_key(key).is_some() {
        return ("log", round_trip_json::<storage::LogRecord>(value));
    }
    if storage::parse_snapshot_key(key).is_some() {
        return (
            "snapshot",
            round_trip_json::<storage::SnapshotRecord>(value),
        );
    }
    if storage::is_images_key(key) {
        return ("images", round_trip_json::<storage::ImagesRecord>(value));
    }
    if storage::parse_quota_coordinator_key(key).is_some() {
        return (
            "quota coordinator",
            round_trip_json::<CoordinatorRecord>(value),
        );
    }
    if storage::parse_quota_participant_key(key).is_some() {
        return (
            "quota participant",
            round_trip_json::<ParticipantRecord>(value),
        );
    }
    match key {
        storage::LEADER_KEY => ("leader", round_trip_json::<storage::LeaderRecord>(value)),
        storage::TERM_KEY => ("term", round_trip_json::<storage::TermRecord>(value)),
        storage::ADMISSION_QUOTAS_KEY => (
            "admission quotas",
            round_trip_json::<AdmissionQuotas>(value),
        ),
        storage::QUOTA_CELLS_KEY => (
            "quota cells",
            round_trip_json::<CellMembershipRecord>(value),
        ),
        _ if key.starts_with(storage::MACHINE_TYPES_KEY) => {
            ("machine types", round_trip_json::<MachineTypes>(value))
        }
        _ => panic!("unknown key {key}"),
    }
}

#[test]
fn stored_records_round_trip_byte_for_byte() {
    let mut kinds = BTreeSet::new();
    let mut statuses = BTreeSet::new();
    for name in ["store.jsonl", "pages.jsonl", "quota.jsonl"] {
        for line in read_golden(name).lines() {
            let row: Value = serde_json::from_str(line).expect("a row");
            let key = row["key"].as_str().expect("a key");
            let (kind, value) = round_trip_record(key, &row["value"]);
            assert_eq!(value.to_string(), row["value"].to_string(), "{key}");
            kinds.insert(kind);
            if kind == "job" {
                statuses.insert(value["status"].as_str().expect("a status").to_owned());
            }
        }
    }
    let expected = [
        "admission quotas",
        "images",
        "job",
        "job part",
        "leader",
        "lease renewer",
        "log",
        "machine types",
        "quota cells",
        "quota coordinator",
        "quota participant",
        "snapshot",
        "term",
    ];
    assert_eq!(kinds, BTreeSet::from(expected));
    let expected = ["cancelled", "done", "live", "split"].map(str::to_owned);
    assert_eq!(statuses, BTreeSet::from(expected));
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let byte_at = |start| u8::from_str_radix(&hex[start..start + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte_at).collect()
}

fn round_trip_msgpack<T: Serialize + DeserializeOwned>(body: &[u8]) -> Vec<u8> {
    let message: T = protocol::decode(body).expect("a message");
    protocol::encode(&message)
}

/// Decodes a mesh message, converts it to this version's own type and back, and encodes it again.
fn round_trip_mesh<M, T>(body: &[u8]) -> Vec<u8>
where
    M: Message + Default,
    T: From<M>,
    for<'a> M: From<&'a T>,
{
    let message = M::decode(body).expect("a message");
    M::from(&T::from(message)).encode_to_vec()
}

/// As [`round_trip_mesh`], for types that are converted by value.
fn round_trip_mesh_owned<M, T>(body: &[u8]) -> Vec<u8>
where
    M: Message + Default + From<T>,
    T: From<M>,
{
    let message = M::decode(body).expect("a message");
    M::from(T::from(message)).encode_to_vec()
}

/// Decodes a message as the type that its channel and head imply, and encodes it again.
fn round_trip_message(channel: &str, head: &str, body: &[u8]) -> Vec<u8> {
    let head_fields: Vec<&str> = head.split(' ').collect();
    match (channel, head_fields.get(1).copied().unwrap_or_default()) {
        ("report", _) => round_trip_msgpack::<Report>(body),
        ("submission", _) => {
            let submission = Submission::from_body(body).expect("a submission");
            protocol::encode(&submission)
        }
        ("user", "421") => round_trip_msgpack::<Redirect>(body),
        ("user", "200" | "201") if protocol::decode::<Orders>(body).is_ok() => {
            round_trip_msgpack::<Orders>(body)
        }
        ("user", "200" | "201") => round_trip_msgpack::<JobView>(body),
        ("user", _) => round_trip_msgpack::<Value>(body),
        ("state", "/txn") => round_trip_msgpack::<Txn>(body),
        ("state", "/holds") => round_trip_msgpack::<LeaseRequest>(body),
        ("state", path) => {
            assert!(path.ends_with("/touch"), "{path}");
            round_trip_msgpack::<Value>(body)
        }
        ("cloud", "/machines") => round_trip_msgpack::<ProvisionRequest>(body),
        ("cloud", "/machines/delete") => round_trip_msgpack::<MachineNames>(body),
        ("worker", "/commands") => round_trip_msgpack::<DirectOrders>(body),
        ("mesh-progress", _) => round_trip_mesh::<proto::Progress, LeaderAnnouncement>(body),
        ("mesh-told", _) => round_trip_mesh::<proto::Told, MemberStatus>(body),
        ("mesh-revocation", _) => round_trip_mesh_owned::<proto::Revocation, LeaseRevocation>(body),
        ("mesh-renewals", _) => round_trip_mesh_owned::<proto::Renewals, RenewalReply>(body),
        ("mesh-relay", _) => proto::Request::decode(body)
            .expect("a request")
            .encode_to_vec(),
        ("cell-statement", _) => round_trip_mesh_owned::<proto::CellStatement, CellReport>(body),
        ("cell-answer", _) => round_trip_mesh_owned::<proto::CellAnswer, CellGrants>(body),
        other => panic!("unknown kind of message {other:?}"),
    }
}

#[test]
fn messages_round_trip_byte_for_byte() {
    let mut channels = BTreeSet::new();
    let mut paths = BTreeSet::new();
    let text = read_golden("messages.tsv") + &read_golden("cell-messages.tsv");
    for line in text.lines() {
        let fields: Vec<&str> = line.split('\t').collect();
        let [channel, head, hex] = fields[..] else {
            panic!("not three fields: {line}");
        };
        let body = decode_hex(hex);
        assert_eq!(round_trip_message(channel, head, &body), body, "{line}");
        channels.insert(channel);
        if ["state", "cloud", "worker"].contains(&channel) {
            paths.insert(head.split(' ').nth(1).expect("a path"));
        }
    }
    let expected = [
        "cell-answer",
        "cell-statement",
        "cloud",
        "mesh-progress",
        "mesh-relay",
        "mesh-renewals",
        "mesh-revocation",
        "mesh-told",
        "report",
        "state",
        "submission",
        "user",
        "worker",
    ];
    assert_eq!(channels, BTreeSet::from(expected));
    for path in ["/txn", "/holds", "/machines", "/commands"] {
        assert!(paths.contains(path), "no message to {path}: {paths:?}");
    }
}

/// Guards against a changed name or field number in the mesh's schema: versions that run side by side could then no
/// longer decode each other's messages.
#[test]
fn mesh_schema_keeps_names_and_field_numbers() {
    let schema = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/proto/mesh.proto"));
    let lines = |text: &str| -> Vec<String> {
        let lines = text.lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty() && !line.starts_with("//"));
        lines.map(str::to_owned).collect()
    };
    assert_eq!(
        lines(&schema.expect("mesh.proto")),
        lines(&read_golden("mesh.proto"))
    );
}

#[test]
fn settings_with_every_field_are_parsed() {
    let config: Config = serde_json::from_str(&read_golden("settings.json")).expect("settings");
    assert_eq!(config.validation_errors(), Vec::<String>::new());
    assert_eq!((&config.label[..], &config.zone[..]), ("n0", "zone-a"));
    assert_eq!(config.listen.to_string(), "10.0.0.1:8080");
    assert_eq!(config.mesh_addr.to_string(), "10.0.0.1:8081");
    let member = &config.members[0];
    assert_eq!((&member.label[..], &member.zone[..]), ("n1", "zone-b"));
    assert_eq!(member.address.to_string(), "10.0.0.2:8081");
    assert_eq!(config.services.cloud.to_string(), "10.2.0.2:8443");
    assert_eq!(config.services.state.to_string(), "10.2.0.1:2379");
    let settings = &config.settings;
    assert_eq!(settings.zones, ["zone-a", "zone-b"]);
    let team = &settings.teams[0];
    let amounts = (team.cpus, team.cpus_max, team.gpus, team.gpus_max);
    assert_eq!((&team.name[..], amounts), ("red", (1.0, 2.0, 3.0, 4.0)));
    let objective = &settings.objectives[0];
    assert_eq!(objective.kind, "deadline");
    assert_eq!(objective.class.as_deref(), Some("batch"));
    let bounds = (objective.target_s, objective.times, objective.share);
    assert_eq!(bounds, (Some(8.0), Some(1.5), Some(0.9)));
    let workers = &settings.workers;
    let times = (
        workers.report_interval_s,
        workers.lease_ttl_s,
        workers.cancellation_bound_s,
    );
    assert_eq!(times, (2.5, 14.0, 34.0));
    let state = &settings.state;
    let limits = (
        state.rps,
        state.write_rps,
        state.max_value_kb,
        state.max_txn_ops,
    );
    assert_eq!(limits, (150.0, 60.0, 16.0, 48));
    let upcoming = state.upcoming.expect("upcoming limits");
    let limits = (
        upcoming.rps,
        upcoming.write_rps,
        upcoming.max_value_kb,
        upcoming.max_txn_ops,
    );
    assert_eq!(limits, (Some(100.0), Some(50.0), Some(2.0), Some(4)));
    let cloud = (settings.cloud.rps, settings.cloud.list_lag_s);
    assert_eq!(cloud, (3.0, 6.0));
    let limits = (settings.limits.sockets, settings.limits.mem_mb);
    assert_eq!(limits, (1500, 104.0));
    assert_eq!(settings.clock_error_ms, 100.0);
}
