//! The scheduling cycle: teams are kept in a heap, from which the team with the fewest reserved
//! units places next.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet},
    ops::Bound,
};

use crate::{
    cluster::{ClusterState, Job, JobIndex, Machine, MachineIndex, QueueKey, TeamIndex},
    protocol::job::{JobKind, Priority},
    scheduling::{
        MAX_PLACEMENTS_PER_CYCLE, UNITS_EPSILON,
        candidates::{CandidateCache, UnmetRequest},
        deserved_shares::{compute_deserved_shares, schedulable_capacity},
        fair_share::{self, FairShareTracker, WorkloadClass},
        gang::find_gang_placement,
        replica::find_replica_placement,
        scoring::{elapsed_run_s, meets_start_objective},
        to_milli_units,
    },
    time::Millis,
};

/// After this long a wait, a job's tasks may be placed on machines that are draining because they
/// are slow.
const LONG_WAIT_MS: Millis = 75_000;
/// How many jobs of each team, the first in its queue, are considered for these machines.
const MAX_LONG_WAITING_JOBS_PER_TEAM: usize = 50;

/// A team's heap key. Teams below their deserved share come first, then those with fewer reserved
/// units. Reserved units alone are not enough: with guarantees teams do not deserve equal amounts,
/// and capacity preempted for a starved team would go back to the team that it was taken from.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TeamHeapKey {
    has_deserved_share: bool,
    reserved_milli_units: i64,
    team: TeamIndex,
}

impl TeamHeapKey {
    fn new(cluster: &ClusterState, team: TeamIndex, deserved: &[f64]) -> Self {
        let reserved = cluster.accounted_units(&cluster.teams[team.as_usize()].reserved);
        TeamHeapKey {
            has_deserved_share: reserved + UNITS_EPSILON >= deserved[team.as_usize()],
            reserved_milli_units: to_milli_units(reserved),
            team,
        }
    }
}

/// Runs one scheduling cycle: repeatedly pops the team with the fewest reserved units, places the
/// first task of its queue and pushes the team back. A job that fits on no machine, or whose team
/// is at its limit, is skipped for the rest of the cycle; a team without another job leaves the
/// heap. Returns the number of tasks placed.
pub fn run_scheduling_cycle(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareTracker,
    now: Millis,
) -> usize {
    run_scheduling_cycle_with_cache(cluster, fair_share, now, &mut CandidateCache::default())
}

/// Like [`run_scheduling_cycle`], with the given candidate cache, which counts the machines that
/// were scored.
pub fn run_scheduling_cycle_with_cache(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareTracker,
    now: Millis,
    candidates: &mut CandidateCache,
) -> usize {
    let capacity = schedulable_capacity(cluster);
    let deserved = compute_deserved_shares(cluster, capacity);
    fair_share.update(cluster, now, capacity, &deserved);
    let mut placed = place_starved_classes(cluster, fair_share, now, candidates);
    let mut cycle = SchedulingCycle::new(cluster, fair_share, now, candidates, capacity, deserved);
    cycle.placed_count = placed;
    cycle.run();
    placed = cycle.placed_count;
    placed + place_long_waiting_on_slow_machines(cluster, now)
}

/// A task and the machine on which it is to be placed.
struct TaskPlacement {
    task: u32,
    machine: MachineIndex,
    /// The positions, among the machine's attempts, of those that are preempted for the task.
    victims: Vec<usize>,
}

/// The state of one cycle of the heap of teams.
struct SchedulingCycle<'a> {
    cluster: &'a mut ClusterState,
    fair_share: &'a mut FairShareTracker,
    now: Millis,
    candidates: &'a mut CandidateCache,
    capacity: f64,
    deserved: Vec<f64>,
    starved_classes: Vec<WorkloadClass>,
    heap: BinaryHeap<Reverse<TeamHeapKey>>,
    /// For each team, the last job of its queue that is skipped for the rest of the cycle; the
    /// search for the next job continues after it. Searching from the start for each task took time
    /// in proportion to the square of the queue's length.
    last_skipped: Vec<Option<QueueKey>>,
    /// Jobs for which capacity is reserved on some machine.
    reserved_for: HashSet<JobIndex>,
    unmet_requests: Vec<UnmetRequest>,
    /// The priority of the most urgent array that fitted on no machine.
    blocked_priority: Option<Priority>,
    placed_count: usize,
}

