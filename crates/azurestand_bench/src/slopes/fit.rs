//! A straight line through measured points.

use std::fmt;

/// One measured size and its cost.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// The cost.
    pub y: f64,
}

/// A cost that grows with a size.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Slope {
    /// What costs.
    pub name: String,
    /// The unit of the cost.
    pub unit: String,
    /// What the size counts, in the singular.
    pub each: String,
    /// The sizes and costs.
    pub points: Vec<Point>,
    /// Cost of one more.
    pub slope: f64,
    /// Cost of none.
    pub base: f64,
    /// The farthest that a point lies off the line, as a part of the largest cost.
    pub residual: f64,
}

impl Slope {
    /// Fits a line by least squares; all zero without two different sizes.
    pub fn fit(name: &str, unit: &str, each: &str, points: Vec<Point>) -> Self {
        let count = points.iter().map(|_| 1.0).sum::<f64>().max(1.0);
        let mean = |part: fn(&Point) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.x), mean(|p| p.y));
        let spread: f64 = points.iter().map(|p| (p.x - x).powi(2)).sum();
        let joint: f64 = points.iter().map(|p| (p.x - x) * (p.y - y)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = y - slope * x;
        let off = |p: &Point| (p.y - base - slope * p.x).abs();
        let farthest = points.iter().map(off).fold(0.0, f64::max);
        let largest = points.iter().map(|p| p.y.abs()).fold(0.0, f64::max);
        let residual = if largest > 0.0 {
            farthest / largest
        } else {
            0.0
        };
        Self {
            name: name.to_owned(),
            unit: unit.to_owned(),
            each: each.to_owned(),
            points,
            slope,
            base,
            residual,
        }
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            unit,
            each,
            slope,
            base,
            residual,
            ..
        } = self;
        write!(
            f,
            "{name:<44} {slope:>11.4} {unit} a {each} (base {base:.3}, off by {:.1}%):",
            residual * 100.0
        )?;
        for point in &self.points {
            write!(f, " {}:{:.3}", point.x, point.y)?;
        }
        Ok(())
    }
}
