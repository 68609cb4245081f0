//! Services that differ between two configurations.

use super::ContentDigest;
use crate::name::ServiceName;
use indexmap::IndexMap;

/// Names of the services that are only in one of `old` and `new`, or whose digests differ; sorted.
pub(super) fn changed_names<T>(
    old: &IndexMap<ServiceName, T>,
    new: &IndexMap<ServiceName, T>,
    digest: fn(&T) -> ContentDigest,
) -> Vec<ServiceName> {
    let mut names: Vec<_> = old.keys().chain(new.keys()).cloned().collect();
    names.sort_unstable();
    names.dedup();
    names.retain(|name| old.get(name).map(digest) != new.get(name).map(digest));
    names
}
