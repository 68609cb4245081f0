//! Origin of configurations.

/// System that accepts configurations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConfigOrigin {
    /// The nodes: operators submit configurations to them, and they write these to the table service.
    #[default]
    Submitted,
    /// Another system, which keeps the history; a node is notified of each configuration by
    /// [`ConfigCommand::Accepted`](super::ConfigCommand::Accepted).
    External,
}
