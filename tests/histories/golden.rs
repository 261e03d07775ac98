//! Compatibility with stored data: this version recovers from a store that an earlier version
//! wrote, kept under `tests/golden`.
//!
//! `WRITE_GOLDEN=1` rewrites the files. They serve their purpose only if an earlier version wrote
//! them.

use std::path::PathBuf;

use dalelb::metrics::Metrics;

use super::{wire::Channel, *};

/// A seed whose small value limit makes the log long.
const SEED: u64 = 8;
/// Length of its history.
const HISTORY_SECONDS: u64 = 100;
/// Number of messages of each kind that are written to the file.
const MESSAGES_PER_KIND: usize = 4;
/// Time for the takeover, in milliseconds.
const TAKEOVER_MS: u64 = 3000;

fn golden_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn writes_golden() -> bool {
    std::env::var_os("WRITE_GOLDEN").is_some()
}

/// Returns one line per key, with its value, its version and the lease that it is attached to.
fn dump_rows(store: &StateStore, prefix: &str) -> String {
    let rows = store.keys.iter().filter(|(key, _)| key.starts_with(prefix));
    let lines = rows.map(|(key, (value, version, lease))| {
        json!({"key": key, "value": value, "version": version, "lease": lease}).to_string()
    });
    lines.collect::<Vec<String>>().join("\n") + "\n"
}

