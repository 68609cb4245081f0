//! Importance of client requests.

use std::str::FromStr;

value_type! {
    /// How important a client request is. Set from the schema where the request enters and carried
    /// with every call it causes; ordered from least to most important.
    #[derive(Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
    #[serde(rename_all = "lowercase")]
    pub enum Importance {
        /// Refused first; also the importance of calls without a valid context.
        #[default]
        Background,
        /// Below ordinary work.
        Low,
        /// Ordinary work.
        Normal,
        /// Above ordinary work.
        High,
        /// Refused last.
        Critical,
    }
}

impl Importance {
    /// Number of importance levels.
    pub const COUNT: usize = 5;

    /// All levels, least important first.
    pub const ALL: [Self; Self::COUNT] =
        [Self::Background, Self::Low, Self::Normal, Self::High, Self::Critical];

    /// Returns the position in [`Importance::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the level at `index`; `None` if `index` is out of range.
    pub fn from_index(index: usize) -> Option<Self> {
        Self::ALL.get(index).copied()
    }

    /// Returns the name of the level in the schema.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Background => "background",
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
            Self::Critical => "critical",
        }
    }
}

display_as_str!(Importance);

impl FromStr for Importance {
    type Err = UnknownImportance;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|importance| importance.as_str() == text)
            .ok_or_else(|| UnknownImportance(text.to_owned()))
    }
}

/// Error for a text that is not the name of an importance level.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown importance `{0}`: expected background, low, normal, high or critical")]
pub struct UnknownImportance(pub String);
