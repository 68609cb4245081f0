//! Settings of a node: one YAML file, checked whole before anything starts.

mod control_mode;
mod field_reader;
mod limit_settings;
mod listen_settings;
mod log_settings;
mod node_settings;
mod retry_settings;
mod scheduling_settings;
mod setting_error;
mod setting_value;
mod settings_errors;
mod store_settings;

pub use control_mode::ControlMode;
pub use limit_settings::LimitSettings;
pub use listen_settings::ListenSettings;
pub use log_settings::LogSettings;
pub use node_settings::NodeSettings;
pub use retry_settings::RetrySettings;
pub use scheduling_settings::SchedulingSettings;
pub use setting_error::SettingError;
pub use settings_errors::SettingsErrors;
pub use store_settings::StoreSettings;
