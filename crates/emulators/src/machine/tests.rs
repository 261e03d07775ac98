use std::sync::Mutex;

use dalelb::protocol::ids::JobId;

use super::*;

/// Tasks of 4 CPUs that run for a second; what happens to them is kept.
#[derive(Default)]
struct Told(Mutex<Vec<TaskEvent>>);

impl Tasks for Told {
    fn describe(&self, task: TaskId) -> Option<TaskSpec> {
        let known = task.job.0 < 100;
        known.then_some(TaskSpec {
            cpus: 4.0,
            run_ms: Some(1000),
        })
    }

    fn happened(&self, _: &str, _: TaskId, event: TaskEvent) {
        self.0.lock().unwrap().push(event);
    }
}

fn machine() -> Machine {
    let identity = Identity {
        name: "vm-1".into(),
        addr: "127.0.0.1:1".into(),
        type_name: "c8".into(),
        zone: "a".into(),
        cpus: 8.0,
    };
    Machine::new(identity, 0)
}

fn task(job: u64, index: u32) -> TaskId {
    let job = JobId(job);
    TaskId { job, index }
}

fn start(job: u64, index: u32, attempt: u64) -> Order {
    let task = task(job, index);
    Order::Start { task, attempt }
}

fn causes(machine: &mut Machine) -> Vec<Option<Cause>> {
    let report = machine.report();
    report.tasks.iter().map(|task| task.cause).collect()
}

#[test]
fn a_repeated_start_changes_nothing_and_another_attempt_is_refused() {
    let (mut machine, told) = (machine(), Told::default());
    assert!(machine.obey(3, vec![start(1, 0, 1), start(1, 0, 1)], 0, &told));
    assert!(machine.obey(3, vec![start(1, 0, 2)], 0, &told));
    assert_eq!(causes(&mut machine), [None, Some(Cause::Busy)]);
    assert_eq!(*told.0.lock().unwrap(), [TaskEvent::Started]);
}

#[test]
fn what_is_unknown_or_has_no_room_is_refused() {
    let (mut machine, told) = (machine(), Told::default());
    let orders = (0..3).map(|index| start(1, index, 1)).collect();
    machine.obey(1, orders, 0, &told);
    machine.obey(1, vec![start(100, 0, 1)], 0, &told);
    let expected = [None, None, Some(Cause::NoRoom), Some(Cause::Unknown)];
    assert_eq!(causes(&mut machine), expected);
}

#[test]
fn a_lower_token_is_not_obeyed_and_renews_nothing() {
    let (mut machine, told) = (machine(), Told::default());
    assert!(machine.obey(3, Vec::new(), 0, &told));
    assert!(!machine.obey(2, vec![start(1, 0, 1)], 0, &told));
    assert!(!machine.renewed(5000, 1, 2));
    assert_eq!(machine.on(), 0);
    assert!(machine.expire(4001, 4000, &told));
}

#[test]
fn a_session_ends_with_its_lease_and_takes_the_tasks_along() {
    let (mut machine, told) = (machine(), Told::default());
    machine.obey(1, vec![start(1, 0, 1)], 0, &told);
    assert!(machine.renewed(500, 1, 1));
    assert!(!machine.expire(4500, 4000, &told));
    assert!(machine.expire(4501, 4000, &told));
    assert_eq!((machine.session(), machine.on()), (2, 0));
    assert!(
        !machine.renewed(4600, 1, 1),
        "an answer of the session before"
    );
    let events = [TaskEvent::Started, TaskEvent::Left];
    assert_eq!(*told.0.lock().unwrap(), events);
}

#[test]
fn what_completed_stays_in_the_reports_until_it_is_forgotten() {
    let (mut machine, told) = (machine(), Told::default());
    machine.obey(1, vec![start(1, 0, 1)], 0, &told);
    let forget = || {
        let task = task(1, 0);
        vec![Order::Forget { task, attempt: 1 }]
    };
    machine.obey(1, forget(), 500, &told);
    assert_eq!(causes(&mut machine), [None], "it runs");
    assert_eq!(machine.next_end(), Some(1000));
    assert!(!machine.pass(999, &told));
    assert!(machine.pass(1000, &told));
    assert_eq!(causes(&mut machine), [Some(Cause::Done)]);
    machine.obey(1, forget(), 1100, &told);
    assert!(machine.report().tasks.is_empty());
}
