//! The slice store: gives slices with their tables, leases them, takes what changes, and outlives the stewards. It can
//! be away or slow, lose its answers, or start again from an older copy of itself.
use may::net::TcpStream;
use may::sync::Mutex;
use railhub_membership::lease_messages::{LeaseRequest, LeaseResponse};
use railhub_membership::lease_store::{LeaseStore, StoreFaults};
use railhub_membership::Epoch;
use railhub_net::{http, now, seconds, spawn, Listener};
use railhub_record::{Granted, Recorder, Stored, What};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// Seconds between copies of the store's state, and copies kept.
const COPY_EVERY: f64 = 0.5;
const COPIES_MOST: usize = 128;

/// Seconds of the longest lease, unless said otherwise.
const LONGEST: f64 = 10.0;

/// Bytes that a steward may tell of a slice; more is left out.
const TOLD_MOST: usize = 1024;

type Tables = BTreeMap<u32, Vec<(SocketAddr, f64)>>;

#[derive(Clone, Serialize, Deserialize)]
struct StoredTable {
    slice: u32,
    #[serde(default)]
    epoch: u64,
    lines: Vec<(SocketAddr, f64)>,
    /// What the steward that gave it up told the next one; how many seconds ago is said when it is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    state: Option<serde_json::Value>,
    #[serde(default)]
    age: f64,
}

#[derive(Serialize)]
struct Leased {
    #[serde(rename = "says")]
    response: LeaseResponse,
    tables: Vec<StoredTable>,
}

/// One slice as [`Store`] shows it to operators.
#[derive(Serialize)]
struct Held {
    slice: u32,
    epoch: u64,
    process: Option<u64>,
    /// Seconds of the lease that are left.
    left: f64,
}

/// All that is kept; changed in one step.
#[derive(Clone, Default)]
struct State {
    tables: Tables,
    /// What was told of slices that were given up, and when.
    told: BTreeMap<u32, (f64, serde_json::Value)>,
    grants: LeaseStore,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    copies: Mutex<VecDeque<(f64, State)>>,
    away: AtomicBool,
    /// Thousandths of a second that each answer takes.
    slow: AtomicU64,
    loses_answers: AtomicBool,
    /// Starts so far: connections of an earlier one end.
    starts: AtomicU64,
    writes: AtomicU64,
    recorder: Option<Recorder>,
}

pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _door: Listener,
}

impl Store {
    pub fn open(tables: Tables) -> io::Result<Store> {
        Store::open_as(tables, LONGEST, None, StoreFaults::default())
    }

