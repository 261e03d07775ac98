use super::*;

const SPEC: TaskSpec = TaskSpec {
    cpus: 4.0,
    run_ms: None,
};

fn checker(bound: Duration) -> InvariantChecker {
    let checker = InvariantChecker::new(bound);
    for number in 1..4 {
        let expected = ExpectedJob {
            team: "red".into(),
            spec: SPEC,
            urgent: false,
            measured: true,
        };
        checker.on_submitted(JobId(number), expected);
    }
    checker
}

fn task(job: u64, index: u32) -> TaskId {
    let job = JobId(job);
    TaskId { job, index }
}

fn has_violation(checker: &InvariantChecker, text: &str) -> bool {
    let (count, violations) = checker.violations();
    assert_eq!(count as usize, violations.len());
    violations.iter().any(|each| each.contains(text))
}

#[test]
fn task_on_two_machines_is_a_violation() {
    let checker = checker(Duration::from_secs(60));
    checker.on_task_event("a", task(1, 0), TaskEvent::Started);
    checker.on_task_event("a", task(1, 0), TaskEvent::Removed);
    checker.on_task_event("b", task(1, 0), TaskEvent::Started);
    assert!(!has_violation(&checker, "ran_twice"));
    checker.on_task_event("c", task(1, 0), TaskEvent::Started);
    assert!(has_violation(&checker, "ran_twice"));
}

#[test]
fn exceeded_quota_is_a_violation_for_that_team_only() {
    let checker = checker(Duration::from_secs(60));
    checker.set_limit("red", 8.0);
    checker.on_task_event("a", task(1, 0), TaskEvent::Started);
    checker.on_task_event("a", task(2, 0), TaskEvent::Started);
    assert_eq!(checker.violations().0, 0);
    checker.on_task_event("b", task(3, 0), TaskEvent::Started);
    assert!(has_violation(&checker, "quota"));
}

#[test]
fn running_or_starting_cancelled_task_is_a_violation() {
    let checker = checker(Duration::ZERO);
    checker.on_task_event("a", task(1, 0), TaskEvent::Started);
    checker.check_cancellations();
    assert_eq!(checker.violations().0, 0);
    checker.on_cancelled(JobId(1));
    std::thread::sleep(Duration::from_millis(2));
    checker.check_cancellations();
    assert!(has_violation(&checker, "still run"));
    checker.on_task_event("a", task(1, 1), TaskEvent::Started);
    assert!(has_violation(&checker, "starts"));
}

#[test]
fn start_latency_is_recorded_once_from_acceptance() {
    let checker = checker(Duration::from_secs(60));
    checker.on_accepted(JobId(1));
    for _ in 0..2 {
        checker.on_task_event("a", task(1, 0), TaskEvent::Started);
        checker.on_task_event("a", task(1, 0), TaskEvent::Removed);
    }
    let (urgent, other) = checker.start_latencies();
    assert_eq!((urgent.count, other.count), (0, 1));
    assert_eq!((checker.start_count(), checker.running_count()), (2, 0));
}

#[test]
fn start_latencies_of_any_length_are_recorded() {
    let mut histogram = Histogram::new(3).unwrap();
    for value in [1, 2_000, 60_000, 3_600_000] {
        record(&mut histogram, value);
    }
    assert!(histogram.max() >= 3_600_000, "{}", histogram.max());
}
