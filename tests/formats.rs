//! Wire formats and storage formats under generated inputs, and their compatibility with the previous version.

#![expect(
    clippy::unwrap_used,
    reason = "the unwraps still lack messages that state their invariants"
)]

use dalelb::{
    protocol::{
        self, DecodeError,
        cloud::{MachineType, MachineTypes},
        ids::{JobId, TaskId},
        job::{JobKind, JobStatus, JobView, Priority, Submission},
        worker::{Order, Report},
    },
    storage,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde_json::{Value, json};

/// Checks a property on 300 generated cases, the same in each run.
fn check_property<S: Strategy>(strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, test)
        .unwrap_or_else(|error| panic!("{error}"));
}

fn any_submission() -> impl Strategy<Value = Submission> {
    let amounts = (0.001..1e6f64, 0.0..64.0f64, 0.001..1e5f64, 0.0..500.0f64);
    let times = (0.0..1e6f64, 0.0..1e4f64, 0.0..1e3f64);
    let placement = (
        prop::option::of(prop::collection::vec("[a-z0-9]{1,9}", 0..4)),
        prop::option::of("[a-z-]{1,12}"),
        prop::option::of(0.1..1e6f64),
    );
    let flags = any::<[bool; 5]>();
    let dependencies = prop::collection::btree_set(0..1u64 << 40, 0..5);
    (
        0..1u64 << 40,
        1..=100_000u32,
        "[a-z-]{1,20}",
        amounts,
        times,
        placement,
        flags,
        dependencies,
    )
        .prop_map(
            |(id, tasks, name, amounts, times, placement, flags, dependencies)| Submission {
                id: JobId(id),
                class: name.clone(),
                team: name.clone(),
                kind: if flags[0] {
                    JobKind::Array
                } else {
                    JobKind::Service
                },
                priority: if flags[1] {
                    Priority::High
                } else {
                    Priority::Low
                },
                tasks,
                cpus: amounts.0,
                gpus: amounts.1,
                ram_gb: amounts.2,
                image: name,
                image_gb: amounts.3,
                types: placement.0,
                zone: placement.1,
                one_zone: flags[2],
                spread: flags[3],
                spot: flags[4],
                estimate_s: times.0,
                checkpoint_s: times.1,
                save_s: times.2,
                deadline_s: placement.2,
                dependencies: dependencies.into_iter().map(JobId).collect(),
            },
        )
}

fn example_submission() -> Value {
    json!({"id":"j-000412","lane":"train","crew":"vision","shape":"array","urgency":"high",
        "pieces":16,"cpus":8,"gpus":1.0,"ram_gb":64,"kit":"img-07","size_gb":6.2,
        "builds":["g8"],"yard":null,"together":true,"apart":false,"loaners":true,
        "guess_s":240.0,"bookmark_s":30.0,"stash_s":4.0,"due_s":900.0})
}

