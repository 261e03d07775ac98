//! The leader and the cloud: renting, returning, and what the lagging list is good for.

use crate::{
    autoscaler::{Autoscaler, Offer, Rental},
    cluster::{Books, MachineState, TypeIx},
    coordination::{CloudTag, Node, fleet::lose},
    protocol::cloud::{
        CloudError, CloudReply, CloudRequest, ListedMachine, MachineStatus, RentRequest,
    },
    time::{Millis, millis},
};

const TIMEOUT: Millis = 5000;
/// The list is asked for this often while some machine is silent, else as often as it is new.
const LIST_EVERY: Millis = 3000;
/// Rental requests under way: the cloud takes few calls a second, and an answer changes the plan.
/// Requests that queue up would be refused for what an earlier answer has told already.
const RENTALS: usize = 2;
const DELETE_EVERY: Millis = 2000;
const PLAN_EVERY: Millis = 1000;
const TYPES_EVERY: Millis = 30_000;
const TYPES_RETRY: Millis = 1000;
const TROUBLE: Millis = 1500;
/// Machines that were lost come back when a cut ends; this long is waited for them.
const LOST: Millis = 30_000;
/// A machine that has not come up after this many times its usual time is given up.
const BOOT_FACTOR: f64 = 4.0;
const MAX_DELETE: usize = 100;

/// What is under way with the cloud.
#[derive(Default)]
pub struct Renting {
    pub autoscaler: Autoscaler,
    rentals: Vec<(String, Rental)>,
    counter: u64,
    planned_at: Millis,
    trouble_until: Millis,
    listing: bool,
    listed_at: Millis,
    listed: Vec<ListedMachine>,
    deleting: bool,
    deleted_at: Millis,
}

impl Node {
    pub(super) fn ask_types(&mut self) {
        let every = match self.types_known_at {
            None => TYPES_RETRY,
            Some(_) => TYPES_EVERY,
        };
        // Followers need no prices.
        let due = self.types_known_at.is_none() || self.leading.is_some();
        if !due || self.types_asked.is_some_and(|at| at + every > self.now) {
            return;
        }
        self.types_asked = Some(self.now);
        self.out.push(crate::coordination::Effect::Cloud {
            tag: CloudTag::Types,
            request: CloudRequest::Types,
            timeout_ms: 2000,
        });
    }

    fn cloud(&mut self, tag: CloudTag, request: CloudRequest) {
        self.out.push(crate::coordination::Effect::Cloud {
            tag,
            request,
            timeout_ms: TIMEOUT,
        });
    }

    pub(super) fn cloud_answered(&mut self, tag: CloudTag, result: Result<CloudReply, CloudError>) {
        match tag {
            CloudTag::Types => {
                if let Ok(CloudReply::Types(types)) = result
                    && !types.types.is_empty()
                    && types.types.len() <= 64
                {
                    self.types = types.types;
                    self.types_known_at = Some(self.now);
                    if let Some(books) = self.leading.as_mut().and_then(|l| l.books.as_mut()) {
                        books.set_types(&self.types);
                    }
                }
            }
            CloudTag::List { lease } if self.leads(lease) => self.listed(result),
            CloudTag::Rent { lease, name } if self.leads(lease) => self.rented(&name, result),
            CloudTag::Delete { lease, names } if self.leads(lease) => self.deleted(&names, result),
            _ => {}
        }
    }

    pub(super) fn list_machines(&mut self) {
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.renting.listing = true;
        leading.renting.listed_at = now;
        leading.renting.listed.clear();
        let lease = leading.lease;
        self.cloud(CloudTag::List { lease }, CloudRequest::List { after: None });
        self.probe_unheard();
    }

    /// Machines that predecessors' notes or the list name, and that have not reported to us yet.
    fn probe_unheard(&mut self) {
        let Some(books) = self.leading.as_ref().and_then(|l| l.books.as_ref()) else {
            return;
        };
        let unheard: Vec<(String, String)> = books
            .machines
            .iter()
            .filter(|m| m.heard_at.is_none() && m.state != MachineState::Gone)
            .filter(|m| m.state == MachineState::Up || m.listed_running.is_some())
            .filter_map(|m| Some((m.name.clone(), m.addr.clone()?)))
            .collect();
        for (name, addr) in unheard {
            self.probe(name, addr);
        }
    }

