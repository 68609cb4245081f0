//! Macros for derives and newtypes that are used throughout the crate.

/// Derives the common traits of a small plain value: `Clone`, `Copy`, `Debug`, equality, ordering and hashing.
macro_rules! value_type {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis enum $($rest)*
    };
}

/// Derives the common traits of a record that owns data: `Clone`, `Debug` and equality.
macro_rules! record_type {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq)]
        $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq)]
        $vis enum $($rest)*
    };
}

/// Declares a name type: an immutable string that is cheap to share between threads and is compared by content.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates a name from `text`. The caller must validate its format if required.
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

/// Implements `Display` with the text of `as_str`.
macro_rules! display_as_str {
    ($name:ident) => {
        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

/// Implements the text form of an identity that wraps one unsigned number: all hexadecimal digits, including leading
/// zeros.
macro_rules! hex_text {
    ($name:ident($number:ty)) => {
        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                const DIGITS: usize = <$number>::BITS as usize / 4;
                write!(f, "{:0DIGITS$x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                <$number>::from_str_radix(text, 16).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = std::num::ParseIntError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }
    };
}
