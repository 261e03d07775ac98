use super::*;

fn limits(replaced: &[(Instant, f64)], kept_since: Option<Instant>) -> Limits {
    Limits {
        current: vec![100.0],
        replaced: vec![replaced.to_vec()],
        stays: Duration::from_secs(20),
        kept_since,
    }
}

fn ago(seconds: u64) -> Instant {
    let now = Instant::now();
    now.checked_sub(Duration::from_secs(seconds))
        .expect("the clock has run for longer")
}

#[test]
fn a_limit_that_was_replaced_may_stay_in_force_for_a_while_only() {
    let mut limits = limits(&[(ago(10), 300.0), (ago(30), 500.0)], None);
    assert_eq!(limits.allowed(0), 300.0);
    assert_eq!(limits.replaced[0].len(), 1, "the older one counts no more");
}

/// The region holds what it held when it was cut off, whatever was set since.
#[test]
fn while_a_region_is_cut_off_what_was_in_force_then_stays_so() {
    let replaced = [(ago(10), 300.0), (ago(30), 500.0), (ago(50), 700.0)];
    let mut limits = limits(&replaced, Some(ago(40)));
    assert_eq!(
        limits.allowed(0),
        700.0,
        "it may have been in force when the cut began"
    );
    let mut later = self::limits(&replaced, Some(ago(25)));
    assert_eq!(later.allowed(0), 500.0);
}
