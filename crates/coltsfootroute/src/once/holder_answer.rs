//! What a holder says of a claim.

value_type! {
    /// A node's answer when a peer asks about a claim that names it.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum HolderAnswer {
        /// Claimed, not dispatched, and never will be: the holder is releasing it.
        NeverDispatched,
        /// Dispatched or about to be.
        Running,
        /// It ran, and its answer is on the way to the table.
        Finished,
        /// This life of the node holds no such claim: it was released or its answer is stored.
        NotMine,
    }
}
