//! Combinations of two faults, each injected on purpose: those listed in `docs/design.md`,
//! "Meetings of two troubles". Each test asserts that the combination occurred; the simulated
//! cluster checks the invariants at every start and response.

use super::*;

/// Seeds that select the worker timings and state service limits: of the first deployments, slow,
/// and fast.
const HISTORY_SEEDS: [u64; 4] = [0, 8, 10, 16];

fn for_team_red(spec: Submission) -> Submission {
    Submission {
        team: "red".into(),
        ..spec
    }
}

/// Returns a job of short tasks, of a team without a limit.
fn short_job(cluster: &mut SimulatedCluster, number: u64, tasks: u32, seconds: f64) -> Submission {
    Submission {
        estimate_s: seconds,
        cpus: 0.25,
        ram_gb: 0.5,
        ..cluster.long_array(number, tasks)
    }
}

/// Returns a cluster with eight machines and a leader.
fn cluster_with_leader(seed: u64) -> SimulatedCluster {
    init_logging();
    let mut cluster = small_fleet(seed);
    cluster.run_until(8000);
    cluster
}

fn leader_index(cluster: &SimulatedCluster) -> usize {
    cluster.leader.expect("a node leads")
}

/// Ends the leader's process, restarts it after `pause` milliseconds, and returns its index.
fn end_leader(cluster: &mut SimulatedCluster, pause: u64) -> usize {
    let old_leader = leader_index(cluster);
    cluster.stop_process(old_leader, pause);
    old_leader
}

/// Runs until all array jobs are done or cancelled, with their users polling. Panics after `within`
/// milliseconds.
fn run_until_jobs_end(cluster: &mut SimulatedCluster, within: u64) {
    let until = cluster.now + within;
    while cluster.now < until {
        cluster.run_until(cluster.now + 1000);
        let unfinished = |user_view: &UserView| {
            !matches!(
                user_view.last_status,
                Some(JobStatus::Done | JobStatus::Cancelled)
            )
        };
        let unfinished: Vec<JobId> = cluster
            .jobs
            .iter()
            .filter(|(_, (spec, user_view))| spec.kind == JobKind::Array && unfinished(user_view))
            .map(|(id, _)| *id)
            .collect();
        if unfinished.is_empty() {
            return;
        }
        for id in unfinished {
            let (spec, user_view) = &cluster.jobs[&id];
            let request = match user_view.accepted {
                true => ApiRequest::Poll(id),
                false => ApiRequest::Submit(Box::new(spec.clone())),
            };
            cluster.send_request(id, request);
        }
    }
    let unfinished: Vec<_> = cluster
        .jobs
        .iter()
        .filter(|(_, (_, user_view))| {
            !matches!(
                user_view.last_status,
                Some(JobStatus::Done | JobStatus::Cancelled)
            )
        })
        .map(|(id, (_, user_view))| (*id, user_view.last_status, user_view.last_response_at))
        .collect();
    panic!("jobs without an end: {unfinished:?}, at {} ms", cluster.now);
}

/// Returns how many jobs have `status` by the last response to their users.
fn jobs_reported_as(cluster: &SimulatedCluster, status: JobStatus) -> usize {
    let all = cluster.jobs.values();
    all.filter(|(_, user_view)| user_view.last_status == Some(status))
        .count()
}

/// Returns the running tasks of a job, with attempt and worker.
fn running_tasks_of_job(cluster: &SimulatedCluster, number: u64) -> BTreeMap<TaskId, (u64, usize)> {
    let mut running = cluster.running();
    running.retain(|task, _| task.job == JobId(number));
    running
}

/// Returns the workers of a zone.
fn workers_in_zone<'a>(
    cluster: &'a mut SimulatedCluster,
    zone: &'a str,
) -> impl Iterator<Item = &'a mut Worker> {
    cluster.workers.iter_mut().filter(move |w| w.zone == zone)
}

/// Guards against stale reads. Users poll and submit again at all nodes within milliseconds after
/// each response with a new state (accepted, ended, cancelled); some cancel their jobs right after.
/// No response may be older than an earlier one, also while the state service is slow, loses
/// responses or applies transactions late, and while the leader ends.
#[test]
fn reads_at_all_nodes_are_linearizable() {
    for (number, seed) in HISTORY_SEEDS.into_iter().chain([1, 5]).enumerate() {
        for fault in 0..4 {
            let mut cluster = cluster_with_leader(seed);
            cluster.consistency_checks_until = FOREVER_MS;
            let until = cluster.now + 40_000;
            match fault {
                1 => cluster.slow_state_service_until = until,
                2 => cluster.lost_replies_until = until,
                3 => cluster.delayed_writes_until = until,
                _ => {}
            }
            for job in 1..=30u64 {
                let mut spec = short_job(&mut cluster, job, 1 + job as u32 % 3, 1.5);
                // A record under several keys, and a job that depends on another.
                if job % 10 == 3 {
                    spec.types = Some(
                        (0..60)
                            .map(|n| format!("{n:0>60}"))
                            .chain(["c16".into()])
                            .collect(),
                    );
                }
                if job % 10 == 5 {
                    spec.dependencies = vec![JobId(job - 1)];
                }
                cluster.submit(spec);
                cluster.run_until(cluster.now + 300);
                if job % 3 == 0 {
                    cluster.send_request(JobId(job), ApiRequest::Cancel(JobId(job)));
                }
                if job == 15 + number as u64 {
                    end_leader(&mut cluster, 50);
                }
            }
            run_until_jobs_end(&mut cluster, 120_000);
            let (done, cancelled) = (
                jobs_reported_as(&cluster, JobStatus::Done),
                jobs_reported_as(&cluster, JobStatus::Cancelled),
            );
            assert!(
                done >= 5 && cancelled >= 5,
                "only {done} jobs done, {cancelled} cancelled"
            );
            // Two requests at each of three nodes, at nine moments after each of two state changes
            // of thirty jobs.
            assert!(
                cluster.answered_consistency_checks > 1000,
                "seed {seed}, fault {fault}: only {} consistency checks",
                cluster.answered_consistency_checks
            );
        }
    }
}

