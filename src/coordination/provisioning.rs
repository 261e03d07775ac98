//! Provisioning: the leader requests and deletes machines in the cloud, and lists them. The list lags behind
//! the cloud's actual state.

use crate::{
    autoscaler::{Autoscaler, InstanceRequest, Offer},
    cluster::{ClusterState, MachineState, MachineTypeIndex},
    coordination::{CloudTag, Node, StateTag, workers::mark_lost, write_outcome::TXN_TIMEOUT_MS},
    protocol::{
        cloud::{
            CloudError, CloudReply, CloudRequest, ListedMachine, MachineStatus, ProvisionRequest,
        },
        state::{StateRequest, StateRequestPriority, Txn},
    },
    storage,
    time::{Millis, millis},
};

const CLOUD_TIMEOUT_MS: Millis = 5000;
/// Machines are listed at most this often while one of them is unresponsive, else at most once per list lag.
const LIST_INTERVAL_MS: Millis = 3000;
/// How many instance requests may be in flight: the cloud accepts few calls a second, and each answer changes
/// the plan. Queued requests would be rejected for a reason that an earlier answer has already given.
const MAX_INSTANCE_REQUESTS: usize = 2;
const DELETE_INTERVAL_MS: Millis = 2000;
const PLAN_INTERVAL_MS: Millis = 1000;
const TYPES_INTERVAL_MS: Millis = 30_000;
const TYPES_RETRY_MS: Millis = 1000;
const TYPES_STORE_INTERVAL_MS: Millis = 10_000;
const CLOUD_BACKOFF_MS: Millis = 1500;
/// A lost machine is deleted after this time: until then it may report again when a network partition ends.
const LOST_MACHINE_GRACE_MS: Millis = 30_000;
/// A machine that has not reported after this many times the boot time of its type is deleted.
const MAX_BOOT_TIME_FACTOR: f64 = 4.0;
const MAX_DELETIONS_PER_REQUEST: usize = 100;

/// The provisioning state of one leadership: the autoscaler, and the calls to the cloud that are in flight.
#[derive(Default)]
pub struct Provisioning {
    /// Decides which machines to request and which to delete.
    pub autoscaler: Autoscaler,
    /// Instance requests that the cloud has not answered, by name.
    requests_in_flight: Vec<(String, InstanceRequest)>,
    /// How many instance requests this leadership has made.
    requests_made: u64,
    planned_at: Millis,
    /// After an error nothing is requested or deleted until then.
    backoff_until: Millis,
    list_in_flight: bool,
    listed_at: Millis,
    /// The machines on the pages of the current list that have arrived.
    listed_machines: Vec<ListedMachine>,
    /// When the machine types were last written to the state service; 0: not yet.
    machine_types_stored_at: Millis,
    deletion_in_flight: bool,
    deleted_at: Millis,
}

impl Node {
    /// Requests the machine types from the cloud: until they are known, and regularly while leading.
    pub(super) fn request_machine_types(&mut self) {
        let interval_ms = match self.machine_types_received_at {
            None => TYPES_RETRY_MS,
            Some(_) => TYPES_INTERVAL_MS,
        };
        // A follower needs no current prices.
        let is_due = self.machine_types_received_at.is_none() || self.leader_state.is_some();
        if !is_due
            || self
                .machine_types_requested_at
                .is_some_and(|at| at + interval_ms > self.now)
        {
            return;
        }
        self.machine_types_requested_at = Some(self.now);
        self.effects.push(crate::coordination::Effect::CallCloud {
            tag: CloudTag::MachineTypes,
            request: CloudRequest::Types,
            timeout_ms: 2000,
        });
    }

