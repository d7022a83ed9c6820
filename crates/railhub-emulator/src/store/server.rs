//! Serves the store over HTTP.
use super::messages::StoredTable;
use super::shared::SharedStore;
use may::net::TcpStream;
use railhub_membership::lease_messages::LeaseRequest;
use railhub_net::{http, now, seconds};
use std::io;
use std::sync::atomic::Ordering;

/// Serves one connection until it breaks, the store becomes unavailable, or the store has restarted.
pub fn serve(mut stream: TcpStream, shared: &SharedStore) {
    let mut buffer = Vec::new();
    let restarts_at_open = shared.restarts.load(Ordering::Relaxed);
    while let Ok(Some(request)) = http::read_request(&mut stream, &mut buffer) {
        let has_restarted = shared.restarts.load(Ordering::Relaxed) != restarts_at_open;
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

/// Handles one request and writes the response; returns an error if the connection is to be closed instead.
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
