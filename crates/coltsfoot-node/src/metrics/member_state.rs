//! States of a member.

use super::metric_label::metric_label;

metric_label! {
    /// State of a member as this node holds it.
    MemberState {
        /// Answers.
        Up => "up",
        /// Does not answer, but may yet refute it.
        Suspect => "suspect",
        /// Held to be down.
        Down => "down",
        /// Left as planned.
        Left => "left",
    }
}