impl<'a> SchedulingCycle<'a> {
    fn new(
        cluster: &'a mut ClusterState,
        fair_share: &'a mut FairShareTracker,
        now: Millis,
        candidates: &'a mut CandidateCache,
        capacity: f64,
        deserved: Vec<f64>,
    ) -> Self {
        let teams = (0..cluster.teams.len() as u32).map(TeamIndex);
        let heap = teams
            .filter(|team| !cluster.teams[team.as_usize()].queue.is_empty())
            .map(|team| Reverse(TeamHeapKey::new(cluster, team, &deserved)))
            .collect();
        let reservations = cluster
            .machines
            .iter()
            .filter_map(|machine| machine.reserved_for);
        let reserved_for = reservations
            .filter(|(_, until)| now < *until)
            .map(|(job, _)| job)
            .collect();
        SchedulingCycle {
            starved_classes: fair_share.starved_classes(),
            heap,
            last_skipped: vec![None; cluster.teams.len()],
            reserved_for,
            unmet_requests: Vec::new(),
            blocked_priority: None,
            placed_count: 0,
            cluster,
            fair_share,
            now,
            candidates,
            capacity,
            deserved,
        }
    }

    fn run(&mut self) {
        while let Some(Reverse(popped)) = self.heap.pop() {
            let team = popped.team;
            let Some(key) = self.next_job(team) else {
                continue;
            };
            if self.cluster.job(key.2).kind == JobKind::Gang {
                self.place_gang(team, key);
                self.push_team(team);
                continue;
            }
            self.place_next_task(team, key);
            if self.placed_count >= MAX_PLACEMENTS_PER_CYCLE {
                self.cluster.scheduling_needed = true;
                break;
            }
            self.push_team(team);
        }
        if let Some(priority) = self.blocked_priority {
            self.fair_share.record_blocked_arrays(priority, self.now);
        }
    }

    fn push_team(&mut self, team: TeamIndex) {
        let key = TeamHeapKey::new(self.cluster, team, &self.deserved);
        self.heap.push(Reverse(key));
    }

    /// The first job of the team's queue that has not been skipped, may fit, and whose tasks would not
    /// be preempted at the next preemption check.
    fn next_job(&mut self, team: TeamIndex) -> Option<QueueKey> {
        let after = self.last_skipped[team.as_usize()].map_or(Bound::Unbounded, Bound::Excluded);
        let (cluster, fair_share, now) = (&*self.cluster, &*self.fair_share, self.now);
        let queue = &cluster.teams[team.as_usize()].queue;
        for key in queue.range((after, Bound::Unbounded)) {
            let job = cluster.job(key.2);
            if fair_share.would_be_preempted(job, now) {
                continue;
            }
            let ruled_out = self
                .unmet_requests
                .iter()
                .any(|request| request.rules_out(key.2, job, &self.reserved_for));
            if !ruled_out {
                return Some(*key);
            }
            record_blocked_array(&mut self.blocked_priority, job, now);
        }
        None
    }

    /// Places all waiting tasks of a gang, or none.
    fn place_gang(&mut self, team: TeamIndex, key: QueueKey) {
        let job_index = key.2;
        let Some(placements) = find_gang_placement(self.cluster, job_index, self.now) else {
            self.last_skipped[team.as_usize()] = Some(key);
            return;
        };
        self.placed_count += placements.len();
        for (task, machine) in placements {
            self.cluster.place(job_index, task, machine, self.now);
            self.candidates.placed_on.push(machine);
        }
    }

