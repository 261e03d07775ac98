//! The cloud: one machine type, a machine list and deletions; every provisioning request fails for lack of capacity.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use dalelb::protocol::{self, cloud::*};
use http::Response;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use warp::Filter;

use crate::responses::msgpack_response;

/// Upper bound on the machines in one response.
const MAX_MACHINES_PER_PAGE: usize = 500;

/// Callback with the names of deleted machines.
type DeletionCallback = dyn Fn(&[String]) + Send + Sync;

/// A running emulated cloud.
#[derive(Clone)]
pub struct CloudEmulator {
    machine_type: MachineType,
    machines: Arc<Mutex<BTreeMap<String, ListedMachine>>>,
    on_deleted: Arc<DeletionCallback>,
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    after: Option<String>,
    #[serde(default)]
    limit: Option<usize>,
}

/// The machine type `c8` of all emulated machines, with these resources and zones.
pub fn machine_type(cpus: f64, ram_gb: f64, zones: &[String]) -> MachineType {
    MachineType {
        name: "c8".into(),
        cpus,
        gpus: 0.0,
        ram_gb,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: Some(0.3),
        boot_s: 5.0,
        zones: zones.to_vec(),
    }
}

/// The list entry of a running on-demand machine that is 10 s old.
pub fn listed_machine(name: &str, addr: SocketAddr, zone: &str) -> ListedMachine {
    ListedMachine {
        id: name.to_owned(),
        addr: Some(addr.to_string()),
        type_name: "c8".into(),
        zone: zone.to_owned(),
        spot: false,
        status: MachineStatus::Running,
        age_s: 10.0,
    }
}

impl CloudEmulator {
    /// Starts serving on `listener`, until the runtime shuts down; `deletion_callback` is called with the names in each
    /// deletion request.
    pub fn start(
        listener: TcpListener,
        machine_type: MachineType,
        machines: Vec<ListedMachine>,
        deletion_callback: impl Fn(&[String]) + Send + Sync + 'static,
    ) -> Self {
        let machines = machines.into_iter().map(|each| (each.id.clone(), each));
        let cloud = CloudEmulator {
            machine_type,
            machines: Arc::new(Mutex::new(machines.collect())),
            on_deleted: Arc::new(deletion_callback),
        };
        tokio::spawn(warp::serve(cloud.clone().routes()).incoming(listener).run());
        cloud
    }

    fn machines(&self) -> MutexGuard<'_, BTreeMap<String, ListedMachine>> {
        self.machines.lock().expect("lock of the cloud poisoned")
    }

    /// Number of provisioned machines.
    pub fn instance_count(&self) -> usize {
        self.machines().len()
    }

    /// Removes machines from the list.
    pub fn remove(&self, names: &[String]) {
        let mut machines = self.machines();
        for name in names {
            machines.remove(name);
        }
    }

    fn list_page(&self, query: &ListQuery) -> MachineList {
        let machines = self.machines();
        let after = query.after.as_deref().unwrap_or("");
        let limit = query
            .limit
            .unwrap_or(MAX_MACHINES_PER_PAGE)
            .min(MAX_MACHINES_PER_PAGE);
        let mut listed: Vec<ListedMachine> = machines
            .iter()
            .filter(|(name, _)| name.as_str() > after)
            .map(|(_, machine)| machine.clone())
            .take(limit + 1)
            .collect();
        let more = listed.len() > limit;
        listed.truncate(limit);
        MachineList {
            machines: listed,
            more,
        }
    }

    fn routes(
        self,
    ) -> impl Filter<Extract = (Response<Bytes>,), Error = warp::Rejection> + Clone + Send + Sync + 'static
    {
        let with_cloud = warp::any().map(move || self.clone());
        let types = with_cloud
            .clone()
            .and(warp::path!("machine_types"))
            .map(|cloud: Self| {
                let types = vec![cloud.machine_type];
                msgpack_response(200, &MachineTypes { types })
            });
        let list = with_cloud
            .clone()
            .and(warp::path!("machines"))
            .and(warp::query::<ListQuery>())
            .and(warp::get())
            .map(|cloud: Self, query: ListQuery| msgpack_response(200, &cloud.list_page(&query)));
        let provision = warp::path!("machines")
            .and(warp::post())
            .map(|| msgpack_response(503, &json!({"error": "no capacity"})));
        let delete = with_cloud
            .and(warp::path!("machines" / "delete"))
            .and(warp::post())
            .and(warp::body::bytes())
            .map(|cloud: Self, body: Bytes| {
                let names: MachineNames =
                    protocol::decode(&body).expect("a valid deletion request");
                (cloud.on_deleted)(&names.machines);
                cloud.remove(&names.machines);
                msgpack_response(200, &json!({}))
            });
        types
            .or(list)
            .unify()
            .or(provision)
            .unify()
            .or(delete)
            .unify()
    }
}
