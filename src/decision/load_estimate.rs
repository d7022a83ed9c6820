//! Load estimates: the demand on each host, its utilization, and the latency to expect of it.
//!
//! Reports are seconds old, and the latency in them is not the one that a host would have with one slice more. So
//! placement goes by an expected latency: demand (operations a second, by slice) and service time (seconds a core is
//! held) give the utilization of the host's capacity (cores), and that the latency. It shows a move's effect at once.
//!
//! Where several controllers share the slices, each sees its own alone. It counts a host's capacity in proportion to
//! the slices that are its own, so the controllers need not talk.
use super::host::Host;
use super::slice::Slices;
use super::slow_start::{
    least_capacity_fraction, likely_capacity_fraction, utilization_limits, UtilizationLimits,
};
use crate::decaying::quantile;
use crate::interface::{ControllerConfig, HostId, HostKindId, Seconds};
use std::collections::BTreeMap;

/// Seconds that an operation is taken to need before any is reported.
const DEFAULT_SERVICE_TIME: Seconds = 0.01;
/// Multiple of the present demand for which latency is estimated: demand swings, and nearly full hosts tip over.
const DEMAND_SWING_MULTIPLE: f64 = 1.3;
/// Utilization past which the latency curve goes on as a straight line, so that it stays finite.
const LINEAR_LATENCY_UTILIZATION: f64 = 0.95;
/// Slope of that line, relative to the latency at its start.
const LINEAR_LATENCY_SLOPE: f64 = 10.0;

/// The loads of all usable hosts.
pub type HostLoads = BTreeMap<HostId, HostLoad>;

/// What one evaluation goes by of a usable host.
#[derive(Clone, Copy)]
pub struct HostLoad {
    /// Operations a second.
    pub demand: f64,
    /// Seconds that an operation holds a core.
    pub service_time: Seconds,
    /// Cores, as far as they are likely warm and this controller's part.
    pub capacity: f64,
    pub limits: UtilizationLimits,
    /// It is warming up.
    pub is_cold: bool,
}

impl HostLoad {
    /// Used fraction of the capacity with this much more demand.
    pub fn utilization(&self, more_demand: f64) -> f64 {
        (self.demand + more_demand).max(0.0) * self.service_time / self.capacity
    }

    /// Expected latency with this much more demand, should demand swing up.
    pub fn expected_latency(&self, more_demand: f64) -> Seconds {
        let utilization = DEMAND_SWING_MULTIPLE * self.utilization(more_demand);
        let curved = utilization.min(LINEAR_LATENCY_UTILIZATION);
        let beyond = utilization - curved;
        self.service_time / (1.0 - curved * curved).sqrt() * (1.0 + LINEAR_LATENCY_SLOPE * beyond)
    }

    /// It may be given this much more demand.
    pub fn fits(&self, more_demand: f64) -> bool {
        self.utilization(more_demand) <= self.limits.max_utilization
    }

    /// Operations a second that would use its whole capacity.
    pub fn max_rate(&self) -> f64 {
        self.capacity / self.service_time
    }
}

/// The loads of all usable hosts. `admission_rates`: by class.
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
        // A host that has just started has no keys cached, and its first reports look better than it is.
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

/// The part of a host's likely capacity, in cores, that falls to this controller's slices.
pub fn owned_capacity(now: Seconds, host: &Host, config: &ControllerConfig, owned_slices: usize) -> f64 {
    let owned_fraction = owned_slices as f64 / f64::from(config.slice_count.max(1));
    let least = least_capacity_fraction(now, host.warming_since, config);
    (host.weight * likely_capacity_fraction(least) * owned_fraction).max(0.001)
}

/// The middle service time among hosts of a kind, or else among all.
fn typical_service_time(now: Seconds, hosts: &BTreeMap<HostId, Host>, kind: HostKindId) -> Seconds {
    let of_kind = hosts.values().filter(|host| host.kind == kind);
    let typical = median_service_time(now, of_kind);
    typical.or_else(|| median_service_time(now, hosts.values())).unwrap_or(DEFAULT_SERVICE_TIME)
}

fn median_service_time<'a>(now: Seconds, hosts: impl Iterator<Item = &'a Host>) -> Option<Seconds> {
    let known = hosts.filter(|host| host.service_time.is_known(now));
    quantile(known.map(|host| host.service_time.read(now, 0.0)).collect(), 0.5)
}
