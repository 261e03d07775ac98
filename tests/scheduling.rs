//! The books, the scheduler and the autoscaler under generated loads.

use std::{cmp::Reverse, collections::HashSet};

use dalelb::{
    autoscaler::Autoscaler,
    cluster::{
        Amounts, Books, JobIx, Machine, MachineIx, MachineState, Phase, Pull, TeamIx, TypeIx,
    },
    protocol::{
        ids::JobId,
        job::{Kind, Priority, Submission},
    },
    scheduling::{self, Looks, Whose},
    storage,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

mod small;
use small::{booked, books, job};

fn run_all(books: &mut Books, now: u64) {
    for machine in 0..books.machines.len() as u32 {
        let machine = MachineIx(machine);
        for at in 0..books.machine(machine).attempts.len() {
            books.advance(machine, at, Phase::Running, now);
        }
    }
}

#[test]
fn teams_alternate_whoever_came_first_and_with_however_much() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 4);
    books.add_job(&job(1, "red", 1000, 4.0), 0, 0);
    books.add_job(&job(2, "blue", 10, 4.0), 99, 0);
    scheduling::round(&mut books, 0);
    assert_eq!(booked(&books), [32.0, 32.0]);
}

#[test]
fn a_guarantee_is_kept_by_stopping_only_the_excess_of_others() {
    let mut books = books((16.0, 0.0), (0.0, 0.0), 4);
    let aimed = Submission {
        deadline_s: Some(1000.0),
        ..job(1, "blue", 16, 4.0)
    };
    books.add_job(&aimed, 0, 0);
    scheduling::round(&mut books, 0);
    run_all(&mut books, 0);
    assert_eq!(booked(&books), [0.0, 64.0]);
    books.add_job(&job(2, "red", 100, 4.0), 0, 0);
    assert_eq!(scheduling::round(&mut books, 1), 0);
    // Red deserves its 16 and half of the other 48.
    assert_eq!(scheduling::deserved(&books, 64.0), [40.0, 24.0]);
    // Tasks end all the time: an array waits a little before work with aims has to give way, or
    // replicas, which have no such times.
    assert!(scheduling::preempt(&books, 1000, Whose::All).is_empty());
    for kind in [Kind::Service, Kind::Array] {
        let index = JobIx(0);
        let aims = std::mem::take(&mut books.jobs[index.at()].latest);
        books.jobs[index.at()].kind = kind;
        let gives_way = !scheduling::preempt(&books, 1000, Whose::All).is_empty();
        assert_eq!(gives_way, kind == Kind::Array, "without aims, {kind:?}");
        books.jobs[index.at()].latest = aims;
    }
    let victims = scheduling::preempt(&books, 5000, Whose::All);
    assert_eq!(victims.len(), 4, "blue gives red its guarantee, no more");
    // What was stopped waits again, and red has its turn.
    for victim in victims.iter().rev() {
        books.machines[victim.machine.at()].attempts[victim.at].stop = Some(0.0);
    }
    let again = scheduling::preempt(&books, 5000, Whose::All);
    assert!(again.is_empty(), "what is being stopped already is enough");
    for number in 0..4 {
        let machine = MachineIx(number);
        for at in (0..books.machine(machine).attempts.len()).rev() {
            if books.machine(machine).attempts[at].stop.is_some() {
                books.drop_attempt(machine, at, 5001);
            }
        }
    }
    scheduling::round(&mut books, 5001);
    assert_eq!(booked(&books), [16.0, 48.0]);
    assert!(
        scheduling::preempt(&books, 6000, Whose::All).is_empty(),
        "nothing of the same priority"
    );
}