/// Guards against writes that are taken for failed because their response was lost. For one kind of
/// transaction after the other, each is applied and its response lost, while users check its result at
/// all nodes, and the leader ends halfway. No response, start or release of resources may
/// rest on the assumption that the write failed, and all jobs must end.
#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn writes_with_lost_replies_are_neither_undone_nor_repeated() {
    // All kinds of transactions that a node sends.
    let kinds = [
        "PutJob",
        "CancelJob",
        "AcquireLeadership",
        "AppendLog",
        "WriteSnapshots",
        "RaiseTerm",
        "DeleteSnapshots",
        "WriteCancellations",
        "WriteMachineTypes",
        "WriteImages",
        "WriteAdmissionQuotas",
        "WriteProgress",
        "PutRenewerKey",
    ];
    for (number, kind) in kinds.into_iter().enumerate() {
        let large = ["WriteSnapshots", "DeleteSnapshots"].contains(&kind);
        // A small value limit makes the log long enough for snapshots.
        let seed = if large { 8 } else { [0, 1, 8][number % 3] };
        let mut cluster = small_fleet(seed);
        init_logging();
        cluster.lost_reply_kind = Some(kind);
        if kind == "WriteProgress" {
            // Only then the progress of jobs is written to the state service.
            cluster.mesh_unreachable_until = vec![60_000; NODE_COUNT];
        }
        cluster.run_until(12_000);
        if large {
            // More tasks than the leader writes to the log again, and more records than the log
            // ring should hold.
            let spec = Submission {
                cpus: 0.01,
                ram_gb: 0.01,
                ..cluster.long_array(200, 12_000)
            };
            cluster.submit(spec);
        }
        cluster.run_until(13_000);
        // The user of the large job does not check it, and so does not cancel it.
        cluster.consistency_checks_until = FOREVER_MS;
        for job in 1..=40u64 {
            let mut spec = short_job(&mut cluster, job, 1 + job as u32 % 2, 2.0);
            if job % 10 == 5 {
                // The leader stores the cancellation of dependent jobs.
                spec.dependencies = vec![JobId(job - 1)];
            }
            cluster.submit(spec);
            if job == 10 {
                // Starts without a response are reconciled with a higher fencing token.
                cluster.start_delay_ms = 4000;
            }
            if job == 14 {
                cluster.start_delay_ms = 0;
            }
            if job == 20 && kind == "PutRenewerKey" {
                // No node renews leases while none can verify that it may.
                cluster.lost_reply_kind = None;
            }
            if job == 30 && large {
                cluster.send_request(JobId(200), ApiRequest::Cancel(JobId(200)));
            }
            cluster.run_until(cluster.now + 300);
            if job % 4 == 0 {
                cluster.send_request(JobId(job), ApiRequest::Cancel(JobId(job)));
            }
            if job == 25 {
                end_leader(&mut cluster, 400);
            }
        }
        cluster.run_until(cluster.now + 40_000);
        let lost_replies = cluster.lost_replies_by_kind.get(kind).copied().unwrap_or(0);
        let rows = cluster
            .store
            .keys
            .keys()
            .filter(|key| key.starts_with("books/"));
        assert!(
            lost_replies > 0,
            "no {kind} lost its response: {:?}, {} leader records, {} starts",
            cluster.lost_replies_by_kind,
            rows.count(),
            cluster.starts
        );
        cluster.lost_reply_kind = None;
        if large {
            cluster.send_request(JobId(200), ApiRequest::Cancel(JobId(200)));
        }
        run_until_jobs_end(&mut cluster, 120_000);
        let checks = cluster.answered_consistency_checks;
        assert!(checks > 500, "{kind}: only {checks} consistency checks");
        // No task of a cancelled job is left, and no completed task was started again.
        cluster.run_until(cluster.now + 2 * cluster.timings.lease_ttl_ms + 20_000);
        assert!(
            cluster.running().is_empty(),
            "{kind}: tasks still run: {:?}",
            cluster.running()
        );
    }
}

/// How the machines of a zone become unreachable.
#[derive(Clone, Copy, Debug, PartialEq)]
enum IsolationKind {
    Partitioned,
    Hung,
    /// Heartbeats arrive; responses and commands are lost.
    InboundLost,
    /// Commands arrive; heartbeats are lost.
    OutboundLost,
}

fn isolate_zone(cluster: &mut SimulatedCluster, zone: &str, isolation: IsolationKind, until: u64) {
    for worker in workers_in_zone(cluster, zone) {
        match isolation {
            IsolationKind::Partitioned => worker.unreachable_until = until,
            IsolationKind::Hung => worker.hung_until = until,
            IsolationKind::InboundLost => worker.drops_inbound_until = until,
            IsolationKind::OutboundLost => worker.drops_outbound_until = until,
        }
    }
}

/// Guards against early reuse of a quota. A team is at its limit, and one of its jobs is cancelled
/// while some of the machines that run it are partitioned, hang, receive nothing or reach no node,
/// for less than a lease and for longer; the leader ends meanwhile. Their share of the limit must
/// not be used until the tasks have certainly stopped (each start is checked), and must be used
/// afterwards.
#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn cancelled_tasks_on_unreachable_machines_hold_quota_until_lease_expiry() {
    for seed in HISTORY_SEEDS {
        for isolation in [
            IsolationKind::Partitioned,
            IsolationKind::Hung,
            IsolationKind::InboundLost,
            IsolationKind::OutboundLost,
        ] {
            for beyond_lease in [false, true] {
                for leader_ends_first in [false, true] {
                    let mut cluster = cluster_with_leader(seed);
                    let WorkerTimings {
                        lease_ttl_ms: lease,
                        report_interval_ms: report,
                        cancellation_bound_ms: cancel,
                    } = cluster.timings;
                    let limit_tasks = (TEAM_CPU_LIMIT / 4.0) as u32;
                    let spec = for_team_red(cluster.long_array(1, limit_tasks));
                    cluster.submit(spec);
                    cluster.run_until(15_000);
                    assert_eq!(
                        running_tasks_of_job(&cluster, 1).len(),
                        limit_tasks as usize,
                        "seed {seed}"
                    );
                    let zones: Vec<String> = running_tasks_of_job(&cluster, 1)
                        .values()
                        .map(|(_, worker_index)| cluster.workers[*worker_index].zone.clone())
                        .collect();
                    let zone = zones[0].clone();
                    let isolated_tasks = zones.iter().filter(|each| **each == zone).count();
                    assert!(isolated_tasks > 0, "seed {seed}");
                    let until = if beyond_lease {
                        15_000 + 3 * lease
                    } else {
                        15_000 + lease / 2
                    };
                    isolate_zone(&mut cluster, &zone, isolation, until);
                    cluster.run_until(15_500);
                    if leader_ends_first {
                        end_leader(&mut cluster, 200);
                    }
                    for _ in 0..8 {
                        cluster.send_request(JobId(1), ApiRequest::Cancel(JobId(1)));
                        cluster.run_until(cluster.now + 1000);
                    }
                    assert!(
                        cluster.jobs[&JobId(1)].1.cancelled_at.is_some(),
                        "{isolation:?}, seed {seed}"
                    );
                    // As many tasks again: they need the whole limit.
                    let spec = for_team_red(cluster.long_array(2, limit_tasks));
                    cluster.submit(spec);
                    cluster.run_until(cluster.now + 300);
                    if !leader_ends_first {
                        end_leader(&mut cluster, 200);
                    }
                    cluster.run_until(until + cancel + lease + 4 * report + 20_000);
                    let running = running_tasks_of_job(&cluster, 2).len();
                    assert_eq!(
                        running, limit_tasks as usize,
                        "{isolation:?}, beyond lease: {beyond_lease}, leader ends first: {leader_ends_first}, seed {seed}"
                    );
                    assert!(
                        running_tasks_of_job(&cluster, 1).is_empty(),
                        "{isolation:?}, seed {seed}"
                    );
                }
            }
        }
    }
}

