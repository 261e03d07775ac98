//! The measured part of the capacity page: slopes, and what a region at the target needs by them.

use std::{collections::BTreeMap, fmt::Write};

use crate::{
    invariants::StartLatencies,
    linear_fit::{LinearFit, spread},
    measure::Point,
    settings::SweepParameter,
};

/// The part of the page between these lines is made from results.
const BEGIN: &str = "<!-- measured: begin -->";
const END: &str = "<!-- measured: end -->";

/// A region at the target, in the terms of the sweeps: 29,000 workers, 6,800 starts a second and 160,000
/// running tasks over 7 regions (18,714 of a region's tasks in arrays, at 971 starts a second), all 330 teams
/// in each, and the finished jobs of 30 days (280,000 jobs a day over 7 regions).
const TARGET_LOAD: [(SweepParameter, f64); 5] = [
    (SweepParameter::Workers, 4143.0),
    (SweepParameter::StartsPerS, 971.0),
    (SweepParameter::RunS, 19.3),
    (SweepParameter::Teams, 330.0),
    (SweepParameter::FinishedJobs, 1_200_000.0),
];

/// The same of today's largest site, 1,367 machines and 27 starts a second, its jobs of one day.
const CURRENT_LOAD: [(SweepParameter, f64); 5] = [
    (SweepParameter::Workers, 1367.0),
    (SweepParameter::StartsPerS, 27.0),
    (SweepParameter::RunS, 8.0),
    (SweepParameter::Teams, 3.0),
    (SweepParameter::FinishedJobs, 86_400.0),
];

/// FittedGrowth that is less than this part of the figure over the whole sweep is not told of.
const GROWTH_THRESHOLD: f64 = 0.15;

/// A figure that is followed.
struct TrackedFigure {
    name: &'static str,
    unit: &'static str,
    extract: fn(&Point) -> Option<f64>,
    /// What carries it.
    driver: &'static str,
}

const TRACKED_FIGURES: [TrackedFigure; 24] = [
    tracked_figure(
        "leader, processor",
        "ms/s",
        "one thread; a leader for each cell",
        |p| Some(p.figures.leader_cpu_ms),
    ),
    tracked_figure(
        "follower, processor",
        "ms/s",
        "followers take users only",
        |p| Some(p.figures.follower_cpu_ms),
    ),
    tracked_figure("leader, memory", "MB", "books of one cell", |p| {
        Some(p.figures.leader_mb)
    }),
    tracked_figure("follower, memory", "MB", "the directory of jobs", |p| {
        Some(p.figures.follower_mb)
    }),
    tracked_figure(
        "leader, sockets",
        "",
        "all workers report to the leader",
        |p| Some(p.figures.leader_sockets),
    ),
    tracked_figure("follower, sockets", "", "users' connections", |p| {
        Some(p.figures.follower_sockets)
    }),
    tracked_figure("reports", "1/s", "each worker, and its changes", |p| {
        Some(p.figures.reports)
    }),
    tracked_figure("reports, bytes", "KB/s", "", |p| {
        Some(p.figures.report_bytes / 1e3)
    }),
    tracked_figure(
        "commands",
        "1/s",
        "direct commands, all starts of a machine in one",
        |p| Some(p.figures.commands),
    ),
    tracked_figure("commands, bytes", "KB/s", "", |p| {
        Some(p.figures.command_bytes / 1e3)
    }),
    tracked_figure("a worker's messages", "1/s", "", |p| {
        Some((p.figures.reports + p.figures.commands) / p.experiment.workers as f64)
    }),
    tracked_figure("a worker's bytes", "B/s", "", |p| {
        Some((p.figures.report_bytes + p.figures.command_bytes) / p.experiment.workers as f64)
    }),
    tracked_figure(
        "state, requests",
        "1/s",
        "syncs, watches and the log of one cell",
        |p| Some(p.figures.state_requests),
    ),
    tracked_figure(
        "state, writes",
        "1/s",
        "the log: an entry holds many changes",
        |p| Some(p.figures.state_writes),
    ),
    tracked_figure("state, transactions", "KB/s", "the log", |p| {
        Some(p.figures.state_txn_bytes / 1e3)
    }),
    tracked_figure(
        "state, keys",
        "",
        "missing: finished jobs are kept for good",
        |p| Some(p.figures.state_keys),
    ),
    tracked_figure(
        "state, stored",
        "MB",
        "missing: finished jobs are kept for good",
        |p| Some(p.figures.state_bytes / 1e6),
    ),
    tracked_figure(
        "mesh, bytes",
        "KB/s",
        "progress of unfinished jobs, each second",
        |p| Some(p.figures.mesh_bytes / 1e3),
    ),
    tracked_figure("users, bytes", "KB/s", "any node answers", |p| {
        Some(p.figures.user_bytes / 1e3)
    }),
    tracked_figure("starts reached", "1/s", "the log", |p| {
        Some(p.figures.starts)
    }),
    tracked_figure(
        "urgent, p99 to start",
        "ms",
        "rounds each 40 ms, one entry of the log at a time",
        |p| p99(&p.figures.urgent),
    ),
    tracked_figure("other, p99 to start", "ms", "the same", |p| {
        p99(&p.figures.other)
    }),
    tracked_figure(
        "start to ready",
        "s",
        "missing: every job is read at the start",
        |p| Some(p.figures.ready_s),
    ),
    tracked_figure(
        "leader's end to books",
        "s",
        "a lease of 3.5 s, then the log",
        |p| p.figures.takeover_s,
    ),
];

