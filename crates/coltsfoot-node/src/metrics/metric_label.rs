//! Labels with a bounded set of values.

use std::hash::Hash;

use coltsfootroute::{
    event::{ClaimOutcome, DenialReason},
    importance::Importance,
    outcome::CallOutcome,
    retry::RepeatCause,
    table::StoreUse,
};

/// A label with a bounded set of values, all exported from the start.
pub(super) trait MetricLabel: Copy + Eq + Hash + 'static {
    /// All values.
    const ALL: &'static [Self];

    /// The value's text.
    fn as_str(self) -> &'static str;
}

/// Declares an enumeration that is used as a label.
macro_rules! metric_label {
    ($(#[$meta:meta])* $name:ident { $($(#[$variant_meta:meta])* $variant:ident => $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$variant_meta])* $variant,)*
        }

        impl $crate::metrics::metric_label::MetricLabel for $name {
            const ALL: &'static [Self] = &[$(Self::$variant),*];

            fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }
    };
}

pub(super) use metric_label;

/// Makes one of the library's enumerations usable as a label.
macro_rules! library_label {
    ($($name:ident),*) => {
        $(impl MetricLabel for $name {
            const ALL: &'static [Self] = &$name::ALL;

            fn as_str(self) -> &'static str {
                $name::as_str(self)
            }
        })*
    };
}

library_label!(ClaimOutcome, DenialReason, Importance, RepeatCause, StoreUse);

impl MetricLabel for CallOutcome {
    const ALL: &'static [Self] = &[Self::Completed, Self::NotRun, Self::Unknown];

    fn as_str(self) -> &'static str {
        CallOutcome::as_str(self)
    }
}
