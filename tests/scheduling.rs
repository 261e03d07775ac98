//! Tests of the cluster state, the scheduler and the autoscaler, many of them under generated loads.

use std::{cmp::Reverse, collections::HashSet};

use dalelb::{
    autoscaler::Autoscaler,
    cluster::{
        ClusterState, InheritedUrgency, JobIndex, Machine, MachineIndex, MachineState,
        MachineTypeIndex, Phase, Resources, TeamIndex, records,
    },
    protocol::{
        ids::JobId,
        job::{JobKind, Priority, Submission},
    },
    scheduling::{self, CandidateCache, PreemptionScope, fair_share::FairShareTracker},
    storage,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

mod fixtures;
use fixtures::{cluster, job, reserved_units};

fn advance_all_to_running(cluster: &mut ClusterState, now: u64) {
    for machine in 0..cluster.machines.len() as u32 {
        let machine = MachineIndex(machine);
        for i in 0..cluster.machine(machine).attempts.len() {
            cluster.advance_phase(machine, i, Phase::Running, now);
        }
    }
}

#[test]
fn equal_teams_get_equal_reservations_regardless_of_arrival_and_backlog() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 4);
    let mut fair_share = FairShareTracker::default();
    cluster.add_job(&job(1, "red", 1000, 4.0), 0, 0);
    cluster.add_job(&job(2, "blue", 10, 4.0), 99, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    assert_eq!(reserved_units(&cluster), [32.0, 32.0]);
}

#[test]
fn guarantee_is_enforced_by_preempting_only_excess_of_other_teams() {
    let mut cluster = cluster((16.0, 0.0), (0.0, 0.0), 4);
    let mut fair_share = FairShareTracker::default();
    let with_objectives = Submission {
        deadline_s: Some(1000.0),
        ..job(1, "blue", 16, 4.0)
    };
    cluster.add_job(&with_objectives, 0, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    advance_all_to_running(&mut cluster, 0);
    assert_eq!(reserved_units(&cluster), [0.0, 64.0]);
    cluster.add_job(&job(2, "red", 100, 4.0), 0, 0);
    assert_eq!(
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 1),
        0
    );
    // Red deserves its 16 and half of the other 48.
    assert_eq!(
        scheduling::compute_deserved_shares(&cluster, 64.0),
        [40.0, 24.0]
    );
    // Tasks complete continually: an array waits for a short time before it preempts work with
    // objectives, or replicas, which have no objective times.
    assert!(scheduling::select_preemptions(&cluster, 1000, PreemptionScope::All).is_empty());
    for kind in [JobKind::Service, JobKind::Array] {
        let index = JobIndex(0);
        let objectives = std::mem::take(&mut cluster.jobs[index.as_usize()].latest_placements_ms);
        cluster.jobs[index.as_usize()].kind = kind;
        let preempted =
            !scheduling::select_preemptions(&cluster, 1000, PreemptionScope::All).is_empty();
        assert_eq!(preempted, kind == JobKind::Array, "{kind:?}, no objectives");
        cluster.jobs[index.as_usize()].latest_placements_ms = objectives;
    }
    let victims = scheduling::select_preemptions(&cluster, 5000, PreemptionScope::All);
    assert_eq!(victims.len(), 4, "red gets its guarantee, no more");
    // Attempts that are being stopped already count; once they are gone, their tasks wait again and
    // red is placed first.
    for victim in victims.iter().rev() {
        cluster.machines[victim.machine.as_usize()].attempts[victim.attempt_index].stop_grace_s =
            Some(0.0);
    }
    let more_victims = scheduling::select_preemptions(&cluster, 5000, PreemptionScope::All);
    assert!(more_victims.is_empty(), "pending stops are counted");
    for number in 0..4 {
        let machine = MachineIndex(number);
        for i in (0..cluster.machine(machine).attempts.len()).rev() {
            if cluster.machine(machine).attempts[i].stop_grace_s.is_some() {
                cluster.remove_attempt(machine, i, 5001);
            }
        }
    }
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 5001);
    assert_eq!(reserved_units(&cluster), [16.0, 48.0]);
    assert!(
        scheduling::select_preemptions(&cluster, 6000, PreemptionScope::All).is_empty(),
        "no preemption at the same priority beyond the guarantee"
    );
}

