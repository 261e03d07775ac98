//! A generated history: the requests and faults of each second, and the checks at its end.

use super::*;

/// Counts of what happened in a history, in this order: relayed requests that succeeded, freezes of
/// leaders, resignations of leaders, starts of tasks with dependencies, records under several keys,
/// writes refused for their size, users rejected with a time to retry, processes restarted within a
/// second, late duplicates of messages, and the faults that [`SimulatedCluster`] counts.
pub(crate) type FaultCounts = [usize; 17];

/// Runs one second of a history with faults: jobs are submitted, polled and cancelled. `number` is
/// the number of the last job.
pub(crate) fn run_second_with_faults(
    cluster: &mut SimulatedCluster,
    second: u64,
    number: &mut u64,
) {
    cluster.run_until((second + 1) * 1000);
    if second % 4 == 0 {
        *number += 1;
        let spec = cluster.random_dependent_job(*number);
        cluster.submit(spec);
    }
    if cluster.is_flooding(second) {
        for _ in 0..cluster.rng.random_range(20..60) {
            *number += 1;
            let spec = cluster.flood_job(*number);
            cluster.submit(spec);
        }
    }
    // Many cancellations while the state service refuses the leader and soon all nodes.
    let cancel_probability = if cluster.state_service_outage.is_some() {
        0.1
    } else {
        0.008
    };
    let ids: Vec<JobId> = cluster.jobs.keys().copied().collect();
    for id in ids {
        // Users of a flood's jobs send a request now and then, and after a rejection at the time
        // given.
        if cluster.flood_jobs.contains(&id) && !cluster.may_retry(id) {
            continue;
        }
        if cluster.rng.random_bool(0.2) {
            cluster.send_request(id, ApiRequest::Poll(id));
        }
        let (spec, user_view) = &cluster.jobs[&id];
        let retry = (!user_view.accepted).then(|| Box::new(spec.clone()));
        if let Some(spec) = retry {
            cluster.send_request(id, ApiRequest::Submit(spec));
        } else if cluster.rng.random_bool(cancel_probability) {
            cluster.send_request(id, ApiRequest::Cancel(id));
        }
    }
    cluster.count_replicas();
    if cluster.seed % 5 == 1 && second == 40 {
        cluster.refuse_all_state_requests();
    }
    if second > 10 && cluster.rng.random_bool(0.12) {
        cluster.inject_random_fault();
    }
}

/// The result of a history.
pub(crate) struct HistoryResult {
    pub(crate) fault_counts: FaultCounts,
    /// Digest of all effects of the nodes, comparable within one version of the code.
    pub(crate) effects_digest: u64,
    /// Digest of all messages sent, comparable between versions.
    pub(crate) sent_digest: u64,
}

/// Runs the history of a seed and checks the invariants.
#[expect(clippy::too_many_lines, reason = "still to be split")]
pub(crate) fn run_history(seed: u64) -> HistoryResult {
    let mut cluster = SimulatedCluster::new(seed);
    let mut number = 0;
    for second in 0..180 {
        run_second_with_faults(&mut cluster, second, &mut number);
    }
    // After the last fault every array job completes, given free capacity.
    cluster.faults_enabled = false;
    cluster.frozen_until.fill(0);
    for node in 0..NODE_COUNT {
        if cluster.nodes[node].is_none() {
            cluster.boot(node);
        }
    }
    // A team at its limit needs up to three minutes to complete its queued jobs.
    for second in 180..420 {
        cluster.run_until((second + 1) * 1000);
        // The last fault, a zone partitioned for twice the cancellation bound, ends at 300 s.
        if second >= 330 && second % 10 == 0 {
            cluster.assert_users_got_responses();
        }
        let ids: Vec<JobId> = cluster.jobs.keys().copied().collect();
        for id in ids {
            let is_flood = second < 400 && cluster.flood_jobs.contains(&id);
            if second % 5 != 0 || is_flood && !cluster.may_retry(id) {
                continue;
            }
            let (spec, user_view) = &cluster.jobs[&id];
            // Services would use up their team's limit forever, also a service whose acceptance was
            // lost on its way to the user.
            let cancel = spec.kind == JobKind::Service && user_view.cancelled_at.is_none();
            let request = match user_view.accepted {
                false => ApiRequest::Submit(Box::new(spec.clone())),
                true if cancel => ApiRequest::Cancel(id),
                true => ApiRequest::Poll(id),
            };
            cluster.send_request(id, request);
        }
    }
    assert!(
        cluster.starts > 20,
        "nothing_ran: only {} tasks started",
        cluster.starts
    );
    for (id, (spec, user_view)) in &cluster.jobs {
        let cancelled = cluster
            .dependencies(*id)
            .any(|id| cluster.jobs[&id].1.cancel_requested);
        if spec.kind == JobKind::Array && !cancelled {
            assert_eq!(
                user_view.last_status,
                Some(JobStatus::Done),
                "job {id} of team {} did not complete; tasks of red: {:?}, of blue: {:?}",
                spec.team,
                cluster.task_locations("red"),
                cluster.task_locations("blue"),
            );
        }
    }
    cluster.assert_admissions_within_capacity();
    // Of the replicas that its limit allows, each team gets at least half of the time.
    for (requested, running) in cluster.replica_seconds {
        assert!(
            requested < 100 || running * 2 >= requested,
            "replicas ran for {running} of {requested} requested seconds"
        );
    }
    let split_records = cluster
        .jobs
        .values()
        .filter(|(spec, _)| spec.types.is_some());
    let fault_counts = [
        cluster.relayed_successes,
        cluster.leader_freezes,
        cluster.resignations,
        cluster.dependent_starts,
        split_records.count(),
        cluster.oversized_writes,
        cluster.rejections,
        cluster.quick_restarts,
        cluster.duplicated_messages,
        cluster.delayed_writes_applied,
        cluster.duplicated_reports,
        cluster.dropped_messages,
        cluster.lost_replies_by_kind.values().sum(),
        cluster.replayed_reports,
        cluster.answered_consistency_checks,
        cluster.undelivered_reports,
        cluster.messages_held_by_hung_workers,
    ];
    HistoryResult {
        fault_counts,
        effects_digest: cluster.effects_digest.finish(),
        sent_digest: cluster.sent_digest.digest(),
    }
}

/// Initializes logging. `LOG_LEVEL` sets the level of the nodes' log lines, to analyse a violated
/// invariant.
pub(crate) fn init_logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".into());
    let _ = tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::new(level))
        .with_test_writer()
        .without_time()
        .try_init();
}
