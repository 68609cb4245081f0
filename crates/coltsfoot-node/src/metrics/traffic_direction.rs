//! Directions of traffic.

use super::metric_label::metric_label;

metric_label! {
    /// Direction of control traffic, seen from this node.
    TrafficDirection {
        /// Sent.
        Sent => "sent",
        /// Received.
        Received => "received",
    }
}
