//! An upper bound on the service that any scheduler could have achieved: the solution of a linear program over all
//! accepted jobs, which uses knowledge of the whole run.
//!
//! The run is divided into time slices. In each slice the work of all classes together is at most the capacity of
//! the largest fleet, and no work is done before it has arrived. The model ignores image pulls, machine boots,
//! zones and the indivisibility of tasks, so no real schedule can do better. First the service of the least served
//! class is maximized; then that of each class by itself, while all classes keep at least this minimum.

use std::collections::BTreeMap;

use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable, microlp,
    variable,
};

use super::log::{ClassName, LogSummary};

/// The number of slices into which the run is divided.
const TIME_SLICES: usize = 40;

/// The work of one class.
struct OfferedLoad {
    /// The work that arrives in each slice, in unit seconds: units (GPUs, or CPUs for tasks without GPUs) times
    /// seconds.
    arrivals_by_slice: Vec<f64>,
}

impl OfferedLoad {
    fn total(&self) -> f64 {
        self.arrivals_by_slice.iter().sum()
    }
}

/// The largest number of units that a team may use at a time, for the teams that have a limit.
pub type TeamLimits = BTreeMap<String, f64>;

/// The fraction of each class's work that could have been done by the end of the run, from 0 to 1. `units`: the
/// capacity of the fleet.
pub fn max_achievable_service(
    summary: &LogSummary,
    units: f64,
    limits: &TeamLimits,
) -> Result<BTreeMap<ClassName, f64>, ResolutionError> {
    let run_start = summary
        .jobs
        .values()
        .map(|job| job.accepted_at)
        .fold(f64::INFINITY, f64::min);
    let slice_s = ((summary.latest_line_at - run_start) / TIME_SLICES as f64).max(1e-3);
    let mut loads: BTreeMap<ClassName, OfferedLoad> = BTreeMap::new();
    for job in summary.jobs.values() {
        let load = loads
            .entry(job.class.clone())
            .or_insert_with(|| OfferedLoad {
                arrivals_by_slice: vec![0.0; TIME_SLICES],
            });
        let slice_at = |time: f64| (((time - run_start) / slice_s) as usize).min(TIME_SLICES - 1);
        let job_units = job.tasks as f64 * job.units;
        if job.is_service {
            // A service uses its units from its acceptance until its end: the work is spread over these slices.
            let ended_at = job.ended_at.unwrap_or(summary.latest_line_at);
            for slice in slice_at(job.accepted_at)..=slice_at(ended_at) {
                let start = (run_start + slice as f64 * slice_s).max(job.accepted_at);
                let end = (run_start + (slice + 1) as f64 * slice_s).min(ended_at);
                load.arrivals_by_slice[slice] += job_units * (end - start).max(0.0);
            }
        } else if !job.cancelled {
            load.arrivals_by_slice[slice_at(job.accepted_at)] += job_units * job.estimate_s;
        }
    }
    loads.retain(|_, load| load.total() > 0.0);
    let slice_capacity = units * slice_s;
    let limits = limits
        .iter()
        .map(|(team, limit)| (team.clone(), limit / units));
    let limits: TeamLimits = limits.collect();
    let minimum = solve(&loads, slice_capacity, &limits, None, 0.0)?;
    let mut achievable = BTreeMap::new();
    for name in loads.keys() {
        let fraction = solve(&loads, slice_capacity, &limits, Some(name), minimum * 0.999)?;
        achievable.insert(name.clone(), fraction.min(1.0));
    }
    Ok(achievable)
}

/// The largest fraction of the work of the class `maximized` that can be done, while at least the fraction
/// `minimum` of every class's work is done. Without `maximized`: the largest fraction that can be done of every
/// class's work.
///
/// `slice_capacity` is the capacity in a slice, in unit seconds; `limits` are fractions of that capacity.
fn solve(
    loads: &BTreeMap<ClassName, OfferedLoad>,
    slice_capacity: f64,
    limits: &TeamLimits,
    maximized: Option<&ClassName>,
    minimum: f64,
) -> Result<f64, ResolutionError> {
    let mut variables = ProblemVariables::new();
    let fraction = variables.add(variable().min(0.0).max(1.0));
    let work_done: Vec<Vec<Variable>> = loads
        .values()
        .map(|_| variables.add_vector(variable().min(0.0), TIME_SLICES))
        .collect();
    let mut problem = variables.maximise(fraction).using(microlp);
    for slice in 0..TIME_SLICES {
        let slice_total: Expression = work_done.iter().map(|class_done| class_done[slice]).sum();
        // Work is counted in fractions of the capacity, so that the numbers stay near one.
        problem = problem.with(slice_total.leq(1.0));
        for (team, limit) in limits {
            let of_team = loads
                .keys()
                .zip(&work_done)
                .filter(|((class_team, _), _)| class_team == team);
            let sum: Expression = of_team.map(|(_, class_done)| class_done[slice]).sum();
            problem = problem.with(sum.leq(*limit));
        }
    }
    for ((name, load), class_done) in loads.iter().zip(&work_done) {
        let mut arrived = 0.0;
        for slice in 0..TIME_SLICES {
            arrived += load.arrivals_by_slice[slice] / slice_capacity;
            let sum: Expression = class_done[..=slice].iter().sum();
            problem = problem.with(sum.leq(arrived));
        }
        let sum: Expression = class_done.iter().sum();
        let total = load.total() / slice_capacity;
        if maximized.is_none_or(|maximized| maximized == name) {
            problem = problem.with((sum.clone() - total * fraction).geq(0.0));
        }
        problem = problem.with(sum.geq(total * minimum));
    }
    Ok(problem.solve()?.value(fraction))
}

#[cfg(test)]
mod tests;
