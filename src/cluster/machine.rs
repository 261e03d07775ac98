//! Machines: their states, the attempts and images on them, and which tasks may be placed on them.

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

/// The lifecycle state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Provisioned; its worker has not sent a heartbeat yet.
    Booting,
    /// Its worker sends heartbeats.
    Up,
    /// Its worker's lease has expired by every node's clock without a heartbeat.
    Lost,
    /// A request to delete it is in flight.
    Deleting,
    /// Its deletion is confirmed.
    Deleted,
}

/// A provisioned machine and its worker.
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
    /// Its lifecycle state.
    pub state: MachineState,
    /// The worker's incarnation; 0 if it is not known.
    pub incarnation: u64,
    /// The sequence number of its latest report, in a heartbeat or in a response to a command.
    pub seq: u64,
    /// The highest fencing token that its worker has reported.
    pub token: u64,
    /// How many heartbeats were received, without outdated ones and responses to direct commands.
    pub heartbeats_received: u64,
    /// When its latest report arrived.
    pub last_heartbeat_at: Option<Millis>,
    /// The time by which its worker's lease has certainly expired, given every renewal that a node of this
    /// cluster may have sent.
    pub lease_until: Millis,
    /// When the cloud reclaims it, if the worker got a notice.
    pub reclaim_at: Option<Millis>,
    /// When it was added to the cluster state.
    pub added_at: Millis,
    /// When it was provisioned, by this node's clock; 0 if that was before the clock began.
    pub provisioned_at: Millis,
    /// A listing of the cloud has contained it.
    pub listed: bool,
    /// The number of consecutive latest listings of the cloud that lacked it.
    pub missed_listings: u32,
    /// When the cloud first listed it as running.
    pub listed_running_at: Option<Millis>,
    /// The cloud lists it as failed.
    pub listed_failed: bool,
    /// The attempts that may be running on it, and the ended ones that are not reaped yet.
    pub attempts: Vec<Attempt>,
    /// The resources reserved for its attempts that may be running.
    pub reserved: Resources,
    /// Images on its disk with their sizes in gigabytes, the most recently used last.
    pub cached_images: Vec<(ImageIndex, f64)>,
    /// The time since which no attempt has been running on it.
    pub idle_since: Millis,
    /// A direct command to its worker is in flight.
    pub command_in_flight: bool,
    /// No new task is placed on it; it is released once it is idle.
    pub draining: bool,
    /// Its heartbeat is overdue: no new task is placed on it.
    pub unresponsive: bool,
    /// Jobs whose tasks failed on it since a task last succeeded on it.
    pub recent_failures: Vec<JobId>,
    /// It is being drained because tasks keep failing on it.
    pub faulty: bool,
    /// The mean run time of its tasks, as a multiple of the mean run times of their jobs.
    pub mean_slowdown: RunningMean,
    /// No task is placed on it before this time.
    pub avoid_until: Millis,
    /// Set if a start got no response, or if the only report of the machine may be an old one: the worker
    /// may not receive commands, or the machine may be gone, until the worker responds to a command or
    /// reports a fencing token at least as high as this. 0 if the worker is reachable.
    pub unconfirmed_token: u64,
    /// The job that tasks were preempted for on this machine, and the end of its reservation: until then
    /// the free resources are not available to other jobs of the same or a lower priority. Without the
    /// reservation, the fair-share order of teams returned the resources to the team that had lost them, and
    /// the next preemption took them again.
    pub reserved_for: Option<(JobIndex, Millis)>,
}

impl Machine {
    /// Whether an attempt of the task is listed for it, ended or not.
    pub fn has_attempt_of(&self, job: JobIndex, task: u32) -> bool {
        self.attempts.iter().any(|a| a.job == job && a.task == task)
    }

    /// Whether the image is on its disk.
    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.cached_images
            .iter()
            .any(|(cached, _)| *cached == image)
    }

    /// Whether new tasks may be placed on it.
    pub fn is_schedulable(&self) -> bool {
        !self.draining && self.can_receive_commands()
    }

    /// Whether it is up, no reclaim is announced, and its worker is expected to receive commands.
    pub fn can_receive_commands(&self) -> bool {
        self.state == MachineState::Up
            && !self.unresponsive
            && self.reclaim_at.is_none()
            && self.unconfirmed_token <= self.token
    }

    /// Whether a start of this attempt may still reach the worker, even if its latest heartbeat does not list
    /// the attempt.
    pub fn has_start_in_flight(&self, attempt: &Attempt) -> bool {
        attempt.direct_start_in_flight
            || attempt.started_by_heartbeat == Some(self.heartbeats_received)
            || attempt.fencing_token > self.token
    }

    /// Whether the worker may reap an attempt that has ended. A delayed duplicate of its start would run it a
    /// second time, in parallel with the next attempt or with other tasks that its team runs by then,
    /// unless the worker has received a higher fencing token since.
    pub fn can_forget(&self, attempt: &Attempt) -> bool {
        attempt.direct_start_term < self.token || attempt.direct_start_term == 0
    }

    /// Whether all its attempts have ended.
    pub fn is_idle(&self) -> bool {
        self.attempts.iter().all(|a| a.phase == Phase::Ended)
    }
}

