//! The leader and the cloud: renting, returning, and what the lagging list is good for.

use crate::{
    autoscaler::{Autoscaler, InstanceRequest, Offer},
    cluster::{ClusterState, MachineState, MachineTypeIndex},
    coordination::{CloudTag, Node, StateTag, workers::mark_lost, write_outcome::TXN_TIMEOUT_MS},
    protocol::{
        cloud::{CloudError, CloudReply, CloudRequest, ListedMachine, MachineStatus, RentRequest},
        state::{StateRequest, Txn, Urgency},
    },
    storage,
    time::{Millis, millis},
};

const CLOUD_TIMEOUT_MS: Millis = 5000;
/// The list is asked for this often while some machine is silent, else as often as it is new.
const LIST_INTERVAL_MS: Millis = 3000;
/// InstanceRequest requests under way: the cloud takes few calls a second, and an answer changes the plan.
/// Requests that queue up would be refused for what an earlier answer has told already.
const MAX_INSTANCE_REQUESTS: usize = 2;
const DELETE_INTERVAL_MS: Millis = 2000;
const PLAN_INTERVAL_MS: Millis = 1000;
const TYPES_INTERVAL_MS: Millis = 30_000;
const TYPES_RETRY_MS: Millis = 1000;
const TYPES_STORE_INTERVAL_MS: Millis = 10_000;
const CLOUD_BACKOFF_MS: Millis = 1500;
/// Machines that were lost come back when a cut ends; this long is waited for them.
const LOST_MACHINE_GRACE_MS: Millis = 30_000;
/// A machine that has not come up after this many times its usual time is given up.
const MAX_BOOT_TIME_FACTOR: f64 = 4.0;
const MAX_DELETIONS_PER_REQUEST: usize = 100;

/// What is under way with the cloud.
#[derive(Default)]
pub struct Provisioning {
    pub autoscaler: Autoscaler,
    requests_in_flight: Vec<(String, InstanceRequest)>,
    requests_made: u64,
    planned_at: Millis,
    backoff_until: Millis,
    listing: bool,
    listed_at: Millis,
    listed_machines: Vec<ListedMachine>,
    /// When the machine types were last written to the state service; 0: not yet.
    machine_types_stored_at: Millis,
    deleting: bool,
    deleted_at: Millis,
}

impl Node {
    pub(super) fn request_machine_types(&mut self) {
        let every = match self.machine_types_known_at {
            None => TYPES_RETRY_MS,
            Some(_) => TYPES_INTERVAL_MS,
        };
        // Followers need no prices.
        let due = self.machine_types_known_at.is_none() || self.leader_state.is_some();
        if !due
            || self
                .machine_types_asked_at
                .is_some_and(|at| at + every > self.now)
        {
            return;
        }
        self.machine_types_asked_at = Some(self.now);
        self.effects.push(crate::coordination::Effect::CallCloud {
            tag: CloudTag::MachineTypes,
            request: CloudRequest::Types,
            timeout_ms: 2000,
        });
    }

    /// Keeps the machine types in the store, for nodes that start while the cloud is down.
    pub(super) fn store_machine_types(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let same = self
            .registry
            .machine_types
            .as_ref()
            .is_some_and(|(known, _)| {
                known.types.len() == self.machine_types.len()
                    && known.types.iter().zip(&self.machine_types).all(|(a, b)| {
                        a.name == b.name
                            && a.cpus == b.cpus
                            && a.gpus == b.gpus
                            && a.ram_gb == b.ram_gb
                            && a.price == b.price
                            && a.zones == b.zones
                    })
            });
        if same
            || leader.provisioning.machine_types_stored_at + TYPES_STORE_INTERVAL_MS > self.now
                && leader.provisioning.machine_types_stored_at > 0
        {
            return;
        }
        leader.provisioning.machine_types_stored_at = self.now;
        let condition = leader.leadership_condition();
        let bytes = self.config.settings.state.max_value_bytes();
        for (key, value) in storage::machine_types_records(&self.machine_types, bytes) {
            // A write of this leader's that is applied late must not overwrite a newer one.
            let known = self.registry.machine_types_versions.get(&key);
            let mut txn = Txn::only_if(condition.clone());
            txn.put(key, known.copied().unwrap_or(0), value);
            self.call_state_service(
                StateTag::WriteMachineTypes,
                StateRequest::Txn(txn),
                Urgency::Normal,
                TXN_TIMEOUT_MS,
            );
        }
    }

