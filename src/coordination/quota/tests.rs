use super::*;
use crate::{
    cells::PeerCell,
    config::Settings,
    quota::{Account, CoordinatorRecord, Grant, ParticipantRecord},
};

/// The name of a team that `coordinator` coordinates among the cells a, b and c.
fn team_coordinated_by(coordinator: &str) -> String {
    let cells = ["a", "b", "c"].map(String::from);
    let names = (0..).map(|number| format!("team-{number}"));
    let mut names = names.filter(|name| coordinator_of(name, &cells) == Some(coordinator));
    names.next().expect("the cell coordinates some team")
}

fn cell_quotas() -> CellQuotas {
    let peers = ["b", "c"].map(|name| PeerCell {
        name: name.into(),
        addrs: Vec::new(),
    });
    let mut quotas = CellQuotas::new(&CellTopology::new("a", &peers).unwrap());
    quotas.is_loaded = true;
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

/// Stores all changed records under this version of their keys and returns how many there were.
fn store_changed_records(
    quotas: &mut CellQuotas,
    settings: &Settings,
    cluster: &ClusterState,
    version: u64,
) -> usize {
    let items = quotas.records_to_write(&settings.teams, cluster, 0);
    let count = items.len();
    for item in items {
        quotas.on_record_stored(item, version, 0);
    }
    count
}

fn cell_report(from: &str, cells: &[&str]) -> CellReport {
    CellReport {
        from: from.into(),
        cells: cells.iter().map(|cell| (*cell).to_owned()).collect(),
        team_reports: Vec::new(),
    }
}

#[test]
fn coordinator_grants_nothing_until_all_cells_confirm_the_same_list() {
    let team = team_coordinated_by("a");
    let settings = settings(&team);
    let cluster = ClusterState::new(&settings, &[]);
    let mut quotas = cell_quotas();
    let list = ["a", "b", "c"];
    for (version, cell) in [(1, "b"), (2, "c")] {
        store_changed_records(&mut quotas, &settings, &cluster, version);
        assert!(!quotas.coordinators.contains_key(&team), "before {cell}");
        assert!(
            quotas
                .answer_cell_report(&cell_report(cell, &list), 0)
                .is_some()
        );
    }
    store_changed_records(&mut quotas, &settings, &cluster, 3);
    assert!(
        quotas.membership.is_complete(),
        "the confirmed list is stored before anything is granted"
    );
    store_changed_records(&mut quotas, &settings, &cluster, 4);
    assert_eq!(quotas.coordinators[&team].stored().version, 1);
}

#[test]
fn message_from_cell_with_another_cell_list_is_rejected() {
    let mut quotas = cell_quotas();
    for cells in [&["a", "b"][..], &["a", "b", "c", "d"]] {
        assert_eq!(quotas.answer_cell_report(&cell_report("b", cells), 0), None);
    }
    assert_eq!(
        quotas.answer_cell_report(&cell_report("d", &["a", "b", "c"]), 0),
        None
    );
    assert_eq!(
        (quotas.rejected_messages, quotas.agreeing_cells.len()),
        (3, 1)
    );
}

#[test]
fn configured_cells_differing_from_stored_ones_change_nothing() {
    let team = team_coordinated_by("a");
    let settings = settings(&team);
    let cluster = ClusterState::new(&settings, &[]);
    let mut quotas = cell_quotas();
    quotas.membership = CellMembershipRecord {
        cells: vec!["a".into(), "b".into()],
        confirmed: ["a".into(), "b".into()].into(),
    };
    assert_eq!(
        quotas.answer_cell_report(&cell_report("b", &["a", "b", "c"]), 0),
        None
    );
    assert_eq!(
        store_changed_records(&mut quotas, &settings, &cluster, 1),
        0
    );
}

#[test]
fn grant_from_second_coordinator_is_rejected_and_holdings_stay() {
    let team = team_coordinated_by("b");
    let mut quotas = cell_quotas();
    let units = |cpus| Quota { cpus, gpus: 0 };
    let record = ParticipantRecord {
        coordinator: "b".into(),
        version: 4,
        target: units(700),
        account: Account {
            granted: units(900),
            returned: units(200),
        },
        ..ParticipantRecord::default()
    };
    quotas
        .participants
        .insert(team.clone(), Participant::new(record, 1));
    let grant = Grant {
        version: 9,
        granted: units(5000),
        target: units(5000),
        ..Grant::default()
    };
    let response = CellGrants {
        from: "c".into(),
        cells: ["a", "b", "c"].map(String::from).to_vec(),
        grants: vec![(team.clone(), grant)],
    };
    quotas.apply_grants("c", response, 0);
    assert_eq!(quotas.rejected_messages, 1);
    assert_eq!(quotas.participants[&team].new_work_ceiling(), units(700));
    assert_eq!(
        quotas
            .participants
            .get_mut(&team)
            .unwrap()
            .next_record(Quota::ZERO),
        None
    );
}

#[test]
fn no_quota_is_usable_before_records_are_read() {
    let team = team_coordinated_by("a");
    let settings = settings(&team);
    let mut cluster = ClusterState::new(&settings, &[]);
    let mut quotas = cell_quotas();
    let held = Quota {
        cpus: 8000,
        gpus: 0,
    };
    let record = ParticipantRecord {
        coordinator: "a".into(),
        version: 1,
        target: held,
        account: Account {
            granted: held,
            returned: Quota::ZERO,
        },
        ..ParticipantRecord::default()
    };
    quotas
        .participants
        .insert(team, Participant::new(record, 1));
    quotas.is_loaded = false;
    quotas.apply_limits(&mut cluster);
    assert_eq!(cluster.teams[0].limit.cpus, 0.0);
    quotas.is_loaded = true;
    quotas.apply_limits(&mut cluster);
    assert_eq!(cluster.teams[0].limit.cpus, 8.0);
}

/// With 330 teams, some changes took 18 s to be in force: each transaction started with the first teams, which had
/// something to write every time.
#[test]
fn every_quota_record_is_written_despite_transaction_limit() {
    const TEAMS: usize = 100;
    const RECORDS_PER_TXN: usize = 8;
    let mut quotas = cell_quotas();
    let mut written = BTreeSet::new();
    for _ in 0..(2 * TEAMS).div_ceil(RECORDS_PER_TXN) {
        let names = (0..TEAMS).map(|team| format!("team-{team:03}"));
        let items = names.flat_map(|team| {
            let participant_write =
                QuotaRecordWrite::Participant(team.clone(), ParticipantRecord::default());
            [
                QuotaRecordWrite::Coordinator(team, CoordinatorRecord::default()),
                participant_write,
            ]
        });
        let items = quotas.in_write_order(items.collect());
        for item in items.iter().take(RECORDS_PER_TXN) {
            quotas.last_written_key = item.store_key();
            written.insert(item.store_key());
        }
    }
    assert_eq!(written.len(), 2 * TEAMS);
}
