//! Identity of one end of an upstream.

value_type! {
    /// One end of an upstream with calls under way, drawn at random by the guard beside it. Shown as 16 hexadecimal
    /// digits.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(try_from = "String", into = "String")]
    pub struct CrashId(pub u64);
}

hex_text!(CrashId(u64));
