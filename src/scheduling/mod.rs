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
        Amounts, Attempt, Books, ESTIMATE_MARGIN, Job, JobIx, Machine, MachineIx, Phase, QueueKey,
        TeamIx,
    },
    protocol::job::{Kind, Priority},
    time::{Millis, millis},
};

/// Seconds of an array task's work that a second of a replica's wait is worth.
const WORK_FOR_WAIT: f64 = 12.0;
/// Seconds of an array task's work that an aim for its start is worth which the task is in time for.
const SPOILED_S: f64 = 30.0;
/// The same for an aim for its end: an array is done with its last task. At 30 s most arrays that ended late had
/// lost a task that had run for a minute or more to a replica that would have fetched its image otherwise.
const SPOILED_END_S: f64 = 120.0;
/// The part of the time that an array can wait, and how long at the most, before others give way for it.
const PATIENCE: f64 = 0.25;
const PATIENCE_S: f64 = 4.0;
/// Machines fetch images at the rate of their type, give or take a third.
const FETCH_VARIES: f64 = 1.33;
/// What a start takes besides.
const START_S: f64 = 0.2;
/// How long a job has waited when it takes what is left, and how many of a team's are looked at for that.
const WAITED: Millis = 75_000;
const AT_LAST: usize = 50;
/// How many placements one round may make before others get their turn.
const ROUND: usize = 200;

/// Booked units as a heap key: thousandths, so that sums compare exactly.
fn key(units: f64) -> i64 {
    (units * 1000.0).round() as i64
}

/// A team's place in the heap: the fewest booked units first. A team that has what it deserves lets
/// those go first that have not: with guarantees, equal counts are not what teams deserve, and room
/// freed for a starved team would go to the one that it was taken from.
fn turn(books: &Books, team: TeamIx, deserved: &[f64]) -> (bool, i64, TeamIx) {
    let booked = books.units(&books.teams[team.at()].booked);
    (booked + 1e-6 >= deserved[team.at()], key(booked), team)
}

/// The units of all machines that can be used.
fn capacity(books: &Books) -> f64 {
    let usable = books.machines.iter().filter(|machine| machine.usable());
    usable
        .map(|machine| {
            let kind = &books.types[machine.type_ix.at()];
            if books.by_gpus() {
                kind.gpus
            } else {
                kind.cpus
            }
        })
        .sum()
}

/// What a task asked for that no machine had: nobody who asks for as much or more needs to look
/// again this round, for a round only takes room. Thousands of equal tasks share one look.
struct Wish {
    priority: Priority,
    need: Amounts,
    types: u64,
    spot: bool,
}

impl Wish {
    /// `None` where it was not for want of room alone.
    fn of(job: &Job, books: &Books, now: Millis) -> Option<Self> {
        let for_room = job.failed_on.is_empty()
            && !job.at_fault
            && job.not_before <= now
            && books.teams[job.team.at()].allows(&job.need);
        Wish::anywhere(job).filter(|_| for_room)
    }

    /// `None` for a job that can't go just anywhere.
    fn anywhere(job: &Job) -> Option<Self> {
        let anywhere =
            job.kind == Kind::Array && job.zone.is_none() && !job.one_zone && !job.spread;
        anywhere.then_some(Wish {
            priority: job.priority,
            need: job.need,
            types: job.types,
            spot: job.spot,
        })
    }

    /// Whether the job, an array, asks for as much or more.
    fn asks_less(&self, job: &Job) -> bool {
        job.kind == Kind::Array
            && self.need.fits_in(&job.need)
            && job.types & !self.types == 0
            && (self.spot || !job.spot)
    }

    /// `kept_for`: jobs for which room is kept from others of the same or a lower priority. What one of
    /// those others did not find may be there for them, and for who is more urgent.
    fn covers(&self, index: JobIx, job: &Job, kept_for: &HashSet<JobIx>) -> bool {
        let alike =
            kept_for.is_empty() || (self.priority <= job.priority && !kept_for.contains(&index));
        alike && self.asks_less(job)
    }
}

/// The looks at machines of one round. An array's task goes where the one before it went, unless a
/// machine that got something since is better by now: within a round a machine only gets fuller, and
/// to an array a fuller one is better. So equal tasks share one look at all machines.
#[derive(Default)]
pub struct Looks {
    plain: bool,
    /// How many machines were looked at.
    pub count: usize,
    /// The best machine for a job, and how many of `filled` that took in.
    known: HashMap<JobIx, (MachineIx, usize)>,
    /// Machines in the order in which something was placed on them.
    filled: Vec<MachineIx>,
}

