//! The books, the scheduler and the autoscaler under generated loads.

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
    scheduling::{self, CandidateCache, PreemptionScope, fair_share::FairShareLedger},
    storage,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

mod fixtures;
use fixtures::{cluster, job, reserved_units};

fn advance_all_to_running(cluster: &mut ClusterState, now: u64) {
    for machine in 0..cluster.machines.len() as u32 {
        let machine = MachineIndex(machine);
        for at in 0..cluster.machine(machine).attempts.len() {
            cluster.advance_phase(machine, at, Phase::Running, now);
        }
    }
}

#[test]
fn equal_teams_get_equal_reservations_regardless_of_arrival_and_backlog() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 4);
    let mut fair_share = FairShareLedger::default();
    cluster.add_job(&job(1, "red", 1000, 4.0), 0, 0);
    cluster.add_job(&job(2, "blue", 10, 4.0), 99, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    assert_eq!(reserved_units(&cluster), [32.0, 32.0]);
}

#[test]
fn guarantee_is_enforced_by_preempting_only_excess_of_other_teams() {
    let mut cluster = cluster((16.0, 0.0), (0.0, 0.0), 4);
    let mut fair_share = FairShareLedger::default();
    let aimed = Submission {
        deadline_s: Some(1000.0),
        ..job(1, "blue", 16, 4.0)
    };
    cluster.add_job(&aimed, 0, 0);
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
    // Tasks end all the time: an array waits a little before work with aims has to give way, or
    // replicas, which have no such times.
    assert!(scheduling::select_preemptions(&cluster, 1000, PreemptionScope::All).is_empty());
    for kind in [JobKind::Service, JobKind::Array] {
        let index = JobIndex(0);
        let aims = std::mem::take(&mut cluster.jobs[index.as_usize()].latest_placements_ms);
        cluster.jobs[index.as_usize()].kind = kind;
        let gives_way =
            !scheduling::select_preemptions(&cluster, 1000, PreemptionScope::All).is_empty();
        assert_eq!(gives_way, kind == JobKind::Array, "without aims, {kind:?}");
        cluster.jobs[index.as_usize()].latest_placements_ms = aims;
    }
    let victims = scheduling::select_preemptions(&cluster, 5000, PreemptionScope::All);
    assert_eq!(victims.len(), 4, "blue gives red its guarantee, no more");
    // What was stopped waits again, and red has its turn.
    for victim in victims.iter().rev() {
        cluster.machines[victim.machine.as_usize()].attempts[victim.attempt_index].stop_grace_s =
            Some(0.0);
    }
    let again = scheduling::select_preemptions(&cluster, 5000, PreemptionScope::All);
    assert!(again.is_empty(), "what is being stopped already is enough");
    for number in 0..4 {
        let machine = MachineIndex(number);
        for at in (0..cluster.machine(machine).attempts.len()).rev() {
            if cluster.machine(machine).attempts[at].stop_grace_s.is_some() {
                cluster.remove_attempt(machine, at, 5001);
            }
        }
    }
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 5001);
    assert_eq!(reserved_units(&cluster), [16.0, 48.0]);
    assert!(
        scheduling::select_preemptions(&cluster, 6000, PreemptionScope::All).is_empty(),
        "nothing of the same priority"
    );
}

