//! The process: listeners, the event loop that owns all state, and the execution of its effects.
//!
//! Everything runs on one thread. Listeners and the settings watcher are background tasks that
//! send commands and requests through queues. The event loop receives them in batches, and the
//! results of its effects return through the same queues.

use std::{
    net::SocketAddrV4,
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{net::TcpListener, sync::watch, task::LocalSet, time::Instant};

use crate::{
    config::Config,
    coordination::{ClockReading, MemberStatus, Node},
    metrics::Metrics,
    transport::{mesh, server},
};

mod background_tasks;
mod effects;
mod event_loop;
mod pending_replies;
mod queues;
mod service_rate_limits;
mod settings_file;

use background_tasks::BackgroundTasks;
use effects::EffectExecutor;
use queues::EventSenders;

/// Fraction of the sockets for connections from users and workers. The sockets beyond this share and
/// the next two are for the services, the mesh and connections that are being closed.
const INBOUND_SOCKET_SHARE: f64 = 0.65;
/// Fraction of the sockets for calls to workers in progress.
const WORKER_CALL_SOCKET_SHARE: f64 = 0.2;
/// Fraction of the sockets for idle connections to workers.
const IDLE_WORKER_SOCKET_SHARE: f64 = 0.1;
/// Upper bound of the heartbeat interval, in seconds, from which the idle timeout of connections is
/// derived.
const MAX_REPORT_INTERVAL_S: f64 = 600.0;
/// Delay before the mesh server is restarted after a failure.
const MESH_RESTART_DELAY: Duration = Duration::from_secs(1);

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The asynchronous runtime could not be created.
    #[error("cannot start: {0}")]
    Runtime(#[source] std::io::Error),
    /// The address for users and workers could not be bound.
    #[error("listen: cannot listen on {addr}: {source}")]
    Listen {
        /// The address from the settings.
        addr: SocketAddrV4,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Runs a node until the process is killed. If cells share quotas, the teams are reloaded when the
/// settings file changes.
///
/// # Errors
/// The runtime can't be created, or the node can't listen on its address.
pub fn run(config: Config, settings_path: &Path) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(config, settings_path))
}

async fn serve(config: Config, settings_path: &Path) -> Result<(), DaemonError> {
    tracing::info!(label = config.label, listen = %config.listen, "starting");
    let listener = bind(config.listen).await?;
    let (senders, queues) = queues::event_queues();
    let (status_sender, status) = watch::channel(MemberStatus::default());
    let metrics = Arc::new(Metrics::default());
    let mut background = BackgroundTasks::default();
    spawn_http_server(&mut background, &config, listener, &senders, &metrics);
    spawn_mesh_server(&mut background, config.mesh_addr, &senders, status);
    if config.cells.is_some() {
        background.spawn_local(
            "settings watcher",
            settings_file::watch_settings_file(settings_path.to_owned(), senders.commands.clone()),
        );
    }
    let clock = Clock::start();
    let executor = EffectExecutor::new(&config, clock, senders.commands, metrics, status_sender);
    let node = Node::new(config);
    tokio::select! {
        biased;
        () = event_loop::run(node, executor, queues, clock) => {}
        () = background.log_failures() => {}
    }
    Ok(())
}

async fn bind(addr: SocketAddrV4) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(addr)
        .await
        .map_err(|source| DaemonError::Listen { addr, source })
}

fn spawn_http_server(
    background: &mut BackgroundTasks,
    config: &Config,
    listener: TcpListener,
    senders: &EventSenders,
    metrics: &Arc<Metrics>,
) {
    let max_connections = f64::from(config.settings.limits.sockets) * INBOUND_SOCKET_SHARE;
    let report_interval_s = config.settings.workers.report_interval_s;
    let server = server::serve(
        listener,
        senders.api_requests.clone(),
        max_connections as usize,
        Duration::from_secs_f64(report_interval_s.min(MAX_REPORT_INTERVAL_S)),
        metrics.clone(),
    );
    background.spawn("HTTP server", server);
}

/// Starts the mesh server, which is restarted whenever it fails: its address may have become free.
fn spawn_mesh_server(
    background: &mut BackgroundTasks,
    addr: SocketAddrV4,
    senders: &EventSenders,
    status: watch::Receiver<MemberStatus>,
) {
    let service = mesh::MeshService {
        commands: senders.commands.clone(),
        revocations: senders.revocations.clone(),
        cell_reports: senders.cell_reports.clone(),
        api_requests: senders.api_requests.clone(),
        member_status: status,
    };
    background.spawn("mesh server", async move {
        loop {
            if let Err(error) = mesh::serve(addr, service.clone()).await {
                tracing::error!(%error, "mesh server failed");
            }
            tokio::time::sleep(MESH_RESTART_DELAY).await;
        }
    });
}

/// The clocks of the process.
#[derive(Clone, Copy)]
struct Clock {
    started_at: Instant,
}

impl Clock {
    fn start() -> Self {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// Milliseconds since the process started, by the monotonic clock.
    fn monotonic_ms(self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn read(self) -> ClockReading {
        ClockReading {
            monotonic_ms: self.monotonic_ms(),
            wall_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since_epoch| since_epoch.as_millis() as u64),
        }
    }
}
