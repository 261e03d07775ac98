use super::*;

/// A leader that had lost its way to the workers alone kept its lease for 35 s: nothing started,
/// and workers that found another node too late died.
#[test]
fn leader_resigns_when_a_member_reaches_more_workers_or_it_reaches_few() {
    let mut reach = WorkerReachability::default();
    assert!(
        !reach.should_resign(0, 100, 10_000),
        "not for the first look"
    );
    reach.mostly_silent_since = Some(10_000);
    let now = 10_000 + MIN_SILENCE_BEFORE_RESIGNING_MS;
    assert!(reach.should_resign(39, 100, now), "no member answers");
    assert!(
        !reach.should_resign(50, 100, now),
        "half of the machines are cut off"
    );
    reach.record_member_report("n1".into(), 40, now);
    assert!(!reach.should_resign(30, 100, now), "hardly more");
    reach.record_member_report("n2".into(), 41, now);
    assert!(reach.should_resign(30, 100, now));
    assert!(!reach.should_resign(60, 100, now));
    assert!(
        !reach.should_resign(45, 100, now + MEMBER_REPORT_VALIDITY_MS),
        "the word is old"
    );
    // Nine machines of which most are gone: the others have found a member each, as workers do.
    let mut reach = WorkerReachability {
        mostly_silent_since: Some(10_000),
        ..WorkerReachability::default()
    };
    reach.record_member_report("n1".into(), 4, now);
    assert!(!reach.should_resign(3, 9, now), "one more");
    assert!(reach.should_resign(2, 9, now));
}
