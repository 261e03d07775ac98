//! Teams: their guarantees, limits and reservations, and their queues of waiting jobs.

use std::collections::BTreeSet;

use crate::{
    cluster::{
        index::JobIndex,
        resources::{RESOURCE_EPSILON, Resources},
    },
    config,
    protocol::job::Priority,
};

/// Converts a limit from the settings, where 0 means no limit.
fn limit_or_infinite(amount: f64) -> f64 {
    if amount > 0.0 { amount } else { f64::INFINITY }
}

/// The sort key of a job in its team's queue: priority, then placement deadline in milliseconds of the
/// time of day.
pub type QueueKey = (Priority, u64, JobIndex);

/// A team of users. The scheduler divides the machines' capacity among the teams.
pub struct Team {
    /// Its unique name.
    pub name: String,
    /// The resources that it gets whenever it requests them.
    pub guarantee: Resources,
    /// The most that it may reserve; infinite where there is no limit.
    pub limit: Resources,
    /// The resources reserved for its attempts that may be running.
    pub reserved: Resources,
    /// Jobs with waiting tasks, the most urgent and oldest first.
    pub queue: BTreeSet<QueueKey>,
}

impl Team {
    /// Creates a team from its settings, with nothing reserved.
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
