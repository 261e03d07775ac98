//! Nodes -> cloud: machine types, rentals, deletions, the machine list.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in GB.
    pub ram_gb: f64,
    /// Disk for images in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// How fast images are fetched, in GB a second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price per hour of a spot instance; `None`: not offered.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// Usual boot time in seconds.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// All machine types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// Requests instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request, which makes it idempotent; never used twice.
    #[serde(rename = "hire")]
    pub name: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub type_name: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot instances are asked for.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, at most 50.
    pub count: u32,
}

/// Names of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}

/// The state of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineStatus {
    /// Not up yet.
    #[serde(rename = "booting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself; listed until it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: String,
    /// Where its worker takes direct orders, once it is up.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Machine type.
    #[serde(rename = "build")]
    pub type_name: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Its state.
    pub status: MachineStatus,
    /// Seconds since it was requested.
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in the order of their names.
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// More machines follow.
    #[serde(rename = "has_next", default)]
    pub more: bool,
}

/// What can be asked of the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Lists machine types.
    Types,
    /// Requests instances.
    Rent(RentRequest),
    /// Deletes these machines.
    Delete(Vec<String>),
    /// Lists machines.
    List {
        /// Only machines after the one of this name.
        after: Option<String>,
    },
}

/// What the cloud answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    Types(MachineTypes),
    /// Names of the instances, perhaps fewer than were asked for.
    Rented(Vec<String>),
    /// Nothing of that type is available there.
    NoCapacity,
    /// The machines and everything on them are gone.
    Deleted,
    /// A page of the machine list.
    List(MachineList),
}

/// A call to the cloud that gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    /// Answered with a refusal of this status: surely not executed.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No usable answer: executed, or not, or to be executed later.
    #[error("no answer")]
    NoAnswer,
}