/// `None`: nothing of the kind started.
fn p99(times: &StartLatencies) -> Option<f64> {
    (times.count > 0).then_some(times.p99_ms as f64)
}

const fn tracked_figure(
    name: &'static str,
    unit: &'static str,
    by: &'static str,
    of: fn(&Point) -> Option<f64>,
) -> TrackedFigure {
    TrackedFigure {
        name,
        unit,
        extract: of,
        driver: by,
    }
}

/// Why a page can't be renewed.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// The marks are missing or the wrong way round.
    #[error("has no lines {BEGIN:?} and {END:?} after it")]
    NoMarks,
}

/// The page with its measured part made from these results, a file each. Of two files that vary the same, the later one
/// leads to the target.
pub fn update_page(page: &str, results: &[Vec<Point>]) -> Result<String, PageError> {
    let (before, rest) = page.split_once(BEGIN).ok_or(PageError::NoMarks)?;
    let (_, after) = rest.split_once(END).ok_or(PageError::NoMarks)?;
    let measured = render_measurements(results);
    Ok(format!("{before}{BEGIN}\n{measured}{END}{after}"))
}

/// One figure along one sweep.
struct FittedGrowth {
    line: LinearFit,
    spread: f64,
    /// What the sweep held, and what stood at its first and last value.
    from: (f64, f64),
    to: (f64, f64),
}

impl FittedGrowth {
    /// `None`: too few points.
    fn of(points: &[&Point], figure: &TrackedFigure) -> Option<Self> {
        let mut at: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
        for point in points {
            if let Some(value) = (figure.extract)(point) {
                at.entry(point.value.to_bits()).or_default().push(value);
            }
        }
        // Values are not negative, so their bits are in their order.
        let means: Vec<(f64, f64)> = at
            .iter()
            .map(|(bits, values)| {
                let mean = values.iter().sum::<f64>() / values.len() as f64;
                (f64::from_bits(*bits), mean)
            })
            .collect();
        let line = LinearFit::fit(&means)?;
        let spreads = at.values().map(|values| spread(values));
        Some(FittedGrowth {
            line,
            spread: spreads.fold(0.0, f64::max),
            from: *means.first()?,
            to: *means.last()?,
        })
    }

    /// Whether it grows with the sweep by more than runs alike differ.
    fn grows(&self, noise: f64) -> bool {
        let (low, high) = (self.from.1.abs(), self.to.1.abs());
        let least = GROWTH_THRESHOLD.max(noise) * low.max(high);
        (self.line.slope * (self.to.0 - self.from.0)).abs() > least
    }
}

/// How far runs alike differ in this figure, over all that was repeated.
fn noise(results: &[Vec<Point>], figure: &TrackedFigure) -> f64 {
    let sweeps = results.iter().flat_map(|points| {
        let sweeps = TARGET_LOAD.iter().map(|(vary, _)| of_sweep(points, *vary));
        sweeps.filter_map(|points| FittedGrowth::of(&points, figure))
    });
    sweeps.map(|growth| growth.spread).fold(0.0, f64::max)
}

