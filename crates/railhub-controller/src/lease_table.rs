//! Which slices this controller may publish at this moment, for every stream writer. The thread of the lease
//! coordinator owns the leases and copies them here after each change.
use crate::lease_clock::LeaseClock;
use railhub::SliceId;
use railhub_membership::lease::HeldLeases;
use railhub_membership::Epoch;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// A copy of the leases. A lease ends by the clock alone, even while no thread runs.
#[derive(Debug)]
pub struct LeaseTable {
    leases: Mutex<HeldLeases>,
    clock: LeaseClock,
    /// For tests of the invariant checker alone: leases never end.
    ignores_expiry: bool,
}

impl LeaseTable {
    /// A table without leases.
    pub fn new(clock: LeaseClock, ignores_expiry: bool) -> LeaseTable {
        LeaseTable { leases: Mutex::default(), clock, ignores_expiry }
    }

    /// Replaces the copy.
    pub fn update(&self, leases: &HeldLeases) {
        *self.leases.lock().expect("no holder panics") = leases.clone();
    }

    /// Those of the slices that are not under lease with these epochs now.
    pub fn expired(&self, epochs: &BTreeMap<SliceId, u64>) -> BTreeSet<SliceId> {
        if self.ignores_expiry || epochs.is_empty() {
            return BTreeSet::new();
        }
        let now = self.clock.now();
        let leases = self.leases.lock().expect("no holder panics");
        let mut expired = BTreeSet::new();
        for (slice, epoch) in epochs {
            if leases.valid_epoch(now, slice.0) != Some(Epoch(*epoch)) {
                expired.insert(*slice);
            }
        }
        expired
    }
}

#[cfg(test)]
mod tests;
