//! Who places next, where, and who has to give way.
//!
//! The design is that of "Fair Scheduling for Deep Learning Workloads in Kubernetes": a heap of
//! teams by booked units, each with its waiting tasks by priority, then age. `docs/design.md` says
//! what was kept and what was changed.

pub mod fair_share;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    ops::Bound,
};

use crate::{
    cluster::{
        Attempt, ClusterState, ESTIMATE_MARGIN, Job, JobIndex, Machine, MachineIndex, Phase,
        QueueKey, Resources, TeamIndex,
    },
    protocol::job::{JobKind, Priority},
    scheduling::fair_share::{FairShareLedger, WorkloadClass},
    time::{Millis, millis},
};

/// Seconds of an array task's work that a second of a replica's wait is worth.
const WORK_S_PER_REPLICA_WAIT_S: f64 = 12.0;
/// Seconds of an array task's work that an aim for its start is worth which the task is in time for.
const MISSED_START_COST_S: f64 = 30.0;
/// The same for an aim for its end: an array is done with its last task. At 30 s most arrays that ended late had
/// lost a task that had run for a minute or more to a replica that would have fetched its image otherwise.
const MISSED_COMPLETION_COST_S: f64 = 120.0;
/// The part of the time that an array can wait, and how long at the most, before others give way for it.
const PREEMPTION_PATIENCE_FRACTION: f64 = 0.25;
const MAX_PREEMPTION_PATIENCE_S: f64 = 4.0;
/// Machines fetch images at the rate of their type, give or take a third.
const FETCH_TIME_MARGIN: f64 = 1.33;
/// What a start takes besides.
const TASK_START_OVERHEAD_S: f64 = 0.2;
/// How long a job has waited when it takes what is left, and how many of a team's are looked at for that.
const LONG_WAIT_MS: Millis = 75_000;
const MAX_LONG_WAITING_JOBS_PER_TEAM: usize = 50;
/// How many placements one round may make before others get their turn.
const MAX_PLACEMENTS_PER_CYCLE: usize = 200;

/// Booked units as a heap key: thousandths, so that sums compare exactly.
fn to_milli_units(units: f64) -> i64 {
    (units * 1000.0).round() as i64
}

/// A team's place in the heap: the fewest booked units first. A team that has what it deserves lets
/// those go first that have not: with guarantees, equal counts are not what teams deserve, and room
/// freed for a starved team would go to the one that it was taken from.
fn team_heap_key(
    cluster: &ClusterState,
    team: TeamIndex,
    deserved: &[f64],
) -> (bool, i64, TeamIndex) {
    let booked = cluster.accounted_units(&cluster.teams[team.as_usize()].reserved);
    (
        booked + 1e-6 >= deserved[team.as_usize()],
        to_milli_units(booked),
        team,
    )
}

/// The units of all machines that can be used.
fn schedulable_capacity(cluster: &ClusterState) -> f64 {
    let usable = cluster
        .machines
        .iter()
        .filter(|machine| machine.is_schedulable());
    usable
        .map(|machine| {
            let kind = &cluster.machine_types[machine.machine_type.as_usize()];
            if cluster.shares_gpus() {
                kind.gpus
            } else {
                kind.cpus
            }
        })
        .sum()
}

/// What a task asked for that no machine had: nobody who asks for as much or more needs to look
/// again this round, for a round only takes room. Thousands of equal tasks share one look.
struct UnmetRequest {
    priority: Priority,
    requested: Resources,
    allowed_types: u64,
    spot: bool,
}

impl UnmetRequest {
    /// `None` where it was not for want of room alone.
    fn from_unplaced_job(job: &Job, cluster: &ClusterState, now: Millis) -> Option<Self> {
        let for_room = job.recently_failed_on.is_empty()
            && !job.quarantined
            && job.backoff_until <= now
            && cluster.teams[job.team.as_usize()].allows(&job.requested);
        UnmetRequest::from_unconstrained_job(job).filter(|_| for_room)
    }

    /// `None` for a job that can't go just anywhere.
    fn from_unconstrained_job(job: &Job) -> Option<Self> {
        let anywhere =
            job.kind == JobKind::Array && job.zone.is_none() && !job.one_zone && !job.spread;
        anywhere.then_some(UnmetRequest {
            priority: job.priority,
            requested: job.requested,
            allowed_types: job.allowed_types,
            spot: job.spot,
        })
    }

    /// Whether the job, an array, asks for as much or more.
    fn is_dominated_by(&self, job: &Job) -> bool {
        job.kind == JobKind::Array
            && self.requested.fits_in(&job.requested)
            && job.allowed_types & !self.allowed_types == 0
            && (self.spot || !job.spot)
    }

    /// `kept_for`: jobs for which room is kept from others of the same or a lower priority. What one of
    /// those others did not find may be there for them, and for who is more urgent.
    fn rules_out(&self, index: JobIndex, job: &Job, kept_for: &HashSet<JobIndex>) -> bool {
        let alike =
            kept_for.is_empty() || (self.priority <= job.priority && !kept_for.contains(&index));
        alike && self.is_dominated_by(job)
    }
}

/// The looks at machines of one round. An array's task goes where the one before it went, unless a
/// machine that got something since is better by now: within a round a machine only gets fuller, and
/// to an array a fuller one is better. So equal tasks share one look at all machines.
#[derive(Default)]
pub struct CandidateCache {
    cache_disabled: bool,
    /// How many machines were looked at.
    pub machines_scored: usize,
    /// The best machine for a job, and how many of `filled` that took in.
    best_by_job: HashMap<JobIndex, (MachineIndex, usize)>,
    /// Machines in the order in which something was placed on them.
    placed_on: Vec<MachineIndex>,
}

