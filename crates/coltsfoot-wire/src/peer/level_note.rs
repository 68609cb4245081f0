//! Admission level of one guard, as it travels back up the chain.

use coltsfootroute::{id::NodeId, importance::Importance, name::ServiceName};

use super::read_importance;
use crate::{
    address::{read_address, write_address},
    peer_capnp::level_note,
    wire_error::WireError,
};

/// Admission level of one guard, as it travels back up the chain.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelNote {
    /// Service that the guard stands in front of.
    pub service: ServiceName,
    /// The guard.
    pub guard: NodeId,
    /// Least importance that is still admitted.
    pub border: Importance,
    /// Share of the border level that is admitted, 0 to 1.
    pub fraction: f32,
}

impl LevelNote {
    /// Writes the note into `builder`.
    pub fn write(&self, mut builder: level_note::Builder<'_>) {
        builder.set_service(self.service.as_str());
        write_address(self.guard.0, builder.reborrow().init_guard());
        builder.set_border(self.border.index() as u8);
        builder.set_fraction(self.fraction);
    }

    /// Reads a note.
    ///
    /// # Errors
    ///
    /// [`WireError`] if a field is malformed or out of range.
    pub fn read(reader: level_note::Reader<'_>) -> Result<Self, WireError> {
        let fraction = reader.get_fraction();
        if !(0.0..=1.0).contains(&fraction) {
            return Err(WireError::OutOfRange { field: "fraction" });
        }
        Ok(Self {
            service: ServiceName::new(reader.get_service()?.to_str()?),
            guard: NodeId(read_address(reader.get_guard()?)?),
            border: read_importance(reader.get_border())?,
            fraction,
        })
    }
}
