//! Form of the output.

use clap::{ValueEnum, builder::PossibleValue};

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// One key=value line an event.
    #[default]
    Text,
    /// One JSON object a line, which `--file` reads back.
    Json,
    /// A picture with one row a host.
    Svg,
}

impl ValueEnum for OutputFormat {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Text, Self::Json, Self::Svg]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        let name = match self {
            Self::Text => "text",
            Self::Json => "json",
            Self::Svg => "svg",
        };
        Some(PossibleValue::new(name))
    }
}
