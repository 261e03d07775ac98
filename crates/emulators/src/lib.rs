//! Stand-ins of the systems around dalelb, by their published protocols, on loopback.
//!
//! * [`store`]: keys, versions, leases and changes, as a pure model.
//! * [`state_service`]: that model behind HTTP, with the published limits and counters.
//! * [`cloud`]: machine types, the machine list, rentals and deletions.
//! * [`machine`]: what one worker holds and how it obeys.
//! * [`fleet`]: any number of hollow workers in one process.
//! * [`link`]: one kept HTTP connection, with the bytes that cross it counted.
//! * [`relay`]: a link between controllers that delays, counts and cuts.
//!
//! Tests and the load tool share them, so that both meet the same behaviour.

pub mod cloud_emulator;
pub mod http_connection;
pub mod link_emulator;
pub mod responses;
pub mod state_service;
pub mod state_store;
pub mod worker_emulator;
pub mod worker_fleet;
