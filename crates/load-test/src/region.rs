//! One region: an emulated state service, cloud and workers, and real controllers.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use dalelb::{
    protocol::ids::JobId,
    storage::{self, JobRecord},
};
use dalelb_emulators::{
    cloud_emulator::{CloudEmulator, machine_type},
    http_connection::{HttpConnection, Traffic},
    link_emulator::EmulatedLink,
    responses::bind,
    state_service::{ServiceRates, StateServiceEmulator},
    state_store::StoreLimits,
    worker_fleet::{WorkerFleet, WorkerFleetSettings},
};
use http::Method;
use serde_json::{Value, json};

use crate::{
    controller_process::{Address, Controller},
    invariants::InvariantChecker,
    settings::Experiment,
};

/// Port numbers as offsets from the port of the experiment.
const STATE_PORT: u16 = 0;
const CLOUD_PORT: u16 = 1;
const LISTEN_PORT: u16 = 2;
const MESH_PORT: u16 = 3;
const FLEET_PORT: u16 = 4;
/// Last octet of the address of the first controller, and of the first link to a controller.
const FIRST_NODE_OCTET: u8 = 10;
const FIRST_LINK_OCTET: u8 = 100;
/// Second octet of the addresses of the first region's workers.
const FIRST_SUBNET: u8 = 100;
/// The second octet of the address of an inter-region link is this plus the index of its target region.
const INTER_REGION_SUBNET: u8 = 50;
/// Limits of the state service on writes per transaction and on value size.
const TXN_OPS: u32 = 48;
const VALUE_KB: f64 = 16.0;
const CLOUD_RPS: f64 = 20.0;
/// Id of the first finished job in the state service.
const FIRST_FINISHED_JOB_ID: u64 = 900_000_000;
/// Fraction of all CPUs that the guarantees of all teams add up to.
const GUARANTEED_FRACTION: f64 = 0.3;

/// Error that ends an experiment.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A listener cannot be opened, for example because the address is in use.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A controller cannot be started or killed.
    #[error("cannot start {program}: {source}")]
    Start {
        /// The program.
        program: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A controller exited unexpectedly.
    #[error(
        "controller {label} of region {region} exited unexpectedly ({status}); last log line: {last_log_line}"
    )]
    ControllerExited {
        /// Label of the controller.
        label: String,
        /// Index of its region.
        region: usize,
        /// The exit status.
        status: String,
        /// The last line of the log.
        last_log_line: String,
    },
    /// A condition was not met in time.
    #[error("timed out after {timeout_s} s, waiting until {condition}")]
    TimedOut {
        /// The condition that was waited for.
        condition: String,
        /// The timeout in seconds.
        timeout_s: u64,
    },
    /// The asynchronous runtime cannot be created.
    #[error("cannot create the runtime: {0}")]
    Runtime(std::io::Error),
    /// The tool and the controllers use too much memory.
    #[error("the tool and the controllers use {used_mb} MB of memory, {limit_mb} MB are allowed")]
    Memory {
        /// Resident memory in use, in megabytes.
        used_mb: u64,
        /// The limit, in megabytes.
        limit_mb: u64,
    },
    /// A file or directory cannot be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// The file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The tool received SIGINT or SIGTERM.
    #[error("interrupted")]
    Interrupted,
}

/// A running region.
pub struct Region {
    /// Index of the region.
    pub index: usize,
    /// The controllers, by node index.
    pub controllers: Vec<Controller>,
    /// The emulated workers.
    pub fleet: WorkerFleet,
    /// The emulated state service.
    pub state: StateServiceEmulator,
    /// The emulated cloud.
    pub cloud: CloudEmulator,
    /// Traffic on the connections of users.
    pub user_traffic: Arc<Traffic>,
    /// Links to the controllers from the other controllers of the region, by node index.
    pub links: Vec<EmulatedLink>,
    /// Links from this region's controllers to those of other regions, each with the index of the target region.
    pub inter_region_links: Vec<(usize, EmulatedLink)>,
    arguments: Vec<String>,
    /// The settings files of the controllers.
    pub files: SettingsFiles,
    program: PathBuf,
}

fn region_ip(region: usize, last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, region as u8 + 1, last))
}

fn zones(experiment: &Experiment) -> Vec<String> {
    (0..experiment.zones)
        .map(|zone| format!("z{zone}"))
        .collect()
}

/// The name of a team.
pub fn team_name(index: usize) -> String {
    format!("team-{index:04}")
}

/// Guarantee and limit of a team in CPUs. In a drill they apply to all regions together, otherwise to each region.
pub fn team_cpus(experiment: &Experiment) -> (f64, f64) {
    let regions = if experiment.drill.is_some() {
        experiment.regions
    } else {
        1
    };
    let total_cpus = (regions * experiment.workers) as f64 * experiment.worker_cpus;
    let guarantee = (total_cpus * GUARANTEED_FRACTION / experiment.teams as f64).floor();
    (guarantee, total_cpus.ceil())
}

