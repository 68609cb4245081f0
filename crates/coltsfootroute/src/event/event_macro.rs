//! Macro that declares the kinds of events.

/// Declares [`EventKind`](super::EventKind): each kind's name, level and typed fields stand in one
/// place, so the JSON form, the log line and the level can't drift apart.
macro_rules! event_kinds {
    ($(
        $(#[$meta:meta])*
        $kind:ident($name:literal, $level:ident) {
            $($(#[$field_meta:meta])* $field:ident: $type:ty,)*
        }
    )*) => {
        record_type! {
            /// What happened. Durations are in the unit that ends the field's name.
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

            /// The kind's name in logs and JSON.
            pub fn name(&self) -> &'static str {
                match self {
                    $(Self::$kind { .. } => $name,)*
                }
            }

            /// How severe the event is.
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
