//! The measurements on the capacity page: the growth of each figure along the sweeps, and extrapolations to the target
//! load.

use std::{collections::BTreeMap, fmt::Write};

use crate::{
    invariants::StartLatencies,
    linear_fit::{LinearFit, spread},
    measure::Point,
    settings::SweepParameter,
};

/// The section of the page between these lines is generated from result files.
const BEGIN: &str = "<!-- measured: begin -->";
const END: &str = "<!-- measured: end -->";

/// The target load of one region, by sweep parameter: 29,000 workers, 6,800 starts per second and 160,000 running
/// tasks over 7 regions (of them 18,714 array tasks per region, at 971 starts per second), all 330 teams in each
/// region, and the finished jobs of 30 days (280,000 jobs per day over 7 regions).
const TARGET_LOAD: [(SweepParameter, f64); 5] = [
    (SweepParameter::Workers, 4143.0),
    (SweepParameter::StartsPerS, 971.0),
    (SweepParameter::RunS, 19.3),
    (SweepParameter::Teams, 330.0),
    (SweepParameter::FinishedJobs, 1_200_000.0),
];

/// The load of the largest site today: 1,367 machines, 27 starts per second and the finished jobs of one day.
const CURRENT_LOAD: [(SweepParameter, f64); 5] = [
    (SweepParameter::Workers, 1367.0),
    (SweepParameter::StartsPerS, 27.0),
    (SweepParameter::RunS, 8.0),
    (SweepParameter::Teams, 3.0),
    (SweepParameter::FinishedJobs, 86_400.0),
];

/// Growth over a whole sweep that is below this fraction of the figure is not reported.
const GROWTH_THRESHOLD: f64 = 0.15;

/// A figure that the page shows.
struct TrackedFigure {
    name: &'static str,
    unit: &'static str,
    extract: fn(&Point) -> Option<f64>,
    /// The quantity that determines the figure.
    driver: &'static str,
}

