//! Answer of a holder to a query about a claim.

value_type! {
    /// Answer of a node to a peer's query about a claim that names the node as its holder.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum HolderAnswer {
        /// The request was not dispatched and never will be: the holder is releasing the claim.
        NeverDispatched,
        /// The request was dispatched or is about to be.
        Running,
        /// The request ran, and its answer is being stored in the table.
        Finished,
        /// This incarnation of the node holds no such claim: it was released, or its answer is stored.
        NotMine,
    }
}
