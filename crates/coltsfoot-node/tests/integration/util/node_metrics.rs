//! Metrics for parts that report to them.

use std::sync::Arc;

use coltsfoot_node::metrics::NodeMetrics;

pub fn node_metrics() -> Arc<NodeMetrics> {
    Arc::new(NodeMetrics::new().expect("definitions"))
}

/// Value of the series `name`, labels in braces included.
pub fn value_of(metrics: &NodeMetrics, name: &str) -> f64 {
    let text = metrics.render().expect("render");
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no series {name}")).parse().expect("number")
}
