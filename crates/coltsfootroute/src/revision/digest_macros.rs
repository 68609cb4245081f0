//! Macro that declares the digest types of this module.

/// Declares a SHA-256 digest type whose text form is 64 lower-case hexadecimal digits.
macro_rules! digest_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; 32]);

        impl $name {
            /// Computes the digest of `bytes`.
            pub(super) fn of_bytes(bytes: &[u8]) -> Self {
                use sha2::Digest;
                Self(sha2::Sha256::digest(bytes).into())
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}({self})", stringify!($name))
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> Self {
                digest.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = String;

            fn try_from(text: String) -> Result<Self, String> {
                text.parse()
            }
        }

        impl std::str::FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                let fault = || format!("expected 64 hexadecimal digits, found `{text}`");
                crate::revision::digest_bytes(text).map(Self).ok_or_else(fault)
            }
        }
    };
}

pub(super) use digest_type;

/// Parses a digest of 64 hexadecimal digits; `None` if `text` has another form.
pub(crate) fn digest_bytes(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    if text.len() != 2 * bytes.len() || !text.is_ascii() {
        return None;
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
