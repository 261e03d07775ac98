use super::*;
use crate::{
    coordination::{ClockReading, Command, WorkloadClassName},
    storage::ProgressEntry,
};

/// The time of day when a test begins, in milliseconds since the epoch.
const START_MS: u64 = 1_700_000_000_000;
const MAX_SKEW_MS: u64 = 200;
const JOB: JobId = JobId(7);

fn at(after_ms: u64) -> TimeOfDay {
    TimeOfDay {
        wall_ms: START_MS + after_ms,
        max_skew_ms: MAX_SKEW_MS,
    }
}

fn running(tasks: u32) -> JobProgress {
    JobProgress {
        running: tasks,
        ..JobProgress::none(JOB)
    }
}

/// An announcement that was sent `sent_after_ms` after the start.
fn announcement(term: u64, sent_after_ms: u64, jobs: Vec<JobProgress>) -> LeaderAnnouncement {
    LeaderAnnouncement {
        term,
        leader: "n0".into(),
        sent_at_ms: Some(START_MS + sent_after_ms),
        progress_at_ms: Some(START_MS + sent_after_ms),
        jobs,
        reservations: Vec::new(),
    }
}

/// The longest time, in milliseconds, for which progress taken at the start tells a job's status.
fn validity_ms(progress: &ReceivedProgress) -> u64 {
    let is_known = |after_ms: &u64| progress.get(JOB, at(*after_ms)).is_some();
    (0..10_000).take_while(is_known).count() as u64
}

/// Guards against statuses that are older than the protocol allows: with clocks as far apart as they may be
/// and a start that is reported late, a task has never run for more than 3 s.
#[test]
fn progress_expires_within_the_lag_that_users_may_see() {
    let mut progress = ReceivedProgress::default();
    assert_eq!(progress.get(JOB, at(0)), None, "nothing received");
    progress.on_announcement(&announcement(1, 0, Vec::new()), at(0));
    assert_eq!(progress.get(JOB, at(0)), Some(JobProgress::none(JOB)));
    let validity_ms = validity_ms(&progress);
    assert!(validity_ms + MAX_SKEW_MS + REPORT_DELAY_MS <= MAX_STATUS_LAG_MS);
    assert!(
        validity_ms > 2000,
        "one lost announcement leaves a gap: valid for {validity_ms} ms"
    );
}

/// Guards against a late announcement that passes for a recent one.
#[test]
fn age_of_late_announcement_counts_from_its_sending() {
    let mut progress = ReceivedProgress::default();
    progress.on_announcement(&announcement(1, 0, Vec::new()), at(5000));
    assert_eq!(progress.get(JOB, at(5000)), None);
    assert_eq!(progress.age_ms(START_MS + 5000), Some(5000));
}

/// Guards against an announcement that was overtaken by a later one, or arrives twice.
#[test]
fn overtaken_and_duplicate_announcements_are_ignored() {
    let mut progress = ReceivedProgress::default();
    let first = announcement(3, 0, Vec::new());
    let second = announcement(3, 1000, vec![running(2)]);
    let of_earlier_term = announcement(2, 1500, Vec::new());
    assert!(progress.on_announcement(&second, at(1000)));
    for ignored in [&first, &second, &of_earlier_term] {
        assert!(!progress.on_announcement(ignored, at(1500)));
        assert_eq!(progress.get(JOB, at(1500)), Some(running(2)));
    }
}

/// Progress that a leader sends after its lease has expired says nothing of later times.
#[test]
fn progress_is_no_younger_than_the_confirmed_leadership() {
    let mut progress = ReceivedProgress::default();
    let mut late = announcement(1, 4000, Vec::new());
    late.progress_at_ms = Some(START_MS);
    assert!(
        progress.on_announcement(&late, at(4000)),
        "it names the leader"
    );
    assert_eq!(progress.get(JOB, at(4000)), None);
}

/// Earlier versions send no times: their announcements count from their arrival.
#[test]
fn announcement_without_times_counts_from_its_arrival() {
    let mut progress = ReceivedProgress::default();
    let undated = |jobs| LeaderAnnouncement {
        sent_at_ms: None,
        progress_at_ms: None,
        ..announcement(1, 0, jobs)
    };
    assert!(progress.on_announcement(&undated(Vec::new()), at(0)));
    assert!(progress.on_announcement(&undated(vec![running(1)]), at(0)));
    assert_eq!(progress.get(JOB, at(1000)), Some(running(1)));
    assert_eq!(progress.get(JOB, at(3000)), None);
}

