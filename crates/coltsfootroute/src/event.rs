//! Typed events and the logical clock that orders them across all processes.
//!
//! Every process has a [`HybridClock`] and stamps its events with it. If messages between processes carry the sender's
//! latest stamp, an effect always has a higher stamp than its cause, even if wall clocks disagree. [`HybridClock`]
//! explains why this kind of clock is used.

#[macro_use]
mod event_macro;

mod claim_outcome;
mod clock_drift;
mod denial_reason;
mod event_kind;
mod event_level;
mod event_record;
mod event_ring;
mod event_subject;
mod event_text;
mod hybrid_clock;
mod hybrid_stamp;
mod incarnation_form;
mod key_values;
mod request_text;

pub use claim_outcome::ClaimOutcome;
pub use clock_drift::ClockDrift;
pub use denial_reason::DenialReason;
pub use event_kind::EventKind;
pub use event_level::EventLevel;
pub use event_record::{EventLineError, EventRecord};
pub use event_ring::EventRing;
pub use hybrid_clock::HybridClock;
pub use hybrid_stamp::HybridStamp;