/// Guards against cancellations that are lost in a failover. Jobs are cancelled at all nodes, from
/// just before the leader ends, is refused by the state service or resigns, until its successor has
/// recovered the cluster state. Their tasks must stop in time, though direct stops are lost with
/// the old leader, and well before their leases could expire.
#[test]
fn cancellations_during_failover_stop_tasks_in_time() {
    for seed in HISTORY_SEEDS {
        for fault in 0..3 {
            let mut cluster = cluster_with_leader(seed);
            cluster.recovery_read_delay_ms = [0, 300, 900, 0][seed as usize % 4];
            let WorkerTimings {
                report_interval_ms: report,
                cancellation_bound_ms: cancel,
                ..
            } = cluster.timings;
            for job in 1..=40 {
                let mut spec = cluster.long_array(job, 1);
                spec.cpus = 1.0;
                cluster.submit(spec);
            }
            cluster.run_until(16_000);
            assert_eq!(cluster.running().len(), 40, "seed {seed}");
            let old_leader = leader_index(&cluster);
            let fault_at = cluster.now + 400;
            let mut fault_injected = false;
            for job in 1..=40 {
                cluster.run_until(15_800 + job * 200);
                cluster.send_request(JobId(job), ApiRequest::Cancel(JobId(job)));
                if cluster.now >= fault_at && !fault_injected {
                    fault_injected = true;
                    match fault {
                        0 => cluster.stop_process(old_leader, 300),
                        1 => {
                            cluster.state_service_refuses_until[old_leader] =
                                fault_at + cancel + 10_000
                        }
                        // A leader that its workers cannot reach resigns.
                        _ => {
                            cluster.workers_unreachable_until[old_leader] =
                                fault_at + cancel + 10_000
                        }
                    }
                }
            }
            for _ in 0..10 {
                cluster.run_until(cluster.now + 500);
                for job in 1..=40 {
                    if cluster.jobs[&JobId(job)].1.cancelled_at.is_none() {
                        cluster.send_request(JobId(job), ApiRequest::Cancel(JobId(job)));
                    }
                }
            }
            cluster.run_until(cluster.now + cancel);
            let confirmed = jobs_reported_as(&cluster, JobStatus::Cancelled);
            assert_eq!(confirmed, 40, "seed {seed}, {fault}");
            assert!(cluster.running().is_empty(), "seed {seed}, {fault}");
            if fault < 2 {
                assert_ne!(cluster.leader, Some(old_leader), "seed {seed}, {fault}");
            }
            // A takeover takes about 5 s; the workers of a partitioned leader find another node
            // within three attempts.
            let expected_bound = 2 * report + 20_000;
            assert!(
                cluster.max_run_after_cancel_ms < expected_bound.min(cancel),
                "seed {seed}, {fault}: {}",
                cluster.max_run_after_cancel_ms
            );
        }
    }
}

/// Guards against second starts on machines that only the old leader knew. Machines are
/// provisioned, boot in half a second and get work immediately, writes are applied late, and the
/// leader ends: immediately, and up to several seconds later. The successor finds the machines
/// neither in the log nor in the cloud's list. The tasks that they may run must not be started
/// again, and all tasks must run in the end.
#[test]
fn successor_recovers_new_machines_despite_delayed_writes() {
    let mut unknown_machines = 0;
    for seed in HISTORY_SEEDS {
        for delay_step in 0..12u64 {
            let mut cluster = SimulatedCluster::new(seed);
            init_logging();
            cluster.faults_enabled = false;
            cluster.run_until(8000);
            let before = cluster.workers.len();
            cluster.delayed_writes_until = FOREVER_MS;
            let mut spec = cluster.long_array(1, 8);
            spec.cpus = 16.0;
            cluster.submit(spec);
            let submitted_at = cluster.now;
            while cluster.workers.len() == before && cluster.now < submitted_at + 20_000 {
                cluster.run_until(cluster.now + 25);
            }
            assert!(
                cluster.workers.len() > before,
                "seed {seed}: no machine was provisioned"
            );
            cluster.run_until(cluster.now + 25 + delay_step * delay_step * 60);
            end_leader(&mut cluster, 100);
            let is_listed = |w: &Worker| w.booted_at + 6000 <= cluster.now;
            unknown_machines += cluster.workers[before..]
                .iter()
                .filter(|w| !is_listed(w))
                .count();
            cluster.delayed_writes_until = cluster.now + 30_000;
            let wait_ms = 4 * cluster.timings.lease_ttl_ms + 60_000;
            cluster.run_until(cluster.now + wait_ms);
            assert_eq!(cluster.running().len(), 8, "seed {seed}, {delay_step}");
        }
    }
    assert!(
        unknown_machines > 100,
        "only {unknown_machines} machines were unknown to the successor"
    );
}

