//! Least-squares lines and the deviation of points from them.

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Increase per unit of x.
    pub slope: f64,
    /// The value at x = 0.
    pub intercept: f64,
    /// The largest distance of a point from the line, as a fraction of the largest absolute y.
    pub residual: f64,
}

/// Points with a larger residual do not count as linear.
const MAX_RELATIVE_RESIDUAL: f64 = 0.1;

impl LinearFit {
    /// Fits a line to points (x, y); `None` for fewer than two different x.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_of_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || sum_of_squares <= 0.0 {
            return None;
        }
        let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = products.sum::<f64>() / sum_of_squares;
        let intercept = mean_y - slope * mean_x;
        let line = LinearFit {
            slope,
            intercept,
            residual: 0.0,
        };
        let distances = points.iter().map(|(x, y)| (y - line.evaluate(*x)).abs());
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let residual = if largest > 0.0 {
            distances.fold(0.0, f64::max) / largest
        } else {
            0.0
        };
        Some(LinearFit { residual, ..line })
    }

    /// The value of the line at `x`.
    pub fn evaluate(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Whether the points lie on the line, given that identical runs differ by the fraction `spread` of their mean.
    pub fn is_linear(&self, spread: f64) -> bool {
        self.residual <= MAX_RELATIVE_RESIDUAL.max(spread)
    }
}

/// The difference of the largest and the smallest value, as a fraction of the mean; 0 for fewer than two values.
pub fn spread(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let largest = values.iter().copied().fold(f64::MIN, f64::max);
    let smallest = values.iter().copied().fold(f64::MAX, f64::min);
    if values.len() < 2 || mean.abs() <= f64::EPSILON {
        return 0.0;
    }
    (largest - smallest) / mean.abs()
}

#[cfg(test)]
mod tests;
