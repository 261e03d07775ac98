//! The cluster state: teams, jobs, tasks, machines, and the attempts that assign tasks to machines.
//!
//! An attempt whose start was ever sent to a machine counts as running (for team limits, zone spread
//! and the machine's free resources) until it is *confirmed* gone. One of these confirms it: a newer
//! heartbeat does not list it and no start of it can still be in flight; the machine's lease has
//! expired by every node's clock; the cloud deleted the machine.
//!
//! This module builds the storage records of the state ([`records`]) and does not depend on the
//! scheduler.

mod attempt;
mod durability;
pub mod fault_attribution;
mod index;
mod job;
mod machine;
mod objectives;
mod placement;
pub mod records;
mod resources;
pub mod straggler;
mod submission;
mod task;
mod team;
mod unreported;

use std::collections::{BTreeMap, BTreeSet, HashMap};

pub use self::{
    attempt::{Attempt, Phase},
    index::{
        ClassIndex, ImageIndex, Interner, JobIndex, MachineIndex, MachineTypeIndex, TeamIndex,
        ZoneIndex,
    },
    job::Job,
    machine::{Machine, MachineState},
    objectives::{ESTIMATE_MARGIN, ServiceLevelObjectives},
    resources::Resources,
    submission::InheritedUrgency,
    task::{Task, TaskRange, TaskStatus},
    team::{QueueKey, Team},
    unreported::UnreportedAttempts,
};
use crate::{
    config::Settings,
    protocol::{cloud::MachineType, ids::JobId},
    storage,
    time::Millis,
};

/// The leader's in-memory state of teams, unfinished jobs and machines.
pub struct ClusterState {
    /// The teams, in the order of the settings.
    pub teams: Vec<Team>,
    /// Indices of the teams by name.
    pub team_interner: Interner,
    /// Indices of the zones by name.
    pub zone_interner: Interner,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Indices of the images by name.
    pub image_interner: Interner,
    /// Indices of the classes by name.
    pub class_interner: Interner,
    /// Objectives, by the index of their class.
    pub objectives: Vec<ServiceLevelObjectives>,
    /// The objective for the start of work within a team's guarantee, in seconds.
    pub guarantee_objective_s: Option<f64>,
    /// Machine types, by index.
    pub machine_types: Vec<MachineType>,
    /// Indices of the machine types by name.
    pub type_interner: Interner,
    /// Unfinished jobs and free slots.
    pub jobs: Vec<Job>,
    /// Slots in `jobs` that can be used again.
    pub free_job_slots: Vec<JobIndex>,
    /// Indices of the unfinished jobs by id.
    pub jobs_by_id: BTreeMap<JobId, JobIndex>,
    /// When this leader took over. The start time of attempts placed before that is unknown.
    pub leader_since: Millis,
    /// The time by which all live workers are expected to have sent a heartbeat to this leader.
    pub workers_expected_by: Millis,
    /// The waiting times, in milliseconds, of the tasks that started since the samples were last
    /// drained.
    pub start_wait_samples: Vec<Millis>,
    /// All machines ever added; deleted ones keep their index.
    pub machines: Vec<Machine>,
    /// Indices of the machines by name.
    pub machines_by_name: HashMap<String, MachineIndex>,
    /// Recovered from previous leaders' records for machines that are not added yet, by machine name:
    /// the cached images with their sizes in gigabytes, and whether the machine was draining.
    recovered_machine_hints: HashMap<String, (Vec<(ImageIndex, f64)>, bool)>,
    /// The number of tasks covered by one stored snapshot.
    pub task_range_len: u32,
    /// Tasks with changes that are neither stored nor part of a write in flight.
    pub unlogged_tasks: BTreeSet<(JobIndex, u32)>,
    /// Tasks whose changes are part of a write in flight.
    pub tasks_being_logged: BTreeSet<(JobIndex, u32)>,
    /// Machines that may need commands: an attempt placed there was stored, one has to stop, or the
    /// worker sent a heartbeat.
    pub machines_needing_commands: BTreeSet<MachineIndex>,
    /// Jobs whose tasks are all done and whose outcome has to be stored.
    pub completed_jobs: BTreeSet<JobIndex>,
    /// The time of day minus the monotonic time, in milliseconds.
    wall_clock_offset_ms: i64,
    /// Set by each change that could let a scheduling cycle place or preempt something new.
    pub scheduling_needed: bool,
}

impl ClusterState {
    /// Creates a state without jobs and machines.
    pub fn new(settings: &Settings, types: &[MachineType]) -> Self {
        let mut team_names = Interner::default();
        let teams = settings
            .teams
            .iter()
            .map(|team| {
                team_names.intern(&team.name);
                Team::from_settings(team)
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
            task_range_len: storage::task_range_len(settings.state.max_value_kb),
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

    /// Whether teams' shares are measured in GPUs. They are measured in CPUs if no machine type has
    /// GPUs.
    pub fn shares_gpus(&self) -> bool {
        self.machine_types
            .iter()
            .any(|machine_type| machine_type.gpus > 0.0)
    }

    /// The part of `amounts` that teams' shares are measured in: GPUs or CPUs.
    pub fn accounted_units(&self, amounts: &Resources) -> f64 {
        if self.shares_gpus() {
            amounts.gpus
        } else {
            amounts.cpus
        }
    }

    /// Adds machine types, or replaces those with the same names.
    pub fn set_machine_types(&mut self, types: &[MachineType]) {
        for machine_type in types {
            for zone in &machine_type.zones {
                self.intern_zone(zone);
            }
            let index = self.type_interner.intern(&machine_type.name) as usize;
            if index < self.machine_types.len() {
                self.machine_types[index] = machine_type.clone();
            } else {
                self.machine_types.push(machine_type.clone());
            }
        }
        self.scheduling_needed = true;
    }

    /// Returns the index of a zone, adding the zone if it is new.
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

    /// Returns the job at an index.
    pub fn job(&self, index: JobIndex) -> &Job {
        &self.jobs[index.as_usize()]
    }

    /// Returns the machine at an index.
    pub fn machine(&self, index: MachineIndex) -> &Machine {
        &self.machines[index.as_usize()]
    }

    /// Sets the time of day at the monotonic time `now`, both in milliseconds.
    pub fn set_time_of_day(&mut self, now: Millis, wall_ms: u64) {
        self.wall_clock_offset_ms = wall_ms as i64 - now as i64;
    }

    /// The time of day at the monotonic time `now`, in milliseconds.
    pub fn wall_ms(&self, now: Millis) -> u64 {
        (now as i64 + self.wall_clock_offset_ms).max(0) as u64
    }
}
