//! The home's side of a team: its quota, what each cell was granted, and what is in force where.

use std::collections::BTreeMap;

use crate::{
    quota::{
        Account, CoordinatorRecord, Grant, ParticipantReport, Quota, QuotaError, TeamQuota, Units,
        plan::{self, CellShare, Transfer},
    },
    time::Millis,
};

/// A cell that was not heard of for this long gets no more. Nothing but who gets new units depends on it.
const REACHABLE_TIMEOUT_MS: Millis = 5000;

/// What a home last heard of a cell.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    report: ParticipantReport,
    received_at: Millis,
}

/// Cells that come down to a lowered limit: what each was told stays until all have, so that none is told to come down
/// to less and to more in turn.
#[derive(Clone, Debug, Default)]
struct LimitReduction {
    limit: Units,
    targets: Vec<Units>,
}

impl LimitReduction {
    /// Keeps the targets of moves that lower; takes them up from then on until the limit is kept or another one.
    fn pin_targets(&mut self, limit: Units, outstanding: &[Units], moves: &mut [Transfer]) {
        if outstanding.iter().sum::<Units>() <= limit {
            self.targets.clear();
            return;
        }
        if self.limit != limit || self.targets.len() != moves.len() {
            self.limit = limit;
            self.targets = moves.iter().map(|each| each.target).collect();
        }
        let told = self.targets.iter().zip(outstanding);
        for (each, (target, outstanding)) in moves.iter_mut().zip(told) {
            each.target = *target.min(outstanding);
        }
    }
}

/// A team at its home.
#[derive(Clone, Debug)]
pub struct Coordinator {
    cells: Vec<String>,
    stored: CoordinatorRecord,
    /// The version of the key that holds it; 0: not stored.
    pub key_version: u64,
    last_reports: BTreeMap<String, LastReport>,
    /// Since when the stored version has been the latest.
    version_since: Millis,
    targets: BTreeMap<String, Quota>,
    cpu_reduction: LimitReduction,
    gpu_reduction: LimitReduction,
}

impl Coordinator {
    /// A team as its home has it stored; by default, one that was never stored.
    pub fn new(cells: &[String], stored: CoordinatorRecord, key_version: u64, now: Millis) -> Self {
        Coordinator {
            cells: cells.to_vec(),
            stored,
            key_version,
            last_reports: BTreeMap::new(),
            version_since: now,
            targets: BTreeMap::new(),
            cpu_reduction: LimitReduction::default(),
            gpu_reduction: LimitReduction::default(),
        }
    }

    /// What is stored.
    pub fn stored(&self) -> &CoordinatorRecord {
        &self.stored
    }

    /// A cell tells how it stands.
    pub fn on_report(
        &mut self,
        cell: &str,
        position: ParticipantReport,
        now: Millis,
    ) -> Result<(), QuotaError> {
        if !self.cells.iter().any(|known| known == cell) {
            return Err(QuotaError::UnknownCell(cell.to_owned()));
        }
        let granted = self.account(cell).granted;
        if !position.account.returned.fits_within(granted) {
            return Err(QuotaError::ReturnedMoreThanGranted(cell.to_owned()));
        }
        let mut position = position;
        if let Some(heard) = self.last_reports.get(cell) {
            // A message that was overtaken: the totals show it.
            position.account.merge(&heard.report.account);
            position.version = position.version.max(heard.report.version);
        }
        let heard = LastReport {
            report: position,
            received_at: now,
        };
        self.last_reports.insert(cell.to_owned(), heard);
        Ok(())
    }

    /// What a cell was granted, and is known to have returned.
    pub fn account(&self, cell: &str) -> Account {
        let mut account = self.stored.accounts.get(cell).copied().unwrap_or_default();
        if let Some(heard) = self.last_reports.get(cell) {
            account.returned = account
                .returned
                .componentwise_max(heard.report.account.returned);
        }
        account
    }

    /// What all cells may hold, by what is known here.
    pub fn outstanding(&self) -> Quota {
        let accounts = self.cells.iter().map(|cell| self.account(cell));
        let outstanding = accounts.map(|account| account.outstanding());
        outstanding.fold(Quota::ZERO, Quota::saturating_add)
    }

    /// What is to be stored next, if anything: a new version of the quota, or more for some cells.
    pub fn next_record(&mut self, configured: TeamQuota, now: Millis) -> Option<CoordinatorRecord> {
        let mut next = self.stored.clone();
        let changed = next.version == 0 || next.quota != configured;
        if changed {
            next.version += 1;
            next.quota = configured;
        }
        let moves = self.plan_transfers(&next.quota.limit, now);
        let mut granted = false;
        for (cell, (cpus, gpus)) in self.cells.iter().zip(moves) {
            let target = Quota {
                cpus: cpus.target,
                gpus: gpus.target,
            };
            let grant = Quota {
                cpus: cpus.grant,
                gpus: gpus.grant,
            };
            self.targets.insert(cell.clone(), target);
            let account = self.account(cell);
            let entry = next.accounts.entry(cell.clone()).or_default();
            entry.merge(&account);
            entry.granted = entry.granted.saturating_add(grant);
            granted |= grant != Quota::ZERO;
        }
        (changed || granted).then_some(next)
    }

