use super::*;

fn quota(cpus: u64) -> Quota {
    Quota { cpus, gpus: 0 }
}

fn grant(version: u64, granted: u64, target: u64) -> Grant {
    Grant {
        version,
        guarantee: Quota::ZERO,
        granted: quota(granted),
        target: quota(target),
        lowered: target < granted,
    }
}

/// Holds 100 units, stored.
fn holder() -> Holder {
    let mut holder = Holder::default();
    holder.hear("home", grant(1, 100, 100)).unwrap();
    let record = holder.next(Quota::ZERO).unwrap();
    holder.stored_as(record, 1);
    holder
}

#[test]
fn a_grant_counts_once_it_is_stored_here() {
    let mut holder = Holder::default();
    holder.hear("home", grant(1, 100, 100)).unwrap();
    assert_eq!(holder.ceiling(), Quota::ZERO);
    let record = holder.next(Quota::ZERO).unwrap();
    assert_eq!(holder.ceiling(), Quota::ZERO);
    holder.stored_as(record, 1);
    assert_eq!(holder.ceiling(), quota(100));
    assert_eq!(holder.next(Quota::ZERO), None, "at rest");
}

#[test]
fn what_is_returned_is_not_used_from_the_decision_on_and_told_once_stored() {
    let mut holder = holder();
    holder.hear("home", grant(2, 100, 30)).unwrap();
    let record = holder.next(quota(50)).unwrap();
    assert_eq!(holder.allocation(), quota(50), "what runs stays");
    assert_eq!(
        (holder.ceiling(), holder.excess(quota(50))),
        (quota(30), quota(20))
    );
    let demand = Demand {
        used: quota(50),
        ..Demand::default()
    };
    let told = holder.position(&demand);
    assert_eq!((told.version, told.account.returned), (0, Quota::ZERO));
    holder.stored_as(record, 2);
    let told = holder.position(&demand);
    assert_eq!((told.version, told.account.returned), (0, quota(50)));
    let record = holder.next(quota(30)).unwrap();
    holder.stored_as(record, 3);
    let demand = Demand {
        used: quota(30),
        ..Demand::default()
    };
    let told = holder.position(&demand);
    assert_eq!((told.version, told.account.returned), (2, quota(70)));
}

#[test]
fn old_repeated_and_reordered_messages_change_nothing() {
    let mut holder = holder();
    holder.hear("home", grant(3, 150, 150)).unwrap();
    let record = holder.next(Quota::ZERO).unwrap();
    holder.stored_as(record, 2);
    for old in [grant(1, 100, 100), grant(0, 0, 0), grant(3, 150, 150)] {
        holder.hear("home", old).unwrap();
        assert_eq!(holder.next(Quota::ZERO), None);
        assert_eq!(holder.ceiling(), quota(150));
    }
}

#[test]
fn a_second_home_is_refused() {
    let mut holder = holder();
    let error = holder.hear("other", grant(9, 900, 900)).unwrap_err();
    assert!(matches!(error, QuotaError::OtherHome { .. }));
    assert_eq!(holder.next(Quota::ZERO), None);
}

#[test]
fn a_successor_holds_what_is_stored() {
    let mut before = holder();
    before.hear("home", grant(2, 100, 0)).unwrap();
    let record = before.next(quota(40)).unwrap();
    assert_eq!(before.allocation(), quota(40));
    // It ended before or after the write.
    assert_eq!(
        Holder::new(before.stored().clone(), 1).allocation(),
        quota(100)
    );
    assert_eq!(Holder::new(record, 2).allocation(), quota(40));
}

#[test]
fn work_that_waits_is_asked_for_with_a_margin() {
    let mut holder = holder();
    let demand = Demand {
        used: quota(80),
        waiting: quota(80),
        least: quota(8),
        grain: quota(8),
    };
    assert_eq!(holder.position(&demand).wanted, quota(180));
    let demand = Demand {
        waiting: Quota::ZERO,
        ..demand
    };
    assert_eq!(holder.position(&demand).wanted, quota(80));
}

/// What a home knows of a cell's use is old when its answer arrives: tasks that had begun since were stopped, and as
/// long as others kept beginning the cell did not count as obeying.
#[test]
fn what_is_asked_back_for_another_cell_stops_nothing() {
    let mut holder = holder();
    let asked = Grant {
        lowered: false,
        ..grant(2, 100, 40)
    };
    holder.hear("home", asked).unwrap();
    let used = quota(60);
    assert_eq!(holder.excess(used), Quota::ZERO);
    assert_eq!(holder.ceiling(), quota(40), "nothing new begins above it");
    let record = holder.next(used).unwrap();
    holder.stored_as(record, 2);
    assert_eq!(holder.allocation(), used, "what runs is kept");
    let demand = Demand {
        used,
        ..Demand::default()
    };
    assert_eq!(holder.position(&demand).version, 2, "obeyed");
    holder.hear("home", grant(2, 100, 40)).unwrap();
    assert_eq!(
        holder.excess(used),
        quota(20),
        "a lowered limit is another matter"
    );
}
