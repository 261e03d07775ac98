use super::*;

/// A leader that had lost its way to the workers alone kept its lease for 35 s: nothing started,
/// and workers that found another node too late died.
#[test]
fn a_leader_resigns_when_a_member_hears_more_or_it_hears_next_to_nobody() {
    let mut reach = Reach::default();
    assert!(!reach.resign(0, 100, 10_000), "not for the first look");
    reach.deaf_since = Some(10_000);
    let now = 10_000 + DEAF;
    assert!(reach.resign(39, 100, now), "no member answers");
    assert!(
        !reach.resign(50, 100, now),
        "half of the machines are cut off"
    );
    reach.heard("n1".into(), 40, now);
    assert!(!reach.resign(30, 100, now), "hardly more");
    reach.heard("n2".into(), 41, now);
    assert!(reach.resign(30, 100, now));
    assert!(!reach.resign(60, 100, now));
    assert!(!reach.resign(45, 100, now + WORD), "the word is old");
    // Nine machines of which most are gone: the others have found a member each, as workers do.
    let mut reach = Reach {
        deaf_since: Some(10_000),
        ..Reach::default()
    };
    reach.heard("n1".into(), 4, now);
    assert!(!reach.resign(3, 9, now), "one more");
    assert!(reach.resign(2, 9, now));
}
