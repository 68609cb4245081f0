//! Number of an arrival of a request at one upstream.

use std::fmt;

use serde::{Deserialize, Serialize};

value_type! {
    /// Number of an arrival of a request at one upstream, from 1.
    #[derive(Serialize, Deserialize)]
    pub struct ArrivalNumber(pub u32);
}

impl ArrivalNumber {
    /// The request has not been sent to the upstream before.
    pub const FIRST: Self = Self(1);

    /// Returns the number of the next arrival.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for ArrivalNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
