//! Amount of work that a guard sheds.

use crate::importance::Importance;

/// Severity that corresponds to one whole level of importance.
const SEVERITY_PER_LEVEL: u16 = 1_000;
/// Highest severity. A tenth of the most important work stays admitted, so that callers keep receiving current levels.
const MAX_SEVERITY: u16 = 4_900;

value_type! {
    /// Lowest importance that is admitted, and the fraction of work at this border that is admitted.
    ///
    /// Levels are ordered by severity; the default admits everything.
    #[derive(Default)]
    pub struct ShedLevel {
        /// Shed work in thousandths of an importance level, starting from the least important; at most
        /// [`MAX_SEVERITY`].
        severity: u16,
    }
}

impl ShedLevel {
    /// Level at which everything is admitted.
    pub const OPEN: Self = Self { severity: 0 };
    /// Highest level.
    pub const MAX: Self = Self { severity: MAX_SEVERITY };

    /// Creates a level from the value of [`ShedLevel::severity`], limited to [`ShedLevel::MAX`].
    pub fn from_severity(severity: u16) -> Self {
        Self { severity: severity.min(MAX_SEVERITY) }
    }

    /// Creates a level from the number of importance levels to shed, including a fraction.
    pub(super) fn from_levels(levels: f64) -> Self {
        Self::from_severity((levels.max(0.0) * f64::from(SEVERITY_PER_LEVEL)) as u16)
    }

    /// Returns the shed work in thousandths of an importance level, as sent between nodes.
    pub fn severity(self) -> u16 {
        self.severity
    }

    /// Returns the number of importance levels that are shed, including a fraction.
    pub fn levels(self) -> f64 {
        f64::from(self.severity) / f64::from(SEVERITY_PER_LEVEL)
    }

    /// Returns the lowest importance of which some work is admitted.
    pub fn border(self) -> Importance {
        let index = usize::from(self.severity / SEVERITY_PER_LEVEL);
        Importance::from_index(index).unwrap_or(Importance::Critical)
    }

    /// Returns the fraction of work of `importance` that is admitted, between 0 and 1.
    pub fn admitted_fraction(self, importance: Importance) -> f64 {
        let upper_edge = importance.index() as f64 + 1.0;
        (upper_edge - self.levels()).clamp(0.0, 1.0)
    }
}