#[test]
fn limits_room_zones_and_kinds_hold_whatever_comes_and_goes() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut books = books((8.0, 24.0), (0.0, 48.0), 6);
        books.machines[5].spot = true;
        let mut now = 0;
        for number in 1..60 {
            now += 500;
            let team = if rng.random_bool(0.5) { "red" } else { "blue" };
            let mut spec = job(number, team, rng.random_range(1..12), 4.0);
            spec.cpus = f64::from(rng.random_range(1..9u32));
            spec.image = format!("img-{}", number % 5);
            spec.image_gb = 4.0;
            if rng.random_bool(0.4) {
                spec.kind = Kind::Service;
                spec.class = "front".into();
                spec.priority = Priority::Production;
                spec.spot = false;
                spec.spread = rng.random_bool(0.7);
                spec.one_zone = !spec.spread && rng.random_bool(0.5);
            }
            books.add_job(&spec, number, now);
            scheduling::round(&mut books, now);
            for machine in 0..books.machines.len() as u32 {
                let machine = MachineIx(machine);
                for at in (0..books.machine(machine).attempts.len()).rev() {
                    let stopping = books.machine(machine).attempts[at].stop.is_some();
                    if stopping || rng.random_bool(0.1) {
                        books.drop_attempt(machine, at, now);
                    } else {
                        books.advance(machine, at, Phase::Running, now);
                    }
                }
            }
            assert!(booked(&books)[0] <= 24.0 + 1e-6 && booked(&books)[1] <= 48.0 + 1e-6);
            for machine in &books.machines {
                let mut used = Amounts::default();
                for attempt in &machine.attempts {
                    let job = books.job(attempt.job);
                    used.add(&job.need);
                    assert!(
                        !machine.spot || job.spot,
                        "an ordinary job on a spot machine"
                    );
                }
                assert!(used.cpus <= 16.0 + 1e-6, "{} CPUs on 16", used.cpus);
            }
            for job in &books.jobs {
                let most = job.by_zone.iter().max().copied().unwrap_or(0) as usize;
                assert!(!job.spread || most <= job.tasks.len().div_ceil(2));
                let zones = job.by_zone.iter().filter(|count| **count > 0).count();
                assert!(!job.one_zone || zones <= 1);
            }
        }
    }
}

#[test]
fn a_replica_that_would_wait_for_its_image_takes_an_arrays_place() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 2);
    let mut warm = job(1, "red", 4, 4.0);
    warm.image = "front-img".into();
    books.add_job(&warm, 0, 0);
    scheduling::round(&mut books, 0);
    run_all(&mut books, 0);
    let mut replica = job(2, "blue", 1, 4.0);
    replica.kind = Kind::Service;
    replica.class = "front".into();
    replica.priority = Priority::Production;
    replica.image = "front-img".into();
    replica.image_gb = 5.0;
    replica.spot = false;
    books.add_job(&replica, 0, 40_000);
    scheduling::round(&mut books, 40_000);
    let holder = books
        .machines
        .iter()
        .find(|machine| {
            machine
                .attempts
                .iter()
                .any(|a| books.job(a.job).id == JobId(2))
        })
        .expect("the replica was placed");
    assert!(
        holder
            .attempts
            .iter()
            .any(|a| books.job(a.job).id == JobId(1))
    );
    let stopped = holder.attempts.iter().filter(|a| a.stop.is_some()).count();
    assert_eq!(stopped, 1, "one array task gives way, no more");
}

/// Under a backlog, first come first served makes everybody late: a job that has missed an aim makes
/// way for one that can still meet it, until its own next aim comes near.
#[test]
fn a_job_that_missed_an_aim_lets_others_meet_theirs() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 0);
    let team = TeamIx(0);
    let first = |books: &Books| {
        let &(_, _, job) = books.teams[team.at()].queue.first().unwrap();
        books.job(job).id.0
    };
    for (number, at) in [(1, 0), (2, 10_000)] {
        let mut batch = job(number, "red", 4, 4.0);
        batch.class = "batch".into();
        books.add_job(&batch, at, at);
    }
    for (now, expected) in [
        (5000, 1),
        (10_000, 2),
        (16_000, 2),
        (18_000, 1),
        (50_000, 2),
    ] {
        books.set_time_of_day(now, now);
        books.take_turns(now);
        assert_eq!(first(&books), expected, "after {now} ms");
    }
    books.take_turns(120_000);
    assert_eq!(first(&books), 1, "past all aims, the older first");
}

