//! The controllers: processes of the project's own program, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::{http::Connection, link::Link, map, record::Record, value::V};

/// A controller and its process.
pub struct Node {
    pub label: String,
    pub listen: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

/// All controllers of the deployment.
pub struct Nodes {
    pub nodes: Vec<Node>,
    /// The link from one controller to another, by their positions.
    pub links: Vec<Vec<Option<Link>>>,
    /// The link of each controller to the state service.
    pub state_links: Vec<Link>,
    command: Vec<String>,
    root: PathBuf,
    record: Record,
}

/// Addresses that were free a moment ago. Their ports lie below those that the system gives to connections: another
/// connection can't take them before the controllers listen there.
fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let first = 21_000 + std::process::id() as u16 % 150 * 25;
    let candidates = (first..25_900).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free = candidates.filter(|addr| TcpListener::bind(addr).is_ok());
    free.take(count).collect()
}

/// The words of the `run` line in the deploy file.
fn run_command(root: &Path) -> Vec<String> {
    let file = fs::read_to_string(root.join("deploy/service.toml")).expect("the deploy file");
    let line = file
        .lines()
        .find(|line| line.starts_with("run"))
        .expect("a run line");
    let command = line.split('"').nth(1).expect("a command in quotes");
    command.split_whitespace().map(str::to_owned).collect()
}

impl Nodes {
    /// Chooses addresses for controllers in these zones, one each.
    pub fn new(
        root: &Path,
        dir: &Path,
        zones: &[String],
        state: &[SocketAddr],
        record: Record,
    ) -> Nodes {
        let count = zones.len();
        // Of each controller: where it listens, its own address for the others, and its links to them and to the
        // state service.
        let addrs = free_addrs(count * (3 + count));
        let (listen, mesh) = (&addrs[..count], &addrs[count..2 * count]);
        let (state_links, links) = (&addrs[2 * count..3 * count], &addrs[3 * count..]);
        let nodes = (0..zones.len()).map(|index| Node {
            label: format!("berth-{index}"),
            listen: listen[index],
            settings: dir.join(format!("berth-{index}.json")),
            log: dir.join(format!("berth-{index}.log")),
            process: Mutex::new(None),
        });
        let links = (0..zones.len())
            .map(|from| {
                (0..zones.len())
                    .map(|to| (from != to).then(|| Link::start(links[from * count + to], mesh[to])))
                    .collect()
            })
            .collect();
        let nodes = Nodes {
            nodes: nodes.collect(),
            links,
            state_links: state_links
                .iter()
                .zip(state)
                .map(|(addr, target)| Link::start(*addr, *target))
                .collect(),
            command: run_command(root),
            root: root.to_owned(),
            record,
        };
        for (index, addr) in mesh.iter().enumerate() {
            fs::write(
                nodes.nodes[index].settings.with_extension("mesh"),
                addr.to_string(),
            )
            .expect("a temporary folder");
        }
        nodes
    }

    /// Writes the settings files. `shared`: the part that all controllers share.
    pub fn write_settings(&self, zones: &[String], cloud: SocketAddr, shared: &V) {
        for (index, node) in self.nodes.iter().enumerate() {
            let members = (0..self.nodes.len()).filter_map(|other| {
                let link = self.links[index][other].as_ref()?;
                Some(map! {"label" => self.nodes[other].label.as_str(), "domain" => zones[other].as_str(),
                "address" => link.addr.to_string()})
            });
            let mesh =
                fs::read_to_string(node.settings.with_extension("mesh")).expect("written before");
            let settings = map! {"label" => node.label.as_str(), "domain" => zones[index].as_str(),
            "listen" => node.listen.to_string(), "mesh_addr" => mesh,
            "members" => V::List(members.collect()),
            "services" => map! {"cloud" => cloud.to_string(), "state" => self.state_links[index].addr.to_string()},
            "settings" => shared.clone()};
            fs::write(&node.settings, settings.json()).expect("a temporary folder");
        }
    }

    /// The labels and addresses at which users and workers reach the controllers.
    pub fn addrs(&self) -> Vec<(String, SocketAddr)> {
        self.nodes
            .iter()
            .map(|node| (node.label.clone(), node.listen))
            .collect()
    }

    /// Starts a controller's process.
    pub fn start(&self, index: usize) -> std::io::Result<()> {
        let node = &self.nodes[index];
        let log = File::options().create(true).append(true).open(&node.log)?;
        let child = Command::new(self.root.join(&self.command[0]))
            .args(&self.command[1..])
            .arg(&node.settings)
            .env(
                "LOG_LEVEL",
                std::env::var("REVIEW_LOG").unwrap_or_else(|_| "info".into()),
            )
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.record
            .line(&format!("{} starts as process {}", node.label, child.id()));
        *node.process.lock().expect("no thread panics") = Some(child);
        Ok(())
    }

    /// Waits until every controller is ready and one leads; whether that came about.
    pub fn wait_ready(&self, leader: impl Fn() -> Option<String>) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let ready = self.nodes.iter().all(|node| {
                let response = Connection::new(node.listen).call(
                    "GET",
                    "/ready",
                    None,
                    Duration::from_secs(1),
                );
                response.is_some_and(|response| response.status == 200)
            });
            if ready && leader().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn index_of(&self, label: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.label == label)
    }

    /// Cuts a controller off from the state service and the other controllers, or ends that.
    pub fn cut(&self, index: usize, cut: bool) {
        self.state_links[index].cut(cut);
        for other in 0..self.nodes.len() {
            for link in [&self.links[index][other], &self.links[other][index]]
                .into_iter()
                .flatten()
            {
                link.cut(cut);
            }
        }
    }

    /// Refuses all connections between controllers, or takes them again.
    pub fn refuse_peers(&self, refuse: bool) {
        for link in self.links.iter().flatten().flatten() {
            link.refuse(refuse);
        }
    }

    /// Ends a controller's process with no warning.
    pub fn kill(&self, index: usize) {
        let child = self.nodes[index]
            .process
            .lock()
            .expect("no thread panics")
            .take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("{} is killed", self.nodes[index].label));
        }
    }

    /// The controllers whose processes have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut ended = Vec::new();
        for node in &self.nodes {
            let mut process = node.process.lock().expect("no thread panics");
            if let Some(status) = process
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten())
            {
                ended.push(format!("{} ended by itself: {status}", node.label));
            }
        }
        ended
    }

    /// Ends all processes, and adds the end of their logs to the record.
    pub fn stop(&self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
            let log = fs::read_to_string(&self.nodes[index].log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            for line in &lines[lines.len().saturating_sub(40)..] {
                self.record
                    .line(&format!("log of {}: {line}", self.nodes[index].label));
            }
        }
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
    }
}
