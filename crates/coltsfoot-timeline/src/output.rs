//! Forms of the time line.

mod json_lines;
mod svg_error;
mod svg_picture;
mod text_lines;

pub use json_lines::{is_gap_line, json_line};
pub use svg_error::SvgError;
pub use svg_picture::SvgPicture;
pub use text_lines::text_line;
