//! The slice store: gives the charge of slices with their tables at the start, and takes what changes.
use crate::inbox::{Inbox, Word};
use may::sync::{Mutex, Semphore};
use railhub::{Charge, HostId, Seconds, SliceId};
use railhub_net::http::{Caller, HttpFault};
use railhub_net::{seconds, Task};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Seconds the store may take, and between tries while it cannot be asked.
const WITHIN: Seconds = 2.0;
const PAUSE: Seconds = 0.2;

#[derive(Debug, Serialize, Deserialize)]
pub struct StoredTable {
    pub slice: u16,
    pub lines: Vec<(SocketAddr, f64)>,
}

type Lines = Vec<(HostId, f64)>;

/// Takes tables to be written. A slice waits once, with its latest lines, so what waits is bounded by their
/// number; while the store is away nothing is lost and nothing is held up.
pub struct StoreWriter {
    shared: Arc<Shared>,
    _tasks: [Task; 2],
}

struct Shared {
    waiting: Mutex<BTreeMap<SliceId, Lines>>,
    wake: Semphore,
}

impl StoreWriter {
    pub fn start(store: SocketAddr, inbox: Arc<Inbox>) -> StoreWriter {
        let shared = Arc::new(Shared { waiting: Mutex::new(BTreeMap::new()), wake: Semphore::new(0) });
        let given = Task::go(move || give(store, &inbox));
        let writing = shared.clone();
        let written = Task::go(move || write(store, &writing));
        StoreWriter { shared, _tasks: [given, written] }
    }

    pub fn put(&self, slice: SliceId, lines: Lines) {
        self.shared.waiting.lock().expect("no holder panics").insert(slice, lines);
        self.shared.wake.post();
    }
}

fn give(store: SocketAddr, inbox: &Inbox) {
    let mut caller = Caller::new(store, seconds(WITHIN));
    loop {
        match caller.ask::<Vec<StoredTable>>("/charges") {
            Ok(tables) => {
                let charges = tables.into_iter().map(|table| Charge {
                    slice: SliceId(table.slice),
                    given: true,
                    lines: table
                        .lines
                        .into_iter()
                        .map(|(host, weight)| (HostId::from(host), weight))
                        .collect(),
                });
                inbox.tell(Word::Charges(charges.collect()));
                return;
            }
            Err(fault) => {
                tracing::warn!(%fault, "the store cannot be asked: nothing is ordered before it answers");
                may::coroutine::sleep(seconds(PAUSE));
            }
        }
    }
}

fn write(store: SocketAddr, shared: &Shared) {
    let mut caller = Caller::new(store, seconds(WITHIN));
    loop {
        shared.wake.wait();
        let batch = std::mem::take(&mut *shared.waiting.lock().expect("no holder panics"));
        if batch.is_empty() {
            continue;
        }
        if let Err(fault) = put(&mut caller, &batch) {
            tracing::warn!(%fault, slices = batch.len(), "the store cannot be written: it is tried again");
            may::coroutine::sleep(seconds(PAUSE));
            let mut waiting = shared.waiting.lock().expect("no holder panics");
            for (slice, lines) in batch {
                waiting.entry(slice).or_insert(lines);
            }
            shared.wake.post();
        }
    }
}

fn put(caller: &mut Caller, batch: &BTreeMap<SliceId, Lines>) -> Result<(), HttpFault> {
    let tables: Vec<StoredTable> = (batch.iter())
        .map(|(slice, lines)| StoredTable {
            slice: slice.0,
            lines: lines.iter().filter_map(|(host, weight)| Some((host.address()?, *weight))).collect(),
        })
        .collect();
    caller.tell("/tables", &tables)
}
