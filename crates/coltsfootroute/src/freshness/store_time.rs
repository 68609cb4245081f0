//! A reading of the store's clock.

value_type! {
    /// Milliseconds on the store's monotonic clock; comparable between nodes.
    pub struct StoreTime(pub u64);
}
