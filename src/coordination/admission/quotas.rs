//! Admission quotas: how many submissions a second each node may admit, for each class of each team.
//!
//! The leader divides the capacity of all nodes by the demand that they report, max-min fair over classes, and
//! stores the result under its term. A node that reads new quotas applies a decrease of its share immediately, and an
//! increase only [`QUOTAS_SETTLE_MS`] later. Quotas are stored at least that far apart. A node that has had no
//! response from the state service for almost as long ([`QUOTAS_LAPSE_MS`]) has fallen back to its floor, the rate
//! that all quotas leave to it. So at any moment no node exceeds its share of one and the same quotas, the sum over
//! all nodes never exceeds the total of those quotas, and no node has to acknowledge that it has read them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// How long after reading new quotas a node applies an increase of its share, in milliseconds. Quotas are stored
/// further apart than this.
pub const QUOTAS_SETTLE_MS: Millis = 5000;
/// A node that has had no response from the state service for this long, in milliseconds, uses half of its share,
/// and after [`QUOTAS_LAPSE_MS`] its floor.
pub const QUOTAS_STALE_MS: Millis = 3000;
/// After this time without a response from the state service, in milliseconds, a node uses its floor. Shorter than
/// [`QUOTAS_SETTLE_MS`] by the drift between monotonic clocks and the time that a response takes.
pub const QUOTAS_LAPSE_MS: Millis = 4800;
/// The least fraction of its capacity by the state service's limits that a node is allocated, however late its
/// processor is.
const MIN_CAPACITY_FRACTION: f64 = 0.25;
/// The floor, as a fraction of that least allocation.
const FLOOR_FRACTION: f64 = 0.5;
/// Number of equal steps in which the capacity is allocated.
const ALLOCATION_STEPS: usize = 128;

/// A workload class of a team, by their names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkloadClassName {
    /// The name of the team.
    pub team: String,
    /// The name of the class within the team.
    pub class: String,
}

/// The admission quotas as the leader stores them. Rates are submissions a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionQuotas {
    /// The sequence number, which increases each time that new quotas are stored.
    pub seq: u64,
    /// The term of the leader that computed the quotas.
    pub term: u64,
    /// The rate that all nodes together may admit.
    #[serde(rename = "whole")]
    pub total_per_s: f64,
    /// The labels of the nodes. The rates below are in this order.
    pub nodes: Vec<String>,
    /// For each named class, the rate of each node.
    #[serde(rename = "classes")]
    pub class_shares: Vec<(WorkloadClassName, Vec<f64>)>,
    /// The rate of each node that is assigned to no class: submissions of any class may use it.
    #[serde(rename = "rest")]
    pub unassigned: Vec<f64>,
    /// The total rate of each node in the previous quotas, or its default rate if there were none. The previous
    /// quotas have settled, as quotas are stored further apart than that takes: a process that has just started
    /// may use the lesser of its previous and its new total immediately. Empty if an earlier version stored the quotas.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "before")]
    pub previous_totals: Vec<f64>,
    /// The leader states that these quotas were stored at least [`QUOTAS_SETTLE_MS`] ago: every node that has had
    /// a response from the state service since then has read them. A process that has just started may use its
    /// share immediately.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "settled")]
    pub is_settled: bool,
}

impl AdmissionQuotas {
    /// Whether the rate of any class on any node, or a node's unassigned rate, differs by more than the fraction
    /// `min_change` of the node's total rate.
    pub fn differs_by(&self, other: &AdmissionQuotas, min_change: f64) -> bool {
        if self.nodes != other.nodes {
            return true;
        }
        self.nodes.iter().any(|node| {
            let (Some((own_rates, own_unassigned)), Some((other_rates, other_unassigned))) =
                (self.shares_of(node), other.shares_of(node))
            else {
                return true;
            };
            let total = own_rates.values().sum::<f64>() + own_unassigned;
            let differs = |a: f64, b: f64| (a - b).abs() > min_change * total;
            let classes = own_rates.keys().chain(other_rates.keys());
            differs(own_unassigned, other_unassigned)
                || classes.into_iter().any(|class| {
                    let rate_of = |rates: &BTreeMap<&WorkloadClassName, f64>| {
                        rates.get(class).copied().unwrap_or(0.0)
                    };
                    differs(rate_of(&own_rates), rate_of(&other_rates))
                })
        })
    }

