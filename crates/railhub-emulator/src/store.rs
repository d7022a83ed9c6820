//! The slice store: leases slices with their tables over HTTP, takes what changes, and outlives the controllers. It can
//! be unavailable or slow, lose its responses, or restart from an older copy of itself.
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

/// Seconds of the longest lease that a store opened by [`Store::open`] grants.
const DEFAULT_MAX_LEASE_SECONDS: f64 = 10.0;

/// A store that listens; it ends when this is dropped.
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<SharedStore>,
    _listener: Listener,
}

impl Store {
    /// Opens a store with tables in place, which records nothing.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn open(tables: BTreeMap<u32, Table>) -> io::Result<Store> {
        Store::open_with(tables, DEFAULT_MAX_LEASE_SECONDS, None, StoreFaults::default())
    }

    /// Opens a store with tables in place that grants leases of `max_lease` seconds at the most, records its grants
    /// and writes, and may be faulty, for tests of the checks.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn open_with(
        tables: BTreeMap<u32, Table>,
        max_lease: f64,
        recorder: Option<Recorder>,
        faults: StoreFaults,
    ) -> io::Result<Store> {
        let contents = Mutex::new(StoreContents::new(tables, LeaseStore::new(max_lease, faults)));
        let shared = Arc::new(SharedStore { contents, recorder, ..SharedStore::default() });
        let serving = shared.clone();
        let listener = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream, _| {
            let shared = serving.clone();
            spawn(move || server::serve(stream, &shared));
        })?;
        Ok(Store { address: listener.address, shared, _listener: listener })
    }

    /// The tables by slice.
    ///
    /// # Panics
    /// If a holder of the store's contents panicked.
    pub fn tables(&self) -> BTreeMap<u32, Table> {
        self.shared.contents.lock().expect("no holder panics").tables.clone()
    }

    /// While it is unavailable it closes connections without a response.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.shared.unavailable.store(unavailable, Ordering::Relaxed);
    }

    /// Delays each response by so many seconds from now on.
    pub fn set_response_delay(&self, delay: f64) {
        self.shared.response_delay_ms.store((delay * 1000.0) as u64, Ordering::Relaxed);
    }

    /// While it loses responses, it does what it is requested to and closes the connection.
    pub fn lose_responses(&self, loses: bool) {
        self.shared.loses_responses.store(loses, Ordering::Relaxed);
    }

    /// Restarts from a copy that is `older_by` seconds old; 0: from what it has.
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

    /// Requests to write tables that were handled.
    pub fn writes(&self) -> u64 {
        self.shared.writes.load(Ordering::Relaxed)
    }
}
