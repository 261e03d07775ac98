//! Sockets, connection pools, rate limits and timeouts. Nothing here decides anything.

pub mod client;
mod connection_limiter;
pub mod mesh;
pub mod rate_limiter;
mod recent_calls;
pub mod server;
