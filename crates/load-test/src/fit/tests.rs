use super::*;

#[test]
fn a_line_through_points_on_a_line_has_no_residual() {
    let points: Vec<(f64, f64)> = (0..5)
        .map(|x| (f64::from(x), 3.0 + 2.0 * f64::from(x)))
        .collect();
    let line = Line::through(&points).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    assert!(line.residual < 1e-9 && line.holds(0.0));
}

#[test]
fn what_grows_with_the_square_is_no_line() {
    let places = [1.0, 2.0, 4.0, 8.0, 16.0];
    let points = places.map(|x: f64| (x, x * x));
    let line = Line::through(&points).unwrap();
    assert!(!line.holds(0.05), "{line:?}");
    assert!(line.holds(0.5), "runs that differ by half hide it");
}

#[test]
fn one_place_makes_no_line() {
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(Line::through(&[]), None);
}

#[test]
fn runs_alike_have_a_spread_of_their_mean() {
    assert!((spread(&[9.0, 10.0, 11.0]) - 0.2).abs() < 1e-9);
    assert_eq!(spread(&[5.0]), 0.0);
}