/// The settings files of a region's controllers.
#[derive(Clone, Debug)]
pub struct SettingsFiles {
    region: usize,
    directory: PathBuf,
}

impl SettingsFiles {
    fn path(&self, label: &str) -> PathBuf {
        self.directory
            .join(format!("r{}-{label}.json", self.region))
    }

    /// Writes or atomically replaces the settings file of a controller and returns its path.
    pub fn write(
        &self,
        node: usize,
        experiment: &Experiment,
        teams: &[Value],
    ) -> Result<PathBuf, RunError> {
        let addresses: Vec<Address> = (0..experiment.nodes)
            .map(|node| address(self.region, node, experiment))
            .collect();
        let own = &addresses[node];
        let members = addresses.iter().enumerate().filter(|(at, _)| *at != node);
        let members = members.map(|(at, other)| {
            json!({"label": other.label, "domain": other.zone,
                "address": link_addr(self.region, at, experiment).to_string()})
        });
        let addr = |offset| SocketAddr::new(region_ip(self.region, 1), experiment.port + offset);
        let settings = json!({
            "label": own.label, "domain": own.zone,
            "listen": own.listen.to_string(), "mesh_addr": own.mesh.to_string(),
            "members": members.collect::<Vec<_>>(),
            "services": {"cloud": addr(CLOUD_PORT).to_string(), "state": addr(STATE_PORT).to_string()},
            "settings": {
                "zones": zones(experiment), "teams": teams,
                "objectives": [
                    {"kind": "wait", "class": "urgent", "within_s": 2.6, "share": 0.99},
                    {"kind": "wait", "class": "replica", "within_s": 6.0, "share": 0.9}],
                "workers": {"report_s": experiment.report_s, "lease_s": experiment.lease_s,
                    "cancel_s": experiment.cancel_s},
                "state": {"rps": experiment.state_rps, "write_rps": experiment.state_write_rps,
                    "value_kb": VALUE_KB, "txn_ops": TXN_OPS},
                "cloud": {"rps": CLOUD_RPS, "list_lag_s": 1.0},
                "limits": {"sockets": experiment.sockets, "mem_mb": 2048.0},
            }
        });
        let path = self.path(&own.label);
        let temporary_path = path.with_extension("new");
        let written = std::fs::write(&temporary_path, settings.to_string());
        let renamed = written.and_then(|()| std::fs::rename(&temporary_path, &path));
        renamed.map_err(|source| RunError::Write {
            path: path.display().to_string(),
            source,
        })?;
        Ok(path)
    }
}

impl Region {
    /// Starts all parts of the region without waiting until the controllers are ready.
    pub fn start(
        index: usize,
        experiment: &Experiment,
        checker: &Arc<InvariantChecker>,
        program: &Path,
        directory: &Path,
    ) -> Result<Self, RunError> {
        let addresses: Vec<Address> = (0..experiment.nodes)
            .map(|node| address(index, node, experiment))
            .collect();
        let state = start_state(index, experiment)?;
        let fleet = start_fleet(index, experiment, checker, &addresses)?;
        let cloud = start_cloud(index, experiment, checker, &fleet)?;
        let links = start_links(index, experiment, &addresses)?;
        let (outgoing_links, arguments) = start_inter_region_links(index, experiment)?;
        for address in &addresses {
            for listen_addr in [address.listen, address.mesh] {
                check_addr_free(listen_addr)?;
            }
        }
        let mut region = Region {
            index,
            controllers: Vec::new(),
            fleet,
            state,
            cloud,
            user_traffic: Arc::new(Traffic::default()),
            links,
            inter_region_links: outgoing_links,
            arguments,
            files: SettingsFiles {
                region: index,
                directory: directory.to_owned(),
            },
            program: program.to_owned(),
        };
        for (node, address) in addresses.into_iter().enumerate() {
            let teams = initial_teams(experiment);
            let settings = region.files.write(node, experiment, &teams)?;
            let controller = Controller::start(program, address, &settings, &region.arguments);
            let controller = controller.map_err(|source| RunError::Start {
                program: program.display().to_string(),
                source,
            })?;
            region.controllers.push(controller);
        }
        Ok(region)
    }

    /// Restarts a controller that was killed.
    pub fn restart(&mut self, node: usize) -> Result<(), RunError> {
        let address = self.controllers[node].address.clone();
        let settings = self.files.path(&address.label);
        let started = Controller::start(&self.program, address, &settings, &self.arguments);
        self.controllers[node] = started.map_err(|source| RunError::Start {
            program: self.program.display().to_string(),
            source,
        })?;
        Ok(())
    }

