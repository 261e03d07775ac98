//! dalelb: a fair, fault-tolerant cluster scheduler.
//!
//! The layers, from the outside in: [`transport`] moves bytes and decides nothing, [`protocol`]
//! knows the wire, [`coordination`] decides who may act and reacts to what happens, and
//! [`bookkeeping`] holds what runs where and what should. [`daemon`] ties them together.

pub mod autoscaler;
pub mod cells;
pub mod cluster;
pub mod config;
pub mod coordination;
pub mod daemon;
pub mod metrics;
pub mod protocol;
pub mod quota;
pub mod scheduling;
pub mod storage;
pub mod time;
pub mod transport;
