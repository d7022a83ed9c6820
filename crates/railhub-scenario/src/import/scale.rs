//! Scales the sizes of the source to those that one machine can run.

pub(super) struct Scale {
    /// Number of hosts of the scenario divided by that of the source.
    pub ratio: f64,
    /// Number of hosts of the scenario.
    pub hosts: usize,
}

impl Scale {
    /// Scales a number; the result is at least 1 unless the number is 0.
    pub fn count(&self, count: usize) -> usize {
        ((count as f64 * self.ratio).round() as usize).max(usize::from(count > 0))
    }
}
