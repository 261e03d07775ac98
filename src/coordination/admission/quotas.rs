//! The agreed table: how many submissions a second each node may let in, for each class of each team.
//!
//! The leader splits the whole by what the nodes say comes to them, weighted max-min fair over classes, and
//! stores it under its term. A node that reads a table gives up at once what that takes from it, and takes what
//! it adds only once the table is [`QUOTAS_SETTLE_MS`] old. Tables are stored at least that far apart, and a node that has
//! not heard from the state service for as long has gone back to its floor, which no table takes from it. So at
//! any moment every node follows at most what one and the same table gives it, the sum never exceeds that
//! table's whole, and nobody has to ask who has read what.

#![expect(missing_docs, reason = "its items are still to be documented")]

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// How old a table has to be before what it adds is taken, in milliseconds. Tables are stored further apart.
pub const QUOTAS_SETTLE_MS: Millis = 5000;
/// A node without news for this long goes on with half of its part, and after [`QUOTAS_LAPSE_MS`] with its floor.
pub const QUOTAS_STALE_MS: Millis = 3000;
/// Shorter than [`QUOTAS_SETTLE_MS`] by what steady clocks may drift apart and an answer may take.
pub const QUOTAS_LAPSE_MS: Millis = 4800;
/// The least part of what a node takes by the state service's limits that it is given while its processor can't
/// follow, and the part of that which is its floor.
const MIN_CAPACITY_FRACTION: f64 = 0.25;
const FLOOR_FRACTION: f64 = 0.5;
/// Steps in which the whole is handed out.
const ALLOCATION_STEPS: usize = 128;

/// A class of a team, by their names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkloadClassName {
    pub team: String,
    pub class: String,
}

/// What the leader stores. Rates are submissions a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionQuotas {
    /// Rises with each table.
    pub seq: u64,
    /// The term under which it was stored.
    pub term: u64,
    /// What all nodes together may let in.
    #[serde(rename = "whole")]
    pub total_per_s: f64,
    pub nodes: Vec<String>,
    /// For each class that is named: the part of each node.
    #[serde(rename = "classes")]
    pub class_shares: Vec<(WorkloadClassName, Vec<f64>)>,
    /// What each node has besides, for whoever comes.
    #[serde(rename = "rest")]
    pub unassigned: Vec<f64>,
    /// What each node had in all by the table before, or where there was none. That has settled, as tables are
    /// stored further apart: a process that has just begun may take the lesser of both at once. Versions before
    /// don't tell.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "before")]
    pub previous_totals: Vec<f64>,
    /// It was stored [`QUOTAS_SETTLE_MS`] ago or more, by who leads: whoever has heard anything since has read it. A process
    /// that has just begun may take its part at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "settled")]
    pub is_settled: bool,
}

impl AdmissionQuotas {
    /// Whether any part differs by more than `worth` of its node's whole.
    pub fn differs_by(&self, other: &AdmissionQuotas, worth: f64) -> bool {
        if self.nodes != other.nodes {
            return true;
        }
        self.nodes.iter().any(|node| {
            let (Some((ours, rest)), Some((theirs, other_rest))) =
                (self.shares_of(node), other.shares_of(node))
            else {
                return true;
            };
            let whole = ours.values().sum::<f64>() + rest;
            let far = |a: f64, b: f64| (a - b).abs() > worth * whole;
            let named = ours.keys().chain(theirs.keys());
            far(rest, other_rest)
                || named.into_iter().any(|class| {
                    let part = |parts: &BTreeMap<&WorkloadClassName, f64>| {
                        parts.get(class).copied().unwrap_or(0.0)
                    };
                    far(part(&ours), part(&theirs))
                })
        })
    }

    /// What a node had in all by the table before, where that is known.
    fn previous_total_of(&self, node: &str) -> Option<f64> {
        let at = self.nodes.iter().position(|label| label == node)?;
        self.previous_totals.get(at).copied()
    }

    /// What a node has in all.
    fn total_of(&self, node: &str) -> Option<f64> {
        let (classes, rest) = self.shares_of(node)?;
        Some(classes.values().sum::<f64>() + rest)
    }

