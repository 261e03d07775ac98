//! The books: teams, jobs, tasks, machines and the attempts that bind them.
//!
//! An attempt that was ever sent to a machine counts as running (for limits, spread and the
//! machine's room) until it is *known* to be gone: a newer report denies it and no start of it can
//! still be on its way, or the machine's lease has surely run out, or the cloud deleted the machine.

pub mod fault_attribution;
pub mod straggler;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::{
    cluster::straggler::Mean,
    config::{Objective, Settings},
    protocol::{
        cloud::MachineType,
        ids::{JobId, TaskId},
        job::{Kind, Priority, Submission},
        worker::Cause,
    },
    scheduling::fair_share::Dues,
    storage::PageNumber,
    time::{Millis, millis},
};

macro_rules! index {
    ($($name:ident),*) => {$(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);
        impl $name {
            pub fn at(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

index!(TeamIx, JobIx, MachineIx, TypeIx, ZoneIx, ImageIx, ClassIx);

/// Names and their dense indices.
#[derive(Default)]
pub struct Names {
    by_name: HashMap<String, u32>,
}

impl Names {
    pub fn index(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = self.by_name.len() as u32;
        self.by_name.insert(name.to_owned(), index);
        index
    }

    pub fn get(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, index: u32) -> Option<&str> {
        self.iter()
            .find_map(|(name, at)| (at == index).then_some(name))
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, u32)> {
        self.by_name.iter().map(|(name, index)| (&name[..], *index))
    }
}

/// How long a job that nothing is aimed at for is taken to be able to wait, next to those with aims.
const NO_AIM: Millis = 60_000;
/// A job that can meet no aim any more lets those go first that can, for this long.
const HOPELESS: Millis = 300_000;
/// The part of the wait for a later aim after which a job's turn comes.
const LATER: f64 = 0.7;
/// A task placed this short before it should run will be late.
const START: Millis = 500;
/// Estimates are often too low.
pub const ESTIMATE_MARGIN: f64 = 1.3;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

/// Sums of decimal amounts may miss a whole by a rounding error.
const EPSILON: f64 = 1e-6;

impl Amounts {
    pub fn fits_in(&self, room: &Amounts) -> bool {
        self.cpus <= room.cpus + EPSILON
            && self.gpus <= room.gpus + EPSILON
            && self.ram_gb <= room.ram_gb + EPSILON
    }

    pub fn add(&mut self, other: &Amounts) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram_gb += other.ram_gb;
    }

    pub fn sub(&mut self, other: &Amounts) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram_gb -= other.ram_gb;
    }
}

/// A limit as operators write it, where 0 means none.
fn limit_of(amount: f64) -> f64 {
    if amount > 0.0 { amount } else { f64::INFINITY }
}

/// A job's place in its team's queue.
pub type QueueKey = (Priority, u64, JobIx);

pub struct Team {
    pub name: String,
    pub guarantee: Amounts,
    /// Infinite where there is none.
    pub limit: Amounts,
    pub booked: Amounts,
    /// Jobs with waiting tasks, the most urgent and oldest first.
    pub queue: BTreeSet<QueueKey>,
}

impl Team {
    /// Whether the team may have `more` on top of what is booked.
    pub fn allows(&self, more: &Amounts) -> bool {
        let within =
            |limit: f64, booked: f64, more: f64| more <= 0.0 || booked + more <= limit + EPSILON;
        within(self.limit.cpus, self.booked.cpus, more.cpus)
            && within(self.limit.gpus, self.booked.gpus, more.gpus)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskStatus {
    Waiting,
    Active(MachineIx),
    Done,
}

#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub status: TaskStatus,
    /// The number of the latest attempt; 0: never placed.
    pub attempt: u32,
    /// The last entry of the log that tells of it; 0: none that counts.
    pub logged: u64,
}

/// How the page on a stretch of a job's tasks stands with the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chunk {
    /// The key's version; 0: not in the store.
    pub version: u64,
    /// The page covers all log entries up to this one.
    pub paged: u64,
    pub in_flight: bool,
}

pub struct Job {
    pub id: JobId,
    pub team: TeamIx,
    pub class: ClassIx,
    pub kind: Kind,
    /// The highest of its own and of those of the jobs that need it.
    pub priority: Priority,
    own_priority: Priority,
    /// When it was submitted, by the accepting node's time of day.
    pub submitted_ms: u64,
    /// When the last job that it awaited was done, or it was submitted. Its age counts from then, and
    /// so does all that is aimed at for it but its deadline.
    pub released_ms: u64,
    /// Its place among its team's jobs of the same priority: the time of day by which its tasks
    /// have to be placed for the next aim that they can still meet.
    pub turn_ms: u64,
    /// When that has passed: the place is another one from then on.
    pub turn_until: u64,
    /// How many seconds from its release its tasks can wait for each of the aims, and for those of the
    /// jobs that need it, the tightest first.
    pub waits: Vec<f64>,
    /// Those of these waits that are for ends, not for starts.
    pub waits_to_end: Vec<f64>,
    /// Milliseconds from its release by which a task has to be placed for that.
    pub latest: Vec<Millis>,
    /// When this node first heard of it.
    pub seen_at: Millis,
    pub need: Amounts,
    pub types: u64,
    pub zone: Option<ZoneIx>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub image: ImageIx,
    pub image_gb: f64,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub deadline_s: Option<f64>,
    pub tasks: Vec<Task>,
    pub chunks: Vec<Chunk>,
    /// Pages of another length, with their versions: read, never written, deleted in the end.
    pub other_pages: Vec<(PageNumber, u64)>,
    pub waiting: BTreeSet<u32>,
    pub done: u32,
    pub running: u32,
    /// Attempts that may be on a machine, by zone.
    pub by_zone: Vec<u32>,
    pub closed: bool,
    pub finishing: bool,
    /// Backing off after failures: nothing of the job is placed before.
    pub not_before: Millis,
    pub errors: u32,
    /// It fails on every machine: submitted with a mistake, by all that is known.
    pub at_fault: bool,
    /// What its completed tasks took.
    pub pace: Mean,
    /// Machines on which it failed lately.
    pub failed_on: VecDeque<MachineIx>,
    /// When it last failed.
    pub failed_at: Millis,
}

impl Job {
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id,
            index,
        }
    }

    /// How long its tasks can wait, the tightest first.
    fn set_waits(&mut self, to_start: &[f64], to_end: Vec<f64>) {
        let mut waits = [to_start, &to_end].concat();
        waits.sort_by(f64::total_cmp);
        self.waits_to_end = to_end;
        // What is late already must not wait for the last moment again: many come to theirs at once.
        let latest = waits.iter().enumerate().map(|(number, wait)| {
            let part = if number == 0 { 1.0 } else { LATER };
            millis(wait * part).saturating_sub(START)
        });
        self.latest = latest.collect();
        self.waits = waits;
    }

    /// Its place from `wall_ms` on.
    fn take_turn(&mut self, wall_ms: u64) {
        let waited = wall_ms.saturating_sub(self.released_ms);
        let next = self.latest.iter().find(|latest| **latest > waited);
        let within = match (next, self.latest.last()) {
            (Some(&next), _) => next,
            (None, Some(&last)) => last + HOPELESS,
            (None, None) => NO_AIM,
        };
        self.turn_ms = self.released_ms + within;
        self.turn_until = match next {
            Some(_) => self.turn_ms,
            None => u64::MAX,
        };
    }

    pub fn complete(&self) -> bool {
        self.kind != Kind::Service && self.done as usize == self.tasks.len()
    }

    /// Whether a further task may be in `zone`, given the others.
    pub fn allows_zone(&self, zone: ZoneIx) -> bool {
        if self.zone.is_some_and(|only| only != zone) {
            return false;
        }
        if self.one_zone
            && self
                .by_zone
                .iter()
                .enumerate()
                .any(|(other, &count)| count > 0 && other != zone.at())
        {
            return false;
        }
        !self.spread || (self.by_zone[zone.at()] as usize) < self.tasks.len().div_ceil(2)
    }

    /// How many of its tasks may be put on machines now. Of a job that fails everywhere one at a time is
    /// tried.
    pub fn open_slots(&self) -> usize {
        let waiting = self.waiting.len();
        if !self.at_fault {
            return waiting;
        }
        let tried = self.tasks.len() - waiting > self.done as usize;
        waiting.min(usize::from(!tried))
    }

    pub fn allows_type(&self, index: TypeIx) -> bool {
        self.types & (1 << index.0) != 0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Placed; no report has shown it yet.
    Placed,
    Fetching,
    Running,
    Saving,
    Ended,
}

/// One try at running a task, on one machine.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub job: JobIx,
    pub task: u32,
    pub attempt: u32,
    pub phase: Phase,
    pub cause: Option<Cause>,
    pub placed_at: Millis,
    pub running_since: Option<Millis>,
    /// A start was sent, by this leader or perhaps by an earlier one.
    pub sent: bool,
    /// Taken over from a predecessor's notes, and not seen yet. It is never started again: the
    /// predecessor may have found it gone and given its place to others without a note.
    pub inherited: bool,
    /// A direct start is on its way.
    pub outstanding: bool,
    /// The check-in whose answer carried a start.
    pub answered_at: Option<u64>,
    /// A start may run late until the worker has reported this token.
    pub fence: u64,
    /// The term under which a start was last sent directly, by this leader or perhaps by an earlier one. 0: never.
    /// Even one that was answered may come once more.
    pub direct: u64,
    /// Stop it, giving it this long to save.
    pub stop: Option<f64>,
    /// The stop went out directly.
    pub stop_sent: bool,
    /// Ended, and its task was dealt with.
    pub settled: bool,
    /// Placed because its class was behind its due: it gives way to no array.
    pub owed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Rented, not heard of.
    Booting,
    /// Reports.
    Up,
    /// Its lease has surely run out without a word.
    Lost,
    /// Its deletion is under way.
    Deleting,
    /// Deleted.
    Gone,
}

