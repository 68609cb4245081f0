//! Serde form of an incarnation as its number.

use crate::id::Incarnation;

/// Serde form of [`Incarnation`] as its number.
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(remote = "Incarnation", transparent)]
pub(super) struct IncarnationForm(u64);