#[test]
fn what_waits_is_rented_for_and_what_is_empty_returned() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 0);
    let mut autoscaler = Autoscaler::default();
    let mut replica = job(1, "red", 4, 4.0);
    replica.kind = Kind::Service;
    replica.spread = true;
    replica.spot = false;
    books.add_job(&replica, 0, 0);
    let (rentals, _) = autoscaler.plan(&books, &[], 0, 0);
    let count: u32 = rentals.iter().map(|rental| rental.count).sum();
    assert_eq!(count, 2, "half of a spread job in either zone");
    assert!(rentals.iter().all(|rental| !rental.offer.spot));
    let (more, _) = autoscaler.plan(&books, &rentals, 0, 0);
    assert!(more.is_empty(), "what is under way is counted");
    for rental in &rentals {
        autoscaler.refuse(rental.offer, 0);
    }
    assert!(
        autoscaler.plan(&books, &[], 0, 0).0.is_empty(),
        "refused offers rest"
    );

    let mut books = self::books((0.0, 0.0), (0.0, 0.0), 3);
    books.add_job(&job(2, "red", 1, 4.0), 0, 0);
    scheduling::round(&mut books, 0);
    let (_, returns) = autoscaler.plan(&books, &[], 200_000, 200_000);
    assert_eq!(returns.len(), 2, "the one with work stays");
}

/// Room for services: as much as steadily comes while a machine boots, at any size, but not for what came all
/// at once when the deployment started.
#[test]
fn room_for_services_follows_what_steadily_comes() {
    let need = Amounts {
        cpus: 1.0,
        gpus: 0.0,
        ram_gb: 1.0,
    };
    let wanted = |bulk: usize, each_second: usize| {
        let books = books((0.0, 0.0), (0.0, 0.0), 0);
        let mut autoscaler = Autoscaler::default();
        autoscaler.arrived(need, bulk, 1000);
        for second in 0..110 {
            autoscaler.arrived(need, each_second, 2000 + second * 1000);
        }
        let (rentals, _) = autoscaler.plan(&books, &[], 112_000, 112_000);
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
fn nothing_is_rented_in_a_zone_that_is_cut_off() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 8);
    for machine in &mut books.machines {
        machine.silent = machine.zone.at() == 0;
    }
    let zone = books.zone("a");
    let booting = books.add_machine("vm-000100", TypeIx(0), zone, false, 0);
    assert_eq!(books.machine(booting).state, MachineState::Booting);
    books.add_job(&job(1, "red", 64, 16.0), 0, 0);
    let (rentals, _) = Autoscaler::default().plan(&books, &[], 0, 0);
    let elsewhere: u32 = rentals.iter().map(|rental| rental.count).sum();
    assert!(rentals.iter().all(|rental| rental.offer.zone != zone));
    assert_eq!(elsewhere, 50, "as many as one request may ask for");
    // Half of it answers: it is not the zone.
    for machine in books.machines.iter_mut().step_by(4) {
        machine.silent = false;
    }
    let (rentals, _) = Autoscaler::default().plan(&books, &[], 0, 0);
    assert!(rentals.iter().any(|rental| rental.offer.zone == zone));
}

#[test]
fn the_largest_job_fits_the_store_and_a_round() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 40);
    let index = books.add_job(&job(1, "red", 100_000, 0.1), 0, 0).unwrap();
    while scheduling::round(&mut books, 0) > 0 {}
    assert!(books.job(index).waiting.len() < 100_000);
    for chunk in 0..books.job(index).chunks.len() as u32 {
        let record = storage::chunk_record(&books, index, chunk);
        let value = storage::to_value(&record);
        assert!(value.to_string().len() <= 16 * 1024);
        assert_eq!(
            serde_json::from_value::<storage::ChunkRecord>(value).unwrap(),
            record
        );
    }
}