pub struct Machine {
    pub name: String,
    pub addr: Option<String>,
    pub type_ix: TypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
    pub state: MachineState,
    /// The worker's session; 0: not known.
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    /// Fresh check-ins received.
    pub checkins: u64,
    pub heard_at: Option<Millis>,
    /// When its worker's lease, as far as we may have renewed it, surely has run out.
    pub lease_until: Millis,
    pub recall_at: Option<Millis>,
    pub known_since: Millis,
    /// When the rental began, by our clock; negative times are cut off.
    pub rented_at: Millis,
    pub listed: bool,
    pub absent: u32,
    pub listed_running: Option<Millis>,
    pub listed_failed: bool,
    pub attempts: Vec<Attempt>,
    pub used: Amounts,
    /// Images on its disk, the latest used last.
    pub images: Vec<(ImageIx, f64)>,
    pub idle_since: Millis,
    /// A direct command is under way.
    pub busy: bool,
    pub draining: bool,
    /// Not heard of for longer than its reports take: nothing new is placed there.
    pub silent: bool,
    /// Jobs that failed here since one last succeeded.
    pub failures: Vec<JobId>,
    /// To be replaced for that.
    pub sick: bool,
    /// How its tasks compare with other tasks of their jobs.
    pub pace: Mean,
    pub avoid_until: Millis,
    /// A start that was sent there got no answer, or all that is known of it is a report which may be old: until the
    /// worker answers or shows a token as high as this, it may hear nothing or be gone. 0: none.
    pub doubt: u64,
    /// Work was stopped here for this job: until then its room is nobody else's of the same or a
    /// lower priority. Without that the heap gave it back to the team it was taken from, and the
    /// next check took it again.
    pub held_for: Option<(JobIx, Millis)>,
}

