//! Version of a row.

value_type! {
    /// Version of a row: 1 when first written, one more with each write.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct RowVersion(pub u64);
}
