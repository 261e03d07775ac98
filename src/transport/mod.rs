//! Servers and clients: sockets, connection pools, rate limits and timeouts. All decisions about
//! jobs, tasks and machines are made in [`crate::coordination`].

pub mod client;
mod connection_limiter;
pub mod mesh;
pub mod rate_limiter;
mod recent_calls;
pub mod server;
