//! Serde form of a request's identity as text, since JSON numbers can't represent 128 bits.

use std::borrow::Cow;

use serde::{Deserialize, Deserializer, Serializer, de::Error};

use crate::id::RequestId;

pub(super) fn serialize<S: Serializer>(
    request: &RequestId,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(request)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<RequestId, D::Error> {
    let text = Cow::<str>::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
