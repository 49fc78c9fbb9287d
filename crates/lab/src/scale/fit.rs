//! A straight line through measured points, by least squares.

use serde::Serialize;

/// A line `value = base + slope * size`, with the spread of the points around it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at size zero.
    pub base: f64,
    /// Value for each unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the point's value.
    pub worst_residual: f64,
}

impl Fit {
    /// Fits points of (size, value); `None` for fewer than two sizes.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        if points.len() < 2 || variance == 0.0 {
            return None;
        }
        let covariance: f64 =
            points.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
        let slope = covariance / variance;
        let base = mean_value - slope * mean_size;
        let residual = |point: &(f64, f64)| {
            let distance = (point.1 - base - slope * point.0).abs();
            if point.1 == 0.0 { 0.0 } else { distance / point.1.abs() }
        };
        let worst_residual = points.iter().map(residual).fold(0.0, f64::max);
        Some(Self { base, slope, worst_residual })
    }

    /// The value that the line gives at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
