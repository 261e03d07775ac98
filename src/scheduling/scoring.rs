//! What it costs to place a task on a machine, and to stop an attempt, in seconds.

use crate::{
    cluster::{Attempt, ClusterState, ESTIMATE_MARGIN, Job, Machine, Phase},
    protocol::job::JobKind,
    time::Millis,
};

/// Seconds of an array task's work that a start objective is worth which the task has met.
const MISSED_START_COST_S: f64 = 30.0;
/// The same for a completion objective: an array is done with its last task. At 30 s most arrays that
/// ended late had lost a task that had run for a minute or more to a replica that would have fetched
/// its image otherwise.
const MISSED_COMPLETION_COST_S: f64 = 120.0;
/// Machines fetch images at the rate of their type, give or take a third.
const FETCH_TIME_MARGIN: f64 = 1.33;
/// What a start takes besides, in seconds.
const TASK_START_OVERHEAD_S: f64 = 0.2;

/// Whether a task with a start objective would meet it there, given the time that its image takes. A
/// task that is late anyway takes what there is.
pub(super) fn meets_start_objective(
    cluster: &ClusterState,
    job: &Job,
    machine: &Machine,
    now: Millis,
) -> bool {
    let Some(within) = cluster.objectives[job.class.as_usize()].tightest_start_s() else {
        return true;
    };
    let left = within - now.saturating_sub(job.first_seen_at) as f64 / 1000.0;
    let fetch_s = image_fetch_s(cluster, job, machine);
    left < 0.0 || fetch_s == 0.0 || fetch_s * FETCH_TIME_MARGIN + TASK_START_OVERHEAD_S <= left
}

/// The score of a machine for a task of the job; lower is better. In seconds, or what is taken to be
/// worth as much.
pub(super) fn placement_score(
    cluster: &ClusterState,
    job: &Job,
    machine: &Machine,
    now: Millis,
) -> f64 {
    let kind = &cluster.machine_types[machine.machine_type.as_usize()];
    let fetch_s = image_fetch_s(cluster, job, machine);
    let room = cluster.free_resources(machine);
    let left = if cluster.shares_gpus() && kind.gpus > 0.0 {
        (room.gpus - job.requested.gpus) / kind.gpus
    } else {
        (room.cpus - job.requested.cpus) / kind.cpus.max(1.0)
    };
    // Ordinary machines are kept for work that may run nowhere else.
    let borrowed = if job.spot && !machine.spot { 3.0 } else { 0.0 };
    // Replicas of a service are spread further than they must be: a lost zone then takes fewer.
    let crowd = if job.kind == JobKind::Service {
        0.3 * f64::from(job.active_by_zone[machine.zone.as_usize()])
    } else {
        0.0
    };
    // Arrays can wait for an image; what they pay for is machines that never empty out.
    let (fetching, packing, late) = match job.kind {
        JobKind::Array | JobKind::Gang => (0.3, 3.0, 2.0),
        JobKind::Service => (1.0, 1.0, 6.0),
    };
    let late = if meets_start_objective(cluster, job, machine, now) {
        0.0
    } else {
        late
    };
    fetching * fetch_s + packing * left + borrowed + crowd + late
}

/// How long the job's image takes to get there, in seconds.
pub(super) fn image_fetch_s(cluster: &ClusterState, job: &Job, machine: &Machine) -> f64 {
    if machine.has_image(job.image) {
        return 0.0;
    }
    let kind = &cluster.machine_types[machine.machine_type.as_usize()];
    let shared = machine
        .attempts
        .iter()
        .filter(|a| a.phase <= Phase::Fetching)
        .any(|a| cluster.job(a.job).image == job.image);
    let whole = job.image_gb / kind.fetch_gb_per_s.max(0.01);
    if shared { whole * 0.5 } else { whole }
}

/// What it costs to stop the attempt at once, in seconds of its work.
pub(super) fn immediate_stop_cost_s(cluster: &ClusterState, attempt: &Attempt, now: Millis) -> f64 {
    let job = cluster.job(attempt.job);
    let ran = elapsed_run_s(attempt, now);
    let lost = if job.checkpoint_s > 0.0 {
        ran % job.checkpoint_s
    } else {
        ran
    };
    lost + missed_objective_cost_s(cluster, attempt, now)
}

/// What is lost if the attempt is told to stop now, in seconds of one task.
pub(super) fn graceful_stop_cost_s(cluster: &ClusterState, attempt: &Attempt, now: Millis) -> f64 {
    let job = cluster.job(attempt.job);
    let lost = if job.checkpoint_s > 0.0 {
        // It saves when it is stopped.
        job.save_s
    } else {
        elapsed_run_s(attempt, now)
    };
    lost + missed_objective_cost_s(cluster, attempt, now)
}

/// How long the attempt has run, in seconds.
pub(super) fn elapsed_run_s(attempt: &Attempt, now: Millis) -> f64 {
    let ran = attempt.running_since.map(|since| now.saturating_sub(since));
    ran.map_or(0.0, |ran| ran as f64 / 1000.0)
}

/// What the objectives are worth that the attempt meets and another one, begun now, would not, in
/// seconds of its work. A start that is undone soon was none for the user.
fn missed_objective_cost_s(cluster: &ClusterState, attempt: &Attempt, now: Millis) -> f64 {
    const RECENT_START_S: f64 = 30.0;
    let job = cluster.job(attempt.job);
    let since = |at: Millis| at.saturating_sub(job.first_seen_at) as f64 / 1000.0;
    let (placed, again, ran) = (
        since(attempt.placed_at),
        since(now),
        elapsed_run_s(attempt, now),
    );
    let starts = &cluster.objectives[job.class.as_usize()].start_s;
    let starts = if ran < RECENT_START_S {
        &starts[..]
    } else {
        &[]
    };
    let starts = starts
        .iter()
        .filter(|wait| placed <= **wait && again > **wait);
    // It takes as long as was estimated, or as it has run, if that is longer. Of work that is saved another
    // attempt needs the rest only.
    let usual = job.estimate_s * ESTIMATE_MARGIN;
    let over = if job.checkpoint_s > 0.0 {
        0.0
    } else {
        (ran - usual).max(0.0)
    };
    let ends = job
        .completion_slacks_s
        .iter()
        .filter(|wait| placed <= **wait && again < **wait + usual && again + over > **wait);
    let owed = if attempt.placed_for_fair_share {
        MISSED_START_COST_S
    } else {
        0.0
    };
    MISSED_START_COST_S * starts.count() as f64
        + MISSED_COMPLETION_COST_S * ends.count() as f64
        + owed
}
