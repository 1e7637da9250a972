//! Least-squares fits (line and power law) of measured figures by size, with their relative error.

use serde::Serialize;

/// A straight line, fitted for the least relative error.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Its value at zero.
    pub base: f64,
    /// What each further unit adds.
    pub slope: f64,
    /// Root mean square of the relative errors (0.1: a tenth).
    pub error: f64,
    /// Number of points; with two the fit is exact.
    pub points: usize,
}

/// `factor` x `size` to the power of `exponent`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Power {
    /// Its value at a size of one.
    pub factor: f64,
    /// 1: as the size; 2: as its square.
    pub exponent: f64,
    /// As [`Line::error`].
    pub error: f64,
}

/// A cause's figures by size, and their fits.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// What was measured.
    pub cause: String,
    /// Its unit.
    pub unit: String,
    /// What the size counts.
    pub by: String,
    /// Size and figure.
    pub points: Vec<(f64, f64)>,
    /// The line; missing with fewer than two sizes.
    pub line: Option<Line>,
    /// The power; missing with fewer than two sizes or a figure that is not positive.
    pub power: Option<Power>,
}

impl Line {
    /// Its value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl Fit {
    /// Fits both a line and a power law.
    pub fn new(cause: &str, unit: &str, by: &str, points: Vec<(f64, f64)>) -> Self {
        let (line, power) = (line(&points), power(&points));
        Fit { cause: cause.into(), unit: unit.into(), by: by.into(), points, line, power }
    }
}

/// Base and slope of the weighted least-squares line through (x, y, weight).
fn weighted_least_squares(points: impl Iterator<Item = (f64, f64, f64)> + Clone) -> Option<(f64, f64)> {
    let weight: f64 = points.clone().map(|(_, _, w)| w).sum();
    let mean_x = points.clone().map(|(x, _, w)| w * x).sum::<f64>() / weight;
    let mean_y = points.clone().map(|(_, y, w)| w * y).sum::<f64>() / weight;
    let square: f64 = points.clone().map(|(x, _, w)| w * (x - mean_x).powi(2)).sum();
    let cross: f64 = points.map(|(x, y, w)| w * (x - mean_x) * (y - mean_y)).sum();
    let slope = cross / square;
    let base = mean_y - slope * mean_x;
    (slope.is_finite() && base.is_finite()).then_some((base, slope))
}

fn relative_rms_error(points: &[(f64, f64)], fitted: impl Fn(f64) -> f64) -> f64 {
    let parts = points.iter().map(|(x, y)| ((fitted(*x) - y) / y.abs().max(1e-12)).powi(2));
    (parts.sum::<f64>() / points.len() as f64).sqrt()
}

/// Fits a line; each point is weighted by the inverse square of its value.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
    let weighed = points.iter().map(|(x, y)| (*x, *y, 1.0 / y.abs().max(largest * 1e-3).max(1e-12).powi(2)));
    let (base, slope) = weighted_least_squares(weighed)?;
    let error = relative_rms_error(points, |x| base + slope * x);
    Some(Line { base, slope, error, points: points.len() })
}

/// Fits a power law.
pub fn power(points: &[(f64, f64)]) -> Option<Power> {
    if points.iter().any(|(x, y)| *x <= 0.0 || *y <= 0.0) {
        return None;
    }
    let (base, exponent) = weighted_least_squares(points.iter().map(|(x, y)| (x.ln(), y.ln(), 1.0)))?;
    let factor = base.exp();
    Some(Power { factor, exponent, error: relative_rms_error(points, |x| factor * x.powf(exponent)) })
}
