use super::*;

fn class(name: &str) -> WorkloadClassName {
    WorkloadClassName {
        team: "red".into(),
        class: name.into(),
    }
}

/// A controller that admits `flood` and `calm` submissions a second of two classes, and `rest` of any class.
fn controller_with_shares(flood: f64, calm: f64, rest: f64) -> (AdmissionController, QuotaShares) {
    let parts = QuotaShares {
        classes: BTreeMap::from([(class("flood"), flood), (class("calm"), calm)]),
        unassigned: rest,
        is_lapsed: false,
    };
    let mut door = AdmissionController::default();
    door.refill(&parts, 1);
    (door, parts)
}

/// Simulates users of one class: `rate` new submissions a second for `seconds`, each retried after the delay that
/// the controller returned, until 60 s after its first attempt.
fn simulate_overload(
    door: &mut AdmissionController,
    parts: &QuotaShares,
    rate: u64,
    seconds: u64,
) -> OverloadResult {
    let mut crowd = OverloadResult::default();
    let mut back: BTreeSet<(Millis, u64)> = BTreeSet::new();
    let mut next = 0;
    for now in (1000..(seconds + 70) * 1000).step_by(20) {
        door.refill(parts, now);
        door.update_demand(now);
        let mut knocks: Vec<(u64, bool)> = Vec::new();
        while let Some(&(at, job)) = back.first().filter(|(at, _)| *at <= now) {
            back.remove(&(at, job));
            knocks.push((job, true));
        }
        if now < seconds * 1000 {
            let due = (now - 1000) * rate / 1000;
            knocks.extend((next..due).map(|job| (job, false)));
            next = next.max(due);
        }
        for (job, again) in knocks {
            let came = crowd.came.entry(job).or_insert(now);
            match door.decide(&class("flood"), JobId(job), now) {
                AdmissionDecision::Admitted { .. } => {
                    crowd.waits.push(now - *came);
                    crowd.let_in.push(now);
                    door.on_accepted(JobId(job), true, now);
                }
                AdmissionDecision::Deferred {
                    retry_after_s: after_s,
                    has_reservation: turn,
                } => {
                    crowd.again += usize::from(again && turn);
                    crowd.away.push(now);
                    let at = now + Millis::from(after_s) * 1000;
                    if at < *came + USER_RETRY_PERIOD_MS {
                        back.insert((at, job));
                    }
                }
            }
        }
    }
    crowd
}

#[derive(Default)]
struct OverloadResult {
    came: HashMap<u64, Millis>,
    let_in: Vec<Millis>,
    waits: Vec<Millis>,
    away: Vec<Millis>,
    /// Deferred again with a reservation, although the users retried after the delay that they were given.
    again: usize,
}

#[test]
fn overload_is_admitted_at_its_rate_and_reservations_are_honoured() {
    let (mut door, parts) = controller_with_shares(10.0, 1.0, 0.5);
    let crowd = simulate_overload(&mut door, &parts, 30, 20);
    let rate = crowd
        .let_in
        .iter()
        .filter(|at| (20_000..50_000).contains(*at))
        .count();
    assert!((270..=360).contains(&rate), "{rate} admitted in 30 s");
    let longest = crowd.waits.iter().max().copied().unwrap_or(0);
    assert!(longest <= USER_RETRY_PERIOD_MS, "waited {longest} ms");
    // A reservation more than 30 s ahead takes two retries, as a retry delay is at most 30 s.
    assert!(
        crowd.again * 4 <= crowd.came.len(),
        "{} of {} deferred again",
        crowd.again,
        crowd.came.len()
    );
    assert!(
        crowd.let_in.len() * 10 >= crowd.came.len() * 9,
        "600 submissions in 60 s fit into the rate"
    );
}

#[test]
fn overload_of_one_class_leaves_other_classes_their_share() {
    let (mut door, _) = controller_with_shares(10.0, 1.0, 0.5);
    for job in 0..5000 {
        door.decide(&class("flood"), JobId(job), 1000);
    }
    let calm = door.decide(&class("calm"), JobId(9000), 1000);
    assert_eq!(calm, AdmissionDecision::Admitted { within_share: true });
    // A submission that can get no reservation within its 60 s of retries is deferred without one at once.
    let late = door.decide(&class("flood"), JobId(9001), 1000);
    assert!(
        matches!(
            late,
            AdmissionDecision::Deferred {
                has_reservation: false,
                ..
            }
        ),
        "{late:?}"
    );
}

/// Reservations are spread over time, and a retry with a reservation is admitted before new submissions.
#[test]
fn due_reservation_is_admitted_before_new_submissions() {
    let (mut door, parts) = controller_with_shares(2.0, 1.0, 0.0);
    let now = 10_000;
    door.refill(&parts, now);
    let mut told = Vec::new();
    for job in 0..40 {
        if let AdmissionDecision::Deferred {
            retry_after_s: after_s,
            has_reservation: true,
        } = door.decide(&class("flood"), JobId(job), now)
        {
            told.push((after_s, job));
        }
    }
    for second in 1..10 {
        let together = told.iter().filter(|(after, _)| *after == second).count();
        assert!(together <= 3, "{together} reservations in second {second}");
    }
    let (after_s, first) = told[0];
    let then = now + Millis::from(after_s) * 1000;
    door.refill(&parts, then);
    door.update_demand(then);
    for job in 100..110 {
        let newcomer = door.decide(&class("flood"), JobId(job), then);
        assert!(
            matches!(newcomer, AdmissionDecision::Deferred { .. }),
            "{newcomer:?}"
        );
    }
    let back = door.decide(&class("flood"), JobId(first), then);
    assert_eq!(back, AdmissionDecision::Admitted { within_share: true });
}

/// The load balancer may route the retry to another node than the one that gave the reservation.
#[test]
fn reservation_is_honoured_at_every_node() {
    let (mut one, parts) = controller_with_shares(2.0, 1.0, 0.0);
    let (mut other, _) = controller_with_shares(2.0, 1.0, 0.0);
    for job in 0..30 {
        one.decide(&class("flood"), JobId(job), 1000);
        other.decide(&class("flood"), JobId(1000 + job), 1000);
    }
    let turns = one.local_reservations(1000);
    let (job, _, in_ms) = turns[0].clone();
    other.learn_reservations(&turns, 1000);
    let then = 1000 + in_ms;
    other.refill(&parts, then);
    assert_eq!(
        other.decide(&class("flood"), job, then),
        AdmissionDecision::Admitted { within_share: true }
    );
}

#[test]
fn no_submission_is_deferred_ten_seconds_after_overload_ends() {
    let (mut door, parts) = controller_with_shares(10.0, 1.0, 2.0);
    let crowd = simulate_overload(&mut door, &parts, 16, 10);
    let last = crowd.away.iter().max().copied().unwrap_or(0);
    assert!(last <= 20_000, "deferred at {last} ms");
    assert_eq!(crowd.let_in.len(), crowd.came.len());
}

#[test]
fn deferred_submission_not_retried_counts_as_abandoned() {
    let (mut door, _) = controller_with_shares(1.0, 1.0, 0.0);
    for job in 0..20 {
        door.decide(&class("flood"), JobId(job), 1000);
    }
    door.update_demand(1000 + ABANDONED_AFTER_MS);
    let flood = door.counts().find(|(name, _)| name.class == "flood");
    let counts = flood.expect("the class is counted").1;
    assert_eq!(counts.arrived, 20);
    assert!(counts.abandoned >= 14, "{counts:?}");
}
