//! The costs, in seconds, of placing a task on a machine and of stopping an attempt.

use crate::{
    cluster::{Attempt, ClusterState, ESTIMATE_MARGIN, Job, Machine, Phase},
    protocol::job::JobKind,
    time::Millis,
};

/// The cost of undoing a start objective that a task has met, in seconds of an array task's work.
const MISSED_START_COST_S: f64 = 30.0;
/// The same for a completion objective: an array is done only with its last task. At 30 s, most
/// arrays that completed late had lost a task that had run for a minute or more to a replica that
/// would otherwise have fetched its image.
const MISSED_COMPLETION_COST_S: f64 = 120.0;
/// The factor by which estimated fetch times are raised: actual rates differ from the rate of the
/// machine's type by up to a third.
const FETCH_TIME_MARGIN: f64 = 1.33;
/// How long a start takes in addition to fetching the image, in seconds.
const TASK_START_OVERHEAD_S: f64 = 0.2;

/// Whether the task would meet its tightest start objective on the machine, given the time that its
/// image takes to fetch. Also true for a task without start objectives, and for one that is late
/// already: it takes any machine.
pub(super) fn meets_start_objective(
    cluster: &ClusterState,
    job: &Job,
    machine: &Machine,
    now: Millis,
) -> bool {
    let Some(objective_s) = cluster.objectives[job.class.as_usize()].tightest_start_s() else {
        return true;
    };
    let remaining_s = objective_s - now.saturating_sub(job.first_seen_at) as f64 / 1000.0;
    let fetch_s = image_fetch_s(cluster, job, machine);
    remaining_s < 0.0
        || fetch_s == 0.0
        || fetch_s * FETCH_TIME_MARGIN + TASK_START_OVERHEAD_S <= remaining_s
}

/// The score of a machine for a task of the job; lower is better. It is in seconds: terms that are
/// not times are weighted by their equivalent in seconds.
pub(super) fn placement_score(
    cluster: &ClusterState,
    job: &Job,
    machine: &Machine,
    now: Millis,
) -> f64 {
    let machine_type = &cluster.machine_types[machine.machine_type.as_usize()];
    let fetch_s = image_fetch_s(cluster, job, machine);
    let free = cluster.free_resources(machine);
    let free_fraction = if cluster.shares_gpus() && machine_type.gpus > 0.0 {
        (free.gpus - job.requested.gpus) / machine_type.gpus
    } else {
        (free.cpus - job.requested.cpus) / machine_type.cpus.max(1.0)
    };
    // Machines that are not spot are kept for tasks that may run nowhere else.
    let on_demand_cost_s = if job.spot && !machine.spot { 3.0 } else { 0.0 };
    // Replicas of a service are spread over zones further than they have to be, so that the loss of
    // a zone affects fewer of them.
    let zone_cost_s = if job.kind == JobKind::Service {
        0.3 * f64::from(job.active_by_zone[machine.zone.as_usize()])
    } else {
        0.0
    };
    // Arrays can wait for an image; a loose packing costs them more, since machines then never
    // become empty.
    let (fetch_weight, packing_weight, late_cost_s) = match job.kind {
        JobKind::Array | JobKind::Gang => (0.3, 3.0, 2.0),
        JobKind::Service => (1.0, 1.0, 6.0),
    };
    let late_cost_s = if meets_start_objective(cluster, job, machine, now) {
        0.0
    } else {
        late_cost_s
    };
    fetch_weight * fetch_s
        + packing_weight * free_fraction
        + on_demand_cost_s
        + zone_cost_s
        + late_cost_s
}

/// How long the machine would take to fetch the job's image, in seconds. Half of the full time is
/// assumed if an attempt there is waiting for the same image.
pub(super) fn image_fetch_s(cluster: &ClusterState, job: &Job, machine: &Machine) -> f64 {
    if machine.has_image(job.image) {
        return 0.0;
    }
    let machine_type = &cluster.machine_types[machine.machine_type.as_usize()];
    let already_fetching = machine
        .attempts
        .iter()
        .filter(|attempt| attempt.phase <= Phase::Fetching)
        .any(|attempt| cluster.job(attempt.job).image == job.image);
    let full_fetch_s = job.image_gb / machine_type.fetch_gb_per_s.max(0.01);
    if already_fetching {
        full_fetch_s * 0.5
    } else {
        full_fetch_s
    }
}

/// The cost of stopping the attempt without time to save, in seconds of its work.
pub(super) fn immediate_stop_cost_s(cluster: &ClusterState, attempt: &Attempt, now: Millis) -> f64 {
    let job = cluster.job(attempt.job);
    let ran_s = elapsed_run_s(attempt, now);
    let lost_s = if job.checkpoint_s > 0.0 {
        ran_s % job.checkpoint_s
    } else {
        ran_s
    };
    lost_s + missed_objective_cost_s(cluster, attempt, now)
}

/// The cost of stopping the attempt with time to save, in seconds of one task.
pub(super) fn graceful_stop_cost_s(cluster: &ClusterState, attempt: &Attempt, now: Millis) -> f64 {
    let job = cluster.job(attempt.job);
    let lost_s = if job.checkpoint_s > 0.0 {
        // The task saves its state before it stops.
        job.save_s
    } else {
        elapsed_run_s(attempt, now)
    };
    lost_s + missed_objective_cost_s(cluster, attempt, now)
}

/// How long the attempt has run, in seconds.
pub(super) fn elapsed_run_s(attempt: &Attempt, now: Millis) -> f64 {
    let ran_ms = attempt.running_since.map(|since| now.saturating_sub(since));
    ran_ms.map_or(0.0, |ran_ms| ran_ms as f64 / 1000.0)
}

/// The cost, in seconds of the attempt's work, of the objectives that it meets and that another
/// attempt, placed now, would miss. Start objectives count only for an attempt that started
/// recently: a start that is soon undone is of no use to the user.
fn missed_objective_cost_s(cluster: &ClusterState, attempt: &Attempt, now: Millis) -> f64 {
    const RECENT_START_S: f64 = 30.0;
    let job = cluster.job(attempt.job);
    let since_first_seen_s = |at: Millis| at.saturating_sub(job.first_seen_at) as f64 / 1000.0;
    let (placed_s, retry_s, ran_s) = (
        since_first_seen_s(attempt.placed_at),
        since_first_seen_s(now),
        elapsed_run_s(attempt, now),
    );
    let start_objectives_s = &cluster.objectives[job.class.as_usize()].start_s;
    let start_objectives_s = if ran_s < RECENT_START_S {
        &start_objectives_s[..]
    } else {
        &[]
    };
    let missed_starts = start_objectives_s
        .iter()
        .filter(|objective_s| placed_s <= **objective_s && retry_s > **objective_s);
    // The next attempt is expected to take as long as was estimated, or as long as this one has
    // run, if that is longer. With checkpoints it has to do only the rest of the work.
    let expected_run_s = job.estimate_s * ESTIMATE_MARGIN;
    let overrun_s = if job.checkpoint_s > 0.0 {
        0.0
    } else {
        (ran_s - expected_run_s).max(0.0)
    };
    let missed_completions = job.completion_slacks_s.iter().filter(|slack_s| {
        placed_s <= **slack_s
            && retry_s < **slack_s + expected_run_s
            && retry_s + overrun_s > **slack_s
    });
    let fair_share_cost_s = if attempt.placed_for_fair_share {
        MISSED_START_COST_S
    } else {
        0.0
    };
    MISSED_START_COST_S * missed_starts.count() as f64
        + MISSED_COMPLETION_COST_S * missed_completions.count() as f64
        + fair_share_cost_s
}
