//! The header that tells a client when to come back.

use std::time::Duration;

use http::{HeaderValue, header::RETRY_AFTER};

use super::WholeResponse;

/// Sets the retry delay, in seconds with fractions.
pub fn set_retry_after(response: &mut WholeResponse, time: Duration) {
    // Digits and a point are always a valid header value.
    if let Ok(value) = HeaderValue::try_from(format!("{:.3}", time.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}
