//! A participant's side of a team: the units that the cell holds, may use, and returns.

use crate::quota::{Account, Grant, ParticipantRecord, ParticipantReport, Quota, QuotaError};

/// A team's use and demand in this cell, by the cluster state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// The units reserved by the team's tasks that may be running.
    pub used: Quota,
    /// The units that the waiting tasks request.
    pub waiting: Quota,
    /// The units that the first waiting job needs to start: of one task, or of all tasks of a gang together.
    pub first_request: Quota,
    /// The units that the largest running task reserves.
    pub largest_task: Quota,
}

/// The margin that is requested for work to come is the team's use and waiting work divided by this, but no more than
/// the waiting work.
const DEMAND_MARGIN_DIVISOR: u64 = 8;

/// A participant's state for a team.
#[derive(Clone, Debug, Default)]
pub struct Participant {
    stored: ParticipantRecord,
    /// The version of the key under which the record is stored; 0: not stored.
    pub key_version: u64,
    /// The record to store next. Its returns take effect immediately, its grants once they are stored.
    pending: ParticipantRecord,
    /// The latest version of the quota that the cell enforces.
    enforced_version: u64,
    /// Tasks above the target have to be preempted, by the latest grant since this leader took over.
    limit_lowered: bool,
}

impl Participant {
    /// Resumes from a stored record; the default record and key version 0 stand for a team that was never stored.
    pub fn new(stored: ParticipantRecord, key_version: u64) -> Self {
        Participant {
            pending: stored.clone(),
            stored,
            key_version,
            enforced_version: 0,
            limit_lowered: false,
        }
    }

    /// The stored record.
    pub fn stored(&self) -> &ParticipantRecord {
        &self.stored
    }

    /// Applies a grant. Its units can be used once the next record is stored.
    ///
    /// # Errors
    /// The team has another coordinator.
    pub fn on_grant(&mut self, coordinator: &str, grant: Grant) -> Result<(), QuotaError> {
        let pending = &mut self.pending;
        if pending.coordinator.is_empty() {
            pending.coordinator = coordinator.to_owned();
        } else if pending.coordinator != coordinator {
            return Err(QuotaError::OtherCoordinator {
                coordinator: pending.coordinator.clone(),
                claimant: coordinator.to_owned(),
            });
        }
        pending.account.granted = pending.account.granted.componentwise_max(grant.granted);
        if grant.version >= pending.version {
            pending.version = grant.version;
            pending.guarantee = grant.guarantee;
            pending.target = grant.target;
            self.limit_lowered = grant.limit_lowered;
        }
        Ok(())
    }

    /// The most that the team may use in this cell: the units granted by stored grants, less those returned or about
    /// to be.
    pub fn usable_quota(&self) -> Quota {
        let account = Account {
            granted: self.stored.account.granted,
            returned: self.pending.account.returned,
        };
        account.outstanding()
    }

    /// The use up to which new work may be started: the usable quota, but no more than the target.
    pub fn new_work_ceiling(&self) -> Quota {
        self.usable_quota().componentwise_min(self.pending.target)
    }

    /// The cell's part of the guarantee.
    pub fn guarantee(&self) -> Quota {
        self.pending.guarantee
    }

    /// The units to preempt because the limit was lowered: the use above [`Participant::new_work_ceiling`].
    pub fn excess(&self, used: Quota) -> Quota {
        if self.limit_lowered {
            used.saturating_sub(self.new_work_ceiling())
        } else {
            Quota::ZERO
        }
    }

    /// Gives back unused units above the target and produces the record to store, if it has changed. The units given
    /// back must not be used from now on; [`Participant::new_work_ceiling`] no longer includes them.
    pub fn next_record(&mut self, used: Quota) -> Option<ParticipantRecord> {
        let held = self.usable_quota();
        let kept = self
            .pending
            .target
            .componentwise_max(used)
            .componentwise_min(held);
        let returned = held.saturating_sub(kept);
        self.pending.account.returned = self.pending.account.returned.saturating_add(returned);
        // Targets and guarantees follow the demand, and safety does not depend on them. They are stored only together
        // with other changes.
        let stored = ParticipantRecord {
            guarantee: self.pending.guarantee,
            target: self.pending.target,
            ..self.stored.clone()
        };
        (stored != self.pending).then(|| self.pending.clone())
    }

    /// The record has been stored, or read, with this version of its key. A version that is not newer is ignored.
    pub fn on_stored(&mut self, record: ParticipantRecord, key_version: u64) {
        if key_version <= self.key_version {
            return;
        }
        self.pending.account.merge(&record.account);
        if self.pending.coordinator.is_empty() {
            self.pending.coordinator = record.coordinator.clone();
        }
        self.stored = record;
        self.key_version = key_version;
    }

    /// The report to send to the coordinator.
    pub fn report(&mut self, demand: &TeamDemand) -> ParticipantReport {
        if !self.limit_lowered || demand.used.fits_within(self.new_work_ceiling()) {
            self.enforced_version = self.enforced_version.max(self.stored.version);
        }
        let total = demand.used.saturating_add(demand.waiting);
        let margin = Quota {
            cpus: demand.waiting.cpus.min(total.cpus / DEMAND_MARGIN_DIVISOR),
            gpus: demand.waiting.gpus.min(total.gpus / DEMAND_MARGIN_DIVISOR),
        };
        ParticipantReport {
            version: self.enforced_version,
            account: self.stored.account,
            used: demand.used,
            wanted: total.saturating_add(margin),
            first_request: demand.first_request,
            largest_task: demand.largest_task,
        }
    }
}

#[cfg(test)]
mod tests;
