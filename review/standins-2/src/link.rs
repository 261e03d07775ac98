//! A link of the network: a TCP relay that can be cut. While it is cut it holds everything back and takes no new
//! connections any further; afterwards it delivers what it held.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A running relay.
pub struct Link {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    /// Relays connections to `target`.
    pub fn start(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let shared = cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let cut = shared.clone();
                thread::spawn(move || relay(client, target, &cut));
            }
        });
        Link { addr, cut }
    }

    /// Cuts or restores the link.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn relay(client: TcpStream, target: SocketAddr, cut: &Arc<AtomicBool>) -> Option<()> {
    wait(cut);
    let server = TcpStream::connect(target).ok()?;
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_server, to_client) = (server.try_clone().ok()?, client.try_clone().ok()?);
    let back = cut.clone();
    thread::spawn(move || forward(from_server, to_client, &back));
    forward(client, server, cut);
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