/// A successor places by the images that its predecessor knew of.
#[test]
fn images_are_told_in_values_that_fit() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 600);
    books.add_job(&job(1, "red", 1200, 8.0), 0, 0);
    while scheduling::round(&mut books, 0) > 0 {}
    run_all(&mut books, 0);
    books.machines[3].draining = true;
    for bytes in [2048, 16 * 1024] {
        let records = storage::images_records(&books, bytes);
        let mut told = 0;
        for record in records {
            told += record
                .machines
                .iter()
                .filter(|(name, held)| {
                    let replace = name == "vm-000003";
                    *held == 1 | if replace { storage::TO_BE_REPLACED } else { 0 }
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
    let mut successor = self::books((0.0, 0.0), (0.0, 0.0), 0);
    let images = [("img".to_owned(), 1.0)].into_iter();
    successor.remember("vm-000007".into(), images, true);
    let zone = successor.zone("a");
    let machine = successor.add_machine("vm-000007", TypeIx(0), zone, false, 0);
    successor.add_job(&job(1, "red", 1, 8.0), 0, 0);
    let image = successor.jobs[0].image;
    assert!(successor.machine(machine).has_image(image));
    assert!(successor.machine(machine).draining, "to be replaced");
}

/// A fleet's worth of changes is cut into entries that each fit a value, however small that is.
#[test]
fn log_entries_fit_a_value_and_name_each_change_once() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 600);
    for number in 0..300 {
        let team = ["red", "blue"][number as usize % 2];
        books.add_job(&job(number, team, 7, 4.0), 0, 0);
    }
    while scheduling::round(&mut books, 0) > 0 {}
    let changed: Vec<_> = books.unlogged.iter().copied().collect();
    assert_eq!(changed.len(), 2100, "each placement is a change");
    for bytes in [600, 4096, 16 * 1024] {
        let mut tasks = changed.iter().copied().peekable();
        let mut named = 0;
        while tasks.peek().is_some() {
            let record = storage::log_record(&books, &mut tasks, (1, 1), bytes);
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
fn a_gang_is_placed_whole_or_not_at_all() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 4);
    let mut gang = job(1, "red", 9, 4.0);
    gang.kind = Kind::Gang;
    gang.one_zone = true;
    let index = books.add_job(&gang, 0, 0).unwrap();
    assert_eq!(scheduling::round(&mut books, 0), 0, "a zone holds eight");
    let zone = books.zone("a");
    let more = books.add_machine("vm-000009", TypeIx(0), zone, false, 0);
    books.machines[more.at()].state = MachineState::Up;
    assert_eq!(scheduling::round(&mut books, 0), 9);
    assert_eq!(books.job(index).by_zone, [9, 0]);
}

/// A load in which arrays and services of two teams, with images, types of need and machines that
/// are partly full, compete.
fn crowded(seed: u64, machines: usize, jobs: u64, most: u32) -> Books {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut books = books((8.0, 0.0), (0.0, 0.0), machines);
    for machine in &mut books.machines {
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
            spec.kind = Kind::Service;
            spec.class = "front".into();
            spec.priority = Priority::Production;
            spec.tasks = spec.tasks.min(16);
            spec.spread = !spec.one_zone;
        }
        books.add_job(&spec, number, 0);
    }
    books
}

/// Equal tasks share one look at all machines; where they go is what a look for each would say.
#[test]
fn shared_looks_place_as_a_look_for_each_task_does() {
    let places = |books: &Books| -> Vec<Vec<(JobId, u32)>> {
        let on = |machine: &Machine| {
            let attempts = machine.attempts.iter();
            attempts.map(|a| (books.job(a.job).id, a.task)).collect()
        };
        books.machines.iter().map(on).collect()
    };
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut shared, mut plain) = (crowded(seed, 12, 20, 20), crowded(seed, 12, 20, 20));
        for now in (0..4000).step_by(40) {
            scheduling::round(&mut shared, now);
            scheduling::allocate(&mut plain, now, &mut Looks::plain());
            assert_eq!(places(&shared), places(&plain), "seed {seed} at {now}");
            for books in [&mut shared, &mut plain] {
                run_all(books, now);
            }
            // Something ends, and something lingers on its machine although it is to run elsewhere.
            let on = MachineIx(rng.random_range(0..12));
            for _ in 0..rng.random_range(0..4) {
                for books in [&mut shared, &mut plain] {
                    if !books.machine(on).attempts.is_empty() {
                        books.drop_attempt(on, 0, now);
                    }
                }
            }
        }
    }
}

