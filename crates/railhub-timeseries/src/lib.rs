//! Owns the time series of a recording: events aggregated per second, per host and per class.
//!
//! [`per_second`] aggregates events by second, [`host_load`] by host, [`latency`] operations by class.
//! [`change_points`] segments a series; [`mod@service_changes`] lists the changes of service and the event that precedes
//! each. [`tables`] and [`unacknowledged`] track what proxies have received. Plain functions over events: no I/O, no
//! clock.
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