/// Guards against trust in old heartbeats. Heartbeats from the time of the old leader, some of
/// earlier incarnations and attempts and of machines deleted since, reach every node as a new
/// leader starts, while it recovers the cluster state, and after it has sent orders. Running tasks
/// must keep running without a second start, and a deleted machine must not hold work for longer
/// than a lease.
#[test]
fn stale_heartbeats_do_not_affect_a_new_leader() {
    for seed in HISTORY_SEEDS {
        for quick_restart in [false, true] {
            let mut cluster = cluster_with_leader(seed);
            let WorkerTimings {
                lease_ttl_ms: lease,
                report_interval_ms: report,
                ..
            } = cluster.timings;
            cluster.retain_reports_until = FOREVER_MS;
            // One job keeps running, one is cancelled, one ends; one machine loses its incarnation,
            // another is deleted.
            let spec = cluster.long_array(1, 10);
            cluster.submit(spec);
            let spec = for_team_red(cluster.long_array(2, 4));
            cluster.submit(spec);
            let spec = short_job(&mut cluster, 3, 4, 3.0);
            cluster.submit(spec);
            cluster.run_until(16_000);
            cluster.send_request(JobId(2), ApiRequest::Cancel(JobId(2)));
            cluster.workers[0].unreachable_until = cluster.now + lease + 2000;
            cluster.workers[1].deleted = true;
            cluster.workers[1].deleted_at = cluster.now;
            cluster.workers[1].tasks.clear();
            cluster.run_until(16_000 + 3 * lease + 4 * report);
            assert!(
                cluster.workers[0].incarnation > 1,
                "seed {seed}: no worker has an earlier incarnation"
            );
            let before = running_tasks_of_job(&cluster, 1);
            assert_eq!(before.len(), 10, "seed {seed}");
            assert!(running_tasks_of_job(&cluster, 2).is_empty(), "seed {seed}");
            let reporting: BTreeSet<usize> = cluster
                .retained_reports
                .iter()
                .map(|(worker_index, _)| *worker_index)
                .collect();
            assert!(
                reporting.contains(&0) && reporting.contains(&1),
                "seed {seed}: heartbeats retained of machines {reporting:?} only"
            );
            end_leader(&mut cluster, if quick_restart { 50 } else { 5000 });
            let leader_ended_at = cluster.now;
            let spec = for_team_red(cluster.long_array(4, 6));
            cluster.submit(spec);
            cluster.run_until(leader_ended_at + 3 * lease);
            if cluster.jobs[&JobId(4)].1.accepted_at.is_none() {
                let spec = cluster.jobs[&JobId(4)].0.clone();
                cluster.send_request(JobId(4), ApiRequest::Submit(Box::new(spec)));
            }
            assert!(
                cluster.replayed_reports > 0,
                "seed {seed}: no old heartbeat was replayed"
            );
            cluster.run_until(leader_ended_at + 5 * lease + 4 * report);
            let after = running_tasks_of_job(&cluster, 1);
            assert_eq!(
                after, before,
                "seed {seed}: running tasks did not keep running"
            );
            assert_eq!(running_tasks_of_job(&cluster, 4).len(), 6, "seed {seed}");
        }
    }
}

/// Single-task jobs are submitted at four per second for four minutes, and a quarter of them is
/// cancelled, some as they end. Each must end as reported to its user, none may wait while capacity
/// is free, and each may cost the state service only few writes.
#[test]
fn sustained_single_task_jobs_with_cancellations_end_within_write_budget() {
    let mut cluster = cluster_with_leader(0);
    let WorkerTimings {
        report_interval_ms: report,
        ..
    } = cluster.timings;
    let (start, writes) = (cluster.now, cluster.writes);
    let mut overdue_jobs = 0;
    for job in 1..=960u64 {
        let mut spec = short_job(&mut cluster, job, 1, 2.0 + (job % 7) as f64 * 3.0);
        spec.cpus = 0.5;
        cluster.submit(spec);
        cluster.run_until(start + job * 250);
        if job % 4 == 0 && job > 8 {
            // Right after its acceptance, as it runs, and about when it ends.
            let id = JobId(job - [0, 1, 4, 8][(job / 4 % 4) as usize]);
            cluster.send_request(id, ApiRequest::Cancel(id));
        }
        if job % 40 == 0 {
            let queued = cluster.jobs.iter().filter(|(id, (_, user_view))| {
                let task = TaskId {
                    job: **id,
                    index: 0,
                };
                let is_overdue = user_view
                    .accepted_at
                    .is_some_and(|at| at + 20_000 < cluster.now);
                is_overdue
                    && !user_view.cancel_requested
                    && !cluster.starts_by_task.contains_key(&task)
            });
            overdue_jobs += queued.count();
        }
    }
    run_until_jobs_end(&mut cluster, 60_000);
    let (done, cancelled) = (
        jobs_reported_as(&cluster, JobStatus::Done),
        jobs_reported_as(&cluster, JobStatus::Cancelled),
    );
    assert!(
        done >= 700 && cancelled >= 150,
        "only {done} jobs done, {cancelled} cancelled"
    );
    assert_eq!(
        overdue_jobs, 0,
        "jobs waited more than 20 s beside free capacity"
    );
    let writes = (cluster.writes - writes) as f64 / 960.0;
    assert!(writes < 4.0, "{writes} writes per job");
    cluster.run_until(cluster.now + 8 * report + 60_000);
    let listed_tasks: usize = cluster
        .workers
        .iter()
        .map(|worker| worker.tasks.len())
        .sum();
    assert_eq!(listed_tasks, 0, "workers still list tasks");
}

/// Half of the machines reach no controller, while direct commands reach them. When their leases
/// expire their tasks must be placed elsewhere, not before (each start is checked). Nothing may be
/// placed on them repeatedly meanwhile, and they must be used again once they send heartbeats.
#[test]
fn machines_without_heartbeats_get_no_work_despite_reachable_commands() {
    for seed in HISTORY_SEEDS {
        let mut cluster = cluster_with_leader(seed);
        let WorkerTimings {
            lease_ttl_ms: lease,
            report_interval_ms: report,
            ..
        } = cluster.timings;
        let mut spec = cluster.long_array(1, 8);
        spec.cpus = 16.0;
        cluster.submit(spec);
        cluster.run_until(14_000);
        assert_eq!(cluster.running().len(), 8, "seed {seed}");
        let until = 14_000 + 6 * lease;
        for worker in workers_in_zone(&mut cluster, "a") {
            worker.drops_outbound_until = until;
        }
        let starts = cluster.starts;
        cluster.run_until(until);
        assert!(cluster.undelivered_reports > 10, "seed {seed}");
        let running = cluster.running();
        // The cloud provides two more machines.
        assert!(
            running.len() >= 4,
            "seed {seed}: only {} tasks run",
            running.len()
        );
        let more_starts = cluster.starts - starts;
        assert!(
            more_starts <= 8,
            "seed {seed}: {more_starts} starts while machines reach no controller"
        );
        cluster.run_until(until + 2 * lease + 8 * report + 60_000);
        assert_eq!(cluster.running().len(), 8, "seed {seed}");
    }
}

