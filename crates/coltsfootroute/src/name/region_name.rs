//! Name of a region.

name_type! {
    /// A region: one or more failure domains with short latencies between them.
    RegionName
}
