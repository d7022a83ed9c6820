//! Load estimates: the demand on each host, its utilization, and its expected latency.
//!
//! Reports are seconds old, and the reported latency is not the latency that a host would have with one slice more. So
//! placement compares expected latencies: the demand (operations per second, by slice) and the service time (seconds
//! for which an operation holds a core) give the utilization of the host's capacity (cores), and the utilization gives
//! the latency. The estimate reflects a move of a slice at once.
//!
//! If several controllers share the slices, each one knows only the load of its own slices. It counts a part of each
//! host's capacity, in proportion to its part of the slices, so that the controllers need not communicate.
use super::host::Host;
use super::slice::Slices;
use super::slow_start::{
    least_capacity_fraction, likely_capacity_fraction, utilization_limits, UtilizationLimits,
};
use crate::decaying::quantile;
use crate::interface::{ControllerConfig, HostId, HostKindId, Seconds};
use std::collections::BTreeMap;

/// Service time, in seconds, that is assumed before any operation is reported.
const DEFAULT_SERVICE_TIME: Seconds = 0.01;
/// Multiple of the current demand for which latency is estimated: demand fluctuates, and a nearly saturated host is
/// easily overloaded.
const DEMAND_SWING_MULTIPLE: f64 = 1.3;
/// Utilization above which the latency curve continues as a straight line, so that it stays finite.
const LINEAR_LATENCY_UTILIZATION: f64 = 0.95;
/// Slope of that line, relative to the latency at its start.
const LINEAR_LATENCY_SLOPE: f64 = 10.0;

/// The loads of all usable hosts.
pub type HostLoads = BTreeMap<HostId, HostLoad>;

/// The estimated load of a usable host in one evaluation.
#[derive(Clone, Copy)]
pub struct HostLoad {
    /// Operations per second.
    pub demand: f64,
    /// Seconds for which an operation holds a core.
    pub service_time: Seconds,
    /// This controller's part of the host's likely capacity, in cores.
    pub capacity: f64,
    pub limits: UtilizationLimits,
    /// The host is warming up.
    pub is_cold: bool,
}

impl HostLoad {
    /// Used fraction of the capacity if the demand were higher by `more_demand`.
    pub fn utilization(&self, more_demand: f64) -> f64 {
        (self.demand + more_demand).max(0.0) * self.service_time / self.capacity
    }

    /// Expected latency if the demand were higher by `more_demand`, with an allowance for fluctuations of the demand.
    pub fn expected_latency(&self, more_demand: f64) -> Seconds {
        let utilization = DEMAND_SWING_MULTIPLE * self.utilization(more_demand);
        let curved_utilization = utilization.min(LINEAR_LATENCY_UTILIZATION);
        let excess_utilization = utilization - curved_utilization;
        self.service_time / (1.0 - curved_utilization * curved_utilization).sqrt()
            * (1.0 + LINEAR_LATENCY_SLOPE * excess_utilization)
    }

    /// Whether the host may be given `more_demand` in addition.
    pub fn fits(&self, more_demand: f64) -> bool {
        self.utilization(more_demand) <= self.limits.max_utilization
    }

    /// Operations per second that would use the whole capacity.
    pub fn max_rate(&self) -> f64 {
        self.capacity / self.service_time
    }
}

/// Estimates the loads of all usable hosts. `admission_rates` holds one rate per class.
pub fn estimate_loads(
    now: Seconds,
    config: &ControllerConfig,
    hosts: &BTreeMap<HostId, Host>,
    slices: &Slices,
    admission_rates: &[f64],
) -> HostLoads {
    let mut typical_by_kind = BTreeMap::new();
    let mut loads = BTreeMap::new();
    for (id, host) in hosts.iter().filter(|(_, host)| host.is_usable()) {
        let typical =
            *typical_by_kind.entry(host.kind).or_insert_with(|| typical_service_time(now, hosts, host.kind));
        let least = least_capacity_fraction(now, host.warming_since, config);
        let is_cold = least < 1.0;
        let measured = host.service_time.read(now, typical);
        // A host that has just started has an empty cache, and its first reports show a service time that is too low.
        let service_time = if is_cold { measured.max(typical) } else { measured };
        let capacity = owned_capacity(now, host, config, slices.len());
        let limits = utilization_limits(least, config);
        loads.insert(*id, HostLoad { demand: 0.0, service_time, capacity, limits, is_cold });
    }
    for slice in slices.values() {
        if let Some(load) = slice.owner.and_then(|owner| loads.get_mut(&owner)) {
            load.demand += slice.admitted_rate(admission_rates);
        }
    }
    loads
}

/// The part of a host's likely capacity, in cores, that belongs to the slices of this controller.
pub fn owned_capacity(now: Seconds, host: &Host, config: &ControllerConfig, owned_slices: usize) -> f64 {
    let owned_fraction = owned_slices as f64 / f64::from(config.slice_count.max(1));
    let least = least_capacity_fraction(now, host.warming_since, config);
    (host.weight * likely_capacity_fraction(least) * owned_fraction).max(0.001)
}

/// The median service time of the hosts of a kind, or of all hosts if none of that kind is known.
fn typical_service_time(now: Seconds, hosts: &BTreeMap<HostId, Host>, kind: HostKindId) -> Seconds {
    let of_kind = hosts.values().filter(|host| host.kind == kind);
    let typical = median_service_time(now, of_kind);
    typical.or_else(|| median_service_time(now, hosts.values())).unwrap_or(DEFAULT_SERVICE_TIME)
}

fn median_service_time<'a>(now: Seconds, hosts: impl Iterator<Item = &'a Host>) -> Option<Seconds> {
    let known = hosts.filter(|host| host.service_time.is_known(now));
    quantile(known.map(|host| host.service_time.read(now, 0.0)).collect(), 0.5)
}
