//! Which machines to rent and which to return.

#![expect(missing_docs, reason = "its items are still to be documented")]

use std::collections::HashMap;

use crate::{
    cluster::{
        ClusterState, Job, JobIndex, MachineIndex, MachineState, MachineTypeIndex, Phase, QueueKey,
        Resources, ZoneIndex,
    },
    protocol::job::JobKind,
    time::{Millis, millis},
};

/// What can be rented: a type in a zone, spot or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    pub machine_type: MachineTypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
}

/// A rental under way.
#[derive(Clone, Debug)]
pub struct InstanceRequest {
    pub offer: Offer,
    pub count: u32,
}

/// A machine costs a minute at least; a return that is decided on a little earlier is carried out
/// when that is over.
const MIN_BILLED_MS: Millis = 57_000;
/// An empty machine is kept this long: the next job may want it.
const SCALE_IN_IDLE_MS: Millis = 12_000;
/// An offer that had nothing is not asked again for this long.
const UNAVAILABLE_OFFER_BACKOFF_MS: Millis = 20_000;
/// Estimates are often too low; so much of the time that a task can wait is counted on.
const SLACK_SAFETY_FACTOR: f64 = 0.5;
/// How long an array without any aim waits for others to finish before more is rented for it.
const NO_OBJECTIVE_SLACK_S: f64 = 60.0;
const MAX_INSTANCES_PER_REQUEST: u32 = 50;
/// Arrivals of services are counted over this time.
const ARRIVAL_WINDOW_MS: Millis = 120_000;
/// Tasks of services that room is kept for on the strength of one burst. What is more has to have come
/// in other parts of the window too: a deployment's start brings thousands at once that nobody follows.
/// Taken for the most that could ever be wanted, it had one replica in ten wait for a machine on calm days of
/// 1,213 machines, where 140 come while one boots.
const MAX_BURST_HEADROOM_TASKS: usize = 64;
const ARRIVAL_WINDOW_PARTS: usize = 8;
/// Room is looked for, for each, in each plan.
const MAX_HEADROOM_TASKS: usize = 2048;
/// Fewer silent machines than this say nothing of their zone.
const MIN_UNRESPONSIVE_MACHINES: usize = 3;
/// Machines that arrays may ask for in one plan: few rentals are under way at a time, and the next plan is
/// made anew.
const MAX_NEW_MACHINES_PER_PLAN: usize = 100;

#[derive(Default)]
pub struct Autoscaler {
    /// Offers that were refused, and until when they are passed over.
    unavailable_until: HashMap<Offer, Millis>,
    /// Service tasks that came lately: when, by the time of day, and what each took. A successor knows them
    /// from the jobs' records: without, the room that was kept ready was returned after each takeover.
    service_arrivals: Vec<(u64, Resources)>,
    observed_since_ms: Option<u64>,
}

/// A machine that is there, coming, or wanted.
struct PlannedMachine {
    offer: Offer,
    free: Resources,
    to_provision: bool,
}

struct PlannedFleet {
    machines: Vec<PlannedMachine>,
    /// How many there are in each zone.
    machines_by_zone: Vec<usize>,
    /// How many of them are to be rented.
    to_provision: usize,
    /// Zones that seem to be cut off.
    partitioned_zones: Vec<bool>,
}

impl PlannedFleet {
    fn new(cluster: &ClusterState, bins: Vec<PlannedMachine>, dark: Vec<bool>) -> Self {
        let mut crowd = vec![0; cluster.zone_names.len()];
        for bin in &bins {
            crowd[bin.offer.zone.as_usize()] += 1;
        }
        PlannedFleet {
            machines: bins,
            machines_by_zone: crowd,
            to_provision: 0,
            partitioned_zones: dark,
        }
    }