/// Six hundred machines, tens of thousands of tasks: what a round looks at grows with jobs and with
/// the machines that they get, not with tasks that wait.
#[test]
fn a_round_looks_at_a_bounded_number_of_machines() {
    let mut books = crowded(1, 600, 30, 4000);
    let tasks: usize = books.jobs.iter().map(|job| job.tasks.len()).sum();
    assert!(tasks > 20_000, "{tasks} tasks");
    let mut total = 0;
    for now in 0.. {
        let waits = books.jobs.iter().filter(|job| !job.waiting.is_empty());
        let (arrays, services): (Vec<_>, Vec<_>) = waits.partition(|job| job.kind == Kind::Array);
        let replicas: usize = services.iter().map(|job| job.waiting.len()).sum();
        let (jobs, teams) = (arrays.len() + services.len(), books.teams.len());
        let mut looks = Looks::default();
        let placed = scheduling::allocate(&mut books, now, &mut looks);
        if placed == 0 {
            break;
        }
        // All machines are looked at once for a job, once for each machine that it gets, and once
        // when it finds no room; twice for a replica. Besides, each team's job at hand looks at
        // what was filled since its last look.
        let gets: usize = books
            .machines
            .iter()
            .map(|machine| {
                let fresh = machine.attempts.iter().filter(|a| a.placed_at == now);
                fresh.map(|a| a.job).collect::<HashSet<_>>().len()
            })
            .sum();
        let bound = (2 * jobs + gets + 2 * replicas.min(placed)) * 600 + teams * placed;
        assert!(looks.count <= bound, "{} looks of {bound}", looks.count);
        total += placed;
    }
    assert!(total > 3000, "{total} placed");
}

/// The heap gave room that urgent work had been promised back to the team that it was taken from, and
/// the next check took it again: 26000 tasks were stopped in seven minutes, and the urgent waited on.
#[test]
fn room_that_others_gave_way_for_is_not_given_back_to_them() {
    let mut books = books((16.0, 0.0), (0.0, 0.0), 4);
    let guest = Submission {
        priority: Priority::Low,
        ..job(1, "blue", 100, 1.0)
    };
    books.add_job(&guest, 0, 0);
    scheduling::round(&mut books, 0);
    run_all(&mut books, 0);
    // Red is beyond what it deserves, blue below: the heap would have blue go first.
    let urgent = Submission {
        priority: Priority::High,
        ..job(2, "red", 14, 4.0)
    };
    let index = books.add_job(&urgent, 0, 0).expect("a known team");
    let mut stopped = 0;
    for now in [5000, 6000] {
        let mut victims = scheduling::preempt(&books, now, Whose::All);
        stopped += victims.len();
        victims.sort_by_key(|victim| Reverse(victim.at));
        for victim in victims {
            books.drop_attempt(victim.machine, victim.at, now);
            books.machines[victim.machine.at()].held_for = Some((victim.for_job, now + 3000));
        }
        scheduling::round(&mut books, now);
    }
    assert_eq!(
        books.job(index).waiting.len(),
        0,
        "the urgent job has its room"
    );
    assert_eq!(stopped, 56, "each place is taken once");
    assert_eq!(booked(&books), [56.0, 8.0], "the guest has what is left");
}

