//! Identifier of a claim.

use rand::{Rng, RngExt};

value_type! {
    /// Random identifier of one attempt to claim a key. Displayed as 32 hexadecimal digits.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct ClaimId(pub u128);
}

impl ClaimId {
    /// Draws a random identifier.
    pub fn draw(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

hex_text!(ClaimId(u128));
