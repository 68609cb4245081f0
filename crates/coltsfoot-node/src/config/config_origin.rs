//! Who accepts configurations.

/// Who accepts configurations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConfigOrigin {
    /// Operators submit them to the nodes, which write them to the table service.
    #[default]
    Submitted,
    /// Another system, which keeps their history; nodes are told of each by
    /// [`ConfigCommand::Accepted`](super::ConfigCommand::Accepted).
    External,
}
