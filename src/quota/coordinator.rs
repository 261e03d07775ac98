//! The coordinator's side of a team: its quota, the units granted to each cell, and the version that each cell enforces.

use std::collections::BTreeMap;

use crate::{
    quota::{
        Account, CoordinatorRecord, Grant, ParticipantReport, Quota, QuotaError, TeamQuota, Units,
        plan::{self, CellShare, Transfer},
    },
    time::Millis,
};

/// A cell that has sent no report for this long is granted nothing more. Only the choice of the cells that get new
/// units depends on this.
const REACHABLE_TIMEOUT_MS: Millis = 5000;

/// The last report of a cell.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    report: ParticipantReport,
    received_at: Millis,
}

/// The targets of all cells while they reduce their holdings to a lowered limit. They stay fixed until all cells have
/// done so; otherwise a cell's target could alternate between a lower and a higher value.
#[derive(Clone, Debug, Default)]
struct LimitReduction {
    limit: Units,
    targets: Vec<Units>,
}

impl LimitReduction {
    /// While more than `limit` is outstanding, replaces the targets in `transfers` by those planned first for this
    /// limit. They are dropped once no more than the limit is outstanding, and recomputed when the limit changes.
    fn pin_targets(&mut self, limit: Units, outstanding: &[Units], transfers: &mut [Transfer]) {
        if outstanding.iter().sum::<Units>() <= limit {
            self.targets.clear();
            return;
        }
        if self.limit != limit || self.targets.len() != transfers.len() {
            self.limit = limit;
            self.targets = transfers.iter().map(|transfer| transfer.target).collect();
        }
        let pinned = self.targets.iter().zip(outstanding);
        for (transfer, (target, outstanding)) in transfers.iter_mut().zip(pinned) {
            transfer.target = *target.min(outstanding);
        }
    }
}

/// The coordinator's state for a team.
#[derive(Clone, Debug)]
pub struct Coordinator {
    cells: Vec<String>,
    stored: CoordinatorRecord,
    /// The version of the key under which the record is stored; 0: not stored.
    pub key_version: u64,
    last_reports: BTreeMap<String, LastReport>,
    /// When the stored version became the latest, or when this leader loaded it.
    version_since: Millis,
    targets: BTreeMap<String, Quota>,
    cpu_reduction: LimitReduction,
    gpu_reduction: LimitReduction,
}

impl Coordinator {
    /// Resumes from a stored record; the default record and key version 0 stand for a team that was never stored.
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

    /// The stored record.
    pub fn stored(&self) -> &CoordinatorRecord {
        &self.stored
    }

    /// Applies a cell's report.
    ///
    /// # Errors
    /// The cell is not one of the cells, or it reports that it returned more than was granted to it.
    pub fn on_report(
        &mut self,
        cell: &str,
        report: ParticipantReport,
        now: Millis,
    ) -> Result<(), QuotaError> {
        if !self.cells.iter().any(|member| member == cell) {
            return Err(QuotaError::UnknownCell(cell.to_owned()));
        }
        let granted = self.account(cell).granted;
        if !report.account.returned.fits_within(granted) {
            return Err(QuotaError::ReturnedMoreThanGranted(cell.to_owned()));
        }
        let mut merged = report;
        if let Some(previous) = self.last_reports.get(cell) {
            // A report that arrives out of order has smaller totals.
            merged.account.merge(&previous.report.account);
            merged.version = merged.version.max(previous.report.version);
        }
        let last_report = LastReport {
            report: merged,
            received_at: now,
        };
        self.last_reports.insert(cell.to_owned(), last_report);
        Ok(())
    }

    /// The totals granted to a cell and returned by it, from the stored record and its last report.
    pub fn account(&self, cell: &str) -> Account {
        let mut account = self.stored.accounts.get(cell).copied().unwrap_or_default();
        if let Some(last) = self.last_reports.get(cell) {
            account.returned = account
                .returned
                .componentwise_max(last.report.account.returned);
        }
        account
    }

    /// The units that all cells may hold together: those granted and not yet reported as returned.
    pub fn outstanding(&self) -> Quota {
        let accounts = self.cells.iter().map(|cell| self.account(cell));
        let outstanding = accounts.map(|account| account.outstanding());
        outstanding.fold(Quota::ZERO, Quota::saturating_add)
    }