    fn listed(&mut self, result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let lag = self.config.settings.cloud.list_lag_s;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let lease = leading.lease;
        let renting = &mut leading.renting;
        let Ok(CloudReply::List(list)) = result else {
            renting.listing = false;
            return;
        };
        let more = list.more && !list.machines.is_empty();
        let after = list.machines.last().map(|machine| machine.id.clone());
        renting.listed.extend(list.machines);
        if more {
            return self.cloud(CloudTag::List { lease }, CloudRequest::List { after });
        }
        renting.listing = false;
        let listed = std::mem::take(&mut renting.listed);
        let Some(books) = &mut leading.books else {
            return;
        };
        let mut present = vec![false; books.machines.len()];
        for machine in listed {
            let Some(type_ix) = books.type_names.get(&machine.type_name).map(TypeIx) else {
                continue;
            };
            let zone = books.zone(&machine.zone);
            let index = books.add_machine(&machine.id, type_ix, zone, machine.spot, now);
            present.resize(books.machines.len(), false);
            present[index.at()] = true;
            let entry = &mut books.machines[index.at()];
            if !entry.listed {
                let held = millis(machine.age_s.clamp(0.0, 1e9));
                entry.rented_at = entry.rented_at.min(now.saturating_sub(held));
            }
            entry.listed = true;
            entry.absent = 0;
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
        for (machine, present) in books.machines.iter_mut().zip(present) {
            let old = machine.known_since + millis(4.0 * lag) <= now;
            if !present && machine.listed && old {
                machine.absent += 1;
            }
        }
        self.probe_unheard();
    }

    /// Asks the cloud for what the books call for, and returns what they don't.
    pub(super) fn rent(&mut self) {
        let now = self.now;
        let wall = self.wall;
        let may_act = self.may_start();
        let list_lag = millis(self.config.settings.cloud.list_lag_s);
        let silence = self.times.silence;
        self.store_types();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let (lease, term) = (leading.lease, leading.first_term);
        let renting = &mut leading.renting;
        let Some(books) = &mut leading.books else {
            return;
        };
        let list = !renting.listing
            && renting.listed_at + LIST_EVERY <= now
            && (renting.listed_at + list_lag <= now || books.machines.iter().any(|m| m.silent));
        let mut requests = Vec::new();
        if may_act && renting.trouble_until <= now {
            if renting.planned_at + PLAN_EVERY <= now && renting.rentals.len() < RENTALS {
                renting.planned_at = now;
                let under_way: Vec<Rental> =
                    renting.rentals.iter().map(|(_, r)| r.clone()).collect();
                let (rentals, returns) = renting.autoscaler.plan(books, &under_way, now, wall);
                for index in returns {
                    books.machines[index.at()].state = MachineState::Deleting;
                }
                for rental in rentals {
                    let asked = renting.rentals.iter().any(|(_, r)| r.offer == rental.offer);
                    if asked || renting.rentals.len() >= RENTALS {
                        continue;
                    }
                    renting.counter += 1;
                    // Never used again: terms are not, and the counter counts within one.
                    let name = format!("r-{term}-{}", renting.counter);
                    let kind = &books.types[rental.offer.type_ix.at()];
                    tracing::info!(
                        name,
                        kind = kind.name,
                        count = rental.count,
                        zone = books.zone_names[rental.offer.zone.at()],
                        spot = rental.offer.spot,
                        "renting"
                    );
                    requests.push((
                        CloudTag::Rent {
                            lease,
                            name: name.clone(),
                        },
                        CloudRequest::Rent(rent_request(books, &name, &rental)),
                    ));
                    renting.rentals.push((name, rental));
                }
            }
            if !renting.deleting && renting.deleted_at + DELETE_EVERY <= now {
                renting.deleted_at = now;
                let names = dead(books, now, silence);
                if !names.is_empty() {
                    renting.deleting = true;
                    tracing::info!(?names, "deleting machines");
                    requests.push((
                        CloudTag::Delete {
                            lease,
                            names: names.clone(),
                        },
                        CloudRequest::Delete(names),
                    ));
                }
            }
        }
        for (tag, request) in requests {
            self.cloud(tag, request);
        }
        if list {
            self.list_machines();
        }
    }

    fn rented(&mut self, name: &str, result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let lease = leading.lease;
        let renting = &mut leading.renting;
        let Some(books) = &mut leading.books else {
            return;
        };
        let Some(at) = renting.rentals.iter().position(|(known, _)| known == name) else {
            return;
        };
        let rental = renting.rentals[at].1.clone();
        let offer = rental.offer;
        renting.planned_at = 0;
        match result {
            Ok(CloudReply::Rented(names)) => {
                renting.rentals.swap_remove(at);
                if (names.len() as u32) < rental.count {
                    renting.autoscaler.refuse(offer, now);
                }
                for machine in &names {
                    books.add_machine(machine, offer.type_ix, offer.zone, offer.spot, now);
                }
                tracing::debug!(name, ?names, "rented");
            }
            Ok(CloudReply::NoCapacity) => {
                tracing::debug!(name, ?offer, "no capacity");
                renting.rentals.swap_remove(at);
                renting.autoscaler.refuse(offer, now);
            }
            // It may have been carried out: the same name tells, and rents nothing twice.
            Err(CloudError::NoAnswer) => {
                let request = CloudRequest::Rent(rent_request(books, name, &rental));
                self.cloud(
                    CloudTag::Rent {
                        lease,
                        name: name.to_owned(),
                    },
                    request,
                );
            }
            _ => {
                renting.rentals.swap_remove(at);
                renting.trouble_until = now + TROUBLE;
            }
        }
    }

    fn deleted(&mut self, names: &[String], result: Result<CloudReply, CloudError>) {
        let now = self.now;
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.renting.deleting = false;
        let Some(books) = &mut leading.books else {
            return;
        };
        if !matches!(result, Ok(CloudReply::Deleted)) {
            leading.renting.trouble_until = now + TROUBLE;
            return;
        }
        for name in names {
            if let Some(&index) = books.machine_index.get(name) {
                lose(books, index, now);
                books.machines[index.at()].state = MachineState::Gone;
            }
        }
    }
}

fn rent_request(books: &Books, name: &str, rental: &Rental) -> RentRequest {
    let Offer {
        type_ix,
        zone,
        spot,
    } = rental.offer;
    RentRequest {
        name: name.to_owned(),
        type_name: books.types[type_ix.at()].name.clone(),
        zone: books.zone_names[zone.at()].clone(),
        spot,
        count: rental.count,
    }
}

/// Machines to delete: returned ones, and those that are gone or will never be of use.
fn dead(books: &Books, now: Millis, silence: Millis) -> Vec<String> {
    books
        .machines
        .iter()
        .filter(|machine| {
            let boot = books.types[machine.type_ix.at()].boot_s * BOOT_FACTOR + 10.0;
            let silent = machine.heard_at.is_none_or(|at| at + silence < now);
            match machine.state {
                MachineState::Gone => false,
                MachineState::Deleting => true,
                _ if machine.listed_failed => true,
                MachineState::Booting => {
                    machine.rented_at + millis(boot) < now && machine.known_since + 10_000 < now
                }
                MachineState::Lost => machine.absent > 0 || machine.idle_since + LOST < now,
                MachineState::Up => {
                    // Deleting what is gone anyway proves that nothing runs there any more.
                    silent
                        && (machine.absent > 1
                            || machine.recall_at.is_some_and(|at| at + 1000 < now))
                }
            }
        })
        .map(|machine| machine.name.clone())
        .take(MAX_DELETE)
        .collect()
}
