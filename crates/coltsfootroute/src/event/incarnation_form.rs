//! Serde form of an incarnation: its number.

use crate::id::Incarnation;

/// Serde form of [`Incarnation`].
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(remote = "Incarnation", transparent)]
pub(super) struct IncarnationForm(u64);
