//! One quantity measured at several sizes.

use std::fmt::Write as _;

use super::LinearFit;

/// One quantity measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredSlope {
    /// Name of its files, words joined by `-`.
    pub name: String,
    /// What x counts.
    pub x_label: String,
    /// What y is, with its unit.
    pub y_label: String,
    /// (x, y), x rising.
    pub points: Vec<(f64, f64)>,
}

impl MeasuredSlope {
    /// A slope without points as yet.
    pub fn new(name: &str, x_label: &str, y_label: &str) -> Self {
        let (name, x_label, y_label) = (name.to_owned(), x_label.to_owned(), y_label.to_owned());
        Self { name, x_label, y_label, points: Vec::new() }
    }

    /// Adds a point.
    pub fn push(&mut self, x: f64, y: f64) {
        self.points.push((x, y));
    }

    /// Reads what [`to_csv`](Self::to_csv) writes; `None` if it has another form.
    pub fn from_csv(name: &str, text: &str) -> Option<Self> {
        let mut lines = text.lines();
        let (x_label, y_label) = lines.next()?.split_once(',')?;
        let mut slope = Self::new(name, x_label, y_label);
        for line in lines {
            let (x, y) = line.split_once(',')?;
            slope.push(x.parse().ok()?, y.parse().ok()?);
        }
        Some(slope)
    }

    /// The points as CSV with a head line.
    pub fn to_csv(&self) -> String {
        let mut text = format!("{},{}\n", self.x_label, self.y_label);
        for (x, y) in &self.points {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{x},{}", rounded(*y));
        }
        text
    }

    /// Points and fit, one line each.
    pub fn to_lines(&self) -> String {
        let points: Vec<_> =
            self.points.iter().map(|(x, y)| format!("{x}: {}", rounded(*y))).collect();
        let mut text = format!("slope={} x={:?} y={:?}\n", self.name, self.x_label, self.y_label);
        let _ = writeln!(text, "  points {}", points.join(", "));
        if let Some(fit) = LinearFit::of(&self.points) {
            let (slope, intercept) = (rounded(fit.slope), rounded(fit.intercept));
            let residual = rounded(fit.residual);
            let _ = writeln!(text, "  fit slope={slope} intercept={intercept} residual={residual}");
        }
        text
    }
}

/// Four significant digits.
fn rounded(value: f64) -> f64 {
    format!("{value:.3e}").parse().unwrap_or(value)
}
