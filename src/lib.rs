//! dalelb: a fair, fault-tolerant cluster scheduler.
//!
//! The layers, from the outside in: [`transport`] moves bytes and makes no decisions, [`protocol`] defines the
//! messages, [`coordination`] is the control plane (leader election, orders to workers, responses to users), and
//! [`cluster`], [`scheduling`], [`autoscaler`] and [`quota`] hold the cluster state and make the scheduling
//! decisions. [`storage`] defines the keys and records in the state service. [`daemon`] runs the event loop that
//! connects them. `docs/ARCHITECTURE.md` describes the whole.

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
