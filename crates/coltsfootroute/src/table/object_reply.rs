//! Replies of the object store.

record_type! {
    /// Reply to a request to the object store.
    pub enum ObjectReply {
        /// The object was stored completely.
        Stored,
        /// Content of the object that was read.
        Found(Vec<u8>),
        /// The object does not exist.
        Missing,
        /// The service certainly did not execute the request.
        Unavailable,
        /// No reply was received, so a write may or may not have taken effect.
        Uncertain,
    }
}
