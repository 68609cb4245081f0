//! Admission level of one guard, as it travels back up the chain.

use coltsfootroute::{admission::ShedLevel, id::NodeId, name::ServiceName};

use crate::{
    address::{read_address, write_address},
    peer_capnp::level_note,
    wire_error::WireError,
};

/// Admission level of one guard, as it travels back up the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LevelNote {
    /// Service that the guard stands in front of.
    pub service: ServiceName,
    /// The guard.
    pub guard: NodeId,
    /// What the guard sheds.
    pub level: ShedLevel,
    /// What the guard sheds for the rate that its upstream names.
    pub rate_level: ShedLevel,
}

impl LevelNote {
    /// Writes the note into `builder`.
    pub fn write(&self, mut builder: level_note::Builder<'_>) {
        builder.set_service(self.service.as_str());
        write_address(self.guard.0, builder.reborrow().init_guard());
        builder.set_severity(self.level.severity());
        builder.set_rate_severity(self.rate_level.severity());
    }

    /// Reads a note.
    ///
    /// # Errors
    ///
    /// [`WireError`] if a field is malformed.
    pub fn read(reader: level_note::Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            service: ServiceName::new(reader.get_service()?.to_str()?),
            guard: NodeId(read_address(reader.get_guard()?)?),
            level: ShedLevel::from_severity(reader.get_severity()),
            rate_level: ShedLevel::from_severity(reader.get_rate_severity()),
        })
    }
}
