//! Writes tables and requests leases, in a coroutine of its own.
use super::bodies::{LeasedTables, StoredHandoff, StoredTable};
use super::client::{StoreClient, StoreError};
use crate::inbox::{Inbox, OwnerEvent};
use may::sync::{Mutex, Semphore};
use railhub::{Seconds, SliceHandoff, SliceId, WeightedHost};
use railhub_membership::lease_messages::LeaseRequest;
use railhub_net::{now, seconds, Task};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Seconds that the store may take to respond.
const RESPONSE_TIMEOUT: Seconds = 2.0;
/// Seconds that the store may take where leases hang on it: less than the lease manager waits for a response.
const LEASE_RESPONSE_TIMEOUT: Seconds = 0.8;
/// Seconds between attempts while the store does not respond.
const RETRY_INTERVAL: Seconds = 0.2;
/// Seconds after which a request for leases that could not be sent is dropped: its response would come too late.
const MAX_LEASE_REQUEST_AGE: Seconds = 0.9;
/// Seconds between checks whether the owner has passed on the tables of slices that a request releases.
const RELEASE_POLL_INTERVAL: Seconds = 0.002;
/// How often that is checked: the owner takes a moment, and if it does not come the request goes without.
const MAX_RELEASE_POLLS: usize = 25;

/// What waits to be written of a slice.
#[derive(Clone, Debug)]
struct PendingWrite {
    epoch: u64,
    entries: Vec<WeightedHost>,
    handoff: Option<StoredHandoff>,
}

type PendingWrites = BTreeMap<SliceId, PendingWrite>;

/// A request for leases that waits to be sent.
struct PendingRequest {
    requested_at: Seconds,
    request: LeaseRequest,
}

/// Takes tables to be written and requests for leases. A slice waits once, with its latest entries, so what waits is
/// bounded by their number; of requests and responses the latest replaces an older one.
pub struct StoreWriter {
    state: Arc<WriterState>,
    _tasks: Vec<Task>,
}

struct WriterState {
    writes: Mutex<PendingWrites>,
    request: Mutex<Option<PendingRequest>>,
    /// Slices whose last tables have been passed on: a request may release them.
    releasable: Mutex<BTreeSet<u16>>,
    response: Mutex<Option<LeasedTables>>,
    /// Tables that the store rejected: another controller holds the lease by now.
    tables_rejected: AtomicU64,
    wake: Semphore,
}

impl StoreWriter {
    fn start(store: SocketAddr, timeout: Seconds) -> StoreWriter {
        let state = Arc::new(WriterState {
            writes: Mutex::default(),
            request: Mutex::default(),
            releasable: Mutex::default(),
            response: Mutex::default(),
            tables_rejected: AtomicU64::new(0),
            wake: Semphore::new(0),
        });
        let task_state = state.clone();
        let task = Task::spawn(move || run_writer(StoreClient::new(store, timeout), &task_state));
        StoreWriter { state, _tasks: vec![task] }
    }

    /// For a controller that is alone: it is given all slices.
    pub fn start_alone(store: SocketAddr, inbox: Arc<Inbox>) -> StoreWriter {
        let mut writer = StoreWriter::start(store, RESPONSE_TIMEOUT);
        writer._tasks.push(Task::spawn(move || read_slices(store, &inbox)));
        writer
    }

    /// For a controller that shares slices: it requests leases.
    pub fn start_sharing(store: SocketAddr) -> StoreWriter {
        StoreWriter::start(store, LEASE_RESPONSE_TIMEOUT)
    }

    /// Writes a slice's table.
    pub fn write_table(&self, slice: SliceId, epoch: u64, entries: Vec<WeightedHost>) {
        let write = PendingWrite { epoch, entries, handoff: None };
        self.state.writes.lock().expect("no holder panics").insert(slice, write);
        self.state.wake.post();
    }

    /// Writes the table of a slice that is released, with the handoff for its next holder.
    pub fn hand_over(&self, slice: SliceId, epoch: u64, entries: Vec<WeightedHost>, handoff: &SliceHandoff) {
        let write = PendingWrite { epoch, entries, handoff: Some(handoff.into()) };
        self.state.writes.lock().expect("no holder panics").insert(slice, write);
    }