#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn random_load_never_violates_limits_capacity_zones_or_spot_constraints() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut cluster = cluster((8.0, 24.0), (0.0, 48.0), 6);
        let mut fair_share = FairShareTracker::default();
        cluster.machines[5].spot = true;
        let mut now = 0;
        for number in 1..60 {
            now += 500;
            let team = if rng.random_bool(0.5) { "red" } else { "blue" };
            let mut spec = job(number, team, rng.random_range(1..12), 4.0);
            spec.cpus = f64::from(rng.random_range(1..9u32));
            spec.image = format!("img-{}", number % 5);
            spec.image_gb = 4.0;
            if rng.random_bool(0.4) {
                spec.kind = JobKind::Service;
                spec.class = "front".into();
                spec.priority = Priority::Production;
                spec.spot = false;
                spec.spread = rng.random_bool(0.7);
                spec.one_zone = !spec.spread && rng.random_bool(0.5);
            }
            cluster.add_job(&spec, number, now);
            scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, now);
            for machine in 0..cluster.machines.len() as u32 {
                let machine = MachineIndex(machine);
                for i in (0..cluster.machine(machine).attempts.len()).rev() {
                    let stopping = cluster.machine(machine).attempts[i].stop_grace_s.is_some();
                    if stopping || rng.random_bool(0.1) {
                        cluster.remove_attempt(machine, i, now);
                    } else {
                        cluster.advance_phase(machine, i, Phase::Running, now);
                    }
                }
            }
            assert!(
                reserved_units(&cluster)[0] <= 24.0 + 1e-6
                    && reserved_units(&cluster)[1] <= 48.0 + 1e-6
            );
            for machine in &cluster.machines {
                let mut used = Resources::default();
                for attempt in &machine.attempts {
                    let job = cluster.job(attempt.job);
                    used.add(&job.requested);
                    assert!(
                        !machine.spot || job.spot,
                        "a job that excludes spot machines is on one"
                    );
                }
                assert!(used.cpus <= 16.0 + 1e-6, "{} CPUs on 16", used.cpus);
            }
            for job in &cluster.jobs {
                let largest_zone_count =
                    job.active_by_zone.iter().max().copied().unwrap_or(0) as usize;
                assert!(!job.spread || largest_zone_count <= job.tasks.len().div_ceil(2));
                let zones = job
                    .active_by_zone
                    .iter()
                    .filter(|count| **count > 0)
                    .count();
                assert!(!job.one_zone || zones <= 1);
            }
        }
    }
}

#[test]
fn replica_preempts_array_task_on_machine_that_has_its_image() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 2);
    let mut fair_share = FairShareTracker::default();
    let mut array_with_image = job(1, "red", 4, 4.0);
    array_with_image.image = "front-img".into();
    cluster.add_job(&array_with_image, 0, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    advance_all_to_running(&mut cluster, 0);
    let mut replica = job(2, "blue", 1, 4.0);
    replica.kind = JobKind::Service;
    replica.class = "front".into();
    replica.priority = Priority::Production;
    replica.image = "front-img".into();
    replica.image_gb = 5.0;
    replica.spot = false;
    cluster.add_job(&replica, 0, 40_000);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 40_000);
    let machine = cluster
        .machines
        .iter()
        .find(|machine| {
            machine
                .attempts
                .iter()
                .any(|a| cluster.job(a.job).id == JobId(2))
        })
        .expect("the replica was placed");
    assert!(
        machine
            .attempts
            .iter()
            .any(|a| cluster.job(a.job).id == JobId(1))
    );
    let stopped = machine
        .attempts
        .iter()
        .filter(|a| a.stop_grace_s.is_some())
        .count();
    assert_eq!(stopped, 1, "exactly one array task is preempted");
}

/// Under a backlog, first come, first served lets every job miss its objectives. A job that has missed an
/// objective yields to jobs that can still meet theirs, until its own next objective is near.
#[test]
fn job_past_its_objective_yields_to_jobs_that_can_still_meet_theirs() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 0);
    let team = TeamIndex(0);
    let first = |cluster: &ClusterState| {
        let &(_, _, job) = cluster.teams[team.as_usize()].queue.first().unwrap();
        cluster.job(job).id.0
    };
    for (number, submitted_at) in [(1, 0), (2, 10_000)] {
        let mut batch = job(number, "red", 4, 4.0);
        batch.class = "batch".into();
        cluster.add_job(&batch, submitted_at, submitted_at);
    }
    for (now, expected) in [
        (5000, 1),
        (10_000, 2),
        (16_000, 2),
        (18_000, 1),
        (50_000, 2),
    ] {
        cluster.set_time_of_day(now, now);
        cluster.refresh_placement_deadlines(now);
        assert_eq!(first(&cluster), expected, "after {now} ms");
    }
    cluster.refresh_placement_deadlines(120_000);
    assert_eq!(
        first(&cluster),
        1,
        "past all objectives the older job is first"
    );
}

