//! The output of a controller: its commands, and the decisions that it reports for the log.
use super::ids::{BarrierId, ClassId, HostId, ProxyId, SliceId, TimerId};
use super::time::Seconds;
use std::fmt;

/// After which failures a proxy retries an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// After no failure.
    Never,
    /// Only if the attempt was certainly not executed: it was refused, or no host was reached.
    IfNotExecuted,
    /// After any failure, even if the attempt may have been executed.
    AfterFailure,
}

/// Receives the commands of a controller, in the order in which they are issued.
pub trait CommandSink {
    /// Sets a host's weight in a slice's table; 0 removes the host.
    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64);
    /// Assigns a table to a proxy. Used only if the key space is not sliced.
    fn assign_table(&mut self, table: SliceId, proxy: ProxyId);
    /// Sets the fraction (0 to 1) of a class's operations that every proxy admits, and after which failures it retries
    /// them.
    fn set_admission_rate(&mut self, class: ClassId, rate: f64, retry_policy: RetryPolicy);
    /// Stops all proxies from sending to a host, even if their tables name it.
    fn exclude_host(&mut self, host: HostId);
    /// Lets proxies send to an excluded host again.
    fn readmit_host(&mut self, host: HostId);
    /// Adds a barrier to this update. Every connected proxy acknowledges it, even if the update contains nothing else
    /// for that proxy.
    fn set_barrier(&mut self, barrier: BarrierId);
    /// Starts a health check of a host.
    fn check_health(&mut self, host: HostId);
    /// Sets a timer that expires after this many seconds.
    fn set_timer(&mut self, after: Seconds, timer: TimerId);
    /// Reports a decision, for the log.
    fn report(&mut self, event: DecisionEvent);
}

/// A decision that an operator may want to find in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionEvent {
    /// A host that was down or not yet trusted passed a health check and is in service.
    HealthCheckPassed(HostId),
    /// A host is down: its health checks fail.
    HealthChecksFailed(HostId),
    /// A host is ejected as the outlier.
    OutlierEjected(HostId),
    /// A host's ejection has ended.
    EjectionEnded(HostId),
    /// This many slices moved off hosts that must be left.
    SlicesFailedOver(usize),
    /// Proxies are told to send nothing to a host that they could send to before.
    HostExcluded(HostId),
    /// Proxies are told that they may send to an excluded host again.
    HostReadmitted(HostId),
    /// The exclusions and readmissions of this many hosts are published again: proxies may have missed them.
    ExclusionsRepeated(usize),
}

impl fmt::Display for DecisionEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DecisionEvent::HealthCheckPassed(host) => {
                write!(formatter, "host passed health check host={host}")
            }
            DecisionEvent::HealthChecksFailed(host) => {
                write!(formatter, "host is down: health checks failed host={host}")
            }
            DecisionEvent::OutlierEjected(host) => write!(formatter, "outlier ejected host={host}"),
            DecisionEvent::EjectionEnded(host) => write!(formatter, "outlier ejection ended host={host}"),
            DecisionEvent::SlicesFailedOver(count) => write!(formatter, "slices failed over count={count}"),
            DecisionEvent::HostExcluded(host) => write!(formatter, "host excluded host={host}"),
            DecisionEvent::HostReadmitted(host) => write!(formatter, "host readmitted host={host}"),
            DecisionEvent::ExclusionsRepeated(count) => {
                write!(formatter, "exclusions repeated count={count}")
            }
        }
    }
}