    /// `longest`: seconds of the longest lease it grants. One whose grants and writes are recorded, and that may be broken for tests of the judge.
    pub fn open_as(
        tables: Tables,
        longest: f64,
        recorder: Option<Recorder>,
        broken: StoreFaults,
    ) -> io::Result<Store> {
        let state =
            Mutex::new(State { tables, told: BTreeMap::new(), grants: LeaseStore::new(longest, broken) });
        let shared = Arc::new(Shared { state, recorder, ..Shared::default() });
        let serving = shared.clone();
        let door = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream, _| {
            let shared = serving.clone();
            spawn(move || serve(stream, &shared));
        })?;
        Ok(Store { address: door.address, shared, _door: door })
    }

    pub fn tables(&self) -> Tables {
        self.shared.state.lock().expect("no holder panics").tables.clone()
    }

    /// While it is away it answers nothing.
    pub fn set_away(&self, away: bool) {
        self.shared.away.store(away, Ordering::Relaxed);
    }

    /// Each answer takes so many seconds from now on.
    pub fn set_slow(&self, by: f64) {
        self.shared.slow.store((by * 1000.0) as u64, Ordering::Relaxed);
    }

    /// What it is asked is done, and the answer is lost.
    pub fn lose_answers(&self, loses: bool) {
        self.shared.loses_answers.store(loses, Ordering::Relaxed);
    }

    /// It starts again from a copy that is so many seconds old; 0: from all that it had.
    pub fn start_again(&self, older_by: f64) {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let start = since.map_or(0, |since| since.as_secs());
        let before = now() - older_by;
        let copies = self.shared.copies.lock().expect("no holder panics");
        let copy = copies
            .iter()
            .rev()
            .find(|(at, _)| *at <= before)
            .or(copies.front())
            .map(|(_, copy)| copy.clone());
        drop(copies);
        let mut state = self.shared.state.lock().expect("no holder panics");
        if let Some(copy) = copy.filter(|_| older_by > 0.0) {
            *state = copy;
        }
        state.grants = state.grants.restart(now(), start);
        self.shared.starts.fetch_add(1, Ordering::Relaxed);
    }

    pub fn writes(&self) -> u64 {
        self.shared.writes.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn note(&self, what: What) {
        self.recorder.iter().for_each(|recorder| recorder.note(now(), what.clone()));
    }

    fn keep_copy(&self, state: &State) {
        let mut copies = self.copies.lock().expect("no holder panics");
        if copies.back().is_none_or(|(at, _)| now() - at >= COPY_EVERY) {
            copies.push_back((now(), state.clone()));
            if copies.len() > COPIES_MOST {
                copies.pop_front();
            }
        }
    }

    /// The slices that are refused: they are leased under another epoch.
    fn write(&self, changed: Vec<StoredTable>) -> Vec<u32> {
        let mut state = self.state.lock().expect("no holder panics");
        self.keep_copy(&state);
        let mut refused = Vec::new();
        for table in changed {
            let StoredTable { slice, epoch, lines, state: told, .. } = table;
            let written = u16::try_from(slice).is_ok_and(|slice| state.grants.may_write(slice, Epoch(epoch)));
            if epoch > 0 {
                self.note(What::Stored(Stored { slice, epoch, written }));
            }
            if written {
                state.tables.insert(slice, lines);
                if let Some(told) = told.filter(|told| told.to_string().len() <= TOLD_MOST) {
                    state.told.insert(slice, (now(), told));
                }
            } else {
                refused.push(slice);
            }
        }
        self.writes.fetch_add(1, Ordering::Relaxed);
        refused
    }

    fn lease(&self, request: &LeaseRequest) -> Leased {
        let mut state = self.state.lock().expect("no holder panics");
        self.keep_copy(&state);
        let answer = state.grants.handle_request(now(), request);
        for (slice, epoch) in &answer.acquired {
            let (slice, epoch, process) = (u32::from(*slice), epoch.0, request.process);
            self.note(What::Granted(Granted { slice, epoch, process }));
        }
        let taken = answer.response.granted.iter().filter(|(slice, _)| request.acquire.contains(slice));
        let tables = taken.map(|(slice, epoch)| {
            let (slice, epoch) = (u32::from(*slice), epoch.0);
            let lines = state.tables.get(&slice).cloned().unwrap_or_default();
            let told = state.told.get(&slice);
            let age = told.map_or(0.0, |(at, _)| now() - at);
            StoredTable { slice, epoch, lines, state: told.map(|told| told.1.clone()), age }
        });
        Leased { tables: tables.collect(), response: answer.response.clone() }
    }

    fn held(&self) -> Vec<Held> {
        let state = self.state.lock().expect("no holder panics");
        let at = now();
        let of = |slice: &u32| {
            let holding = u16::try_from(*slice).ok().and_then(|slice| state.grants.record(slice));
            let process = holding.and_then(|holding| holding.holder);
            let left = holding.map_or(0.0, |holding| holding.expires_at - at).max(0.0);
            Held { slice: *slice, epoch: holding.map_or(0, |holding| holding.epoch.0), process, left }
        };
        state.tables.keys().map(of).collect()
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let mut read = Vec::new();
    let start = shared.starts.load(Ordering::Relaxed);
    while let Ok(Some(request)) = http::read_request(&mut stream, &mut read) {
        if shared.away.load(Ordering::Relaxed) || shared.starts.load(Ordering::Relaxed) != start {
            return;
        }
        let slow = shared.slow.load(Ordering::Relaxed) as f64 / 1000.0;
        if slow > 0.0 {
            may::coroutine::sleep(seconds(slow));
        }
        if answer(&mut stream, shared, &request).is_err() {
            return;
        }
    }
}

fn answer(stream: &mut TcpStream, shared: &Shared, request: &http::Request) -> io::Result<()> {
    let body = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/charges") => {
            let stored = shared.state.lock().expect("no holder panics").tables.clone().into_iter();
            serde_json::to_vec(
                &stored
                    .map(|(slice, lines)| StoredTable { slice, epoch: 0, lines, state: None, age: 0.0 })
                    .collect::<Vec<_>>(),
            )
        }
        ("GET", "/leases") => serde_json::to_vec(&shared.held()),
        ("PUT", "/tables") => match serde_json::from_slice::<Vec<StoredTable>>(&request.body) {
            Ok(changed) => serde_json::to_vec(&shared.write(changed)),
            Err(_) => return http::write_response(stream, 400, b""),
        },
        ("POST", "/leases") => match serde_json::from_slice::<LeaseRequest>(&request.body) {
            Ok(lease_request) => serde_json::to_vec(&shared.lease(&lease_request)),
            Err(_) => return http::write_response(stream, 400, b""),
        },
        _ => return http::write_response(stream, 404, b""),
    };
    if shared.loses_answers.load(Ordering::Relaxed) {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    http::write_response(stream, 200, &body.map_err(io::Error::other)?)
}