#[expect(clippy::too_many_lines, reason = "still to be split")]
#[test]
fn random_load_never_violates_limits_capacity_zones_or_spot_constraints() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut cluster = cluster((8.0, 24.0), (0.0, 48.0), 6);
        let mut fair_share = FairShareLedger::default();
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
                for at in (0..cluster.machine(machine).attempts.len()).rev() {
                    let stopping = cluster.machine(machine).attempts[at].stop_grace_s.is_some();
                    if stopping || rng.random_bool(0.1) {
                        cluster.remove_attempt(machine, at, now);
                    } else {
                        cluster.advance_phase(machine, at, Phase::Running, now);
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
                        "an ordinary job on a spot machine"
                    );
                }
                assert!(used.cpus <= 16.0 + 1e-6, "{} CPUs on 16", used.cpus);
            }
            for job in &cluster.jobs {
                let most = job.active_by_zone.iter().max().copied().unwrap_or(0) as usize;
                assert!(!job.spread || most <= job.tasks.len().div_ceil(2));
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
    let mut fair_share = FairShareLedger::default();
    let mut warm = job(1, "red", 4, 4.0);
    warm.image = "front-img".into();
    cluster.add_job(&warm, 0, 0);
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
    let holder = cluster
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
        holder
            .attempts
            .iter()
            .any(|a| cluster.job(a.job).id == JobId(1))
    );
    let stopped = holder
        .attempts
        .iter()
        .filter(|a| a.stop_grace_s.is_some())
        .count();
    assert_eq!(stopped, 1, "one array task gives way, no more");
}

/// Under a backlog, first come first served makes everybody late: a job that has missed an aim makes
/// way for one that can still meet it, until its own next aim comes near.
#[test]
fn job_past_its_objective_yields_to_jobs_that_can_still_meet_theirs() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 0);
    let team = TeamIndex(0);
    let first = |cluster: &ClusterState| {
        let &(_, _, job) = cluster.teams[team.as_usize()].queue.first().unwrap();
        cluster.job(job).id.0
    };
    for (number, at) in [(1, 0), (2, 10_000)] {
        let mut batch = job(number, "red", 4, 4.0);
        batch.class = "batch".into();
        cluster.add_job(&batch, at, at);
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
    assert_eq!(first(&cluster), 1, "past all aims, the older first");
}

#[test]
fn waiting_tasks_scale_out_and_idle_machines_scale_in() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 0);
    let mut fair_share = FairShareLedger::default();
    let mut autoscaler = Autoscaler::default();
    let mut replica = job(1, "red", 4, 4.0);
    replica.kind = JobKind::Service;
    replica.spread = true;
    replica.spot = false;
    cluster.add_job(&replica, 0, 0);
    let (rentals, _) = autoscaler.plan_scaling(&cluster, &[], 0, 0);
    let count: u32 = rentals.iter().map(|rental| rental.count).sum();
    assert_eq!(count, 2, "half of a spread job in either zone");
    assert!(rentals.iter().all(|rental| !rental.offer.spot));
    let (more, _) = autoscaler.plan_scaling(&cluster, &rentals, 0, 0);
    assert!(more.is_empty(), "what is under way is counted");
    for rental in &rentals {
        autoscaler.mark_unavailable(rental.offer, 0);
    }
    assert!(
        autoscaler.plan_scaling(&cluster, &[], 0, 0).0.is_empty(),
        "refused offers rest"
    );

    let mut cluster = self::cluster((0.0, 0.0), (0.0, 0.0), 3);
    cluster.add_job(&job(2, "red", 1, 4.0), 0, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    let (_, returns) = autoscaler.plan_scaling(&cluster, &[], 200_000, 200_000);
    assert_eq!(returns.len(), 2, "the one with work stays");
}

/// Room for services: as much as steadily comes while a machine boots, at any size, but not for what came all
/// at once when the deployment started.
#[test]
fn service_headroom_follows_steady_arrivals_not_bursts() {
    let need = Resources {
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
    };
    let wanted = |bulk: usize, each_second: usize| {
        let cluster = cluster((0.0, 0.0), (0.0, 0.0), 0);
        let mut autoscaler = Autoscaler::default();
        autoscaler.record_service_arrival(need, bulk, 1000);
        for second in 0..110 {
            autoscaler.record_service_arrival(need, each_second, 2000 + second * 1000);
        }
        let (rentals, _) = autoscaler.plan_scaling(&cluster, &[], 112_000, 112_000);
        let machines: u32 = rentals.iter().map(|rental| rental.count).sum();
        16 * machines as usize
    };
    // 15 s of booting, and half as much again.
    let expected = |each_second: usize| each_second * 15 * 3 / 2;
    for each_second in [1, 4, 8, 16] {
        let got = wanted(0, each_second);
        let least = expected(each_second) * 3 / 4;
        let most = expected(each_second) * 5 / 4 + 16;
        assert!(
            (least..=most).contains(&got),
            "{got} of {each_second} a second"
        );
    }
    assert_eq!(wanted(2000, 0), 64, "one burst");
    assert!(wanted(2000, 4) <= expected(4) * 5 / 4 + 16);
}

