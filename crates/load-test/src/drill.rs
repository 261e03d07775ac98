//! Drill: the regions are cells under load whose team limits change continually, while a network partition, a leader
//! failure and the loss of a rack are injected one after another.

use std::{
    collections::HashMap,
    fs,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    controller_process::Usage,
    experiment::Run,
    invariants::{self, InvariantChecker, StartLatencies},
    region::{RunError, SettingsFiles, team_name, team_settings},
    settings::{Drill, Experiment},
};

/// Message of the log record that a controller writes when a quota change is in force in all cells.
const IN_FORCE_LOG_PREFIX: &str = "a quota's change is in force ";

/// Figures of a drill.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrillFigures {
    /// Number of workers in all regions.
    pub workers: usize,
    /// The phases in execution order.
    pub phases: Vec<Phase>,
    /// Number of limit changes that were made.
    pub changes: u64,
    /// Time from the end of the leader until most workers were registered with its successor, in seconds.
    pub takeover_s: Option<f64>,
    /// Teams whose latest quota was not in force in some region at the end, summed over regions.
    #[serde(rename = "behind_at_end")]
    pub lagging_teams_at_end: f64,
}

/// Figures of one phase of a drill, over all regions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Name of the phase.
    pub name: String,
    /// Duration in seconds.
    pub seconds: f64,
    /// Task starts per second.
    pub starts: f64,
    /// Time from the acceptance of a job to the start command for its task, high priority.
    pub urgent: StartLatencies,
    /// The same for all other jobs.
    pub other: StartLatencies,
    /// CPU time of the busiest controller, in milliseconds per second.
    pub busiest_cpu_ms: f64,
    /// Resident memory of all controllers and of the tool, in megabytes.
    pub memory_mb: f64,
    /// Heartbeats and commands per worker and second.
    pub messages_per_worker: f64,
    /// Bytes of these messages and their responses per worker and second.
    pub bytes_per_worker: f64,
    /// Bytes sent between regions per second.
    #[serde(rename = "far_bytes")]
    pub inter_region_bytes: f64,
    /// Number of quota changes that took effect in all regions during the phase.
    pub in_force: u64,
    /// Median time from the commit of a quota change by its coordinator until it was in force in all regions, in
    /// milliseconds.
    pub in_force_median_ms: u64,
    /// 99th percentile of that time, in milliseconds.
    pub in_force_p99_ms: u64,
    /// Maximum of that time, in milliseconds.
    pub in_force_worst_ms: u64,
    /// Teams whose latest quota is not in force in some region at the end of the phase, summed over regions.
    #[serde(rename = "behind")]
    pub lagging_teams: f64,
    /// Number of invariant violations since the start of the run.
    #[serde(rename = "broken")]
    pub violation_count: u64,
}

/// The current limits of the teams and replaced ones that may still be in force, in CPUs by team index.
struct LimitHistory {
    current: Vec<f64>,
    replaced: Vec<Vec<(Instant, f64)>>,
    /// How long a replaced limit may remain in force while no region is partitioned.
    grace_period: Duration,
    /// Start of the partition; set until `grace_period` after its end. The partitioned region keeps applying the limits
    /// that were in force there when the partition began.
    partitioned_since: Option<Instant>,
}

impl LimitHistory {
    /// Upper bound on the CPUs that a team may use now: its highest limit that may be in force in any region.
    fn max_allowed(&mut self, team: usize) -> f64 {
        let (partition_start, grace_period) = (self.partitioned_since, self.grace_period);
        let may_be_in_force = |at: &Instant| {
            let in_force_at_partition =
                partition_start.is_some_and(|since| *at + grace_period >= since);
            in_force_at_partition || at.elapsed() < grace_period
        };
        self.replaced[team].retain(|(at, _)| may_be_in_force(at));
        let replaced = self.replaced[team].iter().map(|(_, limit)| *limit);
        replaced.fold(self.current[team], f64::max)
    }
}

/// Changes team limits at a fixed rate until it is stopped.
#[derive(Clone)]
struct QuotaChanger {
    limits: Arc<Mutex<LimitHistory>>,
    checker: Arc<InvariantChecker>,
    files: Arc<Vec<SettingsFiles>>,
    experiment: Arc<Experiment>,
    change_count: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    mean_usage_cpus: f64,
}

impl QuotaChanger {
    fn new(run: &Run, drill: &Drill) -> Self {
        let experiment = &run.experiment;
        let regions = experiment.regions as f64;
        let array_cpus = experiment.starts_per_s * experiment.run_s * experiment.task_cpus;
        let replica_cpus = experiment.workers as f64 * experiment.replica_cpus;
        let mean_usage_cpus = regions * (array_cpus + replica_cpus) / experiment.teams as f64;
        let limit = mean_usage_cpus * drill.limit_to;
        let files = run.regions.iter().map(|region| region.files.clone());
        QuotaChanger {
            limits: Arc::new(Mutex::new(LimitHistory {
                current: vec![limit; experiment.teams],
                replaced: vec![Vec::new(); experiment.teams],
                grace_period: Duration::from_secs_f64(drill.replaced_s),
                partitioned_since: None,
            })),
            checker: run.checker.clone(),
            files: Arc::new(files.collect()),
            experiment: Arc::new(experiment.clone()),
            change_count: Arc::new(AtomicU64::new(0)),
            is_stopped: Arc::new(AtomicBool::new(false)),
            mean_usage_cpus,
        }
    }

