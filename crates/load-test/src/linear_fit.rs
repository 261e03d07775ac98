//! Lines through points, and how far the points are from them.

/// A least-squares line through points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// FittedGrowth for each unit of what was varied.
    pub slope: f64,
    /// The value at 0.
    pub intercept: f64,
    /// The largest distance of a point from the line, as a part of the largest value.
    pub residual: f64,
}

/// A residual beyond this part of the largest value says that the points are no line.
const MAX_RELATIVE_RESIDUAL: f64 = 0.1;

impl LinearFit {
    /// `None`: fewer than two different places.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let together = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = together.sum::<f64>() / spread;
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

    /// The line's value at `x`.
    pub fn evaluate(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Whether the points lie on it, given that runs alike differ by `spread` of their mean.
    pub fn is_linear(&self, spread: f64) -> bool {
        self.residual <= MAX_RELATIVE_RESIDUAL.max(spread)
    }
}

/// How far runs alike differ: the largest less the smallest, as a part of their mean.
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
