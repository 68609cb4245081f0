//! One order over the events of all nodes.

mod event_filter;
mod event_gap;
mod follow_buffer;
mod gap_detector;
mod merged_timeline;
mod timeline_entry;

pub use event_filter::EventFilter;
pub use event_gap::EventGap;
pub use follow_buffer::FollowBuffer;
pub use gap_detector::GapDetector;
pub use merged_timeline::MergedTimeline;
pub use timeline_entry::TimelineEntry;