    /// A new one, for a task that takes `need` of it.
    fn add(&mut self, cluster: &ClusterState, offer: Offer, need: &Resources) {
        let mut room = capacity_of(cluster, offer.machine_type);
        room.sub(need);
        self.machines_by_zone[offer.zone.as_usize()] += 1;
        self.to_provision += 1;
        self.machines.push(PlannedMachine {
            offer,
            free: room,
            to_provision: true,
        });
    }
}

impl Autoscaler {
    pub fn mark_unavailable(&mut self, offer: Offer, now: Millis) {
        self.unavailable_until
            .insert(offer, now + UNAVAILABLE_OFFER_BACKOFF_MS);
    }

    /// A service came, at this time of day: room for the next of its kind is kept.
    pub fn record_service_arrival(&mut self, need: Resources, tasks: usize, at_ms: u64) {
        self.observed_since_ms = Some(
            self.observed_since_ms
                .map_or(at_ms, |began| began.min(at_ms)),
        );
        self.service_arrivals.extend(std::iter::repeat_n(
            (at_ms, need),
            tasks.min(MAX_HEADROOM_TASKS),
        ));
    }

    /// Room that services of the near future may want before a machine could be up.
    fn service_headroom(&mut self, cluster: &ClusterState, wall_ms: u64) -> Vec<Resources> {
        let began = *self.observed_since_ms.get_or_insert(wall_ms);
        self.service_arrivals
            .retain(|(at, _)| at + ARRIVAL_WINDOW_MS > wall_ms);
        let window = wall_ms
            .saturating_sub(began)
            .clamp(30_000, ARRIVAL_WINDOW_MS) as f64
            / 1000.0;
        let boot_s = cluster
            .machine_types
            .iter()
            .map(|kind| kind.boot_s)
            .fold(f64::INFINITY, f64::min);
        if self.service_arrivals.is_empty() || !boot_s.is_finite() {
            return Vec::new();
        }
        let expected = |arrivals: usize, window: f64| {
            (arrivals as f64 / window * boot_s * 1.5).ceil() as usize
        };
        // All of them but those of the two parts on end that brought the most.
        let mut parts = [0; ARRIVAL_WINDOW_PARTS];
        for (at, _) in &self.service_arrivals {
            let age = wall_ms.saturating_sub(*at) as usize;
            parts[(age * ARRIVAL_WINDOW_PARTS / ARRIVAL_WINDOW_MS as usize)
                .min(ARRIVAL_WINDOW_PARTS - 1)] += 1;
        }
        let most: usize = parts
            .windows(2)
            .map(|two| two[0] + two[1])
            .max()
            .unwrap_or(0);
        let others = window * (ARRIVAL_WINDOW_PARTS - 2) as f64 / ARRIVAL_WINDOW_PARTS as f64;
        let steady = expected(self.service_arrivals.len() - most, others);
        let count =
            expected(self.service_arrivals.len(), window).min(steady.max(MAX_BURST_HEADROOM_TASKS));
        let mut needs: Vec<Resources> = self
            .service_arrivals
            .iter()
            .map(|(_, need)| *need)
            .collect();
        needs.sort_by(|a, b| b.cpus.total_cmp(&a.cpus));
        needs.truncate(count.min(MAX_HEADROOM_TASKS));
        needs
    }

