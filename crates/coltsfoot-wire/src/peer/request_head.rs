//! Head of a request that nodes pass on.

use super::{
    HeaderLine,
    header_line::{read_lines, write_lines},
};
use crate::{peer_capnp::request_head, wire_error::WireError};

/// Method, target and headers of a request that reaches the upstream as its caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query, not normalized.
    pub target: String,
    /// Headers to pass on; those of one connection, and those that a node sets itself, are left out.
    pub headers: Vec<HeaderLine>,
}

impl RequestHead {
    pub(super) fn write(&self, mut builder: request_head::Builder<'_>) {
        builder.set_method(self.method.as_str());
        builder.set_target(self.target.as_str());
        let count = u32::try_from(self.headers.len()).unwrap_or(u32::MAX);
        write_lines(&self.headers, builder.init_headers(count));
    }

    pub(super) fn read(reader: request_head::Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            method: reader.get_method()?.to_str()?.to_owned(),
            target: reader.get_target()?.to_str()?.to_owned(),
            headers: read_lines(reader.get_headers()?)?,
        })
    }
}
