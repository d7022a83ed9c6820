//! Service time: seconds that one operation holds a core of a host, without waiting.
//!
//! Core seconds over completed operations, both from load reports and averaged over `SERVICE_TIME_AVERAGING`. The
//! typical service time counts for a few operations in it: a host that lost its slices is not reported any more, and
//! would otherwise look slow for ever.
use crate::decaying::DecayingSum;
use crate::interface::{HostLoadReport, Seconds, ZoneId};
use std::collections::BTreeMap;

/// Seconds over which a host's service time is averaged.
pub const SERVICE_TIME_AVERAGING: Seconds = 10.0;
/// Operations that the typical service time counts for in a host's own.
const TYPICAL_SERVICE_TIME_WEIGHT: f64 = 5.0;

/// Operations in flight at a host from one zone, as last reported.
struct InFlight {
    operations: f64,
    reported_at: Seconds,
}

/// What is known of a host's service time.
#[derive(Default)]
pub struct ServiceTime {
    /// Core seconds used.
    pub core_time: DecayingSum,
    /// Operations completed.
    pub completed: DecayingSum,
    in_flight: BTreeMap<ZoneId, InFlight>,
}

impl ServiceTime {
    /// Adds a zone's report. `capacity`: the host's cores, as far as they are here and warm. A failed attempt counts
    /// as in flight for `failed_attempt_time`. Zones report apart and share the busy cores by what they have in
    /// flight.
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
        let all_zones = recent.map(|zone| zone.operations).sum::<f64>().max(1e-6);
        let busy = report.cpu_utilization.map_or_else(
            || estimated_cpu_utilization(all_zones / capacity),
            |reported| reported.clamp(0.01, 1.0),
        );
        let core_time = busy * capacity * report.span * operations / all_zones;
        self.core_time.add(now, core_time, SERVICE_TIME_AVERAGING);
        self.completed.add(now, succeeded, SERVICE_TIME_AVERAGING);
    }

    /// Seconds that an operation holds a core.
    pub fn read(&self, now: Seconds, typical: Seconds) -> Seconds {
        let core_time =
            self.core_time.read(now, SERVICE_TIME_AVERAGING) + TYPICAL_SERVICE_TIME_WEIGHT * typical;
        core_time / (self.completed.read(now, SERVICE_TIME_AVERAGING) + TYPICAL_SERVICE_TIME_WEIGHT)
    }

    /// Enough operations completed lately for it to count towards what is typical.
    pub fn is_known(&self, now: Seconds) -> bool {
        self.completed.read(now, SERVICE_TIME_AVERAGING) > TYPICAL_SERVICE_TIME_WEIGHT
    }
}

/// Busy fraction of a machine of a few cores with this many operations in flight for each core.
fn estimated_cpu_utilization(in_flight_per_core: f64) -> f64 {
    in_flight_per_core / in_flight_per_core.hypot(1.0)
}
