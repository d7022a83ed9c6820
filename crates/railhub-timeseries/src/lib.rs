//! Time series and statistics of a recording: events aggregated per second, per host and per class.
//!
//! [`per_second`] aggregates events by second, [`host_load`] by host, and [`latency`] operations by class.
//! [`change_points`] divides a series into segments of constant mean; [`mod@service_changes`] lists the changes of the
//! service level with the event that precedes each. [`tables`] and [`unacknowledged`] track the routing table and the
//! deltas that proxies have received. All functions work on events in memory, without I/O and without a clock.
#![warn(missing_docs)]
pub mod change_points;
pub mod host_load;
pub mod latency;
pub mod per_second;
pub mod service_changes;
pub mod tables;
pub mod unacknowledged;

pub use per_second::{time_series, TimeSeries};
pub use service_changes::{service_changes, ServiceChange};