#[test]
fn waiting_tasks_scale_out_and_idle_machines_scale_in() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 0);
    let mut fair_share = FairShareTracker::default();
    let mut autoscaler = Autoscaler::default();
    let mut replica = job(1, "red", 4, 4.0);
    replica.kind = JobKind::Service;
    replica.spread = true;
    replica.spot = false;
    cluster.add_job(&replica, 0, 0);
    let (requests, _) = autoscaler.plan_scaling(&cluster, &[], 0, 0);
    let count: u32 = requests.iter().map(|request| request.count).sum();
    assert_eq!(count, 2, "half of a spread job in each zone");
    assert!(requests.iter().all(|request| !request.offer.spot));
    let (further_requests, _) = autoscaler.plan_scaling(&cluster, &requests, 0, 0);
    assert!(further_requests.is_empty(), "pending requests are counted");
    for request in &requests {
        autoscaler.mark_unavailable(request.offer, 0);
    }
    assert!(
        autoscaler.plan_scaling(&cluster, &[], 0, 0).0.is_empty(),
        "unavailable offers are not requested again yet"
    );

    let mut cluster = self::cluster((0.0, 0.0), (0.0, 0.0), 3);
    cluster.add_job(&job(2, "red", 1, 4.0), 0, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    let (_, returns) = autoscaler.plan_scaling(&cluster, &[], 200_000, 200_000);
    assert_eq!(returns.len(), 2, "the machine with work is kept");
}

/// The headroom for services covers the replicas that steadily arrive while a machine boots, at any rate of
/// arrivals, but not the burst of a deployment's start.
#[test]
fn service_headroom_follows_steady_arrivals_not_bursts() {
    let request = Resources {
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
    };
    let headroom_tasks = |burst: usize, arrivals_per_second: usize| {
        let cluster = cluster((0.0, 0.0), (0.0, 0.0), 0);
        let mut autoscaler = Autoscaler::default();
        autoscaler.record_service_arrival(request, burst, 1000);
        for second in 0..110 {
            autoscaler.record_service_arrival(request, arrivals_per_second, 2000 + second * 1000);
        }
        let (requests, _) = autoscaler.plan_scaling(&cluster, &[], 112_000, 112_000);
        let machines: u32 = requests.iter().map(|request| request.count).sum();
        16 * machines as usize
    };
    // Arrivals during 15 s of booting, with a margin of half as much.
    let expected_tasks = |arrivals_per_second: usize| arrivals_per_second * 15 * 3 / 2;
    for arrivals_per_second in [1, 4, 8, 16] {
        let headroom = headroom_tasks(0, arrivals_per_second);
        let lower = expected_tasks(arrivals_per_second) * 3 / 4;
        let upper = expected_tasks(arrivals_per_second) * 5 / 4 + 16;
        assert!(
            (lower..=upper).contains(&headroom),
            "headroom of {headroom} at {arrivals_per_second} arrivals per second"
        );
    }
    assert_eq!(headroom_tasks(2000, 0), 64, "a single burst");
    assert!(headroom_tasks(2000, 4) <= expected_tasks(4) * 5 / 4 + 16);
}

/// The autoscaler balances zones by their responsive machines. A partitioned zone has fewer of them than the
/// other zone and got all new machines.
#[test]
fn no_scale_out_in_partitioned_zone() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 8);
    for machine in &mut cluster.machines {
        machine.unresponsive = machine.zone.as_usize() == 0;
    }
    let zone = cluster.intern_zone("a");
    let booting = cluster.add_machine("vm-000100", MachineTypeIndex(0), zone, false, 0);
    assert_eq!(cluster.machine(booting).state, MachineState::Booting);
    cluster.add_job(&job(1, "red", 64, 16.0), 0, 0);
    let (requests, _) = Autoscaler::default().plan_scaling(&cluster, &[], 0, 0);
    let requested: u32 = requests.iter().map(|request| request.count).sum();
    assert!(requests.iter().all(|request| request.offer.zone != zone));
    assert_eq!(
        requested, 50,
        "the most instances that one request may contain"
    );
    // Half of the machines in the zone respond: the zone is not partitioned.
    for machine in cluster.machines.iter_mut().step_by(4) {
        machine.unresponsive = false;
    }
    let (requests, _) = Autoscaler::default().plan_scaling(&cluster, &[], 0, 0);
    assert!(requests.iter().any(|request| request.offer.zone == zone));
}

#[test]
fn largest_job_fits_snapshot_value_limit_and_scheduling_cycle() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 40);
    let mut fair_share = FairShareTracker::default();
    let index = cluster.add_job(&job(1, "red", 100_000, 0.1), 0, 0).unwrap();
    while scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0) > 0 {}
    assert!(cluster.job(index).waiting.len() < 100_000);
    for chunk in 0..cluster.job(index).task_ranges.len() as u32 {
        let record = records::snapshot_record(&cluster, index, chunk);
        let value = storage::to_value(&record);
        assert!(value.to_string().len() <= 16 * 1024);
        assert_eq!(
            serde_json::from_value::<storage::SnapshotRecord>(value).unwrap(),
            record
        );
    }
}

