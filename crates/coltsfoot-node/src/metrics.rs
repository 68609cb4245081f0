//! The node's metrics in Prometheus' text format, with bounded sets of labels.

mod arrival_kind;
mod control_kind;
mod control_metrics;
mod counter_family;
mod duty_meter;
mod host_usage;
mod latency_histogram;
mod member_state;
mod metric_label;
mod metric_registry;
mod metrics_error;
mod node_duty;
mod node_metrics;
mod process_metrics;
mod request_metrics;
mod retry_metrics;
mod store_metrics;
mod store_result;
mod traffic_direction;

pub use arrival_kind::ArrivalKind;
pub use control_kind::ControlKind;
pub use control_metrics::ControlMetrics;
pub use duty_meter::DutyMeter;
pub use member_state::MemberState;
pub use metrics_error::MetricsError;
pub use node_duty::NodeDuty;
pub use node_metrics::NodeMetrics;
pub use process_metrics::ProcessMetrics;
pub use request_metrics::RequestMetrics;
pub use retry_metrics::RetryMetrics;
pub use store_metrics::StoreMetrics;
pub use store_result::StoreResult;
pub use traffic_direction::TrafficDirection;