impl ClusterState {
    /// Adds a machine in state [`MachineState::Booting`], or returns the index of the one with that name.
    pub fn add_machine(
        &mut self,
        name: &str,
        type_index: MachineTypeIndex,
        zone: ZoneIndex,
        spot: bool,
        now: Millis,
    ) -> MachineIndex {
        if let Some(&existing) = self.machines_by_name.get(name) {
            return existing;
        }
        let index = MachineIndex(self.machines.len() as u32);
        let (images, draining) = self
            .recovered_machine_hints
            .remove(name)
            .unwrap_or_default();
        self.machines.push(Machine {
            name: name.to_owned(),
            addr: None,
            machine_type: type_index,
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
            added_at: now,
            provisioned_at: now,
            listed: false,
            missed_listings: 0,
            listed_running_at: None,
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

    /// Restores a machine's cached images (names, and sizes in gigabytes) and whether it is draining, from
    /// the previous leader's record. Without that, a new leader placed tasks again on a machine that
    /// fails every task.
    pub fn restore_machine_hints(
        &mut self,
        machine: String,
        images: impl Iterator<Item = (String, f64)>,
        draining: bool,
    ) {
        let images = images.map(|(name, gb)| (ImageIndex(self.image_interner.intern(&name)), gb));
        let images = images.collect();
        match self.machines_by_name.get(&machine) {
            Some(index) => {
                let existing = &mut self.machines[index.as_usize()];
                existing.cached_images = images;
                existing.draining |= draining;
            }
            None => {
                self.recovered_machine_hints
                    .insert(machine, (images, draining));
            }
        }
    }

    /// The machine's capacity minus the reservations of its attempts.
    pub fn free_resources(&self, machine: &Machine) -> Resources {
        let capacity = &self.machine_types[machine.machine_type.as_usize()];
        Resources {
            cpus: capacity.cpus - machine.reserved.cpus,
            gpus: capacity.gpus - machine.reserved.gpus,
            ram_gb: capacity.ram_gb - machine.reserved.ram_gb,
        }
    }

    /// Whether another task of the job may be placed on the machine and fits its free capacity.
    pub fn can_place(&self, job: &Job, machine: &Machine) -> bool {
        machine.is_schedulable() && self.is_feasible(job, machine)
    }

    /// Like [`can_place`](Self::can_place), but also for machines that accept no new tasks.
    pub fn is_feasible(&self, job: &Job, machine: &Machine) -> bool {
        (!machine.spot || job.spot)
            && job.allows_type(machine.machine_type)
            && job.requested.fits_in(&self.free_resources(machine))
            && job.allows_zone(machine.zone)
    }

    /// Whether the machine's free capacity is reserved for another job of at least the same priority that
    /// has waiting tasks.
    pub fn is_reserved_for_other(&self, job: JobIndex, machine: &Machine, now: Millis) -> bool {
        machine.reserved_for.is_some_and(|(other, until)| {
            let other_job = self.job(other);
            now < until
                && other != job
                && !other_job.waiting.is_empty()
                && other_job.priority <= self.job(job).priority
        })
    }

    /// Records that the image was used on the machine, evicting the least recently used images that exceed
    /// its disk cache.
    pub(super) fn cache_image(
        &mut self,
        machine_index: MachineIndex,
        image: ImageIndex,
        size_gb: f64,
    ) {
        let machine = &mut self.machines[machine_index.as_usize()];
        machine.cached_images.retain(|(cached, _)| *cached != image);
        machine.cached_images.push((image, size_gb));
        let cache_gb = self.machine_types[machine.machine_type.as_usize()].cache_gb;
        while machine.cached_images.len() > 1
            && machine
                .cached_images
                .iter()
                .map(|(_, size_gb)| size_gb)
                .sum::<f64>()
                > cache_gb
        {
            machine.cached_images.remove(0);
        }
    }
}