/// A new leader places tasks by the image locations that its predecessor stored, so their records must hold
/// every machine and each fit into one value.
#[test]
fn image_records_stay_within_value_limit() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 600);
    let mut fair_share = FairShareTracker::default();
    cluster.add_job(&job(1, "red", 1200, 8.0), 0, 0);
    while scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0) > 0 {}
    advance_all_to_running(&mut cluster, 0);
    cluster.machines[3].draining = true;
    for bytes in [2048, 16 * 1024] {
        let records = records::images_records(&cluster, bytes);
        let mut machines_recorded = 0;
        for record in records {
            machines_recorded += record
                .machines
                .iter()
                .filter(|(name, flags)| {
                    let marked_for_replacement = name == "vm-000003";
                    *flags
                        == 1 | if marked_for_replacement {
                            storage::REPLACEMENT_BIT
                        } else {
                            0
                        }
                })
                .count();
            assert_eq!(record.images, [("img".to_owned(), 1.0)]);
            let value = storage::to_value(&record);
            assert!(value.to_string().len() <= bytes);
            assert_eq!(
                serde_json::from_value::<storage::ImagesRecord>(value).unwrap(),
                record
            );
        }
        assert_eq!(machines_recorded, 600);
    }
    let mut successor = self::cluster((0.0, 0.0), (0.0, 0.0), 0);
    let images = [("img".to_owned(), 1.0)].into_iter();
    successor.restore_machine_hints("vm-000007".into(), images, true);
    let zone = successor.intern_zone("a");
    let machine = successor.add_machine("vm-000007", MachineTypeIndex(0), zone, false, 0);
    successor.add_job(&job(1, "red", 1, 8.0), 0, 0);
    let image = successor.jobs[0].image;
    assert!(successor.machine(machine).has_image(image));
    assert!(
        successor.machine(machine).draining,
        "the mark for replacement is restored"
    );
}

/// Changes of a whole fleet are split into log records that each fit into one value, down to 600 bytes.
#[test]
fn log_records_fit_value_limit_and_contain_each_change_once() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 600);
    let mut fair_share = FairShareTracker::default();
    for number in 0..300 {
        let team = ["red", "blue"][number as usize % 2];
        cluster.add_job(&job(number, team, 7, 4.0), 0, 0);
    }
    while scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0) > 0 {}
    let changed: Vec<_> = cluster.unlogged_tasks.iter().copied().collect();
    assert_eq!(changed.len(), 2100, "each placement is a change");
    for bytes in [600, 4096, 16 * 1024] {
        let mut tasks = changed.iter().copied().peekable();
        let mut recorded = 0;
        while tasks.peek().is_some() {
            let record = records::log_record(&cluster, &mut tasks, (1, 1), bytes);
            recorded += record
                .jobs
                .iter()
                .map(|(.., tasks)| tasks.len())
                .sum::<usize>();
            let value = storage::to_value(&record);
            assert!(value.to_string().len() <= bytes);
            let read: storage::LogRecord = serde_json::from_value(value).unwrap();
            assert_eq!(read, record);
        }
        assert_eq!(recorded, changed.len());
    }
}

#[test]
fn gang_is_placed_atomically() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 4);
    let mut fair_share = FairShareTracker::default();
    let mut gang = job(1, "red", 9, 4.0);
    gang.kind = JobKind::Gang;
    gang.one_zone = true;
    let index = cluster.add_job(&gang, 0, 0).unwrap();
    assert_eq!(
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0),
        0,
        "one zone has capacity for only eight tasks"
    );
    let zone = cluster.intern_zone("a");
    let added = cluster.add_machine("vm-000009", MachineTypeIndex(0), zone, false, 0);
    cluster.machines[added.as_usize()].state = MachineState::Up;
    assert_eq!(
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0),
        9
    );
    assert_eq!(cluster.job(index).active_by_zone, [9, 0]);
}

/// A cluster in which arrays and services of two teams compete, with different images and requirements, on
/// ordinary and spot machines.
fn partly_filled_cluster(seed: u64, machines: usize, jobs: u64, max_tasks: u32) -> ClusterState {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = cluster((8.0, 0.0), (0.0, 0.0), machines);
    for machine in &mut cluster.machines {
        machine.spot = rng.random_bool(0.3);
    }
    for number in 1..=jobs {
        let team = if rng.random_bool(0.5) { "red" } else { "blue" };
        let mut spec = job(number, team, rng.random_range(1..=max_tasks), 1.0);
        spec.cpus = f64::from(rng.random_range(1..5u32));
        spec.image = format!("img-{}", rng.random_range(0..6));
        spec.image_gb = 3.0;
        spec.spot = rng.random_bool(0.7);
        spec.one_zone = rng.random_bool(0.2);
        if rng.random_bool(0.2) {
            spec.kind = JobKind::Service;
            spec.class = "front".into();
            spec.priority = Priority::Production;
            spec.tasks = spec.tasks.min(16);
            spec.spread = !spec.one_zone;
        }
        cluster.add_job(&spec, number, 0);
    }
    cluster
}

