//! Form of the output.

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    Table,
    /// For programs.
    Json,
}
