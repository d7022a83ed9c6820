//! Service per second, for the latest seconds of a scenario.
use std::collections::BTreeMap;

/// Maximum number of seconds that are kept.
const MAX_SECONDS: usize = 120;

/// Counts of operations, by the second of the scenario in which they began.
#[derive(Clone, Debug, Default)]
pub struct ServiceWindow {
    seconds: BTreeMap<i64, ServiceSecond>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceSecond {
    /// Priority weight of the operations that began.
    offered: f64,
    /// The part of `offered` that was completed within the contract time.
    completed: f64,
    operations: u32,
}

/// Service of the seconds whose operations have all ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceHistory {
    /// Pairs of second of the scenario and service in that second, ordered by time; seconds without priority weight are
    /// left out.
    pub points: Vec<(f64, f64)>,
    /// Number of operations that began in the newest of these seconds.
    pub operations_per_second: u32,
}

impl ServiceWindow {
    /// Counts an operation that began at second `began` of the scenario.
    pub fn on_operation_end(&mut self, began: f64, priority_weight: f64, completed: bool) {
        let second = self.seconds.entry(began.floor() as i64).or_default();
        second.offered += priority_weight;
        if completed {
            second.completed += priority_weight;
        }
        second.operations += 1;
        if self.seconds.len() > MAX_SECONDS {
            self.seconds.pop_first();
        }
    }

    /// Service of the seconds that ended at least `settling_time` seconds before `now`; operations of later seconds may
    /// still be running.
    pub fn history(&self, now: f64, settling_time: f64) -> ServiceHistory {
        let mut history = ServiceHistory::default();
        for (at, second) in &self.seconds {
            if (*at + 1) as f64 + settling_time > now {
                continue;
            }
            history.operations_per_second = second.operations;
            if second.offered > 0.0 {
                history.points.push((*at as f64, second.completed / second.offered));
            }
        }
        history
    }
}
