//! The load balancer of the users: it works on connections, probes `/ready` and does not look into requests.

use std::{
    collections::VecDeque,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::Connection;

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// After this long the connections of an unhealthy node are reset.
const RESET_AFTER: Duration = Duration::from_secs(5);
const MIN_PAUSE: Duration = Duration::from_secs(3);
const MAX_PAUSE: Duration = Duration::from_secs(60);

struct Node {
    addr: SocketAddr,
    healthy: bool,
    was_healthy: bool,
    probes: VecDeque<bool>,
    unhealthy_since: Option<Instant>,
    pause: Duration,
    removed_at: Option<Instant>,
    connections: Vec<TcpStream>,
    open: usize,
}

/// A running load balancer.
pub struct Balancer {
    pub addr: SocketAddr,
}

impl Balancer {
    /// Starts a load balancer before the nodes at these addresses.
    pub fn start(addrs: &[SocketAddr]) -> Balancer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let nodes = addrs.iter().map(|addr| Node {
            addr: *addr,
            healthy: false,
            was_healthy: false,
            probes: VecDeque::new(),
            unhealthy_since: None,
            pause: MIN_PAUSE,
            removed_at: None,
            connections: Vec::new(),
            open: 0,
        });
        let nodes: Arc<Vec<Mutex<Node>>> = Arc::new(nodes.map(Mutex::new).collect());
        for index in 0..nodes.len() {
            let nodes = nodes.clone();
            thread::spawn(move || probe(&nodes[index]));
        }
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let nodes = nodes.clone();
                thread::spawn(move || connect(client, &nodes));
            }
        });
        Balancer { addr }
    }
}

/// Probes a node about once a second.
fn probe(node: &Mutex<Node>) {
    let addr = node.lock().expect("no thread panics").addr;
    loop {
        let started_at = Instant::now();
        let response = Connection::new(addr).call("GET", "/ready", None, PROBE_TIMEOUT);
        let passed = response.is_some_and(|response| response.status == 200);
        node.lock().expect("no thread panics").note_probe(passed);
        thread::sleep(PROBE_INTERVAL.saturating_sub(started_at.elapsed()));
    }
}

impl Node {
    fn note_probe(&mut self, passed: bool) {
        self.probes.push_front(passed);
        self.probes.truncate(6);
        let failed = |count: usize| {
            self.probes
                .iter()
                .take(count)
                .filter(|passed| !**passed)
                .count()
        };
        if self.healthy && (failed(2) == 2 || failed(6) >= 3) {
            self.healthy = false;
            self.unhealthy_since = Some(Instant::now());
            let recent = self
                .removed_at
                .is_some_and(|at| at.elapsed() < Duration::from_secs(120));
            self.pause = if recent {
                (self.pause * 2).min(MAX_PAUSE)
            } else {
                MIN_PAUSE
            };
            self.removed_at = Some(Instant::now());
        } else if !self.healthy && passed {
            let rested = self
                .unhealthy_since
                .is_none_or(|since| since.elapsed() >= self.pause);
            if !self.was_healthy || (rested && self.probes.get(1) == Some(&true)) {
                (self.healthy, self.was_healthy) = (true, true);
                self.unhealthy_since = None;
                self.probes.clear();
            }
        }
        if self
            .unhealthy_since
            .is_some_and(|since| since.elapsed() >= RESET_AFTER)
        {
            for connection in self.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Connects a client to the healthy node with the fewest open connections, or to another if that refuses.
fn connect(client: TcpStream, nodes: &[Mutex<Node>]) -> Option<()> {
    let mut tried = Vec::new();
    for _ in 0..3 {
        let counts = nodes.iter().enumerate().filter_map(|(index, node)| {
            let node = node.lock().expect("no thread panics");
            (node.healthy && !tried.contains(&index)).then_some((node.open, index, node.addr))
        });
        let (_, index, addr) = counts.min()?;
        tried.push(index);
        let Ok(server) = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) else {
            continue;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let mut node = nodes[index].lock().expect("no thread panics");
        node.open += 1;
        node.connections
            .extend([client.try_clone().ok()?, server.try_clone().ok()?]);
        drop(node);
        let (from_server, to_client) = (server.try_clone().ok()?, client.try_clone().ok()?);
        thread::spawn(move || forward(from_server, to_client));
        forward(client, server);
        nodes[index].lock().expect("no thread panics").open -= 1;
        return Some(());
    }
    None
}

fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
