use super::*;

fn parsed(text: &str) -> Settings {
    toml::from_str(text).unwrap()
}

#[test]
fn a_sweep_varies_one_thing_and_repeats_one_value() {
    let settings = parsed(
        "[base]\nworkers = 500\n[[sweep]]\nvary = \"workers\"\nvalues = [250, 500]\nrepeat_at = 500",
    );
    assert!(settings.problems().is_empty());
    let plans = settings.plans();
    let workers: Vec<usize> = plans.iter().map(|plan| plan.experiment.workers).collect();
    assert_eq!(workers, [250, 500, 500, 500]);
    assert_eq!(plans[3].run, 3);
    assert_eq!(plans[0].varied, Some((Varied::Workers, 250.0, 500.0)));
    assert_eq!(plans[0].experiment.teams, Experiment::default().teams);
}

#[test]
fn every_mistake_is_named() {
    let settings = parsed("[base]\nworkers = 0\nurgent_share = 2.0\ncancel_s = 1.0");
    let problems = settings.problems();
    for field in ["workers", "urgent_share", "cancel_s"] {
        let named = problems.iter().any(|problem| problem.contains(field));
        assert!(named, "{field}: {problems:?}");
    }
}

#[test]
fn what_needs_too_much_is_refused_before_it_starts() {
    let many = Experiment {
        regions: 7,
        nodes: 43,
        ..Experiment::default()
    };
    assert!(
        many.problems("base")
            .iter()
            .any(|problem| problem.contains("301 processes"))
    );
    let large = Experiment {
        regions: 20,
        workers: 20_000,
        ..Experiment::default()
    };
    assert!(large.memory() > MOST_MEMORY);
    assert!(
        large
            .problems("base")
            .iter()
            .any(|problem| problem.contains("memory"))
    );
}

#[test]
fn an_unknown_field_is_named_on_one_line() {
    let text = "[base]\nwrokers = 3";
    let error = toml::from_str::<Settings>(text).unwrap_err();
    let line = one_line(&error, text);
    assert!(line.contains("wrokers") && !line.contains('\n'), "{line}");
}
