use super::*;

const SPEC: TaskSpec = TaskSpec {
    cpus: 4.0,
    run_ms: None,
};

fn rules(cancel: Duration) -> Rules {
    let rules = Rules::new(cancel);
    for number in 1..4 {
        let facts = JobFacts {
            team: "red".into(),
            spec: SPEC,
            urgent: false,
            measured: true,
        };
        rules.submitted(JobId(number), facts);
    }
    rules
}

fn task(job: u64, index: u32) -> TaskId {
    let job = JobId(job);
    TaskId { job, index }
}

fn broken(rules: &Rules, what: &str) -> bool {
    let (count, broken) = rules.broken();
    assert_eq!(count as usize, broken.len());
    broken.iter().any(|each| each.contains(what))
}

#[test]
fn a_task_on_two_machines_is_seen() {
    let rules = rules(Duration::from_secs(60));
    rules.happened("a", task(1, 0), TaskEvent::Started);
    rules.happened("a", task(1, 0), TaskEvent::Left);
    rules.happened("b", task(1, 0), TaskEvent::Started);
    assert!(!broken(&rules, "ran_twice"));
    rules.happened("c", task(1, 0), TaskEvent::Started);
    assert!(broken(&rules, "ran_twice"));
}

#[test]
fn a_team_above_its_limit_is_seen_and_a_start_beside_it_is_not() {
    let rules = rules(Duration::from_secs(60));
    rules.limit("red", 8.0);
    rules.happened("a", task(1, 0), TaskEvent::Started);
    rules.happened("a", task(2, 0), TaskEvent::Started);
    assert_eq!(rules.broken().0, 0);
    rules.happened("b", task(3, 0), TaskEvent::Started);
    assert!(broken(&rules, "quota"));
}

#[test]
fn a_cancelled_task_that_goes_on_or_starts_is_seen() {
    let rules = rules(Duration::ZERO);
    rules.happened("a", task(1, 0), TaskEvent::Started);
    rules.check();
    assert_eq!(rules.broken().0, 0);
    rules.cancelled(JobId(1));
    std::thread::sleep(Duration::from_millis(2));
    rules.check();
    assert!(broken(&rules, "go on"));
    rules.happened("a", task(1, 1), TaskEvent::Started);
    assert!(broken(&rules, "starts"));
}

#[test]
fn a_start_counts_once_from_its_acceptance() {
    let rules = rules(Duration::from_secs(60));
    rules.accepted(JobId(1));
    for _ in 0..2 {
        rules.happened("a", task(1, 0), TaskEvent::Started);
        rules.happened("a", task(1, 0), TaskEvent::Left);
    }
    let (urgent, other) = rules.times();
    assert_eq!((urgent.count, other.count), (0, 1));
    assert_eq!((rules.starts(), rules.running()), (2, 0));
}

#[test]
fn times_of_any_length_are_kept() {
    let mut histogram = Histogram::new(3).unwrap();
    for value in [1, 2_000, 60_000, 3_600_000] {
        record(&mut histogram, value);
    }
    assert!(histogram.max() >= 3_600_000, "{}", histogram.max());
}
