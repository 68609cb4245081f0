//! Why a node gave no events.

use coltsfootroute::event::EventLineError;

/// Why a node gave no events.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The node could not be reached or cut the connection.
    #[error("no answer: {0}")]
    Unreachable(String),
    /// The node took too long.
    #[error("no answer in {0} ms")]
    TimedOut(u128),
    /// The node answered with another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The answer was cut off, too large or not text.
    #[error("unreadable answer: {0}")]
    Body(String),
    /// A line of the answer is no event; the node may be of a newer version.
    #[error("unreadable event: {0}")]
    Line(#[from] EventLineError),
}
