//! State shared by all parts of the dispatch duty, independent of single requests.

mod call_fingerprint;
mod clock_drift;
mod control_traffic;
mod node_context;
mod node_identity;

pub use call_fingerprint::CallContent;
pub use control_traffic::{
    CLAIM_REQUEST_BYTES, CONFIG_REQUEST_BYTES, CREDIT_REQUEST_BYTES, CREDIT_RESPONSE_BYTES,
    TOKEN_REQUEST_BYTES, WORD_BYTES,
};
pub use node_context::NodeContext;
pub use node_identity::NodeIdentity;
