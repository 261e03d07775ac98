//! The autoscaler: decides which machines to provision and which idle machines to release.

use std::collections::HashMap;

use crate::{
    cluster::{
        ClusterState, Job, JobIndex, MachineIndex, MachineState, MachineTypeIndex, Phase, QueueKey,
        Resources, ZoneIndex,
    },
    protocol::job::JobKind,
    time::{Millis, millis},
};

/// A kind of machine that the cloud offers: a machine type in a zone, as a spot or an on-demand machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// The machine type.
    pub machine_type: MachineTypeIndex,
    /// The zone.
    pub zone: ZoneIndex,
    /// Whether the machine is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
}

/// A request to the cloud for new machines of one kind.
#[derive(Clone, Debug)]
pub struct InstanceRequest {
    /// The kind of machine.
    pub offer: Offer,
    /// The number of machines.
    pub count: u32,
}

/// The age from which an idle machine may be released. The cloud bills at least a minute; a machine that is
/// selected a little earlier is deleted when that minute is over.
const MIN_BILLED_MS: Millis = 57_000;
/// How long an idle machine is kept, since the next job may use it.
const SCALE_IN_IDLE_MS: Millis = 12_000;
/// How long an offer is not requested again after the cloud had too few machines for a request.
const UNAVAILABLE_OFFER_BACKOFF_MS: Millis = 20_000;
/// The fraction of a job's slack that the forecast counts on, as run-time estimates are often too low.
const SLACK_SAFETY_FACTOR: f64 = 0.5;
/// The slack assumed for an array without objectives: how long it waits for running tasks to free capacity before
/// machines are provisioned for it.
const NO_OBJECTIVE_SLACK_S: f64 = 60.0;
/// The most machines in one request to the cloud.
const MAX_INSTANCES_PER_REQUEST: u32 = 50;
/// The period over which arriving service tasks are counted.
const ARRIVAL_WINDOW_MS: Millis = 120_000;
/// The most service tasks that headroom is kept for because of one burst. Headroom for more tasks needs
/// arrivals in other parts of the window too: when a deployment starts, thousands arrive at the same time and no
/// more follow. This must not limit the headroom as a whole: with that limit, one replica in ten waited for a
/// machine in normal operation of 1,213 machines, where 140 replicas arrive while a machine boots.
const MAX_BURST_HEADROOM_TASKS: usize = 64;
/// The number of equal parts of the arrival window in which bursts are detected.
const ARRIVAL_WINDOW_PARTS: usize = 8;
/// The most service tasks that headroom is kept for. Each plan searches a machine for each of them.
const MAX_HEADROOM_TASKS: usize = 2048;
/// The number of unresponsive machines from which on their zone can count as partitioned.
const MIN_UNRESPONSIVE_MACHINES: usize = 3;
/// The number of new machines in one plan from which on none is added for arrays: only a few requests are in
/// flight at a time, and the next plan is computed from scratch.
const MAX_NEW_MACHINES_PER_PLAN: usize = 100;

/// The autoscaler's memory between plans.
#[derive(Default)]
pub struct Autoscaler {
    /// Offers for which the cloud had too few machines, and until when they are not requested again.
    unavailable_until: HashMap<Offer, Millis>,
    /// Recently arrived service tasks: their arrival times, in milliseconds of the time of day, and resource
    /// requests. A new leader restores them from the jobs' records; without them the headroom was released
    /// after each takeover.
    service_arrivals: Vec<(u64, Resources)>,
    /// When the counting of arrivals began, in milliseconds of the time of day.
    observed_since_ms: Option<u64>,
}

/// A machine that is up, booting, requested, or to be provisioned by this plan.
struct PlannedMachine {
    offer: Offer,
    free: Resources,
    to_provision: bool,
}

/// The machines of a plan.
struct PlannedFleet {
    machines: Vec<PlannedMachine>,
    /// The number of machines in each zone.
    machines_by_zone: Vec<usize>,
    /// The number of machines to provision.
    to_provision: usize,
    /// For each zone, whether it seems to be partitioned from this node.
    partitioned_zones: Vec<bool>,
}

