//! A link of the network: a TCP relay that can be cut or refuse connections. While it is cut it holds everything back and
//! takes new connections no further; afterwards it delivers what it held. While it refuses, connections are reset and new
//! ones refused.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A running relay.
pub struct Link {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    cut: AtomicBool,
    refuses: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Link {
    /// Relays connections from `addr` to `target`.
    pub fn start(addr: SocketAddr, target: SocketAddr) -> Link {
        let shared = Arc::new(Shared::default());
        let accepting = shared.clone();
        let mut listener = Some(bind(addr));
        thread::spawn(move || {
            loop {
                if accepting.refuses.load(Ordering::SeqCst) {
                    listener = None;
                    for connection in accepting
                        .connections
                        .lock()
                        .expect("no thread panics")
                        .drain(..)
                    {
                        let _ = connection.shutdown(Shutdown::Both);
                    }
                } else if let Ok((client, _)) = listener.get_or_insert_with(|| bind(addr)).accept()
                {
                    let _ = client.set_nonblocking(false);
                    let shared = accepting.clone();
                    thread::spawn(move || relay(client, target, &shared));
                    continue;
                }
                thread::sleep(CHECK_INTERVAL);
            }
        });
        Link { addr, shared }
    }

    /// Cuts or restores the link.
    pub fn cut(&self, cut: bool) {
        self.shared.cut.store(cut, Ordering::SeqCst);
    }

    /// Refuses connections, or takes them again.
    pub fn refuse(&self, refuse: bool) {
        self.shared.refuses.store(refuse, Ordering::SeqCst);
    }
}

fn bind(addr: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(addr).expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    listener
}

fn wait(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(CHECK_INTERVAL);
    }
}

fn relay(client: TcpStream, target: SocketAddr, shared: &Arc<Shared>) -> Option<()> {
    wait(&shared.cut);
    let server = TcpStream::connect(target).ok()?;
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_server, to_client) = (server.try_clone().ok()?, client.try_clone().ok()?);
    let own = [client.try_clone().ok()?, server.try_clone().ok()?];
    shared
        .connections
        .lock()
        .expect("no thread panics")
        .extend(own);
    let back = shared.clone();
    thread::spawn(move || forward(from_server, to_client, &back.cut));
    forward(client, server, &shared.cut);
    Some(())
}

fn forward(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        wait(cut);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
