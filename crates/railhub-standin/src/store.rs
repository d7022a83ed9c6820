//! The slice store: gives all slices with their tables, takes what changes, and outlives the steward.
use may::net::TcpStream;
use may::sync::Mutex;
use railhub_net::{go, http, Listener};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

type Tables = BTreeMap<u32, Vec<(SocketAddr, f64)>>;

#[derive(Serialize, Deserialize)]
struct StoredTable {
    slice: u32,
    lines: Vec<(SocketAddr, f64)>,
}

#[derive(Default)]
struct Shared {
    tables: Mutex<Tables>,
    away: AtomicBool,
    writes: AtomicU64,
}

pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _door: Listener,
}

impl Store {
    pub fn open(tables: Tables) -> io::Result<Store> {
        let shared = Arc::new(Shared { tables: Mutex::new(tables), ..Shared::default() });
        let serving = shared.clone();
        let door = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream, _| {
            let shared = serving.clone();
            go(move || serve(stream, &shared));
        })?;
        Ok(Store { address: door.address, shared, _door: door })
    }

    pub fn tables(&self) -> Tables {
        self.shared.tables.lock().expect("no holder panics").clone()
    }

    /// While it is away it answers nothing.
    pub fn set_away(&self, away: bool) {
        self.shared.away.store(away, Ordering::Relaxed);
    }

    pub fn writes(&self) -> u64 {
        self.shared.writes.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let mut read = Vec::new();
    while let Ok(Some(request)) = http::read_request(&mut stream, &mut read) {
        if shared.away.load(Ordering::Relaxed) {
            return;
        }
        let answered = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/charges") => {
                let tables = shared.tables.lock().expect("no holder panics").clone();
                let stored = tables.into_iter().map(|(slice, lines)| StoredTable { slice, lines });
                http::answer_json(&mut stream, &stored.collect::<Vec<_>>())
            }
            ("PUT", "/tables") => match serde_json::from_slice::<Vec<StoredTable>>(&request.body) {
                Ok(changed) => {
                    let mut tables = shared.tables.lock().expect("no holder panics");
                    changed.into_iter().for_each(|table| _ = tables.insert(table.slice, table.lines));
                    drop(tables);
                    shared.writes.fetch_add(1, Ordering::Relaxed);
                    http::answer(&mut stream, 200, b"")
                }
                Err(_) => http::answer(&mut stream, 400, b""),
            },
            _ => http::answer(&mut stream, 404, b""),
        };
        if answered.is_err() {
            return;
        }
    }
}
