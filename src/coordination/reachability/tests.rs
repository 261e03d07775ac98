use super::*;

/// A leader that had lost its connection to the workers, but not to the state service, kept its lease for 35 s:
/// no task started, and workers that found another node too late lost their leases.
#[test]
fn leader_resigns_when_a_member_reaches_more_workers_or_it_reaches_few() {
    let mut reachability = WorkerReachability::default();
    assert!(
        !reachability.should_resign(0, 100, 10_000),
        "not at the first check"
    );
    reachability.many_unresponsive_since = Some(10_000);
    let now = 10_000 + MIN_UNRESPONSIVE_MS;
    assert!(
        reachability.should_resign(39, 100, now),
        "no member answers"
    );
    assert!(
        !reachability.should_resign(50, 100, now),
        "half of the machines reach the leader"
    );
    reachability.record_member_report("n1".into(), 40, now);
    assert!(
        !reachability.should_resign(30, 100, now),
        "hardly more reach the member"
    );
    reachability.record_member_report("n2".into(), 41, now);
    assert!(reachability.should_resign(30, 100, now));
    assert!(!reachability.should_resign(60, 100, now));
    assert!(
        !reachability.should_resign(45, 100, now + MEMBER_REPORT_VALIDITY_MS),
        "the member's reply is too old"
    );
    // Most of nine machines are lost; the others report to several members.
    let mut reachability = WorkerReachability {
        many_unresponsive_since: Some(10_000),
        ..WorkerReachability::default()
    };
    reachability.record_member_report("n1".into(), 4, now);
    assert!(
        !reachability.should_resign(3, 9, now),
        "one more reaches the member"
    );
    assert!(reachability.should_resign(2, 9, now));
}
