//! How sizes are scaled down to what one machine plays.

pub(super) struct Scale {
    /// Hosts of the scenario over those of the source.
    pub ratio: f64,
    /// Hosts of the scenario.
    pub hosts: usize,
}

impl Scale {
    /// A scaled number; at least one where there was one.
    pub fn count(&self, count: usize) -> usize {
        ((count as f64 * self.ratio).round() as usize).max(usize::from(count > 0))
    }
}
