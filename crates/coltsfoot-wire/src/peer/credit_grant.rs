//! Answer to a request for credit on the wire.

use std::time::Duration;

use coltsfootroute::quota::{CreditGrant, RateUsage};

use crate::peer_capnp::peer::take_credit_results;

/// Writes the answer to a request for credit; `None` states that the node does not own the credit.
pub fn write_credit_grant(
    grant: Option<CreditGrant>,
    mut builder: take_credit_results::Builder<'_>,
) {
    builder.set_is_owner(grant.is_some());
    if let Some(CreditGrant { granted, wait, share_milli, usage }) = grant {
        builder.set_granted(granted);
        builder.set_wait_micros(u32::try_from(wait.as_micros()).unwrap_or(u32::MAX));
        builder.set_share_milli(share_milli);
        if let Some(usage) = usage {
            builder.set_usage_percent(usage.percent());
        }
    }
}

/// Reads the answer to a request for credit; `None` if the node does not own the credit.
pub fn read_credit_grant(reader: take_credit_results::Reader<'_>) -> Option<CreditGrant> {
    reader.get_is_owner().then(|| CreditGrant {
        granted: reader.get_granted(),
        wait: Duration::from_micros(reader.get_wait_micros().into()),
        share_milli: reader.get_share_milli(),
        usage: RateUsage::from_percent(reader.get_usage_percent()),
    })
}
