//! A picture that can't be drawn.

/// The plotting library could not draw the picture.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("picture not drawn: {0}")]
pub struct SvgError(pub String);