impl Machine {
    pub fn holds(&self, job: JobIx, task: u32) -> bool {
        self.attempts.iter().any(|a| a.job == job && a.task == task)
    }

    pub fn has_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|(held, _)| *held == image)
    }

    pub fn usable(&self) -> bool {
        !self.draining && self.hears()
    }

    /// It is up and stays so, by all that is known, and orders reach it.
    pub fn hears(&self) -> bool {
        self.state == MachineState::Up
            && !self.silent
            && self.recall_at.is_none()
            && self.doubt <= self.token
    }

    /// Whether a start of this attempt may still reach the worker, whatever its reports say.
    pub fn start_in_flight(&self, attempt: &Attempt) -> bool {
        attempt.outstanding
            || attempt.answered_at == Some(self.checkins)
            || attempt.fence > self.token
    }

    /// Whether the worker may forget an attempt that has ended. A copy of its start, however late, would start it
    /// again, beside the next attempt or what else its team runs, unless the worker has seen a higher token since.
    pub fn forgettable(&self, attempt: &Attempt) -> bool {
        attempt.direct < self.token || attempt.direct == 0
    }

    /// Nothing runs here or may yet.
    pub fn idle(&self) -> bool {
        self.attempts.iter().all(|a| a.phase == Phase::Ended)
    }
}

/// What the jobs that need a job make of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pull {
    /// The highest priority of any of them.
    pub priority: Priority,
    /// By when it has to be done for each of their aims, the earliest first, by the time of day.
    pub finish_ms: Vec<u64>,
}

impl Pull {
    /// Keeps the earliest times only.
    pub fn keep(&mut self, count: usize) {
        self.finish_ms.sort_unstable();
        self.finish_ms.dedup();
        self.finish_ms.truncate(count);
    }
}

/// What is aimed at for the jobs of a class, in seconds from their submission.
#[derive(Clone, Debug, Default)]
pub struct Aims {
    pub start_s: Vec<f64>,
    pub finish_s: Vec<f64>,
    /// Multiples of a job's own deadline.
    pub deadlines: Vec<f64>,
}

impl Aims {
    /// The tightest aim for starting.
    pub fn start(&self) -> Option<f64> {
        self.start_s.iter().copied().reduce(f64::min)
    }

    /// The ends that are aimed at for a job with a deadline, in seconds from its submission.
    pub fn due_s(&self, deadline_s: Option<f64>) -> impl Iterator<Item = f64> {
        let times = if self.deadlines.is_empty() {
            &[1.0][..]
        } else {
            &self.deadlines
        };
        let due = deadline_s.into_iter();
        due.flat_map(move |due| times.iter().map(move |times| due * times))
    }

    /// How long the tasks of a job can wait from its release, `held_s` after its submission, to end as
    /// is aimed at; what can't be met even at once is left out.
    fn waits_to_end(&self, estimate_s: f64, deadline_s: Option<f64>, held_s: f64) -> Vec<f64> {
        let run_s = estimate_s * ESTIMATE_MARGIN;
        let deadlines = self.due_s(deadline_s).map(|due| due - held_s - run_s);
        let finishes = self.finish_s.iter().map(|within| within - run_s);
        let mut waits: Vec<f64> = finishes.chain(deadlines).collect();
        waits.retain(|wait| *wait > 0.0);
        waits
    }
}

