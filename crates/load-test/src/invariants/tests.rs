use super::*;

const SPEC: TaskSpec = TaskSpec {
    cpus: 4.0,
    run_ms: None,
};

fn rules(cancel: Duration) -> InvariantChecker {
    let rules = InvariantChecker::new(cancel);
    for number in 1..4 {
        let facts = ExpectedJob {
            team: "red".into(),
            spec: SPEC,
            urgent: false,
            measured: true,
        };
        rules.on_submitted(JobId(number), facts);
    }
    rules
}

fn task(job: u64, index: u32) -> TaskId {
    let job = JobId(job);
    TaskId { job, index }
}

fn broken(rules: &InvariantChecker, what: &str) -> bool {
    let (count, broken) = rules.violations();
    assert_eq!(count as usize, broken.len());
    broken.iter().any(|each| each.contains(what))
}

#[test]
fn task_on_two_machines_is_a_violation() {
    let rules = rules(Duration::from_secs(60));
    rules.on_task_event("a", task(1, 0), TaskEvent::Started);
    rules.on_task_event("a", task(1, 0), TaskEvent::Removed);
    rules.on_task_event("b", task(1, 0), TaskEvent::Started);
    assert!(!broken(&rules, "ran_twice"));
    rules.on_task_event("c", task(1, 0), TaskEvent::Started);
    assert!(broken(&rules, "ran_twice"));
}

#[test]
fn exceeded_quota_is_a_violation_for_that_team_only() {
    let rules = rules(Duration::from_secs(60));
    rules.set_limit("red", 8.0);
    rules.on_task_event("a", task(1, 0), TaskEvent::Started);
    rules.on_task_event("a", task(2, 0), TaskEvent::Started);
    assert_eq!(rules.violations().0, 0);
    rules.on_task_event("b", task(3, 0), TaskEvent::Started);
    assert!(broken(&rules, "quota"));
}

#[test]
fn running_or_starting_cancelled_task_is_a_violation() {
    let rules = rules(Duration::ZERO);
    rules.on_task_event("a", task(1, 0), TaskEvent::Started);
    rules.check_cancellations();
    assert_eq!(rules.violations().0, 0);
    rules.on_cancelled(JobId(1));
    std::thread::sleep(Duration::from_millis(2));
    rules.check_cancellations();
    assert!(broken(&rules, "still run"));
    rules.on_task_event("a", task(1, 1), TaskEvent::Started);
    assert!(broken(&rules, "starts"));
}

#[test]
fn start_latency_is_recorded_once_from_acceptance() {
    let rules = rules(Duration::from_secs(60));
    rules.on_accepted(JobId(1));
    for _ in 0..2 {
        rules.on_task_event("a", task(1, 0), TaskEvent::Started);
        rules.on_task_event("a", task(1, 0), TaskEvent::Removed);
    }
    let (urgent, other) = rules.start_latencies();
    assert_eq!((urgent.count, other.count), (0, 1));
    assert_eq!((rules.start_count(), rules.running_count()), (2, 0));
}

#[test]
fn start_latencies_of_any_length_are_recorded() {
    let mut histogram = Histogram::new(3).unwrap();
    for value in [1, 2_000, 60_000, 3_600_000] {
        record(&mut histogram, value);
    }
    assert!(histogram.max() >= 3_600_000, "{}", histogram.max());
}