    /// The table as it follows on another, or where there was none on nodes that each took `equal`; one that was
    /// not named there had its `floor`.
    pub fn following(
        mut self,
        known: Option<&AdmissionQuotas>,
        equal: f64,
        floor: f64,
    ) -> AdmissionQuotas {
        let had = |node: &String| match known {
            Some(known) => known.total_of(node).unwrap_or(floor),
            None => equal,
        };
        self.previous_totals = self.nodes.iter().map(had).map(round_down).collect();
        self
    }

    /// A node's parts, by class, and what it has besides.
    pub fn shares_of(&self, node: &str) -> Option<(BTreeMap<&WorkloadClassName, f64>, f64)> {
        let at = self.nodes.iter().position(|label| label == node)?;
        let part = |parts: &[f64]| parts.get(at).copied().unwrap_or(0.0).max(0.0);
        let classes = self
            .class_shares
            .iter()
            .map(|(class, parts)| (class, part(parts)))
            .collect();
        Some((classes, part(&self.unassigned)))
    }
}

/// What a node can take, in submissions a second, and what comes to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeDemand {
    /// By its part of the state service's limits.
    pub capacity_per_s: f64,
    /// By class: those that come for the first time, and those that wait for a turn, spread over some seconds.
    pub class_demands: BTreeMap<WorkloadClassName, f64>,
    /// The part of its time in which its processor could not follow, from 0 to 1.
    pub lateness: f64,
}

impl NodeDemand {
    /// What it can take with the processor that it has: never nothing.
    fn effective_capacity(&self) -> f64 {
        self.capacity_per_s * (1.0 - self.lateness).clamp(MIN_CAPACITY_FRACTION, 1.0)
    }
}

/// What a node keeps whatever it has missed, of what the node takes that takes least.
pub fn floor_rate(takes_least: f64) -> f64 {
    takes_least * MIN_CAPACITY_FRACTION * FLOOR_FRACTION
}

/// Splits what the nodes take over classes, equally by what each still wants, and each class's part over the nodes
/// where it comes, first where least else does. Each node keeps its `floor`; what nobody asked for is for whoever comes.
#[expect(clippy::too_many_lines, reason = "still to be split")]
pub fn allocate_quotas(
    demands: &BTreeMap<String, NodeDemand>,
    floor: f64,
    (seq, term): (u64, u64),
    most_classes: usize,
) -> AdmissionQuotas {
    let ready: Vec<f64> = demands
        .values()
        .map(|demand| demand.effective_capacity().max(floor))
        .collect();
    let mut free: Vec<f64> = ready.iter().map(|ready| ready - floor).collect();
    let mut wants: BTreeMap<&WorkloadClassName, Vec<f64>> = BTreeMap::new();
    for (node, demand) in demands.values().enumerate() {
        for (class, rate) in &demand.class_demands {
            let wants = wants.entry(class).or_insert_with(|| vec![0.0; free.len()]);
            wants[node] += rate.max(0.0);
        }
    }
    // A value holds so many: those that least is asked for share the rest.
    let mut named: Vec<(&WorkloadClassName, Vec<f64>)> = wants.into_iter().collect();
    named.sort_by(|a, b| {
        total_rate(&b.1)
            .total_cmp(&total_rate(&a.1))
            .then(a.0.cmp(b.0))
    });
    named.truncate(most_classes);
    let mut parts = vec![vec![0.0; free.len()]; named.len()];
    let step = total_rate(&free) / ALLOCATION_STEPS as f64;
    let mut open: Vec<usize> = (0..named.len()).collect();
    // The class that has least and still wants something gets the next step.
    while let Some(&class) = open.iter().min_by(|a, b| {
        total_rate(&parts[**a])
            .total_cmp(&total_rate(&parts[**b]))
            .then(a.cmp(b))
    }) {
        // There where least is asked for next to what is left: others may come to one node only.
        let crowd = |node: usize| {
            let unmet = named
                .iter()
                .zip(&parts)
                .map(|((_, wants), got)| wants[node] - got[node]);
            unmet.sum::<f64>() / free[node].max(1e-9)
        };
        let open_at = |node: &usize| {
            free[*node] > step * 1e-3 && named[class].1[*node] - parts[class][*node] > step * 1e-3
        };
        let node = (0..free.len())
            .filter(open_at)
            .min_by(|a, b| crowd(*a).total_cmp(&crowd(*b)));
        let Some(node) = node else {
            open.retain(|other| *other != class);
            continue;
        };
        let part = step
            .min(free[node])
            .min(named[class].1[node] - parts[class][node]);
        parts[class][node] += part;
        free[node] -= part;
    }
    AdmissionQuotas {
        seq,
        term,
        is_settled: false,
        total_per_s: total_rate(&ready),
        nodes: demands.keys().cloned().collect(),
        class_shares: named
            .into_iter()
            .zip(parts)
            .map(|((class, _), parts)| (class.clone(), parts.into_iter().map(round_down).collect()))
            .collect(),
        unassigned: free
            .into_iter()
            .map(|free| round_down(floor + free))
            .collect(),
        previous_totals: Vec::new(),
    }
}

