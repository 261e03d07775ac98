//! MessagePack responses, and listeners on loopback.

use std::net::{SocketAddr, TcpListener as StdListener};

use bytes::Bytes;
use dalelb::protocol;
use http::{Response, StatusCode};
use tokio::net::TcpListener;

/// A response with this status and the body encoded as MessagePack.
///
/// # Panics
///
/// If `status` is not a valid HTTP status.
pub fn msgpack_response<T: serde::Serialize>(status: u16, body: &T) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(protocol::encode(body)));
    *response.status_mut() = StatusCode::from_u16(status).expect("a valid status");
    response
}

/// A listener on a free port of 127.0.0.1, and its address.
///
/// # Panics
///
/// If no port can be bound.
pub fn bind_any_port() -> (TcpListener, SocketAddr) {
    bind("127.0.0.1:0").expect("a free port")
}

/// A listener on `addr`, and the address to which it is bound.
pub fn bind(addr: &str) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = StdListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    Ok((TcpListener::from_std(listener)?, addr))
}
