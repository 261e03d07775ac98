//! Network link between controllers: a TCP relay that adds latency, counts bytes and can be partitioned.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};

use crate::http_connection::Traffic;

/// Size of the read buffer in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Upper bound on the delayed chunks in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// A running relay.
pub struct EmulatedLink {
    is_partitioned: watch::Sender<bool>,
    traffic: Arc<Traffic>,
    is_open: Arc<AtomicBool>,
}

impl EmulatedLink {
    /// Relays connections from `listener` to `to` with a latency of `delay` in each direction.
    pub fn start(listener: TcpListener, to: SocketAddr, delay: Duration) -> Self {
        let (partitioned_sender, partitioned_receiver) = watch::channel(false);
        let traffic = Arc::new(Traffic::default());
        let open = Arc::new(AtomicBool::new(true));
        let link = EmulatedLink {
            is_partitioned: partitioned_sender,
            traffic: traffic.clone(),
            is_open: open.clone(),
        };
        tokio::spawn(async move {
            while open.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept().await else {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                };
                let (traffic, partitioned_receiver) =
                    (traffic.clone(), partitioned_receiver.clone());
                tokio::spawn(connect(stream, to, delay, traffic, partitioned_receiver));
            }
        });
        link
    }

    /// Partitions or restores the link. A partition closes all connections; new ones are closed until the link is
    /// restored.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.is_partitioned.send_replace(partitioned);
    }

    /// Number of connections opened and of bytes relayed.
    pub fn connections_and_bytes(&self) -> (u64, u64) {
        self.traffic.totals()
    }
}

impl Drop for EmulatedLink {
    fn drop(&mut self) {
        self.is_open.store(false, Ordering::Relaxed);
        self.is_partitioned.send_replace(true);
    }
}

async fn connect(
    client: TcpStream,
    to: SocketAddr,
    delay: Duration,
    traffic: Arc<Traffic>,
    mut partitioned: watch::Receiver<bool>,
) {
    traffic.count_request();
    if *partitioned.borrow_and_update() {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = forward(client_read, server_write, delay, &traffic) => {}
        () = forward(server_read, client_write, delay, &traffic) => {}
        _ = partitioned.wait_for(|partitioned| *partitioned) => {}
    }
}

/// Relays bytes in one direction until either side closes.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: Duration,
    traffic: &Traffic,
) {
    let (send, mut receive) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let read = async {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from.read(&mut buffer).await {
            let due = Instant::now() + delay;
            if send.send((due, buffer[..count].to_vec())).await.is_err() {
                return;
            }
        }
        drop(send);
    };
    let write = async {
        while let Some((due, bytes)) = receive.recv().await {
            tokio::time::sleep_until(due).await;
            traffic
                .bytes
                .fetch_add(bytes.len() as u64, Ordering::Relaxed);
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(read, write);
}

#[cfg(test)]
mod tests;
