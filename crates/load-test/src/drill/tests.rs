use super::*;

fn limits(replaced: &[(Instant, f64)], partition_start: Option<Instant>) -> LimitHistory {
    LimitHistory {
        current: vec![100.0],
        replaced: vec![replaced.to_vec()],
        grace_period: Duration::from_secs(20),
        partitioned_since: partition_start,
    }
}

fn ago(seconds: u64) -> Instant {
    let now = Instant::now();
    now.checked_sub(Duration::from_secs(seconds))
        .expect("the system has been up for longer")
}

#[test]
fn replaced_limit_expires_after_grace_period() {
    let mut limits = limits(&[(ago(10), 300.0), (ago(30), 500.0)], None);
    assert_eq!(limits.max_allowed(0), 300.0);
    assert_eq!(
        limits.replaced[0].len(),
        1,
        "the limit replaced 30 s ago has expired"
    );
}

/// The partitioned region keeps applying the limits that were in force when the partition began.
#[test]
fn limits_stay_in_force_in_a_partitioned_region() {
    let replaced = [(ago(10), 300.0), (ago(30), 500.0), (ago(50), 700.0)];
    let mut limits = limits(&replaced, Some(ago(40)));
    assert_eq!(
        limits.max_allowed(0),
        700.0,
        "it may have been in force when the partition began"
    );
    let mut later = self::limits(&replaced, Some(ago(25)));
    assert_eq!(later.max_allowed(0), 500.0);
}
