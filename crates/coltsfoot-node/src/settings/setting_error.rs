//! One fault of a settings file.

/// One fault: where it is, what stands there and what is expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: found {found}, expected {expected}")]
pub struct SettingError {
    /// Path of the field, such as `listen.client` or `peers[1]`.
    pub field: String,
    /// The value as JSON text, or `nothing` for an absent field.
    pub found: String,
    /// What the field takes.
    pub expected: String,
}