/// Of two zones that could be rented in, the one that is cut off had fewer machines that count and got all
/// that was rented.
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
    let (rentals, _) = Autoscaler::default().plan_scaling(&cluster, &[], 0, 0);
    let elsewhere: u32 = rentals.iter().map(|rental| rental.count).sum();
    assert!(rentals.iter().all(|rental| rental.offer.zone != zone));
    assert_eq!(elsewhere, 50, "as many as one request may ask for");
    // Half of it answers: it is not the zone.
    for machine in cluster.machines.iter_mut().step_by(4) {
        machine.unresponsive = false;
    }
    let (rentals, _) = Autoscaler::default().plan_scaling(&cluster, &[], 0, 0);
    assert!(rentals.iter().any(|rental| rental.offer.zone == zone));
}

#[test]
fn largest_job_fits_snapshot_value_limit_and_scheduling_cycle() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 40);
    let mut fair_share = FairShareLedger::default();
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

/// A successor places by the images that its predecessor knew of.
#[test]
fn image_records_stay_within_value_limit() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 600);
    let mut fair_share = FairShareLedger::default();
    cluster.add_job(&job(1, "red", 1200, 8.0), 0, 0);
    while scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0) > 0 {}
    advance_all_to_running(&mut cluster, 0);
    cluster.machines[3].draining = true;
    for bytes in [2048, 16 * 1024] {
        let records = records::images_records(&cluster, bytes);
        let mut told = 0;
        for record in records {
            told += record
                .machines
                .iter()
                .filter(|(name, held)| {
                    let replace = name == "vm-000003";
                    *held == 1 | if replace { storage::REPLACEMENT_BIT } else { 0 }
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
        assert_eq!(told, 600);
    }
    let mut successor = self::cluster((0.0, 0.0), (0.0, 0.0), 0);
    let images = [("img".to_owned(), 1.0)].into_iter();
    successor.restore_machine_hints("vm-000007".into(), images, true);
    let zone = successor.intern_zone("a");
    let machine = successor.add_machine("vm-000007", MachineTypeIndex(0), zone, false, 0);
    successor.add_job(&job(1, "red", 1, 8.0), 0, 0);
    let image = successor.jobs[0].image;
    assert!(successor.machine(machine).has_image(image));
    assert!(successor.machine(machine).draining, "to be replaced");
}

/// A fleet's worth of changes is cut into entries that each fit a value, however small that is.
#[test]
fn log_records_fit_value_limit_and_contain_each_change_once() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 600);
    let mut fair_share = FairShareLedger::default();
    for number in 0..300 {
        let team = ["red", "blue"][number as usize % 2];
        cluster.add_job(&job(number, team, 7, 4.0), 0, 0);
    }
    while scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0) > 0 {}
    let changed: Vec<_> = cluster.unlogged_tasks.iter().copied().collect();
    assert_eq!(changed.len(), 2100, "each placement is a change");
    for bytes in [600, 4096, 16 * 1024] {
        let mut tasks = changed.iter().copied().peekable();
        let mut named = 0;
        while tasks.peek().is_some() {
            let record = records::log_record(&cluster, &mut tasks, (1, 1), bytes);
            named += record
                .jobs
                .iter()
                .map(|(.., notes)| notes.len())
                .sum::<usize>();
            let value = storage::to_value(&record);
            assert!(value.to_string().len() <= bytes);
            let read: storage::LogRecord = serde_json::from_value(value).unwrap();
            assert_eq!(read, record);
        }
        assert_eq!(named, changed.len());
    }
}

