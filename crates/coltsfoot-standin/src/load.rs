//! Open-loop load: requests start when they are due, whatever became of those before them, and
//! latency counts from the time they were due.

mod arrival_kind;
mod arrival_process;
mod arrival_schedule;
mod arrival_window;
mod attempt_result;
mod importance_tally;
mod interval_record;
mod load_client;
mod load_report;
mod load_runner;
mod load_settings;
mod offered_operation;
mod path_probe;
mod probe_report;
mod probe_settings;
mod request_outcome;
mod request_sender;
mod retry_policy;
mod surge_window;
mod target_list;

pub use arrival_kind::ArrivalKind;
pub use arrival_process::ArrivalProcess;
pub use arrival_schedule::{ArrivalSchedule, DueRequest};
pub use arrival_window::ArrivalWindow;
pub use importance_tally::ImportanceTally;
pub use interval_record::IntervalRecord;
pub use load_report::LoadReport;
pub use load_runner::LoadRunner;
pub use load_settings::LoadSettings;
pub use offered_operation::OfferedOperation;
pub use probe_report::ProbeReport;
pub use probe_settings::ProbeSettings;
pub use retry_policy::RetryPolicy;
pub use surge_window::SurgeWindow;