fn total_rate(rates: &[f64]) -> f64 {
    rates.iter().sum()
}

/// Down to thousandths: shorter in the store, and no sum grows by it.
fn round_down(rate: f64) -> f64 {
    (rate * 1000.0).floor().max(0.0) / 1000.0
}

/// What a node follows: the tables that it has read, and since when it has heard nothing.
#[derive(Clone, Debug, Default)]
pub struct QuotaFollower {
    /// The newest table.
    quotas: Option<AdmissionQuotas>,
    /// What it followed before, where the newest does not count in full yet.
    previous: Option<PreviousShare>,
}

#[derive(Clone, Copy, Debug)]
struct PreviousShare {
    /// In submissions a second.
    total_per_s: f64,
    /// When the newest table has been known for long enough.
    until: Millis,
}

/// A node's parts at a moment, in submissions a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShares {
    pub classes: BTreeMap<WorkloadClassName, f64>,
    /// For whoever comes.
    pub unassigned: f64,
    /// The node is at its floor, as it has no news.
    pub is_lapsed: bool,
}

impl QuotaShares {
    pub fn total(&self) -> f64 {
        self.classes.values().sum::<f64>() + self.unassigned
    }
}

impl QuotaFollower {
    pub fn seq(&self) -> u64 {
        self.quotas.as_ref().map_or(0, |table| table.seq)
    }

    /// A newer table has been read by `node`. `parts`: what it follows at this moment, which counts where the
    /// table does not say what it had before: that of a process that has just begun is only its floor.
    ///
    /// How old the table is counts from now, not from when it was written: its write may have been applied late.
    /// One that says that it has settled counts at once.
    pub fn adopt(&mut self, node: &str, table: AdmissionQuotas, parts: QuotaShares, now: Millis) {
        if table.seq < self.seq() || (table.seq == self.seq() && !table.is_settled) {
            return;
        }
        self.previous = (!table.is_settled).then(|| PreviousShare {
            total_per_s: table.previous_total_of(node).unwrap_or(parts.total()),
            until: now + QUOTAS_SETTLE_MS,
        });
        self.quotas = Some(table);
    }

    /// What `node` may let in now. `synced`: when the last sync that succeeded was sent; `equal`: the node's part
    /// where no table was ever read.
    pub fn shares_at(
        &self,
        node: &str,
        (equal, floor): (f64, f64),
        synced: Option<Millis>,
        now: Millis,
    ) -> QuotaShares {
        let only = |rest| QuotaShares {
            unassigned: rest,
            ..QuotaShares::default()
        };
        let age = synced.map(|at| now.saturating_sub(at));
        let Some(age) = age.filter(|age| *age < QUOTAS_LAPSE_MS) else {
            return QuotaShares {
                is_lapsed: true,
                ..only(floor)
            };
        };
        let mut parts = match &self.quotas {
            None => only(equal),
            Some(table) => match table.shares_of(node) {
                Some((classes, rest)) => QuotaShares {
                    classes: classes
                        .into_iter()
                        .map(|(class, part)| (class.clone(), part))
                        .collect(),
                    unassigned: rest,
                    is_lapsed: false,
                },
                None => return only(floor),
            },
        };
        // What the table adds may still be another node's.
        let before = self.previous.as_ref().filter(|before| now < before.until);
        if let Some(before) = before
            && parts.total() > before.total_per_s
        {
            parts.scale_by(before.total_per_s / parts.total());
        }
        if age >= QUOTAS_STALE_MS {
            parts.scale_by(0.5);
        }
        if parts.total() < floor {
            return only(floor);
        }
        parts
    }
}

impl QuotaShares {
    fn scale_by(&mut self, by: f64) {
        self.classes.values_mut().for_each(|part| *part *= by);
        self.unassigned *= by;
    }
}

#[cfg(test)]
mod tests;