impl PlannedFleet {
    fn new(
        cluster: &ClusterState,
        planned_machines: Vec<PlannedMachine>,
        partitioned: Vec<bool>,
    ) -> Self {
        let mut counts_by_zone = vec![0; cluster.zone_names.len()];
        for machine in &planned_machines {
            counts_by_zone[machine.offer.zone.as_usize()] += 1;
        }
        PlannedFleet {
            machines: planned_machines,
            machines_by_zone: counts_by_zone,
            to_provision: 0,
            partitioned_zones: partitioned,
        }
    }

    /// Adds a machine to provision, with `need` of it taken by a task.
    fn add(&mut self, cluster: &ClusterState, offer: Offer, need: &Resources) {
        let mut remaining = capacity_of(cluster, offer.machine_type);
        remaining.sub(need);
        self.machines_by_zone[offer.zone.as_usize()] += 1;
        self.to_provision += 1;
        self.machines.push(PlannedMachine {
            offer,
            free: remaining,
            to_provision: true,
        });
    }
}

impl Autoscaler {
    /// Records that the cloud had too few machines for a request. The offer is not requested again for 20 seconds.
    pub fn mark_unavailable(&mut self, offer: Offer, now: Millis) {
        self.unavailable_until
            .insert(offer, now + UNAVAILABLE_OFFER_BACKOFF_MS);
    }

    /// Records the arrival of a service whose `tasks` tasks each request `need`, at `at_ms` of the time of day.
    /// Headroom is kept for the services that follow.
    pub fn record_service_arrival(&mut self, need: Resources, tasks: usize, at_ms: u64) {
        self.observed_since_ms = Some(
            self.observed_since_ms
                .map_or(at_ms, |since_ms| since_ms.min(at_ms)),
        );
        self.service_arrivals.extend(std::iter::repeat_n(
            (at_ms, need),
            tasks.min(MAX_HEADROOM_TASKS),
        ));
    }

    /// The resource requests of the service tasks that are expected to arrive while a machine boots.
    fn service_headroom(&mut self, cluster: &ClusterState, wall_ms: u64) -> Vec<Resources> {
        let observed_since_ms = *self.observed_since_ms.get_or_insert(wall_ms);
        self.service_arrivals
            .retain(|(at_ms, _)| at_ms + ARRIVAL_WINDOW_MS > wall_ms);
        let window_s = wall_ms
            .saturating_sub(observed_since_ms)
            .clamp(30_000, ARRIVAL_WINDOW_MS) as f64
            / 1000.0;
        let boot_s = cluster
            .machine_types
            .iter()
            .map(|machine_type| machine_type.boot_s)
            .fold(f64::INFINITY, f64::min);
        if self.service_arrivals.is_empty() || !boot_s.is_finite() {
            return Vec::new();
        }
        let expected_arrivals = |arrivals: usize, window_s: f64| {
            (arrivals as f64 / window_s * boot_s * 1.5).ceil() as usize
        };
        // The steady rate leaves out the two adjacent parts of the window with the most arrivals.
        let mut parts = [0; ARRIVAL_WINDOW_PARTS];
        for (at_ms, _) in &self.service_arrivals {
            let age_ms = wall_ms.saturating_sub(*at_ms) as usize;
            parts[(age_ms * ARRIVAL_WINDOW_PARTS / ARRIVAL_WINDOW_MS as usize)
                .min(ARRIVAL_WINDOW_PARTS - 1)] += 1;
        }
        let burst_arrivals: usize = parts
            .windows(2)
            .map(|pair| pair[0] + pair[1])
            .max()
            .unwrap_or(0);
        let steady_window_s =
            window_s * (ARRIVAL_WINDOW_PARTS - 2) as f64 / ARRIVAL_WINDOW_PARTS as f64;
        let steady_tasks = expected_arrivals(
            self.service_arrivals.len() - burst_arrivals,
            steady_window_s,
        );
        let task_count = expected_arrivals(self.service_arrivals.len(), window_s)
            .min(steady_tasks.max(MAX_BURST_HEADROOM_TASKS));
        let mut needs: Vec<Resources> = self
            .service_arrivals
            .iter()
            .map(|(_, need)| *need)
            .collect();
        needs.sort_by(|a, b| b.cpus.total_cmp(&a.cpus));
        needs.truncate(task_count.min(MAX_HEADROOM_TASKS));
        needs
    }