/// Equal tasks share one scan of all machines. Guards against a cache that places a task elsewhere than a
/// scan for each task would.
#[test]
fn candidate_cache_places_tasks_as_uncached_scheduling_does() {
    let placements = |cluster: &ClusterState| -> Vec<Vec<(JobId, u32)>> {
        let tasks_on = |machine: &Machine| {
            let attempts = machine.attempts.iter();
            attempts.map(|a| (cluster.job(a.job).id, a.task)).collect()
        };
        cluster.machines.iter().map(tasks_on).collect()
    };
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut cached, mut uncached) = (
            partly_filled_cluster(seed, 12, 20, 20),
            partly_filled_cluster(seed, 12, 20, 20),
        );
        let mut cached_fair_share = FairShareTracker::default();
        let mut uncached_fair_share = FairShareTracker::default();
        for now in (0..4000).step_by(40) {
            scheduling::run_scheduling_cycle(&mut cached, &mut cached_fair_share, now);
            scheduling::run_scheduling_cycle_with_cache(
                &mut uncached,
                &mut uncached_fair_share,
                now,
                &mut CandidateCache::disabled(),
            );
            assert_eq!(
                placements(&cached),
                placements(&uncached),
                "seed {seed} at {now}"
            );
            for cluster in [&mut cached, &mut uncached] {
                advance_all_to_running(cluster, now);
            }
            // Up to three attempts on one machine are removed; their tasks wait again.
            let machine = MachineIndex(rng.random_range(0..12));
            for _ in 0..rng.random_range(0..4) {
                for cluster in [&mut cached, &mut uncached] {
                    if !cluster.machine(machine).attempts.is_empty() {
                        cluster.remove_attempt(machine, 0, now);
                    }
                }
            }
        }
    }
}

/// 600 machines and more than 20,000 tasks: the number of machines that a scheduling cycle scores grows with
/// the jobs and with the machines that they get, not with the waiting tasks.
#[test]
fn scheduling_cycle_scores_bounded_number_of_machines() {
    let mut cluster = partly_filled_cluster(1, 600, 30, 4000);
    let mut fair_share = FairShareTracker::default();
    let tasks: usize = cluster.jobs.iter().map(|job| job.tasks.len()).sum();
    assert!(tasks > 20_000, "{tasks} tasks");
    let mut total = 0;
    for now in 0.. {
        let waiting_jobs = cluster.jobs.iter().filter(|job| !job.waiting.is_empty());
        let (arrays, services): (Vec<_>, Vec<_>) =
            waiting_jobs.partition(|job| job.kind == JobKind::Array);
        let replicas: usize = services.iter().map(|job| job.waiting.len()).sum();
        let (jobs, teams) = (arrays.len() + services.len(), cluster.teams.len());
        let mut candidates = CandidateCache::default();
        let placed = scheduling::run_scheduling_cycle_with_cache(
            &mut cluster,
            &mut fair_share,
            now,
            &mut candidates,
        );
        if placed == 0 {
            break;
        }
        // All machines are scored once for a job, once for each machine that it gets, and once
        // when none has capacity for it; twice for a replica. In addition, each team's current job scores
        // the machines that were filled since its last scan.
        let machines_assigned: usize = cluster
            .machines
            .iter()
            .map(|machine| {
                let placed_now = machine
                    .attempts
                    .iter()
                    .filter(|attempt| attempt.placed_at == now);
                placed_now
                    .map(|attempt| attempt.job)
                    .collect::<HashSet<_>>()
                    .len()
            })
            .sum();
        let bound =
            (2 * jobs + machines_assigned + 2 * replicas.min(placed)) * 600 + teams * placed;
        assert!(
            candidates.machines_scored <= bound,
            "{} machines scored, at most {bound} expected",
            candidates.machines_scored
        );
        total += placed;
    }
    assert!(total > 3000, "{total} placed");
}

/// Capacity that preemption frees must be reserved for the preemptor. Without a reservation the heap of teams
/// gave it back to the preempted team, and the next preemption check freed it again: 26,000 tasks were stopped
/// in seven minutes while the urgent work kept waiting.
#[test]
fn capacity_freed_by_preemption_is_reserved_for_the_preemptor() {
    let mut cluster = cluster((16.0, 0.0), (0.0, 0.0), 4);
    let mut fair_share = FairShareTracker::default();
    let without_guarantee = Submission {
        priority: Priority::Low,
        ..job(1, "blue", 100, 1.0)
    };
    cluster.add_job(&without_guarantee, 0, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    advance_all_to_running(&mut cluster, 0);
    // Red is above its deserved share and blue below: the heap would place blue first.
    let urgent = Submission {
        priority: Priority::High,
        ..job(2, "red", 14, 4.0)
    };
    let index = cluster.add_job(&urgent, 0, 0).expect("a known team");
    let mut stopped = 0;
    for now in [5000, 6000] {
        let mut victims = scheduling::select_preemptions(&cluster, now, PreemptionScope::All);
        stopped += victims.len();
        victims.sort_by_key(|victim| Reverse(victim.attempt_index));
        for victim in victims {
            cluster.remove_attempt(victim.machine, victim.attempt_index, now);
            cluster.machines[victim.machine.as_usize()].reserved_for =
                Some((victim.beneficiary, now + 3000));
        }
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, now);
    }
    assert_eq!(
        cluster.job(index).waiting.len(),
        0,
        "all tasks of the urgent job are placed"
    );
    assert_eq!(stopped, 56, "each victim is preempted once");
    assert_eq!(
        reserved_units(&cluster),
        [56.0, 8.0],
        "the team without a guarantee has the rest"
    );
}

