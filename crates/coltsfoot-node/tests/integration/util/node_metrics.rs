//! Metrics for components under test.

use std::sync::Arc;

use coltsfoot_node::metrics::NodeMetrics;

pub fn node_metrics() -> Arc<NodeMetrics> {
    Arc::new(NodeMetrics::new().expect("definitions"))
}

/// Returns the value of the series `name`, which includes its labels in braces.
pub fn value_of(metrics: &NodeMetrics, name: &str) -> f64 {
    let text = metrics.render().expect("render");
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no series {name}")).parse().expect("number")
}
