//! What the holder of a claim says of it.

use crate::{peer_capnp, wire_error::WireError};

/// What the holder of a claim says of it when another guard asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// This life of the node has made no such claim.
    NotMine,
    /// The claim was given up before its request was dispatched, and never will be.
    NeverDispatched,
    /// The request runs.
    Running,
    /// The request has ended.
    Finished,
}

/// The state's enumerant.
pub fn write_claim_state(state: ClaimState) -> peer_capnp::ClaimState {
    match state {
        ClaimState::NotMine => peer_capnp::ClaimState::NotMine,
        ClaimState::NeverDispatched => peer_capnp::ClaimState::NeverDispatched,
        ClaimState::Running => peer_capnp::ClaimState::Running,
        ClaimState::Finished => peer_capnp::ClaimState::Finished,
    }
}

/// Reads the state's enumerant.
///
/// # Errors
///
/// [`WireError::NotInSchema`] for an enumerant of a later version.
pub fn read_claim_state(
    state: Result<peer_capnp::ClaimState, capnp::NotInSchema>,
) -> Result<ClaimState, WireError> {
    Ok(match state? {
        peer_capnp::ClaimState::NotMine => ClaimState::NotMine,
        peer_capnp::ClaimState::NeverDispatched => ClaimState::NeverDispatched,
        peer_capnp::ClaimState::Running => ClaimState::Running,
        peer_capnp::ClaimState::Finished => ClaimState::Finished,
    })
}
