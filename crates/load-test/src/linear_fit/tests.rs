use super::*;

#[test]
fn fit_of_collinear_points_has_no_residual() {
    let points: Vec<(f64, f64)> = (0..5)
        .map(|x| (f64::from(x), 3.0 + 2.0 * f64::from(x)))
        .collect();
    let line = LinearFit::fit(&points).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    assert!(line.residual < 1e-9 && line.is_linear(0.0));
}

#[test]
fn quadratic_growth_is_not_linear() {
    let xs = [1.0, 2.0, 4.0, 8.0, 16.0];
    let points = xs.map(|x: f64| (x, x * x));
    let line = LinearFit::fit(&points).unwrap();
    assert!(!line.is_linear(0.05), "{line:?}");
    assert!(
        line.is_linear(0.5),
        "a spread of one half exceeds the residual"
    );
}

#[test]
fn single_x_value_gives_no_fit() {
    assert_eq!(LinearFit::fit(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(LinearFit::fit(&[]), None);
}

#[test]
fn spread_is_relative_to_the_mean() {
    assert!((spread(&[9.0, 10.0, 11.0]) - 0.2).abs() < 1e-9);
    assert_eq!(spread(&[5.0]), 0.0);
}
