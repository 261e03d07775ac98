//! Teams: what they are guaranteed, limited to and hold, and their queues of waiting jobs.

use std::collections::BTreeSet;

use crate::{
    cluster::{
        index::JobIndex,
        resources::{RESOURCE_EPSILON, Resources},
    },
    config,
    protocol::job::Priority,
};

/// A limit as the settings give it, where 0 means none.
fn limit_or_infinite(amount: f64) -> f64 {
    if amount > 0.0 { amount } else { f64::INFINITY }
}

/// A job's place in its team's queue: by priority, then by placement deadline in milliseconds of
/// the time of day.
pub type QueueKey = (Priority, u64, JobIndex);

/// A team of users, among which the scheduler divides the machines.
pub struct Team {
    /// Its unique name.
    pub name: String,
    /// What it can always have, if it wants it.
    pub guarantee: Resources,
    /// What it may reserve at most; infinite where there is no limit.
    pub limit: Resources,
    /// The sum of what its attempts that may be running hold.
    pub reserved: Resources,
    /// Jobs with waiting tasks, the most urgent and oldest first.
    pub queue: BTreeSet<QueueKey>,
}

impl Team {
    /// A team as the settings tell of it, with nothing reserved.
    pub(super) fn from_settings(settings: &config::Team) -> Self {
        Team {
            name: settings.name.clone(),
            guarantee: Resources {
                cpus: settings.cpus,
                gpus: settings.gpus,
                ram_gb: 0.0,
            },
            limit: Resources {
                cpus: limit_or_infinite(settings.cpus_max),
                gpus: limit_or_infinite(settings.gpus_max),
                ram_gb: f64::INFINITY,
            },
            reserved: Resources::default(),
            queue: BTreeSet::new(),
        }
    }

    /// Whether the team may reserve `more` within its limit.
    pub fn allows(&self, more: &Resources) -> bool {
        let within = |limit: f64, reserved: f64, more: f64| {
            more <= 0.0 || reserved + more <= limit + RESOURCE_EPSILON
        };
        within(self.limit.cpus, self.reserved.cpus, more.cpus)
            && within(self.limit.gpus, self.reserved.gpus, more.gpus)
    }
}
