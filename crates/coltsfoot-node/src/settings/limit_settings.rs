//! Bounds on what a node takes and keeps.

use std::time::Duration;

use coltsfootroute::constants::MAX_BODY_BYTES;

use super::field_reader::FieldReader;

const DEFAULT_HEADER_BYTES: u64 = 16 * 1024;
const DEFAULT_QUEUE: u64 = 256;
const DEFAULT_DRAIN_NOTICE_MS: u64 = 3_000;
const DEFAULT_DRAIN_MAX_S: u64 = 60;
const DEFAULT_MEMORY_MB: u64 = 256;

/// Bytes of a megabyte, as settings count it.
const MEGABYTE: u64 = 1_000_000;

/// Smallest memory of a node, in megabytes.
const MIN_MEMORY_MB: u64 = 16;
/// Largest memory of a node, in megabytes: a terabyte.
const MAX_MEMORY_MB: u64 = 1_000_000;

/// Fewest file descriptors with which a node can serve.
const MIN_DESCRIPTORS: u64 = 64;
/// Most file descriptors of a process.
const MAX_DESCRIPTORS: u64 = 1 << 20;

/// Largest bound on the head of a request, in bytes: the listeners' buffer.
pub const MAX_HEADER_BYTES: u64 = 64 * 1024;

/// Longest time to revoke a key: an hour.
const MAX_REVOKE_MS: u64 = 3_600_000;

/// Bounds on what a node takes and keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Largest body of a call or an answer, in bytes; at most [`MAX_BODY_BYTES`].
    pub body_bytes: u64,
    /// Largest head of a request, in bytes; at most [`MAX_HEADER_BYTES`].
    pub header_bytes: u64,
    /// Memory that the process may take, in megabytes.
    pub memory_mb: u64,
    /// File descriptors that the process may have open; `None`: the limit that the system sets the process.
    pub descriptors: Option<u64>,
    /// Most calls waiting in front of the upstream; fewer where eight times its slots are fewer.
    pub queue: u64,
    /// Time for which a node that is to stop serves on as before, in milliseconds, while its answers ask
    /// clients to go elsewhere.
    pub drain_closing_ms: u64,
    /// Time callers get to learn that the node leaves, in milliseconds.
    pub drain_notice_ms: u64,
    /// Time in seconds after which a planned stop reports what is still in flight; it waits on.
    pub drain_max_s: u64,
    /// Time in seconds after which whoever stops the node ends it from outside. A node that only waits for clients to
    /// read their answers ends by itself shortly before. 0: no bound.
    pub drain_grace_s: u64,
    /// Time in milliseconds after which a key that was taken away runs nothing, also where a node hears of no change: it then
    /// refuses work that needs a key until it knows again. 0: no bound.
    pub revoke_within_ms: u64,
    /// Seed of the random generator; drawn from the system where absent.
    pub seed: Option<u64>,
}

impl LimitSettings {
    pub(super) fn read(reader: &mut FieldReader<'_>) -> Self {
        let max_body = MAX_BODY_BYTES as u64;
        Self {
            body_bytes: reader.number("body_bytes", max_body, 1..=max_body),
            header_bytes: reader.number(
                "header_bytes",
                DEFAULT_HEADER_BYTES,
                1_024..=MAX_HEADER_BYTES,
            ),
            memory_mb: reader.number("memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB..=MAX_MEMORY_MB),
            descriptors: reader.optional_number("descriptors", MIN_DESCRIPTORS..=MAX_DESCRIPTORS),
            queue: reader.number("queue", DEFAULT_QUEUE, 1..=65_536),
            drain_closing_ms: reader.number("drain_closing_ms", 0, 0..=60_000),
            drain_notice_ms: reader.number("drain_notice_ms", DEFAULT_DRAIN_NOTICE_MS, 0..=60_000),
            drain_grace_s: reader.number("drain_grace_s", 0, 0..=3_600),
            drain_max_s: reader.number("drain_max_s", DEFAULT_DRAIN_MAX_S, 1..=3_600),
            revoke_within_ms: reader.number("revoke_within_ms", 0, 0..=MAX_REVOKE_MS),
            seed: reader.optional("seed"),
        }
    }
}

impl LimitSettings {
    /// Memory that the process may take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        usize::try_from(self.memory_mb * MEGABYTE).unwrap_or(usize::MAX)
    }

    /// Time after which a planned stop is ended from outside; `None` if it is not.
    pub fn drain_grace(&self) -> Option<Duration> {
        (self.drain_grace_s > 0).then(|| Duration::from_secs(self.drain_grace_s))
    }

    /// Time after which a key that was taken away runs nothing; `None`: no bound.
    pub fn revoke_within(&self) -> Option<Duration> {
        (self.revoke_within_ms > 0).then(|| Duration::from_millis(self.revoke_within_ms))
    }
}
