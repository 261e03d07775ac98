//! A cell's side of a team: what it holds, may use, and gives back.

use crate::quota::{Account, Grant, ParticipantRecord, ParticipantReport, Quota, QuotaError};

/// What the books say of a team in this cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// What may be running.
    pub used: Quota,
    /// What waits.
    pub waiting: Quota,
    /// What the first of that needs at once.
    pub first_request: Quota,
    /// What the largest running task takes.
    pub largest_task: Quota,
}

/// New work is expected to be this part of what there is, as a divisor: it is asked for ahead.
const DEMAND_MARGIN_DIVISOR: u64 = 8;

/// A team in a cell.
#[derive(Clone, Debug, Default)]
pub struct Participant {
    stored: ParticipantRecord,
    /// The version of the key that holds it; 0: not stored.
    pub key_version: u64,
    /// What is to be stored next. Its returns count at once, its grants once they are stored.
    pending: ParticipantRecord,
    /// The latest version that the books obey.
    enforced_version: u64,
    /// The home has told this leader that what runs above the target has to stop.
    limit_lowered: bool,
}

impl Participant {
    /// A team as its cell has it stored; by default, one that was never stored.
    pub fn new(stored: ParticipantRecord, key_version: u64) -> Self {
        Participant {
            pending: stored.clone(),
            stored,
            key_version,
            enforced_version: 0,
            limit_lowered: false,
        }
    }

    /// What is stored.
    pub fn stored(&self) -> &ParticipantRecord {
        &self.stored
    }

    /// The home tells what the cell was granted.
    pub fn on_grant(&mut self, home: &str, grant: Grant) -> Result<(), QuotaError> {
        let known = &mut self.pending;
        if known.coordinator.is_empty() {
            known.coordinator = home.to_owned();
        } else if known.coordinator != home {
            return Err(QuotaError::OtherCoordinator {
                coordinator: known.coordinator.clone(),
                claimed: home.to_owned(),
            });
        }
        known.account.granted = known.account.granted.componentwise_max(grant.granted);
        if grant.version >= known.version {
            known.version = grant.version;
            known.guarantee = grant.guarantee;
            known.target = grant.target;
            self.limit_lowered = grant.limit_lowered;
        }
        Ok(())
    }

    /// What the team may use here at most: granted and stored, not about to be returned.
    pub fn usable_quota(&self) -> Quota {
        let account = Account {
            granted: self.stored.account.granted,
            returned: self.pending.account.returned,
        };
        account.outstanding()
    }

    /// What new work may bring the team's use up to: nothing new above what it is to come down to.
    pub fn new_work_ceiling(&self) -> Quota {
        self.usable_quota().componentwise_min(self.pending.target)
    }

    /// The cell's part of the guarantee.
    pub fn guarantee(&self) -> Quota {
        self.pending.guarantee
    }

    /// What runs above what the team is to come down to, by the word of its home.
    pub fn excess(&self, used: Quota) -> Quota {
        if self.limit_lowered {
            used.saturating_sub(self.new_work_ceiling())
        } else {
            Quota::ZERO
        }
    }

    /// Gives back what is not used and not to be kept, and tells what is to be stored, if anything. What is returned
    /// must not be used from this moment on: [`Participant::new_work_ceiling`] tells so.
    pub fn next_record(&mut self, used: Quota) -> Option<ParticipantRecord> {
        let held = self.usable_quota();
        let kept = self
            .pending
            .target
            .componentwise_max(used)
            .componentwise_min(held);
        let returned = held.saturating_sub(kept);
        self.pending.account.returned = self.pending.account.returned.saturating_add(returned);
        // Targets and parts of the guarantee follow demand, and nothing that is safe depends on them: they go with
        // other changes.
        let stored = ParticipantRecord {
            guarantee: self.pending.guarantee,
            target: self.pending.target,
            ..self.stored.clone()
        };
        (stored != self.pending).then(|| self.pending.clone())
    }

    /// The record is stored under this version of its key.
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

    /// What the home is told.
    pub fn report(&mut self, demand: &TeamDemand) -> ParticipantReport {
        if !self.limit_lowered || demand.used.fits_within(self.new_work_ceiling()) {
            self.enforced_version = self.enforced_version.max(self.stored.version);
        }
        let whole = demand.used.saturating_add(demand.waiting);
        let margin = Quota {
            cpus: demand.waiting.cpus.min(whole.cpus / DEMAND_MARGIN_DIVISOR),
            gpus: demand.waiting.gpus.min(whole.gpus / DEMAND_MARGIN_DIVISOR),
        };
        ParticipantReport {
            version: self.enforced_version,
            account: self.stored.account,
            used: demand.used,
            wanted: whole.saturating_add(margin),
            first_request: demand.first_request,
            largest_task: demand.largest_task,
        }
    }
}

#[cfg(test)]
mod tests;
