//! What this steward may order at this moment, for all that write: the owner of the leases is the thread of the fleet,
//! which notes them here after each change.
use crate::fleet::LeaseClock;
use railhub::SliceId;
use railhub_membership::lease::HeldLeases;
use railhub_membership::Epoch;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// A copy of the leases, as they were noted last. A lease ends by the clock alone, whoever sleeps.
#[derive(Debug)]
pub struct LeaseTable {
    leases: Mutex<HeldLeases>,
    clock: LeaseClock,
    /// For tests of the judge alone: leases are never over.
    overruns: bool,
}

impl LeaseTable {
    pub fn new(clock: LeaseClock, overruns: bool) -> LeaseTable {
        LeaseTable { leases: Mutex::default(), clock, overruns }
    }

    pub fn note(&self, leases: &HeldLeases) {
        *self.leases.lock().expect("no holder panics") = leases.clone();
    }

    /// Those of the slices that may not be ordered under these epochs now.
    pub fn over(&self, epochs: &BTreeMap<SliceId, u64>) -> BTreeSet<SliceId> {
        if self.overruns || epochs.is_empty() {
            return BTreeSet::new();
        }
        let now = self.clock.now();
        let leases = self.leases.lock().expect("no holder panics");
        let may =
            |(slice, epoch): &(&SliceId, &u64)| leases.valid_epoch(now, slice.0) == Some(Epoch(**epoch));
        epochs.iter().filter(|each| !may(each)).map(|(slice, _)| *slice).collect()
    }
}

#[cfg(test)]
mod tests;
