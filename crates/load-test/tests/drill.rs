//! A short drill with real controllers: the cells share quotas whose limits change while a region is partitioned, a leader
//! is killed and workers fail.

mod common;

use std::{fs, process::Command};

use common::controller;
use serde_json::Value;

const SETTINGS: &str = r#"
[base]
regions = 3
nodes = 2
workers = 40
starts_per_s = 20
tasks_per_job = 10
run_s = 3.0
task_cpus = 2.0
replica_cpus = 4.0
teams = 6
cancelled_share = 0.1
warm_up_s = 1
measure_s = 2
report_s = 1.0
lease_s = 14.0
cancel_s = 34.0
port = 26000

[base.drill]
link_ms = 50
changes_per_s = 4
steady_s = 3
replaced_s = 6
cut_s = 6
rack = 5
"#;

#[test]
fn cells_keep_quotas_under_faults() {
    let path = |extension: &str| {
        let name = format!("dalelb-drill-{}.{extension}", std::process::id());
        std::env::temp_dir().join(name)
    };
    let (settings, result) = (path("toml"), path("json"));
    fs::write(&settings, SETTINGS).expect("a settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_dalelb-load-test"))
        .arg("run")
        .arg("--settings")
        .arg(&settings)
        .arg("--result")
        .arg(&result)
        .arg("--dalelb")
        .arg(controller())
        .output()
        .expect("the program runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
    let text = fs::read_to_string(&result).expect("a result");
    let result_json: Value = serde_json::from_str(&text).expect("JSON");
    let point = &result_json["points"][0];
    assert_eq!(point["broken"], 0, "{point}");
    let phases = point["drill"]["phases"].as_array().expect("phases");
    assert_eq!(phases.len(), 6);
    let sum = |field: &str| -> f64 {
        phases
            .iter()
            .filter_map(|phase| phase[field].as_f64())
            .sum()
    };
    assert!(
        sum("in_force") > 10.0,
        "quota changes take effect: {phases:#?}"
    );
    assert!(sum("starts") > 60.0, "tasks start: {phases:#?}");
    assert_eq!(
        phases[5]["behind"], 0.0,
        "all quota changes are in force at the end"
    );
    fs::remove_file(settings).expect("the settings file");
    fs::remove_file(result).expect("the result");
}
