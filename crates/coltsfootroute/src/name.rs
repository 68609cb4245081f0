//! Names of the things an operator declares: services, operations, teams, failure domains, regions.

mod domain_name;
mod operation_name;
mod operator_name;
mod region_name;
mod service_name;
mod team_name;

pub use domain_name::DomainName;
pub use operation_name::OperationName;
pub use operator_name::OperatorName;
pub use region_name::RegionName;
pub use service_name::ServiceName;
pub use team_name::TeamName;
