//! Path of a call.

use coltsfootroute::{
    constants::CALL_PATH_PREFIX,
    name::{OperationName, ServiceName},
};

/// Service and operation of `/call/{service}/{operation}`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPath {
    /// Service called.
    pub service: ServiceName,
    /// Operation called.
    pub operation: OperationName,
}

impl CallPath {
    /// Parses `path`; `None` if it is not the path of a call.
    pub fn parse(path: &str) -> Option<Self> {
        let rest = path.strip_prefix(CALL_PATH_PREFIX)?;
        let (service, operation) = rest.split_once('/')?;
        if service.is_empty() || operation.is_empty() || operation.contains('/') {
            return None;
        }
        Some(Self { service: ServiceName::new(service), operation: OperationName::new(operation) })
    }
}
