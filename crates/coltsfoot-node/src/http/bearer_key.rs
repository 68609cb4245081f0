//! The key that a caller shows.

use coltsfootroute::team::KeyDigest;
use http::{HeaderMap, header::AUTHORIZATION};

/// Scheme of the header, in any case.
const SCHEME: &str = "bearer ";

/// Digest of the key in `authorization: Bearer KEY`; `None` if there is none, or more than one. The key itself goes no
/// further than here.
pub fn bearer_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    let key = key.trim_ascii();
    let is_one = values.next().is_none() && !key.is_empty();
    (is_one && scheme.eq_ignore_ascii_case(SCHEME.as_bytes())).then(|| KeyDigest::of_key(key))
}
