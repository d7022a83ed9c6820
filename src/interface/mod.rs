//! The interface between a controller and the program that runs it: the configuration, the events that the controller
//! receives, and the commands that it issues. All times are seconds on one clock, which the program chooses.
mod commands;
mod config;
mod events;
mod ids;
mod time;

pub use commands::{CommandSink, DecisionEvent, RetryPolicy};
pub use config::{ClassConfig, ControllerConfig, Idempotency};
pub use events::{
    BarrierAck, EndpointEntry, EndpointList, EventBatch, HealthCheckOutcome, HealthCheckResult,
    HostLoadReport, Observation, Phase, ProxyStreamEvent, SliceAssignment, SliceHandoff, SliceLoadReport,
    UndeliveredExclusion,
};
pub use ids::{BarrierId, ClassId, HostId, HostKindId, ProxyId, SliceId, TimerId, WeightedHost, ZoneId};
pub use time::Seconds;