impl CandidateCache {
    /// CandidateCache at all machines for each task: what shared looks are held to.
    pub fn without_cache() -> Self {
        CandidateCache {
            cache_disabled: true,
            ..CandidateCache::default()
        }
    }

    /// The machine on which the task would start soonest, then the fullest one that has room.
    fn find_best_machine(
        &mut self,
        cluster: &ClusterState,
        job: JobIndex,
        task: u32,
        now: Millis,
    ) -> Option<MachineIndex> {
        let entry = cluster.job(job);
        let rate = |at: MachineIndex| {
            let machine = cluster.machine(at);
            let fits = cluster.can_place(entry, machine)
                && machine.avoid_until <= now
                && !cluster.is_reserved_for_other(job, machine, now)
                && !entry.is_avoiding(at, now);
            fits.then(|| (placement_score(cluster, entry, machine, now), at))
        };
        let free = |at: MachineIndex| !cluster.machine(at).has_attempt_of(job, task);
        if let Some(&(best, until)) = self.best_by_job.get(&job)
            && self.placed_on.len() - until < cluster.machines.len()
            && free(best)
            && let Some(mut least) = rate(best)
        {
            let filled = &self.placed_on[until..];
            self.machines_scored += 1 + filled.len();
            for other in filled.iter().filter(|at| free(**at)) {
                least = rate(*other).filter(|other| *other < least).unwrap_or(least);
            }
            self.best_by_job
                .insert(job, (least.1, self.placed_on.len()));
            return Some(least.1);
        }
        self.machines_scored += cluster.machines.len();
        let mut least: Option<(f64, MachineIndex)> = None;
        let mut held = false;
        for at in (0..cluster.machines.len() as u32).map(MachineIndex) {
            if let Some(found) = rate(at) {
                if !free(at) {
                    held = true;
                } else if least.is_none_or(|least| found < least) {
                    least = Some(found);
                }
            }
        }
        self.best_by_job.remove(&job);
        // Replicas keep away from each other, and a machine that still holds this task may take
        // the next.
        if let Some((_, best)) = least
            && entry.kind == JobKind::Array
            && !held
            && !self.cache_disabled
        {
            self.best_by_job.insert(job, (best, self.placed_on.len()));
        }
        least.map(|(_, at)| at)
    }
}

/// One allocation round: pops the team with the fewest booked units, places its first task,
/// reshuffles. A job that fits nowhere, or whose team is at its limit, sits this round out; a team
/// without another job leaves the heap. Returns how many tasks were placed.
pub fn run_scheduling_cycle(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareLedger,
    now: Millis,
) -> usize {
    run_scheduling_cycle_with(cluster, fair_share, now, &mut CandidateCache::default())
}

/// A round that tells of its looks.
pub fn run_scheduling_cycle_with(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareLedger,
    now: Millis,
    looks: &mut CandidateCache,
) -> usize {
    let capacity = schedulable_capacity(cluster);
    let deserved = compute_deserved_shares(cluster, capacity);
    fair_share.update(cluster, now, capacity, &deserved);
    let mut placed = place_starved_classes(cluster, fair_share, now, looks);
    let behind = fair_share.starved_classes();
    let mut heap: BinaryHeap<_> = (0..cluster.teams.len() as u32)
        .map(TeamIndex)
        .filter(|team| !cluster.teams[team.as_usize()].queue.is_empty())
        .map(|team| Reverse(team_heap_key(cluster, team, &deserved)))
        .collect();
    // Where each team's queue goes on: whoever came before sits this round out. Searching from the
    // start for each task took a square of the queue's length.
    let mut from: Vec<Option<QueueKey>> = vec![None; cluster.teams.len()];
    let kept = cluster
        .machines
        .iter()
        .filter_map(|machine| machine.reserved_for);
    let kept_for: HashSet<JobIndex> = kept
        .filter(|(_, until)| now < *until)
        .map(|(job, _)| job)
        .collect();
    let mut full: Vec<UnmetRequest> = Vec::new();
    // The most urgent array that found no room.
    let mut pressing: Option<Priority> = None;
    while let Some(Reverse((_, _, team))) = heap.pop() {
        let after = from[team.as_usize()].map_or(Bound::Unbounded, Bound::Excluded);
        let queue = &cluster.teams[team.as_usize()].queue;
        let mut found = None;
        for key in queue.range((after, Bound::Unbounded)) {
            let entry = cluster.job(key.2);
            if fair_share.would_be_preempted(entry, now) {
                continue;
            }
            if !full
                .iter()
                .any(|wish| wish.rules_out(key.2, entry, &kept_for))
            {
                found = Some(*key);
                break;
            }
            note_blocked_array(&mut pressing, entry, now);
        }
        let Some(key) = found else {
            continue;
        };
        let job = key.2;
        if cluster.job(job).kind == JobKind::Gang {
            match find_gang_placement(cluster, job, now) {
                Some(places) => {
                    placed += places.len();
                    for (task, machine) in places {
                        cluster.place(job, task, machine, now);
                        looks.placed_on.push(machine);
                    }
                }
                None => from[team.as_usize()] = Some(key),
            }
            heap.push(Reverse(team_heap_key(cluster, team, &deserved)));
            continue;
        }
        let entry = cluster.job(job);
        let task = entry.waiting.first().copied();
        let ready = entry.backoff_until <= now
            && entry.placeable_tasks() > 0
            && cluster.teams[team.as_usize()].allows(&entry.requested);
        let target = task.filter(|_| ready).and_then(|task| {
            let plain = looks.find_best_machine(cluster, job, task, now);
            if entry.kind != JobKind::Service {
                return Some((task, plain?, Vec::new()));
            }
            match plain
                .filter(|at| meets_start_objective(cluster, entry, cluster.machine(*at), now))
            {
                Some(machine) => Some((task, machine, Vec::new())),
                None => find_replica_placement(cluster, job, task, plain, now, looks),
            }
        });
        match target {
            Some((task, machine, victims)) => {
                for at in victims {
                    let attempt = &cluster.machine(machine).attempts[at];
                    let (loser, to) = (cluster.job(attempt.job), cluster.job(job).id);
                    let task = loser.task_id(attempt.task);
                    let ran_s = elapsed_run_s(attempt, now) as u64;
                    tracing::info!(%task, %to, reason = "Image", ran_s, "gives way");
                    let flow = WorkloadClass::of_job(loser);
                    fair_share.status_mut(flow).attempts_preempted += 1;
                    cluster.request_stop(machine, at, 0.0);
                }
                cluster.place(job, task, machine, now);
                looks.placed_on.push(machine);
                placed += 1;
                if !behind.is_empty() && !behind.contains(&WorkloadClass::of_job(cluster.job(job)))
                {
                    let units = cluster.accounted_units(&cluster.job(job).requested);
                    fair_share.earn_credit(units, fair_share::STARVED_SHARE_FRACTION * capacity);
                }
            }
            None => {
                let entry = cluster.job(job);
                if task.is_some() && ready {
                    note_blocked_array(&mut pressing, entry, now);
                }
                full.extend(UnmetRequest::from_unplaced_job(entry, cluster, now));
                from[team.as_usize()] = Some(key);
            }
        }
        if placed >= MAX_PLACEMENTS_PER_CYCLE {
            cluster.scheduling_needed = true;
            break;
        }
        heap.push(Reverse(team_heap_key(cluster, team, &deserved)));
    }
    if let Some(priority) = pressing {
        fair_share.note_blocked_arrays(priority, now);
    }
    placed + place_long_waiting_on_slow_machines(cluster, now)
}

