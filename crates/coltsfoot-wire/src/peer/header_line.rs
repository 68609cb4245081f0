//! Header lines of a request or an answer that nodes pass on.

use capnp::struct_list;

use crate::{peer_capnp::header_line, wire_error::WireError};

/// One header line, passed on as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderLine {
    /// Name in lower case.
    pub name: String,
    /// Value, any bytes that HTTP allows.
    pub value: Vec<u8>,
}

impl HeaderLine {
    /// A header line.
    pub fn new(name: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self { name: name.into(), value: value.into() }
    }

    /// The value of the first line called `name`.
    pub fn find<'a>(lines: &'a [Self], name: &str) -> Option<&'a [u8]> {
        lines.iter().find(|line| line.name == name).map(|line| line.value.as_slice())
    }
}

pub(super) fn write_lines(
    lines: &[HeaderLine],
    mut list: struct_list::Builder<'_, header_line::Owned>,
) {
    for (index, line) in (0..).zip(lines) {
        let mut builder = list.reborrow().get(index);
        builder.set_name(line.name.as_str());
        builder.set_value(&line.value);
    }
}

pub(super) fn read_lines(
    list: struct_list::Reader<'_, header_line::Owned>,
) -> Result<Vec<HeaderLine>, WireError> {
    let lines = list.iter().map(|line| {
        let name = line.get_name()?.to_str()?.to_owned();
        Ok(HeaderLine { name, value: line.get_value()?.to_vec() })
    });
    lines.collect()
}
