//! Identity of a claim.

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

hex_text!(ClaimId(u128));
