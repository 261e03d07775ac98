//! Adding jobs to the cluster state, and updating their positions in the queues.

use std::collections::VecDeque;

use crate::{
    cluster::{
        ClusterState,
        index::{ImageIndex, JobIndex, TeamIndex},
        job::Job,
        objectives::ESTIMATE_MARGIN,
        resources::Resources,
        straggler::RunningMean,
        task::{Task, TaskRange, TaskStatus},
    },
    protocol::job::{JobKind, Priority, Submission},
    time::{Millis, millis},
};

/// The urgency that a job inherits from the jobs that depend on it.
#[derive(Clone, Debug, PartialEq)]
pub struct InheritedUrgency {
    /// The highest priority of any of them.
    pub priority: Priority,
    /// For each of their objectives: the time by which this job has to be done, in milliseconds of the time
    /// of day, the earliest first.
    pub finish_by_ms: Vec<u64>,
}

impl InheritedUrgency {
    /// Keeps the `count` earliest times, without duplicates.
    pub fn keep_earliest(&mut self, count: usize) {
        self.finish_by_ms.sort_unstable();
        self.finish_by_ms.dedup();
        self.finish_by_ms.truncate(count);
    }
}

impl ClusterState {
    /// Recomputes the placement deadlines that have passed and reorders the queues: jobs that missed an
    /// objective move behind those that can still meet theirs. In the old order, all waiting jobs would
    /// be late.
    pub fn refresh_placement_deadlines(&mut self, now: Millis) {
        let wall_ms = self.wall_ms(now);
        for team in &mut self.teams {
            let expired_keys: Vec<_> = team
                .queue
                .iter()
                .filter(|(.., job)| {
                    self.jobs[job.as_usize()].placement_deadline_valid_until_ms <= wall_ms
                })
                .copied()
                .collect();
            for key in expired_keys {
                team.queue.remove(&key);
                let job = &mut self.jobs[key.2.as_usize()];
                job.refresh_placement_deadline(wall_ms);
                team.queue.insert(job.queue_key(key.2));
            }
        }
    }

    /// Adds an unfinished job without dependencies, submitted at `submitted_ms` of the time of day. Returns
    /// `None` if its team is not in the settings.
    pub fn add_job(
        &mut self,
        spec: &Submission,
        submitted_ms: u64,
        now: Millis,
    ) -> Option<JobIndex> {
        self.add_released_job(spec, (submitted_ms, submitted_ms), now)
    }

    /// Adds an unfinished job whose dependencies are all done, with the times of its submission and release
    /// in milliseconds of the time of day. Jobs with pending dependencies are not part of the cluster
    /// state, so that they influence neither scheduling nor provisioning. Returns `None` if its team is not
    /// in the settings.
    pub fn add_released_job(
        &mut self,
        spec: &Submission,
        (submitted_ms, released_ms): (u64, u64),
        now: Millis,
    ) -> Option<JobIndex> {
        if let Some(&existing) = self.jobs_by_id.get(&spec.id) {
            return Some(existing);
        }
        let team = TeamIndex(self.team_interner.get(&spec.team)?);
        let mut job = self.new_job(spec, team, (submitted_ms, released_ms), now);
        let (start_slacks_s, completion_slacks_s) = self.own_slacks_s(&job);
        job.set_slacks(&start_slacks_s, completion_slacks_s);
        job.refresh_placement_deadline(self.wall_ms(now));
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
        let key = self.job(index).queue_key(index);
        self.teams[team.as_usize()].queue.insert(key);
        self.scheduling_needed = true;
        Some(index)
    }

    /// Creates a job whose tasks all wait, without slacks and without adding it to a queue.
    #[expect(clippy::too_many_lines, reason = "still to be split")]
    fn new_job(
        &mut self,
        spec: &Submission,
        team: TeamIndex,
        (submitted_ms, released_ms): (u64, u64),
        now: Millis,
    ) -> Job {
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
        Job {
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
            other_length_snapshots: Vec::new(),
            waiting: (0..count).collect(),
            done_count: 0,
            running_count: 0,
            active_by_zone: vec![0; self.zone_names.len()],
            closed: false,
            outcome_write_in_flight: false,
            backoff_until: 0,
            consecutive_failures: 0,
            quarantined: false,
            mean_runtime_s: RunningMean::default(),
            recently_failed_on: VecDeque::new(),
            last_failed_at: 0,
        }
    }

    /// The slacks of a job's own start objectives and completion objectives, in seconds from its release.
    fn own_slacks_s(&self, job: &Job) -> (Vec<f64>, Vec<f64>) {
        // Services do not complete: they are ordered by age.
        if job.kind == JobKind::Service {
            return Default::default();
        }
        let dependency_wait_s = job.released_ms.saturating_sub(job.submitted_ms) as f64 / 1000.0;
        let objectives = &self.objectives[job.class.as_usize()];
        let completion_slacks_s =
            objectives.completion_slacks_s(job.estimate_s, job.deadline_s, dependency_wait_s);
        (objectives.start_s.clone(), completion_slacks_s)
    }

    /// Makes a job as urgent as the most urgent of the jobs that depend on it: it has to be done by the
    /// latest times at which they can still meet their objectives.
    pub fn inherit_urgency(&mut self, index: JobIndex, urgency: &InheritedUrgency, now: Millis) {
        let wall_ms = self.wall_ms(now);
        let (start_slacks_s, mut completion_slacks_s) = self.own_slacks_s(self.job(index));
        let job = &mut self.jobs[index.as_usize()];
        let queue = &mut self.teams[job.team.as_usize()].queue;
        let was_queued = queue.remove(&job.queue_key(index));
        let run_ms = millis(job.estimate_s * ESTIMATE_MARGIN);
        let inherited_slacks_s = urgency.finish_by_ms.iter().filter_map(|finish_by_ms| {
            let slack_ms = finish_by_ms.checked_sub(job.released_ms + run_ms)?;
            (slack_ms > 0).then_some(slack_ms as f64 / 1000.0)
        });
        completion_slacks_s.extend(inherited_slacks_s);
        job.set_slacks(&start_slacks_s, completion_slacks_s);
        job.priority = job.submitted_priority.min(urgency.priority);
        job.refresh_placement_deadline(wall_ms);
        if was_queued {
            queue.insert(job.queue_key(index));
            self.scheduling_needed = true;
        }
    }
}