/// Guards against repeated preemption: the many small tasks of a team without a guarantee were each stopped up
/// to 35 times for urgent arrays and completed too late.
#[test]
fn task_with_objective_is_preempted_once_by_arrays_and_always_by_services() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let mut fair_share = FairShareTracker::default();
    let without_guarantee = Submission {
        priority: Priority::Low,
        class: "batch".into(),
        ..job(1, "blue", 4, 4.0)
    };
    cluster.add_job(&without_guarantee, 0, 0);
    for (attempt, stopped) in [(1, 1), (2, 0)] {
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
        advance_all_to_running(&mut cluster, 0);
        assert_eq!(
            cluster.machine(MachineIndex(0)).attempts[0].attempt,
            attempt
        );
        let urgent = Submission {
            priority: Priority::High,
            ..job(1 + u64::from(attempt), "red", 1, 4.0)
        };
        let index = cluster.add_job(&urgent, 0, 0).expect("a known team");
        let victims = scheduling::select_preemptions(&cluster, 5000, PreemptionScope::All);
        assert_eq!(victims.len(), stopped, "attempt {attempt}");
        cluster.close_job(index);
        for i in (0..cluster.machine(MachineIndex(0)).attempts.len()).rev() {
            cluster.remove_attempt(MachineIndex(0), i, 1000);
        }
    }
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 2000);
    let service = Submission {
        kind: JobKind::Service,
        priority: Priority::Production,
        spot: false,
        ..job(9, "red", 1, 4.0)
    };
    cluster.add_job(&service, 0, 0);
    assert_eq!(
        scheduling::select_preemptions(&cluster, 3000, PreemptionScope::All).len(),
        1
    );
}

/// A burst of urgent arrays and a team within its guarantee preempted each other on the same machines each
/// second: 600 and 400 tasks in one day, which all restarted from the beginning.
#[test]
fn arrays_do_not_preempt_work_within_another_teams_guarantee() {
    for (guarantee, stopped) in [(16.0, 0), (8.0, 2), (0.0, 4)] {
        let mut cluster = cluster((0.0, 0.0), (guarantee, 0.0), 1);
        let mut fair_share = FairShareTracker::default();
        let guaranteed = Submission {
            priority: Priority::Low,
            ..job(1, "blue", 4, 4.0)
        };
        cluster.add_job(&guaranteed, 0, 0);
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
        advance_all_to_running(&mut cluster, 0);
        let urgent = Submission {
            priority: Priority::High,
            ..job(2, "red", 4, 4.0)
        };
        cluster.add_job(&urgent, 0, 0);
        let victims = scheduling::select_preemptions(&cluster, 5000, PreemptionScope::All);
        assert_eq!(victims.len(), stopped, "guarantee of {guarantee} CPUs");
        let service = Submission {
            kind: JobKind::Service,
            priority: Priority::Production,
            spot: false,
            ..job(3, "red", 1, 4.0)
        };
        cluster.add_job(&service, 0, 0);
        let victims = scheduling::select_preemptions(&cluster, 5000, PreemptionScope::Services);
        assert_eq!(
            victims.len(),
            1,
            "a service preempts work within a guarantee"
        );
    }
}

/// A start counts for its objective only once the task has run for 30 s; a task that is stopped earlier has not
/// started for its user. Of tasks that lose equally little, those are preempted first whose start has counted
/// already or that have missed the objective anyway.
#[test]
fn preemption_victim_is_chosen_by_missed_objective_cost() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let batch = |number| Submission {
        priority: Priority::Low,
        class: "batch".into(),
        ..job(number, "blue", 1, 4.0)
    };
    // Started 35 s ago in time, 20 s ago in time, and 20 s ago after 70 s of waiting, past
    // the last objective of 60 s.
    for (number, submitted, started_at) in [
        (1, 75_000, 75_000),
        (2, 88_000, 90_000),
        (3, 20_000, 90_000),
    ] {
        let index = cluster.add_job(&batch(number), submitted, submitted);
        let index = index.expect("a known team");
        cluster.place(index, 0, MachineIndex(0), started_at);
    }
    advance_all_to_running(&mut cluster, 90_000);
    cluster.machines[0].attempts[0].running_since = Some(75_000);
    let service = Submission {
        kind: JobKind::Service,
        priority: Priority::Production,
        spot: false,
        ..job(9, "red", 4, 4.0)
    };
    cluster.add_job(&service, 110_000, 110_000);
    let victims = scheduling::select_preemptions(&cluster, 110_000, PreemptionScope::Services);
    let order: Vec<u64> = victims
        .iter()
        .map(|victim| {
            cluster
                .job(cluster.machines[0].attempts[victim.attempt_index].job)
                .id
                .0
        })
        .collect();
    assert_eq!(order, [3, 1, 2]);
}