#[test]
fn gang_is_placed_atomically() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 4);
    let mut fair_share = FairShareLedger::default();
    let mut gang = job(1, "red", 9, 4.0);
    gang.kind = JobKind::Gang;
    gang.one_zone = true;
    let index = cluster.add_job(&gang, 0, 0).unwrap();
    assert_eq!(
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0),
        0,
        "a zone holds eight"
    );
    let zone = cluster.intern_zone("a");
    let more = cluster.add_machine("vm-000009", MachineTypeIndex(0), zone, false, 0);
    cluster.machines[more.as_usize()].state = MachineState::Up;
    assert_eq!(
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0),
        9
    );
    assert_eq!(cluster.job(index).active_by_zone, [9, 0]);
}

/// A load in which arrays and services of two teams, with images, types of need and machines that
/// are partly full, compete.
fn crowded_cluster(seed: u64, machines: usize, jobs: u64, most: u32) -> ClusterState {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = cluster((8.0, 0.0), (0.0, 0.0), machines);
    for machine in &mut cluster.machines {
        machine.spot = rng.random_bool(0.3);
    }
    for number in 1..=jobs {
        let team = if rng.random_bool(0.5) { "red" } else { "blue" };
        let mut spec = job(number, team, rng.random_range(1..=most), 1.0);
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

/// Equal tasks share one look at all machines; where they go is what a look for each would say.
#[test]
fn candidate_cache_places_tasks_as_uncached_scheduling_does() {
    let places = |cluster: &ClusterState| -> Vec<Vec<(JobId, u32)>> {
        let on = |machine: &Machine| {
            let attempts = machine.attempts.iter();
            attempts.map(|a| (cluster.job(a.job).id, a.task)).collect()
        };
        cluster.machines.iter().map(on).collect()
    };
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut shared, mut plain) = (
            crowded_cluster(seed, 12, 20, 20),
            crowded_cluster(seed, 12, 20, 20),
        );
        let mut shared_fair_share = FairShareLedger::default();
        let mut plain_fair_share = FairShareLedger::default();
        for now in (0..4000).step_by(40) {
            scheduling::run_scheduling_cycle(&mut shared, &mut shared_fair_share, now);
            scheduling::run_scheduling_cycle_with(
                &mut plain,
                &mut plain_fair_share,
                now,
                &mut CandidateCache::without_cache(),
            );
            assert_eq!(places(&shared), places(&plain), "seed {seed} at {now}");
            for cluster in [&mut shared, &mut plain] {
                advance_all_to_running(cluster, now);
            }
            // Something ends, and something lingers on its machine although it is to run elsewhere.
            let on = MachineIndex(rng.random_range(0..12));
            for _ in 0..rng.random_range(0..4) {
                for cluster in [&mut shared, &mut plain] {
                    if !cluster.machine(on).attempts.is_empty() {
                        cluster.remove_attempt(on, 0, now);
                    }
                }
            }
        }
    }
}

