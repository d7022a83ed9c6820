//! Admission control: the fraction of each class's operations that the proxies admit.
//!
//! Inputs: the demand by class (operations per second), and the capacity of the hosts. While the demand exceeds
//! `OVERLOAD_UTILIZATION` of the capacity, the class with the lowest priority (priority weight divided by contract
//! time) is admitted at a lower rate, then further classes as far as necessary. A rate falls fast and rises slowly.
//! Changes of up to `MIN_ADMISSION_CHANGE` are skipped, because each change costs a message to all proxies.
use super::load_estimate::HostLoads;
use super::slice::Slices;
use crate::interface::{ClassConfig, ControllerConfig};

/// Utilization of all hosts together above which load is shed.
const OVERLOAD_UTILIZATION: f64 = 0.7;
/// Maximum decrease of an admission rate in a tick.
const MAX_ADMISSION_DECREASE: f64 = 0.3;
/// Maximum increase of an admission rate in a tick.
const MAX_ADMISSION_INCREASE: f64 = 0.1;
/// Changes of an admission rate up to this size are skipped, except a change to 1.
const MIN_ADMISSION_CHANGE: f64 = 0.02;

/// The admission rates, and the utilization that they were computed from.
#[derive(Default)]
pub struct AdmissionControl {
    /// Admitted fraction of the operations, by class, from 0 to 1.
    pub rates: Vec<f64>,
    /// Demand as a fraction of the capacity of all hosts.
    pub fleet_utilization: f64,
}

impl AdmissionControl {
    /// Admits all operations.
    pub fn new(classes: usize) -> AdmissionControl {
        AdmissionControl { rates: vec![1.0; classes], fleet_utilization: 0.0 }
    }

    /// Whether some operations are not admitted.
    pub fn is_shedding(&self) -> bool {
        self.rates.iter().any(|rate| *rate < 1.0)
    }

    /// Updates the rates once a tick.
    pub fn update(&mut self, config: &ControllerConfig, slices: &Slices, loads: &HostLoads) {
        if !config.admission_by_fraction {
            return;
        }
        let offered = offered_rates(config.classes.len(), slices);
        let demand: f64 = offered.iter().sum();
        self.fleet_utilization = demand / loads.values().map(|load| load.max_rate()).sum::<f64>().max(0.01);
        let mut capacity: f64 = loads
            .values()
            .map(|load| load.limits.max_utilization.min(OVERLOAD_UTILIZATION) * load.max_rate())
            .sum();
        for class in classes_by_priority(&config.classes) {
            let target = if capacity >= offered[class] { 1.0 } else { capacity / offered[class] };
            capacity = (capacity - offered[class]).max(0.0);
            self.rates[class] = next_rate(self.rates[class], target);
        }
    }
}

/// Operations per second that arrive, by class. The estimated rates of slices without a report are divided among the
/// classes in proportion to the reported rates.
fn offered_rates(classes: usize, slices: &Slices) -> Vec<f64> {
    let reported_rate = |class: usize| slices.values().map(|slice| slice.demand[class].per_second()).sum();
    let reported: Vec<f64> = (0..classes).map(reported_rate).collect();
    let total: f64 = reported.iter().sum();
    let estimated: f64 = slices.values().map(|slice| slice.estimated_rate).sum();
    reported.into_iter().map(|rate| rate * (1.0 + estimated / total.max(0.01))).collect()
}

/// Indices of the classes, the one with the highest priority first.
fn classes_by_priority(classes: &[ClassConfig]) -> Vec<usize> {
    let priority = |class: &ClassConfig| class.priority_weight / class.contract_time.max(0.001);
    let mut order: Vec<usize> = (0..classes.len()).collect();
    order.sort_by(|a, b| priority(&classes[*b]).total_cmp(&priority(&classes[*a])));
    order
}

/// The next rate on the way from `rate` to `target`.
fn next_rate(rate: f64, target: f64) -> f64 {
    let next = target.clamp(rate - MAX_ADMISSION_DECREASE, rate + MAX_ADMISSION_INCREASE).clamp(0.0, 1.0);
    // A step to 1 is taken however small it is, or shedding would never end.
    if (next - rate).abs() > MIN_ADMISSION_CHANGE || next == 1.0 {
        next
    } else {
        rate
    }
}