/// Returns the kind of a message: its channel and what it requests.
fn message_kind(sent: &SentMessage) -> String {
    let mut words = sent.head.split([' ', '?']);
    let verb = words.next().unwrap_or_default();
    let path = words.next().unwrap_or_default();
    let path: String = path.chars().filter(|c| !c.is_ascii_digit()).collect();
    match sent.channel {
        Channel::State => {
            let contains_set = sent.body.windows(4).find(|part| *part == b"set\xa8");
            format!("state {verb} {path} {}", contains_set.is_some())
        }
        Channel::Cloud | Channel::Worker => format!("{} {verb} {path}", sent.channel.name()),
        Channel::User => format!("user {path} {}", sent.body.len() % 3),
        other => other.name().to_owned(),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns a few messages of each kind, one per line: the channel, what is sent beside the body,
/// and the body.
fn sample_messages(sent_messages: &[SentMessage]) -> String {
    let mut count: BTreeMap<String, usize> = BTreeMap::new();
    let mut lines = BTreeSet::new();
    for sent in sent_messages.iter().filter(|sent| !sent.body.is_empty()) {
        let kind_count = count.entry(message_kind(sent)).or_default();
        *kind_count += 1;
        if *kind_count <= MESSAGES_PER_KIND {
            let (channel, head) = (sent.channel.name(), &sent.head);
            lines.insert(format!("{channel}\t{head}\t{}\n", hex(&sent.body)));
        }
    }
    lines.into_iter().collect()
}

/// Writes the files: a whole store in the middle of a history, snapshots of a large job, messages
/// and heartbeats.
fn write_files() {
    let mut cluster = SimulatedCluster::new(SEED);
    cluster.recorded_messages = Some(Vec::new());
    let mut number = 0;
    for second in 0..HISTORY_SECONDS {
        run_second_with_faults(&mut cluster, second, &mut number);
    }
    let store = dump_rows(&cluster.store, "");
    std::fs::write(golden_file("store.jsonl"), store).expect("store.jsonl");
    let reports = (0..cluster.workers.len()).map(|worker_index| {
        let body = protocol::encode(&cluster.build_report(worker_index));
        format!("report\t-\t{}\n", hex(&body))
    });
    let reports: String = reports.collect();
    let submissions = cluster
        .jobs
        .values()
        .take(MESSAGES_PER_KIND)
        .map(|(spec, _)| {
            let body = protocol::encode(spec);
            format!("submission\t-\t{}\n", hex(&body))
        });
    let submissions: String = submissions.collect();
    let sent = sample_messages(cluster.recorded_messages.as_deref().unwrap_or_default());
    let contents = [sent, reports, submissions].concat();
    std::fs::write(golden_file("messages.tsv"), contents).expect("messages.tsv");
    // Snapshots: of a job with more tasks than the leader writes to the log again.
    let mut cluster = small_fleet(SEED);
    cluster.run_until(12_000);
    let spec = Submission {
        cpus: 0.01,
        ram_gb: 0.01,
        ..cluster.long_array(200, 12_000)
    };
    cluster.submit(spec);
    // Parts of a record: of a submission that is too long for one value.
    let mut types: Vec<String> = (0..150)
        .map(|number| format!("kind-{number:020}"))
        .collect();
    types.push("c16".into());
    let spec = Submission {
        types: Some(types),
        ..cluster.long_array(199, 2)
    };
    cluster.submit(spec);
    let mut snapshots = String::new();
    for step in 1..400 {
        // Each job makes the log longer.
        let mut spec = cluster.long_array(200 + step, 1);
        spec.estimate_s = 2.0;
        spec.cpus = 0.1;
        cluster.submit(spec);
        cluster.run_until(13_000 + step * 300);
        snapshots = dump_rows(&cluster.store, "books/task/");
        if snapshots.lines().count() > 5 {
            break;
        }
    }
    let snapshots: Vec<&str> = snapshots.lines().take(5).collect();
    let split =
        ["shared/part/", "shared/job/j-000199"].map(|prefix| dump_rows(&cluster.store, prefix));
    let snapshots = snapshots.join("\n") + "\n" + &split.concat();
    std::fs::write(golden_file("pages.jsonl"), snapshots).expect("pages.jsonl");
    std::fs::write(golden_file("takeover.txt"), recovered_state()).expect("takeover.txt");
}

/// Lets nodes recover from the store after all earlier processes have ended, without heartbeats
/// from workers. Returns the state that the new leader recovers, as `/metrics` shows it, and its
/// last progress announcement.
fn recovered_state() -> String {
    let mut cluster = SimulatedCluster::new(SEED);
    cluster.faults_enabled = false;
    for worker in &mut cluster.workers {
        worker.unreachable_until = FOREVER_MS;
    }
    let stored = std::fs::read_to_string(golden_file("store.jsonl")).expect("store.jsonl");
    for line in stored.lines() {
        let row: Value = serde_json::from_str(line).expect("a row");
        // Keys attached to a lease of the earlier processes were deleted with it.
        if row["lease"].is_null() {
            let version = row["version"].as_u64().expect("a version");
            let key = row["key"].as_str().expect("a key").to_owned();
            let entry = (row["value"].clone(), version, None);
            cluster.store.keys.insert(key, entry);
            cluster.store.revision = cluster.store.revision.max(version);
        }
    }
    cluster.recorded_messages = Some(Vec::new());
    cluster.run_until(TAKEOVER_MS);
    let leader = cluster.leader.expect("a node leads");
    let metrics = Metrics::default();
    let node = cluster.nodes[leader].as_mut().expect("the leader runs");
    metrics.record_status(node.status(), 0);
    let text = metrics.render();
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    let announcements = cluster.recorded_messages.iter().flatten();
    let mut announcements = announcements.filter(|sent| sent.channel == Channel::MeshProgress);
    let announcements = announcements
        .next_back()
        .expect("the leader announces the progress of jobs");
    format!("{}\n{}\n", lines.join("\n"), hex(&announcements.body))
}

#[test]
fn successor_recovers_same_state_from_previous_version_store() {
    if writes_golden() {
        write_files();
    }
    let expected = std::fs::read_to_string(golden_file("takeover.txt")).expect("takeover.txt");
    let recovered = recovered_state();
    for (expected, recovered) in expected.lines().zip(recovered.lines()) {
        assert_eq!(expected, recovered);
    }
    assert_eq!(expected, recovered);
    assert!(expected.contains("dalelb_machines{state=\"up\"}"));
}
