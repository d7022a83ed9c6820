//! The contents of the store: tables, the handover states that controllers leave for the next owner of a slice, and
//! leases.
use super::messages::{LeaseStatus, StoredTable};
use crate::routing::Table;
use railhub_membership::lease_messages::{LeaseRequest, LeaseResponse};
use railhub_membership::lease_store::LeaseStore;
use railhub_membership::Epoch;
use std::collections::BTreeMap;

/// Maximum size of a handover state, in bytes of JSON; a larger one is ignored.
const MAX_HANDOVER_BYTES: usize = 1024;

/// The contents of the store. Each request is handled under one lock, so its changes are visible together.
#[derive(Clone, Default)]
pub struct StoreContents {
    pub tables: BTreeMap<u32, Table>,
    /// Handover state for the next owner of a slice, and when it was written, in seconds.
    handovers: BTreeMap<u32, (f64, serde_json::Value)>,
    leases: LeaseStore,
}

/// The grant of a slice to a process that did not hold the slice before.
pub struct NewGrant {
    pub slice: u32,
    pub epoch: u64,
}

/// Result of a lease request.
pub struct LeaseOutcome {
    pub response: LeaseResponse,
    pub new_grants: Vec<NewGrant>,
    /// Tables of the slices that the request has acquired.
    pub tables: Vec<StoredTable>,
}

impl StoreContents {
    pub fn new(tables: BTreeMap<u32, Table>, leases: LeaseStore) -> StoreContents {
        StoreContents { tables, handovers: BTreeMap::new(), leases }
    }

    /// Restarts the leases under a new generation.
    pub fn restart(&mut self, now: f64, generation: u64) {
        self.leases = self.leases.restart(now, generation);
    }

    /// Writes a table, unless its slice is leased under another epoch. Returns whether the table was written.
    pub fn write(&mut self, now: f64, table: StoredTable) -> bool {
        let StoredTable { slice, epoch, lines, state, .. } = table;
        let may_write = u16::try_from(slice).is_ok_and(|slice| self.leases.may_write(slice, Epoch(epoch)));
        if !may_write {
            return false;
        }
        self.tables.insert(slice, lines);
        if let Some(state) = state.filter(|state| state.to_string().len() <= MAX_HANDOVER_BYTES) {
            self.handovers.insert(slice, (now, state));
        }
        true
    }

    /// Handles a lease request.
    pub fn lease(&mut self, now: f64, request: &LeaseRequest) -> LeaseOutcome {
        let outcome = self.leases.handle_request(now, request);
        let new_grants = outcome.acquired.iter();
        let new_grants =
            new_grants.map(|(slice, epoch)| NewGrant { slice: u32::from(*slice), epoch: epoch.0 });
        let new_grants = new_grants.collect();
        let granted = outcome.response.granted.iter();
        let acquired = granted.filter(|(slice, _)| request.acquire.contains(slice));
        let tables =
            acquired.map(|(slice, epoch)| self.stored_table(now, u32::from(*slice), epoch.0)).collect();
        LeaseOutcome { response: outcome.response.clone(), new_grants, tables }
    }

    /// The table of a slice with its handover state, as granted under an epoch.
    fn stored_table(&self, now: f64, slice: u32, epoch: u64) -> StoredTable {
        let lines = self.tables.get(&slice).cloned().unwrap_or_default();
        let handover = self.handovers.get(&slice);
        let age = handover.map_or(0.0, |(at, _)| now - at);
        StoredTable { slice, epoch, lines, state: handover.map(|handover| handover.1.clone()), age }
    }

    /// All tables, without epochs and handover states.
    pub fn stored_tables(&self) -> Vec<StoredTable> {
        let tables = self.tables.clone().into_iter();
        tables.map(|(slice, lines)| StoredTable { slice, epoch: 0, lines, state: None, age: 0.0 }).collect()
    }

    /// The lease of each slice that has a table.
    pub fn lease_status(&self, now: f64) -> Vec<LeaseStatus> {
        self.tables.keys().map(|slice| self.slice_lease_status(now, *slice)).collect()
    }

    fn slice_lease_status(&self, now: f64, slice: u32) -> LeaseStatus {
        let lease = u16::try_from(slice).ok().and_then(|slice| self.leases.record(slice));
        LeaseStatus {
            slice,
            epoch: lease.map_or(0, |lease| lease.epoch.0),
            process: lease.and_then(|lease| lease.holder),
            remaining: lease.map_or(0.0, |lease| lease.expires_at - now).max(0.0),
        }
    }
}