/// Puts what has waited for long, and found nothing else, on machines that are to be replaced for being slow: as long as
/// they have other work they are not replaced, and late is better than never.
fn place_long_waiting_on_slow_machines(cluster: &mut ClusterState, now: Millis) -> usize {
    let slow =
        |machine: &Machine| machine.draining && !machine.faulty && machine.can_receive_commands();
    let machines = cluster.machines.iter().zip(0..);
    let slow: Vec<MachineIndex> = machines
        .filter(|(machine, _)| slow(machine))
        .map(|(_, at)| MachineIndex(at))
        .collect();
    if slow.is_empty() {
        return 0;
    }
    let queues = cluster
        .teams
        .iter()
        .flat_map(|team| team.queue.iter().take(MAX_LONG_WAITING_JOBS_PER_TEAM));
    let jobs = queues.map(|(.., job)| *job);
    let jobs: Vec<JobIndex> = jobs
        .filter(|job| cluster.job(*job).first_seen_at + LONG_WAIT_MS <= now)
        .collect();
    let mut placed = 0;
    for job in jobs {
        for &on in &slow {
            loop {
                let (entry, machine) = (cluster.job(job), cluster.machine(on));
                let team = &cluster.teams[entry.team.as_usize()];
                let Some(&task) = entry.waiting.first() else {
                    break;
                };
                if entry.kind == JobKind::Gang
                    || entry.backoff_until > now
                    || entry.placeable_tasks() == 0
                    || !team.allows(&entry.requested)
                    || !cluster.is_feasible(entry, machine)
                    || machine.avoid_until > now
                    || entry.is_avoiding(on, now)
                    || machine.has_attempt_of(job, task)
                {
                    break;
                }
                cluster.place(job, task, on, now);
                placed += 1;
            }
        }
    }
    placed
}

/// LeaderLog that an array found no room: others will have to give way for it before long. Whether it can still wait
/// is not asked: a successor takes all jobs for new, and started 4,500 tasks that it stopped 4 s later.
fn note_blocked_array(pressing: &mut Option<Priority>, job: &Job, now: Millis) {
    if job.kind == JobKind::Array && !job.quarantined && job.backoff_until <= now {
        *pressing = Some(pressing.map_or(job.priority, |known| known.min(job.priority)));
    }
}

/// Gives those that are behind their due their part of the room that others have got.
fn place_starved_classes(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareLedger,
    now: Millis,
    looks: &mut CandidateCache,
) -> usize {
    let mut placed = 0;
    for flow in fair_share.starved_classes() {
        let jobs: Vec<JobIndex> = fair_share::placeable_jobs_of(cluster, flow, now)
            .take(MAX_PLACEMENTS_PER_CYCLE)
            .map(|(.., job)| job)
            .collect();
        let mut full: Vec<UnmetRequest> = Vec::new();
        for job in jobs {
            let need = cluster.job(job).requested;
            let entry = cluster.job(job);
            if full
                .iter()
                .any(|wish| wish.rules_out(job, entry, &HashSet::new()))
            {
                continue;
            }
            while fair_share.credit() > 0.0 && placed < MAX_PLACEMENTS_PER_CYCLE {
                let entry = cluster.job(job);
                let Some(&task) = entry.waiting.first() else {
                    break;
                };
                if entry.placeable_tasks() == 0
                    || !cluster.teams[entry.team.as_usize()].allows(&need)
                {
                    break;
                }
                let Some(machine) = looks.find_best_machine(cluster, job, task, now) else {
                    full.extend(UnmetRequest::from_unplaced_job(
                        cluster.job(job),
                        cluster,
                        now,
                    ));
                    break;
                };
                cluster.place_for_fair_share(job, task, machine, now);
                looks.placed_on.push(machine);
                fair_share.spend_credit(cluster.accounted_units(&need));
                placed += 1;
            }
        }
    }
    placed
}