pub struct Books {
    pub teams: Vec<Team>,
    pub team_names: Names,
    pub zones: Names,
    pub zone_names: Vec<String>,
    pub images: Names,
    pub classes: Names,
    /// By class.
    pub aims: Vec<Aims>,
    /// Within how many seconds work within a guarantee is to start.
    pub guarantee_s: Option<f64>,
    pub types: Vec<MachineType>,
    pub type_names: Names,
    pub jobs: Vec<Job>,
    pub free_jobs: Vec<JobIx>,
    pub job_index: BTreeMap<JobId, JobIx>,
    /// Attempts placed before have begun to run at a time that is not known.
    pub since: Millis,
    /// When workers that have not reported since then can be expected to have found this leader.
    pub settled_at: Millis,
    /// How long tasks had waited that started since this was last taken.
    pub start_waits: Vec<Millis>,
    pub machines: Vec<Machine>,
    pub machine_index: HashMap<String, MachineIx>,
    /// What predecessors knew of machines' images, and which were to be replaced, until the machines
    /// are entered.
    remembered: HashMap<String, (Vec<(ImageIx, f64)>, bool)>,
    pub chunk_len: u32,
    /// Tasks with changes that the store does not hold and that no write under way carries.
    pub unlogged: BTreeSet<(JobIx, u32)>,
    /// Tasks whose changes are being written.
    pub logging: BTreeSet<(JobIx, u32)>,
    /// Machines that may want orders: what was placed there is stored, something has to stop, or
    /// they have been heard of.
    pub attention: BTreeSet<MachineIx>,
    /// Jobs whose last task is done, to be recorded as done.
    pub complete: BTreeSet<JobIx>,
    /// The time of day less the steady time, in milliseconds.
    wall_base: i64,
    /// Set whenever a scheduling round could find something new to do.
    pub changed: bool,
    /// What each class of each team is due, and what it got.
    pub dues: Dues,
}

impl Books {
    pub fn new(settings: &Settings, types: &[MachineType]) -> Self {
        let mut team_names = Names::default();
        let teams = settings
            .teams
            .iter()
            .map(|team| {
                team_names.index(&team.name);
                Team {
                    name: team.name.clone(),
                    guarantee: Amounts {
                        cpus: team.cpus,
                        gpus: team.gpus,
                        ram_gb: 0.0,
                    },
                    limit: Amounts {
                        cpus: limit_of(team.cpus_max),
                        gpus: limit_of(team.gpus_max),
                        ram_gb: f64::INFINITY,
                    },
                    booked: Amounts::default(),
                    queue: BTreeSet::new(),
                }
            })
            .collect();
        let mut books = Books {
            teams,
            team_names,
            zones: Names::default(),
            zone_names: Vec::new(),
            images: Names::default(),
            classes: Names::default(),
            aims: Vec::new(),
            guarantee_s: None,
            types: Vec::new(),
            type_names: Names::default(),
            jobs: Vec::new(),
            free_jobs: Vec::new(),
            job_index: BTreeMap::new(),
            since: 0,
            settled_at: 0,
            start_waits: Vec::new(),
            machines: Vec::new(),
            machine_index: HashMap::new(),
            remembered: HashMap::new(),
            chunk_len: crate::storage::chunk_len(settings.state.value_kb),
            unlogged: BTreeSet::new(),
            logging: BTreeSet::new(),
            attention: BTreeSet::new(),
            complete: BTreeSet::new(),
            wall_base: 0,
            changed: true,
            dues: Dues::default(),
        };
        for zone in &settings.zones {
            books.zone(zone);
        }
        for objective in &settings.objectives {
            books.aim(objective);
        }
        books.set_types(types);
        books
    }

    /// The ends that are aimed at for a job of a class, in seconds from its submission.
    pub fn due_s(&self, class: &str, deadline_s: Option<f64>) -> Vec<f64> {
        match self.classes.get(class) {
            Some(class) => self.aims[class as usize].due_s(deadline_s).collect(),
            None => deadline_s.into_iter().collect(),
        }
    }

    fn class(&mut self, name: &str) -> ClassIx {
        let index = self.classes.index(name);
        if index as usize == self.aims.len() {
            self.aims.push(Aims::default());
        }
        ClassIx(index)
    }

    fn aim(&mut self, objective: &Objective) {
        if objective.kind == "guarantee" {
            self.guarantee_s = objective.within_s;
        }
        let Some(class) = &objective.class else {
            return;
        };
        let class = self.class(class);
        let aims = &mut self.aims[class.at()];
        match (objective.kind.as_str(), objective.within_s) {
            ("wait", Some(within)) => aims.start_s.push(within),
            ("finished", Some(within)) => aims.finish_s.push(within),
            ("deadline", _) => aims.deadlines.push(objective.times.unwrap_or(1.0)),
            _ => {}
        }
    }