    /// Writes the machine types to the state service, for nodes that start while the cloud is down.
    pub(super) fn store_machine_types(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let is_unchanged = self
            .registry
            .machine_types
            .as_ref()
            .is_some_and(|(stored, _)| {
                stored.types.len() == self.machine_types.len()
                    && stored.types.iter().zip(&self.machine_types).all(|(a, b)| {
                        a.name == b.name
                            && a.cpus == b.cpus
                            && a.gpus == b.gpus
                            && a.ram_gb == b.ram_gb
                            && a.price == b.price
                            && a.zones == b.zones
                    })
            });
        if is_unchanged
            || leader.provisioning.machine_types_stored_at + TYPES_STORE_INTERVAL_MS > self.now
                && leader.provisioning.machine_types_stored_at > 0
        {
            return;
        }
        leader.provisioning.machine_types_stored_at = self.now;
        let condition = leader.leadership_condition();
        let max_value_bytes = self.config.settings.state.max_value_bytes();
        for (key, value) in storage::machine_types_records(&self.machine_types, max_value_bytes) {
            // An earlier write of this leader that is applied late must not overwrite a newer one.
            let version = self.registry.machine_types_versions.get(&key);
            let mut txn = Txn::with_condition(condition.clone());
            txn.put(key, version.copied().unwrap_or(0), value);
            self.call_state_service(
                StateTag::WriteMachineTypes,
                StateRequest::Txn(txn),
                StateRequestPriority::Normal,
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

    /// Handles an answer of the cloud; answers to requests of an earlier leadership are dropped.
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
                    self.machine_types_received_at = Some(self.now);
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

    /// Requests the first page of the machine list, and probes machines that have not reported yet.
    pub(super) fn request_instance_list(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.provisioning.list_in_flight = true;
        leader.provisioning.listed_at = now;
        leader.provisioning.listed_machines.clear();
        let lease = leader.lease;
        self.call_cloud(
            CloudTag::ListInstances { lease },
            CloudRequest::List { after: None },
        );
        self.probe_unreported_machines();
    }

    /// Requests a report from each machine that earlier leaders' log or the list names and that has not reported to
    /// this leader yet.
    fn probe_unreported_machines(&mut self) {
        let Some(cluster) = self.leader_state.as_ref().and_then(|l| l.cluster.as_ref()) else {
            return;
        };
        let unreported: Vec<(String, String)> = cluster
            .machines
            .iter()
            .filter(|m| m.last_heartbeat_at.is_none() && m.state != MachineState::Deleted)
            .filter(|m| m.state == MachineState::Up || m.listed_running_at.is_some())
            .filter_map(|m| Some((m.name.clone(), m.addr.clone()?)))
            .collect();
        for (name, addr) in unreported {
            self.probe_machine(name, addr);
        }
    }

    #[expect(clippy::too_many_lines, reason = "still to be split")]
    fn on_instance_list(&mut self, result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let list_lag_s = self.config.settings.cloud.list_lag_s;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let lease = leader.lease;
        let provisioning = &mut leader.provisioning;
        let Ok(CloudReply::List(list)) = result else {
            provisioning.list_in_flight = false;
            return;
        };
        let has_more = list.more && !list.machines.is_empty();
        let after = list.machines.last().map(|machine| machine.id.clone());
        provisioning.listed_machines.extend(list.machines);
        if has_more {
            return self.call_cloud(
                CloudTag::ListInstances { lease },
                CloudRequest::List { after },
            );
        }
        provisioning.list_in_flight = false;
        let listed = std::mem::take(&mut provisioning.listed_machines);
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let mut is_listed = vec![false; cluster.machines.len()];
        for machine in listed {
            let Some(type_index) = cluster
                .type_interner
                .get(&machine.type_name)
                .map(MachineTypeIndex)
            else {
                continue;
            };
            let zone = cluster.intern_zone(&machine.zone);
            let index = cluster.add_machine(&machine.id, type_index, zone, machine.spot, now);
            is_listed.resize(cluster.machines.len(), false);
            is_listed[index.as_usize()] = true;
            let entry = &mut cluster.machines[index.as_usize()];
            if !entry.listed {
                let age_ms = millis(machine.age_s.clamp(0.0, 1e9));
                entry.provisioned_at = entry.provisioned_at.min(now.saturating_sub(age_ms));
            }
            entry.listed = true;
            entry.missed_listings = 0;
            if entry.addr.is_none() {
                entry.addr = machine.addr;
            }
            match machine.status {
                MachineStatus::Booting => {}
                MachineStatus::Running => {
                    entry.listed_running_at.get_or_insert(now);
                }
                MachineStatus::Failed => entry.listed_failed = true,
            }
        }
        // A machine stays on the list until it is gone, but a list may be older than the previous one, and
        // even older than the machine.
        for (machine, is_listed) in cluster.machines.iter_mut().zip(is_listed) {
            let is_established = machine.added_at + millis(4.0 * list_lag_s) <= now;
            if !is_listed && machine.listed && is_established {
                machine.missed_listings += 1;
            }
        }
        self.probe_unreported_machines();
    }

    /// Requests and deletes machines as the cluster state calls for, and lists them regularly.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub(super) fn run_provisioning(&mut self) {
        let now = self.now;
        let wall_ms = self.wall_ms;
        let may_act = self.can_start_tasks();
        let list_lag = millis(self.config.settings.cloud.list_lag_s);
        let heartbeat_timeout = self.timeouts.heartbeat_timeout;
        self.store_machine_types();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let (lease, term) = (leader.lease, leader.first_term);
        let provisioning = &mut leader.provisioning;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let is_list_due = !provisioning.list_in_flight
            && provisioning.listed_at + LIST_INTERVAL_MS <= now
            && (provisioning.listed_at + list_lag <= now
                || cluster.machines.iter().any(|m| m.unresponsive));
        let mut requests = Vec::new();
        if may_act && provisioning.backoff_until <= now {
            if provisioning.planned_at + PLAN_INTERVAL_MS <= now
                && provisioning.requests_in_flight.len() < MAX_INSTANCE_REQUESTS
            {
                provisioning.planned_at = now;
                let in_flight: Vec<InstanceRequest> = provisioning
                    .requests_in_flight
                    .iter()
                    .map(|(_, r)| r.clone())
                    .collect();
                let (additions, removals) = provisioning
                    .autoscaler
                    .plan_scaling(cluster, &in_flight, now, wall_ms);
                for index in removals {
                    cluster.machines[index.as_usize()].state = MachineState::Deleting;
                }
                for addition in additions {
                    let is_requested = provisioning
                        .requests_in_flight
                        .iter()
                        .any(|(_, r)| r.offer == addition.offer);
                    if is_requested
                        || provisioning.requests_in_flight.len() >= MAX_INSTANCE_REQUESTS
                    {
                        continue;
                    }
                    provisioning.requests_made += 1;
                    // The name is unique: no other leadership has this term, and the counter counts within one.
                    let name = format!("r-{term}-{}", provisioning.requests_made);
                    let machine_type =
                        &cluster.machine_types[addition.offer.machine_type.as_usize()];
                    tracing::info!(
                        name,
                        machine_type = machine_type.name,
                        count = addition.count,
                        zone = cluster.zone_names[addition.offer.zone.as_usize()],
                        spot = addition.offer.spot,
                        "requesting machines"
                    );
                    requests.push((
                        CloudTag::RequestInstances {
                            lease,
                            request_name: name.clone(),
                        },
                        CloudRequest::ProvisionMachines(instance_request(
                            cluster, &name, &addition,
                        )),
                    ));
                    provisioning.requests_in_flight.push((name, addition));
                }
            }
            if !provisioning.deletion_in_flight
                && provisioning.deleted_at + DELETE_INTERVAL_MS <= now
            {
                provisioning.deleted_at = now;
                let names = machines_to_delete(cluster, now, heartbeat_timeout);
                if !names.is_empty() {
                    provisioning.deletion_in_flight = true;
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
        if is_list_due {
            self.request_instance_list();
        }
    }

    fn on_instances_provisioned(&mut self, name: &str, result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let lease = leader.lease;
        let provisioning = &mut leader.provisioning;
        let Some(cluster) = &mut leader.cluster else {
            return;
        };
        let Some(position) = provisioning
            .requests_in_flight
            .iter()
            .position(|(in_flight, _)| in_flight == name)
        else {
            return;
        };
        let request = provisioning.requests_in_flight[position].1.clone();
        let offer = request.offer;
        provisioning.planned_at = 0;
        match result {
            Ok(CloudReply::Provisioned(names)) => {
                provisioning.requests_in_flight.swap_remove(position);
                if (names.len() as u32) < request.count {
                    provisioning.autoscaler.mark_unavailable(offer, now);
                }
                for machine in &names {
                    cluster.add_machine(machine, offer.machine_type, offer.zone, offer.spot, now);
                }
                tracing::debug!(name, ?names, "machines provisioned");
            }
            Ok(CloudReply::NoCapacity) => {
                tracing::debug!(name, ?offer, "no capacity");
                provisioning.requests_in_flight.swap_remove(position);
                provisioning.autoscaler.mark_unavailable(offer, now);
            }
            // The request may have been executed. It is sent again under the same name, which the cloud
            // executes only once.
            Err(CloudError::NoAnswer) => {
                let retry =
                    CloudRequest::ProvisionMachines(instance_request(cluster, name, &request));
                self.call_cloud(
                    CloudTag::RequestInstances {
                        lease,
                        request_name: name.to_owned(),
                    },
                    retry,
                );
            }
            _ => {
                provisioning.requests_in_flight.swap_remove(position);
                provisioning.backoff_until = now + CLOUD_BACKOFF_MS;
            }
        }
    }

    fn on_instances_deleted(&mut self, names: &[String], result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.provisioning.deletion_in_flight = false;
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
                cluster.machines[index.as_usize()].state = MachineState::Deleted;
            }
        }
    }
}

fn instance_request(
    cluster: &ClusterState,
    name: &str,
    request: &InstanceRequest,
) -> ProvisionRequest {
    let Offer {
        machine_type: type_index,
        zone,
        spot,
    } = request.offer;
    ProvisionRequest {
        name: name.to_owned(),
        type_name: cluster.machine_types[type_index.as_usize()].name.clone(),
        zone: cluster.zone_names[zone.as_usize()].clone(),
        spot,
        count: request.count,
    }
}

/// The names of machines to delete: those that are scaled in, lost or failed, or did not boot
/// in time.
fn machines_to_delete(
    cluster: &ClusterState,
    now: Millis,
    heartbeat_timeout: Millis,
) -> Vec<String> {
    cluster
        .machines
        .iter()
        .filter(|machine| {
            let max_boot_s = cluster.machine_types[machine.machine_type.as_usize()].boot_s
                * MAX_BOOT_TIME_FACTOR
                + 10.0;
            let is_unresponsive = machine
                .last_heartbeat_at
                .is_none_or(|at| at + heartbeat_timeout < now);
            match machine.state {
                MachineState::Deleted => false,
                MachineState::Deleting => true,
                _ if machine.listed_failed => true,
                MachineState::Booting => {
                    machine.provisioned_at + millis(max_boot_s) < now
                        && machine.added_at + 10_000 < now
                }
                MachineState::Lost => {
                    machine.missed_listings > 0 || machine.idle_since + LOST_MACHINE_GRACE_MS < now
                }
                MachineState::Up => {
                    // The machine is probably gone. Deleting it proves that nothing runs there any more.
                    is_unresponsive
                        && (machine.missed_listings > 1
                            || machine.reclaim_at.is_some_and(|at| at + 1000 < now))
                }
            }
        })
        .map(|machine| machine.name.clone())
        .take(MAX_DELETIONS_PER_REQUEST)
        .collect()
}
