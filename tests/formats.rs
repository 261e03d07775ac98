//! Wire formats under generated inputs.

use dalelb::{
    bookkeeping::store,
    protocol::{
        self, DecodeError,
        ids::{JobId, TaskId},
        job::{JobStatus, JobView, Kind, Priority, Submission},
        worker::{Order, Report},
    },
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde_json::{Value, json};

/// The same cases each time.
fn check<S: Strategy>(strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
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

fn submission() -> impl Strategy<Value = Submission> {
    let amounts = (0.001..1e6f64, 0.0..64.0f64, 0.001..1e5f64, 0.0..500.0f64);
    let times = (0.0..1e6f64, 0.0..1e4f64, 0.0..1e3f64);
    let places = (
        prop::option::of(prop::collection::vec("[a-z0-9]{1,9}", 0..4)),
        prop::option::of("[a-z-]{1,12}"),
        prop::option::of(0.1..1e6f64),
    );
    let flags = any::<[bool; 5]>();
    (
        0..1u64 << 40,
        1..=100_000u32,
        "[a-z-]{1,20}",
        amounts,
        times,
        places,
        flags,
    )
        .prop_map(
            |(id, tasks, name, amounts, times, places, flags)| Submission {
                id: JobId(id),
                class: name.clone(),
                team: name.clone(),
                kind: if flags[0] { Kind::Array } else { Kind::Service },
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
                types: places.0,
                zone: places.1,
                one_zone: flags[2],
                spread: flags[3],
                spot: flags[4],
                estimate_s: times.0,
                checkpoint_s: times.1,
                save_s: times.2,
                deadline_s: places.2,
                awaits: Vec::new(),
            },
        )
}

fn example() -> Value {
    json!({"id":"j-000412","lane":"train","crew":"vision","shape":"array","urgency":"high",
        "pieces":16,"cpus":8,"gpus":1.0,"ram_gb":64,"kit":"img-07","size_gb":6.2,
        "builds":["g8"],"yard":null,"together":true,"apart":false,"loaners":true,
        "guess_s":240.0,"bookmark_s":30.0,"stash_s":4.0,"due_s":900.0})
}

#[test]
fn submissions_round_trip_on_the_wire_and_in_the_store() {
    check(submission(), |job| {
        let wire = Submission::from_body(&protocol::encode(&job)).unwrap();
        prop_assert_eq!(&wire, &job);
        let record = store::JobRecord::Live {
            at_ms: 7,
            spec: Box::new(job),
        };
        let value = store::to_value(&record);
        prop_assert_eq!(
            serde_json::from_value::<store::JobRecord>(value).unwrap(),
            record
        );
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_are_refused_without_a_panic() {
    check(prop::collection::vec(any::<u8>(), 0..400), |bytes| {
        let _ = protocol::decode::<Report>(&bytes);
        prop_assert!(Submission::from_body(&bytes).is_err());
        Ok(())
    });
    // Cut off, or with bytes after the end.
    let whole = protocol::encode(&example());
    for length in 0..whole.len() {
        assert!(Submission::from_body(&whole[..length]).is_err());
    }
    let longer = [whole.as_slice(), &[0xc0]].concat();
    assert!(Submission::from_body(&longer).is_err());
}

#[test]
fn a_submission_may_use_integers_leave_out_nulls_and_add_fields() {
    let mut job = example();
    job["a_later_field"] = json!({"deep": [1, 2]});
    for nullable in ["builds", "yard", "due_s"] {
        job.as_object_mut().unwrap().remove(nullable);
    }
    let job = Submission::from_body(&protocol::encode(&job)).unwrap();
    assert_eq!((job.cpus, job.types, job.deadline_s), (8.0, None, None));
}

#[test]
fn each_invalid_field_is_refused() {
    let wrong = [
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
    for (field, value) in wrong {
        let mut job = example();
        job[field] = value.clone();
        let refused = Submission::from_body(&protocol::encode(&job));
        assert!(refused.is_err(), "{field} = {value} was taken");
    }
    for field in example().as_object().unwrap().keys() {
        if ["builds", "yard", "due_s"].contains(&field.as_str()) {
            continue;
        }
        let mut job = example();
        job.as_object_mut().unwrap().remove(field);
        assert!(
            Submission::from_body(&protocol::encode(&job)).is_err(),
            "{field} may be missing"
        );
    }
    let mut job = Submission::from_body(&protocol::encode(&example())).unwrap();
    job.cpus = f64::NAN;
    assert!(Submission::from_body(&protocol::encode(&job)).is_err());
    // A list of the right values in the right order is no map.
    let list = rmp_serde::to_vec(&job).unwrap();
    assert_eq!(Submission::from_body(&list), Err(DecodeError::NotAMap));
}

#[test]
fn ids_have_one_spelling() {
    check((any::<u64>(), any::<u32>()), |(number, index)| {
        let task = TaskId {
            job: JobId(number),
            index,
        };
        prop_assert_eq!(task.to_string().parse::<TaskId>(), Ok(task));
        Ok(())
    });
    check("j-[0-9]{0,8}|[ -~]{0,12}", |text| {
        if let Ok(id) = text.parse::<JobId>() {
            prop_assert_eq!(id.to_string(), text);
        }
        Ok(())
    });
}

#[test]
fn the_wire_has_its_own_words() {
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
    assert_eq!((report.session, report.seq, report.token), (1, 88, 41));
    assert_eq!(report.tasks.len(), 3);
}