impl Looks {
    /// Looks at all machines for each task: what shared looks are held to.
    pub fn plain() -> Self {
        Looks {
            plain: true,
            ..Looks::default()
        }
    }

    /// The machine on which the task would start soonest, then the fullest one that has room.
    fn best(&mut self, books: &Books, job: JobIx, task: u32, now: Millis) -> Option<MachineIx> {
        let entry = books.job(job);
        let rate = |at: MachineIx| {
            let machine = books.machine(at);
            let fits = books.fits(entry, machine)
                && machine.avoid_until <= now
                && !books.kept_from(job, machine, now)
                && !entry.avoids(at, now);
            fits.then(|| (score(books, entry, machine, now), at))
        };
        let free = |at: MachineIx| !books.machine(at).holds(job, task);
        if let Some(&(best, until)) = self.known.get(&job)
            && self.filled.len() - until < books.machines.len()
            && free(best)
            && let Some(mut least) = rate(best)
        {
            let filled = &self.filled[until..];
            self.count += 1 + filled.len();
            for other in filled.iter().filter(|at| free(**at)) {
                least = rate(*other).filter(|other| *other < least).unwrap_or(least);
            }
            self.known.insert(job, (least.1, self.filled.len()));
            return Some(least.1);
        }
        self.count += books.machines.len();
        let mut least: Option<(f64, MachineIx)> = None;
        let mut held = false;
        for at in (0..books.machines.len() as u32).map(MachineIx) {
            if let Some(found) = rate(at) {
                if !free(at) {
                    held = true;
                } else if least.is_none_or(|least| found < least) {
                    least = Some(found);
                }
            }
        }
        self.known.remove(&job);
        // Replicas keep away from each other, and a machine that still holds this task may take
        // the next.
        if let Some((_, best)) = least
            && entry.kind == Kind::Array
            && !held
            && !self.plain
        {
            self.known.insert(job, (best, self.filled.len()));
        }
        least.map(|(_, at)| at)
    }
}

/// One allocation round: pops the team with the fewest booked units, places its first task,
/// reshuffles. A job that fits nowhere, or whose team is at its limit, sits this round out; a team
/// without another job leaves the heap. Returns how many tasks were placed.
pub fn round(books: &mut Books, now: Millis) -> usize {
    allocate(books, now, &mut Looks::default())
}

/// A round that tells of its looks.
pub fn allocate(books: &mut Books, now: Millis, looks: &mut Looks) -> usize {
    let capacity = capacity(books);
    let deserved = deserved(books, capacity);
    books.look_at_dues(now, capacity, &deserved);
    let mut placed = catch_up(books, now, looks);
    let behind = books.dues.behind();
    let mut heap: BinaryHeap<_> = (0..books.teams.len() as u32)
        .map(TeamIx)
        .filter(|team| !books.teams[team.at()].queue.is_empty())
        .map(|team| Reverse(turn(books, team, &deserved)))
        .collect();
    // Where each team's queue goes on: whoever came before sits this round out. Searching from the
    // start for each task took a square of the queue's length.
    let mut from: Vec<Option<QueueKey>> = vec![None; books.teams.len()];
    let kept = books.machines.iter().filter_map(|machine| machine.held_for);
    let kept_for: HashSet<JobIx> = kept
        .filter(|(_, until)| now < *until)
        .map(|(job, _)| job)
        .collect();
    let mut full: Vec<Wish> = Vec::new();
    // The most urgent array that found no room.
    let mut pressing: Option<Priority> = None;
    while let Some(Reverse((_, _, team))) = heap.pop() {
        let after = from[team.at()].map_or(Bound::Unbounded, Bound::Excluded);
        let queue = &books.teams[team.at()].queue;
        let mut found = None;
        for key in queue.range((after, Bound::Unbounded)) {
            let entry = books.job(key.2);
            if books.dues.in_the_way(entry, now) {
                continue;
            }
            if !full.iter().any(|wish| wish.covers(key.2, entry, &kept_for)) {
                found = Some(*key);
                break;
            }
            press(&mut pressing, entry, now);
        }
        let Some(key) = found else {
            continue;
        };
        let job = key.2;
        if books.job(job).kind == Kind::Gang {
            match gang(books, job, now) {
                Some(places) => {
                    placed += places.len();
                    for (task, machine) in places {
                        books.place(job, task, machine, now);
                        looks.filled.push(machine);
                    }
                }
                None => from[team.at()] = Some(key),
            }
            heap.push(Reverse(turn(books, team, &deserved)));
            continue;
        }
        let entry = books.job(job);
        let task = entry.waiting.first().copied();
        let ready = entry.not_before <= now
            && entry.open_slots() > 0
            && books.teams[team.at()].allows(&entry.need);
        let target = task.filter(|_| ready).and_then(|task| {
            let plain = looks.best(books, job, task, now);
            if entry.kind != Kind::Service {
                return Some((task, plain?, Vec::new()));
            }
            match plain.filter(|at| timely(books, entry, books.machine(*at), now)) {
                Some(machine) => Some((task, machine, Vec::new())),
                None => swap(books, job, task, plain, now, looks),
            }
        });
        match target {
            Some((task, machine, victims)) => {
                for at in victims {
                    let attempt = &books.machine(machine).attempts[at];
                    let (loser, to) = (books.job(attempt.job), books.job(job).id);
                    let task = loser.task_id(attempt.task);
                    let ran_s = ran_s(attempt, now) as u64;
                    tracing::info!(%task, %to, reason = "Image", ran_s, "gives way");
                    let flow = books.flow(attempt.job);
                    books.dues.standing(flow).gave_way += 1;
                    books.stop(machine, at, 0.0);
                }
                books.place(job, task, machine, now);
                looks.filled.push(machine);
                placed += 1;
                if !behind.is_empty() && !behind.contains(&books.flow(job)) {
                    let units = books.units(&books.job(job).need);
                    books.dues.earn(units, fair_share::PART * capacity);
                }
            }
            None => {
                let entry = books.job(job);
                if task.is_some() && ready {
                    press(&mut pressing, entry, now);
                }
                full.extend(Wish::of(entry, books, now));
                from[team.at()] = Some(key);
            }
        }
        if placed >= ROUND {
            books.changed = true;
            break;
        }
        heap.push(Reverse(turn(books, team, &deserved)));
    }
    if let Some(priority) = pressing {
        books.dues.press(priority, now);
    }
    placed + at_last(books, now)
}