    /// Moves of CPUs and of GPUs for each cell, in their order.
    fn plan_transfers(&mut self, limit: &Quota, now: Millis) -> Vec<(Transfer, Transfer)> {
        let mut cpus = self.plan_units(limit.cpus, |quota| quota.cpus, now);
        let mut gpus = self.plan_units(limit.gpus, |quota| quota.gpus, now);
        let held = self
            .cells
            .iter()
            .map(|cell| self.account(cell).outstanding());
        let (held_cpus, held_gpus): (Vec<_>, Vec<_>) =
            held.map(|quota| (quota.cpus, quota.gpus)).unzip();
        self.cpu_reduction
            .pin_targets(limit.cpus, &held_cpus, &mut cpus);
        self.gpu_reduction
            .pin_targets(limit.gpus, &held_gpus, &mut gpus);
        cpus.into_iter().zip(gpus).collect()
    }

    fn plan_units(&self, limit: Units, of: impl Fn(Quota) -> Units, now: Millis) -> Vec<Transfer> {
        let share = |cell: &String| {
            let outstanding = of(self.account(cell).outstanding());
            match self.last_reports.get(cell) {
                // Not heard of since this leader began: it may use all that it holds.
                None => CellShare {
                    outstanding,
                    used: outstanding,
                    wanted: outstanding,
                    first_request: 0,
                    largest_task: 0,
                },
                Some(LastReport {
                    report: position, ..
                }) => CellShare {
                    outstanding,
                    used: of(position.used).min(outstanding),
                    wanted: of(position.wanted).max(of(position.used)).min(limit),
                    first_request: of(position.first_request),
                    largest_task: of(position.largest_task),
                },
            }
        };
        let shares: Vec<CellShare> = self.cells.iter().map(share).collect();
        let mut moves = plan::plan_transfers(limit, &shares);
        for (each, cell) in moves.iter_mut().zip(&self.cells) {
            if !self.is_reachable(cell, now) {
                each.target -= each.grant;
                each.grant = 0;
            }
        }
        moves
    }

    fn is_reachable(&self, cell: &str, now: Millis) -> bool {
        let heard = self.last_reports.get(cell);
        heard.is_some_and(|heard| heard.received_at + REACHABLE_TIMEOUT_MS >= now)
    }

    /// The record is stored under this version of its key.
    pub fn on_stored(&mut self, record: CoordinatorRecord, key_version: u64, now: Millis) {
        if key_version <= self.key_version {
            return;
        }
        if record.version != self.stored.version {
            self.version_since = now;
        }
        self.stored = record;
        self.key_version = key_version;
    }

    /// What the cell is told. Nothing before the team is stored.
    pub fn grant(&self, cell: &str) -> Option<Grant> {
        if self.stored.version == 0 {
            return None;
        }
        let granted = self
            .stored
            .accounts
            .get(cell)
            .copied()
            .unwrap_or_default()
            .granted;
        let held = self.account(cell).outstanding();
        Some(Grant {
            version: self.stored.version,
            guarantee: self.guarantee(cell),
            granted,
            target: self.targets.get(cell).copied().unwrap_or(held),
            limit_lowered: !self.outstanding().fits_within(self.stored.quota.limit),
        })
    }

    /// A cell's part of the guarantee: where the demand is, and the rest in equal parts.
    fn guarantee(&self, cell: &str) -> Quota {
        Quota {
            cpus: self.guaranteed_units(cell, |quota| quota.cpus),
            gpus: self.guaranteed_units(cell, |quota| quota.gpus),
        }
    }

    fn guaranteed_units(&self, cell: &str, of: impl Fn(Quota) -> Units) -> Units {
        let Some(at) = self.cells.iter().position(|known| known == cell) else {
            return 0;
        };
        let total = of(self.stored.quota.guarantee);
        let wanted = self
            .cells
            .iter()
            .map(|cell| match self.last_reports.get(cell) {
                Some(heard) => of(heard.report.wanted),
                None => of(self.account(cell).outstanding()),
            });
        let parts = plan::divide_with_caps(total, &wanted.collect::<Vec<_>>());
        let left = total - parts.iter().sum::<Units>();
        parts[at] + left / self.cells.len() as Units
    }

    /// Cells in which the stored version is not in force.
    pub fn outdated_cells(&self) -> Vec<&str> {
        let behind = self.cells.iter().filter(|cell| {
            let heard = self.last_reports.get(*cell);
            heard.is_none_or(|heard| heard.report.version < self.stored.version)
        });
        behind.map(String::as_str).collect()
    }

    /// How old the stored version is, as far as this leader knows.
    pub fn version_age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.version_since)
    }

    /// For how long a change has waited to be in force everywhere; `None`: it is.
    pub fn pending_for(&self, now: Millis) -> Option<Millis> {
        let over = !self.outstanding().fits_within(self.stored.quota.limit);
        (over || !self.outdated_cells().is_empty()).then(|| now.saturating_sub(self.version_since))
    }
}

#[cfg(test)]
mod tests;