/// Guards against restarts in another zone. Jobs bound to a zone, one of them an array, and a job
/// whose tasks must be in one zone lose the machines of that zone. Their tasks must start in that
/// zone again, and in no other.
#[test]
fn zone_bound_jobs_restart_in_their_zone_after_machine_loss() {
    for seed in HISTORY_SEEDS {
        for leader_ends in [false, true] {
            let mut cluster = cluster_with_leader(seed);
            let WorkerTimings {
                lease_ttl_ms: lease,
                report_interval_ms: report,
                ..
            } = cluster.timings;
            let mut array = cluster.long_array(1, 6);
            array.zone = Some("a".into());
            let mut one_zone_job = cluster.long_array(2, 4);
            one_zone_job.one_zone = true;
            let service = Submission {
                kind: JobKind::Service,
                priority: Priority::Production,
                zone: Some("a".into()),
                spot: false,
                ..cluster.long_array(3, 3)
            };
            for spec in [array, one_zone_job, service] {
                cluster.submit(spec);
            }
            cluster.run_until(15_000);
            assert_eq!(cluster.running().len(), 13, "seed {seed}");
            let now = cluster.now;
            let mut lost = 0;
            for worker in workers_in_zone(&mut cluster, "a") {
                lost += worker.tasks.len();
                worker.deleted = true;
                worker.deleted_at = now;
                worker.tasks.clear();
            }
            assert!(lost >= 9, "seed {seed}: only {lost} tasks lost");
            if leader_ends {
                cluster.run_until(15_500);
                end_leader(&mut cluster, 100);
            }
            cluster.run_until(15_000 + 4 * lease + 4 * report + 60_000);
            assert_eq!(cluster.running().len(), 13, "seed {seed}, {leader_ends}");
            for (task, (_, worker_index)) in cluster.running() {
                assert!(
                    task.job == JobId(2) || cluster.workers[worker_index].zone == "a",
                    "seed {seed}: {task} runs in the wrong zone"
                );
            }
        }
    }
}

/// The leader changes ten times in two minutes, also while the state service is down for all nodes.
/// Running tasks must keep running, terms must never decrease, and users must get responses after
/// each change.
#[test]
fn running_tasks_survive_ten_failovers() {
    for seed in HISTORY_SEEDS {
        for with_outage in [false, true] {
            let mut cluster = cluster_with_leader(seed);
            let WorkerTimings {
                lease_ttl_ms: lease,
                cancellation_bound_ms: cancel,
                ..
            } = cluster.timings;
            let spec = cluster.long_array(1, 20);
            cluster.submit(spec);
            cluster.run_until(15_000);
            let before = cluster.running();
            assert_eq!(before.len(), 20, "seed {seed}");
            let mut terms = vec![cluster.leadership().1];
            for failover in 0..10u64 {
                let failover_at = 15_000 + failover * 12_000;
                cluster.run_until(failover_at);
                if with_outage && failover % 4 == 1 {
                    let margin = (cancel - lease) / 2;
                    cluster.start_state_service_outage(failover_at + margin.min(9000));
                }
                let old_leader = leader_index(&cluster);
                match failover % 3 {
                    0 => cluster.stop_process(old_leader, 100),
                    1 => cluster.stop_process(old_leader, 5000),
                    _ => cluster.state_service_refuses_until[old_leader] = failover_at + 8000,
                }
                cluster.run_until(failover_at + 11_900);
                terms.push(cluster.leadership().1);
                cluster.send_request(JobId(1), ApiRequest::Poll(JobId(1)));
                cluster.run_until(failover_at + 12_000);
            }
            assert!(terms.is_sorted(), "seed {seed}: terms {terms:?}");
            let changes = terms.windows(2).filter(|pair| pair[0] < pair[1]).count();
            // A change during an outage may become visible only at the next check.
            let min_changes = if with_outage { 6 } else { 9 };
            assert!(changes >= min_changes, "seed {seed}: terms {terms:?}");
            assert_eq!(cluster.running(), before, "seed {seed}, {with_outage}");
            assert!(
                cluster.jobs[&JobId(1)].1.last_response_at > 130_000,
                "seed {seed}"
            );
        }
    }
}

/// Guards against a job that is both done and cancelled. Cancellations, polls and repeated
/// submissions at all nodes coincide with the end of the job's last task: as it ends, as its worker
/// reports that, as the end is stored and returned to users. Either the end or the cancellation
/// must hold, for all users.
#[test]
fn cancellation_racing_with_completion_has_one_outcome() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in HISTORY_SEEDS {
        let mut cluster = cluster_with_leader(seed);
        cluster.cancel_at_completion_until = FOREVER_MS;
        cluster.consistency_checks_until = FOREVER_MS;
        for job in 1..=60u64 {
            let spec = short_job(&mut cluster, job, 1 + job as u32 % 3, 1.0);
            cluster.submit(spec);
            cluster.run_until(cluster.now + 300);
        }
        run_until_jobs_end(&mut cluster, 60_000);
        done += jobs_reported_as(&cluster, JobStatus::Done);
        cancelled += jobs_reported_as(&cluster, JobStatus::Cancelled);
    }
    assert!(
        done > 20 && cancelled > 20,
        "only {done} jobs done, {cancelled} cancelled"
    );
}

/// Machines hang, for less than their lease and for longer, while jobs that run there are
/// cancelled. Then the state service is down for longer than the cancellation bound, or the leader
/// ends. Tasks that continue when the machine resumes must be stopped in time.
#[test]
fn cancelled_tasks_stop_after_a_hung_machine_resumes() {
    for seed in HISTORY_SEEDS {
        for scenario in 0..4 {
            let mut cluster = cluster_with_leader(seed);
            let WorkerTimings {
                lease_ttl_ms: lease,
                cancellation_bound_ms: cancel,
                ..
            } = cluster.timings;
            for job in 1..=20 {
                let mut spec = cluster.long_array(job, 1);
                spec.cpus = 1.0;
                cluster.submit(spec);
            }
            cluster.run_until(15_000);
            assert_eq!(cluster.running().len(), 20, "seed {seed}");
            let old_leader = leader_index(&cluster);
            let used: BTreeSet<usize> = cluster.running().values().map(|(_, w)| *w).collect();
            for &worker_index in &used {
                // Within a lease, just before its end, and beyond it.
                let length = [lease / 3, lease - 300, lease + 5000][worker_index % 3];
                cluster.workers[worker_index].hung_until = 15_000 + length;
            }
            if scenario % 2 == 1 {
                cluster.state_service_refuses_until[old_leader] = FOREVER_MS;
            }
            for job in 1..=20 {
                cluster.run_until(15_000 + job * 10);
                let node = if scenario % 2 == 1 {
                    (old_leader + 1) % NODE_COUNT
                } else {
                    job as usize % NODE_COUNT
                };
                cluster.send_request_to(node, JobId(job), ApiRequest::Cancel(JobId(job)));
            }
            cluster.run_until(16_000);
            let waiting = |(task, (_, worker_index)): (&TaskId, &(u64, usize))| {
                let is_confirmed = cluster.jobs[&task.job].1.cancelled_at.is_some();
                is_confirmed && cluster.workers[*worker_index].hung_until > cluster.now
            };
            let waiting = cluster.running().iter().filter(|t| waiting(*t)).count();
            assert!(
                waiting >= 10,
                "seed {seed}, scenario {scenario}: only {waiting} cancelled tasks on hung machines"
            );
            match scenario {
                0 => cluster.stop_process(old_leader, 200),
                1 | 2 => cluster.start_state_service_outage(16_000 + cancel + 12_000),
                _ => {}
            }
            cluster.run_until(16_000 + 2 * cancel + 20_000);
            let confirmed = jobs_reported_as(&cluster, JobStatus::Cancelled);
            assert!(
                confirmed >= 15,
                "seed {seed}, scenario {scenario}: only {confirmed} cancellations confirmed"
            );
            let left = cluster.running();
            let is_confirmed = |task: &TaskId| cluster.jobs[&task.job].1.cancelled_at.is_some();
            assert!(!left.keys().any(is_confirmed), "seed {seed}, {scenario}");
        }
    }
}

