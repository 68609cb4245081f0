//! Single change between two schemas.

use std::fmt;

record_type! {
    /// Single change between two schemas. A service or operation that is added or removed is one change, whose fields
    /// aren't listed.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct SchemaChange {
        /// Changed item: `deployment`, `service a`, `service a/operation`, `service a/operation -> b/callee`,
        /// `team a`, or a `.field` of one.
        pub item: String,
        /// Value before; `None` if the item is new.
        pub before: Option<String>,
        /// Value after; `None` if the item was removed.
        pub after: Option<String>,
    }
}

impl SchemaChange {
    /// Creates a change of `item`.
    pub(super) fn new(item: &str, before: Option<&String>, after: Option<&String>) -> Self {
        Self { item: item.to_owned(), before: before.cloned(), after: after.cloned() }
    }

    /// Returns whether the item was added or removed with all its contents.
    pub(super) fn is_added_or_removed(&self) -> bool {
        self.before.is_none() || self.after.is_none()
    }
}

impl fmt::Display for SchemaChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let item = &self.item;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "changed {item}: {before} to {after}"),
            (None, Some(after)) if !after.is_empty() => write!(f, "added {item}: {after}"),
            (None, _) => write!(f, "added {item}"),
            (Some(before), None) if !before.is_empty() => write!(f, "removed {item}: {before}"),
            (Some(_), None) => write!(f, "removed {item}"),
        }
    }
}
