//! Tree of YAML values with their locations in the text.

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use std::fmt;

record_type! {
    /// YAML value and its location in the text.
    pub(super) struct SourceNode {
        /// Line, from 1.
        pub line: u64,
        /// Column, from 1.
        pub column: u64,
        /// Value at this location.
        pub value: SourceValue,
    }
}

record_type! {
    /// YAML value. Keys of a map may be duplicated; the reader reports that.
    pub(super) enum SourceValue {
        Null,
        Flag(bool),
        Number(u64),
        Text(String),
        Other(&'static str),
        List(Vec<SourceNode>),
        Map(Vec<(SourceNode, SourceNode)>),
    }
}

impl SourceValue {
    /// Returns the name of the value's type, for messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Flag(_) => "a boolean",
            Self::Number(_) => "a number",
            Self::Text(_) => "text",
            Self::Other(kind) => kind,
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

impl<'de> Deserialize<'de> for SourceNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<SourceValue>::deserialize(deserializer)?;
        let location = spanned.referenced;
        Ok(Self { line: location.line(), column: location.column(), value: spanned.value })
    }
}

impl<'de> Deserialize<'de> for SourceValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(SourceVisitor)
    }
}

struct SourceVisitor;

impl<'de> Visitor<'de> for SourceVisitor {
    type Value = SourceValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<SourceValue, E> {
        Ok(SourceValue::Null)
    }

    fn visit_none<E>(self) -> Result<SourceValue, E> {
        Ok(SourceValue::Null)
    }

    fn visit_bool<E>(self, flag: bool) -> Result<SourceValue, E> {
        Ok(SourceValue::Flag(flag))
    }

    fn visit_u64<E>(self, number: u64) -> Result<SourceValue, E> {
        Ok(SourceValue::Number(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<SourceValue, E> {
        Ok(u64::try_from(number)
            .map_or(SourceValue::Other("a negative number"), SourceValue::Number))
    }

    fn visit_u128<E>(self, _: u128) -> Result<SourceValue, E> {
        Ok(SourceValue::Other("a number beyond 64 bits"))
    }

    fn visit_i128<E>(self, _: i128) -> Result<SourceValue, E> {
        Ok(SourceValue::Other("a number beyond 64 bits"))
    }

    fn visit_f64<E>(self, _: f64) -> Result<SourceValue, E> {
        Ok(SourceValue::Other("a fraction"))
    }

    fn visit_str<E>(self, text: &str) -> Result<SourceValue, E> {
        Ok(SourceValue::Text(text.to_owned()))
    }

    fn visit_bytes<E>(self, _: &[u8]) -> Result<SourceValue, E> {
        Ok(SourceValue::Other("binary data"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<SourceValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(SourceValue::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<SourceValue, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = access.next_entry()? {
            fields.push(field);
        }
        Ok(SourceValue::Map(fields))
    }
}
