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
const PATIENCE: Duration = Duration::from_secs(60);

struct Files {
    settings: PathBuf,
    result: PathBuf,
}

impl Files {
    fn new(port: u16) -> Self {
        let name = |end: &str| {
            let name = format!("dalelb-ends-{}-{port}.{end}", std::process::id());
            std::env::temp_dir().join(name)
        };
        let (settings, result) = (name("toml"), name("json"));
        let text = format!("[base]\nworkers = 20\nnodes = 2\nport = {port}\n");
        fs::write(&settings, text).expect("a settings file");
        Files { settings, result }
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
    fn ended(&self, output: &Output) -> (Option<i32>, String) {
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        let text = fs::read_to_string(&self.result).expect("a result");
        assert!(text.contains("points"), "{text}");
        fs::remove_file(&self.settings).expect("the settings file");
        fs::remove_file(&self.result).expect("the result");
        let last = said.lines().last().unwrap_or_default();
        (output.status.code(), last.to_owned())
    }
}

/// Whether a controller process of the load test with this process id exists.
fn controllers_of(run: u32) -> bool {
    let mark = format!("dalelb-load-test-{run}/");
    let processes = fs::read_dir("/proc").expect("processes");
    let commands = processes
        .flatten()
        .map(|process| process.path().join("cmdline"));
    commands
        .filter_map(|path| fs::read_to_string(path).ok())
        .any(|command| command.contains(&mark) && command.contains("serve"))
}

#[test]
fn occupied_port_is_reported() {
    let _taken = TcpListener::bind("127.0.1.1:27000").expect("a free port");
    let files = Files::new(27_000);
    let output = files
        .start(&controller())
        .wait_with_output()
        .expect("the program exits");
    let (code, last) = files.ended(&output);
    assert_eq!(code, Some(3), "{last}");
    assert!(last.contains("cannot listen on 127.0.1.1:27000"), "{last}");
}

#[test]
fn unexpected_controller_exit_is_reported() {
    let files = Files::new(27_100);
    let child = files.start(Path::new("/bin/false"));
    let output = child.wait_with_output().expect("the program exits");
    let (code, last) = files.ended(&output);
    assert_eq!(code, Some(3), "{last}");
    assert!(last.contains("exited unexpectedly"), "{last}");
}

#[test]
fn interrupted_run_stops_all_controllers() {
    let files = Files::new(27_200);
    let child = files.start(&controller());
    let run = child.id();
    let began = Instant::now();
    while !controllers_of(run) {
        assert!(began.elapsed() < PATIENCE, "no controller starts");
        std::thread::sleep(Duration::from_millis(50));
    }
    let signalled = Command::new("kill")
        .args(["-INT", &run.to_string()])
        .status();
    assert!(signalled.expect("kill runs").success());
    let output = child.wait_with_output().expect("the program exits");
    let (code, last) = files.ended(&output);
    assert_eq!(code, Some(130), "{last}");
    assert!(last.contains("interrupted"), "{last}");
    while controllers_of(run) {
        assert!(began.elapsed() < PATIENCE, "a controller still runs");
        std::thread::sleep(Duration::from_millis(50));
    }
}