/// A guest's swarm of small tasks was stopped up to 35 times each for urgent arrays, and ended too late.
#[test]
fn a_task_with_an_aim_gives_way_to_arrays_once_and_to_services_always() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 1);
    let guest = Submission {
        priority: Priority::Low,
        class: "batch".into(),
        ..job(1, "blue", 4, 4.0)
    };
    books.add_job(&guest, 0, 0);
    for (attempt, stopped) in [(1, 1), (2, 0)] {
        scheduling::round(&mut books, 0);
        run_all(&mut books, 0);
        assert_eq!(books.machine(MachineIx(0)).attempts[0].attempt, attempt);
        let urgent = Submission {
            priority: Priority::High,
            ..job(1 + u64::from(attempt), "red", 1, 4.0)
        };
        let index = books.add_job(&urgent, 0, 0).expect("a known team");
        let victims = scheduling::preempt(&books, 5000, Whose::All);
        assert_eq!(victims.len(), stopped, "attempt {attempt}");
        books.close_job(index);
        for at in (0..books.machine(MachineIx(0)).attempts.len()).rev() {
            books.drop_attempt(MachineIx(0), at, 1000);
        }
    }
    scheduling::round(&mut books, 2000);
    let service = Submission {
        kind: Kind::Service,
        priority: Priority::Production,
        spot: false,
        ..job(9, "red", 1, 4.0)
    };
    books.add_job(&service, 0, 0);
    assert_eq!(scheduling::preempt(&books, 3000, Whose::All).len(), 1);
}

/// A burst of urgent arrays and a team that was within its guarantee took the same places from each other
/// each second: 600 and 400 tasks in one day, which all began anew.
#[test]
fn arrays_leave_what_another_team_runs_within_its_guarantee() {
    for (guarantee, stopped) in [(16.0, 0), (8.0, 2), (0.0, 4)] {
        let mut books = books((0.0, 0.0), (guarantee, 0.0), 1);
        let guaranteed = Submission {
            priority: Priority::Low,
            ..job(1, "blue", 4, 4.0)
        };
        books.add_job(&guaranteed, 0, 0);
        scheduling::round(&mut books, 0);
        run_all(&mut books, 0);
        let urgent = Submission {
            priority: Priority::High,
            ..job(2, "red", 4, 4.0)
        };
        books.add_job(&urgent, 0, 0);
        let victims = scheduling::preempt(&books, 5000, Whose::All);
        assert_eq!(victims.len(), stopped, "guaranteed {guarantee}");
        let service = Submission {
            kind: Kind::Service,
            priority: Priority::Production,
            spot: false,
            ..job(3, "red", 1, 4.0)
        };
        books.add_job(&service, 0, 0);
        let victims = scheduling::preempt(&books, 5000, Whose::Services);
        assert_eq!(victims.len(), 1, "services have what they need");
    }
}

/// What is stopped within 30 s of its start was no start for its user: of tasks that lost as little,
/// those give way whose starts have counted, or are late already.
#[test]
fn who_gives_way_is_chosen_by_the_aims_that_it_spoils() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 1);
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
        let index = books.add_job(&batch(number), submitted, submitted);
        let index = index.expect("a known team");
        books.place(index, 0, MachineIx(0), began);
    }
    run_all(&mut books, 90_000);
    books.machines[0].attempts[0].running_since = Some(75_000);
    let service = Submission {
        kind: Kind::Service,
        priority: Priority::Production,
        spot: false,
        ..job(9, "red", 4, 4.0)
    };
    books.add_job(&service, 110_000, 110_000);
    let victims = scheduling::preempt(&books, 110_000, Whose::Services);
    let order: Vec<u64> = victims
        .iter()
        .map(|victim| books.job(books.machines[0].attempts[victim.at].job).id.0)
        .collect();
    assert_eq!(order, [3, 1, 2]);
}

/// Age and aims count from the release, the deadline from the submission.
#[test]
fn a_released_job_is_as_old_as_its_release() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 0);
    books.set_time_of_day(0, 100_000);
    let stage = Submission {
        class: "batch".into(),
        deadline_s: Some(200.0),
        estimate_s: 10.0,
        ..job(1, "red", 1, 4.0)
    };
    let index = books.add_released(&stage, (40_000, 100_000), 0);
    let entry = books.job(index.expect("a known team"));
    // 200 s less 60 s of waiting for others and 13 s of running.
    assert_eq!(entry.waits, [8.0, 60.0, 127.0]);
    assert_eq!(entry.turn_ms, 107_500);
}

