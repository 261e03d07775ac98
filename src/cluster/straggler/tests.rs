use super::*;

/// The run time of a job's `n`-th task as a multiple of the job's typical run time: 0.6 to 1.5, in a fixed
/// mixed order.
fn spread(n: u32) -> f64 {
    0.6 + 0.9 * f64::from(n * 7 % 10) / 9.0
}

#[test]
fn one_late_task_does_not_mark_machine_as_straggler() {
    let mut job = RunningMean::default();
    (0..MIN_JOB_SAMPLES).for_each(|n| job.add(30.0 * spread(n)));
    assert!(!is_straggling([(&job, 500.0), (&job, 40.0)].into_iter()));
    assert!(is_straggling(
        [(&job, 90.0), (&job, 10.0), (&job, 90.0)].into_iter()
    ));
    assert!(
        !is_straggling([(&RunningMean::default(), 90.0); 3].into_iter()),
        "no completed tasks to compare with"
    );
}

#[test]
fn machine_is_straggler_only_if_several_tasks_run_far_longer() {
    let (mut job, mut usual, mut slow) = (
        RunningMean::default(),
        RunningMean::default(),
        RunningMean::default(),
    );
    let mut found = None;
    for n in 0..200 {
        let long = record_completion(&mut job, &mut usual, 30.0 * spread(n));
        assert!(
            !long,
            "a machine of normal speed counts as slow after {n} tasks"
        );
        // One task in nine runs on the slow machine, where it takes three times as long.
        if n % 8 == 7 && record_completion(&mut job, &mut slow, 90.0 * spread(n / 8)) {
            found.get_or_insert(n / 8);
        }
    }
    let found = found.expect("the slow machine is detected");
    assert!((3..8).contains(&found), "detected after {found} tasks");
}
