//! Macro that declares the event kinds.

/// Declares [`EventKind`](super::EventKind). Each kind's name, level and typed fields are declared in one place, so
/// that the JSON form, the log line and the level can't diverge.
macro_rules! event_kinds {
    ($(
        $(#[$meta:meta])*
        $kind:ident($name:literal, $level:ident) {
            $($(#[$field_meta:meta])* $field:ident: $type:ty,)*
        }
    )*) => {
        record_type! {
            /// Kind of an event, with its fields. The suffix of a duration field is its unit.
            #[derive(serde::Serialize, serde::Deserialize)]
            #[serde(tag = "event")]
            pub enum EventKind {
                $(
                    $(#[$meta])*
                    #[serde(rename = $name)]
                    $kind {
                        $($(#[$field_meta])* $field: $type,)*
                    },
                )*
            }
        }

        impl EventKind {
            /// Names of all kinds, in the order of declaration.
            pub const NAMES: &'static [&'static str] = &[$($name),*];

            /// Returns the kind's name in logs and JSON.
            pub fn name(&self) -> &'static str {
                match self {
                    $(Self::$kind { .. } => $name,)*
                }
            }

            /// Returns the severity of the event.
            pub fn level(&self) -> EventLevel {
                match self {
                    $(Self::$kind { .. } => EventLevel::$level,)*
                }
            }

            /// Appends the fields to a log line, in the order of declaration.
            pub(super) fn write_fields(&self, line: &mut KeyValues) {
                match self {
                    $(Self::$kind { $($field),* } => {
                        $(line.push_field(stringify!($field), $field);)*
                    })*
                }
            }
        }
    };
}
