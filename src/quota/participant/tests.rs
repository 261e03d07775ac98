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
        limit_lowered: target < granted,
    }
}

/// Holds 100 units, stored.
fn holder() -> Participant {
    let mut holder = Participant::default();
    holder.on_grant("home", grant(1, 100, 100)).unwrap();
    let record = holder.next_record(Quota::ZERO).unwrap();
    holder.on_stored(record, 1);
    holder
}

#[test]
fn grant_is_usable_only_once_stored() {
    let mut holder = Participant::default();
    holder.on_grant("home", grant(1, 100, 100)).unwrap();
    assert_eq!(holder.new_work_ceiling(), Quota::ZERO);
    let record = holder.next_record(Quota::ZERO).unwrap();
    assert_eq!(holder.new_work_ceiling(), Quota::ZERO);
    holder.on_stored(record, 1);
    assert_eq!(holder.new_work_ceiling(), quota(100));
    assert_eq!(holder.next_record(Quota::ZERO), None, "at rest");
}

#[test]
fn returned_units_are_unusable_at_once_and_reported_once_stored() {
    let mut holder = holder();
    holder.on_grant("home", grant(2, 100, 30)).unwrap();
    let record = holder.next_record(quota(50)).unwrap();
    assert_eq!(holder.usable_quota(), quota(50), "what runs stays");
    assert_eq!(
        (holder.new_work_ceiling(), holder.excess(quota(50))),
        (quota(30), quota(20))
    );
    let demand = TeamDemand {
        used: quota(50),
        ..TeamDemand::default()
    };
    let told = holder.report(&demand);
    assert_eq!((told.version, told.account.returned), (0, Quota::ZERO));
    holder.on_stored(record, 2);
    let told = holder.report(&demand);
    assert_eq!((told.version, told.account.returned), (0, quota(50)));
    let record = holder.next_record(quota(30)).unwrap();
    holder.on_stored(record, 3);
    let demand = TeamDemand {
        used: quota(30),
        ..TeamDemand::default()
    };
    let told = holder.report(&demand);
    assert_eq!((told.version, told.account.returned), (2, quota(70)));
}

#[test]
fn stale_repeated_and_reordered_messages_are_ignored() {
    let mut holder = holder();
    holder.on_grant("home", grant(3, 150, 150)).unwrap();
    let record = holder.next_record(Quota::ZERO).unwrap();
    holder.on_stored(record, 2);
    for old in [grant(1, 100, 100), grant(0, 0, 0), grant(3, 150, 150)] {
        holder.on_grant("home", old).unwrap();
        assert_eq!(holder.next_record(Quota::ZERO), None);
        assert_eq!(holder.new_work_ceiling(), quota(150));
    }
}

#[test]
fn second_coordinator_is_rejected() {
    let mut holder = holder();
    let error = holder.on_grant("other", grant(9, 900, 900)).unwrap_err();
    assert!(matches!(error, QuotaError::OtherCoordinator { .. }));
    assert_eq!(holder.next_record(Quota::ZERO), None);
}

#[test]
fn successor_recovers_stored_quota() {
    let mut before = holder();
    before.on_grant("home", grant(2, 100, 0)).unwrap();
    let record = before.next_record(quota(40)).unwrap();
    assert_eq!(before.usable_quota(), quota(40));
    // It ended before or after the write.
    assert_eq!(
        Participant::new(before.stored().clone(), 1).usable_quota(),
        quota(100)
    );
    assert_eq!(Participant::new(record, 2).usable_quota(), quota(40));
}

#[test]
fn waiting_work_is_requested_with_margin() {
    let mut holder = holder();
    let demand = TeamDemand {
        used: quota(80),
        waiting: quota(80),
        first_request: quota(8),
        largest_task: quota(8),
    };
    assert_eq!(holder.report(&demand).wanted, quota(180));
    let demand = TeamDemand {
        waiting: Quota::ZERO,
        ..demand
    };
    assert_eq!(holder.report(&demand).wanted, quota(80));
}

/// What a home knows of a cell's use is old when its answer arrives: tasks that had begun since were stopped, and as
/// long as others kept beginning the cell did not count as obeying.
#[test]
fn rebalancing_to_another_cell_preempts_nothing() {
    let mut holder = holder();
    let asked = Grant {
        limit_lowered: false,
        ..grant(2, 100, 40)
    };
    holder.on_grant("home", asked).unwrap();
    let used = quota(60);
    assert_eq!(holder.excess(used), Quota::ZERO);
    assert_eq!(
        holder.new_work_ceiling(),
        quota(40),
        "nothing new begins above it"
    );
    let record = holder.next_record(used).unwrap();
    holder.on_stored(record, 2);
    assert_eq!(holder.usable_quota(), used, "what runs is kept");
    let demand = TeamDemand {
        used,
        ..TeamDemand::default()
    };
    assert_eq!(holder.report(&demand).version, 2, "obeyed");
    holder.on_grant("home", grant(2, 100, 40)).unwrap();
    assert_eq!(
        holder.excess(used),
        quota(20),
        "a lowered limit is another matter"
    );
}
