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

/// A participant that holds 100 units, stored.
fn funded_participant() -> Participant {
    let mut participant = Participant::default();
    participant
        .on_grant("coordinator", grant(1, 100, 100))
        .unwrap();
    let record = participant.next_record(Quota::ZERO).unwrap();
    participant.on_stored(record, 1);
    participant
}

#[test]
fn grant_is_usable_only_once_stored() {
    let mut participant = Participant::default();
    participant
        .on_grant("coordinator", grant(1, 100, 100))
        .unwrap();
    assert_eq!(participant.new_work_ceiling(), Quota::ZERO);
    let record = participant.next_record(Quota::ZERO).unwrap();
    assert_eq!(participant.new_work_ceiling(), Quota::ZERO);
    participant.on_stored(record, 1);
    assert_eq!(participant.new_work_ceiling(), quota(100));
    assert_eq!(
        participant.next_record(Quota::ZERO),
        None,
        "nothing more to store"
    );
}

#[test]
fn returned_units_are_unusable_immediately_and_reported_once_stored() {
    let mut participant = funded_participant();
    participant
        .on_grant("coordinator", grant(2, 100, 30))
        .unwrap();
    let record = participant.next_record(quota(50)).unwrap();
    assert_eq!(
        participant.usable_quota(),
        quota(50),
        "running tasks keep their units"
    );
    assert_eq!(
        (
            participant.new_work_ceiling(),
            participant.excess(quota(50))
        ),
        (quota(30), quota(20))
    );
    let demand = TeamDemand {
        used: quota(50),
        ..TeamDemand::default()
    };
    let report = participant.report(&demand);
    assert_eq!((report.version, report.account.returned), (0, Quota::ZERO));
    participant.on_stored(record, 2);
    let report = participant.report(&demand);
    assert_eq!((report.version, report.account.returned), (0, quota(50)));
    let record = participant.next_record(quota(30)).unwrap();
    participant.on_stored(record, 3);
    let demand = TeamDemand {
        used: quota(30),
        ..TeamDemand::default()
    };
    let report = participant.report(&demand);
    assert_eq!((report.version, report.account.returned), (2, quota(70)));
}

#[test]
fn stale_repeated_and_reordered_messages_are_ignored() {
    let mut participant = funded_participant();
    participant
        .on_grant("coordinator", grant(3, 150, 150))
        .unwrap();
    let record = participant.next_record(Quota::ZERO).unwrap();
    participant.on_stored(record, 2);
    for stale in [grant(1, 100, 100), grant(0, 0, 0), grant(3, 150, 150)] {
        participant.on_grant("coordinator", stale).unwrap();
        assert_eq!(participant.next_record(Quota::ZERO), None);
        assert_eq!(participant.new_work_ceiling(), quota(150));
    }
}

#[test]
fn second_coordinator_is_rejected() {
    let mut participant = funded_participant();
    let error = participant
        .on_grant("other", grant(9, 900, 900))
        .unwrap_err();
    assert!(matches!(error, QuotaError::OtherCoordinator { .. }));
    assert_eq!(participant.next_record(Quota::ZERO), None);
}

#[test]
fn successor_recovers_stored_quota() {
    let mut predecessor = funded_participant();
    predecessor
        .on_grant("coordinator", grant(2, 100, 0))
        .unwrap();
    let record = predecessor.next_record(quota(40)).unwrap();
    assert_eq!(predecessor.usable_quota(), quota(40));
    // The previous leader crashed before or after the record was stored.
    assert_eq!(
        Participant::new(predecessor.stored().clone(), 1).usable_quota(),
        quota(100)
    );
    assert_eq!(Participant::new(record, 2).usable_quota(), quota(40));
}

#[test]
fn waiting_work_is_requested_with_margin() {
    let mut participant = funded_participant();
    let demand = TeamDemand {
        used: quota(80),
        waiting: quota(80),
        first_request: quota(8),
        largest_task: quota(8),
    };
    assert_eq!(participant.report(&demand).wanted, quota(180));
    let demand = TeamDemand {
        waiting: Quota::ZERO,
        ..demand
    };
    assert_eq!(participant.report(&demand).wanted, quota(80));
}

/// The use on which a coordinator bases its target is out of date when the grant arrives. A cell that preempted down to
/// that target would stop tasks started in between, and while further tasks kept starting it would not count as
/// enforcing the version.
#[test]
fn rebalancing_to_another_cell_preempts_nothing() {
    let mut participant = funded_participant();
    let reclaiming_grant = Grant {
        limit_lowered: false,
        ..grant(2, 100, 40)
    };
    participant
        .on_grant("coordinator", reclaiming_grant)
        .unwrap();
    let used = quota(60);
    assert_eq!(participant.excess(used), Quota::ZERO);
    assert_eq!(
        participant.new_work_ceiling(),
        quota(40),
        "no new work starts above the target"
    );
    let record = participant.next_record(used).unwrap();
    participant.on_stored(record, 2);
    assert_eq!(
        participant.usable_quota(),
        used,
        "running tasks keep their units"
    );
    let demand = TeamDemand {
        used,
        ..TeamDemand::default()
    };
    assert_eq!(
        participant.report(&demand).version,
        2,
        "the version is enforced"
    );
    participant
        .on_grant("coordinator", grant(2, 100, 40))
        .unwrap();
    assert_eq!(
        participant.excess(used),
        quota(20),
        "a lowered limit requires preemption"
    );
}
