//! A response as it goes over the connection.

use bytes::{Buf, BufMut, Bytes, BytesMut, buf::Chain};
use http::{
    Method, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH},
};

use super::WholeResponse;

/// Room for a head, and for a body that is copied behind it.
const HEAD_ROOM: usize = 512;
/// Largest body that is copied behind its head, in bytes. A larger one is sent as it is.
const MAX_COPIED_BYTES: usize = 4 * 1024;

/// Returns the bytes of `response` to a request of `method`; `closes` says that it is the connection's last. The memory of the
/// body is held until they are dropped.
pub(super) fn of(response: WholeResponse, method: &Method, closes: bool) -> Chain<BytesMut, Bytes> {
    let has_body = *method != Method::HEAD && !is_bodiless(response.status());
    let copied = response.body().len().min(MAX_COPIED_BYTES);
    let mut bytes = BytesMut::with_capacity(HEAD_ROOM + copied);
    write_head(&response, has_body, closes, &mut bytes);
    let mut body = response.into_body();
    if !has_body {
        body.clear();
    } else if body.len() <= MAX_COPIED_BYTES {
        bytes.put_slice(&body);
        body.clear();
    }
    bytes.chain(body)
}

fn write_head(response: &WholeResponse, has_body: bool, closes: bool, bytes: &mut BytesMut) {
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
    if has_body {
        put_line(bytes, CONTENT_LENGTH.as_str(), response.body().len().to_string().as_bytes());
    }
    bytes.put_slice(b"\r\n");
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
