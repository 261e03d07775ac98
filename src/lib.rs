//! dalelb: a fair, fault-tolerant cluster scheduler.
//!
//! The layers, from the outside in: [`transport`] moves bytes and decides nothing, [`protocol`] knows the wire,
//! [`coordination`] is the control plane (who leads, what workers are told, what users are answered), and
//! [`cluster`], [`scheduling`], [`autoscaler`] and [`quota`] hold what runs where and decide what should. [`storage`]
//! names the keys and records of the state service. [`daemon`] runs the event loop that ties them together.
//! `docs/ARCHITECTURE.md` shows the whole on one page.

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
