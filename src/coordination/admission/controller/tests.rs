use super::*;

fn class(name: &str) -> WorkloadClassName {
    WorkloadClassName {
        team: "red".into(),
        class: name.into(),
    }
}

/// A controller that admits `flood` and `calm` submissions a second of two classes, and `unassigned` of any class.
fn controller_with_shares(
    flood: f64,
    calm: f64,
    unassigned: f64,
) -> (AdmissionController, QuotaShares) {
    let shares = QuotaShares {
        classes: BTreeMap::from([(class("flood"), flood), (class("calm"), calm)]),
        unassigned,
        is_lapsed: false,
    };
    let mut controller = AdmissionController::default();
    controller.refill(&shares, 1);
    (controller, shares)
}

/// Simulates users of one class: `rate` new submissions a second for `seconds`, each retried after the delay that
/// the controller returned, until 60 s after its first attempt.
fn simulate_overload(
    controller: &mut AdmissionController,
    shares: &QuotaShares,
    rate: u64,
    seconds: u64,
) -> OverloadResult {
    let mut result = OverloadResult::default();
    let mut retries: BTreeSet<(Millis, u64)> = BTreeSet::new();
    let mut next_job = 0;
    for now in (1000..(seconds + 70) * 1000).step_by(20) {
        controller.refill(shares, now);
        controller.update_demand(now);
        let mut attempts: Vec<(u64, bool)> = Vec::new();
        while let Some(&(at, job)) = retries.first().filter(|(at, _)| *at <= now) {
            retries.remove(&(at, job));
            attempts.push((job, true));
        }
        if now < seconds * 1000 {
            let arrived_jobs = (now - 1000) * rate / 1000;
            attempts.extend((next_job..arrived_jobs).map(|job| (job, false)));
            next_job = next_job.max(arrived_jobs);
        }
        for (job, is_retry) in attempts {
            let first_attempt_at = result.first_attempts.entry(job).or_insert(now);
            match controller.decide(&class("flood"), JobId(job), now) {
                AdmissionDecision::Admitted { .. } => {
                    result.waits_ms.push(now - *first_attempt_at);
                    result.admitted_at.push(now);
                    controller.on_accepted(JobId(job), true, now);
                }
                AdmissionDecision::Deferred {
                    retry_after_s,
                    has_reservation,
                } => {
                    result.deferred_again += usize::from(is_retry && has_reservation);
                    result.deferred_at.push(now);
                    let retry_at = now + Millis::from(retry_after_s) * 1000;
                    if retry_at < *first_attempt_at + USER_RETRY_PERIOD_MS {
                        retries.insert((retry_at, job));
                    }
                }
            }
        }
    }
    result
}

#[derive(Default)]
struct OverloadResult {
    /// The time of the first attempt of each job.
    first_attempts: HashMap<u64, Millis>,
    /// The times of all admissions.
    admitted_at: Vec<Millis>,
    /// The time from the first attempt to the admission, for each admitted job.
    waits_ms: Vec<Millis>,
    /// The times of all deferrals.
    deferred_at: Vec<Millis>,
    /// How many retries were deferred with a reservation, although they came after the delay that the controller
    /// had returned.
    deferred_again: usize,
}

#[test]
fn overload_is_admitted_at_its_rate_and_reservations_are_honoured() {
    let (mut controller, shares) = controller_with_shares(10.0, 1.0, 0.5);
    let result = simulate_overload(&mut controller, &shares, 30, 20);
    let admitted = result
        .admitted_at
        .iter()
        .filter(|at| (20_000..50_000).contains(*at))
        .count();
    assert!(
        (270..=360).contains(&admitted),
        "{admitted} admitted in 30 s"
    );
    let longest_wait_ms = result.waits_ms.iter().max().copied().unwrap_or(0);
    assert!(
        longest_wait_ms <= USER_RETRY_PERIOD_MS,
        "waited {longest_wait_ms} ms"
    );
    // A reservation more than 30 s ahead takes two retries, as a retry delay is at most 30 s.
    assert!(
        result.deferred_again * 4 <= result.first_attempts.len(),
        "{} of {} deferred again",
        result.deferred_again,
        result.first_attempts.len()
    );
    assert!(
        result.admitted_at.len() * 10 >= result.first_attempts.len() * 9,
        "600 submissions in 60 s fit into the rate"
    );
}

