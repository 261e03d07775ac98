//! Books of a few machines of one type, two teams, and jobs for them.
#![allow(dead_code)]

use dalelb::{
    cluster::{Books, MachineState, TypeIx},
    config::Settings,
    protocol::{
        cloud::MachineType,
        ids::JobId,
        job::{Kind, Priority, Submission},
    },
};
use serde_json::json;

pub fn kind() -> MachineType {
    MachineType {
        name: "c16".into(),
        cpus: 16.0,
        gpus: 0.0,
        ram_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 0.5,
        price: 1.0,
        spot_price: Some(0.25),
        boot_s: 15.0,
        zones: vec!["a".into(), "b".into()],
    }
}

pub fn books(red: (f64, f64), blue: (f64, f64), machines: usize) -> Books {
    let settings: Settings = serde_json::from_value(json!({
        "zones": ["a", "b"],
        "teams": [{"name": "red", "cpus": red.0, "cpus_max": red.1},
                  {"name": "blue", "cpus": blue.0, "cpus_max": blue.1}],
        "objectives": [{"kind": "wait", "class": "front", "within_s": 2.0},
                       {"kind": "wait", "class": "batch", "within_s": 8.0},
                       {"kind": "wait", "class": "batch", "within_s": 60.0}],
        "workers": {"report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0},
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 3.0, "list_lag_s": 6.0}
    }))
    .unwrap();
    let mut books = Books::new(&settings, &[kind()]);
    for number in 0..machines {
        let zone = books.zone(["a", "b"][number % 2]);
        let name = format!("vm-{number:06}");
        let machine = books.add_machine(&name, TypeIx(0), zone, false, 0);
        books.machines[machine.at()].state = MachineState::Up;
    }
    books
}

pub fn job(number: u64, team: &str, tasks: u32, cpus: f64) -> Submission {
    Submission {
        id: JobId(number),
        class: "any".into(),
        team: team.into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks,
        cpus,
        gpus: 0.0,
        ram_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: Vec::new(),
    }
}

pub fn booked(books: &Books) -> Vec<f64> {
    books.teams.iter().map(|team| team.booked.cpus).collect()
}