    /// Whether GPUs are what teams share; CPUs are where there are none.
    pub fn by_gpus(&self) -> bool {
        self.types.iter().any(|each| each.gpus > 0.0)
    }

    pub fn units(&self, amounts: &Amounts) -> f64 {
        if self.by_gpus() {
            amounts.gpus
        } else {
            amounts.cpus
        }
    }

    pub fn set_types(&mut self, types: &[MachineType]) {
        for each in types {
            for zone in &each.zones {
                self.zone(zone);
            }
            let index = self.type_names.index(&each.name) as usize;
            if index < self.types.len() {
                self.types[index] = each.clone();
            } else {
                self.types.push(each.clone());
            }
        }
        self.changed = true;
    }

    pub fn zone(&mut self, name: &str) -> ZoneIx {
        let index = self.zones.index(name);
        if index as usize == self.zone_names.len() {
            self.zone_names.push(name.to_owned());
            for job in &mut self.jobs {
                job.by_zone.resize(self.zone_names.len(), 0);
            }
        }
        ZoneIx(index)
    }

    pub fn job(&self, index: JobIx) -> &Job {
        &self.jobs[index.at()]
    }

    pub fn machine(&self, index: MachineIx) -> &Machine {
        &self.machines[index.at()]
    }

    pub fn set_time_of_day(&mut self, now: Millis, wall_ms: u64) {
        self.wall_base = wall_ms as i64 - now as i64;
    }

    pub fn wall_ms(&self, now: Millis) -> u64 {
        (now as i64 + self.wall_base).max(0) as u64
    }

    /// Jobs that have missed an aim go for the next one: they make way for those that can still
    /// meet theirs. In their old order everything that waits would come too late.
    pub fn take_turns(&mut self, now: Millis) {
        let wall_ms = self.wall_ms(now);
        for team in &mut self.teams {
            let passed: Vec<_> = team
                .queue
                .iter()
                .filter(|(.., job)| self.jobs[job.at()].turn_until <= wall_ms)
                .copied()
                .collect();
            for key in passed {
                team.queue.remove(&key);
                let job = &mut self.jobs[key.2.at()];
                job.take_turn(wall_ms);
                team.queue.insert((job.priority, job.turn_ms, key.2));
            }
        }
    }

    /// Enters an unfinished job that awaited nothing. `None`: its team is unknown here.
    pub fn add_job(&mut self, spec: &Submission, submitted_ms: u64, now: Millis) -> Option<JobIx> {
        self.add_released(spec, (submitted_ms, submitted_ms), now)
    }

    /// Enters an unfinished job for which no other has to be waited any more. Those that still wait are
    /// not here at all: so they weigh nothing.
    pub fn add_released(
        &mut self,
        spec: &Submission,
        (submitted_ms, released_ms): (u64, u64),
        now: Millis,
    ) -> Option<JobIx> {
        if let Some(&known) = self.job_index.get(&spec.id) {
            return Some(known);
        }
        let team = TeamIx(self.team_names.get(&spec.team)?);
        let types = match &spec.types {
            None => u64::MAX,
            Some(names) => names
                .iter()
                .filter_map(|name| self.type_names.get(name))
                .fold(0, |mask, index| mask | 1 << index),
        };
        let zone = spec.zone.as_deref().map(|name| self.zone(name));
        let count = spec.tasks;
        let class = self.class(&spec.class);
        let mut job = Job {
            id: spec.id,
            team,
            class,
            kind: spec.kind,
            priority: spec.priority,
            own_priority: spec.priority,
            submitted_ms,
            released_ms,
            turn_ms: 0,
            turn_until: 0,
            waits: Vec::new(),
            waits_to_end: Vec::new(),
            latest: Vec::new(),
            seen_at: now,
            need: Amounts {
                cpus: spec.cpus,
                gpus: spec.gpus,
                ram_gb: spec.ram_gb,
            },
            types,
            zone,
            one_zone: spec.one_zone,
            spread: spec.spread,
            spot: spec.spot,
            image: ImageIx(self.images.index(&spec.image)),
            image_gb: spec.image_gb,
            estimate_s: spec.estimate_s,
            checkpoint_s: spec.checkpoint_s,
            save_s: spec.save_s,
            deadline_s: spec.deadline_s,
            tasks: vec![
                Task {
                    status: TaskStatus::Waiting,
                    attempt: 0,
                    logged: 0,
                };
                count as usize
            ],
            chunks: vec![Chunk::default(); count.div_ceil(self.chunk_len) as usize],
            other_pages: Vec::new(),
            waiting: (0..count).collect(),
            done: 0,
            running: 0,
            by_zone: vec![0; self.zone_names.len()],
            closed: false,
            finishing: false,
            not_before: 0,
            errors: 0,
            at_fault: false,
            pace: Mean::default(),
            failed_on: VecDeque::new(),
            failed_at: 0,
        };
        let (to_start, to_end) = self.own_waits(&job);
        job.set_waits(&to_start, to_end);
        job.take_turn(self.wall_ms(now));
        let key = (job.priority, job.turn_ms);
        let index = match self.free_jobs.pop() {
            Some(index) => {
                self.jobs[index.at()] = job;
                index
            }
            None => {
                self.jobs.push(job);
                JobIx(self.jobs.len() as u32 - 1)
            }
        };
        self.job_index.insert(spec.id, index);
        self.teams[team.at()].queue.insert((key.0, key.1, index));
        self.changed = true;
        Some(index)
    }