fn render_measurements(results: &[Vec<Point>]) -> String {
    let mut text = String::new();
    render_runs(&mut text, results);
    for points in results {
        render_slopes(&mut text, points, results);
    }
    render_target(&mut text, results);
    text
}

fn of_sweep(points: &[Point], vary: SweepParameter) -> Vec<&Point> {
    let points = points.iter();
    points.filter(|point| point.vary == Some(vary)).collect()
}

fn render_runs(text: &mut String, results: &[Vec<Point>]) {
    let points: Vec<&Point> = results.iter().flatten().collect();
    let broken: u64 = points.iter().map(|point| point.broken).sum();
    let references: Vec<f64> = points.iter().map(|point| point.reference_ms).collect();
    let (least, most) = (
        references.iter().copied().fold(f64::MAX, f64::min),
        references.iter().copied().fold(0.0, f64::max),
    );
    let _ = writeln!(
        text,
        "\n{} runs, rules broken: {broken}. The reference work took {} to {} ms beside them.\n",
        points.len(),
        number(least.min(most)),
        number(most)
    );
}

/// A table of all that grows along the sweeps of one file.
fn render_slopes(text: &mut String, points: &[Point], results: &[Vec<Point>]) {
    let Some(first) = points.iter().find(|point| point.vary.is_some()) else {
        return;
    };
    let base = &first.experiment;
    let _ = writeln!(
        text,
        "Tasks of {} CPUs beside a replica of {} on workers of {}:\n",
        number(base.task_cpus),
        number(base.replica_cpus),
        number(base.worker_cpus)
    );
    text.push_str("| figure | unit | along | from | to | slope for 1,000 | at 0 | residual | spread | a line |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for figure in &TRACKED_FIGURES {
        let noise = noise(results, figure);
        for (vary, _) in TARGET_LOAD {
            let growth = FittedGrowth::of(&of_sweep(points, vary), figure);
            let Some(growth) = growth.filter(|growth| growth.grows(noise)) else {
                continue;
            };
            let line = if growth.line.is_linear(noise) {
                "yes"
            } else {
                "**no**"
            };
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} at {} | {} at {} | {} | {} | {} | {} | {line} |",
                figure.name,
                figure.unit,
                vary.name(),
                number(growth.from.1),
                number(growth.from.0),
                number(growth.to.1),
                number(growth.to.0),
                number(growth.line.slope * 1000.0),
                number(growth.line.intercept),
                percent(growth.line.residual),
                percent(noise),
            );
        }
    }
    text.push('\n');
}

/// What stands somewhere by the slopes: what was run at the base, and for each sweep along which the figure grows its
/// slope times the way from there.
struct Extrapolation {
    value: f64,
    varied_along: Vec<&'static str>,
    /// Beyond the largest value that was run.
    is_beyond_measured: bool,
    /// Along points that are no line.
    is_nonlinear: bool,
}

impl Extrapolation {
    fn of(
        results: &[Vec<Point>],
        figure: &TrackedFigure,
        place: &[(SweepParameter, f64)],
        base: f64,
    ) -> Extrapolation {
        let noise = noise(results, figure);
        let mut extended = Extrapolation {
            value: base,
            varied_along: Vec::new(),
            is_beyond_measured: false,
            is_nonlinear: false,
        };
        for &(vary, to) in place {
            let sweeps = results.iter().rev().map(|points| of_sweep(points, vary));
            let Some(points) = sweeps
                .into_iter()
                .find(|points: &Vec<&Point>| !points.is_empty())
            else {
                continue;
            };
            let growth = FittedGrowth::of(&points, figure);
            let Some(growth) = growth.filter(|growth| growth.grows(noise)) else {
                continue;
            };
            extended.value += growth.line.slope * (to - points[0].base);
            extended.is_beyond_measured |= to > growth.to.0;
            extended.is_nonlinear |= !growth.line.is_linear(noise);
            extended.varied_along.push(vary.name());
        }
        extended
    }

    fn marks(&self) -> String {
        let marks = [
            (self.is_beyond_measured, "extrapolated"),
            (self.is_nonlinear, "no line"),
        ];
        let marks = marks.iter().filter(|(holds, _)| *holds);
        let marks: Vec<&str> = marks.map(|(_, mark)| *mark).collect();
        marks.join(", ")
    }
}

