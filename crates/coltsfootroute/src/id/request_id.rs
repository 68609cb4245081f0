//! Identifier of a client request.

value_type! {
    /// Identifier of one client request, chosen at random by the node that receives the request. All calls that the
    /// request causes along the chain carry it. Shown as 32 hexadecimal digits.
    pub struct RequestId(pub u128);
}

hex_text!(RequestId(u128));