    /// How long a job's tasks can wait for its own aims: to start, and to end.
    fn own_waits(&self, job: &Job) -> (Vec<f64>, Vec<f64>) {
        // Replicas run on and on: what counts for them is their age.
        if job.kind == Kind::Service {
            return Default::default();
        }
        let held_s = job.released_ms.saturating_sub(job.submitted_ms) as f64 / 1000.0;
        let aims = &self.aims[job.class.at()];
        let to_end = aims.waits_to_end(job.estimate_s, job.deadline_s, held_s);
        (aims.start_s.clone(), to_end)
    }

    /// A job is as urgent as the most urgent of those that need it, and is to end by the latest times
    /// at which they can still meet their aims.
    pub fn pull(&mut self, index: JobIx, pull: &Pull, now: Millis) {
        let wall_ms = self.wall_ms(now);
        let (to_start, mut to_end) = self.own_waits(self.job(index));
        let job = &mut self.jobs[index.at()];
        let queue = &mut self.teams[job.team.at()].queue;
        let queued = queue.remove(&(job.priority, job.turn_ms, index));
        let run_ms = millis(job.estimate_s * ESTIMATE_MARGIN);
        let due = pull.finish_ms.iter().filter_map(|due| {
            let wait = due.checked_sub(job.released_ms + run_ms)?;
            (wait > 0).then_some(wait as f64 / 1000.0)
        });
        to_end.extend(due);
        job.set_waits(&to_start, to_end);
        job.priority = job.own_priority.min(pull.priority);
        job.take_turn(wall_ms);
        if queued {
            queue.insert((job.priority, job.turn_ms, index));
            self.changed = true;
        }
    }

    /// Enters a machine, or finds it.
    pub fn add_machine(
        &mut self,
        name: &str,
        type_ix: TypeIx,
        zone: ZoneIx,
        spot: bool,
        now: Millis,
    ) -> MachineIx {
        if let Some(&known) = self.machine_index.get(name) {
            return known;
        }
        let index = MachineIx(self.machines.len() as u32);
        let (images, draining) = self.remembered.remove(name).unwrap_or_default();
        self.machines.push(Machine {
            name: name.to_owned(),
            addr: None,
            type_ix,
            zone,
            spot,
            state: MachineState::Booting,
            session: 0,
            seq: 0,
            token: 0,
            checkins: 0,
            heard_at: None,
            lease_until: 0,
            recall_at: None,
            known_since: now,
            rented_at: now,
            listed: false,
            absent: 0,
            listed_running: None,
            listed_failed: false,
            attempts: Vec::new(),
            used: Amounts::default(),
            images,
            idle_since: now,
            busy: false,
            draining,
            silent: false,
            failures: Vec::new(),
            sick: false,
            pace: Mean::default(),
            avoid_until: 0,
            doubt: 0,
            held_for: None,
        });
        self.machine_index.insert(name.to_owned(), index);
        index
    }

    /// Takes over what a predecessor knew of a machine: its images, and whether nothing more is to be
    /// placed there. Without that, a successor filled a machine that fails every task once more.
    pub fn remember(
        &mut self,
        machine: String,
        images: impl Iterator<Item = (String, f64)>,
        draining: bool,
    ) {
        let images = images.map(|(name, gb)| (ImageIx(self.images.index(&name)), gb));
        let images = images.collect();
        match self.machine_index.get(&machine) {
            Some(known) => {
                let known = &mut self.machines[known.at()];
                known.images = images;
                known.draining |= draining;
            }
            None => {
                self.remembered.insert(machine, (images, draining));
            }
        }
    }

    pub fn room(&self, machine: &Machine) -> Amounts {
        let whole = &self.types[machine.type_ix.at()];
        Amounts {
            cpus: whole.cpus - machine.used.cpus,
            gpus: whole.gpus - machine.used.gpus,
            ram_gb: whole.ram_gb - machine.used.ram_gb,
        }
    }

    /// Whether the machine's type, zone and kind suit the job and its room a further task.
    pub fn fits(&self, job: &Job, machine: &Machine) -> bool {
        machine.usable() && self.suits(job, machine)
    }

    /// The same, whether or not anything new is to be placed there.
    pub fn suits(&self, job: &Job, machine: &Machine) -> bool {
        (!machine.spot || job.spot)
            && job.allows_type(machine.type_ix)
            && job.need.fits_in(&self.room(machine))
            && job.allows_zone(machine.zone)
    }

