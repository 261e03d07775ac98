//! Sockets, connection pools, rate limits and timeouts. Nothing here decides anything.

pub mod client;
pub mod limiter;
pub mod mesh;
pub mod server;
mod sockets;