    fn limits(&self) -> MutexGuard<'_, LimitHistory> {
        self.limits.lock().expect("lock of the limits poisoned")
    }

    /// Rewrites the settings files of all controllers with the current limits.
    fn write(&self) -> Result<(), RunError> {
        let limits = self.limits().current.clone();
        let teams = limits.iter().enumerate();
        let teams: Vec<Value> = teams
            .map(|(team, limit)| team_settings(team, (self.mean_usage_cpus / 2.0).floor(), *limit))
            .collect();
        for files in self.files.iter() {
            for node in 0..self.experiment.nodes {
                files.write(node, &self.experiment, &teams)?;
            }
        }
        Ok(())
    }

    /// Updates the limit of each team in the invariant checker.
    fn update_checker(&self) {
        let mut limits = self.limits();
        for team in 0..limits.current.len() {
            let allowed = limits.max_allowed(team);
            self.checker.set_limit(&team_name(team), allowed);
        }
    }

    fn change(&self, drill: &Drill) -> Result<(), RunError> {
        let team = rand::rng().random_range(0..self.experiment.teams);
        let limit =
            self.mean_usage_cpus * rand::rng().random_range(drill.limit_from..=drill.limit_to);
        {
            let mut limits = self.limits();
            let previous = limits.current[team];
            limits.replaced[team].push((Instant::now(), previous));
            limits.current[team] = limit.round();
        }
        self.update_checker();
        self.change_count.fetch_add(1, Ordering::Relaxed);
        self.write()
    }

    async fn run(self, drill: Drill) {
        let period = Duration::from_secs_f64(1.0 / drill.changes_per_s);
        let mut interval = tokio::time::interval(period);
        while !self.is_stopped.load(Ordering::Relaxed) {
            interval.tick().await;
            if let Err(error) = self.change(&drill) {
                eprintln!("dalelb-load-test: {error}");
            }
        }
    }

    /// Records the start or the end of a partition. Limits that were in force at its start may remain in force in the
    /// partitioned region until `grace_period` after its end.
    fn mark_partitioned(&self, partitioned: bool) {
        if partitioned {
            self.limits().partitioned_since = Some(Instant::now());
        } else {
            let changer = self.clone();
            let grace_period = self.limits().grace_period;
            tokio::spawn(async move {
                tokio::time::sleep(grace_period).await;
                changer.limits().partitioned_since = None;
            });
        }
    }
}

/// Counters summed over all regions at one point in time.
struct CounterTotals {
    at: Instant,
    usages: Vec<Usage>,
    starts: u64,
    messages: u64,
    bytes: u64,
    inter_region_bytes: u64,
}

impl CounterTotals {
    fn of(run: &Run) -> Self {
        let controllers = run.regions.iter().flat_map(|region| &region.controllers);
        let mut totals = CounterTotals {
            at: Instant::now(),
            usages: controllers.map(|controller| controller.usage()).collect(),
            starts: run.checker.start_count(),
            messages: 0,
            bytes: 0,
            inter_region_bytes: 0,
        };
        for region in &run.regions {
            let traffic = region.fleet.traffic();
            for (messages, bytes) in [traffic.reports.totals(), traffic.commands.totals()] {
                totals.messages += messages;
                totals.bytes += bytes;
            }
            let links = region.inter_region_links.iter();
            totals.inter_region_bytes += links
                .map(|(_, link)| link.connections_and_bytes().1)
                .sum::<u64>();
        }
        totals
    }
}

/// Reads the log files of the controllers incrementally; holds the offset up to which each was read.
#[derive(Default)]
struct LogReader {
    read_offsets: HashMap<PathBuf, usize>,
}

impl LogReader {
    /// Propagation delays in milliseconds of the quota changes logged as in force since the last call.
    fn propagation_delays(&mut self, run: &Run) -> Histogram<u64> {
        let mut delays = Histogram::new(3).expect("three digits are allowed");
        for controller in run.regions.iter().flat_map(|region| &region.controllers) {
            let text = fs::read_to_string(&controller.log).unwrap_or_default();
            let offset = self.read_offsets.entry(controller.log.clone()).or_default();
            let appended = text.get(*offset..).unwrap_or_default();
            *offset = text.len();
            for line in appended
                .lines()
                .filter(|line| line.contains(IN_FORCE_LOG_PREFIX))
            {
                let took_ms = line.split("took_ms=").nth(1);
                let took_ms = took_ms.and_then(|rest| rest.split(' ').next());
                let took_ms: Option<u64> = took_ms.and_then(|text| text.parse().ok());
                invariants::record(&mut delays, took_ms.unwrap_or(0));
            }
        }
        delays
    }
}

