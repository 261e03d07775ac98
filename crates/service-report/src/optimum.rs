//! What was possible: a linear program over all that was accepted, with hindsight.
//!
//! Time is cut into slices. In each, the classes' work adds up to what the fleet holds at its largest at most, and
//! no work is done before it has come. Images, boots, zones and whole tasks are left out, so nobody can do
//! better. The least served class is served as well as can be; then each class for itself, with the others kept
//! at that.

use std::collections::BTreeMap;

use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable, microlp,
    variable,
};

use super::log::{ClassName, LogSummary};

/// Slices of the whole run.
const TIME_SLICES: usize = 40;

struct OfferedLoad {
    /// What comes in each slice, in unit seconds.
    arrivals_by_slice: Vec<f64>,
}

impl OfferedLoad {
    fn total(&self) -> f64 {
        self.arrivals_by_slice.iter().sum()
    }
}

/// What some teams may use at a time, in units.
pub type TeamLimits = BTreeMap<String, f64>;

/// The part of each class's work that could have been done by the end, from 0 to 1. `units`: what the fleet holds.
pub fn max_achievable_service(
    run: &LogSummary,
    units: f64,
    limits: &TeamLimits,
) -> Result<BTreeMap<ClassName, f64>, ResolutionError> {
    let begin = run
        .jobs
        .values()
        .map(|job| job.accepted_at)
        .fold(f64::INFINITY, f64::min);
    let slice_s = ((run.last_line_at - begin) / TIME_SLICES as f64).max(1e-3);
    let mut works: BTreeMap<ClassName, OfferedLoad> = BTreeMap::new();
    for job in run.jobs.values() {
        let work = works
            .entry(job.name.clone())
            .or_insert_with(|| OfferedLoad {
                arrivals_by_slice: vec![0.0; TIME_SLICES],
            });
        let at = |time: f64| (((time - begin) / slice_s) as usize).min(TIME_SLICES - 1);
        let each = job.tasks as f64 * job.units;
        if job.service {
            // Wanted from when it came until it was cancelled, a slice at a time.
            let until = job.ended_at.unwrap_or(run.last_line_at);
            for slice in at(job.accepted_at)..=at(until) {
                let from = (begin + slice as f64 * slice_s).max(job.accepted_at);
                let to = (begin + (slice + 1) as f64 * slice_s).min(until);
                work.arrivals_by_slice[slice] += each * (to - from).max(0.0);
            }
        } else if !job.cancelled {
            work.arrivals_by_slice[at(job.accepted_at)] += each * job.estimate_s;
        }
    }
    works.retain(|_, work| work.total() > 0.0);
    let room = units * slice_s;
    let limits = limits
        .iter()
        .map(|(team, limit)| (team.clone(), limit / units));
    let limits: TeamLimits = limits.collect();
    let least = solve(&works, room, &limits, None, 0.0)?;
    let mut possible = BTreeMap::new();
    for name in works.keys() {
        let part = solve(&works, room, &limits, Some(name), least * 0.999)?;
        possible.insert(name.clone(), part.min(1.0));
    }
    Ok(possible)
}

/// `limits`: in parts of the room. The largest part of `best`'s work, or of everybody's, that can be done while all have at least `least`.
fn solve(
    works: &BTreeMap<ClassName, OfferedLoad>,
    room: f64,
    limits: &TeamLimits,
    best: Option<&ClassName>,
    least: f64,
) -> Result<f64, ResolutionError> {
    let mut variables = ProblemVariables::new();
    let part = variables.add(variable().min(0.0).max(1.0));
    let done: Vec<Vec<Variable>> = works
        .values()
        .map(|_| variables.add_vector(variable().min(0.0), TIME_SLICES))
        .collect();
    let mut problem = variables.maximise(part).using(microlp);
    for slice in 0..TIME_SLICES {
        let all: Expression = done.iter().map(|class| class[slice]).sum();
        // In parts of the room, so that numbers stay near one.
        problem = problem.with(all.leq(1.0));
        for (team, limit) in limits {
            let of_team = works
                .keys()
                .zip(&done)
                .filter(|((name, _), _)| name == team);
            let sum: Expression = of_team.map(|(_, class)| class[slice]).sum();
            problem = problem.with(sum.leq(*limit));
        }
    }
    for ((name, work), class) in works.iter().zip(&done) {
        let mut come = 0.0;
        for slice in 0..TIME_SLICES {
            come += work.arrivals_by_slice[slice] / room;
            let sum: Expression = class[..=slice].iter().sum();
            problem = problem.with(sum.leq(come));
        }
        let sum: Expression = class.iter().sum();
        let whole = work.total() / room;
        if best.is_none_or(|best| best == name) {
            problem = problem.with((sum.clone() - whole * part).geq(0.0));
        }
        problem = problem.with(sum.geq(whole * least));
    }
    Ok(problem.solve()?.value(part))
}

#[cfg(test)]
mod tests;
