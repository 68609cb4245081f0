//! What a guard could learn of a holder.

use super::HolderAnswer;

value_type! {
    /// What a guard learnt of the holder of a claim that is in its way.
    pub enum HolderView {
        /// The life that holds the claim answered.
        Answered(HolderAnswer),
        /// That life is known to have ended.
        Ended,
        /// It can't be reached; it may be paused, cut off or dead.
        Unreachable,
    }
}
