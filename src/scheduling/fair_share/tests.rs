use super::*;

#[test]
fn a_split_is_equal_but_for_caps_and_leaves_nothing_that_is_wanted() {
    assert_eq!(split(12.0, &[100.0, 2.0, 100.0]), [5.0, 2.0, 5.0]);
    assert_eq!(split(12.0, &[1.0, 2.0]), [1.0, 2.0]);
    assert_eq!(split(0.0, &[1.0]), [0.0]);
    assert!(split(5.0, &[]).is_empty());
}

/// Below half of its due for a moment, a class is not behind; behind, it stays so until it has nearly all.
#[test]
fn who_is_behind_stays_so_until_it_has_caught_up() {
    let mut standing = Standing {
        waiting: 3,
        oldest: SHORT,
        due: 10.0,
        got: 4.0,
        ..Standing::default()
    };
    assert!(!standing.judge(0), "it may be just about to start");
    assert!(standing.judge(SHORT) && standing.behind);
    standing.got = 8.0;
    assert!(!standing.judge(SHORT + 1000) && standing.behind);
    standing.got = 10.5;
    assert!(standing.judge(SHORT + 2000) && !standing.behind);
    standing.got = 4.0;
    standing.judge(SHORT + 3000);
    standing.got = 6.0;
    standing.judge(SHORT + 4000);
    standing.got = 4.0;
    standing.judge(SHORT + 5000);
    assert!(!standing.judge(2 * SHORT), "short, but not for long enough");
    standing.waiting = 0;
    standing.judge(4 * SHORT);
    assert!(!standing.behind, "nothing of it waits");
}
