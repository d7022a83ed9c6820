//! The slice store: gives slices with their tables, and takes what changes. A steward alone is given all of them at its
//! start; stewards that share ask for some, again and again, under leases.
//!
//! Tables that wait go first, then the question: what a steward gives up is written before another can be granted it.
use crate::inbox::{Inbox, Word};
use may::sync::{Mutex, Semphore};
use railhub::{Charge, HostId, Seconds, SliceId};
use railhub_membership::office::{StoreAsk, StoreSays};
use railhub_net::http::{Caller, HttpFault};
use railhub_net::{now, seconds, Task};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Seconds the store may take, and between tries while it cannot be asked.
const WITHIN: Seconds = 2.0;
const PAUSE: Seconds = 0.2;
/// The same where leases hang on it: less than the office waits for an answer.
const LEASES_WITHIN: Seconds = 0.8;
/// Seconds after which a question that could not be asked is left: its answer would come too late.
const QUESTION_LASTS: Seconds = 0.9;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredTable {
    pub slice: u16,
    /// Under which the slice is in charge; 0 where the steward is alone.
    #[serde(default)]
    pub epoch: u64,
    pub lines: Vec<(SocketAddr, f64)>,
}

impl StoredTable {
    pub fn charge(self) -> Charge {
        let lines = self.lines.into_iter().map(|(host, weight)| (HostId::from(host), weight));
        Charge { slice: SliceId(self.slice), given: true, lines: lines.collect() }
    }
}

/// The store's answer to a question about leases, with the tables of what was taken.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Leased {
    pub says: StoreSays,
    pub tables: Vec<StoredTable>,
}

type Lines = Vec<(HostId, f64)>;
type Waiting = BTreeMap<SliceId, (u64, Lines)>;

/// Takes tables to be written and questions. A slice waits once, with its latest lines, so what waits is bounded by
/// their number; of questions and answers the latest replaces an older one. While the store is away nothing is lost and
/// nothing is held up.
pub struct StoreWriter {
    shared: Arc<Shared>,
    _tasks: Vec<Task>,
}

struct Shared {
    waiting: Mutex<Waiting>,
    question: Mutex<Option<(Seconds, StoreAsk)>>,
    answer: Mutex<Option<Leased>>,
    /// Tables that the store did not take: another steward is in charge by now.
    refused: AtomicU64,
    wake: Semphore,
}

impl StoreWriter {
    fn over(store: SocketAddr, within: Seconds) -> StoreWriter {
        let shared = Arc::new(Shared {
            waiting: Mutex::default(),
            question: Mutex::default(),
            answer: Mutex::default(),
            refused: AtomicU64::new(0),
            wake: Semphore::new(0),
        });
        let serving = shared.clone();
        let written = Task::go(move || serve(store, within, &serving));
        StoreWriter { shared, _tasks: vec![written] }
    }

    /// For a steward that is alone: it is given all slices.
    pub fn start(store: SocketAddr, inbox: Arc<Inbox>) -> StoreWriter {
        let mut writer = StoreWriter::over(store, WITHIN);
        writer._tasks.push(Task::go(move || give(store, &inbox)));
        writer
    }

    /// For one that shares: it asks.
    pub fn share(store: SocketAddr) -> StoreWriter {
        StoreWriter::over(store, LEASES_WITHIN)
    }

    pub fn put(&self, slice: SliceId, epoch: u64, lines: Lines) {
        self.shared.waiting.lock().expect("no holder panics").insert(slice, (epoch, lines));
        self.shared.wake.post();
    }

    pub fn ask(&self, ask: StoreAsk) {
        *self.shared.question.lock().expect("no holder panics") = Some((now(), ask));
        self.shared.wake.post();
    }

    /// The latest answer, once.
    pub fn answer(&self) -> Option<Leased> {
        self.shared.answer.lock().expect("no holder panics").take()
    }

    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }
}

fn give(store: SocketAddr, inbox: &Inbox) {
    let mut caller = Caller::new(store, seconds(WITHIN));
    loop {
        match caller.ask::<Vec<StoredTable>>("/charges") {
            Ok(tables) => {
                inbox.tell(Word::Charges(tables.into_iter().map(StoredTable::charge).collect()));
                return;
            }
            Err(fault) => {
                tracing::warn!(%fault, "the store cannot be asked: nothing is ordered before it answers");
                may::coroutine::sleep(seconds(PAUSE));
            }
        }
    }
}

fn serve(store: SocketAddr, within: Seconds, shared: &Shared) {
    let mut caller = Caller::new(store, seconds(within));
    loop {
        shared.wake.wait();
        if let Err(fault) = write(&mut caller, shared).and_then(|()| question(&mut caller, shared)) {
            tracing::warn!(%fault, "the store cannot be asked or written: it is tried again");
            may::coroutine::sleep(seconds(PAUSE));
            shared.wake.post();
        }
    }
}

/// Writes what waits; what could not be written waits on, unless there is a later word on it.
fn write(caller: &mut Caller, shared: &Shared) -> Result<(), HttpFault> {
    let batch = std::mem::take(&mut *shared.waiting.lock().expect("no holder panics"));
    if batch.is_empty() {
        return Ok(());
    }
    let written = put(caller, &batch);
    match &written {
        Ok(refused) if refused.is_empty() => {}
        Ok(refused) => {
            shared.refused.fetch_add(refused.len() as u64, Ordering::Relaxed);
            tracing::info!(
                slices = refused.len(),
                "tables come too late: the store has granted the slices on"
            );
        }
        Err(_) => {
            let mut waiting = shared.waiting.lock().expect("no holder panics");
            for (slice, table) in batch {
                waiting.entry(slice).or_insert(table);
            }
        }
    }
    written.map(drop)
}

/// The slices that the store refuses.
fn put(caller: &mut Caller, batch: &Waiting) -> Result<Vec<u16>, HttpFault> {
    let lines =
        |lines: &Lines| lines.iter().filter_map(|(host, weight)| Some((host.address()?, *weight))).collect();
    let tables: Vec<StoredTable> = (batch.iter())
        .map(|(slice, (epoch, table))| StoredTable { slice: slice.0, epoch: *epoch, lines: lines(table) })
        .collect();
    caller.exchange("PUT", "/tables", &tables)
}

fn question(caller: &mut Caller, shared: &Shared) -> Result<(), HttpFault> {
    let asked = shared.question.lock().expect("no holder panics").take();
    let Some((_, ask)) = asked.filter(|(at, _)| now() - at < QUESTION_LASTS) else { return Ok(()) };
    let leased = caller.exchange("POST", "/leases", &ask)?;
    *shared.answer.lock().expect("no holder panics") = Some(leased);
    Ok(())
}
