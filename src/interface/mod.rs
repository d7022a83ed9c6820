//! What passes between a controller and the program around it: its configuration, the events that come in, the
//! commands that go out. Times are seconds with fractions, on one clock that the program chooses.
mod commands;
mod config;
mod events;
mod ids;
mod time;

pub use commands::{CommandSink, DecisionEvent, RetryPolicy};
pub use config::{ClassConfig, ControllerConfig, Idempotency};
pub use events::{
    BarrierAck, EndpointEntry, EndpointList, EventBatch, HealthCheckOutcome, HealthCheckResult,
    HostLoadReport, Phase, ProxyStreamEvent, SliceAssignment, SliceHandoff, SliceLoadReport,
};
pub use ids::{BarrierId, ClassId, HostId, HostKindId, ProxyId, SliceId, TimerId, WeightedHost, ZoneId};
pub use time::Seconds;
