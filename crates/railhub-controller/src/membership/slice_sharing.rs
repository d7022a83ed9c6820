//! The connection of the membership thread to the store, to the lease table and to the owner of the core, if slices are
//! shared.
use crate::core::LeaseChanges;
use crate::inbox::{Inbox, OwnerEvent};
use crate::lease_table::LeaseTable;
use crate::store::{StoreWriter, StoredTable};
use railhub::SliceId;
use railhub_membership::lease::HeldLeases;
use railhub_membership::lease_manager::Effects;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The parts of a controller that are involved in sharing slices.
pub struct SliceSharing {
    /// Sends lease requests to the store and writes tables.
    pub store: Arc<StoreWriter>,
    /// The inbox of the owner of the core.
    pub inbox: Arc<Inbox>,
    /// The leases that stream writers check before they write.
    pub leases: Arc<LeaseTable>,
    /// Number of slices in the installation.
    pub slices: u16,
    /// Whether slices are kept after their leases have ended: only for tests of the invariant checker.
    pub ignores_lease_expiry: bool,
}

impl SliceSharing {
    /// Passes changes of the leases on to the lease table and to the owner of the core, with the tables of acquired
    /// slices. The lease table is updated first, so that no delta is written from now on under a lease that has ended.
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
            // The store sends a table with each granted slice. If one is missing, the slice is treated as one without
            // a table.
            let table = tables.remove(slice).unwrap_or(StoredTable::empty(*slice));
            changes.acquired.push(table.into_acquired_slice(epoch.0));
        }
        if !changes.is_empty() {
            self.inbox.send(OwnerEvent::LeaseChanges(changes));
        }
    }
}