#[test]
fn overload_of_one_class_leaves_other_classes_their_share() {
    let (mut controller, _) = controller_with_shares(10.0, 1.0, 0.5);
    for job in 0..5000 {
        controller.decide(&class("flood"), JobId(job), 1000);
    }
    let calm = controller.decide(&class("calm"), JobId(9000), 1000);
    assert_eq!(calm, AdmissionDecision::Admitted { within_share: true });
    // A submission that can get no reservation within its 60 s of retries is deferred immediately, without one.
    let last_decision = controller.decide(&class("flood"), JobId(9001), 1000);
    assert!(
        matches!(
            last_decision,
            AdmissionDecision::Deferred {
                has_reservation: false,
                ..
            }
        ),
        "{last_decision:?}"
    );
}

/// Reservations are spread over time, and a retry with a reservation is admitted before new submissions.
#[test]
fn due_reservation_is_admitted_before_new_submissions() {
    let (mut controller, shares) = controller_with_shares(2.0, 1.0, 0.0);
    let now = 10_000;
    controller.refill(&shares, now);
    let mut reservations = Vec::new();
    for job in 0..40 {
        if let AdmissionDecision::Deferred {
            retry_after_s,
            has_reservation: true,
        } = controller.decide(&class("flood"), JobId(job), now)
        {
            reservations.push((retry_after_s, job));
        }
    }
    for second in 1..10 {
        let count = reservations
            .iter()
            .filter(|(retry_after_s, _)| *retry_after_s == second)
            .count();
        assert!(count <= 3, "{count} reservations in second {second}");
    }
    let (retry_after_s, first_job) = reservations[0];
    let retry_at = now + Millis::from(retry_after_s) * 1000;
    controller.refill(&shares, retry_at);
    controller.update_demand(retry_at);
    for job in 100..110 {
        let decision = controller.decide(&class("flood"), JobId(job), retry_at);
        assert!(
            matches!(decision, AdmissionDecision::Deferred { .. }),
            "{decision:?}"
        );
    }
    let retry_decision = controller.decide(&class("flood"), JobId(first_job), retry_at);
    assert_eq!(
        retry_decision,
        AdmissionDecision::Admitted { within_share: true }
    );
}

/// The load balancer may route the retry to another node than the one that gave the reservation.
#[test]
fn reservation_is_honoured_at_every_node() {
    let (mut first_node, shares) = controller_with_shares(2.0, 1.0, 0.0);
    let (mut other_node, _) = controller_with_shares(2.0, 1.0, 0.0);
    for job in 0..30 {
        first_node.decide(&class("flood"), JobId(job), 1000);
        other_node.decide(&class("flood"), JobId(1000 + job), 1000);
    }
    let reservations = first_node.local_reservations(1000);
    let (job, _, delay_ms) = reservations[0].clone();
    other_node.add_remote_reservations(&reservations, 1000);
    let retry_at = 1000 + delay_ms;
    other_node.refill(&shares, retry_at);
    assert_eq!(
        other_node.decide(&class("flood"), job, retry_at),
        AdmissionDecision::Admitted { within_share: true }
    );
}

#[test]
fn no_submission_is_deferred_ten_seconds_after_overload_ends() {
    let (mut controller, shares) = controller_with_shares(10.0, 1.0, 2.0);
    let result = simulate_overload(&mut controller, &shares, 16, 10);
    let last_deferred_at = result.deferred_at.iter().max().copied().unwrap_or(0);
    assert!(
        last_deferred_at <= 20_000,
        "deferred at {last_deferred_at} ms"
    );
    assert_eq!(result.admitted_at.len(), result.first_attempts.len());
}

#[test]
fn deferred_submission_not_retried_counts_as_abandoned() {
    let (mut controller, _) = controller_with_shares(1.0, 1.0, 0.0);
    for job in 0..20 {
        controller.decide(&class("flood"), JobId(job), 1000);
    }
    controller.update_demand(1000 + ABANDONED_AFTER_MS);
    let flood_counts = controller.counts().find(|(name, _)| name.class == "flood");
    let counts = flood_counts.expect("the class is counted").1;
    assert_eq!(counts.arrived, 20);
    assert!(counts.abandoned >= 14, "{counts:?}");
}