/// A stage is as urgent as the most urgent job that needs it, has to be placed in time for that, and
/// is what it was once nobody needs it any more.
#[test]
fn those_that_need_a_job_make_it_urgent() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 1);
    let plain = Submission {
        priority: Priority::Low,
        estimate_s: 10.0,
        ..job(1, "red", 9, 4.0)
    };
    let index = books.add_job(&plain, 0, 0).expect("a known team");
    books.add_job(&job(2, "red", 9, 4.0), 0, 0);
    let first = |books: &Books| books.teams[0].queue.first().map(|(.., job)| *job);
    assert_ne!(first(&books), Some(index));
    let pull = Pull {
        priority: Priority::High,
        finish_ms: vec![40_000, 70_000],
    };
    books.pull(index, &pull, 0);
    assert_eq!(first(&books), Some(index));
    let entry = books.job(index);
    assert_eq!(
        (entry.priority, entry.waits.as_slice()),
        (Priority::High, &[27.0, 57.0][..])
    );
    assert_eq!(entry.turn_ms, 26_500);
    scheduling::round(&mut books, 0);
    assert_eq!(books.job(index).waiting.len(), 5, "it had its turn first");
    let own = Pull {
        priority: Priority::Low,
        finish_ms: Vec::new(),
    };
    books.pull(index, &own, 0);
    assert_ne!(first(&books), Some(index));
    assert_eq!(books.teams[0].queue.len(), 2);
    // An end that can't be met any more is none to hurry for.
    let late = Pull {
        priority: Priority::High,
        finish_ms: vec![5000],
    };
    books.pull(index, &late, 0);
    assert!(books.job(index).waits.is_empty());
}

/// An urgent array waits that fits on no machine beside the replicas there. Work that nothing is aimed at was taken to be in
/// its way for as long as it waited, though there was room for it that the array could not use.
#[test]
fn what_nothing_is_aimed_at_does_not_wait_for_ever_beside_room() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 2);
    let replicas = Submission {
        kind: Kind::Service,
        priority: Priority::Production,
        spread: true,
        spot: false,
        ..job(1, "red", 2, 1.0)
    };
    books.add_job(&replicas, 0, 0);
    scheduling::round(&mut books, 0);
    run_all(&mut books, 0);
    let urgent = Submission {
        priority: Priority::High,
        ..job(2, "red", 4, 16.0)
    };
    books.add_job(&urgent, 500, 500);
    scheduling::round(&mut books, 500);
    let small = Submission {
        priority: Priority::Low,
        ..job(3, "blue", 3, 1.0)
    };
    let small = books.add_job(&small, 1000, 1000).expect("a known team");
    let mut placed = None;
    for now in (1000..91_000).step_by(1000) {
        scheduling::round(&mut books, now);
        assert!(
            scheduling::preempt(&books, now, Whose::All).is_empty(),
            "nobody is in the way"
        );
        if books.job(small).waiting.is_empty() {
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
fn a_job_comes_back_to_a_machine_that_failed_it_once() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 1);
    let index = books
        .add_job(&job(1, "red", 1, 4.0), 0, 0)
        .expect("a known team");
    scheduling::round(&mut books, 0);
    let on = MachineIx(0);
    books.advance(on, 0, Phase::Ended, 1000);
    books.requeue(index, 0, 1);
    books.failed(index, on, 1000);
    books.drop_attempt(on, 0, 1000);
    let placed = (2000..91_000).step_by(1000).find(|now| {
        scheduling::round(&mut books, *now);
        books.job(index).waiting.is_empty()
    });
    let placed = placed.expect("there was room");
    assert!(placed > 11_000, "at {placed}: others first");
}

