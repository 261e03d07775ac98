//! Machines: how they stand, what they hold, and what may be placed there.

use crate::{
    cluster::{
        ClusterState,
        attempt::{Attempt, Phase},
        index::{ImageIndex, JobIndex, MachineIndex, MachineTypeIndex, ZoneIndex},
        job::Job,
        resources::Resources,
        straggler::RunningMean,
    },
    protocol::ids::JobId,
    time::Millis,
};

/// How a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Rented, not heard from.
    Booting,
    /// It sends heartbeats.
    Up,
    /// Its lease has surely expired without a heartbeat.
    Lost,
    /// Its deletion is in flight.
    Deleting,
    /// Deleted.
    Gone,
}

/// A rented machine, with its worker.
pub struct Machine {
    /// Its unique name.
    pub name: String,
    /// Its worker's address.
    pub addr: Option<String>,
    /// Its type.
    pub machine_type: MachineTypeIndex,
    /// Its zone.
    pub zone: ZoneIndex,
    /// The cloud may reclaim it at any time.
    pub spot: bool,
    /// How it stands.
    pub state: MachineState,
    /// The worker's incarnation; 0: not known.
    pub incarnation: u64,
    /// The sequence number of its latest report.
    pub seq: u64,
    /// The highest fencing token that it has reported.
    pub token: u64,
    /// How many heartbeats that were news it has sent.
    pub heartbeats_received: u64,
    /// When it was last heard from.
    pub last_heartbeat_at: Option<Millis>,
    /// When its worker's lease, as far as this cluster may have renewed it, has surely expired.
    pub lease_until: Millis,
    /// When the cloud reclaims it.
    pub reclaim_at: Option<Millis>,
    /// When it was entered.
    pub known_since: Millis,
    /// When the rental began, by this node's clock; negative times are cut off.
    pub provisioned_at: Millis,
    /// The cloud has listed it.
    pub listed: bool,
    /// How many of the latest listings did not have it.
    pub missed_listings: u32,
    /// When the cloud first listed it as running.
    pub listed_running: Option<Millis>,
    /// The cloud lists it as failed.
    pub listed_failed: bool,
    /// The attempts that may be there, and those that ended and are not forgotten.
    pub attempts: Vec<Attempt>,
    /// What its attempts that may be running hold.
    pub reserved: Resources,
    /// Images on its disk with their sizes in gigabytes, the latest used last.
    pub cached_images: Vec<(ImageIndex, f64)>,
    /// Since when nothing has run there.
    pub idle_since: Millis,
    /// A direct command is in flight.
    pub command_in_flight: bool,
    /// Nothing new is placed there; once idle it is returned.
    pub draining: bool,
    /// Silent for longer than its heartbeats take: nothing new is placed there.
    pub unresponsive: bool,
    /// Jobs that failed there since a task last succeeded.
    pub recent_failures: Vec<JobId>,
    /// It is to be replaced for its failures.
    pub faulty: bool,
    /// How long its tasks take, as a multiple of what other tasks of their jobs take.
    pub mean_slowdown: RunningMean,
    /// It is passed over until then.
    pub avoid_until: Millis,
    /// A start that was sent there got no answer, or all that is known of it is a report that may be old:
    /// until the worker answers or reports a token as high as this, it may hear nothing or be gone. 0: none.
    pub unconfirmed_token: u64,
    /// Work was preempted there for this job: until that time the room is not available to other jobs of
    /// the same or a lower priority. Without that the heap of teams gave it back to the team that it was
    /// taken from, and the next preemption took it again.
    pub reserved_for: Option<(JobIndex, Millis)>,
}

impl Machine {
    /// Whether it holds an attempt of the task, ended or not.
    pub fn has_attempt_of(&self, job: JobIndex, task: u32) -> bool {
        self.attempts.iter().any(|a| a.job == job && a.task == task)
    }

    /// Whether the image is on its disk.
    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.cached_images.iter().any(|(held, _)| *held == image)
    }

    /// Whether new tasks may be placed there.
    pub fn is_schedulable(&self) -> bool {
        !self.draining && self.can_receive_commands()
    }

    /// Whether it is up and stays so, by all that is known, and commands reach it.
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

    /// Whether nothing runs there or may yet.
    pub fn is_idle(&self) -> bool {
        self.attempts.iter().all(|a| a.phase == Phase::Ended)
    }
}

impl ClusterState {
    /// Enters a machine, or finds the one of that name.
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

    /// Restores what the previous leader knew of a machine: its images, and whether it is draining.
    /// Without that, a new leader filled a machine that fails every task once more.
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

    /// What the machine has and no attempt holds.
    pub fn free_resources(&self, machine: &Machine) -> Resources {
        let whole = &self.machine_types[machine.machine_type.as_usize()];
        Resources {
            cpus: whole.cpus - machine.reserved.cpus,
            gpus: whole.gpus - machine.reserved.gpus,
            ram_gb: whole.ram_gb - machine.reserved.ram_gb,
        }
    }

    /// Whether a further task of the job may be placed on the machine and fits there.
    pub fn can_place(&self, job: &Job, machine: &Machine) -> bool {
        machine.is_schedulable() && self.is_feasible(job, machine)
    }

    /// The same, whether or not the machine accepts new tasks.
    pub fn is_feasible(&self, job: &Job, machine: &Machine) -> bool {
        (!machine.spot || job.spot)
            && job.allows_type(machine.machine_type)
            && job.requested.fits_in(&self.free_resources(machine))
            && job.allows_zone(machine.zone)
    }

    /// Whether the room that is free there is reserved for another job.
    pub fn is_reserved_for_other(&self, job: JobIndex, machine: &Machine, now: Millis) -> bool {
        machine.reserved_for.is_some_and(|(other, until)| {
            let other_job = self.job(other);
            now < until
                && other != job
                && !other_job.waiting.is_empty()
                && other_job.priority <= self.job(job).priority
        })
    }

    pub(super) fn cache_image(&mut self, on: MachineIndex, image: ImageIndex, gb: f64) {
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
}
