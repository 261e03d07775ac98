use super::*;

#[test]
fn split_is_equal_up_to_caps_and_redistributes_what_they_leave() {
    assert_eq!(split_with_caps(12.0, &[100.0, 2.0, 100.0]), [5.0, 2.0, 5.0]);
    assert_eq!(split_with_caps(12.0, &[1.0, 2.0]), [1.0, 2.0]);
    assert_eq!(split_with_caps(0.0, &[1.0]), [0.0]);
    assert!(split_with_caps(5.0, &[]).is_empty());
}

/// A class that is below half of its entitlement for a moment is not starved; once starved, it
/// stays so until it gets all of its entitlement.
#[test]
fn starved_class_stays_starved_until_caught_up() {
    let mut status = FairShareStatus {
        waiting_tasks: 3,
        oldest_wait_ms: STARVATION_DELAY_MS,
        entitled: 10.0,
        allocated: 4.0,
        ..FairShareStatus::default()
    };
    assert!(
        !status.update_starvation(0),
        "below its share for a moment only"
    );
    assert!(status.update_starvation(STARVATION_DELAY_MS) && status.starved);
    status.allocated = 8.0;
    assert!(!status.update_starvation(STARVATION_DELAY_MS + 1000) && status.starved);
    status.allocated = 10.5;
    assert!(status.update_starvation(STARVATION_DELAY_MS + 2000) && !status.starved);
    status.allocated = 4.0;
    status.update_starvation(STARVATION_DELAY_MS + 3000);
    status.allocated = 6.0;
    status.update_starvation(STARVATION_DELAY_MS + 4000);
    status.allocated = 4.0;
    status.update_starvation(STARVATION_DELAY_MS + 5000);
    assert!(
        !status.update_starvation(2 * STARVATION_DELAY_MS),
        "below its share, but not for long enough"
    );
    status.waiting_tasks = 0;
    status.update_starvation(4 * STARVATION_DELAY_MS);
    assert!(!status.starved, "no task of the class waits");
}
