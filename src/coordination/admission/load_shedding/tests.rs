use super::*;

#[test]
fn load_shedding_order_is_the_same_for_every_resource() {
    let ranks = [
        RequestPriority::IdlePoll,
        RequestPriority::Poll,
        RequestPriority::SubmissionBeyondShare,
        RequestPriority::SubmissionWithinShare,
        RequestPriority::Cancellation,
        RequestPriority::ControlPlane,
    ];
    for two in ranks.windows(2) {
        let (first, second) = (two[0], two[1]);
        assert!(first < second);
        assert!(reserved_fraction(first.urgency()) >= reserved_fraction(second.urgency()));
        assert!(first.max_lateness() <= second.max_lateness());
    }
    assert_eq!(
        reserved_fraction(RequestPriority::ControlPlane.urgency()),
        0.0
    );
    assert!(
        RequestPriority::Cancellation.max_lateness() > 1.0,
        "cancellations are never refused"
    );
}
