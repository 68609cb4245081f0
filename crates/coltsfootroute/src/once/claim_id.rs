//! Identity of a claim.

use std::fmt;

use rand::{Rng, RngExt};

value_type! {
    /// One attempt to claim a key, drawn at random. Shown as 32 hexadecimal digits.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct ClaimId(pub u128);
}

impl ClaimId {
    /// Draws an identity.
    pub fn draw(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<ClaimId> for String {
    fn from(id: ClaimId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for ClaimId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}
