//! All settings of a node.

use std::net::SocketAddr;

use coltsfootroute::name::{DomainName, RegionName};
use serde_json::Value;
use serde_saphyr::DuplicateKeyPolicy;

use super::{
    ControlMode, LimitSettings, ListenSettings, LogSettings, RetrySettings, SchedulingSettings,
    SettingsErrors, StoreSettings, field_reader::FieldReader,
};

/// All settings of a node. Immutable once read; a change takes a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Addresses listened on.
    pub listen: ListenSettings,
    /// Region of the host.
    pub region: RegionName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Peer addresses through which the node joins, also while the store is down.
    pub peers: Vec<SocketAddr>,
    /// Whether the whole deployment starts with this node, so that nobody has been there before.
    pub first_start: bool,
    /// The platform's store.
    pub store: StoreSettings,
    /// Logging.
    pub log: LogSettings,
    /// Whether load is controlled.
    pub control: ControlMode,
    /// Bound on the retries into one service.
    pub retries: RetrySettings,
    /// Optional parts of load control.
    pub scheduling: SchedulingSettings,
    /// Bounds.
    pub limits: LimitSettings,
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// All faults of the file at once: malformed YAML, duplicate and unknown fields, absent fields and
    /// values that a field does not take.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsErrors> {
        let mut errors = SettingsErrors::default();
        let document = parse(text, &mut errors);
        let settings = document.and_then(|document| Self::read(document, &mut errors));
        match settings {
            Some(settings) if errors.errors.is_empty() => Ok(settings),
            _ => Err(errors),
        }
    }

    /// Reads and checks settings that are a part of another file.
    ///
    /// # Errors
    ///
    /// As [`NodeSettings::from_yaml`], but for the form of the file.
    pub fn from_value(document: Value) -> Result<Self, SettingsErrors> {
        let mut errors = SettingsErrors::default();
        match Self::read(document, &mut errors) {
            Some(settings) if errors.errors.is_empty() => Ok(settings),
            _ => Err(errors),
        }
    }

    fn read(document: Value, errors: &mut SettingsErrors) -> Option<Self> {
        let mut reader = FieldReader::new(document, errors);
        let listen = reader.section("listen", ListenSettings::read);
        let region = reader.required("region");
        let domain = reader.required("domain");
        let peers = reader.list("peers");
        let first_start = reader.optional("first_start").unwrap_or_default();
        let store = reader.section("store", StoreSettings::read);
        let log = reader.section("log", LogSettings::read);
        let control = reader.optional("control").unwrap_or_default();
        let retries = reader.section("retries", RetrySettings::read);
        let scheduling = reader.section("scheduling", SchedulingSettings::read);
        let limits = reader.section("limits", LimitSettings::read);
        reader.finish();
        Some(Self {
            listen: listen?,
            region: region?,
            domain: domain?,
            peers,
            first_start,
            store: store?,
            log,
            control,
            retries,
            scheduling,
            limits,
        })
    }
}

/// Parses `text`. A duplicate key is reported and then passed over, so that the other faults of the
/// file are found in the same answer.
fn parse(text: &str, errors: &mut SettingsErrors) -> Option<Value> {
    let error = match serde_saphyr::from_str(text) {
        Ok(document) => return Some(document),
        Err(error) => error,
    };
    let message = error.without_snippet().to_string();
    errors.push("the document", &message, "YAML without duplicate keys");
    let options = serde_saphyr::options! { duplicate_keys: DuplicateKeyPolicy::LastWins };
    serde_saphyr::from_str_with_options(text, options).ok()
}
