use super::*;

#[test]
fn who_gives_way_first_does_so_at_every_scarce_thing() {
    let ranks = [
        Rank::IdlePoll,
        Rank::Poll,
        Rank::Beyond,
        Rank::Within,
        Rank::Cancellation,
        Rank::Lease,
    ];
    for two in ranks.windows(2) {
        let (first, second) = (two[0], two[1]);
        assert!(first < second);
        assert!(reserve(first.urgency()) >= reserve(second.urgency()));
        assert!(first.bears() <= second.bears());
    }
    assert_eq!(reserve(Rank::Lease.urgency()), 0.0);
    assert!(Rank::Cancellation.bears() > 1.0, "whatever happens");
}
