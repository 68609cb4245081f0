//! Identifier of one crash of an upstream.

value_type! {
    /// Identifier of one crash of an upstream with calls in flight, drawn at random by the guard beside it. Displayed
    /// as 16 hexadecimal digits.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct CrashId(pub u64);
}

hex_text!(CrashId(u64));