    /// The record to store next, if it has a new version of the quota or grants more to some cells. Also updates the
    /// cells' targets.
    pub fn next_record(&mut self, configured: TeamQuota, now: Millis) -> Option<CoordinatorRecord> {
        let mut next = self.stored.clone();
        let changed = next.version == 0 || next.quota != configured;
        if changed {
            next.version += 1;
            next.quota = configured;
        }
        let transfers = self.plan_transfers(&next.quota.limit, now);
        let mut has_grants = false;
        for (cell, (cpus, gpus)) in self.cells.iter().zip(transfers) {
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
            has_grants |= grant != Quota::ZERO;
        }
        (changed || has_grants).then_some(next)
    }

    /// The transfers of CPUs and of GPUs for each cell, in the order of the cells.
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

    fn plan_units(
        &self,
        limit: Units,
        component: impl Fn(Quota) -> Units,
        now: Millis,
    ) -> Vec<Transfer> {
        let share = |cell: &String| {
            let outstanding = component(self.account(cell).outstanding());
            match self.last_reports.get(cell) {
                // No report since this leader took over: the cell may use all that it holds.
                None => CellShare {
                    outstanding,
                    used: outstanding,
                    wanted: outstanding,
                    first_request: 0,
                    largest_task: 0,
                },
                Some(LastReport { report: last, .. }) => CellShare {
                    outstanding,
                    used: component(last.used).min(outstanding),
                    wanted: component(last.wanted).max(component(last.used)).min(limit),
                    first_request: component(last.first_request),
                    largest_task: component(last.largest_task),
                },
            }
        };
        let shares: Vec<CellShare> = self.cells.iter().map(share).collect();
        let mut transfers = plan::plan_transfers(limit, &shares);
        for (transfer, cell) in transfers.iter_mut().zip(&self.cells) {
            if !self.is_reachable(cell, now) {
                transfer.target -= transfer.grant;
                transfer.grant = 0;
            }
        }
        transfers
    }

    fn is_reachable(&self, cell: &str, now: Millis) -> bool {
        let last_report = self.last_reports.get(cell);
        last_report.is_some_and(|last| last.received_at + REACHABLE_TIMEOUT_MS >= now)
    }

    /// The record has been stored, or read, with this version of its key. A version that is not newer is ignored.
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

    /// The grant to send to a cell; `None` until the team's record is stored.
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

    /// A cell's part of the guarantee: divided by demand first, the rest in equal parts.
    fn guarantee(&self, cell: &str) -> Quota {
        Quota {
            cpus: self.guaranteed_units(cell, |quota| quota.cpus),
            gpus: self.guaranteed_units(cell, |quota| quota.gpus),
        }
    }

    fn guaranteed_units(&self, cell: &str, component: impl Fn(Quota) -> Units) -> Units {
        let Some(index) = self.cells.iter().position(|member| member == cell) else {
            return 0;
        };
        let total = component(self.stored.quota.guarantee);
        let wanted = self
            .cells
            .iter()
            .map(|cell| match self.last_reports.get(cell) {
                Some(last) => component(last.report.wanted),
                None => component(self.account(cell).outstanding()),
            });
        let parts = plan::divide_with_caps(total, &wanted.collect::<Vec<_>>());
        let remaining = total - parts.iter().sum::<Units>();
        parts[index] + remaining / self.cells.len() as Units
    }

    /// Cells that have not reported that they enforce the stored version.
    pub fn outdated_cells(&self) -> Vec<&str> {
        let outdated = self.cells.iter().filter(|cell| {
            let last_report = self.last_reports.get(*cell);
            last_report.is_none_or(|last| last.report.version < self.stored.version)
        });
        outdated.map(String::as_str).collect()
    }

    /// How old the stored version is, in milliseconds. An older one counts from when this leader loaded the record.
    pub fn version_age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.version_since)
    }

    /// For how long, in milliseconds, the latest change has not been in force in all cells; `None`: it is in force.
    pub fn change_pending_for(&self, now: Millis) -> Option<Millis> {
        let exceeds_limit = !self.outstanding().fits_within(self.stored.quota.limit);
        (exceeds_limit || !self.outdated_cells().is_empty())
            .then(|| now.saturating_sub(self.version_since))
    }
}

#[cfg(test)]
mod tests;