    /// Fails if a controller has exited.
    pub fn check_controllers_alive(&mut self) -> Result<(), RunError> {
        let region = self.index;
        for controller in &mut self.controllers {
            if let Some(status) = controller.exit_status() {
                let log = std::fs::read_to_string(&controller.log).unwrap_or_default();
                let last_log_line = log.lines().last().unwrap_or("nothing").to_owned();
                let label = controller.address.label.clone();
                return Err(RunError::ControllerExited {
                    label,
                    region,
                    status,
                    last_log_line,
                });
            }
        }
        Ok(())
    }

    /// The metrics of a controller; `None` if it does not answer.
    pub async fn metrics(&self, node: usize) -> Option<Metrics> {
        let traffic = Arc::new(Traffic::default());
        let mut connection = HttpConnection::new(self.controllers[node].address.listen, traffic);
        let timeout = Duration::from_secs(1);
        let response = connection.call(Method::GET, "/metrics", Vec::new(), timeout);
        let (status, body) = response.await?;
        let text = String::from_utf8(body.to_vec()).ok()?;
        (status == 200).then_some(Metrics { text })
    }

    /// Whether a controller is ready to serve users' requests.
    pub async fn ready(&self, node: usize) -> bool {
        let traffic = Arc::new(Traffic::default());
        let mut connection = HttpConnection::new(self.controllers[node].address.listen, traffic);
        let timeout = Duration::from_secs(1);
        let response = connection.call(Method::GET, "/ready", Vec::new(), timeout);
        response.await.is_some_and(|(status, _)| status == 200)
    }

    /// The controller whose metrics report that it is the leader.
    pub async fn leader(&self) -> Option<usize> {
        for node in 0..self.controllers.len() {
            let metrics = self.metrics(node).await;
            if metrics.is_some_and(|metrics| metrics.value("dalelb_leading") == Some(1.0)) {
                return Some(node);
            }
        }
        None
    }

    /// Listen addresses of the controllers for users.
    pub fn listen_addrs(&self) -> Vec<SocketAddr> {
        let controllers = self.controllers.iter();
        controllers.map(|each| each.address.listen).collect()
    }
}

/// The teams of the initial settings files.
pub fn initial_teams(experiment: &Experiment) -> Vec<Value> {
    let (guarantee, limit) = team_cpus(experiment);
    let teams = 0..experiment.teams;
    teams
        .map(|team| team_settings(team, guarantee, limit))
        .collect()
}

/// The settings of one team; guarantee and limit in CPUs.
pub fn team_settings(team: usize, guarantee: f64, limit: f64) -> Value {
    json!({"name": team_name(team), "cpus": guarantee, "cpus_max": limit})
}

/// The cell name of a region.
pub fn cell_name(region: usize) -> String {
    format!("region-{region}")
}

/// The metrics of a controller in the text exposition format.
pub struct Metrics {
    text: String,
}

impl Metrics {
    /// The sum of the values on all lines that start with this prefix.
    pub fn sum(&self, prefix: &str) -> f64 {
        let lines = self.text.lines().filter(|line| line.starts_with(prefix));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }

    /// The value of a metric; `name` includes the labels exactly as the controller writes them.
    pub fn value(&self, name: &str) -> Option<f64> {
        let mut lines = self.text.lines();
        lines.find_map(|line| {
            let rest = line.strip_prefix(name)?;
            rest.strip_prefix(' ')?.trim().parse().ok()
        })
    }
}

fn address(region: usize, node: usize, experiment: &Experiment) -> Address {
    let ip = region_ip(region, FIRST_NODE_OCTET + node as u8);
    Address {
        label: format!("n{node}"),
        zone: format!("z{}", node % experiment.zones),
        listen: SocketAddr::new(ip, experiment.port + LISTEN_PORT),
        mesh: SocketAddr::new(ip, experiment.port + MESH_PORT),
    }
}

fn link_addr(region: usize, node: usize, experiment: &Experiment) -> SocketAddr {
    let ip = region_ip(region, FIRST_LINK_OCTET + node as u8);
    SocketAddr::new(ip, experiment.port + MESH_PORT)
}

fn listen_error(addr: SocketAddr, source: std::io::Error) -> RunError {
    let addr = addr.to_string();
    RunError::Listen { addr, source }
}

/// Fails if the address is in use.
fn check_addr_free(addr: SocketAddr) -> Result<(), RunError> {
    let listener = TcpListener::bind(addr);
    listener
        .map(drop)
        .map_err(|source| listen_error(addr, source))
}