    /// What to rent now, given what is under way.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub fn plan_scaling(
        &mut self,
        cluster: &ClusterState,
        under_way: &[InstanceRequest],
        now: Millis,
        wall_ms: u64,
    ) -> (Vec<InstanceRequest>, Vec<MachineIndex>) {
        self.unavailable_until.retain(|_, until| *until > now);
        let dark = find_partitioned_zones(cluster, now);
        let mut bins: Vec<PlannedMachine> = Vec::new();
        for machine in &cluster.machines {
            let room = match machine.state {
                MachineState::Booting if dark[machine.zone.as_usize()] => continue,
                MachineState::Booting if !machine.draining => cluster.free_resources(machine),
                MachineState::Up if machine.is_schedulable() => cluster.free_resources(machine),
                _ => continue,
            };
            bins.push(PlannedMachine {
                offer: Offer {
                    machine_type: machine.machine_type,
                    zone: machine.zone,
                    spot: machine.spot,
                },
                free: room,
                to_provision: false,
            });
        }
        for rental in under_way {
            for _ in 0..rental.count {
                bins.push(PlannedMachine {
                    offer: rental.offer,
                    free: capacity_of(cluster, rental.offer.machine_type),
                    to_provision: false,
                });
            }
        }
        let mut bins = PlannedFleet::new(cluster, bins, dark);
        self.fit_waiting_jobs(cluster, &mut bins, now, wall_ms);
        let spare = self.service_headroom(cluster, wall_ms);
        let mut missing = Vec::new();
        for need in &spare {
            match bins
                .machines
                .iter_mut()
                .find(|bin| !bin.offer.spot && need.fits_in(&bin.free))
            {
                Some(bin) => bin.free.sub(need),
                None => missing.push(*need),
            }
        }
        for need in missing {
            if let Some(bin) = bins
                .machines
                .iter_mut()
                .find(|bin| !bin.offer.spot && need.fits_in(&bin.free))
            {
                bin.free.sub(&need);
            } else if let Some(offer) =
                self.cheapest_offer(cluster, &bins, &need, u64::MAX, 1, false, false, |_| true)
            {
                bins.add(cluster, offer, &need);
            }
        }
        let mut wanted: HashMap<Offer, u32> = HashMap::new();
        for bin in bins.machines.iter().filter(|bin| bin.to_provision) {
            *wanted.entry(bin.offer).or_default() += 1;
        }
        let mut rentals: Vec<InstanceRequest> = wanted
            .into_iter()
            .map(|(offer, count)| InstanceRequest {
                offer,
                count: count.min(MAX_INSTANCES_PER_REQUEST),
            })
            .collect();
        // The largest first: few can be asked for at a time.
        rentals.sort_by_key(|rental| (std::cmp::Reverse(rental.count), rental.offer));
        let returns = if rentals.is_empty() {
            self.select_scale_in(cluster, &spare, now)
        } else {
            Vec::new()
        };
        (rentals, returns)
    }

    /// Puts what waits into the bins, and into new ones where need be: the most urgent first, for an
    /// array may want more machines than are asked for at once.
    fn fit_waiting_jobs(
        &self,
        cluster: &ClusterState,
        bins: &mut PlannedFleet,
        now: Millis,
        wall_ms: u64,
    ) {
        let mut jobs: Vec<QueueKey> = cluster
            .teams
            .iter()
            .flat_map(|team| team.queue.iter().copied())
            .collect();
        jobs.sort_unstable();
        let freed = CapacityForecast::new(cluster, now);
        let mut budgets: Vec<Resources> = cluster.teams.iter().map(|team| team.reserved).collect();
        // How many waiting tasks count on places that running tasks will leave in time.
        let mut spoken_for = 0;
        let mut unmet: Vec<&Job> = Vec::new();
        for (.., job) in jobs {
            let job = cluster.job(job);
            // Nothing is rented for a job that fails everywhere.
            if job.quarantined {
                continue;
            }
            let mut slots = job.waiting.len();
            if job.kind == JobKind::Array {
                // What found nothing finds nothing for those who ask for as much.
                let hopeless = |other: &&Job| {
                    other.requested.fits_in(&job.requested)
                        && job.allowed_types & !other.allowed_types == 0
                        && (other.spot || !job.spot)
                        && (!is_spot_only(other) || is_spot_only(job))
                };
                if bins.to_provision >= MAX_NEW_MACHINES_PER_PLAN || unmet.iter().any(hopeless) {
                    continue;
                }
                let window = remaining_slack_s(job, wall_ms) * SLACK_SAFETY_FACTOR;
                let places = freed.tasks_startable_within(job, window) as usize;
                let covered = slots.min(places.saturating_sub(spoken_for));
                spoken_for += covered;
                slots -= covered;
            }
            let limit = &cluster.teams[job.team.as_usize()].limit;
            let budget = &mut budgets[job.team.as_usize()];
            let mut by_zone = job.active_by_zone.clone();
            let mut from = 0;
            for _ in 0..slots {
                let mut asked = *budget;
                asked.add(&job.requested);
                if asked.cpus > limit.cpus + 1e-6 || asked.gpus > limit.gpus + 1e-6 {
                    break;
                }
                *budget = asked;
                let Some(zone) = self.fit_task(cluster, job, &by_zone, bins, &mut from) else {
                    if job.kind == JobKind::Array
                        && job.zone.is_none()
                        && !job.one_zone
                        && !job.spread
                    {
                        unmet.push(job);
                    }
                    break;
                };
                by_zone[zone.as_usize()] += 1;
            }
        }
    }

    /// Puts a task into a bin, a new one if need be; the zone it went to. The bins before `from` were
    /// too small for the job's earlier tasks, or in zones that are full of them.
    fn fit_task(
        &self,
        cluster: &ClusterState,
        job: &Job,
        by_zone: &[u32],
        bins: &mut PlannedFleet,
        from: &mut usize,
    ) -> Option<ZoneIndex> {
        let half = job.tasks.len().div_ceil(2) as u32;
        let zone_ok = |zone: ZoneIndex| {
            job.zone.is_none_or(|only| only == zone)
                && (!job.spread || by_zone[zone.as_usize()] < half)
                && (!job.one_zone
                    || by_zone
                        .iter()
                        .enumerate()
                        .all(|(other, &count)| count == 0 || other == zone.as_usize()))
        };
        let found = bins.machines[*from..].iter().position(|bin| {
            (!bin.offer.spot || job.spot)
                && job.allows_type(bin.offer.machine_type)
                && zone_ok(bin.offer.zone)
                && job.requested.fits_in(&bin.free)
        });
        if let Some(found) = found {
            *from += found;
            let bin = &mut bins.machines[*from];
            bin.free.sub(&job.requested);
            return Some(bin.offer.zone);
        }
        *from = bins.machines.len();
        if job.kind == JobKind::Array && bins.to_provision >= MAX_NEW_MACHINES_PER_PLAN {
            return None;
        }
        let offer = self.cheapest_offer(
            cluster,
            bins,
            &job.requested,
            job.allowed_types,
            job.waiting.len(),
            job.spot,
            is_spot_only(job),
            zone_ok,
        )?;
        bins.add(cluster, offer, &job.requested);
        Some(offer.zone)
    }

    /// The offer with the least price for each task that it would hold; among equals the zone
    /// with the fewest machines.
    #[allow(clippy::too_many_arguments)]
    fn cheapest_offer(
        &self,
        cluster: &ClusterState,
        bins: &PlannedFleet,
        need: &Resources,
        types: u64,
        tasks: usize,
        spot_allowed: bool,
        spot_only: bool,
        zone_ok: impl Fn(ZoneIndex) -> bool,
    ) -> Option<Offer> {
        let mut best: Option<(f64, usize, Offer)> = None;
        for (index, kind) in cluster.machine_types.iter().enumerate() {
            let type_ix = MachineTypeIndex(index as u32);
            let room = capacity_of(cluster, type_ix);
            if types & (1 << index) == 0 || !need.fits_in(&room) {
                continue;
            }
            let holds = [
                room.cpus / need.cpus,
                room.ram_gb / need.ram_gb,
                if need.gpus > 0.0 {
                    room.gpus / need.gpus
                } else {
                    f64::INFINITY
                },
            ]
            .into_iter()
            .fold(f64::INFINITY, f64::min)
            .floor()
            .max(1.0);
            let used = holds.min(tasks.max(1) as f64);
            for name in &kind.zones {
                let Some(zone) = cluster.zone_interner.get(name).map(ZoneIndex) else {
                    continue;
                };
                if !zone_ok(zone) || bins.partitioned_zones[zone.as_usize()] {
                    continue;
                }
                for spot in [false, true] {
                    let offer = Offer {
                        machine_type: type_ix,
                        zone,
                        spot,
                    };
                    if (spot && !spot_allowed)
                        || (!spot && spot_only)
                        || self.unavailable_until.contains_key(&offer)
                    {
                        continue;
                    }
                    let price = match kind.spot_price {
                        Some(price) if spot => price,
                        _ if spot => continue,
                        _ => kind.price,
                    };
                    let crowd = bins.machines_by_zone[zone.as_usize()];
                    let cost = price / used;
                    if best.is_none_or(|(least, few, _)| {
                        cost < least - 1e-9 || (cost < least + 1e-9 && crowd < few)
                    }) {
                        best = Some((cost, crowd, offer));
                    }
                }
            }
        }
        best.map(|(.., offer)| offer)
    }

    /// Machines that have stood empty long enough and are not needed as spare room.
    fn select_scale_in(
        &self,
        cluster: &ClusterState,
        spare: &[Resources],
        now: Millis,
    ) -> Vec<MachineIndex> {
        let mut returns: Vec<MachineIndex> = Vec::new();
        let mut leaving = vec![false; cluster.machines.len()];
        let mut empty: Vec<(bool, Millis, MachineIndex)> = cluster
            .machines
            .iter()
            .enumerate()
            .filter(|(_, machine)| {
                machine.state == MachineState::Up
                    && machine
                        .attempts
                        .iter()
                        .all(|attempt| cluster.is_acknowledged(attempt))
                    && (machine.draining
                        || (machine.idle_since + SCALE_IN_IDLE_MS <= now
                            && machine.provisioned_at + MIN_BILLED_MS <= now))
            })
            .map(|(index, machine)| {
                let boot = millis(cluster.machine_types[machine.machine_type.as_usize()].boot_s);
                (
                    !machine.draining,
                    machine.idle_since + boot,
                    MachineIndex(index as u32),
                )
            })
            .collect();
        empty.sort();
        for (.., index) in empty {
            let machine = cluster.machine(index);
            let mut rooms: Vec<Resources> = cluster
                .machines
                .iter()
                .enumerate()
                .filter(|(other, each)| {
                    *other != index.as_usize()
                        && each.is_schedulable()
                        && !each.spot
                        && !leaving[*other]
                })
                .map(|(_, each)| cluster.free_resources(each))
                .collect();
            let covered = machine.spot
                || machine.draining
                || spare.iter().all(|need| {
                    rooms
                        .iter_mut()
                        .find(|room| need.fits_in(room))
                        .map(|room| room.sub(need))
                        .is_some()
                });
            if covered {
                leaving[index.as_usize()] = true;
                returns.push(index);
            }
        }
        returns
    }
}