/// A job's age and its start objectives count from the release of the job, its deadline from the submission.
#[test]
fn released_job_age_and_objectives_count_from_release() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 0);
    cluster.set_time_of_day(0, 100_000);
    let dependent_job = Submission {
        class: "batch".into(),
        deadline_s: Some(200.0),
        estimate_s: 10.0,
        ..job(1, "red", 1, 4.0)
    };
    let index = cluster.add_released_job(&dependent_job, (40_000, 100_000), 0);
    let job = cluster.job(index.expect("a known team"));
    // 200 s less 60 s of waiting for dependencies and 13 s of running.
    assert_eq!(job.objective_slacks_s, [8.0, 60.0, 127.0]);
    assert_eq!(job.placement_deadline_ms, 107_500);
}

/// A job inherits the priority of its most urgent dependent and the times by which dependents need it done, and
/// returns to its own once no dependent is left.
#[test]
fn job_inherits_priority_and_deadline_of_its_dependents() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let mut fair_share = FairShareTracker::default();
    let low_priority = Submission {
        priority: Priority::Low,
        estimate_s: 10.0,
        ..job(1, "red", 9, 4.0)
    };
    let index = cluster.add_job(&low_priority, 0, 0).expect("a known team");
    cluster.add_job(&job(2, "red", 9, 4.0), 0, 0);
    let first = |cluster: &ClusterState| cluster.teams[0].queue.first().map(|(.., job)| *job);
    assert_ne!(first(&cluster), Some(index));
    let inherited = InheritedUrgency {
        priority: Priority::High,
        finish_by_ms: vec![40_000, 70_000],
    };
    cluster.inherit_urgency(index, &inherited, 0);
    assert_eq!(first(&cluster), Some(index));
    let job = cluster.job(index);
    assert_eq!(
        (job.priority, job.objective_slacks_s.as_slice()),
        (Priority::High, &[27.0, 57.0][..])
    );
    assert_eq!(job.placement_deadline_ms, 26_500);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    assert_eq!(
        cluster.job(index).waiting.len(),
        5,
        "it is placed before the other job"
    );
    let nothing_inherited = InheritedUrgency {
        priority: Priority::Low,
        finish_by_ms: Vec::new(),
    };
    cluster.inherit_urgency(index, &nothing_inherited, 0);
    assert_ne!(first(&cluster), Some(index));
    assert_eq!(cluster.teams[0].queue.len(), 2);
    // A finish time that can't be met any more is ignored.
    let unattainable = InheritedUrgency {
        priority: Priority::High,
        finish_by_ms: vec![5000],
    };
    cluster.inherit_urgency(index, &unattainable, 0);
    assert!(cluster.job(index).objective_slacks_s.is_empty());
}

/// An urgent array waits because none of its tasks fits on a machine beside the replicas there. Jobs without
/// an objective were held back for as long as the array waited, although the array could not use the free
/// capacity that they needed.
#[test]
fn job_without_objective_is_not_starved_by_blocked_array() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 2);
    let mut fair_share = FairShareTracker::default();
    let replicas = Submission {
        kind: JobKind::Service,
        priority: Priority::Production,
        spread: true,
        spot: false,
        ..job(1, "red", 2, 1.0)
    };
    cluster.add_job(&replicas, 0, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    advance_all_to_running(&mut cluster, 0);
    let urgent = Submission {
        priority: Priority::High,
        ..job(2, "red", 4, 16.0)
    };
    cluster.add_job(&urgent, 500, 500);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 500);
    let small_job = Submission {
        priority: Priority::Low,
        ..job(3, "blue", 3, 1.0)
    };
    let small = cluster
        .add_job(&small_job, 1000, 1000)
        .expect("a known team");
    let mut placed = None;
    for now in (1000..91_000).step_by(1000) {
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, now);
        assert!(
            scheduling::select_preemptions(&cluster, now, PreemptionScope::All).is_empty(),
            "no victim would make room for the array"
        );
        if cluster.job(small).waiting.is_empty() {
            placed.get_or_insert(now);
        }
    }
    let placed = placed.expect("there was free capacity");
    assert!(
        placed > 10_000,
        "placed at {placed} ms, when the next preemption check could still stop it"
    );
}

/// A task of a job failed on the only machine with free capacity, and the machine is healthy again. The job
/// avoided that machine forever and never ran.
#[test]
fn job_retries_failed_machine_after_avoidance_period() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let mut fair_share = FairShareTracker::default();
    let index = cluster
        .add_job(&job(1, "red", 1, 4.0), 0, 0)
        .expect("a known team");
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    let machine = MachineIndex(0);
    cluster.advance_phase(machine, 0, Phase::Ended, 1000);
    cluster.requeue(index, 0, 1);
    cluster.on_task_failed(index, machine, 1000);
    cluster.remove_attempt(machine, 0, 1000);
    let placed = (2000..91_000).step_by(1000).find(|now| {
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, *now);
        cluster.job(index).waiting.is_empty()
    });
    let placed = placed.expect("there was free capacity");
    assert!(
        placed > 11_000,
        "placed at {placed} ms, while the machine is still avoided"
    );
}