    /// Places the first waiting task of a job, or skips the job for the rest of the cycle.
    fn place_next_task(&mut self, team: TeamIndex, key: QueueKey) {
        let job_index = key.2;
        let job = self.cluster.job(job_index);
        let task = job.waiting.first().copied();
        let is_ready = job.backoff_until <= self.now
            && job.placeable_task_count() > 0
            && self.cluster.teams[team.as_usize()].allows(&job.requested);
        let ready_task = task.filter(|_| is_ready);
        if let Some(placement) = ready_task.and_then(|task| self.find_placement(job_index, task)) {
            self.place_task(job_index, &placement);
            return;
        }
        let job = self.cluster.job(job_index);
        if ready_task.is_some() {
            record_blocked_array(&mut self.blocked_priority, job, self.now);
        }
        let unmet = UnmetRequest::from_unplaced_job(job, self.cluster, self.now);
        self.unmet_requests.extend(unmet);
        self.last_skipped[team.as_usize()] = Some(key);
    }

    fn find_placement(&mut self, job_index: JobIndex, task: u32) -> Option<TaskPlacement> {
        let (cluster, now) = (&*self.cluster, self.now);
        let job = cluster.job(job_index);
        let best = self
            .candidates
            .find_best_machine(cluster, job_index, task, now);
        let without_victims = |machine| TaskPlacement {
            task,
            machine,
            victims: Vec::new(),
        };
        if job.kind != JobKind::Service {
            return best.map(without_victims);
        }
        let in_time =
            best.filter(|index| meets_start_objective(cluster, job, cluster.machine(*index), now));
        if let Some(machine) = in_time {
            return Some(without_victims(machine));
        }
        let (task, machine, victims) =
            find_replica_placement(cluster, job_index, task, best, now, self.candidates)?;
        Some(TaskPlacement {
            task,
            machine,
            victims,
        })
    }

    fn place_task(&mut self, job_index: JobIndex, placement: &TaskPlacement) {
        for &victim in &placement.victims {
            self.preempt(placement.machine, victim, job_index);
        }
        let cluster = &mut *self.cluster;
        cluster.place(job_index, placement.task, placement.machine, self.now);
        self.candidates.placed_on.push(placement.machine);
        self.placed_count += 1;
        let class = WorkloadClass::of_job(cluster.job(job_index));
        if !self.starved_classes.is_empty() && !self.starved_classes.contains(&class) {
            let units = cluster.accounted_units(&cluster.job(job_index).requested);
            let max_credit = fair_share::STARVED_SHARE_FRACTION * self.capacity;
            self.fair_share.earn_credit(units, max_credit);
        }
    }

    /// Preempts an attempt for a replica whose image the attempt's machine has.
    fn preempt(&mut self, machine: MachineIndex, attempt_index: usize, beneficiary: JobIndex) {
        let cluster = &mut *self.cluster;
        let attempt = &cluster.machine(machine).attempts[attempt_index];
        let (victim, beneficiary) = (cluster.job(attempt.job), cluster.job(beneficiary).id);
        let task = victim.task_id(attempt.task);
        let ran_s = elapsed_run_s(attempt, self.now) as u64;
        tracing::info!(%task, %beneficiary, reason = "Image", ran_s, "task preempted");
        let class = WorkloadClass::of_job(victim);
        self.fair_share.status_mut(class).attempts_preempted += 1;
        cluster.request_stop(machine, attempt_index, 0.0);
    }
}