/// Six hundred machines, tens of thousands of tasks: what a round looks at grows with jobs and with
/// the machines that they get, not with tasks that wait.
#[test]
fn scheduling_cycle_scores_bounded_number_of_machines() {
    let mut cluster = crowded_cluster(1, 600, 30, 4000);
    let mut fair_share = FairShareLedger::default();
    let tasks: usize = cluster.jobs.iter().map(|job| job.tasks.len()).sum();
    assert!(tasks > 20_000, "{tasks} tasks");
    let mut total = 0;
    for now in 0.. {
        let waits = cluster.jobs.iter().filter(|job| !job.waiting.is_empty());
        let (arrays, services): (Vec<_>, Vec<_>) =
            waits.partition(|job| job.kind == JobKind::Array);
        let replicas: usize = services.iter().map(|job| job.waiting.len()).sum();
        let (jobs, teams) = (arrays.len() + services.len(), cluster.teams.len());
        let mut looks = CandidateCache::default();
        let placed =
            scheduling::run_scheduling_cycle_with(&mut cluster, &mut fair_share, now, &mut looks);
        if placed == 0 {
            break;
        }
        // All machines are looked at once for a job, once for each machine that it gets, and once
        // when it finds no room; twice for a replica. Besides, each team's job at hand looks at
        // what was filled since its last look.
        let gets: usize = cluster
            .machines
            .iter()
            .map(|machine| {
                let fresh = machine.attempts.iter().filter(|a| a.placed_at == now);
                fresh.map(|a| a.job).collect::<HashSet<_>>().len()
            })
            .sum();
        let bound = (2 * jobs + gets + 2 * replicas.min(placed)) * 600 + teams * placed;
        assert!(
            looks.machines_scored <= bound,
            "{} looks of {bound}",
            looks.machines_scored
        );
        total += placed;
    }
    assert!(total > 3000, "{total} placed");
}

/// The heap gave room that urgent work had been promised back to the team that it was taken from, and
/// the next check took it again: 26000 tasks were stopped in seven minutes, and the urgent waited on.
#[test]
fn room_freed_by_preemption_is_reserved_for_the_preemptor() {
    let mut cluster = cluster((16.0, 0.0), (0.0, 0.0), 4);
    let mut fair_share = FairShareLedger::default();
    let guest = Submission {
        priority: Priority::Low,
        ..job(1, "blue", 100, 1.0)
    };
    cluster.add_job(&guest, 0, 0);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    advance_all_to_running(&mut cluster, 0);
    // Red is beyond what it deserves, blue below: the heap would have blue go first.
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
        "the urgent job has its room"
    );
    assert_eq!(stopped, 56, "each place is taken once");
    assert_eq!(
        reserved_units(&cluster),
        [56.0, 8.0],
        "the guest has what is left"
    );
}

/// A guest's swarm of small tasks was stopped up to 35 times each for urgent arrays, and ended too late.
#[test]
fn task_with_objective_is_preempted_once_by_arrays_and_always_by_services() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let mut fair_share = FairShareLedger::default();
    let guest = Submission {
        priority: Priority::Low,
        class: "batch".into(),
        ..job(1, "blue", 4, 4.0)
    };
    cluster.add_job(&guest, 0, 0);
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
        for at in (0..cluster.machine(MachineIndex(0)).attempts.len()).rev() {
            cluster.remove_attempt(MachineIndex(0), at, 1000);
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

/// A burst of urgent arrays and a team that was within its guarantee took the same places from each other
/// each second: 600 and 400 tasks in one day, which all began anew.
#[test]
fn arrays_do_not_preempt_work_within_another_teams_guarantee() {
    for (guarantee, stopped) in [(16.0, 0), (8.0, 2), (0.0, 4)] {
        let mut cluster = cluster((0.0, 0.0), (guarantee, 0.0), 1);
        let mut fair_share = FairShareLedger::default();
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
        assert_eq!(victims.len(), stopped, "guaranteed {guarantee}");
        let service = Submission {
            kind: JobKind::Service,
            priority: Priority::Production,
            spot: false,
            ..job(3, "red", 1, 4.0)
        };
        cluster.add_job(&service, 0, 0);
        let victims = scheduling::select_preemptions(&cluster, 5000, PreemptionScope::Services);
        assert_eq!(victims.len(), 1, "services have what they need");
    }
}

/// What is stopped within 30 s of its start was no start for its user: of tasks that lost as little,
/// those give way whose starts have counted, or are late already.
#[test]
fn preemption_victim_is_chosen_by_missed_objective_cost() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let batch = |number| Submission {
        priority: Priority::Low,
        class: "batch".into(),
        ..job(number, "blue", 1, 4.0)
    };
    // Begun 35 s ago, in time, 20 s ago, in time, and 20 s ago, after 61 s of waiting.
    for (number, submitted, began) in [
        (1, 75_000, 75_000),
        (2, 88_000, 90_000),
        (3, 20_000, 90_000),
    ] {
        let index = cluster.add_job(&batch(number), submitted, submitted);
        let index = index.expect("a known team");
        cluster.place(index, 0, MachineIndex(0), began);
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

/// Age and aims count from the release, the deadline from the submission.
#[test]
fn released_job_age_and_objectives_count_from_release() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 0);
    cluster.set_time_of_day(0, 100_000);
    let stage = Submission {
        class: "batch".into(),
        deadline_s: Some(200.0),
        estimate_s: 10.0,
        ..job(1, "red", 1, 4.0)
    };
    let index = cluster.add_released_job(&stage, (40_000, 100_000), 0);
    let entry = cluster.job(index.expect("a known team"));
    // 200 s less 60 s of waiting for others and 13 s of running.
    assert_eq!(entry.objective_slacks_s, [8.0, 60.0, 127.0]);
    assert_eq!(entry.placement_deadline_ms, 107_500);
}

