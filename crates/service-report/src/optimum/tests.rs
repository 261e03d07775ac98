use super::*;

fn line(job: u64, at: f64, class: &str, tasks: u64, cpus: f64) -> String {
    format!(
        "{at} n1 INFO users: accepted job=j-{job:06} kind=Array class=\"{class}\" team=\"t\" tasks={tasks} \
         cpus={cpus} gpus=0.0 estimate_s=10.0 awaits=[]\n"
    )
}

#[test]
fn optimum_is_bounded_by_capacity() {
    let mut run = LogSummary::default();
    // 100 s of 10 units; 1,500 unit seconds of one class, 100 of another that comes at half time.
    let text = line(1, 0.0, "large", 150, 1.0) + &line(2, 50.0, "small", 10, 1.0);
    run.parse(&(text + "100 n1 INFO end\n"));
    let possible =
        max_achievable_service(&run, 10.0, &TeamLimits::new()).expect("it can be solved");
    let of = |class: &str| possible[&("t".to_string(), class.to_string())];
    // 1,600 are asked for where 1,000 fit: nobody can have more without the other having less.
    for class in ["small", "large"] {
        assert!((of(class) - 0.625).abs() < 0.02, "{possible:?}");
    }
}

#[test]
fn optimum_is_bounded_by_team_limit() {
    let mut run = LogSummary::default();
    let other = line(2, 0.0, "b", 50, 1.0).replace("team=\"t\"", "team=\"u\"");
    run.parse(&(line(1, 0.0, "a", 50, 1.0) + &other + "100 n1 INFO end\n"));
    let limits = TeamLimits::from([("t".to_string(), 2.0)]);
    let possible = max_achievable_service(&run, 10.0, &limits).expect("it can be solved");
    // 200 of 500 unit seconds.
    let of = |team: &str, class: &str| possible[&(team.to_string(), class.to_string())];
    assert!((of("t", "a") - 0.4).abs() < 0.02, "{possible:?}");
    assert!(of("u", "b") > 0.99, "{possible:?}");
}

#[test]
fn late_arrivals_are_not_achievable() {
    let mut run = LogSummary::default();
    run.parse(
        &(line(1, 0.0, "early", 1, 1.0) + &line(2, 90.0, "late", 20, 1.0) + "100 n1 INFO end\n"),
    );
    let possible =
        max_achievable_service(&run, 10.0, &TeamLimits::new()).expect("it can be solved");
    let late = possible[&("t".to_string(), "late".to_string())];
    assert!((late - 0.5).abs() < 0.05, "{possible:?}");
}
