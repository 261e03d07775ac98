use std::sync::Mutex;

use dalelb::protocol::ids::JobId;

use super::*;

/// Task model with tasks of 4 CPUs that run for one second; records all task events.
#[derive(Default)]
struct RecordedEvents(Mutex<Vec<TaskEvent>>);

impl TaskModel for RecordedEvents {
    fn describe(&self, task: TaskId) -> Option<TaskSpec> {
        let exists = task.job.0 < 100;
        exists.then_some(TaskSpec {
            cpus: 4.0,
            run_ms: Some(1000),
        })
    }

    fn on_task_event(&self, _: &str, _: TaskId, event: TaskEvent) {
        self.0.lock().unwrap().push(event);
    }
}

fn machine() -> EmulatedWorker {
    let identity = WorkerIdentity {
        name: "vm-1".into(),
        addr: "127.0.0.1:1".into(),
        type_name: "c8".into(),
        zone: "a".into(),
        cpus: 8.0,
    };
    EmulatedWorker::new(identity, 0)
}

fn task(job: u64, index: u32) -> TaskId {
    let job = JobId(job);
    TaskId { job, index }
}

fn start_order(job: u64, index: u32, attempt: u64) -> Order {
    let task = task(job, index);
    Order::Start { task, attempt }
}

fn causes(machine: &mut EmulatedWorker) -> Vec<Option<ExitCause>> {
    let report = machine.report();
    report.tasks.iter().map(|task| task.cause).collect()
}

#[test]
fn start_is_idempotent_and_second_attempt_is_refused() {
    let (mut machine, task_model) = (machine(), RecordedEvents::default());
    assert!(machine.execute_orders(
        3,
        vec![start_order(1, 0, 1), start_order(1, 0, 1)],
        0,
        &task_model
    ));
    assert!(machine.execute_orders(3, vec![start_order(1, 0, 2)], 0, &task_model));
    assert_eq!(causes(&mut machine), [None, Some(ExitCause::AttemptExists)]);
    assert_eq!(*task_model.0.lock().unwrap(), [TaskEvent::Started]);
}

#[test]
fn start_of_unknown_or_oversized_task_is_refused() {
    let (mut machine, task_model) = (machine(), RecordedEvents::default());
    let orders = (0..3).map(|index| start_order(1, index, 1)).collect();
    machine.execute_orders(1, orders, 0, &task_model);
    machine.execute_orders(1, vec![start_order(100, 0, 1)], 0, &task_model);
    let expected = [
        None,
        None,
        Some(ExitCause::InsufficientResources),
        Some(ExitCause::Unknown),
    ];
    assert_eq!(causes(&mut machine), expected);
}

#[test]
fn lower_fencing_token_is_rejected_and_does_not_renew_the_lease() {
    let (mut machine, task_model) = (machine(), RecordedEvents::default());
    assert!(machine.execute_orders(3, Vec::new(), 0, &task_model));
    assert!(!machine.execute_orders(2, vec![start_order(1, 0, 1)], 0, &task_model));
    assert!(!machine.renew_lease(5000, 1, 2));
    assert_eq!(machine.running_count(), 0);
    assert!(machine.expire_lease(4001, 4000, &task_model));
}

#[test]
fn lease_expiry_ends_the_incarnation_and_its_tasks() {
    let (mut machine, task_model) = (machine(), RecordedEvents::default());
    machine.execute_orders(1, vec![start_order(1, 0, 1)], 0, &task_model);
    assert!(machine.renew_lease(500, 1, 1));
    assert!(!machine.expire_lease(4500, 4000, &task_model));
    assert!(machine.expire_lease(4501, 4000, &task_model));
    assert_eq!((machine.incarnation(), machine.running_count()), (2, 0));
    assert!(
        !machine.renew_lease(4600, 1, 1),
        "a response to the previous incarnation"
    );
    let events = [TaskEvent::Started, TaskEvent::Removed];
    assert_eq!(*task_model.0.lock().unwrap(), events);
}

#[test]
fn completed_task_is_reported_until_acknowledged() {
    let (mut machine, task_model) = (machine(), RecordedEvents::default());
    machine.execute_orders(1, vec![start_order(1, 0, 1)], 0, &task_model);
    let forget = || {
        let task = task(1, 0);
        vec![Order::Forget { task, attempt: 1 }]
    };
    machine.execute_orders(1, forget(), 500, &task_model);
    assert_eq!(
        causes(&mut machine),
        [None],
        "a running task is not forgotten"
    );
    assert_eq!(machine.next_completion_at(), Some(1000));
    assert!(!machine.complete_due_tasks(999, &task_model));
    assert!(machine.complete_due_tasks(1000, &task_model));
    assert_eq!(causes(&mut machine), [Some(ExitCause::Done)]);
    machine.execute_orders(1, forget(), 1100, &task_model);
    assert!(machine.report().tasks.is_empty());
}