    /// A node's total rate in the previous quotas; `None` if these quotas don't hold it.
    fn previous_total_of(&self, node: &str) -> Option<f64> {
        let index = self.nodes.iter().position(|label| label == node)?;
        self.previous_totals.get(index).copied()
    }

    /// A node's total rate; `None` if the quotas don't list the node.
    fn total_of(&self, node: &str) -> Option<f64> {
        let (classes, unassigned) = self.shares_of(node)?;
        Some(classes.values().sum::<f64>() + unassigned)
    }

    /// These quotas with [`AdmissionQuotas::previous_totals`] taken from the quotas `previous` that they replace. If
    /// there were none, each node used the rate `default_rate`; a node that they did not list used its `floor`.
    pub fn with_previous_totals(
        mut self,
        previous: Option<&AdmissionQuotas>,
        default_rate: f64,
        floor: f64,
    ) -> AdmissionQuotas {
        let previous_total = |node: &String| match previous {
            Some(previous) => previous.total_of(node).unwrap_or(floor),
            None => default_rate,
        };
        self.previous_totals = self
            .nodes
            .iter()
            .map(previous_total)
            .map(round_down)
            .collect();
        self
    }

    /// A node's rate for each class, and its unassigned rate; `None` if the quotas don't list the node.
    pub fn shares_of(&self, node: &str) -> Option<(BTreeMap<&WorkloadClassName, f64>, f64)> {
        let index = self.nodes.iter().position(|label| label == node)?;
        let rate_at = |rates: &[f64]| rates.get(index).copied().unwrap_or(0.0).max(0.0);
        let classes = self
            .class_shares
            .iter()
            .map(|(class, rates)| (class, rate_at(rates)))
            .collect();
        Some((classes, rate_at(&self.unassigned)))
    }
}

/// The capacity of a node and the demand that it receives, in submissions a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeDemand {
    /// The rate that its share of the state service's limits allows.
    pub capacity_per_s: f64,
    /// By class: the rate of new submissions, and the submissions that hold a reservation, spread over some seconds.
    pub class_demands: BTreeMap<WorkloadClassName, f64>,
    /// The fraction of the time in which its processor could not keep up, from 0 to 1.
    pub lateness: f64,
}

impl NodeDemand {
    /// The capacity, reduced by the lateness of the processor, but never to zero.
    fn effective_capacity(&self) -> f64 {
        self.capacity_per_s * (1.0 - self.lateness).clamp(MIN_CAPACITY_FRACTION, 1.0)
    }
}

/// The floor: the rate that each node keeps even if it has no response from the state service, computed from the
/// capacity of the node with the least capacity. All rates are submissions a second.
pub fn floor_rate(lowest_capacity_per_s: f64) -> f64 {
    lowest_capacity_per_s * MIN_CAPACITY_FRACTION * FLOOR_FRACTION
}

