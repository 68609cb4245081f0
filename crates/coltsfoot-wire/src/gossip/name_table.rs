//! Names of one datagram, each written once.

use indexmap::IndexSet;

use super::{GossipError, MAX_NAME_BYTES, MAX_NAMES};

/// Number that stands for no name.
const NO_NAME: u16 = 0;

/// Numbers the names of a datagram from 1.
#[derive(Debug, Default)]
pub(super) struct NameTable<'a> {
    names: IndexSet<&'a str>,
}

impl<'a> NameTable<'a> {
    /// An empty table.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// The number of `name`, which is added if need be.
    pub(super) fn add(&mut self, name: &'a str) -> Result<u16, GossipError> {
        if name.len() > MAX_NAME_BYTES {
            return Err(GossipError::BadName);
        }
        let (place, _) = self.names.insert_full(name);
        if place >= MAX_NAMES {
            return Err(GossipError::TooMany("names"));
        }
        Ok(place as u16 + 1)
    }

    /// The number of `name`, or that for none.
    pub(super) fn add_optional(&mut self, name: Option<&'a str>) -> Result<u16, GossipError> {
        name.map_or(Ok(NO_NAME), |name| self.add(name))
    }

    /// The name of a number.
    pub(super) fn get(&self, number: u16) -> Result<&'a str, GossipError> {
        self.get_optional(number)?.ok_or(GossipError::MissingName)
    }

    /// The name of a number, none for the number that says so.
    pub(super) fn get_optional(&self, number: u16) -> Result<Option<&'a str>, GossipError> {
        let Some(place) = number.checked_sub(1) else { return Ok(None) };
        let name = self.names.get_index(usize::from(place));
        name.copied().map(Some).ok_or(GossipError::MissingName)
    }

    /// The names in the order of their numbers.
    pub(super) fn names(&self) -> impl ExactSizeIterator<Item = &'a str> {
        self.names.iter().copied()
    }

    /// Reads a table. Equal names would shift the numbers, so they are refused.
    pub(super) fn read(list: capnp::text_list::Reader<'a>) -> Result<Self, GossipError> {
        if list.len() as usize > MAX_NAMES {
            return Err(GossipError::TooMany("names"));
        }
        let mut table = Self::new();
        for name in list.iter() {
            let name = name?.to_str().map_err(|_| GossipError::BadName)?;
            let known = table.names.len();
            table.add(name)?;
            if table.names.len() == known {
                return Err(GossipError::BadName);
            }
        }
        Ok(table)
    }
}
