//! Change of the limit that an upstream names.

use super::RequestRate;

value_type! {
    /// Change of the limit that an upstream names.
    pub enum LimitChange {
        /// The upstream has named a limit, or another one than before.
        Named(RequestRate),
        /// The upstream names no limit any more.
        Lifted,
    }
}
