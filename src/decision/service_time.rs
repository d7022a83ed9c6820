//! Service time: seconds for which one operation holds a core of a host, without waiting.
//!
//! Computed as core seconds divided by completed operations, both from load reports and averaged over
//! `SERVICE_TIME_AVERAGING`. The typical service time is included with the weight of a few operations, because a host
//! that lost its slices is no longer reported and would otherwise appear slow forever.
use crate::decaying::DecayingSum;
use crate::interface::{HostLoadReport, Seconds, ZoneId};
use std::collections::BTreeMap;

/// Seconds over which a host's service time is averaged.
pub const SERVICE_TIME_AVERAGING: Seconds = 10.0;
/// Weight of the typical service time in the service time of a host, in operations.
const TYPICAL_SERVICE_TIME_WEIGHT: f64 = 5.0;

/// Operations in flight at a host from one zone, as last reported.
struct InFlight {
    operations: f64,
    reported_at: Seconds,
}

/// The measured service time of a host.
#[derive(Default)]
pub struct ServiceTime {
    /// Used core seconds.
    pub core_time: DecayingSum,
    /// Completed operations.
    pub completed: DecayingSum,
    in_flight: BTreeMap<ZoneId, InFlight>,
}

impl ServiceTime {
    /// Adds the report of a zone. `capacity` is this controller's part of the host's likely capacity, in cores. A
    /// failed attempt counts as in flight for `failed_attempt_time`. Zones report separately, so the busy cores are
    /// divided among the zones in proportion to their operations in flight.
    pub fn add_report(
        &mut self,
        now: Seconds,
        report: &HostLoadReport,
        capacity: f64,
        failed_attempt_time: Seconds,
    ) {
        let succeeded = (report.attempts - report.failed).max(0.0);
        let time_in_flight = succeeded * report.mean_latency + report.failed * failed_attempt_time;
        let operations = time_in_flight / report.span.max(0.01);
        self.in_flight.insert(report.zone, InFlight { operations, reported_at: now });
        let recent = self.in_flight.values().filter(|zone| now - zone.reported_at <= SERVICE_TIME_AVERAGING);
        let in_flight_all_zones = recent.map(|zone| zone.operations).sum::<f64>().max(1e-6);
        let cpu_utilization = report.cpu_utilization.map_or_else(
            || estimated_cpu_utilization(in_flight_all_zones / capacity),
            |reported| reported.clamp(0.01, 1.0),
        );
        let core_time = cpu_utilization * capacity * report.span * operations / in_flight_all_zones;
        self.core_time.add(now, core_time, SERVICE_TIME_AVERAGING);
        self.completed.add(now, succeeded, SERVICE_TIME_AVERAGING);
    }

    /// Seconds for which an operation holds a core. `typical` is the typical service time.
    pub fn read(&self, now: Seconds, typical: Seconds) -> Seconds {
        let core_time =
            self.core_time.read(now, SERVICE_TIME_AVERAGING) + TYPICAL_SERVICE_TIME_WEIGHT * typical;
        core_time / (self.completed.read(now, SERVICE_TIME_AVERAGING) + TYPICAL_SERVICE_TIME_WEIGHT)
    }

    /// Whether enough operations completed lately for the service time to count towards the typical one.
    pub fn is_known(&self, now: Seconds) -> bool {
        self.completed.read(now, SERVICE_TIME_AVERAGING) > TYPICAL_SERVICE_TIME_WEIGHT
    }
}

/// Estimated busy fraction of a machine of a few cores with this many operations in flight per core.
fn estimated_cpu_utilization(in_flight_per_core: f64) -> f64 {
    in_flight_per_core / in_flight_per_core.hypot(1.0)
}
