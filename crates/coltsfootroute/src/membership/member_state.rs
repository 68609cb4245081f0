//! State of a member of a service's group.

value_type! {
    /// State of a member. Within one incarnation the state only advances, in this order.
    pub enum MemberState {
        /// The member answers probes, or was announced and not yet probed.
        Alive,
        /// The member did not answer a probe; it may refute the suspicion by a higher incarnation.
        Suspect,
        /// The member did not refute the suspicion in time.
        Dead,
        /// The member announced that it takes no new requests. Final for its incarnation.
        Left,
    }
}

impl MemberState {
    /// Whether the member counts as present: alive, or suspected and not yet declared dead.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
