//! The slices that this controller may publish at this moment, shared by all stream writers. The thread of the lease
//! coordinator owns the leases and copies them here after each change.
use crate::lease_clock::LeaseClock;
use railhub::SliceId;
use railhub_membership::lease::HeldLeases;
use railhub_membership::Epoch;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// A copy of the leases. Each lease expires by the clock, even if the lease coordinator's thread does not run.
#[derive(Debug)]
pub struct LeaseTable {
    leases: Mutex<HeldLeases>,
    clock: LeaseClock,
    /// Leases never expire; only for tests of the invariant checker.
    ignores_expiry: bool,
}

impl LeaseTable {
    /// Creates a table without leases.
    pub fn new(clock: LeaseClock, ignores_expiry: bool) -> LeaseTable {
        LeaseTable { leases: Mutex::default(), clock, ignores_expiry }
    }

    /// Replaces the copy of the leases.
    pub fn update(&self, leases: &HeldLeases) {
        *self.leases.lock().expect("no holder panics") = leases.clone();
    }

    /// The slices in `epochs` that are not under a valid lease with that epoch now.
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
