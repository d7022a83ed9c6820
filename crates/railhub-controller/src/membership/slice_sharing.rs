//! What a controller that shares slices works with, and how it passes leases on.
use crate::core::LeaseChanges;
use crate::inbox::{Inbox, OwnerEvent};
use crate::lease_table::LeaseTable;
use crate::store::{StoreWriter, StoredTable};
use railhub::SliceId;
use railhub_membership::lease::HeldLeases;
use railhub_membership::lease_manager::Effects;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The other parts of a controller that shares slices.
pub struct SliceSharing {
    /// Sends requests for leases, and writes the tables.
    pub store: Arc<StoreWriter>,
    /// Reaches the owner of the core.
    pub inbox: Arc<Inbox>,
    /// What stream writers go by.
    pub leases: Arc<LeaseTable>,
    /// Slices of the installation.
    pub slices: u16,
    /// For tests of the invariant checker alone: slices whose leases have ended are kept.
    pub ignores_lease_expiry: bool,
}

impl SliceSharing {
    /// Passes on what was acquired, with its tables, and lost. The lease table goes first: what is written from now on
    /// must not rest on a lease that is gone.
    pub(super) fn apply(&self, leases: &HeldLeases, effects: &Effects, tables: Vec<StoredTable>) {
        self.leases.update(leases);
        let mut changes = LeaseChanges::default();
        if !self.ignores_lease_expiry {
            changes.lost = effects.lost.iter().map(|slice| SliceId(*slice)).collect();
            changes.expired = effects.expired.iter().map(|slice| SliceId(*slice)).collect();
        }
        let mut tables: BTreeMap<u16, StoredTable> =
            tables.into_iter().map(|table| (table.slice, table)).collect();
        for (slice, epoch) in &effects.acquired {
            // The store gives each with its table; without one it is filled as a slice that has none.
            let table = tables.remove(slice).unwrap_or(StoredTable::empty(*slice));
            changes.acquired.push(table.into_acquired_slice(epoch.0));
        }
        if !changes.is_empty() {
            self.inbox.send(OwnerEvent::LeaseChanges(changes));
        }
    }
}
