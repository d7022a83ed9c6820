//! Fencing at the receivers of commands: what comes under an older epoch than one seen before is dropped.
use crate::Epoch;
use std::collections::BTreeMap;

/// The highest epoch that a proxy or a host has seen of each slice.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<u32, Epoch>,
}

impl Fence {
    /// Whether a command under this epoch may be obeyed. A higher one than before fences off all older ones.
    pub fn admits(&mut self, slice: u32, epoch: Epoch) -> bool {
        let highest = self.highest.entry(slice).or_default();
        *highest = (*highest).max(epoch);
        *highest == epoch
    }

    /// The highest epoch seen of a slice; 0 if none was.
    pub fn highest_epoch(&self, slice: u32) -> Epoch {
        self.highest.get(&slice).copied().unwrap_or_default()
    }
}