/// Places for all waiting tasks of a gang, or none: it is popped whole or not at all.
fn find_gang_placement(
    cluster: &ClusterState,
    job: JobIndex,
    now: Millis,
) -> Option<Vec<(u32, MachineIndex)>> {
    let entry = cluster.job(job);
    let mut whole = Resources::default();
    for _ in &entry.waiting {
        whole.add(&entry.requested);
    }
    if entry.backoff_until > now || !cluster.teams[entry.team.as_usize()].allows(&whole) {
        return None;
    }
    let half = entry.tasks.len().div_ceil(2);
    let try_zone = |only: Option<usize>| {
        let mut rooms: Vec<Resources> = cluster
            .machines
            .iter()
            .map(|m| cluster.free_resources(m))
            .collect();
        let mut by_zone = entry.active_by_zone.clone();
        let mut places = Vec::new();
        for &task in &entry.waiting {
            let (at, machine) = cluster.machines.iter().enumerate().find(|(at, machine)| {
                cluster.can_place(entry, machine)
                    && machine.avoid_until <= now
                    && !machine.has_attempt_of(job, task)
                    && only.is_none_or(|zone| zone == machine.zone.as_usize())
                    && (!entry.spread || (by_zone[machine.zone.as_usize()] as usize) < half)
                    && entry.requested.fits_in(&rooms[*at])
            })?;
            rooms[at].sub(&entry.requested);
            by_zone[machine.zone.as_usize()] += 1;
            places.push((task, MachineIndex(at as u32)));
        }
        Some(places)
    };
    if entry.one_zone {
        (0..cluster.zone_names.len()).find_map(|zone| try_zone(Some(zone)))
    } else {
        try_zone(None)
    }
}

/// Whether a task that is aimed to start soon would do so there, for all that its image takes. One
/// that is late anyway takes what there is.
fn meets_start_objective(
    cluster: &ClusterState,
    job: &Job,
    machine: &Machine,
    now: Millis,
) -> bool {
    let Some(within) = cluster.objectives[job.class.as_usize()].tightest_start_s() else {
        return true;
    };
    let left = within - now.saturating_sub(job.first_seen_at) as f64 / 1000.0;
    let fetch_s = image_fetch_s(cluster, job, machine);
    left < 0.0 || fetch_s == 0.0 || fetch_s * FETCH_TIME_MARGIN + TASK_START_OVERHEAD_S <= left
}

/// A place for a replica on a machine that has its image, where work of lower priority is stopped
/// for it; failing that, `plain`, the place that was too far from it.
fn find_replica_placement(
    cluster: &ClusterState,
    job: JobIndex,
    task: u32,
    plain: Option<MachineIndex>,
    now: Millis,
    looks: &mut CandidateCache,
) -> Option<(u32, MachineIndex, Vec<usize>)> {
    let entry = cluster.job(job);
    let mut best: Option<(f64, MachineIndex, Vec<usize>)> = None;
    looks.machines_scored += cluster.machines.len();
    for (index, machine) in cluster.machines.iter().enumerate() {
        let index = MachineIndex(index as u32);
        if !machine.is_schedulable()
            || machine.avoid_until > now
            || (machine.spot && !entry.spot)
            || !entry.allows_type(machine.machine_type)
            || !entry.allows_zone(machine.zone)
            || machine.has_attempt_of(job, task)
            || !machine.has_image(entry.image)
        {
            continue;
        }
        let mut losers: Vec<(Priority, f64, usize)> = machine
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| {
                matches!(attempt.phase, Phase::Fetching | Phase::Running)
                    && attempt.stop_grace_s.is_none()
            })
            .filter_map(|(at, attempt)| {
                let loser = cluster.job(attempt.job);
                (loser.priority > entry.priority && loser.kind != JobKind::Gang).then(|| {
                    (
                        loser.priority,
                        immediate_stop_cost_s(cluster, attempt, now),
                        at,
                    )
                })
            })
            .collect();
        losers.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        let mut room = cluster.free_resources(machine);
        let mut cost = 0.0;
        let mut chosen = Vec::new();
        for (_, lost, at) in losers {
            if entry.requested.fits_in(&room) {
                break;
            }
            room.add(&cluster.job(machine.attempts[at].job).requested);
            cost += lost;
            chosen.push(at);
        }
        let better = best.as_ref().is_none_or(|(least, ..)| cost < *least);
        if entry.requested.fits_in(&room) && better {
            best = Some((cost, index, chosen));
        }
    }
    // Where it fits without harm but would fetch its image first, the wait must be worth the work.
    let worth = plain.map_or(f64::INFINITY, |machine| {
        image_fetch_s(cluster, entry, cluster.machine(machine)) * WORK_S_PER_REPLICA_WAIT_S
    });
    match best {
        Some((cost, machine, victims)) if cost <= worth => Some((task, machine, victims)),
        _ => plain.map(|machine| (task, machine, Vec::new())),
    }
}

