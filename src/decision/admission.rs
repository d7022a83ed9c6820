//! Admission control: which fraction of each class's operations the proxies admit.
//!
//! Inputs: the demand by class (operations a second), and what the hosts can do. While demand exceeds
//! `OVERLOAD_UTILIZATION` of that, the class with the least worth for its work (priority weight over contract time)
//! is admitted less, and further classes as far as is needed. A rate falls fast and rises slowly, and moves
//! only by steps that are worth a message to all proxies.
use super::load_estimate::HostLoads;
use super::slice::Slices;
use crate::interface::{ClassConfig, ControllerConfig};

/// Utilization of all hosts together past which load is shed.
const OVERLOAD_UTILIZATION: f64 = 0.7;
/// Most that an admission rate falls in a tick.
const MAX_ADMISSION_DECREASE: f64 = 0.3;
/// Most that an admission rate rises in a tick.
const MAX_ADMISSION_INCREASE: f64 = 0.1;
/// Least change of an admission rate that is published.
const MIN_ADMISSION_CHANGE: f64 = 0.02;

/// The admission rates, and what they follow from.
#[derive(Default)]
pub struct AdmissionControl {
    /// Admitted fraction of the operations, by class, from 0 to 1.
    pub rates: Vec<f64>,
    /// Demand as a fraction of what all hosts can do.
    pub fleet_utilization: f64,
}

impl AdmissionControl {
    /// Everything is admitted.
    pub fn new(classes: usize) -> AdmissionControl {
        AdmissionControl { rates: vec![1.0; classes], fleet_utilization: 0.0 }
    }

    /// Some operations are not admitted.
    pub fn is_shedding(&self) -> bool {
        self.rates.iter().any(|rate| *rate < 1.0)
    }

    /// Sets the rates for a tick.
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
            let wanted = if capacity >= offered[class] { 1.0 } else { capacity / offered[class] };
            capacity = (capacity - offered[class]).max(0.0);
            self.rates[class] = next_rate(self.rates[class], wanted);
        }
    }
}

/// Operations a second that come, by class. What slices are estimated to bring falls on the classes as the rest does.
fn offered_rates(classes: usize, slices: &Slices) -> Vec<f64> {
    let reported_rate = |class: usize| slices.values().map(|slice| slice.demand[class].per_second()).sum();
    let reported: Vec<f64> = (0..classes).map(reported_rate).collect();
    let total: f64 = reported.iter().sum();
    let estimated: f64 = slices.values().map(|slice| slice.estimated_rate).sum();
    reported.into_iter().map(|rate| rate * (1.0 + estimated / total.max(0.01))).collect()
}

/// Positions of the classes, the one with the most worth for its work first.
fn classes_by_priority(classes: &[ClassConfig]) -> Vec<usize> {
    let worth = |class: &ClassConfig| class.priority_weight / class.contract_time.max(0.001);
    let mut order: Vec<usize> = (0..classes.len()).collect();
    order.sort_by(|a, b| worth(&classes[*b]).total_cmp(&worth(&classes[*a])));
    order
}

/// The rate that follows in this tick on the way to the wanted one.
fn next_rate(rate: f64, wanted: f64) -> f64 {
    let next = wanted.clamp(rate - MAX_ADMISSION_DECREASE, rate + MAX_ADMISSION_INCREASE).clamp(0.0, 1.0);
    // 1 is always reached, however small the step: else shedding would never end.
    if (next - rate).abs() > MIN_ADMISSION_CHANGE || next == 1.0 {
        next
    } else {
        rate
    }
}
