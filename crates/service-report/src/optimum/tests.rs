use super::*;

fn accepted_line(job: u64, at: f64, class: &str, tasks: u64, cpus: f64) -> String {
    format!(
        "{at} n1 INFO users: accepted job=j-{job:06} kind=Array class=\"{class}\" team=\"t\" tasks={tasks} \
         cpus={cpus} gpus=0.0 estimate_s=10.0 awaits=[]\n"
    )
}

#[test]
fn optimum_is_bounded_by_capacity() {
    let mut summary = LogSummary::default();
    // The capacity is 10 units for 100 s. One class requests 1,500 unit seconds, another one 100 after 50 s.
    let text = accepted_line(1, 0.0, "large", 150, 1.0) + &accepted_line(2, 50.0, "small", 10, 1.0);
    summary.parse(&(text + "100 n1 INFO end\n"));
    let achievable =
        max_achievable_service(&summary, 10.0, &TeamLimits::new()).expect("it can be solved");
    let fraction_of = |class: &str| achievable[&("t".to_string(), class.to_string())];
    // 1,600 unit seconds are requested and 1,000 are available: neither class can get more unless the other
    // gets less.
    for class in ["small", "large"] {
        assert!((fraction_of(class) - 0.625).abs() < 0.02, "{achievable:?}");
    }
}

#[test]
fn optimum_is_bounded_by_team_limit() {
    let mut summary = LogSummary::default();
    let other_team = accepted_line(2, 0.0, "b", 50, 1.0).replace("team=\"t\"", "team=\"u\"");
    summary.parse(&(accepted_line(1, 0.0, "a", 50, 1.0) + &other_team + "100 n1 INFO end\n"));
    let limits = TeamLimits::from([("t".to_string(), 2.0)]);
    let achievable = max_achievable_service(&summary, 10.0, &limits).expect("it can be solved");
    // The team's limit allows 200 of its 500 unit seconds.
    let fraction_of = |team: &str, class: &str| achievable[&(team.to_string(), class.to_string())];
    assert!((fraction_of("t", "a") - 0.4).abs() < 0.02, "{achievable:?}");
    assert!(fraction_of("u", "b") > 0.99, "{achievable:?}");
}

#[test]
fn late_arrivals_are_not_achievable() {
    let mut summary = LogSummary::default();
    summary.parse(
        &(accepted_line(1, 0.0, "early", 1, 1.0)
            + &accepted_line(2, 90.0, "late", 20, 1.0)
            + "100 n1 INFO end\n"),
    );
    let achievable =
        max_achievable_service(&summary, 10.0, &TeamLimits::new()).expect("it can be solved");
    let late = achievable[&("t".to_string(), "late".to_string())];
    assert!((late - 0.5).abs() < 0.05, "{achievable:?}");
}
