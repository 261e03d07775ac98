//! The capacity page matches its result files, and invalid input is reported.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn run_load_test(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dalelb-load-test"))
        .args(arguments)
        .current_dir(root())
        .output()
        .expect("the program runs")
}

/// The arguments of the command that the page documents.
fn page_command() -> Vec<String> {
    let page = fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page");
    let line = page.lines().find_map(|line| {
        line.trim()
            .strip_prefix("cargo run -p dalelb-load-test -- ")
    });
    let line = line.expect("the page names its command");
    line.split_whitespace().map(str::to_owned).collect()
}

#[test]
fn page_matches_its_results() {
    let mut arguments = page_command();
    arguments.push("--check".into());
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let output = run_load_test(&arguments);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
}

#[test]
fn outdated_page_fails_the_check() {
    let page = fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page");
    let changed = page.replacen(" yes |", " no |", 1);
    assert_ne!(changed, page);
    let path = std::env::temp_dir().join(format!("dalelb-page-{}.md", std::process::id()));
    fs::write(&path, changed).expect("a temporary file");
    let mut arguments = page_command();
    let flag_position = arguments
        .iter()
        .position(|argument| argument == "--page")
        .expect("its page");
    arguments[flag_position + 1] = path.display().to_string();
    arguments.push("--check".into());
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    assert_eq!(run_load_test(&arguments).status.code(), Some(5));
    fs::remove_file(path).expect("the temporary file");
}

#[test]
fn invalid_input_prints_one_line_and_exits_with_2() {
    let path = std::env::temp_dir().join(format!("dalelb-load-test-{}.toml", std::process::id()));
    for (text, expected) in [
        ("[base]\nworkers = 0\n", "workers"),
        ("[base]\nwrokers = 1\n", "wrokers"),
        ("[base]\nregions = 90\nnodes = 4\n", "300 at most"),
        ("[base]\nregions = 50\nworkers = 30000\n", "memory"),
    ] {
        fs::write(&path, text).expect("a temporary file");
        let settings = path.to_str().expect("a plain path");
        let output = run_load_test(&["run", "--settings", settings, "--result", "/nowhere"]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(
            stderr.contains(expected) && stderr.trim().lines().count() == 1,
            "{stderr}"
        );
    }
    fs::remove_file(&path).expect("the temporary file");
    let missing = run_load_test(&["run", "--settings", "/nowhere", "--result", "/nowhere"]);
    assert_eq!(missing.status.code(), Some(2));
}
