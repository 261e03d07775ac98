//! The home's side of a team: its quota, what each cell was granted, and what is in force where.

use std::collections::BTreeMap;

use crate::{
    quota::{
        Account, Grant, HomeRecord, Position, Quota, QuotaError, TeamQuota, Units,
        plan::{self, Move, Share},
    },
    time::Millis,
};

/// A cell that was not heard of for this long gets no more. Nothing but who gets new units depends on it.
const REACHABLE: Millis = 5000;

/// What a home last heard of a cell.
#[derive(Clone, Copy, Debug)]
struct Heard {
    position: Position,
    at: Millis,
}

/// Cells that come down to a lowered limit: what each was told stays until all have, so that none is told to come down
/// to less and to more in turn.
#[derive(Clone, Debug, Default)]
struct Lowering {
    limit: Units,
    targets: Vec<Units>,
}

impl Lowering {
    /// Keeps the targets of moves that lower; takes them up from then on until the limit is kept or another one.
    fn hold(&mut self, limit: Units, outstanding: &[Units], moves: &mut [Move]) {
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
pub struct Home {
    cells: Vec<String>,
    stored: HomeRecord,
    /// The version of the key that holds it; 0: not stored.
    pub key_version: u64,
    heard: BTreeMap<String, Heard>,
    /// Since when the stored version has been the latest.
    since: Millis,
    targets: BTreeMap<String, Quota>,
    lowering_cpus: Lowering,
    lowering_gpus: Lowering,
}

impl Home {
    /// A team as its home has it stored; by default, one that was never stored.
    pub fn new(cells: &[String], stored: HomeRecord, key_version: u64, now: Millis) -> Self {
        Home {
            cells: cells.to_vec(),
            stored,
            key_version,
            heard: BTreeMap::new(),
            since: now,
            targets: BTreeMap::new(),
            lowering_cpus: Lowering::default(),
            lowering_gpus: Lowering::default(),
        }
    }

    /// What is stored.
    pub fn stored(&self) -> &HomeRecord {
        &self.stored
    }

    /// A cell tells how it stands.
    pub fn hear(&mut self, cell: &str, position: Position, now: Millis) -> Result<(), QuotaError> {
        if !self.cells.iter().any(|known| known == cell) {
            return Err(QuotaError::UnknownCell(cell.to_owned()));
        }
        let granted = self.account(cell).granted;
        if !position.account.returned.within(granted) {
            return Err(QuotaError::Impossible(cell.to_owned()));
        }
        let mut position = position;
        if let Some(heard) = self.heard.get(cell) {
            // A message that was overtaken: the totals show it.
            position.account.merge(&heard.position.account);
            position.version = position.version.max(heard.position.version);
        }
        let heard = Heard { position, at: now };
        self.heard.insert(cell.to_owned(), heard);
        Ok(())
    }

    /// What a cell was granted, and is known to have returned.
    pub fn account(&self, cell: &str) -> Account {
        let mut account = self.stored.accounts.get(cell).copied().unwrap_or_default();
        if let Some(heard) = self.heard.get(cell) {
            account.returned = account.returned.most(heard.position.account.returned);
        }
        account
    }

    /// What all cells may hold, by what is known here.
    pub fn outstanding(&self) -> Quota {
        let accounts = self.cells.iter().map(|cell| self.account(cell));
        let outstanding = accounts.map(|account| account.outstanding());
        outstanding.fold(Quota::ZERO, Quota::plus)
    }

    /// What is to be stored next, if anything: a new version of the quota, or more for some cells.
    pub fn next(&mut self, configured: TeamQuota, now: Millis) -> Option<HomeRecord> {
        let mut next = self.stored.clone();
        let changed = next.version == 0 || next.quota != configured;
        if changed {
            next.version += 1;
            next.quota = configured;
        }
        let moves = self.moves(&next.quota.limit, now);
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
            entry.granted = entry.granted.plus(grant);
            granted |= grant != Quota::ZERO;
        }
        (changed || granted).then_some(next)
    }

    /// Moves of CPUs and of GPUs for each cell, in their order.
    fn moves(&mut self, limit: &Quota, now: Millis) -> Vec<(Move, Move)> {
        let mut cpus = self.plan(limit.cpus, |quota| quota.cpus, now);
        let mut gpus = self.plan(limit.gpus, |quota| quota.gpus, now);
        let held = self
            .cells
            .iter()
            .map(|cell| self.account(cell).outstanding());
        let (held_cpus, held_gpus): (Vec<_>, Vec<_>) =
            held.map(|quota| (quota.cpus, quota.gpus)).unzip();
        self.lowering_cpus.hold(limit.cpus, &held_cpus, &mut cpus);
        self.lowering_gpus.hold(limit.gpus, &held_gpus, &mut gpus);
        cpus.into_iter().zip(gpus).collect()
    }

    fn plan(&self, limit: Units, of: impl Fn(Quota) -> Units, now: Millis) -> Vec<Move> {
        let share = |cell: &String| {
            let outstanding = of(self.account(cell).outstanding());
            match self.heard.get(cell) {
                // Not heard of since this leader began: it may use all that it holds.
                None => Share {
                    outstanding,
                    used: outstanding,
                    wanted: outstanding,
                    least: 0,
                    grain: 0,
                },
                Some(Heard { position, .. }) => Share {
                    outstanding,
                    used: of(position.used).min(outstanding),
                    wanted: of(position.wanted).max(of(position.used)).min(limit),
                    least: of(position.least),
                    grain: of(position.grain),
                },
            }
        };
        let shares: Vec<Share> = self.cells.iter().map(share).collect();
        let mut moves = plan::plan(limit, &shares);
        for (each, cell) in moves.iter_mut().zip(&self.cells) {
            if !self.reachable(cell, now) {
                each.target -= each.grant;
                each.grant = 0;
            }
        }
        moves
    }

    fn reachable(&self, cell: &str, now: Millis) -> bool {
        let heard = self.heard.get(cell);
        heard.is_some_and(|heard| heard.at + REACHABLE >= now)
    }

    /// The record is stored under this version of its key.
    pub fn stored_as(&mut self, record: HomeRecord, key_version: u64, now: Millis) {
        if key_version <= self.key_version {
            return;
        }
        if record.version != self.stored.version {
            self.since = now;
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
            lowered: !self.outstanding().within(self.stored.quota.limit),
        })
    }

