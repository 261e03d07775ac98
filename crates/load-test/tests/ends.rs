//! Each way in which a run ends: it reports the reason on one line, keeps the result file and stops all controllers.

mod common;

use std::{
    fs,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    time::{Duration, Instant},
};

use common::controller;

/// Upper bound on each wait, well above the expected duration.
const TIMEOUT: Duration = Duration::from_secs(60);

struct RunFiles {
    settings: PathBuf,
    result: PathBuf,
}

impl RunFiles {
    fn new(port: u16) -> Self {
        let path = |extension: &str| {
            let name = format!("dalelb-ends-{}-{port}.{extension}", std::process::id());
            std::env::temp_dir().join(name)
        };
        let (settings, result) = (path("toml"), path("json"));
        let text = format!("[base]\nworkers = 20\nnodes = 2\nport = {port}\n");
        fs::write(&settings, text).expect("a settings file");
        RunFiles { settings, result }
    }

    fn start(&self, controller: &Path) -> Child {
        Command::new(env!("CARGO_BIN_EXE_dalelb-load-test"))
            .arg("run")
            .arg("--settings")
            .arg(&self.settings)
            .arg("--result")
            .arg(&self.result)
            .arg("--dalelb")
            .arg(controller)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program runs")
    }

    /// Checks that a result file exists, removes the files, and returns the exit code and the last line of standard error.
    fn exit_code_and_last_line(&self, output: &Output) -> (Option<i32>, String) {
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        let text = fs::read_to_string(&self.result).expect("a result");
        assert!(text.contains("points"), "{text}");
        fs::remove_file(&self.settings).expect("the settings file");
        fs::remove_file(&self.result).expect("the result");
        let last_line = stderr.lines().last().unwrap_or_default();
        (output.status.code(), last_line.to_owned())
    }
}

/// Whether a controller process of the load test with this process id exists.
fn has_controllers(tool_pid: u32) -> bool {
    let directory_name = format!("dalelb-load-test-{tool_pid}/");
    let processes = fs::read_dir("/proc").expect("processes");
    let commands = processes
        .flatten()
        .map(|process| process.path().join("cmdline"));
    commands
        .filter_map(|path| fs::read_to_string(path).ok())
        .any(|command| command.contains(&directory_name) && command.contains("serve"))
}

#[test]
fn occupied_port_is_reported() {
    let _occupied = TcpListener::bind("127.0.1.1:27000").expect("a free port");
    let files = RunFiles::new(27_000);
    let output = files
        .start(&controller())
        .wait_with_output()
        .expect("the program exits");
    let (code, last_line) = files.exit_code_and_last_line(&output);
    assert_eq!(code, Some(3), "{last_line}");
    assert!(
        last_line.contains("cannot listen on 127.0.1.1:27000"),
        "{last_line}"
    );
}

#[test]
fn unexpected_controller_exit_is_reported() {
    let files = RunFiles::new(27_100);
    let child = files.start(Path::new("/bin/false"));
    let output = child.wait_with_output().expect("the program exits");
    let (code, last_line) = files.exit_code_and_last_line(&output);
    assert_eq!(code, Some(3), "{last_line}");
    assert!(last_line.contains("exited unexpectedly"), "{last_line}");
}

#[test]
fn interrupted_run_stops_all_controllers() {
    let files = RunFiles::new(27_200);
    let child = files.start(&controller());
    let tool_pid = child.id();
    let started_at = Instant::now();
    while !has_controllers(tool_pid) {
        assert!(started_at.elapsed() < TIMEOUT, "no controller starts");
        std::thread::sleep(Duration::from_millis(50));
    }
    let signalled = Command::new("kill")
        .args(["-INT", &tool_pid.to_string()])
        .status();
    assert!(signalled.expect("kill runs").success());
    let output = child.wait_with_output().expect("the program exits");
    let (code, last_line) = files.exit_code_and_last_line(&output);
    assert_eq!(code, Some(130), "{last_line}");
    assert!(last_line.contains("interrupted"), "{last_line}");
    while has_controllers(tool_pid) {
        assert!(started_at.elapsed() < TIMEOUT, "a controller still runs");
        std::thread::sleep(Duration::from_millis(50));
    }
}
