//! Controller processes: starts and kills them and reads their resource usage from `/proc`.

use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
};

use serde::{Deserialize, Serialize};
use tokio::process::{Child, Command};

/// Identity and addresses of a controller.
#[derive(Clone, Debug)]
pub struct Address {
    /// The node label.
    pub label: String,
    /// The zone.
    pub zone: String,
    /// Listen address for users and workers.
    pub listen: SocketAddr,
    /// Listen address for other controllers.
    pub mesh: SocketAddr,
}

/// A running controller; it is killed when this is dropped.
pub struct Controller {
    /// Identity and addresses.
    pub address: Address,
    /// Path of the log file (its standard error).
    pub log: PathBuf,
    child: Child,
    pid: u32,
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// CPU time since the start of the process, in milliseconds.
    pub cpu_ms: f64,
    /// Current resident memory, in bytes.
    pub memory: u64,
    /// Currently open sockets.
    pub sockets: u64,
}

impl Controller {
    /// Starts `program` with a settings file and further arguments. Its standard error is appended to a log file in the
    /// same directory.
    pub fn start(
        program: &Path,
        address: Address,
        settings: &Path,
        arguments: &[String],
    ) -> io::Result<Self> {
        let log = settings.with_extension("log");
        let stderr = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(program)
            .args(["serve", "--log-level", "info", "--config"])
            .arg(settings)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()?;
        let pid = child.id().unwrap_or(0);
        Ok(Controller {
            address,
            log,
            child,
            pid,
        })
    }

    /// The exit status, if the process has exited.
    pub fn exit_status(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.to_string())
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Resource usage; all zeros if the process has exited.
    pub fn usage(&self) -> Usage {
        Usage::read(&format!("/proc/{}", self.pid)).unwrap_or_default()
    }
}

impl Usage {
    /// Resource usage of the current process.
    pub fn current_process() -> Self {
        Usage::read("/proc/self").unwrap_or_default()
    }

    fn read(proc_path: &str) -> io::Result<Self> {
        let mut nanoseconds = 0;
        for thread in fs::read_dir(format!("{proc_path}/task"))? {
            let schedstat = fs::read_to_string(thread?.path().join("schedstat"))?;
            let cpu_time = schedstat.split_whitespace().next().unwrap_or("0");
            nanoseconds += cpu_time.parse::<u64>().unwrap_or(0);
        }
        let status = fs::read_to_string(format!("{proc_path}/status"))?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = memory.and_then(|text| text.trim().strip_suffix(" kB"));
        let sockets = fs::read_dir(format!("{proc_path}/fd"))?.filter(|descriptor| {
            let path = descriptor.as_ref().map(|each| each.path());
            let target = path.ok().and_then(|path| fs::read_link(path).ok());
            target.is_some_and(|target| target.to_string_lossy().starts_with("socket:"))
        });
        Ok(Usage {
            cpu_ms: nanoseconds as f64 / 1e6,
            memory: kilobytes.and_then(|kb| kb.parse().ok()).unwrap_or(0) * 1024,
            sockets: sockets.count() as u64,
        })
    }
}
