//! What an upstream has stated in its answers, in calls and replies.

use coltsfootroute::{
    membership::{InstanceIncarnation, InstanceName, StartTime},
    upstream_limit::{RequestRate, UpstreamNotice},
};

use crate::{peer_capnp::upstream_notice, wire_error::WireError};

/// Writes a notice into `builder`.
pub(super) fn write_notice(notice: &UpstreamNotice, mut builder: upstream_notice::Builder<'_>) {
    builder.set_instance(notice.incarnation.name.as_str());
    builder.set_started(notice.incarnation.started.map_or(0, |started| started.0));
    if let Some(limit) = notice.limit {
        builder.set_has_limit(true);
        builder.set_limit_milli(limit.0);
    }
    builder.set_is_leaving(notice.is_leaving);
}

/// Reads a notice.
///
/// # Errors
///
/// [`WireError`] if a field is malformed.
pub(super) fn read_notice(
    reader: upstream_notice::Reader<'_>,
) -> Result<UpstreamNotice, WireError> {
    let name = InstanceName::new(reader.get_instance()?.to_str()?);
    let started = Some(reader.get_started()).filter(|started| *started > 0).map(StartTime);
    Ok(UpstreamNotice {
        incarnation: InstanceIncarnation::new(name).with_started(started),
        limit: reader.get_has_limit().then(|| RequestRate(reader.get_limit_milli())),
        is_leaving: reader.get_is_leaving(),
    })
}
