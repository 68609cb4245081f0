//! The command `digest-key`.

use std::io::Read;

use coltsfootroute::team::KeyDigest;
use serde_json::json;

use crate::{control_error::ControlError, invocation::OutputFormat, output::Report};

/// Longest key read, in bytes; more is a file that was given by mistake.
const MAX_KEY_BYTES: u64 = 4_096;

/// Prints the digest of the key that `input` holds, by which a schema names it. The key comes in by this way because
/// arguments of commands are shown to every user of a host.
pub fn digest_key(format: OutputFormat, input: impl Read) -> Result<Report, ControlError> {
    let mut key = Vec::new();
    let read = input.take(MAX_KEY_BYTES + 1).read_to_end(&mut key);
    read.map_err(|source| ControlError::File { path: "standard input".to_owned(), source })?;
    let key = key.trim_ascii();
    if key.is_empty() || key.len() as u64 > MAX_KEY_BYTES {
        return Err(ControlError::Key);
    }
    let digest = KeyDigest::of_key(key);
    Ok(Report::new(format, &digest.to_string(), &json!({ "digest": digest })))
}
