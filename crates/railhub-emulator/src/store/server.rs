//! Serves the store over HTTP.
use super::contents::StoreContents;
use super::messages::{LeaseReply, StoredTable};
use super::SharedStore;
use may::net::TcpStream;
use railhub_membership::lease_messages::LeaseRequest;
use railhub_net::{http, now, seconds};
use railhub_record::{EventKind, SliceGranted, TableWrite};
use std::io;
use std::sync::atomic::Ordering;

/// Seconds between copies of the store's contents.
const COPY_INTERVAL: f64 = 0.5;
/// Copies that are kept.
const MAX_COPIES: usize = 128;

/// Serves one connection until it breaks, or the store is unavailable or has restarted.
pub fn serve(mut stream: TcpStream, shared: &SharedStore) {
    let mut buffer = Vec::new();
    let restarts = shared.restarts.load(Ordering::Relaxed);
    while let Ok(Some(request)) = http::read_request(&mut stream, &mut buffer) {
        let has_restarted = shared.restarts.load(Ordering::Relaxed) != restarts;
        if shared.unavailable.load(Ordering::Relaxed) || has_restarted {
            return;
        }
        let delay = shared.response_delay_ms.load(Ordering::Relaxed) as f64 / 1000.0;
        if delay > 0.0 {
            may::coroutine::sleep(seconds(delay));
        }
        if respond(&mut stream, shared, &request).is_err() {
            return;
        }
    }
}

fn respond(stream: &mut TcpStream, shared: &SharedStore, request: &http::Request) -> io::Result<()> {
    let body = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/charges") => {
            serde_json::to_vec(&shared.contents.lock().expect("no holder panics").stored_tables())
        }
        ("GET", "/leases") => {
            serde_json::to_vec(&shared.contents.lock().expect("no holder panics").lease_status(now()))
        }
        ("PUT", "/tables") => match serde_json::from_slice::<Vec<StoredTable>>(&request.body) {
            Ok(tables) => serde_json::to_vec(&shared.write(tables)),
            Err(_) => return http::write_response(stream, 400, b""),
        },
        ("POST", "/leases") => match serde_json::from_slice::<LeaseRequest>(&request.body) {
            Ok(lease_request) => serde_json::to_vec(&shared.lease(&lease_request)),
            Err(_) => return http::write_response(stream, 400, b""),
        },
        _ => return http::write_response(stream, 404, b""),
    };
    if shared.loses_responses.load(Ordering::Relaxed) {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    http::write_response(stream, 200, &body.map_err(io::Error::other)?)
}

impl SharedStore {
    fn record(&self, kind: EventKind) {
        if let Some(recorder) = &self.recorder {
            recorder.record(now(), kind);
        }
    }

    fn copy_when_due(&self, contents: &StoreContents) {
        let mut copies = self.copies.lock().expect("no holder panics");
        if copies.back().is_none_or(|(at, _)| now() - at >= COPY_INTERVAL) {
            copies.push_back((now(), contents.clone()));
            if copies.len() > MAX_COPIES {
                copies.pop_front();
            }
        }
    }

    /// Writes tables. Returns the slices that are leased under another epoch, and were not written.
    fn write(&self, tables: Vec<StoredTable>) -> Vec<u32> {
        let mut contents = self.contents.lock().expect("no holder panics");
        self.copy_when_due(&contents);
        let mut refused = Vec::new();
        for table in tables {
            let (slice, epoch) = (table.slice, table.epoch);
            let written = contents.write(now(), table);
            if epoch > 0 {
                self.record(EventKind::TableWrite(TableWrite { slice, epoch, written }));
            }
            if !written {
                refused.push(slice);
            }
        }
        self.writes.fetch_add(1, Ordering::Relaxed);
        refused
    }

    fn lease(&self, request: &LeaseRequest) -> LeaseReply {
        let mut contents = self.contents.lock().expect("no holder panics");
        self.copy_when_due(&contents);
        let outcome = contents.lease(now(), request);
        for grant in &outcome.new_grants {
            let (slice, epoch, process) = (grant.slice, grant.epoch, request.process);
            self.record(EventKind::SliceGranted(SliceGranted { slice, epoch, process }));
        }
        LeaseReply { response: outcome.response, tables: outcome.tables }
    }
}