/// Returns whether a start is in flight to a worker.
fn has_starts_in_flight(cluster: &SimulatedCluster) -> bool {
    let start = |event: &SimulationEvent| matches!(event, SimulationEvent::DeliverOrders(.., tagged_orders) if !tagged_orders.0.starts.is_empty());
    cluster.events.values().any(start)
}

/// Starts and stops, and responses to heartbeats, wait for seconds at hung machines and are
/// executed when these resume: after the job was cancelled, and after another leader took over.
#[test]
fn delayed_orders_of_a_hung_machine_keep_invariants() {
    for seed in HISTORY_SEEDS {
        for leader_ends in [false, true] {
            let mut cluster = cluster_with_leader(seed);
            let WorkerTimings {
                lease_ttl_ms: lease,
                cancellation_bound_ms: cancel,
                report_interval_ms: report,
            } = cluster.timings;
            let limit_tasks = (TEAM_CPU_LIMIT / 4.0) as u32;
            for round in 0..6u64 {
                let round_start = cluster.now;
                let spec = for_team_red(cluster.long_array(2 * round + 1, limit_tasks));
                cluster.start_delay_ms = 400;
                cluster.submit(spec);
                // The starts are placed, stored, and in flight.
                while !has_starts_in_flight(&cluster) && cluster.now < round_start + 3000 {
                    cluster.run_until(cluster.now + 25);
                }
                cluster.run_until(cluster.now + round * 25);
                cluster.start_delay_ms = 0;
                let now = cluster.now;
                for worker in cluster.workers.iter_mut().filter(|w| !w.deleted) {
                    worker.hung_until = now + 1000 + round * 1500 % (lease - 1500);
                }
                cluster.run_until(now + 200);
                if leader_ends {
                    end_leader(&mut cluster, 100);
                }
                let id = JobId(2 * round + 1);
                for _ in 0..6 {
                    cluster.run_until(cluster.now + 700);
                    cluster.send_request(id, ApiRequest::Cancel(id));
                }
                assert!(cluster.jobs[&id].1.cancelled_at.is_some(), "seed {seed}");
                let spec = for_team_red(cluster.long_array(2 * round + 2, limit_tasks));
                cluster.submit(spec);
                cluster.run_until(cluster.now + lease + cancel + 4 * report);
                assert_eq!(
                    running_tasks_of_job(&cluster, 2 * round + 2).len(),
                    limit_tasks as usize,
                    "seed {seed}, {round}"
                );
                let id = JobId(2 * round + 2);
                cluster.send_request(id, ApiRequest::Cancel(id));
                cluster.run_until(cluster.now + 2 * report + 5000);
            }
            // At least one per round.
            assert!(
                cluster.messages_held_by_hung_workers >= 6,
                "seed {seed}: only {} messages waited for hung machines",
                cluster.messages_held_by_hung_workers
            );
        }
    }
}

/// Jobs of two and three tasks whose ends lie far apart, with failovers and wrap-arounds of the log
/// ring in between. A completed task must not run again, and none may be lost.
#[test]
fn tasks_ending_far_apart_run_exactly_once() {
    for seed in HISTORY_SEEDS {
        let mut cluster = cluster_with_leader(seed);
        let mut jobs = Vec::new();
        for job in 1..=6u64 {
            let spec = short_job(&mut cluster, job, 2 + job as u32 % 2, 400.0);
            cluster.submit(spec);
            jobs.push(JobId(job));
        }
        cluster.run_until(14_000);
        let running_tasks = cluster.running().len();
        assert_eq!(running_tasks, 15, "seed {seed}");
        // Some of their tasks end early, at different times.
        let mut number = 100;
        for round in 0..4u64 {
            let now = cluster.now;
            for worker in &mut cluster.workers {
                for (task, entry) in &mut worker.tasks {
                    let ends_now = task.index as u64 == round % 2 && task.job.0 % 2 == round / 2;
                    if jobs.contains(&task.job) && ends_now && entry.state == TaskState::Running {
                        entry.ends_at = now;
                    }
                }
            }
            cluster.run_until(now + 2000);
            for _ in 0..300 {
                number += 1;
                let spec = short_job(&mut cluster, number, 1, 0.2);
                cluster.submit(spec);
                cluster.run_until(cluster.now + 40);
            }
            end_leader(&mut cluster, 3000);
            cluster.run_until(cluster.now + 12_000);
        }
        let ended = cluster
            .completed_tasks
            .iter()
            .filter(|task| jobs.contains(&task.job))
            .count();
        assert!(ended >= 6, "seed {seed}: only {ended} tasks ended early");
        let now = cluster.now;
        for worker in &mut cluster.workers {
            for entry in worker
                .tasks
                .values_mut()
                .filter(|entry| entry.state == TaskState::Running)
            {
                entry.ends_at = now;
            }
        }
        run_until_jobs_end(&mut cluster, 60_000);
        let restarted: Vec<_> = cluster
            .starts_by_task
            .iter()
            .filter(|(_, starts)| **starts > 1)
            .collect();
        assert!(
            restarted.is_empty(),
            "seed {seed}: tasks started again: {restarted:?}"
        );
    }
}

