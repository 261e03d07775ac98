//! Jobs: their resource requests, the states of their tasks, and their placement deadlines.

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

/// The slack assumed for a job without objectives when it is ordered among jobs with objectives.
const NO_OBJECTIVE_SLACK_MS: Millis = 60_000;
/// How much later than its last objective's placement deadline a job is ordered once it can't meet any
/// objective, so that jobs that still can go first.
const MISSED_OBJECTIVES_DELAY_MS: Millis = 300_000;
/// The fraction of the slack within which a task has to be placed, for each objective but the tightest.
const LATER_OBJECTIVE_FRACTION: f64 = 0.7;
/// How long before its latest start a task has to be placed to start in time.
const PLACEMENT_LEAD_MS: Millis = 500;

/// An unfinished job without pending dependencies.
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// The team that submitted it.
    pub team: TeamIndex,
    /// Its class, which determines its objectives.
    pub class: ClassIndex,
    /// Whether it is an array, a gang or a service.
    pub kind: JobKind,
    /// The highest of its own priority and the priorities of the jobs that depend on it.
    pub priority: Priority,
    /// The priority that it was submitted with.
    pub(super) submitted_priority: Priority,
    /// When it was submitted, in milliseconds of the time of day of the node that accepted it.
    pub submitted_ms: u64,
    /// When it became ready to run, in milliseconds of the time of day: when its last dependency was
    /// done, or when it was submitted if it has none. Its age and all its objectives except its deadline
    /// count from then.
    pub released_ms: u64,
    /// The time by which its tasks have to be placed to meet the next objective that they can still meet,
    /// in milliseconds of the time of day. Jobs of the same priority are ordered by it in their team's
    /// queue.
    pub placement_deadline_ms: u64,
    /// When the placement deadline has passed and has to be recomputed, in milliseconds of the time of day.
    pub placement_deadline_valid_until_ms: u64,
    /// For each of its objectives and those inherited from the jobs that depend on it: how many seconds
    /// after its release its tasks may start at the latest. The tightest comes first.
    pub objective_slacks_s: Vec<f64>,
    /// The subset of `objective_slacks_s` that belongs to completion objectives, not start objectives.
    pub completion_slacks_s: Vec<f64>,
    /// For each of `objective_slacks_s`: how many milliseconds after its release a task has to be placed.
    pub latest_placements_ms: Vec<Millis>,
    /// When it was added to this node's cluster state.
    pub first_seen_at: Millis,
    /// The resources that each of its tasks requests.
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
    /// The time by which it should be done, in seconds from its submission.
    pub deadline_s: Option<f64>,
    /// Its tasks, by their index.
    pub tasks: Vec<Task>,
    /// The states of its stored snapshots, by task range.
    pub task_ranges: Vec<TaskRange>,
    /// Stored snapshots with another range length than `task_range_len`, with the versions of their keys.
    /// They are read, never written, and deleted when the job is over.
    pub other_length_snapshots: Vec<(SnapshotNumber, u64)>,
    /// The tasks that wait to be placed.
    pub waiting: BTreeSet<u32>,
    /// How many tasks are done.
    pub done_count: u32,
    /// How many tasks are running or saving their state, according to heartbeats.
    pub running_count: u32,
    /// How many attempts may be running, by zone.
    pub active_by_zone: Vec<u32>,
    /// It is over: none of its tasks is placed any more.
    pub closed: bool,
    /// A write of its outcome is in flight.
    pub outcome_write_in_flight: bool,
    /// After failures, none of its tasks is placed before this time.
    pub backoff_until: Millis,
    /// Failures since a task last made progress.
    pub consecutive_failures: u32,
    /// It fails on every machine; only one of its tasks is placed at a time.
    pub quarantined: bool,
    /// The mean run time of its completed tasks, in seconds.
    pub mean_runtime_s: RunningMean,
    /// Machines on which its tasks failed recently, the latest last.
    pub recently_failed_on: VecDeque<MachineIndex>,
    /// When one of its tasks last failed.
    pub last_failed_at: Millis,
}

impl Job {
    /// Its key in its team's queue.
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

    /// Sets its slacks, in seconds from its release: those of its start objectives and those of its
    /// completion objectives.
    pub(super) fn set_slacks(&mut self, start_slacks_s: &[f64], completion_slacks_s: Vec<f64>) {
        let mut slacks_s = [start_slacks_s, &completion_slacks_s].concat();
        slacks_s.sort_by(f64::total_cmp);
        self.completion_slacks_s = completion_slacks_s;
        // After a missed objective, tasks are due well before the last moment of the next one:
        // otherwise many of them reach their last moment at the same time.
        let latest_placements = slacks_s.iter().enumerate().map(|(position, slack_s)| {
            let fraction = if position == 0 {
                1.0
            } else {
                LATER_OBJECTIVE_FRACTION
            };
            millis(slack_s * fraction).saturating_sub(PLACEMENT_LEAD_MS)
        });
        self.latest_placements_ms = latest_placements.collect();
        self.objective_slacks_s = slacks_s;
    }

    /// Sets its placement deadline for the first objective that can still be met at `wall_ms`, in
    /// milliseconds of the time of day.
    pub(super) fn refresh_placement_deadline(&mut self, wall_ms: u64) {
        let waited_ms = wall_ms.saturating_sub(self.released_ms);
        let next_placement_ms = self
            .latest_placements_ms
            .iter()
            .find(|latest_ms| **latest_ms > waited_ms);
        let wait_ms = match (next_placement_ms, self.latest_placements_ms.last()) {
            (Some(&next_placement_ms), _) => next_placement_ms,
            (None, Some(&last_placement_ms)) => last_placement_ms + MISSED_OBJECTIVES_DELAY_MS,
            (None, None) => NO_OBJECTIVE_SLACK_MS,
        };
        self.placement_deadline_ms = self.released_ms + wait_ms;
        self.placement_deadline_valid_until_ms = match next_placement_ms {
            Some(_) => self.placement_deadline_ms,
            None => u64::MAX,
        };
    }

    /// Whether all its tasks are done; services never are.
    pub fn is_complete(&self) -> bool {
        self.kind != JobKind::Service && self.done_count as usize == self.tasks.len()
    }

    /// Whether another task may be placed in `zone`, given where its other tasks may be running.
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

    /// How many of its tasks may be placed now. A quarantined job may run one task at a time.
    pub fn placeable_task_count(&self) -> usize {
        let waiting = self.waiting.len();
        if !self.quarantined {
            return waiting;
        }
        let has_active_task = self.tasks.len() - waiting > self.done_count as usize;
        waiting.min(usize::from(!has_active_task))
    }

    /// Whether its tasks may run on machines of this type.
    pub fn allows_type(&self, machine_type: MachineTypeIndex) -> bool {
        self.allowed_types & (1 << machine_type.0) != 0
    }
}