    /// All that is to be written of these slices has been passed on.
    pub fn allow_release(&self, slices: &[SliceId]) {
        let mut releasable = self.state.releasable.lock().expect("no holder panics");
        releasable.extend(slices.iter().map(|slice| slice.0));
        drop(releasable);
        self.state.wake.post();
    }

    /// Sends a request for leases.
    pub fn request_leases(&self, request: LeaseRequest) {
        let pending = PendingRequest { requested_at: now(), request };
        *self.state.request.lock().expect("no holder panics") = Some(pending);
        self.state.wake.post();
    }

    /// The latest response to a request for leases, once.
    pub fn take_lease_response(&self) -> Option<LeasedTables> {
        self.state.response.lock().expect("no holder panics").take()
    }

    /// Tables that the store rejected so far.
    pub fn tables_rejected(&self) -> u64 {
        self.state.tables_rejected.load(Ordering::Relaxed)
    }
}

/// Reads all slices, again and again until the store responds.
fn read_slices(store: SocketAddr, inbox: &Inbox) {
    let mut client = StoreClient::new(store, RESPONSE_TIMEOUT);
    loop {
        match client.read_slices() {
            Ok(tables) => {
                let assignments = tables.into_iter().map(StoredTable::into_assignment).collect();
                inbox.send(OwnerEvent::Assignments(assignments));
                return;
            }
            Err(error) => {
                tracing::warn!(%error, "store request failed, nothing is published before it responds");
                may::coroutine::sleep(seconds(RETRY_INTERVAL));
            }
        }
    }
}

fn run_writer(mut client: StoreClient, state: &WriterState) {
    loop {
        state.wake.wait();
        wait_for_released_tables(state);
        let result = write_pending(&mut client, state).and_then(|()| send_request(&mut client, state));
        if let Err(error) = result {
            tracing::warn!(%error, "store request failed, will retry");
            may::coroutine::sleep(seconds(RETRY_INTERVAL));
            state.wake.post();
        }
    }
}

/// Slices that a request releases are written first: the owner of the core learns of them at the same time.
fn wait_for_released_tables(state: &WriterState) {
    let released: Vec<u16> = match &*state.request.lock().expect("no holder panics") {
        Some(pending) => pending.request.release.iter().map(|(slice, _)| *slice).collect(),
        None => return,
    };
    for _ in 0..MAX_RELEASE_POLLS {
        let mut releasable = state.releasable.lock().expect("no holder panics");
        if released.iter().all(|slice| releasable.contains(slice)) {
            for slice in &released {
                releasable.remove(slice);
            }
            return;
        }
        drop(releasable);
        may::coroutine::sleep(seconds(RELEASE_POLL_INTERVAL));
    }
}

/// Writes what waits. What could not be written waits on, unless there is a later table of its slice.
fn write_pending(client: &mut StoreClient, state: &WriterState) -> Result<(), StoreError> {
    let batch = std::mem::take(&mut *state.writes.lock().expect("no holder panics"));
    if batch.is_empty() {
        return Ok(());
    }
    let mut tables = Vec::with_capacity(batch.len());
    for (slice, write) in &batch {
        tables.push(StoredTable::for_write(*slice, write.epoch, &write.entries, write.handoff.as_ref()));
    }
    match client.write_tables(&tables) {
        Ok(rejected) => {
            count_rejected(state, rejected.len());
            Ok(())
        }
        Err(error) => {
            let mut writes = state.writes.lock().expect("no holder panics");
            for (slice, write) in batch {
                writes.entry(slice).or_insert(write);
            }
            Err(error)
        }
    }
}

fn count_rejected(state: &WriterState, slices: usize) {
    if slices > 0 {
        state.tables_rejected.fetch_add(slices as u64, Ordering::Relaxed);
        tracing::info!(slices, "store rejected tables, others hold the leases");
    }
}

fn send_request(client: &mut StoreClient, state: &WriterState) -> Result<(), StoreError> {
    let pending = state.request.lock().expect("no holder panics").take();
    let Some(pending) = pending else { return Ok(()) };
    if now() - pending.requested_at >= MAX_LEASE_REQUEST_AGE {
        return Ok(());
    }
    let leased = client.request_leases(&pending.request)?;
    *state.response.lock().expect("no holder panics") = Some(leased);
    Ok(())
}