/// Teams whose latest quota is not in force in some region, summed over regions.
async fn count_lagging_teams(run: &Run) -> f64 {
    let mut sum = 0.0;
    for region in &run.regions {
        let Some(leader) = region.leader().await else {
            continue;
        };
        if let Some(metrics) = region.metrics(leader).await {
            sum += metrics.sum("dalelb_quota_behind{");
        }
    }
    sum
}

/// Runs the load for `length` and returns the figures of the phase.
async fn run_phase(
    run: &mut Run,
    changer: &QuotaChanger,
    logs: &mut LogReader,
    name: &str,
    length: Duration,
) -> Result<Phase, RunError> {
    run.checker.reset_latencies();
    let first = CounterTotals::of(run);
    let until = Instant::now() + length;
    while Instant::now() < until {
        run.run_for(Duration::from_secs(1)).await?;
        changer.update_checker();
    }
    let last = CounterTotals::of(run);
    let seconds = last.at.duration_since(first.at).as_secs_f64();
    let rate = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds;
    let workers = (run.experiment.workers * run.experiment.regions) as f64;
    let usages = first.usages.iter().zip(&last.usages);
    let busiest = usages.map(|(first, last)| (last.cpu_ms - first.cpu_ms) / seconds);
    let memory = last.usages.iter().map(|usage| usage.memory).sum::<u64>();
    let (urgent, other) = run.checker.start_latencies();
    let delays = logs.propagation_delays(run);
    Ok(Phase {
        name: name.to_owned(),
        seconds,
        starts: rate(first.starts, last.starts),
        urgent,
        other,
        busiest_cpu_ms: busiest.fold(0.0, f64::max),
        memory_mb: (memory + Usage::current_process().memory) as f64 / 1e6,
        messages_per_worker: rate(first.messages, last.messages) / workers,
        bytes_per_worker: rate(first.bytes, last.bytes) / workers,
        inter_region_bytes: rate(first.inter_region_bytes, last.inter_region_bytes),
        in_force: delays.len(),
        in_force_median_ms: delays.value_at_quantile(0.5),
        in_force_p99_ms: delays.value_at_quantile(0.99),
        in_force_worst_ms: delays.max(),
        lagging_teams: count_lagging_teams(run).await,
        violation_count: run.checker.violations().0,
    })
}

/// Starts or ends the partition of a region by partitioning or restoring all its inter-region links.
fn set_partitioned(run: &Run, region: usize, partitioned: bool) {
    for other in &run.regions {
        for (to, link) in &other.inter_region_links {
            if other.index == region || *to == region {
                link.set_partitioned(partitioned);
            }
        }
    }
}

/// Runs the drill on a run whose load is in a steady state.
pub async fn run_drill(run: &mut Run, drill: &Drill) -> Result<DrillFigures, RunError> {
    let changer = QuotaChanger::new(run, drill);
    changer.write()?;
    let mut logs = LogReader::default();
    let steady = Duration::from_secs_f64(drill.steady_s);
    // The initial limits have to be in force everywhere before usage is checked against them.
    run.run_for(Duration::from_secs_f64(drill.replaced_s))
        .await?;
    logs.propagation_delays(run);
    tokio::spawn(changer.clone().run(drill.clone()));
    let last_region = run.regions.len() - 1;
    let mut figures = DrillFigures {
        workers: run.experiment.workers * run.experiment.regions,
        ..DrillFigures::default()
    };
    let mut phases = Vec::new();
    phases.push(run_phase(run, &changer, &mut logs, "steady", steady).await?);
    changer.mark_partitioned(true);
    set_partitioned(run, 1, true);
    let length = Duration::from_secs_f64(drill.cut_s);
    phases.push(run_phase(run, &changer, &mut logs, "a region cut off", length).await?);
    set_partitioned(run, 1, false);
    changer.mark_partitioned(false);
    phases.push(run_phase(run, &changer, &mut logs, "mended", steady).await?);
    figures.takeover_s = run.kill_leader(last_region).await?;
    phases.push(run_phase(run, &changer, &mut logs, "a leader has ended", steady).await?);
    let region = &run.regions[last_region];
    let rack: Vec<String> = region.fleet.names().into_iter().take(drill.rack).collect();
    region.fleet.delete_workers(&rack, &*run.checker);
    phases.push(run_phase(run, &changer, &mut logs, "a rack is gone", steady).await?);
    changer.is_stopped.store(true, Ordering::Relaxed);
    phases.push(run_phase(run, &changer, &mut logs, "no more changes", steady).await?);
    figures.changes = changer.change_count.load(Ordering::Relaxed);
    figures.lagging_teams_at_end = count_lagging_teams(run).await;
    figures.phases = phases;
    Ok(figures)
}

#[cfg(test)]
mod tests;
