//! A response as it goes over the connection.

use bytes::{BufMut, BytesMut};
use http::{
    Method, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH},
};

use super::WholeResponse;

/// Writes `response` to a request of `method` into `bytes`; `closes` says that it is the connection's last.
pub(super) fn write(response: &WholeResponse, method: &Method, closes: bool, bytes: &mut BytesMut) {
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or("Unknown");
    bytes.put_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
    for (name, value) in response.headers() {
        if name == CONNECTION || name == CONTENT_LENGTH {
            continue;
        }
        put_line(bytes, name.as_str(), value.as_bytes());
    }
    if closes {
        put_line(bytes, CONNECTION.as_str(), b"close");
    }
    let has_body = *method != Method::HEAD && !is_bodiless(status);
    if has_body {
        put_line(bytes, CONTENT_LENGTH.as_str(), response.body().len().to_string().as_bytes());
    }
    bytes.put_slice(b"\r\n");
    if has_body {
        bytes.put_slice(response.body());
    }
}

fn put_line(bytes: &mut BytesMut, name: &str, value: &[u8]) {
    bytes.put_slice(name.as_bytes());
    bytes.put_slice(b": ");
    bytes.put_slice(value);
    bytes.put_slice(b"\r\n");
}

/// Statuses whose responses never have a body.
fn is_bodiless(status: StatusCode) -> bool {
    status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
