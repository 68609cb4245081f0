//! State of a holder as seen by another guard.

use super::HolderAnswer;

value_type! {
    /// State of the holder of a claim, as seen by a guard whose request uses the same key.
    pub enum HolderView {
        /// The incarnation that holds the claim answered.
        Answered(HolderAnswer),
        /// That incarnation is known to have ended.
        Ended,
        /// The holder can't be reached; it may be suspended, partitioned or dead.
        Unreachable,
    }
}