/// Puts what has waited for long, and found nothing else, on machines that are to be replaced for being slow: as long as
/// they have other work they are not replaced, and late is better than never.
fn at_last(books: &mut Books, now: Millis) -> usize {
    let slow = |machine: &Machine| machine.draining && !machine.sick && machine.hears();
    let machines = books.machines.iter().zip(0..);
    let slow: Vec<MachineIx> = machines
        .filter(|(machine, _)| slow(machine))
        .map(|(_, at)| MachineIx(at))
        .collect();
    if slow.is_empty() {
        return 0;
    }
    let queues = books
        .teams
        .iter()
        .flat_map(|team| team.queue.iter().take(AT_LAST));
    let jobs = queues.map(|(.., job)| *job);
    let jobs: Vec<JobIx> = jobs
        .filter(|job| books.job(*job).seen_at + WAITED <= now)
        .collect();
    let mut placed = 0;
    for job in jobs {
        for &on in &slow {
            loop {
                let (entry, machine) = (books.job(job), books.machine(on));
                let team = &books.teams[entry.team.at()];
                let Some(&task) = entry.waiting.first() else {
                    break;
                };
                if entry.kind == Kind::Gang
                    || entry.not_before > now
                    || entry.open_slots() == 0
                    || !team.allows(&entry.need)
                    || !books.suits(entry, machine)
                    || machine.avoid_until > now
                    || entry.avoids(on, now)
                    || machine.holds(job, task)
                {
                    break;
                }
                books.place(job, task, on, now);
                placed += 1;
            }
        }
    }
    placed
}

/// Notes that an array found no room: others will have to give way for it before long. Whether it can still wait
/// is not asked: a successor takes all jobs for new, and started 4,500 tasks that it stopped 4 s later.
fn press(pressing: &mut Option<Priority>, job: &Job, now: Millis) {
    if job.kind == Kind::Array && !job.at_fault && job.not_before <= now {
        *pressing = Some(pressing.map_or(job.priority, |known| known.min(job.priority)));
    }
}

/// Gives those that are behind their due their part of the room that others have got.
fn catch_up(books: &mut Books, now: Millis, looks: &mut Looks) -> usize {
    let mut placed = 0;
    for flow in books.dues.behind() {
        let jobs: Vec<JobIx> = books
            .first_of(flow, now)
            .take(ROUND)
            .map(|(.., job)| job)
            .collect();
        let mut full: Vec<Wish> = Vec::new();
        for job in jobs {
            let need = books.job(job).need;
            let entry = books.job(job);
            if full
                .iter()
                .any(|wish| wish.covers(job, entry, &HashSet::new()))
            {
                continue;
            }
            while books.dues.credit() > 0.0 && placed < ROUND {
                let entry = books.job(job);
                let Some(&task) = entry.waiting.first() else {
                    break;
                };
                if entry.open_slots() == 0 || !books.teams[entry.team.at()].allows(&need) {
                    break;
                }
                let Some(machine) = looks.best(books, job, task, now) else {
                    full.extend(Wish::of(books.job(job), books, now));
                    break;
                };
                books.place_owed(job, task, machine, now);
                looks.filled.push(machine);
                books.dues.spend(books.units(&need));
                placed += 1;
            }
        }
    }
    placed
}