/// The only machine with room is to be replaced for being slow, and stays as long as a replica runs there.
#[test]
fn what_waited_for_long_takes_a_slow_machine() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 1);
    let replica = Submission {
        kind: Kind::Service,
        priority: Priority::Production,
        spot: false,
        ..job(1, "red", 1, 4.0)
    };
    books.add_job(&replica, 0, 0);
    scheduling::round(&mut books, 0);
    run_all(&mut books, 0);
    assert!(books.replace(MachineIx(0), 1, "is slow"));
    let index = books
        .add_job(&job(2, "red", 4, 4.0), 1000, 1000)
        .expect("a known team");
    let waiting = |books: &Books| books.job(index).waiting.len();
    for now in (1000..75_000).step_by(1000) {
        scheduling::round(&mut books, now);
    }
    assert_eq!(waiting(&books), 4, "it is to be replaced");
    for now in (75_000..90_000).step_by(1000) {
        scheduling::round(&mut books, now);
    }
    assert_eq!(waiting(&books), 1, "it holds three more");
}

fn running(books: &mut Books, spec: &Submission, on: &[u32]) -> JobIx {
    let job = books.add_job(spec, 0, 0).expect("a known team");
    for (task, machine) in on.iter().enumerate() {
        books.place(job, task as u32, MachineIx(*machine), 0);
        let at = books.machines[*machine as usize].attempts.len() - 1;
        books.advance(
            MachineIx(*machine),
            at,
            Phase::Running,
            10 * (task as u64 + 1),
        );
    }
    job
}

fn excess(cpus: f64) -> Amounts {
    Amounts {
        cpus,
        ..Amounts::default()
    }
}

#[test]
fn a_team_above_its_limit_stops_the_least_urgent_and_what_loses_least() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 4);
    let urgent = Submission {
        priority: Priority::High,
        ..job(1, "red", 2, 4.0)
    };
    let urgent = running(&mut books, &urgent, &[0, 1]);
    let plain = running(&mut books, &job(2, "red", 3, 4.0), &[1, 2, 3]);
    let other = running(&mut books, &job(3, "blue", 1, 4.0), &[3]);
    let team = books.job(plain).team;
    let stopped = |cpus: f64, books: &Books| -> Vec<(JobIx, u32)> {
        let victims = scheduling::above(books, team, &excess(cpus), 60_000);
        let attempts = victims
            .iter()
            .map(|(on, at)| &books.machine(*on).attempts[*at]);
        attempts
            .map(|attempt| (attempt.job, attempt.task))
            .collect()
    };
    // The last one to begin has least to lose.
    assert_eq!(stopped(4.0, &books), [(plain, 2)]);
    assert_eq!(
        stopped(4.5, &books),
        [(plain, 2), (plain, 1)],
        "whole tasks"
    );
    let all = stopped(16.0, &books);
    assert_eq!(all.len(), 4);
    assert!(all.contains(&(urgent, 1)) && !all.iter().any(|(job, _)| *job == other));
    assert!(stopped(0.0, &books).is_empty());
    // What already has to stop counts.
    books.stop(MachineIx(2), 0, 0.0);
    assert!(stopped(4.0, &books).is_empty());
    assert_eq!(stopped(8.0, &books), [(plain, 2)]);
}

#[test]
fn a_gang_above_its_limit_is_stopped_whole() {
    let mut books = books((0.0, 0.0), (0.0, 0.0), 3);
    let gang = Submission {
        kind: Kind::Gang,
        priority: Priority::Low,
        ..job(1, "red", 3, 4.0)
    };
    running(&mut books, &gang, &[0, 1, 2]);
    running(&mut books, &job(2, "red", 1, 4.0), &[0]);
    let team = books.job(JobIx(0)).team;
    let victims = scheduling::above(&books, team, &excess(4.0), 60_000);
    assert_eq!(victims.len(), 3);
    assert!(
        victims
            .iter()
            .all(|(on, at)| books.machine(*on).attempts[*at].job == JobIx(0))
    );
}
