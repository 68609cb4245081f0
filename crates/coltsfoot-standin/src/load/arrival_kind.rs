//! Kinds of arrivals.

use std::str::FromStr;

/// How the intervals between arrivals are drawn; all kinds have the same mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ArrivalKind {
    /// Independent exponential intervals.
    #[default]
    Poisson,
    /// Independent intervals from a mixture of two exponential distributions.
    Mixed,
    /// Intervals distributed as for [`ArrivalKind::Mixed`], but short ones follow short ones and
    /// long ones long ones: a two-state Markov chain picks the distribution.
    Correlated {
        /// Mean number of arrivals before the state changes; at least 1.
        burst_length: u32,
    },
}

impl ArrivalKind {
    /// Burst length where none is set.
    pub const DEFAULT_BURST_LENGTH: u32 = 500;
}

impl FromStr for ArrivalKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "poisson" => Ok(Self::Poisson),
            "mixed" => Ok(Self::Mixed),
            "correlated" => Ok(Self::Correlated { burst_length: Self::DEFAULT_BURST_LENGTH }),
            _ => Err(format!("`{text}`: expected poisson, mixed or correlated")),
        }
    }
}
