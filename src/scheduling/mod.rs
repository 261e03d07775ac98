//! Task placement and preemption: which team places a task next, on which machine, and which
//! attempts are preempted.
//!
//! The design follows "Fair Scheduling for Deep Learning Workloads in Kubernetes" (Run:ai, 21 June
//! 2021): a heap of teams by reserved units, each team with its waiting tasks by priority, then
//! age; a trial fit before anything is preempted; and preemption for starved teams of no more than
//! the excess of over-share teams. `docs/design.md` lists the parts that were kept and changed.

mod candidates;
mod cycle;
mod deserved_shares;
pub mod fair_share;
mod gang;
mod limit_enforcement;
mod preemption;
mod replica;
mod scoring;
mod trial_fit;

pub use self::{
    candidates::CandidateCache,
    cycle::{run_scheduling_cycle, run_scheduling_cycle_with_cache},
    deserved_shares::compute_deserved_shares,
    limit_enforcement::select_preemptions_over_limit,
    preemption::{PreemptionReason, PreemptionScope, PreemptionVictim, select_preemptions},
};

/// The most placements in one cycle, so that a cycle does not delay the leader's other work.
const MAX_PLACEMENTS_PER_CYCLE: usize = 200;

/// Tolerance in units: a sum of units may miss a whole number by a rounding error.
const UNITS_EPSILON: f64 = 1e-6;

/// Converts units to whole thousandths, which heap keys compare exactly.
fn to_milli_units(units: f64) -> i64 {
    (units * 1000.0).round() as i64
}