/// What it costs to stop the attempt at once, in seconds of its work.
fn immediate_stop_cost_s(cluster: &ClusterState, attempt: &Attempt, now: Millis) -> f64 {
    let job = cluster.job(attempt.job);
    let ran = elapsed_run_s(attempt, now);
    let lost = if job.checkpoint_s > 0.0 {
        ran % job.checkpoint_s
    } else {
        ran
    };
    lost + missed_objective_cost_s(cluster, attempt, now)
}

/// How long the attempt has run.
fn elapsed_run_s(attempt: &Attempt, now: Millis) -> f64 {
    let ran = attempt.running_since.map(|since| now.saturating_sub(since));
    ran.map_or(0.0, |ran| ran as f64 / 1000.0)
}

/// What the aims are worth that the attempt is in time for and another one, begun now, would not be. A start
/// that is undone this soon was none for the user.
fn missed_objective_cost_s(cluster: &ClusterState, attempt: &Attempt, now: Millis) -> f64 {
    const RECENT_START_S: f64 = 30.0;
    let job = cluster.job(attempt.job);
    let since = |at: Millis| at.saturating_sub(job.first_seen_at) as f64 / 1000.0;
    let (placed, again, ran) = (
        since(attempt.placed_at),
        since(now),
        elapsed_run_s(attempt, now),
    );
    let starts = &cluster.objectives[job.class.as_usize()].start_s;
    let starts = if ran < RECENT_START_S {
        &starts[..]
    } else {
        &[]
    };
    let starts = starts
        .iter()
        .filter(|wait| placed <= **wait && again > **wait);
    // It takes as long as was estimated, or as it has run, if that is longer. Of work that is saved another
    // attempt needs the rest only.
    let usual = job.estimate_s * ESTIMATE_MARGIN;
    let over = if job.checkpoint_s > 0.0 {
        0.0
    } else {
        (ran - usual).max(0.0)
    };
    let ends = job
        .completion_slacks_s
        .iter()
        .filter(|wait| placed <= **wait && again < **wait + usual && again + over > **wait);
    let owed = if attempt.placed_for_fair_share {
        MISSED_START_COST_S
    } else {
        0.0
    };
    MISSED_START_COST_S * starts.count() as f64
        + MISSED_COMPLETION_COST_S * ends.count() as f64
        + owed
}

/// How long the job's image takes to get there.
fn image_fetch_s(cluster: &ClusterState, job: &Job, machine: &Machine) -> f64 {
    if machine.has_image(job.image) {
        return 0.0;
    }
    let kind = &cluster.machine_types[machine.machine_type.as_usize()];
    let shared = machine
        .attempts
        .iter()
        .filter(|a| a.phase <= Phase::Fetching)
        .any(|a| cluster.job(a.job).image == job.image);
    let whole = job.image_gb / kind.fetch_gb_per_s.max(0.01);
    if shared { whole * 0.5 } else { whole }
}

/// Lower is better; in seconds, or what is held to be worth as much.
fn placement_score(cluster: &ClusterState, job: &Job, machine: &Machine, now: Millis) -> f64 {
    let kind = &cluster.machine_types[machine.machine_type.as_usize()];
    let fetch_s = image_fetch_s(cluster, job, machine);
    let room = cluster.free_resources(machine);
    let left = if cluster.shares_gpus() && kind.gpus > 0.0 {
        (room.gpus - job.requested.gpus) / kind.gpus
    } else {
        (room.cpus - job.requested.cpus) / kind.cpus.max(1.0)
    };
    // Ordinary machines are kept for work that may run nowhere else.
    let borrowed = if job.spot && !machine.spot { 3.0 } else { 0.0 };
    // Replicas of a service are spread further than they must be: a lost zone then takes fewer.
    let crowd = if job.kind == JobKind::Service {
        0.3 * f64::from(job.active_by_zone[machine.zone.as_usize()])
    } else {
        0.0
    };
    // Arrays can wait for an image; what they pay for is machines that never empty out.
    let (fetching, packing, late) = match job.kind {
        JobKind::Array | JobKind::Gang => (0.3, 3.0, 2.0),
        JobKind::Service => (1.0, 1.0, 6.0),
    };
    let late = if meets_start_objective(cluster, job, machine, now) {
        0.0
    } else {
        late
    };
    fetching * fetch_s + packing * left + borrowed + crowd + late
}

/// What each team deserves now: its guarantee and an equal split of the rest, capped by its demand
/// and its limit. What a cap leaves over is split again.
pub fn compute_deserved_shares(cluster: &ClusterState, capacity: f64) -> Vec<f64> {
    let caps: Vec<f64> = cluster
        .teams
        .iter()
        .map(|team| {
            let waiting: f64 = team
                .queue
                .iter()
                .map(|&(_, _, job)| {
                    let job = cluster.job(job);
                    cluster.accounted_units(&job.requested) * job.placeable_tasks() as f64
                })
                .sum();
            let demand = cluster.accounted_units(&team.reserved) + waiting;
            demand.min(cluster.accounted_units(&team.limit))
        })
        .collect();
    let mut shares: Vec<f64> = cluster
        .teams
        .iter()
        .zip(&caps)
        .map(|(team, cap)| cluster.accounted_units(&team.guarantee).min(*cap))
        .collect();
    let mut rest = capacity - shares.iter().sum::<f64>();
    while rest > 1e-6 {
        let open: Vec<usize> = (0..shares.len())
            .filter(|&team| shares[team] + 1e-6 < caps[team])
            .collect();
        if open.is_empty() {
            break;
        }
        let each = rest / open.len() as f64;
        for team in open {
            let gain = each.min(caps[team] - shares[team]);
            shares[team] += gain;
            rest -= gain;
        }
    }
    shares
}