    fn call_cloud(&mut self, tag: CloudTag, request: CloudRequest) {
        self.effects.push(crate::coordination::Effect::CallCloud {
            tag,
            request,
            timeout_ms: CLOUD_TIMEOUT_MS,
        });
    }

    pub(super) fn on_cloud_response(
        &mut self,
        tag: CloudTag,
        result: Result<CloudReply, CloudError>,
    ) {
        match tag {
            CloudTag::MachineTypes => {
                if let Ok(CloudReply::Types(types)) = result
                    && !types.types.is_empty()
                    && types.types.len() <= 64
                {
                    self.machine_types = types.types;
                    self.machine_types_known_at = Some(self.now);
                    if let Some(cluster) =
                        self.leader_state.as_mut().and_then(|l| l.cluster.as_mut())
                    {
                        cluster.set_machine_types(&self.machine_types);
                    }
                }
            }
            CloudTag::ListInstances { lease } if self.holds_leadership(lease) => {
                self.on_instance_list(result)
            }
            CloudTag::RequestInstances {
                lease,
                request_name,
            } if self.holds_leadership(lease) => {
                self.on_instances_provisioned(&request_name, result)
            }
            CloudTag::DeleteInstances { lease, names } if self.holds_leadership(lease) => {
                self.on_instances_deleted(&names, result)
            }
            _ => {}
        }
    }

    pub(super) fn request_instance_list(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.provisioning.listing = true;
        leader.provisioning.listed_at = now;
        leader.provisioning.listed_machines.clear();
        let lease = leader.lease;
        self.call_cloud(
            CloudTag::ListInstances { lease },
            CloudRequest::List { after: None },
        );
        self.probe_unreported_machines();
    }

    /// Machines that predecessors' notes or the list name, and that have not reported to us yet.
    fn probe_unreported_machines(&mut self) {
        let Some(cluster) = self.leader_state.as_ref().and_then(|l| l.cluster.as_ref()) else {
            return;
        };
        let unheard: Vec<(String, String)> = cluster
            .machines
            .iter()
            .filter(|m| m.last_heartbeat_at.is_none() && m.state != MachineState::Gone)
            .filter(|m| m.state == MachineState::Up || m.listed_running.is_some())
            .filter_map(|m| Some((m.name.clone(), m.addr.clone()?)))
            .collect();
        for (name, addr) in unheard {
            self.probe_machine(name, addr);
        }
    }