    /// Plans which machines to request now, given the requests that are in flight, and which machines to release.
    /// None is released while any is requested. `now` is the monotonic time, `wall_ms` the time of day.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    pub fn plan_scaling(
        &mut self,
        cluster: &ClusterState,
        requests_in_flight: &[InstanceRequest],
        now: Millis,
        wall_ms: u64,
    ) -> (Vec<InstanceRequest>, Vec<MachineIndex>) {
        self.unavailable_until.retain(|_, until| *until > now);
        let partitioned_zones = find_partitioned_zones(cluster, now);
        let mut machines: Vec<PlannedMachine> = Vec::new();
        for machine in &cluster.machines {
            let available = match machine.state {
                MachineState::Booting if partitioned_zones[machine.zone.as_usize()] => continue,
                MachineState::Booting if !machine.draining => cluster.free_resources(machine),
                MachineState::Up if machine.is_schedulable() => cluster.free_resources(machine),
                _ => continue,
            };
            machines.push(PlannedMachine {
                offer: Offer {
                    machine_type: machine.machine_type,
                    zone: machine.zone,
                    spot: machine.spot,
                },
                free: available,
                to_provision: false,
            });
        }
        for request in requests_in_flight {
            for _ in 0..request.count {
                machines.push(PlannedMachine {
                    offer: request.offer,
                    free: capacity_of(cluster, request.offer.machine_type),
                    to_provision: false,
                });
            }
        }
        let mut fleet = PlannedFleet::new(cluster, machines, partitioned_zones);
        self.fit_waiting_jobs(cluster, &mut fleet, now, wall_ms);
        let headroom = self.service_headroom(cluster, wall_ms);
        let mut unassigned = Vec::new();
        for need in &headroom {
            match fleet
                .machines
                .iter_mut()
                .find(|machine| !machine.offer.spot && need.fits_in(&machine.free))
            {
                Some(machine) => machine.free.sub(need),
                None => unassigned.push(*need),
            }
        }
        for need in unassigned {
            if let Some(machine) = fleet
                .machines
                .iter_mut()
                .find(|machine| !machine.offer.spot && need.fits_in(&machine.free))
            {
                machine.free.sub(&need);
            } else if let Some(offer) =
                self.cheapest_offer(cluster, &fleet, &need, u64::MAX, 1, false, false, |_| true)
            {
                fleet.add(cluster, offer, &need);
            }
        }
        let mut counts_by_offer: HashMap<Offer, u32> = HashMap::new();
        for machine in fleet.machines.iter().filter(|machine| machine.to_provision) {
            *counts_by_offer.entry(machine.offer).or_default() += 1;
        }
        let mut requests: Vec<InstanceRequest> = counts_by_offer
            .into_iter()
            .map(|(offer, count)| InstanceRequest {
                offer,
                count: count.min(MAX_INSTANCES_PER_REQUEST),
            })
            .collect();
        // The largest requests come first, as only a few can be in flight at a time.
        requests.sort_by_key(|request| (std::cmp::Reverse(request.count), request.offer));
        let released = if requests.is_empty() {
            self.select_scale_in(cluster, &headroom, now)
        } else {
            Vec::new()
        };
        (requests, released)
    }

    /// Assigns waiting tasks to machines of the plan, and adds machines where none fits. The most urgent jobs
    /// come first, since an array may need more machines than one plan requests.
    fn fit_waiting_jobs(
        &self,
        cluster: &ClusterState,
        fleet: &mut PlannedFleet,
        now: Millis,
        wall_ms: u64,
    ) {
        let mut jobs: Vec<QueueKey> = cluster
            .teams
            .iter()
            .flat_map(|team| team.queue.iter().copied())
            .collect();
        jobs.sort_unstable();
        let forecast = CapacityForecast::new(cluster, now);
        let mut reserved: Vec<Resources> = cluster.teams.iter().map(|team| team.reserved).collect();
        // The number of waiting tasks that count on capacity that running tasks will free in time.
        let mut deferred_tasks = 0;
        let mut unplaced: Vec<&Job> = Vec::new();
        for (.., job) in jobs {
            let job = cluster.job(job);
            // No machine is provisioned for a job that fails on every machine.
            if job.quarantined {
                continue;
            }
            let mut task_count = job.waiting.len();
            if job.kind == JobKind::Array {
                // If no machine fits an earlier job, none fits a job with at least the same requirements.
                let rules_out = |other: &&Job| {
                    other.requested.fits_in(&job.requested)
                        && job.allowed_types & !other.allowed_types == 0
                        && (other.spot || !job.spot)
                        && (!is_spot_only(other) || is_spot_only(job))
                };
                if fleet.to_provision >= MAX_NEW_MACHINES_PER_PLAN || unplaced.iter().any(rules_out)
                {
                    continue;
                }
                let window_s = remaining_slack_s(job, wall_ms) * SLACK_SAFETY_FACTOR;
                let startable = forecast.tasks_startable_within(job, window_s) as usize;
                let deferred = task_count.min(startable.saturating_sub(deferred_tasks));
                deferred_tasks += deferred;
                task_count -= deferred;
            }
            let limit = &cluster.teams[job.team.as_usize()].limit;
            let team_reserved = &mut reserved[job.team.as_usize()];
            let mut tasks_by_zone = job.active_by_zone.clone();
            let mut first_machine = 0;
            for _ in 0..task_count {
                let mut increased = *team_reserved;
                increased.add(&job.requested);
                if increased.cpus > limit.cpus + 1e-6 || increased.gpus > limit.gpus + 1e-6 {
                    break;
                }
                *team_reserved = increased;
                let Some(zone) =
                    self.fit_task(cluster, job, &tasks_by_zone, fleet, &mut first_machine)
                else {
                    if job.kind == JobKind::Array
                        && job.zone.is_none()
                        && !job.one_zone
                        && !job.spread
                    {
                        unplaced.push(job);
                    }
                    break;
                };
                tasks_by_zone[zone.as_usize()] += 1;
            }
        }
    }

    /// Assigns a task to a machine of the plan, or to an added one if none fits, and returns its zone. The
    /// search begins at position `first_machine`: the machines before it had too little free capacity for the
    /// job's earlier tasks, or were in zones that already ran as many of its tasks as allowed.
    fn fit_task(
        &self,
        cluster: &ClusterState,
        job: &Job,
        tasks_by_zone: &[u32],
        fleet: &mut PlannedFleet,
        first_machine: &mut usize,
    ) -> Option<ZoneIndex> {
        let zone_limit = job.tasks.len().div_ceil(2) as u32;
        let allows_zone = |zone: ZoneIndex| {
            job.zone.is_none_or(|required_zone| required_zone == zone)
                && (!job.spread || tasks_by_zone[zone.as_usize()] < zone_limit)
                && (!job.one_zone
                    || tasks_by_zone
                        .iter()
                        .enumerate()
                        .all(|(other, &count)| count == 0 || other == zone.as_usize()))
        };
        let position = fleet.machines[*first_machine..].iter().position(|machine| {
            (!machine.offer.spot || job.spot)
                && job.allows_type(machine.offer.machine_type)
                && allows_zone(machine.offer.zone)
                && job.requested.fits_in(&machine.free)
        });
        if let Some(position) = position {
            *first_machine += position;
            let machine = &mut fleet.machines[*first_machine];
            machine.free.sub(&job.requested);
            return Some(machine.offer.zone);
        }
        *first_machine = fleet.machines.len();
        if job.kind == JobKind::Array && fleet.to_provision >= MAX_NEW_MACHINES_PER_PLAN {
            return None;
        }
        let offer = self.cheapest_offer(
            cluster,
            fleet,
            &job.requested,
            job.allowed_types,
            job.waiting.len(),
            job.spot,
            is_spot_only(job),
            allows_zone,
        )?;
        fleet.add(cluster, offer, &job.requested);
        Some(offer.zone)
    }

    /// The offer with the lowest price per task that a machine would run; among offers with equal prices,
    /// the one in the zone with the fewest machines. `allowed_types` has a bit for each allowed machine type.
    #[allow(clippy::too_many_arguments)]
    fn cheapest_offer(
        &self,
        cluster: &ClusterState,
        fleet: &PlannedFleet,
        need: &Resources,
        allowed_types: u64,
        tasks: usize,
        spot_allowed: bool,
        spot_only: bool,
        allows_zone: impl Fn(ZoneIndex) -> bool,
    ) -> Option<Offer> {
        let mut best: Option<(f64, usize, Offer)> = None;
        for (index, machine_type) in cluster.machine_types.iter().enumerate() {
            let type_index = MachineTypeIndex(index as u32);
            let capacity = capacity_of(cluster, type_index);
            if allowed_types & (1 << index) == 0 || !need.fits_in(&capacity) {
                continue;
            }
            let tasks_per_machine = [
                capacity.cpus / need.cpus,
                capacity.ram_gb / need.ram_gb,
                if need.gpus > 0.0 {
                    capacity.gpus / need.gpus
                } else {
                    f64::INFINITY
                },
            ]
            .into_iter()
            .fold(f64::INFINITY, f64::min)
            .floor()
            .max(1.0);
            let tasks_run = tasks_per_machine.min(tasks.max(1) as f64);
            for name in &machine_type.zones {
                let Some(zone) = cluster.zone_interner.get(name).map(ZoneIndex) else {
                    continue;
                };
                if !allows_zone(zone) || fleet.partitioned_zones[zone.as_usize()] {
                    continue;
                }
                for spot in [false, true] {
                    let offer = Offer {
                        machine_type: type_index,
                        zone,
                        spot,
                    };
                    if (spot && !spot_allowed)
                        || (!spot && spot_only)
                        || self.unavailable_until.contains_key(&offer)
                    {
                        continue;
                    }
                    let price = match machine_type.spot_price {
                        Some(price) if spot => price,
                        _ if spot => continue,
                        _ => machine_type.price,
                    };
                    let machines_in_zone = fleet.machines_by_zone[zone.as_usize()];
                    let cost = price / tasks_run;
                    if best.is_none_or(|(lowest_cost, fewest_machines, _)| {
                        cost < lowest_cost - 1e-9
                            || (cost < lowest_cost + 1e-9 && machines_in_zone < fewest_machines)
                    }) {
                        best = Some((cost, machines_in_zone, offer));
                    }
                }
            }
        }
        best.map(|(.., offer)| offer)
    }

    /// The machines that have been idle long enough, or are draining and idle, and are not needed as headroom.
    fn select_scale_in(
        &self,
        cluster: &ClusterState,
        headroom: &[Resources],
        now: Millis,
    ) -> Vec<MachineIndex> {
        let mut released: Vec<MachineIndex> = Vec::new();
        let mut is_released = vec![false; cluster.machines.len()];
        let mut idle_machines: Vec<(bool, Millis, MachineIndex)> = cluster
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
                let boot_ms = millis(cluster.machine_types[machine.machine_type.as_usize()].boot_s);
                (
                    !machine.draining,
                    machine.idle_since + boot_ms,
                    MachineIndex(index as u32),
                )
            })
            .collect();
        idle_machines.sort();
        for (.., index) in idle_machines {
            let machine = cluster.machine(index);
            let mut free_by_machine: Vec<Resources> = cluster
                .machines
                .iter()
                .enumerate()
                .filter(|(other, other_machine)| {
                    *other != index.as_usize()
                        && other_machine.is_schedulable()
                        && !other_machine.spot
                        && !is_released[*other]
                })
                .map(|(_, other_machine)| cluster.free_resources(other_machine))
                .collect();
            let is_spare = machine.spot
                || machine.draining
                || headroom.iter().all(|need| {
                    free_by_machine
                        .iter_mut()
                        .find(|free| need.fits_in(free))
                        .map(|free| free.sub(need))
                        .is_some()
                });
            if is_spare {
                is_released[index.as_usize()] = true;
                released.push(index);
            }
        }
        released
    }
}