/// What the state service's record says counts where it is newer than the last announcement, and only for
/// the jobs that it covers.
#[test]
fn stored_progress_replaces_older_announcements() {
    let mut progress = ReceivedProgress::default();
    progress.on_announcement(&announcement(1, 0, Vec::new()), at(0));
    let entry = |job, running| ProgressEntry {
        job,
        done: 0,
        running,
    };
    let entries = (1..2000).map(|number| entry(JobId(number), Some(2)));
    let record = ProgressRecord::new(1, START_MS + 2000, entries, 1024);
    progress.on_record(&record);
    assert_eq!(progress.get(JOB, at(2000)), Some(running(2)));
    assert_eq!(
        progress.get(JobId(1999), at(2000)),
        Some(JobProgress::none(JobId(1999))),
        "by the announcement, which covers all jobs"
    );
    assert_eq!(progress.get(JobId(1999), at(2500)), None, "not covered");
    let outdated = ProgressRecord::new(1, START_MS + 1000, [], 1024);
    progress.on_record(&outdated);
    assert_eq!(
        progress.get(JOB, at(2500)),
        Some(running(2)),
        "a write that is applied late changes nothing"
    );
    let unknown = ProgressRecord::new(1, START_MS + 3000, [entry(JOB, None)], 1024);
    progress.on_record(&unknown);
    let unknown = progress.get(JOB, at(3000)).expect("recent progress");
    assert_eq!(unknown.is_running(), None);
}

/// A record stays within the limit on values and restores what it covers.
#[test]
fn record_fits_the_limit_and_keeps_its_entries() {
    let entries: Vec<ProgressEntry> = (1..3000)
        .map(|number| ProgressEntry {
            job: JobId(number * number),
            done: number as u32 % 5,
            running: (number % 7 > 0).then_some(4),
        })
        .collect();
    for max_value_bytes in [300, 2048, 16 * 1024, 1024 * 1024] {
        let record = ProgressRecord::new(9, START_MS, entries.iter().copied(), max_value_bytes);
        let text = crate::storage::to_value(&record).to_string();
        assert!(text.len() <= max_value_bytes, "{} bytes", text.len());
        let read: ProgressRecord = serde_json::from_str(&text).expect("a record");
        let restored: Vec<ProgressEntry> = read.entries().collect();
        assert_eq!(restored, entries[..restored.len()]);
        match read.last_covered {
            Some(last) => assert_eq!(Some(last), restored.last().map(|entry| entry.job)),
            None => assert_eq!(restored.len(), entries.len()),
        }
    }
}

fn follower() -> Node {
    let config = serde_json::json!({
        "label": "n1", "domain": "a", "listen": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
        "members": [{"label": "n0", "domain": "b", "address": "127.0.0.1:5"}],
        "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "settings": {
            "zones": ["a"], "teams": [{"name": "red"}], "clock_error_ms": 100.0,
            "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
            "cloud": {"rps": 3.0}
        }
    });
    Node::new(serde_json::from_value(config).expect("valid settings"))
}

/// Guards against a late announcement whose leader counts as alive, and whose reservations fall due later than
/// their users were told.
#[test]
fn late_announcement_counts_from_its_sending_for_liveness_and_reservations() {
    const SENT_AFTER_MS: u64 = 10_000;
    for delay_ms in [0, 4000] {
        let mut node = follower();
        let class = WorkloadClassName {
            team: "red".into(),
            class: "any".into(),
        };
        let mut message = announcement(1, SENT_AFTER_MS, Vec::new());
        message.reservations = vec![(JobId(1), class.clone(), 3000), (JobId(2), class, 9000)];
        let now = ClockReading {
            monotonic_ms: SENT_AFTER_MS + delay_ms,
            wall_ms: START_MS + SENT_AFTER_MS + delay_ms,
        };
        node.step([Command::LeaderAnnounced(message)], now);
        assert_eq!(
            node.lease_renewer.leader_announced_at,
            Some(SENT_AFTER_MS),
            "{delay_ms} ms late"
        );
        let due_at = |job| node.admission.reservation_due_at(JobId(job));
        let is_over = delay_ms > 3000;
        assert_eq!(due_at(1), (!is_over).then_some(SENT_AFTER_MS + 3000));
        assert_eq!(due_at(2), Some(SENT_AFTER_MS + 9000));
    }
}