/// The only machine with free capacity is to be replaced because it is slow, but stays as long as a replica runs
/// there. A job that has waited long is placed on it rather than never.
#[test]
fn long_waiting_job_is_placed_on_slow_machine() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let mut fair_share = FairShareTracker::default();
    let replica = Submission {
        kind: JobKind::Service,
        priority: Priority::Production,
        spot: false,
        ..job(1, "red", 1, 4.0)
    };
    cluster.add_job(&replica, 0, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    advance_all_to_running(&mut cluster, 0);
    assert!(cluster.drain_for_replacement(MachineIndex(0), 1, "is slow"));
    let index = cluster
        .add_job(&job(2, "red", 4, 4.0), 1000, 1000)
        .expect("a known team");
    let waiting = |cluster: &ClusterState| cluster.job(index).waiting.len();
    for now in (1000..75_000).step_by(1000) {
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, now);
    }
    assert_eq!(
        waiting(&cluster),
        4,
        "no placement on a machine to be replaced"
    );
    for now in (75_000..90_000).step_by(1000) {
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, now);
    }
    assert_eq!(
        waiting(&cluster),
        1,
        "the machine has capacity for three more"
    );
}

fn add_running_job(cluster: &mut ClusterState, spec: &Submission, machines: &[u32]) -> JobIndex {
    let job = cluster.add_job(spec, 0, 0).expect("a known team");
    for (task, machine) in machines.iter().enumerate() {
        cluster.place(job, task as u32, MachineIndex(*machine), 0);
        let attempt_index = cluster.machines[*machine as usize].attempts.len() - 1;
        cluster.advance_phase(
            MachineIndex(*machine),
            attempt_index,
            Phase::Running,
            10 * (task as u64 + 1),
        );
    }
    job
}

fn excess_cpus(cpus: f64) -> Resources {
    Resources {
        cpus,
        ..Resources::default()
    }
}

#[test]
fn team_over_limit_stops_lowest_priority_and_least_lost_work_first() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 4);
    let urgent = Submission {
        priority: Priority::High,
        ..job(1, "red", 2, 4.0)
    };
    let urgent = add_running_job(&mut cluster, &urgent, &[0, 1]);
    let normal = add_running_job(&mut cluster, &job(2, "red", 3, 4.0), &[1, 2, 3]);
    let of_other_team = add_running_job(&mut cluster, &job(3, "blue", 1, 4.0), &[3]);
    let team = cluster.job(normal).team;
    let stopped_tasks = |cpus: f64, cluster: &ClusterState| -> Vec<(JobIndex, u32)> {
        let victims =
            scheduling::select_preemptions_over_limit(cluster, team, &excess_cpus(cpus), 60_000);
        let attempts = victims
            .iter()
            .map(|(machine, index)| &cluster.machine(*machine).attempts[*index]);
        attempts
            .map(|attempt| (attempt.job, attempt.task))
            .collect()
    };
    // The attempt that started last loses the least work.
    assert_eq!(stopped_tasks(4.0, &cluster), [(normal, 2)]);
    assert_eq!(
        stopped_tasks(4.5, &cluster),
        [(normal, 2), (normal, 1)],
        "only whole tasks are stopped"
    );
    let selected = stopped_tasks(16.0, &cluster);
    assert_eq!(selected.len(), 4);
    assert!(
        selected.contains(&(urgent, 1)) && !selected.iter().any(|(job, _)| *job == of_other_team)
    );
    assert!(stopped_tasks(0.0, &cluster).is_empty());
    // Attempts that are being stopped already count.
    cluster.request_stop(MachineIndex(2), 0, 0.0);
    assert!(stopped_tasks(4.0, &cluster).is_empty());
    assert_eq!(stopped_tasks(8.0, &cluster), [(normal, 2)]);
}

#[test]
fn gang_over_limit_is_stopped_atomically() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 3);
    let gang = Submission {
        kind: JobKind::Gang,
        priority: Priority::Low,
        ..job(1, "red", 3, 4.0)
    };
    add_running_job(&mut cluster, &gang, &[0, 1, 2]);
    add_running_job(&mut cluster, &job(2, "red", 1, 4.0), &[0]);
    let team = cluster.job(JobIndex(0)).team;
    let victims =
        scheduling::select_preemptions_over_limit(&cluster, team, &excess_cpus(4.0), 60_000);
    assert_eq!(victims.len(), 3);
    assert!(
        victims
            .iter()
            .all(|(machine, index)| cluster.machine(*machine).attempts[*index].job == JobIndex(0))
    );
}