/// Divides the capacity of the nodes among the classes, max-min fair by their demand, and the rate of each class
/// among the nodes that receive its submissions, first the nodes with the least other demand. Each node's `floor` and
/// the capacity that no class demands stay unassigned, for submissions of any class.
///
/// `max_classes` limits the number of named classes: those with the least demand are left out.
#[expect(clippy::too_many_lines, reason = "still to be split")]
pub fn allocate_quotas(
    demands: &BTreeMap<String, NodeDemand>,
    floor: f64,
    (seq, term): (u64, u64),
    max_classes: usize,
) -> AdmissionQuotas {
    let capacities: Vec<f64> = demands
        .values()
        .map(|demand| demand.effective_capacity().max(floor))
        .collect();
    let mut unallocated: Vec<f64> = capacities.iter().map(|capacity| capacity - floor).collect();
    let mut demand_by_class: BTreeMap<&WorkloadClassName, Vec<f64>> = BTreeMap::new();
    for (node, demand) in demands.values().enumerate() {
        for (class, rate) in &demand.class_demands {
            let node_rates = demand_by_class
                .entry(class)
                .or_insert_with(|| vec![0.0; unallocated.len()]);
            node_rates[node] += rate.max(0.0);
        }
    }
    // The size of a stored value limits the number of classes: those with the least demand use the unassigned rate.
    let mut classes: Vec<(&WorkloadClassName, Vec<f64>)> = demand_by_class.into_iter().collect();
    classes.sort_by(|a, b| {
        total_rate(&b.1)
            .total_cmp(&total_rate(&a.1))
            .then(a.0.cmp(b.0))
    });
    classes.truncate(max_classes);
    let mut class_rates = vec![vec![0.0; unallocated.len()]; classes.len()];
    let step_rate = total_rate(&unallocated) / ALLOCATION_STEPS as f64;
    let mut open_classes: Vec<usize> = (0..classes.len()).collect();
    // The class with the lowest rate so far that has unmet demand gets the next step.
    while let Some(&class) = open_classes.iter().min_by(|a, b| {
        total_rate(&class_rates[**a])
            .total_cmp(&total_rate(&class_rates[**b]))
            .then(a.cmp(b))
    }) {
        // It gets the step on the node with the least unmet demand per free capacity: the submissions of another
        // class may all arrive at one node and need the capacity of that node.
        let contention = |node: usize| {
            let unmet = classes
                .iter()
                .zip(&class_rates)
                .map(|((_, demand), rates)| demand[node] - rates[node]);
            unmet.sum::<f64>() / unallocated[node].max(1e-9)
        };
        let can_allocate_at = |node: &usize| {
            unallocated[*node] > step_rate * 1e-3
                && classes[class].1[*node] - class_rates[class][*node] > step_rate * 1e-3
        };
        let node = (0..unallocated.len())
            .filter(can_allocate_at)
            .min_by(|a, b| contention(*a).total_cmp(&contention(*b)));
        let Some(node) = node else {
            open_classes.retain(|other| *other != class);
            continue;
        };
        let rate = step_rate
            .min(unallocated[node])
            .min(classes[class].1[node] - class_rates[class][node]);
        class_rates[class][node] += rate;
        unallocated[node] -= rate;
    }
    AdmissionQuotas {
        seq,
        term,
        is_settled: false,
        total_per_s: total_rate(&capacities),
        nodes: demands.keys().cloned().collect(),
        class_shares: classes
            .into_iter()
            .zip(class_rates)
            .map(|((class, _), rates)| (class.clone(), rates.into_iter().map(round_down).collect()))
            .collect(),
        unassigned: unallocated
            .into_iter()
            .map(|rate| round_down(floor + rate))
            .collect(),
        previous_totals: Vec::new(),
    }
}

fn total_rate(rates: &[f64]) -> f64 {
    rates.iter().sum()
}

/// Rounds down to thousandths: the stored value is shorter, and no sum grows by the rounding.
fn round_down(rate: f64) -> f64 {
    (rate * 1000.0).floor().max(0.0) / 1000.0
}

/// The admission quotas that a node applies: the newest that it has read, and the limit until they have settled.
#[derive(Clone, Debug, Default)]
pub struct QuotaFollower {
    /// The newest quotas that were read.
    quotas: Option<AdmissionQuotas>,
    /// The limit from the quotas before, while the newest have not settled.
    previous: Option<PreviousShare>,
}

/// The upper limit of a node's total rate until new quotas have settled.
#[derive(Clone, Copy, Debug)]
struct PreviousShare {
    /// In submissions a second.
    total_per_s: f64,
    /// When the newest quotas have settled and the limit ends.
    until: Millis,
}