const TRACKED_FIGURES: [TrackedFigure; 24] = [
    tracked_figure(
        "leader, CPU time",
        "ms/s",
        "one thread; one leader per cell",
        |p| Some(p.figures.leader_cpu_ms),
    ),
    tracked_figure(
        "follower, CPU time",
        "ms/s",
        "followers serve only users",
        |p| Some(p.figures.follower_cpu_ms),
    ),
    tracked_figure("leader, memory", "MB", "cluster state of one cell", |p| {
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
    tracked_figure(
        "reports",
        "1/s",
        "each worker, at an interval and on changes",
        |p| Some(p.figures.reports),
    ),
    tracked_figure("reports, bytes", "KB/s", "", |p| {
        Some(p.figures.report_bytes / 1e3)
    }),
    tracked_figure(
        "commands",
        "1/s",
        "one direct command holds all starts of a machine",
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
        "read barriers, watches and the log of one cell",
        |p| Some(p.figures.state_requests),
    ),
    tracked_figure(
        "state, writes",
        "1/s",
        "the log; one record holds many changes",
        |p| Some(p.figures.state_writes),
    ),
    tracked_figure("state, transactions", "KB/s", "the log", |p| {
        Some(p.figures.state_txn_bytes / 1e3)
    }),
    tracked_figure(
        "state, keys",
        "",
        "finished jobs are never deleted (known gap)",
        |p| Some(p.figures.state_keys),
    ),
    tracked_figure(
        "state, stored data",
        "MB",
        "finished jobs are never deleted (known gap)",
        |p| Some(p.figures.state_bytes / 1e6),
    ),
    tracked_figure(
        "mesh, bytes",
        "KB/s",
        "progress of unfinished jobs, sent every second",
        |p| Some(p.figures.mesh_bytes / 1e3),
    ),
    tracked_figure(
        "users, bytes",
        "KB/s",
        "users' requests; any node serves them",
        |p| Some(p.figures.user_bytes / 1e3),
    ),
    tracked_figure("task starts", "1/s", "the log", |p| Some(p.figures.starts)),
    tracked_figure(
        "urgent, p99 start latency",
        "ms",
        "a scheduling cycle every 40 ms, one log write at a time",
        |p| p99(&p.figures.urgent),
    ),
    tracked_figure("other, p99 start latency", "ms", "the same", |p| {
        p99(&p.figures.other)
    }),
    tracked_figure(
        "startup until ready",
        "s",
        "all jobs are read at startup (known gap)",
        |p| Some(p.figures.ready_s),
    ),
    tracked_figure(
        "leader failover",
        "s",
        "lease of 3.5 s, then reading the log",
        |p| p.figures.takeover_s,
    ),
];

/// The 99th percentile; `None` if no task started.
fn p99(times: &StartLatencies) -> Option<f64> {
    (times.count > 0).then_some(times.p99_ms as f64)
}

const fn tracked_figure(
    name: &'static str,
    unit: &'static str,
    driven_by: &'static str,
    extractor: fn(&Point) -> Option<f64>,
) -> TrackedFigure {
    TrackedFigure {
        name,
        unit,
        extract: extractor,
        driver: driven_by,
    }
}

/// Error of updating a page.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// The marker lines are missing or in the wrong order.
    #[error("must contain the line {BEGIN:?} followed by {END:?}")]
    NoMarks,
}

/// Returns the page with its generated section replaced. `results` holds the points of each result file; if several files
/// sweep the same parameter, the last one is used for the extrapolation.
pub fn update_page(page: &str, results: &[Vec<Point>]) -> Result<String, PageError> {
    let (before, rest) = page.split_once(BEGIN).ok_or(PageError::NoMarks)?;
    let (_, after) = rest.split_once(END).ok_or(PageError::NoMarks)?;
    let measured = render_measurements(results);
    Ok(format!("{before}{BEGIN}\n{measured}{END}{after}"))
}

/// The growth of one figure along one sweep.
struct FittedGrowth {
    line: LinearFit,
    spread: f64,
    /// The first and last value of the sweep, each with the mean of the figure there.
    from: (f64, f64),
    to: (f64, f64),
}

impl FittedGrowth {
    /// `None` if there are fewer than two different values.
    fn of(points: &[&Point], figure: &TrackedFigure) -> Option<Self> {
        let mut values_at: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
        for point in points {
            if let Some(value) = (figure.extract)(point) {
                values_at
                    .entry(point.value.to_bits())
                    .or_default()
                    .push(value);
            }
        }
        // The values are not negative, so the order of their bits is the order of the values.
        let means: Vec<(f64, f64)> = values_at
            .iter()
            .map(|(bits, values)| {
                let mean = values.iter().sum::<f64>() / values.len() as f64;
                (f64::from_bits(*bits), mean)
            })
            .collect();
        let line = LinearFit::fit(&means)?;
        let spreads = values_at.values().map(|values| spread(values));
        Some(FittedGrowth {
            line,
            spread: spreads.fold(0.0, f64::max),
            from: *means.first()?,
            to: *means.last()?,
        })
    }

    /// Whether the figure changes along the sweep by more than identical runs differ.
    fn grows(&self, noise: f64) -> bool {
        let (low, high) = (self.from.1.abs(), self.to.1.abs());
        let minimum = GROWTH_THRESHOLD.max(noise) * low.max(high);
        (self.line.slope * (self.to.0 - self.from.0)).abs() > minimum
    }
}

/// The largest spread of this figure between identical runs, over all repeated runs.
fn noise(results: &[Vec<Point>], figure: &TrackedFigure) -> f64 {
    let sweeps = results.iter().flat_map(|points| {
        let sweeps = TARGET_LOAD
            .iter()
            .map(|(vary, _)| points_of_sweep(points, *vary));
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

fn points_of_sweep(points: &[Point], vary: SweepParameter) -> Vec<&Point> {
    let points = points.iter();
    points.filter(|point| point.vary == Some(vary)).collect()
}

fn render_runs(text: &mut String, results: &[Vec<Point>]) {
    let points: Vec<&Point> = results.iter().flatten().collect();
    let violation_count: u64 = points.iter().map(|point| point.violation_count).sum();
    let references: Vec<f64> = points.iter().map(|point| point.reference_ms).collect();
    let (minimum, maximum) = (
        references.iter().copied().fold(f64::MAX, f64::min),
        references.iter().copied().fold(0.0, f64::max),
    );
    let _ = writeln!(
        text,
        "\n{} runs, {violation_count} invariant violations. During the runs the reference work took {} to {} ms of CPU time.\n",
        points.len(),
        number(minimum.min(maximum)),
        number(maximum)
    );
}

/// Writes the table of the figures that grow along the sweeps of one result file.
fn render_slopes(text: &mut String, points: &[Point], results: &[Vec<Point>]) {
    let Some(first) = points.iter().find(|point| point.vary.is_some()) else {
        return;
    };
    let base = &first.experiment;
    let _ = writeln!(
        text,
        "Array tasks of {} CPUs and one replica of {} CPUs per worker, on workers of {} CPUs:\n",
        number(base.task_cpus),
        number(base.replica_cpus),
        number(base.worker_cpus)
    );
    text.push_str("| figure | unit | parameter | from | to | slope per 1,000 | value at 0 | residual | spread | linear |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for figure in &TRACKED_FIGURES {
        let noise = noise(results, figure);
        for (vary, _) in TARGET_LOAD {
            let growth = FittedGrowth::of(&points_of_sweep(points, vary), figure);
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

/// A figure extrapolated to some load: its value at the base plus, for each sweep along which it grows, the slope times
/// the distance from the base.
struct Extrapolation {
    value: f64,
    varied_along: Vec<&'static str>,
    /// The load is beyond the largest measured value of a sweep.
    is_beyond_measured: bool,
    /// The points of a sweep are not on a line.
    is_nonlinear: bool,
}

impl Extrapolation {
    fn of(
        results: &[Vec<Point>],
        figure: &TrackedFigure,
        load: &[(SweepParameter, f64)],
        base: f64,
    ) -> Extrapolation {
        let noise = noise(results, figure);
        let mut extrapolation = Extrapolation {
            value: base,
            varied_along: Vec::new(),
            is_beyond_measured: false,
            is_nonlinear: false,
        };
        for &(vary, to) in load {
            let sweeps = results
                .iter()
                .rev()
                .map(|points| points_of_sweep(points, vary));
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
            extrapolation.value += growth.line.slope * (to - points[0].base);
            extrapolation.is_beyond_measured |= to > growth.to.0;
            extrapolation.is_nonlinear |= !growth.line.is_linear(noise);
            extrapolation.varied_along.push(vary.name());
        }
        extrapolation
    }

    fn marks(&self) -> String {
        let marks = [
            (self.is_beyond_measured, "extrapolated"),
            (self.is_nonlinear, "not linear"),
        ];
        let marks = marks.iter().filter(|(holds, _)| *holds);
        let marks: Vec<&str> = marks.map(|(_, mark)| *mark).collect();
        marks.join(", ")
    }
}

/// Writes the table of extrapolations to the largest site today and to a region at the target, beside the last run of an
/// unvaried base.
fn render_target(text: &mut String, results: &[Vec<Point>]) {
    text.push_str("| figure | unit | largest site today, extrapolated | region at the target, extrapolated | parameters | remarks | region at the target, measured | determined by |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    let unvaried = results.iter().flatten();
    let mut unvaried = unvaried.filter(|point| point.vary.is_none() && point.drill.is_none());
    let unvaried = unvaried.next_back();
    for figure in &TRACKED_FIGURES {
        let measured = unvaried.and_then(figure.extract);
        let measured = measured.map_or("not run".to_owned(), number);
        let (name, unit, driven_by) = (figure.name, figure.unit, figure.driver);
        let Some(base) = mean_at_base(&results[0], figure) else {
            let _ = writeln!(
                text,
                "| {name} | {unit} | not measured | | | | {measured} | {driven_by} |"
            );
            continue;
        };
        let current = Extrapolation::of(results, figure, &CURRENT_LOAD, base);
        let target = Extrapolation::of(results, figure, &TARGET_LOAD, base);
        let _ = writeln!(
            text,
            "| {name} | {unit} | {} | {} | {} | {} | {measured} | {driven_by} |",
            number(current.value.max(0.0)),
            number(target.value.max(0.0)),
            target.varied_along.join(", "),
            target.marks(),
        );
    }
    text.push('\n');
    render_drills(text, results);
}

/// Writes the figures of each drill.
fn render_drills(text: &mut String, results: &[Vec<Point>]) {
    for point in results.iter().flatten() {
        let (Some(drill), Some(drill_settings)) = (&point.drill, &point.experiment.drill) else {
            continue;
        };
        let _ = writeln!(
            text,
            "Drill: {} regions as cells, {} workers and {} controllers in total, {} teams, inter-region links with a one-way latency of {} ms, {} limit changes; {} invariant violations; leader failover in seconds: {}.\n",
            point.experiment.regions,
            number(drill.workers as f64),
            point.experiment.process_count(),
            point.experiment.teams,
            drill_settings.link_ms,
            number(drill.changes as f64),
            point.violation_count,
            drill
                .takeover_s
                .map_or("not within the timeout".to_owned(), number),
        );
        text.push_str("| phase | s | starts/s | urgent: count, median, p99, max ms | other: median, p99, max ms | limit changes in force: count, median, p99, max ms | teams behind at the end | busiest controller, ms/s | total memory, MB | per worker: messages/s, B/s | between regions, KB/s |\n");
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
                number(phase.lagging_teams),
                number(phase.busiest_cpu_ms),
                number(phase.memory_mb),
                number(phase.messages_per_worker),
                number(phase.bytes_per_worker),
                number(phase.inter_region_bytes / 1e3),
            );
        }
        text.push('\n');
    }
}

/// The mean of the figure over all runs in which the varied parameter has its base value.
fn mean_at_base(points: &[Point], figure: &TrackedFigure) -> Option<f64> {
    let runs_at_base = points.iter();
    let runs_at_base =
        runs_at_base.filter(|point| point.vary.is_some() && point.value == point.base);
    let values: Vec<f64> = runs_at_base
        .filter_map(|point| (figure.extract)(point))
        .collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

/// Formats a number with three significant digits and thousands separators.
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
