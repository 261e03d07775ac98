use super::*;

fn parsed(text: &str) -> Settings {
    toml::from_str(text).unwrap()
}

#[test]
fn sweep_varies_one_parameter_and_repeats_one_value() {
    let settings = parsed(
        "[base]\nworkers = 500\n[[sweep]]\nvary = \"workers\"\nvalues = [250, 500]\nrepeat_at = 500",
    );
    assert!(settings.validation_errors().is_empty());
    let plans = settings.plans();
    let workers: Vec<usize> = plans.iter().map(|plan| plan.experiment.workers).collect();
    assert_eq!(workers, [250, 500, 500, 500]);
    assert_eq!(plans[3].run, 3);
    assert_eq!(
        plans[0].varied,
        Some((SweepParameter::Workers, 250.0, 500.0))
    );
    assert_eq!(plans[0].experiment.teams, Experiment::default().teams);
}

#[test]
fn every_settings_error_is_reported() {
    let settings = parsed("[base]\nworkers = 0\nurgent_share = 2.0\ncancel_s = 1.0");
    let problems = settings.validation_errors();
    for field in ["workers", "urgent_share", "cancel_s"] {
        let is_reported = problems.iter().any(|problem| problem.contains(field));
        assert!(is_reported, "{field}: {problems:?}");
    }
}

#[test]
fn oversized_experiment_is_rejected_before_start() {
    let many = Experiment {
        regions: 7,
        nodes: 43,
        ..Experiment::default()
    };
    assert!(
        many.validation_errors("base")
            .iter()
            .any(|problem| problem.contains("301 processes"))
    );
    let large = Experiment {
        regions: 20,
        workers: 20_000,
        ..Experiment::default()
    };
    assert!(large.estimated_memory_bytes() > MAX_MEMORY_BYTES);
    assert!(
        large
            .validation_errors("base")
            .iter()
            .any(|problem| problem.contains("memory"))
    );
}

#[test]
fn unknown_field_is_reported_on_one_line() {
    let text = "[base]\nwrokers = 3";
    let error = toml::from_str::<Settings>(text).unwrap_err();
    let line = one_line(&error, text);
    assert!(line.contains("wrokers") && !line.contains('\n'), "{line}");
}