/// Today's largest site and a region at the target by the slopes, and what was run without varying anything.
fn render_target(text: &mut String, results: &[Vec<Point>]) {
    text.push_str("| figure | unit | today's largest site, by slopes | a region at the target, by slopes | along | marks | a region at the target, as run | carried by |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    let as_run = results.iter().flatten();
    let mut as_run = as_run.filter(|point| point.vary.is_none() && point.drill.is_none());
    let as_run = as_run.next_back();
    for figure in &TRACKED_FIGURES {
        let run = as_run.and_then(figure.extract);
        let run = run.map_or("not run".to_owned(), number);
        let (name, unit, by) = (figure.name, figure.unit, figure.driver);
        let Some(base) = at_base(&results[0], figure) else {
            let _ = writeln!(
                text,
                "| {name} | {unit} | not measured | | | | {run} | {by} |"
            );
            continue;
        };
        let today = Extrapolation::of(results, figure, &CURRENT_LOAD, base);
        let then = Extrapolation::of(results, figure, &TARGET_LOAD, base);
        let _ = writeln!(
            text,
            "| {name} | {unit} | {} | {} | {} | {} | {run} | {by} |",
            number(today.value.max(0.0)),
            number(then.value.max(0.0)),
            then.varied_along.join(", "),
            then.marks(),
        );
    }
    text.push('\n');
    render_drills(text, results);
}

/// What went on in each drill.
fn render_drills(text: &mut String, results: &[Vec<Point>]) {
    for point in results.iter().flatten() {
        let (Some(drill), Some(wanted)) = (&point.drill, &point.experiment.drill) else {
            continue;
        };
        let _ = writeln!(
            text,
            "A drill: {} regions as cells, {} workers and {} controllers in all, {} teams, links of {} ms one way, {} changes of limits; {} rules broken; the leader's end to books {} s.\n",
            point.experiment.regions,
            number(drill.workers as f64),
            point.experiment.process_count(),
            point.experiment.teams,
            wanted.link_ms,
            number(drill.changes as f64),
            point.broken,
            drill
                .takeover_s
                .map_or("not within the time,".to_owned(), number),
        );
        text.push_str("| part | s | starts/s | urgent: count, median, p99, worst ms | other: median, p99, worst ms | in force: count, median, p99, worst ms | behind at its end | busiest controller, ms/s | memory of all, MB | a worker's messages/s, B/s | between regions, KB/s |\n");
        text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for phase in &drill.phases {
            let _ = writeln!(
                text,
                "| {} | {} | {} | {}, {}, {}, {} | {}, {}, {} | {}, {}, {}, {} | {} | {} | {} | {}, {} | {} |",
                phase.name,
                number(phase.seconds),
                number(phase.starts),
                phase.urgent.count,
                phase.urgent.median_ms,
                phase.urgent.p99_ms,
                phase.urgent.worst_ms,
                phase.other.median_ms,
                phase.other.p99_ms,
                phase.other.worst_ms,
                phase.in_force,
                phase.in_force_median_ms,
                phase.in_force_p99_ms,
                phase.in_force_worst_ms,
                number(phase.behind),
                number(phase.busiest_cpu_ms),
                number(phase.memory_mb),
                number(phase.messages_per_worker),
                number(phase.bytes_per_worker),
                number(phase.far_bytes / 1e3),
            );
        }
        text.push('\n');
    }
}

/// The mean of all runs of the base itself.
fn at_base(points: &[Point], figure: &TrackedFigure) -> Option<f64> {
    let at_base = points.iter();
    let at_base = at_base.filter(|point| point.vary.is_some() && point.value == point.base);
    let values: Vec<f64> = at_base
        .filter_map(|point| (figure.extract)(point))
        .collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

/// Three digits that count, thousands apart.
fn number(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return "0".into();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits > 0 {
        let text = format!("{value:.*}", digits.min(9) as usize);
        return text.trim_end_matches('0').trim_end_matches('.').to_owned();
    }
    let unit = 10f64.powi(-digits);
    let rounded = ((value / unit).round() * unit) as i64;
    let plain = rounded.unsigned_abs().to_string();
    let mut grouped = String::new();
    for (at, digit) in plain.chars().enumerate() {
        if at > 0 && (plain.len() - at) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if rounded < 0 {
        grouped.insert(0, '-');
    }
    grouped
}

fn percent(part: f64) -> String {
    format!("{:.0}%", part * 100.0)
}

#[cfg(test)]
mod tests;
