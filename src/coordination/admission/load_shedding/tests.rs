use super::*;

#[test]
fn load_shedding_order_is_the_same_for_every_resource() {
    let priorities = [
        RequestPriority::IdlePoll,
        RequestPriority::Poll,
        RequestPriority::SubmissionBeyondShare,
        RequestPriority::SubmissionWithinShare,
        RequestPriority::Cancellation,
        RequestPriority::ControlPlane,
    ];
    for pair in priorities.windows(2) {
        let (lower, higher) = (pair[0], pair[1]);
        assert!(lower < higher);
        assert!(
            reserved_fraction(lower.state_request_priority())
                >= reserved_fraction(higher.state_request_priority())
        );
        assert!(lower.max_lateness() <= higher.max_lateness());
    }
    assert_eq!(
        reserved_fraction(RequestPriority::ControlPlane.state_request_priority()),
        0.0
    );
    assert!(
        RequestPriority::Cancellation.max_lateness() > 1.0,
        "cancellations are never refused"
    );
}
