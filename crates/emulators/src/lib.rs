//! Emulators of the services around dalelb, for tests and load: what they answer follows the published protocols.
//!
//! * [`state_store`]: keys, versions, leases and changes, as a pure model.
//! * [`state_service`]: the state service over HTTP, with limits and latency.
//! * [`cloud_emulator`]: machine types, the machine list, instance requests and deletions.
//! * [`worker_emulator`]: what one worker holds and how it executes orders.
//! * [`worker_fleet`]: any number of emulated workers in one process.
//! * [`http_connection`]: one kept HTTP connection, with the bytes that cross it counted.
//! * [`link_emulator`]: a link between controllers that delays, counts and cuts.
//!
//! Tests and the load test share them, so that both meet the same behaviour.

pub mod cloud_emulator;
pub mod http_connection;
pub mod link_emulator;
pub mod responses;
pub mod state_service;
pub mod state_store;
pub mod worker_emulator;
pub mod worker_fleet;
