//! A cell's side of a team: what it holds, may use, and gives back.

use crate::quota::{Account, Grant, HoldRecord, Position, Quota, QuotaError};

/// What the books say of a team in this cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// What may be running.
    pub used: Quota,
    /// What waits.
    pub waiting: Quota,
    /// What the first of that needs at once.
    pub least: Quota,
    /// What the largest running task takes.
    pub grain: Quota,
}

/// New work is expected to be this part of what there is, as a divisor: it is asked for ahead.
const MARGIN: u64 = 8;

/// A team in a cell.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    stored: HoldRecord,
    /// The version of the key that holds it; 0: not stored.
    pub key_version: u64,
    /// What is to be stored next. Its returns count at once, its grants once they are stored.
    next: HoldRecord,
    /// The latest version that the books obey.
    obeyed: u64,
    /// The home has told this leader that what runs above the target has to stop.
    lowered: bool,
}

impl Holder {
    /// A team as its cell has it stored; by default, one that was never stored.
    pub fn new(stored: HoldRecord, key_version: u64) -> Self {
        Holder {
            next: stored.clone(),
            stored,
            key_version,
            obeyed: 0,
            lowered: false,
        }
    }

    /// What is stored.
    pub fn stored(&self) -> &HoldRecord {
        &self.stored
    }

    /// The home tells what the cell was granted.
    pub fn hear(&mut self, home: &str, grant: Grant) -> Result<(), QuotaError> {
        let known = &mut self.next;
        if known.home.is_empty() {
            known.home = home.to_owned();
        } else if known.home != home {
            return Err(QuotaError::OtherHome {
                home: known.home.clone(),
                claimed: home.to_owned(),
            });
        }
        known.account.granted = known.account.granted.most(grant.granted);
        if grant.version >= known.version {
            known.version = grant.version;
            known.guarantee = grant.guarantee;
            known.target = grant.target;
            self.lowered = grant.lowered;
        }
        Ok(())
    }

    /// What the team may use here at most: granted and stored, not about to be returned.
    pub fn allocation(&self) -> Quota {
        let account = Account {
            granted: self.stored.account.granted,
            returned: self.next.account.returned,
        };
        account.outstanding()
    }

    /// What new work may bring the team's use up to: nothing new above what it is to come down to.
    pub fn ceiling(&self) -> Quota {
        self.allocation().least(self.next.target)
    }

    /// The cell's part of the guarantee.
    pub fn guarantee(&self) -> Quota {
        self.next.guarantee
    }

    /// What runs above what the team is to come down to, by the word of its home.
    pub fn excess(&self, used: Quota) -> Quota {
        if self.lowered {
            used.less(self.ceiling())
        } else {
            Quota::ZERO
        }
    }

    /// Gives back what is not used and not to be kept, and tells what is to be stored, if anything. What is returned
    /// must not be used from this moment on: [`Holder::ceiling`] tells so.
    pub fn next(&mut self, used: Quota) -> Option<HoldRecord> {
        let held = self.allocation();
        let kept = self.next.target.most(used).least(held);
        let returned = held.less(kept);
        self.next.account.returned = self.next.account.returned.plus(returned);
        // Targets and parts of the guarantee follow demand, and nothing that is safe depends on them: they go with
        // other changes.
        let stored = HoldRecord {
            guarantee: self.next.guarantee,
            target: self.next.target,
            ..self.stored.clone()
        };
        (stored != self.next).then(|| self.next.clone())
    }

    /// The record is stored under this version of its key.
    pub fn stored_as(&mut self, record: HoldRecord, key_version: u64) {
        if key_version <= self.key_version {
            return;
        }
        self.next.account.merge(&record.account);
        if self.next.home.is_empty() {
            self.next.home = record.home.clone();
        }
        self.stored = record;
        self.key_version = key_version;
    }

    /// What the home is told.
    pub fn position(&mut self, demand: &Demand) -> Position {
        if !self.lowered || demand.used.within(self.ceiling()) {
            self.obeyed = self.obeyed.max(self.stored.version);
        }
        let whole = demand.used.plus(demand.waiting);
        let margin = Quota {
            cpus: demand.waiting.cpus.min(whole.cpus / MARGIN),
            gpus: demand.waiting.gpus.min(whole.gpus / MARGIN),
        };
        Position {
            version: self.obeyed,
            account: self.stored.account,
            used: demand.used,
            wanted: whole.plus(margin),
            least: demand.least,
            grain: demand.grain,
        }
    }
}

#[cfg(test)]
mod tests;
