//! Replies of the object store.

record_type! {
    /// What came back for a request to the object store.
    pub enum ObjectReply {
        /// The object was stored whole.
        Stored,
        /// The object read.
        Found(Vec<u8>),
        /// There is no such object.
        Missing,
        /// The service provably did not carry out the request.
        Unavailable,
        /// No answer came: a write may or may not have taken effect.
        Uncertain,
    }
}
