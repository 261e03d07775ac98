//! A generated history: what happens in each of its seconds, and what it came to.

use super::*;

/// What happened in a history: relayed requests that were answered, leaders that stood still, and that
/// resigned, starts of tasks that had to wait for other jobs, records under several keys, writes
/// refused for their size, users sent away with a turn, ends that were back within a second, late copies, and
/// the troubles that `World` counts.
pub(crate) type FaultCounts = [usize; 17];

/// One second of a history in which things fail: jobs are submitted, asked for and cancelled. `number` is that of
/// the last job.
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
    // Many while the state service refuses the leader alone, and soon everybody.
    let cancelled = if world.state_service_outage.is_some() {
        0.1
    } else {
        0.008
    };
    let ids: Vec<JobId> = world.jobs.keys().copied().collect();
    for id in ids {
        // Those of a flood ask now and then, and come back when they were told to.
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

/// What a history comes to.
pub(crate) struct Played {
    pub(crate) seen: FaultCounts,
    /// Of all that was decided, comparable within one version of the code.
    pub(crate) trace: u64,
    /// Of all that was sent, comparable between versions.
    pub(crate) sent: u64,
}

/// Plays a history.
#[expect(clippy::too_many_lines, reason = "still to be split")]
pub(crate) fn run_history(seed: u64) -> Played {
    let mut world = SimulatedCluster::new(seed);
    let mut number = 0;
    for second in 0..180 {
        troubled_second(&mut world, second, &mut number);
    }
    // Once nothing fails any more, every array completes, given room.
    world.faults_enabled = false;
    world.frozen_until.fill(0);
    for each in 0..NODE_COUNT {
        if world.nodes[each].is_none() {
            world.boot(each);
        }
    }
    // A team at its limit works off what has piled up in up to three minutes.
    for second in 180..420 {
        world.run_until((second + 1) * 1000);
        // The last trouble, a zone cut off for twice what a cancellation may take, ends at 300 s.
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
            // Services would hold their team's limit for good, also one whose acceptance was lost
            // on its way to the user.
            let cancel = spec.kind == JobKind::Service && told.cancelled_at.is_none();
            let ask = match told.accepted {
                false => ApiRequest::Submit(Box::new(spec.clone())),
                true if cancel => ApiRequest::Cancel(id),
                true => ApiRequest::Poll(id),
            };
            world.send_request(id, ask);
        }
    }
    assert!(world.starts > 20, "nothing_ran: {} starts", world.starts);
    for (id, (spec, told)) in &world.jobs {
        let cancelled = world
            .dependencies(*id)
            .any(|id| world.jobs[&id].1.asked_to_cancel);
        if spec.kind == JobKind::Array && !cancelled {
            assert_eq!(
                told.last,
                Some(JobStatus::Done),
                "{id} of {} never ended: {:?}, {:?}",
                spec.team,
                world.task_locations("red"),
                world.task_locations("blue"),
            );
        }
    }
    world.assert_admissions_within_capacity();
    // The least served team, of what its limit allows.
    for (asked, up) in world.replica_seconds {
        assert!(
            asked < 100 || up * 2 >= asked,
            "replicas were up for {up} of {asked} s"
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

/// `LOG_LEVEL` shows what the nodes say, to explain a broken rule.
pub(crate) fn logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".into());
    let _ = tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::new(level))
        .with_test_writer()
        .without_time()
        .try_init();
}