/// Places for all waiting tasks of a gang, or none: it is popped whole or not at all.
fn gang(books: &Books, job: JobIx, now: Millis) -> Option<Vec<(u32, MachineIx)>> {
    let entry = books.job(job);
    let mut whole = Amounts::default();
    for _ in &entry.waiting {
        whole.add(&entry.need);
    }
    if entry.not_before > now || !books.teams[entry.team.at()].allows(&whole) {
        return None;
    }
    let half = entry.tasks.len().div_ceil(2);
    let try_zone = |only: Option<usize>| {
        let mut rooms: Vec<Amounts> = books.machines.iter().map(|m| books.room(m)).collect();
        let mut by_zone = entry.by_zone.clone();
        let mut places = Vec::new();
        for &task in &entry.waiting {
            let (at, machine) = books.machines.iter().enumerate().find(|(at, machine)| {
                books.fits(entry, machine)
                    && machine.avoid_until <= now
                    && !machine.holds(job, task)
                    && only.is_none_or(|zone| zone == machine.zone.at())
                    && (!entry.spread || (by_zone[machine.zone.at()] as usize) < half)
                    && entry.need.fits_in(&rooms[*at])
            })?;
            rooms[at].sub(&entry.need);
            by_zone[machine.zone.at()] += 1;
            places.push((task, MachineIx(at as u32)));
        }
        Some(places)
    };
    if entry.one_zone {
        (0..books.zone_names.len()).find_map(|zone| try_zone(Some(zone)))
    } else {
        try_zone(None)
    }
}

/// Whether a task that is aimed to start soon would do so there, for all that its image takes. One
/// that is late anyway takes what there is.
fn timely(books: &Books, job: &Job, machine: &Machine, now: Millis) -> bool {
    let Some(within) = books.aims[job.class.at()].start() else {
        return true;
    };
    let left = within - now.saturating_sub(job.seen_at) as f64 / 1000.0;
    let fetch_s = fetch_s(books, job, machine);
    left < 0.0 || fetch_s == 0.0 || fetch_s * FETCH_VARIES + START_S <= left
}

/// A place for a replica on a machine that has its image, where work of lower priority is stopped
/// for it; failing that, `plain`, the place that was too far from it.
fn swap(
    books: &Books,
    job: JobIx,
    task: u32,
    plain: Option<MachineIx>,
    now: Millis,
    looks: &mut Looks,
) -> Option<(u32, MachineIx, Vec<usize>)> {
    let entry = books.job(job);
    let mut best: Option<(f64, MachineIx, Vec<usize>)> = None;
    looks.count += books.machines.len();
    for (index, machine) in books.machines.iter().enumerate() {
        let index = MachineIx(index as u32);
        if !machine.usable()
            || machine.avoid_until > now
            || (machine.spot && !entry.spot)
            || !entry.allows_type(machine.type_ix)
            || !entry.allows_zone(machine.zone)
            || machine.holds(job, task)
            || !machine.has_image(entry.image)
        {
            continue;
        }
        let mut losers: Vec<(Priority, f64, usize)> = machine
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| {
                matches!(attempt.phase, Phase::Fetching | Phase::Running) && attempt.stop.is_none()
            })
            .filter_map(|(at, attempt)| {
                let loser = books.job(attempt.job);
                (loser.priority > entry.priority && loser.kind != Kind::Gang)
                    .then(|| (loser.priority, cut_s(books, attempt, now), at))
            })
            .collect();
        losers.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        let mut room = books.room(machine);
        let mut cost = 0.0;
        let mut chosen = Vec::new();
        for (_, lost, at) in losers {
            if entry.need.fits_in(&room) {
                break;
            }
            room.add(&books.job(machine.attempts[at].job).need);
            cost += lost;
            chosen.push(at);
        }
        let better = best.as_ref().is_none_or(|(least, ..)| cost < *least);
        if entry.need.fits_in(&room) && better {
            best = Some((cost, index, chosen));
        }
    }
    // Where it fits without harm but would fetch its image first, the wait must be worth the work.
    let worth = plain.map_or(f64::INFINITY, |machine| {
        fetch_s(books, entry, books.machine(machine)) * WORK_FOR_WAIT
    });
    match best {
        Some((cost, machine, victims)) if cost <= worth => Some((task, machine, victims)),
        _ => plain.map(|machine| (task, machine, Vec::new())),
    }
}

