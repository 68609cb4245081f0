//! Revision number of the configuration.

use std::{fmt, num::ParseIntError, str::FromStr};

value_type! {
    /// Revision number of the whole configuration: 0 before the first submission, then increased by 1 with each
    /// accepted submission. Never decreases.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct Revision(pub u64);
}

impl Revision {
    /// Revision before the first submission, when there is no configuration.
    pub const ZERO: Self = Self(0);

    /// Returns the revision after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    /// Parses a plain number, with or without the double quotes of an entity tag.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bare = text.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
        bare.unwrap_or(text).parse().map(Self)
    }
}
