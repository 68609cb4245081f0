//! Topological distance of an upstream from its caller.

value_type! {
    /// Distance of an upstream from its caller, nearest first.
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

    /// Returns the position in the order of distance, 0 for the nearest tier.
    pub fn index(self) -> usize {
        self as usize
    }
}