fn bind_listener(addr: SocketAddr) -> Result<tokio::net::TcpListener, RunError> {
    let listener = bind(&addr.to_string());
    let (listener, _) = listener.map_err(|source| listen_error(addr, source))?;
    Ok(listener)
}

fn start_state(region: usize, experiment: &Experiment) -> Result<StateServiceEmulator, RunError> {
    let addr = SocketAddr::new(region_ip(region, 1), experiment.port + STATE_PORT);
    let limits = StoreLimits {
        txn_ops: TXN_OPS,
        value_kb: VALUE_KB,
    };
    let rates = ServiceRates {
        rps: Some(experiment.state_rps),
        write_rps: Some(experiment.state_write_rps),
        latency: Duration::from_millis(experiment.state_latency_ms),
    };
    let state = StateServiceEmulator::start(bind_listener(addr)?, limits, rates);
    let finished_job = JobRecord::Done {
        at_ms: Some(1_700_000_000_000),
    };
    let finished_job = storage::to_value(&finished_job);
    let ids =
        (0..experiment.finished_jobs as u64).map(|number| JobId(FIRST_FINISHED_JOB_ID + number));
    state.preload(ids.map(|id| (storage::job_key(id), finished_job.clone())));
    Ok(state)
}

fn start_fleet(
    region: usize,
    experiment: &Experiment,
    checker: &Arc<InvariantChecker>,
    addresses: &[Address],
) -> Result<WorkerFleet, RunError> {
    let nodes = addresses.iter();
    let settings = WorkerFleetSettings {
        workers: experiment.workers,
        subnet: FIRST_SUBNET + region as u8,
        port: experiment.port + FLEET_PORT + region as u16,
        cpus: experiment.worker_cpus,
        zones: zones(experiment),
        controllers: nodes
            .map(|node| (node.label.clone(), node.listen))
            .collect(),
        report_interval: Duration::from_secs_f64(experiment.report_s),
        lease_ttl: Duration::from_secs_f64(experiment.lease_s),
    };
    let port = settings.port;
    WorkerFleet::start(settings, checker.clone()).map_err(|source| RunError::Listen {
        addr: format!("0.0.0.0:{port}"),
        source,
    })
}

/// Starts the cloud; a deletion of machines removes the emulated workers of that name.
fn start_cloud(
    region: usize,
    experiment: &Experiment,
    checker: &Arc<InvariantChecker>,
    fleet: &WorkerFleet,
) -> Result<CloudEmulator, RunError> {
    let addr = SocketAddr::new(region_ip(region, 1), experiment.port + CLOUD_PORT);
    let offered_type = machine_type(experiment.worker_cpus, 1000.0, &zones(experiment));
    let (checker, workers) = (checker.clone(), fleet.clone());
    let on_deleted = move |names: &[String]| {
        workers.delete_workers(names, &*checker);
    };
    Ok(CloudEmulator::start(
        bind_listener(addr)?,
        offered_type,
        fleet.listed_machines(),
        on_deleted,
    ))
}

fn start_links(
    region: usize,
    experiment: &Experiment,
    addresses: &[Address],
) -> Result<Vec<EmulatedLink>, RunError> {
    let links = addresses.iter().enumerate().map(|(node, address)| {
        let listener = bind_listener(link_addr(region, node, experiment))?;
        Ok(EmulatedLink::start(listener, address.mesh, Duration::ZERO))
    });
    links.collect()
}

/// Links to other regions, each with the index of its target region, and the controller arguments that name them.
type InterRegionLinks = (Vec<(usize, EmulatedLink)>, Vec<String>);

/// Starts the links to the controllers of all other regions; without a drill regions are independent and there are none.
fn start_inter_region_links(
    region: usize,
    experiment: &Experiment,
) -> Result<InterRegionLinks, RunError> {
    let Some(drill) = &experiment.drill else {
        return Ok(Default::default());
    };
    let delay = Duration::from_millis(drill.link_ms);
    let mut arguments = vec!["--cell".to_owned(), cell_name(region)];
    let mut links = Vec::new();
    for other in (0..experiment.regions).filter(|other| *other != region) {
        let mut addrs = Vec::new();
        for node in 0..experiment.nodes {
            let ip = Ipv4Addr::new(
                127,
                INTER_REGION_SUBNET + other as u8,
                region as u8 + 1,
                FIRST_NODE_OCTET + node as u8,
            );
            let addr = SocketAddr::from((ip, experiment.port + MESH_PORT));
            let target = address(other, node, experiment).mesh;
            links.push((
                other,
                EmulatedLink::start(bind_listener(addr)?, target, delay),
            ));
            addrs.push(addr.to_string());
        }
        arguments.push("--peer-cell".to_owned());
        arguments.push(format!("{}={}", cell_name(other), addrs.join(",")));
    }
    Ok((links, arguments))
}
