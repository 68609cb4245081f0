//! Key of a row.

name_type! {
    /// Key of a row: segments joined by `/`, such as `schema/head`.
    RowKey
}
