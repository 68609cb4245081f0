//! Version of a row.

value_type! {
    /// Version of a row: 1 after the first write, incremented with each further write.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct RowVersion(pub u64);
}