/// Why a running task has to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreemptionReason {
    /// A starved team's task takes a place beyond what the victim's team deserves.
    Share,
    /// A job of higher priority.
    Priority,
}

/// PreemptionScope waiting tasks others give way for at one check. Who is waited for sooner is checked for more
/// often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PreemptionScope {
    Services,
    /// Services, and jobs with an aim that they can still meet.
    WithObjective,
    All,
}

impl PreemptionScope {
    fn includes(self, job: &Job) -> bool {
        // A gang waits for room of its own; nobody is stopped for a part of it.
        job.kind != JobKind::Gang
            && match self {
                PreemptionScope::Services => job.kind == JobKind::Service,
                PreemptionScope::WithObjective => {
                    job.kind == JobKind::Service || !job.latest_placements_ms.is_empty()
                }
                PreemptionScope::All => true,
            }
    }
}

/// Whether an array can still do without work that has aims of its own giving way: tasks end all the
/// time, and the teams that have least get their places first. Those that were stopped at once had mostly
/// just been placed.
fn can_wait_for_completions(cluster: &ClusterState, job: &Job, now: Millis) -> bool {
    if job.kind == JobKind::Service {
        return false;
    }
    let tightest = job
        .objective_slacks_s
        .first()
        .copied()
        .unwrap_or(f64::INFINITY);
    let tightest = tightest.min(cluster.guarantee_objective_s.unwrap_or(f64::INFINITY));
    let patience = (PREEMPTION_PATIENCE_FRACTION * tightest).min(MAX_PREEMPTION_PATIENCE_S);
    now < job.first_seen_at + millis(patience)
}

#[derive(Clone, Debug, PartialEq)]
pub struct PreemptionVictim {
    /// The job that is to have its place.
    pub beneficiary: JobIndex,
    pub machine: MachineIndex,
    pub attempt_index: usize,
    pub reason: PreemptionReason,
}

/// The trial fit. For each team with waiting work that fits nowhere: would it fit if the excess of
/// over-share teams, or work of lower priority, were stopped? Only then are those tasks named.
pub fn select_preemptions(
    cluster: &ClusterState,
    now: Millis,
    whose: PreemptionScope,
) -> Vec<PreemptionVictim> {
    let waits = |&(_, _, job): &QueueKey| whose.includes(cluster.job(job));
    if !cluster
        .teams
        .iter()
        .any(|team| team.queue.iter().any(waits))
    {
        return Vec::new();
    }
    let deserved = compute_deserved_shares(cluster, schedulable_capacity(cluster));
    let booked: Vec<f64> = cluster
        .teams
        .iter()
        .map(|team| cluster.accounted_units(&team.reserved))
        .collect();
    let mut excess: Vec<f64> = booked
        .iter()
        .zip(&deserved)
        .map(|(booked, share)| (booked - share).max(0.0))
        .collect();
    let mut beyond: Vec<f64> = cluster
        .teams
        .iter()
        .zip(&booked)
        .map(|(team, booked)| booked - cluster.accounted_units(&team.guarantee))
        .collect();
    let mut order: Vec<usize> = (0..cluster.teams.len()).collect();
    order.sort_by_key(|&team| to_milli_units(booked[team]));
    // Room on each machine, with what already has to stop counted as free.
    let mut rooms: Vec<Resources> = cluster
        .machines
        .iter()
        .map(|machine| {
            let mut room = cluster.free_resources(machine);
            for attempt in &machine.attempts {
                if attempt.stop_grace_s.is_some() && attempt.phase != Phase::Ended {
                    room.add(&cluster.job(attempt.job).requested);
                }
            }
            room
        })
        .collect();
    let mut taken: HashSet<(MachineIndex, usize)> = HashSet::new();
    let mut victims = Vec::new();
    for team in order {
        // Beyond its guarantee a team waits for what others return: the protocol lets nobody stop
        // work of the same or a higher priority for more than a guarantee.
        let guarantee = cluster.accounted_units(&cluster.teams[team].guarantee);
        let mut hope = deserved[team].min(guarantee) - booked[team];
        let mut budget = cluster.teams[team].reserved;
        let mut vain: Vec<FailedPreemption> = Vec::new();
        for &(_, _, job) in &cluster.teams[team].queue {
            let entry = cluster.job(job);
            // A gang waits for room of its own; nobody is stopped for a part of it.
            // Nobody gives way for a job that fails everywhere.
            if entry.backoff_until > now || entry.quarantined || !whose.includes(entry) {
                continue;
            }
            let units = cluster.accounted_units(&entry.requested);
            let patient = can_wait_for_completions(cluster, entry, now);
            if vain
                .iter()
                .any(|other| other.rules_out(entry, patient, units <= hope + 1e-6))
            {
                continue;
            }
            let mut trial = PreemptionTrial {
                cluster,
                job_index: job,
                job: entry,
                team: TeamIndex(team as u32),
                can_wait: patient,
                starved: units <= hope + 1e-6,
                free_by_machine: &mut rooms,
                excess_by_team: &mut excess,
                beyond_guarantee_by_team: &mut beyond,
                chosen_victims: &mut taken,
                now,
            };
            let mut places = trial.candidate_machines();
            for _ in 0..entry.waiting.len().min(MAX_PLACEMENTS_PER_CYCLE) {
                let mut asked = budget;
                asked.add(&entry.requested);
                let limit = &cluster.teams[team].limit;
                if asked.cpus > limit.cpus + 1e-6 || asked.gpus > limit.gpus + 1e-6 {
                    break;
                }
                trial.starved = units <= hope + 1e-6;
                let Some(chosen) = trial.choose_victims(&mut places) else {
                    vain.extend(FailedPreemption::from_failed_trial(
                        entry,
                        patient,
                        trial.starved,
                    ));
                    break;
                };
                budget = asked;
                hope -= units;
                victims.extend(chosen);
            }
        }
    }
    victims
}