    /// Whether what is free there is kept for another job.
    pub fn kept_from(&self, job: JobIx, machine: &Machine, now: Millis) -> bool {
        machine.held_for.is_some_and(|(other, until)| {
            let other_job = self.job(other);
            now < until
                && other != job
                && !other_job.waiting.is_empty()
                && other_job.priority <= self.job(job).priority
        })
    }

    /// Books a new attempt of a class that is behind its due.
    pub fn place_owed(&mut self, job: JobIx, task: u32, on: MachineIx, now: Millis) {
        self.place(job, task, on, now);
        if let Some(attempt) = self.machines[on.at()].attempts.last_mut() {
            attempt.owed = true;
        }
    }

    /// Books a new attempt; its start may be sent once that is stored.
    pub fn place(&mut self, job: JobIx, task: u32, on: MachineIx, now: Millis) {
        let entry = &mut self.jobs[job.at()].tasks[task as usize];
        debug_assert_eq!(entry.status, TaskStatus::Waiting);
        let attempt = entry.attempt + 1;
        self.unlogged.insert((job, task));
        self.book(
            Attempt {
                job,
                task,
                attempt,
                phase: Phase::Placed,
                cause: None,
                placed_at: now,
                running_since: None,
                sent: false,
                inherited: false,
                outstanding: false,
                answered_at: None,
                fence: 0,
                stop: None,
                stop_sent: false,
                settled: false,
                direct: 0,
                owed: false,
            },
            on,
        );
    }

    /// Enters an attempt that may be running: its task, its team's use, its machine's room.
    pub fn book(&mut self, attempt: Attempt, on: MachineIx) {
        let machine = &mut self.machines[on.at()];
        let job = &mut self.jobs[attempt.job.at()];
        let task = &mut job.tasks[attempt.task as usize];
        task.status = TaskStatus::Active(on);
        task.attempt = attempt.attempt;
        job.waiting.remove(&attempt.task);
        job.by_zone[machine.zone.at()] += 1;
        machine.used.add(&job.need);
        let team = &mut self.teams[job.team.at()];
        team.booked.add(&job.need);
        if job.waiting.is_empty() {
            team.queue.remove(&(job.priority, job.turn_ms, attempt.job));
        }
        machine.attempts.push(attempt);
    }

    /// Takes an attempt's use off the books: it is known to run no more.
    fn unbook(&mut self, on: MachineIx, attempt: &Attempt, now: Millis) {
        let machine = &mut self.machines[on.at()];
        let job = &mut self.jobs[attempt.job.at()];
        job.by_zone[machine.zone.at()] -= 1;
        if attempt.phase >= Phase::Running && attempt.phase < Phase::Ended {
            job.running -= 1;
        }
        machine.used.sub(&job.need);
        self.teams[job.team.at()].booked.sub(&job.need);
        if machine.idle() {
            machine.used = Amounts::default();
            machine.idle_since = now;
        }
        self.changed = true;
    }

    /// Follows a report: the attempt is in `phase` now.
    pub fn advance(&mut self, on: MachineIx, at: usize, phase: Phase, now: Millis) {
        let attempt = &mut self.machines[on.at()].attempts[at];
        let before = attempt.phase;
        if before == phase || before == Phase::Ended {
            return;
        }
        let counted = |phase| matches!(phase, Phase::Running | Phase::Saving);
        let (job, shown) = (attempt.job, attempt.clone());
        attempt.phase = phase;
        if phase == Phase::Running {
            attempt.running_since = Some(now);
        }
        if phase == Phase::Ended {
            self.unbook(on, &shown, now);
            return;
        }
        let entry = &mut self.jobs[job.at()];
        if counted(phase) && !counted(before) {
            entry.running += 1;
            let (image, gb) = (entry.image, entry.image_gb);
            self.keep_image(on, image, gb);
        } else if counted(before) && !counted(phase) {
            entry.running -= 1;
        }
    }

    fn keep_image(&mut self, on: MachineIx, image: ImageIx, gb: f64) {
        let machine = &mut self.machines[on.at()];
        machine.images.retain(|(held, _)| *held != image);
        machine.images.push((image, gb));
        let cache = self.types[machine.type_ix.at()].cache_gb;
        while machine.images.len() > 1
            && machine.images.iter().map(|(_, gb)| gb).sum::<f64>() > cache
        {
            machine.images.remove(0);
        }
    }

    /// Removes an attempt that is known to be gone. Its task, if this was still its attempt, waits
    /// again.
    pub fn drop_attempt(&mut self, on: MachineIx, at: usize, now: Millis) {
        let attempt = self.machines[on.at()].attempts.swap_remove(at);
        if attempt.phase != Phase::Ended {
            self.unbook(on, &attempt, now);
        }
        if !attempt.settled {
            self.requeue(attempt.job, attempt.task, attempt.attempt);
        }
    }

    /// The task waits again, if this attempt was its latest.
    pub fn requeue(&mut self, job: JobIx, task: u32, attempt: u32) {
        let entry = &mut self.jobs[job.at()];
        let state = &mut entry.tasks[task as usize];
        if state.attempt != attempt || !matches!(state.status, TaskStatus::Active(_)) {
            return;
        }
        state.status = TaskStatus::Waiting;
        self.changed = true;
        if entry.closed {
            return;
        }
        entry.waiting.insert(task);
        let key = (entry.priority, entry.turn_ms, job);
        self.teams[entry.team.at()].queue.insert(key);
    }

