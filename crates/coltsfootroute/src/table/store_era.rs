//! Era of the table service.

value_type! {
    /// Era of the table service. It rises whenever the service comes back from an older copy of itself: what it acknowledged
    /// in earlier eras may be gone, and versions of rows are given out again. Versions of different eras must not be
    /// compared.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct StoreEra(pub u64);
}