/// What it costs to stop the attempt at once, in seconds of its work.
fn cut_s(books: &Books, attempt: &Attempt, now: Millis) -> f64 {
    let job = books.job(attempt.job);
    let ran = ran_s(attempt, now);
    let lost = if job.checkpoint_s > 0.0 {
        ran % job.checkpoint_s
    } else {
        ran
    };
    lost + spoiled_s(books, attempt, now)
}

/// How long the attempt has run.
fn ran_s(attempt: &Attempt, now: Millis) -> f64 {
    let ran = attempt.running_since.map(|since| now.saturating_sub(since));
    ran.map_or(0.0, |ran| ran as f64 / 1000.0)
}

/// What the aims are worth that the attempt is in time for and another one, begun now, would not be. A start
/// that is undone this soon was none for the user.
fn spoiled_s(books: &Books, attempt: &Attempt, now: Millis) -> f64 {
    const FRESH_S: f64 = 30.0;
    let job = books.job(attempt.job);
    let since = |at: Millis| at.saturating_sub(job.seen_at) as f64 / 1000.0;
    let (placed, again, ran) = (since(attempt.placed_at), since(now), ran_s(attempt, now));
    let starts = &books.aims[job.class.at()].start_s;
    let starts = if ran < FRESH_S { &starts[..] } else { &[] };
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
        .waits_to_end
        .iter()
        .filter(|wait| placed <= **wait && again < **wait + usual && again + over > **wait);
    let owed = if attempt.owed { SPOILED_S } else { 0.0 };
    SPOILED_S * starts.count() as f64 + SPOILED_END_S * ends.count() as f64 + owed
}

/// How long the job's image takes to get there.
fn fetch_s(books: &Books, job: &Job, machine: &Machine) -> f64 {
    if machine.has_image(job.image) {
        return 0.0;
    }
    let kind = &books.types[machine.type_ix.at()];
    let shared = machine
        .attempts
        .iter()
        .filter(|a| a.phase <= Phase::Fetching)
        .any(|a| books.job(a.job).image == job.image);
    let whole = job.image_gb / kind.fetch_gb_per_s.max(0.01);
    if shared { whole * 0.5 } else { whole }
}

/// Lower is better; in seconds, or what is held to be worth as much.
fn score(books: &Books, job: &Job, machine: &Machine, now: Millis) -> f64 {
    let kind = &books.types[machine.type_ix.at()];
    let fetch_s = fetch_s(books, job, machine);
    let room = books.room(machine);
    let left = if books.by_gpus() && kind.gpus > 0.0 {
        (room.gpus - job.need.gpus) / kind.gpus
    } else {
        (room.cpus - job.need.cpus) / kind.cpus.max(1.0)
    };
    // Ordinary machines are kept for work that may run nowhere else.
    let borrowed = if job.spot && !machine.spot { 3.0 } else { 0.0 };
    // Replicas of a service are spread further than they must be: a lost zone then takes fewer.
    let crowd = if job.kind == Kind::Service {
        0.3 * f64::from(job.by_zone[machine.zone.at()])
    } else {
        0.0
    };
    // Arrays can wait for an image; what they pay for is machines that never empty out.
    let (fetching, packing, late) = match job.kind {
        Kind::Array | Kind::Gang => (0.3, 3.0, 2.0),
        Kind::Service => (1.0, 1.0, 6.0),
    };
    let late = if timely(books, job, machine, now) {
        0.0
    } else {
        late
    };
    fetching * fetch_s + packing * left + borrowed + crowd + late
}

/// What each team deserves now: its guarantee and an equal split of the rest, capped by its demand
/// and its limit. What a cap leaves over is split again.
pub fn deserved(books: &Books, capacity: f64) -> Vec<f64> {
    let caps: Vec<f64> = books
        .teams
        .iter()
        .map(|team| {
            let waiting: f64 = team
                .queue
                .iter()
                .map(|&(_, _, job)| {
                    let job = books.job(job);
                    books.units(&job.need) * job.open_slots() as f64
                })
                .sum();
            let demand = books.units(&team.booked) + waiting;
            demand.min(books.units(&team.limit))
        })
        .collect();
    let mut shares: Vec<f64> = books
        .teams
        .iter()
        .zip(&caps)
        .map(|(team, cap)| books.units(&team.guarantee).min(*cap))
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
pub enum Reason {
    /// A starved team's task takes a place beyond what the victim's team deserves.
    Share,
    /// A job of higher priority.
    Priority,
}

/// Whose waiting tasks others give way for at one check. Who is waited for sooner is checked for more
/// often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Whose {
    Services,
    /// Services, and jobs with an aim that they can still meet.
    Aimed,
    All,
}

