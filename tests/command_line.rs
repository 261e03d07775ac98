//! The program as an operator meets it.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

fn dalelb(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dalelb"))
        .args(args)
        .output()
        .expect("the program runs")
}

fn settings(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("dalelb-{}-{name}.json", std::process::id()));
    fs::write(&path, text).expect("a temporary file");
    path
}

const GOOD: &str = r#"{"label":"n0","domain":"a","listen":"127.0.0.1:0","mesh_addr":"127.0.0.1:0",
  "members":[],"services":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},"a_later_field":1,
  "settings":{"zones":["a"],"teams":[{"name":"red"}],
    "workers":{"report_s":2.5,"lease_s":14.0,"cancel_s":34.0},
    "state":{"rps":100.0,"write_rps":50.0,"value_kb":16.0,"txn_ops":24},
    "cloud":{"rps":3.0,"list_lag_s":6.0}}}"#;

#[test]
fn check_accepts_good_settings() {
    let path = settings("good", GOOD);
    let output = dalelb(&["check", "--config", path.to_str().unwrap()]);
    assert!(output.status.success());
    fs::remove_file(path).unwrap();
}

#[test]
fn limits_to_come_are_optional_and_so_is_each_of_them() {
    for (name, next) in [
        ("null", "null"),
        ("some", "{\"value_kb\":2.0}"),
        ("none", "{}"),
    ] {
        let text = GOOD.replace("24}", &format!("24,\"next\":{next}}}"));
        let path = settings(name, &text);
        let output = dalelb(&["check", "--config", path.to_str().unwrap()]);
        assert!(output.status.success(), "{next}");
        fs::remove_file(path).unwrap();
    }
}

#[test]
fn a_bad_start_says_why_in_one_line_and_ends_with_2() {
    let bad = [
        (
            "address",
            GOOD.replace("127.0.0.1:1\"", "nowhere\""),
            "address",
        ),
        ("text", "not json".to_owned(), "expected"),
        ("lease", GOOD.replace("14.0", "-1.0"), "workers.lease_s"),
        ("missing", GOOD.replace("\"rps\":100.0,", ""), "rps"),
        (
            "next",
            GOOD.replace("24}", "24,\"next\":{\"value_kb\":1.5,\"txn_ops\":8}}"),
            "settings.state.next.value_kb",
        ),
    ];
    for (name, text, reason) in bad {
        let path = settings(name, &text);
        for verb in ["check", "serve"] {
            let output = dalelb(&[verb, "--config", path.to_str().unwrap()]);
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            assert_eq!(output.status.code(), Some(2), "{name}: {said}");
            assert_eq!(said.trim_end().lines().count(), 1, "{name}: {said}");
            assert!(said.contains(reason), "{name}: {said}");
        }
        fs::remove_file(path).unwrap();
    }
    let output = dalelb(&["serve", "--config", "/nonexistent/settings.json"]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(dalelb(&["serve"]).status.code(), Some(2), "a missing flag");
}

#[test]
fn every_problem_is_reported() {
    let text = GOOD
        .replace("14.0", "0")
        .replace("\"zones\":[\"a\"]", "\"zones\":[]");
    let path = settings("many", &text);
    let output = dalelb(&["check", "--config", path.to_str().unwrap()]);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("zones") && said.contains("lease_s"), "{said}");
    fs::remove_file(path).unwrap();
}

#[test]
fn cells_with_a_mistake_are_named_and_end_with_2() {
    let path = settings("cells", GOOD);
    let path = path.to_str().unwrap();
    for (arguments, named) in [
        (&["--cell", "a b"][..], "a b"),
        (
            &["--cell", "north", "--peer-cell", "north=127.0.0.1:1"],
            "named twice",
        ),
        (&["--cell", "north", "--peer-cell", "south"], "ADDRESS:PORT"),
        (&["--peer-cell", "south=127.0.0.1:1"], "--cell"),
    ] {
        let output = dalelb(&[&["serve", "--config", path], arguments].concat());
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.contains(named), "{said}");
    }
    fs::remove_file(path).unwrap();
}
