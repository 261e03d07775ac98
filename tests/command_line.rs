//! The command line of the program: settings checks, exit codes and error messages.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

fn run_dalelb(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dalelb"))
        .args(args)
        .output()
        .expect("the program runs")
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("dalelb-{}-{name}.json", std::process::id()));
    fs::write(&path, text).expect("a temporary file");
    path
}

const VALID_SETTINGS: &str = r#"{"label":"n0","domain":"a","listen":"127.0.0.1:0","mesh_addr":"127.0.0.1:0",
  "members":[],"services":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},"a_later_field":1,
  "settings":{"zones":["a"],"teams":[{"name":"red"}],
    "workers":{"report_s":2.5,"lease_s":14.0,"cancel_s":34.0},
    "state":{"rps":100.0,"write_rps":50.0,"value_kb":16.0,"txn_ops":24},
    "cloud":{"rps":3.0,"list_lag_s":6.0}}}"#;

#[test]
fn check_accepts_valid_settings() {
    let path = write_settings("good", VALID_SETTINGS);
    let output = run_dalelb(&["check", "--config", path.to_str().unwrap()]);
    assert!(output.status.success());
    fs::remove_file(path).unwrap();
}

#[test]
fn upcoming_limits_and_each_field_are_optional() {
    for (name, next) in [
        ("null", "null"),
        ("some", "{\"value_kb\":2.0}"),
        ("none", "{}"),
    ] {
        let text = VALID_SETTINGS.replace("24}", &format!("24,\"next\":{next}}}"));
        let path = write_settings(name, &text);
        let output = run_dalelb(&["check", "--config", path.to_str().unwrap()]);
        assert!(output.status.success(), "{next}");
        fs::remove_file(path).unwrap();
    }
}

#[test]
fn invalid_start_prints_one_line_and_exits_with_2() {
    let invalid_settings = [
        (
            "address",
            VALID_SETTINGS.replace("127.0.0.1:1\"", "nowhere\""),
            "address",
        ),
        ("text", "not json".to_owned(), "expected"),
        (
            "lease",
            VALID_SETTINGS.replace("14.0", "-1.0"),
            "workers.lease_s",
        ),
        (
            "missing",
            VALID_SETTINGS.replace("\"rps\":100.0,", ""),
            "rps",
        ),
        (
            "next",
            VALID_SETTINGS.replace("24}", "24,\"next\":{\"value_kb\":1.5,\"txn_ops\":8}}"),
            "settings.state.next.value_kb",
        ),
    ];
    for (name, text, reason) in invalid_settings {
        let path = write_settings(name, &text);
        for command in ["check", "serve"] {
            let output = run_dalelb(&[command, "--config", path.to_str().unwrap()]);
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            assert_eq!(output.status.code(), Some(2), "{name}: {stderr}");
            assert_eq!(stderr.trim_end().lines().count(), 1, "{name}: {stderr}");
            assert!(stderr.contains(reason), "{name}: {stderr}");
        }
        fs::remove_file(path).unwrap();
    }
    let output = run_dalelb(&["serve", "--config", "/nonexistent/settings.json"]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        run_dalelb(&["serve"]).status.code(),
        Some(2),
        "a missing --config flag"
    );
}

#[test]
fn check_reports_every_settings_error() {
    let text = VALID_SETTINGS
        .replace("14.0", "0")
        .replace("\"zones\":[\"a\"]", "\"zones\":[]");
    let path = write_settings("many", &text);
    let output = run_dalelb(&["check", "--config", path.to_str().unwrap()]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        stderr.contains("zones") && stderr.contains("lease_s"),
        "{stderr}"
    );
    fs::remove_file(path).unwrap();
}

#[test]
fn invalid_cells_are_named_and_exit_with_2() {
    let path = write_settings("cells", VALID_SETTINGS);
    let path = path.to_str().unwrap();
    for (arguments, expected) in [
        (&["--cell", "a b"][..], "a b"),
        (
            &["--cell", "north", "--peer-cell", "north=127.0.0.1:1"],
            "named twice",
        ),
        (&["--cell", "north", "--peer-cell", "south"], "ADDRESS:PORT"),
        (&["--peer-cell", "south=127.0.0.1:1"], "--cell"),
    ] {
        let output = run_dalelb(&[&["serve", "--config", path], arguments].concat());
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(stderr.contains(expected), "{stderr}");
    }
    fs::remove_file(path).unwrap();
}