/// Zones most of whose machines are silent. What boots there can't be heard of either: while one was cut off
/// for a minute, most of what was rented came up in it and was of no use, as it had the fewest machines left.
fn find_partitioned_zones(cluster: &ClusterState, now: Millis) -> Vec<bool> {
    let mut zones = vec![(0, 0); cluster.zone_names.len()];
    for machine in &cluster.machines {
        let silent = match machine.state {
            // After a takeover the workers have to find their leader first.
            MachineState::Up
                if machine.last_heartbeat_at.is_none() && now < cluster.workers_expected_by =>
            {
                continue;
            }
            MachineState::Up => machine.unresponsive,
            MachineState::Lost => true,
            _ => continue,
        };
        let (dark, all) = &mut zones[machine.zone.as_usize()];
        *dark += usize::from(silent);
        *all += 1;
    }
    let dark =
        |(silent, all): (usize, usize)| silent >= MIN_UNRESPONSIVE_MACHINES && silent * 2 > all;
    zones.into_iter().map(dark).collect()
}

/// How long the job's tasks can wait for a place and still be on time: by its deadline, by what is aimed
/// at for its class, or by what those that need it need.
fn remaining_slack_s(job: &Job, wall_ms: u64) -> f64 {
    let waited = wall_ms.saturating_sub(job.released_ms) as f64 / 1000.0;
    let due = job
        .objective_slacks_s
        .first()
        .copied()
        .unwrap_or(NO_OBJECTIVE_SLACK_S);
    (due - waited).max(0.0)
}

