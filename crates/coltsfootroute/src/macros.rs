//! Macros for the derives and newtypes that recur across the crate.

/// Derives the common set for a small plain value: `Clone`, `Copy`, `Debug`, equality, order, hash.
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

/// Derives the common set for a record that owns data: `Clone`, `Debug`, equality.
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

/// Declares a name: an immutable string, shared cheaply between threads and compared by content.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Wraps `text`; the caller has checked its form where that matters.
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// The name as text.
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

/// Shows a type as the text of its `as_str`.
macro_rules! display_as_str {
    ($name:ident) => {
        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

/// Gives an identity of one unsigned number its text: all its hexadecimal digits, zeros included.
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
