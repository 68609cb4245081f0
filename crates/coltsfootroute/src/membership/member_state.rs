//! State of a member of a service's group.

value_type! {
    /// What is known of a member. At one incarnation the states only go upwards in this order.
    pub enum MemberState {
        /// Answers, or was announced and not yet probed.
        Alive,
        /// Did not answer a probe; may refute by a higher incarnation.
        Suspect,
        /// Did not refute the suspicion in time.
        Dead,
        /// Said itself that it takes no new work. Final for its incarnation.
        Left,
    }
}

impl MemberState {
    /// Whether the member counts as present: alive, or suspected and not yet given up.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