/// Nothing is aimed at for the job, and it may run on spot machines: ordinary ones are not rented for it,
/// which cost several times as much.
fn is_spot_only(job: &Job) -> bool {
    job.kind == JobKind::Array && job.latest_placements_ms.is_empty() && job.spot
}

fn capacity_of(cluster: &ClusterState, type_ix: MachineTypeIndex) -> Resources {
    let kind = &cluster.machine_types[type_ix.as_usize()];
    Resources {
        cpus: kind.cpus,
        gpus: kind.gpus,
        ram_gb: kind.ram_gb,
    }
}

/// When running array tasks will leave their places, for those that offer alike.
struct FreeingCapacity {
    machine_type: MachineTypeIndex,
    spot: bool,
    released: Resources,
    /// Seconds from now, in order, and their sums from the start.
    remaining_s: Vec<f64>,
    cumulative_remaining_s: Vec<f64>,
}

/// The places that running array tasks will leave. Hundreds of jobs ask in one plan, so they are
/// sorted out once.
struct CapacityForecast {
    groups: Vec<FreeingCapacity>,
}

impl CapacityForecast {
    fn new(cluster: &ClusterState, now: Millis) -> Self {
        let mut index: HashMap<(MachineTypeIndex, bool, JobIndex), usize> = HashMap::new();
        let mut places: Vec<FreeingCapacity> = Vec::new();
        for machine in cluster
            .machines
            .iter()
            .filter(|machine| machine.is_schedulable())
        {
            for attempt in &machine.attempts {
                let job = cluster.job(attempt.job);
                if attempt.phase == Phase::Ended || job.kind != JobKind::Array {
                    continue;
                }
                let ran = attempt
                    .running_since
                    .map_or(0.0, |since| now.saturating_sub(since) as f64 / 1000.0);
                let key = (machine.machine_type, machine.spot, attempt.job);
                let at = *index.entry(key).or_insert_with(|| {
                    places.push(FreeingCapacity {
                        machine_type: machine.machine_type,
                        spot: machine.spot,
                        released: job.requested,
                        remaining_s: Vec::new(),
                        cumulative_remaining_s: Vec::new(),
                    });
                    places.len() - 1
                });
                let left = (job.estimate_s - ran).max(job.estimate_s * 0.25);
                places[at].remaining_s.push(left);
            }
        }
        for each in &mut places {
            each.remaining_s.sort_by(f64::total_cmp);
            let sums = each.remaining_s.iter().scan(0.0, |sum, left| {
                *sum += left;
                Some(*sum)
            });
            each.cumulative_remaining_s = sums.collect();
        }
        CapacityForecast { groups: places }
    }

    /// How many tasks of this job could be started within `window_s` in places that are left: one
    /// when it is left, and others after it in the time that remains.
    fn tasks_startable_within(&self, job: &Job, window_s: f64) -> f64 {
        if window_s <= 0.0 {
            return 0.0;
        }
        let suits = |each: &&FreeingCapacity| {
            (!each.spot || job.spot)
                && job.allows_type(each.machine_type)
                && job.requested.fits_in(&each.released)
        };
        let all = self.groups.iter().filter(suits).map(|each| {
            let count = each.remaining_s.partition_point(|left| *left < window_s);
            let sum = count
                .checked_sub(1)
                .map_or(0.0, |last| each.cumulative_remaining_s[last]);
            let count = count as f64;
            count + (count * window_s - sum) / job.estimate_s.max(1.0)
        });
        all.sum()
    }
}