/// What a team has to stop for its use to come down by `excess`: the least urgent and what loses least first, gangs
/// whole. What already has to stop counts.
pub fn select_stops_over_limit(
    cluster: &ClusterState,
    team: TeamIndex,
    excess: &Resources,
    now: Millis,
) -> Vec<(MachineIndex, usize)> {
    let (mut cpus, mut gpus) = (excess.cpus, excess.gpus);
    let mut running = Vec::new();
    for (number, machine) in cluster.machines.iter().enumerate() {
        for (at, attempt) in machine.attempts.iter().enumerate() {
            let job = cluster.job(attempt.job);
            if job.team != team || attempt.phase == Phase::Ended {
                continue;
            }
            if attempt.stop_grace_s.is_some() {
                cpus -= job.requested.cpus;
                gpus -= job.requested.gpus;
                continue;
            }
            let lost = graceful_stop_cost_s(cluster, attempt, now);
            running.push((job.priority, lost, MachineIndex(number as u32), at));
        }
    }
    running.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
    let mut stopped: Vec<(MachineIndex, usize)> = Vec::new();
    let mut gangs: HashSet<JobIndex> = HashSet::new();
    let attempt_of = |machine: MachineIndex, at: usize| &cluster.machine(machine).attempts[at];
    for &(.., machine, at) in &running {
        let index = attempt_of(machine, at).job;
        let job = cluster.job(index);
        let helps =
            cpus > 1e-6 && job.requested.cpus > 0.0 || gpus > 1e-6 && job.requested.gpus > 0.0;
        if !helps || gangs.contains(&index) {
            continue;
        }
        let mut parts = vec![(machine, at)];
        if job.kind == JobKind::Gang {
            gangs.insert(index);
            let of_gang = running.iter().map(|&(.., machine, at)| (machine, at));
            parts = of_gang
                .filter(|&(machine, at)| attempt_of(machine, at).job == index)
                .collect();
        }
        cpus -= job.requested.cpus * parts.len() as f64;
        gpus -= job.requested.gpus * parts.len() as f64;
        stopped.extend(parts);
    }
    stopped
}

/// A trial in which nobody could give way: it ends alike for those of the team's jobs that ask for as much or
/// more, since a check only takes room. A look at all machines for each of 5000 single tasks took seconds.
struct FailedPreemption {
    request: UnmetRequest,
    can_wait: bool,
    starved: bool,
}

impl FailedPreemption {
    /// `None` where it was not for want of room alone.
    fn from_failed_trial(job: &Job, patient: bool, starved: bool) -> Option<Self> {
        let wish = UnmetRequest::from_unconstrained_job(job)?;
        Some(FailedPreemption {
            request: wish,
            can_wait: patient,
            starved,
        })
    }

    fn rules_out(&self, job: &Job, patient: bool, starved: bool) -> bool {
        (patient || !self.can_wait)
            && (self.starved || !starved)
            && self.request.priority <= job.priority
            && self.request.is_dominated_by(job)
    }
}

/// What is lost if the attempt is told to stop now, in seconds of one task.
fn graceful_stop_cost_s(cluster: &ClusterState, attempt: &Attempt, now: Millis) -> f64 {
    let job = cluster.job(attempt.job);
    let lost = if job.checkpoint_s > 0.0 {
        // It saves when it is stopped.
        job.save_s
    } else {
        elapsed_run_s(attempt, now)
    };
    lost + missed_objective_cost_s(cluster, attempt, now)
}

/// The trial fit of one job's tasks.
struct PreemptionTrial<'a> {
    cluster: &'a ClusterState,
    job_index: JobIndex,
    job: &'a Job,
    team: TeamIndex,
    /// It can still wait for work with aims to end by itself.
    can_wait: bool,
    /// A further task would still be within what its team deserves and is guaranteed.
    starved: bool,
    /// Room on each machine.
    free_by_machine: &'a mut [Resources],
    /// What each team has beyond what it deserves.
    excess_by_team: &'a mut [f64],
    /// What each team has beyond its guarantee.
    beyond_guarantee_by_team: &'a mut [f64],
    chosen_victims: &'a mut HashSet<(MachineIndex, usize)>,
    now: Millis,
}

/// A machine on which a task would fit, and what that would cost in thousandths of a second.
type CandidateMachine = Reverse<(u64, MachineIndex)>;

