//! A reading of the store's clock.

value_type! {
    /// Milliseconds that the store's steady clock shows; comparable between nodes.
    pub struct StoreTime(pub u64);
}
