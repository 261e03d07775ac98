use super::*;
use crate::{measure::Figures, settings::Experiment};

fn point(workers: usize, leader_mb: f64) -> Point {
    Point {
        vary: Some(SweepParameter::Workers),
        value: workers as f64,
        base: 1000.0,
        run: 1,
        experiment: Experiment::default().with(SweepParameter::Workers, workers as f64),
        reference_ms: 10.0,
        figures: Figures {
            leader_mb,
            follower_mb: 20.0,
            ..Figures::default()
        },
        drill: None,
        violation_count: 0,
        first_violations: Vec::new(),
    }
}

#[test]
fn extrapolation_reaches_the_target_and_is_marked() {
    let points = [vec![point(500, 30.0), point(1000, 40.0), point(2000, 60.0)]];
    let page = format!("head\n{BEGIN}\nprevious content\n{END}\ntail\n");
    let updated = update_page(&page, &points).unwrap();
    assert!(updated.starts_with("head\n") && updated.ends_with("\ntail\n"));
    assert!(!updated.contains("previous content"));
    // 20 MB plus 20 MB per 1,000 workers, for 4,143 workers.
    let row = "| leader, memory | MB | 47.3 | 103 | workers | extrapolated | not run |";
    assert!(updated.contains(row), "{updated}");
    assert!(
        updated.contains("| follower, memory | MB | 20 | 20 |  |  | not run |"),
        "{updated}"
    );
    assert_eq!(update_page(&updated, &points).unwrap(), updated);
}

#[test]
fn nonlinear_growth_is_marked() {
    let points = [vec![
        point(1000, 10.0),
        point(2000, 20.0),
        point(3000, 80.0),
        point(4143, 400.0),
    ]];
    let page = update_page(&format!("{BEGIN}{END}"), &points).unwrap();
    let row = page
        .lines()
        .find(|line| line.starts_with("| leader, memory | MB | workers"));
    assert!(row.unwrap().ends_with("**no** |"), "{page}");
}

#[test]
fn page_without_markers_is_rejected() {
    assert_eq!(update_page("nothing", &[]), Err(PageError::NoMarks));
}

#[test]
fn numbers_are_rounded_to_three_significant_digits() {
    let formatted: Vec<String> = [0.0, 0.01234, 1.5, 12.0, 123.4, 98_765.0, -1_234_567.0]
        .into_iter()
        .map(number)
        .collect();
    assert_eq!(
        formatted,
        ["0", "0.0123", "1.5", "12", "123", "98,800", "-1,230,000"]
    );
}