    #[expect(clippy::too_many_lines, reason = "still to be split")]
    fn on_instance_list(&mut self, result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let lag = self.config.settings.cloud.list_lag_s;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let lease = leader.lease;
        let renting = &mut leader.provisioning;
        let Ok(CloudReply::List(list)) = result else {
            renting.listing = false;
            return;
        };
        let more = list.more && !list.machines.is_empty();
        let after = list.machines.last().map(|machine| machine.id.clone());
        renting.listed_machines.extend(list.machines);
        if more {
            return self.call_cloud(
                CloudTag::ListInstances { lease },
                CloudRequest::List { after },
            );
        }
        renting.listing = false;
        let listed = std::mem::take(&mut renting.listed_machines);
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let mut present = vec![false; cluster.machines.len()];
        for machine in listed {
            let Some(type_ix) = cluster
                .type_interner
                .get(&machine.type_name)
                .map(MachineTypeIndex)
            else {
                continue;
            };
            let zone = cluster.intern_zone(&machine.zone);
            let index = cluster.add_machine(&machine.id, type_ix, zone, machine.spot, now);
            present.resize(cluster.machines.len(), false);
            present[index.as_usize()] = true;
            let entry = &mut cluster.machines[index.as_usize()];
            if !entry.listed {
                let held = millis(machine.age_s.clamp(0.0, 1e9));
                entry.provisioned_at = entry.provisioned_at.min(now.saturating_sub(held));
            }
            entry.listed = true;
            entry.missed_listings = 0;
            if entry.addr.is_none() {
                entry.addr = machine.addr;
            }
            match machine.status {
                MachineStatus::Booting => {}
                MachineStatus::Running => {
                    entry.listed_running.get_or_insert(now);
                }
                MachineStatus::Failed => entry.listed_failed = true,
            }
        }
        // A machine that was listed stays so until it is gone, but a list may be older than the one
        // before, even older than the machine.
        for (machine, present) in cluster.machines.iter_mut().zip(present) {
            let old = machine.known_since + millis(4.0 * lag) <= now;
            if !present && machine.listed && old {
                machine.missed_listings += 1;
            }
        }
        self.probe_unreported_machines();
    }

    /// Asks the cloud for what the books call for, and returns what they don't.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(super) fn run_provisioning(&mut self) {
        let now = self.now;
        let wall = self.wall_ms;
        let may_act = self.can_start_tasks();
        let list_lag = millis(self.config.settings.cloud.list_lag_s);
        let silence = self.timeouts.heartbeat_timeout;
        self.store_machine_types();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let (lease, term) = (leader.lease, leader.first_term);
        let renting = &mut leader.provisioning;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let list = !renting.listing
            && renting.listed_at + LIST_INTERVAL_MS <= now
            && (renting.listed_at + list_lag <= now
                || cluster.machines.iter().any(|m| m.unresponsive));
        let mut requests = Vec::new();
        if may_act && renting.backoff_until <= now {
            if renting.planned_at + PLAN_INTERVAL_MS <= now
                && renting.requests_in_flight.len() < MAX_INSTANCE_REQUESTS
            {
                renting.planned_at = now;
                let under_way: Vec<InstanceRequest> = renting
                    .requests_in_flight
                    .iter()
                    .map(|(_, r)| r.clone())
                    .collect();
                let (rentals, returns) = renting
                    .autoscaler
                    .plan_scaling(cluster, &under_way, now, wall);
                for index in returns {
                    cluster.machines[index.as_usize()].state = MachineState::Deleting;
                }
                for rental in rentals {
                    let asked = renting
                        .requests_in_flight
                        .iter()
                        .any(|(_, r)| r.offer == rental.offer);
                    if asked || renting.requests_in_flight.len() >= MAX_INSTANCE_REQUESTS {
                        continue;
                    }
                    renting.requests_made += 1;
                    // Never used again: terms are not, and the counter counts within one.
                    let name = format!("r-{term}-{}", renting.requests_made);
                    let kind = &cluster.machine_types[rental.offer.machine_type.as_usize()];
                    tracing::info!(
                        name,
                        kind = kind.name,
                        count = rental.count,
                        zone = cluster.zone_names[rental.offer.zone.as_usize()],
                        spot = rental.offer.spot,
                        "renting"
                    );
                    requests.push((
                        CloudTag::RequestInstances {
                            lease,
                            request_name: name.clone(),
                        },
                        CloudRequest::Rent(instance_request(cluster, &name, &rental)),
                    ));
                    renting.requests_in_flight.push((name, rental));
                }
            }
            if !renting.deleting && renting.deleted_at + DELETE_INTERVAL_MS <= now {
                renting.deleted_at = now;
                let names = machines_to_delete(cluster, now, silence);
                if !names.is_empty() {
                    renting.deleting = true;
                    tracing::info!(?names, "deleting machines");
                    requests.push((
                        CloudTag::DeleteInstances {
                            lease,
                            names: names.clone(),
                        },
                        CloudRequest::Delete(names),
                    ));
                }
            }
        }
        for (tag, request) in requests {
            self.call_cloud(tag, request);
        }
        if list {
            self.request_instance_list();
        }
    }

    fn on_instances_provisioned(&mut self, name: &str, result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let lease = leader.lease;
        let renting = &mut leader.provisioning;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let Some(at) = renting
            .requests_in_flight
            .iter()
            .position(|(known, _)| known == name)
        else {
            return;
        };
        let rental = renting.requests_in_flight[at].1.clone();
        let offer = rental.offer;
        renting.planned_at = 0;
        match result {
            Ok(CloudReply::Rented(names)) => {
                renting.requests_in_flight.swap_remove(at);
                if (names.len() as u32) < rental.count {
                    renting.autoscaler.mark_unavailable(offer, now);
                }
                for machine in &names {
                    cluster.add_machine(machine, offer.machine_type, offer.zone, offer.spot, now);
                }
                tracing::debug!(name, ?names, "rented");
            }
            Ok(CloudReply::NoCapacity) => {
                tracing::debug!(name, ?offer, "no capacity");
                renting.requests_in_flight.swap_remove(at);
                renting.autoscaler.mark_unavailable(offer, now);
            }
            // It may have been carried out: the same name tells, and rents nothing twice.
            Err(CloudError::NoAnswer) => {
                let request = CloudRequest::Rent(instance_request(cluster, name, &rental));
                self.call_cloud(
                    CloudTag::RequestInstances {
                        lease,
                        request_name: name.to_owned(),
                    },
                    request,
                );
            }
            _ => {
                renting.requests_in_flight.swap_remove(at);
                renting.backoff_until = now + CLOUD_BACKOFF_MS;
            }
        }
    }

    fn on_instances_deleted(&mut self, names: &[String], result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.provisioning.deleting = false;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        if !matches!(result, Ok(CloudReply::Deleted)) {
            leader.provisioning.backoff_until = now + CLOUD_BACKOFF_MS;
            return;
        }
        for name in names {
            if let Some(&index) = cluster.machines_by_name.get(name) {
                mark_lost(cluster, index, now);
                cluster.machines[index.as_usize()].state = MachineState::Gone;
            }
        }
    }
}