impl Whose {
    fn covers(self, job: &Job) -> bool {
        // A gang waits for room of its own; nobody is stopped for a part of it.
        job.kind != Kind::Gang
            && match self {
                Whose::Services => job.kind == Kind::Service,
                Whose::Aimed => job.kind == Kind::Service || !job.latest.is_empty(),
                Whose::All => true,
            }
    }
}

/// Whether an array can still do without work that has aims of its own giving way: tasks end all the
/// time, and the teams that have least get their places first. Those that were stopped at once had mostly
/// just been placed.
fn patient(books: &Books, job: &Job, now: Millis) -> bool {
    if job.kind == Kind::Service {
        return false;
    }
    let tightest = job.waits.first().copied().unwrap_or(f64::INFINITY);
    let tightest = tightest.min(books.guarantee_s.unwrap_or(f64::INFINITY));
    let patience = (PATIENCE * tightest).min(PATIENCE_S);
    now < job.seen_at + millis(patience)
}

#[derive(Clone, Debug, PartialEq)]
pub struct Victim {
    /// The job that is to have its place.
    pub for_job: JobIx,
    pub machine: MachineIx,
    pub at: usize,
    pub reason: Reason,
}

/// The trial fit. For each team with waiting work that fits nowhere: would it fit if the excess of
/// over-share teams, or work of lower priority, were stopped? Only then are those tasks named.
pub fn preempt(books: &Books, now: Millis, whose: Whose) -> Vec<Victim> {
    let waits = |&(_, _, job): &QueueKey| whose.covers(books.job(job));
    if !books.teams.iter().any(|team| team.queue.iter().any(waits)) {
        return Vec::new();
    }
    let deserved = deserved(books, capacity(books));
    let booked: Vec<f64> = books
        .teams
        .iter()
        .map(|team| books.units(&team.booked))
        .collect();
    let mut excess: Vec<f64> = booked
        .iter()
        .zip(&deserved)
        .map(|(booked, share)| (booked - share).max(0.0))
        .collect();
    let mut beyond: Vec<f64> = books
        .teams
        .iter()
        .zip(&booked)
        .map(|(team, booked)| booked - books.units(&team.guarantee))
        .collect();
    let mut order: Vec<usize> = (0..books.teams.len()).collect();
    order.sort_by_key(|&team| key(booked[team]));
    // Room on each machine, with what already has to stop counted as free.
    let mut rooms: Vec<Amounts> = books
        .machines
        .iter()
        .map(|machine| {
            let mut room = books.room(machine);
            for attempt in &machine.attempts {
                if attempt.stop.is_some() && attempt.phase != Phase::Ended {
                    room.add(&books.job(attempt.job).need);
                }
            }
            room
        })
        .collect();
    let mut taken: HashSet<(MachineIx, usize)> = HashSet::new();
    let mut victims = Vec::new();
    for team in order {
        // Beyond its guarantee a team waits for what others return: the protocol lets nobody stop
        // work of the same or a higher priority for more than a guarantee.
        let guarantee = books.units(&books.teams[team].guarantee);
        let mut hope = deserved[team].min(guarantee) - booked[team];
        let mut budget = books.teams[team].booked;
        let mut vain: Vec<Vain> = Vec::new();
        for &(_, _, job) in &books.teams[team].queue {
            let entry = books.job(job);
            // A gang waits for room of its own; nobody is stopped for a part of it.
            // Nobody gives way for a job that fails everywhere.
            if entry.not_before > now || entry.at_fault || !whose.covers(entry) {
                continue;
            }
            let units = books.units(&entry.need);
            let patient = patient(books, entry, now);
            if vain
                .iter()
                .any(|other| other.covers(entry, patient, units <= hope + 1e-6))
            {
                continue;
            }
            let mut trial = Trial {
                books,
                index: job,
                job: entry,
                team: TeamIx(team as u32),
                patient,
                starved: units <= hope + 1e-6,
                rooms: &mut rooms,
                excess: &mut excess,
                beyond: &mut beyond,
                taken: &mut taken,
                now,
            };
            let mut places = trial.places();
            for _ in 0..entry.waiting.len().min(ROUND) {
                let mut asked = budget;
                asked.add(&entry.need);
                let limit = &books.teams[team].limit;
                if asked.cpus > limit.cpus + 1e-6 || asked.gpus > limit.gpus + 1e-6 {
                    break;
                }
                trial.starved = units <= hope + 1e-6;
                let Some(chosen) = trial.best(&mut places) else {
                    vain.extend(Vain::of(entry, patient, trial.starved));
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
pub fn above(
    books: &Books,
    team: TeamIx,
    excess: &Amounts,
    now: Millis,
) -> Vec<(MachineIx, usize)> {
    let (mut cpus, mut gpus) = (excess.cpus, excess.gpus);
    let mut running = Vec::new();
    for (number, machine) in books.machines.iter().enumerate() {
        for (at, attempt) in machine.attempts.iter().enumerate() {
            let job = books.job(attempt.job);
            if job.team != team || attempt.phase == Phase::Ended {
                continue;
            }
            if attempt.stop.is_some() {
                cpus -= job.need.cpus;
                gpus -= job.need.gpus;
                continue;
            }
            let lost = lost_s(books, attempt, now);
            running.push((job.priority, lost, MachineIx(number as u32), at));
        }
    }
    running.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
    let mut stopped: Vec<(MachineIx, usize)> = Vec::new();
    let mut gangs: HashSet<JobIx> = HashSet::new();
    let attempt_of = |machine: MachineIx, at: usize| &books.machine(machine).attempts[at];
    for &(.., machine, at) in &running {
        let index = attempt_of(machine, at).job;
        let job = books.job(index);
        let helps = cpus > 1e-6 && job.need.cpus > 0.0 || gpus > 1e-6 && job.need.gpus > 0.0;
        if !helps || gangs.contains(&index) {
            continue;
        }
        let mut parts = vec![(machine, at)];
        if job.kind == Kind::Gang {
            gangs.insert(index);
            let of_gang = running.iter().map(|&(.., machine, at)| (machine, at));
            parts = of_gang
                .filter(|&(machine, at)| attempt_of(machine, at).job == index)
                .collect();
        }
        cpus -= job.need.cpus * parts.len() as f64;
        gpus -= job.need.gpus * parts.len() as f64;
        stopped.extend(parts);
    }
    stopped
}

/// A trial in which nobody could give way: it ends alike for those of the team's jobs that ask for as much or
/// more, since a check only takes room. A look at all machines for each of 5000 single tasks took seconds.
struct Vain {
    wish: Wish,
    patient: bool,
    starved: bool,
}

impl Vain {
    /// `None` where it was not for want of room alone.
    fn of(job: &Job, patient: bool, starved: bool) -> Option<Self> {
        let wish = Wish::anywhere(job)?;
        Some(Vain {
            wish,
            patient,
            starved,
        })
    }

    fn covers(&self, job: &Job, patient: bool, starved: bool) -> bool {
        (patient || !self.patient)
            && (self.starved || !starved)
            && self.wish.priority <= job.priority
            && self.wish.asks_less(job)
    }
}

/// What is lost if the attempt is told to stop now, in seconds of one task.
fn lost_s(books: &Books, attempt: &Attempt, now: Millis) -> f64 {
    let job = books.job(attempt.job);
    let lost = if job.checkpoint_s > 0.0 {
        // It saves when it is stopped.
        job.save_s
    } else {
        ran_s(attempt, now)
    };
    lost + spoiled_s(books, attempt, now)
}

/// The trial fit of one job's tasks.
struct Trial<'a> {
    books: &'a Books,
    index: JobIx,
    job: &'a Job,
    team: TeamIx,
    /// It can still wait for work with aims to end by itself.
    patient: bool,
    /// A further task would still be within what its team deserves and is guaranteed.
    starved: bool,
    /// Room on each machine.
    rooms: &'a mut [Amounts],
    /// What each team has beyond what it deserves.
    excess: &'a mut [f64],
    /// What each team has beyond its guarantee.
    beyond: &'a mut [f64],
    taken: &'a mut HashSet<(MachineIx, usize)>,
    now: Millis,
}

/// A machine on which a task would fit, and what that would cost in thousandths of a second.
type Place = Reverse<(u64, MachineIx)>;

impl Trial<'_> {
    /// All machines on which a task would fit. Equal tasks share the look at them.
    fn places(&self) -> BinaryHeap<Place> {
        let machines = (0..self.books.machines.len() as u32).map(MachineIx);
        machines
            .filter_map(|at| self.place(at).map(|(cost, _)| Reverse((cost, at))))
            .collect()
    }

    /// Who gives way for the next task, on the machine where that costs least. Earlier choices make a
    /// place dearer or impossible, never cheaper but where they left room.
    fn best(&mut self, places: &mut BinaryHeap<Place>) -> Option<Vec<Victim>> {
        while let Some(Reverse((known, at))) = places.pop() {
            let Some((cost, chosen)) = self.place(at) else {
                continue;
            };
            if cost > known {
                places.push(Reverse((cost, at)));
                continue;
            }
            for victim in &chosen {
                let attempt = &self.books.machine(at).attempts[victim.at];
                let loser = self.books.job(attempt.job);
                self.rooms[at.at()].add(&loser.need);
                let units = self.books.units(&loser.need);
                self.excess[loser.team.at()] -= units;
                self.beyond[loser.team.at()] -= units;
                self.taken.insert((at, victim.at));
            }
            self.rooms[at.at()].sub(&self.job.need);
            if let Some((cost, _)) = self.place(at) {
                places.push(Reverse((cost, at)));
            }
            return Some(chosen);
        }
        None
    }

    /// Who would have to give way for a task on this machine, and what that costs.
    fn place(&self, index: MachineIx) -> Option<(u64, Vec<Victim>)> {
        let (books, job, machine) = (self.books, self.job, self.books.machine(index));
        if !machine.usable()
            || machine.avoid_until > self.now
            || (machine.spot && !job.spot)
            || !job.allows_type(machine.type_ix)
            || !job.allows_zone(machine.zone)
        {
            return None;
        }
        let mut room = self.rooms[index.at()];
        if job.need.fits_in(&room) {
            // It fits without anybody giving way, or will as soon as what was stopped has ended.
            return Some((0, Vec::new()));
        }
        let mut candidates: Vec<(Priority, f64, usize, Reason)> = machine
            .attempts
            .iter()
            .enumerate()
            .filter(|(at, attempt)| {
                attempt.phase != Phase::Ended
                    && attempt.stop.is_none()
                    && books.job(attempt.job).kind != Kind::Gang
                    && !self.taken.contains(&(index, *at))
            })
            .filter_map(|(at, attempt)| {
                let loser = books.job(attempt.job);
                // What its class was owed it keeps: otherwise it would be owed again at once.
                if attempt.owed && job.kind != Kind::Service {
                    return None;
                }
                // Replicas have no such times; they are the last to be taken for work without aims.
                if self.patient && (loser.kind == Kind::Service || !loser.latest.is_empty()) {
                    return None;
                }
                let over = self.excess[loser.team.at()] + 1e-6 >= books.units(&loser.need);
                // A task with an aim of its own gives way to arrays once: a guest's swarm of small tasks
                // was stopped up to 35 times each, and ended too late.
                let spent =
                    job.kind != Kind::Service && !loser.latest.is_empty() && attempt.attempt > 1;
                // What a team runs within its guarantee it takes back at the next check: an array of
                // another team that took it for its priority lost it again, and both began anew each
                // second.
                let units = books.units(&loser.need);
                let guaranteed = job.kind != Kind::Service
                    && loser.team != self.team
                    && self.beyond[loser.team.at()] + 1e-6 < units;
                let reason = if loser.priority > job.priority && !spent && !guaranteed {
                    Reason::Priority
                } else if self.starved && loser.team != self.team && over {
                    Reason::Share
                } else {
                    return None;
                };
                let lost = lost_s(books, attempt, self.now);
                Some((loser.priority, lost, at, reason))
            })
            .collect();
        candidates.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)));
        // What each team has lost in this trial.
        let mut lost_by: Vec<(TeamIx, f64)> = Vec::new();
        let mut chosen = Vec::new();
        let mut cost = 0.0;
        for (_, lost, at, reason) in candidates {
            let loser = books.job(machine.attempts[at].job);
            let units = books.units(&loser.need);
            let gone: f64 = lost_by
                .iter()
                .filter(|(team, _)| *team == loser.team)
                .map(|(_, units)| units)
                .sum();
            if reason == Reason::Share && self.excess[loser.team.at()] - gone + 1e-6 < units {
                continue;
            }
            lost_by.push((loser.team, units));
            room.add(&loser.need);
            cost += lost + 1.0;
            chosen.push(Victim {
                for_job: self.index,
                machine: index,
                at,
                reason,
            });
            if job.need.fits_in(&room) {
                break;
            }
        }
        if !job.need.fits_in(&room) {
            return None;
        }
        if !machine.has_image(job.image) {
            let rate = books.types[machine.type_ix.at()].fetch_gb_per_s;
            cost += job.image_gb / rate.max(0.01);
        }
        Some(((cost * 1000.0) as u64, chosen))
    }
}
