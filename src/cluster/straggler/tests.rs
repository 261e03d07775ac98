use super::*;

/// The run time of a job's `n`-th task as a multiple of the job's typical run time: 0.6 to 1.5, in a fixed
/// mixed order.
fn run_time_factor(n: u32) -> f64 {
    0.6 + 0.9 * f64::from(n * 7 % 10) / 9.0
}

#[test]
fn one_late_task_does_not_mark_machine_as_straggler() {
    let mut job_mean = RunningMean::default();
    (0..MIN_JOB_SAMPLES).for_each(|n| job_mean.add(30.0 * run_time_factor(n)));
    assert!(!is_straggling(
        [(&job_mean, 500.0), (&job_mean, 40.0)].into_iter()
    ));
    assert!(is_straggling(
        [(&job_mean, 90.0), (&job_mean, 10.0), (&job_mean, 90.0)].into_iter()
    ));
    assert!(
        !is_straggling([(&RunningMean::default(), 90.0); 3].into_iter()),
        "no completed tasks to compare with"
    );
}

#[test]
fn machine_is_straggler_only_if_several_tasks_run_far_longer() {
    let (mut job_mean, mut normal_machine, mut slow_machine) = (
        RunningMean::default(),
        RunningMean::default(),
        RunningMean::default(),
    );
    let mut detected_after = None;
    for n in 0..200 {
        let is_slow = record_run_time(
            &mut job_mean,
            &mut normal_machine,
            30.0 * run_time_factor(n),
        );
        assert!(
            !is_slow,
            "a machine of normal speed counts as slow after {n} tasks"
        );
        // One task in nine runs on the slow machine, where it takes three times as long.
        if n % 8 == 7
            && record_run_time(
                &mut job_mean,
                &mut slow_machine,
                90.0 * run_time_factor(n / 8),
            )
        {
            detected_after.get_or_insert(n / 8);
        }
    }
    let detected_after = detected_after.expect("the slow machine is detected");
    assert!(
        (3..8).contains(&detected_after),
        "detected after {detected_after} tasks"
    );
}
