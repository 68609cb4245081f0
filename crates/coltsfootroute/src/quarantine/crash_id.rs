//! Identity of one end of an upstream.

use std::fmt;

value_type! {
    /// One end of an upstream with calls under way, drawn at random by the guard beside it. Shown as 16 hexadecimal
    /// digits.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct CrashId(pub u64);
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl From<CrashId> for String {
    fn from(crash: CrashId) -> Self {
        crash.to_string()
    }
}

impl TryFrom<String> for CrashId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u64::from_str_radix(&text, 16).map(Self)
    }
}