/// A zone with workers and a node in it is partitioned for longer than a lease, while jobs that run
/// there are cancelled outside. The node inside renews the workers' leases as long as it may; the
/// cancelled tasks must stop in time nevertheless.
#[test]
fn cancellation_takes_effect_inside_a_partitioned_zone() {
    for seed in HISTORY_SEEDS {
        for node_leads in [false, true] {
            let mut cluster = cluster_with_leader(seed);
            let WorkerTimings {
                cancellation_bound_ms: cancel,
                lease_ttl_ms: lease,
                ..
            } = cluster.timings;
            for job in 1..=24 {
                let mut spec = cluster.long_array(job, 1);
                spec.cpus = 4.0;
                cluster.submit(spec);
            }
            cluster.run_until(15_000);
            let inside = |cluster: &SimulatedCluster| {
                let running = cluster.running();
                running
                    .values()
                    .filter(|(_, worker_index)| cluster.workers[*worker_index].zone == "a")
                    .count()
            };
            let inside_before = inside(&cluster);
            assert!(
                inside_before > 0 && cluster.running().len() == 24,
                "seed {seed}"
            );
            let old_leader = leader_index(&cluster);
            let node = if node_leads {
                old_leader
            } else {
                (old_leader + 1) % NODE_COUNT
            };
            let until = 15_000 + 2 * cancel + lease;
            cluster.partition_zone(node, "a", until);
            let outside_node = (node + 1) % NODE_COUNT;
            for job in 1..=24 {
                cluster.run_until(15_000 + job * 200);
                cluster.send_request_to(outside_node, JobId(job), ApiRequest::Cancel(JobId(job)));
            }
            cluster.run_until(15_000 + lease);
            assert!(
                node_leads || inside(&cluster) > 0,
                "seed {seed}: the node in the zone renewed no leases"
            );
            cluster.run_until(until + 2 * lease);
            assert_eq!(
                jobs_reported_as(&cluster, JobStatus::Cancelled),
                24,
                "seed {seed}"
            );
            assert!(cluster.running().is_empty(), "seed {seed}");
        }
    }
}

/// All controllers are down for longer than a lease, while jobs run and one was just cancelled. One
/// controller returns alone, or shortly before the others. No task may run twice or start after its
/// cancellation, and all others must run again.
#[test]
fn outage_of_all_controllers_beyond_lease_keeps_invariants() {
    for seed in HISTORY_SEEDS {
        for gap in [0, 400, 5000] {
            let mut cluster = cluster_with_leader(seed);
            let WorkerTimings {
                lease_ttl_ms: lease,
                report_interval_ms: report,
                ..
            } = cluster.timings;
            let spec = cluster.long_array(1, 20);
            cluster.submit(spec);
            let spec = for_team_red(cluster.long_array(2, 6));
            cluster.submit(spec);
            cluster.run_until(15_000);
            assert_eq!(cluster.running().len(), 26, "seed {seed}");
            cluster.send_request(JobId(2), ApiRequest::Cancel(JobId(2)));
            cluster.run_until(15_040);
            let downtime = lease + 3000;
            for node in 0..NODE_COUNT {
                cluster.stop_process(node, downtime + node as u64 * gap);
            }
            cluster.run_until(15_000 + downtime);
            assert!(
                cluster.running().is_empty(),
                "seed {seed}: tasks run after their leases expired"
            );
            cluster.run_until(15_000 + downtime + 3 * gap + lease + 4 * report + 30_000);
            assert_eq!(
                running_tasks_of_job(&cluster, 1).len(),
                20,
                "seed {seed}, {gap}"
            );
            if cluster.jobs[&JobId(2)].1.cancelled_at.is_some() {
                assert!(
                    running_tasks_of_job(&cluster, 2).is_empty(),
                    "seed {seed}, {gap}"
                );
            }
        }
    }
}

/// Four jobs per second are submitted while the state service is down for longer than users retry.
/// Users who still retry when it is back must be accepted within seconds: none may get a retry time
/// that follows from the admission limit of a node without recent data. With retry times of up to
/// 30 s, users waited through the ten seconds between two outages and gave up.
#[test]
fn submissions_during_state_service_outage_are_admitted_after_recovery() {
    for seed in HISTORY_SEEDS {
        let mut cluster = cluster_with_leader(seed);
        let mut submission_times = HashMap::new();
        let outage_ms = 70_000;
        cluster.start_state_service_outage(cluster.now + outage_ms);
        let (outage_start, recovery_at) = (cluster.now, cluster.now + outage_ms);
        let mut number = 0;
        while cluster.now < recovery_at + 12_000 {
            for _ in 0..4 {
                if cluster.now < recovery_at {
                    number += 1;
                    submission_times.insert(JobId(number), cluster.now);
                    let spec = short_job(&mut cluster, number, 1, 2.0);
                    cluster
                        .jobs
                        .insert(JobId(number), (spec, UserView::default()));
                }
            }
            for (id, submitted_at) in submission_times
                .iter()
                .map(|(id, submitted_at)| (*id, *submitted_at))
                .collect::<BTreeMap<_, _>>()
            {
                let must_wait = cluster
                    .retry_at
                    .get(&id)
                    .is_some_and(|at| *at > cluster.now);
                let (spec, user_view) = &cluster.jobs[&id];
                if !user_view.accepted && !must_wait && submitted_at + 60_000 > cluster.now {
                    let spec = Box::new(spec.clone());
                    cluster.send_request(id, ApiRequest::Submit(spec));
                }
            }
            cluster.run_until(cluster.now + 1000);
        }
        let retrying = |submitted_at: &u64| {
            submitted_at + 50_000 > recovery_at && *submitted_at >= outage_start
        };
        let retrying: Vec<JobId> = submission_times
            .iter()
            .filter(|(_, submitted_at)| retrying(submitted_at))
            .map(|(id, _)| *id)
            .collect();
        let accepted = retrying
            .iter()
            .filter(|id| cluster.jobs[id].1.accepted)
            .count();
        assert!(
            retrying.len() > 180,
            "seed {seed}: only {} users were still retrying",
            retrying.len()
        );
        assert!(
            accepted * 10 >= retrying.len() * 9,
            "seed {seed}: only {accepted} of {} jobs accepted",
            retrying.len()
        );
    }
}

/// Returns a job that can never run, of a random kind: unknown team, type or zone, too large for
/// any machine in some resource, a service beyond its team's limit, or a dependency that was never
/// submitted.
fn unschedulable_job(cluster: &mut SimulatedCluster, number: u64) -> Submission {
    let spec = cluster.long_array(number, 2);
    match cluster.rng.random_range(0..9) {
        0 => Submission {
            team: "nobody".into(),
            ..spec
        },
        1 => Submission {
            types: Some(vec!["z9".into()]),
            ..spec
        },
        2 => Submission {
            types: Some(Vec::new()),
            ..spec
        },
        3 => Submission {
            zone: Some("nowhere".into()),
            ..spec
        },
        4 => Submission { cpus: 16.5, ..spec },
        5 => Submission {
            ram_gb: 64.5,
            ..spec
        },
        6 => Submission { gpus: 1.0, ..spec },
        7 => Submission {
            kind: JobKind::Service,
            tasks: 7,
            ..for_team_red(spec)
        },
        _ => Submission {
            dependencies: vec![JobId(999_999)],
            ..spec
        },
    }
}

