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

/// A home with three cells that were heard of at time 0, and 300 units granted.
fn home() -> Coordinator {
    let mut home = Coordinator::new(&cells(), CoordinatorRecord::default(), 0, 0);
    for cell in cells() {
        home.on_report(&cell, ParticipantReport::default(), 0)
            .unwrap();
    }
    let record = home.next_record(configured(300), 0).unwrap();
    home.on_stored(record, 1, 0);
    home
}

#[test]
fn grants_are_sent_only_once_stored() {
    let mut home = Coordinator::new(&cells(), CoordinatorRecord::default(), 0, 0);
    home.on_report("a", ParticipantReport::default(), 0)
        .unwrap();
    let record = home.next_record(configured(300), 0).unwrap();
    assert_eq!(home.grant("a"), None);
    home.on_stored(record, 1, 0);
    let grant = home.grant("a").unwrap();
    assert_eq!((grant.version, grant.granted), (1, quota(100)));
    assert_eq!(
        home.grant("b").unwrap().granted,
        Quota::ZERO,
        "nobody heard of it"
    );
}

#[test]
fn unreachable_cell_keeps_its_quota_and_gets_no_more() {
    let mut home = home();
    let late = REACHABLE_TIMEOUT_MS + 1;
    home.on_report("a", ParticipantReport::default(), late)
        .unwrap();
    let record = home.next_record(configured(600), late).unwrap();
    let granted = |cell: &str| record.accounts[cell].granted;
    assert_eq!(granted("a"), quota(200));
    assert_eq!((granted("b"), granted("c")), (quota(100), quota(100)));
    home.on_stored(record, 2, late);
    assert_eq!(home.outdated_cells(), ["a", "b", "c"]);
    assert_eq!(home.pending_for(late + 700), Some(700));
}

#[test]
fn reordered_report_is_ignored() {
    let mut home = home();
    let account = Account {
        granted: quota(100),
        returned: quota(40),
    };
    let position = ParticipantReport {
        account,
        version: 1,
        ..ParticipantReport::default()
    };
    home.on_report("a", position, 1).unwrap();
    assert_eq!(home.account("a").outstanding(), quota(60));
    home.on_report("a", ParticipantReport::default(), 2)
        .unwrap();
    assert_eq!(home.account("a").outstanding(), quota(60));
    assert_eq!(home.outdated_cells(), ["b", "c"]);
}

#[test]
fn unknown_cells_and_excess_returns_are_rejected() {
    let mut home = home();
    let stranger = home.on_report("z", ParticipantReport::default(), 1);
    assert_eq!(stranger, Err(QuotaError::UnknownCell("z".into())));
    let account = Account {
        granted: quota(100),
        returned: quota(101),
    };
    let position = ParticipantReport {
        account,
        ..ParticipantReport::default()
    };
    let impossible = home.on_report("a", position, 1);
    assert_eq!(
        impossible,
        Err(QuotaError::ReturnedMoreThanGranted("a".into()))
    );
    assert_eq!(home.account("a").outstanding(), quota(100));
}

#[test]
fn lowered_limit_is_in_force_once_all_cells_enforce_it_and_returned_units() {
    let mut home = home();
    let record = home.next_record(configured(30), 10).unwrap();
    home.on_stored(record, 2, 10);
    home.next_record(configured(30), 10);
    assert_eq!(home.grant("a").unwrap().target, quota(10));
    for (number, cell) in cells().into_iter().enumerate() {
        assert_eq!(home.pending_for(20), Some(10), "after {number}");
        let account = Account {
            granted: quota(100),
            returned: quota(90),
        };
        let position = ParticipantReport {
            version: 2,
            account,
            ..ParticipantReport::default()
        };
        home.on_report(&cell, position, 20).unwrap();
    }
    assert_eq!(home.pending_for(20), None);
    assert_eq!(home.next_record(configured(30), 20), None, "at rest");
}

#[test]
fn guarantee_follows_demand() {
    let mut home = home();
    let position = ParticipantReport {
        wanted: quota(70),
        ..ParticipantReport::default()
    };
    home.on_report("b", position, 1).unwrap();
    let guarantee = |cell: &str| home.grant(cell).unwrap().guarantee;
    assert_eq!(guarantee("b"), quota(76));
    assert_eq!(guarantee("a"), quota(6));
}