/// A stage is as urgent as the most urgent job that needs it, has to be placed in time for that, and
/// is what it was once nobody needs it any more.
#[test]
fn job_inherits_priority_and_deadline_of_its_dependents() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let mut fair_share = FairShareLedger::default();
    let plain = Submission {
        priority: Priority::Low,
        estimate_s: 10.0,
        ..job(1, "red", 9, 4.0)
    };
    let index = cluster.add_job(&plain, 0, 0).expect("a known team");
    cluster.add_job(&job(2, "red", 9, 4.0), 0, 0);
    let first = |cluster: &ClusterState| cluster.teams[0].queue.first().map(|(.., job)| *job);
    assert_ne!(first(&cluster), Some(index));
    let pull = InheritedUrgency {
        priority: Priority::High,
        finish_by_ms: vec![40_000, 70_000],
    };
    cluster.inherit_urgency(index, &pull, 0);
    assert_eq!(first(&cluster), Some(index));
    let entry = cluster.job(index);
    assert_eq!(
        (entry.priority, entry.objective_slacks_s.as_slice()),
        (Priority::High, &[27.0, 57.0][..])
    );
    assert_eq!(entry.placement_deadline_ms, 26_500);
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    assert_eq!(cluster.job(index).waiting.len(), 5, "it had its turn first");
    let own = InheritedUrgency {
        priority: Priority::Low,
        finish_by_ms: Vec::new(),
    };
    cluster.inherit_urgency(index, &own, 0);
    assert_ne!(first(&cluster), Some(index));
    assert_eq!(cluster.teams[0].queue.len(), 2);
    // An end that can't be met any more is none to hurry for.
    let late = InheritedUrgency {
        priority: Priority::High,
        finish_by_ms: vec![5000],
    };
    cluster.inherit_urgency(index, &late, 0);
    assert!(cluster.job(index).objective_slacks_s.is_empty());
}

/// An urgent array waits that fits on no machine beside the replicas there. Work that nothing is aimed at was taken to be in
/// its way for as long as it waited, though there was room for it that the array could not use.
#[test]
fn job_without_objective_is_not_starved_by_blocked_array() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 2);
    let mut fair_share = FairShareLedger::default();
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
    let small = Submission {
        priority: Priority::Low,
        ..job(3, "blue", 3, 1.0)
    };
    let small = cluster.add_job(&small, 1000, 1000).expect("a known team");
    let mut placed = None;
    for now in (1000..91_000).step_by(1000) {
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, now);
        assert!(
            scheduling::select_preemptions(&cluster, now, PreemptionScope::All).is_empty(),
            "nobody is in the way"
        );
        if cluster.job(small).waiting.is_empty() {
            placed.get_or_insert(now);
        }
    }
    let placed = placed.expect("there was room");
    assert!(
        placed > 10_000,
        "at {placed}: first it may be stopped at the next check"
    );
}

