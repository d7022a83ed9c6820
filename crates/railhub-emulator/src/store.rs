//! The emulated slice store. It grants leases of slices over HTTP, keeps the slices' tables, and outlives the
//! controllers. It can be unavailable or slow, lose its responses, or restart from an older copy of its contents.
mod contents;
mod messages;
mod server;
mod shared;

use crate::routing::Table;
use contents::StoreContents;
use may::sync::Mutex;
use railhub_membership::lease_store::{LeaseStore, StoreFaults};
use railhub_net::{now, spawn, Listener};
use railhub_record::Recorder;
use shared::SharedStore;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Longest lease, in seconds, that a store opened by [`Store::open`] grants.
const DEFAULT_MAX_LEASE_SECONDS: f64 = 10.0;

/// A store with its listener; dropping it closes the listener.
pub struct Store {
    /// Address of the listener.
    pub address: SocketAddr,
    shared: Arc<SharedStore>,
    _listener: Listener,
}

impl Store {
    /// Opens a store with initial tables that records nothing and has no faults.
    ///
    /// # Errors
    /// If the listener cannot be opened.
    pub fn open(tables: BTreeMap<u32, Table>) -> io::Result<Store> {
        Store::open_with(tables, DEFAULT_MAX_LEASE_SECONDS, None, StoreFaults::default())
    }

    /// Opens a store with initial tables that grants leases of at most `max_lease` seconds and records its grants and
    /// writes. `faults` makes it break its own rules, to test the invariant checks.
    ///
    /// # Errors
    /// If the listener cannot be opened.
    pub fn open_with(
        tables: BTreeMap<u32, Table>,
        max_lease: f64,
        recorder: Option<Recorder>,
        faults: StoreFaults,
    ) -> io::Result<Store> {
        let contents = Mutex::new(StoreContents::new(tables, LeaseStore::new(max_lease, faults)));
        let shared = Arc::new(SharedStore { contents, recorder, ..SharedStore::default() });
        let listener_shared = shared.clone();
        let listener = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream, _| {
            let shared = listener_shared.clone();
            spawn(move || server::serve(stream, &shared));
        })?;
        Ok(Store { address: listener.address, shared, _listener: listener })
    }

    /// All tables, by slice.
    ///
    /// # Panics
    /// If a holder of the store's contents panicked.
    pub fn tables(&self) -> BTreeMap<u32, Table> {
        self.shared.contents.lock().expect("no holder panics").tables.clone()
    }

    /// Makes the store unavailable or available again. An unavailable store closes connections without a response.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.shared.unavailable.store(unavailable, Ordering::Relaxed);
    }

    /// Delays each response by `delay` seconds from now on; 0 ends the delay.
    pub fn set_response_delay(&self, delay: f64) {
        self.shared.response_delay_ms.store((delay * 1000.0) as u64, Ordering::Relaxed);
    }

    /// Starts or stops losing responses. A store that loses responses handles each request and closes the connection
    /// without a response.
    pub fn lose_responses(&self, loses_responses: bool) {
        self.shared.loses_responses.store(loses_responses, Ordering::Relaxed);
    }

    /// Restarts the store from a copy of its contents that is `older_by` seconds old, or from the current contents if
    /// `older_by` is 0.
    ///
    /// # Panics
    /// If a holder of the store's contents panicked.
    pub fn restart(&self, older_by: f64) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let generation = since_epoch.map_or(0, |since_epoch| since_epoch.as_secs());
        let copy = self.shared.copy_before(now() - older_by);
        let mut contents = self.shared.contents.lock().expect("no holder panics");
        if let Some(copy) = copy.filter(|_| older_by > 0.0) {
            *contents = copy;
        }
        contents.restart(now(), generation);
        self.shared.restarts.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of table write requests that have been handled.
    pub fn writes(&self) -> u64 {
        self.shared.writes.load(Ordering::Relaxed)
    }
}
