//! Exit codes.

/// How a command ended. Scripts rely on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Done.
    Done,
    /// Something else went wrong: a file, an answer that isn't understood.
    Failed,
    /// The command line is wrong. Given by `clap` as well.
    Usage,
    /// The schema is faulty; nothing was changed.
    Invalid,
    /// Another submission came first, or the key stands with another document; nothing was changed.
    Conflict,
    /// The node or its table service can't be reached. Repeat the same command.
    Unavailable,
    /// The history can't be trusted.
    Untrusted,
    /// The records shown are intact, but what comes before them isn't at hand.
    PartlyVerified,
}

impl ExitCode {
    /// The number given to the system.
    pub fn number(self) -> i32 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Invalid => 3,
            Self::Conflict => 4,
            Self::Unavailable => 5,
            Self::Untrusted => 6,
            Self::PartlyVerified => 7,
        }
    }
}
