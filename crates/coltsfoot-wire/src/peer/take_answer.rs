//! Answer to a retry's request for a token.

use crate::{peer_capnp, wire_error::WireError};

/// Answer to a retry's request for a token of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeAnswer {
    /// One token is taken; the retry may go.
    Granted,
    /// The budget is used up.
    Denied,
    /// The node keeps no such account: the request has ended, or the node was restarted.
    NoAccount,
    /// The request's deadline has passed.
    Late,
}

/// The answer's enumerant.
pub fn write_take_answer(answer: TakeAnswer) -> peer_capnp::TakeAnswer {
    match answer {
        TakeAnswer::Granted => peer_capnp::TakeAnswer::Granted,
        TakeAnswer::Denied => peer_capnp::TakeAnswer::Denied,
        TakeAnswer::NoAccount => peer_capnp::TakeAnswer::NoAccount,
        TakeAnswer::Late => peer_capnp::TakeAnswer::Late,
    }
}

/// Reads the answer's enumerant.
///
/// # Errors
///
/// [`WireError::NotInSchema`] for an enumerant of a later version.
pub fn read_take_answer(
    answer: Result<peer_capnp::TakeAnswer, capnp::NotInSchema>,
) -> Result<TakeAnswer, WireError> {
    Ok(match answer? {
        peer_capnp::TakeAnswer::Granted => TakeAnswer::Granted,
        peer_capnp::TakeAnswer::Denied => TakeAnswer::Denied,
        peer_capnp::TakeAnswer::NoAccount => TakeAnswer::NoAccount,
        peer_capnp::TakeAnswer::Late => TakeAnswer::Late,
    })
}
