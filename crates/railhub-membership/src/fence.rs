//! Fencing at the receivers of commands: a command whose epoch is older than one already seen is dropped.
use crate::Epoch;
use std::collections::BTreeMap;

/// The highest epoch that a proxy or a host has seen for each slice.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<u32, Epoch>,
}

impl Fence {
    /// Whether a command under this epoch may be obeyed. A higher epoch fences off all lower ones.
    pub fn admits(&mut self, slice: u32, epoch: Epoch) -> bool {
        let highest = self.highest.entry(slice).or_default();
        *highest = (*highest).max(epoch);
        *highest == epoch
    }

    /// The highest epoch seen for a slice; 0 if none was seen.
    pub fn highest_epoch(&self, slice: u32) -> Epoch {
        self.highest.get(&slice).copied().unwrap_or_default()
    }
}