/// Places tasks of jobs that have waited long, and found no other machine, on machines that are
/// draining because they are slow. Such machines are not replaced while they have other work, and a
/// slow run is better than none.
fn place_long_waiting_on_slow_machines(cluster: &mut ClusterState, now: Millis) -> usize {
    let is_slow =
        |machine: &Machine| machine.draining && !machine.faulty && machine.can_receive_commands();
    let machines = cluster.machines.iter().zip(0..);
    let slow_machines: Vec<MachineIndex> = machines
        .filter(|(machine, _)| is_slow(machine))
        .map(|(_, index)| MachineIndex(index))
        .collect();
    if slow_machines.is_empty() {
        return 0;
    }
    let queues = cluster
        .teams
        .iter()
        .flat_map(|team| team.queue.iter().take(MAX_LONG_WAITING_JOBS_PER_TEAM));
    let jobs = queues.map(|(.., job_index)| *job_index);
    let jobs: Vec<JobIndex> = jobs
        .filter(|job_index| cluster.job(*job_index).first_seen_at + LONG_WAIT_MS <= now)
        .collect();
    let mut placed = 0;
    for job_index in jobs {
        for &machine_index in &slow_machines {
            loop {
                let (job, machine) = (cluster.job(job_index), cluster.machine(machine_index));
                let team = &cluster.teams[job.team.as_usize()];
                let Some(&task) = job.waiting.first() else {
                    break;
                };
                if job.kind == JobKind::Gang
                    || job.backoff_until > now
                    || job.placeable_task_count() == 0
                    || !team.allows(&job.requested)
                    || !cluster.is_feasible(job, machine)
                    || machine.avoid_until > now
                    || job.is_avoiding(machine_index, now)
                    || machine.has_attempt_of(job_index, task)
                {
                    break;
                }
                cluster.place(job_index, task, machine_index, now);
                placed += 1;
            }
        }
    }
    placed
}

/// Records that an array fitted on no machine: tasks of lower priority will soon be preempted for
/// it. Whether the array can still wait for other tasks to complete is not considered: to a new
/// leader all jobs look new and able to wait, and with that condition a new leader started 4,500
/// tasks that it stopped 4 s later.
fn record_blocked_array(blocked_priority: &mut Option<Priority>, job: &Job, now: Millis) {
    if job.kind == JobKind::Array && !job.quarantined && job.backoff_until <= now {
        let priority = blocked_priority.map_or(job.priority, |current| current.min(job.priority));
        *blocked_priority = Some(priority);
    }
}

/// Places tasks of starved classes for the credit that placements of other classes have earned
/// them.
fn place_starved_classes(
    cluster: &mut ClusterState,
    fair_share: &mut FairShareTracker,
    now: Millis,
    candidates: &mut CandidateCache,
) -> usize {
    let mut placed = 0;
    for class in fair_share.starved_classes() {
        let jobs: Vec<JobIndex> = fair_share::placeable_jobs_of(cluster, class, now)
            .take(MAX_PLACEMENTS_PER_CYCLE)
            .map(|(.., job_index)| job_index)
            .collect();
        let mut unmet_requests: Vec<UnmetRequest> = Vec::new();
        for job_index in jobs {
            let requested = cluster.job(job_index).requested;
            let job = cluster.job(job_index);
            if unmet_requests
                .iter()
                .any(|request| request.rules_out(job_index, job, &HashSet::new()))
            {
                continue;
            }
            while fair_share.credit() > 0.0 && placed < MAX_PLACEMENTS_PER_CYCLE {
                let job = cluster.job(job_index);
                let Some(&task) = job.waiting.first() else {
                    break;
                };
                if job.placeable_task_count() == 0
                    || !cluster.teams[job.team.as_usize()].allows(&requested)
                {
                    break;
                }
                let Some(machine) = candidates.find_best_machine(cluster, job_index, task, now)
                else {
                    unmet_requests.extend(UnmetRequest::from_unplaced_job(
                        cluster.job(job_index),
                        cluster,
                        now,
                    ));
                    break;
                };
                cluster.place_for_fair_share(job_index, task, machine, now);
                candidates.placed_on.push(machine);
                fair_share.spend_credit(cluster.accounted_units(&requested));
                placed += 1;
            }
        }
    }
    placed
}
