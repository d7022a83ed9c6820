//! Encodes the commands of a controller as lines of the wire protocol.
use railhub::{
    BarrierId, ClassId, CommandSink, DecisionEvent, HostId, ProxyId, RetryPolicy, Seconds, SliceId, TimerId,
};
use std::fmt::Write;

/// The table number that means all tables.
const ALL_TABLES: u16 = u16::MAX;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Shortest time after which a timer expires, in microseconds.
const MIN_TIMER_MICROS: f64 = 1.0;

/// Encodes commands in the order in which they are issued.
#[derive(Default)]
pub struct CommandWriter {
    /// The lines written so far.
    pub lines: String,
}

impl CommandSink for CommandWriter {
    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        let _ = writeln!(self.lines, "SET_LINE sheet={} host={host} w={weight}", slice.0);
    }
    fn assign_table(&mut self, table: SliceId, proxy: ProxyId) {
        let _ = writeln!(self.lines, "HAND_TABLE sheet={} only=0 edge={}", table.0, proxy.0);
    }
    fn set_admission_rate(&mut self, class: ClassId, rate: f64, retry_policy: RetryPolicy) {
        let retry = match retry_policy {
            RetryPolicy::Never => 0,
            RetryPolicy::IfNotExecuted => 1,
            RetryPolicy::AfterFailure => 2,
        };
        let only = 1u64 << class.0;
        let _ =
            writeln!(self.lines, "THROTTLE sheet={ALL_TABLES} only={only} amount={rate} second_try={retry}");
    }
    fn exclude_host(&mut self, host: HostId) {
        let _ = writeln!(self.lines, "BENCH host={host} on=1");
    }
    fn readmit_host(&mut self, host: HostId) {
        let _ = writeln!(self.lines, "BENCH host={host} on=0");
    }
    fn set_barrier(&mut self, barrier: BarrierId) {
        let _ = writeln!(self.lines, "BARRIER rev={} on=1", barrier.0);
    }
    fn check_health(&mut self, host: HostId) {
        let _ = writeln!(self.lines, "INSPECT host={host}");
    }
    fn set_timer(&mut self, after: Seconds, timer: TimerId) {
        let micros = (after * MICROS_PER_SECOND).round().max(MIN_TIMER_MICROS) as u64;
        let _ = writeln!(self.lines, "AFTER in_us={micros} ref={}", timer.0);
    }
    fn report(&mut self, event: DecisionEvent) {
        let _ = writeln!(self.lines, "TRACE words={}", trace_text(event));
    }
}

/// The text of a decision in this wire protocol.
fn trace_text(event: DecisionEvent) -> String {
    match event {
        DecisionEvent::HealthCheckPassed(host) => format!("host {host} answers"),
        DecisionEvent::HealthChecksFailed(host) => format!("host {host} is down: probes fail"),
        DecisionEvent::OutlierEjected(host) => format!("host {host} is the outlier: withdrawn"),
        DecisionEvent::EjectionEnded(host) => format!("withdrawal of {host} ends"),
        DecisionEvent::SlicesFailedOver(count) => format!("{count} slices handed over"),
        DecisionEvent::HostExcluded(host) => format!("host {host} excluded"),
        DecisionEvent::HostReadmitted(host) => format!("host {host} readmitted"),
        DecisionEvent::ExclusionsRepeated(count) => format!("exclusions of {count} hosts repeated"),
    }
}

#[cfg(test)]
mod tests;
