//! A generated history: the requests and faults of each second, and the checks at its end.

use super::*;

/// Counts of what happened in a history, in this order: relayed requests that succeeded, freezes of
/// leaders, resignations of leaders, starts of tasks with dependencies, records under several keys,
/// writes refused for their size, users rejected with a time to retry, processes restarted within a
/// second, late duplicates of messages, and the faults that [`SimulatedCluster`] counts.
pub(crate) type FaultCounts = [usize; 17];

/// Runs one second of a history with faults: jobs are submitted, polled and cancelled. `number` is
/// the number of the last job.
pub(crate) fn troubled_second(world: &mut SimulatedCluster, second: u64, number: &mut u64) {
    world.run_until((second + 1) * 1000);
    if second % 4 == 0 {
        *number += 1;
        let spec = world.random_dag_stage(*number);
        world.submit(spec);
    }
    if world.is_flooding(second) {
        for _ in 0..world.rng.random_range(20..60) {
            *number += 1;
            let spec = world.small_task(*number);
            world.submit(spec);
        }
    }
    // Many cancellations while the state service refuses the leader and soon all nodes.
    let cancelled = if world.state_service_outage.is_some() {
        0.1
    } else {
        0.008
    };
    let ids: Vec<JobId> = world.jobs.keys().copied().collect();
    for id in ids {
        // Users of a flood's jobs send a request now and then, and after a rejection at the time
        // given.
        if world.flood_jobs.contains(&id) && !world.may_retry(id) {
            continue;
        }
        if world.rng.random_bool(0.2) {
            world.send_request(id, ApiRequest::Poll(id));
        }
        let (spec, told) = &world.jobs[&id];
        let retry = (!told.accepted).then(|| Box::new(spec.clone()));
        if let Some(spec) = retry {
            world.send_request(id, ApiRequest::Submit(spec));
        } else if world.rng.random_bool(cancelled) {
            world.send_request(id, ApiRequest::Cancel(id));
        }
    }
    world.count_replicas();
    if world.seed % 5 == 1 && second == 40 {
        world.refuse_all_state_requests();
    }
    if second > 10 && world.rng.random_bool(0.12) {
        world.inject_random_fault();
    }
}

/// The result of a history.
pub(crate) struct Played {
    pub(crate) seen: FaultCounts,
    /// Digest of all effects of the nodes, comparable within one version of the code.
    pub(crate) trace: u64,
    /// Digest of all messages sent, comparable between versions.
    pub(crate) sent: u64,
}

/// Runs the history of a seed and checks the invariants.
#[expect(clippy::too_many_lines, reason = "still to be split")]
pub(crate) fn run_history(seed: u64) -> Played {
    let mut world = SimulatedCluster::new(seed);
    let mut number = 0;
    for second in 0..180 {
        troubled_second(&mut world, second, &mut number);
    }
    // After the last fault every array job completes, given free capacity.
    world.faults_enabled = false;
    world.frozen_until.fill(0);
    for each in 0..NODE_COUNT {
        if world.nodes[each].is_none() {
            world.boot(each);
        }
    }
    // A team at its limit needs up to three minutes to complete its queued jobs.
    for second in 180..420 {
        world.run_until((second + 1) * 1000);
        // The last fault, a zone partitioned for twice the cancellation bound, ends at 300 s.
        if second >= 330 && second % 10 == 0 {
            world.assert_users_answered();
        }
        let ids: Vec<JobId> = world.jobs.keys().copied().collect();
        for id in ids {
            let flood = second < 400 && world.flood_jobs.contains(&id);
            if second % 5 != 0 || flood && !world.may_retry(id) {
                continue;
            }
            let (spec, told) = &world.jobs[&id];
            // Services would use up their team's limit forever, also a service whose acceptance was
            // lost on its way to the user.
            let cancel = spec.kind == JobKind::Service && told.cancelled_at.is_none();
            let ask = match told.accepted {
                false => ApiRequest::Submit(Box::new(spec.clone())),
                true if cancel => ApiRequest::Cancel(id),
                true => ApiRequest::Poll(id),
            };
            world.send_request(id, ask);
        }
    }
    assert!(
        world.starts > 20,
        "nothing_ran: only {} tasks started",
        world.starts
    );
    for (id, (spec, told)) in &world.jobs {
        let cancelled = world
            .dependencies(*id)
            .any(|id| world.jobs[&id].1.asked_to_cancel);
        if spec.kind == JobKind::Array && !cancelled {
            assert_eq!(
                told.last,
                Some(JobStatus::Done),
                "job {id} of team {} did not complete; tasks of red: {:?}, of blue: {:?}",
                spec.team,
                world.task_locations("red"),
                world.task_locations("blue"),
            );
        }
    }
    world.assert_admissions_within_capacity();
    // Of the replicas that its limit allows, each team gets at least half of the time.
    for (asked, up) in world.replica_seconds {
        assert!(
            asked < 100 || up * 2 >= asked,
            "replicas ran for {up} of {asked} requested seconds"
        );
    }
    let split = world.jobs.values().filter(|(spec, _)| spec.types.is_some());
    let seen = [
        world.relayed_successes,
        world.leader_freezes,
        world.resignations,
        world.dependent_starts,
        split.count(),
        world.oversized_writes,
        world.rejections,
        world.quick_restarts,
        world.duplicated_messages,
        world.delayed_writes_applied,
        world.duplicated_reports,
        world.dropped_messages,
        world.lost_replies_by_kind.values().sum(),
        world.replayed_reports,
        world.answered_consistency_checks,
        world.undelivered_reports,
        world.messages_held_by_hung_workers,
    ];
    Played {
        seen,
        trace: world.trace.finish(),
        sent: world.sent.digest(),
    }
}

/// Initializes logging. `LOG_LEVEL` sets the level of the nodes' log lines, to analyse a violated
/// invariant.
pub(crate) fn logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".into());
    let _ = tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::new(level))
        .with_test_writer()
        .without_time()
        .try_init();
}