    /// A cell's part of the guarantee: where the demand is, and the rest in equal parts.
    fn guarantee(&self, cell: &str) -> Quota {
        Quota {
            cpus: self.guaranteed(cell, |quota| quota.cpus),
            gpus: self.guaranteed(cell, |quota| quota.gpus),
        }
    }

    fn guaranteed(&self, cell: &str, of: impl Fn(Quota) -> Units) -> Units {
        let Some(at) = self.cells.iter().position(|known| known == cell) else {
            return 0;
        };
        let total = of(self.stored.quota.guarantee);
        let wanted = self.cells.iter().map(|cell| match self.heard.get(cell) {
            Some(heard) => of(heard.position.wanted),
            None => of(self.account(cell).outstanding()),
        });
        let parts = plan::divide(total, &wanted.collect::<Vec<_>>());
        let left = total - parts.iter().sum::<Units>();
        parts[at] + left / self.cells.len() as Units
    }

    /// Cells in which the stored version is not in force.
    pub fn behind(&self) -> Vec<&str> {
        let behind = self.cells.iter().filter(|cell| {
            let heard = self.heard.get(*cell);
            heard.is_none_or(|heard| heard.position.version < self.stored.version)
        });
        behind.map(String::as_str).collect()
    }

    /// How old the stored version is, as far as this leader knows.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.since)
    }

    /// For how long a change has waited to be in force everywhere; `None`: it is.
    pub fn waiting(&self, now: Millis) -> Option<Millis> {
        let over = !self.outstanding().within(self.stored.quota.limit);
        (over || !self.behind().is_empty()).then(|| now.saturating_sub(self.since))
    }
}

#[cfg(test)]
mod tests;
