//! All faults of a settings file.

use std::fmt;

use super::SettingError;

/// All faults of a settings file, in the order of the format. Never empty where returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsErrors {
    /// The faults.
    pub errors: Vec<SettingError>,
}

impl SettingsErrors {
    /// Adds one fault.
    pub(super) fn push(&mut self, field: &str, found: &str, expected: &str) {
        let error = SettingError {
            field: field.to_owned(),
            found: found.to_owned(),
            expected: expected.to_owned(),
        };
        self.errors.push(error);
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(SettingError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingsErrors {}
