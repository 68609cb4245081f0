//! Values a setting can take.

use std::{net::SocketAddr, str::FromStr};

use coltsfootroute::name::{DomainName, RegionName};
use log::LevelFilter;
use serde_json::Value;

use super::ControlMode;

/// Longest name of a region or failure domain, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// A type that a field of the file can hold.
pub(super) trait SettingValue: Sized {
    /// What the field takes, for the error message.
    const EXPECTED: &'static str;

    /// The value, if `value` holds one.
    fn from_value(value: &Value) -> Option<Self>;
}

/// An address to listen on; port 0 takes any free port.
pub(super) struct ListenAddress(pub(super) SocketAddr);

impl SettingValue for ListenAddress {
    const EXPECTED: &'static str = "an IP address and port, such as 127.0.0.1:0";

    fn from_value(value: &Value) -> Option<Self> {
        SocketAddr::from_str(value.as_str()?).ok().map(Self)
    }
}

impl SettingValue for SocketAddr {
    const EXPECTED: &'static str = "an IP address and port above 0, such as 127.0.0.1:4700";

    fn from_value(value: &Value) -> Option<Self> {
        let address = Self::from_str(value.as_str()?).ok()?;
        (address.port() != 0).then_some(address)
    }
}

impl SettingValue for RegionName {
    const EXPECTED: &'static str = "a name of 1 to 63 characters from a-z, 0-9 and `-`";

    fn from_value(value: &Value) -> Option<Self> {
        name_text(value).map(Self::new)
    }
}

impl SettingValue for DomainName {
    const EXPECTED: &'static str = RegionName::EXPECTED;

    fn from_value(value: &Value) -> Option<Self> {
        name_text(value).map(Self::new)
    }
}

impl SettingValue for LevelFilter {
    const EXPECTED: &'static str = "off, error, warn, info, debug or trace";

    fn from_value(value: &Value) -> Option<Self> {
        match value {
            // YAML reads a bare `off` as false.
            Value::Bool(false) => Some(Self::Off),
            Value::String(text) => Self::from_str(text).ok(),
            _ => None,
        }
    }
}

impl SettingValue for ControlMode {
    const EXPECTED: &'static str = "on or off";

    fn from_value(value: &Value) -> Option<Self> {
        match value {
            Value::Bool(true) => Some(Self::On),
            Value::Bool(false) => Some(Self::Off),
            Value::String(text) if text == "on" => Some(Self::On),
            Value::String(text) if text == "off" => Some(Self::Off),
            _ => None,
        }
    }
}

impl SettingValue for u64 {
    const EXPECTED: &'static str = "a whole number from 0 to 18446744073709551615";

    fn from_value(value: &Value) -> Option<Self> {
        value.as_u64()
    }
}

impl SettingValue for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_value(value: &Value) -> Option<Self> {
        value.as_bool()
    }
}

fn name_text(value: &Value) -> Option<&str> {
    let text = value.as_str()?;
    let is_sized = (1..=MAX_NAME_BYTES).contains(&text.len());
    let is_plain = text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    (is_sized && is_plain).then_some(text)
}
