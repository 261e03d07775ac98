use super::*;
use crate::{
    cells::PeerCell,
    config::Settings,
    quota::{Account, Grant},
};

/// Teams whose homes are the first and the second of the cells a, b and c.
fn team_of(home: &str) -> String {
    let cells = ["a", "b", "c"].map(String::from);
    let names = (0..).map(|number| format!("team-{number}"));
    let mut names = names.filter(|name| home_of(name, &cells) == Some(home));
    names.next().expect("some team has its home there")
}

fn quotas() -> Quotas {
    let peers = ["b", "c"].map(|name| PeerCell {
        name: name.into(),
        addrs: Vec::new(),
    });
    let mut quotas = Quotas::new(&Cells::new("a", &peers).unwrap());
    quotas.loaded = true;
    quotas
}

fn settings(team: &str) -> Settings {
    serde_json::from_value(serde_json::json!({
        "zones": ["z"], "teams": [{"name": team, "cpus": 10.0, "cpus_max": 30.0}],
        "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 3.0}
    }))
    .unwrap()
}

/// Writes all that is to be written, as version 1, 2 and so on; how many records.
fn write(quotas: &mut Quotas, settings: &Settings, books: &Books, version: u64) -> usize {
    let items = quotas.items(&settings.teams, books, 0);
    let count = items.len();
    for item in items {
        quotas.stored(item, version, 0);
    }
    count
}

fn statement(from: &str, cells: &[&str]) -> CellStatement {
    CellStatement {
        from: from.into(),
        cells: cells.iter().map(|cell| (*cell).to_owned()).collect(),
        teams: Vec::new(),
    }
}

#[test]
fn a_home_grants_nothing_before_all_cells_have_named_the_same_list() {
    let team = team_of("a");
    let settings = settings(&team);
    let books = Books::new(&settings, &[]);
    let mut quotas = quotas();
    let list = ["a", "b", "c"];
    for (version, cell) in [(1, "b"), (2, "c")] {
        write(&mut quotas, &settings, &books, version);
        assert!(!quotas.homes.contains_key(&team), "before {cell}");
        assert!(quotas.stated(&statement(cell, &list), 0).is_some());
    }
    write(&mut quotas, &settings, &books, 3);
    assert!(
        quotas.members.complete(),
        "stored before anything is granted"
    );
    write(&mut quotas, &settings, &books, 4);
    assert_eq!(quotas.homes[&team].stored().version, 1);
}

#[test]
fn who_knows_other_cells_is_not_heard() {
    let mut quotas = quotas();
    for cells in [&["a", "b"][..], &["a", "b", "c", "d"]] {
        assert_eq!(quotas.stated(&statement("b", cells), 0), None);
    }
    assert_eq!(quotas.stated(&statement("d", &["a", "b", "c"]), 0), None);
    assert_eq!((quotas.refused, quotas.named.len()), (3, 1));
}

#[test]
fn cells_other_than_those_that_are_stored_change_nothing() {
    let team = team_of("a");
    let settings = settings(&team);
    let books = Books::new(&settings, &[]);
    let mut quotas = quotas();
    quotas.members = MembersRecord {
        cells: vec!["a".into(), "b".into()],
        confirmed: ["a".into(), "b".into()].into(),
    };
    assert_eq!(quotas.stated(&statement("b", &["a", "b", "c"]), 0), None);
    assert_eq!(write(&mut quotas, &settings, &books, 1), 0);
}

#[test]
fn a_second_home_is_refused_and_what_is_held_stays() {
    let team = team_of("b");
    let mut quotas = quotas();
    let units = |cpus| Quota { cpus, gpus: 0 };
    let record = HoldRecord {
        home: "b".into(),
        version: 4,
        target: units(700),
        account: Account {
            granted: units(900),
            returned: units(200),
        },
        ..HoldRecord::default()
    };
    quotas.holders.insert(team.clone(), Holder::new(record, 1));
    let grant = Grant {
        version: 9,
        granted: units(5000),
        target: units(5000),
        ..Grant::default()
    };
    let answer = CellAnswer {
        from: "c".into(),
        cells: ["a", "b", "c"].map(String::from).to_vec(),
        teams: vec![(team.clone(), grant)],
    };
    quotas.answered("c", answer, 0);
    assert_eq!(quotas.refused, 1);
    assert_eq!(quotas.holders[&team].ceiling(), units(700));
    assert_eq!(
        quotas.holders.get_mut(&team).unwrap().next(Quota::ZERO),
        None
    );
}

#[test]
fn nothing_may_be_used_before_what_is_held_was_read() {
    let team = team_of("a");
    let settings = settings(&team);
    let mut books = Books::new(&settings, &[]);
    let mut quotas = quotas();
    let held = Quota {
        cpus: 8000,
        gpus: 0,
    };
    let record = HoldRecord {
        home: "a".into(),
        version: 1,
        target: held,
        account: Account {
            granted: held,
            returned: Quota::ZERO,
        },
        ..HoldRecord::default()
    };
    quotas.holders.insert(team, Holder::new(record, 1));
    quotas.loaded = false;
    quotas.apply(&mut books);
    assert_eq!(books.teams[0].limit.cpus, 0.0);
    quotas.loaded = true;
    quotas.apply(&mut books);
    assert_eq!(books.teams[0].limit.cpus, 8.0);
}

/// A drill of 330 teams had changes that came to be in force after 18 s: each write began with the first teams, which
/// had something to write each time.
#[test]
fn every_record_is_written_in_its_turn_however_much_there_is_to_write() {
    const TEAMS: usize = 100;
    const AT_ONCE: usize = 8;
    let mut quotas = quotas();
    let mut written = BTreeSet::new();
    for _ in 0..(2 * TEAMS).div_ceil(AT_ONCE) {
        let names = (0..TEAMS).map(|team| format!("team-{team:03}"));
        let items = names.flat_map(|team| {
            let hold = Item::Hold(team.clone(), HoldRecord::default());
            [Item::Home(team, HomeRecord::default()), hold]
        });
        let items = quotas.in_turn(items.collect());
        for item in items.iter().take(AT_ONCE) {
            quotas.written_last = item.key();
            written.insert(item.key());
        }
    }
    assert_eq!(written.len(), 2 * TEAMS);
}