/// Malformed and unusual requests at a leader, a follower and a refused node, also while responses
/// are lost and writes are applied late: jobs that can never run, known jobs submitted again with
/// the same and with another body, cancellations of done and cancelled jobs, and requests about
/// jobs that were never submitted. Each must get the response that the protocol requires, and none
/// may leave a record.
#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn malformed_requests_get_protocol_responses_under_faults() {
    for seed in [0, 8, 10] {
        for fault in 0..3 {
            let mut cluster = cluster_with_leader(seed);
            let spec = cluster.long_array(1, 2);
            cluster.submit(spec);
            let spec = short_job(&mut cluster, 2, 1, 1.0);
            cluster.submit(spec);
            let spec = cluster.long_array(3, 2);
            cluster.submit(spec);
            cluster.run_until(14_000);
            cluster.send_request(JobId(3), ApiRequest::Cancel(JobId(3)));
            cluster.send_request(JobId(2), ApiRequest::Poll(JobId(2)));
            cluster.run_until(15_000);
            assert_eq!(
                cluster.jobs[&JobId(2)].1.last_status,
                Some(JobStatus::Done),
                "seed {seed}"
            );
            let refused_node = (leader_index(&cluster) + 1) % NODE_COUNT;
            cluster.state_service_refuses_until[refused_node] = FOREVER_MS;
            match fault {
                1 => cluster.lost_replies_until = FOREVER_MS,
                2 => cluster.delayed_writes_until = FOREVER_MS,
                _ => {}
            }
            for number in 1000..1060 {
                for node in 0..NODE_COUNT {
                    let malformed = unschedulable_job(&mut cluster, number);
                    cluster.send_malformed_request(
                        node,
                        ApiRequest::Submit(Box::new(malformed)),
                        &[422, 503],
                    );
                    let id = JobId(1 + number % 3);
                    let mut resubmission = cluster.jobs[&id].0.clone();
                    if number % 2 == 0 {
                        resubmission = Submission {
                            id,
                            ..unschedulable_job(&mut cluster, number)
                        };
                    }
                    cluster.send_malformed_request(
                        node,
                        ApiRequest::Submit(Box::new(resubmission)),
                        &[200, 503],
                    );
                    let ended_job = JobId(2 + number % 2);
                    cluster.send_malformed_request(node, ApiRequest::Cancel(ended_job), &[200]);
                    cluster.send_malformed_request(node, ApiRequest::Poll(ended_job), &[200]);
                    cluster.send_malformed_request(
                        node,
                        ApiRequest::Cancel(JobId(number)),
                        &[404, 503],
                    );
                    cluster.send_malformed_request(
                        node,
                        ApiRequest::Poll(JobId(number)),
                        &[404, 503],
                    );
                }
                cluster.run_until(cluster.now + 300);
            }
            cluster.run_until(cluster.now + 5000);
            for node in 0..NODE_COUNT {
                for status in [200, 404, 422] {
                    let responses = cluster
                        .malformed_responses
                        .get(&(node, status))
                        .copied()
                        .unwrap_or(0);
                    assert!(
                        responses >= 30,
                        "seed {seed}, fault {fault}: only {responses} responses with {status} from node {node}"
                    );
                }
            }
            assert!(
                !cluster
                    .pending_requests
                    .values()
                    .any(|pending| matches!(pending, PendingRequest::Malformed(_))),
                "malformed requests without a response"
            );
            let records = cluster
                .store
                .keys
                .keys()
                .filter(|key| key.starts_with("shared/job/j-00"));
            assert_eq!(records.count(), 3, "seed {seed}");
        }
    }
}

/// Guards against placement on a deleted machine. An old heartbeat makes a deleted machine appear
/// alive to a new leader, just as a task arrives that fits on no other machine. A leader that
/// trusted the heartbeat had the task wait there for a whole lease.
#[test]
fn machine_known_only_from_stale_heartbeat_gets_no_work() {
    for seed in HISTORY_SEEDS {
        let mut cluster = cluster_with_leader(seed);
        let WorkerTimings {
            lease_ttl_ms: lease,
            ..
        } = cluster.timings;
        let mut spec = cluster.long_array(1, 7);
        spec.cpus = 16.0;
        cluster.submit(spec);
        cluster.run_until(14_000);
        let used_workers: BTreeSet<usize> = cluster
            .running()
            .values()
            .map(|(_, worker_index)| *worker_index)
            .collect();
        let idle_worker = (0..8)
            .find(|worker_index| !used_workers.contains(worker_index))
            .expect("an idle machine");
        // The machine sends heartbeats until it is deleted, and the leader ends before it can
        // record the deletion.
        cluster.retain_reports_until = FOREVER_MS;
        cluster.run_until(14_000 + 2 * cluster.timings.report_interval_ms);
        cluster
            .retained_reports
            .retain(|(worker_index, _)| *worker_index == idle_worker);
        assert!(!cluster.retained_reports.is_empty(), "seed {seed}");
        let report = cluster
            .retained_reports
            .pop()
            .expect("a retained heartbeat");
        cluster.retained_reports = vec![report];
        cluster.retain_reports_until = 0;
        let now = cluster.now;
        let worker = &mut cluster.workers[idle_worker];
        (worker.deleted, worker.deleted_at) = (true, now);
        let old_leader = end_leader(&mut cluster, 300);
        let mut spec = cluster.long_array(2, 1);
        spec.cpus = 16.0;
        cluster
            .jobs
            .insert(JobId(2), (spec.clone(), UserView::default()));
        cluster.send_request_to(
            (old_leader + 1) % NODE_COUNT,
            JobId(2),
            ApiRequest::Submit(Box::new(spec)),
        );
        cluster.run_until(now + 3000);
        while running_tasks_of_job(&cluster, 2).is_empty() && cluster.now < now + 4 * lease {
            cluster.run_until(cluster.now + 100);
        }
        assert!(
            cluster.replayed_reports > 0,
            "seed {seed}: no old heartbeat was replayed"
        );
        let waited = cluster.now - now;
        assert!(
            waited < 4000 + lease / 2,
            "seed {seed}: the task waited {waited} ms"
        );
    }
}