/// For each zone, whether more than half of its machines are unresponsive. Machines that boot there can't
/// reach this node either. While a zone was partitioned for a minute, most new machines were provisioned in it
/// and could not be used, because the zone had the fewest remaining machines.
fn find_partitioned_zones(cluster: &ClusterState, now: Millis) -> Vec<bool> {
    let mut counts_by_zone = vec![(0, 0); cluster.zone_names.len()];
    for machine in &cluster.machines {
        let is_unresponsive = match machine.state {
            // After a takeover the workers have to discover the new leader first.
            MachineState::Up
                if machine.last_heartbeat_at.is_none() && now < cluster.workers_expected_by =>
            {
                continue;
            }
            MachineState::Up => machine.unresponsive,
            MachineState::Lost => true,
            _ => continue,
        };
        let (unresponsive, total) = &mut counts_by_zone[machine.zone.as_usize()];
        *unresponsive += usize::from(is_unresponsive);
        *total += 1;
    }
    let is_partitioned = |(unresponsive, total): (usize, usize)| {
        unresponsive >= MIN_UNRESPONSIVE_MACHINES && unresponsive * 2 > total
    };
    counts_by_zone.into_iter().map(is_partitioned).collect()
}

/// The seconds that the job's tasks can still wait and meet the tightest of its objectives: those of its class, its
/// deadline, and those inherited from the jobs that depend on it.
fn remaining_slack_s(job: &Job, wall_ms: u64) -> f64 {
    let waited_s = wall_ms.saturating_sub(job.released_ms) as f64 / 1000.0;
    let slack_s = job
        .objective_slacks_s
        .first()
        .copied()
        .unwrap_or(NO_OBJECTIVE_SLACK_S);
    (slack_s - waited_s).max(0.0)
}

