//! How much a guard sheds.

use crate::importance::Importance;

/// Severity of one whole level of importance.
const SEVERITY_PER_LEVEL: u16 = 1_000;
/// Highest severity: a tenth of the most important work stays admitted, so that news keeps coming.
const MAX_SEVERITY: u16 = 4_900;

value_type! {
    /// The lowest importance that is admitted, and the fraction of that border level admitted.
    ///
    /// Ordered by severity; the default admits everything.
    #[derive(Default)]
    pub struct ShedLevel {
        /// Thousandths of a level shed, from the least important up; at most [`MAX_SEVERITY`].
        severity: u16,
    }
}

impl ShedLevel {
    /// Everything is admitted.
    pub const OPEN: Self = Self { severity: 0 };
    /// The most that is ever shed.
    pub const MAX: Self = Self { severity: MAX_SEVERITY };

    /// The level with the severity that [`ShedLevel::severity`] gave, cut at [`ShedLevel::MAX`].
    pub fn from_severity(severity: u16) -> Self {
        Self { severity: severity.min(MAX_SEVERITY) }
    }

    /// The level that sheds `levels` whole levels and the fraction of the next.
    pub(super) fn from_levels(levels: f64) -> Self {
        Self::from_severity((levels.max(0.0) * f64::from(SEVERITY_PER_LEVEL)) as u16)
    }

    /// Thousandths of a level shed, as sent between nodes.
    pub fn severity(self) -> u16 {
        self.severity
    }

    /// Whole levels shed and the fraction of the next.
    pub fn levels(self) -> f64 {
        f64::from(self.severity) / f64::from(SEVERITY_PER_LEVEL)
    }

    /// The lowest importance of which some work is admitted.
    pub fn border(self) -> Importance {
        let index = usize::from(self.severity / SEVERITY_PER_LEVEL);
        Importance::from_index(index).unwrap_or(Importance::Critical)
    }

    /// The fraction of work of `importance` that is admitted, between 0 and 1.
    pub fn admitted_fraction(self, importance: Importance) -> f64 {
        let upper_edge = importance.index() as f64 + 1.0;
        (upper_edge - self.levels()).clamp(0.0, 1.0)
    }
}
