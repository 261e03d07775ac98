//! The cluster state: teams, jobs, tasks, machines and the attempts that bind them.
//!
//! An attempt that was ever sent to a machine counts as running (for limits, spread and the
//! machine's room) until it is *known* to be gone: a newer report denies it and no start of it can
//! still be in flight, or the machine's lease has surely expired, or the cloud deleted the machine.
//!
//! The state knows the storage records that are built from it ([`records`]), and nothing of the
//! scheduler that reads it.

mod attempt;
mod durability;
pub mod fault_attribution;
mod index;
mod job;
mod machine;
mod objectives;
pub mod records;
mod reservations;
mod resources;
pub mod straggler;
mod submission;
mod task;
mod team;

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
};
use crate::{
    config::Settings,
    protocol::{cloud::MachineType, ids::JobId},
    storage,
    time::Millis,
};

/// All that is known of teams, jobs and machines, kept by the leader.
pub struct ClusterState {
    /// The teams, in the order of the settings.
    pub teams: Vec<Team>,
    /// Indices of the teams by name.
    pub team_interner: Interner,
    /// Indices of the zones by name.
    pub zone_interner: Interner,
    /// Names of the zones.
    pub zone_names: Vec<String>,
    /// Indices of the images by name.
    pub image_interner: Interner,
    /// Indices of the classes by name.
    pub class_interner: Interner,
    /// Objectives by class.
    pub objectives: Vec<ServiceLevelObjectives>,
    /// Within how many seconds work within a guarantee is to start.
    pub guarantee_objective_s: Option<f64>,
    /// Machine types.
    pub machine_types: Vec<MachineType>,
    /// Indices of the machine types by name.
    pub type_interner: Interner,
    /// Unfinished jobs and free slots.
    pub jobs: Vec<Job>,
    /// Slots in `jobs` that can be used again.
    pub free_job_slots: Vec<JobIndex>,
    /// Indices of the unfinished jobs by id.
    pub jobs_by_id: BTreeMap<JobId, JobIndex>,
    /// When this leader took over. Attempts placed before have been running since a time that is not
    /// known.
    pub leader_since: Millis,
    /// By when all workers that are alive can be expected to have reported to this leader.
    pub workers_expected_by: Millis,
    /// How long tasks had waited that started since this was last taken, in milliseconds.
    pub start_wait_samples: Vec<Millis>,
    /// All machines that were ever entered.
    pub machines: Vec<Machine>,
    /// Indices of the machines by name.
    pub machines_by_name: HashMap<String, MachineIndex>,
    /// What previous leaders knew of the images of machines, and which were draining, until the
    /// machines are entered.
    recovered_machine_hints: HashMap<String, (Vec<(ImageIndex, f64)>, bool)>,
    /// How many tasks share a stored snapshot.
    pub task_range_len: u32,
    /// Tasks with changes that the store does not hold and no write in flight carries.
    pub unlogged_tasks: BTreeSet<(JobIndex, u32)>,
    /// Tasks whose changes are being written.
    pub tasks_being_logged: BTreeSet<(JobIndex, u32)>,
    /// Machines that may need commands: an attempt placed there is stored, one has to stop, or they
    /// have reported.
    pub machines_needing_commands: BTreeSet<MachineIndex>,
    /// Jobs whose last task is done, to be recorded as done.
    pub completed_jobs: BTreeSet<JobIndex>,
    /// The time of day less the steady time, in milliseconds.
    wall_clock_offset_ms: i64,
    /// Set whenever a scheduling cycle could find something new to do.
    pub scheduling_needed: bool,
}

impl ClusterState {
    /// A state without jobs and machines.
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

    /// Whether GPUs are what teams share; CPUs are where there are none.
    pub fn shares_gpus(&self) -> bool {
        self.machine_types.iter().any(|each| each.gpus > 0.0)
    }

    /// How much of what teams share an amount is.
    pub fn accounted_units(&self, amounts: &Resources) -> f64 {
        if self.shares_gpus() {
            amounts.gpus
        } else {
            amounts.cpus
        }
    }

    /// Enters machine types, or replaces those of the same names.
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

    /// The index of a zone, which is entered if it is new.
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

    /// The job of an index.
    pub fn job(&self, index: JobIndex) -> &Job {
        &self.jobs[index.as_usize()]
    }

    /// The machine of an index.
    pub fn machine(&self, index: MachineIndex) -> &Machine {
        &self.machines[index.as_usize()]
    }

    /// Sets the time of day at the steady time `now`, both in milliseconds.
    pub fn set_time_of_day(&mut self, now: Millis, wall_ms: u64) {
        self.wall_clock_offset_ms = wall_ms as i64 - now as i64;
    }

    /// The time of day at the steady time `now`, in milliseconds.
    pub fn wall_ms(&self, now: Millis) -> u64 {
        (now as i64 + self.wall_clock_offset_ms).max(0) as u64
    }
}