fn instance_request(cluster: &ClusterState, name: &str, rental: &InstanceRequest) -> RentRequest {
    let Offer {
        machine_type: type_ix,
        zone,
        spot,
    } = rental.offer;
    RentRequest {
        name: name.to_owned(),
        type_name: cluster.machine_types[type_ix.as_usize()].name.clone(),
        zone: cluster.zone_names[zone.as_usize()].clone(),
        spot,
        count: rental.count,
    }
}

/// Machines to delete: returned ones, and those that are gone or will never be of use.
fn machines_to_delete(cluster: &ClusterState, now: Millis, silence: Millis) -> Vec<String> {
    cluster
        .machines
        .iter()
        .filter(|machine| {
            let boot = cluster.machine_types[machine.machine_type.as_usize()].boot_s
                * MAX_BOOT_TIME_FACTOR
                + 10.0;
            let silent = machine
                .last_heartbeat_at
                .is_none_or(|at| at + silence < now);
            match machine.state {
                MachineState::Gone => false,
                MachineState::Deleting => true,
                _ if machine.listed_failed => true,
                MachineState::Booting => {
                    machine.provisioned_at + millis(boot) < now
                        && machine.known_since + 10_000 < now
                }
                MachineState::Lost => {
                    machine.missed_listings > 0 || machine.idle_since + LOST_MACHINE_GRACE_MS < now
                }
                MachineState::Up => {
                    // Deleting what is gone anyway proves that nothing runs there any more.
                    silent
                        && (machine.missed_listings > 1
                            || machine.reclaim_at.is_some_and(|at| at + 1000 < now))
                }
            }
        })
        .map(|machine| machine.name.clone())
        .take(MAX_DELETIONS_PER_REQUEST)
        .collect()
}
