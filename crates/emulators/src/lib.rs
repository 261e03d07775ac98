//! Emulators of the services that dalelb uses, for tests and load tests. Their responses follow the published protocols.
//!
//! * [`state_store`]: model of the state service without I/O: keys, versions, leases and changes.
//! * [`state_service`]: the state service over HTTP, with rate limits and latency.
//! * [`cloud_emulator`]: machine types, the machine list, instance requests and deletions.
//! * [`worker_emulator`]: the state of one worker and how it executes orders.
//! * [`worker_fleet`]: any number of emulated workers in one process.
//! * [`http_connection`]: a persistent HTTP client connection whose bytes are counted.
//! * [`link_emulator`]: a network link between controllers that adds latency, counts bytes and can be partitioned.
//!
//! Tests and the load test share them, so that both run against the same behaviour.

pub mod cloud_emulator;
pub mod http_connection;
pub mod link_emulator;
pub mod responses;
pub mod state_service;
pub mod state_store;
pub mod worker_emulator;
pub mod worker_fleet;
