//! Nodes -> cloud: machine types, rentals, deletions, the machine list.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub ram_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    #[serde(rename = "hire")]
    pub name: String,
    #[serde(rename = "build")]
    pub type_name: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub count: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineStatus {
    #[serde(rename = "booting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "build")]
    pub type_name: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    pub status: MachineStatus,
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "has_next", default)]
    pub more: bool,
}

/// What can be asked of the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    Types,
    Rent(RentRequest),
    Delete(Vec<String>),
    List { after: Option<String> },
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Types(MachineTypes),
    Rented(Vec<String>),
    NoCapacity,
    Deleted,
    List(MachineList),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudError {
    /// Not executed.
    Refused(u16),
    /// Executed, or not, or to be executed later.
    NoAnswer,
}
