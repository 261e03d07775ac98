//! The books: teams, jobs, tasks, machines and the attempts that bind them.
//!
//! An attempt that was ever sent to a machine counts as running (for limits, spread and the
//! machine's room) until it is *known* to be gone: a newer report denies it and no start of it can
//! still be on its way, or the machine's lease has surely run out, or the cloud deleted the machine.

pub mod fault_attribution;
pub mod records;
pub mod straggler;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::{
    cluster::straggler::RunningMean,
    config::{Objective, Settings},
    protocol::{
        cloud::MachineType,
        ids::{JobId, TaskId},
        job::{JobKind, Priority, Submission},
        worker::FailureCause,
    },
    storage::SnapshotNumber,
    time::{Millis, millis},
};

macro_rules! index {
    ($($name:ident),*) => {$(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);
        impl $name {
            pub fn as_usize(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

index!(
    TeamIndex,
    JobIndex,
    MachineIndex,
    MachineTypeIndex,
    ZoneIndex,
    ImageIndex,
    ClassIndex
);

/// Interner and their dense indices.
#[derive(Default)]
pub struct Interner {
    by_name: HashMap<String, u32>,
}

impl Interner {
    pub fn intern(&mut self, name: &str) -> u32 {
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
const NO_OBJECTIVE_SLACK_MS: Millis = 60_000;
/// A job that can meet no aim any more lets those go first that can, for this long.
const MISSED_OBJECTIVES_DELAY_MS: Millis = 300_000;
/// The part of the wait for a later aim after which a job's turn comes.
const LATER_OBJECTIVE_FRACTION: f64 = 0.7;
/// A task placed this short before it should run will be late.
const PLACEMENT_LEAD_MS: Millis = 500;
/// Estimates are often too low.
pub const ESTIMATE_MARGIN: f64 = 1.3;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

/// Sums of decimal amounts may miss a whole by a rounding error.
const RESOURCE_EPSILON: f64 = 1e-6;

impl Resources {
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + RESOURCE_EPSILON
            && self.gpus <= room.gpus + RESOURCE_EPSILON
            && self.ram_gb <= room.ram_gb + RESOURCE_EPSILON
    }

    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram_gb += other.ram_gb;
    }

    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram_gb -= other.ram_gb;
    }
}

/// A limit as operators write it, where 0 means none.
fn limit_or_infinite(amount: f64) -> f64 {
    if amount > 0.0 { amount } else { f64::INFINITY }
}

/// A job's place in its team's queue.
pub type QueueKey = (Priority, u64, JobIndex);

pub struct Team {
    pub name: String,
    pub guarantee: Resources,
    /// Infinite where there is none.
    pub limit: Resources,
    pub reserved: Resources,
    /// Jobs with waiting tasks, the most urgent and oldest first.
    pub queue: BTreeSet<QueueKey>,
}

impl Team {
    /// Whether the team may have `more` on top of what is booked.
    pub fn allows(&self, more: &Resources) -> bool {
        let within = |limit: f64, booked: f64, more: f64| {
            more <= 0.0 || booked + more <= limit + RESOURCE_EPSILON
        };
        within(self.limit.cpus, self.reserved.cpus, more.cpus)
            && within(self.limit.gpus, self.reserved.gpus, more.gpus)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskStatus {
    Waiting,
    Active(MachineIndex),
    Done,
}

#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub status: TaskStatus,
    /// The number of the latest attempt; 0: never placed.
    pub attempt: u32,
    /// The last entry of the log that tells of it; 0: none that counts.
    pub last_log_seq: u64,
}

/// How the page on a stretch of a job's tasks stands with the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRange {
    /// The key's version; 0: not in the store.
    pub key_version: u64,
    /// The page covers all log entries up to this one.
    pub snapshot_seq: u64,
    pub in_flight: bool,
}

pub struct Job {
    pub id: JobId,
    pub team: TeamIndex,
    pub class: ClassIndex,
    pub kind: JobKind,
    /// The highest of its own and of those of the jobs that need it.
    pub priority: Priority,
    submitted_priority: Priority,
    /// When it was submitted, by the accepting node's time of day.
    pub submitted_ms: u64,
    /// When the last job that it awaited was done, or it was submitted. Its age counts from then, and
    /// so does all that is aimed at for it but its deadline.
    pub released_ms: u64,
    /// Its place among its team's jobs of the same priority: the time of day by which its tasks
    /// have to be placed for the next aim that they can still meet.
    pub placement_deadline_ms: u64,
    /// When that has passed: the place is another one from then on.
    pub placement_deadline_valid_until_ms: u64,
    /// How many seconds from its release its tasks can wait for each of the aims, and for those of the
    /// jobs that need it, the tightest first.
    pub objective_slacks_s: Vec<f64>,
    /// Those of these waits that are for ends, not for starts.
    pub completion_slacks_s: Vec<f64>,
    /// Milliseconds from its release by which a task has to be placed for that.
    pub latest_placements_ms: Vec<Millis>,
    /// When this node first heard of it.
    pub first_seen_at: Millis,
    pub requested: Resources,
    pub allowed_types: u64,
    pub zone: Option<ZoneIndex>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub image: ImageIndex,
    pub image_gb: f64,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub deadline_s: Option<f64>,
    pub tasks: Vec<Task>,
    pub task_ranges: Vec<TaskRange>,
    /// Pages of another length, with their versions: read, never written, deleted in the end.
    pub foreign_snapshots: Vec<(SnapshotNumber, u64)>,
    pub waiting: BTreeSet<u32>,
    pub done_count: u32,
    pub running_count: u32,
    /// Attempts that may be on a machine, by zone.
    pub active_by_zone: Vec<u32>,
    pub closed: bool,
    pub finishing: bool,
    /// Backing off after failures: nothing of the job is placed before.
    pub backoff_until: Millis,
    pub consecutive_failures: u32,
    /// It fails on every machine: submitted with a mistake, by all that is known.
    pub quarantined: bool,
    /// What its completed tasks took.
    pub mean_runtime_s: RunningMean,
    /// Machines on which it failed lately.
    pub recently_failed_on: VecDeque<MachineIndex>,
    /// When it last failed.
    pub last_failed_at: Millis,
}

impl Job {
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id,
            index,
        }
    }

    /// How long its tasks can wait, the tightest first.
    fn set_slacks(&mut self, to_start: &[f64], to_end: Vec<f64>) {
        let mut waits = [to_start, &to_end].concat();
        waits.sort_by(f64::total_cmp);
        self.completion_slacks_s = to_end;
        // What is late already must not wait for the last moment again: many come to theirs at once.
        let latest = waits.iter().enumerate().map(|(number, wait)| {
            let part = if number == 0 {
                1.0
            } else {
                LATER_OBJECTIVE_FRACTION
            };
            millis(wait * part).saturating_sub(PLACEMENT_LEAD_MS)
        });
        self.latest_placements_ms = latest.collect();
        self.objective_slacks_s = waits;
    }

    /// Its place from `wall_ms` on.
    fn refresh_placement_deadline(&mut self, wall_ms: u64) {
        let waited = wall_ms.saturating_sub(self.released_ms);
        let next = self
            .latest_placements_ms
            .iter()
            .find(|latest| **latest > waited);
        let within = match (next, self.latest_placements_ms.last()) {
            (Some(&next), _) => next,
            (None, Some(&last)) => last + MISSED_OBJECTIVES_DELAY_MS,
            (None, None) => NO_OBJECTIVE_SLACK_MS,
        };
        self.placement_deadline_ms = self.released_ms + within;
        self.placement_deadline_valid_until_ms = match next {
            Some(_) => self.placement_deadline_ms,
            None => u64::MAX,
        };
    }

    pub fn is_complete(&self) -> bool {
        self.kind != JobKind::Service && self.done_count as usize == self.tasks.len()
    }

    /// Whether a further task may be in `zone`, given the others.
    pub fn allows_zone(&self, zone: ZoneIndex) -> bool {
        if self.zone.is_some_and(|only| only != zone) {
            return false;
        }
        if self.one_zone
            && self
                .active_by_zone
                .iter()
                .enumerate()
                .any(|(other, &count)| count > 0 && other != zone.as_usize())
        {
            return false;
        }
        !self.spread
            || (self.active_by_zone[zone.as_usize()] as usize) < self.tasks.len().div_ceil(2)
    }

    /// How many of its tasks may be put on machines now. Of a job that fails everywhere one at a time is
    /// tried.
    pub fn placeable_tasks(&self) -> usize {
        let waiting = self.waiting.len();
        if !self.quarantined {
            return waiting;
        }
        let tried = self.tasks.len() - waiting > self.done_count as usize;
        waiting.min(usize::from(!tried))
    }

    pub fn allows_type(&self, index: MachineTypeIndex) -> bool {
        self.allowed_types & (1 << index.0) != 0
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
    pub job: JobIndex,
    pub task: u32,
    pub attempt: u32,
    pub phase: Phase,
    pub cause: Option<FailureCause>,
    pub placed_at: Millis,
    pub running_since: Option<Millis>,
    /// A start was sent, by this leader or perhaps by an earlier one.
    pub start_sent: bool,
    /// Taken over from a predecessor's notes, and not seen yet. It is never started again: the
    /// predecessor may have found it gone and given its place to others without a note.
    pub recovered: bool,
    /// A direct start is on its way.
    pub direct_start_in_flight: bool,
    /// The check-in whose answer carried a start.
    pub started_by_heartbeat: Option<u64>,
    /// A start may run late until the worker has reported this token.
    pub fencing_token: u64,
    /// The term under which a start was last sent directly, by this leader or perhaps by an earlier one. 0: never.
    /// Even one that was answered may come once more.
    pub direct_start_term: u64,
    /// Stop it, giving it this long to save.
    pub stop_grace_s: Option<f64>,
    /// The stop went out directly.
    pub stop_sent: bool,
    /// Ended, and its task was dealt with.
    pub reconciled: bool,
    /// Placed because its class was behind its due: it gives way to no array.
    pub placed_for_fair_share: bool,
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
    pub machine_type: MachineTypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
    pub state: MachineState,
    /// The worker's session; 0: not known.
    pub incarnation: u64,
    pub seq: u64,
    pub token: u64,
    /// Fresh check-ins received.
    pub heartbeats_received: u64,
    pub last_heartbeat_at: Option<Millis>,
    /// When its worker's lease, as far as we may have renewed it, surely has run out.
    pub lease_until: Millis,
    pub reclaim_at: Option<Millis>,
    pub known_since: Millis,
    /// When the rental began, by our clock; negative times are cut off.
    pub provisioned_at: Millis,
    pub listed: bool,
    pub missed_listings: u32,
    pub listed_running: Option<Millis>,
    pub listed_failed: bool,
    pub attempts: Vec<Attempt>,
    pub reserved: Resources,
    /// Images on its disk, the latest used last.
    pub cached_images: Vec<(ImageIndex, f64)>,
    pub idle_since: Millis,
    /// A direct command is under way.
    pub command_in_flight: bool,
    pub draining: bool,
    /// Not heard of for longer than its reports take: nothing new is placed there.
    pub unresponsive: bool,
    /// Jobs that failed here since one last succeeded.
    pub recent_failures: Vec<JobId>,
    /// To be replaced for that.
    pub faulty: bool,
    /// How its tasks compare with other tasks of their jobs.
    pub mean_slowdown: RunningMean,
    pub avoid_until: Millis,
    /// A start that was sent there got no answer, or all that is known of it is a report which may be old: until the
    /// worker answers or shows a token as high as this, it may hear nothing or be gone. 0: none.
    pub unconfirmed_token: u64,
    /// Work was stopped here for this job: until then its room is nobody else's of the same or a
    /// lower priority. Without that the heap gave it back to the team it was taken from, and the
    /// next check took it again.
    pub reserved_for: Option<(JobIndex, Millis)>,
}

impl Machine {
    pub fn has_attempt_of(&self, job: JobIndex, task: u32) -> bool {
        self.attempts.iter().any(|a| a.job == job && a.task == task)
    }

    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.cached_images.iter().any(|(held, _)| *held == image)
    }

    pub fn is_schedulable(&self) -> bool {
        !self.draining && self.can_receive_commands()
    }

    /// It is up and stays so, by all that is known, and orders reach it.
    pub fn can_receive_commands(&self) -> bool {
        self.state == MachineState::Up
            && !self.unresponsive
            && self.reclaim_at.is_none()
            && self.unconfirmed_token <= self.token
    }

    /// Whether a start of this attempt may still reach the worker, whatever its reports say.
    pub fn has_start_in_flight(&self, attempt: &Attempt) -> bool {
        attempt.direct_start_in_flight
            || attempt.started_by_heartbeat == Some(self.heartbeats_received)
            || attempt.fencing_token > self.token
    }

    /// Whether the worker may forget an attempt that has ended. A copy of its start, however late, would start it
    /// again, beside the next attempt or what else its team runs, unless the worker has seen a higher token since.
    pub fn can_reap(&self, attempt: &Attempt) -> bool {
        attempt.direct_start_term < self.token || attempt.direct_start_term == 0
    }

    /// Nothing runs here or may yet.
    pub fn is_idle(&self) -> bool {
        self.attempts.iter().all(|a| a.phase == Phase::Ended)
    }
}

/// What the jobs that need a job make of it.
#[derive(Clone, Debug, PartialEq)]
pub struct InheritedUrgency {
    /// The highest priority of any of them.
    pub priority: Priority,
    /// By when it has to be done for each of their aims, the earliest first, by the time of day.
    pub finish_by_ms: Vec<u64>,
}

impl InheritedUrgency {
    /// Keeps the earliest times only.
    pub fn keep_earliest(&mut self, count: usize) {
        self.finish_by_ms.sort_unstable();
        self.finish_by_ms.dedup();
        self.finish_by_ms.truncate(count);
    }
}

/// What is aimed at for the jobs of a class, in seconds from their submission.
#[derive(Clone, Debug, Default)]
pub struct ServiceLevelObjectives {
    pub start_s: Vec<f64>,
    pub finish_s: Vec<f64>,
    /// Multiples of a job's own deadline.
    pub deadline_multiples: Vec<f64>,
}

impl ServiceLevelObjectives {
    /// The tightest aim for starting.
    pub fn tightest_start_s(&self) -> Option<f64> {
        self.start_s.iter().copied().reduce(f64::min)
    }

    /// The ends that are aimed at for a job with a deadline, in seconds from its submission.
    pub fn completion_objectives_s(&self, deadline_s: Option<f64>) -> impl Iterator<Item = f64> {
        let times = if self.deadline_multiples.is_empty() {
            &[1.0][..]
        } else {
            &self.deadline_multiples
        };
        let due = deadline_s.into_iter();
        due.flat_map(move |due| times.iter().map(move |times| due * times))
    }

    /// How long the tasks of a job can wait from its release, `held_s` after its submission, to end as
    /// is aimed at; what can't be met even at once is left out.
    fn completion_slacks_s(
        &self,
        estimate_s: f64,
        deadline_s: Option<f64>,
        held_s: f64,
    ) -> Vec<f64> {
        let run_s = estimate_s * ESTIMATE_MARGIN;
        let deadlines = self
            .completion_objectives_s(deadline_s)
            .map(|due| due - held_s - run_s);
        let finishes = self.finish_s.iter().map(|within| within - run_s);
        let mut waits: Vec<f64> = finishes.chain(deadlines).collect();
        waits.retain(|wait| *wait > 0.0);
        waits
    }
}

pub struct ClusterState {
    pub teams: Vec<Team>,
    pub team_interner: Interner,
    pub zone_interner: Interner,
    pub zone_names: Vec<String>,
    pub image_interner: Interner,
    pub class_interner: Interner,
    /// By class.
    pub objectives: Vec<ServiceLevelObjectives>,
    /// Within how many seconds work within a guarantee is to start.
    pub guarantee_objective_s: Option<f64>,
    pub machine_types: Vec<MachineType>,
    pub type_interner: Interner,
    pub jobs: Vec<Job>,
    pub free_job_slots: Vec<JobIndex>,
    pub jobs_by_id: BTreeMap<JobId, JobIndex>,
    /// Attempts placed before have begun to run at a time that is not known.
    pub leader_since: Millis,
    /// When workers that have not reported since then can be expected to have found this leader.
    pub workers_expected_by: Millis,
    /// How long tasks had waited that started since this was last taken.
    pub start_wait_samples: Vec<Millis>,
    pub machines: Vec<Machine>,
    pub machines_by_name: HashMap<String, MachineIndex>,
    /// What predecessors knew of machines' images, and which were to be replaced, until the machines
    /// are entered.
    recovered_machine_hints: HashMap<String, (Vec<(ImageIndex, f64)>, bool)>,
    pub task_range_len: u32,
    /// TaskModel with changes that the store does not hold and that no write under way carries.
    pub unlogged_tasks: BTreeSet<(JobIndex, u32)>,
    /// TaskModel whose changes are being written.
    pub tasks_being_logged: BTreeSet<(JobIndex, u32)>,
    /// Machines that may want orders: what was placed there is stored, something has to stop, or
    /// they have been heard of.
    pub machines_needing_commands: BTreeSet<MachineIndex>,
    /// Jobs whose last task is done, to be recorded as done.
    pub completed_jobs: BTreeSet<JobIndex>,
    /// The time of day less the steady time, in milliseconds.
    wall_clock_offset_ms: i64,
    /// Set whenever a scheduling round could find something new to do.
    pub scheduling_needed: bool,
}

impl ClusterState {
    pub fn new(settings: &Settings, types: &[MachineType]) -> Self {
        let mut team_names = Interner::default();
        let teams = settings
            .teams
            .iter()
            .map(|team| {
                team_names.intern(&team.name);
                Team {
                    name: team.name.clone(),
                    guarantee: Resources {
                        cpus: team.cpus,
                        gpus: team.gpus,
                        ram_gb: 0.0,
                    },
                    limit: Resources {
                        cpus: limit_or_infinite(team.cpus_max),
                        gpus: limit_or_infinite(team.gpus_max),
                        ram_gb: f64::INFINITY,
                    },
                    reserved: Resources::default(),
                    queue: BTreeSet::new(),
                }
            })
            .collect();
        let mut cluster = ClusterState {
            teams,
            team_interner: team_names,
            zone_interner: Interner::default(),
            zone_names: Vec::new(),
            image_interner: Interner::default(),
            class_interner: Interner::default(),
            objectives: Vec::new(),
            guarantee_objective_s: None,
            machine_types: Vec::new(),
            type_interner: Interner::default(),
            jobs: Vec::new(),
            free_job_slots: Vec::new(),
            jobs_by_id: BTreeMap::new(),
            leader_since: 0,
            workers_expected_by: 0,
            start_wait_samples: Vec::new(),
            machines: Vec::new(),
            machines_by_name: HashMap::new(),
            recovered_machine_hints: HashMap::new(),
            task_range_len: crate::storage::task_range_len(settings.state.max_value_kb),
            unlogged_tasks: BTreeSet::new(),
            tasks_being_logged: BTreeSet::new(),
            machines_needing_commands: BTreeSet::new(),
            completed_jobs: BTreeSet::new(),
            wall_clock_offset_ms: 0,
            scheduling_needed: true,
        };
        for zone in &settings.zones {
            cluster.intern_zone(zone);
        }
        for objective in &settings.objectives {
            cluster.add_objective(objective);
        }
        cluster.set_machine_types(types);
        cluster
    }

    /// The ends that are aimed at for a job of a class, in seconds from its submission.
    pub fn completion_objectives_s(&self, class: &str, deadline_s: Option<f64>) -> Vec<f64> {
        match self.class_interner.get(class) {
            Some(class) => self.objectives[class as usize]
                .completion_objectives_s(deadline_s)
                .collect(),
            None => deadline_s.into_iter().collect(),
        }
    }

    fn intern_class(&mut self, name: &str) -> ClassIndex {
        let index = self.class_interner.intern(name);
        if index as usize == self.objectives.len() {
            self.objectives.push(ServiceLevelObjectives::default());
        }
        ClassIndex(index)
    }

    fn add_objective(&mut self, objective: &Objective) {
        if objective.kind == "guarantee" {
            self.guarantee_objective_s = objective.target_s;
        }
        let Some(class) = &objective.class else {
            return;
        };
        let class = self.intern_class(class);
        let aims = &mut self.objectives[class.as_usize()];
        match (objective.kind.as_str(), objective.target_s) {
            ("wait", Some(within)) => aims.start_s.push(within),
            ("finished", Some(within)) => aims.finish_s.push(within),
            ("deadline", _) => aims.deadline_multiples.push(objective.times.unwrap_or(1.0)),
            _ => {}
        }
    }

    /// Whether GPUs are what teams share; CPUs are where there are none.
    pub fn shares_gpus(&self) -> bool {
        self.machine_types.iter().any(|each| each.gpus > 0.0)
    }

    pub fn accounted_units(&self, amounts: &Resources) -> f64 {
        if self.shares_gpus() {
            amounts.gpus
        } else {
            amounts.cpus
        }
    }

    pub fn set_machine_types(&mut self, types: &[MachineType]) {
        for each in types {
            for zone in &each.zones {
                self.intern_zone(zone);
            }
            let index = self.type_interner.intern(&each.name) as usize;
            if index < self.machine_types.len() {
                self.machine_types[index] = each.clone();
            } else {
                self.machine_types.push(each.clone());
            }
        }
        self.scheduling_needed = true;
    }

    pub fn intern_zone(&mut self, name: &str) -> ZoneIndex {
        let index = self.zone_interner.intern(name);
        if index as usize == self.zone_names.len() {
            self.zone_names.push(name.to_owned());
            for job in &mut self.jobs {
                job.active_by_zone.resize(self.zone_names.len(), 0);
            }
        }
        ZoneIndex(index)
    }

    pub fn job(&self, index: JobIndex) -> &Job {
        &self.jobs[index.as_usize()]
    }

    pub fn machine(&self, index: MachineIndex) -> &Machine {
        &self.machines[index.as_usize()]
    }

    pub fn set_time_of_day(&mut self, now: Millis, wall_ms: u64) {
        self.wall_clock_offset_ms = wall_ms as i64 - now as i64;
    }

    pub fn wall_ms(&self, now: Millis) -> u64 {
        (now as i64 + self.wall_clock_offset_ms).max(0) as u64
    }

    /// Jobs that have missed an aim go for the next one: they make way for those that can still
    /// meet theirs. In their old order everything that waits would come too late.
    pub fn refresh_placement_deadlines(&mut self, now: Millis) {
        let wall_ms = self.wall_ms(now);
        for team in &mut self.teams {
            let passed: Vec<_> = team
                .queue
                .iter()
                .filter(|(.., job)| {
                    self.jobs[job.as_usize()].placement_deadline_valid_until_ms <= wall_ms
                })
                .copied()
                .collect();
            for key in passed {
                team.queue.remove(&key);
                let job = &mut self.jobs[key.2.as_usize()];
                job.refresh_placement_deadline(wall_ms);
                team.queue
                    .insert((job.priority, job.placement_deadline_ms, key.2));
            }
        }
    }

    /// Enters an unfinished job that awaited nothing. `None`: its team is unknown here.
    pub fn add_job(
        &mut self,
        spec: &Submission,
        submitted_ms: u64,
        now: Millis,
    ) -> Option<JobIndex> {
        self.add_released_job(spec, (submitted_ms, submitted_ms), now)
    }

    /// Enters an unfinished job for which no other has to be waited any more. Those that still wait are
    /// not here at all: so they weigh nothing.
    pub fn add_released_job(
        &mut self,
        spec: &Submission,
        (submitted_ms, released_ms): (u64, u64),
        now: Millis,
    ) -> Option<JobIndex> {
        if let Some(&known) = self.jobs_by_id.get(&spec.id) {
            return Some(known);
        }
        let team = TeamIndex(self.team_interner.get(&spec.team)?);
        let types = match &spec.types {
            None => u64::MAX,
            Some(names) => names
                .iter()
                .filter_map(|name| self.type_interner.get(name))
                .fold(0, |mask, index| mask | 1 << index),
        };
        let zone = spec.zone.as_deref().map(|name| self.intern_zone(name));
        let count = spec.tasks;
        let class = self.intern_class(&spec.class);
        let mut job = Job {
            id: spec.id,
            team,
            class,
            kind: spec.kind,
            priority: spec.priority,
            submitted_priority: spec.priority,
            submitted_ms,
            released_ms,
            placement_deadline_ms: 0,
            placement_deadline_valid_until_ms: 0,
            objective_slacks_s: Vec::new(),
            completion_slacks_s: Vec::new(),
            latest_placements_ms: Vec::new(),
            first_seen_at: now,
            requested: Resources {
                cpus: spec.cpus,
                gpus: spec.gpus,
                ram_gb: spec.ram_gb,
            },
            allowed_types: types,
            zone,
            one_zone: spec.one_zone,
            spread: spec.spread,
            spot: spec.spot,
            image: ImageIndex(self.image_interner.intern(&spec.image)),
            image_gb: spec.image_gb,
            estimate_s: spec.estimate_s,
            checkpoint_s: spec.checkpoint_s,
            save_s: spec.save_s,
            deadline_s: spec.deadline_s,
            tasks: vec![
                Task {
                    status: TaskStatus::Waiting,
                    attempt: 0,
                    last_log_seq: 0,
                };
                count as usize
            ],
            task_ranges: vec![TaskRange::default(); count.div_ceil(self.task_range_len) as usize],
            foreign_snapshots: Vec::new(),
            waiting: (0..count).collect(),
            done_count: 0,
            running_count: 0,
            active_by_zone: vec![0; self.zone_names.len()],
            closed: false,
            finishing: false,
            backoff_until: 0,
            consecutive_failures: 0,
            quarantined: false,
            mean_runtime_s: RunningMean::default(),
            recently_failed_on: VecDeque::new(),
            last_failed_at: 0,
        };
        let (to_start, to_end) = self.own_slacks_s(&job);
        job.set_slacks(&to_start, to_end);
        job.refresh_placement_deadline(self.wall_ms(now));
        let key = (job.priority, job.placement_deadline_ms);
        let index = match self.free_job_slots.pop() {
            Some(index) => {
                self.jobs[index.as_usize()] = job;
                index
            }
            None => {
                self.jobs.push(job);
                JobIndex(self.jobs.len() as u32 - 1)
            }
        };
        self.jobs_by_id.insert(spec.id, index);
        self.teams[team.as_usize()]
            .queue
            .insert((key.0, key.1, index));
        self.scheduling_needed = true;
        Some(index)
    }

    /// How long a job's tasks can wait for its own aims: to start, and to end.
    fn own_slacks_s(&self, job: &Job) -> (Vec<f64>, Vec<f64>) {
        // Replicas run on and on: what counts for them is their age.
        if job.kind == JobKind::Service {
            return Default::default();
        }
        let held_s = job.released_ms.saturating_sub(job.submitted_ms) as f64 / 1000.0;
        let aims = &self.objectives[job.class.as_usize()];
        let to_end = aims.completion_slacks_s(job.estimate_s, job.deadline_s, held_s);
        (aims.start_s.clone(), to_end)
    }

    /// A job is as urgent as the most urgent of those that need it, and is to end by the latest times
    /// at which they can still meet their aims.
    pub fn inherit_urgency(&mut self, index: JobIndex, pull: &InheritedUrgency, now: Millis) {
        let wall_ms = self.wall_ms(now);
        let (to_start, mut to_end) = self.own_slacks_s(self.job(index));
        let job = &mut self.jobs[index.as_usize()];
        let queue = &mut self.teams[job.team.as_usize()].queue;
        let queued = queue.remove(&(job.priority, job.placement_deadline_ms, index));
        let run_ms = millis(job.estimate_s * ESTIMATE_MARGIN);
        let due = pull.finish_by_ms.iter().filter_map(|due| {
            let wait = due.checked_sub(job.released_ms + run_ms)?;
            (wait > 0).then_some(wait as f64 / 1000.0)
        });
        to_end.extend(due);
        job.set_slacks(&to_start, to_end);
        job.priority = job.submitted_priority.min(pull.priority);
        job.refresh_placement_deadline(wall_ms);
        if queued {
            queue.insert((job.priority, job.placement_deadline_ms, index));
            self.scheduling_needed = true;
        }
    }

    /// Enters a machine, or finds it.
    pub fn add_machine(
        &mut self,
        name: &str,
        type_ix: MachineTypeIndex,
        zone: ZoneIndex,
        spot: bool,
        now: Millis,
    ) -> MachineIndex {
        if let Some(&known) = self.machines_by_name.get(name) {
            return known;
        }
        let index = MachineIndex(self.machines.len() as u32);
        let (images, draining) = self
            .recovered_machine_hints
            .remove(name)
            .unwrap_or_default();
        self.machines.push(Machine {
            name: name.to_owned(),
            addr: None,
            machine_type: type_ix,
            zone,
            spot,
            state: MachineState::Booting,
            incarnation: 0,
            seq: 0,
            token: 0,
            heartbeats_received: 0,
            last_heartbeat_at: None,
            lease_until: 0,
            reclaim_at: None,
            known_since: now,
            provisioned_at: now,
            listed: false,
            missed_listings: 0,
            listed_running: None,
            listed_failed: false,
            attempts: Vec::new(),
            reserved: Resources::default(),
            cached_images: images,
            idle_since: now,
            command_in_flight: false,
            draining,
            unresponsive: false,
            recent_failures: Vec::new(),
            faulty: false,
            mean_slowdown: RunningMean::default(),
            avoid_until: 0,
            unconfirmed_token: 0,
            reserved_for: None,
        });
        self.machines_by_name.insert(name.to_owned(), index);
        index
    }

    /// Takes over what a predecessor knew of a machine: its images, and whether nothing more is to be
    /// placed there. Without that, a successor filled a machine that fails every task once more.
    pub fn restore_machine_hints(
        &mut self,
        machine: String,
        images: impl Iterator<Item = (String, f64)>,
        draining: bool,
    ) {
        let images = images.map(|(name, gb)| (ImageIndex(self.image_interner.intern(&name)), gb));
        let images = images.collect();
        match self.machines_by_name.get(&machine) {
            Some(known) => {
                let known = &mut self.machines[known.as_usize()];
                known.cached_images = images;
                known.draining |= draining;
            }
            None => {
                self.recovered_machine_hints
                    .insert(machine, (images, draining));
            }
        }
    }

    pub fn free_resources(&self, machine: &Machine) -> Resources {
        let whole = &self.machine_types[machine.machine_type.as_usize()];
        Resources {
            cpus: whole.cpus - machine.reserved.cpus,
            gpus: whole.gpus - machine.reserved.gpus,
            ram_gb: whole.ram_gb - machine.reserved.ram_gb,
        }
    }

    /// Whether the machine's type, zone and kind suit the job and its room a further task.
    pub fn can_place(&self, job: &Job, machine: &Machine) -> bool {
        machine.is_schedulable() && self.is_feasible(job, machine)
    }

    /// The same, whether or not anything new is to be placed there.
    pub fn is_feasible(&self, job: &Job, machine: &Machine) -> bool {
        (!machine.spot || job.spot)
            && job.allows_type(machine.machine_type)
            && job.requested.fits_in(&self.free_resources(machine))
            && job.allows_zone(machine.zone)
    }

    /// Whether what is free there is kept for another job.
    pub fn is_reserved_for_other(&self, job: JobIndex, machine: &Machine, now: Millis) -> bool {
        machine.reserved_for.is_some_and(|(other, until)| {
            let other_job = self.job(other);
            now < until
                && other != job
                && !other_job.waiting.is_empty()
                && other_job.priority <= self.job(job).priority
        })
    }

    /// Books a new attempt of a class that is behind its due.
    pub fn place_for_fair_share(
        &mut self,
        job: JobIndex,
        task: u32,
        on: MachineIndex,
        now: Millis,
    ) {
        self.place(job, task, on, now);
        if let Some(attempt) = self.machines[on.as_usize()].attempts.last_mut() {
            attempt.placed_for_fair_share = true;
        }
    }

    /// Books a new attempt; its start may be sent once that is stored.
    pub fn place(&mut self, job: JobIndex, task: u32, on: MachineIndex, now: Millis) {
        let entry = &mut self.jobs[job.as_usize()].tasks[task as usize];
        debug_assert_eq!(entry.status, TaskStatus::Waiting);
        let attempt = entry.attempt + 1;
        self.unlogged_tasks.insert((job, task));
        self.reserve(
            Attempt {
                job,
                task,
                attempt,
                phase: Phase::Placed,
                cause: None,
                placed_at: now,
                running_since: None,
                start_sent: false,
                recovered: false,
                direct_start_in_flight: false,
                started_by_heartbeat: None,
                fencing_token: 0,
                stop_grace_s: None,
                stop_sent: false,
                reconciled: false,
                direct_start_term: 0,
                placed_for_fair_share: false,
            },
            on,
        );
    }

    /// Enters an attempt that may be running: its task, its team's use, its machine's room.
    pub fn reserve(&mut self, attempt: Attempt, on: MachineIndex) {
        let machine = &mut self.machines[on.as_usize()];
        let job = &mut self.jobs[attempt.job.as_usize()];
        let task = &mut job.tasks[attempt.task as usize];
        task.status = TaskStatus::Active(on);
        task.attempt = attempt.attempt;
        job.waiting.remove(&attempt.task);
        job.active_by_zone[machine.zone.as_usize()] += 1;
        machine.reserved.add(&job.requested);
        let team = &mut self.teams[job.team.as_usize()];
        team.reserved.add(&job.requested);
        if job.waiting.is_empty() {
            team.queue
                .remove(&(job.priority, job.placement_deadline_ms, attempt.job));
        }
        machine.attempts.push(attempt);
    }

    /// Takes an attempt's use off the books: it is known to run no more.
    fn release_reservation(&mut self, on: MachineIndex, attempt: &Attempt, now: Millis) {
        let machine = &mut self.machines[on.as_usize()];
        let job = &mut self.jobs[attempt.job.as_usize()];
        job.active_by_zone[machine.zone.as_usize()] -= 1;
        if attempt.phase >= Phase::Running && attempt.phase < Phase::Ended {
            job.running_count -= 1;
        }
        machine.reserved.sub(&job.requested);
        self.teams[job.team.as_usize()].reserved.sub(&job.requested);
        if machine.is_idle() {
            machine.reserved = Resources::default();
            machine.idle_since = now;
        }
        self.scheduling_needed = true;
    }

    /// Follows a report: the attempt is in `phase` now.
    pub fn advance_phase(&mut self, on: MachineIndex, at: usize, phase: Phase, now: Millis) {
        let attempt = &mut self.machines[on.as_usize()].attempts[at];
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
            self.release_reservation(on, &shown, now);
            return;
        }
        let entry = &mut self.jobs[job.as_usize()];
        if counted(phase) && !counted(before) {
            entry.running_count += 1;
            let (image, gb) = (entry.image, entry.image_gb);
            self.cache_image(on, image, gb);
        } else if counted(before) && !counted(phase) {
            entry.running_count -= 1;
        }
    }

    fn cache_image(&mut self, on: MachineIndex, image: ImageIndex, gb: f64) {
        let machine = &mut self.machines[on.as_usize()];
        machine.cached_images.retain(|(held, _)| *held != image);
        machine.cached_images.push((image, gb));
        let cache = self.machine_types[machine.machine_type.as_usize()].cache_gb;
        while machine.cached_images.len() > 1
            && machine.cached_images.iter().map(|(_, gb)| gb).sum::<f64>() > cache
        {
            machine.cached_images.remove(0);
        }
    }

    /// Removes an attempt that is known to be gone. Its task, if this was still its attempt, waits
    /// again.
    pub fn remove_attempt(&mut self, on: MachineIndex, at: usize, now: Millis) {
        let attempt = self.machines[on.as_usize()].attempts.swap_remove(at);
        if attempt.phase != Phase::Ended {
            self.release_reservation(on, &attempt, now);
        }
        if !attempt.reconciled {
            self.requeue(attempt.job, attempt.task, attempt.attempt);
        }
    }

    /// The task waits again, if this attempt was its latest.
    pub fn requeue(&mut self, job: JobIndex, task: u32, attempt: u32) {
        let entry = &mut self.jobs[job.as_usize()];
        let state = &mut entry.tasks[task as usize];
        if state.attempt != attempt || !matches!(state.status, TaskStatus::Active(_)) {
            return;
        }
        state.status = TaskStatus::Waiting;
        self.scheduling_needed = true;
        if entry.closed {
            return;
        }
        entry.waiting.insert(task);
        let key = (entry.priority, entry.placement_deadline_ms, job);
        self.teams[entry.team.as_usize()].queue.insert(key);
    }

    /// The task has completed.
    pub fn complete_task(&mut self, job: JobIndex, task: u32) {
        let entry = &mut self.jobs[job.as_usize()];
        let state = &mut entry.tasks[task as usize];
        if state.status != TaskStatus::Done {
            state.status = TaskStatus::Done;
            entry.done_count += 1;
            entry.waiting.remove(&task);
            if entry.waiting.is_empty() {
                let key = (entry.priority, entry.placement_deadline_ms, job);
                self.teams[entry.team.as_usize()].queue.remove(&key);
            }
            if entry.is_complete() {
                self.completed_jobs.insert(job);
            }
        }
        self.unlogged_tasks.insert((job, task));
    }

    /// The job is over: nothing of it is placed any more, and what runs is to be stopped.
    pub fn close_job(&mut self, index: JobIndex) {
        let job = &mut self.jobs[index.as_usize()];
        job.closed = true;
        job.waiting.clear();
        let key = (job.priority, job.placement_deadline_ms, index);
        self.teams[job.team.as_usize()].queue.remove(&key);
        self.completed_jobs.remove(&index);
        let unlogged = self.unlogged_tasks.range(task_keys_of_job(index)).copied();
        for note in unlogged.collect::<Vec<_>>() {
            self.unlogged_tasks.remove(&note);
        }
        for (number, machine) in self.machines.iter_mut().enumerate() {
            for attempt in &mut machine.attempts {
                if attempt.job == index && attempt.phase != Phase::Ended {
                    attempt.stop_grace_s = Some(0.0);
                    attempt.stop_sent = false;
                    self.machines_needing_commands
                        .insert(MachineIndex(number as u32));
                }
            }
        }
        self.scheduling_needed = true;
    }

    /// Orders an attempt stopped, giving it `grace_s` to save.
    pub fn request_stop(&mut self, on: MachineIndex, at: usize, grace_s: f64) {
        let attempt = &mut self.machines[on.as_usize()].attempts[at];
        attempt.stop_grace_s = Some(grace_s);
        attempt.stop_sent = false;
        self.machines_needing_commands.insert(on);
    }

    /// The store holds what is known of these tasks: their starts and reaps may go out.
    pub fn mark_machines_for_commands(&mut self, tasks: &BTreeSet<(JobIndex, u32)>) {
        for &(job, task) in tasks {
            let task = self.jobs[job.as_usize()].tasks.get(task as usize);
            if let Some(TaskStatus::Active(on)) = task.map(|task| task.status) {
                self.machines_needing_commands.insert(on);
            }
        }
    }

    /// Whether the store holds what is known of the task: where it was placed, or that it is done.
    pub fn is_durable(&self, job: JobIndex, task: u32) -> bool {
        !self.unlogged_tasks.contains(&(job, task))
            && !self.tasks_being_logged.contains(&(job, task))
    }

    /// Whether an attempt has ended, and all that it came to is known beyond its worker.
    pub fn is_acknowledged(&self, attempt: &Attempt) -> bool {
        attempt.phase == Phase::Ended
            && attempt.reconciled
            && (attempt.cause != Some(FailureCause::Done)
                || self.job(attempt.job).closed
                || self.is_durable(attempt.job, attempt.task))
    }

    /// Whether all changes of the job's tasks are stored or in the write that is under way.
    pub fn is_fully_submitted(&self, job: JobIndex) -> bool {
        self.unlogged_tasks
            .range(task_keys_of_job(job))
            .next()
            .is_none()
    }

    /// A page stands in the store with this version; 0: it is not there.
    pub fn record_snapshot_version(&mut self, id: JobId, page: SnapshotNumber, version: u64) {
        let Some(&job) = self.jobs_by_id.get(&id) else {
            return;
        };
        let job = &mut self.jobs[job.as_usize()];
        if let Some(chunk) = page.range_index(self.task_range_len) {
            if let Some(stands) = job.task_ranges.get_mut(chunk as usize) {
                stands.key_version = version;
                stands.in_flight = false;
            }
        } else {
            job.foreign_snapshots.retain(|(other, _)| *other != page);
            if version > 0 {
                job.foreign_snapshots.push((page, version));
            }
        }
    }

    /// The pages of a job that stand in the store, with their versions.
    pub fn stored_snapshots(&self, index: JobIndex) -> Vec<(SnapshotNumber, u64)> {
        let job = self.job(index);
        let own = job.task_ranges.iter().zip(0..);
        let own = own.map(|(chunk, at)| {
            (
                SnapshotNumber::new(self.task_range_len, at),
                chunk.key_version,
            )
        });
        own.filter(|(_, version)| *version > 0)
            .chain(job.foreign_snapshots.iter().copied())
            .collect()
    }

    /// Forgets a job that is over, unless a write under way still names it.
    pub fn free_job(&mut self, index: JobIndex) -> bool {
        if self
            .tasks_being_logged
            .range(task_keys_of_job(index))
            .next()
            .is_some()
        {
            return false;
        }
        let job = &mut self.jobs[index.as_usize()];
        self.jobs_by_id.remove(&job.id);
        job.tasks = Vec::new();
        self.free_job_slots.push(index);
        true
    }
}

fn task_keys_of_job(job: JobIndex) -> std::ops::RangeInclusive<(JobIndex, u32)> {
    (job, 0)..=(job, u32::MAX)
}
