use super::*;

fn cells() -> Vec<String> {
    ["a", "b", "c"].map(String::from).to_vec()
}

fn quota(cpus: Units) -> Quota {
    Quota { cpus, gpus: 0 }
}

fn configured(limit: Units) -> TeamQuota {
    TeamQuota {
        guarantee: quota(90),
        limit: quota(limit),
    }
}

/// A coordinator of three cells that have reported at time 0, with 300 units granted.
fn coordinator() -> Coordinator {
    let mut coordinator = Coordinator::new(&cells(), CoordinatorRecord::default(), 0, 0);
    for cell in cells() {
        coordinator
            .on_report(&cell, ParticipantReport::default(), 0)
            .unwrap();
    }
    let record = coordinator.next_record(configured(300), 0).unwrap();
    coordinator.on_stored(record, 1, 0);
    coordinator
}

#[test]
fn grants_are_sent_only_once_stored() {
    let mut coordinator = Coordinator::new(&cells(), CoordinatorRecord::default(), 0, 0);
    coordinator
        .on_report("a", ParticipantReport::default(), 0)
        .unwrap();
    let record = coordinator.next_record(configured(300), 0).unwrap();
    assert_eq!(coordinator.grant("a"), None);
    coordinator.on_stored(record, 1, 0);
    let grant = coordinator.grant("a").unwrap();
    assert_eq!((grant.version, grant.granted), (1, quota(100)));
    assert_eq!(
        coordinator.grant("b").unwrap().granted,
        Quota::ZERO,
        "b has not reported"
    );
}

#[test]
fn unreachable_cell_keeps_its_quota_and_gets_no_more() {
    let mut coordinator = coordinator();
    let after_timeout = REACHABLE_TIMEOUT_MS + 1;
    coordinator
        .on_report("a", ParticipantReport::default(), after_timeout)
        .unwrap();
    let record = coordinator
        .next_record(configured(600), after_timeout)
        .unwrap();
    let granted = |cell: &str| record.accounts[cell].granted;
    assert_eq!(granted("a"), quota(200));
    assert_eq!((granted("b"), granted("c")), (quota(100), quota(100)));
    coordinator.on_stored(record, 2, after_timeout);
    assert_eq!(coordinator.outdated_cells(), ["a", "b", "c"]);
    assert_eq!(
        coordinator.change_pending_for(after_timeout + 700),
        Some(700)
    );
}

#[test]
fn reordered_report_is_ignored() {
    let mut coordinator = coordinator();
    let account = Account {
        granted: quota(100),
        returned: quota(40),
    };
    let report = ParticipantReport {
        account,
        version: 1,
        ..ParticipantReport::default()
    };
    coordinator.on_report("a", report, 1).unwrap();
    assert_eq!(coordinator.account("a").outstanding(), quota(60));
    coordinator
        .on_report("a", ParticipantReport::default(), 2)
        .unwrap();
    assert_eq!(coordinator.account("a").outstanding(), quota(60));
    assert_eq!(coordinator.outdated_cells(), ["b", "c"]);
}

#[test]
fn unknown_cells_and_excess_returns_are_rejected() {
    let mut coordinator = coordinator();
    let unknown_cell = coordinator.on_report("z", ParticipantReport::default(), 1);
    assert_eq!(unknown_cell, Err(QuotaError::UnknownCell("z".into())));
    let account = Account {
        granted: quota(100),
        returned: quota(101),
    };
    let report = ParticipantReport {
        account,
        ..ParticipantReport::default()
    };
    let excess_return = coordinator.on_report("a", report, 1);
    assert_eq!(
        excess_return,
        Err(QuotaError::ReturnedMoreThanGranted("a".into()))
    );
    assert_eq!(coordinator.account("a").outstanding(), quota(100));
}

#[test]
fn lowered_limit_is_in_force_once_all_cells_enforce_it_and_have_returned_units() {
    let mut coordinator = coordinator();
    let record = coordinator.next_record(configured(30), 10).unwrap();
    coordinator.on_stored(record, 2, 10);
    coordinator.next_record(configured(30), 10);
    assert_eq!(coordinator.grant("a").unwrap().target, quota(10));
    for (number, cell) in cells().into_iter().enumerate() {
        assert_eq!(
            coordinator.change_pending_for(20),
            Some(10),
            "after {number} reports"
        );
        let account = Account {
            granted: quota(100),
            returned: quota(90),
        };
        let report = ParticipantReport {
            version: 2,
            account,
            ..ParticipantReport::default()
        };
        coordinator.on_report(&cell, report, 20).unwrap();
    }
    assert_eq!(coordinator.change_pending_for(20), None);
    assert_eq!(
        coordinator.next_record(configured(30), 20),
        None,
        "nothing more to store"
    );
}

#[test]
fn guarantee_follows_demand() {
    let mut coordinator = coordinator();
    let report = ParticipantReport {
        wanted: quota(70),
        ..ParticipantReport::default()
    };
    coordinator.on_report("b", report, 1).unwrap();
    let guarantee = |cell: &str| coordinator.grant(cell).unwrap().guarantee;
    assert_eq!(guarantee("b"), quota(76));
    assert_eq!(guarantee("a"), quota(6));
}
