//! Who places next, where, and who is preempted.
//!
//! The design is that of "Fair Scheduling for Deep Learning Workloads in Kubernetes" (Run:ai,
//! 21 June 2021): a heap of teams by reserved units, each with its waiting tasks by priority, then
//! age; a trial fit before anybody is preempted; and the excess of over-share teams, which is what
//! starved teams may take. `docs/design.md` says what was kept and what was changed.

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
    cycle::{run_scheduling_cycle, run_scheduling_cycle_with},
    deserved_shares::compute_deserved_shares,
    limit_enforcement::select_stops_over_limit,
    preemption::{PreemptionReason, PreemptionScope, PreemptionVictim, select_preemptions},
};

/// How many placements one cycle makes before other work gets its turn.
const MAX_PLACEMENTS_PER_CYCLE: usize = 200;

/// Sums of units may miss a whole number by a rounding error.
const UNITS_EPSILON: f64 = 1e-6;

/// Units as a heap key: thousandths, so that sums compare exactly.
fn to_milli_units(units: f64) -> i64 {
    (units * 1000.0).round() as i64
}
