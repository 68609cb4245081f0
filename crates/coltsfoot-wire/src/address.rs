//! Addresses on the wire.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use crate::{peer_capnp::address, wire_error::WireError};

/// Writes `addr` into `builder`.
pub fn write_address(addr: SocketAddr, mut builder: address::Builder<'_>) {
    match addr.ip() {
        IpAddr::V4(ip) => builder.set_octets(&ip.octets()),
        IpAddr::V6(ip) => builder.set_octets(&ip.octets()),
    }
    builder.set_port(addr.port());
}

/// Reads an address.
///
/// # Errors
///
/// [`WireError::OutOfRange`] unless there are 4 or 16 octets.
pub fn read_address(reader: address::Reader<'_>) -> Result<SocketAddr, WireError> {
    let octets = reader.get_octets()?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(octets) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else if let Ok(octets) = <[u8; 16]>::try_from(octets) {
        IpAddr::V6(Ipv6Addr::from(octets))
    } else {
        return Err(WireError::OutOfRange { field: "octets" });
    };
    Ok(SocketAddr::new(ip, reader.get_port()))
}
