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
fn home() -> Home {
    let mut home = Home::new(&cells(), HomeRecord::default(), 0, 0);
    for cell in cells() {
        home.hear(&cell, Position::default(), 0).unwrap();
    }
    let record = home.next(configured(300), 0).unwrap();
    home.stored_as(record, 1, 0);
    home
}

#[test]
fn nothing_is_told_before_it_is_stored() {
    let mut home = Home::new(&cells(), HomeRecord::default(), 0, 0);
    home.hear("a", Position::default(), 0).unwrap();
    let record = home.next(configured(300), 0).unwrap();
    assert_eq!(home.grant("a"), None);
    home.stored_as(record, 1, 0);
    let grant = home.grant("a").unwrap();
    assert_eq!((grant.version, grant.granted), (1, quota(100)));
    assert_eq!(
        home.grant("b").unwrap().granted,
        Quota::ZERO,
        "nobody heard of it"
    );
}

#[test]
fn a_cell_that_is_not_reached_keeps_what_it_holds_and_gets_no_more() {
    let mut home = home();
    let late = REACHABLE + 1;
    home.hear("a", Position::default(), late).unwrap();
    let record = home.next(configured(600), late).unwrap();
    let granted = |cell: &str| record.accounts[cell].granted;
    assert_eq!(granted("a"), quota(200));
    assert_eq!((granted("b"), granted("c")), (quota(100), quota(100)));
    home.stored_as(record, 2, late);
    assert_eq!(home.behind(), ["a", "b", "c"]);
    assert_eq!(home.waiting(late + 700), Some(700));
}

#[test]
fn an_overtaken_message_changes_nothing() {
    let mut home = home();
    let account = Account {
        granted: quota(100),
        returned: quota(40),
    };
    let position = Position {
        account,
        version: 1,
        ..Position::default()
    };
    home.hear("a", position, 1).unwrap();
    assert_eq!(home.account("a").outstanding(), quota(60));
    home.hear("a", Position::default(), 2).unwrap();
    assert_eq!(home.account("a").outstanding(), quota(60));
    assert_eq!(home.behind(), ["b", "c"]);
}

#[test]
fn strangers_and_impossible_returns_are_refused() {
    let mut home = home();
    let stranger = home.hear("z", Position::default(), 1);
    assert_eq!(stranger, Err(QuotaError::UnknownCell("z".into())));
    let account = Account {
        granted: quota(100),
        returned: quota(101),
    };
    let position = Position {
        account,
        ..Position::default()
    };
    let impossible = home.hear("a", position, 1);
    assert_eq!(impossible, Err(QuotaError::Impossible("a".into())));
    assert_eq!(home.account("a").outstanding(), quota(100));
}

#[test]
fn a_lowered_limit_is_in_force_once_all_obey_and_have_returned() {
    let mut home = home();
    let record = home.next(configured(30), 10).unwrap();
    home.stored_as(record, 2, 10);
    home.next(configured(30), 10);
    assert_eq!(home.grant("a").unwrap().target, quota(10));
    for (number, cell) in cells().into_iter().enumerate() {
        assert_eq!(home.waiting(20), Some(10), "after {number}");
        let account = Account {
            granted: quota(100),
            returned: quota(90),
        };
        let position = Position {
            version: 2,
            account,
            ..Position::default()
        };
        home.hear(&cell, position, 20).unwrap();
    }
    assert_eq!(home.waiting(20), None);
    assert_eq!(home.next(configured(30), 20), None, "at rest");
}

#[test]
fn a_guarantee_goes_where_the_demand_is() {
    let mut home = home();
    let position = Position {
        wanted: quota(70),
        ..Position::default()
    };
    home.hear("b", position, 1).unwrap();
    let guarantee = |cell: &str| home.grant(cell).unwrap().guarantee;
    assert_eq!(guarantee("b"), quota(76));
    assert_eq!(guarantee("a"), quota(6));
}
