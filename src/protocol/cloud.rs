//! Messages between nodes and the cloud: machine types, instance requests, deletions, the machine list.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The name of the type.
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
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price per hour of a spot instance; `None` if not offered as spot.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// Usual boot time in seconds.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// The cloud's list of machine types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// Requests instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Name of the request, never reused: the cloud executes requests of one name only once.
    #[serde(rename = "hire")]
    pub name: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub type_name: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to request spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of instances, at most 50.
    pub count: u32,
}

/// Names of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}

/// The status of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineStatus {
    /// It has not booted yet.
    #[serde(rename = "booting")]
    Booting,
    /// It has booted.
    #[serde(rename = "running")]
    Running,
    /// It stopped without having been deleted; the cloud lists it until it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: String,
    /// The address at which its worker accepts direct orders, once it has booted.
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
    /// Its status.
    pub status: MachineStatus,
    /// Seconds since it was requested.
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines, sorted by name.
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "has_next", default)]
    pub more: bool,
}

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Lists the machine types.
    Types,
    /// Requests instances.
    ProvisionMachines(ProvisionRequest),
    /// Deletes these machines.
    Delete(Vec<String>),
    /// Lists machines.
    List {
        /// Lists only machines whose names sort after this one.
        after: Option<String>,
    },
}

/// The cloud's reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    Types(MachineTypes),
    /// Names of the instances; there may be fewer than requested.
    Provisioned(Vec<String>),
    /// No machine of that type is available in the zone.
    NoCapacity,
    /// The machines are deleted, with everything on them.
    Deleted,
    /// A page of the machine list.
    List(MachineList),
}

/// Why a call to the cloud has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloudError {
    /// The cloud refused with this HTTP status: the request was not executed.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No usable response: the request may have been executed, or may still be.
    #[error("no answer")]
    NoAnswer,
}