/// Whether only spot machines are provisioned for the job: an array without objectives that may run on them.
/// On-demand machines cost several times as much.
fn is_spot_only(job: &Job) -> bool {
    job.kind == JobKind::Array && job.latest_placements_ms.is_empty() && job.spot
}

/// The capacity of a machine of a type.
fn capacity_of(cluster: &ClusterState, type_index: MachineTypeIndex) -> Resources {
    let machine_type = &cluster.machine_types[type_index.as_usize()];
    Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        ram_gb: machine_type.ram_gb,
    }
}

/// When running array tasks of one job will free their capacity on machines of one type, spot or not.
struct FreeingCapacity {
    machine_type: MachineTypeIndex,
    spot: bool,
    /// The capacity that each task frees.
    released: Resources,
    /// The estimated remaining run times of the tasks in seconds, ascending.
    remaining_s: Vec<f64>,
    /// The prefix sums of `remaining_s`.
    cumulative_remaining_s: Vec<f64>,
}

/// The capacity that running array tasks will free. It is computed once for each plan, since hundreds of jobs
/// query it.
struct CapacityForecast {
    groups: Vec<FreeingCapacity>,
}

impl CapacityForecast {
    fn new(cluster: &ClusterState, now: Millis) -> Self {
        let mut group_indices: HashMap<(MachineTypeIndex, bool, JobIndex), usize> = HashMap::new();
        let mut freeing_groups: Vec<FreeingCapacity> = Vec::new();
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
                let ran_s = attempt
                    .running_since
                    .map_or(0.0, |since| now.saturating_sub(since) as f64 / 1000.0);
                let key = (machine.machine_type, machine.spot, attempt.job);
                let group_index = *group_indices.entry(key).or_insert_with(|| {
                    freeing_groups.push(FreeingCapacity {
                        machine_type: machine.machine_type,
                        spot: machine.spot,
                        released: job.requested,
                        remaining_s: Vec::new(),
                        cumulative_remaining_s: Vec::new(),
                    });
                    freeing_groups.len() - 1
                });
                let left_s = (job.estimate_s - ran_s).max(job.estimate_s * 0.25);
                freeing_groups[group_index].remaining_s.push(left_s);
            }
        }
        for group in &mut freeing_groups {
            group.remaining_s.sort_by(f64::total_cmp);
            let sums = group.remaining_s.iter().scan(0.0, |sum, left_s| {
                *sum += left_s;
                Some(*sum)
            });
            group.cumulative_remaining_s = sums.collect();
        }
        CapacityForecast {
            groups: freeing_groups,
        }
    }

    /// How many tasks of this job could start within `window_s` seconds on capacity that running tasks free: for
    /// each of these, one task when it ends and more in sequence in the rest of the window.
    fn tasks_startable_within(&self, job: &Job, window_s: f64) -> f64 {
        if window_s <= 0.0 {
            return 0.0;
        }
        let is_usable = |group: &&FreeingCapacity| {
            (!group.spot || job.spot)
                && job.allows_type(group.machine_type)
                && job.requested.fits_in(&group.released)
        };
        let task_counts = self.groups.iter().filter(is_usable).map(|group| {
            let count = group
                .remaining_s
                .partition_point(|left_s| *left_s < window_s);
            let sum = count
                .checked_sub(1)
                .map_or(0.0, |last| group.cumulative_remaining_s[last]);
            let count = count as f64;
            count + (count * window_s - sum) / job.estimate_s.max(1.0)
        });
        task_counts.sum()
    }
}
