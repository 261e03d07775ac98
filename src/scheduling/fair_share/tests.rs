use super::*;

#[test]
fn split_is_equal_up_to_caps_and_leaves_no_wanted_units() {
    assert_eq!(split_with_caps(12.0, &[100.0, 2.0, 100.0]), [5.0, 2.0, 5.0]);
    assert_eq!(split_with_caps(12.0, &[1.0, 2.0]), [1.0, 2.0]);
    assert_eq!(split_with_caps(0.0, &[1.0]), [0.0]);
    assert!(split_with_caps(5.0, &[]).is_empty());
}

/// Below half of its due for a moment, a class is not behind; behind, it stays so until it has nearly all.
#[test]
fn starved_class_stays_starved_until_caught_up() {
    let mut standing = ShareStatus {
        waiting_tasks: 3,
        oldest_wait_ms: STARVATION_DELAY_MS,
        entitled: 10.0,
        allocated: 4.0,
        ..ShareStatus::default()
    };
    assert!(
        !standing.update_starvation(0),
        "it may be just about to start"
    );
    assert!(standing.update_starvation(STARVATION_DELAY_MS) && standing.starved);
    standing.allocated = 8.0;
    assert!(!standing.update_starvation(STARVATION_DELAY_MS + 1000) && standing.starved);
    standing.allocated = 10.5;
    assert!(standing.update_starvation(STARVATION_DELAY_MS + 2000) && !standing.starved);
    standing.allocated = 4.0;
    standing.update_starvation(STARVATION_DELAY_MS + 3000);
    standing.allocated = 6.0;
    standing.update_starvation(STARVATION_DELAY_MS + 4000);
    standing.allocated = 4.0;
    standing.update_starvation(STARVATION_DELAY_MS + 5000);
    assert!(
        !standing.update_starvation(2 * STARVATION_DELAY_MS),
        "short, but not for long enough"
    );
    standing.waiting_tasks = 0;
    standing.update_starvation(4 * STARVATION_DELAY_MS);
    assert!(!standing.starved, "nothing of it waits");
}
