//! Interface through which a binary starts a node.

use crate::{
    process::{DrainSwitch, NodeError, NodeProcess},
    settings::{NodeSettings, SettingsErrors},
};

/// Start of a node by a binary: how the settings are read, and with which platform interface the node starts.
pub trait NodeLaunch: 'static {
    /// Settings of the binary.
    type Settings;

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsErrors`] with all faults of the file.
    fn read(text: &str) -> Result<Self::Settings, SettingsErrors>;

    /// Returns the node's part of the settings.
    fn node(settings: &Self::Settings) -> &NodeSettings;

    /// Starts the node.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the node cannot listen on an address or a thread cannot start.
    fn start(settings: Self::Settings, drain: DrainSwitch) -> Result<NodeProcess, NodeError>;
}

/// Starts a node with the built-in interfaces to clients, upstream and platform.
pub struct DefaultLaunch;

impl NodeLaunch for DefaultLaunch {
    type Settings = NodeSettings;

    fn read(text: &str) -> Result<NodeSettings, SettingsErrors> {
        NodeSettings::from_yaml(text)
    }

    fn node(settings: &NodeSettings) -> &NodeSettings {
        settings
    }

    fn start(settings: NodeSettings, drain: DrainSwitch) -> Result<NodeProcess, NodeError> {
        NodeProcess::start(settings, drain)
    }
}
