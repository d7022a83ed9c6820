//! Writes tables and requests leases in a coroutine of its own, so that callers do not wait for the store.
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

/// Time-out of requests to the store if slices are not shared.
const RESPONSE_TIMEOUT: Seconds = 2.0;
/// Time-out of requests to the store if slices are shared. It is shorter than the time that the lease manager waits for
/// a response.
const LEASE_RESPONSE_TIMEOUT: Seconds = 0.8;
/// Pause before a failed request is repeated.
const RETRY_INTERVAL: Seconds = 0.2;
/// Age at which a lease request that could not be sent is dropped, since its response would come too late.
const MAX_LEASE_REQUEST_AGE: Seconds = 0.9;
/// Interval between checks whether the owner has passed on the last tables of the slices that a request releases.
const RELEASE_POLL_INTERVAL: Seconds = 0.002;
/// Number of these checks. The owner usually needs only a moment; if the tables are still missing after the last check,
/// the request is sent without them.
const MAX_RELEASE_POLLS: usize = 25;

/// The table of a slice that waits to be written, with its handoff if the slice is released.
#[derive(Clone, Debug)]
struct PendingWrite {
    epoch: u64,
    entries: Vec<WeightedHost>,
    handoff: Option<StoredHandoff>,
}

type PendingWrites = BTreeMap<SliceId, PendingWrite>;

/// A lease request that waits to be sent.
struct PendingRequest {
    requested_at: Seconds,
    request: LeaseRequest,
}

/// Queues tables and lease requests for the store. Only the latest table of each slice is kept, so the queue is bounded
/// by the number of slices. A newer lease request or response replaces an older one.
pub struct StoreWriter {
    state: Arc<WriterState>,
    _tasks: Vec<Task>,
}

/// State shared between the [`StoreWriter`] and its coroutine.
struct WriterState {
    writes: Mutex<PendingWrites>,
    request: Mutex<Option<PendingRequest>>,
    /// Slices whose last tables have been passed on, so that a request may release them.
    releasable: Mutex<BTreeSet<u16>>,
    response: Mutex<Option<LeasedTables>>,
    /// Tables that the store rejected because another controller holds the lease.
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

    /// Starts the writer of a controller that does not share slices. All slices are read from the store and sent to
    /// `inbox`.
    pub fn start_alone(store: SocketAddr, inbox: Arc<Inbox>) -> StoreWriter {
        let mut writer = StoreWriter::start(store, RESPONSE_TIMEOUT);
        writer._tasks.push(Task::spawn(move || read_slices(store, &inbox)));
        writer
    }

    /// Starts the writer of a controller that shares slices and requests leases.
    pub fn start_sharing(store: SocketAddr) -> StoreWriter {
        StoreWriter::start(store, LEASE_RESPONSE_TIMEOUT)
    }

    /// Queues a slice's table.
    pub fn write_table(&self, slice: SliceId, epoch: u64, entries: Vec<WeightedHost>) {
        let write = PendingWrite { epoch, entries, handoff: None };
        self.state.writes.lock().expect("no holder panics").insert(slice, write);
        self.state.wake.post();
    }

    /// Queues the table of a slice that is being released, with the handoff for its next holder. It is written once
    /// the writer is woken, at the latest by [`StoreWriter::allow_release`].
    pub fn hand_over(&self, slice: SliceId, epoch: u64, entries: Vec<WeightedHost>, handoff: &SliceHandoff) {
        let write = PendingWrite { epoch, entries, handoff: Some(handoff.into()) };
        self.state.writes.lock().expect("no holder panics").insert(slice, write);
    }

    /// Permits the release of these slices, since their last tables have been queued.
    pub fn allow_release(&self, slices: &[SliceId]) {
        let mut releasable = self.state.releasable.lock().expect("no holder panics");
        releasable.extend(slices.iter().map(|slice| slice.0));
        drop(releasable);
        self.state.wake.post();
    }

    /// Queues a lease request.
    pub fn request_leases(&self, request: LeaseRequest) {
        let pending = PendingRequest { requested_at: now(), request };
        *self.state.request.lock().expect("no holder panics") = Some(pending);
        self.state.wake.post();
    }

    /// Takes the latest response to a lease request. Each response is returned once.
    pub fn take_lease_response(&self) -> Option<LeasedTables> {
        self.state.response.lock().expect("no holder panics").take()
    }

    /// Number of tables that the store has rejected.
    pub fn tables_rejected(&self) -> u64 {
        self.state.tables_rejected.load(Ordering::Relaxed)
    }
}

/// Reads all slices and sends them to the inbox. The request is repeated until it succeeds.
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

/// Waits until the last tables of the slices that the pending request releases have been queued, so that they are
/// written first: the owner of the core learns of the release at the same time as the request is queued.
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

/// Writes the queued tables. If this fails, they are queued again unless a later table of their slice has been queued.
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