    /// The task has completed.
    pub fn complete_task(&mut self, job: JobIx, task: u32) {
        let entry = &mut self.jobs[job.at()];
        let state = &mut entry.tasks[task as usize];
        if state.status != TaskStatus::Done {
            state.status = TaskStatus::Done;
            entry.done += 1;
            entry.waiting.remove(&task);
            if entry.waiting.is_empty() {
                let key = (entry.priority, entry.turn_ms, job);
                self.teams[entry.team.at()].queue.remove(&key);
            }
            if entry.complete() {
                self.complete.insert(job);
            }
        }
        self.unlogged.insert((job, task));
    }

    /// The job is over: nothing of it is placed any more, and what runs is to be stopped.
    pub fn close_job(&mut self, index: JobIx) {
        let job = &mut self.jobs[index.at()];
        job.closed = true;
        job.waiting.clear();
        let key = (job.priority, job.turn_ms, index);
        self.teams[job.team.at()].queue.remove(&key);
        self.complete.remove(&index);
        let unlogged = self.unlogged.range(of_job(index)).copied();
        for note in unlogged.collect::<Vec<_>>() {
            self.unlogged.remove(&note);
        }
        for (number, machine) in self.machines.iter_mut().enumerate() {
            for attempt in &mut machine.attempts {
                if attempt.job == index && attempt.phase != Phase::Ended {
                    attempt.stop = Some(0.0);
                    attempt.stop_sent = false;
                    self.attention.insert(MachineIx(number as u32));
                }
            }
        }
        self.changed = true;
    }

    /// Orders an attempt stopped, giving it `grace_s` to save.
    pub fn stop(&mut self, on: MachineIx, at: usize, grace_s: f64) {
        let attempt = &mut self.machines[on.at()].attempts[at];
        attempt.stop = Some(grace_s);
        attempt.stop_sent = false;
        self.attention.insert(on);
    }

    /// The store holds what is known of these tasks: their starts and reaps may go out.
    pub fn attend(&mut self, tasks: &BTreeSet<(JobIx, u32)>) {
        for &(job, task) in tasks {
            let task = self.jobs[job.at()].tasks.get(task as usize);
            if let Some(TaskStatus::Active(on)) = task.map(|task| task.status) {
                self.attention.insert(on);
            }
        }
    }

    /// Whether the store holds what is known of the task: where it was placed, or that it is done.
    pub fn stored(&self, job: JobIx, task: u32) -> bool {
        !self.unlogged.contains(&(job, task)) && !self.logging.contains(&(job, task))
    }

    /// Whether an attempt has ended, and all that it came to is known beyond its worker.
    pub fn told(&self, attempt: &Attempt) -> bool {
        attempt.phase == Phase::Ended
            && attempt.settled
            && (attempt.cause != Some(Cause::Done)
                || self.job(attempt.job).closed
                || self.stored(attempt.job, attempt.task))
    }

    /// Whether all changes of the job's tasks are stored or in the write that is under way.
    pub fn written(&self, job: JobIx) -> bool {
        self.unlogged.range(of_job(job)).next().is_none()
    }

    /// A page stands in the store with this version; 0: it is not there.
    pub fn enter_page(&mut self, id: JobId, page: PageNumber, version: u64) {
        let Some(&job) = self.job_index.get(&id) else {
            return;
        };
        let job = &mut self.jobs[job.at()];
        if let Some(chunk) = page.chunk(self.chunk_len) {
            if let Some(stands) = job.chunks.get_mut(chunk as usize) {
                stands.version = version;
                stands.in_flight = false;
            }
        } else {
            job.other_pages.retain(|(other, _)| *other != page);
            if version > 0 {
                job.other_pages.push((page, version));
            }
        }
    }

    /// The pages of a job that stand in the store, with their versions.
    pub fn pages(&self, index: JobIx) -> Vec<(PageNumber, u64)> {
        let job = self.job(index);
        let own = job.chunks.iter().zip(0..);
        let own = own.map(|(chunk, at)| (PageNumber::new(self.chunk_len, at), chunk.version));
        own.filter(|(_, version)| *version > 0)
            .chain(job.other_pages.iter().copied())
            .collect()
    }

    /// Forgets a job that is over, unless a write under way still names it.
    pub fn free_job(&mut self, index: JobIx) -> bool {
        if self.logging.range(of_job(index)).next().is_some() {
            return false;
        }
        let job = &mut self.jobs[index.at()];
        self.job_index.remove(&job.id);
        job.tasks = Vec::new();
        self.free_jobs.push(index);
        true
    }
}

fn of_job(job: JobIx) -> std::ops::RangeInclusive<(JobIx, u32)> {
    (job, 0)..=(job, u32::MAX)
}