/// The rates that a node may admit at a moment, in submissions a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShares {
    /// The rate of each named class.
    pub classes: BTreeMap<WorkloadClassName, f64>,
    /// The rate for submissions of any class.
    pub unassigned: f64,
    /// The node has had no response from the state service for [`QUOTAS_LAPSE_MS`], and uses its floor.
    pub is_lapsed: bool,
}

impl QuotaShares {
    /// The total rate over all classes, with the unassigned rate.
    pub fn total(&self) -> f64 {
        self.classes.values().sum::<f64>() + self.unassigned
    }
}

impl QuotaFollower {
    /// The sequence number of the newest quotas that were read; 0 if none were.
    pub fn seq(&self) -> u64 {
        self.quotas.as_ref().map_or(0, |quotas| quotas.seq)
    }

    /// Takes over newer quotas that `node` has read. Until they have settled, the node's total rate does not exceed
    /// its total in the quotas before. If the new quotas don't hold that, the limit is the total of `current_shares`,
    /// the rates that the node applies now; for a process that has just started that is only its floor.
    ///
    /// The settling time counts from `now`, not from when the quotas were written, as the write may have been
    /// applied late. Quotas that are marked as settled apply in full immediately. Older quotas are ignored.
    pub fn adopt(
        &mut self,
        node: &str,
        quotas: AdmissionQuotas,
        current_shares: QuotaShares,
        now: Millis,
    ) {
        if quotas.seq < self.seq() || (quotas.seq == self.seq() && !quotas.is_settled) {
            return;
        }
        self.previous = (!quotas.is_settled).then(|| PreviousShare {
            total_per_s: quotas
                .previous_total_of(node)
                .unwrap_or(current_shares.total()),
            until: now + QUOTAS_SETTLE_MS,
        });
        self.quotas = Some(quotas);
    }

    /// The rates that `node` may admit at `now`. `default_rate`: the node's rate if no quotas were ever read; `floor`:
    /// the rate that it keeps in any case; `confirmed_at`: the send time of the last read barrier that succeeded.
    pub fn shares_at(
        &self,
        node: &str,
        (default_rate, floor): (f64, f64),
        confirmed_at: Option<Millis>,
        now: Millis,
    ) -> QuotaShares {
        let unassigned_only = |unassigned_rate| QuotaShares {
            unassigned: unassigned_rate,
            ..QuotaShares::default()
        };
        let age = confirmed_at.map(|at| now.saturating_sub(at));
        let Some(age) = age.filter(|age| *age < QUOTAS_LAPSE_MS) else {
            return QuotaShares {
                is_lapsed: true,
                ..unassigned_only(floor)
            };
        };
        let mut shares = match &self.quotas {
            None => unassigned_only(default_rate),
            Some(quotas) => match quotas.shares_of(node) {
                Some((classes, unassigned_rate)) => QuotaShares {
                    classes: classes
                        .into_iter()
                        .map(|(class, rate)| (class.clone(), rate))
                        .collect(),
                    unassigned: unassigned_rate,
                    is_lapsed: false,
                },
                None => return unassigned_only(floor),
            },
        };
        // Another node may still use the rate that the newest quotas add to this node's share.
        let previous = self
            .previous
            .as_ref()
            .filter(|previous| now < previous.until);
        if let Some(previous) = previous
            && shares.total() > previous.total_per_s
        {
            shares.scale_by(previous.total_per_s / shares.total());
        }
        if age >= QUOTAS_STALE_MS {
            shares.scale_by(0.5);
        }
        if shares.total() < floor {
            return unassigned_only(floor);
        }
        shares
    }
}

impl QuotaShares {
    fn scale_by(&mut self, factor: f64) {
        self.classes.values_mut().for_each(|rate| *rate *= factor);
        self.unassigned *= factor;
    }
}

#[cfg(test)]
mod tests;
