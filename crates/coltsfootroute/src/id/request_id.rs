//! Identity of a client request.

value_type! {
    /// One client request, drawn at random by the node that takes it in; all calls that the request
    /// causes along the chain carry it. Shown as 32 hexadecimal digits.
    pub struct RequestId(pub u128);
}

hex_text!(RequestId(u128));
