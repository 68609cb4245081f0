//! Identity of a client request.

use std::{fmt, str::FromStr};

value_type! {
    /// One client request, drawn at random by the node that takes it in; all calls that the request
    /// causes along the chain carry it. Shown as 32 hexadecimal digits.
    pub struct RequestId(pub u128);
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