/// A job's task failed on the only machine that has room, and the machine is sound again. The job kept away from it for good, and
/// waited beside its room.
#[test]
fn job_retries_failed_machine_after_avoidance_period() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let mut fair_share = FairShareLedger::default();
    let index = cluster
        .add_job(&job(1, "red", 1, 4.0), 0, 0)
        .expect("a known team");
    scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, 0);
    let on = MachineIndex(0);
    cluster.advance_phase(on, 0, Phase::Ended, 1000);
    cluster.requeue(index, 0, 1);
    cluster.on_task_failed(index, on, 1000);
    cluster.remove_attempt(on, 0, 1000);
    let placed = (2000..91_000).step_by(1000).find(|now| {
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, *now);
        cluster.job(index).waiting.is_empty()
    });
    let placed = placed.expect("there was room");
    assert!(placed > 11_000, "at {placed}: others first");
}

/// The only machine with room is to be replaced for being slow, and stays as long as a replica runs there.
#[test]
fn long_waiting_job_is_placed_on_slow_machine() {
    let mut cluster = cluster((0.0, 0.0), (0.0, 0.0), 1);
    let mut fair_share = FairShareLedger::default();
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
    assert_eq!(waiting(&cluster), 4, "it is to be replaced");
    for now in (75_000..90_000).step_by(1000) {
        scheduling::run_scheduling_cycle(&mut cluster, &mut fair_share, now);
    }
    assert_eq!(waiting(&cluster), 1, "it holds three more");
}

fn add_running_job(cluster: &mut ClusterState, spec: &Submission, on: &[u32]) -> JobIndex {
    let job = cluster.add_job(spec, 0, 0).expect("a known team");
    for (task, machine) in on.iter().enumerate() {
        cluster.place(job, task as u32, MachineIndex(*machine), 0);
        let at = cluster.machines[*machine as usize].attempts.len() - 1;
        cluster.advance_phase(
            MachineIndex(*machine),
            at,
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
    let plain = add_running_job(&mut cluster, &job(2, "red", 3, 4.0), &[1, 2, 3]);
    let other = add_running_job(&mut cluster, &job(3, "blue", 1, 4.0), &[3]);
    let team = cluster.job(plain).team;
    let stopped = |cpus: f64, cluster: &ClusterState| -> Vec<(JobIndex, u32)> {
        let victims =
            scheduling::select_stops_over_limit(cluster, team, &excess_cpus(cpus), 60_000);
        let attempts = victims
            .iter()
            .map(|(on, at)| &cluster.machine(*on).attempts[*at]);
        attempts
            .map(|attempt| (attempt.job, attempt.task))
            .collect()
    };
    // The last one to begin has least to lose.
    assert_eq!(stopped(4.0, &cluster), [(plain, 2)]);
    assert_eq!(
        stopped(4.5, &cluster),
        [(plain, 2), (plain, 1)],
        "whole tasks"
    );
    let all = stopped(16.0, &cluster);
    assert_eq!(all.len(), 4);
    assert!(all.contains(&(urgent, 1)) && !all.iter().any(|(job, _)| *job == other));
    assert!(stopped(0.0, &cluster).is_empty());
    // What already has to stop counts.
    cluster.request_stop(MachineIndex(2), 0, 0.0);
    assert!(stopped(4.0, &cluster).is_empty());
    assert_eq!(stopped(8.0, &cluster), [(plain, 2)]);
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
    let victims = scheduling::select_stops_over_limit(&cluster, team, &excess_cpus(4.0), 60_000);
    assert_eq!(victims.len(), 3);
    assert!(
        victims
            .iter()
            .all(|(on, at)| cluster.machine(*on).attempts[*at].job == JobIndex(0))
    );
}
