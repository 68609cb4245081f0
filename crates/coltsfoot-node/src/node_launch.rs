//! What a binary makes a node of.

use crate::{
    process::{DrainSwitch, NodeError, NodeProcess},
    settings::{NodeSettings, SettingsErrors},
};

/// What a binary makes a node of: its settings file and its surroundings.
pub trait NodeLaunch: 'static {
    /// The settings of the binary.
    type Settings;

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// All faults of the file.
    fn read(text: &str) -> Result<Self::Settings, SettingsErrors>;

    /// The settings of the node among them.
    fn node(settings: &Self::Settings) -> &NodeSettings;

    /// Starts the node.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if an address cannot be listened on or a thread cannot start.
    fn start(settings: Self::Settings, drain: DrainSwitch) -> Result<NodeProcess, NodeError>;
}

/// The node with the product's own interface on every side.
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