impl PreemptionTrial<'_> {
    /// All machines on which a task would fit. Equal tasks share the look at them.
    fn candidate_machines(&self) -> BinaryHeap<CandidateMachine> {
        let machines = (0..self.cluster.machines.len() as u32).map(MachineIndex);
        machines
            .filter_map(|at| {
                self.evaluate_machine(at)
                    .map(|(cost, _)| Reverse((cost, at)))
            })
            .collect()
    }

    /// Who gives way for the next task, on the machine where that costs least. Earlier choices make a
    /// place dearer or impossible, never cheaper but where they left room.
    fn choose_victims(
        &mut self,
        places: &mut BinaryHeap<CandidateMachine>,
    ) -> Option<Vec<PreemptionVictim>> {
        while let Some(Reverse((known, at))) = places.pop() {
            let Some((cost, chosen)) = self.evaluate_machine(at) else {
                continue;
            };
            if cost > known {
                places.push(Reverse((cost, at)));
                continue;
            }
            for victim in &chosen {
                let attempt = &self.cluster.machine(at).attempts[victim.attempt_index];
                let loser = self.cluster.job(attempt.job);
                self.free_by_machine[at.as_usize()].add(&loser.requested);
                let units = self.cluster.accounted_units(&loser.requested);
                self.excess_by_team[loser.team.as_usize()] -= units;
                self.beyond_guarantee_by_team[loser.team.as_usize()] -= units;
                self.chosen_victims.insert((at, victim.attempt_index));
            }
            self.free_by_machine[at.as_usize()].sub(&self.job.requested);
            if let Some((cost, _)) = self.evaluate_machine(at) {
                places.push(Reverse((cost, at)));
            }
            return Some(chosen);
        }
        None
    }

    /// Who would have to give way for a task on this machine, and what that costs.
    fn evaluate_machine(&self, index: MachineIndex) -> Option<(u64, Vec<PreemptionVictim>)> {
        let (cluster, job, machine) = (self.cluster, self.job, self.cluster.machine(index));
        if !machine.is_schedulable()
            || machine.avoid_until > self.now
            || (machine.spot && !job.spot)
            || !job.allows_type(machine.machine_type)
            || !job.allows_zone(machine.zone)
        {
            return None;
        }
        let mut room = self.free_by_machine[index.as_usize()];
        if job.requested.fits_in(&room) {
            // It fits without anybody giving way, or will as soon as what was stopped has ended.
            return Some((0, Vec::new()));
        }
        let mut candidates: Vec<(Priority, f64, usize, PreemptionReason)> = machine
            .attempts
            .iter()
            .enumerate()
            .filter(|(at, attempt)| {
                attempt.phase != Phase::Ended
                    && attempt.stop_grace_s.is_none()
                    && cluster.job(attempt.job).kind != JobKind::Gang
                    && !self.chosen_victims.contains(&(index, *at))
            })
            .filter_map(|(at, attempt)| {
                let loser = cluster.job(attempt.job);
                // What its class was owed it keeps: otherwise it would be owed again at once.
                if attempt.placed_for_fair_share && job.kind != JobKind::Service {
                    return None;
                }
                // Replicas have no such times; they are the last to be taken for work without aims.
                if self.can_wait
                    && (loser.kind == JobKind::Service || !loser.latest_placements_ms.is_empty())
                {
                    return None;
                }
                let over = self.excess_by_team[loser.team.as_usize()] + 1e-6
                    >= cluster.accounted_units(&loser.requested);
                // A task with an aim of its own gives way to arrays once: a guest's swarm of small tasks
                // was stopped up to 35 times each, and ended too late.
                let spent = job.kind != JobKind::Service
                    && !loser.latest_placements_ms.is_empty()
                    && attempt.attempt > 1;
                // What a team runs within its guarantee it takes back at the next check: an array of
                // another team that took it for its priority lost it again, and both began anew each
                // second.
                let units = cluster.accounted_units(&loser.requested);
                let guaranteed = job.kind != JobKind::Service
                    && loser.team != self.team
                    && self.beyond_guarantee_by_team[loser.team.as_usize()] + 1e-6 < units;
                let reason = if loser.priority > job.priority && !spent && !guaranteed {
                    PreemptionReason::Priority
                } else if self.starved && loser.team != self.team && over {
                    PreemptionReason::Share
                } else {
                    return None;
                };
                let lost = graceful_stop_cost_s(cluster, attempt, self.now);
                Some((loser.priority, lost, at, reason))
            })
            .collect();
        candidates.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        // What each team has lost in this trial.
        let mut lost_by: Vec<(TeamIndex, f64)> = Vec::new();
        let mut chosen = Vec::new();
        let mut cost = 0.0;
        for (_, lost, at, reason) in candidates {
            let loser = cluster.job(machine.attempts[at].job);
            let units = cluster.accounted_units(&loser.requested);
            let gone: f64 = lost_by
                .iter()
                .filter(|(team, _)| *team == loser.team)
                .map(|(_, units)| units)
                .sum();
            if reason == PreemptionReason::Share
                && self.excess_by_team[loser.team.as_usize()] - gone + 1e-6 < units
            {
                continue;
            }
            lost_by.push((loser.team, units));
            room.add(&loser.requested);
            cost += lost + 1.0;
            chosen.push(PreemptionVictim {
                beneficiary: self.job_index,
                machine: index,
                attempt_index: at,
                reason,
            });
            if job.requested.fits_in(&room) {
                break;
            }
        }
        if !job.requested.fits_in(&room) {
            return None;
        }
        if !machine.has_image(job.image) {
            let rate = cluster.machine_types[machine.machine_type.as_usize()].fetch_gb_per_s;
            cost += job.image_gb / rate.max(0.01);
        }
        Some(((cost * 1000.0) as u64, chosen))
    }
}
