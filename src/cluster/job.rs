//! Jobs: what they ask for, how their tasks stand, and by when those have to be placed.

use std::collections::{BTreeSet, VecDeque};

use crate::{
    cluster::{
        index::{
            ClassIndex, ImageIndex, JobIndex, MachineIndex, MachineTypeIndex, TeamIndex, ZoneIndex,
        },
        resources::Resources,
        straggler::RunningMean,
        task::{Task, TaskRange},
        team::QueueKey,
    },
    protocol::{
        ids::{JobId, TaskId},
        job::{JobKind, Priority},
    },
    storage::SnapshotNumber,
    time::{Millis, millis},
};

/// How long a job without objectives is taken to be able to wait, next to those with objectives.
const NO_OBJECTIVE_SLACK_MS: Millis = 60_000;
/// A job that can meet no objective any more yields to those that can, for this long.
const MISSED_OBJECTIVES_DELAY_MS: Millis = 300_000;
/// The fraction of the slack for a later objective after which a job's turn comes.
const LATER_OBJECTIVE_FRACTION: f64 = 0.7;
/// A task placed this shortly before it should run will be late.
const PLACEMENT_LEAD_MS: Millis = 500;

/// An unfinished job, none of whose dependencies is pending.
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// The team that submitted it.
    pub team: TeamIndex,
    /// Its class, which has the objectives.
    pub class: ClassIndex,
    /// Whether it is an array, a gang or a service.
    pub kind: JobKind,
    /// The highest of its own priority and those of the jobs that depend on it.
    pub priority: Priority,
    /// The priority with which it was submitted.
    pub(super) submitted_priority: Priority,
    /// When it was submitted, in milliseconds of the time of day of the node that accepted it.
    pub submitted_ms: u64,
    /// When its last dependency was done, or it was submitted, in milliseconds of the time of day. Its
    /// age and all its objectives except its deadline count from then.
    pub released_ms: u64,
    /// By when its tasks have to be placed for the next objective that they can still meet, in
    /// milliseconds of the time of day: the order of jobs of the same priority in their team's queue.
    pub placement_deadline_ms: u64,
    /// When that has passed and has to be determined anew.
    pub placement_deadline_valid_until_ms: u64,
    /// How many seconds from its release its tasks can wait for each of its objectives, and for those
    /// of the jobs that depend on it, the tightest first.
    pub objective_slacks_s: Vec<f64>,
    /// Those of these slacks that are for completion objectives, not for start objectives.
    pub completion_slacks_s: Vec<f64>,
    /// How many milliseconds from its release a task has to be placed for each of the slacks.
    pub latest_placements_ms: Vec<Millis>,
    /// When this node first knew of it.
    pub first_seen_at: Millis,
    /// What each of its tasks requests.
    pub requested: Resources,
    /// A bit for each machine type on which its tasks may run.
    pub allowed_types: u64,
    /// The only zone in which it may run.
    pub zone: Option<ZoneIndex>,
    /// All its tasks have to run in one zone.
    pub one_zone: bool,
    /// At most half of its tasks may run in one zone.
    pub spread: bool,
    /// It may run on spot machines.
    pub spot: bool,
    /// Its tasks' image.
    pub image: ImageIndex,
    /// The size of the image, in gigabytes.
    pub image_gb: f64,
    /// How long a task is estimated to run, in seconds.
    pub estimate_s: f64,
    /// How often its tasks save checkpoints, in seconds; 0: never.
    pub checkpoint_s: f64,
    /// How long saving takes, in seconds.
    pub save_s: f64,
    /// By when it should be done, in seconds from its submission.
    pub deadline_s: Option<f64>,
    /// Its tasks, by their index.
    pub tasks: Vec<Task>,
    /// The stored snapshots, by task range.
    pub task_ranges: Vec<TaskRange>,
    /// Snapshots of another range length, with their versions: they are read, never written, and
    /// deleted in the end.
    pub foreign_snapshots: Vec<(SnapshotNumber, u64)>,
    /// The tasks that are to be placed.
    pub waiting: BTreeSet<u32>,
    /// How many tasks are done.
    pub done_count: u32,
    /// How many tasks are known to run or save.
    pub running_count: u32,
    /// How many attempts may be on a machine, by zone.
    pub active_by_zone: Vec<u32>,
    /// It is over: nothing of it is placed any more.
    pub closed: bool,
    /// Its outcome is being written.
    pub finishing: bool,
    /// Nothing of it is placed before this time, after failures.
    pub backoff_until: Millis,
    /// Failures since a task last made progress.
    pub consecutive_failures: u32,
    /// It fails on every machine, and is tried one task at a time.
    pub quarantined: bool,
    /// What its completed tasks took, in seconds.
    pub mean_runtime_s: RunningMean,
    /// Machines on which it failed lately.
    pub recently_failed_on: VecDeque<MachineIndex>,
    /// When a task of it last failed.
    pub last_failed_at: Millis,
}

impl Job {
    /// Its place in its team's queue.
    pub fn queue_key(&self, index: JobIndex) -> QueueKey {
        (self.priority, self.placement_deadline_ms, index)
    }

    /// The id of one of its tasks.
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id,
            index,
        }
    }

    /// Sets how many seconds from its release its tasks can wait to start, and to end, in time.
    pub(super) fn set_slacks(&mut self, to_start: &[f64], to_end: Vec<f64>) {
        let mut waits = [to_start, &to_end].concat();
        waits.sort_by(f64::total_cmp);
        self.completion_slacks_s = to_end;
        // Tasks that missed an objective must not wait for the last moment again: many would reach
        // theirs at once.
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

    /// Sets its placement deadline for the first objective that can still be met at `wall_ms`.
    pub(super) fn refresh_placement_deadline(&mut self, wall_ms: u64) {
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

    /// Whether all its tasks are done; services never are.
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

    /// How many of its tasks may be placed now. Of a quarantined job one at a time is tried.
    pub fn placeable_tasks(&self) -> usize {
        let waiting = self.waiting.len();
        if !self.quarantined {
            return waiting;
        }
        let tried = self.tasks.len() - waiting > self.done_count as usize;
        waiting.min(usize::from(!tried))
    }

    /// Whether its tasks may run on machines of this type.
    pub fn allows_type(&self, index: MachineTypeIndex) -> bool {
        self.allowed_types & (1 << index.0) != 0
    }
}
