//! Names of the services that differ between two configurations.

use super::ContentDigest;
use crate::name::ServiceName;
use indexmap::IndexMap;

/// Returns the sorted names of the services that are in only one of `old` and `new`, or whose digests differ.
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