#[test]
fn submissions_round_trip_on_wire_and_in_store() {
    check_property(any_submission(), |job| {
        let wire = Submission::from_body(&protocol::encode(&job)).unwrap();
        prop_assert_eq!(&wire, &job);
        let record = storage::JobRecord::Live {
            at_ms: 7,
            spec: Box::new(job),
        };
        let value = storage::to_value(&record);
        prop_assert_eq!(
            serde_json::from_value::<storage::JobRecord>(value).unwrap(),
            record
        );
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_are_rejected_without_panic() {
    check_property(prop::collection::vec(any::<u8>(), 0..400), |bytes| {
        let _ = protocol::decode::<Report>(&bytes);
        prop_assert!(Submission::from_body(&bytes).is_err());
        Ok(())
    });
    // Truncated bodies, and a body with bytes after its end.
    let body = protocol::encode(&example_submission());
    for length in 0..body.len() {
        assert!(Submission::from_body(&body[..length]).is_err());
    }
    let extended = [body.as_slice(), &[0xc0]].concat();
    assert!(Submission::from_body(&extended).is_err());
}

#[test]
fn submission_accepts_integers_missing_nulls_and_unknown_fields() {
    let mut job = example_submission();
    job["a_later_field"] = json!({"deep": [1, 2]});
    for nullable in ["builds", "yard", "due_s"] {
        job.as_object_mut().unwrap().remove(nullable);
    }
    let job = Submission::from_body(&protocol::encode(&job)).unwrap();
    assert_eq!((job.cpus, job.types, job.deadline_s), (8.0, None, None));
}

#[test]
fn each_invalid_field_is_rejected() {
    let invalid_fields = [
        ("id", json!("job-1")),
        ("id", json!("j-12")),
        ("id", json!("j-0000412")),
        ("shape", json!("ring")),
        ("urgency", json!("now")),
        ("pieces", json!(0)),
        ("pieces", json!(100_001)),
        ("pieces", json!(-3)),
        ("cpus", json!(0)),
        ("cpus", json!(-1.0)),
        ("ram_gb", json!("64")),
        ("gpus", json!(-0.5)),
        ("due_s", json!(0)),
        ("lane", json!("")),
        ("together", json!(null)),
    ];
    for (field, value) in invalid_fields {
        let mut job = example_submission();
        job[field] = value.clone();
        let result = Submission::from_body(&protocol::encode(&job));
        assert!(result.is_err(), "{field} = {value} was accepted");
    }
    for field in example_submission().as_object().unwrap().keys() {
        if ["builds", "yard", "due_s"].contains(&field.as_str()) {
            continue;
        }
        let mut job = example_submission();
        job.as_object_mut().unwrap().remove(field);
        assert!(
            Submission::from_body(&protocol::encode(&job)).is_err(),
            "a submission without {field} was accepted"
        );
    }
    let mut job = Submission::from_body(&protocol::encode(&example_submission())).unwrap();
    job.cpus = f64::NAN;
    assert!(Submission::from_body(&protocol::encode(&job)).is_err());
    // A list of the right values in the right order is not a map.
    let list = rmp_serde::to_vec(&job).unwrap();
    assert_eq!(Submission::from_body(&list), Err(DecodeError::NotAMap));
}

#[test]
fn dependencies_must_be_a_list_of_unique_job_ids() {
    let parse = |dependencies: Option<Value>| {
        let mut job = example_submission();
        if let Some(dependencies) = dependencies {
            job["awaits"] = dependencies;
        }
        Submission::from_body(&protocol::encode(&job)).map(|job| job.dependencies)
    };
    assert_eq!(parse(None), Ok(Vec::new()));
    assert_eq!(parse(Some(json!(null))), Ok(Vec::new()));
    assert_eq!(parse(Some(json!([]))), Ok(Vec::new()));
    let twice = json!(["j-000405", "j-000398", "j-000405"]);
    assert_eq!(parse(Some(twice)), Ok(vec![JobId(405), JobId(398)]));
    for invalid in [
        json!("j-000398"),
        json!({"j-000398": true}),
        json!(["j-398"]),
        json!([398]),
        json!([null]),
        json!(["j-000398/0"]),
        json!(false),
    ] {
        assert!(
            parse(Some(invalid.clone())).is_err(),
            "{invalid} was accepted"
        );
    }
}

/// The stored progress of jobs, whose form versions that run side by side share.
#[test]
fn stored_progress_keeps_its_form() {
    let entry = |job, done, running| storage::ProgressEntry {
        job: JobId(job),
        done,
        running,
    };
    let entries = [
        entry(412, 3, Some(13)),
        entry(415, 0, None),
        entry(2000, 1, Some(1)),
    ];
    let whole = storage::ProgressRecord::new(7, 1_700_000_000_000, entries, 2048);
    let expected = json!({"term": 7, "at_ms": 1_700_000_000_000_u64,
        "jobs": [[412, 3, 13], [3, 0, null], [1585, 1, 1]]});
    assert_eq!(storage::to_value(&whole), expected);
    let partial = storage::ProgressRecord::new(7, 1_700_000_000_000, entries, 175);
    let expected = json!({"term": 7, "at_ms": 1_700_000_000_000_u64, "last_covered": "j-000415",
        "jobs": [[412, 3, 13], [3, 0, null]]});
    assert_eq!(storage::to_value(&partial), expected);
}

/// A record too long for one value is split into parts that each fit, and is restored from them unchanged.
#[test]
fn oversized_submissions_are_split_over_several_keys() {
    let type_names = prop::collection::vec("[a-z\\\\\"é]{1,200}", 0..40);
    let dependencies = prop::collection::btree_set(0..1u64 << 40, 0..300);
    check_property(
        (any_submission(), type_names, dependencies),
        |(mut job, type_names, dependencies)| {
            job.types = Some(type_names);
            job.dependencies = dependencies.into_iter().map(JobId).collect();
            let (record, texts) = storage::live_job_record(7, &job, 2048);
            for text in &texts {
                prop_assert!(storage::to_value(text).to_string().len() <= 2048);
            }
            prop_assert!(storage::to_value(&record).to_string().len() <= 2048);
            match record {
                storage::JobRecord::Live { spec, .. } => {
                    prop_assert!(texts.is_empty());
                    prop_assert_eq!(*spec, job);
                }
                storage::JobRecord::Split { parts, .. } => {
                    prop_assert_eq!(parts as usize, texts.len());
                    let joined = storage::join_submission_parts(texts.iter().map(String::as_str));
                    prop_assert_eq!(joined.unwrap(), job);
                }
                other => prop_assert!(false, "{:?}", other),
            }
            Ok(())
        },
    );
}

/// Machine types that don't fit into one value are stored under several keys, and none is lost.
#[test]
fn machine_type_records_stay_within_value_limit() {
    let machine_type = |number: usize| MachineType {
        name: format!("kind-{number:0>40}"),
        cpus: 16.0,
        gpus: 0.0,
        ram_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 0.5,
        price: 1.0,
        spot_price: Some(0.25),
        boot_s: 15.0,
        zones: vec!["a".into(), "b".into()],
    };
    for count in [1, 2, 7, 8, 60] {
        let types: Vec<MachineType> = (0..count).map(machine_type).collect();
        let records = storage::machine_types_records(&types, 2048);
        let mut types_read = Vec::new();
        for (index, (key, value)) in records.iter().enumerate() {
            assert!(value.to_string().len() <= 2048, "{key}");
            let part = storage::parse_machine_types_key(key);
            let single_key = (records.len() == 1).then_some(storage::MACHINE_TYPES_KEY);
            assert_eq!(single_key, part.is_none().then_some(key.as_str()));
            assert!(part.is_none_or(|part| part == (index as u32, records.len() as u32)));
            let types: MachineTypes = serde_json::from_value(value.clone()).unwrap();
            types_read.extend(types.types);
        }
        assert_eq!(types_read, types);
    }
}

/// The formats of the version before jobs could have dependencies, as far as that version reads them. Both versions
/// run side by side during an upgrade.
mod previous_version {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Serialize};

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct Spec {
        pub id: String,
        pub lane: String,
        pub crew: String,
        pub shape: String,
        pub urgency: String,
        pub pieces: u32,
        pub cpus: f64,
        pub gpus: f64,
        pub ram_gb: f64,
        pub kit: String,
        pub size_gb: f64,
        #[serde(default)]
        pub builds: Option<Vec<String>>,
        #[serde(default)]
        pub yard: Option<String>,
        pub together: bool,
        pub apart: bool,
        pub loaners: bool,
        pub guess_s: f64,
        pub bookmark_s: f64,
        pub stash_s: f64,
        #[serde(default)]
        pub due_s: Option<f64>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    #[serde(tag = "status", rename_all = "lowercase")]
    pub enum Job {
        Live { at_ms: u64, spec: Box<Spec> },
        Done,
        Cancelled,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum PreviousRecordedStatus {
        #[serde(rename = "m")]
        On(u32),
        #[serde(rename = "w")]
        Waiting,
        #[serde(rename = "d")]
        Done,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct Machine {
        pub name: String,
        pub kind: String,
        pub zone: String,
        pub spot: bool,
        pub addr: Option<String>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct PreviousJobSummary {
        pub team: String,
        pub of: u32,
        pub cpus: f64,
        pub gpus: f64,
        pub ram_gb: f64,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct PreviousSnapshotRecord {
        #[serde(flatten)]
        pub job: PreviousJobSummary,
        pub machines: Vec<Machine>,
        pub tasks: Vec<PreviousTaskRecord>,
    }

    pub type PreviousTaskRecord = (u32, u32, PreviousRecordedStatus);

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct PreviousLogRecord {
        pub seq: u64,
        pub first: u64,
        pub machines: Vec<Machine>,
        pub jobs: Vec<(String, PreviousJobSummary, Vec<PreviousTaskRecord>)>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct PreviousImagesRecord {
        pub images: Vec<(String, f64)>,
        pub machines: Vec<(String, u64)>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub at_fault: Vec<String>,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct PreviousLeaderRecord {
        pub node: String,
        pub lease: u64,
        pub term: u64,
    }

    /// How that version parses a snapshot's key: the job's id and the snapshot's number.
    pub fn parse_snapshot_key(key: &str) -> Option<(&str, u32)> {
        let (id, chunk) = key.strip_prefix("books/task/")?.split_once('/')?;
        Some((id, chunk.parse().ok()?))
    }
    /// Number of tasks in a snapshot of up to 16 KiB in that version.
    pub const TASKS_PER_SNAPSHOT: u32 = 99;

    /// One record of each kind, as that version wrote it.
    pub fn example_records() -> BTreeMap<&'static str, serde_json::Value> {
        let machine = || Machine {
            name: "vm-000231".into(),
            kind: "g8".into(),
            zone: "a".into(),
            spot: true,
            addr: None,
        };
        let job = || PreviousJobSummary {
            team: "red".into(),
            of: 16,
            cpus: 8.0,
            gpus: 1.0,
            ram_gb: 64.0,
        };
        let snapshot = PreviousSnapshotRecord {
            job: job(),
            machines: vec![machine()],
            tasks: vec![
                (3, 2, PreviousRecordedStatus::On(0)),
                (4, 1, PreviousRecordedStatus::Done),
                (5, 7, PreviousRecordedStatus::Waiting),
            ],
        };
        let log_record = PreviousLogRecord {
            seq: 9,
            first: 4,
            machines: vec![machine()],
            jobs: vec![(
                "j-000412".into(),
                job(),
                vec![(3, 2, PreviousRecordedStatus::On(0))],
            )],
        };
        let images = PreviousImagesRecord {
            images: vec![("img-07".into(), 6.2)],
            machines: vec![("vm-000231".into(), 1)],
            at_fault: vec!["j-000412".into()],
        };
        let leader = PreviousLeaderRecord {
            node: "berth-1".into(),
            lease: 7,
            term: 3,
        };
        let value = |record| serde_json::to_value(record);
        BTreeMap::from([
            ("done", value(&Job::Done).unwrap()),
            ("cancelled", value(&Job::Cancelled).unwrap()),
            ("snapshot", serde_json::to_value(snapshot).unwrap()),
            ("log", serde_json::to_value(log_record).unwrap()),
            ("images", serde_json::to_value(images).unwrap()),
            ("leader", serde_json::to_value(leader).unwrap()),
        ])
    }
}

/// Reads a record as type `A`, rereads what `A` writes as type `B`, and checks that `B` writes the same record.
fn assert_rereads_as<A, B>(value: &Value)
where
    A: serde::Serialize + serde::de::DeserializeOwned,
    B: serde::Serialize + serde::de::DeserializeOwned,
{
    let first: A = serde_json::from_value(value.clone()).unwrap();
    let second: B = serde_json::from_value(serde_json::to_value(first).unwrap()).unwrap();
    assert_eq!(&serde_json::to_value(second).unwrap(), value);
}

#[test]
fn records_are_compatible_with_previous_version_both_ways() {
    let records = previous_version::example_records();
    assert_rereads_as::<storage::JobRecord, previous_version::Job>(&records["done"]);
    assert_rereads_as::<storage::JobRecord, previous_version::Job>(&records["cancelled"]);
    assert_rereads_as::<storage::SnapshotRecord, previous_version::PreviousSnapshotRecord>(
        &records["snapshot"],
    );
    assert_rereads_as::<storage::LogRecord, previous_version::PreviousLogRecord>(&records["log"]);
    assert_rereads_as::<storage::ImagesRecord, previous_version::PreviousImagesRecord>(
        &records["images"],
    );
    assert_rereads_as::<storage::LeaderRecord, previous_version::PreviousLeaderRecord>(
        &records["leader"],
    );
    check_property(any_submission(), |mut job| {
        // While the previous version is running, no job has dependencies.
        job.dependencies.clear();
        let (record, texts) = storage::live_job_record(7, &job, 16 * 1024);
        prop_assert!(texts.is_empty());
        assert_rereads_as::<previous_version::Job, storage::JobRecord>(&storage::to_value(&record));
        Ok(())
    });
    // The time at which a job ended is new in this version.
    let done = storage::to_value(&storage::JobRecord::Done { at_ms: Some(7) });
    let reread: previous_version::Job = serde_json::from_value(done).unwrap();
    assert_eq!(reread, previous_version::Job::Done);
}

/// Snapshots of 9 tasks and of 99 never have the same key. The previous version, which only numbered snapshots, can
/// parse both kinds of key.
#[test]
fn snapshots_of_different_range_lengths_never_share_a_key() {
    let lengths = || prop_oneof![Just(9u32), Just(99), 1..=128u32];
    check_property(
        (lengths(), lengths(), 0..100_000u32, 0..100_000u32),
        |(length, other_length, task, other_task)| {
            let key = |length: u32, task: u32| {
                let snapshot = storage::SnapshotNumber::new(length, task / length);
                storage::snapshot_key(JobId(412), snapshot)
            };
            prop_assert_eq!(
                key(length, task) == key(other_length, other_task),
                length == other_length && task / length == other_task / other_length
            );
            let parsed = storage::parse_snapshot_key(&key(length, task));
            let (id, snapshot) = parsed.expect("a snapshot's key");
            prop_assert_eq!(
                (id, snapshot.range_index(length)),
                (JobId(412), Some(task / length))
            );
            prop_assert!(length == other_length || snapshot.range_index(other_length).is_none());
            // Keys of the previous version are parsed, are not taken for this version's own, and are never
            // written by this version.
            let previous_key = format!(
                "books/task/j-000412/{:05}",
                task / previous_version::TASKS_PER_SNAPSHOT
            );
            let (_, snapshot) =
                storage::parse_snapshot_key(&previous_key).expect("a snapshot's key");
            prop_assert_eq!(snapshot.range_index(length), None);
            prop_assert!(previous_key != key(length, task));
            let (_, number) =
                previous_version::parse_snapshot_key(&key(length, task)).expect("a snapshot's key");
            prop_assert!(
                number > 100_000 / previous_version::TASKS_PER_SNAPSHOT,
                "taken for snapshot {}",
                number
            );
            Ok(())
        },
    );
}

#[test]
fn ids_have_one_canonical_form() {
    check_property((any::<u64>(), any::<u32>()), |(number, index)| {
        let task = TaskId {
            job: JobId(number),
            index,
        };
        prop_assert_eq!(task.to_string().parse::<TaskId>(), Ok(task));
        Ok(())
    });
    check_property("j-[0-9]{0,8}|[ -~]{0,12}", |text| {
        if let Ok(id) = text.parse::<JobId>() {
            prop_assert_eq!(id.to_string(), text);
        }
        Ok(())
    });
}

#[test]
fn wire_names_match_the_protocol() {
    let order = Order::Stop {
        task: "j-000377/1".parse().unwrap(),
        attempt: 1,
        grace_s: 10.0,
    };
    let wire: Value = protocol::decode(&protocol::encode(&order)).unwrap();
    let expected = json!({"verb":"kill","piece":"j-000377/1","try":1,"wind_down_s":10.0});
    assert_eq!(wire, expected);
    let view = JobView {
        id: JobId(412),
        status: JobStatus::Cancelled,
        done: 3,
        running: 13,
    };
    let wire: Value = protocol::decode(&protocol::encode(&view)).unwrap();
    assert_eq!(
        wire,
        json!({"id":"j-000412","status":"aborted","done":3,"running":13})
    );
    let report = json!({"berth":"vm-000231","endpoint":"10.1.0.232:9000","build":"g8","yard":"a",
        "loaners":true,"shift":1,"tick":88,"baton":41,"recall_s":null,"pieces":[
        {"piece":"j-000412/3","try":2,"status":"running"},
        {"piece":"j-000398/0","try":1,"status":"ended","cause":"done"},
        {"piece":"j-000398/1","try":1,"status":"ended","cause":"a later cause"}]});
    let report: Report = protocol::decode(&protocol::encode(&report)).unwrap();
    assert_eq!((report.incarnation, report.seq, report.token), (1, 88, 41));
    assert_eq!(report.tasks.len(), 3);
}
