//! How near an upstream is to its caller.

value_type! {
    /// Nearness of an upstream, nearest first.
    pub enum UpstreamTier {
        /// In the caller's failure domain.
        OwnDomain,
        /// In the caller's region, outside its failure domain.
        OwnRegion,
        /// In another region.
        OtherRegion,
    }
}

impl UpstreamTier {
    /// Number of tiers.
    pub const COUNT: usize = 3;

    /// Position in the order of nearness.
    pub fn index(self) -> usize {
        self as usize
    }
}
